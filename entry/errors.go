package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"briarreach/budget"
	"briarreach/caller"
	"briarreach/peer"
	"briarreach/table"
)

// NotReadyError reports why the entry accepts no requests.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "entry is not ready: " + e.Reason }

// RefusedError reports that an agent refused a dispatch.
type RefusedError struct{ Refusal peer.Refusal }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("agent refused the dispatch: %s (%s)", e.Refusal.Reason, e.Refusal.Execution)
}

// UnexpectedMessageError reports a message that does not fit the state of a
// stream.
type UnexpectedMessageError struct{ Message any }

func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected message %T", e.Message)
}

// IncompleteError reports an answer that ended before it was complete.
type IncompleteError struct {
	Reason    string
	Execution peer.Execution
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("answer is incomplete: %s (%s)", e.Reason, e.Execution)
}

// TooManyRequestsError reports that the limit on open requests is reached.
type TooManyRequestsError struct{ Max int }

func (e *TooManyRequestsError) Error() string {
	return fmt.Sprintf("%d requests are open already", e.Max)
}

// tableRefusal is the reply to a request that needs the table while it is
// unavailable.
func tableRefusal(err error) *caller.Error {
	refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.PlatformUnavailable, "the table service can't be reached: %v", err)
	refusal.RetryAfter = time.Second
	return refusal
}

func budgetRefusal(err error) *caller.Error {
	var exhausted *budget.ExhaustedError
	if errors.As(err, &exhausted) {
		return caller.NewRefusal(http.StatusPaymentRequired, caller.BudgetExhausted, "%v", err)
	}
	refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.BudgetUnavailable, "%v", err)
	refusal.RetryAfter = time.Second
	return refusal
}

// isTableUnavailable reports whether err means that the table is unavailable for
// now.
func isTableUnavailable(err error) bool {
	var unavailable *table.UnavailableError
	var throttled *table.ThrottledError
	var ambiguous *table.AmbiguousError
	return errors.As(err, &unavailable) || errors.As(err, &throttled) || errors.As(err, &ambiguous)
}
