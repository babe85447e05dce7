package budget_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/budget"
	"briarreach/ledger"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// newFundedWallet returns a wallet that was granted the amount of budget "x".
func newFundedWallet(amount int64, opts ...budget.Option) *budget.Wallet {
	w := budget.New("h", opts...)
	grant(w, amount, amount)
	return w
}

func grant(w *budget.Wallet, need, granted int64) {
	d, ok := w.StartDraw("x", w.Balance("x")+need, start)
	if !ok {
		panic("no draw")
	}
	w.Observe(d, ledger.Drawn{Granted: granted})
}

var _ = Describe("Wallet", func() {
	It("requests a draw and credits it once", func() {
		w := budget.New("h")
		_, err := w.Reserve("x", 10, start)
		var pending *budget.InsufficientBalanceError
		Expect(errors.As(err, &pending)).To(BeTrue())
		d, ok := w.StartDraw("x", 10, start)
		Expect(ok).To(BeTrue())
		Expect(d.Min).To(BeEquivalentTo(10))
		Expect(d.Max).To(BeNumerically(">=", 10))
		_, ok = w.StartDraw("x", 10, start)
		Expect(ok).To(BeFalse(), "one draw in flight")
		Expect(w.DueRecords(start)).To(BeEmpty(), "one draw in flight")
		drawn, ok := w.DrawInFlight("x")
		Expect(ok).To(BeTrue())
		Expect(drawn).NotTo(BeClosed())
		w.Observe(d, ledger.Drawn{Granted: 30})
		Expect(drawn).To(BeClosed())
		_, ok = w.DrawInFlight("x")
		Expect(ok).To(BeFalse())
		w.Observe(d, ledger.Drawn{Granted: 30})
		Expect(w.Balance("x")).To(BeEquivalentTo(30))
	})

	It("remembers a refused draw for a second", func() {
		// Guards against store traffic for each request of an exhausted budget.
		w := budget.New("h")
		d, _ := w.StartDraw("x", 10, start)
		w.Observe(d, ledger.Drawn{Available: 7})
		for range 100 {
			_, err := w.Reserve("x", 10, start)
			var exhausted *budget.ExhaustedError
			Expect(errors.As(err, &exhausted)).To(BeTrue())
			Expect(exhausted.Available).To(BeEquivalentTo(7))
			_, ok := w.StartDraw("x", 10, start)
			Expect(ok).To(BeFalse())
		}
		Expect(w.DueRecords(start)).To(BeEmpty())
		_, ok := w.StartDraw("x", 7, start)
		Expect(ok).To(BeTrue(), "less than what is available")
		ask, ok := w.StartRecall("x", 10, start)
		Expect(ok).To(BeTrue())
		Expect(ask).To(BeEquivalentTo(10))
		_, ok = w.StartRecall("x", 10, start)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("retries when a refused draw may succeed", func(after time.Duration, event func(*budget.Wallet)) {
		// Guards against refusals after a top-up has come.
		w := budget.New("h")
		d, _ := w.StartDraw("x", 10, start)
		w.Observe(d, ledger.Drawn{})
		event(w)
		_, ok := w.StartDraw("x", 10, start.Add(after))
		Expect(ok).To(BeTrue())
	},
		Entry("after a second", time.Second, func(*budget.Wallet) {}),
		Entry("after a top-up", time.Duration(0), func(w *budget.Wallet) { w.Observe(ledger.TopUp{Budget: "x"}, ledger.ToppedUp{}) }),
		Entry("after a release", time.Duration(0), func(w *budget.Wallet) {
			w.Observe(ledger.Release{Holder: "g"}, ledger.Released{Returned: map[string]int64{"x": 5}})
		}),
		Entry("after ClearExhausted", time.Duration(0), func(w *budget.Wallet) { w.ClearExhausted("x") }),
	)

	It("may draw again if the draw was not appended", func() {
		// Guards against a budget that waits forever for a withdrawn draw.
		w := budget.New("h")
		d, _ := w.StartDraw("x", 10, start)
		w.Observe(d, ledger.Refused{Err: &ledger.NotAppendedError{}})
		_, ok := w.StartDraw("x", 10, start)
		Expect(ok).To(BeTrue())
	})

	It("reports that its holder is fenced", func() {
		// Guards against an entry that refuses all requests after a long pause,
		// because its holder was fenced during the pause.
		w := budget.New("h")
		d, _ := w.StartDraw("x", 10, start)
		Expect(w.Fenced()).To(BeFalse())
		w.Observe(d, ledger.Refused{Err: &ledger.FencedError{Holder: "h"}})
		Expect(w.Fenced()).To(BeTrue())
	})

	It("reserves an amount of 0 without a draw", func() {
		// Guards against a request with a cost of 0 that waits for a draw.
		r, err := budget.New("h").Reserve("x", 0, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Amount()).To(BeZero())
	})

	It("credits a return that was not appended", func() {
		w := newFundedWallet(50)
		records := w.ReturnUpTo("x", 20, start)
		Expect(records).To(HaveLen(1))
		Expect(w.Balance("x")).To(BeEquivalentTo(30))
		w.Observe(records[0], ledger.Refused{Err: &ledger.NotAppendedError{}})
		Expect(w.Balance("x")).To(BeEquivalentTo(50))
	})

	It("limits a cost to the reservation and settles once", func() {
		w := newFundedWallet(50)
		r, err := w.Reserve("x", 20, start)
		Expect(err).NotTo(HaveOccurred())
		cost, ok := r.Settle(25)
		Expect(cost).To(BeEquivalentTo(20))
		Expect(ok).To(BeTrue())
		_, ok = r.Settle(5)
		Expect(ok).To(BeFalse())
		r.Cancel()
		Expect(w.Balance("x")).To(BeEquivalentTo(30))
		_, err = w.Reserve("x", -1, start)
		var amount *budget.AmountError
		Expect(errors.As(err, &amount)).To(BeTrue())
	})

	It("caps draws near exhaustion", func() {
		// Guards against one entry that draws amounts that the others need.
		w := newFundedWallet(1000, budget.WithHolderCount(func() int { return 5 }))
		for second := range 30 {
			now := start.Add(time.Duration(second) * time.Second)
			if r, err := w.Reserve("x", 20, now); err == nil {
				r.Settle(20)
			}
			for _, record := range w.DueRecords(now) {
				d := record.(ledger.Draw)
				Expect(d.Max).To(BeNumerically("<=", 10000/(2*5)))
				w.Observe(d, ledger.Drawn{Granted: d.Max, Available: 10000})
			}
		}
	})

	It("returns a balance that was idle for two horizons", func() {
		w := newFundedWallet(50, budget.WithHorizon(time.Minute))
		for second := range 119 {
			Expect(w.DueRecords(start.Add(time.Duration(second) * time.Second))).To(BeEmpty())
		}
		Expect(w.DueRecords(start.Add(2 * time.Minute))).To(HaveExactElements(HaveField("Amount", int64(50))))
		Expect(w.DueRecords(start.Add(3 * time.Minute))).To(BeEmpty())
	})

	It("refuses no reservation that fits in the balance and grants no more", func() {
		// Guards against balances that are hidden or counted twice while
		// reservations, settlements, recalls and grants race.
		const threads, rounds, largest = 16, 5000, int64(100)
		// A thread holds at most the largest amount at a time, and the recall 1.
		const granted = threads*largest + 1
		w := newFundedWallet(granted, budget.WithStripes(4))
		var refused atomic.Int64
		var wg sync.WaitGroup
		for n := range threads {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(uint64(n), 1))
				for round := range rounds {
					amount := largest - r.Int64N(2)
					reservation, err := w.Reserve("x", amount, start)
					if err != nil {
						refused.Add(1)
						continue
					}
					runtime.Gosched() // so that usually all threads hold a reservation
					cost, _ := reservation.Settle(r.Int64N(amount + 1))
					reservation.Cancel()
					bill := ledger.Bill{Budget: "x", Holder: "h", Attempt: fmt.Sprint(n, "/", round), Cost: cost}
					w.Observe(bill, ledger.Billed{FirstAttempt: "other", Duplicate: true})
				}
			})
		}
		wg.Go(func() {
			for range rounds {
				for _, record := range w.ReturnUpTo("x", 1, start) {
					w.Observe(record, ledger.Refused{Err: &ledger.NotAppendedError{}})
				}
			}
		})
		wg.Wait()
		Expect(refused.Load()).To(BeZero())
		Expect(w.Balance("x")).To(BeEquivalentTo(granted))
	})
})

// cpuTime returns the processor time that the process has used. Unlike the
// wall time it does not depend on what else the machine runs.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// parallel runs f on all threads and reports the processor time for each call.
func parallel(b *testing.B, f func(i int)) {
	b.ReportAllocs()
	before := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			f(i)
		}
	})
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkReserveSettle measures a pair of Reserve and Settle. The scaling is
// the processor time of a pair on one thread divided by that on several.
func BenchmarkReserveSettle(b *testing.B) {
	for _, budgets := range []int{1, 10} {
		b.Run(fmt.Sprint("budgets=", budgets), func(b *testing.B) {
			w := budget.New("h")
			names := make([]string, budgets)
			for i := range names {
				names[i] = fmt.Sprint("budget-", i)
				d, _ := w.StartDraw(names[i], 1<<50, start)
				w.Observe(d, ledger.Drawn{Granted: 1 << 50})
			}
			parallel(b, func(i int) {
				r, err := w.Reserve(names[i%budgets], 100, start)
				if err != nil {
					panic(err)
				}
				r.Settle(50)
			})
		})
	}
}
