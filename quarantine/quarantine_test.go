package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/quarantine"
	"briarreach/replica"
)

var _ = Describe("the quarantine of prompt parts", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// step is one event at a process, in milliseconds from the start. Without a crash
	// and an answer, it only lets the time pass.
	type step struct {
		ms      int
		crash   string   // replica that ended, or
		answer  string   // part that was answered
		suspect []string // parts in the crash
	}
	play := func(steps []step) *quarantine.List {
		l := quarantine.New(quarantine.Defaults())
		for _, s := range steps {
			if s.answer != "" {
				l.RecordAnswer("s", []string{s.answer}, at(s.ms))
				continue
			}
			if s.crash == "" {
				l.Step(at(s.ms))
				continue
			}
			l.RecordCrash(quarantine.Crash{Service: "s", Replica: replica.Incarnation{ID: s.crash}, PartIDs: s.suspect}, at(s.ms))
			l.Step(at(s.ms))
		}
		l.Step(at(steps[len(steps)-1].ms + 100))
		return l
	}
	blocked := func(l *quarantine.List, part string, ms int) bool {
		_, _, is := l.Blocks("s", []string{part}, at(ms))
		return is
	}

	DescribeTable("holds the parts that explain the crashes",
		func(steps []step, quarantined []string, free []string) {
			l := play(steps)
			for _, p := range quarantined {
				Expect(blocked(l, p, 5000)).To(BeTrue(), p)
			}
			for _, p := range free {
				Expect(blocked(l, p, 5000)).To(BeFalse(), p)
			}
		},
		Entry("three crashes with one part in common",
			[]step{{0, "r1", "", []string{"a", "bad"}}, {300, "r2", "", []string{"b", "bad"}}, {600, "r3", "", []string{"c", "bad"}}},
			[]string{"bad"}, []string{"a", "b", "c"}),
		Entry("two crashes", []step{{0, "r1", "", []string{"bad"}}, {300, "r2", "", []string{"bad"}}}, nil, []string{"bad"}),
		Entry("another part in common, with answers in between",
			[]step{{0, "r1", "", []string{"system", "bad"}}, {200, "", "system", nil}, {300, "r2", "", []string{"system", "bad"}}, {600, "r3", "", []string{"system", "bad"}}},
			[]string{"bad"}, []string{"system"}),
		Entry("two parts always together, no answer with either: three crashes decide nothing",
			[]step{{0, "r1", "", []string{"a", "bad"}}, {300, "r2", "", []string{"a", "bad"}}, {600, "r3", "", []string{"a", "bad"}}},
			nil, []string{"a", "bad"}),
		Entry("two parts always together, no answer with either: five crashes hold both",
			[]step{{0, "r1", "", []string{"a", "bad"}}, {300, "r2", "", []string{"a", "bad"}}, {600, "r3", "", []string{"a", "bad"}}, {900, "r4", "", []string{"a", "bad"}}, {1200, "r5", "", []string{"a", "bad"}}},
			[]string{"a", "bad"}, nil),
		Entry("two parts always together, until one of them is answered",
			[]step{{0, "r1", "", []string{"a", "bad"}}, {300, "r2", "", []string{"a", "bad"}}, {600, "r3", "", []string{"a", "bad"}}, {800, "", "", nil}, {900, "", "a", nil}},
			[]string{"bad"}, []string{"a"}),
		Entry("a report that arrives after the crash was counted",
			[]step{{0, "r1", "", []string{"bad"}}, {300, "r2", "", []string{"bad"}}, {600, "r3", "", []string{"other"}}, {800, "", "", nil}, {850, "r3", "", []string{"bad"}}},
			[]string{"bad"}, []string{"other"}),
		Entry("replicas that end at the same time, as when machines lose power",
			[]step{{0, "r1", "", []string{"a"}}, {10, "r2", "", []string{"a"}}, {20, "r3", "", []string{"a"}}, {30, "r4", "", []string{"a"}}},
			nil, []string{"a"}),
		Entry("nearly all replicas within 200 ms",
			[]step{{0, "r1", "", []string{"a", "bad"}}, {30, "r2", "", []string{"bad"}}, {60, "r3", "", []string{"b", "bad"}}, {90, "r4", "", []string{"bad"}}, {190, "r5", "", []string{"bad"}}},
			[]string{"bad"}, []string{"a", "b"}),
		Entry("one crash that several gateways report",
			[]step{{0, "r1", "", []string{"a"}}, {150, "r1", "", []string{"a"}}, {300, "r1", "", []string{"a"}}},
			nil, []string{"a"}),
		Entry("an answer after the last crash",
			[]step{{0, "r1", "", []string{"a"}}, {300, "r2", "", []string{"a"}}, {600, "r3", "", []string{"a"}}, {700, "", "a", nil}},
			nil, []string{"a"}),
		Entry("a crash of which the report about the cause arrives last",
			[]step{{0, "r1", "", []string{"system", "bad"}}, {300, "r2", "", []string{"system", "bad"}}, {600, "r3", "", []string{"system"}}, {605, "r3", "", []string{"bad"}},
				{900, "r4", "", []string{"bad"}}},
			[]string{"bad"}, []string{"system"}),
		Entry("two parts that each crash replicas",
			[]step{{0, "r1", "", []string{"x"}}, {150, "r2", "", []string{"y"}}, {300, "r3", "", []string{"x"}}, {450, "r4", "", []string{"y"}}, {600, "r5", "", []string{"x"}}, {750, "r6", "", []string{"y"}}},
			[]string{"x", "y"}, nil),
		Entry("a session that was on three crashed replicas by chance",
			[]step{{0, "r1", "", []string{"session", "bad"}}, {300, "r2", "", []string{"session", "bad"}}, {600, "r3", "", []string{"bad"}}, {900, "r4", "", []string{"session", "bad"}}},
			[]string{"bad"}, []string{"session"}),
	)

	// Guards against a sound part that stays in quarantine at gateways that have not
	// seen it answered.
	It("objects to the quarantine of a part that was answered a short time ago", func() {
		l := play([]step{{0, "r1", "", []string{"a"}}, {100, "", "a", nil}})
		Expect(l.Add(quarantine.Part{Service: "s", ID: "a"}, at(500))).To(ContainElements(
			quarantine.Announce{Evidence: quarantine.Answer{Part: quarantine.Part{Service: "s", ID: "a"}}},
			quarantine.Released{Part: quarantine.Part{Service: "s", ID: "a"}, Reason: quarantine.Answered}))
		Expect(blocked(l, "a", 600)).To(BeFalse())
		l.Add(quarantine.Part{Service: "s", ID: "b"}, at(500))
		Expect(blocked(l, "b", 600)).To(BeTrue())
	})

	It("ends after its duration, and by withdrawal", func() {
		l := quarantine.New(quarantine.Defaults())
		a, b := quarantine.Part{Service: "s", ID: "a"}, quarantine.Part{Service: "s", ID: "b"}
		l.Add(a, start)
		l.Add(b, start)
		Expect(l.Withdraw(b)).To(ConsistOf(quarantine.Released{Part: b, Reason: quarantine.Withdrew}))
		Expect(l.Step(start.Add(time.Minute))).To(BeEmpty())
		Expect(l.Step(start.Add(quarantine.Defaults().Duration))).To(ConsistOf(quarantine.Released{Part: a, Reason: quarantine.Expired}))
		Expect(l.Parts()).To(BeEmpty())
	})

	It("applies to one service only", func() {
		l := quarantine.New(quarantine.Defaults())
		l.Add(quarantine.Part{Service: "s", ID: "a"}, start)
		_, _, is := l.Blocks("other", []string{"a"}, start)
		Expect(is).To(BeFalse())
	})

	// Guards against memory that grows with the number of crashes.
	It("keeps a bounded number of crashes", func() {
		l := quarantine.New(quarantine.Defaults())
		for i := range 5000 {
			l.RecordCrash(quarantine.Crash{Service: "s", Replica: replica.Incarnation{ID: fmt.Sprint(i)}, PartIDs: []string{fmt.Sprint("p", i)}}, at(200*i))
		}
		for i := range 3 {
			l.RecordCrash(quarantine.Crash{Service: "s", Replica: replica.Incarnation{ID: fmt.Sprint("n", i)}, PartIDs: []string{"bad"}}, at(1_100_000+200*i))
		}
		l.Step(at(1_101_000))
		Expect(l.Parts()).To(ConsistOf(quarantine.Part{Service: "s", ID: "bad"}))
	})

	DescribeTable("rejects settings out of range",
		func(change func(*quarantine.Settings)) {
			s := quarantine.Defaults()
			Expect(s.Validate()).To(Succeed())
			change(&s)
			Expect(s.Validate()).To(BeAssignableToTypeOf(&quarantine.RangeError{}))
		},
		Entry("no crashes", func(s *quarantine.Settings) { s.Crashes = 0 }),
		Entry("fewer in the other cases", func(s *quarantine.Settings) { s.ManyCrashes = 2 }),
		Entry("no duration", func(s *quarantine.Settings) { s.Duration = 0 }),
	)
})

// Guards against memory that grows with the parts that peers name in answers.
var _ = Describe("answers that other processes announce", func() {
	It("are kept in a bounded number, and not for long", func() {
		l := quarantine.New(quarantine.Defaults())
		now := time.Unix(1_000_000, 0)
		for i := range 20_000 {
			l.HandleEvidence(quarantine.Answer{Part: quarantine.Part{Service: "s", ID: fmt.Sprint(i)}}, now)
		}
		Expect(l.AnswerCount()).To(BeNumerically("<=", 1024))
		l.Step(now.Add(time.Minute))
		Expect(l.AnswerCount()).To(BeZero())
	})
})

// Guards against memory that grows with the requests that callers send.
var _ = Describe("the requests that were answered", func() {
	It("are remembered up to a bound, and forgotten after a time", func() {
		l := quarantine.New(quarantine.Defaults())
		now := time.Unix(1e9, 0)
		for i := range 10_000 {
			l.RecordAnswer("s", []string{quarantine.RequestID(fmt.Sprint(i))}, now)
		}
		Expect(l.SoundCount()).To(Equal(4096))
		Expect(l.Empty()).To(BeTrue(), "no request takes a lock for it")
		l.Step(now.Add(11 * time.Minute))
		Expect(l.SoundCount()).To(BeZero())
	})

	// Guards against a sound request that is blocked because it ran at replicas that
	// another request crashed.
	It("are not suspect, wherever they were answered", func() {
		a, b := quarantine.New(quarantine.Defaults()), quarantine.New(quarantine.Defaults())
		now := time.Unix(1e9, 0)
		id := quarantine.RequestID("sound")
		a.RecordAnswer("s", []string{id}, now)
		for i := range 3 {
			now = now.Add(time.Second)
			c := quarantine.Crash{Service: "s", Replica: replica.Incarnation{ID: fmt.Sprint(i)}, PartIDs: []string{id}}
			b.RecordCrash(c, now)
			for _, action := range a.HandleEvidence(c, now) {
				b.HandleEvidence(action.(quarantine.Announce).Evidence, now)
			}
		}
		b.Step(now.Add(time.Second))
		_, _, blocked := b.Blocks("s", []string{id}, now.Add(time.Second))
		Expect(blocked).To(BeFalse())
	})
})

// Guards against a shared part that is blocked, and with it sound requests, because of
// one request that has it.
var _ = Describe("a request whose prompt shares a part with few others", func() {
	It("is put into quarantine in place of the part", func() {
		l := quarantine.New(quarantine.Defaults())
		now := time.Unix(1e9, 0)
		id := quarantine.RequestID("bad")
		for i := range 6 {
			now = now.Add(70 * time.Millisecond)
			l.RecordCrash(quarantine.Crash{Service: "s", Replica: replica.Incarnation{ID: fmt.Sprint(i)}, PartIDs: []string{"part", id}}, now)
			l.Step(now)
		}
		l.Step(now.Add(time.Second))
		Expect(l.Parts()).To(Equal([]quarantine.Part{{Service: "s", ID: id}}))
	})
})
