// Package table is the client of the platform's table service.
//
// Rows are addressed by partition and sort key and have a version, which starts
// at 1 and is incremented by each write except one that expects Any. A transaction
// applies all of its writes or none.
package table

import (
	"context"
	"fmt"
	"strings"
)

// MaxTransactionRows is the maximum number of rows that one transaction writes or
// checks, a limit of the table service's API like those in client.go.
const MaxTransactionRows = 100

// MaxValueBytes is the maximum size of a row's value.
const MaxValueBytes = 380 * 1024

// Key addresses a row.
type Key struct {
	Partition string
	Sort      string
}

// String returns the key in the form "partition/sort".
func (k Key) String() string { return k.Partition + "/" + k.Sort }

// Row is a stored value. Version is 0 when the row does not exist.
type Row struct {
	Key
	Version uint64
	Value   []byte
}

// Precondition is the state of a row that a write or a check requires before the
// transaction. It is one of Any, Absent and Exactly.
type Precondition interface{ precondition() }

type (
	// Any accepts every state of the row.
	Any struct{}
	// Absent requires that the row does not exist.
	Absent struct{}
	// Exactly requires the given version.
	Exactly struct{ Version uint64 }
)

func (Any) precondition()     {}
func (Absent) precondition()  {}
func (Exactly) precondition() {}

// Write sets the value of a row, or deletes the row if Value is nil. A write that
// expects Any resets the row's version to 1.
type Write struct {
	Key
	Expect Precondition
	Value  []byte
}

// Check requires a state of a row without writing it.
type Check struct {
	Key
	Expect Precondition
}

// Transaction is a set of writes and checks that is applied as a whole. ID
// identifies the transaction: the service applies an ID once.
type Transaction struct {
	ID     string
	Writes []Write
	Checks []Check
}

// Store reads and writes rows. All reads are strongly consistent.
type Store interface {
	// Get returns one row for each key, in the order of the keys.
	Get(ctx context.Context, keys ...Key) ([]Row, error)
	// Query returns up to limit rows of a partition whose sort key is greater
	// than after, in ascending order, and fewer only if there are no more.
	Query(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Commit applies the transaction. It fails with *ConflictError,
	// *UnavailableError, *ThrottledError, *AmbiguousError or *InvalidError.
	Commit(ctx context.Context, tx Transaction) error
}

// ConflictError reports that rows were not in the expected state. Nothing was
// applied.
type ConflictError struct{ Keys []Key }

func (e *ConflictError) Error() string {
	names := make([]string, len(e.Keys))
	for i, k := range e.Keys {
		names[i] = k.String()
	}
	return "conflict on rows " + strings.Join(names, ", ")
}

// UnavailableError reports that the service was not reached or did not execute
// the call. Nothing was applied.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("table unavailable: %v", e.Err) }
func (e *UnavailableError) Unwrap() error { return e.Err }

// ThrottledError reports that the service refused the call because of its rate
// limit, left keys of a batch read unprocessed, or cancelled a transaction at each
// attempt because it collided with others. Nothing was applied.
type ThrottledError struct{ Err error }

func (e *ThrottledError) Error() string { return fmt.Sprintf("table throttled: %v", e.Err) }
func (e *ThrottledError) Unwrap() error { return e.Err }

// AmbiguousError reports that the response was lost: the transaction may have
// been applied. The caller must read the rows to find out.
type AmbiguousError struct{ Err error }

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("table write outcome unknown: %v", e.Err)
}
func (e *AmbiguousError) Unwrap() error { return e.Err }

// InvalidError reports a transaction, key or query that the service can't accept,
// for example a transaction with too many rows, or an option of New out of range.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid table request: " + e.Reason }
