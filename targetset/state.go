package targetset

import (
	"cmp"
	"sync/atomic"
	"time"

	"briarreach/config"
)

// state is one target with the entry's view of it. Target is immutable; the
// pointers are shared with the states of earlier snapshots.
type state struct {
	target   config.Target
	hash     uint64
	counters *counters
	report   *atomic.Pointer[report]
	notice   *atomic.Int64 // time of the agent's notice to leave, 0 if none
	listed   *atomic.Int64 // time of MarkLeaving, 0 if none
	health   *health
	cache    *cache
}

// counters are the entry's own requests in flight at a target.
type counters struct{ inFlight, tokens atomic.Int64 }

// report is a load report with the entry's own counters when it arrived.
type report struct{ running, held, capacity, inFlight, ownTokens int64 }

func newState(t config.Target) *state {
	return &state{
		target:   t,
		hash:     hashName(t.Name),
		counters: &counters{},
		report:   &atomic.Pointer[report]{},
		notice:   &atomic.Int64{},
		listed:   &atomic.Int64{},
		health:   newHealth(),
		cache:    &cache{},
	}
}

// with returns the state for a changed configuration of the target. Requests
// in flight stay counted; the rest starts anew if the target was replaced.
func (s *state) with(t config.Target) *state {
	next := *s
	next.target = t
	if t.Agent != s.target.Agent || t.VM != s.target.VM {
		fresh := newState(t)
		fresh.counters = s.counters
		return fresh
	}
	if t.Version != s.target.Version || t.Model != s.target.Model || t.Service != s.target.Service {
		next.health, next.cache = newHealth(), &cache{}
	}
	return &next
}

// subject is the model or service of the target.
func (s *state) subject() string { return cmp.Or(s.target.Model, s.target.Service) }

func (s *state) leaving() bool {
	return s.target.Draining || s.notice.Load() != 0 || s.listed.Load() != 0
}

// requests is the last report plus the entry's own requests since then. The
// entry's own requests are a lower bound, since a report may be older than it
// seems.
func (s *state) requests() (running, held int64) {
	running, held = s.counters.inFlight.Load(), s.counters.tokens.Load()
	if r := s.report.Load(); r != nil {
		running = max(running, r.running+running-r.inFlight)
		held = max(held, r.held+held-r.ownTokens)
	}
	return running, held
}

// load is the part of the stated capacity that is in use, for a request with
// further tokens.
func (s *state) load(tokens int64) float64 {
	running, held := s.requests()
	load := float64(running) / s.capacity()
	if s.target.MaxTokens > 0 {
		load = max(load, float64(held+tokens)/float64(s.target.MaxTokens))
	}
	return load
}

// capacity is the number of concurrent requests: the stated one, or the
// agent's current limit if that is lower.
func (s *state) capacity() float64 {
	capacity := int64(s.target.MaxConcurrent)
	if r := s.report.Load(); r != nil && r.capacity > 0 {
		capacity = min(capacity, r.capacity)
	}
	return float64(max(1, capacity))
}

// weight is 0 for an ejected target, and rises from returnWeight to 1 after
// its return.
func (s *state) weight(at int64) float64 {
	until := s.health.ejectedUntil.Load()
	if until == 0 {
		return 1
	}
	since := time.Duration(at - until)
	switch {
	case since < 0:
		return 0
	case since >= returnTime:
		return 1
	}
	return returnWeight + (1-returnWeight)*float64(since)/float64(returnTime)
}

func (s *state) cachedBlocks(prefix []uint64, o options, now time.Time) int {
	return s.cache.leading(prefix, o.cacheAge, now)
}

// expectCached assumes that the target will cache the prompt of a request that
// is sent to it, since cache events arrive late or not at all.
func (s *state) expectCached(prefix []uint64, o options, now time.Time) {
	s.cache.add(prefix, o.cacheBlocks, now)
}
