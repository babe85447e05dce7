package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/journal"
	"briarreach/ledger"
	"briarreach/table"
)

var _ = Describe("Journal with a failing store", func() {
	// Guards against records that are lost or take effect twice when answers
	// are lost, applied late, throttled or refused.
	It("applies every record once", func(ctx context.Context) {
		store := newMemoryStore()
		seed := uint64(GinkgoRandomSeed())
		store.randomFaults(rand.New(rand.NewPCG(seed, 1)), 0.3)
		const writers, bills, cost = 3, 600, 7
		var journals []*journal.Journal
		for i := range writers {
			journals = append(journals, start(store, 2, journal.WithWriter(fmt.Sprint("w", i))))
		}
		_, err := journals[0].Transact(ctx, table.Transaction{}, []ledger.Record{ledger.OpenBudget{Budget: "x", Prepaid: 1 << 40, PatchID: "p"}})
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		for i, j := range journals {
			holder := fmt.Sprint("w", i)
			_, err := j.SubmitNow(ctx, "x", ledger.Draw{DrawID: "d" + holder, Budget: "x", Holder: holder, Min: bills * cost, Max: bills * cost})
			Expect(err).NotTo(HaveOccurred())
			for n := range bills {
				wg.Add(1)
				b := ledger.Bill{Identity: ledger.NewIdentity(holder, fmt.Sprint(n), nil), Budget: "x", Holder: holder, Attempt: fmt.Sprint(n), Cost: cost, At: time.Now()}
				Expect(j.Submit(b, "x", func(r ledger.Result, err error) {
					defer wg.Done()
					defer GinkgoRecover()
					Expect(err).NotTo(HaveOccurred())
					Expect(r.(ledger.Billed).Cost).To(BeEquivalentTo(cost))
				})).To(Succeed())
				if n%20 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}
		wg.Wait()
		Eventually(func() error { return journals[0].Refresh(ctx) }).Should(Succeed())
		Expect(balance(journals[0], "x")).To(Equal(ledger.Balance{Prepaid: 1 << 40, Settled: writers * bills * cost, Outstanding: map[string]int64{}}))
	})
})
