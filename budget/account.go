package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Time constants of the demand averages. The short one follows a rise within
	// seconds, the long one keeps the demand through a pause.
	shortAverage = 10 * time.Second
	longAverage  = 5 * time.Minute
)

// stripe is a part of a balance on its own cache lines. Two lines, because
// processors fetch lines in pairs.
type stripe struct {
	balance atomic.Int64
	used    atomic.Int64 // sum of settled costs
	_       [112]byte
}

// take subtracts the amount unless the balance is smaller. It never subtracts
// and restores: that would hide the balance from others for a moment.
func (s *stripe) take(amount int64) bool {
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

	mu             sync.Mutex    // guards the fields below and movements between stripes
	credited       int64         // grants less returns
	draw           string        // id of the draw in flight
	drawn          chan struct{} // closed when it is observed
	waiting        int64         // largest reservation that failed since the last draw
	largest        int64         // largest reservation that needed a draw
	available      int64         // what the ledger had for others after the last draw
	knowsAvailable bool
	exhaustedUntil time.Time
	nextRecall     time.Time // peers are not asked before

	lastTick    time.Time
	lastUse     time.Time
	lastUsed    int64
	short, long float64 // demand averages, budget tokens per second
	started     time.Time
	peak        int64 // recent maximum of the reservations in flight
}

func newAccount(name string, stripes int) *account {
	return &account{name: name, stripes: make([]stripe, stripes)}
}

// balance is the unreserved amount; the caller holds mu.
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

// add spreads the amount over the stripes.
func (a *account) add(amount int64) {
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

// remove takes up to amount out of all stripes and returns what it got.
func (a *account) remove(amount int64) int64 {
	sum := int64(0)
	for i := range a.stripes {
		sum += a.stripes[i].balance.Swap(0)
	}
	amount = min(amount, sum)
	a.add(sum - amount)
	return amount
}

func (a *account) forget() { a.exhaustedUntil = time.Time{} }

// tick updates the demand averages.
func (a *account) tick(now time.Time) {
	used, balance := a.used(), a.balance()
	held := a.credited - used - balance
	if a.lastTick.IsZero() {
		a.lastTick, a.started, a.lastUsed = now, now, used
	}
	if used != a.lastUsed || held > 0 || a.lastUse.IsZero() {
		a.lastUse = now
	}
	elapsed := now.Sub(a.lastTick).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := float64(used-a.lastUsed) / elapsed
	// Until an average has seen its time constant, it is the mean so far.
	age := now.Sub(a.started).Seconds()
	a.short += (rate - a.short) * weight(elapsed, age, shortAverage)
	a.long += (rate - a.long) * weight(elapsed, age, longAverage)
	a.peak = max(held, int64(float64(a.peak)*math.Exp(-elapsed/longAverage.Seconds())))
	a.lastTick, a.lastUsed = now, used
}

func weight(elapsed, age float64, constant time.Duration) float64 {
	return max(1-math.Exp(-elapsed/constant.Seconds()), min(1, elapsed/age))
}

func (a *account) demand() float64 { return max(a.short, a.long) }
