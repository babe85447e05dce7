// Package quotastore keeps a process's quota book in step with the shared
// store and lets requests wait for grants.
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

// Syncer reads and writes the rows of a book, from one goroutine.
type Syncer struct {
	book   *quota.Allocator
	store  rowstore.Store
	clock  clockwork.Clock
	log    log.Interface
	retry  time.Duration
	onSync func()
	borrow func(ctx context.Context, workspace string, need int64)
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}
	drawn  *metrics.Counter
	back   *metrics.Counter
	shorts *metrics.Counter
	lost   bool
	lostAt time.Time

	mu      sync.Mutex
	changed chan struct{} // closed after each step
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
		s.back = set.GetOrCreateCounter("briarreach_quota_returned_tokens_total")
		s.shorts = set.GetOrCreateCounter("briarreach_quota_short_total")
	}
}

// WithSyncHook calls a function after each step.
func WithSyncHook(f func()) Option { return func(s *Syncer) { s.onSync = f } }

// WithBorrowing sets what asks other holders for quota when the store does not
// grant it at once.
func WithBorrowing(borrow func(ctx context.Context, workspace string, need int64)) Option {
	return func(s *Syncer) { s.borrow = borrow }
}

const (
	// storeTime is how long the store has to grant what a request needs before
	// other holders are asked.
	storeTime = 25 * time.Millisecond
	// tick is how often the book is looked at when nobody asks.
	tick = 50 * time.Millisecond
	// maxConflicts bounds the transactions of one step that lose a race.
	maxConflicts = 8
	// conflictPause is the mean pause after a transaction that lost a race.
	conflictPause = 20 * time.Millisecond
	// pause is left between steps that fail.
	pause = 100 * time.Millisecond
)

// New starts a syncer.
func New(book *quota.Allocator, store rowstore.Store, retry time.Duration, opts ...Option) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{book: book, store: store, clock: clockwork.NewRealClock(), log: log.Log, retry: retry, onSync: func() {},
		cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1), changed: make(chan struct{})}
	WithMetrics(metrics.NewSet())(s)
	for _, opt := range opts {
		opt(s)
	}
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			s.round(ctx)
		}
	}()
	return s
}

// Close returns what is granted and not consumed, as far as the store answers
// until ctx ends, and stops.
func (s *Syncer) Close(ctx context.Context) {
	s.cancel()
	select {
	case <-s.done:
		s.commit(ctx, true)
	case <-ctx.Done():
	}
}

// Wake makes the syncer look at the book at once.
func (s *Syncer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Syncer) round(ctx context.Context) {
	ok := s.step(ctx)
	s.onSync()
	s.mu.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if !ok {
		select {
		case <-s.clock.After(pause):
		case <-ctx.Done():
		}
		return
	}
	select {
	case <-s.wake:
	case <-s.clock.After(tick):
	case <-ctx.Done():
	}
}

// step brings book and store together, and reports whether the store answered.
func (s *Syncer) step(ctx context.Context) bool {
	if scope := s.book.ScopeToRead(s.clock.Now()); scope > quota.ScopeNone && !s.list(ctx, scope) {
		return false
	}
	if !s.book.SyncDue(s.clock.Now()) {
		return true
	}
	return s.commit(ctx, false)
}

func (s *Syncer) list(ctx context.Context, scope quota.Scope) bool {
	tables := []string{quota.WorkspaceTable}
	if scope == quota.ScopeAll {
		// A holder's row that is older than the workspace's counts what it
		// holds twice, never not at all.
		tables = []string{quota.HolderTable, quota.WorkspaceTable}
	}
	var rows []rowstore.Row
	var page rowstore.Page
	for _, table := range tables {
		var err error
		if page, err = s.store.List(ctx, table, s.book.Part()); err != nil {
			s.failed(ctx, "list", err)
			return false
		}
		rows = append(rows, page.Rows...)
	}
	s.answered()
	if err := s.book.LoadRows(rows, scope, page.Time, s.clock.Now()); err != nil {
		s.log.WithError(err).Error("quota row ignored")
	}
	return true
}

func (s *Syncer) commit(ctx context.Context, closing bool) bool {
	for n := range maxConflicts {
		if ctx.Err() != nil {
			return false
		}
		if n > 0 {
			s.clock.Sleep(rand.N(time.Duration(n) * conflictPause))
		}
		plan := s.book.PrepareSync(s.clock.Now(), closing)
		committed, err := s.store.Commit(ctx, plan.Tx)
		var conflict *rowstore.ConflictError
		var refused *rowstore.RefusedError
		switch {
		case err == nil:
			s.answered()
			s.book.ConfirmSync(plan, committed, s.clock.Now())
			s.report(plan)
			return true
		case errors.As(err, &conflict):
			s.answered()
			s.book.DiscardSync(plan)
			if err := s.book.LoadRows(conflict.Current, quota.ScopeNone, conflict.Time, s.clock.Now()); err != nil {
				s.log.WithError(err).Error("quota row ignored")
			}
		case errors.As(err, &refused):
			s.book.DiscardSync(plan)
			s.failed(ctx, "commit", err)
			return false
		default:
			s.failed(ctx, "commit", err)
			return false
		}
	}
	return true
}

func (s *Syncer) report(p quota.SyncPlan) {
	if len(p.Drawn)+len(p.Returned)+len(p.Adopted) == 0 {
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
	for name, n := range p.Returned {
		s.back.AddInt64(n)
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

func (s *Syncer) failed(ctx context.Context, call string, err error) {
	if s.lost || ctx.Err() != nil {
		return
	}
	s.lost, s.lostAt = true, s.clock.Now()
	s.log.WithField("call", call).WithError(err).Warn("quota store lost")
}

func (s *Syncer) answered() {
	if !s.lost {
		return
	}
	s.lost = false
	s.log.WithField("away_ms", s.clock.Since(s.lostAt).Milliseconds()).Info("quota store regained")
}

// Reserve implements gateway.Quota.
func (s *Syncer) Reserve(ctx context.Context, workspace string, tokens int64) (gateway.Reservation, error) {
	began := s.clock.Now()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		switch s.book.Reserve(workspace, tokens, s.clock.Now()) {
		case quota.Granted:
			return &reservation{book: s.book, workspace: workspace, tokens: tokens}, nil
		case quota.Unlimited:
			return unlimited{}, nil
		case quota.Exhausted:
			return nil, s.refusal(workspace, true)
		}
		s.Wake()
		if s.borrow != nil && s.clock.Since(began) >= storeTime {
			s.borrow(ctx, workspace, tokens)
		}
		select {
		case <-changed:
		case <-s.clock.After(storeTime):
		case <-ctx.Done():
			s.shorts.Inc()
			return nil, s.refusal(workspace, false)
		}
	}
}

func (s *Syncer) refusal(workspace string, exhausted bool) *gateway.QuotaError {
	e := &gateway.QuotaError{Exhausted: exhausted}
	if !exhausted {
		e.RetryAfter = s.retry
	}
	e.Balance, e.Spendable, e.GrantDataAge = s.book.Balance(workspace, s.clock.Now())
	return e
}

type reservation struct {
	book      *quota.Allocator
	workspace string
	tokens    int64
}

// Settle implements gateway.Reservation.
func (r *reservation) Settle(tokens int64) { r.book.Settle(r.workspace, r.tokens, tokens) }

type unlimited struct{}

// Settle implements gateway.Reservation.
func (unlimited) Settle(int64) {}
