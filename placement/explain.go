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

// Verdict says why a replica was taken for a request or left out.
type Verdict string

// Verdicts.
const (
	VerdictTaken         Verdict = "taken"
	VerdictRefused       Verdict = "refused"          // the best one, but the request would be late
	VerdictNotBest       Verdict = "not_best"         // may be chosen, but another one is preferred
	VerdictOverBound     Verdict = "over_bound"       // its load has reached its share
	VerdictPausesTooLong Verdict = "pauses_too_long"  // between the events of its streams
	VerdictEjected       Verdict = "ejected"          // for broken connections, timeouts or a refusal
	VerdictSilent        Verdict = "silent"           // sends nothing although it has requests
	VerdictLimited       Verdict = "limited"          // takes no more requests per second for now
	VerdictPaused        Verdict = "paused"           // asked for a pause
	VerdictResuming      Verdict = "resuming"         // takes a share of its requests after a pause
	VerdictLeaving       Verdict = "leaving"          // others are preferred
	VerdictGone          Verdict = "gone"             // has left
	VerdictExcluded      Verdict = "excluded"         // by Request.Exclude
	VerdictEvacuated     Verdict = "evacuated"        // its failure domain is evacuated
	VerdictWithheld      Verdict = "version_withheld" // its version gets no requests
)

// LeftOut is a replica that the caller of Explain leaves out before any choice.
type LeftOut struct {
	Replica replica.Replica
	Verdict Verdict
}

// Explanation is what Choose would return for a request, and why.
type Explanation struct {
	Choice     Choice // not in flight; Done has no effect on it
	Found      bool   // as the second result of Choose
	Candidates []Considered
}

// Considered is a replica that Explain considered. The estimates are those of Choose;
// for replicas that are left out before these are compared, they are made without the
// mean of the others' overdue time and without a home.
type Considered struct {
	Replica       replica.Replica
	Verdict       Verdict
	Wait          time.Duration // until the replica takes requests again, if it is limited or paused
	Expected      time.Duration // until the first event; 0 without a prompt
	Load          int           // requests of this process in flight
	Bound         int           // of Load for this request; 0 if none was applied
	BacklogTokens int
	CachedTokens  int
	Speed         float64 // relative to the service; 0 without WithSpeeds
}

// explainer collects what Explain returns. On the request path it is nil, and its
// methods do nothing.
type explainer struct {
	leftOut []Considered
	bounds  map[string]float64 // by replica ID
	late    map[string]bool    // replica IDs
}

// stats returns the statistics of a replica. Explain must not add those of an unknown
// one.
func (x *explainer) stats(p *Placer, r replica.Replica) *replicaStats {
	if x == nil {
		return p.stats(r)
	}
	if s := (*p.byIncarnation.Load())[r.Incarnation()]; s != nil {
		return s
	}
	if p.speeds == nil {
		return &replicaStats{}
	}
	return &replicaStats{speed: p.speeds.Lookup(r)}
}

func (x *explainer) leaveOut(r replica.Replica, v Verdict, wait time.Duration) {
	if x != nil {
		x.leftOut = append(x.leftOut, Considered{Replica: r, Verdict: v, Wait: wait})
	}
}

// leaveOutUnsound leaves out the ejected and silent ones of a list.
func (x *explainer) leaveOutUnsound(list []candidate, now time.Time, silentAfter time.Duration) {
	if x == nil {
		return
	}
	for _, c := range list {
		switch {
		case c.stats.isEjected(now):
			x.leaveOut(c.replica, VerdictEjected, 0)
		case c.stats.isSilent(now, silentAfter):
			x.leaveOut(c.replica, VerdictSilent, 0)
		}
	}
}

// leaveOutReserve leaves out those that leave or take a share of their requests.
func (x *explainer) leaveOutReserve(reserve []candidate, notices Notices, now time.Time) {
	if x == nil {
		return
	}
	for _, c := range reserve {
		v := VerdictResuming
		if notices.State(c.replica.Incarnation(), now).Leaving {
			v = VerdictLeaving
		}
		x.leaveOut(c.replica, v, 0)
	}
}

func (x *explainer) weigh(c *candidate, bound float64, late bool) {
	if x != nil {
		x.bounds[c.replica.ID], x.late[c.replica.ID] = bound, late
	}
}

// Explain returns what Choose would return with the same random source, and how each
// replica was considered. It changes nothing: it counts nothing as in flight, takes
// nothing from limits, and records and announces nothing. The samples of overdue
// requests that Choose takes are taken into account without being recorded.
func (p *Placer) Explain(req Request, replicas []replica.Replica, leftOut []LeftOut, now time.Time, rnd *rand.Rand) Explanation {
	x := &explainer{bounds: make(map[string]float64), late: make(map[string]bool)}
	for _, l := range leftOut {
		x.leaveOut(l.Replica, l.Verdict, 0)
	}
	candidates, includesEjected, wait := p.candidates(req, replicas, now, rnd, x)
	var e Explanation
	if len(candidates) == 0 {
		e.Choice, e.Found = unavailable(wait, rnd), wait.duration > 0
	} else {
		if p.speeds != nil {
			for i := range candidates {
				candidates[i].estimate = candidates[i].stats.peekEstimate(now)
			}
		}
		_, e.Choice = p.decide(req, candidates, includesEjected, now, rnd, x)
		e.Choice.stats, e.Found = nil, true
	}
	for _, c := range candidates {
		n := p.considered(req, c)
		n.Bound = int(x.bounds[c.replica.ID])
		switch {
		case c.replica.Incarnation() == e.Choice.Replica.Incarnation() && e.Choice.Refused:
			n.Verdict = VerdictRefused
		case c.replica.Incarnation() == e.Choice.Replica.Incarnation():
			n.Verdict = VerdictTaken
		case x.late[c.replica.ID]:
			n.Verdict = VerdictPausesTooLong
		case req.hasPrompt() && float64(c.load) >= x.bounds[c.replica.ID]:
			n.Verdict = VerdictOverBound
		default:
			n.Verdict = VerdictNotBest
		}
		e.Candidates = append(e.Candidates, n)
	}
	for _, l := range x.leftOut {
		n := p.considered(req, p.estimated(req, l.Replica, now, x))
		n.Verdict, n.Wait = l.Verdict, l.Wait
		e.Candidates = append(e.Candidates, n)
	}
	slices.SortStableFunc(e.Candidates, func(a, b Considered) int {
		return cmp.Or(cmp.Compare(a.Verdict.rank(), b.Verdict.rank()), cmp.Compare(a.Expected, b.Expected), cmp.Compare(a.Replica.ID, b.Replica.ID))
	})
	return e
}

// peekEstimate returns the estimate that recordOverdue would lead to.
func (s *replicaStats) peekEstimate(now time.Time) replicaspeed.Estimate {
	speed := s.speed.Detached()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sends {
		if waited := now.Sub(x.since); waited >= x.nextOverdue {
			sample := x.sample
			sample.Took, sample.Waiting = waited, true
			speed.Record(sample, now)
		}
	}
	return speed.Estimate(now)
}

// rank orders verdicts: the chosen replica, those that may be chosen, and others.
func (v Verdict) rank() int {
	switch v {
	case VerdictTaken, VerdictRefused:
		return 0
	case VerdictNotBest:
		return 1
	default:
		return 2
	}
}

// estimated returns a replica that is left out, with its estimates.
func (p *Placer) estimated(req Request, r replica.Replica, now time.Time, x *explainer) candidate {
	s := x.stats(p, r)
	c := candidate{replica: r, stats: s, load: s.inFlight.Load(), cachedTokens: p.cache.cachedTokens(req.SharedParts, r.ID, now)}
	if s.speed != nil {
		c.estimate = s.peekEstimate(now)
	}
	c.backlogTokens = math.Max(s.currentBacklog(now, p.rate(c)), s.overdue(now, req.Priority).Seconds()*p.rate(c))
	return c
}

func (p *Placer) considered(req Request, c candidate) Considered {
	choice := p.choice(req, c, "")
	n := Considered{Replica: c.replica, Load: choice.InFlight, BacklogTokens: choice.BacklogTokens, CachedTokens: choice.CachedTokens, Speed: choice.Speed}
	if req.hasPrompt() {
		n.Expected = choice.ExpectedWait + choice.ExpectedPrefill
	}
	return n
}
