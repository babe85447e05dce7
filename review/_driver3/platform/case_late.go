package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["late"] = late }

// late checks that requests with a part that crashes replicas are no longer sent after
// the fifth crash, when a replica writes its first event and nothing more, and its process
// and connections end some time later.
func late(r *run) (verdict, error) {
	const (
		replicas = 9
		in, out  = 900, 90
		deadly   = "badc0de"
		lasts    = 800 * time.Millisecond // from the first event to the end of the process
		contact  = 3 * time.Second
	)
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	if err := f.configure(standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: 100_000_000})); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	tooLate := 0
	var restarts sync.WaitGroup
	serve := func(rep *replica, w http.ResponseWriter, req *http.Request, body []byte) {
		prefix, id := req.Header.Get("Prompt-Prefix"), req.Header.Get("Attempt-Id")
		shared := prefix[:max(strings.LastIndex(prefix, ","), 0)]
		if !r.trouble || !strings.Contains(shared, deadly) {
			serveModel(rep, w, req, body)
			return
		}
		mu.Lock()
		if len(crashes) >= 5 && time.Since(crashes[4]) > contact {
			tooLate++
			r.printf("%s gets %s with the part %s later than contact_window_ms after the fifth crash, number %d", rep.id, id, deadly, tooLate)
		}
		mu.Unlock()
		pause(25 * time.Millisecond)
		rep.stream(req.Context(), w, 1, 0)
		pause(lasts)
		mu.Lock()
		crashes = append(crashes, time.Now())
		n := len(crashes)
		mu.Unlock()
		r.printf("%s crashes at %s with the part %s, crash %d", rep.id, id, deadly, n)
		restarts.Go(func() { rep.restart(3 * time.Second) })
		rep.crash()
	}
	for i := range replicas {
		e, err := f.startReplica(fmt.Sprintf("engine-%d", i), "engine", serve)
		if err != nil {
			return failed, err
		}
		defer e.close()
	}
	if err := f.addGateways(2); err != nil {
		return failed, err
	}
	pause(6 * time.Second)
	for n := range 30 {
		g := f.gateways[n%len(f.gateways)]
		prefix := fmt.Sprintf("5c1e:600,%s:200,%04x:100", deadly, 0xc000+n)
		a := g.send(request{method: http.MethodPost, path: "/chat/1", key: "key0", timeout: 2 * time.Second,
			usage: fmt.Sprintf("%d,%d", in, out), prefix: prefix, body: fmt.Sprint("prompt ", n)})
		r.printf("caller of w0 at %s: POST /chat/1, Prompt-Prefix %s: %v", g.name, prefix, a)
		pause(700 * time.Millisecond)
	}
	mu.Lock()
	n := len(crashes)
	v := held
	if tooLate > 3 {
		v = broken
	}
	r.printf("%d crashes; %d requests with the part reached replicas later than contact_window_ms after the fifth", n, tooLate)
	mu.Unlock()
	done := make(chan struct{})
	go func() { restarts.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
	return v, nil
}
