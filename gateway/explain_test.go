package gateway_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/replica"
	"briarreach/retrybudget"
	"briarreach/route"
)

// untouchedQuota fails the spec when quota is reserved.
type untouchedQuota struct{}

func (untouchedQuota) Reserve(context.Context, string, int64) (gateway.Reservation, error) {
	Fail("quota was reserved")
	return nil, nil
}

var _ = Describe("ExplainPlacement", func() {
	clock := clockwork.NewFakeClock()

	// newExplained returns a gateway with four replicas, one evacuated and one of a
	// withheld version.
	newExplained := func() (*gateway.Gateway, *placement.Placer) {
		placer := placement.New(placement.Defaults(), nil)
		g, _ := newGateway(&sender{}, clock, placer, gateway.WithQuota(untouchedQuota{}))
		directory := replica.New(0)
		var events []replica.Event
		for i, id := range []string{"r0", "r1", "r2", "r3"} {
			events = append(events, replica.Registered{Replica: replica.Replica{ID: id, Service: "engine", Slots: 8, FailureDomain: "zone-" + id, Version: "v" + id,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}})
		}
		directory.Replace(events, 7, clock.Now())
		set := directory.Snapshot(clock.Now())
		placer.SetReplicas(set.All())
		g.UpdateSnapshot(func(s gateway.Snapshot) gateway.Snapshot {
			s.Replicas, s.EvacuatedDomains, s.WithheldVersions = set, map[string]bool{"zone-r0": true}, map[string]string{"engine": "vr1"}
			s.RouteTable = route.New(route.Config{Version: 3, Services: []route.Service{{Name: "engine"}}, Workspaces: []route.Workspace{{Name: "acme", APIKeys: []string{"secret-key"}}},
				Routes: []route.Route{{Name: "chat", Host: "h.example", PathPrefix: "/", Kind: route.Streaming{}, Timeout: time.Minute,
					TargetLatency: 500 * time.Millisecond, TrafficSplit: []route.Share{{Service: "engine", Weight: 1}}}}})
			return s
		})
		return g, placer
	}
	query := gateway.PlacementQuery{Workspace: "acme", Host: "h.example", Path: "/v1", PromptTokens: 1000, SharedParts: []gateway.PromptPart{{ID: "private part", Tokens: 400}}}

	// Guards against replicas that the operator has taken out of service but that the
	// explanation omits or chooses, and against keys and prompts in the output.
	It("names the replicas that the operator has withdrawn, and no key or prompt", func() {
		g, placer := newExplained()
		e, err := g.ExplainPlacement(query)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Replica).To(BeElementOf("r2", "r3"))
		Expect(e.Route).To(Equal("chat"))
		Expect(e.RegistryVersion).To(Equal(uint64(7)))
		verdicts := make(map[string]placement.Verdict)
		for _, c := range e.Candidates {
			verdicts[c.Replica] = c.Verdict
			Expect(c.Load).To(BeZero())
		}
		Expect(verdicts).To(And(HaveLen(4), HaveKeyWithValue("r0", placement.VerdictEvacuated), HaveKeyWithValue("r1", placement.VerdictWithheld), HaveKeyWithValue(e.Replica, placement.VerdictTaken)))
		data, err := json.Marshal(e)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).NotTo(Or(ContainSubstring("secret-key"), ContainSubstring("private")))
		again, err := g.ExplainPlacement(query)
		Expect(err).NotTo(HaveOccurred())
		// Idle replicas are equal, so only the order of the chosen one may differ.
		Expect(again.Candidates).To(ConsistOf(e.Candidates), "the first explanation has changed nothing")
		Expect(placer.EjectedCount(clock.Now())).To(BeZero())
		Expect(g.OpenStreams()).To(BeZero())
	})

	// Guards against a refusal that is explained with another reason than the request's.
	DescribeTable("returns the refusal of the request", func(change func(*gateway.Gateway), reason gateway.Reason, retryAfter float64) {
		g, _ := newExplained()
		change(g)
		e, err := g.ExplainPlacement(query)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Replica).To(BeEmpty())
		Expect(e.Refusal).To(Equal(&gateway.ExplainedRefusal{Reason: reason, RetryAfterMS: retryAfter}))
	},
		Entry("all replicas evacuated", func(g *gateway.Gateway) {
			g.UpdateSnapshot(func(s gateway.Snapshot) gateway.Snapshot {
				s.EvacuatedDomains = map[string]bool{"zone-r0": true, "zone-r1": true, "zone-r2": true, "zone-r3": true}
				return s
			})
		}, gateway.NoReplica, 300.0),
		Entry("the gateway stops", func(g *gateway.Gateway) { g.Drain(clock.Now().Add(time.Second)) }, gateway.Stopping, 200.0),
	)

	// Guards against errors that don't say what is missing.
	DescribeTable("says what is missing", func(change func(*gateway.PlacementQuery), text string) {
		g, _ := newExplained()
		q := query
		change(&q)
		_, err := g.ExplainPlacement(q)
		Expect(err).To(MatchError(text))
	},
		Entry("route", func(q *gateway.PlacementQuery) { q.Host = "other.example" }, "unknown route other.example/v1"),
		Entry("route by name", func(q *gateway.PlacementQuery) { q.Route = "other" }, "unknown route other"),
		Entry("workspace", func(q *gateway.PlacementQuery) { q.Workspace = "other" }, "unknown workspace other"),
		Entry("no workspace", func(q *gateway.PlacementQuery) { q.Workspace = "" }, "the query names no workspace"),
		Entry("service", func(q *gateway.PlacementQuery) { q.Service = "other" }, "unknown service other"),
	)

	It("says that there is no configuration yet", func() {
		g := gateway.New(&sender{}, placement.New(placement.Defaults(), nil), retrybudget.New(retrybudget.Limit{Window: time.Second}, 1))
		_, err := g.ExplainPlacement(query)
		Expect(err).To(MatchError("the gateway has no configuration yet"))
	})
})
