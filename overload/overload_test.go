package overload_test

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/overload"
)

func TestOverload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "overload")
}

const (
	linkRate = 1_250_000 // bytes per second, 10 Mbit/s
	sample   = 100 * time.Millisecond
)

func enabled() overload.Settings {
	s := overload.Defaults()
	s.NotReadyAbove = 0.75
	return s
}

// feeder feeds a monitor with usage in steps of a sample.
type feeder struct {
	monitor *overload.Monitor
	usage   overload.Usage
	now     time.Time
}

func newFeeder(s overload.Settings) *feeder {
	f := &feeder{monitor: overload.New(s, overload.Capacity{LinkBytesPerSecond: linkRate, Processors: 0.144}), now: time.Unix(1e9, 0)}
	f.monitor.Observe(f.usage, f.now)
	return f
}

// feed uses shares of the link in one direction and of the processor for a duration.
func (f *feeder) feed(d time.Duration, link, processor float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(sample)
		f.usage.ReceivedBytes += int64(link * linkRate * sample.Seconds())
		f.usage.ProcessorTime += time.Duration(processor * 0.144 * float64(sample))
		f.monitor.Observe(f.usage, f.now)
	}
}

func (f *feeder) overloaded() bool {
	_, is := f.monitor.State()
	return is
}

var _ = Describe("a gateway's own load", func() {
	// Guards against gateways that go on taking connections on a saturated link, and
	// against bursts and short loads that cost them theirs.
	DescribeTable("is an overload",
		func(change func(*overload.Settings), d time.Duration, link, processor float64, want bool) {
			s := enabled()
			change(&s)
			f := newFeeder(s)
			f.feed(2*time.Second, 0.2, 0.2)
			f.feed(d, link, processor)
			Expect(f.overloaded()).To(Equal(want))
		},
		Entry("a link that is saturated", func(*overload.Settings) {}, 2*time.Second, 1.0, 0.2, true),
		Entry("a processor that is", func(*overload.Settings) {}, 2*time.Second, 0.2, 1.0, true),
		Entry("not a burst of 300 ms", func(*overload.Settings) {}, 300*time.Millisecond, 1.0, 1.0, false),
		Entry("not half of the capacity", func(*overload.Settings) {}, time.Minute, 0.5, 0.5, false),
		Entry("not 0.85 of the processor", func(*overload.Settings) {}, time.Minute, 0.2, 0.85, false),
		Entry("not when the mechanism is off", func(s *overload.Settings) { s.NotReadyAbove = 0 }, time.Minute, 1.0, 1.0, false),
	)

	It("closes connections only once the balancer sends new ones elsewhere, and not below its mark", func() {
		f := newFeeder(enabled())
		f.feed(2*time.Second, 1, 0)
		Expect(f.monitor.ClosesConnection(0)).To(BeFalse(), "no readiness check has failed")
		Expect(f.monitor.CheckReady()).To(BeFalse())
		Expect(f.monitor.CheckReady()).To(BeFalse())
		Expect(f.monitor.ClosesConnection(0)).To(BeTrue())
		Expect(f.monitor.ClosesConnection(0.99)).To(BeFalse(), "not all at once")
		f.feed(4*time.Second, 0.5, 0)
		Expect(f.monitor.ClosesConnection(0)).To(BeFalse())
	})

	It("waits longer after each overload that follows soon", func() {
		s := enabled()
		f := newFeeder(s)
		var holds []time.Duration
		for range 5 {
			f.feed(2*time.Second, 1, 0)
			began := f.now
			for f.overloaded() {
				f.feed(sample, 0, 0)
			}
			holds = append(holds, f.now.Sub(began).Round(time.Second))
		}
		Expect(slices.IsSorted(holds)).To(BeTrue())
		Expect(holds[0]).To(BeNumerically("<=", s.MinHold))
		Expect(holds[4]).To(BeNumerically(">=", s.MaxHold-3*time.Second))
	})

	It("moves clients from the weak VMs that the balancer's hash overloads", func() {
		Expect(saturatedSeconds(enabled())).To(BeNumerically("<", saturatedSeconds(overload.Defaults())/3))
	})
})

// saturatedSeconds replays clients that a hash spreads over eight weak and two strong
// gateways, and returns for how many seconds, summed over the gateways of 20 seeds,
// more is sent than the link carries.
func saturatedSeconds(s overload.Settings) float64 {
	const clients, duration, clientRate = 88, 60 * time.Second, 15_000.0 // bytes per second of a client
	saturated := 0.0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		gateways := make([]*feeder, 10)
		capacity := make([]float64, 10)
		for i := range gateways {
			capacity[i] = linkRate / 10 // so that some of the weak ones get more than they can carry
			if i < 2 {
				capacity[i] = 20 * linkRate / 10
			}
			gateways[i] = &feeder{monitor: overload.New(s, overload.Capacity{LinkBytesPerSecond: capacity[i]}), now: time.Unix(1e9, 0)}
		}
		ready := slices.Repeat([]bool{true}, 10)
		misses := make([]int, 10)
		connect := func(client int) int {
			best, weight := 0, uint64(0)
			for i := range gateways {
				h := fnv.New64a()
				_, _ = h.Write([]byte(strconv.Itoa(client) + "/" + strconv.Itoa(i) + "/" + strconv.FormatUint(seed, 10)))
				if w := h.Sum64(); ready[i] && w >= weight {
					best, weight = i, w
				}
			}
			return best
		}
		at := make([]int, clients)
		for c := range at {
			at[c] = connect(c)
		}
		for now := time.Duration(0); now < duration; now += sample {
			load := make([]float64, 10)
			for c := range at {
				load[at[c]] += clientRate
				// Three requests a second, and a new connection now and then.
				if rnd.Float64() < 0.3 && gateways[at[c]].monitor.ClosesConnection(rnd.Float64()) || rnd.Float64() < 0.01 {
					at[c] = connect(c)
				}
			}
			for i, g := range gateways {
				if load[i] > capacity[i] {
					saturated += sample.Seconds()
				}
				g.now = g.now.Add(sample)
				g.usage.ReceivedBytes += int64(min(load[i], capacity[i]) * sample.Seconds())
				g.monitor.Observe(g.usage, g.now)
				if now%time.Second == 0 {
					misses[i]++
					if g.monitor.CheckReady() {
						misses[i] = 0
					}
					ready[i] = misses[i] < 2
				}
			}
		}
	}
	return saturated
}
