// Package shardlog appends records to the ledger's shard logs in the table
// service and reads the batches of other writers. A Journal is one writer of all
// logs.
//
// A batch is appended on condition that its row does not exist and that the
// shard's head row, which describes the last snapshot, has the version that this
// writer has read last, so a writer that missed batches must read them first. See
// section 4.1 of docs/design.md.
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
	// maxBatchRecords records of about 300 bytes stay below table.MaxValueBytes.
	maxBatchRecords = 1000

	// maxDrawHolders limits the checks of fence rows in one transaction.
	maxDrawHolders = 32

	// shardsPerTransaction leaves room for the caller's rows: a shard takes two
	// of the table.MaxTransactionRows rows.
	shardsPerTransaction = 40
)

// Option configures a Journal.
type Option func(*Journal)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clockwork.Clock) Option { return func(j *Journal) { j.clock = c } }

// WithWriter sets the journal's name as the writer of its batches. The default is
// a new ULID.
func WithWriter(name string) Option { return func(j *Journal) { j.writer = name } }

// WithFlushInterval sets how long records are queued to share a batch. The
// default is 250 ms.
func WithFlushInterval(d time.Duration) Option { return func(j *Journal) { j.flushInterval = d } }

// WithLog sets the log. The default discards all lines.
func WithLog(l log.Interface) Option { return func(j *Journal) { j.log = l } }

// WithMaxPending bounds the queued records. The default is
// 100,000, about 20 seconds of the busiest deployment's bills.
func WithMaxPending(n int) Option { return func(j *Journal) { j.maxPending = int64(n) } }

// WithBillWindow sets the bill window of new shards; it must be the same for
// all writers. The default is 15 minutes.
func WithBillWindow(d time.Duration) Option { return func(j *Journal) { j.billWindow = d } }

// WithSnapshotInterval sets the number of batches between snapshots. The default
// is 256.
func WithSnapshotInterval(n int) Option {
	return func(j *Journal) { j.snapshotInterval = uint64(max(n, 1)) }
}

// WithObserver sets a function that is called once for each record submitted
// through this journal when its result is known, before the record's own
// callback, and also when the submitter has stopped waiting. A record that will
// never be appended has the result Refused with *ledger.NotAppendedError; only
// a record that Close discards and the records of a failed Transact have no
// result. The function must not block.
func WithObserver(observe func(ledger.Record, ledger.Result)) Option {
	return func(j *Journal) { j.observe = observe }
}

// Stats holds counters of a Journal.
type Stats struct {
	Commits, Conflicts, AmbiguousCommits, Retries, Records, Snapshots, DeletedRows int64
}

// Journal appends records to the shard logs. Its methods are safe for
// concurrent use.
type Journal struct {
	store            table.Store
	clock            clockwork.Clock
	writer           string
	flushInterval    time.Duration
	log              log.Interface
	maxPending       int64
	billWindow       time.Duration
	snapshotInterval uint64 // batches between snapshots
	observe          func(ledger.Record, ledger.Result)

	shards  []*shard
	pending atomic.Int64

	stopCtx   context.Context // ends when the context of Close ends
	cancel    context.CancelFunc
	closing   chan struct{}
	closeOnce sync.Once
	workers   sync.WaitGroup

	commits, conflicts, ambiguous, retries, records, snapshots, deletes atomic.Int64
}

type queuedRecord struct {
	record   ledger.Record
	callback func(ledger.Result, error)
}

// New returns a journal for the given number of shards and starts one goroutine
// per shard. A shard is read at its first use.
func New(store table.Store, shards int, opts ...Option) (*Journal, error) {
	if shards < 1 || shards > 4096 {
		return nil, fmt.Errorf("shardlog.New: %w", &ShardCountError{shards})
	}
	j := &Journal{
		store:            store,
		clock:            clockwork.NewRealClock(),
		writer:           ulid.Make().String(),
		flushInterval:    250 * time.Millisecond,
		log:              &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		maxPending:       100_000,
		billWindow:       15 * time.Minute,
		snapshotInterval: 256,
		observe:          func(ledger.Record, ledger.Result) {},
		closing:          make(chan struct{}),
	}
	for _, opt := range opts {
		opt(j)
	}
	j.stopCtx, j.cancel = context.WithCancel(context.Background())
	for n := range shards {
		s := newShard(n, j.billWindow, j.snapshotInterval)
		j.shards = append(j.shards, s)
		j.workers.Go(func() { j.run(s) })
	}
	return j, nil
}

// Close appends the queued records and stops the goroutines. Records that are not
// appended before ctx ends are discarded with *ClosedError.
func (j *Journal) Close(ctx context.Context) error {
	j.closeOnce.Do(func() { close(j.closing) })
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
	if left := j.failQueued(); left > 0 {
		return fmt.Errorf("shardlog.Close: %d records not appended: %w", left, &ClosedError{})
	}
	return nil
}

func (j *Journal) failQueued() int {
	left := 0
	for _, s := range j.shards {
		for _, q := range s.dequeueAll() {
			left++
			j.pending.Add(-1)
			q.callback(nil, &ClosedError{})
		}
	}
	return left
}

// Shards returns the number of shards.
func (j *Journal) Shards() int { return len(j.shards) }

// Pending returns the number of queued records, including those in flight.
func (j *Journal) Pending() int { return int(j.pending.Load()) }

// Stats returns the counters.
func (j *Journal) Stats() Stats {
	return Stats{j.commits.Load(), j.conflicts.Load(), j.ambiguous.Load(), j.retries.Load(), j.records.Load(),
		j.snapshots.Load(), j.deletes.Load()}
}

func (j *Journal) shardOf(budget string) *shard {
	return j.shards[ledger.ShardOf(budget, len(j.shards))]
}

// Read calls f with the state of the budget's shard that this journal has read
// last. f must not keep or change the state.
func (j *Journal) Read(budget string, f func(*ledger.State)) {
	j.ReadShard(ledger.ShardOf(budget, len(j.shards)), f)
}

// ReadShard is like Read for a shard by number.
func (j *Journal) ReadShard(number int, f func(*ledger.State)) {
	s := j.shards[number]
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Submit queues the record for the next batch of the budget's shard. done is
// called from the shard's goroutine with the result, or with *ClosedError if
// the journal was closed first; it must not block. done may be nil. Submit
// fails with *ledger.InvalidRecordError, *QueueFullError or *ClosedError.
func (j *Journal) Submit(record ledger.Record, budget string, done func(ledger.Result, error)) error {
	if _, err := j.enqueue(record, budget, false, done); err != nil {
		return fmt.Errorf("shardlog.Submit: %w", err)
	}
	return nil
}

func (j *Journal) enqueue(record ledger.Record, budget string, urgent bool, done func(ledger.Result, error)) (*queuedRecord, error) {
	if err := ledger.Validate(record); err != nil {
		return nil, j.reportNotAppended(record, err)
	}
	if j.pending.Add(1) > j.maxPending {
		j.pending.Add(-1)
		return nil, j.reportNotAppended(record, &QueueFullError{int(j.maxPending)})
	}
	q := &queuedRecord{record: record, callback: func(r ledger.Result, err error) {
		if err == nil {
			j.observe(record, r)
		}
		if done != nil {
			done(r, err)
		}
	}}
	s := j.shardOf(budget)
	if !s.enqueue(q, urgent) {
		j.pending.Add(-1)
		return nil, j.reportNotAppended(record, &ClosedError{})
	}
	return q, nil
}

// reportNotAppended reports to the observer that the record will have no effect,
// and returns err.
func (j *Journal) reportNotAppended(record ledger.Record, err error) error {
	j.observe(record, ledger.Refused{Err: &ledger.NotAppendedError{Err: err}})
	return err
}

// SubmitNow appends the record without waiting for the flush interval and
// returns its result. It fails with *ledger.InvalidRecordError, *QueueFullError,
// *ClosedError or, when ctx ends first, *UnfinishedError.
func (j *Journal) SubmitNow(ctx context.Context, budget string, record ledger.Record) (ledger.Result, error) {
	type outcome struct {
		result ledger.Result
		err    error
	}
	answer := make(chan outcome, 1)
	q, err := j.enqueue(record, budget, true, func(r ledger.Result, err error) { answer <- outcome{r, err} })
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
		withdrawn := j.shardOf(budget).withdraw(q)
		if withdrawn {
			j.pending.Add(-1)
			_ = j.reportNotAppended(record, ctx.Err())
		}
		return nil, fmt.Errorf("shardlog.SubmitNow: %w", &UnfinishedError{withdrawn, ctx.Err()})
	}
}

// run appends the records of one shard until the journal is closed.
func (j *Journal) run(s *shard) {
	for {
		select {
		case <-s.recordQueued:
		case <-j.closing:
			s.close()
			j.flush(s)
			return
		}
		timer := j.clock.NewTimer(j.flushInterval)
		select {
		case <-timer.Chan():
		case <-s.urgentQueued:
		case <-j.closing:
		}
		timer.Stop()
		j.flush(s)
		j.snapshotIfDue(s)
	}
}

// flush appends the shard's queued records. Records that are queued meanwhile wait
// for the next interval, so that a slow store leads to larger batches instead of
// more of them; when the journal closes, they are appended, too.
func (j *Journal) flush(s *shard) {
	failureBackOff := newBackOff()
	// A throttled shard waits for at least about one flush interval: an earlier
	// write would only displace another shard's.
	throttleBackOff := newBackOff()
	throttleBackOff.InitialInterval = max(throttleBackOff.InitialInterval, j.flushInterval)
	throttleBackOff.MaxInterval = max(throttleBackOff.MaxInterval, j.flushInterval)
	for more := true; more; {
		if !s.acquire(j.stopCtx) {
			return
		}
		var queued []*queuedRecord
		queued, more = s.dequeue(maxBatchRecords)
		err := j.appendQueued(j.stopCtx, s, queued)
		s.release()
		if err == nil {
			failureBackOff.Reset()
			throttleBackOff.Reset()
			continue
		}
		if !notApplied(err) && j.stopCtx.Err() == nil {
			// Other writers or an operator may repair the rows.
			j.log.WithError(err).WithField("shard", s.number).Error("records can't be appended")
		}
		wait := failureBackOff.NextBackOff()
		if _, ok := errors.AsType[*table.ThrottledError](err); ok {
			wait = throttleBackOff.NextBackOff()
		}
		j.retries.Add(1)
		if !j.wait(j.stopCtx, wait) {
			return
		}
		more = true
	}
}

// drain appends the queued records of all shards.
func (j *Journal) drain(ctx context.Context) error {
	for _, s := range j.shards {
		for more := true; more; {
			if !s.acquire(ctx) {
				return ctx.Err()
			}
			var queued []*queuedRecord
			queued, more = s.dequeue(maxBatchRecords)
			err := j.appendQueued(ctx, s, queued)
			s.release()
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// appendQueued appends the records and calls their callbacks. It requeues those
// for which it fails. The caller holds the shard's lock.
func (j *Journal) appendQueued(ctx context.Context, s *shard, queued []*queuedRecord) error {
	finish := func(q *queuedRecord, r ledger.Result) {
		j.pending.Add(-1)
		q.callback(r, nil)
	}
	for len(queued) > 0 {
		a := &shardAppend{shard: s, records: make([]ledger.Record, len(queued)), returnIfNotApplied: true}
		for i, q := range queued {
			a.records[i] = q.record
		}
		err := j.commitWithRetries(ctx, []*shardAppend{a}, table.Transaction{})
		var fenced *fencedError
		var unresolved *UnresolvedError
		var invalid *table.InvalidError
		switch {
		case err == nil:
			for i, q := range queued {
				finish(q, a.results[i])
			}
			return nil
		case errors.As(err, &fenced):
			queued = refuseWhere(queued, func(r ledger.Record) error {
				if d, ok := r.(ledger.Draw); ok && fenced.holders[d.Holder] {
					return &ledger.FencedError{Holder: d.Holder}
				}
				return nil
			}, finish)
		case errors.As(err, &unresolved):
			// Bills can be retried: one that the ledger no longer remembers is
			// refused as expired. Other records could take effect twice.
			queued = refuseWhere(queued, func(r ledger.Record) error {
				if _, ok := r.(ledger.Bill); ok {
					return nil
				}
				return unresolved
			}, finish)
		case errors.As(err, &invalid):
			if len(queued) == 1 {
				j.log.WithError(err).WithField("shard", s.number).Error("record can't be appended")
				finish(queued[0], ledger.Refused{Err: &ledger.NotAppendedError{Err: invalid}})
				return nil
			}
			s.requeue(queued[len(queued)/2:])
			queued = queued[:len(queued)/2]
		default:
			s.requeue(queued)
			return err
		}
	}
	return nil
}

// refuseWhere finishes the records for which refusal returns an error and returns
// the others.
func refuseWhere(queued []*queuedRecord, refusal func(ledger.Record) error, finish func(*queuedRecord, ledger.Result)) []*queuedRecord {
	return slices.DeleteFunc(queued, func(q *queuedRecord) bool {
		err := refusal(q.record)
		if err != nil {
			finish(q, ledger.Refused{Err: err})
		}
		return err != nil
	})
}

// Transact appends the records to the logs of their budgets' shards in one
// transaction together with the writes and checks of tx. If the ledger would
// refuse a record, nothing is written and the error is *RefusedError. If a row
// of tx is not in its expected state, the error is *table.ConflictError. Invalid
// arguments fail with *ledger.InvalidRecordError or *table.InvalidError,
// unreadable rows with *CorruptError or *ledger.DecodeError, and an outcome that
// can't be found out with *UnresolvedError.
//
// While the table service fails, Transact retries until ctx ends. The error is
// then *UnfinishedError if no attempt was made; otherwise it wraps the context's
// error and that of the last attempt, as *table.AmbiguousError if an attempt may
// have been applied.
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
	appends, err := j.transact(ctx, tx, byShard)
	results := make([]ledger.Result, len(records))
	for _, a := range appends {
		for k, r := range a.results {
			results[index[a.shard.number][k]] = r
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

// BudgetOf returns the budget of a record. It fails with
// *ledger.InvalidRecordError for kinds of records without one.
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

// transact appends records by shard. It takes the locks in ascending order of the
// shards, so that two transactions can't deadlock.
func (j *Journal) transact(ctx context.Context, tx table.Transaction, byShard map[int][]ledger.Record) ([]*shardAppend, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(j.stopCtx, cancel)
	defer stop()

	var appends []*shardAppend
	for n, s := range j.shards {
		if len(byShard[n]) == 0 {
			continue
		}
		if !s.acquire(ctx) {
			return nil, &UnfinishedError{true, context.Cause(ctx)}
		}
		defer s.release()
		appends = append(appends, &shardAppend{shard: s, records: byShard[n], failIfRefused: true})
	}
	err := j.commitWithRetries(ctx, appends, tx)
	for _, a := range appends {
		a.shard.wakeWorker()
	}
	var fenced *fencedError
	if errors.As(err, &fenced) {
		for holder := range fenced.holders {
			return appends, &RefusedError{Err: &ledger.FencedError{Holder: holder}}
		}
	}
	return appends, err
}

// Refresh reads the batches that other writers have appended to all shards. It
// fails while the table service does not respond.
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
	// MaxInterval bounds the delay after which an entry detects the end of an
	// outage.
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
