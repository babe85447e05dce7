package targetset

import (
	"cmp"
	"sync/atomic"
	"time"

	"briarreach/config"
)

// targetState is one target with the entry's view of it. The field target is
// immutable; the pointers are shared with the states of earlier snapshots.
type targetState struct {
	target            config.Target
	hash              uint64 // of the name
	counters          *counters
	report            *atomic.Pointer[report] // nil until the first load report
	lastLeavingReport *atomic.Int64           // Unix nanoseconds of the last load report with Leaving set, 0 if none
	markedLeaving     *atomic.Int64           // Unix nanoseconds of MarkLeaving, 0 if not marked; only whether it is 0 matters
	health            *health
	prefixCache       *prefixCache
}

// counters are the entry's own requests in flight at a target.
type counters struct{ requests, tokens atomic.Int64 }

// report is a load report: running and queued requests, held tokens and the
// agent's concurrency limit, with the values of the entry's own counters when the
// report arrived.
type report struct{ requests, heldTokens, limit, ownRequests, ownTokens int64 }

func newState(t config.Target) *targetState {
	return &targetState{
		target:            t,
		hash:              hashName(t.Name),
		counters:          &counters{},
		report:            &atomic.Pointer[report]{},
		lastLeavingReport: &atomic.Int64{},
		markedLeaving:     &atomic.Int64{},
		health:            newHealth(),
		prefixCache:       &prefixCache{},
	}
}

// withConfig returns the state for a new configuration of the target. Requests
// in flight stay counted; everything else is reset if the agent or VM has
// changed, and health and cache if the version, model or service has.
func (s *targetState) withConfig(t config.Target) *targetState {
	next := *s
	next.target = t
	if t.AgentAddr != s.target.AgentAddr || t.VM != s.target.VM {
		moved := newState(t)
		moved.counters = s.counters
		return moved
	}
	if t.Version != s.target.Version || t.Model != s.target.Model || t.Service != s.target.Service {
		next.health, next.prefixCache = newHealth(), &prefixCache{}
	}
	return &next
}

// subject is the model or service of the target.
func (s *targetState) subject() string { return cmp.Or(s.target.Model, s.target.Service) }

func (s *targetState) leaving() bool {
	return s.target.Draining || s.lastLeavingReport.Load() != 0 || s.markedLeaving.Load() != 0
}

// requests estimates the target's requests and held tokens: the last report
// plus the change of the entry's own requests since then. The entry's own
// requests are a lower bound, since a report may be older than its arrival time
// suggests.
func (s *targetState) requests() (requests, heldTokens int64) {
	requests, heldTokens = s.counters.requests.Load(), s.counters.tokens.Load()
	if r := s.report.Load(); r != nil {
		requests = max(requests, r.requests+requests-r.ownRequests)
		heldTokens = max(heldTokens, r.heldTokens+heldTokens-r.ownTokens)
	}
	return requests, heldTokens
}

// load is the share of the capacity in use, including the given tokens of a
// new request.
func (s *targetState) load(tokens int64) float64 {
	requests, heldTokens := s.requests()
	load := float64(requests) / s.capacity()
	if s.target.MaxTokens > 0 {
		load = max(load, float64(heldTokens+tokens)/float64(s.target.MaxTokens))
	}
	return load
}

// capacity is the number of concurrent requests: the configured one, or the
// agent's current limit if that is lower.
func (s *targetState) capacity() float64 {
	capacity := int64(s.target.MaxConcurrent)
	if r := s.report.Load(); r != nil && r.limit > 0 {
		capacity = min(capacity, r.limit)
	}
	return float64(max(1, capacity))
}

// weight is 0 for an ejected target. After the ejection it rises from
// slowStartWeight to 1.
func (s *targetState) weight(at int64) float64 {
	until := s.health.ejectedUntil.Load()
	if until == 0 {
		return 1
	}
	since := time.Duration(at - until)
	switch {
	case since < 0:
		return 0
	case since >= slowStartTime:
		return 1
	}
	return slowStartWeight + (1-slowStartWeight)*float64(since)/float64(slowStartTime)
}

func (s *targetState) cachedBlocks(prefix []uint64, o options, now time.Time) int {
	return s.prefixCache.cachedPrefix(prefix, o.cacheAge, now)
}

// assumeCached records that the target will cache the prompt of a request that
// is sent to it, since cache events may arrive late or get lost.
func (s *targetState) assumeCached(prefix []uint64, o options, now time.Time) {
	s.prefixCache.add(prefix, o.cacheBlocks, now)
}
