package budget_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/budget"
	"briarreach/ledger"
)

// fleet simulates entries with steady demand in simulated time. The platform
// answers at once or, while it is down, not at all.
type fleet struct {
	rand     *rand.Rand
	now      time.Time
	log      *ledger.State
	wallets  []*budget.Wallet
	names    []string
	rates    []float64 // requests per second by budget, over all entries
	down     bool
	ending   map[time.Time][]ending
	unbilled []ledger.Record  // while the platform is down
	held     map[string]int64 // in reservations and unbilled, by budget
	serial   int
	known    []map[string]int64 // available amounts by entry, as it has last read them

	requests, refused, draws, recalls int
	wrong                             [2]int // refused although the budget held enough: see refuse
}

type ending struct {
	wallet, budget int
	reservation    budget.Reservation
	cost           int64
}

const (
	simulationStep = 100 * time.Millisecond
	readEvery      = 300 * time.Millisecond // more than the flush interval
)

func newFleet(seed uint64, entries int, prepaid int64, rates []float64, opts ...budget.Option) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 7)), now: start, log: ledger.NewState(), rates: rates, ending: map[time.Time][]ending{}, held: map[string]int64{}}
	for i := range rates {
		name := fmt.Sprint("budget-", i)
		f.names = append(f.names, name)
		f.apply(ledger.OpenBudget{Budget: name, Prepaid: prepaid, PatchID: "p"})
	}
	opts = append([]budget.Option{budget.WithStripes(2), budget.WithHolderCount(func() int { return entries })}, opts...)
	for i := range entries {
		f.known = append(f.known, map[string]int64{})
		known := budget.WithAvailable(func(name string) (int64, bool) {
			available, ok := f.known[i][name]
			return available, ok
		})
		f.wallets = append(f.wallets, budget.New(fmt.Sprint("h", i), append(opts, known)...))
	}
	return f
}

func (f *fleet) apply(r ledger.Record) ledger.Result {
	return f.log.Apply(ledger.Batch{At: f.now, Records: []ledger.Record{r}})[0]
}

// append applies the record unless the platform is down.
func (f *fleet) append(entry int, r ledger.Record) bool {
	w := f.wallets[entry]
	if f.down {
		w.Observe(r, ledger.Refused{Err: &ledger.NotAppendedError{}})
		return false
	}
	if _, ok := r.(ledger.Draw); ok {
		f.draws++
	}
	result := f.apply(r)
	f.read(entry, nameOf(r)) // appending includes reading what came before
	w.Observe(r, result)
	return true
}

func nameOf(r ledger.Record) string {
	if d, ok := r.(ledger.Draw); ok {
		return d.Budget
	}
	return r.(ledger.Return).Budget
}

func (f *fleet) read(entry int, name string) { f.known[entry][name], _ = f.log.Available(name) }

// reserve does what an entry does for a request: it reserves, draws and at last
// asks its peers.
func (f *fleet) reserve(entry int, name string, amount int64) (budget.Reservation, error) {
	w := f.wallets[entry]
	for range 4 {
		r, err := w.Reserve(name, amount, f.now)
		var exhausted *budget.ExhaustedError
		switch {
		case err == nil:
			return r, nil
		case errors.As(err, &exhausted):
			ask, ok := w.ShouldRecall(name, amount, f.now)
			if !ok || f.down {
				return r, err
			}
			f.recalls++
			returned := false
			for i, peer := range f.wallets {
				if i == entry {
					continue
				}
				for _, record := range peer.Recall(name, ask, f.now) {
					returned = f.append(i, record)
				}
			}
			if !returned {
				return r, err
			}
			w.ClearExhausted(name)
		}
		if d, ok := w.StartDraw(name, amount, f.now); ok && !f.append(entry, d) {
			return r, err
		}
	}
	return w.Reserve(name, amount, f.now)
}

// request lets one request run for a random time. Costs are far below the
// reservations, as with answers that end before max_tokens.
func (f *fleet) request(entry, b int) {
	amount := 200 + f.rand.Int64N(3800)
	name := f.names[b]
	f.requests++
	r, err := f.reserve(entry, name, amount)
	if err != nil {
		f.refuse(name, amount)
		return
	}
	f.held[name] += amount
	cost := int64(float64(amount) * (0.05 + 0.45*f.rand.Float64()))
	at := f.now.Add(time.Duration(1+f.rand.IntN(200)) * simulationStep)
	f.ending[at] = append(f.ending[at], ending{entry, b, r, cost})
}

// refuse counts a refusal as wrong if the budget held the reservation and 5 %
// of the prepaid amount, or the reservation and 5 % of it.
func (f *fleet) refuse(name string, amount int64) {
	f.refused++
	b, _ := f.log.Budget(name)
	free := b.Prepaid - b.Settled - f.held[name]
	if free >= amount+b.Prepaid/20 {
		f.wrong[0]++
	}
	if free >= amount+amount/20 {
		f.wrong[1]++
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(simulationStep)
	for _, e := range f.ending[f.now] {
		cost, _ := e.reservation.Settle(e.cost)
		f.held[f.names[e.budget]] -= e.reservation.Amount() - cost
		f.serial++
		f.unbilled = append(f.unbilled, ledger.Bill{Identity: ledger.NewIdentity("w", fmt.Sprint(f.serial), nil), Budget: f.names[e.budget],
			Holder: fmt.Sprint("h", e.wallet), Attempt: fmt.Sprint(f.serial), Cost: cost, At: f.now})
	}
	delete(f.ending, f.now)
	if !f.down {
		for _, r := range f.unbilled {
			b := r.(ledger.Bill)
			Expect(f.apply(b)).To(BeAssignableToTypeOf(ledger.Billed{}))
			f.held[b.Budget] -= b.Cost
		}
		f.unbilled = nil
	}
	if f.now.Sub(start)%readEvery == 0 && !f.down {
		for i := range f.wallets {
			for _, name := range f.names {
				f.read(i, name)
			}
		}
	}
	if f.now.Sub(start)%time.Second == 0 {
		for i, w := range f.wallets {
			for _, r := range w.DueRecords(f.now) {
				f.append(i, r)
			}
		}
	}
	for b, rate := range f.rates {
		for range f.poisson(rate * simulationStep.Seconds()) {
			f.request(f.rand.IntN(len(f.wallets)), b)
		}
	}
}

func (f *fleet) poisson(mean float64) int {
	limit, n, p := math.Exp(-mean), 0, f.rand.Float64()
	for p > limit {
		p *= f.rand.Float64()
		n++
	}
	return n
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func (f *fleet) reset() { f.requests, f.refused, f.draws, f.recalls, f.wrong = 0, 0, 0, 0, [2]int{} }

// zipf returns rates of budgets that sum to total.
func zipf(n int, total float64) []float64 {
	rates, sum := make([]float64, n), 0.0
	for i := range rates {
		rates[i] = 1 / float64(i+1)
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= total / sum
	}
	return rates
}

var policies = []struct {
	name string
	opts []budget.Option
}{
	{"adaptive", nil},
	{"fixed 4,000", []budget.Option{budget.WithFixedDrawSize(4_000)}},
	{"fixed 40,000", []budget.Option{budget.WithFixedDrawSize(40_000)}},
	{"fixed 400,000", []budget.Option{budget.WithFixedDrawSize(400_000)}},
	{"fixed 4,000,000", []budget.Option{budget.WithFixedDrawSize(4_000_000)}},
}

// seeds is the number of simulations to exhaustion; BUDGET_SEEDS sets it.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("BUDGET_SEEDS"), 10, 64)
	if err != nil {
		return 2
	}
	return n
}

var _ = Describe("False refusals", func() {
	It("stay under 1 % in a platform outage of 10 minutes", func() {
		// Guards against grants that cover too little of the demand.
		for _, p := range policies {
			f := newFleet(uint64(GinkgoRandomSeed()), 4, 1<<40, zipf(10, 40), p.opts...)
			f.run(30 * time.Minute)
			draws := float64(f.draws) / (30 * 60)
			f.reset()
			f.down = true
			f.run(10 * time.Minute)
			share := 100 * float64(f.refused) / float64(f.requests)
			outage := f.requests
			f.down = false
			f.reset()
			f.run(time.Minute)
			GinkgoWriter.Printf("%-16s outage: %6d requests, %6.2f %% refused; before: %.3f draws/s; after: %d of %d refused\n",
				p.name, outage, share, draws, f.refused, f.requests)
			if p.opts == nil {
				Expect(share).To(BeNumerically("<", 1))
				Expect(f.refused).To(BeZero())
			}
		}
	})

	It("don't happen while the budget holds enough and the platform answers", func() {
		// Guards against amounts that other entries hold while one is short.
		for _, p := range policies {
			var total fleet
			for seed := range seeds() {
				f := newFleet(seed+uint64(GinkgoRandomSeed()), 4, 2_000_000, zipf(10, 40), p.opts...)
				f.run(20 * time.Minute)
				total.requests += f.requests
				total.refused += f.refused
				total.draws += f.draws
				total.recalls += f.recalls
				total.wrong[0] += f.wrong[0]
				total.wrong[1] += f.wrong[1]
			}
			GinkgoWriter.Printf("%-16s to exhaustion: %d requests, %d refused; holding 5 %% of the budget more: %d, 5 %% of the reservation more: %d; %d draws, %d recalls\n",
				p.name, total.requests, total.refused, total.wrong[0], total.wrong[1], total.draws, total.recalls)
			if p.opts == nil {
				Expect(total.wrong[0]).To(BeZero())
			}
		}
	})
})
