package claim

import (
	"container/list"
	"fmt"
	"time"
)

const (
	defaultClockMargin = 2 * time.Second
	defaultRetention   = 10 * time.Minute
	defaultMaxAttempts = 8192
	defaultMaxBytes    = 4 << 20
)

// AttemptState is the state of an attempt at an agent.
type AttemptState string

// States of an attempt.
const (
	AttemptRefused AttemptState = "never_seen" // has not run and never will
	AttemptRunning AttemptState = "running"
	AttemptDone    AttemptState = "done"
	AttemptUnknown AttemptState = "unknown" // may have run: it failed, may have been evicted, or predates the agent's start
)

// DuplicateAttemptError reports an attempt that must not run because the agent
// already knows it. Only if State is AttemptRefused is it certain that the
// attempt has not run.
type DuplicateAttemptError struct {
	AttemptID string
	State     AttemptState
}

func (e *DuplicateAttemptError) Error() string {
	return fmt.Sprintf("attempt %s must not run, it already has state %s", e.AttemptID, e.State)
}

// StaleAttemptError reports an attempt that must not run because it was claimed
// before the agent started or within the clock margin after it (State is
// AttemptRefused), or so long ago that the agent may have run and evicted it
// (State is AttemptUnknown). In the first case it is certain that the attempt
// has not run: an entry sends an attempt to an agent only once, and a restart
// of the agent closes the connection.
type StaleAttemptError struct {
	AttemptID string
	State     AttemptState
}

func (e *StaleAttemptError) Error() string {
	return fmt.Sprintf("attempt %s was claimed too early to run, state %s", e.AttemptID, e.State)
}

// AttemptCache is an agent's cache of attempts, against duplicate runs. It is
// not safe for concurrent use.
//
// An attempt that is not in the cache is known to be new only if it was claimed
// after the start of the process and after every evicted attempt. All others
// are refused, so that neither a restart nor an eviction allows a second run.
type AttemptCache struct {
	acceptAfter time.Time // start of the process plus the clock margin
	evictedUpTo time.Time // latest claim time of an evicted attempt
	retention   time.Duration
	maxEnded    int
	maxBytes    int
	bytes       int
	attempts    map[string]*attempt
	ended       *list.List // of *attempt, earliest end first
}

type attempt struct {
	id       string
	claimed  time.Time
	state    AttemptState // AttemptRefused: the attempt was refused
	endedAt  time.Time
	response Response
}

type cacheOptions struct {
	clockMargin time.Duration
	retention   time.Duration
	maxAttempts int
	maxBytes    int
}

// CacheOption configures an AttemptCache.
type CacheOption func(*cacheOptions)

// WithClockMargin sets the largest difference between the clocks of an entry
// and the agent. Attempts claimed within the margin after the start are
// refused.
func WithClockMargin(d time.Duration) CacheOption { return func(o *cacheOptions) { o.clockMargin = d } }

// WithRetention sets how long an attempt is kept after its end.
func WithRetention(d time.Duration) CacheOption { return func(o *cacheOptions) { o.retention = d } }

// WithMaxAttempts bounds the number of ended attempts in the cache.
func WithMaxAttempts(n int) CacheOption { return func(o *cacheOptions) { o.maxAttempts = n } }

// WithMaxBytes bounds the total size of the stored response bodies.
func WithMaxBytes(n int) CacheOption { return func(o *cacheOptions) { o.maxBytes = n } }

// NewAttemptCache returns the cache of a process that started at the given
// time.
func NewAttemptCache(started time.Time, opts ...CacheOption) *AttemptCache {
	o := cacheOptions{clockMargin: defaultClockMargin, retention: defaultRetention, maxAttempts: defaultMaxAttempts, maxBytes: defaultMaxBytes}
	for _, opt := range opts {
		opt(&o)
	}
	return &AttemptCache{
		acceptAfter: started.Add(o.clockMargin),
		retention:   o.retention,
		maxEnded:    o.maxAttempts,
		maxBytes:    o.maxBytes,
		attempts:    map[string]*attempt{},
		ended:       list.New(),
	}
}

// Begin checks that an attempt may run and records it as running. It fails with
// *DuplicateAttemptError, *StaleAttemptError or *InvalidError.
func (c *AttemptCache) Begin(now time.Time, id string) error {
	claimed, err := AttemptTime(id)
	if err != nil {
		return fmt.Errorf("claim.AttemptCache.Begin: %w", err)
	}
	c.evict(now)
	if a := c.attempts[id]; a != nil {
		return fmt.Errorf("claim.AttemptCache.Begin: %w", &DuplicateAttemptError{AttemptID: id, State: a.state})
	}
	if !claimed.After(c.evictedUpTo) {
		return fmt.Errorf("claim.AttemptCache.Begin: %w", &StaleAttemptError{AttemptID: id, State: AttemptUnknown})
	}
	if !claimed.After(c.acceptAfter) {
		return fmt.Errorf("claim.AttemptCache.Begin: %w", &StaleAttemptError{AttemptID: id, State: AttemptRefused})
	}
	c.attempts[id] = &attempt{id: id, claimed: claimed, state: AttemptRunning}
	return nil
}

// Refuse makes a refusal of an attempt permanent, for example one by
// admission after Begin. The attempt must not have run.
func (c *AttemptCache) Refuse(now time.Time, id string) {
	c.endAttempt(now, id, AttemptRefused, Response{})
}

// Finish records the response of an attempt that has run.
func (c *AttemptCache) Finish(now time.Time, id string, r Response) {
	r = r.bounded()
	if c.bytes+len(r.Body) > c.maxBytes {
		r.Body, r.Oversize = nil, true
	}
	c.endAttempt(now, id, AttemptDone, r)
}

// Fail records that it is not known whether an attempt took effect.
func (c *AttemptCache) Fail(now time.Time, id string) {
	c.endAttempt(now, id, AttemptUnknown, Response{})
}

// Resolve returns the state of an attempt, and refuses it from now on if it was
// never seen. The response is set if the state is AttemptDone. An attempt from
// before the agent's start, or within the clock margin after it, is
// AttemptUnknown, since an earlier process may have run it.
func (c *AttemptCache) Resolve(now time.Time, id string) (AttemptState, Response) {
	c.evict(now)
	if a := c.attempts[id]; a != nil {
		return a.state, a.response
	}
	claimed, err := AttemptTime(id)
	if err != nil || !claimed.After(c.acceptAfter) || !claimed.After(c.evictedUpTo) {
		return AttemptUnknown, Response{}
	}
	c.endAttempt(now, id, AttemptRefused, Response{})
	return AttemptRefused, Response{}
}

// Len returns the number of attempts in the cache.
func (c *AttemptCache) Len() int { return len(c.attempts) }

func (c *AttemptCache) endAttempt(now time.Time, id string, state AttemptState, r Response) {
	a := c.attempts[id]
	if a == nil {
		claimed, err := AttemptTime(id)
		if err != nil {
			return
		}
		a = &attempt{id: id, claimed: claimed, state: AttemptRunning}
		c.attempts[id] = a
	}
	if a.state != AttemptRunning {
		return
	}
	a.state, a.endedAt, a.response = state, now, r
	c.bytes += len(r.Body)
	c.ended.PushBack(a)
	c.evict(now)
}

func (c *AttemptCache) evict(now time.Time) {
	for front := c.ended.Front(); front != nil; front = c.ended.Front() {
		a := front.Value.(*attempt)
		if c.ended.Len() <= c.maxEnded && now.Sub(a.endedAt) <= c.retention {
			return
		}
		c.ended.Remove(front)
		delete(c.attempts, a.id)
		c.bytes -= len(a.response.Body)
		if a.claimed.After(c.evictedUpTo) {
			c.evictedUpTo = a.claimed
		}
	}
}
