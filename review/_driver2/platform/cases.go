package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"briarreach/platform/standin"
)

// route returns a route of a configuration.
func route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "hostname": "h.example", "path_prefix": "/" + name + "/", "route_kind": kind, "service": service,
		"timeout_ms": 2500, "target_latency_ms": 800, "priority": 1, "max_attempts": 1}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// config returns a configuration.
func config(version int, routes []any, services []string, tenants ...any) map[string]any {
	var list []any
	for _, s := range services {
		item := map[string]any{"name": s, "health_check_path": "/health", "connection_limit": 370}
		if s == "engine" {
			item["inference_engine"] = map[string]any{"concurrency_slots": 64, "kv_cache_tokens": 391377, "stride": tokensPerEvent}
		}
		list = append(list, item)
	}
	return map[string]any{"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}}
}

const tokensPerEvent = 3

func tenant(name string, quota int64) map[string]any {
	t := map[string]any{"name": name, "api_keys": []string{"key-" + name}}
	if quota > 0 {
		t["token_quota"] = quota
	}
	return t
}

var errTooFew = errors.New("too few requests to judge")

// chat returns a streaming request with the parts of a prompt.
func chat(kind string, parts ...string) request {
	id := newID(kind)
	return request{id: id, kind: kind, method: http.MethodPost, path: "/chat/x", key: "key-one", body: "prompt of " + id,
		header: map[string]string{"Model": "m", "Token-Usage": "900,60", "Deadline-Ms": "6000",
			"Prompt-Prefix": strings.Join(parts, ",") + fmt.Sprintf(",%x:300", rand.Uint64())}}
}

// every calls f each period until end, in a goroutine each.
func every(done *sync.WaitGroup, period time.Duration, end time.Time, f func()) {
	done.Go(func() {
		for next := time.Now(); next.Before(end); next = next.Add(period) {
			time.Sleep(time.Until(next))
			done.Go(f)
		}
	})
}

// playFirstPart plays a burst of requests with a part that crashes replicas. Their
// first part is also that of sound requests.
func playFirstPart(r *recorder, trouble bool) (bool, error) {
	const (
		replicaCount = 9
		before       = 48 * time.Second
		after        = 56 * time.Second
		soundEvery   = 2300 * time.Millisecond
		burst        = 8
		burstPause   = 110 * time.Millisecond
		deadlyEvery  = 3 * time.Second
	)
	cfg := config(1, []any{route("chat", "streaming", "engine", map[string]any{"session_affinity": true, "timeout_ms": 6000, "gap_target_ms": 400})},
		[]string{"engine"}, tenant("one", 50_000_000))
	f, err := newFleet(r, cfg)
	if err != nil {
		return false, err
	}
	defer f.close()
	for range replicaCount {
		if _, err := f.addReplica("engine", 3*time.Second, func(_ *replica, req *http.Request, _ string) outcome {
			deadly := trouble && hasPart(req.Header.Get("Prompt-Prefix"), "dead0001")
			return outcome{crash: deadly, delay: 50 * time.Millisecond, events: 10, eventPause: 30 * time.Millisecond}
		}); err != nil {
			return false, err
		}
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	sound := make(map[string]time.Time)                    // by ID, when sent
	burstAt := time.Now().Add(before + rand.N(soundEvery)) // at any moment between two sound requests
	end := burstAt.Add(after)
	every(&done, soundEvery, end, func() {
		q := chat("sound", "f0000001:400", fmt.Sprintf("5%07x:200", rand.IntN(40)))
		mu.Lock()
		sound[q.id] = time.Now()
		mu.Unlock()
		f.send(f.anyGateway(), q)
	})
	deadly := func() { f.send(f.anyGateway(), chat("deadly", "f0000001:400", "dead0001:200")) }
	time.Sleep(time.Until(burstAt))
	first := time.Now()
	for range burst {
		done.Go(deadly)
		time.Sleep(burstPause)
	}
	every(&done, deadlyEvery, end, deadly)
	done.Wait()
	began := make(map[string]bool)
	for _, x := range f.runs() {
		began[x.id] = true
	}
	crashes := f.crashTimes()
	from := first.Add(2 * contactWindow)
	if n := len(crashes); n > 0 {
		from = crashes[min(n, 5)-1].Add(2 * contactWindow)
	}
	var sentBefore, beganBefore, sentAfter, beganAfter int
	for id, at := range sound {
		switch {
		case at.Before(first.Add(-time.Second)):
			sentBefore++
			if began[id] {
				beganBefore++
			}
		case at.After(from):
			sentAfter++
			if began[id] {
				beganAfter++
			}
		}
	}
	r.say("%d crashes; sound requests with the first part: before %d of %d began at a replica, later than two contact windows after the fifth crash %d of %d", len(crashes), beganBefore, sentBefore, beganAfter, sentAfter)
	if sentBefore < 20 || sentAfter < 20 {
		return false, errTooFew
	}
	return float64(beganAfter)/float64(sentAfter) < 0.5*float64(beganBefore)/float64(sentBefore), nil
}

// retries counts the deadly requests of a path that reached replicas, sent later than
// contactWindow after the third crash.
func (f *fleet) retriesAfterThirdCrash(path string, sent map[string]time.Time) (crashes, late int) {
	times := f.crashTimes()
	reached := make(map[string]bool)
	for _, x := range f.runs() {
		if x.path == path {
			reached[x.id] = true
		}
	}
	if len(times) < 3 {
		return len(times), 0
	}
	for id, at := range sent {
		if reached[id] && at.After(times[2].Add(contactWindow)) {
			late++
		}
	}
	return len(times), late
}

func lookup(kind, path string) request {
	return request{id: newID(kind), kind: kind, method: http.MethodGet, path: path, key: "key-one", header: map[string]string{"Deadline-Ms": "2500"}}
}

// playSplit plays a request that crashes each replica that runs it and comes again, on
// a route that is split between services.
func playSplit(r *recorder, trouble bool) (bool, error) {
	const (
		replicaCount = 4 // of each service
		deadlyEvery  = 3500 * time.Millisecond
		length       = 80 * time.Second
	)
	services := []string{"desk-a", "desk-b", "desk-c"}
	more := map[string]any{"max_attempts": 1}
	if trouble {
		more["traffic_split"] = []any{map[string]any{"service": "desk-a", "weight": 1}, map[string]any{"service": "desk-b", "weight": 1}, map[string]any{"service": "desk-c", "weight": 1}}
	}
	cfg := config(1, []any{route("read", "idempotent", "desk-a", more)}, services, tenant("one", 0))
	f, err := newFleet(r, cfg)
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, s := range services {
		for range replicaCount {
			if _, err := f.addReplica(s, 3*time.Second, func(_ *replica, req *http.Request, _ string) outcome {
				return outcome{crash: strings.HasPrefix(req.URL.Path, "/read/deadly"), delay: 25 * time.Millisecond}
			}); err != nil {
				return false, err
			}
		}
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	end := time.Now().Add(length)
	every(&done, 100*time.Millisecond, end, func() { f.send(f.anyGateway(), lookup("sound", "/read/"+newID("x"))) })
	every(&done, deadlyEvery, end, func() {
		q := lookup("deadly", "/read/deadly")
		mu.Lock()
		sent[q.id] = time.Now()
		mu.Unlock()
		f.send(f.anyGateway(), q)
	})
	done.Wait()
	crashes, late := f.retriesAfterThirdCrash("/read/deadly", sent)
	r.say("deadly request: sent %d times, ran into %d crashes; %d retries reached replicas later than a contact window after the third", len(sent), crashes, late)
	return late > 3, nil
}

// playUsage plays a client that leaves out Token-Usage.
func playUsage(r *recorder, trouble bool) (bool, error) {
	const (
		quota  = 30_000
		length = 30 * time.Second
	)
	cfg := config(1, []any{route("chat", "streaming", "engine", map[string]any{"session_affinity": true, "timeout_ms": 6000, "gap_target_ms": 400})},
		[]string{"engine"}, tenant("one", quota))
	f, err := newFleet(r, cfg)
	if err != nil {
		return false, err
	}
	defer f.close()
	for range 4 {
		if _, err := f.addReplica("engine", 3*time.Second, func(*replica, *http.Request, string) outcome {
			return outcome{delay: 40 * time.Millisecond, events: 20, eventPause: 10 * time.Millisecond}
		}); err != nil {
			return false, err
		}
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	delivered := 0
	every(&done, 25*time.Millisecond, time.Now().Add(length), func() {
		q := chat("plan", "f0000001:400", "50000001:200")
		if trouble {
			delete(q.header, "Token-Usage")
		}
		a := f.send(f.anyGateway(), q)
		mu.Lock()
		defer mu.Unlock()
		delivered += a.events * tokensPerEvent
		if !trouble && a.events > 0 {
			delivered += 900
		}
	})
	done.Wait()
	r.say("delivered to the tenant: at least %d tokens, of a quota of %d", delivered, quota)
	return delivered > quota, nil
}

// playDrill plays a tenant that begins to work, and 4.5 s later the drill in which the
// store comes back from a copy, while all gateways are killed and start again.
func playDrill(r *recorder, trouble bool) (bool, error) {
	const (
		quota    = 6_000_000
		prompt   = 9200
		perSend  = 16 * time.Millisecond
		copyAge  = 4500 * time.Millisecond
		away     = time.Second
		length   = 60 * time.Second
		replicas = 9
	)
	cfg := config(1, []any{route("chat", "streaming", "engine", map[string]any{"session_affinity": true, "timeout_ms": 6000, "gap_target_ms": 400})},
		[]string{"engine"}, tenant("one", quota))
	f, err := newFleet(r, cfg)
	if err != nil {
		return false, err
	}
	defer f.close()
	for range replicas {
		if _, err := f.addReplica("engine", 3*time.Second, func(*replica, *http.Request, string) outcome {
			return outcome{delay: 40 * time.Millisecond, events: 17, eventPause: 10 * time.Millisecond}
		}); err != nil {
			return false, err
		}
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	// ONLY=kill and ONLY=drill leave out the other half of the disruption.
	drill, kill := trouble && os.Getenv("ONLY") != "kill", trouble && os.Getenv("ONLY") != "drill"
	var done sync.WaitGroup
	var mu sync.Mutex
	output := 0
	statuses := make(map[int]int)
	old := f.store.Copy()
	r.add("copy", map[string]any{})
	every(&done, perSend, time.Now().Add(length), func() {
		q := chat("plan", "f0000001:6000", "50000001:3000")
		q.header["Token-Usage"] = fmt.Sprintf("%d,51", prompt)
		a := f.send(f.anyGateway(), q)
		mu.Lock()
		defer mu.Unlock()
		output += a.events * tokensPerEvent
		statuses[a.status]++
	})
	time.Sleep(copyAge)
	if kill {
		for _, g := range f.gateways {
			g.kill()
		}
		r.add("killed all gateways", map[string]any{})
	}
	if drill {
		now := f.store.Copy()
		f.store.SetFault(standin.Refusing{Status: http.StatusServiceUnavailable})
		r.add("store away", map[string]any{})
		done.Go(func() {
			time.Sleep(away)
			f.store.Restore(old)
			f.store.WriteAgain(now, "op", "servers")
			f.store.SetFault(nil)
			r.add("store restored", map[string]any{})
		})
	}
	if kill {
		time.Sleep(500 * time.Millisecond)
		for _, g := range f.gateways {
			if err := g.start(); err != nil {
				return false, err
			}
		}
	}
	done.Wait()
	ran := make(map[string]bool)
	for _, x := range f.runs() {
		ran[x.id] = true
	}
	total := len(ran)*prompt + output
	r.say("the tenant got %d tokens (%d requests ran, %d tokens of output) of a quota of %d; statuses %v", total, len(ran), output, quota, statuses)
	r.say("counting only requests that were answered whole: %d tokens", statuses[http.StatusOK]*prompt+output)
	return total > quota, nil
}

// playSilence plays streams that pause at a sound replica while the others are full,
// after a SIGHUP of the gateway that relays them.
func playSilence(r *recorder, trouble bool) (bool, error) {
	const (
		streams = 30
		pause   = 2200 * time.Millisecond
		apply   = 2 * time.Second // config_apply_ms
	)
	cfg := config(1, []any{route("chat", "streaming", "engine", map[string]any{"session_affinity": true, "stream_resumption": true, "max_attempts": 2, "timeout_ms": 15000, "gap_target_ms": 400})},
		[]string{"engine"}, tenant("one", 50_000_000))
	f, err := newFleet(r, cfg)
	if err != nil {
		return false, err
	}
	defer f.close()
	var full atomic.Bool
	var pausing atomic.Int64 // streams that the first replica has begun
	for i := range 3 {
		if _, err := f.addReplica("engine", 3*time.Second, func(*replica, *http.Request, string) outcome {
			o := outcome{delay: 50 * time.Millisecond, events: 60, eventPause: 100 * time.Millisecond}
			if trouble && i == 0 {
				o.pauseAfter, o.pause = 36, pause
			}
			if i > 0 && full.Load() {
				return outcome{full: true}
			}
			if i == 0 {
				pausing.Add(1)
			}
			return o
		}); err != nil {
			return false, err
		}
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(contactWindow)
	g := f.gateways[0]
	if trouble {
		if err := g.command.Process.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
		r.add("SIGHUP", map[string]any{"gateway": g.name})
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	cut, whole, refused := 0, 0, 0
	for range streams {
		done.Go(func() {
			q := chat("stream", "f0000001:400", "50000001:200")
			q.header["Deadline-Ms"] = "15000"
			a := f.send(g, q)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK && a.err == nil:
				whole++
			case a.status == http.StatusOK:
				cut++
			default:
				refused++
			}
		})
		time.Sleep(apply / (streams + 5))
	}
	full.Store(true)
	done.Wait()
	r.say("%d streams were whole, %d were refused, %d began and were cut; the first replica ran %d", whole, refused, cut, pausing.Load())
	return cut > 0, nil
}
