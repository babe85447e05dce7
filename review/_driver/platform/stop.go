package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["stop"] = stopInTurn }

// stopInTurn stops gateways in turn, as planned, and looks for bookings that a
// stopping gateway passes on and doesn't answer.
func stopInTurn(w *world, trouble bool) ([]string, error) {
	const (
		gateways      = 3
		clients       = 480
		eventInterval = 100 * time.Millisecond
		leastEvents   = 50 // of a stream
		mostEvents    = 100
		work          = 100 * time.Millisecond // of a booking
		first         = 14 * time.Second
		gap           = 14 * time.Second // between two stops
		stops         = 5
		grace         = 8 * time.Second
		misses        = 2 * time.Second // until the platform directs no new channels to a stopping gateway
		excused       = 3 * time.Second // after SIGTERM; later requests must be answered
	)
	config := standin.Configuration(1, 64, standin.Workspace{Name: "acme", APIKey: "k1", TokenQuota: 1 << 40})
	config["routes"] = append(config["routes"].([]any),
		standin.Route("visit", "/visit/", "streaming", "engine", map[string]any{"session_affinity": true, "timeout_ms": 15000, "target_latency_ms": 500}),
		standin.Route("desk", "/desk/", "non_idempotent", "plain", map[string]any{"timeout_ms": 1200, "target_latency_ms": 150}))
	if err := w.putConfig(config); err != nil {
		return nil, err
	}
	visit := func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		return streaming(leastEvents+rand.IntN(mostEvents-leastEvents+1), eventInterval)(r, c, req, body)
	}
	for i := range 8 {
		if _, err := w.addReplica(fmt.Sprintf("i-engine-%d", i+1), "engine", 64, visit); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		if _, err := w.addReplica(fmt.Sprintf("i-plain-%d", i+1), "plain", 6, answering(work)); err != nil {
			return nil, err
		}
	}
	inRotation := make([]atomic.Bool, gateways)
	for i := range gateways {
		if _, err := w.addGateway(w.store.Address()); err != nil {
			return nil, err
		}
		inRotation[i].Store(true)
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	began := time.Now()
	var mu sync.Mutex
	var answers []answer
	terms := make(map[string][]time.Time) // of each gateway
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			time.Sleep(time.Duration(rand.IntN(7000)) * time.Millisecond)
			var c net.Conn
			var reader *bufio.Reader
			at := i % gateways
			for n := 0; ; n++ {
				select {
				case <-stop:
					if c != nil {
						_ = c.Close()
					}
					return
				default:
				}
				if c == nil {
					for range gateways {
						if inRotation[at].Load() {
							break
						}
						at = (at + 1) % gateways
					}
					var err error
					if c, err = net.DialTimeout("tcp", w.gateways[at].callers.String(), time.Second); err != nil {
						c = nil
						time.Sleep(200 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(c)
				}
				r := request{id: fmt.Sprintf("visit-%d-%d", i, n), method: http.MethodPost, path: "/visit/x", key: "k1", timeout: 15 * time.Second, body: "hello",
					header: []string{"Model: m", "Token-Usage: 500,300", fmt.Sprintf("Prompt-Prefix: a%d:100,b%d-%d:400", i%8, i, n)}}
				if n%2 == 1 {
					r = request{id: fmt.Sprintf("desk-%d-%d", i, n), method: http.MethodPost, path: "/desk/x", key: "k1", timeout: 2500 * time.Millisecond, body: "one slot"}
				}
				a := w.sendOn(c, reader, w.gateways[at].name, r)
				if a.status == 0 || a.closes {
					_ = c.Close()
					c = nil
				}
				if a.status == http.StatusServiceUnavailable {
					time.Sleep(300 * time.Millisecond)
				}
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	for k := range stops {
		time.Sleep(first + time.Duration(k)*gap - time.Since(began))
		if !trouble {
			continue
		}
		g := w.gateways[k%gateways]
		mu.Lock()
		terms[g.name] = append(terms[g.name], time.Now())
		mu.Unlock()
		g.signal(syscall.SIGTERM)
		running.Go(func() {
			time.Sleep(misses)
			inRotation[k%gateways].Store(false)
		})
		select {
		case <-g.exited:
			w.record("%s has ended", g.name)
		case <-time.After(grace):
			w.record("%s is killed after the grace period", g.name)
			g.kill()
		}
		time.Sleep(300 * time.Millisecond)
		if err := g.start(); err != nil {
			return nil, err
		}
		if err := w.awaitReady(5 * time.Second); err != nil {
			return nil, err
		}
		inRotation[k%gateways].Store(true)
	}
	time.Sleep(first + stops*gap - time.Since(began))
	close(stop)
	running.Wait()
	ran := make(map[string]time.Time)
	for _, r := range w.replicas {
		for _, e := range r.runs() {
			ran[e.id] = e.at
		}
	}
	var violations []string
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		at, passedOn := ran[a.request.id]
		if a.status != 0 || !passedOn {
			continue
		}
		for _, t := range terms[a.gateway] {
			after := a.sent.Sub(t)
			if after > excused && after < grace+time.Second {
				violations = append(violations, fmt.Sprintf("LOST: %s, sent %d ms after SIGTERM of %s, ran at a replica %d ms later, and its channel ended %d ms after it was sent without an answer: %v",
					a.request.id, after.Milliseconds(), a.gateway, at.Sub(a.sent).Milliseconds(), a.ended.Sub(a.sent).Milliseconds(), a.err))
			}
		}
	}
	w.record("%d requests, %d served", len(answers), served)
	return violations, nil
}
