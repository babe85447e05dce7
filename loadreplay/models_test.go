package loadreplay_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/loadreplay"
)

// evenRequests returns requests for one replica with an interval between them.
func evenRequests(n int, every time.Duration, r loadreplay.Request) *loadreplay.Pattern {
	p := &loadreplay.Pattern{Name: "even", PatientCallers: true}
	r.Kind, r.Timeout = "any", time.Minute
	for i := range n {
		r.Arrival = time.Duration(i) * every
		p.Requests = append(p.Requests, r)
	}
	return p
}

// comparison returns the policies of a set, or those of them that are named.
func comparison(set string, m loadreplay.Model, names ...string) []loadreplay.Policy {
	GinkgoHelper()
	policies, err := loadreplay.PolicySet(set, m)
	Expect(err).NotTo(HaveOccurred())
	if len(names) == 0 {
		return policies
	}
	var named []loadreplay.Policy
	for _, p := range policies {
		if p, ok := p.(loadreplay.Placement); ok && slices.Contains(names, p.Name) {
			named = append(named, p)
		}
	}
	Expect(named).To(HaveLen(len(names)))
	return named
}

// run replays a pattern with each policy, and returns the summaries by policy.
func run(m loadreplay.Model, pattern string, seeds int, policies ...loadreplay.Policy) map[string]loadreplay.Summary {
	GinkgoHelper()
	batch := loadreplay.Batch{Model: m, Patterns: []string{pattern}, Policies: policies, Parallel: 2}
	for i := range seeds {
		batch.Seeds = append(batch.Seeds, uint64(i+1))
	}
	summaries, err := batch.Run(context.Background())
	Expect(err).NotTo(HaveOccurred())
	byPolicy := make(map[string]loadreplay.Summary)
	for _, s := range summaries {
		byPolicy[s.Policy] = s
	}
	return byPolicy
}

var _ = Describe("the engine model", func() {
	// Guards against replicas whose prefill ignores their speed or the latency of the
	// first event. The prefill of 10,000 tokens takes 100 ms at speed 1.
	DescribeTable("gives the first event after prefill and latency",
		func(speed float64, latency, want time.Duration) {
			m := loadreplay.EngineModel{Replicas: 1, Slots: 4, PrefillRate: 100_000, ChunkTokens: 2048, StepTime: 5 * time.Millisecond, TokensPerEvent: 1,
				CacheTokens: 1, FirstEventLatency: latency, Speeds: []loadreplay.SpeedClass{{Share: 1, Speed: speed}}}
			r := loadreplay.Replay(evenRequests(20, time.Second, loadreplay.Request{UniqueTokens: 10_000, Events: 2}), loadreplay.Random{}, m, 1)
			Expect(r.Overall.Total).To(Equal(20))
			Expect(r.FirstEvent[0]).To(BeNumerically("~", want, 2*time.Millisecond))
		},
		Entry("at speed 1", 1.0, time.Duration(0), 100*time.Millisecond),
		Entry("at half the speed", 0.5, time.Duration(0), 200*time.Millisecond),
		Entry("faster", 1.25, time.Duration(0), 80*time.Millisecond),
		Entry("with a latency", 1.0, 41*time.Millisecond, 141*time.Millisecond),
	)

	// Guards against steps that don't grow with the running requests, so that full
	// replicas would keep their pauses short.
	DescribeTable("makes pauses longer with more running requests",
		func(running int, onTime float64) {
			m := loadreplay.SecondModel().Engine
			m.Replicas, m.Speeds = 1, nil
			// An event of 6 tokens takes 22 ms alone and 53 ms beside 63 others.
			p := evenRequests(running, 0, loadreplay.Request{UniqueTokens: 1, Events: 200, TargetLatency: time.Minute, MaxEventGap: 40 * time.Millisecond})
			share, _ := loadreplay.Replay(p, loadreplay.Random{}, m, 1).Overall.Shares()
			Expect(share).To(Equal(onTime))
		},
		Entry("alone", 1, 1.0), Entry("full", 64, 0.0),
	)

	// Guards against slow moments that are too rare, too short or too weak: 15% of the
	// time at 2.5 times.
	It("has slow moments", func() {
		m := loadreplay.EngineModel{Replicas: 1, Slots: 4, PrefillRate: 100_000, ChunkTokens: 2048, StepTime: time.Millisecond, TokensPerEvent: 1, CacheTokens: 1,
			SlowMoments: loadreplay.FirstModel().Engine.SlowMoments}
		r := loadreplay.Replay(evenRequests(3000, 100*time.Millisecond, loadreplay.Request{UniqueTokens: 2000, Events: 1, TargetLatency: 25 * time.Millisecond, MaxEventGap: time.Second}), loadreplay.Random{}, m, 1)
		Expect(r.FirstEvent[0]).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))
		Expect(r.FirstEvent[1]).To(BeNumerically("~", 50*time.Millisecond, 2*time.Millisecond))
		onTime, _ := r.Overall.Shares()
		Expect(1 - onTime).To(BeNumerically("~", 0.15, 0.03))
	})
})

var _ = Describe("a pattern", func() {
	// Guards against patterns whose load isn't the stated one.
	DescribeTable("has the stated load", func(name string, from, to time.Duration, of func(loadreplay.Request) bool, want float64) {
		count := func(pattern string) float64 {
			n := 0
			for seed := range uint64(10) {
				p, err := loadreplay.SecondModel().Generate(pattern, seed)
				Expect(err).NotTo(HaveOccurred())
				for _, r := range p.Requests {
					if r.Arrival >= from && r.Arrival < to && of(r) {
						n++
					}
				}
			}
			return float64(n)
		}
		Expect(count(name) / count("calm")).To(BeNumerically("~", want, 0.05*want))
	},
		Entry("long_burst", "long_burst", 8*time.Second, 14*time.Second, func(r loadreplay.Request) bool { return r.Kind == "draft" }, 2.5),
		Entry("long_burst, other kinds", "long_burst", 8*time.Second, 14*time.Second, func(r loadreplay.Request) bool { return r.Kind != "draft" }, 1.0),
		Entry("hot_workspace", "hot_workspace", 8*time.Second, 14*time.Second, func(r loadreplay.Request) bool { return r.Workspace == "w4" }, 7.5),
		Entry("hot_workspace, others", "hot_workspace", 8*time.Second, 14*time.Second, func(r loadreplay.Request) bool { return r.Workspace != "w4" }, 1.0),
		Entry("waves, high", "waves", 2*time.Second, 3500*time.Millisecond, func(loadreplay.Request) bool { return true }, 1.15),
		Entry("waves, low", "waves", 7500*time.Millisecond, 9*time.Second, func(loadreplay.Request) bool { return true }, 0.85),
	)

	// Guards against a slowdown that no policy meets or whose times aren't measured.
	It("slowed_server shows that a policy without knowledge never leaves, and that one by load does", func() {
		m := loadreplay.SecondModel().Scaled(12)
		policies := append(comparison("placement", m, "product"), loadreplay.Random{})
		s := run(m, "slowed_server", 2, policies...)
		Expect(s["random"].NeverLeft).To(Equal(2))
		Expect(s["product"].Found).To(HaveLen(2))
	})

	// Guards against speeds that the results of uneven_servers don't show.
	It("uneven_servers shows the load of the slowest replicas against their speed", func() {
		s := run(loadreplay.DefaultModel(), "uneven_servers", 1, loadreplay.Random{}, loadreplay.LeastLoaded{})
		// Two of nine replicas have 0.458 of the speed of the others, so that equal shares
		// of the requests are 1.92 times theirs by speed. Misses of their caches add to it.
		Expect(s["random"].SlowestLoad.Mean).To(BeNumerically("~", 1.92, 0.25))
		Expect(s["least_loaded"].SlowestLoad.Mean).To(BeNumerically("<", s["random"].SlowestLoad.Mean))
	})
})

var _ = Describe("a batch of replays", func() {
	// Guards against results that depend on the order or the parallelism of replays.
	It("has the same results in any order", func() {
		m := loadreplay.FirstModel().Scaled(5)
		batch := loadreplay.Batch{Model: m, Patterns: []string{"overload"}, Policies: comparison("waiting", m), Seeds: []uint64{1, 2, 3}, Parallel: 1}
		forward, err := batch.Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		slices.Reverse(batch.Seeds)
		batch.Parallel = 3
		backward, err := batch.Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		for i := range forward {
			slices.Reverse(backward[i].Results)
			Expect(backward[i].Results).To(Equal(forward[i].Results), forward[i].Policy)
		}
	})

	It("varies placement settings", func() {
		p, err := loadreplay.SettingVariant("prefill_rate=81900+cache_ttl=4s+load_slack=3+late_factor=0.9")
		Expect(err).NotTo(HaveOccurred())
		s := p.(loadreplay.Placement).Settings
		Expect(fmt.Sprint(s.PrefillRate, s.CacheTTL, s.LoadSlack, s.Overload.LateFactor)).To(Equal("81900 4s 3 0.9"))
	})

	DescribeTable("rejects what it doesn't know", func(call func() error, message string) {
		Expect(call()).To(MatchError(ContainSubstring(message)))
	},
		Entry(nil, func() error { _, err := loadreplay.SettingVariant("rate=1"); return err }, `placement setting "rate": accepted are announce_min_tokens, cache_miss_weight`),
		Entry(nil, func() error { _, err := loadreplay.SettingVariant("cache_ttl"); return err }, "accepted is NAME=VALUE"),
		Entry(nil, func() error { _, err := loadreplay.SettingVariant("cache_ttl=4"); return err }, "missing unit"),
		Entry(nil, func() error { _, err := loadreplay.ModelByName("third"); return err }, `model "third": accepted are`),
		Entry(nil, func() error { _, err := loadreplay.PolicySet("all", loadreplay.DefaultModel()); return err }, `policy set "all": accepted are`),
		Entry(nil, func() error {
			_, err := loadreplay.Batch{Model: loadreplay.DefaultModel(), Patterns: []string{"storm"}, Seeds: []uint64{1}}.Run(context.Background())
			return err
		}, `load pattern "storm"`),
	)
})
