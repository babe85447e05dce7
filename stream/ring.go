package stream

import "bytes"

// minRingBytes is the smallest capacity of a ring. It holds a short answer.
const minRingBytes = 512

// maxIdleRingBytes is the largest capacity that a ring without bytes keeps.
const maxIdleRingBytes = 2048

// ring stores the bytes of a stream by offset. Only offsets that are less than
// len(data) apart can be stored at the same time.
type ring struct{ data []byte }

// sizeFor returns the capacity needed to store span bytes: at least the present
// capacity and at most limit. Span must be at most limit.
func (r *ring) sizeFor(span, limit int) int {
	n := max(len(r.data), min(minRingBytes, limit))
	for n < span {
		n = min(2*n, limit)
	}
	return n
}

// resize changes the capacity and keeps the bytes of [from, to).
func (r *ring) resize(n int, from, to int64) {
	if n == len(r.data) {
		return
	}
	next := ring{data: make([]byte, n)}
	for at := from; at < to; {
		part := r.view(at, int(to-at))
		next.put(at, part)
		at += int64(len(part))
	}
	r.data = next.data
}

// view returns up to n stored bytes from offset on, without a copy. It returns
// fewer if the ring wraps around.
func (r *ring) view(offset int64, n int) []byte {
	if n <= 0 {
		return nil
	}
	start := int(offset % int64(len(r.data)))
	end := min(start+n, len(r.data))
	return r.data[start:end:end]
}

func (r *ring) put(offset int64, b []byte) {
	for len(b) > 0 {
		n := copy(r.view(offset, len(b)), b)
		offset, b = offset+int64(n), b[n:]
	}
}

// equal reports whether the stored bytes from offset on are equal to b.
func (r *ring) equal(offset int64, b []byte) bool {
	for len(b) > 0 {
		stored := r.view(offset, len(b))
		if !bytes.Equal(stored, b[:len(stored)]) {
			return false
		}
		offset, b = offset+int64(len(stored)), b[len(stored):]
	}
	return true
}
