package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["stray-200"] = strayAnswer }

const (
	strayDelay  = 10 * time.Millisecond // after the complete answer
	strayEvery  = 40                    // answers of the faulty replica, one of which is spoiled
	strayBefore = 4 * time.Second       // of sound traffic, so that the gateway is in touch
	strayFor    = 5 * time.Second
	strayWork   = 30 * time.Millisecond
)

// strayTraffic serves requests by two replicas, one of which sends additional bytes
// after one answer in strayEvery, a moment late.
func strayTraffic(w *world, trouble bool, stray, path string) ([]answer, error) {
	if err := w.putConfig(standin.Configuration(1, 64, standin.Workspace{Name: "acme", APIKey: "k1", TokenQuota: 1 << 30})); err != nil {
		return nil, err
	}
	sound := answering(strayWork)
	began := time.Now()
	var count atomic.Int64 // of the faulty replica's answers
	faulty := func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		open := sound(r, c, req, body)
		since := time.Since(began)
		if trouble && since >= strayBefore && since < strayBefore+strayFor && count.Add(1)%strayEvery == 0 {
			id := req.Header.Get("Attempt-Id")
			time.AfterFunc(strayDelay, func() {
				w.record("%s sends additional bytes after its answer to %s", r.id, id)
				_, _ = io.WriteString(c, stray)
			})
		}
		return open
	}
	if _, err := w.addReplica("i-plain-1", "plain", 6, faulty); err != nil {
		return nil, err
	}
	if _, err := w.addReplica("i-plain-2", "plain", 6, sound); err != nil {
		return nil, err
	}
	g, err := w.addGateway(w.store.Address())
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	began = time.Now()
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for n := 0; time.Since(began) < strayBefore+strayFor+time.Second; n++ {
				a := w.send(g.name, g.callers, request{id: fmt.Sprintf("r-%d-%d", i, n), method: http.MethodPost, path: path, key: "k1", body: "one slot", timeout: 2500 * time.Millisecond})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return answers, nil
}

// strayAnswer looks for successes that are not the replica's.
func strayAnswer(w *world, trouble bool) ([]string, error) {
	answers, err := strayTraffic(w, trouble, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nstray", "/book/slot")
	if err != nil {
		return nil, err
	}
	var violations []string
	served := 0
	for _, a := range answers {
		if a.status < 200 || a.status > 299 {
			continue
		}
		served++
		if a.header.Get("Server-Signature") == "" {
			violations = append(violations, fmt.Sprintf("MIXED: %s got %d without a Server-Signature, with the body %q", a.request.id, a.status, a.body))
		}
	}
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return violations, nil
}
