// Package retrybudget bounds how often requests are sent again, for each
// service over a sliding window.
//
// Load pattern: replicas fail under load and every failed request is sent
// again, so that repeats keep the service overloaded. Each process spends at
// most its own share of the fleet's budget, so that the sum holds without
// messages between processes. The test "retry storm" replays it.
package retrybudget

import (
	"sync"
	"time"
)

// buckets is the resolution of the window.
const buckets = 50

// Limit is the budget of the whole fleet.
type Limit struct {
	RetriesPerRequest float64 // repeats per request
	ExtraRetries      float64 // repeats beyond the ratio, of all processes
	Window            time.Duration
}

// safety is the part of the budget that is used; requests of the fleet that
// other processes have not received yet are not counted by anyone.
const safety = 0.8

// Budget counts the requests and repeats of one process. It is safe for
// concurrent use.
type Budget struct {
	limit Limit

	mu        sync.Mutex
	processes int
	services  map[string]*window
}

// New returns a budget that is shared with a number of processes.
func New(limit Limit, processes int) *Budget {
	return &Budget{limit: limit, processes: max(processes, 1), services: make(map[string]*window)}
}

// SetProcessCount sets the number of processes that share the slack.
func (b *Budget) SetProcessCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = max(n, 1)
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.advance(now, b.limit.Window)
	w.requests[w.index]++
}

// TryRetry takes one repeat from a service's budget, or reports that none is
// left.
func (b *Budget) TryRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.advance(now, b.limit.Window)
	if u := b.usage(w); u.Retries+1 > u.Allowed {
		return false
	}
	w.repeats[w.index]++
	return true
}

// Usage is what one process has used of a service's budget in the window.
type Usage struct {
	Retries float64
	Allowed float64
}

// Usage returns the state of all services.
func (b *Budget) Usage(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]Usage, len(b.services))
	for service, w := range b.services {
		w.advance(now, b.limit.Window)
		all[service] = b.usage(w)
	}
	return all
}

func (b *Budget) usage(w *window) Usage {
	requests, repeats := w.sums()
	return Usage{Retries: repeats, Allowed: safety * (b.limit.RetriesPerRequest*requests + b.limit.ExtraRetries/float64(b.processes))}
}

func (b *Budget) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}

// window is a ring of counts.
type window struct {
	requests [buckets]float64
	repeats  [buckets]float64
	index    int
	started  time.Time // of the current bucket
}

func (w *window) advance(now time.Time, length time.Duration) {
	step := length / buckets
	if w.started.IsZero() || now.Sub(w.started) >= length {
		*w = window{started: now}
		return
	}
	for now.Sub(w.started) >= step {
		w.index = (w.index + 1) % buckets
		w.requests[w.index], w.repeats[w.index] = 0, 0
		w.started = w.started.Add(step)
	}
}

func (w *window) sums() (requests, repeats float64) {
	for i := range buckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return requests, repeats
}
