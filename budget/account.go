package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Time constants of the exponential averages of demand. The short one follows
	// a rise within seconds, the long one remembers the demand through a pause.
	shortTimeConstant = 10 * time.Second
	longTimeConstant  = 5 * time.Minute
)

// stripe is a part of a balance on its own cache lines, which avoids false
// sharing. It fills two lines, because processors prefetch lines in pairs.
type stripe struct {
	balance atomic.Int64
	used    atomic.Int64 // sum of settled costs
	_       [112]byte
}

// tryTake subtracts the amount unless the balance is smaller. It never subtracts
// and restores: other goroutines would briefly see too small a balance.
func (s *stripe) tryTake(amount int64) bool {
	for {
		have := s.balance.Load()
		if have < amount {
			return false
		}
		if s.balance.CompareAndSwap(have, have-amount) {
			return true
		}
	}
}

// account is the local state of one budget.
type account struct {
	name    string
	stripes []stripe

	mu                 sync.Mutex    // guards the fields below and transfers between stripes
	credited           int64         // amounts drawn or refunded, less amounts returned
	drawID             string        // id of the draw in flight
	drawDone           chan struct{} // closed when the draw's result is observed
	largestFailed      int64         // largest reservation that failed since the last draw made for a request
	largestDrawRequest int64         // largest amount passed to StartDraw, also if no draw followed
	available          int64         // left in the ledger after the last draw
	availableKnown     bool
	// Until then the budget counts as exhausted, because the last draw was granted
	// nothing or, unless it was not appended, was refused by the ledger.
	exhaustedUntil time.Time
	nextRecall     time.Time // peers are not asked to return amounts before then

	lastDemandUpdate    time.Time
	lastActive          time.Time
	usedAtLastUpdate    int64
	shortRate, longRate float64 // average demand, budget tokens per second
	firstDemandUpdate   time.Time
	peakReserved        int64 // decaying maximum of the reservations in flight
}

func newAccount(name string, stripes int) *account {
	return &account{name: name, stripes: make([]stripe, stripes)}
}

// balance returns the unreserved amount. The caller holds mu.
func (a *account) balance() int64 {
	sum := int64(0)
	for i := range a.stripes {
		sum += a.stripes[i].balance.Load()
	}
	return sum
}

func (a *account) used() int64 {
	sum := int64(0)
	for i := range a.stripes {
		sum += a.stripes[i].used.Load()
	}
	return sum
}

// addBalance spreads the amount over the stripes.
func (a *account) addBalance(amount int64) {
	n := int64(len(a.stripes))
	for i := range a.stripes {
		share := amount / n
		if int64(i) < amount%n {
			share++
		}
		if share != 0 {
			a.stripes[i].balance.Add(share)
		}
	}
}

// removeBalance takes up to amount from all stripes and returns the amount taken.
func (a *account) removeBalance(amount int64) int64 {
	sum := int64(0)
	for i := range a.stripes {
		sum += a.stripes[i].balance.Swap(0)
	}
	amount = min(amount, sum)
	a.addBalance(sum - amount)
	return amount
}

func (a *account) clearExhausted() { a.exhaustedUntil = time.Time{} }

func (a *account) updateDemand(now time.Time) {
	used, balance := a.used(), a.balance()
	reserved := a.credited - used - balance
	if a.lastDemandUpdate.IsZero() {
		a.lastDemandUpdate, a.firstDemandUpdate, a.usedAtLastUpdate = now, now, used
	}
	if used != a.usedAtLastUpdate || reserved > 0 || a.lastActive.IsZero() {
		a.lastActive = now
	}
	elapsed := now.Sub(a.lastDemandUpdate).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := float64(used-a.usedAtLastUpdate) / elapsed
	// Before its time constant has passed, an average is the mean since the start.
	age := now.Sub(a.firstDemandUpdate).Seconds()
	a.shortRate += (rate - a.shortRate) * averageWeight(elapsed, age, shortTimeConstant)
	a.longRate += (rate - a.longRate) * averageWeight(elapsed, age, longTimeConstant)
	a.peakReserved = max(reserved, int64(float64(a.peakReserved)*math.Exp(-elapsed/longTimeConstant.Seconds())))
	a.lastDemandUpdate, a.usedAtLastUpdate = now, used
}

func averageWeight(elapsed, age float64, constant time.Duration) float64 {
	return max(1-math.Exp(-elapsed/constant.Seconds()), min(1, elapsed/age))
}

func (a *account) demandPerSecond() float64 { return max(a.shortRate, a.longRate) }
