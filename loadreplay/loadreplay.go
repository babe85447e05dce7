// Package loadreplay simulates load patterns against placement policies and a
// model of the replicas' engines.
package loadreplay

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"briarreach/placement"
	"briarreach/replicanotice"
)

const (
	tick = time.Millisecond
	// defaultGateways is the number of gateways of the default model.
	defaultGateways = 5
	// A caller disconnects if it gets no event for the longest of minPatience,
	// patienceFactor target latencies and gapPatienceFactor event gaps, unless the
	// pattern has patient callers.
	patienceFactor    = 4
	minPatience       = 2 * time.Second
	gapPatienceFactor = 8
	// drainTime is simulated after the last request.
	drainTime = 16 * time.Second
	// pauseSlack is how long after the first answer that asks for a pause requests
	// may still arrive.
	pauseSlack = 500 * time.Millisecond
)

// requestState is the state of a request and its caller.
type requestState struct {
	request          Request
	priority         int           // at the replicas
	firstArrival     time.Duration // of the first attempt
	immediateRetries int           // left
	retriedLater     bool          // whether it was retried after the delay of a refusal

	gateway           *gateway
	replicaIndex      int
	choice            placement.Choice
	job               *job
	inFlightIndex     int           // in simulation.inFlight
	lastAlive         time.Duration // when the attempt was sent or its last event came
	firstEventLatency time.Duration // since firstArrival
	lastEventAt       time.Duration // since the start of the replay
	maxGap            time.Duration // longest time between events
	outcome           outcome
	promised          bool // the refusal stated when to return, and it returns then
}

// deadline returns when the caller disconnects.
func (rs *requestState) deadline() time.Duration { return rs.firstArrival + rs.request.Timeout }

// patience returns how long an impatient caller waits for the next event.
func (rs *requestState) patience() time.Duration {
	return max(minPatience, patienceFactor*rs.request.TargetLatency, gapPatienceFactor*rs.request.MaxEventGap)
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
	model            EngineModel
	engines          []*engine
	gateways         []*gateway
	pending          arrivals
	requests         []*requestState
	inFlight         []*requestState // at replicas
	sentBefore       map[string]bool // subjects whose shared part was sent to some replica
	needlessRefusals int             // while a replica had a free slot
	sentInPause      int             // requests that reached a replica too late in its pause
	firstPauses      map[pauseOf]time.Duration
	sent             []sending
}

// sending is an attempt that reached a replica.
type sending struct {
	at      time.Duration
	replica int
}

// pauseOf identifies a pause of a replica, as answered to a gateway.
type pauseOf struct {
	gateway *gateway
	replica int
	until   time.Duration
}

// Option changes a default of Replay.
type Option func(*options)

type options struct{ gateways int }

// WithGateways sets the number of gateways that the requests arrive at.
func WithGateways(n int) Option { return func(o *options) { o.gateways = n } }

// Replay simulates a pattern with a policy. The result depends only on the arguments.
func Replay(p *Pattern, policy Policy, model EngineModel, seed uint64, opts ...Option) Result {
	o := options{gateways: defaultGateways}
	for _, opt := range opts {
		opt(&o)
	}
	r := &simulation{pattern: p, model: model, epoch: time.Unix(1e9, 0), rnd: rand.New(rand.NewPCG(seed, 3)), sentBefore: make(map[string]bool), firstPauses: make(map[pauseOf]time.Duration)}
	r.gateways = newGateways(policy, o.gateways, model, r.clock, r.rnd, r.hasFreeSlot)
	for _, s := range newReplicaSpeeds(model, seed) {
		r.engines = append(r.engines, newEngine(model, s))
	}
	for _, request := range p.Requests {
		rs := &requestState{request: request, priority: request.Priority, firstArrival: request.Arrival, immediateRetries: p.ImmediateRetries}
		r.requests = append(r.requests, rs)
		heap.Push(&r.pending, arrival{request.Arrival, rs})
	}
	end := drainTime
	if n := len(p.Requests); n > 0 {
		end += p.Requests[n-1].Arrival
	}
	for ; r.now < end; r.now += tick {
		r.applyOutages()
		r.applySlowdowns()
		r.applyPauses()
		r.applyDepartures()
		for len(r.pending) > 0 && r.pending[0].at <= r.now {
			r.arrive(heap.Pop(&r.pending).(arrival).request)
		}
		if r.now%queueInterval == 0 {
			r.serveQueues()
		}
		for _, e := range r.engines {
			e.advance(r.now, tick, r.onEvent, r.onDone)
		}
		r.cancelImpatient()
	}
	return r.result(policyName(policy), seed)
}

func (r *simulation) clock() time.Time { return r.epoch.Add(r.now) }

// share returns that part of the engines.
func (r *simulation) share(part float64) []*engine {
	return r.engines[:int(part*float64(len(r.engines))+0.5)]
}

func (r *simulation) applyOutages() {
	for _, o := range r.pattern.Outages {
		switch r.now {
		case o.At:
			r.crash(r.share(o.ReplicaShare))
		case o.At + o.Duration:
			for _, e := range r.share(o.ReplicaShare) {
				e.down = false
			}
		}
	}
}

func (r *simulation) applySlowdowns() {
	for _, s := range r.pattern.Slowdowns {
		switch r.now {
		case s.At:
			for _, e := range r.share(s.ReplicaShare) {
				e.speed.slowdown *= s.Factor
			}
		case s.At + s.Duration:
			for _, e := range r.share(s.ReplicaShare) {
				e.speed.slowdown /= s.Factor
			}
		}
	}
}

func (r *simulation) crash(engines []*engine) {
	for _, e := range engines {
		for _, j := range e.crash() {
			r.end(j.state, placement.ConnectionBroken, failed)
		}
	}
}

func (r *simulation) applyPauses() {
	for _, p := range r.pattern.Pauses {
		if r.now == p.At {
			for _, e := range r.share(p.ReplicaShare) {
				e.pausedUntil = p.At + p.Duration
			}
		}
	}
}

func (r *simulation) applyDepartures() {
	for _, d := range r.pattern.Departures {
		leaving := r.share(d.ReplicaShare)
		switch r.now {
		case d.At:
			for _, e := range leaving {
				e.leaving = true
			}
		case d.At + d.ServeFor:
			r.crash(leaving)
		case d.At + d.ServeFor + d.Duration:
			list := slices.Clone(r.gateways[0].replicas)
			for i, e := range leaving {
				e.down, list[i].Started = false, r.clock()
			}
			for _, g := range r.gateways {
				g.setReplicas(list, r.clock())
			}
		}
	}
}

// rejectedInPause reports whether a replica turns the request away that it was sent,
// as it pauses.
func (r *simulation) rejectedInPause(rs *requestState) bool {
	until := r.engines[rs.replicaIndex].pausedUntil
	if r.now >= until {
		return false
	}
	key := pauseOf{gateway: rs.gateway, replica: rs.replicaIndex, until: until}
	if first, ok := r.firstPauses[key]; !ok {
		r.firstPauses[key] = r.now
	} else if r.now > first+pauseSlack {
		r.sentInPause++
	}
	rs.gateway.notices.Record(rs.gateway.replicas[rs.replicaIndex].Incarnation(), replicanotice.Notice{Pause: until - r.now}, r.clock())
	rs.gateway.done(rs.replicaIndex, rs.choice, placement.ReplicaRefused, r.clock())
	return true
}

// arrivalGateway returns the gateway that a request arrives at.
func (r *simulation) arrivalGateway() *gateway {
	list := r.gateways
	if busy := r.pattern.BusyGateways; busy.RequestShare > 0 && len(list) > 1 {
		n := min(max(int(busy.GatewayShare*float64(len(list))+0.5), 1), len(list)-1)
		if r.rnd.Float64() < busy.RequestShare {
			list = list[:n]
		} else {
			list = list[n:]
		}
	}
	return list[r.rnd.IntN(len(list))]
}

// hasFreeSlot reports whether a replica has fewer requests than slots.
func (r *simulation) hasFreeSlot(replicaIndex int) bool {
	e := r.engines[replicaIndex]
	return !e.down && len(e.queue)+len(e.running) < e.model.Slots
}

func (r *simulation) arrive(rs *requestState) {
	rs.gateway = r.arrivalGateway()
	if q := rs.gateway.queue; q != nil {
		if len(q.waiting) > 0 || !r.send(rs) {
			if overflow := q.add(rs); overflow != nil {
				oldest := slices.MinFunc(append(q.waiting, overflow), func(a, b *requestState) int { return cmp.Compare(a.firstArrival, b.firstArrival) })
				wait := r.now - oldest.firstArrival
				overflow.choice = placement.Choice{Refused: true, ExpectedWait: wait, RetryAfter: time.Duration(float64(wait) * (0.5 + r.rnd.Float64()))}
				r.refuse(overflow)
			}
		}
		return
	}
	if !r.send(rs) {
		r.refuse(rs)
	}
}

// send sends a request to a replica. It returns false if none takes it.
func (r *simulation) send(rs *requestState) bool {
	for range len(r.engines) {
		rs.replicaIndex, rs.choice = rs.gateway.choose(rs, r.now)
		if rs.choice.Refused {
			return false
		}
		if r.rejectedInPause(rs) {
			continue
		}
		if !r.engines[rs.replicaIndex].down {
			rs.job = &job{state: rs}
			r.engines[rs.replicaIndex].add(rs.job, r.sentBefore)
			rs.inFlightIndex, rs.lastAlive = len(r.inFlight), r.now
			r.inFlight = append(r.inFlight, rs)
			r.sent = append(r.sent, sending{at: r.now, replica: rs.replicaIndex})
			return true
		}
		// A refused connection proves that the request did not run.
		rs.gateway.done(rs.replicaIndex, rs.choice, placement.ConnectionBroken, r.clock())
	}
	rs.outcome = failed
	return true
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
	left := rs.deadline() - r.now
	after, commit := rs.choice.RetryAfter, func() {}
	if g := rs.gateway; g.returns != nil {
		after, commit = g.returns.plan(r.now, g.roomIn(rs), rs.request.Priority, rs.choice.ExpectedPrefill)
	}
	switch {
	case rs.immediateRetries > 0:
		rs.immediateRetries--
		heap.Push(&r.pending, arrival{r.now + tick, rs})
	case !rs.retriedLater && after <= left/3:
		commit()
		rs.retriedLater, rs.promised = true, true
		heap.Push(&r.pending, arrival{r.now + after, rs})
	default:
		rs.outcome = refused
	}
}

func (r *simulation) onEvent(j *job) {
	rs := j.state
	if j.events == 1 {
		rs.firstEventLatency = r.now - rs.firstArrival
		if r.engines[rs.replicaIndex].leaving {
			rs.gateway.notices.Record(rs.gateway.replicas[rs.replicaIndex].Incarnation(), replicanotice.Notice{Leaving: true}, r.clock())
		}
		if p := rs.gateway.placer; p != nil {
			p.RecordFirstEvent(rs.choice, r.clock())
		}
	} else {
		rs.maxGap = max(rs.maxGap, r.now-rs.lastEventAt)
	}
	rs.lastEventAt, rs.lastAlive = r.now, r.now
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
	// Backwards, as end moves the last one to the place of the one that it removes.
	for i := len(r.inFlight) - 1; i >= 0; i-- {
		rs := r.inFlight[i]
		if !r.pattern.PatientCallers && r.now-rs.lastAlive > rs.patience() || r.now > rs.deadline() {
			r.engines[rs.replicaIndex].cancel(rs.job)
			r.end(rs, placement.Canceled, failed)
		}
	}
}

func (r *simulation) end(rs *requestState, p placement.Outcome, o outcome) {
	rs.gateway.done(rs.replicaIndex, rs.choice, p, r.clock())
	rs.outcome = o
	last := r.inFlight[len(r.inFlight)-1]
	r.inFlight[rs.inFlightIndex], last.inFlightIndex = last, rs.inFlightIndex
	r.inFlight = r.inFlight[:len(r.inFlight)-1]
}
