package ledger_test

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/ledger"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func identity(n int) ledger.Identity { return ledger.NewIdentity("w", fmt.Sprint(n), nil) }

// applyAll applies the records in one batch a second and returns the last result.
func applyAll(s *ledger.State, records ...ledger.Record) ledger.Result {
	var last ledger.Result
	for i, r := range records {
		last = s.Apply(ledger.Batch{At: start.Add(time.Duration(i) * time.Second), Records: []ledger.Record{r}})[0]
	}
	return last
}

var (
	open  = ledger.OpenBudget{Budget: "x", Prepaid: 100, PatchID: "p1"}
	draw  = ledger.Draw{DrawID: "d1", Budget: "x", Holder: "h", Min: 10, Max: 60}
	bill  = ledger.Bill{Identity: identity(1), Budget: "x", Holder: "h", Attempt: "a1", Cost: 20, At: start}
	fence = ledger.Fence{Holder: "h"}
)

func modified[R any](r R, change func(*R)) R {
	change(&r)
	return r
}

var _ = DescribeTable("State.Apply returns", func(want ledger.Result, records ...ledger.Record) {
	got := applyAll(ledger.NewState(), records...)
	if refused, ok := want.(ledger.Refused); ok {
		Expect(got).To(BeAssignableToTypeOf(ledger.Refused{}))
		Expect(got.(ledger.Refused).Err).To(BeAssignableToTypeOf(refused.Err))
		return
	}
	Expect(got).To(Equal(want))
},
	Entry("opened", ledger.Opened{Prepaid: 100}, open),
	Entry("opened by the same patch", ledger.Opened{Prepaid: 100, Duplicate: true}, open, open),
	Entry("exists for another patch", ledger.Refused{Err: &ledger.BudgetExistsError{}}, open,
		ledger.OpenBudget{Budget: "x", Prepaid: 5, PatchID: "p2"}),
	Entry("topped up", ledger.ToppedUp{Prepaid: 130}, open, ledger.TopUp{Budget: "x", Amount: 30, PatchID: "p2"}),
	Entry("a repeated top-up once", ledger.ToppedUp{Prepaid: 130, Duplicate: true}, open,
		ledger.TopUp{Budget: "x", Amount: 30, PatchID: "p2"}, ledger.TopUp{Budget: "x", Amount: 30, PatchID: "p2"}),
	Entry("an overflowing top-up refused", ledger.Refused{Err: &ledger.InvalidRecordError{}}, open,
		ledger.TopUp{Budget: "x", Amount: math.MaxInt64, PatchID: "p2"}),
	Entry("a negative top-up refused", ledger.Refused{Err: &ledger.InvalidRecordError{}}, open,
		ledger.TopUp{Budget: "x", Amount: -1, PatchID: "p2"}),
	Entry("a top-up of an unknown budget refused", ledger.Refused{Err: &ledger.UnknownBudgetError{}},
		ledger.TopUp{Budget: "x", Amount: 1, PatchID: "p"}),
	Entry("the grant", ledger.Drawn{Granted: 60, Available: 40}, open, draw),
	Entry("the same grant again", ledger.Drawn{Granted: 60, Available: 40, Duplicate: true}, open, draw, draw),
	Entry("what is left, if it is at least the minimum", ledger.Drawn{Granted: 40}, open, draw,
		ledger.Draw{DrawID: "d2", Budget: "x", Holder: "i", Min: 40, Max: 60}),
	Entry("nothing below the minimum", ledger.Drawn{Available: 40}, open, draw,
		ledger.Draw{DrawID: "d2", Budget: "x", Holder: "i", Min: 41, Max: 60}),
	Entry("a draw with max below min refused", ledger.Refused{Err: &ledger.InvalidRecordError{}}, open,
		ledger.Draw{DrawID: "d", Budget: "x", Holder: "h", Min: 5, Max: 4}),
	Entry("a draw of a fenced holder refused", ledger.Refused{Err: &ledger.FencedError{}}, open, fence, draw),
	Entry("the bill", ledger.Billed{Cost: 20, FirstAttempt: "a1"}, open, draw, bill),
	Entry("the first bill for a retry by the caller", ledger.Billed{Cost: 20, FirstAttempt: "a1", Duplicate: true}, open, draw, bill,
		modified(bill, func(b *ledger.Bill) { b.Attempt, b.Cost = "a2", 30 })),
	Entry("a bill beyond the outstanding amount refused", ledger.Refused{Err: &ledger.OverdrawnError{}}, open, draw,
		modified(bill, func(b *ledger.Bill) { b.Cost = 61 })),
	Entry("a negative bill refused", ledger.Refused{Err: &ledger.InvalidRecordError{}}, open, draw,
		modified(bill, func(b *ledger.Bill) { b.Cost = -1 })),
	Entry("a bill of a fenced holder", ledger.Billed{Cost: 20, FirstAttempt: "a1"}, open, draw, fence, bill),
	Entry("a bill beyond the amount held after a release refused", ledger.Refused{Err: &ledger.OverdrawnError{}}, open, draw, fence,
		ledger.Release{Holder: "h", Held: map[string]int64{"x": 19}}, bill),
	Entry("the return", ledger.Returned{Amount: 60}, open, draw,
		ledger.Return{ReturnID: "r", Budget: "x", Holder: "h", Amount: 60}),
	Entry("a repeated return once", ledger.Returned{Amount: 30, Duplicate: true}, open, draw,
		ledger.Return{ReturnID: "r", Budget: "x", Holder: "h", Amount: 30}, ledger.Return{ReturnID: "r", Budget: "x", Holder: "h", Amount: 30}),
	Entry("a return beyond the outstanding amount refused", ledger.Refused{Err: &ledger.OverdrawnError{}}, open, draw,
		ledger.Return{ReturnID: "r", Budget: "x", Holder: "h", Amount: 61}),
	Entry("a return of a fenced holder refused", ledger.Refused{Err: &ledger.FencedError{}}, open, draw, fence,
		ledger.Return{ReturnID: "r", Budget: "x", Holder: "h", Amount: 1}),
	Entry("the outstanding amounts of a fenced holder", ledger.Fenced{Outstanding: map[string]int64{"x": 60}}, open, draw, fence),
	Entry("the amounts that a release returns", ledger.Released{Returned: map[string]int64{"x": 45}}, open, draw, fence,
		ledger.Release{Holder: "h", Held: map[string]int64{"x": 15}}),
	Entry("a release without a fence refused", ledger.Refused{Err: &ledger.NotFencedError{}}, open, draw, ledger.Release{Holder: "h"}),
	Entry("a record with a long name refused", ledger.Refused{Err: &ledger.InvalidRecordError{}},
		ledger.Fence{Holder: string(make([]byte, 300))}),
)

var _ = Describe("The bill window", func() {
	// applyAt applies a record at a time after the start.
	applyAt := func(s *ledger.State, after time.Duration, r ledger.Record) ledger.Result {
		return s.Apply(ledger.Batch{At: start.Add(after), Records: []ledger.Record{r}})[0]
	}
	// advanceTo advances the log time with as many batches as needed.
	advanceTo := func(s *ledger.State, to time.Duration) {
		for s.LogTime().Before(start.Add(to)) {
			applyAt(s, to, ledger.Fence{Holder: "other"})
		}
	}
	var s *ledger.State
	BeforeEach(func() {
		s = ledger.NewState()
		applyAt(s, 0, open)
		applyAt(s, 0, draw)
		Expect(applyAt(s, 0, bill)).To(Equal(ledger.Billed{Cost: 20, FirstAttempt: "a1"}))
	})
	billAt := func(after time.Duration, attempt string) ledger.Bill {
		return modified(bill, func(b *ledger.Bill) { b.At, b.Attempt = start.Add(after), attempt })
	}

	It("ends: a retry after it is a new request", func() {
		advanceTo(s, 16*time.Minute)
		Expect(applyAt(s, 16*time.Minute, billAt(16*time.Minute, "a2"))).To(Equal(ledger.Billed{Cost: 20, FirstAttempt: "a2"}))
	})

	It("ends in a shard whose log time lags", func() {
		// Guards against free requests in a shard with few batches.
		Expect(applyAt(s, 16*time.Minute, billAt(16*time.Minute, "a2"))).To(Equal(ledger.Billed{Cost: 20, FirstAttempt: "a2"}))
	})

	It("refuses a late bill that may have been billed and expired", func() {
		// Guards against a double bill by an entry that was partitioned for an hour,
		// whose requests another entry has billed.
		advanceTo(s, time.Hour)
		var expired *ledger.ExpiredBillError
		Expect(errors.As(applyAt(s, time.Hour, bill).(ledger.Refused).Err, &expired)).To(BeTrue())
	})

	It("does not end for bills queued in an outage by the first batch after it", func() {
		// Guards against log time that jumps over the outage: the bills of the
		// second entry would expire or be refused.
		other := modified(bill, func(b *ledger.Bill) { b.Identity, b.At = identity(2), start.Add(time.Minute) })
		applyAt(s, time.Hour, ledger.Fence{Holder: "other"})
		Expect(applyAt(s, time.Hour, other)).To(Equal(ledger.Billed{Cost: 20, FirstAttempt: "a1"}))
		Expect(applyAt(s, time.Hour, bill)).To(Equal(ledger.Billed{Cost: 20, FirstAttempt: "a1", Duplicate: true}))
	})

	It("does not trust a clock that runs ahead", func() {
		// Guards against a second bill for a retry whose agent's clock is fast.
		Expect(applyAt(s, time.Minute, billAt(time.Hour, "a2"))).To(Equal(ledger.Billed{Cost: 20, FirstAttempt: "a1", Duplicate: true}))
	})

	It("counts duplicate bills once for each attempt", func() {
		for _, attempt := range []string{"a2", "a2", "a3", "a1"} {
			applyAt(s, time.Second, billAt(time.Second, attempt))
		}
		info, _ := s.BillOf(bill.Identity)
		Expect(info).To(Equal(ledger.BillInfo{Budget: "x", Attempt: "a1", Cost: 20, At: start, Repeats: 2}))
	})

	It("bounds the size of the state", func() {
		applyAt(s, 0, ledger.TopUp{Budget: "x", Amount: 1 << 40, PatchID: "p2"})
		applyAt(s, 0, ledger.Draw{DrawID: "d2", Budget: "x", Holder: "h", Min: 1, Max: 1 << 40})
		size := 0
		for i := range 3 * 900 {
			after := time.Duration(i) * time.Second
			applyAt(s, after, ledger.Return{ReturnID: fmt.Sprint(i), Budget: "x", Holder: "h", Amount: 1})
			applyAt(s, after, modified(billAt(after, "a"), func(b *ledger.Bill) { b.Identity = identity(i) }))
			if i%500 != 0 {
				continue
			}
			raw, err := ledger.EncodeState(s)
			Expect(err).NotTo(HaveOccurred())
			if i == 1000 {
				size = len(raw)
			}
			if i > 1000 {
				Expect(len(raw)).To(BeNumerically("<", size*11/10))
			}
		}
	})
})

// randomRecord generates records with frequent collisions of identifiers and
// amounts.
func randomRecord(t *rapid.T) ledger.Record {
	pick := func(name string, values ...string) string { return rapid.SampledFrom(values).Draw(t, name) }
	amount := func(name string) int64 {
		return rapid.OneOf(rapid.Int64Range(-1, 50), rapid.SampledFrom([]int64{math.MaxInt64, math.MaxInt64 - 1})).Draw(t, name)
	}
	budget, holder := pick("budget", "x", "y"), pick("holder", "h", "i")
	id := func(name string) string { return fmt.Sprint(rapid.IntRange(0, 30).Draw(t, name)) }
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return ledger.OpenBudget{Budget: budget, Prepaid: amount("prepaid"), PatchID: id("patch")}
	case 1:
		return ledger.TopUp{Budget: budget, Amount: amount("amount"), PatchID: id("patch")}
	case 2, 3:
		return ledger.Draw{DrawID: id("draw"), Budget: budget, Holder: holder, Min: amount("min"), Max: amount("max")}
	case 4, 5, 6:
		return ledger.Bill{Identity: identity(rapid.IntRange(0, 30).Draw(t, "identity")), Budget: budget, Holder: holder,
			Attempt: id("attempt"), Cost: amount("cost"), At: start.Add(time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "at")) * time.Second)}
	case 7:
		return ledger.Return{ReturnID: id("return"), Budget: budget, Holder: holder, Amount: amount("amount")}
	case 8:
		return ledger.Fence{Holder: holder}
	default:
		return ledger.Release{Holder: holder, Held: map[string]int64{budget: amount("held")}}
	}
}

// checkLimits checks that no budget is granted or spent beyond its prepaid amount.
func checkLimits(s *ledger.State) error {
	for _, name := range s.Budgets() {
		b, _ := s.Budget(name)
		rest := b.Prepaid - b.Settled
		for holder, amount := range b.Outstanding {
			if amount <= 0 {
				return fmt.Errorf("budget %s: %s has %d outstanding", name, holder, amount)
			}
			rest -= amount
		}
		available, _ := s.Available(name)
		if b.Settled < 0 || rest < 0 || rest != available {
			return fmt.Errorf("budget %s: %+v, available %d", name, b, available)
		}
	}
	return nil
}

var _ = Describe("State", func() {
	It("keeps the limit, bills once and depends only on its log", func() {
		// Guards against overspending, double bills and writers whose states
		// diverge, also after batches and snapshots are encoded and decoded.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, replayed := ledger.NewState(), ledger.NewState()
			billed := map[ledger.Identity][]time.Time{}
			at := start
			for range rapid.IntRange(1, 40).Draw(t, "batches") {
				at = at.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 600, 3600}).Draw(t, "wait")) * time.Second)
				batch := ledger.Batch{Writer: "w", BatchID: "b", At: at}
				for range rapid.IntRange(1, 4).Draw(t, "records") {
					batch.Records = append(batch.Records, randomRecord(t))
				}
				copied := s.Clone()
				before, _ := ledger.EncodeState(s)
				results := s.Apply(batch)
				if unchanged, _ := ledger.EncodeState(copied); string(unchanged) != string(before) {
					t.Fatal("a copy has changed")
				}
				if err := checkLimits(s); err != nil {
					t.Fatal(err)
				}
				for i, r := range results {
					b, ok := batch.Records[i].(ledger.Bill)
					if billing, is := r.(ledger.Billed); !ok || !is || billing.Duplicate {
						continue
					}
					if b.At.After(at) {
						b.At = at // the state limits the bill's time to the batch's
					}
					for _, before := range billed[b.Identity] {
						if b.At.Sub(before).Abs() < 15*time.Minute {
							t.Fatalf("identity %s billed twice: %s and %s", b.Identity, before, b.At)
						}
					}
					billed[b.Identity] = append(billed[b.Identity], b.At)
				}
				raw, err := ledger.EncodeBatch(batch)
				if err != nil {
					t.Fatal(err)
				}
				decoded, err := ledger.DecodeBatch(raw)
				if err != nil {
					t.Fatal(err)
				}
				if again := replayed.Apply(decoded); !reflect.DeepEqual(again, results) {
					t.Fatalf("replay: %v instead of %v", again, results)
				}
				snapshot, err := ledger.EncodeState(s)
				if err != nil {
					t.Fatal(err)
				}
				if other, _ := ledger.EncodeState(replayed); string(other) != string(snapshot) {
					t.Fatal("the replayed state differs")
				}
				if rapid.Bool().Draw(t, "reload") {
					if replayed, err = ledger.DecodeState(snapshot); err != nil {
						t.Fatal(err)
					}
				}
			}
		})
	})
})
