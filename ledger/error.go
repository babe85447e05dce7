package ledger

import (
	"errors"
	"fmt"
	"time"
)

// UnknownBudgetError reports a record for a budget that was never opened.
type UnknownBudgetError struct{ Budget string }

func (e *UnknownBudgetError) Error() string { return fmt.Sprintf("unknown budget %q", e.Budget) }

// BudgetExistsError reports an OpenBudget for a budget that another patch has
// opened.
type BudgetExistsError struct{ Budget, PatchID string }

func (e *BudgetExistsError) Error() string {
	return fmt.Sprintf("budget %q was opened by patch %q", e.Budget, e.PatchID)
}

// FencedError reports a draw or a return by a fenced holder.
type FencedError struct{ Holder string }

func (e *FencedError) Error() string { return fmt.Sprintf("holder %q is fenced", e.Holder) }

// NotFencedError reports a Release of a holder that is not fenced.
type NotFencedError struct{ Holder string }

func (e *NotFencedError) Error() string { return fmt.Sprintf("holder %q is not fenced", e.Holder) }

// OverdrawnError reports a bill or a return that exceeds the holder's
// outstanding amount.
type OverdrawnError struct {
	Budget, Holder      string
	Amount, Outstanding int64
}

func (e *OverdrawnError) Error() string {
	return fmt.Sprintf("holder %q has %d outstanding in budget %q, less than %d", e.Holder, e.Outstanding, e.Budget, e.Amount)
}

// ExpiredBillError reports a bill older than the bill window whose identity is
// not remembered, so that it may have been billed before.
type ExpiredBillError struct {
	Identity       Identity
	At             time.Time
	OldestAccepted time.Time // bills from this time on are accepted
}

func (e *ExpiredBillError) Error() string {
	return fmt.Sprintf("bill %s of %s is older than %s", e.Identity, e.At.Format(time.RFC3339), e.OldestAccepted.Format(time.RFC3339))
}

// InvalidRecordError reports a record with a value out of range.
type InvalidRecordError struct{ Field, Reason string }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("invalid record: %s %s", e.Field, e.Reason)
}

// DecodeError reports a batch or a state that can't be decoded.
type DecodeError struct{ Err error }

func (e *DecodeError) Error() string { return fmt.Sprintf("ledger decoding: %v", e.Err) }
func (e *DecodeError) Unwrap() error { return e.Err }

// UnknownKindError reports a record kind that this version does not support.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown record kind %q", e.Kind) }

// NotAppendedError is the refusal of a record that was definitely not appended
// to the log. It is returned by writers of the log, never by State.Apply.
type NotAppendedError struct{ Err error }

func (e *NotAppendedError) Error() string { return fmt.Sprintf("record not appended: %v", e.Err) }
func (e *NotAppendedError) Unwrap() error { return e.Err }

// IsNotAppended reports whether err is a *NotAppendedError.
func IsNotAppended(err error) bool {
	_, ok := errors.AsType[*NotAppendedError](err)
	return ok
}
