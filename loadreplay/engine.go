package loadreplay

import (
	"cmp"
	"slices"
	"time"
)

// EngineModel holds the parameters of a simulated replica. A step generates one
// token of each running request; prompts are prefilled in chunks between steps.
type EngineModel struct {
	Replicas           int
	Slots              int
	PrefillRate        float64 // prompt tokens per second, without decoding
	ChunkTokens        float64 // prompt tokens prefilled between two steps
	StepTime           time.Duration
	StepTimePerRequest time.Duration // added to a step by each running request
	TokensPerEvent     int
	CacheTokens        int
	FirstEventLatency  time.Duration // from the end of the prefill to the first event
	Speeds             []SpeedClass  // without any, all replicas have speed 1
	SlowMoments        SlowMoments
}

// DefaultEngineModel returns the parameters of Horologion's inference engines,
// from its data sheet except for ChunkTokens and StepTimePerRequest.
func DefaultEngineModel() EngineModel {
	return EngineModel{Replicas: 9, Slots: 64, PrefillRate: 42_600, ChunkTokens: 512, StepTime: 5550 * time.Microsecond, StepTimePerRequest: 60 * time.Microsecond,
		TokensPerEvent: 3, CacheTokens: 391_377}
}

// job is an attempt of a request on a replica.
type job struct {
	state       *requestState
	prefillLeft float64 // prompt tokens
	generated   float64 // tokens
	events      int
	started     bool          // the first event was sent
	startAt     time.Duration // when the first event is due, after the prefill
}

func (j *job) start(event func(*job)) {
	j.started, j.events = true, 1
	event(j)
}

// engine is the engine of one replica.
type engine struct {
	model        EngineModel
	speed        *replicaSpeed
	queue        []*job // before their first event, most urgent first
	running      []*job
	lastUse      map[string]time.Duration // of a subject's cached shared part
	cachedTokens map[string]int           // by subject
	down         bool
	leaving      bool
	pausedUntil  time.Duration
	prefilled    float64 // tokens
	recomputed   float64 // tokens of shared parts that had been sent to some replica before
	sentTokens   float64 // tokens to prefill of all requests that were sent here
}

func newEngine(model EngineModel, speed *replicaSpeed) *engine {
	return &engine{model: model, speed: speed, lastUse: make(map[string]time.Duration), cachedTokens: make(map[string]int)}
}

func (e *engine) add(j *job, sentBefore map[string]bool) {
	r := j.state.request
	j.prefillLeft = float64(r.UniqueTokens)
	if _, ok := e.lastUse[r.Subject]; !ok {
		j.prefillLeft += float64(r.SharedTokens)
		if sentBefore[r.Subject] {
			e.recomputed += float64(r.SharedTokens)
		}
	}
	sentBefore[r.Subject] = true
	e.sentTokens += j.prefillLeft
	e.queue = append(e.queue, j)
	slices.SortStableFunc(e.queue, func(a, b *job) int { return cmp.Compare(a.state.priority, b.state.priority) })
}

// hasFreeSlot reports whether a request would start at once.
func (e *engine) hasFreeSlot() bool {
	return !e.down && len(e.queue) == 0 && len(e.running) < e.model.Slots
}

// advance simulates a duration, and calls back for each event and each completed
// request.
func (e *engine) advance(now, d time.Duration, event func(*job), done func(*job)) {
	if e.down {
		return
	}
	work := float64(d) * e.speed.at(now) // time that speed 1 needs for what is done in d
	step := e.model.StepTime + time.Duration(len(e.running))*e.model.StepTimePerRequest
	cycle := step
	prefilling := len(e.queue) > 0 && len(e.running) < e.model.Slots
	if prefilling {
		chunk := time.Duration(e.model.ChunkTokens / e.model.PrefillRate * float64(time.Second))
		if len(e.running) == 0 {
			cycle = chunk
		} else {
			cycle += chunk
		}
		tokens := work / float64(cycle) * e.model.ChunkTokens
		e.prefilled += tokens
		for tokens > 0 && len(e.queue) > 0 && len(e.running) < e.model.Slots {
			j := e.queue[0]
			part := min(tokens, j.prefillLeft)
			j.prefillLeft -= part
			tokens -= part
			if j.prefillLeft > 0 {
				break
			}
			e.queue = e.queue[1:]
			e.cachePrefix(j.state.request, now)
			e.running = append(e.running, j)
			j.startAt = now + e.model.FirstEventLatency
			if e.model.FirstEventLatency == 0 {
				j.start(event)
			}
		}
	}
	generated := work / float64(cycle)
	for i := len(e.running) - 1; i >= 0; i-- {
		j := e.running[i]
		if !j.started {
			if now < j.startAt {
				continue
			}
			j.start(event)
		}
		j.generated += generated
		for j.events < j.state.request.Events && j.generated >= float64(j.events*e.model.TokensPerEvent) {
			j.events++
			event(j)
		}
		if j.events >= j.state.request.Events {
			e.running = slices.Delete(e.running, i, i+1)
			done(j)
		}
	}
}

// cachePrefix caches a shared part, and evicts the least recently used ones.
func (e *engine) cachePrefix(r Request, now time.Duration) {
	e.lastUse[r.Subject], e.cachedTokens[r.Subject] = now, r.SharedTokens
	sum := 0
	for _, n := range e.cachedTokens {
		sum += n
	}
	for sum > e.model.CacheTokens {
		oldest := ""
		for s, at := range e.lastUse {
			if oldest == "" || at < e.lastUse[oldest] || at == e.lastUse[oldest] && s < oldest {
				oldest = s
			}
		}
		sum -= e.cachedTokens[oldest]
		delete(e.lastUse, oldest)
		delete(e.cachedTokens, oldest)
	}
}

// cancel removes a job whose caller has disconnected.
func (e *engine) cancel(j *job) {
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
	if i := slices.Index(e.running, j); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// crash takes the engine down, clears its cache and returns the lost jobs.
func (e *engine) crash() []*job {
	lost := append(slices.Clone(e.queue), e.running...)
	*e = engine{model: e.model, speed: e.speed, lastUse: make(map[string]time.Duration), cachedTokens: make(map[string]int), down: true, prefilled: e.prefilled, recomputed: e.recomputed, sentTokens: e.sentTokens}
	return lost
}
