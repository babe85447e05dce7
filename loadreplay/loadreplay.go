// Package loadreplay plays load patterns against placement decisions and a
// model of the replicas' engines in simulated time.
package loadreplay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"briarreach/placement"
)

const (
	tick     = time.Millisecond
	gateways = 5
	// patienceFactor is how many targets a caller waits for a first event.
	patienceFactor = 4
	shortestWait   = 2 * time.Second
	pauseFactor    = 8
	// drainTime is played after the last request.
	drainTime = 16 * time.Second
)

// call is a request with its caller.
type call struct {
	request  Request
	began    time.Duration // of the first try
	repeats  int
	returned bool // whether it has come back after a refusal

	gateway *chooser
	index   int
	choice  placement.Choice
	job     *job
	first   time.Duration // of the first event, since began
	last    time.Duration // of the last event
	gap     time.Duration // longest between events
	outcome outcome
}

type outcome int

const (
	pending outcome = iota
	inAim
	late
	refused
	failed
)

// arrival is a try at a moment.
type arrival struct {
	at   time.Duration
	call *call
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// run is one replay.
type run struct {
	pattern  *Pattern
	now      time.Duration
	epoch    time.Time
	rnd      *rand.Rand
	engines  []*engine
	choosers []*chooser
	pending  arrivals
	calls    []*call
	open     map[*call]bool
	known    map[string]bool // subjects that some replica has read
	idle     int             // refusals while a replica was free
}

// Replay plays a pattern with a policy.
func Replay(p *Pattern, policy Policy, figures EngineModel, seed uint64) Result {
	r := &run{pattern: p, epoch: time.Unix(1e9, 0), rnd: rand.New(rand.NewPCG(seed, 3)), open: make(map[*call]bool), known: make(map[string]bool)}
	r.choosers = newChoosers(policy, gateways, figures, r.clock, r.rnd)
	for range figures.Replicas {
		r.engines = append(r.engines, newEngine(figures))
	}
	for _, request := range p.Requests {
		c := &call{request: request, began: request.Arrival, repeats: p.ImmediateRetries}
		r.calls = append(r.calls, c)
		heap.Push(&r.pending, arrival{request.Arrival, c})
	}
	end := drainTime
	if n := len(p.Requests); n > 0 {
		end += p.Requests[n-1].Arrival
	}
	for ; r.now < end; r.now += tick {
		r.outages()
		for len(r.pending) > 0 && r.pending[0].at <= r.now {
			r.arrive(heap.Pop(&r.pending).(arrival).call)
		}
		for _, e := range r.engines {
			e.advance(r.now, tick, r.event, r.done)
		}
		r.leave()
	}
	return r.result(policyName(policy))
}

func (r *run) clock() time.Time { return r.epoch.Add(r.now) }

func (r *run) outages() {
	for _, o := range r.pattern.Outages {
		n := int(o.ReplicaShare*float64(len(r.engines)) + 0.5)
		switch r.now {
		case o.At:
			for _, e := range r.engines[:n] {
				for _, j := range e.crash() {
					r.end(j.call, placement.ConnectionBroken, failed)
				}
			}
		case o.At + o.Duration:
			for _, e := range r.engines[:n] {
				e.down = false
			}
		}
	}
}

func (r *run) arrive(c *call) {
	c.gateway = r.choosers[r.rnd.IntN(len(r.choosers))]
	for range len(r.engines) {
		c.index, c.choice = c.gateway.choose(c.request, r.clock())
		if c.choice.Refused {
			r.refuse(c)
			return
		}
		if !r.engines[c.index].down {
			c.job = &job{call: c}
			r.engines[c.index].add(c.job, r.now, r.known)
			r.open[c] = true
			return
		}
		// A connection that is refused proves that the request did not run.
		c.gateway.done(c.index, c.choice, placement.ConnectionBroken, r.clock())
	}
	c.outcome = failed
}

// refuse lets the caller come back as it was told, once, or at once and more
// often if the pattern says so.
func (r *run) refuse(c *call) {
	for _, e := range r.engines {
		if e.free() {
			r.idle++
			break
		}
	}
	left := c.began + c.request.Timeout - r.now
	switch {
	case c.repeats > 0:
		c.repeats--
		heap.Push(&r.pending, arrival{r.now + tick, c})
	case !c.returned && c.choice.RetryAfter <= left/3:
		c.returned = true
		heap.Push(&r.pending, arrival{r.now + c.choice.RetryAfter, c})
	default:
		c.outcome = refused
	}
}

func (r *run) event(j *job) {
	c := j.call
	if j.events == 1 {
		c.first = r.now - c.began
		if p := c.gateway.placer; p != nil {
			p.RecordFirstEvent(c.choice)
		}
	} else {
		c.gap = max(c.gap, r.now-c.last)
	}
	c.last = r.now
	if p := c.gateway.placer; p != nil {
		p.RecordActivity(c.choice, r.clock())
	}
}

func (r *run) done(j *job) {
	o := inAim
	if j.call.first > j.call.request.TargetLatency || j.call.gap > j.call.request.MaxEventGap {
		o = late
	}
	r.end(j.call, placement.Served, o)
}

// leave ends the requests whose callers wait no longer.
func (r *run) leave() {
	for c := range r.open {
		patience := max(shortestWait, patienceFactor*c.request.TargetLatency, pauseFactor*c.request.MaxEventGap)
		quiet := r.now - c.job.sent
		if c.job.started {
			quiet = r.now - c.last
		}
		if quiet > patience || r.now-c.began > c.request.Timeout {
			r.engines[c.index].drop(c.job)
			r.end(c, placement.Canceled, failed)
		}
	}
}

func (r *run) end(c *call, p placement.Outcome, o outcome) {
	c.gateway.done(c.index, c.choice, p, r.clock())
	c.outcome = o
	delete(r.open, c)
}
