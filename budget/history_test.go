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

// world is a fleet in one thread: entries with wallets, one agent that runs
// requests, and one shard of the ledger.
type world struct {
	t        *rapid.T
	rand     *rand.Rand
	now      time.Time
	log      *ledger.State
	down     bool // the platform
	entries  []*entry
	fenced   map[string]bool // as the agent knows them
	runs     []*run
	serial   int
	billed   map[ledger.Identity]string // the attempt of the bill that counted
	executed map[ledger.Identity]bool
	prepaid  map[string]int64 // of the naive version: one lock, one store, no failures
	patches  map[string]bool
}

type entry struct {
	holder       string
	wallet       *budget.Wallet
	outbox       []pending
	late         []answer
	dead, paused bool
}

type pending struct {
	record ledger.Record
	run    *run
}

type answer struct {
	pending
	result ledger.Result
}

type phase int

const (
	reserved phase = iota
	running
	finished
)

// run is one attempt of a request.
type run struct {
	attempt, budget, holder string
	identity                ledger.Identity
	amount, cost            int64
	reservation             budget.Reservation
	entry                   *entry
	phase                   phase
	over                    bool // cancelled, or settled by its entry
	acknowledged            bool // the agent has forgotten the usage
}

var budgets = []string{"x", "y"}

// newWorld draws only the seed, because rapid's integers prefer small values;
// the number of steps can still shrink.
func newWorld(t *rapid.T) *world {
	seed := rapid.SliceOfN(rapid.Uint64(), 4, 4).Draw(t, "seed")
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed[0]^seed[1]<<32, seed[2]^seed[3]<<32)), now: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC), log: ledger.NewState(), fenced: map[string]bool{},
		billed: map[ledger.Identity]string{}, executed: map[ledger.Identity]bool{}, prepaid: map[string]int64{}, patches: map[string]bool{}}
	for _, name := range budgets {
		w.prepaid[name] = int64(w.pick(200))
		w.apply(nil, pending{record: ledger.OpenBudget{Budget: name, Prepaid: w.prepaid[name], PatchID: "open"}})
	}
	for range 3 {
		w.addEntry()
	}
	return w
}

func (w *world) pick(n int) int { return w.rand.IntN(n) }

func (w *world) addEntry() {
	w.serial++
	holder := fmt.Sprint("h", w.serial)
	w.entries = append(w.entries, &entry{holder: holder, wallet: budget.New(holder, budget.WithStripes(2), budget.WithHolderCount(func() int { return 3 }))})
}

// apply appends the records as one batch and checks the limit, single billing
// and that no amount appears or vanishes.
func (w *world) apply(_ *entry, batch ...pending) []answer {
	records := make([]ledger.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	answers := make([]answer, len(batch))
	for i, result := range w.log.Apply(ledger.Batch{At: w.now, Records: records}) {
		answers[i] = answer{batch[i], result}
		b, ok := records[i].(ledger.Bill)
		r, is := result.(ledger.Billed)
		if ok && !is {
			w.t.Fatalf("a bill was refused: %+v: %v", b, result.(ledger.Refused).Err)
		}
		if ok && !r.Duplicate {
			if first, twice := w.billed[b.Identity]; twice {
				w.t.Fatalf("attempts %s and %s of one request were billed", first, b.Attempt)
			}
			w.billed[b.Identity] = b.Attempt
		}
	}
	for _, name := range budgets {
		b, ok := w.log.Budget(name)
		if ok && (b.Available() < 0 || b.Settled > w.prepaid[name]) {
			w.t.Fatalf("budget %s is overspent: %+v", name, b)
		}
	}
	return answers
}

func (w *world) observe(e *entry, a answer) {
	e.wallet.Observe(a.record, a.result)
	if _, ok := a.record.(ledger.Return); !ok && w.pick(4) == 0 {
		e.wallet.Observe(a.record, a.result) // an answer that comes twice
	}
	if _, ok := a.result.(ledger.Billed); ok && a.run != nil {
		a.run.acknowledged = true
	}
}

func (e *entry) submit(run *run, records ...ledger.Record) {
	for _, r := range records {
		e.outbox = append(e.outbox, pending{r, run})
	}
}

func (w *world) request(e *entry) {
	w.serial++
	id := w.serial
	if w.pick(3) == 0 {
		id = 1 + w.pick(w.serial) // a repeat
	}
	r := &run{attempt: fmt.Sprint("a", w.serial), budget: budgets[id%2], holder: e.holder, entry: e, amount: int64(w.pick(30)),
		identity: ledger.NewIdentity("w", fmt.Sprint(id), nil)}
	var err error
	if r.reservation, err = e.wallet.Reserve(r.budget, r.amount, w.now); err == nil {
		w.runs = append(w.runs, r)
		return
	}
	var short *budget.InsufficientBalanceError
	if errors.As(err, &short) {
		if d, ok := e.wallet.StartDraw(r.budget, r.amount, w.now); ok {
			e.submit(nil, d)
		}
	}
}

// advance moves one attempt to its next step.
func (w *world) advance(r *run) {
	switch {
	case r.phase == reserved && !r.over && !r.entry.dead && !r.entry.paused:
		if w.fenced[r.holder] {
			r.over = true
			r.reservation.Cancel()
			return
		}
		r.phase = running
	case r.phase == running:
		r.phase, r.cost = finished, min(r.amount, int64(w.pick(30)))
		w.executed[r.identity] = true
	case r.phase == finished && !r.over && !r.entry.dead && !r.entry.paused:
		r.over = true
		cost, _ := r.reservation.Settle(r.cost)
		r.reservation.Cancel()
		r.entry.submit(r, w.bill(r, cost))
	}
}

func (w *world) bill(r *run, cost int64) ledger.Bill {
	return ledger.Bill{Identity: r.identity, Budget: r.budget, Holder: r.holder, Attempt: r.attempt, Cost: cost, At: w.now}
}

// send appends some of the waiting records. The answer is lost, late, or in time.
func (w *world) send(e *entry) {
	if w.down || len(e.outbox) == 0 {
		return
	}
	n := 1 + w.pick(len(e.outbox))
	fate := w.pick(4)
	if fate == 0 {
		return // the batch was not applied
	}
	answers := w.apply(e, e.outbox[:n]...)
	if fate == 1 {
		return // the answer is lost, and the records are sent again
	}
	e.outbox = e.outbox[n:]
	if fate == 2 {
		e.late = append(e.late, answers...)
		return
	}
	for _, a := range answers {
		w.observe(e, a)
	}
}

func (w *world) observeLate(e *entry) {
	if len(e.late) > 0 {
		i := w.pick(len(e.late))
		w.observe(e, e.late[i])
		e.late = append(e.late[:i], e.late[i+1:]...)
	}
}

func (w *world) takeUsage(e *entry) {
	for _, r := range w.runs {
		if r.phase == finished && !r.acknowledged {
			e.submit(r, w.bill(r, r.cost))
		}
	}
}

// reclaim fences a holder and releases what no running attempt can spend.
func (w *world) reclaim(holder string, by *entry) {
	w.apply(by, pending{record: ledger.Fence{Holder: holder}})
	w.fenced[holder] = true
	held := map[string]int64{}
	for _, r := range w.runs {
		if r.holder != holder {
			continue
		}
		if r.phase == running && w.pick(2) == 0 {
			w.advance(r) // a stream, which the agent cancels
		}
		if r.phase == running {
			held[r.budget] += r.amount
		}
		if r.phase == finished && !r.acknowledged {
			w.apply(by, pending{w.bill(r, r.cost), r})
		}
	}
	for _, a := range w.apply(by, pending{record: ledger.Release{Holder: holder, Held: held}}) {
		w.observe(by, a)
	}
}

func (w *world) topUp() {
	w.serial++
	patch := fmt.Sprint("p", w.serial-w.pick(2))
	amount, name := int64(10+len(patch)), budgets[len(patch)%2]
	if !w.patches[patch] {
		w.patches[patch] = true
		w.prepaid[name] += amount
	}
	for range 1 + w.pick(2) {
		w.apply(nil, pending{record: ledger.TopUp{Budget: name, Amount: amount, PatchID: patch}})
	}
}

func (w *world) step() {
	e := w.entries[w.pick(len(w.entries))]
	op := w.pick(20)
	w.now = w.now.Add(time.Duration(op%3) * time.Second)
	switch {
	case op < 7 && len(w.runs) > 0: // most steps move attempts
		w.advance(w.runs[w.pick(len(w.runs))])
		return
	case op == 7:
		w.down = !w.down && w.pick(2) == 0
		return
	case op == 8 && !w.down:
		w.topUp()
		return
	case e.dead || e.paused:
		if other := w.entries[w.pick(len(w.entries))]; op < 15 && !w.down && !other.dead && !other.paused {
			w.reclaim(e.holder, other)
		} else {
			e.paused = false
		}
		return
	}
	switch op {
	case 9:
		e.outbox = append(e.outbox, pendingAll(e.wallet.DueRecords(w.now))...)
	case 10:
		e.submit(nil, e.wallet.Recall(budgets[w.pick(2)], int64(w.pick(60)), w.now)...)
	case 11:
		w.takeUsage(e)
	case 12:
		w.observeLate(e)
	case 13:
		if w.pick(3) == 0 {
			e.dead = true
			w.addEntry()
		} else {
			e.paused = true
		}
	case 14, 15, 16:
		w.send(e)
	default:
		w.request(e)
	}
}

func pendingAll(records []ledger.Record) []pending {
	var all []pending
	for _, r := range records {
		all = append(all, pending{record: r})
	}
	return all
}

func (w *world) flush(e *entry) {
	for _, a := range e.late {
		w.observe(e, a)
	}
	for _, a := range w.apply(e, e.outbox...) {
		w.observe(e, a)
	}
	e.late, e.outbox = nil, nil
}

// finish ends all faults and all work and compares with the naive version.
func (w *world) finish() {
	w.down = false
	w.addEntry()
	last := w.entries[len(w.entries)-1]
	for range 3 {
		for _, r := range w.runs {
			r.entry.paused = false
			w.advance(r)
		}
	}
	for _, e := range w.entries {
		if !e.dead {
			w.flush(e)
		}
		if e.dead || w.fenced[e.holder] {
			w.reclaim(e.holder, last)
		}
	}
	w.takeUsage(last)
	w.flush(last)
	for _, e := range w.entries {
		if !e.dead && !w.fenced[e.holder] {
			e.submit(nil, e.wallet.ReturnAll()...)
			w.flush(e)
		}
	}
	cost := map[string]int64{}
	for _, r := range w.runs {
		if w.billed[r.identity] == r.attempt {
			cost[r.budget] += r.cost
		}
	}
	if len(w.billed) != len(w.executed) {
		w.t.Fatalf("%d requests ran, %d were billed", len(w.executed), len(w.billed))
	}
	for _, name := range budgets {
		b, _ := w.log.Budget(name)
		if b.Prepaid != w.prepaid[name] || b.Settled != cost[name] || len(b.Outstanding) != 0 {
			w.t.Fatalf("budget %s: %+v; want prepaid %d, settled %d, nothing outstanding", name, b, w.prepaid[name], cost[name])
		}
	}
}

var _ = Describe("Wallets and the ledger", func() {
	// Guards against overspending, double and lost bills and lost amounts when
	// holders crash or pause between any two steps, answers are lost, late,
	// doubled or reordered, the platform fails, and holders are fenced and wake.
	It("agree with a naive version in random histories", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			for range rapid.SampledFrom([]int{20, 60, 120, 240}).Draw(t, "steps") {
				w.step()
			}
			w.finish()
		})
	})
})
