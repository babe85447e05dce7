package claim

import (
	"container/list"
	"fmt"
	"time"
)

const (
	defaultMargin   = 2 * time.Second
	defaultKeep     = 10 * time.Minute
	defaultAttempts = 8192
	defaultBytes    = 4 << 20
)

// AttemptState is what an agent knows of an attempt.
type AttemptState string

// States of an attempt.
const (
	AttemptNeverSeen AttemptState = "never_seen" // and refused from now on
	AttemptRunning   AttemptState = "running"
	AttemptDone      AttemptState = "done"
	AttemptUnknown   AttemptState = "unknown" // the agent may have forgotten it
)

// DuplicateAttemptError reports an attempt that must not be run because the agent knows it
// already. State is AttemptNeverSeen if it was refused; only then is this
// failure a definite refusal.
type DuplicateAttemptError struct {
	Attempt string
	State   AttemptState
}

func (e *DuplicateAttemptError) Error() string {
	return fmt.Sprintf("attempt %s was seen before, state %s", e.Attempt, e.State)
}

// StaleAttemptError reports an attempt that must not be run because it was claimed
// before the agent started (State is AttemptNeverSeen) or so long ago that the
// agent may have run and forgotten it (State is AttemptUnknown). The first is a
// definite refusal, because an entry sends an attempt to an agent only once and
// a connection ends with the start of the process.
type StaleAttemptError struct {
	Attempt string
	State   AttemptState
}

func (e *StaleAttemptError) Error() string {
	return fmt.Sprintf("attempt %s was claimed too long ago, state %s", e.Attempt, e.State)
}

// AttemptCache is an agent's memory of attempts. It is not safe for concurrent use.
//
// An attempt that is not in memory and was claimed after the start of the
// process, and after each attempt that was forgotten, was never seen. All
// others are refused, so that neither a restart nor forgetting makes a second
// run possible.
type AttemptCache struct {
	started   time.Time // with the margin
	forgotten time.Time // latest claim time of a forgotten attempt
	keep      time.Duration
	max       int
	maxBytes  int
	bytes     int
	attempts  map[string]*attempt
	ended     *list.List // of *attempt, earliest end first
}

type attempt struct {
	id       string
	claimed  time.Time
	state    AttemptState // AttemptNeverSeen means refused
	end      time.Time
	response Response
}

type memoryOptions struct {
	margin   time.Duration
	keep     time.Duration
	attempts int
	bytes    int
}

// CacheOption configures a Memory.
type CacheOption func(*memoryOptions)

// WithClockMargin sets the largest difference between the clocks of an entry and
// the agent. Attempts claimed in the first margin after the start are refused.
func WithClockMargin(d time.Duration) CacheOption { return func(o *memoryOptions) { o.margin = d } }

// WithRetention sets how long an attempt is remembered after its end.
func WithRetention(d time.Duration) CacheOption { return func(o *memoryOptions) { o.keep = d } }

// WithMaxAttempts bounds the attempts remembered after their end.
func WithMaxAttempts(n int) CacheOption { return func(o *memoryOptions) { o.attempts = n } }

// WithMaxBytes bounds the stored response bodies together.
func WithMaxBytes(n int) CacheOption { return func(o *memoryOptions) { o.bytes = n } }

// NewAttemptCache returns the memory of a process that started at a time.
func NewAttemptCache(started time.Time, opts ...CacheOption) *AttemptCache {
	o := memoryOptions{margin: defaultMargin, keep: defaultKeep, attempts: defaultAttempts, bytes: defaultBytes}
	for _, opt := range opts {
		opt(&o)
	}
	return &AttemptCache{
		started:  started.Add(o.margin),
		keep:     o.keep,
		max:      o.attempts,
		maxBytes: o.bytes,
		attempts: map[string]*attempt{},
		ended:    list.New(),
	}
}

// Begin reports whether an attempt may run, and remembers it as running. It
// fails with *SeenError, *StaleError or *InvalidError.
func (m *AttemptCache) Begin(now time.Time, id string) error {
	claimed, err := AttemptTime(id)
	if err != nil {
		return fmt.Errorf("claim.Memory.Begin: %w", err)
	}
	m.forget(now)
	if a := m.attempts[id]; a != nil {
		return fmt.Errorf("claim.Memory.Begin: %w", &DuplicateAttemptError{Attempt: id, State: a.state})
	}
	if !claimed.After(m.forgotten) {
		return fmt.Errorf("claim.Memory.Begin: %w", &StaleAttemptError{Attempt: id, State: AttemptUnknown})
	}
	if !claimed.After(m.started) {
		return fmt.Errorf("claim.Memory.Begin: %w", &StaleAttemptError{Attempt: id, State: AttemptNeverSeen})
	}
	m.attempts[id] = &attempt{id: id, claimed: claimed, state: AttemptRunning}
	return nil
}

// Refuse makes a refusal of an attempt permanent, for example one by
// admission after Begin. The attempt must not have run.
func (m *AttemptCache) Refuse(now time.Time, id string) {
	m.end(now, id, AttemptNeverSeen, Response{})
}

// Finish remembers the response of an attempt that has run.
func (m *AttemptCache) Finish(now time.Time, id string, r Response) {
	r = r.bounded()
	if m.bytes+len(r.Body) > m.maxBytes {
		r.Body, r.Oversize = nil, true
	}
	m.end(now, id, AttemptDone, r)
}

// Fail remembers that it is not known whether an attempt took effect.
func (m *AttemptCache) Fail(now time.Time, id string) {
	m.end(now, id, AttemptUnknown, Response{})
}

// Resolve returns what became of an attempt, and refuses it from now on if it
// was never seen. The response is set when the state is AttemptDone.
func (m *AttemptCache) Resolve(now time.Time, id string) (AttemptState, Response) {
	m.forget(now)
	if a := m.attempts[id]; a != nil {
		return a.state, a.response
	}
	claimed, err := AttemptTime(id)
	if err != nil || !claimed.After(m.started) || !claimed.After(m.forgotten) {
		return AttemptUnknown, Response{}
	}
	m.end(now, id, AttemptNeverSeen, Response{})
	return AttemptNeverSeen, Response{}
}

// Len returns the number of attempts in memory.
func (m *AttemptCache) Len() int { return len(m.attempts) }

func (m *AttemptCache) end(now time.Time, id string, state AttemptState, r Response) {
	a := m.attempts[id]
	if a == nil {
		claimed, err := AttemptTime(id)
		if err != nil {
			return
		}
		a = &attempt{id: id, claimed: claimed, state: AttemptRunning}
		m.attempts[id] = a
	}
	if a.state != AttemptRunning {
		return
	}
	a.state, a.end, a.response = state, now, r
	m.bytes += len(r.Body)
	m.ended.PushBack(a)
	m.forget(now)
}

func (m *AttemptCache) forget(now time.Time) {
	for front := m.ended.Front(); front != nil; front = m.ended.Front() {
		a := front.Value.(*attempt)
		if m.ended.Len() <= m.max && now.Sub(a.end) <= m.keep {
			return
		}
		m.ended.Remove(front)
		delete(m.attempts, a.id)
		m.bytes -= len(a.response.Body)
		if a.claimed.After(m.forgotten) {
			m.forgotten = a.claimed
		}
	}
}
