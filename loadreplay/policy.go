package loadreplay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/placement"
	"briarreach/replica"
	"briarreach/replicanotice"
	"briarreach/replicaspeed"
)

const (
	// replicaDrainTimeout is the time after its notice in which a replica that leaves
	// still takes requests.
	replicaDrainTimeout = 2 * time.Second
	// noReplicaRetryAfter is the Retry-After when no replica takes requests.
	noReplicaRetryAfter = 300 * time.Millisecond
)

// Policy chooses replicas. It is one of Random, LeastLoaded, PrefixHash and
// Placement.
type Policy interface{ policy() }

// Random chooses a replica at random.
type Random struct{}

// LeastLoaded chooses the replica with the fewest requests of the gateway.
type LeastLoaded struct{}

// PrefixHash chooses a replica by a hash of the prompt's shared part, if its
// load is below 1.25 times the mean plus 2 requests, else the least loaded one.
type PrefixHash struct{}

// Placement is package placement with the given settings.
type Placement struct {
	Name          string
	Settings      placement.Settings
	IgnoreNotices bool // what replicas say of themselves
	LearnSpeed    bool // estimate the speeds of replicas, as replicaspeed does
	Waiting       Waiting
	QueueLimit    int // requests that wait at a gateway; 0 is as many as its share of all slots
	Refusal       Refusal
	Returns       Returns
}

func (Random) policy()      {}
func (LeastLoaded) policy() {}
func (PrefixHash) policy()  {}
func (Placement) policy()   {}

func policyName(p Policy) string {
	switch p := p.(type) {
	case Random:
		return "random"
	case LeastLoaded:
		return "least_loaded"
	case PrefixHash:
		return "prefix_hash"
	case Placement:
		return p.Name
	default:
		return fmt.Sprintf("%T", p)
	}
}

// Policies returns the baselines, package placement without regard to what replicas
// say of themselves, the same without refusals, and last with both, as the gateway
// uses it.
func Policies() []Policy {
	product := placement.Defaults()
	accepting := product
	accepting.Overload = placement.OverloadPolicy{}
	return []Policy{Random{}, LeastLoaded{}, PrefixHash{}, Placement{Name: "without_notices", Settings: product, IgnoreNotices: true}, Placement{Name: "without_refusals", Settings: accepting}, Placement{Name: "product", Settings: product}}
}

// UnknownPolicySetError reports a name that PolicySet does not know.
type UnknownPolicySetError struct{ Name string }

func (e *UnknownPolicySetError) Error() string {
	return fmt.Sprintf("policy set %q: accepted are placement, waiting and refusal", e.Name)
}

// PolicySet returns the policies of a comparison: placement is that of Policies, and
// learning, the product that estimates the speeds of replicas;
// waiting compares where requests wait; refusal compares which requests are refused
// and when their callers return. The policies of the latter two know the mean prefill
// rate of the model's replicas, except for the first one, which is the product.
func PolicySet(name string, m Model) ([]Policy, error) {
	product := placement.Defaults()
	rated := product
	rated.PrefillRate = m.Engine.meanPrefillRate()
	today := Placement{Name: "product", Settings: product}
	switch name {
	case "placement":
		return append(Policies(), Placement{Name: "learning", Settings: product, LearnSpeed: true}), nil
	case "waiting":
		return []Policy{today,
			Placement{Name: "nowhere", Settings: rated, Waiting: Nowhere},
			Placement{Name: "at_gateway", Settings: rated, Waiting: AtGateway},
			Placement{Name: "at_gateway_exact", Settings: rated, Waiting: AtGatewayExact},
			Placement{Name: "at_gateway_256", Settings: rated, Waiting: AtGateway, QueueLimit: 256},
			Placement{Name: "at_replicas", Settings: rated},
			Placement{Name: "at_replicas_hopeless", Settings: rated, Refusal: RefuseHopeless},
		}, nil
	case "refusal":
		policies := []Policy{today}
		for _, refusal := range []struct {
			name  string
			value Refusal
		}{{"late", RefuseLate}, {"hopeless", RefuseHopeless}, {"hopeless_behind", RefuseHopelessBehind}} {
			for _, returns := range []struct {
				name  string
				value Returns
			}{{"after_wait", ReturnAfterWait}, {"spread", ReturnSpread}, {"spread_kept", ReturnSpreadKept}} {
				policies = append(policies, Placement{Name: refusal.name + "/" + returns.name, Settings: rated, Refusal: refusal.value, Returns: returns.value})
			}
		}
		return policies, nil
	default:
		return nil, &UnknownPolicySetError{Name: name}
	}
}

// Learning returns the policy with LearnSpeed, if it is a Placement, and otherwise the
// policy itself.
func Learning(p Policy) Policy {
	if p, ok := p.(Placement); ok && !p.LearnSpeed {
		p.Name, p.LearnSpeed = p.Name+"+learning", true
		return p
	}
	return p
}

// gateway is a gateway process with its policy and its requests in flight by
// replica.
type gateway struct {
	policy   Policy
	placer   *placement.Placer
	notices  *replicanotice.Notices
	speeds   *replicaspeed.Speeds // nil unless they are estimated
	peers    []*gateway           // all gateways
	replicas []replica.Replica
	inFlight []int
	rnd      *rand.Rand
	model    EngineModel
	epoch    time.Time
	queue    *gatewayQueue   // nil if requests don't wait at the gateway
	returns  *returnSchedule // nil if placement says when callers return
}

// newGateways returns n gateways that announce placements to each other. HasFreeSlot
// reports whether a replica has a free slot, which only AtGatewayExact asks.
func newGateways(p Policy, n int, model EngineModel, now func() time.Time, rnd *rand.Rand, hasFreeSlot func(replicaIndex int) bool) []*gateway {
	list := make([]replica.Replica, model.Replicas)
	for i := range list {
		list[i] = replica.Replica{ID: fmt.Sprintf("r%d", i), Service: "engine", Slots: model.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
	}
	index := make(map[string]int, len(list))
	for i := range list {
		index[list[i].ID] = i
	}
	gateways := make([]*gateway, n)
	for i := range gateways {
		g := &gateway{policy: p, notices: replicanotice.New(replicaDrainTimeout, rnd), replicas: list, inFlight: make([]int, len(list)), rnd: rnd, model: model, epoch: now()}
		if p, ok := p.(Placement); ok {
			var opts []placement.Option
			if !p.IgnoreNotices {
				opts = append(opts, placement.WithNotices(g.notices))
			}
			if p.LearnSpeed {
				g.speeds = replicaspeed.New(replicaspeed.Defaults())
				opts = append(opts, placement.WithSpeeds(g.speeds))
			}
			g.peers = gateways
			settings := p.Settings
			if p.Waiting != AtReplicas {
				settings = roomSettings(settings)
				limiter := slotLimiter{gateway: g, index: index, hasRoom: func(i int) bool { return g.inFlight[i] < slotShare(model.Slots, n) }}
				if p.Waiting == AtGatewayExact {
					limiter.hasRoom = hasFreeSlot
				}
				opts = append(opts, placement.WithLimiter(limiter))
			}
			if p.Waiting == AtGateway || p.Waiting == AtGatewayExact {
				g.queue = &gatewayQueue{limit: cmp.Or(p.QueueLimit, max(model.Slots*model.Replicas/n, 1))}
			}
			if p.Returns != ReturnAfterWait {
				g.returns = &returnSchedule{share: returnShare * float64(model.Replicas) / float64(n), next: make(map[int]time.Duration)}
			}
			g.placer = placement.New(settings, func(a placement.Announcement) {
				for _, other := range gateways {
					if other != g {
						other.placer.HandleAnnouncement(a, now())
					}
				}
			}, opts...)
			g.placer.SetReplicas(list)
		}
		gateways[i] = g
	}
	return gateways
}

// place places a request with Placement.
func (g *gateway) place(p Placement, rs *requestState, now time.Duration) placement.Choice {
	r := rs.request
	rs.priority = r.Priority
	req := placement.Request{Streaming: true, MaxEventGap: r.MaxEventGap, SharedParts: placement.HashParts([]string{r.Subject}, []int{r.SharedTokens}), UniqueTokens: r.UniqueTokens, Priority: r.Priority, TargetLatency: r.TargetLatency}
	refusal := p.Refusal
	if p.Returns == ReturnSpreadKept && rs.promised {
		refusal = RefuseHopeless
	}
	choice, ok := g.placer.Choose(req, g.replicas, g.epoch.Add(now), g.rnd)
	if !ok {
		return placement.Choice{Refused: true, RetryAfter: noReplicaRetryAfter}
	}
	if !choice.Refused || refusal == RefuseLate || choice.Reason == placement.PausedReason || choice.Reason == placement.LimitedReason {
		return choice
	}
	if refusal == RefuseHopelessBehind {
		req.Priority += lateUrgency
	}
	req.TargetLatency = max(rs.deadline()-now-g.model.decodingTime(r), 1)
	if second, ok := g.placer.Choose(req, g.replicas, g.epoch.Add(now), g.rnd); ok && !second.Refused {
		rs.priority = req.Priority
		return second
	}
	return choice
}

// roomIn returns the time until a refused request would have been accepted, without
// further requests.
func (g *gateway) roomIn(rs *requestState) time.Duration {
	p := g.policy.(Placement)
	accepted := time.Duration(p.Settings.Overload.LateFactor * float64(rs.request.TargetLatency))
	return max(rs.choice.ExpectedWait+rs.choice.ExpectedPrefill-accepted, 0)
}

// choose returns the replica's index and, with Placement, its choice.
func (g *gateway) choose(rs *requestState, now time.Duration) (int, placement.Choice) {
	best := 0
	switch p := g.policy.(type) {
	case Placement:
		g.shareSpeeds(g.epoch.Add(now))
		choice := g.place(p, rs, now)
		for i := range g.replicas {
			if g.replicas[i].ID == choice.Replica.ID {
				best = i
			}
		}
		if choice.Refused {
			return best, choice
		}
		g.inFlight[best]++
		return best, choice
	case Random:
		best = g.rnd.IntN(len(g.inFlight))
	case LeastLoaded:
		best = g.leastLoaded()
	case PrefixHash:
		best = g.leastLoaded()
		total := 1
		for _, n := range g.inFlight {
			total += n
		}
		home, heaviest := 0, uint64(0)
		for i := range g.replicas {
			if w := xxhash.Sum64String(rs.request.Subject + g.replicas[i].ID); w >= heaviest {
				home, heaviest = i, w
			}
		}
		if float64(g.inFlight[home]) < 1.25*float64(total)/float64(len(g.inFlight))+2 {
			best = home
		}
	}
	g.inFlight[best]++
	return best, placement.Choice{}
}

// shareSpeeds sends the sums of samples that are due to the other gateways.
func (g *gateway) shareSpeeds(now time.Time) {
	if g.speeds == nil {
		return
	}
	if m, due := g.speeds.NextMessage(len(g.peers)-1, now); due {
		for _, other := range g.peers {
			if other != g {
				other.speeds.HandleMessage(m, now)
			}
		}
	}
}

// setReplicas replaces the replicas, as after a change of the registry.
func (g *gateway) setReplicas(list []replica.Replica, now time.Time) {
	g.replicas = list
	g.notices.SetReplicas(list, now)
	if g.placer != nil {
		g.placer.SetReplicas(list)
	}
}

func (g *gateway) leastLoaded() int {
	best, ties := 0, 0
	for i, n := range g.inFlight {
		switch {
		case n < g.inFlight[best] || ties == 0:
			best, ties = i, 1
		case n == g.inFlight[best]:
			ties++
			if g.rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (g *gateway) done(replicaIndex int, choice placement.Choice, o placement.Outcome, now time.Time) {
	g.inFlight[replicaIndex]--
	if g.placer != nil {
		g.placer.Done(choice, o, now)
	}
}
