package stream

import "fmt"

// GapError reports that an answer cannot be resumed, because the bytes from
// Offset up to KeptFrom are no longer kept.
type GapError struct{ Offset, KeptFrom int64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("stream: cannot resume at offset %d: bytes are kept from %d on", e.Offset, e.KeptFrom)
}

// OffsetError reports that the peer sent an offset or a credit limit that does
// not match the bytes sent.
type OffsetError struct{ Offset, CreditLimit, Sent int64 }

func (e *OffsetError) Error() string {
	return fmt.Sprintf("stream: offset %d with limit %d does not fit %d bytes sent", e.Offset, e.CreditLimit, e.Sent)
}

// CreditError reports a frame that exceeds the granted credit.
type CreditError struct{ End, CreditLimit int64 }

func (e *CreditError) Error() string {
	return fmt.Sprintf("stream: frame ends at %d, credit at %d", e.End, e.CreditLimit)
}

// ConflictError reports that bytes received from Offset on contradict bytes or
// a length received earlier.
type ConflictError struct{ Offset int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("stream: contradicting bytes from offset %d on", e.Offset)
}

// IncompleteError reports that an answer ended before all of its bytes arrived.
type IncompleteError struct{ Received, Length int64 }

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("stream: %d of %d bytes received", e.Received, e.Length)
}

// ChecksumError reports that an answer's bytes differ from those that were sent.
type ChecksumError struct{ Received, Sent uint64 }

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("stream: checksum %016x, want %016x", e.Received, e.Sent)
}

// LimiterFullError reports that a Limiter has fewer than Wanted bytes left.
type LimiterFullError struct{ Wanted, Used, Limit int64 }

func (e *LimiterFullError) Error() string {
	return fmt.Sprintf("stream: no room for %d bytes: %d of %d in use", e.Wanted, e.Used, e.Limit)
}
