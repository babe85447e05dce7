package peer

import (
	"fmt"
	"net/netip"
)

// DialError says that nothing of an exchange was handed to the other process:
// there was no connection, or the other process refused the stream unread.
type DialError struct {
	Address netip.AddrPort
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("peer: no stream to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// StreamError says that a stream broke. What was sent on it before may or may
// not have been delivered.
type StreamError struct {
	Address    netip.AddrPort
	Generation uint64 // of the connection, for Endpoint.Drop
	Err        error
}

func (e *StreamError) Error() string { return fmt.Sprintf("peer: stream to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Err }

// SilentError says that nothing was received before the receive deadline. The
// stream stays usable after a later deadline is set.
type SilentError struct {
	Address    netip.AddrPort
	Generation uint64 // of the connection, for Endpoint.Drop
}

func (e *SilentError) Error() string { return fmt.Sprintf("peer: stream to %s is silent", e.Address) }

// Timeout reports that the error is a timeout, as net.Error has it.
func (e *SilentError) Timeout() bool { return true }

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

// FullError says that the messages that are being received leave no room for
// Wanted more bytes.
type FullError struct{ Wanted, Max int64 }

func (e *FullError) Error() string {
	return fmt.Sprintf("peer: no room for %d bytes of a message, at most %d", e.Wanted, e.Max)
}
