package journal_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/journal"
	"briarreach/ledger"
	"briarreach/table"
)

func start(store table.Store, shards int, opts ...journal.Option) *journal.Journal {
	GinkgoHelper()
	j, err := journal.New(store, shards, append([]journal.Option{journal.WithFlushInterval(time.Millisecond)}, opts...)...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func(ctx context.Context) { Expect(j.Close(ctx)).To(Succeed()) })
	return j
}

func balance(j *journal.Journal, budget string) ledger.Balance {
	var b ledger.Balance
	j.Read(budget, func(s *ledger.State) { b, _ = s.Budget(budget) })
	return b
}

var _ = Describe("Journal", func() {
	It("appends records and shows them to another writer", func(ctx context.Context) {
		store := newMemoryStore()
		a, b := start(store, 4, journal.WithWriter("a")), start(store, 4, journal.WithWriter("b"))
		results, err := a.Transact(ctx, table.Transaction{}, []ledger.Record{
			ledger.OpenBudget{Budget: "x", Prepaid: 100, PatchID: "p"}, ledger.OpenBudget{Budget: "y", Prepaid: 50, PatchID: "p"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(results).To(HaveExactElements(ledger.Opened{Prepaid: 100}, ledger.Opened{Prepaid: 50}))
		Expect(b.SubmitNow(ctx, "x", ledger.Draw{DrawID: "d", Budget: "x", Holder: "b", Min: 1, Max: 30})).
			To(Equal(ledger.Drawn{Granted: 30, Available: 70}))
		Expect(a.Refresh(ctx)).To(Succeed())
		Expect(balance(a, "x").Outstanding).To(Equal(map[string]int64{"b": 30}))
	})

	It("fences a holder in the shards where it draws later, too", func(ctx context.Context) {
		// Guards against a paused holder that draws in a shard without a Fence record.
		store := newMemoryStore()
		a, b := start(store, 8, journal.WithWriter("a")), start(store, 8, journal.WithWriter("b"))
		var records []ledger.Record
		for i := range 8 {
			records = append(records, ledger.OpenBudget{Budget: fmt.Sprint("b", i), Prepaid: 100, PatchID: "p"})
		}
		_, err := a.Transact(ctx, table.Transaction{}, records)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.SubmitNow(ctx, "b0", ledger.Draw{DrawID: "d", Budget: "b0", Holder: "h", Min: 1, Max: 30})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.FenceHolder(ctx, "h")).To(Succeed())
		for i := range 8 {
			name := fmt.Sprint("b", i)
			r, err := b.SubmitNow(ctx, name, ledger.Draw{DrawID: "d" + name, Budget: name, Holder: "h", Min: 1, Max: 30})
			Expect(err).NotTo(HaveOccurred())
			var fenced *ledger.FencedError
			Expect(errors.As(r.(ledger.Refused).Err, &fenced)).To(BeTrue())
		}
		Expect(a.ReleaseHolder(ctx, "h", map[string]int64{"b0": 10})).To(Succeed())
		Expect(balance(a, "b0").Outstanding).To(Equal(map[string]int64{"h": 10}))
	})
})
