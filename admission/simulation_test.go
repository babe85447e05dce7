package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"briarreach/admission"
)

// simulation runs requests against a target that serves up to slots of them at
// full speed. A request needs work of service time; with r requests running,
// each proceeds at the speed min(1, slots/r), and above slots the speed falls
// with the square of the overload as well. Between slowFrom and slowUntil
// slots/r, or with independent the speed of every request, is divided by ten.
type simulation struct {
	seed                  int64
	slots                 int
	work, deadline        time.Duration
	load                  float64 // offered load as a multiple of the capacity; at most 0.8 outside the burst
	burstFrom, burstUntil time.Duration
	slowFrom, slowUntil   time.Duration
	until                 time.Duration
	uncontrolled          bool // without admission control
	independent           bool // the slow-down is the same for any number of requests
	options               []admission.Option
}

type simulatedRequest struct {
	arrived, started time.Duration
	remaining        float64
}

type result struct {
	good         []time.Duration // completion times of requests that met their deadline
	ran, refused map[string]bool
	maxRunning   int
	offered      int
}

const tick = time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s simulation) run() result {
	random := rand.New(rand.NewSource(s.seed))
	c := admission.New(admission.Capacity{MaxConcurrent: s.slots}, s.options...)
	requests, running := map[string]*simulatedRequest{}, map[string]*simulatedRequest{}
	r := result{ran: map[string]bool{}, refused: map[string]bool{}}
	startRequest := func(id string, at time.Duration) {
		r.ran[id] = true
		requests[id].started = at
		running[id] = requests[id]
	}
	arrivals := &queue{}
	heap.Push(arrivals, time.Duration(0))
	for at := time.Duration(0); at < s.until; at += tick {
		now := start.Add(at)
		rate := float64(s.slots) / s.work.Seconds()
		load := min(s.load, 0.8)
		if at >= s.burstFrom && at < s.burstUntil {
			load = s.load
		}
		for arrivals.Len() > 0 && (*arrivals)[0] <= at {
			next := heap.Pop(arrivals).(time.Duration)
			heap.Push(arrivals, next+time.Duration(random.ExpFloat64()/(rate*load)*float64(time.Second)))
			id := fmt.Sprintf("r%d", r.offered)
			r.offered++
			// Work varies by a factor of three, like the lengths of answers.
			requests[id] = &simulatedRequest{arrived: at, remaining: s.work.Seconds() * (0.5 + random.Float64())}
			if s.uncontrolled {
				startRequest(id, at)
				continue
			}
			switch c.Offer(admission.Request{AttemptID: id, Deadline: now.Add(s.deadline), ReservedTokens: 1}, now).(type) {
			case admission.Admitted:
				startRequest(id, at)
			case admission.Refused:
				r.refused[id] = true
			}
		}
		for _, request := range c.Expire(now) {
			r.refused[request.AttemptID] = true
		}
		for _, request := range c.Admit(now) {
			startRequest(request.AttemptID, at)
		}
		capacity := float64(s.slots)
		slow := at >= s.slowFrom && at < s.slowUntil
		if slow && !s.independent {
			capacity /= 10
		}
		n := float64(len(running))
		speed := min(1, capacity/math.Max(1, n))
		if slow && s.independent {
			speed /= 10
		}
		if overload := n / float64(s.slots); overload > 1 {
			speed /= overload * overload
		}
		r.maxRunning = max(r.maxRunning, len(running))
		var ended []string
		for id, q := range running {
			if q.remaining -= speed * tick.Seconds(); q.remaining <= 0 {
				ended = append(ended, id)
			}
		}
		slices.Sort(ended) // keeps the run independent of the map's order
		for _, id := range ended {
			q := running[id]
			delete(running, id)
			took := at + tick - q.started
			if at+tick-q.arrived <= s.deadline {
				r.good = append(r.good, at)
			}
			if s.uncontrolled {
				continue
			}
			for _, request := range c.Done(id, took, true, now) {
				startRequest(request.AttemptID, at+tick)
			}
		}
	}
	return r
}

// goodput is the rate of requests that met their deadline between two times,
// as a share of the capacity.
func (s simulation) goodput(r result, from, to time.Duration) float64 {
	n := 0
	for _, at := range r.good {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) * s.work.Seconds() / float64(s.slots) / (to - from).Seconds()
}

// queue is a heap of arrival times.
type queue []time.Duration

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i] < q[j] }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(time.Duration)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
