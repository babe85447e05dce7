package replicaspeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/replica"
	"briarreach/replicaspeed"
)

var start = time.Unix(1e9, 0)

func replicas(n int) []replica.Replica {
	list := make([]replica.Replica, n)
	for i := range list {
		list[i] = replica.Replica{ID: fmt.Sprint("r", i), Service: "s", Slots: 64}
	}
	return list
}

// fleet feeds estimates with samples of replicas that have a base latency, a rate and
// a speed each.
type fleet struct {
	speeds *replicaspeed.Speeds
	list   []replica.Replica
	base   time.Duration
	rate   float64 // tokens per second at speed 1
	speed  []float64
	now    time.Time
	rnd    *rand.Rand
}

func newFleet(base time.Duration, rate float64, speed ...float64) *fleet {
	return &fleet{speeds: replicaspeed.New(replicaspeed.Defaults()), list: replicas(len(speed)), base: base, rate: rate, speed: speed, now: start, rnd: rand.New(rand.NewPCG(1, 2))}
}

// run feeds perSecond samples of each replica for some time.
func (f *fleet) run(d time.Duration, perSecond int) {
	prompts := []float64{543, 1800, 2890, 9190}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Second / time.Duration(perSecond)) {
		for i, r := range f.list {
			own, queued := prompts[f.rnd.IntN(len(prompts))], f.rnd.ExpFloat64()*1000
			took := f.base + time.Duration((own+queued)/f.rate/f.speed[i]*float64(time.Second))
			f.speeds.Of(r).Record(replicaspeed.Sample{QueuedTokens: queued, OwnTokens: own, Took: took}, f.now)
		}
	}
}

func (f *fleet) estimate(i int) replicaspeed.Estimate { return f.speeds.Of(f.list[i]).Estimate(f.now) }

var _ = Describe("an estimate of speed", func() {
	// Guards against queues that are estimated at twice or half their length.
	DescribeTable("finds the rate and the base latency of each replica",
		func(base time.Duration, rate float64, speeds ...float64) {
			f := newFleet(base, rate, speeds...)
			f.run(20*time.Second, 3)
			for i, speed := range speeds {
				e := f.estimate(i)
				Expect(e.Rate).To(BeNumerically("~", rate*speed, 0.2*rate*speed), "replica %d", i)
				Expect(e.Base).To(BeNumerically("~", base, 20*time.Millisecond))
			}
		},
		Entry("all alike", time.Millisecond, 42_800.0, 1.0, 1.0, 1.0, 1.0),
		Entry("one in four is slow", time.Millisecond, 42_800.0, 1.2, 0.55, 1.2, 1.2),
		Entry("fast, with a base latency", 41*time.Millisecond, 81_900.0, 1.0, 1.3, 1.3, 1.0),
	)

	// Guards against an estimate that follows a change too late, or that is misled by
	// a short one.
	DescribeTable("follows what lasts",
		func(factor float64, d time.Duration, lowest, highest float64) {
			f := newFleet(time.Millisecond, 42_800, 1, 1, 1, 1)
			f.run(20*time.Second, 6)
			f.speed[0] = factor
			f.run(d, 6)
			Expect(f.estimate(0).Rate / f.rate).To(And(BeNumerically(">=", lowest), BeNumerically("<=", highest)))
			Expect(f.estimate(0).HomeSpeed).To(BeNumerically(">=", 0.6), "its prompts stay where they are cached")
			f.speed[0] = 1
			f.run(2*time.Second, 6)
			Expect(f.estimate(0).Rate/f.rate).To(BeNumerically(">=", 0.6), "it is well again")
		},
		Entry("a replica that is 5 times slower for 2 s", 0.2, 2*time.Second, 0.1, 0.4),
		Entry("a replica that is 5 times slower for 6 s", 0.2, 6*time.Second, 0.1, 0.3),
		Entry("a slow moment of a sound replica", 0.4, 600*time.Millisecond, 0.55, 1.0),
	)

	// Guards against one bad sample that moves the requests of a replica, or all.
	It("is not moved far by a single sample", func() {
		f := newFleet(time.Millisecond, 42_800, 1, 1, 1, 1)
		f.run(20*time.Second, 6)
		f.now = f.now.Add(5 * time.Second)
		f.speeds.Of(f.list[0]).Record(replicaspeed.Sample{OwnTokens: 2000, Took: 125 * time.Millisecond}, f.now)
		Expect(f.estimate(0).Speed).To(BeNumerically(">", 0.5), "2.5 times the expected time")
		f.speeds.Of(f.list[1]).Record(replicaspeed.Sample{OwnTokens: 2000, Took: time.Minute}, f.now)
		Expect(f.estimate(2).Rate).To(BeNumerically("~", 42_800, 4000))
		Expect(f.estimate(1).HomeSpeed).To(BeNumerically("~", 1, 0.1))
	})

	// Guards against a hanging replica that keeps its share because it sends no first
	// event from which a sample could be taken.
	It("falls while requests wait, and a request counts once", func() {
		f := newFleet(time.Millisecond, 42_800, 1, 1, 1)
		f.run(20*time.Second, 6)
		r := f.speeds.Of(f.list[0])
		waiting := func(took, counted time.Duration) bool {
			return r.Record(replicaspeed.Sample{OwnTokens: 9190, Took: took, Counted: counted, Waiting: true}, f.now)
		}
		Expect(waiting(100*time.Millisecond, 0)).To(BeFalse(), "it is not late yet")
		Expect(waiting(600*time.Millisecond, 0)).To(BeTrue())
		once := f.estimate(0).Speed
		Expect(once).To(BeNumerically("<", 0.8))
		Expect(waiting(600*time.Millisecond, 600*time.Millisecond)).To(BeTrue())
		Expect(f.estimate(0).Speed).To(BeNumerically("~", once, 0.001))
		Expect(waiting(1200*time.Millisecond, 600*time.Millisecond)).To(BeTrue())
		Expect(f.estimate(0).Speed).To(BeNumerically("<", once))
	})

	// Guards against a replica without traffic that is never tried again, and against
	// a restarted one that inherits its predecessor's speed.
	It("returns to the prior without samples and in a new incarnation", func() {
		f := newFleet(time.Millisecond, 42_800, 1, 1, 0.2)
		f.run(20*time.Second, 6)
		Expect(f.estimate(2).HomeSpeed).To(BeNumerically("<", 0.5))
		again := f.list[2]
		again.Started = f.now
		Expect(f.speeds.Of(again).Estimate(f.now).Speed).To(BeNumerically("~", 1, 0.01))
		f.now = f.now.Add(5 * time.Minute)
		Expect(f.estimate(2).Speed).To(BeNumerically("~", 1, 0.1))
		f.speeds.SetReplicas(f.list[:2])
		Expect(f.estimate(2).Speed).To(BeNumerically("==", 1), "it was forgotten")
	})

	It("of a plain service is by the time of its responses", func() {
		s, list := replicaspeed.New(replicaspeed.Defaults()), replicas(3)
		for n := range 60 {
			for i, took := range []time.Duration{60 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond} {
				s.Of(list[i]).Record(replicaspeed.Sample{Plain: true, Took: took}, start.Add(time.Duration(n)*100*time.Millisecond))
			}
		}
		now := start.Add(6 * time.Second)
		Expect(s.Of(list[2]).Estimate(now).Speed / s.Of(list[0]).Estimate(now).Speed).To(BeNumerically("~", 0.2, 0.1))
	})

	It("has the longest pause between events", func() {
		s := replicaspeed.New(replicaspeed.Defaults())
		even, uneven := s.Of(replicas(2)[0]), s.Of(replicas(2)[1])
		for n := range 100 {
			even.RecordPause(20 * time.Millisecond)
			uneven.RecordPause(time.Duration(20+n%10/9*300) * time.Millisecond)
		}
		Expect(even.Estimate(start).LongestPause).To(BeNumerically("~", 20*time.Millisecond, 5*time.Millisecond))
		Expect(uneven.Estimate(start).LongestPause).To(BeNumerically(">", 200*time.Millisecond))
	})

	// Guards against values that poison the estimates: a placement by a rate that is
	// zero, infinite or not a number chooses the same replica forever.
	It("stays within its bounds whatever the samples and messages are", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, list, now := replicaspeed.New(replicaspeed.Defaults()), replicas(2), start
			value := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1e4), rapid.SampledFrom([]float64{0, math.NaN(), math.Inf(1), -1}))
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "elapsed")))
				r := s.Of(list[rapid.IntRange(0, 1).Draw(t, "replica")])
				r.Record(replicaspeed.Sample{QueuedTokens: value.Draw(t, "queued"), OwnTokens: value.Draw(t, "own"), Took: time.Duration(rapid.Int64().Draw(t, "took")),
					Counted: time.Duration(rapid.Int64().Draw(t, "counted")), Waiting: rapid.Bool().Draw(t, "waiting"), Plain: rapid.Bool().Draw(t, "plain")}, now)
				if m, ok := s.NextMessage(1, now); ok {
					m.Entries[0].Samples, m.Entries[0].Tokens, m.Entries[0].Seconds = float32(value.Draw(t, "samples")), float32(value.Draw(t, "tokens")), float32(value.Draw(t, "seconds"))
					s.HandleMessage(m, now)
				}
				e := r.Estimate(now)
				if !(e.Speed >= 0.1 && e.Speed <= 4 && e.HomeSpeed >= 0.1 && e.HomeSpeed <= 4 && e.Rate >= 350 && e.Rate <= 1_400_000 && e.Base >= 0) {
					t.Fatalf("estimate out of bounds: %+v", e)
				}
			}
		})
	})
})

var _ = Describe("messages between gateways", func() {
	pass := func(from, to *replicaspeed.Speeds, others int, now time.Time) {
		if m, ok := from.NextMessage(others, now); ok {
			to.HandleMessage(m, now)
		}
	}

	// Guards against gateways that see a part of the load and find a slow replica only
	// after many late requests.
	It("let a gateway without samples of its own know a slow replica", func() {
		f := newFleet(time.Millisecond, 42_800, 1, 0.2, 1, 1)
		other := replicaspeed.New(replicaspeed.Defaults())
		other.SetReplicas(f.list)
		for range 10 {
			f.run(time.Second, 6)
			pass(f.speeds, other, 3, f.now)
		}
		e := other.Of(f.list[1]).Estimate(f.now)
		Expect(e.Speed).To(BeNumerically("~", f.estimate(1).Speed, 0.1))
		Expect(e.HomeSpeed).To(Equal(f.estimate(1).HomeSpeed))
		Expect(other.Of(f.list[0]).Estimate(f.now).Rate).To(BeNumerically("~", 42_800, 10_000))
	})

	// Guards against messages that fill the links of small gateways.
	DescribeTable("stay within their bytes",
		func(gateways, replicaCount int) {
			f := newFleet(time.Millisecond, 42_800, slices.Repeat([]float64{1}, replicaCount)...)
			f.run(5*time.Second, 1)
			bytes, seconds := 0, 200
			for range seconds * 4 {
				if m, ok := f.speeds.NextMessage(gateways-1, f.now); ok {
					data, err := cbor.Marshal(map[int]replicaspeed.Message{9: m})
					Expect(err).NotTo(HaveOccurred())
					Expect(len(data)).To(BeNumerically("<=", 1000))
					bytes += len(data)
				}
				f.run(250*time.Millisecond, 4)
			}
			Expect(bytes).To(BeNumerically(">", 0))
			Expect(float64(bytes*(gateways-1)) / float64(seconds)).To(BeNumerically("<=", 2000))
		},
		Entry("2 gateways", 2, 60),
		Entry("26 gateways", 26, 47),
		Entry("330 gateways", 330, 600),
	)

	It("hold the replicas with the most news first, and the others later", func() {
		f := newFleet(time.Millisecond, 42_800, slices.Repeat([]float64{1}, 20)...)
		f.run(20*time.Second, 6)
		for due := true; due; f.now = f.now.Add(time.Minute) {
			_, due = f.speeds.NextMessage(30, f.now)
		}
		f.speed[7] = 0.2
		f.run(time.Second, 6)
		var order []uint64
		for range 20 {
			m, _ := f.speeds.NextMessage(30, f.now)
			for _, e := range m.Entries {
				order = append(order, e.Key)
			}
			f.now = f.now.Add(10 * time.Second)
		}
		f.list = f.list[7:8]
		f.run(time.Second, 1)
		slow, _ := f.speeds.NextMessage(30, f.now)
		Expect(order[0]).To(Equal(slow.Entries[0].Key))
		slices.Sort(order)
		Expect(slices.Compact(order)).To(HaveLen(20))
	})

	It("with invalid values are ignored and counted", func() {
		f := newFleet(time.Millisecond, 42_800, 1, 1)
		f.run(10*time.Second, 6)
		m, _ := f.speeds.NextMessage(1, f.now)
		before := f.estimate(0)
		for _, v := range []float32{float32(math.NaN()), float32(math.Inf(1)), -1, 1e30} {
			f.speeds.HandleMessage(replicaspeed.Message{Entries: []replicaspeed.Entry{{Key: m.Entries[0].Key, Samples: 1, Tokens: 1, Seconds: v}, {Key: m.Entries[1].Key, Samples: v, Tokens: 1, Seconds: 1}}}, f.now)
		}
		Expect(f.estimate(0)).To(Equal(before))
		Expect(f.speeds.Stats().Invalid).To(BeNumerically("==", 8))
	})
})
