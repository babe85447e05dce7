package loadreplay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"briarreach/placement"
	"briarreach/replica"
)

// Waiting says where requests wait that no replica can start at once.
type Waiting int

// Places where requests wait. A gateway without a queue, or with its own, sends a
// request only to a replica that has room: the expected wait is below
// placement.OverloadPolicy.IdleWaitShare of the target latency, and the gateway's
// share of the replica's slots is not used up.
const (
	AtReplicas     Waiting = iota // they are sent at once and wait in the replicas' queues
	Nowhere                       // they are refused
	AtGateway                     // in a bounded queue of the gateway, the most urgent first, then by the time left
	AtGatewayExact                // as AtGateway, but the gateway knows all replicas' free slots; a bound of what a queue can reach
)

// Refusal says which requests are refused because of overload.
type Refusal int

// Refusals. A request is late if its first event is expected after LateFactor of its
// target latency, and hopeless if that is after LateFactor of the time in which its
// response can still be completed within the time limit.
const (
	RefuseLate           Refusal = iota // late ones, as placement does
	RefuseHopeless                      // hopeless ones
	RefuseHopelessBehind                // hopeless ones; late ones are less urgent than all others
)

// Returns says which time of return refusals state.
type Returns int

// Return times.
const (
	ReturnAfterWait  Returns = iota // after 0.5 to 1.5 times the expected wait, as placement says
	ReturnSpread                    // as room becomes free, after the earlier returns of the same or more urgency
	ReturnSpreadKept                // the same, and a request that has returned is refused only if it is hopeless
)

const (
	// slotShareFactor lets a gateway use more than an equal share of the slots, as
	// gateways get uneven shares of the requests. It is placement's load factor.
	slotShareFactor = 1.25
	// slotRetryAfter is the wait that a gateway without a queue states if only slots
	// are short: about the time in which one of a replica's 6 slots becomes free.
	slotRetryAfter = 100 * time.Millisecond
	// queueInterval is the time between two looks at a gateway's queue.
	queueInterval = 5 * time.Millisecond
	// lateUrgency is added to the priority of late requests that go behind all others.
	lateUrgency = 10
	// returnShare is the share of the replicas' time that is planned for returns. The
	// rest is for new requests.
	returnShare = 0.5
)

// roomSettings returns the settings with which placement refuses a request unless a
// replica can start it at once.
func roomSettings(s placement.Settings) placement.Settings {
	s.Overload.LateFactor = math.SmallestNonzeroFloat64
	return s
}

// slotLimiter limits a gateway's requests in flight on a replica.
type slotLimiter struct {
	gateway *gateway
	index   map[string]int // by replica ID
	hasRoom func(replicaIndex int) bool
}

// Allows implements placement.Limiter.
func (l slotLimiter) Allows(r replica.Incarnation, _ time.Time) (time.Duration, bool) {
	return slotRetryAfter, l.hasRoom(l.index[r.ID])
}

// Take implements placement.Limiter.
func (l slotLimiter) Take(r replica.Incarnation, _ time.Time) bool { return l.hasRoom(l.index[r.ID]) }

// slotShare returns how many requests a gateway may have in flight on a replica.
func slotShare(slots, gateways int) int {
	return max(int(math.Ceil(slotShareFactor*float64(slots)/float64(gateways))), 1)
}

// servingTime returns how long a request takes at best on a replica of speed 1.
func (m EngineModel) servingTime(r Request) time.Duration {
	prefill := time.Duration(float64(r.UniqueTokens) / m.PrefillRate * float64(time.Second))
	return prefill + m.FirstEventLatency + m.decodingTime(r)
}

// decodingTime returns the time from the first event to the last one at best.
func (m EngineModel) decodingTime(r Request) time.Duration {
	return time.Duration(r.Events*m.TokensPerEvent) * m.StepTime
}

// gatewayQueue holds the requests that wait at a gateway.
type gatewayQueue struct {
	limit   int
	waiting []*requestState
}

// add adds a request, and returns the one that the queue has no room for, or nil.
func (q *gatewayQueue) add(rs *requestState) (overflow *requestState) {
	i, _ := slices.BinarySearchFunc(q.waiting, rs, func(a, b *requestState) int {
		// Equal ones stay in the order of arrival.
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline(), b.deadline()), -1)
	})
	q.waiting = slices.Insert(q.waiting, i, rs)
	if len(q.waiting) <= q.limit {
		return nil
	}
	overflow = q.waiting[q.limit]
	q.waiting = q.waiting[:q.limit]
	return overflow
}

// serveQueues sends waiting requests, in order, until no replica has room for the
// next one. Those that can't be completed before their time limit are refused.
func (r *simulation) serveQueues() {
	first := int(r.now / queueInterval) // gateways take turns at being the first
	for i := range r.gateways {
		g := r.gateways[(first+i)%len(r.gateways)]
		if g.queue == nil || len(g.queue.waiting) == 0 {
			continue
		}
		g.queue.waiting = slices.DeleteFunc(g.queue.waiting, func(rs *requestState) bool {
			switch {
			case r.now+r.model.servingTime(rs.request) > rs.deadline():
				rs.outcome = refused
			case r.now-rs.firstArrival > rs.patience() && !r.pattern.PatientCallers:
				rs.outcome = failed
			}
			return rs.outcome != pending
		})
		n := 0
		for n < len(g.queue.waiting) && r.send(g.queue.waiting[n]) {
			n++
		}
		g.queue.waiting = slices.Delete(g.queue.waiting, 0, n)
	}
}

// returnSchedule plans the returns of the requests that a gateway has refused.
type returnSchedule struct {
	share float64               // replicas whose time is planned for this gateway's returns
	next  map[int]time.Duration // by priority, when the planned returns are done
}

// plan returns how long after now a refused request may return that takes a replica
// for the given prefill time. Commit must be called if it will. Returns of the same or
// more urgency go before it.
func (s *returnSchedule) plan(now, roomIn time.Duration, priority int, prefill time.Duration) (after time.Duration, commit func()) {
	at := now + roomIn
	for p, end := range s.next {
		if p <= priority {
			at = max(at, end)
		}
	}
	return at - now, func() { s.next[priority] = at + time.Duration(float64(prefill)/s.share) }
}
