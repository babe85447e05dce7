package loadreplay

import (
	"cmp"
	"slices"
	"time"
)

// EngineModel are the figures of a model replica. A step makes one token of each
// running request; prompts are read in chunks between steps.
type EngineModel struct {
	Replicas           int
	Slots              int
	PrefillRate        float64 // tokens per second, while nothing else is done
	ChunkTokens        float64 // tokens read between two steps
	StepTime           time.Duration
	StepTimePerRequest time.Duration // that each running request adds to a step
	TokensPerEvent     int           // tokens in an event
	CacheTokens        int
}

// DefaultEngineModel returns the figures of Horologion's engines, as its sheet names
// them; Chunk and StepPerRun are not on the sheet.
func DefaultEngineModel() EngineModel {
	return EngineModel{Replicas: 9, Slots: 64, PrefillRate: 42_600, ChunkTokens: 512, StepTime: 5550 * time.Microsecond, StepTimePerRequest: 60 * time.Microsecond,
		TokensPerEvent: 3, CacheTokens: 391_377}
}

// job is a request at a replica.
type job struct {
	call    *call
	sent    time.Duration
	toRead  float64
	made    float64 // tokens of output
	events  int
	started bool
}

// engine is one replica.
type engine struct {
	figures EngineModel
	queue   []*job // without a first event, most urgent first
	running []*job
	cache   map[string]time.Duration // last use of a subject's shared part
	tokens  map[string]int
	down    bool
	read    float64 // tokens
	reread  float64 // tokens of shared parts that some replica had read
}

func newEngine(f EngineModel) *engine {
	return &engine{figures: f, cache: make(map[string]time.Duration), tokens: make(map[string]int)}
}

func (e *engine) add(j *job, now time.Duration, known map[string]bool) {
	r := j.call.request
	j.sent, j.toRead = now, float64(r.UniqueTokens)
	if _, ok := e.cache[r.Subject]; !ok {
		j.toRead += float64(r.SharedTokens)
		if known[r.Subject] {
			e.reread += float64(r.SharedTokens)
		}
	}
	known[r.Subject] = true
	e.queue = append(e.queue, j)
	slices.SortStableFunc(e.queue, func(a, b *job) int { return cmp.Compare(a.call.request.Priority, b.call.request.Priority) })
}

// free reports whether a request would begin at once.
func (e *engine) free() bool { return !e.down && len(e.queue) == 0 && len(e.running) < e.figures.Slots }

// advance works for some time, and calls back for each event.
func (e *engine) advance(now, d time.Duration, event func(*job), done func(*job)) {
	if e.down {
		return
	}
	step := e.figures.StepTime + time.Duration(len(e.running))*e.figures.StepTimePerRequest
	cycle := step
	reading := len(e.queue) > 0 && len(e.running) < e.figures.Slots
	if reading {
		chunk := time.Duration(e.figures.ChunkTokens / e.figures.PrefillRate * float64(time.Second))
		if len(e.running) == 0 {
			cycle = chunk
		} else {
			cycle += chunk
		}
		tokens := float64(d) / float64(cycle) * e.figures.ChunkTokens
		e.read += tokens
		for tokens > 0 && len(e.queue) > 0 && len(e.running) < e.figures.Slots {
			j := e.queue[0]
			part := min(tokens, j.toRead)
			j.toRead -= part
			tokens -= part
			if j.toRead > 0 {
				break
			}
			e.queue = e.queue[1:]
			e.keep(j.call.request, now)
			j.started = true
			e.running = append(e.running, j)
			j.events = 1
			event(j)
		}
	}
	made := float64(d) / float64(cycle)
	for i := len(e.running) - 1; i >= 0; i-- {
		j := e.running[i]
		j.made += made
		for j.events < j.call.request.Events && j.made >= float64(j.events*e.figures.TokensPerEvent) {
			j.events++
			event(j)
		}
		if j.events >= j.call.request.Events {
			e.running = slices.Delete(e.running, i, i+1)
			done(j)
		}
	}
}

// keep notes that a shared part is cached; the one unused for longest yields.
func (e *engine) keep(r Request, now time.Duration) {
	e.cache[r.Subject], e.tokens[r.Subject] = now, r.SharedTokens
	sum := 0
	for _, n := range e.tokens {
		sum += n
	}
	for sum > e.figures.CacheTokens {
		oldest := ""
		for s, at := range e.cache {
			if oldest == "" || at < e.cache[oldest] {
				oldest = s
			}
		}
		sum -= e.tokens[oldest]
		delete(e.cache, oldest)
		delete(e.tokens, oldest)
	}
}

// drop forgets a job whose caller has left.
func (e *engine) drop(j *job) {
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
	if i := slices.Index(e.running, j); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// crash loses all jobs and the cache.
func (e *engine) crash() []*job {
	lost := append(slices.Clone(e.queue), e.running...)
	*e = engine{figures: e.figures, cache: make(map[string]time.Duration), tokens: make(map[string]int), down: true, read: e.read, reread: e.reread}
	return lost
}
