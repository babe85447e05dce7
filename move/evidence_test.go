package move_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/move"
)

// logBinomial returns the logarithm of the binomial coefficient of n and k.
func logBinomial(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

var _ = Describe("likelihood ratios", func() {
	// Guards against a mean above 1, with which the test would reject good
	// versions more often than its stated probability.
	It("have mean 1 if the events are spread over the requests at random", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			newCount := rapid.IntRange(0, 200).Draw(t, "new")
			oldCount := rapid.IntRange(0, 400).Draw(t, "old")
			events := rapid.IntRange(0, newCount+oldCount).Draw(t, "events")
			var sums [6]float64
			for x := max(0, events-oldCount); x <= min(newCount, events); x++ {
				p := math.Exp(logBinomial(newCount, x) + logBinomial(oldCount, events-x) - logBinomial(newCount+oldCount, events))
				for i, r := range move.LogRatios(x, newCount, events-x, oldCount) {
					sums[i] += p * math.Exp(r)
				}
			}
			for _, sum := range sums {
				if math.Abs(sum-1) > 1e-6 {
					t.Fatalf("mean %v", sum)
				}
			}
		})
	})

	It("grow with the events at the new version", func() {
		Expect(move.LogRatios(5, 20, 0, 80)[3]).To(BeNumerically(">", 5))
		Expect(move.LogRatios(0, 20, 5, 80)[3]).To(BeNumerically("<", 0))
		Expect(move.LogRatios(20, 20, 80, 80)[3]).To(BeZero())
	})
})
