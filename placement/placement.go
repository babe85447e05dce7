// Package placement chooses the replica for a request from what this process
// knows: its own work in flight, the placements that other processes tell, and
// the outcomes that it has seen.
//
// Load patterns: long prompts delay the first event and the pauses of all that
// runs beside them, so that each request goes where the least is waiting to be
// read, counting what the replica has read already; requests that share the
// first parts of their prompt meet at one replica until it has more than its
// part of the load (a hot prompt); replicas that crash, fall silent or fail
// requests get no new work for a while. The specs "long prompts", "hot prompt"
// and "silent replicas" replay them.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/replica"
)

// Settings are the figures of the choice.
type Settings struct {
	LoadFactor         float64       // a replica's load may exceed the mean by this factor
	LoadSlack          int           // and by this number of requests
	EjectFor           time.Duration // a replica that failed gets no work for so long
	EjectLimit         time.Duration // bound of EjectFor as failures go on
	SilentAfter        time.Duration // a replica that works and sends nothing for so long gets no more work
	PrefillRate        float64       // prompt tokens that a replica reads per second
	CacheTTL           time.Duration // how long a part of a prompt is taken to be kept by a replica
	CacheMissWeight    float64       // of a token that another replica has read, against one that waits
	BroadcastMinTokens int           // tokens from which other processes are told of a placement
	RefusalBackoff     time.Duration // a replica that refused a request gets no work for so long
	MaxEjected         float64       // share of a service's replicas
	Overload           OverloadPolicy
}

// Defaults returns the settings that hold if nothing else is said.
func Defaults() Settings {
	return Settings{LoadFactor: 1.25, LoadSlack: 2, EjectFor: 1500 * time.Millisecond, EjectLimit: 2 * time.Second,
		SilentAfter: 700 * time.Millisecond, PrefillRate: 35_000, CacheTTL: 8 * time.Second, CacheMissWeight: 2, BroadcastMinTokens: 1500, RefusalBackoff: 100 * time.Millisecond, MaxEjected: 0.5,
		Overload: OverloadPolicy{LateFactor: 0.7, IdlePart: 0.2}}
}

// Request is what a request asks of a replica.
type Request struct {
	SharedParts   []PromptPart  // the shared parts of the prompt, in order; none if there is no prompt
	UniqueTokens  int           // tokens of the prompt that no other request shares
	Priority      int           // 0 is the most urgent; replicas begin urgent requests first
	TargetLatency time.Duration // by when the first event should come; a request that would be late is refused. 0 refuses nothing
	Exclude       map[string]bool
}

// PromptPart is a part of a prompt that requests share. Hash covers the parts
// before it, too.
type PromptPart struct {
	PrefixHash uint64
	Tokens     int
}

// Announcement tells other processes of a placement.
type Announcement struct {
	ReplicaID     string `cbor:"1,keyasint"`
	PrefixHash    uint64 `cbor:"2,keyasint"` // hash of all shared parts
	PrefillTokens int    `cbor:"3,keyasint"` // to be read
}

// HashParts hashes the shared parts of a prompt.
func HashParts(ids []string, tokens []int) []PromptPart {
	parts := make([]PromptPart, 0, len(ids))
	var d xxhash.Digest
	d.Reset()
	for i, id := range ids {
		_, _ = d.WriteString(id)
		_, _ = d.Write([]byte{0})
		parts = append(parts, PromptPart{PrefixHash: d.Sum64(), Tokens: tokens[i]})
	}
	return parts
}

// Choice is the replica for a request and why.
type Choice struct {
	Replica         replica.Replica
	Reason          string
	InFlight        int           // of this process, on that replica
	BacklogTokens   int           // tokens waiting to be read there, as far as known
	CachedTokens    int           // tokens of the prompt that it has read, as far as known
	ExpectedWait    time.Duration // expected until it begins to read the prompt
	ExpectedPrefill time.Duration // expected until it has read the prompt then
	Refused         bool          // for overload; the request is not counted anywhere
	RetryAfter      time.Duration // of a refused request
	ticket          *stats
	waiter          *waiter
}

// Outcome is how a send ended.
type Outcome int

// Outcomes of a send.
const (
	Served           Outcome = iota
	Refused                  // the replica says that it did not run the request
	Failed                   // the replica answered with a failure of its own
	ConnectionBroken         // the connection broke or the answer was not whole
	TimedOut                 // no answer in time
	Canceled                 // the caller left
)

// Placer chooses replicas. It is safe for concurrent use: the path of a request
// reads an immutable snapshot and changes counters.
type Placer struct {
	settings Settings
	mu       sync.Mutex // serializes updates of the snapshot
	known    atomic.Pointer[map[replica.Incarnation]*stats]
	cache    cache
	tell     func(Announcement)
}

// stats is what this process knows of one start of a replica.
type stats struct {
	inFlight  atomic.Int64
	lastHeard atomic.Int64 // Unix nanoseconds; also when work began at an idle replica

	mu        sync.Mutex
	failures  int // in a row
	ejected   time.Time
	backlog   float64 // tokens waiting to be read at backlogAt
	backlogAt time.Time
	waiters   []*waiter // requests of this process without a first event
}

// waiting returns the tokens that wait to be read. Rate is tokens per second.
func (s *stats) waiting(now time.Time, rate float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlogNow(now, rate)
}

func (s *stats) add(tokens int, now time.Time, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog, s.backlogAt = s.backlogNow(now, rate)+float64(tokens), now
}

// backlogNow is called with the lock held.
func (s *stats) backlogNow(now time.Time, rate float64) float64 {
	return max(s.backlog-rate*now.Sub(s.backlogAt).Seconds(), 0)
}

// New returns a placer. Tell is called with placements that other processes
// should know of.
func New(s Settings, tell func(Announcement)) *Placer {
	p := &Placer{settings: s, tell: tell, cache: newCache(s.CacheTTL)}
	p.known.Store(&map[replica.Incarnation]*stats{})
	return p
}

// Update forgets replicas that are gone.
func (p *Placer) Update(live []replica.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.known.Load()
	next := make(map[replica.Incarnation]*stats, len(live))
	for _, r := range live {
		k := r.Incarnation()
		if s := old[k]; s != nil {
			next[k] = s
		} else {
			next[k] = &stats{}
		}
	}
	p.known.Store(&next)
}

func (p *Placer) stats(r replica.Replica) *stats {
	if s := (*p.known.Load())[r.Incarnation()]; s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.known.Load()
	k := r.Incarnation()
	if s := old[k]; s != nil {
		return s
	}
	next := make(map[replica.Incarnation]*stats, len(old)+1)
	for key, s := range old {
		next[key] = s
	}
	next[k] = &stats{}
	p.known.Store(&next)
	return next[k]
}

// EjectedCount returns the number of replicas that get no requests for their
// failures or their silence.
func (p *Placer) EjectedCount(now time.Time) int {
	n := 0
	for _, s := range *p.known.Load() {
		if s.isEjected(now) || s.isSilent(now, p.settings.SilentAfter) {
			n++
		}
	}
	return n
}

// Choose returns the replica for a request, and counts it as in flight until
// Done. It returns false if there is none.
func (p *Placer) Choose(need Request, replicas []replica.Replica, now time.Time, rnd *rand.Rand) (Choice, bool) {
	candidates, ejected := p.candidates(need, replicas, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best, reason := candidates[0], "only"
	switch {
	case need.hasPrompt():
		best, reason = p.byWaiting(need, candidates, now)
	case len(candidates) == 1:
	default:
		best, reason = leastLoaded(candidates, rnd), "least_loaded"
	}
	if ejected {
		reason += "_all_ejected"
	}
	choice := p.choice(need, best, reason)
	if need.hasPrompt() {
		spread := rnd.Float64()
		if _, late := p.settings.Overload.refuses(choice, need.TargetLatency, spread); late {
			// A replica that has to read more may begin sooner.
			best = soonest(need, candidates)
			choice = p.choice(need, best, "soonest")
		}
		if choice.RetryAfter, choice.Refused = p.settings.Overload.refuses(choice, need.TargetLatency, spread); choice.Refused {
			return choice, true
		}
		choice.waiter = best.stats.wait(choice.ExpectedPrefill, need.Priority, now)
		p.place(need, best, now)
	}
	if best.stats.inFlight.Add(1) == 1 {
		best.stats.lastHeard.Store(now.UnixNano())
	}
	return choice, true
}

// place notes what a replica has to read for a request, and tells others if it
// is much.
func (p *Placer) place(need Request, c candidate, now time.Time) {
	tokens := need.tokens() - c.cached
	for _, part := range need.SharedParts {
		p.cache.add(part.PrefixHash, c.replica.ID, now)
	}
	c.stats.add(tokens, now, p.settings.PrefillRate)
	if tokens >= p.settings.BroadcastMinTokens && p.tell != nil {
		placed := Announcement{ReplicaID: c.replica.ID, PrefillTokens: tokens}
		if n := len(need.SharedParts); n > 0 {
			placed.PrefixHash = need.SharedParts[n-1].PrefixHash
		}
		p.tell(placed)
	}
}

// HandleAnnouncement takes a placement of another process.
func (p *Placer) HandleAnnouncement(placed Announcement, now time.Time) {
	for k, s := range *p.known.Load() {
		if k.ID == placed.ReplicaID {
			s.add(max(placed.PrefillTokens, 0), now, p.settings.PrefillRate)
			if placed.PrefixHash != 0 {
				p.cache.add(placed.PrefixHash, placed.ReplicaID, now)
			}
			return
		}
	}
}

type candidate struct {
	replica replica.Replica
	stats   *stats
	load    int64
	backlog float64
	overdue time.Duration
	cached  int
}

// candidates returns the replicas that may be chosen. When more than the
// accepted share is ejected, all are candidates, and ejected is true.
func (p *Placer) candidates(need Request, replicas []replica.Replica, now time.Time) (list []candidate, ejected bool) {
	all := make([]candidate, 0, len(replicas))
	for _, r := range replicas {
		if need.Exclude[r.ID] {
			continue
		}
		s := p.stats(r)
		all = append(all, candidate{replica: r, stats: s, load: s.inFlight.Load()})
	}
	list = make([]candidate, 0, len(all))
	for _, c := range all {
		if !c.stats.isEjected(now) && !c.stats.isSilent(now, p.settings.SilentAfter) {
			list = append(list, c)
		}
	}
	if float64(len(all)-len(list)) > p.settings.MaxEjected*float64(len(all)) || len(list) == 0 {
		return all, len(list) < len(all)
	}
	return list, false
}

// byWaiting takes the replica with the fewest tokens to read before the
// request's first event, among those whose load is within the bound. Without
// any other knowledge, all processes take the replica with the highest weight
// for one that has read the shared parts.
func (p *Placer) byWaiting(need Request, list []candidate, now time.Time) (candidate, string) {
	total := int64(1)
	shared, key := need.tokens()-need.UniqueTokens, uint64(0)
	if n := len(need.SharedParts); n > 0 {
		key = need.SharedParts[n-1].PrefixHash
	}
	home, heaviest := 0, uint64(0)
	// Replicas at which only requests of other processes wait are taken to be
	// as the others are in the mean.
	var overdue time.Duration
	for i := range list {
		total += list[i].load
		list[i].overdue = list[i].stats.overdue(now, need.Priority)
		overdue += list[i].overdue / time.Duration(len(list))
		if key == 0 {
			continue
		}
		if w := weight(key, list[i].replica.ID); i == 0 || w > heaviest {
			home, heaviest = i, w
		}
	}
	bound := int64(p.settings.LoadFactor*float64(total)/float64(len(list))) + int64(p.settings.LoadSlack)
	best := -1
	cost := func(c candidate) float64 { return c.backlog + p.settings.CacheMissWeight*float64(shared-c.cached) }
	for i := range list {
		c := &list[i]
		c.backlog = c.stats.waiting(now, p.settings.PrefillRate)
		if c.backlog > 0 {
			c.overdue = max(c.overdue, overdue)
		}
		c.backlog = max(c.backlog, c.overdue.Seconds()*p.settings.PrefillRate)
		if i == home && key != 0 {
			c.cached = shared
		} else {
			c.cached = p.cache.depth(need.SharedParts, c.replica.ID, now)
		}
		if c.load >= bound {
			continue
		}
		if best < 0 || cost(*c) < cost(list[best]) || cost(*c) == cost(list[best]) && i == home {
			best = i
		}
	}
	switch {
	case best < 0:
		return slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(a.load, b.load) }), "all_over_bound"
	case best == home && key != 0:
		return list[best], "home"
	case list[best].cached == shared && shared > 0:
		return list[best], "cached"
	default:
		return list[best], "least_waiting"
	}
}

func weight(key uint64, id string) uint64 {
	h := xxhash.Sum64String(id) ^ key
	// Finalizer of SplitMix64.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// leastLoaded takes the replica with the smallest load for its slots; ties are
// broken at random, so that processes that start together spread out.
func leastLoaded(list []candidate, rnd *rand.Rand) candidate {
	best, ties := list[0], 1
	for _, c := range list[1:] {
		a, b := c.load*int64(best.replica.Slots), best.load*int64(c.replica.Slots)
		switch {
		case a < b:
			best, ties = c, 1
		case a == b:
			ties++
			if rnd.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// RecordActivity notes that a replica sent something.
func (p *Placer) RecordActivity(c Choice, now time.Time) {
	if c.ticket != nil {
		c.ticket.lastHeard.Store(now.UnixNano())
	}
}

// LastActivity returns when a replica last sent something, or when the first of
// the requests that it works on was sent.
func (p *Placer) LastActivity(c Choice) time.Time {
	if c.ticket == nil {
		return time.Time{}
	}
	return time.Unix(0, c.ticket.lastHeard.Load())
}

// Done ends a request at a replica.
func (p *Placer) Done(c Choice, o Outcome, now time.Time) {
	if c.ticket == nil {
		return
	}
	c.ticket.inFlight.Add(-1)
	c.ticket.began(c.waiter)
	c.ticket.observe(o, now, p.settings)
}

func (s *stats) observe(o Outcome, now time.Time, settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o {
	case Canceled, Failed:
	case Served:
		s.failures = 0
	case Refused:
		s.ejected = now.Add(settings.RefusalBackoff)
	case ConnectionBroken, TimedOut:
		s.failures++
		pause := settings.EjectFor << min(s.failures-1, 4)
		s.ejected = now.Add(min(pause, settings.EjectLimit))
	}
}

// isSilent reports whether a replica with work in flight has sent nothing for
// some time.
func (s *stats) isSilent(now time.Time, limit time.Duration) bool {
	return s.inFlight.Load() > 0 && now.Sub(time.Unix(0, s.lastHeard.Load())) > limit
}

func (s *stats) isEjected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.ejected)
}
