package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/placement"
	"briarreach/replica"
	"briarreach/replicanotice"
	"briarreach/replicaspeed"
)

// learned returns estimates of replicas from ten seconds of samples of their speeds, at
// a rate of tokens per second.
func learned(list []replica.Replica, rate float64, speeds ...float64) *replicaspeed.Speeds {
	s := replicaspeed.New(replicaspeed.Defaults())
	for n := range 60 {
		for i, r := range list {
			tokens := float64(500 + n%10*1000)
			s.Of(r).Record(replicaspeed.Sample{OwnTokens: tokens, Took: time.Millisecond + time.Duration(tokens/rate/speeds[i]*float64(time.Second))}, start.Add(time.Duration(n-60)*time.Second/6))
		}
	}
	return s
}

// states is what replicas say of themselves, by ID.
type states map[string]replicanotice.State

func (s states) State(r replica.Incarnation, _ time.Time) replicanotice.State {
	if state, ok := s[r.ID]; ok {
		return state
	}
	return replicanotice.State{Share: 1}
}

func (states) DrainTimeout() time.Duration { return time.Second }

var _ = Describe("placement by the speeds of replicas", func() {
	prompt := func(i int) placement.Request {
		return placement.Request{SharedParts: placement.HashParts([]string{fmt.Sprint("part", i)}, []int{2000}), UniqueTokens: 1000, Streaming: true, TargetLatency: 500 * time.Millisecond, MaxEventGap: 300 * time.Millisecond}
	}
	// share counts the choices of n different prompts while nothing is queued.
	share := func(p *placement.Placer, list []replica.Replica, n int) map[string]int {
		r, sent := newRand(), make(map[string]int)
		for i := range n {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			c, _ := p.Choose(prompt(i), list, now, r)
			sent[c.Replica.ID]++
			p.Done(c, placement.Served, now)
		}
		return sent
	}

	// Guards against refusals of requests that would be in time, as the rate of the
	// replicas is above the assumed one, and against queues that are too long where it
	// is below.
	DescribeTable("refuses by the rate that the replicas have",
		func(rate float64, accepted int) {
			list := replicas(1)
			p, r, n := placement.New(placement.Defaults(), nil, placement.WithSpeeds(learned(list, rate, 1))), newRand(), 0
			for ; n < 100; n++ {
				c, ok := p.Choose(placement.Request{UniqueTokens: 1000, TargetLatency: 500 * time.Millisecond, Streaming: true}, list, start, r)
				Expect(ok).To(BeTrue())
				if c.Refused {
					break
				}
			}
			// Within 0.7 of the target, 1,000 tokens each.
			Expect(n).To(BeNumerically("~", accepted, max(1, accepted/10)))
		},
		Entry("81.9 tokens/ms", 81_900.0, 28),
		Entry("23.5 tokens/ms", 23_500.0, 8),
	)

	It("makes slow replicas the home of fewer prompts, and gateways agree", func() {
		list := replicas(8)
		speeds := []float64{1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2}
		a, b := placement.New(placement.Defaults(), nil, placement.WithSpeeds(learned(list, 42_800, speeds...))), placement.New(placement.Defaults(), nil, placement.WithSpeeds(learned(list, 41_000, speeds...)))
		const n = 800
		sent := share(a, list, n)
		Expect(sent["r1"]+sent["r5"]).To(BeNumerically("<", n*2*0.55/8.3*1.2), "their share by speed is 1/8")
		Expect(sent["r1"] + sent["r5"]).To(BeNumerically(">", 0))
		r, same := newRand(), 0
		for i := range 100 {
			now := start.Add(20*time.Second + time.Duration(i)*200*time.Millisecond)
			ca, _ := a.Choose(prompt(n+i), list, now, r)
			cb, _ := b.Choose(prompt(n+i), list, now, r)
			if ca.Replica.ID == cb.Replica.ID {
				same++
			}
			a.Done(ca, placement.Served, now)
			b.Done(cb, placement.Served, now)
		}
		Expect(same).To(BeNumerically(">=", 95))
	})

	It("bounds the load of a replica by its share of the speed", func() {
		list := replicas(4)
		p, r, load := placement.New(placement.Defaults(), nil, placement.WithSpeeds(learned(list, 42_800, 1.3, 1.3, 1.3, 0.4))), newRand(), map[string]int{}
		// Where it is the home, only the bound keeps a hot part from a slow replica: with
		// such a target its longer times count as equal.
		hot := func(i int) placement.Request {
			return placement.Request{SharedParts: placement.HashParts([]string{fmt.Sprint("hot", i)}, []int{10}), UniqueTokens: 1, TargetLatency: time.Minute}
		}
		i := 0
		for ; ; i++ {
			c, _ := p.Choose(hot(i), list, start, r)
			p.Done(c, placement.Served, start)
			if c.Replica.ID == "r3" {
				break
			}
		}
		for range 100 {
			c, _ := p.Choose(hot(i), list, start, r)
			load[c.Replica.ID]++
		}
		Expect(load["r3"]).To(And(BeNumerically(">", 0), BeNumerically("<=", 100*1.25*0.4/4.3+2+1)))
	})

	// Guards against streams whose events come too late on a replica that prefills
	// much, while others are idle.
	It("sends no streams to a replica whose pauses are too long, unless most have them", func() {
		list := replicas(4)
		s := learned(list, 42_800, 1, 1, 1, 1)
		p := placement.New(placement.Defaults(), nil, placement.WithSpeeds(s))
		for range 100 {
			s.Of(list[0]).RecordPause(310 * time.Millisecond)
		}
		s.Of(list[0]).Record(replicaspeed.Sample{}, start)
		Expect(share(p, list, 100)).NotTo(HaveKey("r0"))
		for _, r := range list {
			for range 100 {
				s.Of(r).RecordPause(310 * time.Millisecond)
			}
			s.Of(r).Record(replicaspeed.Sample{}, start)
		}
		c, _ := p.Choose(prompt(0), list, start.Add(time.Minute), newRand())
		Expect(c.Reason).To(Equal("home"))
	})

	// Guards against a replica that hangs for some requests and sends events for others,
	// so that it is not silent: no first event shows that it is slow.
	DescribeTable("takes requests without a first event as samples",
		func(learn func(p *placement.Placer, c placement.Choice, list []replica.Replica, now time.Time)) {
			list := replicas(4)
			s := learned(list, 42_800, 1, 1, 1, 1)
			p := placement.New(placement.Defaults(), nil, placement.WithSpeeds(s))
			c, _ := p.Choose(prompt(0), list, start, newRand())
			later := start.Add(time.Second)
			learn(p, c, list, later)
			Expect(s.Of(c.Replica).Estimate(later).Speed).To(BeNumerically("<", 0.8))
		},
		Entry("while they wait", func(p *placement.Placer, c placement.Choice, list []replica.Replica, now time.Time) {
			p.RecordActivity(c, now)
			_, _ = p.Choose(prompt(1), list, now, newRand())
		}),
		Entry("when their callers disconnect", func(p *placement.Placer, c placement.Choice, _ []replica.Replica, now time.Time) {
			p.Done(c, placement.Canceled, now)
		}),
	)

	It("prefers fast replicas for requests without a prompt, within their slots", func() {
		list := replicas(3)
		s := replicaspeed.New(replicaspeed.Defaults())
		for n := range 60 {
			for i, took := range []time.Duration{60, 60, 300} {
				s.Of(list[i]).Record(replicaspeed.Sample{Plain: true, Took: took * time.Millisecond}, start.Add(time.Duration(n-60)*100*time.Millisecond))
			}
		}
		p, r, load := placement.New(placement.Defaults(), nil, placement.WithSpeeds(s)), newRand(), map[string]int{}
		for range 12 {
			c, _ := p.Choose(placement.Request{}, list, start, r)
			load[c.Replica.ID]++
		}
		Expect(load).To(Equal(map[string]int{"r0": 6, "r1": 6}))
	})

	// Guards against an estimate that sends requests where nothing may be sent.
	DescribeTable("orders only the replicas that may get requests",
		func(notice replicanotice.State, left int, before func(p *placement.Placer, fastest placement.Choice)) {
			list, s := replicas(3), states{}
			l := limiter{left: map[string]int{"r0": 1e6}}
			newPlacer := func() *placement.Placer {
				return placement.New(placement.Defaults(), nil, placement.WithSpeeds(learned(list, 42_800, 4, 0.5, 0.5)), placement.WithLimiter(l), placement.WithNotices(s))
			}
			Expect(share(newPlacer(), list, 100)["r0"]).To(BeNumerically(">", 50), "it is the fastest")
			p := newPlacer()
			// Without a prompt, so that nothing but its silence speaks against the replica.
			c, _ := p.Choose(placement.Request{}, list[:1], start.Add(-time.Minute), newRand())
			before(p, c)
			s["r0"], l.left["r0"] = notice, left
			Expect(share(p, list, 100)).NotTo(HaveKey("r0"))
		},
		Entry("one has gone", replicanotice.State{Gone: true, Share: 1}, 1000, served),
		Entry("one leaves", replicanotice.State{Leaving: true, LeavingFor: time.Second, Share: 1}, 1000, served),
		Entry("one pauses", replicanotice.State{PausedFor: time.Second, Share: 1}, 1000, served),
		Entry("one is limited", replicanotice.State{Share: 1}, 0, served),
		Entry("one is ejected", replicanotice.State{Share: 1}, 1000, func(p *placement.Placer, c placement.Choice) {
			p.Done(c, placement.ConnectionBroken, start.Add(time.Second))
		}),
		Entry("one is silent", replicanotice.State{Share: 1}, 1000, func(*placement.Placer, placement.Choice) {}),
	)
})

func served(p *placement.Placer, c placement.Choice) { p.Done(c, placement.Served, start) }

// engines answers requests like replicas with one queue each.
type engines struct {
	placer  *placement.Placer
	list    []replica.Replica
	speed   []float64
	freeAt  []time.Time
	started []answer
}

// answer is a first event, or the end of a request whose caller waits no longer.
type answer struct {
	at       time.Time
	choice   placement.Choice
	canceled bool
}

// patience is how long callers wait for the first event.
const patience = 2 * time.Second

// run sends perSecond prompts for some time, and returns the requests of each replica.
func (e *engines) run(from time.Time, d time.Duration, perSecond int, rnd *rand.Rand) map[string]int {
	sent := make(map[string]int)
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Second / time.Duration(perSecond)) {
		rest := e.started[:0]
		for _, x := range e.started {
			if x.at.After(now) {
				rest = append(rest, x)
				continue
			}
			if x.canceled {
				e.placer.Done(x.choice, placement.Canceled, x.at)
				continue
			}
			e.placer.RecordFirstEvent(x.choice, x.at)
			e.placer.RecordActivity(x.choice, x.at)
			e.placer.Done(x.choice, placement.Served, x.at)
		}
		e.started = rest
		c, ok := e.placer.Choose(placement.Request{SharedParts: placement.HashParts([]string{fmt.Sprint(rnd.IntN(40))}, []int{568}), UniqueTokens: 1800, Streaming: true}, e.list, now, rnd)
		Expect(ok).To(BeTrue())
		sent[c.Replica.ID]++
		for i := range e.list {
			if e.list[i].ID != c.Replica.ID {
				continue
			}
			at := now
			if e.freeAt[i].After(now) {
				at = e.freeAt[i]
			}
			e.freeAt[i] = at.Add(time.Duration(float64(2368-c.CachedTokens) / 42_800 / e.speed[i] * float64(time.Second)))
			a := answer{at: e.freeAt[i], choice: c}
			if end := now.Add(patience); a.at.After(end) {
				a.at, a.canceled = end, true
			}
			e.started = append(e.started, a)
		}
	}
	return sent
}

// Guards against a replica that keeps its share of the requests although it has become
// several times slower, or answers nothing, and against one that stays without requests
// when it is well again.
var _ = DescribeTable("a replica that becomes slower",
	func(factor float64, slowShare float64) {
		list := replicas(8)
		e := &engines{list: list, speed: []float64{1, 1, 1, 1, 1, 1, 1, 1}, freeAt: make([]time.Time, 8)}
		e.placer = placement.New(placement.Defaults(), nil, placement.WithSpeeds(replicaspeed.New(replicaspeed.Defaults())))
		rnd := newRand()
		e.run(start, 10*time.Second, 60, rnd)
		before := e.run(start.Add(10*time.Second), 4*time.Second, 60, rnd)["r0"]
		Expect(before).To(BeNumerically(">", 12), "a fair share is 30")
		e.speed[0] = factor
		e.run(start.Add(14*time.Second), 2*time.Second, 60, rnd)
		slow := e.run(start.Add(16*time.Second), 4*time.Second, 60, rnd)["r0"]
		Expect(float64(slow)).To(BeNumerically("<=", slowShare*float64(before)))
		e.speed[0], e.freeAt[0] = 1, start.Add(20*time.Second)
		e.run(start.Add(20*time.Second), 10*time.Second, 60, rnd)
		again := e.run(start.Add(30*time.Second), 4*time.Second, 60, rnd)["r0"]
		Expect(float64(again)).To(BeNumerically(">=", 0.5*float64(before)))
	},
	Entry("5 times", 0.2, 0.4),
	Entry("it answers nothing", 0.001, 0.1),
)
