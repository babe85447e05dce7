package targetset_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/targetset"
)

var _ = Describe("RetryBudget", func() {
	It("allows at most 10 % of requests plus 3/s since its first use", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var b targetset.RetryBudget
			now, requests, retries := start, 0, 0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				n := rapid.IntRange(0, 50).Draw(t, "requests")
				for range n {
					b.RecordRequest(now)
				}
				requests += n
				for range rapid.IntRange(0, 50).Draw(t, "retries") {
					if b.AllowRetry(now) {
						retries++
					}
				}
				if bound := 0.1*float64(requests) + 3*now.Sub(start).Seconds(); float64(retries) > bound+1e-6 {
					t.Fatalf("%d retries, bound %.1f", retries, bound)
				}
			}
		})
	})

	// Guards against a retry storm: every retry of a failing request adds to
	// the load that makes requests fail.
	It("bounds the load of a failing fleet", func() {
		const perSecond, seconds, attempts = 500, 30, 4
		load := func(budgeted bool) float64 {
			var b targetset.RetryBudget
			sent := 0
			for i := range perSecond * seconds {
				now := start.Add(time.Duration(i) * time.Second / perSecond)
				b.RecordRequest(now)
				sent++
				for range attempts - 1 { // every attempt fails
					if budgeted && !b.AllowRetry(now) {
						break
					}
					sent++
				}
			}
			return float64(sent) / (perSecond * seconds)
		}
		AddReportEntry("retry storm", fmt.Sprintf("sent per request: %.3f with the budget, %.3f without", load(true), load(false)))
		Expect(load(true)).To(BeNumerically("<=", 1.1+3.0/perSecond))
		Expect(load(false)).To(BeNumerically(">", 2))
	})
})

var _ = Describe("Subset", func() {
	list := func(prefix string, n int) []string {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("%s%03d", prefix, i)
		}
		return names
	}
	count := func(entries, targets []string, size int) map[string]int {
		count := map[string]int{}
		for _, subset := range targetset.Subsets(entries, targets, size) {
			for _, t := range subset {
				count[t]++
			}
		}
		return count
	}

	// Guards against targets that get a multiple of the mean load because more
	// entries connect to them than to others.
	It("is balanced at 330 entries and 600 targets", func() {
		entries, targets := list("entry", 330), list("target", 600)
		used := count(entries, targets, 40)
		most, least := 0, math.MaxInt
		for _, t := range targets {
			most, least = max(most, used[t]), min(least, used[t])
		}
		mean := 330.0 * 40 / 600
		AddReportEntry("subset", fmt.Sprintf("max/mean %.3f, min/mean %.3f", float64(most)/mean, float64(least)/mean))
		Expect(float64(most) / mean).To(BeNumerically("<=", 1.25))
		Expect(least).To(BeNumerically(">", 0))
	})

	It("is deterministic, of the stated size, and stable when an entry is added", func() {
		entries, targets := list("entry", 60), list("target", 200)
		reversed := slices.Clone(targets)
		slices.Reverse(reversed)
		changed := 0
		for _, e := range entries {
			subset := targetset.Subset(e, entries, targets, 40)
			Expect(subset).To(HaveLen(40))
			Expect(targetset.Subset(e, entries, reversed, 40)).To(Equal(subset))
			for _, t := range targetset.Subset(e, append(list("entry", 60), "entry-new"), targets, 40) {
				if !slices.Contains(subset, t) {
					changed++
				}
			}
		}
		AddReportEntry("stability", fmt.Sprintf("%d of %d connections changed by one new entry", changed, 60*40))
		Expect(changed).To(BeNumerically("<", 60*40/4))
	})

	// Guards against targets that no entry reaches.
	It("reaches every target", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			entries := list("e", rapid.IntRange(1, 8).Draw(t, "entries"))
			targets := list("t", rapid.IntRange(0, 80).Draw(t, "targets"))
			if used := count(entries, targets, rapid.IntRange(1, 10).Draw(t, "size")); len(used) != len(targets) {
				t.Fatalf("%d of %d targets reached", len(used), len(targets))
			}
		})
	})
})
