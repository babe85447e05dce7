// Package quotastore synchronizes a process's quota allocators with the shared
// store, and lets requests wait for grants.
package quotastore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/gateway"
	"briarreach/quota"
	"briarreach/rowstore"
)

// Syncer reads and writes the rows of an allocator, from one goroutine.
type Syncer struct {
	allocator        *quota.Allocator
	store            rowstore.Store
	clock            clockwork.Clock
	log              log.Interface
	retryAfter       time.Duration
	stepHook         func()
	borrow           func(ctx context.Context, workspace string)
	broadcast        func(quota.GrantNotice)
	cancel           context.CancelFunc
	done             chan struct{}
	wake             chan struct{}
	drawn            *metrics.Counter
	returned         *metrics.Counter
	reclaimed        *metrics.Counter
	insufficient     *metrics.Counter
	eras             *metrics.Counter
	enteredEra       bool // whether all rows must be read before the next transaction
	unavailable      bool
	unavailableSince time.Time

	mu       sync.Mutex
	stepDone chan struct{} // closed after each step
}

// Option changes a default of New.
type Option func(*Syncer)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(s *Syncer) { s.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(s *Syncer) { s.log = l } }

// WithMetrics adds the syncer's metrics to a set.
func WithMetrics(set *metrics.Set) Option {
	return func(s *Syncer) {
		s.drawn = set.GetOrCreateCounter("briarreach_quota_drawn_tokens_total")
		s.returned = set.GetOrCreateCounter("briarreach_quota_returned_tokens_total")
		s.reclaimed = set.GetOrCreateCounter("briarreach_quota_reclaimed_tokens_total")
		s.eras = set.GetOrCreateCounter("briarreach_quota_store_restored_total")
		s.insufficient = set.GetOrCreateCounter("briarreach_quota_short_total")
	}
}

// WithStepHook calls a function after each step.
func WithStepHook(f func()) Option { return func(s *Syncer) { s.stepHook = f } }

// WithBorrowing sets the function that borrows quota from other holders when the
// store does not grant it at once.
func WithBorrowing(borrow func(ctx context.Context, workspace string)) Option {
	return func(s *Syncer) { s.borrow = borrow }
}

// WithGrantBroadcast sets the function that announces grants to the other holders.
// It must not block.
func WithGrantBroadcast(f func(quota.GrantNotice)) Option {
	return func(s *Syncer) { s.broadcast = f }
}

const (
	// borrowDelay is how long a request waits for the store before it borrows from
	// other holders again; doubled after each attempt.
	borrowDelay = 25 * time.Millisecond
	// maxBorrowWait is how long a request waits for loans before it also asks the
	// store.
	maxBorrowWait = 30 * time.Millisecond
	// pollInterval is the time between steps if Wake is not called.
	pollInterval = 50 * time.Millisecond
	// maxCommitAttempts is for one step.
	maxCommitAttempts = 8
	// conflictBackoff, times the number of conflicts, bounds the random delay
	// before the next attempt.
	conflictBackoff = 20 * time.Millisecond
	// failureDelay is the delay after a step that failed.
	failureDelay = 100 * time.Millisecond
)

// New starts a syncer.
func New(allocator *quota.Allocator, store rowstore.Store, retryAfter time.Duration, opts ...Option) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{allocator: allocator, store: store, clock: clockwork.NewRealClock(), log: log.Log, retryAfter: retryAfter, stepHook: func() {}, broadcast: func(quota.GrantNotice) {},
		cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1), stepDone: make(chan struct{})}
	WithMetrics(metrics.NewSet())(s)
	for _, opt := range opts {
		opt(s)
	}
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			s.stepAndWait(ctx)
		}
	}()
	return s
}

// Close stops the syncer and returns unspent grants to the store. It gives up
// when ctx ends.
func (s *Syncer) Close(ctx context.Context) {
	s.cancel()
	select {
	case <-s.done:
		if !s.allocator.AwaitsPredecessor() {
			s.commit(ctx, true)
		}
	case <-ctx.Done():
	}
}

// Wake makes the syncer run its next step at once.
func (s *Syncer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Syncer) stepAndWait(ctx context.Context) {
	ok := s.step(ctx)
	s.stepHook()
	s.mu.Lock()
	close(s.stepDone)
	s.stepDone = make(chan struct{})
	s.mu.Unlock()
	if !ok {
		select {
		case <-s.clock.After(failureDelay):
		case <-ctx.Done():
		}
		return
	}
	select {
	case <-s.wake:
	case <-s.clock.After(pollInterval):
	case <-ctx.Done():
	}
}

// step reads and syncs if either is due. It returns false if a call to the
// store failed.
func (s *Syncer) step(ctx context.Context) bool {
	if scope := s.allocator.ScopeToRead(s.clock.Now()); scope > quota.ScopeNone && !s.list(ctx, scope) {
		return false
	}
	if !s.allocator.SyncDue(s.clock.Now()) {
		return true
	}
	return s.commit(ctx, false)
}

func (s *Syncer) list(ctx context.Context, scope quota.Scope) bool {
	tables := []string{quota.WorkspaceTable}
	if scope == quota.ScopeAll {
		// Holder rows are read first: a grant that changes in between may then be
		// counted twice, but is never missed.
		tables = []string{quota.HolderTable, quota.WorkspaceTable}
	}
	var rows []rowstore.Row
	var page rowstore.Page
	for i, table := range tables {
		era := page.Era
		var err error
		if page, err = s.store.List(ctx, table, s.allocator.Part()); err != nil {
			s.storeFailed(ctx, "list", err)
			return false
		}
		if i > 0 && page.Era != era {
			return false // restored in between
		}
		rows = append(rows, page.Rows...)
	}
	s.storeAnswered()
	if s.enterEra(page.Era) && scope < quota.ScopeAll {
		return s.list(ctx, quota.ScopeAll)
	}
	if err := s.allocator.LoadRows(rows, scope, page.Time, s.clock.Now()); err != nil {
		s.log.WithError(err).Error("quota row ignored")
	}
	if scope == quota.ScopeAll {
		s.enteredEra = false
	}
	return true
}

func (s *Syncer) commit(ctx context.Context, closing bool) bool {
	for n := range maxCommitAttempts {
		if ctx.Err() != nil {
			return false
		}
		if n > 0 {
			s.clock.Sleep(rand.N(time.Duration(n) * conflictBackoff))
		}
		if s.enteredEra && !s.list(ctx, quota.ScopeAll) {
			return false
		}
		plan := s.allocator.PrepareSync(s.clock.Now(), closing)
		committed, err := s.store.Commit(ctx, plan.Tx)
		var conflict *rowstore.ConflictError
		var refused *rowstore.RefusedError
		switch {
		case err == nil && s.enterEra(committed.Era):
			// The versions that it expects are used again, by other rows.
		case err == nil:
			s.storeAnswered()
			s.allocator.ConfirmSync(plan, committed, s.clock.Now())
			for _, n := range s.allocator.Notices(plan) {
				s.broadcast(n)
			}
			s.reportGrants(plan)
			return true
		case errors.As(err, &conflict):
			s.storeAnswered()
			s.allocator.DiscardSync(plan)
			if s.enterEra(conflict.Era) {
				continue
			}
			if err := s.allocator.LoadRows(conflict.Current, quota.ScopeNone, conflict.Time, s.clock.Now()); err != nil {
				s.log.WithError(err).Error("quota row ignored")
			}
		case errors.As(err, &refused):
			s.allocator.DiscardSync(plan)
			s.storeFailed(ctx, "commit", err)
			return false
		default:
			s.storeFailed(ctx, "commit", err)
			return false
		}
	}
	return true
}

// enterEra notes the era of a response. It returns true if the store was restored
// from a copy, after which all rows must be read.
func (s *Syncer) enterEra(era uint64) bool {
	known := s.allocator.Era()
	if !s.allocator.EnterEra(era, s.clock.Now()) {
		return false
	}
	s.enteredEra = true
	s.eras.Inc()
	s.log.WithFields(log.Fields{"part": s.allocator.Part(), "era": era, "known_era": known}).Warn("quota store restored from a copy; grants are written again")
	return true
}

func (s *Syncer) reportGrants(p quota.SyncPlan) {
	if len(p.Drawn)+len(p.Returned)+len(p.Reclaimed)+len(p.Adopted) == 0 {
		return
	}
	fields := log.Fields{}
	for name, n := range p.Adopted {
		fields["adopted."+name], fields["lost."+name] = n, p.Lost[name]
	}
	for name, n := range p.Drawn {
		s.drawn.AddInt64(n)
		fields["drawn."+name] = n
	}
	for name, n := range p.Reclaimed {
		s.reclaimed.AddInt64(n)
		fields["reclaimed."+name] = n
	}
	for name, n := range p.Returned {
		s.returned.AddInt64(n)
		fields["returned."+name] = n
	}
	for name, n := range p.OthersUnspent {
		fields["others."+name] = n
	}
	for name, n := range p.Ungranted {
		fields["left."+name] = n
	}
	s.log.WithFields(fields).Info("quota granted")
}

func (s *Syncer) storeFailed(ctx context.Context, call string, err error) {
	if s.unavailable || ctx.Err() != nil {
		return
	}
	s.unavailable, s.unavailableSince = true, s.clock.Now()
	s.allocator.SetStoreAway(true)
	s.log.WithField("call", call).WithError(err).Warn("quota store lost")
}

func (s *Syncer) storeAnswered() {
	if !s.unavailable {
		return
	}
	s.unavailable = false
	s.allocator.SetStoreAway(false)
	s.log.WithField("away_ms", s.clock.Since(s.unavailableSince).Milliseconds()).Info("quota store regained")
}

// Reserve implements gateway.Quota.
func (s *Syncer) Reserve(ctx context.Context, workspace string, tokens int64) (gateway.Reservation, error) {
	borrowAt, delay, waiting := s.clock.Now(), borrowDelay, false
	if s.borrow == nil || s.allocator.IsHome(workspace) {
		borrowAt = borrowAt.Add(delay)
	}
	for {
		s.mu.Lock()
		stepDone := s.stepDone
		s.mu.Unlock()
		switch s.allocator.Reserve(workspace, tokens, s.clock.Now()) {
		case quota.Reserved:
			return &reservation{allocator: s.allocator, workspace: workspace, tokens: tokens}, nil
		case quota.Unlimited:
			return unlimited{}, nil
		case quota.Exhausted:
			return nil, s.quotaError(workspace, true)
		}
		if !waiting {
			waiting = true
			defer s.allocator.Wait(workspace, tokens)()
		}
		if s.borrow != nil && !s.clock.Now().Before(borrowAt) {
			s.borrowBriefly(ctx, workspace)
			borrowAt, delay = s.clock.Now().Add(delay), 2*delay
			if s.allocator.Missing(workspace, s.clock.Now()) == 0 {
				continue
			}
		}
		s.allocator.RequestGrant(workspace)
		s.Wake()
		select {
		case <-stepDone:
		case <-s.clock.After(borrowDelay):
		case <-ctx.Done():
			s.insufficient.Inc()
			return nil, s.quotaError(workspace, false)
		}
	}
}

// borrowBriefly borrows for a request, but leaves it time to draw from the store if
// lenders do not respond. The loans go on and serve later attempts.
func (s *Syncer) borrowBriefly(ctx context.Context, workspace string) {
	ctx, cancel := context.WithTimeout(ctx, maxBorrowWait)
	defer cancel()
	s.borrow(ctx, workspace)
}

func (s *Syncer) quotaError(workspace string, exhausted bool) *gateway.QuotaError {
	e := &gateway.QuotaError{Exhausted: exhausted}
	if !exhausted {
		e.RetryAfter = s.retryAfter
	}
	e.Balance, e.Spendable, e.GrantDataAge = s.allocator.Balance(workspace, s.clock.Now())
	return e
}

type reservation struct {
	allocator *quota.Allocator
	workspace string
	tokens    int64
}

// Settle implements gateway.Reservation.
func (r *reservation) Settle(tokens int64) { r.allocator.Settle(r.workspace, r.tokens, tokens) }

type unlimited struct{}

// Settle implements gateway.Reservation.
func (unlimited) Settle(int64) {}
