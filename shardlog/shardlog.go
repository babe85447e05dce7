// Package shardlog appends records to the ledger's shard logs in the table
// service and follows what other writers append.
//
// A batch is appended with the condition that its row does not exist and that
// the shard's snapshot row is the one that this writer has seen, so a writer
// that missed batches must read them first. See section 4.1 of docs/design.md.
package shardlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"briarreach/ledger"
	"briarreach/table"
)

// FencePartition holds one row for each fenced holder; the sort key is the
// holder.
const FencePartition = "fence"

const (
	// maxBatch records of about 300 bytes stay below table.MaxValueBytes.
	maxBatch = 1000

	// maxDrawHolders limits the checks on fence rows in one transaction.
	maxDrawHolders = 32

	// shardsPerTransaction leaves room for the caller's rows: a shard takes two
	// of the table.MaxItems rows.
	shardsPerTransaction = 40
)

// Option changes a Journal made by New.
type Option func(*Journal)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clockwork.Clock) Option { return func(j *Journal) { j.clock = c } }

// WithWriter sets the writer's name in batches. The default is a new ULID.
func WithWriter(name string) Option { return func(j *Journal) { j.writer = name } }

// WithFlushInterval sets how long records wait for others to share a batch.
// The default is 250 ms.
func WithFlushInterval(d time.Duration) Option { return func(j *Journal) { j.interval = d } }

// WithLog sets the log. The default discards all lines.
func WithLog(l log.Interface) Option { return func(j *Journal) { j.log = l } }

// WithMaxPending bounds the records that wait to be appended. The default is
// 100,000, about 20 seconds of the busiest deployment's bills.
func WithMaxPending(n int) Option { return func(j *Journal) { j.maxPending = int64(n) } }

// WithBillWindow sets the bill window of new shards; it must be the same for
// all writers. The default is 15 minutes.
func WithBillWindow(d time.Duration) Option { return func(j *Journal) { j.window = d } }

// WithSnapshotInterval sets the number of batches between snapshots. The default
// is 256.
func WithSnapshotInterval(n int) Option { return func(j *Journal) { j.every = uint64(max(n, 1)) } }

// WithObserver sets a function that is called once with each record submitted
// through this journal when its result is known, before the record's own
// callback, and also when the submitter has stopped waiting. A record that will
// never be appended has the result Refused with *ledger.NotAppendedError; only
// a record given up by Close has no result. The function must not block.
func WithObserver(observe func(ledger.Record, ledger.Result)) Option {
	return func(j *Journal) { j.observe = observe }
}

// Stats counts what a Journal has done.
type Stats struct {
	Commits, Conflicts, AmbiguousCommits, Retries, Records, Snapshots, DeletedRows int64
}

// Journal appends records to the shard logs. Its methods are safe for
// concurrent use.
type Journal struct {
	store      table.Store
	clock      clockwork.Clock
	writer     string
	interval   time.Duration
	log        log.Interface
	maxPending int64
	window     time.Duration
	every      uint64 // batches between snapshots
	observe    func(ledger.Record, ledger.Result)

	shards  []*shard
	pending atomic.Int64

	ctx     context.Context // ends when Close gives up
	cancel  context.CancelFunc
	closing chan struct{}
	once    sync.Once
	workers sync.WaitGroup

	commits, conflicts, ambiguous, retries, records, snapshots, deletes atomic.Int64
}

type item struct {
	record ledger.Record
	done   func(ledger.Result, error)
}

// New returns a journal for the given number of shards and starts one
// goroutine for each. Nothing is read before the first use.
func New(store table.Store, shards int, opts ...Option) (*Journal, error) {
	if shards < 1 || shards > 4096 {
		return nil, fmt.Errorf("shardlog.New: %w", &ShardCountError{shards})
	}
	j := &Journal{
		store:      store,
		clock:      clockwork.NewRealClock(),
		writer:     ulid.Make().String(),
		interval:   250 * time.Millisecond,
		log:        &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		maxPending: 100_000,
		window:     15 * time.Minute,
		every:      256,
		observe:    func(ledger.Record, ledger.Result) {},
		closing:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(j)
	}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	for n := range shards {
		s := newShard(n, j.window, j.every)
		j.shards = append(j.shards, s)
		j.workers.Go(func() { j.run(s) })
	}
	return j, nil
}

// Close appends the waiting records and stops the goroutines. Records that are
// not appended before ctx ends are given up with *ClosedError.
func (j *Journal) Close(ctx context.Context) error {
	j.once.Do(func() { close(j.closing) })
	done := make(chan struct{})
	go func() {
		j.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		j.cancel()
		<-done
	}
	j.cancel()
	if left := j.abandon(); left > 0 {
		return fmt.Errorf("shardlog.Close: %d records not appended: %w", left, &ClosedError{})
	}
	return nil
}

func (j *Journal) abandon() int {
	left := 0
	for _, s := range j.shards {
		for _, it := range s.takeAll() {
			left++
			j.pending.Add(-1)
			it.done(nil, &ClosedError{})
		}
	}
	return left
}

// Shards returns the number of shards.
func (j *Journal) Shards() int { return len(j.shards) }

// Pending returns the number of records that wait to be appended.
func (j *Journal) Pending() int { return int(j.pending.Load()) }

// Stats returns the counters.
func (j *Journal) Stats() Stats {
	return Stats{j.commits.Load(), j.conflicts.Load(), j.ambiguous.Load(), j.retries.Load(), j.records.Load(),
		j.snapshots.Load(), j.deletes.Load()}
}

func (j *Journal) shardOf(budget string) *shard {
	return j.shards[ledger.ShardOf(budget, len(j.shards))]
}

// Read calls f with the state of the budget's shard as far as this journal has
// read it. f must not keep or change the state.
func (j *Journal) Read(budget string, f func(*ledger.State)) {
	j.ReadShard(ledger.ShardOf(budget, len(j.shards)), f)
}

// ReadShard is Read for a shard by number.
func (j *Journal) ReadShard(number int, f func(*ledger.State)) {
	s := j.shards[number]
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Submit queues the record for the next batch of the budget's shard. done is
// called from the journal's goroutine with the result, or with *ClosedError if
// the journal was closed first; it must not block. done may be nil. Submit
// fails with *QueueFullError or *ClosedError.
func (j *Journal) Submit(record ledger.Record, budget string, done func(ledger.Result, error)) error {
	if _, err := j.enqueue(record, budget, false, done); err != nil {
		return fmt.Errorf("shardlog.Submit: %w", err)
	}
	return nil
}

func (j *Journal) enqueue(record ledger.Record, budget string, urgent bool, done func(ledger.Result, error)) (*item, error) {
	if err := ledger.Validate(record); err != nil {
		return nil, j.notAppended(record, err)
	}
	if j.pending.Add(1) > j.maxPending {
		j.pending.Add(-1)
		return nil, j.notAppended(record, &QueueFullError{int(j.maxPending)})
	}
	it := &item{record: record, done: func(r ledger.Result, err error) {
		if err == nil {
			j.observe(record, r)
		}
		if done != nil {
			done(r, err)
		}
	}}
	s := j.shardOf(budget)
	if !s.push(it, urgent) {
		j.pending.Add(-1)
		return nil, j.notAppended(record, &ClosedError{})
	}
	return it, nil
}

// notAppended tells the observer that the record will have no effect, and
// returns err.
func (j *Journal) notAppended(record ledger.Record, err error) error {
	j.observe(record, ledger.Refused{Err: &ledger.NotAppendedError{Err: err}})
	return err
}

// SubmitNow appends the record without waiting for the flush interval and
// returns its result. It fails with *QueueFullError, *ClosedError or, when ctx ends
// first, *UnfinishedError.
func (j *Journal) SubmitNow(ctx context.Context, budget string, record ledger.Record) (ledger.Result, error) {
	type outcome struct {
		result ledger.Result
		err    error
	}
	answer := make(chan outcome, 1)
	it, err := j.enqueue(record, budget, true, func(r ledger.Result, err error) { answer <- outcome{r, err} })
	if err != nil {
		return nil, fmt.Errorf("shardlog.SubmitNow: %w", err)
	}
	select {
	case o := <-answer:
		if o.err != nil {
			return nil, fmt.Errorf("shardlog.SubmitNow: %w", o.err)
		}
		return o.result, nil
	case <-ctx.Done():
		withdrawn := j.shardOf(budget).withdraw(it)
		if withdrawn {
			j.pending.Add(-1)
			_ = j.notAppended(record, ctx.Err())
		}
		return nil, fmt.Errorf("shardlog.SubmitNow: %w", &UnfinishedError{withdrawn, ctx.Err()})
	}
}

// run appends the records of one shard until the journal is closed.
func (j *Journal) run(s *shard) {
	for {
		select {
		case <-s.wake:
		case <-j.closing:
			s.close()
			j.flush(s)
			return
		}
		timer := j.clock.NewTimer(j.interval)
		select {
		case <-timer.Chan():
		case <-s.urgent:
		case <-j.closing:
		}
		timer.Stop()
		j.flush(s)
		j.snapshotIfDue(s)
	}
}

// flush appends the records that wait for the shard. Those that come meanwhile
// wait for the next interval, so that a slow store makes larger batches instead
// of more of them; when the journal closes, they are appended, too.
func (j *Journal) flush(s *shard) {
	waits := newBackOff()
	// A throttled shard waits for at least about an interval: sooner, the write
	// would only take the place of another shard's.
	throttled := newBackOff()
	throttled.InitialInterval = max(throttled.InitialInterval, j.interval)
	throttled.MaxInterval = max(throttled.MaxInterval, j.interval)
	for more := true; more; {
		if !s.acquire(j.ctx) {
			return
		}
		var items []*item
		items, more = s.take(maxBatch)
		err := j.flushItems(j.ctx, s, items)
		s.release()
		if err == nil {
			waits.Reset()
			throttled.Reset()
			continue
		}
		if !rejected(err) && j.ctx.Err() == nil {
			// Other writers or an operator may repair the rows.
			j.log.WithError(err).WithField("shard", s.number).Error("records can't be appended")
		}
		wait := waits.NextBackOff()
		if _, ok := errors.AsType[*table.ThrottledError](err); ok {
			wait = throttled.NextBackOff()
		}
		j.retries.Add(1)
		if !j.wait(j.ctx, wait) {
			return
		}
		more = true
	}
}

// drain appends the records that wait for any shard.
func (j *Journal) drain(ctx context.Context) error {
	for _, s := range j.shards {
		for more := true; more; {
			if !s.acquire(ctx) {
				return ctx.Err()
			}
			var items []*item
			items, more = s.take(maxBatch)
			err := j.flushItems(ctx, s, items)
			s.release()
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// flushItems appends the items. Items for which it fails are put back. The
// caller holds the turn.
func (j *Journal) flushItems(ctx context.Context, s *shard, items []*item) error {
	finish := func(it *item, r ledger.Result) {
		j.pending.Add(-1)
		it.done(r, nil)
	}
	for len(items) > 0 {
		p := &part{shard: s, records: make([]ledger.Record, len(items)), yield: true}
		for i, it := range items {
			p.records[i] = it.record
		}
		err := j.commit(ctx, []*part{p}, table.Transaction{})
		var fenced *fencedError
		var unresolved *UnresolvedError
		var invalid *table.InvalidError
		switch {
		case err == nil:
			for i, it := range items {
				finish(it, p.results[i])
			}
			return nil
		case errors.As(err, &fenced):
			items = reject(items, func(r ledger.Record) error {
				if d, ok := r.(ledger.Draw); ok && fenced.holders[d.Holder] {
					return &ledger.FencedError{Holder: d.Holder}
				}
				return nil
			}, finish)
		case errors.As(err, &unresolved):
			// A bill that the ledger no longer remembers is refused as expired;
			// other records could take effect twice.
			items = reject(items, func(r ledger.Record) error {
				if _, ok := r.(ledger.Bill); ok {
					return nil
				}
				return unresolved
			}, finish)
		case errors.As(err, &invalid):
			if len(items) == 1 {
				j.log.WithError(err).WithField("shard", s.number).Error("record can't be appended")
				finish(items[0], ledger.Refused{Err: &ledger.NotAppendedError{Err: invalid}})
				return nil
			}
			s.putBack(items[len(items)/2:])
			items = items[:len(items)/2]
		default:
			s.putBack(items)
			return err
		}
	}
	return nil
}

// reject finishes the items that refusal gives an error for and returns the
// others.
func reject(items []*item, refusal func(ledger.Record) error, finish func(*item, ledger.Result)) []*item {
	return slices.DeleteFunc(items, func(it *item) bool {
		err := refusal(it.record)
		if err != nil {
			finish(it, ledger.Refused{Err: err})
		}
		return err != nil
	})
}

// Transact appends the records to the logs of their budgets' shards in one
// transaction together with the writes and checks of tx. If the ledger would
// refuse a record, nothing is written and the error is *RefusedError. If a row
// of tx is not in its expected state, the error is *table.ConflictError. While
// the table service fails, Transact tries again until ctx ends.
func (j *Journal) Transact(ctx context.Context, tx table.Transaction, records []ledger.Record) ([]ledger.Result, error) {
	byShard := map[int][]ledger.Record{}
	index := map[int][]int{}
	for i, r := range records {
		budget, err := BudgetOf(r)
		if err != nil {
			return nil, fmt.Errorf("shardlog.Transact: %w", err)
		}
		if err := ledger.Validate(r); err != nil {
			return nil, fmt.Errorf("shardlog.Transact: %w", err)
		}
		n := ledger.ShardOf(budget, len(j.shards))
		byShard[n] = append(byShard[n], r)
		index[n] = append(index[n], i)
	}
	parts, err := j.transact(ctx, tx, byShard)
	results := make([]ledger.Result, len(records))
	for _, p := range parts {
		for k, r := range p.results {
			results[index[p.shard.number][k]] = r
		}
	}
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) {
			refused.Results = results
		}
		return nil, fmt.Errorf("shardlog.Transact: %w", err)
	}
	for i, r := range records {
		j.observe(r, results[i])
	}
	return results, nil
}

// BudgetOf returns the budget that a record names. It fails with
// *ledger.InvalidRecordError for records that name none.
func BudgetOf(r ledger.Record) (string, error) {
	switch r := r.(type) {
	case ledger.OpenBudget:
		return r.Budget, nil
	case ledger.TopUp:
		return r.Budget, nil
	case ledger.Draw:
		return r.Budget, nil
	case ledger.Bill:
		return r.Budget, nil
	case ledger.Return:
		return r.Budget, nil
	default:
		return "", &ledger.InvalidRecordError{Field: "kind", Reason: "names no budget"}
	}
}

// transact appends records by shard. It takes the turns in ascending order of
// the shards, so that two transactions can't wait for each other.
func (j *Journal) transact(ctx context.Context, tx table.Transaction, byShard map[int][]ledger.Record) ([]*part, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(j.ctx, cancel)
	defer stop()

	var parts []*part
	for n, s := range j.shards {
		if len(byShard[n]) == 0 {
			continue
		}
		if !s.acquire(ctx) {
			return nil, &UnfinishedError{true, context.Cause(ctx)}
		}
		defer s.release()
		parts = append(parts, &part{shard: s, records: byShard[n], strict: true})
	}
	err := j.commit(ctx, parts, tx)
	for _, p := range parts {
		p.shard.signal()
	}
	var fenced *fencedError
	if errors.As(err, &fenced) {
		for holder := range fenced.holders {
			return parts, &RefusedError{Err: &ledger.FencedError{Holder: holder}}
		}
	}
	return parts, err
}

// Refresh reads what other writers have appended to all shards. It fails while
// the table service does not answer.
func (j *Journal) Refresh(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(8)
	for _, s := range j.shards {
		group.Go(func() error {
			if !s.acquire(ctx) {
				return ctx.Err()
			}
			defer s.release()
			return j.catchUp(ctx, s)
		})
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("shardlog.Refresh: %w", err)
	}
	return nil
}

func newBackOff() *backoff.ExponentialBackOff {
	// The longest wait bounds how late an entry notices that an outage is over.
	return &backoff.ExponentialBackOff{InitialInterval: 10 * time.Millisecond, RandomizationFactor: 0.5,
		Multiplier: 2, MaxInterval: 2 * time.Second}
}

// wait returns false if ctx ended first.
func (j *Journal) wait(ctx context.Context, d time.Duration) bool {
	timer := j.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
