// Package budget is the local accounting of the grants that one entry holds.
//
// A reservation takes an amount from the local balance, a settlement puts the
// unused part back. Draws and returns are ledger records; the wallet credits
// what the ledger has granted, so its balances never add up to more.
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
	// exhaustedFor is how long a refused draw is remembered. It bounds the draws
	// of an exhausted budget to one a second for each entry, and the delay until
	// a top-up made elsewhere is used.
	exhaustedFor = time.Second

	// recallEvery is the pause after a recall in vain for each live holder.
	recallEvery = 25 * time.Millisecond

	// recallAhead is the demand that a recall covers beyond the request.
	recallAhead = 5 * time.Second

	// firstDraw is the size of the first draw in requests, while the demand is
	// unknown.
	firstDraw = 8

	// idleHorizons is the number of horizons without use after which a balance
	// is returned.
	idleHorizons = 2

	// maxAmount bounds draws, so that sums of a few of them can't overflow.
	maxAmount = math.MaxInt64 / 8

	// maxRefunds bounds the attempts remembered as refunded. Only repeated
	// requests are refunded, so this is hours of them.
	maxRefunds = 16384

	bucketCount = 64
)

// Option changes a Wallet made by New.
type Option func(*Wallet)

// WithHorizon sets the demand that a draw is to cover. The default is 20
// minutes.
func WithHorizon(d time.Duration) Option { return func(w *Wallet) { w.horizon = d } }

// WithStripes sets the number of parts of each balance. The default is twice
// the number of threads, at most 32: with fewer, two threads often share one.
func WithStripes(n int) Option { return func(w *Wallet) { w.stripes = max(1, n) } }

// WithHolderCount sets the function that returns the number of live holders. The
// default is 1 holder.
func WithHolderCount(count func() int) Option { return func(w *Wallet) { w.holders = count } }

// WithAvailable sets the function that returns what the ledger has available of
// a budget, as far as this entry has read it. It is called when a reservation
// does not fit and for each draw. Without it the wallet knows only the results
// of its own draws.
func WithAvailable(f func(budget string) (int64, bool)) Option {
	return func(w *Wallet) { w.availableOf = f }
}

// WithFixedDrawSize makes all draws of one size instead of following the demand.
func WithFixedDrawSize(amount int64) Option { return func(w *Wallet) { w.fixed = amount } }

// Wallet holds the grants of one holder. Its methods are safe for concurrent
// use.
type Wallet struct {
	holder  string
	horizon time.Duration
	stripes int
	holders func() int
	fixed   int64
	// availableOf may be stale, and may be nil.
	availableOf func(string) (int64, bool)

	seed    maphash.Seed
	buckets [bucketCount]bucket
	tokens  sync.Pool     // *token; gives each processor its own stripe
	token   atomic.Uint32 // stripe of the next token
	serial  atomic.Uint64 // number of the last draw or return
	now     atomic.Int64  // latest time seen, Unix nanoseconds
	fenced  atomic.Bool

	refundMu    sync.Mutex
	refunded    map[string]bool // by attempt
	refundOrder []string
}

// bucket is a part of the map of accounts, copied when it changes, so that
// Reserve takes no lock.
type bucket struct {
	mu       sync.Mutex
	accounts atomic.Pointer[map[string]*account]
}

type token struct{ stripe uint32 }

// New returns an empty wallet of the holder.
func New(holder string, opts ...Option) *Wallet {
	w := &Wallet{
		holder:   holder,
		horizon:  20 * time.Minute,
		stripes:  min(32, 2*runtime.GOMAXPROCS(0)),
		holders:  func() int { return 1 },
		refunded: map[string]bool{},
		seed:     maphash.MakeSeed(),
	}
	for _, opt := range opts {
		opt(w)
	}
	w.tokens.New = func() any { return &token{w.token.Add(1) % uint32(w.stripes)} }
	for i := range w.buckets {
		w.buckets[i].accounts.Store(&map[string]*account{})
	}
	return w
}

func (w *Wallet) bucket(name string) *bucket {
	return &w.buckets[maphash.String(w.seed, name)%bucketCount]
}

func (w *Wallet) find(name string) *account { return (*w.bucket(name).accounts.Load())[name] }

func (w *Wallet) open(name string) *account {
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

// all calls f with each account.
func (w *Wallet) all(f func(*account)) {
	for i := range w.buckets {
		for _, a := range *w.buckets[i].accounts.Load() {
			f(a)
		}
	}
}

func (w *Wallet) seen(now time.Time) {
	if n := now.UnixNano(); n > w.now.Load() {
		w.now.Store(n)
	}
}

func (w *Wallet) latest() time.Time { return time.Unix(0, w.now.Load()) }

func (w *Wallet) id(kind string) string {
	return fmt.Sprintf("%s/%s/%d", w.holder, kind, w.serial.Add(1))
}

// Reserve takes the amount from the local balance. It fails with
// *InsufficientBalanceError, *ExhaustedError or *AmountError.
func (w *Wallet) Reserve(budget string, amount int64, now time.Time) (Reservation, error) {
	if amount < 0 {
		return Reservation{}, &AmountError{amount}
	}
	a := w.find(budget)
	if a == nil {
		if amount > 0 {
			return Reservation{}, &InsufficientBalanceError{Budget: budget, Amount: amount}
		}
		a = w.open(budget) // nothing is needed, so there is nothing to wait for
	}
	t := w.tokens.Get().(*token)
	ok := a.stripes[t.stripe].take(amount)
	stripe := t.stripe
	w.tokens.Put(t)
	if !ok {
		w.seen(now)
		if err := w.gather(a, amount, now); err != nil {
			return Reservation{}, err
		}
	}
	o := onces.Get().(*once)
	return Reservation{account: a, amount: amount, stripe: stripe, once: o, use: o.use.Load()}, nil
}

// Reservation is an amount set aside for one request. Copies share its state.
type Reservation struct {
	account *account
	amount  int64
	stripe  uint32
	once    *once
	use     uint64
}

// once makes the first Settle or Cancel of a reservation the only one. It is
// reused: use grows when a reservation ends, so its copies no longer match.
type once struct {
	use atomic.Uint64
	_   [120]byte // its own cache lines, like a stripe
}

// onces avoids an allocation for each request; at 8 threads the garbage
// collector took more time than the reservations.
var onces = sync.Pool{New: func() any { return new(once) }}

// Amount returns the reserved amount.
func (r Reservation) Amount() int64 { return r.amount }

// Settle replaces the reservation by the cost and returns what is to be
// billed: the cost, limited to the reserved amount. A second call of Settle or
// Cancel has no effect and returns false.
func (r Reservation) Settle(cost int64) (int64, bool) {
	if r.once == nil || !r.once.use.CompareAndSwap(r.use, r.use+1) {
		return 0, false
	}
	onces.Put(r.once)
	cost = min(max(cost, 0), r.amount)
	s := &r.account.stripes[r.stripe]
	s.used.Add(cost)
	if unused := r.amount - cost; unused > 0 {
		s.balance.Add(unused)
	}
	return cost, true
}

// Cancel gives the whole reservation back.
func (r Reservation) Cancel() { r.Settle(0) }

// Balance returns the local balance of a budget.
func (w *Wallet) Balance(budget string) int64 {
	a := w.find(budget)
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balance()
}

// StartDraw returns a draw for a request that waits for the amount. It returns false
// if a draw of the budget is in flight, if the ledger has refused one just now
// or if the balance suffices.
func (w *Wallet) StartDraw(budget string, amount int64, now time.Time) (ledger.Draw, bool) {
	w.seen(now)
	a := w.open(budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.largest = max(a.largest, amount)
	a.lastUse = now
	need := amount - a.balance()
	if need <= 0 || a.draw != "" || w.exhausted(a, amount, now) {
		return ledger.Draw{}, false
	}
	return w.startDraw(a, need), true
}

// startDraw returns a draw of at least need.
func (w *Wallet) startDraw(a *account, need int64) ledger.Draw {
	w.begin(a)
	a.waiting = 0
	return ledger.Draw{DrawID: a.draw, Budget: a.name, Holder: w.holder, Min: need, Max: max(need, w.size(a))}
}

// begin marks a draw as in flight.
func (w *Wallet) begin(a *account) { a.draw, a.drawn = w.id("draw"), make(chan struct{}) }

// DrawInFlight returns a channel that is closed when the result of the budget's draw
// in flight has been observed, for a request to wait for before it reserves
// again. It returns false if no draw is in flight.
func (w *Wallet) DrawInFlight(budget string) (<-chan struct{}, bool) {
	a := w.find(budget)
	if a == nil {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drawn, a.draw != ""
}

// Fenced reports whether a draw was refused because the holder is fenced. The
// entry then needs a new holder and a new wallet.
func (w *Wallet) Fenced() bool { return w.fenced.Load() }

// target is the balance that covers the demand of one horizon.
func (w *Wallet) target(a *account) int64 {
	if w.fixed > 0 {
		return w.fixed
	}
	demand := a.demand()*w.horizon.Seconds() + float64(a.peak)
	return int64(min(max(demand, float64(min(a.largest, maxAmount/firstDraw))*firstDraw), maxAmount))
}

// size is the amount of the next draw.
func (w *Wallet) size(a *account) int64 {
	size := max(w.target(a)-a.balance(), 0)
	if w.fixed > 0 {
		return w.fixed
	}
	if available, ok := w.available(a); ok {
		size = min(size, available/int64(2*max(1, w.holders())))
	}
	return size
}

// available returns what the ledger had available when this entry last knew.
func (w *Wallet) available(a *account) (int64, bool) {
	if w.availableOf != nil {
		if available, ok := w.availableOf(a.name); ok {
			return available, true
		}
	}
	return a.available, a.knowsAvailable
}

// exhausted reports whether the ledger has refused a draw just now and the
// amount exceeds what was left then, and what is left now as far as is known.
func (w *Wallet) exhausted(a *account, amount int64, now time.Time) bool {
	need := amount - a.balance()
	if !now.Before(a.exhaustedUntil) || need <= a.available {
		return false
	}
	available, _ := w.available(a)
	return need > available
}

// gather takes the amount from all stripes together. The lock makes concurrent
// calls wait for each other's rest instead of failing.
func (w *Wallet) gather(a *account, amount int64, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := a.remove(math.MaxInt64)
	if sum >= amount {
		a.add(sum - amount)
		return nil
	}
	a.add(sum)
	a.lastUse = now
	if w.exhausted(a, amount, now) {
		return &ExhaustedError{Budget: a.name, Amount: amount, Available: a.available, RetryAt: a.exhaustedUntil}
	}
	a.waiting = max(a.waiting, amount)
	return &InsufficientBalanceError{Budget: a.name, Amount: amount, Balance: sum}
}

// DueRecords returns the draws and returns to append now. It is to be called about
// once a second.
func (w *Wallet) DueRecords(now time.Time) []ledger.Record {
	w.seen(now)
	var records []ledger.Record
	w.all(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.tick(now)
		balance := a.balance()
		switch {
		case now.Sub(a.lastUse) >= idleHorizons*w.horizon:
			records = append(records, w.nonzero(w.takeBack(a, balance))...)
		case a.draw != "":
		case a.waiting > balance && !w.exhausted(a, a.waiting, now):
			records = append(records, w.startDraw(a, a.waiting-balance))
		case balance < w.target(a)/2 && !now.Before(a.exhaustedUntil):
			// A draw smaller than one request would only add to the log.
			if size := w.size(a); size >= max(1, min(a.largest, w.target(a)/4)) {
				w.begin(a)
				records = append(records, ledger.Draw{DrawID: a.draw, Budget: a.name, Holder: w.holder, Min: 1, Max: size})
			}
		}
	})
	return records
}

// takeBack takes up to amount from the balance and returns the record that
// gives it back to the ledger.
func (w *Wallet) takeBack(a *account, amount int64) ledger.Return {
	amount = a.remove(amount)
	a.credited -= amount
	return ledger.Return{ReturnID: w.id("return"), Budget: a.name, Holder: w.holder, Amount: amount}
}

// Recall returns the record that gives up to amount of the unreserved balance
// back, for a peer that is short of it.
func (w *Wallet) Recall(budget string, amount int64, now time.Time) []ledger.Record {
	w.seen(now)
	a := w.find(budget)
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if amount = min(amount, a.balance()); amount <= 0 {
		return nil
	}
	return w.nonzero(w.takeBack(a, amount))
}

// nonzero drops a return of nothing, which happens when reservations have taken
// the balance meanwhile.
func (w *Wallet) nonzero(r ledger.Return) []ledger.Record {
	if r.Amount == 0 {
		return nil
	}
	return []ledger.Record{r}
}

// ReturnAll returns the records that give all balances back, for shutdown.
// Reservations still in flight keep their amounts.
func (w *Wallet) ReturnAll() []ledger.Record {
	var records []ledger.Record
	w.all(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		records = append(records, w.nonzero(w.takeBack(a, math.MaxInt64))...)
	})
	return records
}

// ShouldRecall returns the amount that peers should be asked to return for a
// request that waits for amount after the ledger has refused it. If peers have
// returned anything, the caller calls ClearExhausted and tries a draw again; otherwise
// the refusal stays remembered and costs no draw. After a recall in vain,
// ShouldRecall returns false for recallEvery for each live holder, at most a
// second, so the messages of an exhausted budget are bounded.
func (w *Wallet) ShouldRecall(budget string, amount int64, now time.Time) (int64, bool) {
	w.seen(now)
	a := w.find(budget)
	if a == nil {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.nextRecall) || !now.Before(a.exhaustedUntil) {
		return 0, false
	}
	a.nextRecall = now.Add(min(recallEvery*time.Duration(max(1, w.holders())), exhaustedFor))
	// More than one request needs, so that the next ones find a balance.
	ahead := min(a.demand()*recallAhead.Seconds(), maxAmount)
	return max(amount-a.balance(), int64(ahead)), true
}

// ClearExhausted drops what is remembered of a refused draw, because a top-up or a
// return may have come.
func (w *Wallet) ClearExhausted(budget string) {
	if a := w.find(budget); a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.forget()
	}
}

// Observe applies the result of a record. It is to be called once with every
// record that this holder submits and may be called with those of others. A
// draw is credited once even if its result is observed twice, and so is a
// repeated attempt that the ledger did not charge.
func (w *Wallet) Observe(record ledger.Record, result ledger.Result) {
	switch r := record.(type) {
	case ledger.Draw:
		if r.Holder == w.holder {
			w.observeDraw(r, result)
		}
	case ledger.Bill:
		// The ledger did not charge a later attempt of a request that was billed
		// before. If the same attempt was billed by another entry, the amount is
		// spent.
		b, ok := result.(ledger.Billed)
		if ok && r.Holder == w.holder && b.Duplicate && b.FirstAttempt != r.Attempt && w.refundOnce(r.Attempt) {
			w.credit(r.Budget, r.Cost)
		}
	case ledger.Return:
		refused, ok := result.(ledger.Refused)
		if ok && r.Holder == w.holder && ledger.IsNotAppended(refused.Err) {
			w.credit(r.Budget, r.Amount)
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
	a := w.find(r.Budget)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draw != r.DrawID {
		return
	}
	a.draw = ""
	close(a.drawn)
	switch drawn := result.(type) {
	case ledger.Drawn:
		a.available, a.knowsAvailable = drawn.Available, true
		if drawn.Granted > 0 {
			a.add(drawn.Granted)
			a.credited += drawn.Granted
			a.forget()
			a.nextRecall = time.Time{}
		} else {
			a.exhaustedUntil = w.latest().Add(exhaustedFor)
		}
	case ledger.Refused:
		if _, ok := errors.AsType[*ledger.FencedError](drawn.Err); ok {
			w.fenced.Store(true)
		}
		if !ledger.IsNotAppended(drawn.Err) {
			a.available, a.knowsAvailable = 0, true
			a.exhaustedUntil = w.latest().Add(exhaustedFor)
		}
	}
}

// refundOnce reports whether the attempt is refunded for the first time. An
// entry submits the bill of an attempt twice if the agent has reported the
// usage again meanwhile.
func (w *Wallet) refundOnce(attempt string) bool {
	w.refundMu.Lock()
	defer w.refundMu.Unlock()
	if w.refunded[attempt] {
		return false
	}
	if len(w.refundOrder) == maxRefunds {
		delete(w.refunded, w.refundOrder[0])
		w.refundOrder = w.refundOrder[1:]
	}
	w.refunded[attempt] = true
	w.refundOrder = append(w.refundOrder, attempt)
	return true
}

func (w *Wallet) credit(budget string, amount int64) {
	if a := w.find(budget); a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.add(amount)
		a.credited += amount
	}
}
