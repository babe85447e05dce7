package ledger

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLogTimeAdvance limits how far one batch advances the log time. After a
	// platform outage every entry flushes bills that are as old as the outage;
	// without the limit the first batch would make the bills of the others expire.
	maxLogTimeAdvance = 5 * time.Second

	// topUpWindow is how long top-ups are remembered for deduplication: operators'
	// tools retry for hours, not days.
	topUpWindow = 24 * time.Hour

	// fenceWindow is how long a fenced holder without outstanding amounts is
	// remembered. Its fence row in the table service is kept.
	fenceWindow = 7 * 24 * time.Hour

	// maxNameBytes limits identifiers, so that a batch of many records fits in
	// a row.
	maxNameBytes = 256
)

// Option configures a State.
type Option func(*State)

// WithBillWindow sets how long, in log time, bills, draws and returns are
// remembered for deduplication. The default is 15 minutes.
func WithBillWindow(d time.Duration) Option {
	return func(s *State) { s.billWindowMillis = d.Milliseconds() }
}

// State is the state of one shard. Its log time is the latest time of the applied
// batches, except that one batch advances it by at most maxLogTimeAdvance. It is
// not safe for concurrent use.
type State struct {
	billWindowMillis int64
	logTimeMillis    int64 // Unix milliseconds
	budgets          map[string]*account
	fenced           map[string]int64 // log time of the fence, Unix milliseconds, by holder

	bills   map[Identity]*chargedBill
	draws   map[string]appliedRecord // by draw id
	returns map[string]appliedRecord // by return id
	topUps  map[topUpKey]appliedRecord

	// The keys of the maps above in the order in which they expire.
	billOrder   expiryQueue[Identity]
	drawOrder   expiryQueue[string]
	returnOrder expiryQueue[string]
	topUpOrder  expiryQueue[topUpKey]
}

type account struct {
	name             string
	patchID          string
	prepaid          int64
	settled          int64
	totalOutstanding int64 // sum of outstanding
	outstanding      map[string]int64
}

func (a *account) available() int64 { return a.prepaid - a.settled - a.totalOutstanding }

func (a *account) reduceOutstanding(holder string, amount int64) {
	if amount == 0 {
		return
	}
	a.totalOutstanding -= amount
	if a.outstanding[holder] -= amount; a.outstanding[holder] == 0 {
		delete(a.outstanding, holder)
	}
}

// chargedBill is what BillInfo reports. It is kept small, since a shard remembers
// thousands.
type chargedBill struct {
	account        *account
	attempt        string
	lastRepeat     uint64 // hash of the attempt of the last duplicate bill that was counted
	cost           int64
	billedAtMillis int64 // Bill.At, Unix milliseconds
	loggedAtMillis int64 // log time, Unix milliseconds
	repeats        int32 // see BillInfo.Repeats
}

type appliedRecord struct{ amount, loggedAtMillis int64 }

type topUpKey struct{ PatchID, Budget string }

// Balance is the state of one budget in budget tokens. Outstanding is what draws
// have granted and is neither billed nor returned.
type Balance struct {
	Prepaid, Settled int64
	Outstanding      map[string]int64 // by holder
}

// Available returns the amount that is neither settled nor outstanding.
func (b Balance) Available() int64 {
	free := b.Prepaid - b.Settled
	for _, amount := range b.Outstanding {
		free -= amount
	}
	return free
}

// BillInfo is the remembered bill that was charged for an identity.
type BillInfo struct {
	Budget, Attempt string
	Cost            int64
	At              time.Time
	// Repeats is the number of later attempts that were billed as duplicates.
	Repeats int
}

// NewState returns an empty shard.
func NewState(opts ...Option) *State {
	s := &State{
		billWindowMillis: (15 * time.Minute).Milliseconds(),
		budgets:          map[string]*account{},
		fenced:           map[string]int64{},
		bills:            map[Identity]*chargedBill{},
		draws:            map[string]appliedRecord{},
		returns:          map[string]appliedRecord{},
		topUps:           map[topUpKey]appliedRecord{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Apply applies the records of the batch in order. The results depend on
// nothing but the batches applied before.
func (s *State) Apply(b Batch) []Result {
	s.advanceLogTime(b.At)
	results := make([]Result, len(b.Records))
	for i, r := range b.Records {
		results[i] = s.applyRecord(r, b.At)
	}
	return results
}

func (s *State) advanceLogTime(at time.Time) {
	next := at.UnixMilli()
	if s.logTimeMillis != 0 {
		next = min(next, s.logTimeMillis+maxLogTimeAdvance.Milliseconds())
	}
	if next <= s.logTimeMillis {
		return
	}
	s.logTimeMillis = next
	expire(&s.billOrder, s.logTimeMillis-s.billWindowMillis, func(id Identity, logged int64) {
		if b := s.bills[id]; b != nil && b.loggedAtMillis == logged {
			delete(s.bills, id)
		}
	})
	expire(&s.drawOrder, s.logTimeMillis-s.billWindowMillis, func(id string, _ int64) { delete(s.draws, id) })
	expire(&s.returnOrder, s.logTimeMillis-s.billWindowMillis, func(id string, _ int64) { delete(s.returns, id) })
	expire(&s.topUpOrder, s.logTimeMillis-topUpWindow.Milliseconds(), func(k topUpKey, _ int64) { delete(s.topUps, k) })
}

func (s *State) applyRecord(r Record, at time.Time) Result {
	if err := Validate(r); err != nil {
		return Refused{err}
	}
	switch r := r.(type) {
	case OpenBudget:
		return s.open(r)
	case TopUp:
		return s.topUp(r)
	case Draw:
		return s.draw(r)
	case Bill:
		// With a clock that runs ahead, a retry by the caller would look like a new
		// request after the window.
		if r.At.IsZero() || r.At.After(at) {
			r.At = at
		}
		return s.bill(r)
	case Return:
		return s.returnAmount(r)
	case Fence:
		return s.fence(r)
	case Release:
		return s.release(r)
	default:
		return Refused{&InvalidRecordError{"kind", "is unknown"}}
	}
}

// Validate reports a value out of range as *InvalidRecordError.
func Validate(r Record) error {
	name := func(field, v string) error {
		if v == "" {
			return &InvalidRecordError{field, "is empty"}
		}
		if len(v) > maxNameBytes {
			return &InvalidRecordError{field, "is too long"}
		}
		return nil
	}
	amount := func(field string, v, least int64) error {
		if v < least {
			return &InvalidRecordError{field, "is too small"}
		}
		return nil
	}
	switch r := r.(type) {
	case OpenBudget:
		return firstError(name("budget", r.Budget), name("patch_id", r.PatchID), amount("prepaid", r.Prepaid, 0))
	case TopUp:
		return firstError(name("budget", r.Budget), name("patch_id", r.PatchID), amount("amount", r.Amount, 1))
	case Draw:
		return firstError(name("draw_id", r.DrawID), name("budget", r.Budget), name("holder", r.Holder),
			amount("min", r.Min, 0), amount("max", r.Max, max(r.Min, 1)))
	case Bill:
		if len(r.Attempt) > maxNameBytes || len(r.Outcome) > maxNameBytes {
			return &InvalidRecordError{"attempt or outcome", "is too long"}
		}
		return firstError(name("budget", r.Budget), name("holder", r.Holder), amount("cost", r.Cost, 0),
			amount("prompt_tokens", r.PromptTokens, 0), amount("completion_tokens", r.CompletionTokens, 0))
	case Return:
		return firstError(name("return_id", r.ReturnID), name("budget", r.Budget), name("holder", r.Holder), amount("amount", r.Amount, 1))
	case Fence:
		return name("holder", r.Holder)
	case Release:
		for _, held := range r.Held {
			if err := amount("held", held, 0); err != nil {
				return err
			}
		}
		return name("holder", r.Holder)
	default:
		return &InvalidRecordError{"kind", "is unknown"}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *State) open(r OpenBudget) Result {
	if a, ok := s.budgets[r.Budget]; ok {
		if a.patchID != r.PatchID {
			return Refused{&BudgetExistsError{r.Budget, a.patchID}}
		}
		return Opened{Prepaid: a.prepaid, Duplicate: true}
	}
	s.budgets[r.Budget] = &account{name: r.Budget, patchID: r.PatchID, prepaid: r.Prepaid, outstanding: map[string]int64{}}
	return Opened{Prepaid: r.Prepaid}
}

func (s *State) topUp(r TopUp) Result {
	a, ok := s.budgets[r.Budget]
	if !ok {
		return Refused{&UnknownBudgetError{r.Budget}}
	}
	key := topUpKey{r.PatchID, r.Budget}
	if _, ok := s.topUps[key]; ok {
		return ToppedUp{Prepaid: a.prepaid, Duplicate: true}
	}
	if a.prepaid > math.MaxInt64-r.Amount {
		return Refused{&InvalidRecordError{"amount", "overflows the prepaid amount"}}
	}
	a.prepaid += r.Amount
	s.topUps[key] = appliedRecord{r.Amount, s.logTimeMillis}
	s.topUpOrder.push(key, s.logTimeMillis)
	return ToppedUp{Prepaid: a.prepaid}
}

func (s *State) draw(r Draw) Result {
	a, ok := s.budgets[r.Budget]
	if !ok {
		return Refused{&UnknownBudgetError{r.Budget}}
	}
	if applied, ok := s.draws[r.DrawID]; ok {
		return Drawn{Granted: applied.amount, Available: a.available(), Duplicate: true}
	}
	if _, ok := s.fenced[r.Holder]; ok {
		return Refused{&FencedError{r.Holder}}
	}
	granted := min(r.Max, a.available())
	if granted < r.Min {
		granted = 0
	}
	if granted > 0 {
		a.outstanding[r.Holder] += granted
		a.totalOutstanding += granted
	}
	s.draws[r.DrawID] = appliedRecord{granted, s.logTimeMillis}
	s.drawOrder.push(r.DrawID, s.logTimeMillis)
	return Drawn{Granted: granted, Available: a.available()}
}

func (s *State) bill(r Bill) Result {
	a, ok := s.budgets[r.Budget]
	if !ok {
		return Refused{&UnknownBudgetError{r.Budget}}
	}
	at := r.At.UnixMilli()
	if b, ok := s.bills[r.Identity]; ok && (b.attempt == r.Attempt || at-b.billedAtMillis < s.billWindowMillis) {
		if last := xxhash.Sum64String(r.Attempt); r.Attempt != b.attempt && last != b.lastRepeat {
			b.repeats, b.lastRepeat = b.repeats+1, last
		}
		return Billed{Cost: b.cost, FirstAttempt: b.attempt, Duplicate: true}
	}
	if oldest := s.logTimeMillis - s.billWindowMillis; at < oldest {
		return Refused{&ExpiredBillError{r.Identity, r.At, time.UnixMilli(oldest).UTC()}}
	}
	if have := a.outstanding[r.Holder]; r.Cost > have {
		return Refused{&OverdrawnError{r.Budget, r.Holder, r.Cost, have}}
	}
	a.reduceOutstanding(r.Holder, r.Cost)
	a.settled += r.Cost
	s.bills[r.Identity] = &chargedBill{account: a, attempt: r.Attempt, cost: r.Cost, billedAtMillis: at, loggedAtMillis: s.logTimeMillis}
	s.billOrder.push(r.Identity, s.logTimeMillis)
	return Billed{Cost: r.Cost, FirstAttempt: r.Attempt}
}

func (s *State) returnAmount(r Return) Result {
	a, ok := s.budgets[r.Budget]
	if !ok {
		return Refused{&UnknownBudgetError{r.Budget}}
	}
	if applied, ok := s.returns[r.ReturnID]; ok {
		return Returned{Amount: applied.amount, Duplicate: true}
	}
	// After Release, the outstanding amount is reserved for the running attempts; a
	// holder that resumes must not return it.
	if _, ok := s.fenced[r.Holder]; ok {
		return Refused{&FencedError{r.Holder}}
	}
	if have := a.outstanding[r.Holder]; r.Amount > have {
		return Refused{&OverdrawnError{r.Budget, r.Holder, r.Amount, have}}
	}
	a.reduceOutstanding(r.Holder, r.Amount)
	s.returns[r.ReturnID] = appliedRecord{r.Amount, s.logTimeMillis}
	s.returnOrder.push(r.ReturnID, s.logTimeMillis)
	return Returned{Amount: r.Amount}
}

func (s *State) fence(r Fence) Result {
	if _, ok := s.fenced[r.Holder]; !ok {
		s.expireFences()
		s.fenced[r.Holder] = s.logTimeMillis
	}
	return Fenced{Outstanding: s.Outstanding(r.Holder)}
}

// expireFences removes holders that were fenced longer than fenceWindow ago and
// have no outstanding amounts.
func (s *State) expireFences() {
	for holder, at := range s.fenced {
		if at < s.logTimeMillis-fenceWindow.Milliseconds() && len(s.Outstanding(holder)) == 0 {
			delete(s.fenced, holder)
		}
	}
}

func (s *State) release(r Release) Result {
	if _, ok := s.fenced[r.Holder]; !ok {
		return Refused{&NotFencedError{r.Holder}}
	}
	returned := map[string]int64{}
	for budget, have := range s.Outstanding(r.Holder) {
		if back := have - r.Held[budget]; back > 0 {
			s.budgets[budget].reduceOutstanding(r.Holder, back)
			returned[budget] = back
		}
	}
	return Released{Returned: returned}
}

// Outstanding returns the outstanding amounts of the holder by budget.
func (s *State) Outstanding(holder string) map[string]int64 {
	sums := map[string]int64{}
	for name, a := range s.budgets {
		if amount := a.outstanding[holder]; amount > 0 {
			sums[name] = amount
		}
	}
	return sums
}

// Budget returns the balance of a budget.
func (s *State) Budget(name string) (Balance, bool) {
	a, ok := s.budgets[name]
	if !ok {
		return Balance{}, false
	}
	return Balance{Prepaid: a.prepaid, Settled: a.settled, Outstanding: maps.Clone(a.outstanding)}, true
}

// Available returns the amount of a budget that is neither settled nor
// outstanding.
func (s *State) Available(name string) (int64, bool) {
	a, ok := s.budgets[name]
	if !ok {
		return 0, false
	}
	return a.available(), true
}

// Budgets returns the names of the budgets, sorted.
func (s *State) Budgets() []string { return slices.Sorted(maps.Keys(s.budgets)) }

// Holders returns the outstanding amounts by holder and budget.
func (s *State) Holders() map[string]map[string]int64 {
	holders := map[string]map[string]int64{}
	for name, a := range s.budgets {
		for holder, amount := range a.outstanding {
			if holders[holder] == nil {
				holders[holder] = map[string]int64{}
			}
			holders[holder][name] = amount
		}
	}
	return holders
}

// BillOf returns the bill that was charged for the identity, while it is
// remembered.
func (s *State) BillOf(id Identity) (BillInfo, bool) {
	b, ok := s.bills[id]
	if !ok {
		return BillInfo{}, false
	}
	return BillInfo{Budget: b.account.name, Attempt: b.attempt, Cost: b.cost, At: time.UnixMilli(b.billedAtMillis).UTC(), Repeats: int(b.repeats)}, true
}

// Fenced reports whether the holder is fenced in this shard.
func (s *State) Fenced(holder string) bool {
	_, ok := s.fenced[holder]
	return ok
}

// LogTime returns the log time.
func (s *State) LogTime() time.Time { return time.UnixMilli(s.logTimeMillis).UTC() }

// Clone returns an independent copy.
func (s *State) Clone() *State {
	c := *s
	c.budgets = make(map[string]*account, len(s.budgets))
	for name, a := range s.budgets {
		b := *a
		b.outstanding = maps.Clone(a.outstanding)
		c.budgets[name] = &b
	}
	c.bills = make(map[Identity]*chargedBill, len(s.bills))
	for id, b := range s.bills {
		copied := *b
		copied.account = c.budgets[b.account.name]
		c.bills[id] = &copied
	}
	c.fenced = maps.Clone(s.fenced)
	c.draws = maps.Clone(s.draws)
	c.returns = maps.Clone(s.returns)
	c.topUps = maps.Clone(s.topUps)
	c.billOrder = s.billOrder.clone()
	c.drawOrder = s.drawOrder.clone()
	c.returnOrder = s.returnOrder.clone()
	c.topUpOrder = s.topUpOrder.clone()
	return &c
}
