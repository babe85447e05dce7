// Package stream transfers an answer as frames under credit, so that it can be
// resumed on another connection and is never taken for complete when a part is
// missing. It does no I/O; a Sender or Receiver is for one goroutine at a time.
package stream

import (
	"github.com/cespare/xxhash/v2"

	"briarreach/peer"
)

// Option configures a Sender or a Receiver.
type Option func(*options)

type options struct{ limiter *Limiter }

// WithLimiter makes the process-wide bound apply. Close gives back what is
// taken from it.
func WithLimiter(l *Limiter) Option { return func(o *options) { o.limiter = l } }

func (o *options) acquire(n, least int64) int64 {
	if o.limiter == nil || n <= 0 {
		return max(n, 0)
	}
	return o.limiter.AcquireUpTo(n, least)
}

func (o *options) release(n int64) {
	if o.limiter != nil {
		o.limiter.Release(n)
	}
}

// Sender keeps the tail of an answer that the receiver has not consumed. With a
// Limiter, it counts the storage that it has allocated.
type Sender struct {
	options
	limit    int
	ring     ring
	base     int64 // the receiver has all bytes below
	next     int64 // of the next frame
	highest  int64 // bytes below have been sent at least once
	length   int64 // written so far
	credit   int64 // frames end at or below
	digest   xxhash.Digest
	finished bool
	closed   bool
}

// NewSender returns a sender that keeps at most limit bytes. It has no credit.
func NewSender(limit int, opts ...Option) *Sender {
	s := &Sender{limit: limit}
	for _, opt := range opts {
		opt(&s.options)
	}
	s.digest.Reset()
	return s
}

// Write appends bytes of the answer and returns how many were accepted: fewer
// than given when the tail or the process-wide bound is full, none after
// Finish.
func (s *Sender) Write(b []byte) int {
	b = b[:min(len(b), s.Available())]
	if s.finished || s.closed || len(b) == 0 {
		return 0
	}
	if size := s.ring.size(s.Buffered()+len(b), s.limit); size > len(s.ring.data) {
		if more := int64(size - len(s.ring.data)); s.acquire(more, more) < more {
			b = b[:min(len(b), len(s.ring.data)-s.Buffered())]
		} else {
			s.ring.resize(size, s.base, s.length)
		}
	}
	s.ring.put(s.length, b)
	_, _ = s.digest.Write(b)
	s.length += int64(len(b))
	return len(b)
}

// Next returns the next frame of at most maxFrame bytes within the credit, and
// false if there is none. The frame's data is valid until the receiver
// acknowledges it.
func (s *Sender) Next(maxFrame int) (peer.Frame, bool) {
	n := min(int64(maxFrame), min(s.credit, s.length)-s.next)
	if n <= 0 {
		return peer.Frame{}, false
	}
	f := peer.Frame{Offset: s.next, Data: s.ring.view(s.next, int(n))}
	s.next += int64(len(f.Data))
	s.highest = max(s.highest, s.next)
	return f, true
}

// Acknowledge frees the bytes below offset, which the receiver has consumed,
// and extends the credit to limit. An acknowledgement that is older than one
// before has no effect. The error is an *OffsetError.
func (s *Sender) Acknowledge(offset, limit int64) error {
	if offset < 0 || offset > s.highest || limit < offset {
		return &OffsetError{Offset: offset, Limit: limit, Sent: s.highest}
	}
	s.credit = max(s.credit, limit)
	s.free(offset)
	return nil
}

// Resume starts again at offset, up to which the receiver has all bytes, with
// the credit limit. The error is a *GapError if bytes from offset on are no
// longer kept and an *OffsetError if they were never sent; the sender is then
// unchanged.
func (s *Sender) Resume(offset, limit int64) error {
	switch {
	case offset >= 0 && (offset < s.base || s.closed):
		return &GapError{Offset: offset, KeptFrom: s.base}
	case offset < 0 || offset > s.highest || limit < offset:
		return &OffsetError{Offset: offset, Limit: limit, Sent: s.highest}
	}
	s.free(offset)
	s.next, s.credit = offset, limit
	return nil
}

func (s *Sender) free(offset int64) {
	if offset <= s.base {
		return
	}
	s.base = offset
	s.next = max(s.next, offset)
	if s.base == s.length && len(s.ring.data) > keptRing {
		s.drop()
	}
}

// Finish says that the answer ends after what was written.
func (s *Sender) Finish() { s.finished = true }

// Blocked reports whether bytes wait for credit.
func (s *Sender) Blocked() bool { return s.next < s.length && s.next >= s.credit }

// Done reports whether the answer is finished and all of it has been sent since
// the last Resume, so that its end may be sent.
func (s *Sender) Done() bool { return s.finished && !s.closed && s.next == s.length }

// Length returns the bytes written.
func (s *Sender) Length() int64 { return s.length }

// Checksum returns the xxHash64 of the bytes written.
func (s *Sender) Checksum() uint64 { return s.digest.Sum64() }

// Buffered returns the bytes kept.
func (s *Sender) Buffered() int { return int(s.length - s.base) }

// Available returns how many bytes the tail has room for.
func (s *Sender) Available() int { return s.limit - s.Buffered() }

// Close frees the storage. Nothing can be written, sent or resumed afterwards.
func (s *Sender) Close() {
	s.drop()
	s.closed = true
	s.base, s.next = s.length, s.length
}

func (s *Sender) drop() {
	s.release(int64(len(s.ring.data)))
	s.ring.data = nil
}
