package targetset

import (
	"sync/atomic"
	"time"
)

const (
	milli          = 1000
	retryPerSecond = 3
	retryShare     = milli / 10 // thousandths of a retry per request
	// maxRetries bounds the retries that an idle time saves up.
	maxRetries = 100
)

// RetryBudget bounds the retries of an entry: 10 % of its requests plus 3/s.
// The zero value is ready for use and starts empty. It is safe for concurrent
// use.
type RetryBudget struct {
	balance  atomic.Int64 // thousandths of a retry
	refilled atomic.Int64 // Unix nanoseconds up to which the time has been credited
}

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(retryShare)
}

// AllowRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.refill(now)
	for {
		balance := b.balance.Load()
		if balance < milli {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-milli) {
			return true
		}
	}
}

func (b *RetryBudget) refill(now time.Time) {
	const step = int64(time.Second) / (retryPerSecond * milli) // nanoseconds per thousandth
	last, at := b.refilled.Load(), now.UnixNano()
	if last == 0 {
		b.refilled.CompareAndSwap(0, at)
		return
	}
	if credit := (at - last) / step; credit > 0 && b.refilled.CompareAndSwap(last, last+credit*step) {
		b.add(min(credit, maxRetries*milli))
	}
}

func (b *RetryBudget) add(credit int64) {
	for {
		balance := b.balance.Load()
		next := min(balance+credit, maxRetries*milli)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}
