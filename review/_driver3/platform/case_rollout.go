package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["rollout"] = rollout }

// rollout checks that a bad version gets no requests when the operator orders the traffic
// of its service back to the version before.
func rollout(r *run) (verdict, error) {
	const (
		duration = 12 * time.Second // duration_s of the order
		rollback = 5 * time.Second  // rollback_timeout_ms
		margin   = time.Second      // for requests that were sent before
		badMost  = 50               // bad answers of a version
	)
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	if err := f.configure(standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: 1000})); err != nil {
		return failed, err
	}
	start := func(version string, handle func(*replica, http.ResponseWriter, *http.Request, []byte)) error {
		f.version = version
		for i := range 3 {
			p, err := f.startReplica(fmt.Sprintf("plain-%s-%d", version, i), "plain", handle)
			if err != nil {
				return err
			}
			f.replicas = append(f.replicas, p)
			r.printf("%s of version %s is ready", p.id, version)
		}
		return nil
	}
	var mu sync.Mutex
	old, arrived, bad, late := 0, 0, 0, 0
	var fiftieth time.Time
	if err := start("v1", func(rep *replica, w http.ResponseWriter, req *http.Request, body []byte) {
		mu.Lock()
		old++
		mu.Unlock()
		servePlain(rep, w, req, body)
	}); err != nil {
		return failed, err
	}
	if err := f.addGateways(2); err != nil {
		return failed, err
	}
	pause(4 * time.Second)
	order := func(target string) {
		data, err := json.Marshal(map[string]any{"service": "plain", "target": target, "duration_s": int(duration.Seconds())})
		if err != nil {
			return
		}
		f.store.Put("op", "", "rollout/plain", data)
		r.printf("operator: roll-out of plain to %s ordered, duration_s %d", target, int(duration.Seconds()))
	}
	order("v2")
	if err := start("v2", func(rep *replica, w http.ResponseWriter, req *http.Request, _ []byte) {
		mu.Lock()
		arrived++
		fails := arrived%2 == 0
		if fails {
			bad++
			if bad == badMost {
				fiftieth = time.Now()
			}
		}
		tooLate := !fiftieth.IsZero() && time.Since(fiftieth) > rollback+margin
		if tooLate {
			late++
		}
		mu.Unlock()
		r.printf("%s of v2 runs %s, fails %v, later than rollback_timeout_ms after the %dth bad answer %v", rep.id, req.Header.Get("Attempt-Id"), fails, badMost, tooLate)
		pause(15 * time.Millisecond)
		rep.sign(w)
		if fails {
			w.WriteHeader(http.StatusInternalServerError)
		}
		fmt.Fprintf(w, "answer of %s", rep.id)
	}); err != nil {
		return failed, err
	}
	back := time.Now().Add(duration + time.Second)
	end := back.Add(25 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		if r.trouble && !back.IsZero() && time.Now().After(back) {
			back = time.Time{}
			r.printf("status/rollout/plain is %q", f.store.Value("status", "", "rollout/plain"))
			order("v1")
		}
		g := f.gateways[n%len(f.gateways)]
		a := g.send(request{method: http.MethodGet, path: "/read/1", key: "key0", timeout: 2 * time.Second})
		r.printf("caller at %s: GET /read/1: %v", g.name, a)
		pause(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	r.printf("v1 got %d requests; v2 got %d and gave %d bad answers; %d of them arrived later than rollback_timeout_ms + 1 s after the %dth", old, arrived, bad, late, badMost)
	if old == 0 {
		return failed, errors.New("v1 got no requests")
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
