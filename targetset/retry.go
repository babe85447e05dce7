package targetset

import (
	"sync/atomic"
	"time"
)

const (
	unitsPerRetry    = 1000 // the balance is in thousandths of a retry
	retriesPerSecond = 3
	unitsPerRequest  = unitsPerRetry / 10
	// maxSavedRetries bounds the retries that accumulate while the entry is idle.
	maxSavedRetries = 100
)

// RetryBudget bounds the retries of an entry: 10 % of its requests plus 3/s.
// The zero value is ready for use and starts empty. It is safe for concurrent
// use.
type RetryBudget struct {
	balance  atomic.Int64 // thousandths of a retry
	refilled atomic.Int64 // time up to which the balance is refilled, in Unix nanoseconds
}

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(unitsPerRequest)
}

// AllowRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.refill(now)
	for {
		balance := b.balance.Load()
		if balance < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-unitsPerRetry) {
			return true
		}
	}
}

func (b *RetryBudget) refill(now time.Time) {
	const nanosecondsPerUnit = int64(time.Second) / (retriesPerSecond * unitsPerRetry)
	last, at := b.refilled.Load(), now.UnixNano()
	if last == 0 {
		b.refilled.CompareAndSwap(0, at)
		return
	}
	if credit := (at - last) / nanosecondsPerUnit; credit > 0 && b.refilled.CompareAndSwap(last, last+credit*nanosecondsPerUnit) {
		b.add(min(credit, maxSavedRetries*unitsPerRetry))
	}
}

func (b *RetryBudget) add(credit int64) {
	for {
		balance := b.balance.Load()
		next := min(balance+credit, maxSavedRetries*unitsPerRetry)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}
