// Package placement chooses the replica for a request from what this process
// knows: its own requests in flight, the placements that other processes
// announce, and the outcomes of earlier requests.
//
// Load patterns: the prefill of a long prompt delays the first events and the
// streams of all other requests on the replica, so each request goes to the
// replica with the least prefill work queued, less what that replica has
// cached; requests with a common prompt prefix go to one replica until it
// exceeds its share of the load (a hot prompt); replicas that break
// connections, time out or stop responding are ejected for a while. The specs
// "long prompts", "spreads a hot prompt within the load bound" and "sends
// nothing more to a replica that stopped responding" cover them.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/replica"
	"briarreach/replicanotice"
	"briarreach/replicaspeed"
)

// Settings are the parameters of the placement.
type Settings struct {
	LoadFactor        float64       // a replica's load may be up to this multiple of the mean
	LoadSlack         int           // plus this number of requests
	EjectFor          time.Duration // ejection time after the first broken connection or timeout; doubles with each further one
	EjectLimit        time.Duration // longest ejection time
	SilentAfter       time.Duration // a replica with requests in flight that sends nothing for this long gets no new ones
	PrefillRate       float64       // prompt tokens per second that a replica processes
	CacheTTL          time.Duration // how long a prompt part is assumed to stay in a replica's cache
	CacheMissWeight   float64       // cost of a shared token that the replica has not cached, relative to a queued token
	AnnounceMinTokens int           // placements with fewer tokens to prefill at PrefillRate, or less time at a replica's own rate, are not announced to other processes
	RefusalBackoff    time.Duration // a replica that refused a request gets no new ones for this long
	MaxEjectedShare   float64       // largest share of a service's replicas that may be ejected or silent; beyond it, all are candidates
	Overload          OverloadPolicy
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{LoadFactor: 1.25, LoadSlack: 2, EjectFor: 1500 * time.Millisecond, EjectLimit: 2 * time.Second,
		SilentAfter: 700 * time.Millisecond, PrefillRate: 35_000, CacheTTL: 8 * time.Second, CacheMissWeight: 2, AnnounceMinTokens: 1500, RefusalBackoff: 100 * time.Millisecond, MaxEjectedShare: 0.5,
		Overload: OverloadPolicy{LateFactor: 0.7, IdleWaitShare: 0.2}}
}

// Request describes a request to be placed.
type Request struct {
	SharedParts   []PromptPart    // of the prompt, in order; empty without a prompt
	UniqueTokens  int             // of the prompt, after the shared parts
	Priority      int             // 0 is the most urgent; replicas start urgent requests first
	Streaming     bool            // answered by events, the first of which is recorded with RecordFirstEvent
	MaxEventGap   time.Duration   // longest time between events that counts as on time; 0 if there is none
	TargetLatency time.Duration   // for the first event; a request that would miss it is refused; 0 disables refusals
	Exclude       map[string]bool // replica IDs
}

// PromptPart is a part of a prompt that several requests share. PrefixHash
// covers this part and all parts before it.
type PromptPart struct {
	PrefixHash uint64
	Tokens     int
}

// Announcement informs other processes of a placement.
type Announcement struct {
	ReplicaID     string `cbor:"1,keyasint"`
	PrefixHash    uint64 `cbor:"2,keyasint"` // of all shared parts; 0 if there are none
	PrefillTokens int    `cbor:"3,keyasint"` // not cached by the replica
}

// HashParts returns the shared parts of a prompt with their prefix hashes.
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

// Choice is the replica for a request and why. Reason is for logs and metrics:
//   - only: there is one candidate, and no prompt
//   - least_loaded: without a prompt, by load alone
//   - home: the prompt's home (see leastWaiting) has the least cost
//   - cached: a replica that has all shared parts cached has the least cost
//   - least_waiting: another replica has the least cost
//   - all_over_bound: no load is within the bound; the least loaded replica
//   - limited: none, as the replicas take no more requests per second for now
//   - paused: none, as the replicas have asked for a pause
//   - soonest: the replica with the least cost would be too late; this one is
//     expected to finish the prefill first
//
// The suffix _all_ejected says that ejected replicas were candidates too.
type Choice struct {
	Replica         replica.Replica
	Reason          string
	InFlight        int           // requests of this process on the replica
	BacklogTokens   int           // estimated prompt tokens queued on the replica
	CachedTokens    int           // prompt tokens that the replica is assumed to have cached
	ExpectedWait    time.Duration // until the replica starts the prefill
	ExpectedPrefill time.Duration // duration of the prefill
	Refused         bool          // by this process, because of overload or limits; the request is not counted as in flight
	RetryAfter      time.Duration // of a refused request
	Speed           float64       // of the replica, relative to its service; 0 without WithSpeeds
	stats           *replicaStats
	waiter          *waiter
	send            *send // nil without WithSpeeds
}

// Reasons of a choice that is refused because of what replicas state: their limits,
// or that they want no requests for some time.
const (
	LimitedReason = "limited"
	PausedReason  = "paused"
)

// pausedRetrySpread spreads the returns of callers that were refused during a pause
// over the time in which the replicas take more and more requests again.
const pausedRetrySpread = time.Second

// Outcome is the result of sending a request to a replica.
type Outcome int

// Outcomes.
const (
	Served           Outcome = iota
	ReplicaRefused           // the replica reported that it did not run the request
	Failed                   // the replica responded with an error; does not eject it
	ConnectionBroken         // the connection broke or the response was incomplete
	ReplicaTimedOut          // no complete response in time
	Canceled                 // the caller disconnected
)

// Placer chooses replicas. It is safe for concurrent use: the request path
// reads an immutable snapshot and updates counters.
type Placer struct {
	settings      Settings
	mu            sync.Mutex // serializes updates of the snapshot
	byIncarnation atomic.Pointer[map[replica.Incarnation]*replicaStats]
	cache         prefixCache
	announce      func(Announcement)
	limiter       Limiter
	notices       Notices
	speeds        Speeds // nil without WithSpeeds
	slowItself    func() bool
}

// Limiter bounds the requests per second that this process sends to a replica.
type Limiter interface {
	// Allows reports whether a request may be sent to a replica, and if not, after
	// which time.
	Allows(r replica.Incarnation, now time.Time) (wait time.Duration, allowed bool)
	// Take counts a request that is sent. It returns false if none may be sent.
	Take(r replica.Incarnation, now time.Time) bool
}

// noLimiter allows all requests.
type noLimiter struct{}

func (noLimiter) Allows(replica.Incarnation, time.Time) (time.Duration, bool) { return 0, true }

func (noLimiter) Take(replica.Incarnation, time.Time) bool { return true }

// Notices knows what replicas say of themselves.
type Notices interface {
	State(r replica.Incarnation, now time.Time) replicanotice.State
	// DrainTimeout is the time after its first notice in which a replica that leaves
	// still takes requests.
	DrainTimeout() time.Duration
}

// noNotices is for replicas that say nothing.
type noNotices struct{}

func (noNotices) State(replica.Incarnation, time.Time) replicanotice.State {
	return replicanotice.State{Share: 1}
}

func (noNotices) DrainTimeout() time.Duration { return 0 }

// Option changes a default of New.
type Option func(*Placer)

// WithNotices sets what knows the replicas that leave or pause; without it none do.
func WithNotices(n Notices) Option { return func(p *Placer) { p.notices = n } }

// WithLimiter sets what bounds the requests to a replica; without it nothing does.
func WithLimiter(l Limiter) Option { return func(p *Placer) { p.limiter = l } }

// replicaStats is what this process knows about one incarnation of a replica.
type replicaStats struct {
	speed        *replicaspeed.Replica // nil without WithSpeeds
	inFlight     atomic.Int64
	lastActivity atomic.Int64 // Unix nanoseconds; also set when an idle replica gets a request

	mu            sync.Mutex
	failures      int // broken connections and timeouts since the last request that was served
	ejectedUntil  time.Time
	backlogTokens float64 // prompt tokens queued at backlogAt
	backlogAt     time.Time
	waiters       []*waiter // requests of this process before their first event
	sends         []*send   // those of waiters that are samples of the replica's speed
}

// currentBacklog returns the estimated prompt tokens queued on the replica.
// Rate is tokens per second.
func (s *replicaStats) currentBacklog(now time.Time, rate float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentBacklogLocked(now, rate)
}

func (s *replicaStats) addBacklog(tokens int, now time.Time, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlogTokens, s.backlogAt = s.currentBacklogLocked(now, rate)+float64(tokens), now
}

// currentBacklogLocked returns the backlog less what was prefilled since its
// last update. The caller holds mu.
func (s *replicaStats) currentBacklogLocked(now time.Time, rate float64) float64 {
	return max(s.backlogTokens-rate*now.Sub(s.backlogAt).Seconds(), 0)
}

// New returns a placer. It calls announce with each placement that other
// processes should know.
func New(s Settings, announce func(Announcement), opts ...Option) *Placer {
	p := &Placer{settings: s, announce: announce, cache: newPrefixCache(s.CacheTTL), limiter: noLimiter{}, notices: noNotices{}, slowItself: func() bool { return false }}
	for _, opt := range opts {
		opt(p)
	}
	p.byIncarnation.Store(&map[replica.Incarnation]*replicaStats{})
	return p
}

// SetReplicas sets the live replicas: it keeps the statistics of known ones,
// starts those of new ones, and drops all others. Announcements of placements
// on replicas without statistics are ignored.
func (p *Placer) SetReplicas(live []replica.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.byIncarnation.Load()
	next := make(map[replica.Incarnation]*replicaStats, len(live))
	for _, r := range live {
		k := r.Incarnation()
		if s := old[k]; s != nil {
			next[k] = s
		} else {
			next[k] = p.newStats(r)
		}
	}
	p.byIncarnation.Store(&next)
	if p.speeds != nil {
		p.speeds.SetReplicas(live)
	}
}

func (p *Placer) newStats(r replica.Replica) *replicaStats {
	if p.speeds == nil {
		return &replicaStats{}
	}
	return &replicaStats{speed: p.speeds.Of(r)}
}

func (p *Placer) stats(r replica.Replica) *replicaStats {
	if s := (*p.byIncarnation.Load())[r.Incarnation()]; s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.byIncarnation.Load()
	k := r.Incarnation()
	if s := old[k]; s != nil {
		return s
	}
	next := make(map[replica.Incarnation]*replicaStats, len(old)+1)
	for key, s := range old {
		next[key] = s
	}
	next[k] = p.newStats(r)
	p.byIncarnation.Store(&next)
	return next[k]
}

// EjectedCount returns the number of replicas that are ejected or have stopped
// responding.
func (p *Placer) EjectedCount(now time.Time) int {
	n := 0
	for _, s := range *p.byIncarnation.Load() {
		if s.isEjected(now) || s.isSilent(now, p.settings.SilentAfter) {
			n++
		}
	}
	return n
}

// Choose returns the replica for a request, and counts the request as in flight
// until Done. It returns false if there is no candidate. If there are some but their
// limits are exhausted, or they pause, the choice is refused with LimitedReason or
// PausedReason.
func (p *Placer) Choose(req Request, replicas []replica.Replica, now time.Time, rnd *rand.Rand) (Choice, bool) {
	for {
		candidates, includesEjected, wait := p.candidates(req, replicas, now, rnd, nil)
		if len(candidates) == 0 {
			return unavailable(wait, rnd), wait.duration > 0
		}
		if p.speeds != nil {
			estimateSpeeds(candidates, now)
		}
		best, choice := p.decide(req, candidates, includesEjected, now, rnd, nil)
		// Another request may have taken the last one that the replica takes for now.
		if choice.Refused || p.commit(req, best, &choice, now) {
			return choice, true
		}
	}
}

// unavailable returns the refusal of a request that no replica takes for now.
func unavailable(wait unavailability, rnd *rand.Rand) Choice {
	// The jitter keeps callers from returning all at once.
	spread := wait.duration
	if wait.reason == PausedReason {
		spread = pausedRetrySpread
	}
	return Choice{Refused: true, Reason: wait.reason, ExpectedWait: wait.duration, RetryAfter: wait.duration + time.Duration(rnd.Float64()*float64(spread))}
}

// decide returns the best of the candidates, whose speeds are estimated, and the choice
// of it, which may be refused. It changes only the list and x, which is nil on the
// request path.
func (p *Placer) decide(req Request, candidates []candidate, includesEjected bool, now time.Time, rnd *rand.Rand, x *explainer) (candidate, Choice) {
	best, reason := candidates[0], "only"
	switch {
	case req.hasPrompt() && p.speeds != nil:
		best, reason = p.leastExpected(req, candidates, now, rnd, x)
	case req.hasPrompt():
		best, reason = p.leastWaiting(req, candidates, now, x)
	case len(candidates) == 1:
	case p.speeds != nil:
		best, reason = leastExpectedLoad(candidates, rnd), "least_loaded"
	default:
		best, reason = leastLoaded(candidates, rnd), "least_loaded"
	}
	if includesEjected {
		reason += "_all_ejected"
	}
	choice := p.choice(req, best, reason)
	if req.hasPrompt() {
		spread := rnd.Float64()
		if _, late := p.settings.Overload.refuses(choice, req.TargetLatency, spread); late {
			// A replica with a longer prefill but a shorter queue may be sooner.
			best = p.soonest(req, candidates)
			choice = p.choice(req, best, "soonest")
		}
		choice.RetryAfter, choice.Refused = p.settings.Overload.refuses(choice, req.TargetLatency, spread)
	}
	return best, choice
}

// commit counts a choice that is not refused as in flight. It returns false if the
// replica's limit is exhausted.
func (p *Placer) commit(req Request, best candidate, choice *Choice, now time.Time) bool {
	if !p.limiter.Take(best.replica.Incarnation(), now) {
		return false
	}
	if req.hasPrompt() {
		choice.waiter = best.stats.addWaiter(choice.ExpectedPrefill, req.Priority, now)
		p.recordPlacement(req, best, now)
	}
	if p.speeds != nil && !p.slowItself() {
		choice.send = newSend(req, *choice, best, now)
	}
	if best.stats.inFlight.Add(1) == 1 {
		best.stats.lastActivity.Store(now.UnixNano())
	}
	return true
}

// recordPlacement adds a request's prefill to the replica's backlog, and
// announces it to other processes if it is long.
func (p *Placer) recordPlacement(req Request, c candidate, now time.Time) {
	tokens := req.promptTokens() - c.cachedTokens
	for _, part := range req.SharedParts {
		p.cache.add(part.PrefixHash, c.replica.ID, now)
	}
	c.stats.addBacklog(tokens, now, p.rate(c))
	if p.announce != nil && float64(tokens)*p.settings.PrefillRate >= float64(p.settings.AnnounceMinTokens)*p.rate(c) {
		a := Announcement{ReplicaID: c.replica.ID, PrefillTokens: tokens}
		if n := len(req.SharedParts); n > 0 {
			a.PrefixHash = req.SharedParts[n-1].PrefixHash
		}
		p.announce(a)
	}
}

// HandleAnnouncement records a placement by another process.
func (p *Placer) HandleAnnouncement(a Announcement, now time.Time) {
	for k, s := range *p.byIncarnation.Load() {
		if k.ID == a.ReplicaID {
			s.addBacklog(max(a.PrefillTokens, 0), now, p.rateOf(s, now))
			if a.PrefixHash != 0 {
				p.cache.add(a.PrefixHash, a.ReplicaID, now)
			}
			return
		}
	}
}

type candidate struct {
	replica       replica.Replica
	stats         *replicaStats
	load          int64
	backlogTokens float64
	overdue       time.Duration
	cachedTokens  int
	estimate      replicaspeed.Estimate // zero without WithSpeeds
	queuedTokens  float64               // of the backlog, without what overdue adds to it; 0 without WithSpeeds
}

// unavailability is the shortest time until a replica takes another request, and
// why it takes none now.
type unavailability struct {
	duration time.Duration
	reason   string
}

func (u *unavailability) add(d time.Duration, reason string) {
	if u.duration == 0 || d < u.duration {
		u.duration, u.reason = d, reason
	}
}

// candidates returns the replicas that may be chosen. Those that leave, or take only
// a share of their requests after a pause, are candidates if there are no others. If
// more than MaxEjectedShare of the replicas are ejected or silent, or all are, it
// returns all of them, and includesEjected is true. x, which is nil on the request
// path, gets the replicas that are left out.
func (p *Placer) candidates(req Request, replicas []replica.Replica, now time.Time, rnd *rand.Rand, x *explainer) (list []candidate, includesEjected bool, wait unavailability) {
	all := make([]candidate, 0, len(replicas))
	var reserve []candidate
	// The least loaded replica would get each request that it is a candidate for.
	fairShare := p.settings.LoadFactor / float64(len(replicas))
	for _, r := range replicas {
		if req.Exclude[r.ID] {
			x.leaveOut(r, VerdictExcluded, 0)
			continue
		}
		state := p.notices.State(r.Incarnation(), now)
		if state.Gone {
			x.leaveOut(r, VerdictGone, 0)
			continue
		}
		if state.PausedFor > 0 {
			wait.add(state.PausedFor, PausedReason)
			x.leaveOut(r, VerdictPaused, state.PausedFor)
			continue
		}
		if d, allowed := p.limiter.Allows(r.Incarnation(), now); !allowed {
			wait.add(d, LimitedReason)
			x.leaveOut(r, VerdictLimited, d)
			continue
		}
		s := x.stats(p, r)
		c := candidate{replica: r, stats: s, load: s.inFlight.Load()}
		if state.Leaving && !p.keepsParts(req, r, state.LeavingFor, now) || state.Share < 1 && rnd.Float64() >= state.Share*fairShare {
			reserve = append(reserve, c)
			continue
		}
		all = append(all, c)
	}
	list = make([]candidate, 0, len(all))
	for _, c := range all {
		if !c.stats.isEjected(now) && !c.stats.isSilent(now, p.settings.SilentAfter) {
			list = append(list, c)
		}
	}
	if len(list) == 0 && len(reserve) > 0 {
		x.leaveOutUnsound(all, now, p.settings.SilentAfter)
		return reserve, false, wait
	}
	x.leaveOutReserve(reserve, p.notices, now)
	if float64(len(all)-len(list)) > p.settings.MaxEjectedShare*float64(len(all)) || len(list) == 0 {
		return all, len(list) < len(all), wait
	}
	x.leaveOutUnsound(all, now, p.settings.SilentAfter)
	return list, false, wait
}

// keepsParts reports whether a request is still placed on a replica that leaves,
// because that has all its shared parts cached. Each prefix moves to another replica
// at a moment of its own in the first half of the drain, so that the others do not
// have to read all of them at once.
func (p *Placer) keepsParts(req Request, r replica.Replica, leavingFor time.Duration, now time.Time) bool {
	n := len(req.SharedParts)
	if n == 0 || p.cache.cachedTokens(req.SharedParts, r.ID, now) < req.promptTokens()-req.UniqueTokens {
		return false
	}
	moment := float64(rendezvousWeight(req.SharedParts[n-1].PrefixHash, r.ID)) / math.MaxUint64
	return leavingFor < time.Duration(moment*float64(p.notices.DrainTimeout()/2))
}

// leastWaiting fills in the estimates of the candidates, and returns the one
// with the least cost among those whose load is within the bound; if there is
// none, the least loaded one. The cost of a replica is its queued tokens, and
// CacheMissWeight times the request's shared tokens that it has not cached. All
// processes assume that the replica with the highest rendezvous hash of the
// shared parts (its home) has them cached.
func (p *Placer) leastWaiting(req Request, list []candidate, now time.Time, x *explainer) (candidate, string) {
	total := int64(1)
	shared, key := req.promptTokens()-req.UniqueTokens, uint64(0)
	if n := len(req.SharedParts); n > 0 {
		key = req.SharedParts[n-1].PrefixHash
	}
	home, heaviest := 0, uint64(0)
	// A replica with a backlog is assumed to be at least as far behind as the
	// mean, since other processes' requests may be queued on it.
	var overdue time.Duration
	for i := range list {
		total += list[i].load
		list[i].overdue = list[i].stats.overdue(now, req.Priority)
		overdue += list[i].overdue / time.Duration(len(list))
		if key == 0 {
			continue
		}
		if w := rendezvousWeight(key, list[i].replica.ID); i == 0 || w > heaviest {
			home, heaviest = i, w
		}
	}
	bound := int64(p.settings.LoadFactor*float64(total)/float64(len(list))) + int64(p.settings.LoadSlack)
	best := -1
	cost := func(c candidate) float64 {
		return c.backlogTokens + p.settings.CacheMissWeight*float64(shared-c.cachedTokens)
	}
	for i := range list {
		c := &list[i]
		c.backlogTokens = c.stats.currentBacklog(now, p.settings.PrefillRate)
		if c.backlogTokens > 0 {
			c.overdue = max(c.overdue, overdue)
		}
		c.backlogTokens = max(c.backlogTokens, c.overdue.Seconds()*p.settings.PrefillRate)
		if i == home && key != 0 {
			c.cachedTokens = shared
		} else {
			c.cachedTokens = p.cache.cachedTokens(req.SharedParts, c.replica.ID, now)
		}
		x.weigh(c, float64(bound), false)
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
	case list[best].cachedTokens == shared && shared > 0:
		return list[best], "cached"
	default:
		return list[best], "least_waiting"
	}
}

func rendezvousWeight(key uint64, id string) uint64 {
	h := xxhash.Sum64String(id) ^ key
	// Finalizer of SplitMix64.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// leastLoaded returns the replica with the smallest load relative to its slots.
// Ties are broken at random, so that processes that start together choose
// different replicas.
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

// RecordActivity notes that a replica sent data.
func (p *Placer) RecordActivity(c Choice, now time.Time) {
	if c.stats != nil {
		c.stats.lastActivity.Store(now.UnixNano())
		c.send.recordEvent(c.stats, now)
	}
}

// LastActivity returns when a replica last sent data or, if later, when it
// received a request while idle.
func (p *Placer) LastActivity(c Choice) time.Time {
	if c.stats == nil {
		return time.Time{}
	}
	return time.Unix(0, c.stats.lastActivity.Load())
}

// Done removes a request from those in flight and records its outcome.
func (p *Placer) Done(c Choice, o Outcome, now time.Time) {
	if c.stats == nil {
		return
	}
	c.stats.inFlight.Add(-1)
	c.stats.removeWaiter(c.waiter)
	c.send.recordEnd(c.stats, o, now)
	c.stats.recordOutcome(o, now, p.settings)
}

func (s *replicaStats) recordOutcome(o Outcome, now time.Time, settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o {
	case Canceled, Failed:
	case Served:
		s.failures = 0
	case ReplicaRefused:
		s.ejectedUntil = now.Add(settings.RefusalBackoff)
	case ConnectionBroken, ReplicaTimedOut:
		s.failures++
		ejection := settings.EjectFor << min(s.failures-1, 4)
		s.ejectedUntil = now.Add(min(ejection, settings.EjectLimit))
	}
}

// isSilent reports whether a replica with requests in flight has sent nothing
// for longer than timeout.
func (s *replicaStats) isSilent(now time.Time, timeout time.Duration) bool {
	return s.inFlight.Load() > 0 && now.Sub(time.Unix(0, s.lastActivity.Load())) > timeout
}

func (s *replicaStats) isEjected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.ejectedUntil)
}
