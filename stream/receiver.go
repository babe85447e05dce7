package stream

import (
	"github.com/cespare/xxhash/v2"

	"briarreach/peer"
)

// leastGrant is the smallest credit that is worth a message when the
// process-wide bound is nearly reached.
const leastGrant = 1024

// Receiver puts an answer together again. With a Limiter, it counts the credit
// that is granted and not consumed, since the sender may use it at any time.
type Receiver struct {
	options
	window   int
	ring     ring     // bytes of [consumed, limit)
	early    []uint64 // set of stored offsets modulo window from received on, or nil
	held     int      // elements of early
	consumed int64
	read     int64 // handed out by Read
	received int64 // bytes below have all arrived
	highest  int64 // bytes from here on have not arrived
	limit    int64 // granted
	told     int64 // consumed when the last credit was returned
	digest   xxhash.Digest
	length   int64 // from a Finish that failed as incomplete, or -1
	whole    bool
}

// NewReceiver returns a receiver that grants a credit of window bytes, or of
// fewer when the process-wide bound is nearly reached.
func NewReceiver(window int, opts ...Option) *Receiver {
	r := &Receiver{window: window, length: -1}
	for _, opt := range opts {
		opt(&r.options)
	}
	r.digest.Reset()
	r.limit = r.acquire(int64(window), min(leastGrant, int64(window)))
	return r
}

// CreditLimit returns the offset up to which credit is granted. The first message of
// an exchange tells it to the sender.
func (r *Receiver) CreditLimit() int64 { return r.limit }

// Accept takes a frame. Bytes that were received before are compared with those
// still held. The error is a *CreditError for a frame beyond the granted credit
// and a *ConflictError for bytes that contradict earlier ones; the frame then
// has no effect.
func (r *Receiver) Accept(f peer.Frame) error {
	// The subtraction keeps an offset near the largest one from overflowing.
	if f.Offset < 0 || f.Offset > r.limit || int64(len(f.Data)) > r.limit-f.Offset {
		return &CreditError{End: f.Offset + int64(len(f.Data)), Limit: r.limit}
	}
	data, offset := f.Data, f.Offset
	end := offset + int64(len(data))
	if r.length >= 0 && end > r.length {
		return &ConflictError{Offset: r.length}
	}
	if offset < r.consumed { // handed out and no longer held
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
	if !r.agrees(offset, data) {
		return &ConflictError{Offset: offset}
	}
	r.ring.resize(r.ring.size(int(end-r.consumed), r.window), r.consumed, r.highest)
	r.ring.put(offset, data)
	r.highest = max(r.highest, end)
	if offset > r.received {
		r.mark(offset, end)
		return nil
	}
	r.advance(end)
	return nil
}

// agrees compares bytes with early ones that are held at the same offsets.
func (r *Receiver) agrees(offset int64, data []byte) bool {
	if r.held == 0 {
		return true
	}
	for i, b := range data {
		at := offset + int64(i)
		if at < r.highest && r.marked(at) && r.ring.view(at, 1)[0] != b {
			return false
		}
	}
	return true
}

// advance moves the contiguous prefix to end and past the early bytes that
// follow it.
func (r *Receiver) advance(end int64) {
	from := r.received
	for at := from; r.held > 0 && at < r.highest; at++ {
		switch {
		case r.marked(at):
			r.early[r.slot(at)/64] &^= 1 << (r.slot(at) % 64)
			r.held--
			end = max(end, at+1)
		case at >= end:
			r.hash(from, end)
			return
		}
	}
	r.hash(from, end)
	if r.held == 0 {
		r.early = nil
	}
}

func (r *Receiver) hash(from, end int64) {
	for from < end {
		part := r.ring.view(from, int(end-from))
		_, _ = r.digest.Write(part)
		from += int64(len(part))
	}
	r.received = end
}

func (r *Receiver) mark(from, end int64) {
	if r.early == nil {
		r.early = make([]uint64, (r.window+63)/64)
	}
	for at := from; at < end; at++ {
		if !r.marked(at) {
			r.early[r.slot(at)/64] |= 1 << (r.slot(at) % 64)
			r.held++
		}
	}
}

func (r *Receiver) marked(offset int64) bool {
	return r.early[r.slot(offset)/64]&(1<<(r.slot(offset)%64)) != 0
}

func (r *Receiver) slot(offset int64) int { return int(offset % int64(r.window)) }

// Read returns up to limit bytes that follow those of the last Read; fewer if
// the storage wraps, none if nothing has arrived. They are valid until they are
// counted by Consume.
func (r *Receiver) Read(limit int) []byte {
	n := min(int64(limit), r.received-r.read)
	if n <= 0 {
		return nil
	}
	b := r.ring.view(r.read, int(n))
	r.read += int64(len(b))
	return b
}

// Consume says that n more of the bytes that Read returned have been passed
// on. It returns a credit message to send when half of the window has become
// free. When the process-wide bound is reached it grants less or nothing; a
// later Consume(0) then grants the rest.
func (r *Receiver) Consume(n int) (peer.Credit, bool) {
	r.consumed = min(r.consumed+int64(n), r.read)
	if r.consumed == r.highest && len(r.ring.data) > keptRing {
		r.ring.data = nil
	}
	r.release(r.consumed - r.told)
	r.told = r.consumed
	missing := r.consumed + int64(r.window) - r.limit
	if r.whole || missing < int64(r.window+1)/2 {
		return peer.Credit{}, false
	}
	got := r.acquire(missing, min(leastGrant, missing))
	if got == 0 {
		return peer.Credit{}, false
	}
	r.limit += got
	return peer.Credit{Offset: r.consumed, Limit: r.limit}, true
}

// Finish compares what was received with the sender's length and checksum. The
// error is an *IncompleteError, after which the answer may be resumed, a
// *ConflictError if more was received, or a *ChecksumError.
func (r *Receiver) Finish(length int64, checksum uint64) error {
	switch {
	case r.highest > length || r.length >= 0 && r.length != length:
		return &ConflictError{Offset: length}
	case r.received < length:
		r.length = length
		return &IncompleteError{Received: r.received, Length: length}
	case r.digest.Sum64() != checksum:
		return &ChecksumError{Received: r.digest.Sum64(), Sent: checksum}
	}
	r.length = length
	r.whole = true
	return nil
}

// Complete reports whether Finish has found the answer complete.
func (r *Receiver) Complete() bool { return r.whole }

// ResumeOffset returns where to resume: all bytes below have arrived.
func (r *Receiver) ResumeOffset() int64 { return r.received }

// Buffered returns the bytes that have arrived and are not consumed.
func (r *Receiver) Buffered() int { return int(r.received-r.consumed) + r.held }

// Close frees the storage and gives back the credit that is not consumed.
func (r *Receiver) Close() {
	r.release(r.limit - r.told)
	r.consumed, r.read, r.received, r.highest = r.limit, r.limit, r.limit, r.limit
	r.told = r.limit
	r.ring.data, r.early, r.held = nil, nil, 0
}
