package table

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// MalformedError reports an answer of the service that doesn't have the form
// of its API.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed answer: " + e.Reason }

// collisionError reports a transaction that was cancelled because another one
// was writing the same rows.
type collisionError struct{ err error }

func (e *collisionError) Error() string { return e.err.Error() }
func (e *collisionError) Unwrap() error { return e.err }

// apiError is an error in the form of the service's API.
type apiError interface {
	error
	ErrorCode() string
}

// refusal maps an error by which the service says that it has not executed the
// request. It returns nil if err says no such thing.
func refusal(err error) error {
	var api apiError
	if !errors.As(err, &api) {
		return nil
	}
	switch api.ErrorCode() {
	case "ThrottlingException", "ProvisionedThroughputExceededException", "RequestLimitExceeded", "LimitExceededException":
		return &ThrottledError{Err: err}
	case "ValidationException", "IdempotentParameterMismatchException", "SerializationException":
		return &InvalidError{Reason: err.Error()}
	case "", "UnknownError", "TransactionInProgressException":
		return nil
	}
	var status interface{ HTTPStatusCode() int }
	if errors.As(err, &status) && status.HTTPStatusCode()/100 == 4 {
		return &UnavailableError{Err: err}
	}
	return nil
}

func readError(err error) error {
	if refused := refusal(err); refused != nil {
		return refused
	}
	return &UnavailableError{Err: err}
}

// commitError maps the error of a transaction. Server errors (5xx) are
// ambiguous, because the API doesn't exclude that the write took effect. So is
// TransactionInProgressException: the transaction sent earlier with the same
// identifier is still being applied.
func commitError(err error, keys []Key, sent bool) error {
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancellation(cancelled, err, keys)
	}
	if refused := refusal(err); refused != nil {
		return refused
	}
	if !sent {
		return &UnavailableError{Err: err}
	}
	return &AmbiguousError{Err: err}
}

func cancellation(cancelled *types.TransactionCanceledException, err error, keys []Key) error {
	var conflicts []Key
	var throttled, collided bool
	for i, reason := range cancelled.CancellationReasons {
		if reason.Code == nil {
			continue
		}
		switch *reason.Code {
		case "ConditionalCheckFailed":
			if i < len(keys) {
				conflicts = append(conflicts, keys[i])
			}
		case "TransactionConflict":
			collided = true
		case "ThrottlingError", "ProvisionedThroughputExceeded":
			throttled = true
		case "ValidationError", "ItemCollectionSizeLimitExceeded":
			return &InvalidError{Reason: err.Error()}
		}
	}
	switch {
	case len(conflicts) > 0:
		return &ConflictError{Keys: conflicts}
	case throttled:
		return &ThrottledError{Err: err}
	case collided:
		return &collisionError{err: err}
	default:
		// A cancelled transaction was not applied, whatever the reason.
		return &UnavailableError{Err: fmt.Errorf("cancelled for another reason: %w", err)}
	}
}

// countingConn counts the calls of Write, so that a failed request of which no
// byte left the process can be told from others.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// writeTrace records the connections that a request used.
type writeTrace struct {
	mu     sync.Mutex
	marks  []writeMark
	opaque bool // a connection whose writes are not counted
}

type writeMark struct {
	conn  *countingConn
	start int64
}

// traceWrites returns a context under which the connections of an HTTP request
// are recorded.
func traceWrites(ctx context.Context) (context.Context, *writeTrace) {
	t := &writeTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

func (t *writeTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	counting, ok := conn.(*countingConn)
	if !ok {
		t.opaque = true
		return
	}
	t.marks = append(t.marks, writeMark{conn: counting, start: counting.writes.Load()})
}

// any reports whether a byte of the request may have left the process. The
// transport waits for a connection's writer before it returns an error, so no
// write follows.
func (t *writeTrace) any() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.marks {
		if m.conn.writes.Load() != m.start {
			return true
		}
	}
	return t.opaque
}
