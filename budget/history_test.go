package budget_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"briarreach/budget"
	"briarreach/ledger"
)

// simulation runs a fleet in one goroutine: entries with wallets, one agent that
// runs requests, and one shard of the ledger.
type simulation struct {
	t              *rapid.T
	rand           *rand.Rand
	now            time.Time
	state          *ledger.State
	ledgerDown     bool // the platform's table service is down
	entries        []*entry
	fenced         map[string]bool // holders that the agent knows to be fenced
	attempts       []*attempt
	lastNumber     int
	billed         map[ledger.Identity]string // the attempt of the bill that was charged
	executed       map[ledger.Identity]bool
	wantPrepaid    map[string]int64 // of the reference model: one lock, one store, no failures
	appliedPatches map[string]bool
}

type entry struct {
	holder          string
	wallet          *budget.Wallet
	outbox          []queuedRecord
	delayedResults  []recordResult
	crashed, paused bool
}

type queuedRecord struct {
	record  ledger.Record
	attempt *attempt
}

type recordResult struct {
	queuedRecord
	result ledger.Result
}

type phase int

const (
	reserved phase = iota
	running
	finished
)

// attempt is one attempt of a request.
type attempt struct {
	id, budget, holder string
	identity           ledger.Identity
	amount, cost       int64
	reservation        budget.Reservation
	entry              *entry
	phase              phase
	done               bool // its entry has cancelled or settled it
	acknowledged       bool // the agent has dropped the usage
}

var budgets = []string{"x", "y"}

// newSimulation draws only the seed from rapid, because rapid's integers prefer
// small values. Rapid can still shrink the number of steps.
func newSimulation(t *rapid.T) *simulation {
	seed := rapid.SliceOfN(rapid.Uint64(), 4, 4).Draw(t, "seed")
	s := &simulation{t: t, rand: rand.New(rand.NewPCG(seed[0]^seed[1]<<32, seed[2]^seed[3]<<32)), now: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC), state: ledger.NewState(), fenced: map[string]bool{},
		billed: map[ledger.Identity]string{}, executed: map[ledger.Identity]bool{}, wantPrepaid: map[string]int64{}, appliedPatches: map[string]bool{}}
	for _, name := range budgets {
		s.wantPrepaid[name] = int64(s.randomInt(200))
		s.apply(nil, queuedRecord{record: ledger.OpenBudget{Budget: name, Prepaid: s.wantPrepaid[name], PatchID: "open"}})
	}
	for range 3 {
		s.addEntry()
	}
	return s
}

func (s *simulation) randomInt(n int) int { return s.rand.IntN(n) }

func (s *simulation) addEntry() {
	s.lastNumber++
	holder := fmt.Sprint("h", s.lastNumber)
	s.entries = append(s.entries, &entry{holder: holder, wallet: budget.New(holder, budget.WithStripes(2), budget.WithHolderCount(func() int { return 3 }))})
}

// apply appends the records as one batch; it does not use the entry. It checks
// that no bill is refused, that each request is billed at most once and that no
// budget is overspent. finish checks that no amount disappeared.
func (s *simulation) apply(_ *entry, batch ...queuedRecord) []recordResult {
	records := make([]ledger.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	results := make([]recordResult, len(batch))
	for i, result := range s.state.Apply(ledger.Batch{At: s.now, Records: records}) {
		results[i] = recordResult{batch[i], result}
		b, ok := records[i].(ledger.Bill)
		r, billedOK := result.(ledger.Billed)
		if ok && !billedOK {
			s.t.Fatalf("a bill was refused: %+v: %v", b, result.(ledger.Refused).Err)
		}
		if ok && !r.Duplicate {
			if first, twice := s.billed[b.Identity]; twice {
				s.t.Fatalf("attempts %s and %s of one request were billed", first, b.Attempt)
			}
			s.billed[b.Identity] = b.Attempt
		}
	}
	for _, name := range budgets {
		b, ok := s.state.Budget(name)
		if ok && (b.Available() < 0 || b.Settled > s.wantPrepaid[name]) {
			s.t.Fatalf("budget %s is overspent: %+v", name, b)
		}
	}
	return results
}

func (s *simulation) deliver(e *entry, a recordResult) {
	e.wallet.Observe(a.record, a.result)
	if _, ok := a.record.(ledger.Return); !ok && s.randomInt(4) == 0 {
		e.wallet.Observe(a.record, a.result) // a duplicate response
	}
	if _, ok := a.result.(ledger.Billed); ok && a.attempt != nil {
		a.attempt.acknowledged = true
	}
}

func (e *entry) submit(a *attempt, records ...ledger.Record) {
	for _, r := range records {
		e.outbox = append(e.outbox, queuedRecord{r, a})
	}
}

func (s *simulation) startRequest(e *entry) {
	s.lastNumber++
	id := s.lastNumber
	if s.randomInt(3) == 0 {
		id = 1 + s.randomInt(s.lastNumber) // a retry by the caller
	}
	r := &attempt{id: fmt.Sprint("a", s.lastNumber), budget: budgets[id%2], holder: e.holder, entry: e, amount: int64(s.randomInt(30)),
		identity: ledger.NewIdentity("w", fmt.Sprint(id), nil)}
	var err error
	if r.reservation, err = e.wallet.Reserve(r.budget, r.amount, s.now); err == nil {
		s.attempts = append(s.attempts, r)
		return
	}
	var insufficient *budget.InsufficientBalanceError
	if errors.As(err, &insufficient) {
		if d, ok := e.wallet.StartDraw(r.budget, r.amount, s.now); ok {
			e.submit(nil, d)
		}
	}
}

// advanceAttempt moves one attempt to its next phase.
func (s *simulation) advanceAttempt(r *attempt) {
	switch {
	case r.phase == reserved && !r.done && !r.entry.crashed && !r.entry.paused:
		if s.fenced[r.holder] {
			r.done = true
			r.reservation.Cancel()
			return
		}
		r.phase = running
	case r.phase == running:
		r.phase, r.cost = finished, min(r.amount, int64(s.randomInt(30)))
		s.executed[r.identity] = true
	case r.phase == finished && !r.done && !r.entry.crashed && !r.entry.paused:
		r.done = true
		cost, _ := r.reservation.Settle(r.cost)
		r.reservation.Cancel()
		r.entry.submit(r, s.bill(r, cost))
	}
}

func (s *simulation) bill(r *attempt, cost int64) ledger.Bill {
	return ledger.Bill{Identity: r.identity, Budget: r.budget, Holder: r.holder, Attempt: r.id, Cost: cost, At: s.now}
}

// send appends some of the queued records. The response is lost, delayed or in
// time.
func (s *simulation) send(e *entry) {
	if s.ledgerDown || len(e.outbox) == 0 {
		return
	}
	n := 1 + s.randomInt(len(e.outbox))
	outcome := s.randomInt(4)
	if outcome == 0 {
		return // the batch was not applied
	}
	results := s.apply(e, e.outbox[:n]...)
	if outcome == 1 {
		return // the response is lost, and the records are sent again
	}
	e.outbox = e.outbox[n:]
	if outcome == 2 {
		e.delayedResults = append(e.delayedResults, results...)
		return
	}
	for _, a := range results {
		s.deliver(e, a)
	}
}

func (s *simulation) deliverDelayed(e *entry) {
	if len(e.delayedResults) > 0 {
		i := s.randomInt(len(e.delayedResults))
		s.deliver(e, e.delayedResults[i])
		e.delayedResults = append(e.delayedResults[:i], e.delayedResults[i+1:]...)
	}
}

func (s *simulation) resubmitUsage(e *entry) {
	for _, r := range s.attempts {
		if r.phase == finished && !r.acknowledged {
			e.submit(r, s.bill(r, r.cost))
		}
	}
}

// reclaim fences a holder and releases the amounts that no running attempt holds.
func (s *simulation) reclaim(holder string, by *entry) {
	s.apply(by, queuedRecord{record: ledger.Fence{Holder: holder}})
	s.fenced[holder] = true
	held := map[string]int64{}
	for _, r := range s.attempts {
		if r.holder != holder {
			continue
		}
		if r.phase == running && s.randomInt(2) == 0 {
			s.advanceAttempt(r) // the agent cancels a stream
		}
		if r.phase == running {
			held[r.budget] += r.amount
		}
		if r.phase == finished && !r.acknowledged {
			s.apply(by, queuedRecord{s.bill(r, r.cost), r})
		}
	}
	for _, a := range s.apply(by, queuedRecord{record: ledger.Release{Holder: holder, Held: held}}) {
		s.deliver(by, a)
	}
}

func (s *simulation) topUp() {
	s.lastNumber++
	patch := fmt.Sprint("p", s.lastNumber-s.randomInt(2))
	amount, name := int64(10+len(patch)), budgets[len(patch)%2]
	if !s.appliedPatches[patch] {
		s.appliedPatches[patch] = true
		s.wantPrepaid[name] += amount
	}
	for range 1 + s.randomInt(2) {
		s.apply(nil, queuedRecord{record: ledger.TopUp{Budget: name, Amount: amount, PatchID: patch}})
	}
}

func (s *simulation) step() {
	e := s.entries[s.randomInt(len(s.entries))]
	op := s.randomInt(20)
	s.now = s.now.Add(time.Duration(op%3) * time.Second)
	switch {
	case op < 7 && len(s.attempts) > 0: // most steps advance attempts
		s.advanceAttempt(s.attempts[s.randomInt(len(s.attempts))])
		return
	case op == 7:
		s.ledgerDown = !s.ledgerDown && s.randomInt(2) == 0
		return
	case op == 8 && !s.ledgerDown:
		s.topUp()
		return
	case e.crashed || e.paused:
		if other := s.entries[s.randomInt(len(s.entries))]; op < 15 && !s.ledgerDown && !other.crashed && !other.paused {
			s.reclaim(e.holder, other)
		} else {
			e.paused = false
		}
		return
	}
	switch op {
	case 9:
		e.outbox = append(e.outbox, queuedRecords(e.wallet.DueRecords(s.now))...)
	case 10:
		e.submit(nil, e.wallet.ReturnUpTo(budgets[s.randomInt(2)], int64(s.randomInt(60)), s.now)...)
	case 11:
		s.resubmitUsage(e)
	case 12:
		s.deliverDelayed(e)
	case 13:
		if s.randomInt(3) == 0 {
			e.crashed = true
			s.addEntry()
		} else {
			e.paused = true
		}
	case 14, 15, 16:
		s.send(e)
	default:
		s.startRequest(e)
	}
}

func queuedRecords(records []ledger.Record) []queuedRecord {
	var all []queuedRecord
	for _, r := range records {
		all = append(all, queuedRecord{record: r})
	}
	return all
}

func (s *simulation) flush(e *entry) {
	for _, a := range e.delayedResults {
		s.deliver(e, a)
	}
	for _, a := range s.apply(e, e.outbox...) {
		s.deliver(e, a)
	}
	e.delayedResults, e.outbox = nil, nil
}

// finish ends all faults, completes all work and compares the result with the
// reference model.
func (s *simulation) finish() {
	s.ledgerDown = false
	s.addEntry()
	last := s.entries[len(s.entries)-1]
	for range 3 {
		for _, r := range s.attempts {
			r.entry.paused = false
			s.advanceAttempt(r)
		}
	}
	for _, e := range s.entries {
		if !e.crashed {
			s.flush(e)
		}
		if e.crashed || s.fenced[e.holder] {
			s.reclaim(e.holder, last)
		}
	}
	s.resubmitUsage(last)
	s.flush(last)
	for _, e := range s.entries {
		if !e.crashed && !s.fenced[e.holder] {
			e.submit(nil, e.wallet.ReturnAll()...)
			s.flush(e)
		}
	}
	cost := map[string]int64{}
	for _, r := range s.attempts {
		if s.billed[r.identity] == r.id {
			cost[r.budget] += r.cost
		}
	}
	if len(s.billed) != len(s.executed) {
		s.t.Fatalf("%d requests ran, %d were billed", len(s.executed), len(s.billed))
	}
	for _, name := range budgets {
		b, _ := s.state.Budget(name)
		if b.Prepaid != s.wantPrepaid[name] || b.Settled != cost[name] || len(b.Outstanding) != 0 {
			s.t.Fatalf("budget %s: %+v; want prepaid %d, settled %d, nothing outstanding", name, b, s.wantPrepaid[name], cost[name])
		}
	}
}

var _ = Describe("Wallets and the ledger", func() {
	// Guards against overspending, double and lost bills and lost amounts when
	// holders crash or pause between any two steps, responses are lost, delayed,
	// duplicated or reordered, the platform fails, and fenced holders resume.
	It("agree with a reference model in random histories", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newSimulation(t)
			for range rapid.SampledFrom([]int{20, 60, 120, 240}).Draw(t, "steps") {
				s.step()
			}
			s.finish()
		})
	})
})
