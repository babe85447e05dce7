package loadreplay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/loadreplay"
)

// overload replays an overload of the model second with policies that estimate
// speeds, by policy.
func overload(slots int, set string, names ...string) map[string]loadreplay.Summary {
	GinkgoHelper()
	m := loadreplay.SecondModel().Scaled(9)
	m.Engine.Slots = slots
	policies := comparison(set, m, names...)
	for i, p := range policies {
		policies[i] = loadreplay.Learning(p)
	}
	return run(m, "overload", 2, policies...)
}

// The specs hold what docs/design/waiting.md concludes.
var _ = Describe("requests that no replica can start at once", func() {
	// Guards against a change that makes a queue of the gateway the better place, which
	// the gateway doesn't have.
	DescribeTable("are served on time as often from the replicas' queues as from one at the gateway", func(slots int) {
		s := overload(slots, "waiting", "at_replicas", "at_gateway")
		Expect(s["at_replicas+learning"].OnTime.Mean).To(BeNumerically(">=", s["at_gateway+learning"].OnTime.Mean-0.02))
	}, Entry(nil, 16), Entry(nil, 64))

	// Guards against refusals that don't pay: refusing only hopeless requests serves
	// more of them, and refusing late ones serves more of them on time.
	It("are served later if only the hopeless ones are refused", func() {
		s := overload(64, "refusal", "late/after_wait", "hopeless/after_wait")
		late, hopeless := s["late/after_wait+learning"], s["hopeless/after_wait+learning"]
		Expect(hopeless.Served.Mean).To(BeNumerically(">", late.Served.Mean))
		Expect(late.OnTime.Mean).To(BeNumerically(">", hopeless.OnTime.Mean))
	})

	// Guards against queues of the gateway that outgrow their bound or keep requests past
	// their time limit: with one slot, a queue of one serves less than a long one and
	// refuses the rest at once.
	It("are refused when the gateway's queue is full or their time limit can't be met", func() {
		m := loadreplay.EngineModel{Replicas: 1, Slots: 1, PrefillRate: 100_000, ChunkTokens: 2048, StepTime: 5 * time.Millisecond, TokensPerEvent: 1, CacheTokens: 1}
		// Each takes 1 s; ten arrive at once, with a limit of 4.5 s.
		p := evenRequests(10, time.Millisecond, loadreplay.Request{UniqueTokens: 90_000, Events: 20, TargetLatency: time.Minute, MaxEventGap: time.Second})
		for i := range p.Requests {
			p.Requests[i].Timeout = 4500 * time.Millisecond
		}
		replay := func(limit int) loadreplay.OutcomeCounts {
			policy := comparison("waiting", loadreplay.SecondModel(), "at_gateway_exact")[0].(loadreplay.Placement)
			policy.QueueLimit = limit
			return loadreplay.Replay(p, policy, m, 1, loadreplay.WithGateways(1)).Overall
		}
		short, long := replay(1), replay(100)
		Expect(long.OnTime).To(Equal(4), "as many as the replica can serve before the limit")
		Expect(long.Refused).To(Equal(6))
		Expect(short.OnTime).To(BeNumerically("<", long.OnTime))
		Expect(short.OnTime + short.Refused).To(Equal(10))
	})
})
