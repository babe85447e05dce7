package placement_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/placement"
	"briarreach/replica"
)

func replicas(n int) []replica.Replica {
	list := make([]replica.Replica, n)
	for i := range list {
		list[i] = replica.Replica{ID: fmt.Sprintf("r%d", i), Service: "s", Slots: 8,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
	}
	return list
}

var _ = Describe("placement", func() {
	now := time.Unix(1e9, 0)
	rnd := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

	// Guards against a prefill that is repeated on another replica while the one
	// that has the prompt cached is free.
	It("sends requests with the same shared parts to one replica", func() {
		p, r := placement.New(placement.Defaults(), nil), rnd()
		req := placement.Request{SharedParts: placement.HashParts([]string{"a", "b"}, []int{2000, 4000}), UniqueTokens: 100}
		seen := map[string]bool{}
		for range 20 {
			c, ok := p.Choose(req, replicas(9), now, r)
			Expect(ok).To(BeTrue())
			seen[c.Replica.ID] = true
			p.Done(c, placement.Served, now)
			now = now.Add(100 * time.Millisecond)
		}
		Expect(seen).To(HaveLen(1))
	})

	// Guards against one replica that is overloaded by a popular prompt while
	// others are idle.
	It("spreads a hot prompt within the load bound", func() {
		p, r := placement.New(placement.Defaults(), nil), rnd()
		req := placement.Request{SharedParts: placement.HashParts([]string{"hot"}, []int{500}), UniqueTokens: 10}
		load := map[string]int{}
		for range 90 {
			c, _ := p.Choose(req, replicas(9), now, r)
			load[c.Replica.ID]++
		}
		for _, n := range load {
			Expect(n).To(BeNumerically("<=", 10*125/100+2))
		}
	})

	Describe("long prompts", func() {
		long := func(id string) placement.Request {
			return placement.Request{SharedParts: placement.HashParts([]string{id}, []int{2000}), UniqueTokens: 20_000}
		}

		// Guards against long prompts that are queued on one replica while others
		// are idle.
		It("are not queued on one replica while others are idle", func() {
			p, r := placement.New(placement.Defaults(), nil), rnd()
			seen := map[string]bool{}
			for range 5 {
				c, _ := p.Choose(long("same"), replicas(9), now, r)
				seen[c.Replica.ID] = true
			}
			Expect(seen).To(HaveLen(5))
		})

		// Guards against processes that know only their own part of the load.
		It("count when another process has announced them", func() {
			a := placement.New(placement.Defaults(), nil)
			var announced []placement.Announcement
			b := placement.New(placement.Defaults(), func(msg placement.Announcement) { announced = append(announced, msg) })
			r := rnd()
			a.SetReplicas(replicas(9))
			first, _ := b.Choose(long("same"), replicas(9), now, r)
			Expect(announced).To(HaveLen(1))
			a.HandleAnnouncement(announced[0], now)
			second, _ := a.Choose(long("same"), replicas(9), now, r)
			Expect(second.Replica.ID).NotTo(Equal(first.Replica.ID))
		})

		It("stop counting once their prefill is done", func() {
			p, r := placement.New(placement.Defaults(), nil), rnd()
			first, _ := p.Choose(long("same"), replicas(9), now, r)
			p.Done(first, placement.Served, now)
			later, _ := p.Choose(long("same"), replicas(9), now.Add(time.Second), r)
			Expect(later.Replica.ID).To(Equal(first.Replica.ID))
		})
	})

	Describe("overload", func() {
		req := func(priority int) placement.Request {
			return placement.Request{UniqueTokens: 500, Priority: priority, TargetLatency: 500 * time.Millisecond}
		}

		// Guards against requests that wait on a slow replica until their callers
		// disconnect: its backlog in tokens does not show that it is slow.
		It("is detected by requests that have waited too long", func() {
			p, r := placement.New(placement.Defaults(), nil), rnd()
			waiting, _ := p.Choose(req(1), replicas(1), now, r)
			later := now.Add(600 * time.Millisecond)
			c, ok := p.Choose(req(1), replicas(1), later, r)
			Expect(ok).To(BeTrue())
			Expect(c.Refused).To(BeTrue())
			Expect(c.RetryAfter).To(BeNumerically("~", c.ExpectedWait, c.ExpectedWait/2+1))
			urgent, _ := p.Choose(req(0), replicas(1), later, r)
			Expect(urgent.Refused).To(BeFalse(), "urgent requests go first")
			p.RecordFirstEvent(urgent, later)
			p.RecordFirstEvent(waiting, later)
			c, _ = p.Choose(req(1), replicas(1), later, r)
			Expect(c.Refused).To(BeFalse())
		})

		// Guards against refused requests that still count as load.
		It("does not count refused requests", func() {
			announced := 0
			p, r := placement.New(placement.Defaults(), func(placement.Announcement) { announced++ }), rnd()
			huge := placement.Request{UniqueTokens: 50_000, TargetLatency: 500 * time.Millisecond}
			first, _ := p.Choose(huge, replicas(1), now, r)
			Expect(first.Refused).To(BeFalse(), "nothing waits before it")
			for range 3 {
				c, _ := p.Choose(huge, replicas(1), now, r)
				Expect(c.Refused).To(BeTrue())
				Expect(c.InFlight).To(Equal(1))
			}
			Expect(announced).To(Equal(1))
		})
	})

	It("spreads requests without a prompt by load", func() {
		p, r := placement.New(placement.Defaults(), nil), rnd()
		load := map[string]int{}
		for range 30 {
			c, _ := p.Choose(placement.Request{}, replicas(3), now, r)
			load[c.Replica.ID]++
		}
		Expect(load).To(Equal(map[string]int{"r0": 10, "r1": 10, "r2": 10}))
	})

	// Guards against replicas that get requests although their connections break,
	// and against a service without candidates when those of all replicas did.
	It("ejects replicas whose connections break, and none if too many do", func() {
		p, r := placement.New(placement.Defaults(), nil), rnd()
		list := replicas(3)
		fail := func(id string, o placement.Outcome) {
			for {
				c, _ := p.Choose(placement.Request{}, list, now, r)
				if c.Replica.ID == id {
					p.Done(c, o, now)
					return
				}
				p.Done(c, placement.Served, now)
			}
		}
		fail("r1", placement.ConnectionBroken)
		for range 30 {
			c, _ := p.Choose(placement.Request{}, list, now.Add(time.Second), r)
			Expect(c.Replica.ID).NotTo(Equal("r1"))
			p.Done(c, placement.Served, now)
		}
		fail("r0", placement.ConnectionBroken)
		fail("r2", placement.ConnectionBroken)
		_, ok := p.Choose(placement.Request{}, list, now.Add(time.Second), r)
		Expect(ok).To(BeTrue())
	})

	// Guards against replicas that hang: no request fails, but none is answered.
	It("sends nothing more to a replica that stopped responding", func() {
		p, r := placement.New(placement.Defaults(), nil), rnd()
		list := replicas(3)
		var held placement.Choice
		for held.Replica.ID != "r0" {
			held, _ = p.Choose(placement.Request{}, list, now, r)
			if held.Replica.ID != "r0" {
				p.Done(held, placement.Served, now)
			}
		}
		later := now.Add(placement.Defaults().SilentAfter + time.Millisecond)
		for range 20 {
			c, _ := p.Choose(placement.Request{}, list, later, r)
			Expect(c.Replica.ID).NotTo(Equal("r0"))
			p.Done(c, placement.Served, later)
		}
		p.RecordActivity(held, later)
		seen := map[string]bool{}
		for range 20 {
			c, _ := p.Choose(placement.Request{}, list, later, r)
			seen[c.Replica.ID] = true
		}
		Expect(seen).To(HaveKey("r0"))
	})

	It("does not choose excluded replicas", func() {
		p := placement.New(placement.Defaults(), nil)
		_, ok := p.Choose(placement.Request{Exclude: map[string]bool{"r0": true}}, replicas(1), now, rnd())
		Expect(ok).To(BeFalse())
	})

	// Guards against a restarted replica that inherits the counts of its
	// predecessor.
	It("tells two incarnations with the same ID apart", func() {
		p, r := placement.New(placement.Defaults(), nil), rnd()
		list := replicas(1)
		for range 5 {
			_, _ = p.Choose(placement.Request{}, list, now, r)
		}
		list[0].Started = now
		c, _ := p.Choose(placement.Request{}, list, now, r)
		Expect(c.InFlight).To(BeZero())
	})
})

// limiter allows a number of requests to each replica.
type limiter struct {
	left map[string]int
	wait time.Duration
}

func (l limiter) Allows(r replica.Incarnation, _ time.Time) (time.Duration, bool) {
	n, limited := l.left[r.ID]
	return l.wait, !limited || n > 0
}

func (l limiter) Take(r replica.Incarnation, now time.Time) bool {
	if _, allowed := l.Allows(r, now); !allowed {
		return false
	}
	if n, limited := l.left[r.ID]; limited {
		l.left[r.ID] = n - 1
	}
	return true
}

var start = time.Unix(1e9, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a replica that gets more requests than it takes because it has
// the shortest queue.
var _ = Describe("replicas that state limits", func() {
	DescribeTable("get no more requests than they take, and the others the rest",
		func(req placement.Request) {
			list := replicas(3)
			l := limiter{left: map[string]int{list[0].ID: 2}}
			p, r := placement.New(placement.Defaults(), nil, placement.WithLimiter(l)), newRand()
			sent := make(map[string]int)
			for range 60 {
				c, ok := p.Choose(req, list, start, r)
				Expect(ok).To(BeTrue())
				Expect(c.Refused).To(BeFalse())
				sent[c.Replica.ID]++
			}
			Expect(sent[list[0].ID]).To(Equal(2))
		},
		Entry("without a prompt", placement.Request{}),
		Entry("with a prompt", placement.Request{UniqueTokens: 100}),
	)

	It("make a request be refused at once when none takes it, with the time until one does", func() {
		list := replicas(2)
		l := limiter{left: map[string]int{list[0].ID: 0, list[1].ID: 0}, wait: 300 * time.Millisecond}
		p, r := placement.New(placement.Defaults(), nil, placement.WithLimiter(l)), newRand()
		c, ok := p.Choose(placement.Request{}, list, start, r)
		Expect(ok).To(BeTrue())
		Expect(c.Refused).To(BeTrue())
		Expect(c.Reason).To(Equal(placement.LimitedReason))
		Expect(c.RetryAfter).To(And(BeNumerically(">=", l.wait), BeNumerically("<=", 2*l.wait)))
	})

	// Guards against ejected replicas that are sent more than they take because all
	// others are ejected as well.
	It("keep their limits when the others are ejected", func() {
		list := replicas(2)
		l := limiter{left: map[string]int{list[0].ID: 0}, wait: time.Second}
		p, r := placement.New(placement.Defaults(), nil, placement.WithLimiter(l)), newRand()
		for range 5 {
			c, _ := p.Choose(placement.Request{}, list, start, r)
			p.Done(c, placement.ConnectionBroken, start)
			Expect(c.Replica.ID).To(Equal(list[1].ID))
		}
	})
})
