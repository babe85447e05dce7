package retrybudget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/retrybudget"
)

var _ = Describe("the usage of a budget", func() {
	It("reports the retries made and allowed of one process", func() {
		now := time.Unix(1e9, 0)
		b := retrybudget.New(retrybudget.Limit{RetriesPerRequest: 0.2, ExtraRetries: 10, Window: 10 * time.Second}, 1)
		for range 10 {
			b.RecordRequest("s", now)
		}
		Expect(b.AllowRetry("s", now)).To(BeTrue())
		u := b.Usage(now)["s"]
		Expect(u.Retries).To(Equal(1.0))
		Expect(u.Allowed).To(And(BeNumerically(">", 1), BeNumerically("<=", 0.2*10+10)))
		Expect(b.Usage(now.Add(11 * time.Second))["s"].Retries).To(BeZero())
	})
})

var _ = Describe("the retry budget", func() {
	limit := retrybudget.Limit{RetriesPerRequest: 0.2, ExtraRetries: 56, Window: 10 * time.Second}

	// Guards against a retry storm: every request fails, and each process retries
	// as often as its budget allows.
	It("holds for all processes together in every window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 6).Draw(t, "processes")
			budgets := make([]*retrybudget.Budget, n)
			for i := range budgets {
				budgets[i] = retrybudget.New(limit, n)
			}
			now := time.Unix(1e9, 0)
			var requests, retries []time.Time
			for range rapid.IntRange(50, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				b := budgets[rapid.IntRange(0, n-1).Draw(t, "process")]
				if rapid.Bool().Draw(t, "request") {
					b.RecordRequest("s", now)
					requests = append(requests, now)
				}
				if b.AllowRetry("s", now) {
					retries = append(retries, now)
				}
				count := func(times []time.Time, length time.Duration) (c float64) {
					for _, at := range times {
						if now.Sub(at) < length {
							c++
						}
					}
					return c
				}
				// Retries may belong to requests received shortly before the window.
				if got, most := count(retries, limit.Window), limit.RetriesPerRequest*count(requests, limit.Window*11/10)+limit.ExtraRetries; got > most {
					t.Fatalf("%v retries, %v allowed", got, most)
				}
			}
		})
	})

	It("is replenished as the window passes", func() {
		b := retrybudget.New(limit, 1)
		now := time.Unix(1e9, 0)
		for b.AllowRetry("s", now) {
			continue
		}
		Expect(b.AllowRetry("s", now.Add(limit.Window/2))).To(BeFalse())
		Expect(b.AllowRetry("s", now.Add(2*limit.Window))).To(BeTrue())
	})

	It("is separate for each service", func() {
		b := retrybudget.New(limit, 1)
		now := time.Unix(1e9, 0)
		for b.AllowRetry("s", now) {
			continue
		}
		Expect(b.AllowRetry("other", now)).To(BeTrue())
	})
})
