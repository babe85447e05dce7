package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"briarreach/replica"
	"briarreach/replicaspeed"
)

// Speeds knows how fast replicas are. The estimates only order the replicas that may
// get requests: those that leave, pause, are limited, ejected or silent are left out
// before, by candidates.
type Speeds interface {
	// Of returns the estimate of a replica, which takes its samples.
	Of(r replica.Replica) *replicaspeed.Replica
	// Lookup is Of without an effect: the estimate of an unknown replica is not kept.
	Lookup(r replica.Replica) *replicaspeed.Replica
	// SetReplicas sets the live replicas.
	SetReplicas(live []replica.Replica)
}

// WithSpeeds sets what knows the speeds of replicas; without it all are taken as
// equally fast, with Settings.PrefillRate.
func WithSpeeds(s Speeds) Option { return func(p *Placer) { p.speeds = s } }

// WithSlowItself sets what says that this process delays its requests itself, as on a
// saturated link. Requests that are sent then are no samples of the replicas' speeds.
// Without it, none is delayed.
func WithSlowItself(slow func() bool) Option { return func(p *Placer) { p.slowItself = slow } }

const (
	// Expected times count as equal within the factor equalTimes, and within the part
	// equalShare of the target latency: the estimates are no more exact, callers don't
	// notice the difference, and all processes would choose the same replica.
	equalTimes = 1.1
	equalShare = 0.1
	// fasterReplicas is the factor above the least expected time of a request without
	// a prompt up to which replicas are chosen by their load alone.
	fasterReplicas = 1.5
	// overdueFactor is the multiple of its expected time after which a request without
	// a first event is a sample, and again after each further multiple; minOverdue is
	// added to the expected time, as a gateway with little processor time may be late
	// by as much itself.
	overdueFactor = 2
	minOverdue    = 50 * time.Millisecond
)

// rate returns the prompt tokens per second of a candidate.
func (p *Placer) rate(c candidate) float64 {
	if c.estimate.Rate > 0 {
		return c.estimate.Rate
	}
	return p.settings.PrefillRate
}

func (p *Placer) rateOf(s *replicaStats, now time.Time) float64 {
	if s.speed == nil {
		return p.settings.PrefillRate
	}
	return s.speed.Estimate(now).Rate
}

// estimateSpeeds fills in the estimates of the candidates' speeds.
func estimateSpeeds(list []candidate, now time.Time) {
	for i := range list {
		list[i].stats.recordOverdue(now)
		list[i].estimate = list[i].stats.speed.Estimate(now)
	}
}

// leastExpected fills in the estimates of the candidates, and returns the one with
// the least expected time to the first event among those whose load is within their
// share by speed and whose pauses between events the request allows. As in
// leastWaiting, shared tokens that are not cached count CacheMissWeight times. The
// home of the shared parts is chosen by weighted rendezvous hashing, with coarse
// speeds as weights.
func (p *Placer) leastExpected(req Request, list []candidate, now time.Time, rnd *rand.Rand, x *explainer) (candidate, string) {
	total, speeds := 1.0, 0.0
	shared := req.promptTokens() - req.UniqueTokens
	key := rnd.Uint64()
	if n := len(req.SharedParts); n > 0 {
		key = req.SharedParts[n-1].PrefixHash
	}
	home, highest := 0, 0.0
	var overdue time.Duration
	late := 0 // candidates whose pauses are too long
	scores := make([]float64, len(list))
	for i := range list {
		c := &list[i]
		total += float64(c.load)
		speeds += c.estimate.Speed
		c.overdue = c.stats.overdue(now, req.Priority)
		overdue += c.overdue / time.Duration(len(list))
		if req.tooLate(c.estimate) {
			late++
		}
		scores[i] = homeScore(rendezvousWeight(key, c.replica.ID), c.estimate.HomeSpeed)
		if scores[i] > highest {
			home, highest = i, scores[i]
		}
	}
	hasHome := len(req.SharedParts) > 0
	avoidsLate := late*2 <= len(list)
	least, costs := math.Inf(1), make([]float64, len(list))
	for i := range list {
		c := &list[i]
		rate := c.estimate.Rate
		c.queuedTokens = c.stats.currentBacklog(now, rate)
		if c.queuedTokens > 0 {
			c.overdue = max(c.overdue, overdue)
		}
		c.backlogTokens = max(c.queuedTokens, c.overdue.Seconds()*rate)
		if i == home && hasHome {
			c.cachedTokens = shared
		} else {
			c.cachedTokens = p.cache.cachedTokens(req.SharedParts, c.replica.ID, now)
		}
		bound := math.Floor(p.settings.LoadFactor*total*c.estimate.Speed/speeds) + float64(p.settings.LoadSlack)
		x.weigh(c, bound, avoidsLate && req.tooLate(c.estimate))
		if float64(c.load) >= bound || avoidsLate && req.tooLate(c.estimate) {
			costs[i] = math.Inf(1)
			continue
		}
		costs[i] = c.estimate.Base.Seconds() + (c.backlogTokens+float64(req.UniqueTokens)+p.settings.CacheMissWeight*float64(shared-c.cachedTokens))/rate
		least = min(least, costs[i])
	}
	if math.IsInf(least, 1) {
		return slices.MinFunc(list, func(a, b candidate) int {
			return cmp.Compare(float64(a.load)/a.estimate.Speed, float64(b.load)/b.estimate.Speed)
		}), "all_over_bound"
	}
	best := -1
	least = max(least*equalTimes, least+equalShare*req.TargetLatency.Seconds())
	for i := range list {
		if costs[i] <= least && (best < 0 || scores[i] > scores[best]) {
			best = i
		}
	}
	switch {
	case best == home && hasHome:
		return list[best], "home"
	case list[best].cachedTokens == shared && shared > 0:
		return list[best], "cached"
	default:
		return list[best], "least_waiting"
	}
}

// tooLate reports whether the pauses of a replica's streams exceed what the request
// allows.
func (r Request) tooLate(e replicaspeed.Estimate) bool {
	return r.MaxEventGap > 0 && e.LongestPause > r.MaxEventGap
}

// homeScore returns the score of a replica in weighted rendezvous hashing: the
// replica with the highest one is the home, with a probability in proportion to its
// speed.
func homeScore(hash uint64, speed float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -speed / math.Log(u)
}

// leastExpectedLoad returns the replica for a request without a prompt: among those
// whose expected time is near the least one, the one with the smallest load relative
// to its slots. Ties are broken at random in proportion to speed, as other processes,
// whose load is not known here, choose by the same estimates.
func leastExpectedLoad(list []candidate, rnd *rand.Rand) candidate {
	share := func(c candidate) float64 { return float64(c.load) / float64(max(c.replica.Slots, 1)) }
	expected := func(c candidate) float64 { return (1 + share(c)) / c.estimate.Speed }
	least := math.Inf(1)
	for _, c := range list {
		least = min(least, expected(c))
	}
	var best candidate
	ties := 0.0
	for _, c := range list {
		if expected(c) > least*fasterReplicas || ties > 0 && share(c) > share(best) {
			continue
		}
		if ties > 0 && share(c) < share(best) {
			ties = 0
		}
		ties += c.estimate.Speed
		if rnd.Float64()*ties < c.estimate.Speed {
			best = c
		}
	}
	return best
}

// send is a request in flight as a sample of its replica's speed.
type send struct {
	sample      replicaspeed.Sample
	since       time.Time
	nextOverdue time.Duration // time after which it is a sample without a first event
	streaming   bool
	started     bool      // whether it has had its first event
	lastEventAt time.Time // zero until the event after the first
}

func newSend(req Request, choice Choice, c candidate, now time.Time) *send {
	s := &send{since: now, streaming: req.Streaming,
		sample: replicaspeed.Sample{QueuedTokens: c.queuedTokens, OwnTokens: float64(max(req.promptTokens()-c.cachedTokens, 0)), Plain: !req.hasPrompt()}}
	s.nextOverdue = overdueFactor * (choice.ExpectedWait + choice.ExpectedPrefill + minOverdue)
	if req.Streaming && req.hasPrompt() {
		c.stats.mu.Lock()
		c.stats.sends = append(c.stats.sends, s)
		c.stats.mu.Unlock()
	}
	return s
}

// recordOverdue takes samples of the requests that have waited much longer than
// expected.
func (s *replicaStats) recordOverdue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sends {
		if waited := now.Sub(x.since); waited >= x.nextOverdue {
			x.record(s, waited, true, now)
			x.nextOverdue = overdueFactor * waited
		}
	}
}

func (x *send) record(s *replicaStats, took time.Duration, waiting bool, now time.Time) {
	x.sample.Took, x.sample.Waiting = took, waiting
	if s.speed.Record(x.sample, now) {
		x.sample.Counted = took
	}
}

// leave removes a request from those that wait. The caller holds mu.
func (s *replicaStats) leave(x *send) {
	if i := slices.Index(s.sends, x); i >= 0 {
		s.sends = slices.Delete(s.sends, i, i+1)
	}
}

func (x *send) recordFirstEvent(s *replicaStats, now time.Time) {
	if x == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(x)
	x.started = true
	if !x.sample.Plain {
		x.record(s, now.Sub(x.since), false, now)
	}
}

// recordEvent takes the pause before an event. The activity that follows the first
// event at once is that event.
func (x *send) recordEvent(s *replicaStats, now time.Time) {
	if x == nil || !x.started {
		return
	}
	if !x.lastEventAt.IsZero() {
		s.speed.RecordPause(now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// recordEnd takes the sample of a request without a prompt, and of one that has ended
// without a first event because it took too long.
func (x *send) recordEnd(s *replicaStats, o Outcome, now time.Time) {
	if x == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(x)
	if x.started || !x.streaming && !x.sample.Plain || x.streaming && x.sample.Plain {
		return
	}
	switch o {
	case Served:
		if x.sample.Plain {
			x.record(s, now.Sub(x.since), false, now)
		}
	case Canceled, ReplicaTimedOut:
		x.record(s, now.Sub(x.since), true, now)
	}
}
