package bytebudget_test

import (
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/bytebudget"
)

func TestBytebudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bytebudget")
}

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("Budget", func() {
	var b *bytebudget.Budget
	var evicted []string
	open := func(name string, n int64, ms int) *bytebudget.Account {
		a := b.Open(at(ms), func() { evicted = append(evicted, name); b.Held() }) // Held deadlocks if a lock is held
		Expect(a.Reserve(n, at(ms))).To(Succeed())
		return a
	}
	BeforeEach(func() {
		b, evicted = bytebudget.New(100, bytebudget.WithStallTimeout(time.Second)), nil
	})

	It("returns what is released and closed, once", func() {
		a, c := open("a", 60, 0), open("c", 40, 0)
		a.Release(20)
		Expect(b.Held()).To(Equal(int64(80)))
		a.Release(1000)
		a.Close()
		a.Close()
		a.Release(5)
		Expect(b.Held()).To(Equal(int64(40)))
		var closed *bytebudget.ClosedError
		Expect(errors.As(a.Reserve(1, at(1)), &closed)).To(BeTrue())
		Expect(c.Held()).To(Equal(int64(40)))
	})

	// Without eviction, bodies that never end keep out all others.
	DescribeTable("gives the room of stalled accounts to those that make progress",
		func(prepare func(first, second *bytebudget.Account), n int64, ms int, want ...string) {
			first, second := open("first", 50, 0), open("second", 50, 0)
			prepare(first, second)
			err := b.Open(at(ms), nil).Reserve(n, at(ms))
			Expect(evicted).To(HaveExactElements(want))
			var full *bytebudget.ExhaustedError
			Expect(errors.As(err, &full)).To(Equal(n > 50*int64(len(want))), "%v", err)
			Expect(b.Held()).To(BeNumerically("<=", 100))
		},
		Entry("the oldest only", func(_, _ *bytebudget.Account) {}, int64(50), 1000, "first"),
		Entry("as many as needed", func(_, _ *bytebudget.Account) {}, int64(51), 1000, "first", "second"),
		Entry("not before the stall timeout", func(_, _ *bytebudget.Account) {}, int64(1), 999),
		Entry("not one with progress", func(a, _ *bytebudget.Account) { a.Progress(at(1)) }, int64(50), 1000, "second"),
		Entry("not one that is served", func(a, _ *bytebudget.Account) { a.Busy() }, int64(50), 9000, "second"),
		Entry("one that is served no longer", func(a, _ *bytebudget.Account) { a.Busy(); a.Progress(at(1)) }, int64(100), 1001, "second", "first"),
		Entry("not for more than the limit", func(_, _ *bytebudget.Account) {}, int64(101), 9000),
	)

	// Without spare room, a few large bodies keep out all small requests.
	It("leaves spare room to others", func() {
		large, small := b.Open(at(0), nil), b.Open(at(0), nil)
		Expect(large.ReserveLeaving(91, 10, at(0))).To(BeAssignableToTypeOf(&bytebudget.ExhaustedError{}))
		Expect(large.ReserveLeaving(90, 10, at(0))).To(Succeed())
		Expect(small.Reserve(10, at(0))).To(Succeed())
	})

	It("doesn't evict the account that reserves", func() {
		a := open("a", 100, 0)
		Expect(a.Reserve(1, at(5000))).To(BeAssignableToTypeOf(&bytebudget.ExhaustedError{}))
		Expect(evicted).To(BeEmpty())
	})

	It("is the sum of its accounts and never more than its limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := bytebudget.New(100, bytebudget.WithStallTimeout(10*time.Millisecond))
			accounts := make([]*bytebudget.Account, 5)
			for i := range accounts {
				accounts[i] = b.Open(at(0), func() {})
			}
			for ms := range rapid.IntRange(1, 60).Draw(t, "steps") {
				a, n := accounts[rapid.IntRange(0, 4).Draw(t, "account")], rapid.Int64Range(0, 60).Draw(t, "bytes")
				switch rapid.IntRange(0, 4).Draw(t, "action") {
				case 0, 1:
					before := a.Held()
					if a.Reserve(n, at(ms)) == nil && a.Held() != before+n {
						t.Fatalf("held %d after %d and %d", a.Held(), before, n)
					}
				case 2:
					a.Release(n)
				case 3:
					a.Progress(at(ms))
				case 4:
					a.Busy()
				}
				var sum int64
				for _, a := range accounts {
					sum += a.Held()
				}
				if sum != b.Held() || sum < 0 || sum > 100 {
					t.Fatalf("accounts hold %d, budget %d", sum, b.Held())
				}
			}
		})
	})

	// Run with -race: evictions meet reservations of the evicted.
	It("can be used concurrently", func() {
		b := bytebudget.New(1000, bytebudget.WithStallTimeout(0))
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 300 {
					var a *bytebudget.Account
					a = b.Open(time.Now(), func() { a.Close() })
					_ = a.Reserve(300, time.Now())
					a.Progress(time.Now())
					a.Release(100)
					a.Close()
				}
			})
		}
		wg.Wait()
		Expect(b.Held()).To(BeZero())
	})
})

func BenchmarkReserve(b *testing.B) {
	budget := bytebudget.New(1 << 30)
	for range 4000 {
		_ = budget.Open(start, func() {}).Reserve(1000, start)
	}
	a := budget.Open(start, func() {})
	b.ReportAllocs()
	for b.Loop() {
		_ = a.Reserve(4096, start)
		a.Progress(start)
		a.Release(4096)
	}
}
