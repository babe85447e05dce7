package shardlog

import (
	"fmt"

	"briarreach/ledger"
)

// QueueFullError reports that the bound on queued records is reached.
type QueueFullError struct{ Limit int }

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("journal: %d records are waiting already", e.Limit)
}

// ClosedError reports a call after Close, or a record that was not appended
// before Close ended.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "journal is closed" }

// UnfinishedError reports that the context ended before the result of a record
// was known. A record that was not Withdrawn may still be appended.
type UnfinishedError struct {
	Withdrawn bool
	Err       error
}

func (e *UnfinishedError) Error() string {
	if e.Withdrawn {
		return fmt.Sprintf("record withdrawn before it was appended: %v", e.Err)
	}
	return fmt.Sprintf("record may still be appended: %v", e.Err)
}

func (e *UnfinishedError) Unwrap() error { return e.Err }

// RefusedError reports that the ledger would refuse at least one record of a
// transaction, so that nothing was written. Err is the first refusal.
type RefusedError struct {
	Results []ledger.Result
	Err     error
}

func (e *RefusedError) Error() string { return fmt.Sprintf("transaction refused: %v", e.Err) }
func (e *RefusedError) Unwrap() error { return e.Err }

// UnresolvedError reports a record whose batch got no response and whose log row
// was deleted before it could be read back, too long ago for the ledger to
// remember the record's identifier. It may have been applied.
type UnresolvedError struct{ BatchID string }

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of batch %s can no longer be found out", e.BatchID)
}

// CorruptError reports rows that contradict each other.
type CorruptError struct {
	Shard  int
	Reason string
}

func (e *CorruptError) Error() string { return fmt.Sprintf("ledger shard %d: %s", e.Shard, e.Reason) }

// ShardCountError reports a number of shards out of range.
type ShardCountError struct{ Shards int }

func (e *ShardCountError) Error() string {
	return fmt.Sprintf("%d ledger shards: want 1 to 4096", e.Shards)
}

// fencedError reports that a batch contains draws of fenced holders.
type fencedError struct{ holders map[string]bool }

func (e *fencedError) Error() string { return fmt.Sprintf("fenced holders: %v", e.holders) }
