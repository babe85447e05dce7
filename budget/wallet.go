// Package budget keeps the local balances of the budget tokens that the ledger
// has granted to one entry.
//
// A reservation takes an amount from the local balance, a settlement puts the
// unused part back. Grants are requested and given back with the ledger records
// Draw and Return. Only granted amounts are credited, so the balances never add
// up to more than the grants.
package budget

import (
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/ledger"
)

const (
	// exhaustedRetryDelay is how long a draw that was granted nothing is remembered.
	// It bounds the draws of an exhausted budget to one a second for each entry, and
	// the delay until a top-up made elsewhere is used.
	exhaustedRetryDelay = time.Second

	// recallDelayPerHolder is the delay after a recall, for each live holder, unless
	// a draw is granted an amount before.
	recallDelayPerHolder = 25 * time.Millisecond

	// recallLookahead is the duration of demand that a recall covers if that is more
	// than the request needs.
	recallLookahead = 5 * time.Second

	// firstDrawReservations is the minimum of the wanted balance, as a multiple of
	// the largest request of a draw. It sets the size of the first draw, while the
	// demand is unknown.
	firstDrawReservations = 8

	// idleHorizonsBeforeReturn is the number of horizons without use after which
	// a balance is returned.
	idleHorizonsBeforeReturn = 2

	// maxDrawAmount bounds draws, so that sums of a few of them can't overflow.
	maxDrawAmount = math.MaxInt64 / 8

	// maxRememberedRefunds bounds the attempts remembered as refunded. Only
	// repeated requests are refunded, so these cover hours.
	maxRememberedRefunds = 16384

	bucketCount = 64
)

// Option configures a Wallet.
type Option func(*Wallet)

// WithHorizon sets the duration of demand that a draw covers. The default is 20
// minutes.
func WithHorizon(d time.Duration) Option { return func(w *Wallet) { w.horizon = d } }

// WithStripes sets the number of stripes of each balance. The default is twice
// GOMAXPROCS, at most 32: with fewer, two threads often share a stripe.
func WithStripes(n int) Option { return func(w *Wallet) { w.stripes = max(1, n) } }

// WithHolderCount sets the function that returns the number of live holders. By
// default it returns 1.
func WithHolderCount(count func() int) Option { return func(w *Wallet) { w.holderCount = count } }

// WithAvailable sets the function that returns the amount available in the
// ledger for a budget, in the state that this entry has read last. It is called
// when a reservation does not fit and for each draw. Without it the wallet knows
// only the results of its own draws.
func WithAvailable(f func(budget string) (int64, bool)) Option {
	return func(w *Wallet) { w.availableOf = f }
}

// WithFixedDrawSize sets one size for all draws, in place of sizes that follow
// the demand.
func WithFixedDrawSize(amount int64) Option { return func(w *Wallet) { w.fixedDrawSize = amount } }

// Wallet holds the amounts granted to one holder, with a balance for each
// budget. Its methods are safe for concurrent use.
type Wallet struct {
	holder        string
	horizon       time.Duration
	stripes       int
	holderCount   func() int
	fixedDrawSize int64
	// availableOf may return stale amounts, and may be nil.
	availableOf func(string) (int64, bool)

	seed              maphash.Seed
	buckets           [bucketCount]bucket
	stripeAssignments sync.Pool     // *stripeAssignment; the pool is per processor
	stripeCounter     atomic.Uint32 // number of stripe assignments made
	lastRecordNumber  atomic.Uint64 // number of the last draw or return
	latestNow         atomic.Int64  // latest time passed to a method, Unix nanoseconds
	fenced            atomic.Bool

	refundMu    sync.Mutex
	refunded    map[string]bool // by attempt
	refundOrder []string
}

// bucket is a shard of the map of accounts. Its map is copied on write, so that
// Reserve takes no lock.
type bucket struct {
	mu       sync.Mutex
	accounts atomic.Pointer[map[string]*account]
}

type stripeAssignment struct{ stripe uint32 }

// New returns an empty wallet of the holder.
func New(holder string, opts ...Option) *Wallet {
	w := &Wallet{
		holder:      holder,
		horizon:     20 * time.Minute,
		stripes:     min(32, 2*runtime.GOMAXPROCS(0)),
		holderCount: func() int { return 1 },
		refunded:    map[string]bool{},
		seed:        maphash.MakeSeed(),
	}
	for _, opt := range opts {
		opt(w)
	}
	w.stripeAssignments.New = func() any { return &stripeAssignment{w.stripeCounter.Add(1) % uint32(w.stripes)} }
	for i := range w.buckets {
		w.buckets[i].accounts.Store(&map[string]*account{})
	}
	return w
}

func (w *Wallet) bucket(name string) *bucket {
	return &w.buckets[maphash.String(w.seed, name)%bucketCount]
}

func (w *Wallet) lookup(name string) *account { return (*w.bucket(name).accounts.Load())[name] }

func (w *Wallet) getOrCreate(name string) *account {
	b := w.bucket(name)
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.accounts.Load()
	if a := old[name]; a != nil {
		return a
	}
	a := newAccount(name, w.stripes)
	accounts := maps.Clone(old)
	accounts[name] = a
	b.accounts.Store(&accounts)
	return a
}

func (w *Wallet) forEachAccount(f func(*account)) {
	for i := range w.buckets {
		for _, a := range *w.buckets[i].accounts.Load() {
			f(a)
		}
	}
}

func (w *Wallet) recordTime(now time.Time) {
	if n := now.UnixNano(); n > w.latestNow.Load() {
		w.latestNow.Store(n)
	}
}

func (w *Wallet) latestTime() time.Time { return time.Unix(0, w.latestNow.Load()) }

func (w *Wallet) newRecordID(kind string) string {
	return fmt.Sprintf("%s/%s/%d", w.holder, kind, w.lastRecordNumber.Add(1))
}

// Reserve takes the amount from the local balance. It fails with
// *InsufficientBalanceError, *ExhaustedError or *AmountError.
func (w *Wallet) Reserve(budget string, amount int64, now time.Time) (Reservation, error) {
	if amount < 0 {
		return Reservation{}, &AmountError{amount}
	}
	a := w.lookup(budget)
	if a == nil {
		if amount > 0 {
			return Reservation{}, &InsufficientBalanceError{Budget: budget, Amount: amount}
		}
		a = w.getOrCreate(budget) // an amount of 0 needs no draw
	}
	t := w.stripeAssignments.Get().(*stripeAssignment)
	ok := a.stripes[t.stripe].tryTake(amount)
	stripe := t.stripe
	w.stripeAssignments.Put(t)
	if !ok {
		w.recordTime(now)
		if err := w.takeFromAllStripes(a, amount, now); err != nil {
			return Reservation{}, err
		}
	}
	state := reservationStates.Get().(*reservationState)
	return Reservation{account: a, amount: amount, stripe: stripe, state: state, generation: state.generation.Load()}, nil
}

// Reservation is an amount reserved for one request. Copies share its state.
type Reservation struct {
	account    *account
	amount     int64
	stripe     uint32
	state      *reservationState
	generation uint64
}

// reservationState makes the first Settle or Cancel of a reservation the only
// one. It is pooled: generation grows when a reservation ends, so that remaining
// copies of the reservation no longer match.
type reservationState struct {
	generation atomic.Uint64
	_          [120]byte // its own cache lines, like a stripe
}

// reservationStates avoids an allocation for each request; at 8 threads the
// garbage collector took more time than the reservations.
var reservationStates = sync.Pool{New: func() any { return new(reservationState) }}

// Amount returns the reserved amount.
func (r Reservation) Amount() int64 { return r.amount }

// Settle ends the reservation and returns the amount to bill: the cost, limited
// to the reserved amount. The rest goes back to the balance. A second call of
// Settle or Cancel has no effect and returns false.
func (r Reservation) Settle(cost int64) (int64, bool) {
	if r.state == nil || !r.state.generation.CompareAndSwap(r.generation, r.generation+1) {
		return 0, false
	}
	reservationStates.Put(r.state)
	cost = min(max(cost, 0), r.amount)
	s := &r.account.stripes[r.stripe]
	s.used.Add(cost)
	if unused := r.amount - cost; unused > 0 {
		s.balance.Add(unused)
	}
	return cost, true
}

// Cancel gives the whole reserved amount back to the balance.
func (r Reservation) Cancel() { r.Settle(0) }

// Balance returns the local balance of a budget.
func (w *Wallet) Balance(budget string) int64 {
	a := w.lookup(budget)
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balance()
}

// StartDraw returns a draw for a request that needs the amount. It returns false
// if a draw of the budget is in flight, if the last one was just granted nothing
// (see knownExhausted) or if the balance suffices.
func (w *Wallet) StartDraw(budget string, amount int64, now time.Time) (ledger.Draw, bool) {
	w.recordTime(now)
	a := w.getOrCreate(budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.largestDrawRequest = max(a.largestDrawRequest, amount)
	a.lastActive = now
	need := amount - a.balance()
	if need <= 0 || a.drawID != "" || w.knownExhausted(a, amount, now) {
		return ledger.Draw{}, false
	}
	return w.newDraw(a, need), true
}

// newDraw returns a draw of at least need and marks it as in flight.
func (w *Wallet) newDraw(a *account, need int64) ledger.Draw {
	w.markDrawStarted(a)
	a.largestFailed = 0
	return ledger.Draw{DrawID: a.drawID, Budget: a.name, Holder: w.holder, Min: need, Max: max(need, w.drawSize(a))}
}

// markDrawStarted records a new draw as in flight.
func (w *Wallet) markDrawStarted(a *account) {
	a.drawID, a.drawDone = w.newRecordID("draw"), make(chan struct{})
}

// DrawInFlight returns a channel that is closed when the result of the budget's
// draw in flight has been observed; a request waits for it before it reserves
// again. It returns false if no draw is in flight.
func (w *Wallet) DrawInFlight(budget string) (<-chan struct{}, bool) {
	a := w.lookup(budget)
	if a == nil {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drawDone, a.drawID != ""
}

// Fenced reports whether a draw was refused because the holder is fenced. The
// entry then needs a new holder and a new wallet.
func (w *Wallet) Fenced() bool { return w.fenced.Load() }

// wantedBalance returns the balance to aim at: the fixed draw size if there is
// one, otherwise the demand of one horizon, but at least firstDrawReservations
// times the largest request of a draw.
func (w *Wallet) wantedBalance(a *account) int64 {
	if w.fixedDrawSize > 0 {
		return w.fixedDrawSize
	}
	demand := a.demandPerSecond()*w.horizon.Seconds() + float64(a.peakReserved)
	return int64(min(max(demand, float64(min(a.largestDrawRequest, maxDrawAmount/firstDrawReservations))*firstDrawReservations), maxDrawAmount))
}

// drawSize returns the maximum amount of the next draw.
func (w *Wallet) drawSize(a *account) int64 {
	size := max(w.wantedBalance(a)-a.balance(), 0)
	if w.fixedDrawSize > 0 {
		return w.fixedDrawSize
	}
	if available, ok := w.lastAvailable(a); ok {
		size = min(size, available/int64(2*max(1, w.holderCount())))
	}
	return size
}

// lastAvailable returns the last known amount available in the ledger.
func (w *Wallet) lastAvailable(a *account) (int64, bool) {
	if w.availableOf != nil {
		if available, ok := w.availableOf(a.name); ok {
			return available, true
		}
	}
	return a.available, a.availableKnown
}

// knownExhausted reports whether the last draw was just granted nothing or
// refused and the balance plus the amount available, both after that draw and by
// the last known state, is less than amount.
func (w *Wallet) knownExhausted(a *account, amount int64, now time.Time) bool {
	need := amount - a.balance()
	if !now.Before(a.exhaustedUntil) || need <= a.available {
		return false
	}
	available, _ := w.lastAvailable(a)
	return need > available
}

// takeFromAllStripes takes the amount from the sum of all stripes. The lock makes
// concurrent calls wait until the remainder is back in the stripes instead of
// failing.
func (w *Wallet) takeFromAllStripes(a *account, amount int64, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := a.removeBalance(math.MaxInt64)
	if sum >= amount {
		a.addBalance(sum - amount)
		return nil
	}
	a.addBalance(sum)
	a.lastActive = now
	if w.knownExhausted(a, amount, now) {
		return &ExhaustedError{Budget: a.name, Amount: amount, Available: a.available, RetryAt: a.exhaustedUntil}
	}
	a.largestFailed = max(a.largestFailed, amount)
	return &InsufficientBalanceError{Budget: a.name, Amount: amount, Balance: sum}
}

// DueRecords returns the draws and returns to append now. It is to be called
// about once a second.
func (w *Wallet) DueRecords(now time.Time) []ledger.Record {
	w.recordTime(now)
	var records []ledger.Record
	w.forEachAccount(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.updateDemand(now)
		balance := a.balance()
		switch {
		case now.Sub(a.lastActive) >= idleHorizonsBeforeReturn*w.horizon:
			records = append(records, w.omitEmpty(w.newReturn(a, balance))...)
		case a.drawID != "":
		case a.largestFailed > balance && !w.knownExhausted(a, a.largestFailed, now):
			records = append(records, w.newDraw(a, a.largestFailed-balance))
		case balance < w.wantedBalance(a)/2 && !now.Before(a.exhaustedUntil):
			// A draw smaller than one request adds to the log and serves no request.
			if size := w.drawSize(a); size >= max(1, min(a.largestDrawRequest, w.wantedBalance(a)/4)) {
				w.markDrawStarted(a)
				records = append(records, ledger.Draw{DrawID: a.drawID, Budget: a.name, Holder: w.holder, Min: 1, Max: size})
			}
		}
	})
	return records
}

// newReturn takes up to amount from the balance and returns the record that
// returns it to the ledger.
func (w *Wallet) newReturn(a *account, amount int64) ledger.Return {
	amount = a.removeBalance(amount)
	a.credited -= amount
	return ledger.Return{ReturnID: w.newRecordID("return"), Budget: a.name, Holder: w.holder, Amount: amount}
}

// ReturnUpTo returns the record that returns up to amount of the unreserved
// balance to the ledger, for a peer whose balance is too small.
func (w *Wallet) ReturnUpTo(budget string, amount int64, now time.Time) []ledger.Record {
	w.recordTime(now)
	a := w.lookup(budget)
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if amount = min(amount, a.balance()); amount <= 0 {
		return nil
	}
	return w.omitEmpty(w.newReturn(a, amount))
}

// omitEmpty drops a return of 0, which happens when concurrent reservations have
// taken the balance.
func (w *Wallet) omitEmpty(r ledger.Return) []ledger.Record {
	if r.Amount == 0 {
		return nil
	}
	return []ledger.Record{r}
}

// ReturnAll returns the records that return all balances to the ledger, for
// shutdown. Reservations still in flight keep their amounts.
func (w *Wallet) ReturnAll() []ledger.Record {
	var records []ledger.Record
	w.forEachAccount(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		records = append(records, w.omitEmpty(w.newReturn(a, math.MaxInt64))...)
	})
	return records
}

// StartRecall returns the amount that peers should be asked to return for a
// request whose draw was granted nothing or refused. If peers have returned
// anything, the caller calls ClearExhausted and retries the draw; otherwise the
// draw stays remembered and no other is sent. StartRecall then returns false for
// recallDelayPerHolder for each live holder, at most a second, or until a draw is
// granted an amount, which bounds the messages for an exhausted budget.
func (w *Wallet) StartRecall(budget string, amount int64, now time.Time) (int64, bool) {
	w.recordTime(now)
	a := w.lookup(budget)
	if a == nil {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.nextRecall) || !now.Before(a.exhaustedUntil) {
		return 0, false
	}
	a.nextRecall = now.Add(min(recallDelayPerHolder*time.Duration(max(1, w.holderCount())), exhaustedRetryDelay))
	// Includes the demand of the next requests, so that they need no recall.
	ahead := min(a.demandPerSecond()*recallLookahead.Seconds(), maxDrawAmount)
	return max(amount-a.balance(), int64(ahead)), true
}

// ClearExhausted forgets that a draw was granted nothing or refused, because a
// top-up or a return may have made amounts available.
func (w *Wallet) ClearExhausted(budget string) {
	if a := w.lookup(budget); a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.clearExhausted()
	}
}

// Observe applies the result of a record. It must be called once for every
// record that this holder submits and may be called for those of others. A draw
// is credited once even if its result is observed twice, and so is a repeated
// attempt that the ledger did not charge.
func (w *Wallet) Observe(record ledger.Record, result ledger.Result) {
	switch r := record.(type) {
	case ledger.Draw:
		if r.Holder == w.holder {
			w.observeDraw(r, result)
		}
	case ledger.Bill:
		// The ledger does not charge a later attempt of a request that is already
		// billed, so its cost is credited. If another entry billed the same
		// attempt, the amount is spent.
		b, ok := result.(ledger.Billed)
		if ok && r.Holder == w.holder && b.Duplicate && b.FirstAttempt != r.Attempt && w.markRefunded(r.Attempt) {
			w.creditBalance(r.Budget, r.Cost)
		}
	case ledger.Return:
		refused, ok := result.(ledger.Refused)
		if ok && r.Holder == w.holder && ledger.IsNotAppended(refused.Err) {
			w.creditBalance(r.Budget, r.Amount)
		}
	case ledger.TopUp:
		w.ClearExhausted(r.Budget)
	case ledger.OpenBudget:
		w.ClearExhausted(r.Budget)
	case ledger.Release:
		if released, ok := result.(ledger.Released); ok {
			for budget := range released.Returned {
				w.ClearExhausted(budget)
			}
		}
	}
}

func (w *Wallet) observeDraw(r ledger.Draw, result ledger.Result) {
	a := w.lookup(r.Budget)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drawID != r.DrawID {
		return
	}
	a.drawID = ""
	close(a.drawDone)
	switch drawn := result.(type) {
	case ledger.Drawn:
		a.available, a.availableKnown = drawn.Available, true
		if drawn.Granted > 0 {
			a.addBalance(drawn.Granted)
			a.credited += drawn.Granted
			a.clearExhausted()
			a.nextRecall = time.Time{}
		} else {
			a.exhaustedUntil = w.latestTime().Add(exhaustedRetryDelay)
		}
	case ledger.Refused:
		if _, ok := errors.AsType[*ledger.FencedError](drawn.Err); ok {
			w.fenced.Store(true)
		}
		if !ledger.IsNotAppended(drawn.Err) {
			a.available, a.availableKnown = 0, true
			a.exhaustedUntil = w.latestTime().Add(exhaustedRetryDelay)
		}
	}
}

// markRefunded records the attempt as refunded and reports whether it was not
// before. An entry submits the bill of an attempt twice if the agent has
// reported the usage again.
func (w *Wallet) markRefunded(attempt string) bool {
	w.refundMu.Lock()
	defer w.refundMu.Unlock()
	if w.refunded[attempt] {
		return false
	}
	if len(w.refundOrder) == maxRememberedRefunds {
		delete(w.refunded, w.refundOrder[0])
		w.refundOrder = w.refundOrder[1:]
	}
	w.refunded[attempt] = true
	w.refundOrder = append(w.refundOrder, attempt)
	return true
}

func (w *Wallet) creditBalance(budget string, amount int64) {
	if a := w.lookup(budget); a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.addBalance(amount)
		a.credited += amount
	}
}
