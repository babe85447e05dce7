package shardlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"

	"briarreach/ledger"
	"briarreach/table"
)

// shardAppend holds the records that one transaction appends to one shard.
type shardAppend struct {
	shard   *shard
	records []ledger.Record
	results []ledger.Result
	batchID string
	// failIfRefused fails the commit if the ledger would refuse a record.
	failIfRefused bool
	// returnIfNotApplied ends the commit at the first error after which the records
	// are definitely not appended, so that newer records can join the batch.
	returnIfNotApplied bool
}

// commitWithRetries appends to the shards together with the writes and checks of
// extra. The caller holds the locks of all shards. It retries until the outcome
// is known or ctx ends.
func (j *Journal) commitWithRetries(ctx context.Context, appends []*shardAppend, extra table.Transaction) error {
	for _, a := range appends {
		a.batchID = ulid.Make().String()
		a.shard.awaitBatch(a.batchID)
		defer a.shard.awaitBatch("")
	}
	c := &pendingCommit{journal: j, appends: appends, extra: extra, started: j.clock.Now()}
	failureBackOff := newBackOff()
	// Conflicts come from other writers' appends, which end quickly.
	conflictBackOff := &backoff.ExponentialBackOff{InitialInterval: 5 * time.Millisecond, RandomizationFactor: 0.5,
		Multiplier: 2, MaxInterval: 200 * time.Millisecond}
	for {
		err := c.attempt(ctx)
		var permanent *permanentError
		if err == nil || errors.As(err, &permanent) {
			if err != nil {
				err = permanent.err
			}
			return err
		}
		if len(appends) == 1 && appends[0].returnIfNotApplied && !c.ambiguous && notApplied(err) {
			return err
		}
		backOff := failureBackOff
		if _, ok := errors.AsType[*table.ConflictError](err); ok {
			backOff = conflictBackOff
		}
		j.retries.Add(1)
		if !j.wait(ctx, backOff.NextBackOff()) {
			if c.ambiguous {
				err = &table.AmbiguousError{Err: err}
			}
			return fmt.Errorf("%w: %w", ctx.Err(), err)
		}
	}
}

// permanentError ends the retries of a commit with err.
type permanentError struct{ err error }

func (e *permanentError) Error() string { return e.err.Error() }

// pendingCommit is one logical transaction over several attempts.
type pendingCommit struct {
	journal      *Journal
	appends      []*shardAppend
	extra        table.Transaction
	started      time.Time
	ambiguous    bool                 // an attempt may have been applied
	lastConflict *table.ConflictError // of the last attempt
}

// attempt reads new batches, determines whether an earlier attempt was applied,
// and otherwise commits. It fails with *permanentError if a retry can't succeed.
func (c *pendingCommit) attempt(ctx context.Context) error {
	j := c.journal
	for _, a := range c.appends {
		if a.shard.stale {
			if err := j.catchUp(ctx, a.shard); err != nil {
				return markPermanent(err)
			}
		}
	}
	if applied, err := c.resolveOutcome(ctx); applied || err != nil {
		return markPermanent(err)
	}
	if err := c.checkRefusal(); err != nil {
		return &permanentError{err}
	}
	batches, tx, err := c.buildTransaction()
	if err != nil {
		return &permanentError{err}
	}
	err = j.store.Commit(ctx, tx)
	if err == nil {
		j.commits.Add(1)
		for i, a := range c.appends {
			// While other writers append, too, a read before the next append is
			// cheaper than a conflict.
			a.shard.stale = a.shard.lastBatchForeign
			a.results = a.shard.apply(batches[i], false)
			j.records.Add(int64(len(a.records)))
		}
		return nil
	}
	if notApplied(err) {
		return markPermanent(err)
	}
	for _, a := range c.appends {
		a.shard.stale = true
	}
	if conflict, ok := errors.AsType[*table.ConflictError](err); ok {
		j.conflicts.Add(1)
		c.lastConflict = conflict
		return err
	}
	j.ambiguous.Add(1)
	c.ambiguous = true
	return err
}

// notApplied reports whether a failed commit was definitely not applied.
func notApplied(err error) bool {
	_, unavailable := errors.AsType[*table.UnavailableError](err)
	_, throttled := errors.AsType[*table.ThrottledError](err)
	_, invalid := errors.AsType[*table.InvalidError](err)
	return unavailable || throttled || invalid
}

// markPermanent wraps errors that a retry can't resolve in *permanentError.
func markPermanent(err error) error {
	_, invalid := errors.AsType[*table.InvalidError](err)
	_, corrupt := errors.AsType[*CorruptError](err)
	_, decode := errors.AsType[*ledger.DecodeError](err)
	_, unresolved := errors.AsType[*UnresolvedError](err)
	if invalid || corrupt || decode || unresolved {
		return &permanentError{err}
	}
	return err
}

// resolveOutcome reports whether an earlier attempt was applied. All shards have
// been read up to the end of their logs.
func (c *pendingCommit) resolveOutcome(ctx context.Context) (bool, error) {
	if !c.ambiguous {
		return false, nil
	}
	applied, snapshotLoaded := false, false
	for _, a := range c.appends {
		applied = applied || a.shard.awaitedResults != nil
		snapshotLoaded = snapshotLoaded || a.shard.snapshotLoaded
	}
	if !applied && (snapshotLoaded || len(c.appends) == 0) && len(c.extra.Writes) > 0 {
		var err error
		if applied, err = c.extraWritesApplied(ctx); err != nil {
			return false, err
		}
	}
	if !applied {
		if snapshotLoaded && c.journal.clock.Since(c.started) > c.journal.billWindow/2 {
			return false, &UnresolvedError{c.appends[0].batchID}
		}
		return false, nil
	}
	for _, a := range c.appends {
		if a.results = a.shard.awaitedResults; a.results == nil {
			// The row is deleted. The records were applied, so applying them again
			// gives the results of duplicates.
			a.results = a.shard.state.Clone().Apply(c.batch(a))
		}
		c.journal.records.Add(int64(len(a.records)))
	}
	return true, nil
}

// extraWritesApplied reads the caller's rows back and reports whether they were
// written.
func (c *pendingCommit) extraWritesApplied(ctx context.Context) (bool, error) {
	keys := make([]table.Key, len(c.extra.Writes))
	for i, w := range c.extra.Writes {
		keys[i] = w.Key
	}
	rows, err := c.journal.store.Get(ctx, keys...)
	if err != nil {
		return false, err
	}
	for i, w := range c.extra.Writes {
		if w.Value == nil && rows[i].Version == 0 {
			continue
		}
		version := uint64(1)
		if e, ok := w.Expect.(table.Exactly); ok {
			version = e.Version + 1
		}
		if rows[i].Version != version || w.Value == nil || !bytes.Equal(rows[i].Value, w.Value) {
			return false, nil
		}
	}
	return true, nil
}

// checkRefusal returns an error if, by the last conflict and the current state,
// the records can't be appended.
func (c *pendingCommit) checkRefusal() error {
	if c.lastConflict != nil {
		fenced := map[string]bool{}
		var extraKeys []table.Key
		for _, key := range c.lastConflict.Keys {
			switch {
			case c.isExtraRow(key):
				extraKeys = append(extraKeys, key)
			case key.Partition == FencePartition:
				fenced[key.Sort] = true
			}
		}
		c.lastConflict = nil
		if len(extraKeys) > 0 {
			return &table.ConflictError{Keys: extraKeys}
		}
		if len(fenced) > 0 {
			return &fencedError{fenced}
		}
	}
	for _, a := range c.appends {
		if !a.failIfRefused {
			continue
		}
		results := a.shard.state.Clone().Apply(c.batch(a))
		for _, r := range results {
			if refused, ok := r.(ledger.Refused); ok {
				a.results = results
				return &RefusedError{Err: refused.Err}
			}
		}
	}
	return nil
}

// isExtraRow reports whether the key is one of the caller's rows.
func (c *pendingCommit) isExtraRow(key table.Key) bool {
	return slices.ContainsFunc(c.extra.Writes, func(w table.Write) bool { return w.Key == key }) ||
		slices.ContainsFunc(c.extra.Checks, func(k table.Check) bool { return k.Key == key })
}

func (c *pendingCommit) batch(a *shardAppend) ledger.Batch {
	at := c.journal.clock.Now().UTC().Truncate(time.Millisecond)
	return ledger.Batch{Writer: c.journal.writer, BatchID: a.batchID, At: at, Records: a.records}
}

// buildTransaction returns the batches and the transaction that appends them.
func (c *pendingCommit) buildTransaction() ([]ledger.Batch, table.Transaction, error) {
	tx := table.Transaction{ID: ulid.Make().String(), Writes: slices.Clone(c.extra.Writes), Checks: slices.Clone(c.extra.Checks)}
	batches := make([]ledger.Batch, len(c.appends))
	holders := map[string]bool{}
	for i, a := range c.appends {
		batches[i] = c.batch(a)
		value, err := ledger.EncodeBatch(batches[i])
		if err != nil {
			return nil, tx, err
		}
		if len(value) > table.MaxValueBytes {
			return nil, tx, &table.InvalidError{Reason: fmt.Sprintf("batch of %d bytes", len(value))}
		}
		tx.Writes = append(tx.Writes, table.Write{Key: a.shard.logKey(a.shard.lastSequence + 1), Expect: table.Absent{}, Value: value})
		tx.Checks = append(tx.Checks, table.Check{Key: a.shard.headKey(), Expect: expectVersion(a.shard.headVersion)})
		for _, r := range a.records {
			d, ok := r.(ledger.Draw)
			if !ok || holders[d.Holder] {
				continue
			}
			// Fence records are written only to the shards in which the holder has
			// outstanding amounts; the fence row bars it from draws in the others.
			holders[d.Holder] = true
			key := table.Key{Partition: FencePartition, Sort: d.Holder}
			if !c.isExtraRow(key) {
				tx.Checks = append(tx.Checks, table.Check{Key: key, Expect: table.Absent{}})
			}
		}
	}
	if n := len(tx.Writes) + len(tx.Checks); n > table.MaxTransactionRows {
		return nil, tx, &table.InvalidError{Reason: fmt.Sprintf("transaction of %d rows", n)}
	}
	return batches, tx, nil
}

func expectVersion(version uint64) table.Precondition {
	if version == 0 {
		return table.Absent{}
	}
	return table.Exactly{Version: version}
}
