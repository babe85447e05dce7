// Package loadreplay simulates load patterns against placement policies and a
// model of the replicas' engines.
package loadreplay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"briarreach/placement"
)

const (
	tick         = time.Millisecond
	gatewayCount = 5
	// A caller disconnects if it gets no event for the longest of minPatience,
	// patienceFactor target latencies and gapPatienceFactor event gaps.
	patienceFactor    = 4
	minPatience       = 2 * time.Second
	gapPatienceFactor = 8
	// drainTime is simulated after the last request.
	drainTime = 16 * time.Second
)

// requestState is the state of a request and its caller.
type requestState struct {
	request          Request
	firstArrival     time.Duration // of the first attempt
	immediateRetries int           // left
	retriedLater     bool          // whether it was retried after the delay of a refusal

	gateway           *gateway
	replicaIndex      int
	choice            placement.Choice
	job               *job
	firstEventLatency time.Duration // since firstArrival
	lastEventAt       time.Duration // since the start of the replay
	maxGap            time.Duration // longest time between events
	outcome           outcome
}

type outcome int

const (
	pending outcome = iota
	onTime
	late
	refused
	failed
)

// arrival is an attempt of a request.
type arrival struct {
	at      time.Duration
	request *requestState
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

// simulation is one replay.
type simulation struct {
	pattern          *Pattern
	now              time.Duration
	epoch            time.Time
	rnd              *rand.Rand
	engines          []*engine
	gateways         []*gateway
	pending          arrivals
	requests         []*requestState
	inFlight         map[*requestState]bool
	sentBefore       map[string]bool // subjects whose shared part was sent to some replica
	needlessRefusals int             // while a replica had a free slot
}

// Replay simulates a pattern with a policy.
func Replay(p *Pattern, policy Policy, model EngineModel, seed uint64) Result {
	r := &simulation{pattern: p, epoch: time.Unix(1e9, 0), rnd: rand.New(rand.NewPCG(seed, 3)), inFlight: make(map[*requestState]bool), sentBefore: make(map[string]bool)}
	r.gateways = newGateways(policy, gatewayCount, model, r.clock, r.rnd)
	for range model.Replicas {
		r.engines = append(r.engines, newEngine(model))
	}
	for _, request := range p.Requests {
		rs := &requestState{request: request, firstArrival: request.Arrival, immediateRetries: p.ImmediateRetries}
		r.requests = append(r.requests, rs)
		heap.Push(&r.pending, arrival{request.Arrival, rs})
	}
	end := drainTime
	if n := len(p.Requests); n > 0 {
		end += p.Requests[n-1].Arrival
	}
	for ; r.now < end; r.now += tick {
		r.applyOutages()
		for len(r.pending) > 0 && r.pending[0].at <= r.now {
			r.arrive(heap.Pop(&r.pending).(arrival).request)
		}
		for _, e := range r.engines {
			e.advance(r.now, tick, r.onEvent, r.onDone)
		}
		r.cancelImpatient()
	}
	return r.result(policyName(policy))
}

func (r *simulation) clock() time.Time { return r.epoch.Add(r.now) }

func (r *simulation) applyOutages() {
	for _, o := range r.pattern.Outages {
		n := int(o.ReplicaShare*float64(len(r.engines)) + 0.5)
		switch r.now {
		case o.At:
			for _, e := range r.engines[:n] {
				for _, j := range e.crash() {
					r.end(j.state, placement.ConnectionBroken, failed)
				}
			}
		case o.At + o.Duration:
			for _, e := range r.engines[:n] {
				e.down = false
			}
		}
	}
}

func (r *simulation) arrive(rs *requestState) {
	rs.gateway = r.gateways[r.rnd.IntN(len(r.gateways))]
	for range len(r.engines) {
		rs.replicaIndex, rs.choice = rs.gateway.choose(rs.request, r.clock())
		if rs.choice.Refused {
			r.refuse(rs)
			return
		}
		if !r.engines[rs.replicaIndex].down {
			rs.job = &job{state: rs}
			r.engines[rs.replicaIndex].add(rs.job, r.now, r.sentBefore)
			r.inFlight[rs] = true
			return
		}
		// A refused connection proves that the request did not run.
		rs.gateway.done(rs.replicaIndex, rs.choice, placement.ConnectionBroken, r.clock())
	}
	rs.outcome = failed
}

// refuse handles a refusal: the caller retries once after the given delay, or
// immediately and several times if the pattern says so.
func (r *simulation) refuse(rs *requestState) {
	for _, e := range r.engines {
		if e.hasFreeSlot() {
			r.needlessRefusals++
			break
		}
	}
	left := rs.firstArrival + rs.request.Timeout - r.now
	switch {
	case rs.immediateRetries > 0:
		rs.immediateRetries--
		heap.Push(&r.pending, arrival{r.now + tick, rs})
	case !rs.retriedLater && rs.choice.RetryAfter <= left/3:
		rs.retriedLater = true
		heap.Push(&r.pending, arrival{r.now + rs.choice.RetryAfter, rs})
	default:
		rs.outcome = refused
	}
}

func (r *simulation) onEvent(j *job) {
	rs := j.state
	if j.events == 1 {
		rs.firstEventLatency = r.now - rs.firstArrival
		if p := rs.gateway.placer; p != nil {
			p.RecordFirstEvent(rs.choice)
		}
	} else {
		rs.maxGap = max(rs.maxGap, r.now-rs.lastEventAt)
	}
	rs.lastEventAt = r.now
	if p := rs.gateway.placer; p != nil {
		p.RecordActivity(rs.choice, r.clock())
	}
}

func (r *simulation) onDone(j *job) {
	o := onTime
	if j.state.firstEventLatency > j.state.request.TargetLatency || j.state.maxGap > j.state.request.MaxEventGap {
		o = late
	}
	r.end(j.state, placement.Served, o)
}

// cancelImpatient cancels the requests whose callers have waited too long.
func (r *simulation) cancelImpatient() {
	for rs := range r.inFlight {
		patience := max(minPatience, patienceFactor*rs.request.TargetLatency, gapPatienceFactor*rs.request.MaxEventGap)
		quiet := r.now - rs.job.sent
		if rs.job.started {
			quiet = r.now - rs.lastEventAt
		}
		if quiet > patience || r.now-rs.firstArrival > rs.request.Timeout {
			r.engines[rs.replicaIndex].cancel(rs.job)
			r.end(rs, placement.Canceled, failed)
		}
	}
}

func (r *simulation) end(rs *requestState, p placement.Outcome, o outcome) {
	rs.gateway.done(rs.replicaIndex, rs.choice, p, r.clock())
	rs.outcome = o
	delete(r.inFlight, rs)
}
