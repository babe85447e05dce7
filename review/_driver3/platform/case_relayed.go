package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["relayed"] = relayed }

// relayed checks that a booking that has run is not answered with a status that says that
// it has not, while one of three replicas fails a part of its requests after it has run
// them.
func relayed(r *run) (verdict, error) {
	const bookings = 90
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	if err := f.configure(standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: 1000})); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	ran := make(map[string]int)
	atFaulty := 0
	book := func(rep *replica, w http.ResponseWriter, req *http.Request, body []byte) {
		id := req.Header.Get("Attempt-Id")
		mu.Lock()
		ran[id]++
		fails := false
		if rep.id == "plain-0" {
			atFaulty++
			fails = atFaulty%5 < 2 // 0.4 of its requests
		}
		mu.Unlock()
		r.printf("%s ran %s %s: %s", rep.id, req.Method, id, body)
		pause(15 * time.Millisecond)
		rep.sign(w)
		if r.trouble && fails {
			// The booking is done, but a step after it has failed. There is no Not-Executed.
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, "confirmation can't be sent")
			return
		}
		fmt.Fprint(w, "booked")
	}
	for i := range 3 {
		p, err := f.startReplica(fmt.Sprintf("plain-%d", i), "plain", book)
		if err != nil {
			return failed, err
		}
		defer p.close()
	}
	if err := f.addGateways(2); err != nil {
		return failed, err
	}
	pause(4 * time.Second)
	wrong, served := 0, 0
	for n := range bookings {
		g := f.gateways[n%len(f.gateways)]
		a := g.send(request{method: http.MethodPost, path: "/book/1", key: "key0", timeout: 2 * time.Second, body: fmt.Sprintf("slot %d", n)})
		mu.Lock()
		times := ran[a.id]
		mu.Unlock()
		r.printf("caller at %s: POST /book/1, slot %d: %v; ran %d times", g.name, n, a, times)
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if times > 0 {
				wrong++
			}
		}
	}
	r.printf("%d of %d bookings were answered with success, %d that had run with a status that promises that they have not", served, bookings, wrong)
	if served == 0 {
		return failed, fmt.Errorf("no booking was served")
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
