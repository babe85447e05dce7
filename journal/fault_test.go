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
)

var _ = Describe("Journal with a failing store", func() {
	// Guards against records that are lost or take effect twice when answers
	// are lost, applied late, throttled or refused.
	It("applies every record once", func(ctx context.Context) {
		store := newMemoryStore()
		const every = 8 // snapshots and deletions in between
		seed := uint64(GinkgoRandomSeed())
		store.randomFaults(rand.New(rand.NewPCG(seed, 1)), 0.3)
		const writers, bills, cost = 3, 600, 7
		var journals []*journal.Journal
		for range writers {
			journals = append(journals, start(store, 2, journal.WithSnapshotEvery(every)))
		}
		open(ctx, journals[0], 1<<40, "x")
		var wg sync.WaitGroup
		for i, j := range journals {
			holder := fmt.Sprint("w", i)
			submit(ctx, j, "x", draw("d"+holder, "x", holder, bills*cost))
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
					submit(ctx, j, "x", ledger.Fence{Holder: "nobody"})
				}
			}
		}
		wg.Wait()
		Eventually(func() error { return journals[0].Refresh(ctx) }).Should(Succeed())
		Expect(balance(journals[0], "x")).To(Equal(ledger.Balance{Prepaid: 1 << 40, Settled: writers * bills * cost, Outstanding: map[string]int64{}}))
	})
})
