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

// part is what one transaction appends to one shard.
type part struct {
	shard   *shard
	records []ledger.Record
	results []ledger.Result
	batchID string
	// strict parts are not appended if a record would be refused.
	strict bool
	// yield ends the commit at the first error that leaves the records certainly
	// not appended, so that records that came meanwhile can join the batch.
	yield bool
}

// commit appends the parts together with the writes and checks of extra. The
// caller holds the turns of all shards. It tries again until the outcome is
// known or ctx ends.
func (j *Journal) commit(ctx context.Context, parts []*part, extra table.Transaction) error {
	for _, p := range parts {
		p.batchID = ulid.Make().String()
		p.shard.await(p.batchID)
		defer p.shard.await("")
	}
	c := &commit{journal: j, parts: parts, extra: extra, started: j.clock.Now()}
	failures := newBackOff()
	// Conflicts come from other writers' appends, which are over quickly.
	conflicts := &backoff.ExponentialBackOff{InitialInterval: 5 * time.Millisecond, RandomizationFactor: 0.5,
		Multiplier: 2, MaxInterval: 200 * time.Millisecond}
	for {
		err := c.try(ctx)
		var done *doneError
		if err == nil || errors.As(err, &done) {
			if err != nil {
				err = done.err
			}
			return err
		}
		if len(parts) == 1 && parts[0].yield && !c.ambiguous && rejected(err) {
			return err
		}
		waits := failures
		if _, ok := errors.AsType[*table.ConflictError](err); ok {
			waits = conflicts
		}
		j.retries.Add(1)
		if !j.wait(ctx, waits.NextBackOff()) {
			if c.ambiguous {
				err = &table.AmbiguousError{Err: err}
			}
			return fmt.Errorf("%w: %w", ctx.Err(), err)
		}
	}
}

// doneError ends the tries of a commit with err.
type doneError struct{ err error }

func (e *doneError) Error() string { return e.err.Error() }

// commit is one logical transaction over several tries.
type commit struct {
	journal   *Journal
	parts     []*part
	extra     table.Transaction
	started   time.Time
	ambiguous bool                 // a try may have been applied
	conflict  *table.ConflictError // of the last try
}

// try reads what is new, decides whether an earlier try was applied, and
// commits. It fails with *doneError if no further try can help.
func (c *commit) try(ctx context.Context) error {
	j := c.journal
	for _, p := range c.parts {
		if p.shard.stale {
			if err := j.catchUp(ctx, p.shard); err != nil {
				return permanent(err)
			}
		}
	}
	if applied, err := c.applied(ctx); applied || err != nil {
		return permanent(err)
	}
	if err := c.refusal(); err != nil {
		return &doneError{err}
	}
	batches, tx, err := c.transaction()
	if err != nil {
		return &doneError{err}
	}
	err = j.store.Commit(ctx, tx)
	if err == nil {
		j.commits.Add(1)
		for i, p := range c.parts {
			// If others append, too, a read before the next append is cheaper than
			// a conflict.
			p.shard.stale = p.shard.foreign
			p.results = p.shard.apply(batches[i], false)
			j.records.Add(int64(len(p.records)))
		}
		return nil
	}
	if rejected(err) {
		return permanent(err)
	}
	for _, p := range c.parts {
		p.shard.stale = true
	}
	if conflict, ok := errors.AsType[*table.ConflictError](err); ok {
		j.conflicts.Add(1)
		c.conflict = conflict
		return err
	}
	j.ambiguous.Add(1)
	c.ambiguous = true
	return err
}

// rejected reports whether a failed commit was certainly not applied.
func rejected(err error) bool {
	_, unavailable := errors.AsType[*table.UnavailableError](err)
	_, throttled := errors.AsType[*table.ThrottledError](err)
	_, invalid := errors.AsType[*table.InvalidError](err)
	return unavailable || throttled || invalid
}

// permanent marks errors that trying again can't change.
func permanent(err error) error {
	_, invalid := errors.AsType[*table.InvalidError](err)
	_, corrupt := errors.AsType[*CorruptError](err)
	_, decode := errors.AsType[*ledger.DecodeError](err)
	_, unresolved := errors.AsType[*UnresolvedError](err)
	if invalid || corrupt || decode || unresolved {
		return &doneError{err}
	}
	return err
}

// applied reports whether an earlier try was applied. All shards are read up
// to the end of their logs.
func (c *commit) applied(ctx context.Context) (bool, error) {
	if !c.ambiguous {
		return false, nil
	}
	found, skipped := false, false
	for _, p := range c.parts {
		found = found || p.shard.found != nil
		skipped = skipped || p.shard.skipped
	}
	if !found && (skipped || len(c.parts) == 0) && len(c.extra.Writes) > 0 {
		var err error
		if found, err = c.extraApplied(ctx); err != nil {
			return false, err
		}
	}
	if !found {
		if skipped && c.journal.clock.Since(c.started) > c.journal.window/2 {
			return false, &UnresolvedError{c.parts[0].batchID}
		}
		return false, nil
	}
	for _, p := range c.parts {
		if p.results = p.shard.found; p.results == nil {
			// The row is deleted; the records were applied, so the results are
			// those of duplicates.
			p.results = p.shard.state.Clone().Apply(c.batch(p))
		}
		c.journal.records.Add(int64(len(p.records)))
	}
	return true, nil
}

// extraApplied reads back the caller's rows.
func (c *commit) extraApplied(ctx context.Context) (bool, error) {
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

// refusal decides from the last conflict and the current state whether the
// records can be appended at all.
func (c *commit) refusal() error {
	if c.conflict != nil {
		fenced := map[string]bool{}
		var foreign []table.Key
		for _, key := range c.conflict.Keys {
			switch {
			case c.callers(key):
				foreign = append(foreign, key)
			case key.Partition == FencePartition:
				fenced[key.Sort] = true
			}
		}
		c.conflict = nil
		if len(foreign) > 0 {
			return &table.ConflictError{Keys: foreign}
		}
		if len(fenced) > 0 {
			return &fencedError{fenced}
		}
	}
	for _, p := range c.parts {
		if !p.strict {
			continue
		}
		results := p.shard.state.Clone().Apply(c.batch(p))
		for _, r := range results {
			if refused, ok := r.(ledger.Refused); ok {
				p.results = results
				return &RefusedError{Err: refused.Err}
			}
		}
	}
	return nil
}

// callers reports whether the key is one of the caller's rows.
func (c *commit) callers(key table.Key) bool {
	return slices.ContainsFunc(c.extra.Writes, func(w table.Write) bool { return w.Key == key }) ||
		slices.ContainsFunc(c.extra.Checks, func(k table.Check) bool { return k.Key == key })
}

func (c *commit) batch(p *part) ledger.Batch {
	at := c.journal.clock.Now().UTC().Truncate(time.Millisecond)
	return ledger.Batch{Writer: c.journal.writer, BatchID: p.batchID, At: at, Records: p.records}
}

// transaction returns the batches and the transaction that appends them.
func (c *commit) transaction() ([]ledger.Batch, table.Transaction, error) {
	tx := table.Transaction{ID: ulid.Make().String(), Writes: slices.Clone(c.extra.Writes), Checks: slices.Clone(c.extra.Checks)}
	batches := make([]ledger.Batch, len(c.parts))
	holders := map[string]bool{}
	for i, p := range c.parts {
		batches[i] = c.batch(p)
		value, err := ledger.EncodeBatch(batches[i])
		if err != nil {
			return nil, tx, err
		}
		if len(value) > table.MaxValueBytes {
			return nil, tx, &table.InvalidError{Reason: fmt.Sprintf("batch of %d bytes", len(value))}
		}
		tx.Writes = append(tx.Writes, table.Write{Key: p.shard.logKey(p.shard.applied + 1), Expect: table.Absent{}, Value: value})
		tx.Checks = append(tx.Checks, table.Check{Key: p.shard.headKey(), Expect: exactly(p.shard.headVersion)})
		for _, r := range p.records {
			d, ok := r.(ledger.Draw)
			if !ok || holders[d.Holder] {
				continue
			}
			// A fence is written to the shards in which the holder has outstanding
			// amounts; the row keeps it from drawing in the others.
			holders[d.Holder] = true
			key := table.Key{Partition: FencePartition, Sort: d.Holder}
			if !c.callers(key) {
				tx.Checks = append(tx.Checks, table.Check{Key: key, Expect: table.Absent{}})
			}
		}
	}
	if n := len(tx.Writes) + len(tx.Checks); n > table.MaxItems {
		return nil, tx, &table.InvalidError{Reason: fmt.Sprintf("transaction of %d rows", n)}
	}
	return batches, tx, nil
}

func exactly(version uint64) table.Precondition {
	if version == 0 {
		return table.Absent{}
	}
	return table.Exactly{Version: version}
}
