package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["incomplete-entry"] = incompleteEntry }

// incompleteEntry drains one of six replicas while another writer puts an entry
// with missing fields under its ID.
func incompleteEntry(w *world, trouble bool) ([]string, error) {
	const (
		drainTimeout = 2 * time.Second
		serves       = 8 * time.Second // how long the replica serves after its report
		writesAt     = time.Second     // after the report
	)
	if err := w.putConfig(standin.Configuration(1, 64, standin.Workspace{Name: "acme", APIKey: "k1", TokenQuota: 1 << 30})); err != nil {
		return nil, err
	}
	entry := func(r *replica, state string) map[string]any {
		return map[string]any{"service": "plain", "address": r.address().String(), "zone": "attica-a", "version": "v1", "concurrency_slots": 6,
			"state": state, "cold_remaining_ms": 0, "seq": 1, "born": w.started.UnixMilli()}
	}
	put := func(r *replica, who string, fields map[string]any) error {
		data, err := json.Marshal(fields)
		if err != nil {
			return err
		}
		w.store.Put("servers", "", r.id, data)
		w.record("%s writes servers/%s: %s", who, r.id, data)
		return nil
	}
	for i := range 6 {
		r, err := newReplica(w, fmt.Sprintf("i-plain-%d", i+1), answering(30*time.Millisecond))
		if err != nil {
			return nil, err
		}
		w.replicas = append(w.replicas, r)
		if err := put(r, r.id, entry(r, "ready")); err != nil {
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
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				w.send(g.name, g.callers, request{id: fmt.Sprintf("r-%d-%d", i, n), method: http.MethodPost, path: "/book/slot", key: "k1", body: "one slot", timeout: 2500 * time.Millisecond})
			}
		})
	}
	time.Sleep(4 * time.Second) // so that the gateway is in touch
	leaving := w.replicas[5]
	if err := put(leaving, leaving.id, entry(leaving, "draining")); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	time.Sleep(writesAt)
	if trouble {
		incomplete := entry(leaving, "ready")
		delete(incomplete, "version")
		delete(incomplete, "seq")
		delete(incomplete, "cold_remaining_ms")
		delete(incomplete, "born")
		if err := put(leaving, "another writer", incomplete); err != nil {
			return nil, err
		}
	}
	time.Sleep(serves - time.Since(confirmed))
	leaving.close()
	w.record("%s exits", leaving.id)
	close(stop)
	clients.Wait()
	var violations []string
	for _, e := range leaving.runs() {
		if after := e.at.Sub(confirmed); after > drainTimeout {
			violations = append(violations, fmt.Sprintf("DRAIN: %s reached %s %d ms after the store confirmed that it drains", e.id, leaving.id, after.Milliseconds()))
		}
	}
	if len(leaving.runs()) == 0 {
		return nil, fmt.Errorf("%s never got a request", leaving.id)
	}
	return violations, nil
}
