// Package overload decides which requests a process takes in when they need more
// processor time or memory than it has.
//
// Load pattern: most processes of a fleet leave, and callers send several times the
// usual load to those that are left. Refused callers, and callers whose requests are
// not read in time, come again. Without refusals all requests wait for the processor at
// each of their steps, until they end after their time limits and their callers have
// left. Replayed by "one process left of six, under a multiple of its load".
package overload

import (
	"math"
	"sync"
	"time"
)

// Settings are the bounds of a Limiter.
type Settings struct {
	Interval       time.Duration // between two adjustments of the limit
	StepsToAnswer  int           // how often a request waits for the processor until its answer begins
	WaitShare      float64       // of the shortest target latency that these waits may take together; 0 for no bound
	MemoryShare    float64       // of the memory limit that may be in use; 0 for no bound
	Decrease       float64       // factor of the limit after an interval of overload
	Increase       float64       // requests that are added to the limit after another interval
	MinInProgress  int           // requests, admitted in any case
	MaxAgeShare    float64       // part of a request's time limit that it may wait in overload before it is handled
	RetryShare     float64       // part of a request's time left after which its caller still returns
	DefaultLatency time.Duration // stands in for the target latency and the time limit if none is known
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Interval: 50 * time.Millisecond, StepsToAnswer: 20, WaitShare: 1, MemoryShare: 0.75, Decrease: 0.9, Increase: 2,
		MinInProgress: 16, MaxAgeShare: 0.25, RetryShare: 1.0 / 3, DefaultLatency: time.Second}
}

// Load is what a process measured since its last one.
type Load struct {
	RunDelay    time.Duration // for which a tenth of the runnable goroutines waited at least
	MemoryBytes int64         // in use
}

// Limits are what the process may use.
type Limits struct {
	TargetLatency time.Duration // the shortest of all routes; 0 if none is known
	MemoryBytes   int64         // 0 for no limit
}

// Request is a request that was read and is not handled yet.
type Request struct {
	Age     time.Duration // since it reached the process
	Timeout time.Duration // how long its caller waits; 0 if unknown
}

// Decision is Admitted or Refused.
type Decision interface{ decision() }

type (
	// Admitted says that the request is handled. Done must follow.
	Admitted struct{}
	// Refused says that it is not, and after which time its caller may come again.
	Refused struct{ RetryAfter time.Duration }
)

func (Admitted) decision() {}
func (Refused) decision()  {}

// Limiter bounds the requests in progress to those that a process can handle. It is
// safe for concurrent use.
type Limiter struct {
	settings Settings

	mu         sync.Mutex
	inProgress int
	limit      float64 // of inProgress; infinite until the first overload
	overloaded bool    // whether the last interval was
	adjustedAt time.Time
}

// New returns a limiter that admits all requests until the first overload.
func New(s Settings) *Limiter { return &Limiter{settings: s, limit: math.Inf(1)} }

// InProgress returns the number of requests that were admitted and are not done, and
// its limit.
func (l *Limiter) InProgress() (n int, limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inProgress, l.limit
}

// Due reports whether the load is to be measured for Adjust. It does so once in an
// interval.
func (l *Limiter) Due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.adjustedAt) < l.settings.Interval {
		return false
	}
	l.adjustedAt = now
	return true
}

// Adjust changes the limit by the load of the interval that has ended. A single
// interval of overload is borne: a collection of garbage looks the same.
func (l *Limiter) Adjust(load Load, limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.overloaded
	l.overloaded = l.settings.overloaded(load, limits)
	switch {
	case l.overloaded && before:
		l.limit = max(min(l.limit, float64(l.inProgress))*l.settings.Decrease, float64(l.settings.MinInProgress))
	case !l.overloaded && float64(l.inProgress) > l.limit/2:
		l.limit += l.settings.Increase
	}
}

func (s Settings) overloaded(load Load, limits Limits) bool {
	target := limits.TargetLatency
	if target <= 0 {
		target = s.DefaultLatency
	}
	maxRunDelay := time.Duration(s.WaitShare * float64(target) / float64(max(s.StepsToAnswer, 1)))
	maxMemory := s.MemoryShare * float64(limits.MemoryBytes)
	return maxRunDelay > 0 && load.RunDelay > maxRunDelay || maxMemory > 0 && float64(load.MemoryBytes) > maxMemory
}

// Admit decides on a request. Spread, from 0 to 1, keeps refused callers from coming
// again at once. Without overload, the age of a request is due to its caller.
func (l *Limiter) Admit(r Request, spread float64) Decision {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = l.settings.DefaultLatency
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tooOld := l.overloaded && float64(r.Age) > l.settings.MaxAgeShare*float64(timeout)
	if !tooOld && float64(l.inProgress) < l.limit {
		l.inProgress++
		return Admitted{}
	}
	usable := l.settings.RetryShare * float64(max(timeout-r.Age, 0))
	return Refused{RetryAfter: time.Duration(usable * (1 + spread))}
}

// Done notes that the answer to an admitted request was written or given up.
func (l *Limiter) Done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress--
}
