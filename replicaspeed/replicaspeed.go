// Package replicaspeed estimates how fast each replica of a service is, from the
// times to the first events of the requests that gateways send anyway.
//
// Load pattern: the replicas of a service differ in speed, and some become several
// times slower for seconds. With one rate for all, the queues of slow replicas are
// underestimated and those of fast ones overestimated, and requests are refused that
// would be in time. For each service the package fits the line base + tokens/rate to
// the times to the first events, with the tokens queued at the replica and those of
// the prompt, and for each replica a factor against this line. The specs "an estimate
// of speed" replay replicas that differ, that become slower, and that have random slow
// moments.
//
// Failure: a replica that hangs or becomes much slower sends no first event from which
// a sample could be taken. Requests that wait longer than expected count as samples
// with the time that they have waited so far.
//
// A gateway sees a part of the load of a replica, so gateways exchange their sums. They
// send tokens and times instead of factors, as each gateway has its own line.
package replicaspeed

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/replica"
)

// Settings are the parameters of the estimates.
type Settings struct {
	Memory       time.Duration // time constant of the lasting speed of a replica, and of the line of a service
	Reaction     time.Duration // time constant of the present speed of a replica
	PriorRate    float64       // tokens per second of a service without samples
	PriorBase    time.Duration // time to the first event of an empty prompt, without samples
	PriorSamples float64       // weight of the service's line in the lasting speed of a replica
	LastingSpeed float64       // weight of the lasting speed in the present one, in samples
}

// Defaults returns the default settings. With a reaction of 1 s, six samples per
// second show two thirds of a change to a fifth of the speed within 2 s, and a slow
// moment of 0.6 s at 1/2.5 of the speed lowers the estimate to no less than 0.6.
func Defaults() Settings {
	return Settings{Memory: 30 * time.Second, Reaction: time.Second, PriorRate: 35_000, PriorBase: 10 * time.Millisecond, PriorSamples: 4, LastingSpeed: 1}
}

const (
	// minSpeed and maxSpeed bound the speed of a replica against the line. A replica
	// of 0.55 times the usual speed that becomes 5 times slower is at 0.1.
	minSpeed, maxSpeed = 0.1, 4
	// maxRatio bounds a single sample: its time is at most this multiple of the
	// expected one, and at least this part.
	maxRatio = 10
	// lastingRatio bounds what a sample adds to the lasting speed, as a multiple of the
	// time expected by that. A replica that is several times slower for some seconds, or
	// hangs, is soon the home of as many prompts as before.
	lastingRatio = 2
	// maxTook bounds what counts as a sample at all.
	maxTook = time.Hour
	// maxBase bounds the time to the first event that does not depend on tokens.
	maxBase = 100 * time.Millisecond
	// rateRange bounds the rate of a service, as a factor above and below the prior.
	rateRange = 10
	// certainTokens of a queue are taken as known; a sample behind a longer queue has
	// less weight, as that is an estimate.
	certainTokens = 512
	// maxIdle bounds the time between two samples of a service in which its line
	// fades, so that a pause in the traffic does not return it to the prior.
	maxIdle = time.Second
	// estimateAge is the age up to which an estimate is reused if there were no samples.
	estimateAge = 100 * time.Millisecond
	// homeStep is the factor between two coarse speeds. A coarse speed changes when
	// the estimate is homeMargin steps away: with less, the noise of the estimates of equal
	// replicas moves homes, and shared parts are prefilled again.
	homeStep, homeMargin = 1.2, 1.0
	// pauseMemory is the number of pauses between events that an estimate of them
	// covers, and pauseDeviations how many mean deviations the longest expected one
	// is above the mean, as in TCP's retransmission timeout (RFC 6298).
	pauseMemory, pauseDeviations = 32, 4
)

// priorPrompts are the tokens of the prompts that stand for the prior in the line of
// a service.
var priorPrompts = []float64{500, 5000}

// Estimate is what is expected of a replica.
type Estimate struct {
	Rate         float64       // prompt tokens per second
	Base         time.Duration // time to the first event of an empty prompt without a queue
	Speed        float64       // relative to the service's line; 1 is usual
	HomeSpeed    float64       // lasting speed in coarse steps, which gateways agree on
	LongestPause time.Duration // between two events of a stream; 0 if unknown
}

// Sample is what a request shows about a replica.
type Sample struct {
	QueuedTokens float64 // of other requests at the replica, estimated, when it was sent
	OwnTokens    float64 // of its prompt that were not cached; 0 without a prompt
	Took         time.Duration
	Counted      time.Duration // Took of an earlier sample of the same request; 0 for the first
	Waiting      bool          // whether it has no first event yet, so that Took is a lower bound
	Plain        bool          // without a prompt; Took is the time to the whole response
}

// sums are decayed sums over samples, weighted by how certain these are.
type sums struct {
	samples float64
	tokens  float64
	seconds float64
}

func (s *sums) add(o sums) {
	s.samples += o.samples
	s.tokens += o.tokens
	s.seconds += o.seconds
}

func (s *sums) scale(f float64) {
	s.samples *= f
	s.tokens *= f
	s.seconds *= f
}

// line is the time to the first event by tokens, for one service.
type line struct {
	sums
	squares, products float64 // of tokens, and of tokens and seconds
	at                time.Time
	plain             bool    // no sample has had a prompt
	base              float64 // seconds
	perToken          float64 // seconds
	mean              float64 // seconds of a sample
}

// expected returns the seconds that the line gives for the samples of a sum.
func (l *line) expected(s sums) float64 { return s.samples*l.base + s.tokens*l.perToken }

// add takes samples of the same tokens.
func (l *line) add(s sums, now time.Time, settings *Settings) {
	if s.samples <= 0 {
		return
	}
	if idle := min(now.Sub(l.at), maxIdle); idle > 0 {
		fade := math.Exp(-idle.Seconds() / settings.Memory.Seconds())
		l.scale(fade)
		l.squares *= fade
		l.products *= fade
		l.at = now
	}
	l.sums.add(s)
	l.squares += s.tokens * s.tokens / s.samples
	l.products += s.tokens * s.seconds / s.samples
	l.fit(settings)
}

// fit computes the line of least squares, within bounds.
func (l *line) fit(settings *Settings) {
	n, x, y, xx, xy := l.samples, l.tokens, l.seconds, l.squares, l.products
	prior, priorBase := 1/settings.PriorRate, settings.PriorBase.Seconds()
	for _, tokens := range priorPrompts {
		if l.plain {
			tokens = 0
		}
		seconds := priorBase + tokens*prior
		n, x, y, xx, xy = n+1, x+tokens, y+seconds, xx+tokens*tokens, xy+tokens*seconds
	}
	l.mean = y / n
	if l.plain {
		l.base, l.perToken = l.mean, prior
		return
	}
	slope := func(base float64) float64 { return min(max((xy-base*x)/xx, prior/rateRange), prior*rateRange) }
	base := (y*xx - x*xy) / max(n*xx-x*x, math.SmallestNonzeroFloat64)
	l.base = min(max(base, 0), maxBase.Seconds())
	l.perToken = slope(l.base)
}

// Speeds holds the estimates of all replicas. It is safe for concurrent use.
type Speeds struct {
	settings Settings

	mu       sync.Mutex
	services map[string]*line
	replicas map[replica.Incarnation]*Replica
	byKey    map[uint64]*Replica
	nextSend time.Time
	stats    Stats
}

// New returns estimates without samples.
func New(s Settings) *Speeds {
	return &Speeds{settings: s, services: make(map[string]*line), replicas: make(map[replica.Incarnation]*Replica), byKey: make(map[uint64]*Replica)}
}

// Replica is the estimate of one incarnation of a replica.
type Replica struct {
	speeds  *Speeds
	id      string
	key     uint64
	line    *line
	lasting sums // fading with Settings.Memory
	present sums // fading with Settings.Reaction
	unsent  sums // of this process since its last message
	at      time.Time

	pause, pauseDeviation float64 // seconds
	homeLevel             float64 // steps of homeStep
	cached                atomic.Pointer[cachedEstimate]
}

type cachedEstimate struct {
	Estimate
	at time.Time
}

// Of returns the estimate of a replica. A new incarnation starts at the prior.
func (s *Speeds) Of(r replica.Replica) *Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := r.Incarnation()
	if known := s.replicas[k]; known != nil {
		return known
	}
	l := s.services[r.Service]
	if l == nil {
		l = &line{plain: true}
		l.fit(&s.settings)
		s.services[r.Service] = l
	}
	known := &Replica{speeds: s, id: r.ID, key: entryKey(k), line: l}
	s.replicas[k], s.byKey[known.key] = known, known
	return known
}

// Lookup returns the estimate of a replica for reading: that of an unknown one is at
// the prior, and is not kept.
func (s *Speeds) Lookup(r replica.Replica) *Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.replicas[r.Incarnation()]; known != nil {
		return known
	}
	l := s.services[r.Service]
	if l == nil {
		l = &line{plain: true}
		l.fit(&s.settings)
	}
	return &Replica{speeds: s, id: r.ID, line: l}
}

// SetReplicas sets the live replicas and forgets all others.
func (s *Speeds) SetReplicas(live []replica.Replica) {
	keep := make(map[replica.Incarnation]bool, len(live))
	for _, r := range live {
		s.Of(r)
		keep[r.Incarnation()] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.replicas {
		if !keep[k] {
			delete(s.replicas, k)
			delete(s.byKey, r.key)
		}
	}
}

// Record takes a sample. It reports whether the sample counts: one that still waits
// does so only after its expected time.
func (r *Replica) Record(sample Sample, now time.Time) bool {
	if !(sample.QueuedTokens >= 0 && sample.OwnTokens >= 0 && sample.QueuedTokens+sample.OwnTokens <= maxTokensPerSample && sample.Took >= 0 && sample.Took <= maxTook) {
		return false
	}
	s := r.speeds
	s.mu.Lock()
	defer s.mu.Unlock()
	if sample.Plain {
		if !r.line.plain {
			return false // the time to a whole response depends on its length
		}
		sample.QueuedTokens, sample.OwnTokens = 0, 0
	} else if r.line.plain {
		*r.line = line{at: now}
		r.line.fit(&s.settings)
	}
	tokens := sample.QueuedTokens + sample.OwnTokens
	weight := (sample.OwnTokens + certainTokens) / (tokens + certainTokens)
	one := sums{samples: weight, tokens: weight * tokens}
	expected := r.line.expected(one)
	bounded := func(d time.Duration) float64 {
		return min(max(weight*d.Seconds(), expected/maxRatio), expected*maxRatio)
	}
	one.seconds = bounded(sample.Took)
	if !sample.Waiting {
		r.line.add(one, now, &s.settings)
	} else if one.seconds <= expected {
		return false // shows nothing yet
	}
	if sample.Counted > 0 {
		one = sums{seconds: one.seconds - bounded(sample.Counted)}
	}
	r.unsent.add(one)
	r.add(one, now)
	return true
}

// add takes sums of this or another process. The caller holds the lock.
func (r *Replica) add(one sums, now time.Time) {
	r.fade(now)
	r.present.add(one)
	lasting, _ := r.slowness()
	one.seconds = min(one.seconds, lastingRatio*lasting*r.line.expected(one))
	r.lasting.add(one)
	r.cached.Store(nil)
}

func (r *Replica) fade(now time.Time) {
	if elapsed := now.Sub(r.at).Seconds(); elapsed > 0 {
		r.lasting.scale(math.Exp(-elapsed / r.speeds.settings.Memory.Seconds()))
		r.present.scale(math.Exp(-elapsed / r.speeds.settings.Reaction.Seconds()))
		r.at = now
	}
}

// RecordPause takes the time between two events of a stream.
func (r *Replica) RecordPause(d time.Duration) {
	r.speeds.mu.Lock()
	defer r.speeds.mu.Unlock()
	seconds := max(d.Seconds(), 0)
	if r.pause == 0 {
		r.pause = seconds
		return
	}
	r.pauseDeviation += (math.Abs(seconds-r.pause) - r.pauseDeviation) / pauseMemory
	r.pause += (seconds - r.pause) / pauseMemory
}

// Estimate returns what is expected of the replica.
func (r *Replica) Estimate(now time.Time) Estimate {
	if c := r.cached.Load(); c != nil && now.Sub(c.at) < estimateAge {
		return c.Estimate
	}
	r.speeds.mu.Lock()
	defer r.speeds.mu.Unlock()
	r.fade(now)
	lasting, present := r.slowness()
	e := Estimate{Speed: clampSpeed(1 / present), Base: time.Duration(r.line.base * float64(time.Second)),
		LongestPause: time.Duration((r.pause + pauseDeviations*r.pauseDeviation) * float64(time.Second))}
	e.Rate = e.Speed / r.line.perToken
	level := math.Log(clampSpeed(1/lasting)) / math.Log(homeStep)
	if math.Abs(level-r.homeLevel) > homeMargin {
		r.homeLevel = math.Round(level)
	}
	e.HomeSpeed = clampSpeed(math.Pow(homeStep, r.homeLevel))
	r.cached.Store(&cachedEstimate{Estimate: e, at: now})
	return e
}

// Detached returns a copy whose samples and estimates change no others.
func (r *Replica) Detached() *Replica {
	r.speeds.mu.Lock()
	defer r.speeds.mu.Unlock()
	l := *r.line
	d := &Replica{speeds: r.speeds, id: r.id, key: r.key, line: &l, lasting: r.lasting, present: r.present, at: r.at,
		pause: r.pause, pauseDeviation: r.pauseDeviation, homeLevel: r.homeLevel}
	d.cached.Store(r.cached.Load())
	return d
}

// Named is the estimate of the replica of an ID.
type Named struct {
	ID string
	Estimate
}

// All returns the estimates of all replicas, ordered by ID.
func (s *Speeds) All(now time.Time) []Named {
	s.mu.Lock()
	list := slices.Collect(maps.Values(s.replicas))
	s.mu.Unlock()
	all := make([]Named, len(list))
	for i, r := range list {
		all[i] = Named{ID: r.id, Estimate: r.Estimate(now)}
	}
	slices.SortFunc(all, func(a, b Named) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// slowness returns the lasting and the present factor of the replica's times against
// the line. The caller holds the lock.
func (r *Replica) slowness() (lasting, present float64) {
	prior := r.speeds.settings.PriorSamples * r.line.mean
	lasting = (prior + r.lasting.seconds) / (prior + r.line.expected(r.lasting))
	prior = r.speeds.settings.LastingSpeed * r.line.mean
	present = (prior*lasting + r.present.seconds) / (prior + r.line.expected(r.present))
	return lasting, present
}

func clampSpeed(v float64) float64 { return min(max(v, minSpeed), maxSpeed) }
