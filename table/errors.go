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

// MalformedError reports a response of the service that doesn't conform to its
// API. Inside a *ThrottledError it reports keys that the service returned as
// unprocessed, which does conform.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed answer: " + e.Reason }

// collisionError reports a transaction that was cancelled because another one
// was writing the same rows.
type collisionError struct{ err error }

func (e *collisionError) Error() string { return e.err.Error() }
func (e *collisionError) Unwrap() error { return e.err }

// apiError is an error with a code of the service's API.
type apiError interface {
	error
	ErrorCode() string
}

// definiteError maps an error with which the service reports that it has not
// executed the request. It returns nil for other errors.
func definiteError(err error) error {
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
	if refused := definiteError(err); refused != nil {
		return refused
	}
	return &UnavailableError{Err: err}
}

// commitError maps the error of a transaction. sent reports whether the request
// may have been sent. Server errors (5xx) are ambiguous, because the API doesn't
// exclude that the write took effect. So is TransactionInProgressException: the
// transaction sent earlier with the same identifier is still being applied.
func commitError(err error, keys []Key, sent bool) error {
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancellationError(cancelled, err, keys)
	}
	if refused := definiteError(err); refused != nil {
		return refused
	}
	if !sent {
		return &UnavailableError{Err: err}
	}
	return &AmbiguousError{Err: err}
}

func cancellationError(cancelled *types.TransactionCanceledException, err error, keys []Key) error {
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

// writeCountingConn counts the calls of Write, to detect failed requests of which
// no byte was sent.
type writeCountingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *writeCountingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// connectionTrace records the connections that a request used. It is safe for
// concurrent use.
type connectionTrace struct {
	mu        sync.Mutex
	uses      []connectionUse
	uncounted bool // a connection of another type was used
}

type connectionUse struct {
	conn         *writeCountingConn
	writesBefore int64
}

// traceWrites returns a context that records the connections of an HTTP request
// in the returned trace.
func traceWrites(ctx context.Context) (context.Context, *connectionTrace) {
	t := &connectionTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

func (t *connectionTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	counting, ok := conn.(*writeCountingConn)
	if !ok {
		t.uncounted = true
		return
	}
	t.uses = append(t.uses, connectionUse{conn: counting, writesBefore: counting.writes.Load()})
}

// mayHaveSent reports whether a byte of the request may have been sent. The
// transport waits for a connection's writer before it returns an error, so no
// write follows.
func (t *connectionTrace) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, use := range t.uses {
		if use.conn.writes.Load() != use.writesBefore {
			return true
		}
	}
	return t.uncounted
}
