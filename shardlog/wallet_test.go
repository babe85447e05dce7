package shardlog_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/budget"
	"briarreach/ledger"
	"briarreach/shardlog"
)

var _ = Describe("Wallets on journals", func() {
	// Guards against amounts that are lost or spent twice between the wallet, the
	// journal and a store with faults. They are connected as in an entry.
	It("account for every token", func(ctx context.Context) {
		const entries, requests, prepaid = 3, 400, 30_000
		store := newMemoryStore()
		store.randomFaults(rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 2)), 0.2)
		wallets := make([]*budget.Wallet, entries)
		journals := make([]*shardlog.Journal, entries)
		for i := range entries {
			available := func(name string) (amount int64, ok bool) {
				journals[i].Read(name, func(s *ledger.State) { amount, ok = s.Available(name) })
				return amount, ok
			}
			wallets[i] = budget.New(fmt.Sprint("h", i), budget.WithHolderCount(func() int { return entries }), budget.WithAvailable(available))
			journals[i] = startJournal(store, 2, shardlog.WithSnapshotInterval(8), shardlog.WithObserver(wallets[i].Observe))
		}
		openBudgets(ctx, journals[0], prepaid, "x")
		var spent, refused atomic.Int64
		var running sync.WaitGroup
		for i := range entries {
			running.Go(func() {
				defer GinkgoRecover()
				r := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), uint64(i)))
				w, j := wallets[i], journals[i]
				for n := range requests {
					now := time.Unix(int64(n), 0) // a request a second
					for _, record := range w.DueRecords(now) {
						Expect(j.Submit(record, "x", nil)).To(Succeed())
					}
					if n%50 == 49 {
						for _, record := range w.ReturnUpTo("x", 100, now) {
							Expect(j.Submit(record, "x", nil)).To(Succeed())
						}
					}
					amount := 1 + r.Int64N(100)
					reservation, err := w.Reserve("x", amount, now)
					for range 3 {
						if _, pending := errors.AsType[*budget.InsufficientBalanceError](err); !pending {
							break
						}
						if d, ok := w.StartDraw("x", amount, now); ok {
							submitNow(ctx, j, "x", d)
						} else if drawn, ok := w.DrawInFlight("x"); ok {
							<-drawn
						}
						reservation, err = w.Reserve("x", amount, now)
					}
					if err != nil {
						refused.Add(1)
						continue
					}
					cost, _ := reservation.Settle(r.Int64N(amount + 1))
					spent.Add(cost)
					attempt := fmt.Sprint(i, "/", n)
					Expect(j.Submit(ledger.Bill{Identity: ledger.NewIdentity("w", attempt, nil), Budget: "x", Holder: fmt.Sprint("h", i),
						Attempt: attempt, Cost: cost, At: time.Now()}, "x", func(r ledger.Result, err error) {
						defer GinkgoRecover()
						Expect(err).NotTo(HaveOccurred())
						Expect(r).To(Equal(ledger.Billed{Cost: cost, FirstAttempt: attempt, Duplicate: r.(ledger.Billed).Duplicate}))
					})).To(Succeed())
				}
			})
		}
		running.Wait()
		for range 2 { // a draw in flight may be credited after the first pass
			for i, j := range journals {
				Eventually(j.Pending, "20s").Should(BeZero())
				for _, record := range wallets[i].ReturnAll() {
					Expect(j.Submit(record, "x", nil)).To(Succeed())
				}
				Eventually(j.Pending, "20s").Should(BeZero())
			}
		}
		Eventually(func() error { return journals[0].Refresh(ctx) }).Should(Succeed())
		Expect(balance(journals[0], "x")).To(Equal(ledger.Balance{Prepaid: prepaid, Settled: spent.Load(), Outstanding: map[string]int64{}}))
		GinkgoWriter.Printf("spent %d, refused %d of %d\n", spent.Load(), refused.Load(), entries*requests)
		Expect(spent.Load()).To(BeNumerically(">", prepaid/10), "the test does something")
	})
})
