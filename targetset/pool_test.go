package targetset_test

import (
	"errors"
	"fmt"
	"math/rand"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
	"briarreach/peer"
	"briarreach/targetset"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// document returns a configuration with n targets t0, t1, ... of model m,
// version v1.
func document(n int) *config.Document {
	d := &config.Document{Targets: map[string]config.Target{}}
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		d.Targets[name] = config.Target{
			Name: name, Model: "m", Version: "v1", VM: "vm-" + name, MaxConcurrent: 16, MaxTokens: 1 << 16,
			AgentAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		}
	}
	return d
}

func newPool(n int, opts ...targetset.Option) *targetset.Pool {
	p := targetset.New(opts...)
	p.Update(document(n))
	return p
}

var request = targetset.Request{Subject: "m", Version: "v1"}

// countChoices counts how often each target is chosen for n requests that end
// at once.
func countChoices(p *targetset.Pool, r targetset.Request, n int, now time.Time, random *rand.Rand) map[string]int {
	count := map[string]int{}
	for range n {
		if c, err := p.Choose(r, now, random); err == nil {
			count[c.Target.Name]++
		}
	}
	return count
}

var _ = Describe("Pool", func() {
	var random *rand.Rand
	BeforeEach(func() { random = rand.New(rand.NewSource(GinkgoRandomSeed())) })

	reason := func(p *targetset.Pool, r targetset.Request, now time.Time) targetset.Reason {
		GinkgoHelper()
		_, err := p.Choose(r, now, random)
		var missing *targetset.NoTargetError
		Expect(errors.As(err, &missing)).To(BeTrue())
		return missing.Reason
	}

	It("reports why there is no target", func() {
		p := newPool(2)
		Expect(reason(p, targetset.Request{Subject: "other"}, start)).To(Equal(targetset.NoTargets))
		Expect(reason(p, targetset.Request{Subject: "m", Version: "v2"}, start)).To(Equal(targetset.NoTargets))
		Expect(reason(p, targetset.Request{Subject: "m", Exclude: []string{"t0", "t1"}}, start)).To(Equal(targetset.Excluded))
		p.MarkLeaving("t0", start)
		p.UpdateLoad(peer.LoadReport{Target: "t1", Leaving: true}, start)
		Expect(reason(p, request, start)).To(Equal(targetset.Leaving))
	})

	// Guards against new work at a leaving target: the agent's report must take
	// effect although the VM list, 30 s old, still says that the VM is live.
	It("sends nothing to a leaving target after its notice, with a stale VM list", func() {
		const noticeDelay, listDelay = 500 * time.Millisecond, 30 * time.Second
		p, leaveAt := newPool(3), start.Add(10*time.Second)
		late := 0
		for at := start; at.Before(start.Add(60 * time.Second)); at = at.Add(10 * time.Millisecond) {
			for i := range 3 {
				name := fmt.Sprintf("t%d", i)
				p.UpdateLoad(peer.LoadReport{Target: name, Leaving: name == "t1" && !at.Before(leaveAt.Add(noticeDelay))}, at)
			}
			if at.Equal(leaveAt.Add(listDelay)) {
				p.MarkLeaving("t1", at)
			}
			if countChoices(p, request, 10, at, random)["t1"] > 0 && at.Sub(leaveAt) > 3*time.Second {
				late++
			}
		}
		Expect(late).To(BeZero())
	})

	DescribeTable("the leaving state ends", func(mark, unmark func(p *targetset.Pool, at time.Time), after time.Duration, ended bool) {
		p := newPool(3)
		mark(p, start)
		Expect(countChoices(p, request, 200, start, random)).NotTo(HaveKey("t1"))
		unmark(p, start.Add(after))
		if ended {
			Expect(countChoices(p, request, 200, start.Add(after), random)).To(HaveKey("t1"))
		} else {
			Expect(countChoices(p, request, 200, start.Add(after), random)).NotTo(HaveKey("t1"))
		}
	},
		Entry("not by a report that the notice overtook", reportLeaving, reportLive, time.Second, false),
		Entry("by a report of a new agent", reportLeaving, reportLive, 6*time.Second, true),
		Entry("not by a report when the VM list says leaving", markLeaving, reportLive, time.Minute, false),
		Entry("by the VM list", markLeaving, func(p *targetset.Pool, _ time.Time) { p.UnmarkLeaving("t1") }, time.Minute, true),
		Entry("by the configuration", drain, func(p *targetset.Pool, _ time.Time) { p.Update(document(3)) }, time.Minute, true),
		Entry("not by the same configuration", markLeaving, func(p *targetset.Pool, _ time.Time) { p.Update(document(3)) }, time.Minute, false),
		Entry("by a new VM in the configuration", markLeaving, func(p *targetset.Pool, _ time.Time) {
			d := document(3)
			t := d.Targets["t1"]
			t.VM = "vm-new"
			d.Targets["t1"] = t
			p.Update(d)
		}, time.Minute, true),
	)

	// Guards against a thundering herd on a target whose last report is old: the
	// entry's own requests since the report must count.
	It("adds its own requests to the last report", func() {
		p := newPool(2)
		p.UpdateLoad(peer.LoadReport{Target: "t0", Running: 4}, start)
		p.UpdateLoad(peer.LoadReport{Target: "t1", Running: 8}, start)
		count := map[string]int{}
		for range 20 {
			c, err := p.Choose(request, start, random)
			Expect(err).NotTo(HaveOccurred())
			p.Begin(c.Target.Name, 100)
			count[c.Target.Name]++
		}
		Expect(count["t0"] + 4).To(BeNumerically("~", count["t1"]+8, 1))
		// A later report replaces the sum.
		p.UpdateLoad(peer.LoadReport{Target: "t0", Running: 0}, start)
		p.UpdateLoad(peer.LoadReport{Target: "t1", Running: 30}, start)
		Expect(countChoices(p, request, 50, start, random)).To(Equal(map[string]int{"t0": 50}))
	})

	fail := func(p *targetset.Pool, name string, outcomes ...targetset.Outcome) {
		for _, o := range outcomes {
			p.Begin(name, 1)
			p.End(name, 1, o, time.Second, start)
		}
	}
	const ok, bad = targetset.Succeeded, targetset.Failed

	DescribeTable("ejects", func(outcomes []targetset.Outcome, ejected bool) {
		p := newPool(6)
		fail(p, "t1", outcomes...)
		if ejected {
			Expect(countChoices(p, request, 300, start, random)).NotTo(HaveKey("t1"))
		} else {
			Expect(countChoices(p, request, 300, start, random)).To(HaveKey("t1"))
		}
	},
		Entry("after 5 failures in a row", []targetset.Outcome{bad, bad, bad, bad, bad}, true),
		Entry("not after 4", []targetset.Outcome{bad, bad, bad, bad}, false),
		Entry("not for refusals", []targetset.Outcome{targetset.Neutral, targetset.Neutral, targetset.Neutral, targetset.Neutral, targetset.Neutral}, false),
		Entry("above half of the window", []targetset.Outcome{ok, bad, bad, ok, bad, bad, ok, bad, bad, bad}, true),
		Entry("not at half of it", []targetset.Outcome{ok, bad, ok, bad, ok, bad, ok, bad, ok, bad, ok, bad}, false),
	)

	// Guards against the ejection of most targets when all requests fail because
	// of a fault elsewhere.
	DescribeTable("never ejects over a third", func(n, maxEjected int) {
		p := newPool(n)
		for range 10 {
			for i := range n {
				fail(p, fmt.Sprintf("t%d", i), bad, bad, bad, bad, bad)
			}
		}
		Expect(n - len(countChoices(p, request, 200*n, start, random))).To(Equal(maxEjected))
		// Healthy targets that leave must not raise the share.
		for i := n - 1; i >= n/2; i-- {
			p.MarkLeaving(fmt.Sprintf("t%d", i), start)
			remaining := i
			Expect(3 * (remaining - len(countChoices(p, request, 200*n, start, random)))).To(BeNumerically("<=", remaining))
		}
	},
		Entry(nil, 2, 0), Entry(nil, 3, 1), Entry(nil, 8, 2), Entry(nil, 9, 3), Entry(nil, 40, 13),
	)

	// Guards against full load on a target whose ejection has just ended.
	It("brings an ejected target back at 10 % of its weight, growing over 30 s", func() {
		p := newPool(4)
		fail(p, "t1", bad, bad, bad, bad, bad)
		for i := range 4 { // the others are busy, since they take the load of t1
			if i != 1 {
				p.UpdateLoad(peer.LoadReport{Target: fmt.Sprintf("t%d", i), Running: 8}, start)
			}
		}
		const n = 40000
		share := func(after time.Duration) float64 {
			return float64(countChoices(p, request, n, start.Add(after), random)["t1"]) * 4 / n
		}
		Expect(share(9 * time.Second)).To(BeZero())
		Expect(share(10 * time.Second)).To(BeNumerically("~", 0.1, 0.03))
		Expect(share(25 * time.Second)).To(BeNumerically("~", 0.55, 0.15))
		Expect(share(40 * time.Second)).To(BeNumerically(">=", 1))
	})

	// Guards against data races between the request path and updates.
	It("is safe for concurrent use", func() {
		p, hashes := newPool(8), targetset.PrefixHashes(make([]byte, 4<<10))
		var group sync.WaitGroup
		for w := range 8 {
			group.Go(func() {
				random := rand.New(rand.NewSource(int64(w)))
				for i := range 500 {
					now := start.Add(time.Duration(i) * time.Millisecond)
					c, err := p.Choose(targetset.Request{Subject: "m", PrefixHashes: hashes}, now, random)
					if err != nil {
						continue
					}
					p.Begin(c.Target.Name, 10)
					p.UpdateLoad(peer.LoadReport{Target: c.Target.Name, Running: i % 5, Leaving: i%50 == 0}, now)
					p.AddCached(c.Target.Name, hashes, now)
					p.RemoveCached(c.Target.Name, hashes[:1], now)
					if i%100 == w {
						p.Update(document(8))
						p.MarkLeaving(c.Target.Name, now)
						p.UnmarkLeaving(c.Target.Name)
					}
					p.End(c.Target.Name, 10, targetset.Outcome(i%3), time.Millisecond, now)
				}
			})
		}
		group.Wait()
	})
})

func reportLeaving(p *targetset.Pool, at time.Time) {
	p.UpdateLoad(peer.LoadReport{Target: "t1", Leaving: true}, at)
}
func reportLive(p *targetset.Pool, at time.Time)  { p.UpdateLoad(peer.LoadReport{Target: "t1"}, at) }
func markLeaving(p *targetset.Pool, at time.Time) { p.MarkLeaving("t1", at) }
func drain(p *targetset.Pool, _ time.Time) {
	d := document(3)
	t := d.Targets["t1"]
	t.Draining = true
	d.Targets["t1"] = t
	p.Update(d)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 600} {
		for name, blocks := range map[string]int{"load": 0, "prefix": 8} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				p := newPool(n)
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					random := rand.New(rand.NewSource(1))
					prompts := make([][]uint64, 64)
					for i := range prompts {
						prompt := make([]byte, blocks<<10)
						random.Read(prompt)
						prompts[i] = targetset.PrefixHashes(prompt)
					}
					for i := 0; pb.Next(); i++ {
						c, err := p.Choose(targetset.Request{Subject: "m", Version: "v1", PrefixHashes: prompts[i%len(prompts)]}, start, random)
						if err != nil {
							b.Error(err)
						}
						p.Begin(c.Target.Name, 100)
						p.End(c.Target.Name, 100, targetset.Succeeded, time.Second, start)
					}
				})
			})
		}
	}
}
