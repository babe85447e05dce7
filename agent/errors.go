package agent

import (
	"fmt"
	"time"
)

// StalledError reports an answer that ended because the reader consumed nothing
// for Timeout.
type StalledError struct{ Timeout time.Duration }

func (e *StalledError) Error() string {
	return fmt.Sprintf("reader made no progress for %v", e.Timeout)
}

// CancelledError reports an attempt that was cancelled.
type CancelledError struct{ Err error }

func (e *CancelledError) Error() string { return fmt.Sprintf("attempt cancelled: %v", e.Err) }
func (e *CancelledError) Unwrap() error { return e.Err }

// HolderFencedError is the cause of a cancellation when the holder of the
// attempt's grant was fenced.
type HolderFencedError struct{ Holder string }

func (e *HolderFencedError) Error() string { return "holder " + e.Holder + " is fenced" }

// CallerDisconnectedError is the cause of a cancellation that the entry asked
// for, because its caller disconnected. Its text is sent to the entry in
// peer.Final.Reason.
type CallerDisconnectedError struct{}

func (*CallerDisconnectedError) Error() string { return "caller has gone" }

// EntryDisconnectedError is the cause of a cancellation when the stream of the
// entry ended and was not resumed within resumeTimeout. Its text is sent to the
// entry in peer.Final.Reason.
type EntryDisconnectedError struct{}

func (*EntryDisconnectedError) Error() string { return "entry has gone" }

// UnexpectedMessageError reports a message that does not fit the state of a
// stream.
type UnexpectedMessageError struct{ Message any }

func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected message %T", e.Message)
}

// DrainTimeoutError reports attempts that were still running when the time for
// a graceful shutdown ended.
type DrainTimeoutError struct{ Running int }

func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("%d attempts still running at the drain timeout", e.Running)
}
