// Package admission decides at an agent which requests run at the target,
// which wait and which are refused. It takes time as an argument and starts no
// goroutine.
package admission

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"time"
)

// Capacity is what a target is stated to take. MaxTokens 0 means that held
// tokens are not limited (plain services).
type Capacity struct {
	MaxConcurrent int
	MaxTokens     int64
}

// Request asks for the execution of one attempt. Tokens is the largest number
// of tokens that the request can hold at the target: prompt plus max_tokens.
// A zero Deadline never passes. Higher priorities go first.
type Request struct {
	AttemptID      string
	Priority       int
	Deadline       time.Time
	ReservedTokens int64
}

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	QueueFull Reason = "queue_full"
	Leaving   Reason = "leaving"
	TooLarge  Reason = "too_large" // more tokens than the target's stated capacity
	Expired   Reason = "expired"   // the deadline has passed or would be missed
	Duplicate Reason = "duplicate" // the attempt is running or queued
)

// Decision is the answer to an offer.
type Decision interface{ decision() }

type (
	// Admitted says that the request may run now.
	Admitted struct{}
	// Queued says that the request waits; Done, Cancel or Admit return its
	// ticket when it may run, Expire when its deadline would be missed. Displaced, set
	// only with WithDisplacement, is a queued ticket that was removed to make
	// room and must be refused.
	Queued struct{ Displaced *Request }
	// Refused says that the request does not run.
	Refused struct{ Reason Reason }
)

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Load is the state of a controller. Limit is the current limit of concurrent
// requests, at most the stated capacity.
type Load struct {
	Running, Queued int
	HeldTokens      int64
	Limit           int
}

// expectedSamples is the number of samples over which the expected time of a
// request is averaged.
const expectedSamples = 20

// maxQueue bounds the queue of large targets: waiting requests beyond it would
// wait for several service times.
const maxQueue = 64

// Controller is the admission state of one target. It is safe for concurrent
// use. Running requests never exceed Capacity.MaxConcurrent and held tokens
// never exceed Capacity.MaxTokens at the time of an admission.
type Controller struct {
	mu       sync.Mutex
	capacity Capacity
	limiter  limiter
	displace bool
	leaving  bool
	running  map[string]*entry
	queued   map[string]*entry
	queue    queue
	expired  []Request
	held     int64
	sequence uint64
	expected float64 // seconds that a request takes at the target
}

type entry struct {
	Request
	sequence  uint64
	index     int
	generated int64
}

// Option changes a controller.
type Option func(*Controller)

// WithDisplacement lets an offer with a higher priority remove the last queued
// ticket of a lower priority when the queue is full.
func WithDisplacement() Option { return func(c *Controller) { c.displace = true } }

// New returns a controller for a target of the stated capacity. The default
// limit is WithGradient.
func New(capacity Capacity, opts ...Option) *Controller {
	c := &Controller{
		capacity: capacity,
		limiter:  newGradient(),
		running:  map[string]*entry{},
		queued:   map[string]*entry{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Offer decides on a new request.
func (c *Controller) Offer(t Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leaving:
		return Refused{Leaving}
	case c.running[t.AttemptID] != nil || c.queued[t.AttemptID] != nil:
		return Refused{Duplicate}
	case c.capacity.MaxConcurrent < 1, c.capacity.MaxTokens > 0 && t.ReservedTokens > c.capacity.MaxTokens:
		return Refused{TooLarge}
	case !t.Deadline.IsZero() && !now.Before(t.Deadline):
		return Refused{Expired}
	}
	c.sequence++
	e := &entry{Request: t, sequence: c.sequence}
	c.dropExpired(now)
	if (len(c.queue) == 0 || before(e, c.queue[0])) && c.fits(e) {
		c.start(e)
		return Admitted{}
	}
	if c.tooLate(t, now) {
		return Refused{Expired}
	}
	var displaced *Request
	if len(c.queue)+len(c.expired) >= c.maxQueue() {
		last := c.last()
		if !c.displace || last == nil || last.Priority >= t.Priority {
			return Refused{QueueFull}
		}
		c.remove(last)
		displaced = &last.Request
	}
	heap.Push(&c.queue, e)
	c.queued[t.AttemptID] = e
	return Queued{Displaced: displaced}
}

// Progress records the number of tokens that an attempt has generated. Held
// tokens grow only if a target generates more than the ticket said.
func (c *Controller) Progress(attempt string, generated int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.running[attempt]
	if e == nil || generated <= e.generated {
		return
	}
	c.held -= e.holds()
	e.generated = generated
	c.held += e.holds()
}

// Done ends a running attempt and returns the tickets that may run now.
// Latency is the time that the target took. The limit follows the latency per
// generated token if Progress was called for the attempt, and the whole
// latency otherwise.
func (c *Controller) Done(attempt string, latency time.Duration, ok bool, now time.Time) []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.running[attempt]
	if e == nil {
		return nil
	}
	busy := len(c.running)
	c.stop(e)
	if c.expected == 0 {
		c.expected = latency.Seconds()
	}
	c.expected += (latency.Seconds() - c.expected) / expectedSamples
	if e.generated > 0 {
		latency /= time.Duration(e.generated)
	}
	c.limiter.observe(sample{latency: latency, ok: ok, running: busy, capacity: c.capacity.MaxConcurrent, now: now})
	return c.admit(now)
}

// Cancel removes a queued or running attempt and returns the tickets that may
// run now. A running attempt must be cancelled at the target first.
func (c *Controller) Cancel(attempt string, now time.Time) (admitted []Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.running[attempt]; e != nil {
		c.stop(e)
	}
	if e := c.queued[attempt]; e != nil {
		c.remove(e)
	}
	return c.admit(now)
}

// Expire removes and returns the queued tickets whose deadline has passed, or
// would pass before the end if they started now. They did not run. Call Admit afterwards.
func (c *Controller) Expire(now time.Time) []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range slices.Clone(c.queue) {
		if c.tooLate(e.Request, now) {
			c.remove(e)
			c.expired = append(c.expired, e.Request)
		}
	}
	expired := c.expired
	c.expired = nil
	return expired
}

// Admit returns the queued tickets that may run now. It is needed after
// Expire and SetCapacity only; Done and Cancel admit by themselves.
func (c *Controller) Admit(now time.Time) []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admit(now)
}

// SetCapacity changes the stated capacity. Running requests above a lower
// capacity continue; nothing is admitted until they are below it.
func (c *Controller) SetCapacity(capacity Capacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = capacity
}

// Leave refuses all later offers. Queued and running requests continue.
func (c *Controller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// Load returns the state of the controller.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Load{Running: len(c.running), Queued: len(c.queue), HeldTokens: c.held, Limit: c.limit()}
}

func (c *Controller) admit(now time.Time) []Request {
	c.dropExpired(now)
	var admitted []Request
	for len(c.queue) > 0 && c.fits(c.queue[0]) {
		e := c.queue[0]
		c.remove(e)
		c.start(e)
		admitted = append(admitted, e.Request)
		c.dropExpired(now)
	}
	return admitted
}

// dropExpired removes tickets that would miss their deadlines from the head of
// the queue, so that they do not hold up the tickets behind them. Expire
// returns them.
func (c *Controller) dropExpired(now time.Time) {
	for len(c.queue) > 0 && c.tooLate(c.queue[0].Request, now) {
		e := c.queue[0]
		c.remove(e)
		c.expired = append(c.expired, e.Request)
	}
}

// fits reports whether the request is within both limits. The limit of held
// tokens is lowered in proportion to the limit of concurrent requests. A
// request always fits at an idle target, if it is within the stated capacity.
func (c *Controller) fits(e *entry) bool {
	stated := c.capacity
	if len(c.running) >= stated.MaxConcurrent || stated.MaxTokens > 0 && c.held+e.holds() > stated.MaxTokens {
		return false
	}
	if len(c.running) == 0 {
		return true
	}
	limit := c.limit()
	if len(c.running) >= limit {
		return false
	}
	tokens := float64(stated.MaxTokens) * float64(limit) / float64(stated.MaxConcurrent)
	return stated.MaxTokens <= 0 || float64(c.held+e.holds()) <= tokens
}

func (c *Controller) limit() int {
	limit := int(math.Round(c.limiter.limit(c.capacity.MaxConcurrent)))
	return max(1, min(limit, c.capacity.MaxConcurrent))
}

// maxQueue follows the limit, so that the wait stays at about two service
// times when the target is slow.
func (c *Controller) maxQueue() int { return min(2*c.limit(), maxQueue) }

func (c *Controller) start(e *entry) {
	c.running[e.AttemptID] = e
	c.held += e.holds()
}

func (c *Controller) stop(e *entry) {
	delete(c.running, e.AttemptID)
	c.held -= e.holds()
}

func (c *Controller) remove(e *entry) {
	heap.Remove(&c.queue, e.index)
	delete(c.queued, e.AttemptID)
}

func (c *Controller) last() *entry {
	var last *entry
	for _, e := range c.queue {
		if last == nil || before(last, e) {
			last = e
		}
	}
	return last
}

func (e *entry) holds() int64 { return max(e.ReservedTokens, e.generated) }

// tooLate reports whether a waiting request would miss its deadline if it
// started now and took the expected time. It is not asked when there is room at
// once: the expected time is that of all requests, and a short one may be
// faster. With an idle target only the deadline itself counts, so that a wrong
// expectation is corrected.
func (c *Controller) tooLate(t Request, now time.Time) bool {
	if t.Deadline.IsZero() {
		return false
	}
	left := t.Deadline.Sub(now)
	return left <= 0 || len(c.running) > 0 && left.Seconds() < c.expected
}

// before orders by priority, then by deadline, then by arrival.
func before(a, b *entry) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.Deadline.Equal(b.Deadline):
		return a.sequence < b.sequence
	case a.Deadline.IsZero() || b.Deadline.IsZero():
		return b.Deadline.IsZero()
	}
	return a.Deadline.Before(b.Deadline)
}

type queue []*entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return before(q[i], q[j]) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
