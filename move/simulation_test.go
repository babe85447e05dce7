package move_test

import (
	"math"
	"math/rand"
	"time"

	"briarreach/config"
	"briarreach/move"
)

var moveStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

const (
	routeCount = 5
	tick       = 100 * time.Millisecond
	maxSlots   = 600 // a request is observed within 60 s
	oldVersion = "v1"
	newVersion = "v2"
)

var routeNames = [routeCount]string{"POST /book", "GET /rooms", "POST /deposit", "GET /rates", "POST /cancel"}
var routeWeights = [routeCount]float64{0.45, 0.27, 0.15, 0.08, 0.05}

// scenario is a kind of move with the faults of the new version and of its
// environment. The zero value is a good version on a healthy platform.
type scenario struct {
	name string
	bad  bool // the new version has a fault

	failRate          float64       // additional probability of a failure at the new version
	slowFactor        float64       // factor on the new version's latency; 0 means 1
	faultAfter        time.Duration // start of the fault, since the start of the move
	faultFromFraction float64       // start of the fault, as a fraction of the move
	aboveLoad         bool          // the fault occurs only at load level 2
	oneRoute          bool          // the fault occurs only on one route

	platformDegraded   bool // both versions fail and are slow for a sixth of the move
	targetFails        bool // a target of the new version fails for 2 s, until it is ejected
	controllerReplaced bool // after a pause
	tableOutAtDeadline bool // the table is unavailable from 70 % of the move to 5 % after its deadline
	tableOutEarly      bool // the table is unavailable from 5 % of the move to its middle
	cutOff             bool // one entry can reach only agents
	clockSkew          bool // clocks of entries and controller differ by up to 1 s
}

// outcome is the result of one simulated move.
type outcome struct {
	finished, onTime, rolledBack bool
	requests                     int
	exposed                      int           // requests to the new version that its fault could affect
	caused                       int           // requests that failed because of the new version
	late                         int           // requests to the new version later than 3 s after detection
	detectionDelay               time.Duration // since the fault could first occur; 0 if not detected
	evidence                     string
}

// traffic describes the load of a simulated deployment.
type traffic struct {
	entries  int
	rate     float64       // mean requests/s of all entries
	duration time.Duration // of the move
}

func randomTraffic(random *rand.Rand) traffic {
	t := traffic{
		entries:  3 + random.Intn(5),
		rate:     3 * math.Exp(random.Float64()*math.Log(100)),
		duration: time.Duration(40+random.Intn(80)) * time.Minute,
	}
	return t
}

type simulatedEntry struct {
	guard    *move.Guard
	skew     time.Duration
	document config.Move // as known to the entry
	number   int         // of the document
	inbox    []delivery
	slots    [maxSlots][]completion // requests in flight, by tick of completion
}

// delivery is a message to an entry: a document or the digest of another guard.
type delivery struct {
	at       time.Time
	document *config.Move
	number   int
	digest   *move.Digest
}

// completion is a completed request.
type completion struct {
	version   string
	route     int
	loadLevel int
	latency   time.Duration
	failed    bool
}

// decider decides from all completed requests in place of the sequential test.
type decider interface {
	observe(c completion, now time.Time)
	rollBack(now time.Time) bool
}

// simulate runs one move. If alternative is nil, the package's own test
// decides.
func simulate(s scenario, t traffic, seed int64, alternative decider) outcome {
	random := rand.New(rand.NewSource(seed))
	var result outcome
	document := config.Move{
		Name: "x", Subject: "m", From: oldVersion, To: newVersion, State: config.MoveRunning,
		Started: moveStart, Deadline: moveStart.Add(t.duration),
	}
	number := 1
	var medians, sigmas, failRates [routeCount]float64
	for r := range routeCount {
		medians[r] = 0.05 * math.Exp(random.Float64()*3)
		sigmas[r] = 0.3 + 0.3*random.Float64()
		failRates[r] = 0.001 + 0.009*random.Float64()
	}
	badRoute := random.Intn(routeCount)
	degradedFrom := 0.1 + 0.6*random.Float64()
	if s.bad {
		degradedFrom = s.faultFromFraction // both faults start together
	}
	targetFailsAt := moveStart.Add(time.Duration((0.2 + 0.7*random.Float64()) * float64(t.duration)))
	loadPhase := random.Float64() * 2 * math.Pi
	loadPeriod := float64(t.duration) / (2 + 2*random.Float64())
	skew := func() time.Duration {
		if !s.clockSkew {
			return 0
		}
		return time.Duration((random.Float64()*2 - 1) * float64(time.Second))
	}

	entries := make([]*simulatedEntry, t.entries)
	for i := range entries {
		e := &simulatedEntry{skew: skew(), document: document, number: number}
		e.guard = move.NewGuard(string(rune('a'+i)), "1", document, move.WithEntries(t.entries))
		entries[i] = e
	}
	controllerSkew := skew()
	controller := move.New(document)
	controllerStopsAt := moveStart.Add(time.Duration((0.2 + 0.5*random.Float64()) * float64(t.duration)))
	pausedUntil := controllerStopsAt.Add(t.duration / 10)
	replaced := false
	nextDigest, nextDecide := moveStart, moveStart
	var firstFaultAt, detectedAt, rolledBackAt time.Time
	end := document.Deadline.Add(t.duration / 5)

	for step, now := 0, moveStart; now.Before(end) && document.State == config.MoveRunning || !rolledBackAt.IsZero() && now.Before(rolledBackAt.Add(10*time.Second)); step, now = step+1, now.Add(tick) {
		elapsedFraction := float64(now.Sub(moveStart)) / float64(t.duration)
		load := 1 + 0.6*math.Sin(loadPhase+2*math.Pi*float64(now.Sub(moveStart))/loadPeriod)
		loadLevel := 0
		if load > 0.8 {
			loadLevel = 1
		}
		if load > 1.3 {
			loadLevel = 2
		}
		tableOut := s.tableOutAtDeadline && elapsedFraction > 0.7 && elapsedFraction < 1.05 || s.tableOutEarly && elapsedFraction > 0.05 && elapsedFraction < 0.5
		degraded := s.platformDegraded && elapsedFraction > degradedFrom && elapsedFraction < degradedFrom+1.0/6
		faulty := s.bad && now.Sub(moveStart) >= s.faultAfter && elapsedFraction >= s.faultFromFraction && (!s.aboveLoad || loadLevel == 2)
		if faulty && firstFaultAt.IsZero() {
			firstFaultAt = now
		}

		for i, e := range entries {
			localTime := now.Add(e.skew)
			cutOff := s.cutOff && i == 0 && elapsedFraction > 0.02
			remaining := e.inbox[:0]
			for _, d := range e.inbox {
				switch {
				case d.at.After(now) || cutOff:
					remaining = append(remaining, d)
				case d.document != nil && d.number > e.number:
					e.document, e.number = *d.document, d.number
					e.guard.Update(*d.document, localTime)
				case d.digest != nil:
					e.guard.ApplyRemoteStop(*d.digest)
				}
			}
			e.inbox = remaining

			for range poisson(t.rate*load*tick.Seconds()/float64(t.entries), random) {
				result.requests++
				if cutOff && e.number < number {
					continue // the agents refuse the outdated number as not_run
				}
				c := completion{version: e.guard.PickVersion(false, localTime, random), route: pickRoute(random), loadLevel: loadLevel}
				failRate := failRates[c.route]
				latency := medians[c.route] * math.Exp(sigmas[c.route]*random.NormFloat64()) * (1 + 0.3*float64(loadLevel))
				if degraded {
					failRate += 0.1
					latency *= 3
				}
				c.failed = random.Float64() < failRate
				if c.version == newVersion {
					if s.targetFails && now.After(targetFailsAt) && now.Sub(targetFailsAt) < 2*time.Second && random.Intn(2) == 0 {
						c.failed = true
					}
					if faulty && (!s.oneRoute || c.route == badRoute) {
						result.exposed++
						if s.slowFactor > 0 {
							latency *= s.slowFactor
						}
						if !c.failed && random.Float64() < s.failRate {
							c.failed = true
							result.caused++
						}
					}
					if !detectedAt.IsZero() && now.Sub(detectedAt) > 3*time.Second && s.bad {
						result.late++
					}
				}
				c.latency = time.Duration(latency * float64(time.Second))
				slot := (step + int(c.latency/tick) + 1) % maxSlots
				if c.latency >= (maxSlots-1)*tick {
					slot = (step + maxSlots - 1) % maxSlots
				}
				e.slots[slot] = append(e.slots[slot], c)
			}
			slot := step % maxSlots
			for _, c := range e.slots[slot] {
				if alternative != nil {
					alternative.observe(c, now)
					continue
				}
				e.guard.Observe(c.version, routeNames[c.route], c.loadLevel, c.latency, c.failed, localTime)
			}
			e.slots[slot] = e.slots[slot][:0]
			e.guard.Allowed(localTime)
			if _, ok := e.guard.Stopped(); ok && detectedAt.IsZero() && alternative == nil {
				detectedAt = now
				digest := e.guard.Digest(localTime)
				for _, other := range entries {
					other.inbox = append(other.inbox, delivery{at: now.Add(300 * time.Millisecond), digest: &digest})
				}
				if !cutOff {
					controller.Observe(digest, now.Add(controllerSkew))
				}
			}
		}

		paused := s.controllerReplaced && now.After(controllerStopsAt) && now.Before(pausedUntil)
		if s.controllerReplaced && !now.Before(pausedUntil) && !replaced {
			replaced = true
			controller = move.New(document)
		}
		if paused || document.State != config.MoveRunning {
			continue
		}
		if !now.Before(nextDigest) {
			nextDigest = now.Add(2 * time.Second)
			for i, e := range entries {
				if s.cutOff && i == 0 && elapsedFraction > 0.02 || random.Float64() < 0.05 {
					continue // cut off, or the message is lost
				}
				if alternative == nil {
					controller.Observe(e.guard.Digest(now.Add(e.skew)), now.Add(controllerSkew))
				}
			}
		}
		if now.Before(nextDecide) {
			continue
		}
		nextDecide = now.Add(time.Second)
		actions := controller.Decide(now.Add(controllerSkew))
		if alternative != nil && alternative.rollBack(now) {
			actions = []move.Action{move.RollBack{}}
		}
		if tableOut {
			continue
		}
		for _, action := range actions {
			number++
			switch action := action.(type) {
			case move.SetShare:
				document.SharePPM = action.SharePPM
			case move.Finish:
				document.State = config.MoveDone
				document.SharePPM = config.FullSharePPM
				result.evidence = action.Evidence.String()
				result.finished, result.onTime = true, !now.After(document.Deadline)
			case move.RollBack:
				document.State = config.MoveRolledBack
				document.SharePPM = 0
				result.rolledBack = true
				result.evidence = action.Evidence.String()
				rolledBackAt = now
				if detectedAt.IsZero() {
					detectedAt = now
				}
			}
			published := document
			controller.Update(published, now.Add(controllerSkew))
			for _, e := range entries {
				delay := 300*time.Millisecond + time.Duration(random.Float64()*float64(time.Second))
				e.inbox = append(e.inbox, delivery{at: now.Add(delay), document: &published, number: number})
			}
		}
	}
	if !firstFaultAt.IsZero() && !detectedAt.IsZero() {
		result.detectionDelay = detectedAt.Sub(firstFaultAt)
	}
	// Count the requests up to the deadline: the bounds are shares of all traffic
	// of the move.
	if result.rolledBack {
		rest := document.Deadline.Sub(rolledBackAt).Seconds()
		result.requests += int(max(0, rest) * t.rate)
	}
	return result
}

// poisson returns a Poisson-distributed number.
func poisson(mean float64, random *rand.Rand) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}

func pickRoute(random *rand.Rand) int {
	at := random.Float64()
	for r, w := range routeWeights {
		if at -= w; at < 0 {
			return r
		}
	}
	return 0
}

// fixedThreshold is the decider for comparison. Every minute it compares the
// last five minutes, and rolls back the version if its failure rate exceeds
// that of the old one by 1 % of the requests, or its mean latency is above 1.3
// times the old one's. It needs 20 requests to the new version.
type fixedThreshold struct {
	minutes   [5]thresholdMinute
	decidedAt time.Time
}

type thresholdMinute struct {
	requests, failed [2]int
	latencySeconds   [2]float64
}

func (f *fixedThreshold) observe(c completion, _ time.Time) {
	side := 0
	if c.version == newVersion {
		side = 1
	}
	m := &f.minutes[0]
	m.requests[side]++
	m.latencySeconds[side] += c.latency.Seconds()
	if c.failed {
		m.failed[side]++
	}
}

func (f *fixedThreshold) rollBack(now time.Time) bool {
	if now.Sub(f.decidedAt) < time.Minute {
		return false
	}
	f.decidedAt = now
	var sum thresholdMinute
	for _, m := range f.minutes {
		for side := range 2 {
			sum.requests[side] += m.requests[side]
			sum.failed[side] += m.failed[side]
			sum.latencySeconds[side] += m.latencySeconds[side]
		}
	}
	copy(f.minutes[1:], f.minutes[:4])
	f.minutes[0] = thresholdMinute{}
	if sum.requests[1] < 20 || sum.requests[0] == 0 {
		return false
	}
	rate := func(side int) float64 { return float64(sum.failed[side]) / float64(sum.requests[side]) }
	mean := func(side int) float64 { return sum.latencySeconds[side] / float64(sum.requests[side]) }
	return rate(1) > rate(0)+0.01 || mean(1) > 1.3*mean(0)
}
