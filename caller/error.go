package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"briarreach/peer"
)

// ErrorType is the type of an error in its JSON body.
type ErrorType string

// Types of errors that callers receive.
const (
	InvalidRequest       ErrorType = "invalid_request"
	Unauthorized         ErrorType = "unauthorized"
	UnknownModel         ErrorType = "unknown_model"
	UnknownService       ErrorType = "unknown_service"
	UnknownRoute         ErrorType = "unknown_route"
	TooLarge             ErrorType = "too_large"
	IdempotencyKeyReused ErrorType = "idempotency_key_reused"
	AlreadyRan           ErrorType = "already_ran"
	InProgress           ErrorType = "in_progress"
	BudgetExhausted      ErrorType = "budget_exhausted"
	BudgetUnavailable    ErrorType = "budget_unavailable"
	Overloaded           ErrorType = "overloaded"
	NoTarget             ErrorType = "no_target"
	PlatformUnavailable  ErrorType = "platform_unavailable"
	NotReady             ErrorType = "not_ready"
	TargetFailed         ErrorType = "target_failed"
	IncompleteAnswer     ErrorType = "incomplete_answer"
	OutcomeUnknown       ErrorType = "outcome_unknown"
)

// Error is an error response to the caller. Execution says whether the request
// ran. With RetryAfter 0 no Retry-After header is sent. The server sets
// RequestID.
type Error struct {
	Status     int
	Type       ErrorType
	Message    string
	Execution  peer.Execution
	RequestID  string
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Type, e.Execution, e.Message)
}

// NewRefusal returns an error for a request that did not run.
func NewRefusal(status int, kind ErrorType, format string, args ...any) *Error {
	return &Error{Status: status, Type: kind, Message: fmt.Sprintf(format, args...), Execution: peer.ExecutionNotRun}
}

// NewFailure returns an error with the given execution.
func NewFailure(status int, kind ErrorType, execution peer.Execution, format string, args ...any) *Error {
	return &Error{Status: status, Type: kind, Message: fmt.Sprintf(format, args...), Execution: execution}
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type      ErrorType      `json:"type"`
	Message   string         `json:"message"`
	Execution peer.Execution `json:"execution"`
	RequestID string         `json:"request_id,omitempty"`
}

// JSON returns the body of the response.
func (e *Error) JSON() []byte {
	body, err := json.Marshal(errorBody{Error: errorFields{
		Type: e.Type, Message: e.Message, Execution: e.Execution, RequestID: e.RequestID,
	}})
	if err != nil {
		return []byte(`{"error":{"type":"internal","execution":"unknown"}}`)
	}
	return body
}

func (e *Error) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if e.Status == http.StatusUnauthorized {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	ctx.SetBody(e.JSON())
}
