// Package admission decides, in an agent, which requests run at the target,
// which are queued and which are refused. The current time is always a
// parameter, and the package starts no goroutines.
package admission

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"time"
)

// Capacity is the configured capacity of a target. MaxTokens 0 means that held
// tokens are not limited (plain services).
type Capacity struct {
	MaxConcurrent int
	MaxTokens     int64
}

// Request asks to run one attempt. ReservedTokens is the largest number of
// tokens that the request can hold at the target: prompt plus max_tokens. A
// zero Deadline means none. Higher priorities run first.
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
	TooLarge  Reason = "too_large" // more tokens than the target's capacity, or MaxConcurrent is 0
	Expired   Reason = "expired"   // the deadline has passed or would be missed
	Duplicate Reason = "duplicate" // the attempt is running or queued
)

// Decision is the result of Offer.
type Decision interface{ decision() }

type (
	// Admitted says that the request may run now.
	Admitted struct{}
	// Queued says that the request waits. Done, Cancel or Admit return it when
	// it may run, Expire when it would miss its deadline. Displaced, set only
	// with WithDisplacement, is a queued request that was removed to make room;
	// the caller must refuse it.
	Queued struct{ Displaced *Request }
	// Refused says that the request does not run.
	Refused struct{ Reason Reason }
)

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Load is the state of a controller. Limit is the current concurrency limit,
// at most Capacity.MaxConcurrent.
type Load struct {
	Running, Queued int
	HeldTokens      int64
	Limit           int
}

// durationSamples is the number of samples over which the expected duration of
// a request is averaged.
const durationSamples = 20

// maxQueueLength bounds the queue of targets with a concurrency limit above 32.
// A full queue of that length waits for less than two service times.
const maxQueueLength = 64

// Controller is the admission state of one target. It is safe for concurrent
// use. Running requests never exceed Capacity.MaxConcurrent and held tokens
// never exceed Capacity.MaxTokens at the time of an admission.
type Controller struct {
	mu              sync.Mutex
	capacity        Capacity
	limiter         limiter
	displace        bool
	leaving         bool
	running         map[string]*requestState // by attempt ID
	queued          map[string]*requestState // by attempt ID; the same requests as in queue
	queue           queue
	expired         []Request // removed from the queue, not yet returned by Expire
	held            int64     // tokens held by the running requests
	sequence        uint64    // of the last request
	expectedSeconds float64   // average duration of a request at the target
}

type requestState struct {
	Request
	sequence  uint64 // order of arrival
	index     int    // in the queue
	generated int64  // tokens generated so far
}

// Option changes a controller.
type Option func(*Controller)

// WithDisplacement lets a request with a higher priority displace the last
// queued request if that has a lower priority and the queue is full.
func WithDisplacement() Option { return func(c *Controller) { c.displace = true } }

// New returns a controller for a target of the given capacity. The default
// limit algorithm is WithGradient.
func New(capacity Capacity, opts ...Option) *Controller {
	c := &Controller{
		capacity: capacity,
		limiter:  newGradient(),
		running:  map[string]*requestState{},
		queued:   map[string]*requestState{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Offer decides whether a new request runs, waits or is refused.
func (c *Controller) Offer(r Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leaving:
		return Refused{Leaving}
	case c.running[r.AttemptID] != nil || c.queued[r.AttemptID] != nil:
		return Refused{Duplicate}
	case c.capacity.MaxConcurrent < 1, c.capacity.MaxTokens > 0 && r.ReservedTokens > c.capacity.MaxTokens:
		return Refused{TooLarge}
	case !r.Deadline.IsZero() && !now.Before(r.Deadline):
		return Refused{Expired}
	}
	c.sequence++
	e := &requestState{Request: r, sequence: c.sequence}
	c.dropExpired(now)
	if (len(c.queue) == 0 || runsBefore(e, c.queue[0])) && c.fits(e) {
		c.start(e)
		return Admitted{}
	}
	if c.wouldMissDeadline(r, now) {
		return Refused{Expired}
	}
	var displaced *Request
	if len(c.queue)+len(c.expired) >= c.queueLimit() {
		last := c.lastQueued()
		if !c.displace || last == nil || last.Priority >= r.Priority {
			return Refused{QueueFull}
		}
		c.remove(last)
		displaced = &last.Request
	}
	heap.Push(&c.queue, e)
	c.queued[r.AttemptID] = e
	return Queued{Displaced: displaced}
}

// Progress records the number of tokens that an attempt has generated. Held
// tokens grow only if the target generates more than the request reserved.
func (c *Controller) Progress(attempt string, generated int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.running[attempt]
	if e == nil || generated <= e.generated {
		return
	}
	c.held -= e.heldTokens()
	e.generated = generated
	c.held += e.heldTokens()
}

// Done ends a running attempt and returns the queued requests that may run
// now. Latency is the time that the target took; ok is false if the target
// failed, which can lower the concurrency limit. The limit follows the latency
// per generated token if Progress was called for the attempt, and the whole
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
	if c.expectedSeconds == 0 {
		c.expectedSeconds = latency.Seconds()
	}
	c.expectedSeconds += (latency.Seconds() - c.expectedSeconds) / durationSamples
	if e.generated > 0 {
		latency /= time.Duration(e.generated)
	}
	c.limiter.observe(sample{latency: latency, ok: ok, running: busy, capacity: c.capacity.MaxConcurrent, now: now})
	return c.admit(now)
}

// Cancel removes a queued or running attempt and returns the queued requests
// that may run now. A running attempt must be cancelled at the target first.
func (c *Controller) Cancel(attempt string, now time.Time) (admitted []Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.running[attempt]; e != nil {
		c.stop(e)
	}
	if e := c.queued[attempt]; e != nil {
		c.remove(e)
	}
	c.expired = slices.DeleteFunc(c.expired, func(r Request) bool { return r.AttemptID == attempt })
	return c.admit(now)
}

// Expire removes and returns the queued requests whose deadline has passed, or
// would pass before they end if they started now. They did not run. Call Admit
// afterwards.
func (c *Controller) Expire(now time.Time) []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range slices.Clone(c.queue) {
		if c.wouldMissDeadline(e.Request, now) {
			c.remove(e)
			c.expired = append(c.expired, e.Request)
		}
	}
	expired := c.expired
	c.expired = nil
	return expired
}

// Admit returns the queued requests that may run now. It is needed after
// Expire and SetCapacity only; Done and Cancel admit by themselves.
func (c *Controller) Admit(now time.Time) []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admit(now)
}

// SetCapacity changes the capacity. Running requests above a lower capacity
// continue; nothing is admitted until they are below it.
func (c *Controller) SetCapacity(capacity Capacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = capacity
}

// Leave refuses all later requests. Queued and running requests continue.
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

// dropExpired removes requests that would miss their deadlines from the head
// of the queue, so that they do not hold up the requests behind them. Expire
// returns them.
func (c *Controller) dropExpired(now time.Time) {
	for len(c.queue) > 0 && c.wouldMissDeadline(c.queue[0].Request, now) {
		e := c.queue[0]
		c.remove(e)
		c.expired = append(c.expired, e.Request)
	}
}

// fits reports whether the request is within the limits of concurrent requests
// and of held tokens. The token limit is lowered in proportion to the
// concurrency limit. An idle target takes any request within its capacity.
func (c *Controller) fits(e *requestState) bool {
	capacity := c.capacity
	if len(c.running) >= capacity.MaxConcurrent || capacity.MaxTokens > 0 && c.held+e.heldTokens() > capacity.MaxTokens {
		return false
	}
	if len(c.running) == 0 {
		return true
	}
	limit := c.limit()
	if len(c.running) >= limit {
		return false
	}
	maxTokens := float64(capacity.MaxTokens) * float64(limit) / float64(capacity.MaxConcurrent)
	return capacity.MaxTokens <= 0 || float64(c.held+e.heldTokens()) <= maxTokens
}

func (c *Controller) limit() int {
	limit := int(math.Round(c.limiter.limit(c.capacity.MaxConcurrent)))
	return max(1, min(limit, c.capacity.MaxConcurrent))
}

// queueLimit is twice the concurrency limit, so that the wait stays at about
// two service times when the target is slow.
func (c *Controller) queueLimit() int { return min(2*c.limit(), maxQueueLength) }

func (c *Controller) start(e *requestState) {
	c.running[e.AttemptID] = e
	c.held += e.heldTokens()
}

func (c *Controller) stop(e *requestState) {
	delete(c.running, e.AttemptID)
	c.held -= e.heldTokens()
}

func (c *Controller) remove(e *requestState) {
	heap.Remove(&c.queue, e.index)
	delete(c.queued, e.AttemptID)
}

func (c *Controller) lastQueued() *requestState {
	var last *requestState
	for _, e := range c.queue {
		if last == nil || runsBefore(last, e) {
			last = e
		}
	}
	return last
}

func (e *requestState) heldTokens() int64 { return max(e.ReservedTokens, e.generated) }

// wouldMissDeadline reports whether a waiting request would miss its deadline
// if it started now and took the expected time. Requests that can start on
// arrival are not checked: the expected time is an average over all requests,
// and a short one may be faster. At an idle target only the deadline itself
// counts, so that requests run and correct a wrong expectation.
func (c *Controller) wouldMissDeadline(r Request, now time.Time) bool {
	if r.Deadline.IsZero() {
		return false
	}
	left := r.Deadline.Sub(now)
	return left <= 0 || len(c.running) > 0 && left.Seconds() < c.expectedSeconds
}

// runsBefore orders requests by priority, then by deadline, then by arrival.
func runsBefore(a, b *requestState) bool {
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

// queue is a heap of the waiting requests.
type queue []*requestState

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return runsBefore(q[i], q[j]) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Push(x any) {
	e := x.(*requestState)
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
