package stream

import (
	"github.com/cespare/xxhash/v2"

	"briarreach/peer"
)

// minGrantBytes is the smallest credit that is worth a message when the Limiter
// is nearly exhausted.
const minGrantBytes = 1024

// Receiver reassembles an answer. With a Limiter (see WithLimiter), it acquires
// the credit that is granted and not yet consumed, since the sender may use it at
// any time.
type Receiver struct {
	options
	window          int
	ring            ring     // bytes of [consumed, creditLimit)
	outOfOrder      []uint64 // bit set of the offsets, modulo window, of bytes that arrived above received; or nil
	outOfOrderCount int      // bits set in outOfOrder
	consumed        int64
	readOffset      int64 // bytes below were returned by Read
	received        int64 // all bytes below have arrived
	highestEnd      int64 // no bytes from here on have arrived
	creditLimit     int64 // credit is granted for the bytes below
	released        int64 // bytes below were released to the Limiter
	digest          xxhash.Digest
	finalLength     int64 // from Finish, or -1
	complete        bool
}

// NewReceiver returns a receiver that grants a credit of window bytes, or of
// fewer when the Limiter is nearly exhausted.
func NewReceiver(window int, opts ...Option) *Receiver {
	r := &Receiver{window: window, finalLength: -1}
	for _, opt := range opts {
		opt(&r.options)
	}
	r.digest.Reset()
	r.creditLimit = r.acquire(int64(window), min(minGrantBytes, int64(window)))
	return r
}

// CreditLimit returns the offset up to which credit is granted. The receiver's
// first message to the sender carries it.
func (r *Receiver) CreditLimit() int64 { return r.creditLimit }

// Accept stores a frame. Bytes that were received before are compared with those
// still stored. The error is a *CreditError for a frame beyond the granted
// credit, or a *ConflictError for bytes that contradict earlier ones; the frame
// then has no effect.
func (r *Receiver) Accept(f peer.Frame) error {
	// Offset plus length could overflow for offsets near the largest one.
	if f.Offset < 0 || f.Offset > r.creditLimit || int64(len(f.Data)) > r.creditLimit-f.Offset {
		return &CreditError{End: f.Offset + int64(len(f.Data)), CreditLimit: r.creditLimit}
	}
	data, offset := f.Data, f.Offset
	end := offset + int64(len(data))
	if r.finalLength >= 0 && end > r.finalLength {
		return &ConflictError{Offset: r.finalLength}
	}
	if offset < r.consumed { // no longer stored
		data = data[min(r.consumed-offset, int64(len(data))):]
		offset = r.consumed
	}
	if len(data) == 0 {
		return nil
	}
	if old := min(end, r.received) - offset; old > 0 {
		if !r.ring.equal(offset, data[:old]) {
			return &ConflictError{Offset: offset}
		}
		data, offset = data[old:], offset+old
	}
	if len(data) == 0 {
		return nil
	}
	if !r.matchesOutOfOrder(offset, data) {
		return &ConflictError{Offset: offset}
	}
	r.ring.resize(r.ring.sizeFor(int(end-r.consumed), r.window), r.consumed, r.highestEnd)
	r.ring.put(offset, data)
	r.highestEnd = max(r.highestEnd, end)
	if offset > r.received {
		r.markOutOfOrder(offset, end)
		return nil
	}
	r.advance(end)
	return nil
}

// matchesOutOfOrder reports whether the bytes match those that arrived out of
// order at the same offsets.
func (r *Receiver) matchesOutOfOrder(offset int64, data []byte) bool {
	if r.outOfOrderCount == 0 {
		return true
	}
	for i, b := range data {
		at := offset + int64(i)
		if at < r.highestEnd && r.isOutOfOrder(at) && r.ring.view(at, 1)[0] != b {
			return false
		}
	}
	return true
}

// advance extends the contiguous prefix to end and past the bytes that follow it
// and arrived out of order.
func (r *Receiver) advance(end int64) {
	from := r.received
	for at := from; r.outOfOrderCount > 0 && at < r.highestEnd; at++ {
		switch {
		case r.isOutOfOrder(at):
			r.outOfOrder[r.bit(at)/64] &^= 1 << (r.bit(at) % 64)
			r.outOfOrderCount--
			end = max(end, at+1)
		case at >= end:
			r.hashUpTo(from, end)
			return
		}
	}
	r.hashUpTo(from, end)
	if r.outOfOrderCount == 0 {
		r.outOfOrder = nil
	}
}

func (r *Receiver) hashUpTo(from, end int64) {
	for from < end {
		part := r.ring.view(from, int(end-from))
		_, _ = r.digest.Write(part)
		from += int64(len(part))
	}
	r.received = end
}

func (r *Receiver) markOutOfOrder(from, end int64) {
	if r.outOfOrder == nil {
		r.outOfOrder = make([]uint64, (r.window+63)/64)
	}
	for at := from; at < end; at++ {
		if !r.isOutOfOrder(at) {
			r.outOfOrder[r.bit(at)/64] |= 1 << (r.bit(at) % 64)
			r.outOfOrderCount++
		}
	}
}

func (r *Receiver) isOutOfOrder(offset int64) bool {
	return r.outOfOrder[r.bit(offset)/64]&(1<<(r.bit(offset)%64)) != 0
}

func (r *Receiver) bit(offset int64) int { return int(offset % int64(r.window)) }

// Read returns up to limit bytes that follow those of the last Read: fewer if
// the ring wraps around, none if nothing has arrived. They are valid until they
// are passed to Consume.
func (r *Receiver) Read(limit int) []byte {
	n := min(int64(limit), r.received-r.readOffset)
	if n <= 0 {
		return nil
	}
	b := r.ring.view(r.readOffset, int(n))
	r.readOffset += int64(len(b))
	return b
}

// Consume marks n more of the bytes that Read returned as passed on. It returns
// a credit message to send when half of the window has become free. When the
// Limiter is exhausted it grants less or nothing; a later Consume(0) then grants
// the rest.
func (r *Receiver) Consume(n int) (peer.Credit, bool) {
	r.consumed = min(r.consumed+int64(n), r.readOffset)
	if r.consumed == r.highestEnd && len(r.ring.data) > maxIdleRingBytes {
		r.ring.data = nil
	}
	r.release(r.consumed - r.released)
	r.released = r.consumed
	missing := r.consumed + int64(r.window) - r.creditLimit
	if r.complete || missing < int64(r.window+1)/2 {
		return peer.Credit{}, false
	}
	got := r.acquire(missing, min(minGrantBytes, missing))
	if got == 0 {
		return peer.Credit{}, false
	}
	r.creditLimit += got
	return peer.Credit{Offset: r.consumed, Limit: r.creditLimit}, true
}

// Finish compares the received bytes with the sender's length and checksum. The
// error is an *IncompleteError, after which the answer may be resumed, a
// *ConflictError if more bytes were received, or a *ChecksumError.
func (r *Receiver) Finish(length int64, checksum uint64) error {
	switch {
	case r.highestEnd > length || r.finalLength >= 0 && r.finalLength != length:
		return &ConflictError{Offset: length}
	case r.received < length:
		r.finalLength = length
		return &IncompleteError{Received: r.received, Length: length}
	case r.digest.Sum64() != checksum:
		return &ChecksumError{Received: r.digest.Sum64(), Sent: checksum}
	}
	r.finalLength = length
	r.complete = true
	return nil
}

// IsComplete reports whether Finish has found the answer complete.
func (r *Receiver) IsComplete() bool { return r.complete }

// ResumeOffset returns the offset at which to resume: all bytes below have
// arrived.
func (r *Receiver) ResumeOffset() int64 { return r.received }

// Buffered returns the number of bytes that have arrived and are not consumed.
func (r *Receiver) Buffered() int { return int(r.received-r.consumed) + r.outOfOrderCount }

// Close frees the buffer and releases the credit that is not consumed.
func (r *Receiver) Close() {
	r.release(r.creditLimit - r.released)
	r.consumed, r.readOffset, r.received, r.highestEnd = r.creditLimit, r.creditLimit, r.creditLimit, r.creditLimit
	r.released = r.creditLimit
	r.ring.data, r.outOfOrder, r.outOfOrderCount = nil, nil, 0
}
