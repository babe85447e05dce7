package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["descriptors"] = descriptors }

// descriptors replaces the replicas of a service one after the other while streams
// run, and looks for a time in which the gateway says that it is ready and takes no
// new channel.
func descriptors(w *world, trouble bool) ([]string, error) {
	const (
		replicas     = 8
		clients      = 400
		events       = 20
		interval     = 100 * time.Millisecond
		gap          = time.Second     // between two replacements
		drainTimeout = 2 * time.Second // after the report; then the replica finishes its streams and exits
		exitAfter    = drainTimeout + 3*time.Second
		length       = 85 * time.Second
		bookTimeout  = 1200 * time.Millisecond
		// Of the rule.
		contactWindow = 3 * time.Second
		minClients    = 7
	)
	config := standin.Configuration(1, 64, standin.Workspace{Name: "acme", APIKey: "k1", TokenQuota: 1 << 40})
	config["routes"] = append(config["routes"].([]any),
		standin.Route("visit", "/visit/", "streaming", "engine", map[string]any{"session_affinity": true, "timeout_ms": 15000, "target_latency_ms": 500}),
		standin.Route("desk", "/desk/", "non_idempotent", "plain", map[string]any{"timeout_ms": bookTimeout.Milliseconds(), "target_latency_ms": 150}))
	if err := w.putConfig(config); err != nil {
		return nil, err
	}
	if _, err := w.addReplica("i-plain-1", "plain", 6, answering(30*time.Millisecond)); err != nil {
		return nil, err
	}
	entry := func(r *replica, state string) error {
		data, err := json.Marshal(map[string]any{"service": "engine", "address": r.address().String(), "zone": "attica-a", "version": "v1", "concurrency_slots": 64,
			"state": state, "cold_remaining_ms": 0, "seq": 1, "born": w.started.UnixMilli()})
		if err != nil {
			return err
		}
		w.store.Put("servers", "", r.id, data)
		w.record("%s reports %s", r.id, state)
		return nil
	}
	var ready []*replica
	started := 0
	add := func() error {
		started++
		r, err := newReplica(w, fmt.Sprintf("i-engine-%d", started), streaming(events, interval))
		if err != nil {
			return err
		}
		w.replicas, ready = append(w.replicas, r), append(ready, r)
		return entry(r, "ready")
	}
	for range replicas {
		if err := add(); err != nil {
			return nil, err
		}
	}
	g, err := w.addGateway(w.store.Address())
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	began := time.Now()
	stop := make(chan struct{})
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			var c net.Conn
			var reader *bufio.Reader
			for n := 0; !stopped(); n++ {
				if c == nil {
					var err error
					if c, err = net.DialTimeout("tcp", g.callers.String(), time.Second); err != nil {
						time.Sleep(time.Second)
						continue
					}
					reader = bufio.NewReader(c)
				}
				a := w.sendOn(c, reader, g.name, request{id: fmt.Sprintf("visit-%d-%d", i, n), method: http.MethodPost, path: "/visit/x", key: "k1", timeout: 15 * time.Second, body: "hello",
					header: []string{"Model: m", "Token-Usage: 500,60", fmt.Sprintf("Prompt-Prefix: a%d:100,b%d-%d:400", i%8, i, n)}})
				if a.status != http.StatusOK {
					_ = c.Close()
					c = nil
					time.Sleep(500 * time.Millisecond)
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	// The platform gives no new channels to a gateway after two checks in a row without
	// a 200, so that all bookings are sent while it says that it is ready.
	var inRotation atomic.Bool
	inRotation.Store(true)
	running.Go(func() {
		for misses := 0; !stopped(); time.Sleep(time.Second) {
			if misses++; g.isReady() {
				misses = 0
			}
			if in := misses < 2; in != inRotation.Swap(in) {
				w.record("%s in rotation: %v", g.name, in)
			}
		}
	})
	var mu sync.Mutex
	var answers []answer
	running.Go(func() {
		for n := 0; !stopped(); n++ {
			time.Sleep(200 * time.Millisecond)
			if !inRotation.Load() {
				continue
			}
			running.Go(func() {
				a := w.send(g.name, g.callers, request{id: fmt.Sprintf("desk-%d", n), method: http.MethodPost, path: "/desk/x", key: "k1", body: "one slot", timeout: 2500 * time.Millisecond})
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(gap)
		if trouble {
			if err := add(); err != nil {
				return nil, err
			}
			leaving := ready[0]
			ready = ready[1:]
			if err := entry(leaving, "draining"); err != nil {
				return nil, err
			}
			time.AfterFunc(exitAfter, func() {
				w.store.Delete("servers", "", leaving.id)
				leaving.close()
				w.record("%s exits", leaving.id)
			})
		}
		if n%5 == 0 {
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid))
			w.record("%s has %d descriptors (%v), ready: %v", g.name, len(open), err, g.isReady())
		}
	}
	close(stop)
	running.Wait()
	time.Sleep(2 * time.Second)
	left, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid))
	w.record("no client is left; %s has %d descriptors, ready: %v", g.name, len(left), g.isReady())
	slices.SortFunc(answers, func(a, b answer) int { return a.sent.Compare(b.sent) })
	answered := 0
	var waiting []answer // since the last answer on a new channel
	for _, a := range answers {
		if a.status != 0 {
			answered++
			waiting = nil
			continue
		}
		waiting = append(waiting, a)
	}
	w.record("%d bookings on new channels, %d answered", len(answers), answered)
	if len(waiting) >= minClients {
		first, last := waiting[0].sent, waiting[len(waiting)-1].sent
		if last.Sub(first) >= contactWindow {
			return []string{fmt.Sprintf("RECOVER: %s said that it is ready and took none of %d new channels in %d ms, from %.3f s on", g.name, len(waiting), last.Sub(first).Milliseconds(), first.Sub(w.started).Seconds())}, nil
		}
	}
	return nil, nil
}
