package overload_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/overload"
)

// Guards against requests that are held past their time limits, and against ones that
// are passed on after their callers have left.
var _ = Describe("one process left of six, under a multiple of its load", func() {
	It("holds requests past their time limits if it refuses none", func() {
		r := replay(nil, 1)
		Expect(r.heldOn).To(BeNumerically(">", r.callers/10))
		Expect(r.sentForNobody).To(BeNumerically(">", r.callers/10))
	})

	It("answers all requests within their time limits if it refuses some", func() {
		for seed := range uint64(5) {
			r := replay(overload.New(overload.Defaults()), seed+1)
			Expect(r.heldOn).To(BeZero())
			Expect(r.sentForNobody).To(BeZero())
			Expect(r.mostMemory).To(BeNumerically("<", int64(memoryLimit)))
			Expect(r.longestDelay).To(BeNumerically("<", targetLatency), "for the processor")
			Expect(r.served).To(BeNumerically(">=", int(usualRate*replayLength.Seconds())), "what one process serves without overload")
			Expect(r.quietRefusals).To(BeZero())
		}
	})
})

var _ = Describe("a limiter", func() {
	const bound = 15 * time.Millisecond // the share of 300 ms for one of 20 steps
	limits := overload.Limits{TargetLatency: 300 * time.Millisecond, MemoryBytes: 100 << 20}
	admitMany := func(l *overload.Limiter, n int) (admitted int) {
		for range n {
			if _, ok := l.Admit(overload.Request{}, 0).(overload.Admitted); ok {
				admitted++
			}
		}
		return admitted
	}

	DescribeTable("is overloaded by two intervals in a row",
		func(loads []overload.Load, overloaded bool) {
			l := overload.New(overload.Defaults())
			Expect(admitMany(l, 100)).To(Equal(100))
			for _, load := range loads {
				l.Adjust(load, limits)
			}
			_, limit := l.InProgress()
			Expect(!math.IsInf(limit, 1)).To(Equal(overloaded))
		},
		Entry("none", nil, false),
		Entry("one", []overload.Load{{RunDelay: 2 * bound}}, false),
		Entry("two", []overload.Load{{RunDelay: 2 * bound}, {RunDelay: 2 * bound}}, true),
		Entry("two with one between", []overload.Load{{RunDelay: 2 * bound}, {}, {RunDelay: 2 * bound}}, false),
		Entry("short delays", []overload.Load{{RunDelay: bound}, {RunDelay: bound}}, false),
		Entry("too much memory", []overload.Load{{MemoryBytes: 80 << 20}, {MemoryBytes: 80 << 20}}, true),
		Entry("enough memory", []overload.Load{{MemoryBytes: 70 << 20}, {MemoryBytes: 70 << 20}}, false),
	)

	It("without bounds is never overloaded", func() {
		s := overload.Defaults()
		s.WaitShare, s.MemoryShare = 0, 0
		l := overload.New(s)
		admitMany(l, 100)
		l.Adjust(overload.Load{RunDelay: time.Second, MemoryBytes: 1 << 40}, limits)
		l.Adjust(overload.Load{RunDelay: time.Second, MemoryBytes: 1 << 40}, limits)
		Expect(admitMany(l, 100)).To(Equal(100))
	})

	It("admits again what it has done", func() {
		l := overload.New(overload.Defaults())
		admitMany(l, 100)
		l.Adjust(overload.Load{RunDelay: time.Second}, limits)
		l.Adjust(overload.Load{RunDelay: time.Second}, limits)
		Expect(admitMany(l, 1)).To(BeZero())
		for range 20 {
			l.Done()
		}
		Expect(admitMany(l, 100)).To(Equal(10), "up to nine tenths of 100")
	})

	DescribeTable("refuses what has waited for too long",
		func(delay, age, timeout time.Duration, admitted bool) {
			l := overload.New(overload.Defaults())
			l.Adjust(overload.Load{RunDelay: delay}, limits)
			_, ok := l.Admit(overload.Request{Age: age, Timeout: timeout}, 0).(overload.Admitted)
			Expect(ok).To(Equal(admitted))
		},
		Entry("new", 2*bound, time.Duration(0), 2*time.Second, true),
		Entry("a quarter of its time", 2*bound, 500*time.Millisecond, 2*time.Second, true),
		Entry("more", 2*bound, 501*time.Millisecond, 2*time.Second, false),
		Entry("no time limit", 2*bound, 200*time.Millisecond, time.Duration(0), true),
		Entry("no time limit, old", 2*bound, 300*time.Millisecond, time.Duration(0), false),
		Entry("sent slowly, without overload", bound, 1500*time.Millisecond, 2*time.Second, true),
	)

	// Guards against refused callers that come again at once, or never.
	It("spreads the returns of refused callers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			timeout := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "timeout"))
			age := time.Duration(rapid.Int64Range(int64(timeout)/4+1, 2*int64(timeout)).Draw(t, "age"))
			spread := rapid.Float64Range(0, 1).Draw(t, "spread")
			l := overload.New(overload.Defaults())
			l.Adjust(overload.Load{RunDelay: 2 * bound}, limits)
			d, ok := l.Admit(overload.Request{Age: age, Timeout: timeout}, spread).(overload.Refused)
			Expect(ok).To(BeTrue())
			left := max(timeout-age, 0)
			Expect(d.RetryAfter).To(BeNumerically("~", time.Duration(float64(left)/3*(1+spread)), time.Microsecond))
		})
	})

	// Guards against a process that serves nothing, whatever is measured.
	It("admits a few requests in any case, and all again after the overload", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := overload.New(overload.Defaults())
			open := 0
			for range rapid.IntRange(1, 200).Draw(t, "intervals") {
				l.Adjust(overload.Load{RunDelay: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))}, limits)
				open += admitMany(l, rapid.IntRange(0, 50).Draw(t, "arrivals"))
				for range rapid.IntRange(0, open).Draw(t, "ends") {
					l.Done()
					open--
				}
			}
			Expect(admitMany(l, 16)).To(BeNumerically(">=", min(16, max(16-open, 0))))
		})
	})
})
