package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/admission"
)

// model is the expected state of a controller: the running and queued
// requests, and the tokens held by the running ones.
type model struct {
	running, queued map[string]admission.Request
	held            int64
}

func (m *model) admit(t *rapid.T, requests ...admission.Request) {
	for _, request := range requests {
		if _, ok := m.running[request.AttemptID]; ok {
			t.Fatalf("%s was admitted twice", request.AttemptID)
		}
		delete(m.queued, request.AttemptID)
		m.running[request.AttemptID] = request
		m.held += request.ReservedTokens
	}
}

func (m *model) end(attempt string) {
	m.held -= m.running[attempt].ReservedTokens
	delete(m.running, attempt)
}

func pick(t *rapid.T, requests map[string]admission.Request) string {
	keys := make([]string, 0, len(requests))
	for k := range requests {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(t, "attempt")
}

var _ = Describe("Controller", func() {
	// Guards against a request that is reported as expired although it was canceled
	// after it had been dropped for its deadline.
	It("does not report a canceled request as expired", func() {
		c := admission.New(admission.Capacity{MaxConcurrent: 1})
		Expect(c.Offer(admission.Request{AttemptID: "a"}, start)).To(BeAssignableToTypeOf(admission.Admitted{}))
		Expect(c.Offer(admission.Request{AttemptID: "b", Deadline: start.Add(time.Second)}, start)).To(BeAssignableToTypeOf(admission.Queued{}))
		Expect(c.Offer(admission.Request{AttemptID: "c", Priority: 1}, start)).To(BeAssignableToTypeOf(admission.Queued{}))
		Expect(c.Done("a", 1001*time.Millisecond, false, start)).To(HaveLen(1), "c runs, and b would be late")
		Expect(c.Cancel("b", start)).To(BeEmpty())
		Expect(c.Expire(start)).To(BeEmpty())
	})

	// Guards against more work at a target than its capacity when several
	// uncoordinated entries send to it, and against requests that are lost or
	// run twice on their way through the queue.
	It("never runs more than the capacity, and decides every request once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := admission.Capacity{MaxConcurrent: rapid.IntRange(1, 8).Draw(t, "concurrent"), MaxTokens: rapid.Int64Range(0, 100).Draw(t, "tokens")}
			options := [][]admission.Option{nil, {admission.WithFixedLimit()}, {admission.WithAIMD(time.Second)}, {admission.WithDisplacement()}}
			c := admission.New(capacity, rapid.SampledFrom(options).Draw(t, "options")...)
			m := &model{running: map[string]admission.Request{}, queued: map[string]admission.Request{}}
			now, offers := start, 0
			t.Repeat(map[string]func(*rapid.T){
				"offer": func(t *rapid.T) {
					offers++
					request := admission.Request{
						AttemptID:      fmt.Sprintf("entry%d/%d", rapid.IntRange(0, 3).Draw(t, "entry"), offers),
						Priority:       rapid.IntRange(0, 2).Draw(t, "priority"),
						ReservedTokens: rapid.Int64Range(0, 60).Draw(t, "request tokens"),
					}
					if rapid.Bool().Draw(t, "deadline") {
						request.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
					}
					switch d := c.Offer(request, now).(type) {
					case admission.Admitted:
						m.admit(t, request)
					case admission.Queued:
						m.queued[request.AttemptID] = request
						if d.Displaced != nil {
							if d.Displaced.Priority >= request.Priority {
								t.Fatalf("%v displaced %v", request, *d.Displaced)
							}
							delete(m.queued, d.Displaced.AttemptID)
						}
					}
				},
				"done": func(t *rapid.T) {
					if len(m.running) == 0 {
						t.Skip("nothing runs")
					}
					attempt := pick(t, m.running)
					m.end(attempt)
					latency := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
					m.admit(t, c.Done(attempt, latency, rapid.Bool().Draw(t, "ok"), now)...)
				},
				"duplicate": func(t *rapid.T) {
					if len(m.running) == 0 {
						t.Skip("nothing runs")
					}
					if d := c.Offer(m.running[pick(t, m.running)], now); d != (admission.Refused{Reason: admission.Duplicate}) {
						t.Fatalf("a running attempt was offered again: %v", d)
					}
				},
				"cancel": func(t *rapid.T) {
					all := []map[string]admission.Request{m.running, m.queued}[rapid.IntRange(0, 1).Draw(t, "where")]
					if len(all) == 0 {
						t.Skip("nothing to cancel")
					}
					attempt := pick(t, all)
					if _, ok := m.running[attempt]; ok {
						m.end(attempt)
					}
					delete(m.queued, attempt)
					m.admit(t, c.Cancel(attempt, now)...)
				},
				"expire": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
					for _, request := range c.Expire(now) {
						if _, ok := m.queued[request.AttemptID]; !ok || request.Deadline.IsZero() {
							t.Fatalf("%v expired but was not waiting with a deadline", request)
						}
						delete(m.queued, request.AttemptID)
					}
					m.admit(t, c.Admit(now)...)
				},
				"": func(t *rapid.T) {
					load := c.Load()
					if len(m.running) > capacity.MaxConcurrent || load.Limit > capacity.MaxConcurrent {
						t.Fatalf("%d running, limit %d, capacity %d", len(m.running), load.Limit, capacity.MaxConcurrent)
					}
					if capacity.MaxTokens > 0 && m.held > capacity.MaxTokens {
						t.Fatalf("%d tokens held, capacity %d", m.held, capacity.MaxTokens)
					}
					if load.Running != len(m.running) || load.HeldTokens != m.held || load.Queued > len(m.queued) {
						t.Fatalf("load %+v, but %d running, %d held, %d queued", load, len(m.running), m.held, len(m.queued))
					}
					if len(m.queued) > 2*capacity.MaxConcurrent {
						t.Fatalf("%d queued", len(m.queued))
					}
				},
			})
			// All queued requests eventually run or expire.
			for len(m.running) > 0 || len(m.queued) > 0 {
				for _, request := range c.Expire(now) {
					delete(m.queued, request.AttemptID)
				}
				m.admit(t, c.Admit(now)...)
				if len(m.running) == 0 {
					break
				}
				attempt := pick(t, m.running)
				m.end(attempt)
				m.admit(t, c.Done(attempt, time.Second, true, now)...)
			}
			if len(m.queued) > 0 {
				t.Fatalf("%v waits at an idle target", m.queued)
			}
		})
	})

	newFullController := func(opts ...admission.Option) *admission.Controller {
		c := admission.New(admission.Capacity{MaxConcurrent: 1}, opts...)
		Expect(c.Offer(admission.Request{AttemptID: "running"}, start)).To(Equal(admission.Admitted{}))
		return c
	}

	// Guards against a high-priority request that waits behind others.
	It("orders the queue by priority, then deadline, then arrival", func() {
		c := admission.New(admission.Capacity{MaxConcurrent: 4}, admission.WithFixedLimit())
		for i := range 4 {
			c.Offer(admission.Request{AttemptID: fmt.Sprint(i)}, start)
		}
		for _, request := range []admission.Request{
			{AttemptID: "late", Deadline: start.Add(time.Hour)}, {AttemptID: "none"},
			{AttemptID: "soon", Deadline: start.Add(time.Minute)}, {AttemptID: "high", Priority: 1}, {AttemptID: "none2"},
		} {
			Expect(c.Offer(request, start)).To(Equal(admission.Queued{}))
		}
		var order []string
		next := []string{"0"}
		for len(next) > 0 {
			var following []string
			for _, request := range c.Done(next[0], time.Second, true, start) {
				order = append(order, request.AttemptID)
				following = append(following, request.AttemptID)
			}
			next = append(next[1:], following...)
		}
		Expect(order).To(Equal([]string{"high", "soon", "late", "none", "none2"}))
	})

	// Guards against a queue in which every request misses its deadline because
	// it waited for requests that missed theirs.
	It("expires waiting requests that would miss their deadlines", func() {
		c := admission.New(admission.Capacity{MaxConcurrent: 2})
		due := func(attempt string, d time.Duration) admission.Request {
			return admission.Request{AttemptID: attempt, Deadline: start.Add(d)}
		}
		c.Offer(due("long", time.Minute), start)
		Expect(c.Done("long", 2*time.Second, true, start)).To(BeEmpty())
		Expect(c.Offer(due("a", time.Second), start)).To(Equal(admission.Admitted{}))
		Expect(c.Offer(due("b", time.Second), start)).To(Equal(admission.Admitted{}), "the target has room, and the request may be short")
		Expect(c.Offer(due("c", time.Second), start)).To(Equal(admission.Refused{Reason: admission.Expired}))
		Expect(c.Offer(due("d", 3*time.Second), start)).To(Equal(admission.Queued{}))
		Expect(c.Expire(start)).To(BeEmpty())
		Expect(c.Expire(start.Add(1500 * time.Millisecond))).To(HaveLen(1))
	})

	DescribeTable("refuses", func(prepare func(*admission.Controller), request admission.Request, reason admission.Reason) {
		c := newFullController()
		prepare(c)
		Expect(c.Offer(request, start)).To(Equal(admission.Refused{Reason: reason}))
	},
		Entry("all work after Leave", (*admission.Controller).Leave, admission.Request{AttemptID: "a"}, admission.Leaving),
		Entry("a running attempt", func(*admission.Controller) {}, admission.Request{AttemptID: "running"}, admission.Duplicate),
		Entry("more tokens than the capacity", func(c *admission.Controller) {
			c.SetCapacity(admission.Capacity{MaxConcurrent: 1, MaxTokens: 10})
		}, admission.Request{AttemptID: "a", ReservedTokens: 11}, admission.TooLarge),
		Entry("any work without capacity", func(c *admission.Controller) { c.SetCapacity(admission.Capacity{}) },
			admission.Request{AttemptID: "a"}, admission.TooLarge),
		Entry("a request when the queue is full", func(c *admission.Controller) {
			c.Offer(admission.Request{AttemptID: "b"}, start)
			c.Offer(admission.Request{AttemptID: "c"}, start)
		}, admission.Request{AttemptID: "a", Priority: 1}, admission.QueueFull),
	)

	// Guards against an engine that generates more than max_tokens unnoticed.
	It("counts generated tokens beyond the reserved ones", func() {
		c := admission.New(admission.Capacity{MaxConcurrent: 2, MaxTokens: 100})
		c.Offer(admission.Request{AttemptID: "a", ReservedTokens: 50}, start)
		c.Progress("a", 40)
		Expect(c.Load().HeldTokens).To(Equal(int64(50)))
		c.Progress("a", 60)
		Expect(c.Offer(admission.Request{AttemptID: "b", ReservedTokens: 50}, start)).To(Equal(admission.Queued{}))
		Expect(c.Done("a", time.Second, true, start)).To(HaveLen(1))
	})

	// Guards against admissions above a capacity that was lowered.
	It("admits nothing until a lowered capacity is reached", func() {
		c := admission.New(admission.Capacity{MaxConcurrent: 3})
		for i := range 4 {
			c.Offer(admission.Request{AttemptID: fmt.Sprint(i)}, start)
		}
		c.SetCapacity(admission.Capacity{MaxConcurrent: 1})
		Expect(c.Done("0", time.Second, true, start)).To(BeEmpty())
		Expect(c.Done("1", time.Second, true, start)).To(BeEmpty())
		Expect(c.Done("2", time.Second, true, start)).To(HaveLen(1))
	})
})

var limits = map[string][]admission.Option{
	"fixed":    {admission.WithFixedLimit()},
	"gradient": {admission.WithGradient()},
	"AIMD":     {admission.WithAIMD(300 * time.Millisecond)},
}

var _ = Describe("Limit", func() {
	// Guards against a burst that takes the target down, against unused
	// capacity during it, and against refused requests that ran.
	DescribeTable("in a burst of 10 times the capacity for 5 s", func(slots int, name string) {
		from, to := 5*time.Second, 10*time.Second
		s := simulation{
			seed: GinkgoRandomSeed(), slots: slots, work: 100 * time.Millisecond, deadline: time.Second, load: 10,
			burstFrom: from, burstUntil: to, until: 15 * time.Second, options: limits[name], uncontrolled: name == "none",
		}
		r := s.run()
		AddReportEntry("burst", fmt.Sprintf("%d slots, %s: goodput %.3f of the capacity, most running %d, refused %d of %d",
			slots, name, s.goodput(r, from, to), r.maxRunning, len(r.refused), r.offered))
		Expect(s.goodput(r, from, to)).To(BeNumerically(">=", 0.9))
		Expect(r.maxRunning).To(BeNumerically("<=", slots))
		refusedButRan := 0
		for id := range r.refused {
			if r.ran[id] {
				refusedButRan++
			}
		}
		Expect(refusedButRan).To(BeZero())
	},
		Entry("4 slots, gradient", 4, "gradient"), Entry("16 slots, gradient", 16, "gradient"), Entry("64 slots, gradient", 64, "gradient"),
		Entry("16 slots, AIMD", 16, "AIMD"), Entry("16 slots, fixed", 16, "fixed"),
	)

	// Guards against a limit that does not react to a slow target, and against
	// one that gives up throughput when fewer requests do not make the target
	// faster. The goodput of a limit is its mean over the seeds.
	slowPeriodGoodput := func(name string, independent bool, deadline time.Duration) (goodput float64) {
		const seeds = 5
		for seed := range int64(seeds) {
			s := simulation{
				seed: seed, slots: 16, work: 100 * time.Millisecond, deadline: deadline, load: 0.8, independent: independent,
				slowFrom: 10 * time.Second, slowUntil: 40 * time.Second, until: 60 * time.Second, options: limits[name],
			}
			r := s.run()
			goodput += s.goodput(r, 15*time.Second, 40*time.Second) / seeds
			Expect(s.goodput(r, 45*time.Second, 60*time.Second)).To(BeNumerically(">=", 0.9*s.load*0.9), "after the slow period")
		}
		AddReportEntry("slow", fmt.Sprintf("%s, independent %t: goodput %.3f of at most 0.100", name, independent, goodput))
		return goodput
	}
	It("keeps latency down at a target that is ten times slower because its requests share its speed", func() {
		Expect(slowPeriodGoodput("gradient", false, 500*time.Millisecond)).To(BeNumerically(">", slowPeriodGoodput("fixed", false, 500*time.Millisecond)))
		slowPeriodGoodput("AIMD", false, 500*time.Millisecond)
	})
	It("keeps the throughput of a target whose every request is ten times slower", func() {
		Expect(slowPeriodGoodput("gradient", true, 5*time.Second)).To(BeNumerically(">", slowPeriodGoodput("fixed", true, 5*time.Second)/2))
		slowPeriodGoodput("AIMD", true, 5*time.Second)
	})

	// Guards against refusals because of failures that are not caused by load.
	It("is lowered by many failures, but not by a few", func() {
		limit := func(failEvery int) int {
			const slots = 64
			c := admission.New(admission.Capacity{MaxConcurrent: slots})
			for i := range 5000 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				c.Offer(admission.Request{AttemptID: fmt.Sprint(i)}, now)
				c.Done(fmt.Sprint(i-slots/2), 100*time.Millisecond, i%failEvery != 0, now)
			}
			return c.Load().Limit
		}
		Expect(limit(20)).To(Equal(64))
		Expect(limit(2)).To(BeNumerically("<", 64))
	})

	// Guards against a limit that mistakes long requests for a slow target, as
	// AIMD does with its fixed threshold: therefore it is not the default.
	It("does not lower the limit for requests that are always long", func() {
		goodput := map[string]float64{}
		for _, name := range []string{"gradient", "AIMD"} {
			s := simulation{
				seed: 1, slots: 16, work: 400 * time.Millisecond, deadline: 2 * time.Second, load: 2,
				burstUntil: 30 * time.Second, until: 30 * time.Second, options: limits[name],
			}
			goodput[name] = s.goodput(s.run(), 0, s.until)
		}
		AddReportEntry("long requests", fmt.Sprintf("gradient %.3f, AIMD %.3f of the capacity", goodput["gradient"], goodput["AIMD"]))
		Expect(goodput["gradient"]).To(BeNumerically(">=", 0.9))
	})
})

func BenchmarkOffer(b *testing.B) {
	c := admission.New(admission.Capacity{MaxConcurrent: 64, MaxTokens: 1 << 20})
	attempts := make([]string, 128)
	for i := range attempts {
		attempts[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		attempt := attempts[i%len(attempts)]
		if _, ok := c.Offer(admission.Request{AttemptID: attempt, ReservedTokens: 100}, start).(admission.Admitted); ok {
			c.Done(attempt, time.Millisecond, true, start)
		}
	}
}
