// Package rowstore is the interface to the platform's store of versioned rows.
package rowstore

import (
	"context"
	"fmt"
	"time"
)

// Key identifies a row.
type Key struct {
	Table string
	Part  string // partition of the table; a transaction is limited to one
	Name  string
}

// Row is a row and the version of the transaction that wrote it. Version 0
// stands for a row that does not exist.
type Row struct {
	Key     Key
	Value   []byte
	Version uint64
	Deleted bool // only in the responses to Changes
}

// Page is the response to a read: a consistent snapshot of rows.
type Page struct {
	Rows       []Row
	Era        uint64        // of the store
	Version    uint64        // newest version in the store
	Time       time.Duration // of the store's monotonic clock
	AnsweredAt time.Time     // when the response, or the first of several, began to arrive
}

// Tx is a transaction on rows of one part. Expect holds the versions that rows
// must have; version 0 means that the row must not exist.
type Tx struct {
	Expect []Row
	Put    []Row
	Delete []Key
}

// Committed is the result of a committed transaction.
type Committed struct {
	Era     uint64
	Version uint64
	Time    time.Duration // of the store's monotonic clock
}

// Store is the platform's store. Its versions rise only within an era: a new one
// begins when the store is restored from a copy. What was written after the copy
// is gone, however it was acknowledged, and the versions after that of the copy
// are used again. Era 0 is that of a store that states none.
//
// Every call is bounded by its context and the
// client's own timeout.
type Store interface {
	// List returns all rows of a part.
	List(ctx context.Context, table, part string) (Page, error)
	// Changes waits for rows of a table that changed after a version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, tx Tx) (Committed, error)
}

// ConflictError reports that a row did not have the expected version. Nothing
// was changed. Current holds the current rows of Tx.Expect.
type ConflictError struct {
	Current []Row
	Era     uint64
	Version uint64
	Time    time.Duration // of the store's monotonic clock
}

func (e *ConflictError) Error() string { return "a row does not have the expected version" }

// HistoryLostError reports that the store does not have the changes after a
// version: it no longer keeps them, or it was restored and does not have the
// version. The reader must list the rows again.
type HistoryLostError struct{ After uint64 }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store does not have the changes after version %d", e.After)
}

// RefusedError reports that the store refused a call. Nothing was changed.
type RefusedError struct {
	Status int
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refused the call: status %d: %s", e.Status, e.Detail)
}

// UnknownError reports that a call got no response: its transaction may have
// been applied, or may still be.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string { return "no answer from the store: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }
