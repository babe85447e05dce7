package overload_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"briarreach/overload"
)

// The simulated process has one processor, which runs the steps of all requests in the
// order in which they become runnable. A request needs stepsOfRequest of them, with
// other work between them elsewhere, and a refusal two.
const (
	stepTime       = 200 * time.Microsecond // 250 requests a second take all of the processor
	stepsOfRequest = 20
	pauseOfRequest = 10 * time.Millisecond // between two steps
	memoryAtRest   = 20 << 20
	memoryOfOne    = 40 << 10
	memoryLimit    = 128 << 20

	usualRate     = 140.0 // first attempts a second
	overloadRate  = 700.0
	overloadStart = 2 * time.Second
	overloadEnd   = 12 * time.Second
	replayLength  = 16 * time.Second

	callerTimeout  = 2 * time.Second
	callerReturns  = 1           // after a refusal, or unread
	unreadPatience = time.Second // after which a caller comes again whose request was not read
	targetLatency  = 300 * time.Millisecond
	slackOfLimits  = 500 * time.Millisecond // within which a time limit is kept, and a caller's leaving seen
)

// attempt is one attempt of a caller.
type attempt struct {
	firstSent time.Duration // of the caller's first attempt
	arrived   time.Duration
	returns   int // left
	read      bool
	stepsLeft int
	left      time.Duration // when the caller has gone; 0 while it waits
	ended     bool          // answered, or given up by the process
}

// event is the end of a wait.
type event struct {
	at  time.Duration
	do  func()
	seq int // of events at the same time
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// runnable is a step that waits for the processor.
type runnable struct {
	since time.Duration
	do    func()
}

// result is what the callers saw.
type result struct {
	callers       int
	served        int // within callerTimeout of the first attempt
	attempts      int
	refusals      int
	heldOn        int // attempts without an answer slackOfLimits after the time limit
	sentForNobody int // that were read and passed on later than slackOfLimits after the caller had left
	longestDelay  time.Duration
	mostMemory    int64
	quietRefusals int // before the overload, or a second and more after it
}

type simulation struct {
	limiter *overload.Limiter // nil to admit all
	rnd     *rand.Rand
	now     time.Duration
	epoch   time.Time
	events  events
	seq     int
	queue   []runnable
	running bool
	delays  []time.Duration // since the last measurement
	open    int             // attempts that hold memory
	result  result
}

// replay plays the load against a limiter.
func replay(limiter *overload.Limiter, seed uint64) result {
	s := &simulation{limiter: limiter, rnd: rand.New(rand.NewPCG(seed, 1)), epoch: time.Unix(1e9, 0)}
	for at := time.Duration(0); at < replayLength; {
		rate := usualRate
		if at >= overloadStart && at < overloadEnd {
			rate = overloadRate
		}
		at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
		s.result.callers++
		s.at(at, func() { s.arrive(at, callerReturns) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result
}

func (s *simulation) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: max(t, s.now), do: do, seq: s.seq})
}

// run makes a step runnable.
func (s *simulation) run(do func()) {
	s.queue = append(s.queue, runnable{since: s.now, do: do})
	if !s.running {
		s.running = true
		s.next()
	}
}

func (s *simulation) next() {
	if len(s.queue) == 0 {
		s.running = false
		return
	}
	step := s.queue[0]
	s.queue = s.queue[1:]
	delay := s.now - step.since
	s.delays = append(s.delays, delay)
	s.result.longestDelay = max(s.result.longestDelay, delay)
	s.at(s.now+stepTime, func() { step.do(); s.next() })
}

// arrive starts an attempt. Its caller leaves at its time limit, and comes again
// earlier if it is not read.
func (s *simulation) arrive(firstSent time.Duration, returns int) {
	a := &attempt{firstSent: firstSent, arrived: s.now, returns: returns}
	s.result.attempts++
	s.open++
	s.result.mostMemory = max(s.result.mostMemory, memoryAtRest+int64(s.open)*memoryOfOne)
	limit := firstSent + callerTimeout
	if patience := min(unreadPatience, (limit-s.now)/3); returns > 0 {
		s.at(s.now+patience, func() {
			if !a.read && !a.ended {
				a.left = s.now
				s.arrive(firstSent, returns-1)
			}
		})
	}
	s.at(limit, func() {
		if a.left == 0 {
			a.left = s.now
		}
	})
	s.at(limit+slackOfLimits, func() {
		if !a.ended {
			s.result.heldOn++
		}
	})
	s.run(func() { s.handle(a) })
}

// handle decides on an attempt that was read.
func (s *simulation) handle(a *attempt) {
	a.read = true
	decision := s.decide(a)
	refused, ok := decision.(overload.Refused)
	if !ok {
		a.stepsLeft = stepsOfRequest - 1
		s.at(s.now+pauseOfRequest, func() { s.run(func() { s.step(a) }) })
		return
	}
	s.result.refusals++
	if s.now < overloadStart || s.now > overloadEnd+time.Second {
		s.result.quietRefusals++
	}
	s.run(func() {
		s.end(a)
		left := a.firstSent + callerTimeout - s.now
		if wait := min(refused.RetryAfter, left/3); a.left == 0 && a.returns > 0 && left > 0 {
			s.at(s.now+wait, func() { s.arrive(a.firstSent, a.returns-1) })
		}
	})
}

func (s *simulation) decide(a *attempt) overload.Decision {
	if s.limiter == nil {
		return overload.Admitted{}
	}
	now := s.epoch.Add(s.now)
	if s.limiter.Due(now) {
		slices.Sort(s.delays)
		load := overload.Load{MemoryBytes: memoryAtRest + int64(s.open)*memoryOfOne}
		if n := len(s.delays); n > 0 {
			load.RunDelay = s.delays[n*9/10]
		}
		s.delays = s.delays[:0]
		s.limiter.Adjust(load, overload.Limits{TargetLatency: targetLatency, MemoryBytes: memoryLimit})
	}
	return s.limiter.Admit(overload.Request{Age: s.now - a.arrived, Timeout: a.firstSent + callerTimeout - a.arrived}, s.rnd.Float64())
}

// step is one step of an admitted request; half of them come before it is passed on.
func (s *simulation) step(a *attempt) {
	a.stepsLeft--
	if a.stepsLeft == stepsOfRequest/2 && a.left > 0 && s.now-a.left > slackOfLimits {
		s.result.sentForNobody++
	}
	if a.stepsLeft > 0 {
		s.at(s.now+pauseOfRequest, func() { s.run(func() { s.step(a) }) })
		return
	}
	if a.left == 0 {
		s.result.served++
	}
	if s.limiter != nil {
		s.limiter.Done()
	}
	s.end(a)
}

func (s *simulation) end(a *attempt) {
	a.ended = true
	s.open--
}
