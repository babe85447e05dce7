package targetset

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxConsecutiveFailures = 5                // a target is ejected at this number
	failureWindow          = 10 * time.Second // of the failure rate
	maxFailureRate         = 0.5
	// minWindowRequests is the number of requests in the window below which
	// the failure rate is not significant.
	minWindowRequests = 10
	baseEjectionTime  = 10 * time.Second // multiplied by the number of ejections in a row
	maxEjectionTime   = time.Minute
	// After an ejection, the weight of a target rises from slowStartWeight to 1
	// within slowStartTime.
	slowStartTime   = 30 * time.Second
	slowStartWeight = 0.1
)

// health detects failures of one target. Its mutex is held for a few
// instructions only, and only requests to this target contend for it.
type health struct {
	ejectedUntil        atomic.Int64 // Unix nanoseconds, 0 if never ejected
	mu                  sync.Mutex
	consecutiveFailures int
	buckets             [10]bucket // one for each second of failureWindow
	ejections           int        // in a row
}

type bucket struct {
	second           int64
	requests, failed int
}

func newHealth() *health { return &health{} }

// observe counts an outcome and reports whether the target should be ejected.
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
		h.consecutiveFailures = 0
		return false
	}
	b.failed++
	h.consecutiveFailures++
	requests, failed := 0, 0
	for _, b := range h.buckets {
		if second-b.second < int64(failureWindow/time.Second) {
			requests += b.requests
			failed += b.failed
		}
	}
	return h.consecutiveFailures >= maxConsecutiveFailures ||
		requests >= minWindowRequests && float64(failed) > maxFailureRate*float64(requests)
}

// eject starts an ejection. The number of ejections in a row restarts if the
// last one ended more than slowStartTime ago.
func (h *health) eject(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.ejectedUntil.Load(); until == 0 || now.Sub(time.Unix(0, until)) > slowStartTime {
		h.ejections = 0
	}
	h.ejections++
	h.consecutiveFailures, h.buckets = 0, [10]bucket{}
	h.ejectedUntil.Store(now.Add(min(time.Duration(h.ejections)*baseEjectionTime, maxEjectionTime)).UnixNano())
}

func (h *health) ejected(now time.Time) bool { return now.UnixNano() < h.ejectedUntil.Load() }

// eject ejects the target unless it is ejected already or more than a third of
// the targets of its version would be ejected.
func (p *Pool) eject(st *targetState, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.snapshot.Load().groups[groupKey{st.subject(), st.target.Version}]
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

// limitEjected ends the oldest ejections until at most a third of the
// candidates are ejected, since other candidates may have left. Ejections that
// have expired count too, since the time is not known here; ending them again
// only sets their weight to 1.
func limitEjected(candidates []*targetState) {
	var ejected []*targetState
	for _, st := range candidates {
		if st.health.ejectedUntil.Load() != 0 {
			ejected = append(ejected, st)
		}
	}
	slices.SortFunc(ejected, func(a, b *targetState) int {
		return cmp.Compare(a.health.ejectedUntil.Load(), b.health.ejectedUntil.Load())
	})
	for len(ejected) > 0 && 3*len(ejected) > len(candidates) {
		ejected[0].health.ejectedUntil.Store(0)
		ejected = ejected[1:]
	}
}
