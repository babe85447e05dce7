// Package stream transfers an answer as frames with credit-based flow control.
// A transfer can be resumed on another connection, and an answer with a missing
// part is never taken for complete. The package does no I/O. A Sender or
// Receiver must not be used by several goroutines at the same time.
package stream

import (
	"github.com/cespare/xxhash/v2"

	"briarreach/peer"
)

// Option configures a Sender or a Receiver.
type Option func(*options)

type options struct{ limiter *Limiter }

// WithLimiter sets the process-wide limiter of buffered bytes. Close releases
// what was acquired from it.
func WithLimiter(l *Limiter) Option { return func(o *options) { o.limiter = l } }

func (o *options) acquire(n, minimum int64) int64 {
	if o.limiter == nil || n <= 0 {
		return max(n, 0)
	}
	return o.limiter.AcquireUpTo(n, minimum)
}

func (o *options) release(n int64) {
	if o.limiter != nil {
		o.limiter.Release(n)
	}
}

// Sender sends an answer and keeps the part that the receiver has not consumed.
// With a Limiter (see WithLimiter), it acquires the capacity of its buffer.
type Sender struct {
	options
	maxBuffered  int
	ring         ring  // bytes of [acknowledged, written)
	acknowledged int64 // the receiver has all bytes below; they are no longer kept
	next         int64 // offset of the next frame
	sent         int64 // bytes below have been sent at least once
	written      int64
	creditLimit  int64 // frames must not extend beyond
	digest       xxhash.Digest
	finished     bool
	closed       bool
}

// NewSender returns a sender that keeps at most maxBuffered bytes. It has no
// credit.
func NewSender(maxBuffered int, opts ...Option) *Sender {
	s := &Sender{maxBuffered: maxBuffered}
	for _, opt := range opts {
		opt(&s.options)
	}
	s.digest.Reset()
	return s
}

// Write appends bytes to the answer and returns how many were accepted: fewer
// than given when the buffer is full or the Limiter exhausted, none after
// Finish.
func (s *Sender) Write(b []byte) int {
	b = b[:min(len(b), s.Available())]
	if s.finished || s.closed || len(b) == 0 {
		return 0
	}
	if size := s.ring.sizeFor(s.Buffered()+len(b), s.maxBuffered); size > len(s.ring.data) {
		if more := int64(size - len(s.ring.data)); s.acquire(more, more) < more {
			b = b[:min(len(b), len(s.ring.data)-s.Buffered())]
		} else {
			s.ring.resize(size, s.acknowledged, s.written)
		}
	}
	s.ring.put(s.written, b)
	_, _ = s.digest.Write(b)
	s.written += int64(len(b))
	return len(b)
}

// Next returns the next frame of at most maxFrame bytes within the credit, or
// false if there is none. The frame's data is valid until it is acknowledged.
func (s *Sender) Next(maxFrame int) (peer.Frame, bool) {
	n := min(int64(maxFrame), min(s.creditLimit, s.written)-s.next)
	if n <= 0 {
		return peer.Frame{}, false
	}
	f := peer.Frame{Offset: s.next, Data: s.ring.view(s.next, int(n))}
	s.next += int64(len(f.Data))
	s.sent = max(s.sent, s.next)
	return f, true
}

// Acknowledge frees the bytes below offset, which the receiver has consumed,
// and extends the credit to limit. An acknowledgement that arrives after a
// newer one has no effect. The error is an *OffsetError.
func (s *Sender) Acknowledge(offset, limit int64) error {
	if offset < 0 || offset > s.sent || limit < offset {
		return &OffsetError{Offset: offset, CreditLimit: limit, Sent: s.sent}
	}
	s.creditLimit = max(s.creditLimit, limit)
	s.freeBelow(offset)
	return nil
}

// Resume continues sending at offset, up to which the receiver has all bytes,
// with the credit limit. The error is a *GapError if bytes from offset on are no
// longer kept, or an *OffsetError if they were never sent; the sender is then
// unchanged.
func (s *Sender) Resume(offset, limit int64) error {
	switch {
	case offset >= 0 && (offset < s.acknowledged || s.closed):
		return &GapError{Offset: offset, KeptFrom: s.acknowledged}
	case offset < 0 || offset > s.sent || limit < offset:
		return &OffsetError{Offset: offset, CreditLimit: limit, Sent: s.sent}
	}
	s.freeBelow(offset)
	s.next, s.creditLimit = offset, limit
	return nil
}

func (s *Sender) freeBelow(offset int64) {
	if offset <= s.acknowledged {
		return
	}
	s.acknowledged = offset
	s.next = max(s.next, offset)
	if s.acknowledged == s.written && len(s.ring.data) > maxIdleRingBytes {
		s.freeRing()
	}
}

// Finish marks the answer as ended after the bytes written so far.
func (s *Sender) Finish() { s.finished = true }

// Blocked reports whether bytes wait for credit.
func (s *Sender) Blocked() bool { return s.next < s.written && s.next >= s.creditLimit }

// Done reports whether the answer is finished and all of it has been sent since
// the last Resume, so that the end of the answer may be sent.
func (s *Sender) Done() bool { return s.finished && !s.closed && s.next == s.written }

// Length returns the number of bytes written.
func (s *Sender) Length() int64 { return s.written }

// Checksum returns the xxHash64 of the bytes written.
func (s *Sender) Checksum() uint64 { return s.digest.Sum64() }

// Buffered returns the number of bytes kept.
func (s *Sender) Buffered() int { return int(s.written - s.acknowledged) }

// Available returns how many more bytes the buffer can hold.
func (s *Sender) Available() int { return s.maxBuffered - s.Buffered() }

// Close frees the buffer. Nothing can be written, sent or resumed afterwards.
func (s *Sender) Close() {
	s.freeRing()
	s.closed = true
	s.acknowledged, s.next = s.written, s.written
}

func (s *Sender) freeRing() {
	s.release(int64(len(s.ring.data)))
	s.ring.data = nil
}
