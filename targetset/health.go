package targetset

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxConsecutive = 5                // consecutive failures that eject
	failureWindow  = 10 * time.Second // window of the failure rate
	maxFailureRate = 0.5
	// minWindowRequests is the number of requests in the window below which
	// the failure rate says nothing.
	minWindowRequests = 10
	ejectionTime      = 10 * time.Second // times the number of ejections in a row
	maxEjectionTime   = time.Minute
	returnTime        = 30 * time.Second
	returnWeight      = 0.1
)

// health counts the failures of one target. Its mutex is held only for a few
// instructions and concerns only requests of this target.
type health struct {
	ejectedUntil atomic.Int64 // Unix nanoseconds, 0 if never ejected
	mu           sync.Mutex
	consecutive  int
	buckets      [10]bucket // one second each
	ejections    int
}

type bucket struct {
	second           int64
	requests, failed int
}

func newHealth() *health { return &health{} }

// observe counts an outcome and reports whether the target is to be ejected.
func (h *health) observe(outcome Outcome, now time.Time) bool {
	if outcome == Neutral {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	second := now.Unix()
	b := &h.buckets[int(uint64(second)%uint64(len(h.buckets)))]
	if b.second != second {
		*b = bucket{second: second}
	}
	b.requests++
	if outcome == Succeeded {
		h.consecutive = 0
		return false
	}
	b.failed++
	h.consecutive++
	requests, failed := 0, 0
	for _, b := range h.buckets {
		if second-b.second < int64(failureWindow/time.Second) {
			requests += b.requests
			failed += b.failed
		}
	}
	return h.consecutive >= maxConsecutive ||
		requests >= minWindowRequests && float64(failed) > maxFailureRate*float64(requests)
}

// eject ejects the target until the returned time.
func (h *health) eject(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.ejectedUntil.Load(); until == 0 || now.Sub(time.Unix(0, until)) > returnTime {
		h.ejections = 0
	}
	h.ejections++
	h.consecutive, h.buckets = 0, [10]bucket{}
	h.ejectedUntil.Store(now.Add(min(time.Duration(h.ejections)*ejectionTime, maxEjectionTime)).UnixNano())
}

func (h *health) ejected(now time.Time) bool { return now.UnixNano() < h.ejectedUntil.Load() }

// eject ejects the target unless it is ejected already or a third of its
// version would be exceeded.
func (p *Pool) eject(st *state, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.snapshot.Load().groups[group{st.subject(), st.target.Version}]
	if st.health.ejected(now) {
		return
	}
	ejected := 0
	for _, other := range candidates {
		if other.health.ejected(now) {
			ejected++
		}
	}
	if 3*(ejected+1) <= len(candidates) {
		st.health.eject(now)
	}
}

// limitEjected ends the oldest ejections when targets have left, so that the
// ejected ones stay within a third of the version. Ejections that have ended
// by themselves count too, since the time is not known here; ending them again
// only sets their weight to 1.
func limitEjected(candidates []*state) {
	var ejected []*state
	for _, st := range candidates {
		if st.health.ejectedUntil.Load() != 0 {
			ejected = append(ejected, st)
		}
	}
	slices.SortFunc(ejected, func(a, b *state) int {
		return cmp.Compare(a.health.ejectedUntil.Load(), b.health.ejectedUntil.Load())
	})
	for len(ejected) > 0 && 3*len(ejected) > len(candidates) {
		ejected[0].health.ejectedUntil.Store(0)
		ejected = ejected[1:]
	}
}
