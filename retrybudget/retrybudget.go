// Package retrybudget bounds the retries of requests, for each service over a
// sliding window.
//
// Load pattern: replicas fail under load and every failed request is retried, so
// that the retries keep the service overloaded (a retry storm). Each process
// spends at most its own share of the fleet's budget, so that the total holds
// without messages between processes. The test "holds for all processes together
// in every window" covers it.
package retrybudget

import (
	"sync"
	"time"
)

// bucketCount is the resolution of the window.
const bucketCount = 50

// Limit bounds the retries of the whole fleet for one service, in each Window.
type Limit struct {
	RetriesPerRequest float64
	ExtraRetries      float64 // per Window, beyond that ratio, over all processes
	Window            time.Duration
}

// usableShare is the share of the limit that is used. The rest is a margin,
// since no process counts the requests that are still on their way to one.
const usableShare = 0.8

// Budget is one process's share of a limit. It counts the process's requests
// and retries. It is safe for concurrent use.
type Budget struct {
	limit Limit

	mu           sync.Mutex
	processCount int
	services     map[string]*window
}

// New returns one process's share of a limit.
func New(limit Limit, processCount int) *Budget {
	return &Budget{limit: limit, processCount: max(processCount, 1), services: make(map[string]*window)}
}

// SetProcessCount sets the number of processes that share ExtraRetries.
func (b *Budget) SetProcessCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processCount = max(n, 1)
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.advance(now, b.limit.Window)
	w.requests[w.current]++
}

// AllowRetry takes one retry from a service's budget, or returns false if none is
// left.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.advance(now, b.limit.Window)
	if u := b.usage(w); u.Retries+1 > u.Allowed {
		return false
	}
	w.retries[w.current]++
	return true
}

// Usage is the use of one process's share of a service's budget in the window.
type Usage struct {
	Retries float64
	Allowed float64
}

// Usage returns the usage of all services.
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
	requests, retries := w.sums()
	return Usage{Retries: retries, Allowed: usableShare * (b.limit.RetriesPerRequest*requests + b.limit.ExtraRetries/float64(b.processCount))}
}

func (b *Budget) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}

// window is a ring buffer of counts.
type window struct {
	requests     [bucketCount]float64
	retries      [bucketCount]float64
	current      int
	currentStart time.Time // start time of the current bucket
}

func (w *window) advance(now time.Time, length time.Duration) {
	bucketLength := length / bucketCount
	if w.currentStart.IsZero() || now.Sub(w.currentStart) >= length {
		*w = window{currentStart: now}
		return
	}
	for now.Sub(w.currentStart) >= bucketLength {
		w.current = (w.current + 1) % bucketCount
		w.requests[w.current], w.retries[w.current] = 0, 0
		w.currentStart = w.currentStart.Add(bucketLength)
	}
}

func (w *window) sums() (requests, retries float64) {
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests, retries
}
