package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["quarantine"] = quarantineShared }

// quarantineShared checks that sound requests are served after requests with one part
// in common have crashed replicas. Their caller and their first part are the same.
func quarantineShared(r *run) (verdict, error) {
	const (
		replicas = 9
		in, out  = 900, 30
		sound    = 30 // before and after the crashes
		first    = "5c1e:600"
		deadly   = "badc0de"
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
	begun := make(map[string]bool) // sound requests that a replica has begun
	var restarts sync.WaitGroup
	serve := func(rep *replica, w http.ResponseWriter, req *http.Request, body []byte) {
		prefix, id := req.Header.Get("Prompt-Prefix"), req.Header.Get("Attempt-Id")
		shared := prefix[:max(strings.LastIndex(prefix, ","), 0)]
		if strings.Contains(shared, deadly) {
			pause(25 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			r.printf("%s begins %s with the part %s and crashes, crash %d", rep.id, id, deadly, n)
			restarts.Go(func() { rep.restart(3 * time.Second) })
			rep.crash()
			return
		}
		mu.Lock()
		begun[id] = true
		mu.Unlock()
		serveModel(rep, w, req, body)
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
	sent := 0
	ask := func(part string) answer {
		sent++
		g := f.gateways[sent%len(f.gateways)]
		prefix := fmt.Sprintf("%s,%s:200,%04x:100", first, part, 0xc000+sent)
		a := g.send(request{method: http.MethodPost, path: "/chat/1", key: "key0", timeout: 2 * time.Second,
			usage: fmt.Sprintf("%d,%d", in, out), prefix: prefix, body: fmt.Sprint("prompt ", sent)})
		r.printf("caller of w0 at %s: POST /chat/1, Prompt-Prefix %s: %v", g.name, prefix, a)
		return a
	}
	// ok reports whether a sound request has begun at its first attempt.
	ok := func(a answer) bool {
		mu.Lock()
		defer mu.Unlock()
		return begun[a.id]
	}
	before, after := 0, 0
	for n := range sound {
		if ok(ask(fmt.Sprintf("a%d", n%5))) {
			before++
		}
		pause(200 * time.Millisecond)
	}
	if r.trouble {
		// Five requests in a row, none like another, while no sound one comes.
		for {
			mu.Lock()
			n := len(crashes)
			mu.Unlock()
			if n >= 5 {
				break
			}
			ask(deadly)
			pause(300 * time.Millisecond)
		}
	}
	pause(2*contact + 500*time.Millisecond)
	for n := range sound {
		if r.trouble && n%10 == 0 {
			ask(deadly) // they still come
		}
		if ok(ask(fmt.Sprintf("a%d", n%5))) {
			after++
		}
		pause(200 * time.Millisecond)
	}
	mu.Lock()
	n := len(crashes)
	mu.Unlock()
	r.printf("sound requests that began at the first attempt: %d of %d before the first crash, %d of %d later than 2 x contact_window_ms after the fifth of %d crashes", before, sound, after, sound, n)
	done := make(chan struct{})
	go func() { restarts.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
	if before < sound/2 {
		return failed, fmt.Errorf("sound requests were not served before the crashes")
	}
	if 2*after < before {
		return broken, nil
	}
	return held, nil
}
