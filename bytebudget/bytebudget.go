// Package bytebudget keeps one account of the bytes that a process holds for its
// peers, and decides whose bytes are given up when there is no room for more.
//
// The load pattern behind it: thousands of connections each send a body that
// stops just short of its end. Each is inside the limits of one request, and all
// together exceed the memory of the machine. The test that replays it is "gives
// the room of stalled accounts to those that make progress" here, and
// platform/hostile against a gateway process.
package bytebudget

import (
	"fmt"
	"sync"
	"time"
)

// DefaultStallTimeout is how long an account makes no progress at least before it
// may be evicted.
const DefaultStallTimeout = time.Second

// ExhaustedError reports that there is no room for a reservation.
type ExhaustedError struct{ Requested, Held, Limit int64 }

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no room for %d bytes: %d of %d are held", e.Requested, e.Held, e.Limit)
}

// ClosedError reports a reservation on an account that was closed or evicted.
type ClosedError struct{}

func (*ClosedError) Error() string { return "account is closed" }

// Budget bounds the bytes held by all of its accounts. Its methods and those of its
// accounts are safe for concurrent use.
type Budget struct {
	limit int64
	stall time.Duration

	mu      sync.Mutex
	held    int64
	evicted int64
	// oldest and newest are the ends of the list of the accounts that may be evicted,
	// in the order of their last progress.
	oldest, newest *Account
}

// Option changes a default of New.
type Option func(*Budget)

// WithStallTimeout sets how long an account makes no progress at least before it may
// be evicted. The default is DefaultStallTimeout.
func WithStallTimeout(d time.Duration) Option { return func(b *Budget) { b.stall = d } }

// New returns a budget of limit bytes.
func New(limit int64, opts ...Option) *Budget {
	b := &Budget{limit: limit, stall: DefaultStallTimeout}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Open returns an account without bytes. evict is called without locks held when
// the account's bytes are given to another: it closes the peer's connection, and
// the holder then drops its buffers. An account without evict is never evicted.
func (b *Budget) Open(now time.Time, evict func()) *Account {
	return &Account{budget: b, evict: evict, last: now}
}

// Held returns the bytes that all accounts hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Limit returns the bytes that all accounts may hold.
func (b *Budget) Limit() int64 { return b.limit }

// Evicted returns the number of accounts that were evicted.
func (b *Budget) Evicted() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// reserve takes bytes for an account. It returns the accounts that were evicted for
// them, linked by next.
func (b *Budget) reserve(a *Account, n, limit int64, now time.Time) (evicted *Account, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return nil, &ClosedError{}
	}
	last := &evicted
	for b.held+n > limit && n <= limit {
		c := b.oldest
		if c == a {
			c = a.next
		}
		if c == nil || now.Sub(c.last) < b.stall {
			break
		}
		b.close(c)
		b.evicted++
		*last = c
		last = &c.next
	}
	if b.held+n > limit {
		return evicted, &ExhaustedError{Requested: n, Held: b.held, Limit: limit}
	}
	b.held += n
	if a.held == 0 {
		a.last = now // an account without bytes has nothing to give up, however long it did nothing
	}
	a.held += n
	b.link(a)
	return evicted, nil
}

// link adds an account that may be evicted to the list, as the one with the latest
// progress.
func (b *Budget) link(a *Account) {
	if a.linked || a.closed || a.busy || a.held == 0 || a.evict == nil {
		return
	}
	a.linked, a.prev, a.next = true, b.newest, nil
	if b.newest == nil {
		b.oldest = a
	} else {
		b.newest.next = a
	}
	b.newest = a
}

func (b *Budget) unlink(a *Account) {
	if !a.linked {
		return
	}
	if a.prev == nil {
		b.oldest = a.next
	} else {
		a.prev.next = a.next
	}
	if a.next == nil {
		b.newest = a.prev
	} else {
		a.next.prev = a.prev
	}
	a.linked, a.prev, a.next = false, nil, nil
}

func (b *Budget) close(a *Account) {
	b.unlink(a)
	b.held -= a.held
	a.held, a.closed = 0, true
}

// Account counts the bytes held for one peer, usually a connection.
type Account struct {
	budget *Budget
	evict  func()

	// The fields below are guarded by budget.mu.
	held       int64
	last       time.Time // of the last progress, or of the first reservation if later
	busy       bool
	closed     bool
	linked     bool
	prev, next *Account
}

// Reserve charges n bytes to the account before they are allocated. If there is no
// room, it evicts the accounts that have made no progress for longest, and at least
// for the stall timeout. Their bytes count as free at once. The error is an
// *ExhaustedError, or a *ClosedError if the account was closed or evicted.
func (a *Account) Reserve(n int64, now time.Time) error { return a.ReserveLeaving(n, 0, now) }

// ReserveLeaving is Reserve, but leaves spare bytes of the limit to others.
func (a *Account) ReserveLeaving(n, spare int64, now time.Time) error {
	evicted, err := a.budget.reserve(a, n, a.budget.limit-spare, now)
	for evicted != nil {
		next := evicted.next
		evicted.next = nil
		evicted.evict()
		evicted = next
	}
	return err
}

// Progress records that bytes arrived from the peer or were sent to it, and ends Busy.
func (a *Account) Progress(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.last, a.busy = now, false
	if b.newest != a {
		b.unlink(a)
		b.link(a)
	}
}

// Busy records that the peer waits for this process. The account isn't evicted until
// Progress is called.
func (a *Account) Busy() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.busy = true
	a.budget.unlink(a)
}

// Release returns n bytes, at most those that the account holds.
func (a *Account) Release(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.held)
	a.held -= n
	b.held -= n
	if a.held == 0 {
		b.unlink(a)
	}
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// Close returns all bytes of the account. It may be called more than once.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.close(a)
}
