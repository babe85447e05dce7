package stream

import "sync/atomic"

// Limiter bounds the bytes that all streams of a process hold together. It is
// safe for concurrent use.
type Limiter struct {
	limit int64
	used  atomic.Int64
}

// NewLimiter returns a limiter of the given number of bytes.
func NewLimiter(limit int64) *Limiter { return &Limiter{limit: limit} }

// Acquire acquires n bytes. If there are fewer, it acquires none and returns a
// *LimiterFullError.
func (l *Limiter) Acquire(n int64) error {
	if l.AcquireUpTo(n, n) < n {
		return &LimiterFullError{Wanted: n, Used: l.used.Load(), Limit: l.limit}
	}
	return nil
}

// AcquireUpTo acquires as many bytes as are available, at most n, and returns
// their number. It acquires none if there are fewer than minimum.
func (l *Limiter) AcquireUpTo(n, minimum int64) int64 {
	for {
		used := l.used.Load()
		got := min(n, l.limit-used)
		if got <= 0 || got < minimum {
			return 0
		}
		if l.used.CompareAndSwap(used, used+got) {
			return got
		}
	}
}

// Release returns n bytes to the limiter.
func (l *Limiter) Release(n int64) { l.used.Add(-n) }

// Used returns the number of acquired bytes.
func (l *Limiter) Used() int64 { return l.used.Load() }

// Limit returns the number of bytes that can be acquired at the same time.
func (l *Limiter) Limit() int64 { return l.limit }
