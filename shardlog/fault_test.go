package shardlog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/ledger"
	"briarreach/shardlog"
	"briarreach/table"
)

var _ = Describe("Journal with a failing store", func() {
	// Guards against records that are lost or take effect twice when responses are
	// lost and when writes are delayed, throttled or refused.
	It("applies every record once", func(ctx context.Context) {
		store := newMemoryStore()
		const snapshotInterval = 8 // snapshots and deletions in between
		seed := uint64(GinkgoRandomSeed())
		store.randomFaults(rand.New(rand.NewPCG(seed, 1)), 0.3)
		const writers, bills, cost = 3, 600, 7
		var journals []*shardlog.Journal
		for range writers {
			journals = append(journals, startJournal(store, 2, shardlog.WithSnapshotInterval(snapshotInterval)))
		}
		openBudgets(ctx, journals[0], 1<<40, "x")
		var wg sync.WaitGroup
		for i, j := range journals {
			holder := fmt.Sprint("w", i)
			submitNow(ctx, j, "x", draw("d"+holder, "x", holder, bills*cost))
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
					submitNow(ctx, j, "x", ledger.Fence{Holder: "nobody"})
				}
			}
		}
		wg.Wait()
		Eventually(func() error { return journals[0].Refresh(ctx) }).Should(Succeed())
		Expect(balance(journals[0], "x")).To(Equal(ledger.Balance{Prepaid: 1 << 40, Settled: writers * bills * cost, Outstanding: map[string]int64{}}))
	})

	DescribeTable("finds out the outcome of records whose row was deleted before it was read back, or reports it as unknown", func(ctx context.Context, window time.Duration, match OmegaMatcher) {
		// Guards against reporting a batch as lost although its records took effect,
		// and against a second effect once their identifiers may have expired.
		store := newMemoryStore()
		a := startJournal(store, 1, shardlog.WithSnapshotInterval(8))
		openBudgets(ctx, a, 1000, "x")
		submitNow(ctx, a, "x", draw("d0", "x", "h", 100))
		faulty := store.withoutFaults()
		var responseLost, readsFail atomic.Bool
		faulty.onCommit = func(table.Transaction) fault {
			if responseLost.CompareAndSwap(false, true) {
				readsFail.Store(true)
				return ambiguousApplied
			}
			return noFault
		}
		faulty.onRead = func() fault {
			if readsFail.Load() {
				return unavailable
			}
			return noFault
		}
		b := startJournal(faulty, 1, shardlog.WithBillWindow(window), shardlog.WithFlushInterval(20*time.Millisecond))
		results := make(chan ledger.Result, 3)
		for _, r := range []ledger.Record{
			draw("d1", "x", "h", 50), ledger.Return{ReturnID: "r", Budget: "x", Holder: "h", Amount: 30},
			ledger.Bill{Identity: ledger.NewIdentity("w", "1", nil), Budget: "x", Holder: "h", Attempt: "a", Cost: 20},
		} {
			Expect(b.Submit(r, "x", func(r ledger.Result, _ error) { results <- r })).To(Succeed())
		}
		Eventually(readsFail.Load).Should(BeTrue())
		appendBatches(ctx, a, "x", 60)
		readsFail.Store(false)
		var got []ledger.Result
		for range 3 {
			var r ledger.Result
			Eventually(results, "10s").Should(Receive(&r))
			got = append(got, r)
		}
		Expect(got).To(match)
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(balance(b, "x")).To(Equal(ledger.Balance{Prepaid: 1000, Settled: 20, Outstanding: map[string]int64{"h": 100}}))
	},
		Entry("within the bill window", 15*time.Minute, HaveExactElements(ledger.Drawn{Granted: 50, Available: 880, Duplicate: true},
			ledger.Returned{Amount: 30, Duplicate: true}, ledger.Billed{Cost: 20, FirstAttempt: "a", Duplicate: true})),
		Entry("after the bill window", time.Nanosecond, ConsistOf(HaveField("Err", matchError[*shardlog.UnresolvedError]()),
			HaveField("Err", matchError[*shardlog.UnresolvedError]()), ledger.Billed{Cost: 20, FirstAttempt: "a", Duplicate: true})),
	)
})
