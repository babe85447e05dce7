package loadreplay

import (
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
}

// newGateways returns n gateways that announce placements to each other.
func newGateways(p Policy, n int, model EngineModel, now func() time.Time, rnd *rand.Rand) []*gateway {
	list := make([]replica.Replica, model.Replicas)
	for i := range list {
		list[i] = replica.Replica{ID: fmt.Sprintf("r%d", i), Service: "engine", Slots: model.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
	}
	gateways := make([]*gateway, n)
	for i := range gateways {
		g := &gateway{policy: p, notices: replicanotice.New(replicaDrainTimeout, rnd), replicas: list, inFlight: make([]int, len(list)), rnd: rnd}
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
			g.placer = placement.New(p.Settings, func(a placement.Announcement) {
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

// choose returns the replica's index and, with Placement, its choice.
func (g *gateway) choose(r Request, now time.Time) (int, placement.Choice) {
	best := 0
	switch g.policy.(type) {
	case Placement:
		g.shareSpeeds(now)
		req := placement.Request{Streaming: true, MaxEventGap: r.MaxEventGap, SharedParts: placement.HashParts([]string{r.Subject}, []int{r.SharedTokens}), UniqueTokens: r.UniqueTokens, Priority: r.Priority, TargetLatency: r.TargetLatency}
		choice, ok := g.placer.Choose(req, g.replicas, now, g.rnd)
		if !ok {
			choice = placement.Choice{Refused: true, RetryAfter: noReplicaRetryAfter}
		}
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
			if w := xxhash.Sum64String(r.Subject + g.replicas[i].ID); w >= heaviest {
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
