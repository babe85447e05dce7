package peer

import (
	"fmt"
	"net/netip"
)

// NotDeliveredError says that the other process has read nothing of an
// exchange: there was no connection or stream, or the other process refused
// either unread.
type NotDeliveredError struct {
	Address netip.AddrPort
	Err     error
}

func (e *NotDeliveredError) Error() string {
	return fmt.Sprintf("peer: no stream to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotDeliveredError) Unwrap() error { return e.Err }

// StreamError says that a stream failed. Messages sent on it before may or may
// not have been delivered.
type StreamError struct {
	Address    netip.AddrPort
	Generation uint64 // of the connection, for Endpoint.Drop
	Err        error
}

func (e *StreamError) Error() string { return fmt.Sprintf("peer: stream to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Err }

// ReceiveTimeoutError says that nothing was received before the receive
// deadline. The stream stays usable after a later deadline is set.
type ReceiveTimeoutError struct {
	Address    netip.AddrPort
	Generation uint64 // of the connection, for Endpoint.Drop
}

func (e *ReceiveTimeoutError) Error() string {
	return fmt.Sprintf("peer: stream to %s is silent", e.Address)
}

// Timeout reports that the error is a timeout, as in net.Error.
func (e *ReceiveTimeoutError) Timeout() bool { return true }

// ProtocolError says that a message is malformed, too large or of an unknown
// kind. The stream it was received on has been aborted.
type ProtocolError struct {
	Kind   string // empty when the kind is not known
	Reason string
	Err    error // cause, or nil
}

func (e *ProtocolError) Error() string {
	text := "peer: message"
	if e.Kind != "" {
		text = fmt.Sprintf("peer: message %q", e.Kind)
	}
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", text, e.Reason, e.Err)
	}
	return text + ": " + e.Reason
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Err }

// CredentialsError says that certificates or keys cannot be used.
type CredentialsError struct {
	Reason string
	Err    error // cause, or nil
}

func (e *CredentialsError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("peer: credentials: %s: %v", e.Reason, e.Err)
	}
	return "peer: credentials: " + e.Reason
}

// Unwrap returns the cause.
func (e *CredentialsError) Unwrap() error { return e.Err }

// ClosedError says that the endpoint has been closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "peer: endpoint is closed" }

// BufferLimitError says that buffering Requested more bytes of a message would
// exceed Limit, the limit of the endpoint's receive buffers together.
type BufferLimitError struct{ Requested, Limit int64 }

func (e *BufferLimitError) Error() string {
	return fmt.Sprintf("peer: no room for %d bytes of a message, at most %d", e.Requested, e.Limit)
}
