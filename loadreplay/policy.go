package loadreplay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/placement"
	"briarreach/replica"
)

// Policy chooses replicas. It is one of Random, LeastLoaded, PrefixHash and
// Placer.
type Policy interface{ policy() }

// Random takes any replica.
type Random struct{}

// LeastLoaded takes the replica with the fewest of the gateway's requests.
type LeastLoaded struct{}

// PrefixHash takes the replica that the shared part of the prompt names, up to
// a bound of 1.25 times the mean load and 2 requests.
type PrefixHash struct{}

// Placer is the product's decision with some settings.
type Placer struct {
	Name     string
	Settings placement.Settings
}

func (Random) policy()      {}
func (LeastLoaded) policy() {}
func (PrefixHash) policy()  {}
func (Placer) policy()      {}

func policyName(p Policy) string {
	switch p := p.(type) {
	case Random:
		return "random"
	case LeastLoaded:
		return "least_loaded"
	case PrefixHash:
		return "prefix_hash"
	case Placer:
		return p.Name
	default:
		return fmt.Sprintf("%T", p)
	}
}

// Policies returns the baselines, the product without refusals (as in its
// version before them), and the product.
func Policies() []Policy {
	product := placement.Defaults()
	accepting := product
	accepting.Overload = placement.OverloadPolicy{}
	return []Policy{Random{}, LeastLoaded{}, PrefixHash{}, Placer{Name: "without_refusals", Settings: accepting}, Placer{Name: "product", Settings: product}}
}

// chooser is a policy at one gateway.
type chooser struct {
	policy   Policy
	placer   *placement.Placer
	replicas []replica.Replica
	load     []int
	rnd      *rand.Rand
}

// newChoosers returns the policy at each gateway.
func newChoosers(p Policy, gateways int, figures EngineModel, now func() time.Time, rnd *rand.Rand) []*chooser {
	list := make([]replica.Replica, figures.Replicas)
	for i := range list {
		list[i] = replica.Replica{ID: fmt.Sprintf("r%d", i), Service: "engine", Slots: figures.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
	}
	choosers := make([]*chooser, gateways)
	for i := range choosers {
		c := &chooser{policy: p, replicas: list, load: make([]int, len(list)), rnd: rnd}
		if p, ok := p.(Placer); ok {
			c.placer = placement.New(p.Settings, func(placed placement.Announcement) {
				for _, other := range choosers {
					if other != c {
						other.placer.HandleAnnouncement(placed, now())
					}
				}
			})
			c.placer.Update(list)
		}
		choosers[i] = c
	}
	return choosers
}

// choose returns the replica's index and, for the product, its choice.
func (c *chooser) choose(r Request, now time.Time) (int, placement.Choice) {
	best := 0
	switch c.policy.(type) {
	case Placer:
		need := placement.Request{SharedParts: placement.HashParts([]string{r.Subject}, []int{r.SharedTokens}), UniqueTokens: r.UniqueTokens, Priority: r.Priority, TargetLatency: r.TargetLatency}
		choice, _ := c.placer.Choose(need, c.replicas, now, c.rnd)
		for i := range c.replicas {
			if c.replicas[i].ID == choice.Replica.ID {
				best = i
			}
		}
		if choice.Refused {
			return best, choice
		}
		c.load[best]++
		return best, choice
	case Random:
		best = c.rnd.IntN(len(c.load))
	case LeastLoaded:
		best = c.least()
	case PrefixHash:
		best = c.least()
		total := 1
		for _, n := range c.load {
			total += n
		}
		home, heaviest := 0, uint64(0)
		for i := range c.replicas {
			if w := xxhash.Sum64String(r.Subject + c.replicas[i].ID); w >= heaviest {
				home, heaviest = i, w
			}
		}
		if float64(c.load[home]) < 1.25*float64(total)/float64(len(c.load))+2 {
			best = home
		}
	}
	c.load[best]++
	return best, placement.Choice{}
}

func (c *chooser) least() int {
	best, ties := 0, 0
	for i, n := range c.load {
		switch {
		case n < c.load[best] || ties == 0:
			best, ties = i, 1
		case n == c.load[best]:
			ties++
			if c.rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (c *chooser) done(index int, choice placement.Choice, o placement.Outcome, now time.Time) {
	c.load[index]--
	if c.placer != nil {
		c.placer.Done(choice, o, now)
	}
}
