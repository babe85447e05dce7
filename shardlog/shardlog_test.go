package shardlog_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/ledger"
	"briarreach/shardlog"
	"briarreach/table"
)

func startJournal(store table.Store, shards int, opts ...shardlog.Option) *shardlog.Journal {
	GinkgoHelper()
	j, err := shardlog.New(store, shards, append([]shardlog.Option{shardlog.WithFlushInterval(time.Millisecond)}, opts...)...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func(ctx context.Context) { Expect(j.Close(ctx)).To(Succeed()) })
	return j
}

func balance(j *shardlog.Journal, budget string) ledger.Balance {
	var b ledger.Balance
	j.Read(budget, func(s *ledger.State) { b, _ = s.Budget(budget) })
	return b
}

func openBudgets(ctx context.Context, j *shardlog.Journal, prepaid int64, names ...string) {
	GinkgoHelper()
	for _, name := range names {
		_, err := j.Transact(ctx, table.Transaction{}, []ledger.Record{ledger.OpenBudget{Budget: name, Prepaid: prepaid, PatchID: "p"}})
		Expect(err).NotTo(HaveOccurred())
	}
}

func draw(id, budget, holder string, amount int64) ledger.Draw {
	return ledger.Draw{DrawID: id, Budget: budget, Holder: holder, Min: amount, Max: amount}
}

func submitNow(ctx context.Context, j *shardlog.Journal, budget string, r ledger.Record) ledger.Result {
	GinkgoHelper()
	result, err := j.SubmitNow(ctx, budget, r)
	Expect(err).NotTo(HaveOccurred())
	return result
}

// appendBatches appends n batches.
func appendBatches(ctx context.Context, j *shardlog.Journal, budget string, n int) {
	GinkgoHelper()
	for range n {
		submitNow(ctx, j, budget, ledger.Fence{Holder: "nobody"})
	}
}

func matchError[E error]() OmegaMatcher {
	return Satisfy(func(err error) bool {
		_, ok := errors.AsType[E](err)
		return ok
	})
}

var _ = Describe("Journal", func() {
	var store *memoryStore
	BeforeEach(func() { store = newMemoryStore() })

	It("appends records and shows them to another writer", func(ctx context.Context) {
		a, b := startJournal(store, 4), startJournal(store, 4)
		results, err := a.Transact(ctx, table.Transaction{}, []ledger.Record{
			ledger.OpenBudget{Budget: "x", Prepaid: 100, PatchID: "p"}, ledger.OpenBudget{Budget: "y", Prepaid: 50, PatchID: "p"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(results).To(HaveExactElements(ledger.Opened{Prepaid: 100}, ledger.Opened{Prepaid: 50}))
		Expect(submitNow(ctx, b, "x", draw("d", "x", "b", 30))).To(Equal(ledger.Drawn{Granted: 30, Available: 70}))
		Expect(a.Refresh(ctx)).To(Succeed())
		Expect(balance(a, "x").Outstanding).To(Equal(map[string]int64{"b": 30}))
	})

	It("puts the records of an interval in one batch and writes nothing without records", func(ctx context.Context) {
		// Guards against one write for each bill.
		j := startJournal(store, 1, shardlog.WithFlushInterval(50*time.Millisecond))
		openBudgets(ctx, j, 1000, "x")
		submitNow(ctx, j, "x", draw("d", "x", "h", 1000))
		before := j.Stats().Commits
		var done sync.WaitGroup
		for n := range 100 {
			done.Add(1)
			bill := ledger.Bill{Identity: ledger.NewIdentity("w", fmt.Sprint(n), nil), Budget: "x", Holder: "h", Cost: 1}
			Expect(j.Submit(bill, "x", func(ledger.Result, error) { done.Done() })).To(Succeed())
		}
		done.Wait()
		Expect(j.Stats().Commits - before).To(BeNumerically("<=", 2))
		Consistently(func() int64 { return j.Stats().Commits }, "200ms").Should(Equal(j.Stats().Commits))
	})

	It("refuses an append by a writer that was paused while rows were deleted", func(ctx context.Context) {
		// Guards against an append with a sequence number that was used before.
		a, b := startJournal(store, 1, shardlog.WithSnapshotInterval(8)), startJournal(store, 1)
		openBudgets(ctx, a, 100, "x")
		submitNow(ctx, b, "x", draw("d0", "x", "b", 30))
		// After two appends in a row, b does not read before the next.
		Expect(submitNow(ctx, b, "x", draw("d1", "x", "b", 30))).To(Equal(ledger.Drawn{Granted: 30, Available: 40}))
		appendBatches(ctx, a, "x", 60)
		Eventually(func() int { return store.rowCount("ledger/0") }).Should(BeNumerically("<", 40))
		Expect(submitNow(ctx, a, "x", draw("d2", "x", "a", 40))).To(Equal(ledger.Drawn{Granted: 40}))
		appendBatches(ctx, a, "x", 60)
		Expect(submitNow(ctx, b, "x", draw("d3", "x", "b", 1))).To(Equal(ledger.Drawn{}))
		Expect(b.Stats().Conflicts).To(BeNumerically(">", 0))
	})

	It("bounds the rows that it keeps", func(ctx context.Context) {
		a, b := startJournal(store, 1, shardlog.WithSnapshotInterval(8)), startJournal(store, 1, shardlog.WithSnapshotInterval(8))
		openBudgets(ctx, a, 100, "x")
		for range 50 {
			appendBatches(ctx, a, "x", 2)
			appendBatches(ctx, b, "x", 2)
		}
		Eventually(func() int { return store.rowCount("ledger/0") }).Should(BeNumerically("<", 8*4))
		Expect(store.rowCount("ledger_snapshot/0")).To(Equal(1))
	})

	It("stores a snapshot that is larger than a row", func(ctx context.Context) {
		// Guards against shards whose bills of 15 minutes exceed a row.
		a := startJournal(store, 1, shardlog.WithSnapshotInterval(2))
		openBudgets(ctx, a, 1<<40, "x")
		submitNow(ctx, a, "x", draw("d", "x", "h", 1<<40))
		for batch := range 12 {
			var done sync.WaitGroup
			for n := range 900 {
				done.Add(1)
				id := fmt.Sprint(batch, "/", n)
				Expect(a.Submit(ledger.Bill{Identity: ledger.NewIdentity("w", id, nil), Budget: "x", Holder: "h", Cost: 1,
					Attempt: "01JMA0000000000000000000000000" + id}, "x", func(ledger.Result, error) { done.Done() })).To(Succeed())
			}
			done.Wait()
		}
		Eventually(func() int { return store.rowCount("ledger_snapshot/0") }).Should(BeNumerically(">", 2))
		b := startJournal(store, 1)
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(balance(b, "x").Settled).To(BeEquivalentTo(12 * 900))
	})

	It("bounds the queued records", func() {
		down := store.withoutFaults()
		down.onRead = func() fault { return unavailable }
		j, err := shardlog.New(down, 1, shardlog.WithMaxPending(3))
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			Expect(j.Submit(draw("d", "x", "h", 1), "x", nil)).To(Succeed())
		}
		Expect(j.Submit(draw("d", "x", "h", 1), "x", nil)).To(matchError[*shardlog.QueueFullError]())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(j.Close(ctx)).To(matchError[*shardlog.ClosedError]())
		Expect(j.Submit(draw("d", "x", "h", 1), "x", nil)).To(matchError[*shardlog.ClosedError]())
	})

	It("appends the queued records when it closes", func(ctx context.Context) {
		j, err := shardlog.New(store, 1, shardlog.WithFlushInterval(time.Hour))
		Expect(err).NotTo(HaveOccurred())
		openBudgets(ctx, j, 100, "x")
		result := make(chan ledger.Result, 1)
		Expect(j.Submit(draw("d", "x", "h", 5), "x", func(r ledger.Result, err error) { result <- r })).To(Succeed())
		Expect(j.Close(ctx)).To(Succeed())
		Expect(result).To(Receive(Equal(ledger.Drawn{Granted: 5, Available: 95})))
	})

	DescribeTable("reports to the observer the outcome of a record whose submitter has stopped waiting", func(ctx context.Context, behind bool, want ledger.Result) {
		// Guards against grants that are outstanding but credited to no balance, and
		// against budgets that wait forever for a withdrawn draw.
		down := store.withoutFaults()
		var broken atomic.Bool
		broken.Store(true)
		down.onCommit = func(table.Transaction) fault {
			if broken.Load() {
				return ambiguousNotApplied
			}
			return noFault
		}
		openBudgets(ctx, startJournal(store, 1), 100, "x")
		seen := make(chan ledger.Result, 2)
		j := startJournal(down, 1, shardlog.WithObserver(func(r ledger.Record, result ledger.Result) {
			if _, ok := r.(ledger.Draw); ok {
				seen <- result
			}
		}))
		if behind {
			// The draw stays in the queue while the outcome of this batch is unknown.
			Expect(j.Submit(ledger.Fence{Holder: "nobody"}, "x", nil)).To(Succeed())
			Eventually(func() int64 { return j.Stats().AmbiguousCommits }).Should(BeNumerically(">", 0))
		}
		waiting, cancel := context.WithCancel(ctx)
		go func() {
			for j.Stats().AmbiguousCommits == 0 || behind && j.Pending() < 2 {
				runtime.Gosched()
			}
			cancel()
		}()
		_, err := j.SubmitNow(waiting, "x", draw("d", "x", "h", 5))
		Expect(err).To(matchError[*shardlog.UnfinishedError]())
		broken.Store(false)
		Eventually(seen, "5s").Should(Receive(Equal(want)))
		Expect(seen).NotTo(Receive())
	},
		Entry("appended later", false, ledger.Drawn{Granted: 5, Available: 95}),
		Entry("withdrawn", true, ledger.Refused{Err: &ledger.NotAppendedError{Err: context.Canceled}}),
	)
})

var _ = Describe("Transact", func() {
	var store *memoryStore
	var caller = table.Key{Partition: "config", Sort: "head"}
	var other *shardlog.Journal
	write := table.Transaction{Writes: []table.Write{{Key: caller, Expect: table.Absent{}, Value: []byte("v")}}}
	topUp := []ledger.Record{ledger.TopUp{Budget: "x", Amount: 10, PatchID: "t"}, ledger.TopUp{Budget: "y", Amount: 10, PatchID: "t"}}
	BeforeEach(func(ctx context.Context) {
		store = newMemoryStore()
		other = startJournal(store, 4)
		openBudgets(ctx, other, 100, "x", "y")
	})
	check := func(ctx context.Context, prepaid int64, value string) {
		GinkgoHelper()
		Expect(other.Refresh(ctx)).To(Succeed())
		Expect(balance(other, "x").Prepaid).To(Equal(prepaid))
		Expect(balance(other, "y").Prepaid).To(Equal(prepaid))
		rows, err := store.Get(ctx, caller)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rows[0].Value)).To(Equal(value))
	}

	DescribeTable("applies everything once when the first commit ends", func(ctx context.Context, f fault) {
		// Guards against a top-up that is applied without its configuration or twice,
		// and against a conflict reported to an operator whose own write was applied.
		faulty := store.withoutFaults()
		first := true
		faulty.onCommit = func(table.Transaction) fault {
			if first {
				first = false
				return f
			}
			return noFault
		}
		j := startJournal(faulty, 4)
		results, err := j.Transact(ctx, write, topUp)
		Expect(err).NotTo(HaveOccurred())
		Expect(results).To(HaveEach(ledger.ToppedUp{Prepaid: 110}))
		check(ctx, 110, "v")
	},
		Entry("well", noFault), Entry("in a conflict", conflicting), Entry("unavailable", unavailable), Entry("throttled", throttled),
		Entry("applied without a response", ambiguousApplied), Entry("not applied without a response", ambiguousNotApplied),
		Entry("applied later", ambiguousDelayed))

	DescribeTable("without records applies the rows once when the first commit ends", func(ctx context.Context, f fault) {
		faulty := store.withoutFaults()
		first := true
		faulty.onCommit = func(table.Transaction) fault {
			if first {
				first = false
				return f
			}
			return noFault
		}
		_, err := startJournal(faulty, 4).Transact(ctx, write, nil)
		Expect(err).NotTo(HaveOccurred())
		check(ctx, 100, "v")
	},
		Entry("applied without a response", ambiguousApplied), Entry("not applied without a response", ambiguousNotApplied),
		Entry("applied later", ambiguousDelayed))

	It("catches up when others have appended", func(ctx context.Context) {
		j := startJournal(store, 4)
		Expect(j.Refresh(ctx)).To(Succeed())
		appendBatches(ctx, other, "x", 3)
		_, err := j.Transact(ctx, write, topUp)
		Expect(err).NotTo(HaveOccurred())
		check(ctx, 110, "v")
	})

	It("reports a conflict of the caller's rows and writes nothing", func(ctx context.Context) {
		Expect(store.Commit(ctx, table.Transaction{ID: "1", Writes: []table.Write{{Key: caller, Expect: table.Any{}, Value: []byte("w")}}})).To(Succeed())
		appendBatches(ctx, other, "x", 1)
		_, err := startJournal(store, 4).Transact(ctx, write, topUp)
		conflict, ok := errors.AsType[*table.ConflictError](err)
		Expect(ok).To(BeTrue())
		Expect(conflict.Keys).To(HaveExactElements(caller))
		check(ctx, 100, "w")
	})

	It("writes nothing if the ledger refuses a record", func(ctx context.Context) {
		_, err := startJournal(store, 4).Transact(ctx, write, append(topUp[:2:2], ledger.TopUp{Budget: "z", Amount: 1, PatchID: "t"}))
		Expect(err).To(matchError[*shardlog.RefusedError]())
		Expect(err).To(matchError[*ledger.UnknownBudgetError]())
		check(ctx, 100, "")
	})

	It("ends with its context while the table service is down", func(ctx context.Context) {
		down := store.withoutFaults()
		down.onCommit = func(table.Transaction) fault { return unavailable }
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := startJournal(down, 4).Transact(short, write, topUp)
		Expect(err).To(matchError[*table.UnavailableError]())
		Expect(err).NotTo(matchError[*table.AmbiguousError]())
		check(ctx, 100, "")
	})
})

var _ = Describe("Fencing", func() {
	names := func(n int) []string {
		all := make([]string, n)
		for i := range all {
			all[i] = fmt.Sprint("budget-", i)
		}
		return all
	}

	It("covers the shards where the holder draws later, too", func(ctx context.Context) {
		// Guards against a paused holder that draws in a shard without a Fence record.
		store := newMemoryStore()
		a, b := startJournal(store, 8), startJournal(store, 8)
		openBudgets(ctx, a, 100, names(8)...)
		submitNow(ctx, b, "budget-0", draw("d", "budget-0", "h", 30))
		Expect(a.FenceHolder(ctx, "h")).To(Succeed())
		Expect(a.FenceHolder(ctx, "h")).To(Succeed())
		for _, name := range names(8) {
			Expect(submitNow(ctx, b, name, draw("d"+name, name, "h", 30)).(ledger.Refused).Err).To(matchError[*ledger.FencedError]())
			Expect(submitNow(ctx, b, name, draw("e"+name, name, "i", 30))).To(HaveField("Granted", int64(30)))
		}
		Expect(a.ReleaseHolder(ctx, "h", map[string]int64{"budget-0": 10})).To(Succeed())
		Expect(balance(a, "budget-0").Outstanding).To(Equal(map[string]int64{"h": 10, "i": 30}))
	})

	It("covers a draw that is appended just before the fence row", func(ctx context.Context) {
		store := newMemoryStore()
		b := startJournal(store, 8)
		openBudgets(ctx, b, 100, names(8)...)
		submitNow(ctx, b, "budget-0", draw("d", "budget-0", "h", 30))
		raced := store.withoutFaults()
		once := sync.Once{}
		raced.onCommit = func(table.Transaction) fault {
			once.Do(func() {
				store.mu.Unlock()
				submitNow(ctx, b, "budget-1", draw("e", "budget-1", "h", 30))
				store.mu.Lock()
			})
			return noFault
		}
		a := startJournal(raced, 8)
		Expect(a.FenceHolder(ctx, "h")).To(Succeed())
		for _, name := range names(2) {
			a.Read(name, func(s *ledger.State) { Expect(s.Fenced("h")).To(BeTrue()) })
		}
	})

	It("takes several transactions for many shards", func(ctx context.Context) {
		store := newMemoryStore()
		a := startJournal(store, 256)
		openBudgets(ctx, a, 100, names(200)...)
		for _, name := range names(200) {
			submitNow(ctx, a, name, draw("d"+name, name, "h", 30))
		}
		Expect(a.FenceHolder(ctx, "h")).To(Succeed())
		Expect(a.ReleaseHolder(ctx, "h", map[string]int64{"budget-7": 10})).To(Succeed())
		for n := range a.Shards() {
			a.ReadShard(n, func(s *ledger.State) {
				for holder, amounts := range s.Holders() {
					Expect(holder).To(Equal("h"))
					Expect(amounts).To(Equal(map[string]int64{"budget-7": 10}))
				}
			})
		}
	})

	It("appends queued bills before it releases", func(ctx context.Context) {
		// Guards against refusal of bills from the agents' reports after the release.
		store := newMemoryStore()
		a := startJournal(store, 2, shardlog.WithFlushInterval(time.Hour))
		openBudgets(ctx, a, 100, "x")
		submitNow(ctx, a, "x", draw("d", "x", "h", 30))
		Expect(a.FenceHolder(ctx, "h")).To(Succeed())
		result := make(chan ledger.Result, 1)
		Expect(a.Submit(ledger.Bill{Identity: ledger.NewIdentity("w", "1", nil), Budget: "x", Holder: "h", Attempt: "a", Cost: 30}, "x",
			func(r ledger.Result, _ error) { result <- r })).To(Succeed())
		Expect(a.ReleaseHolder(ctx, "h", nil)).To(Succeed())
		Expect(result).To(Receive(Equal(ledger.Billed{Cost: 30, FirstAttempt: "a"})))
	})

	It("refuses to release a holder that is not fenced", func(ctx context.Context) {
		a := startJournal(newMemoryStore(), 2)
		openBudgets(ctx, a, 100, "x")
		submitNow(ctx, a, "x", draw("d", "x", "h", 30))
		Expect(a.ReleaseHolder(ctx, "h", nil)).To(matchError[*ledger.NotFencedError]())
	})
})
