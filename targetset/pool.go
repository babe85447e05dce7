// Package targetset chooses, in an entry, the target of a request. The current
// time and the source of randomness are always parameters, and the package
// starts no goroutines.
package targetset

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/config"
	"briarreach/peer"
)

// Request describes the request that needs a target. Version "" accepts every
// version. PrefixHashes is the result of the function PrefixHashes,
// ReservedTokens the largest number of tokens that the request may hold, and
// Exclude the names of targets that were tried before.
type Request struct {
	Subject        string // name of the model or service
	Version        string
	PrefixHashes   []uint64
	ReservedTokens int64
	Exclude        []string
}

// Choice is a chosen target. ByAffinity says that it was chosen by prefix
// affinity. CachedBlocks is the number of leading prompt blocks that the entry
// assumes to be cached there.
type Choice struct {
	Target       config.Target
	ByAffinity   bool
	CachedBlocks int
}

// Reason says why there is no target.
type Reason string

// Reasons for the lack of a target.
const (
	NoTargets Reason = "no_targets" // none is configured
	Leaving   Reason = "leaving"    // all are leaving
	Excluded  Reason = "excluded"   // all that are not leaving were tried before or are ejected
	Ejected   Reason = "ejected"    // all that are not leaving are ejected, none was tried before
)

// NoTargetError reports that no target can take the request. Nothing was sent.
type NoTargetError struct {
	Subject, Version string
	Reason           Reason
}

func (e *NoTargetError) Error() string {
	return fmt.Sprintf("target: no target for %s version %q: %s", e.Subject, e.Version, e.Reason)
}

// Outcome is the result of a request with regard to the target's health.
type Outcome int

// Outcomes of requests.
const (
	Succeeded Outcome = iota
	Failed            // counts towards ejection
	Neutral           // refused, cancelled by the caller, and so on
)

// Pool holds the targets of an entry. It is safe for concurrent use: Choose,
// Begin and End read an immutable snapshot and atomic counters.
type Pool struct {
	options  options
	snapshot atomic.Pointer[snapshot]
	mu       sync.Mutex // serialises writers of the snapshot, and ejections
}

type options struct {
	loadBound   float64 // multiple of the mean load
	cacheBlocks int
	cacheAge    time.Duration
	ejection    bool
	affinity    bool
}

// Option changes a pool.
type Option func(*options)

// WithLoadBound sets the load, as a multiple of the mean, above which prefix
// affinity does not apply to a target. The default is 1.15, so that a target
// gets at most 1.25 times the mean: load reports are delayed, and several
// entries together exceed the bound. In simulation, with a bound of 1.25, the
// busiest of 20 targets got 1.30 times the mean.
func WithLoadBound(bound float64) Option { return func(o *options) { o.loadBound = bound } }

// WithCacheBlocks sets the number of prompt blocks that the pool remembers for
// each target. The default is 4096 (32 KiB of memory).
func WithCacheBlocks(blocks int) Option { return func(o *options) { o.cacheBlocks = blocks } }

// WithoutEjection keeps failing targets among the candidates.
func WithoutEjection() Option { return func(o *options) { o.ejection = false } }

// WithoutAffinity chooses by load only.
func WithoutAffinity() Option { return func(o *options) { o.affinity = false } }

// snapshot is immutable except for what the states point to.
type snapshot struct {
	states     map[string]*targetState     // by target name
	groups     map[groupKey][]*targetState // candidates, without leaving targets
	configured map[groupKey]bool           // groups with a configured target
}

// groupKey selects the targets of a model or service, either of one version or,
// with version "", of all.
type groupKey struct{ subject, version string }

// New returns a pool without targets.
func New(opts ...Option) *Pool {
	p := &Pool{options: options{
		loadBound:   1.15,
		cacheBlocks: 4096,
		cacheAge:    10 * time.Minute,
		ejection:    true,
		affinity:    true,
	}}
	for _, opt := range opts {
		opt(&p.options)
	}
	p.snapshot.Store(&snapshot{})
	return p
}

// Update replaces the targets by those of a configuration document. Targets
// that were in the previous document keep their counters of requests in flight
// and, unless the target's configuration has changed, their other state.
func (p *Pool) Update(document *config.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.snapshot.Load()
	states := make(map[string]*targetState, len(document.Targets))
	for name, t := range document.Targets {
		previous := old.states[name]
		if previous == nil {
			states[name] = newState(t)
			continue
		}
		states[name] = previous.withConfig(t)
	}
	p.publish(states)
}

// publish builds and stores the snapshot. The caller must hold the mutex.
func (p *Pool) publish(states map[string]*targetState) {
	s := &snapshot{states: states, groups: map[groupKey][]*targetState{}, configured: map[groupKey]bool{}}
	names := make([]string, 0, len(states))
	for name := range states {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		st := states[name]
		subject := st.subject()
		for _, g := range []groupKey{{subject, st.target.Version}, {subject, ""}} {
			s.configured[g] = true
			if !st.leaving() {
				s.groups[g] = append(s.groups[g], st)
			}
		}
	}
	for g, candidates := range s.groups {
		if g.version != "" {
			limitEjected(candidates)
		}
	}
	p.snapshot.Store(s)
}

// leavingHoldTime is the time after the last load report with Leaving set during
// which reports without it do not end the leaving state: they may have been sent
// earlier and have arrived later on another stream.
const leavingHoldTime = 5 * time.Second

// UpdateLoad records a target's load report. Reports of unknown targets are
// ignored. A report with Leaving set, or a refusal that is passed on as one,
// keeps new requests away from the target; a later report without it ends this
// after leavingHoldTime at the earliest.
func (p *Pool) UpdateLoad(r peer.LoadReport, now time.Time) {
	st := p.snapshot.Load().states[r.Target]
	if st == nil {
		return
	}
	st.report.Store(&report{
		requests:    int64(r.Running + r.Queued),
		heldTokens:  r.HeldTokens,
		limit:       int64(r.MaxConcurrent),
		ownRequests: st.counters.requests.Load(),
		ownTokens:   st.counters.tokens.Load(),
	})
	if !r.Leaving && st.lastLeavingReport.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lastReportAt := st.lastLeavingReport.Load()
	switch {
	case r.Leaving:
		st.lastLeavingReport.Store(now.UnixNano())
	case now.Sub(time.Unix(0, lastReportAt)) >= leavingHoldTime:
		st.lastLeavingReport.Store(0)
	}
	if (lastReportAt != 0) != (st.lastLeavingReport.Load() != 0) {
		p.publish(p.snapshot.Load().states)
	}
}

// MarkLeaving marks a target as leaving because the VM list says so, until
// UnmarkLeaving is called or the configuration gives the target another agent or
// VM.
func (p *Pool) MarkLeaving(name string, now time.Time) { p.setMarkedLeaving(name, now.UnixNano()) }

// UnmarkLeaving removes the mark that MarkLeaving has set.
func (p *Pool) UnmarkLeaving(name string) { p.setMarkedLeaving(name, 0) }

func (p *Pool) setMarkedLeaving(name string, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.snapshot.Load()
	st := s.states[name]
	if st == nil || (st.markedLeaving.Load() != 0) == (at != 0) {
		return
	}
	st.markedLeaving.Store(at)
	p.publish(s.states)
}

// Choose returns a target for the request, or *NoTargetError.
func (p *Pool) Choose(r Request, now time.Time, random *rand.Rand) (Choice, error) {
	s := p.snapshot.Load()
	g := groupKey{r.Subject, r.Version}
	candidates := s.groups[g]
	if len(candidates) == 0 {
		reason := NoTargets
		if s.configured[g] {
			reason = Leaving
		}
		return Choice{}, &NoTargetError{r.Subject, r.Version, reason}
	}
	at := now.UnixNano()
	if p.options.affinity && len(r.PrefixHashes) > 0 {
		if st, blocks := p.chooseByPrefix(candidates, r, now); st != nil {
			st.assumeCached(r.PrefixHashes, p.options, now)
			return Choice{Target: st.target, ByAffinity: true, CachedBlocks: blocks}, nil
		}
	}
	st := chooseByLoad(candidates, r, at, random)
	if st == nil {
		reason := Ejected
		if slices.ContainsFunc(r.Exclude, func(name string) bool { return s.states[name] != nil }) {
			reason = Excluded
		}
		return Choice{}, &NoTargetError{r.Subject, r.Version, reason}
	}
	if p.options.affinity && len(r.PrefixHashes) > 0 {
		st.assumeCached(r.PrefixHashes, p.options, now)
	}
	return Choice{Target: st.target}, nil
}

// chooseByLoad returns the less loaded of two random candidates. With n
// candidates, each is among the two with probability 2/n, and a candidate in its
// slow start usually wins because it has the least load. With weight w, it is
// therefore kept with probability w/2 only, so that it gets at most w/n of the
// requests.
func chooseByLoad(candidates []*targetState, r Request, at int64, random *rand.Rand) *targetState {
	var first *targetState
	// With at most a third of the candidates ejected and few excluded, about
	// half of the draws or more give a usable candidate.
	for range 16 {
		st := candidates[random.Intn(len(candidates))]
		if st == first || st.weight(at) == 0 || slices.Contains(r.Exclude, st.target.Name) {
			continue
		}
		if first == nil {
			first = st
			continue
		}
		better, other := first, st
		if st.load(r.ReservedTokens) < first.load(r.ReservedTokens) {
			better, other = st, first
		}
		if weight := better.weight(at); weight < 1 && random.Float64() >= weight/2 {
			return other
		}
		return better
	}
	if first != nil {
		return first
	}
	// Few candidates are left: choose the least loaded of all.
	best, lowest := (*targetState)(nil), math.Inf(1)
	for _, st := range candidates {
		weight := st.weight(at)
		if weight == 0 || slices.Contains(r.Exclude, st.target.Name) {
			continue
		}
		if load := st.load(r.ReservedTokens) / weight; best == nil || load < lowest {
			best, lowest = st, load
		}
	}
	return best
}

// chooseByPrefix is rendezvous hashing with bounded loads (Mirrokni, Thorup,
// Zadimoghaddam 2018) on the first block of the prompt. Among the candidates
// within the bound, the one with the most cached leading blocks is preferred.
// The bound is at least one request, so that affinity applies at low loads. A
// target in its slow start has no such minimum: with it, it would get one request
// at a time whatever its weight.
func (p *Pool) chooseByPrefix(candidates []*targetState, r Request, now time.Time) (*targetState, int) {
	at := now.UnixNano()
	used, capacity := 0.0, 0.0 // in requests; used counts held tokens if they are the larger share
	for _, st := range candidates {
		if weight := st.weight(at); weight > 0 {
			used += st.load(0) * st.capacity()
			capacity += st.capacity() * weight
		}
	}
	if capacity == 0 {
		return nil, 0
	}
	bound := p.options.loadBound * (used + 1) / capacity
	var best *targetState
	bestBlocks, bestScore := -1, uint64(0)
	for _, st := range candidates {
		weight := st.weight(at)
		if weight == 0 || slices.Contains(r.Exclude, st.target.Name) {
			continue
		}
		allowed := bound * st.capacity() * weight
		if weight == 1 {
			allowed = max(1, math.Floor(allowed))
		}
		if st.load(0)*st.capacity()+1 > allowed {
			continue
		}
		blocks := st.cachedBlocks(r.PrefixHashes, p.options, now)
		if blocks < bestBlocks {
			continue
		}
		score := mix(r.PrefixHashes[0] ^ st.hash)
		if blocks > bestBlocks || score > bestScore {
			best, bestBlocks, bestScore = st, blocks, score
		}
	}
	return best, max(bestBlocks, 0)
}

// Begin counts a request that is sent to a target.
func (p *Pool) Begin(target string, tokens int64) {
	if st := p.snapshot.Load().states[target]; st != nil {
		st.counters.requests.Add(1)
		st.counters.tokens.Add(tokens)
	}
}

// End counts the end of a request. Every Begin needs one End with the same
// tokens. The duration is not used.
func (p *Pool) End(target string, tokens int64, outcome Outcome, _ time.Duration, now time.Time) {
	st := p.snapshot.Load().states[target]
	if st == nil {
		return
	}
	st.counters.requests.Add(-1)
	st.counters.tokens.Add(-tokens)
	if p.options.ejection && st.health.observe(outcome, now) {
		p.eject(st, now)
	}
}

// AddCached records that a target has cached prompt blocks.
func (p *Pool) AddCached(target string, blocks []uint64, now time.Time) {
	if st := p.snapshot.Load().states[target]; st != nil {
		st.prefixCache.add(blocks, p.options.cacheBlocks, now)
	}
}

// RemoveCached records that a target no longer has the prompt blocks. The time
// is not used.
func (p *Pool) RemoveCached(target string, blocks []uint64, _ time.Time) {
	if st := p.snapshot.Load().states[target]; st != nil {
		st.prefixCache.remove(blocks)
	}
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
