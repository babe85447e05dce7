package retrybudget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/retrybudget"
)

var _ = Describe("the usage of a budget", func() {
	It("shows what one process has used and may use", func() {
		now := time.Unix(1e9, 0)
		b := retrybudget.New(retrybudget.Limit{RetriesPerRequest: 0.2, ExtraRetries: 10, Window: 10 * time.Second}, 1)
		for range 10 {
			b.CountRequest("s", now)
		}
		Expect(b.TryRetry("s", now)).To(BeTrue())
		u := b.Usage(now)["s"]
		Expect(u.Retries).To(Equal(1.0))
		Expect(u.Allowed).To(And(BeNumerically(">", 1), BeNumerically("<=", 0.2*10+10)))
		Expect(b.Usage(now.Add(11 * time.Second))["s"].Retries).To(BeZero())
	})
})

var _ = Describe("the retry budget", func() {
	limit := retrybudget.Limit{RetriesPerRequest: 0.2, ExtraRetries: 56, Window: 10 * time.Second}

	// Guards against a retry storm: every request fails, and each process
	// repeats what it may, in any sliding window of the fleet.
	It("holds for all processes together in every window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 6).Draw(t, "processes")
			budgets := make([]*retrybudget.Budget, n)
			for i := range budgets {
				budgets[i] = retrybudget.New(limit, n)
			}
			now := time.Unix(1e9, 0)
			var requests, repeats []time.Time
			for range rapid.IntRange(50, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				b := budgets[rapid.IntRange(0, n-1).Draw(t, "process")]
				if rapid.Bool().Draw(t, "request") {
					b.CountRequest("s", now)
					requests = append(requests, now)
				}
				if b.TryRetry("s", now) {
					repeats = append(repeats, now)
				}
				count := func(times []time.Time, length time.Duration) (c float64) {
					for _, at := range times {
						if now.Sub(at) < length {
							c++
						}
					}
					return c
				}
				// The requests of the window before may have been received by the
				// time that their repeats are sent.
				if got, most := count(repeats, limit.Window), limit.RetriesPerRequest*count(requests, limit.Window*11/10)+limit.ExtraRetries; got > most {
					t.Fatalf("%v repeats, %v allowed", got, most)
				}
			}
		})
	})

	It("returns as the window passes", func() {
		b := retrybudget.New(limit, 1)
		now := time.Unix(1e9, 0)
		for b.TryRetry("s", now) {
			continue
		}
		Expect(b.TryRetry("s", now.Add(limit.Window/2))).To(BeFalse())
		Expect(b.TryRetry("s", now.Add(2*limit.Window))).To(BeTrue())
	})

	It("counts services apart", func() {
		b := retrybudget.New(limit, 1)
		now := time.Unix(1e9, 0)
		for b.TryRetry("s", now) {
			continue
		}
		Expect(b.TryRetry("other", now)).To(BeTrue())
	})
})
