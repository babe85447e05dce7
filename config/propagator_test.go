package config_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/config"
)

const (
	fleetTick    = 50 * time.Millisecond
	inForceBound = 7 * time.Second
)

// fleet simulates daemons that share one table. Messages and reads take time
// and may be lost; daemons may be cut off and restarted.
type fleet struct {
	random       *rand.Rand
	now          time.Time
	options      []config.PropagatorOption // of all daemons
	agentOptions []config.PropagatorOption // of agents, in addition
	entryCount   int
	daemons      []*simulatedDaemon // entries, then agents
	headNumber   uint64
	tableDown    bool
	lossRate     float64            // probability that a message or a read is lost
	scheduled    map[int64][]func() // by tick

	tableReads, bytes int
	documentSize      int
}

type simulatedDaemon struct {
	index      int
	propagator *config.Propagator
	cutOff     bool // from the table and all daemons, but not from agents
	peers      []int
	startCount int
	wakeAt     time.Time
}

func newFleet(random *rand.Rand, entries, agents, agentsPerEntry int) *fleet {
	f := &fleet{random: random, now: start, entryCount: entries, scheduled: map[int64][]func(){}, documentSize: 40_000}
	for i := range entries + agents {
		f.daemons = append(f.daemons, &simulatedDaemon{index: i})
	}
	for _, d := range f.daemons[:entries] {
		for _, a := range random.Perm(agents)[:min(agents, agentsPerEntry)] {
			f.connect(d, f.daemons[entries+a])
		}
		for _, other := range f.daemons[d.index+1 : entries] {
			f.connect(d, other)
		}
	}
	return f
}

func (f *fleet) connect(a, b *simulatedDaemon) {
	a.peers = append(a.peers, b.index)
	b.peers = append(b.peers, a.index)
}

func (f *fleet) name(i int) string { return fmt.Sprint("d", i) }

// start starts or restarts a daemon, which then has no document.
func (f *fleet) start(d *simulatedDaemon) {
	opts := f.options
	if d.index >= f.entryCount {
		opts = append(opts[:len(opts):len(opts)], f.agentOptions...)
	}
	d.propagator, d.startCount, d.wakeAt = config.NewPropagator(f.now, opts...), d.startCount+1, f.now
	for _, p := range d.peers {
		d.propagator.Connected(f.name(p))
		f.send(d, f.daemons[p]) // Hello
	}
}

// schedule runs do after a random delay.
func (f *fleet) schedule(maxDelay time.Duration, do func()) {
	at := f.now.Add(time.Duration(f.random.Float64()*float64(maxDelay))).UnixNano()/int64(fleetTick) + 1
	f.scheduled[at] = append(f.scheduled[at], do)
}

// send sends the sender's number to the receiver.
func (f *fleet) send(from, to *simulatedDaemon) {
	number := from.propagator.Number()
	f.bytes += 60
	f.schedule(100*time.Millisecond, func() {
		if !from.cutOff && !to.cutOff && to.propagator != nil && f.random.Float64() >= f.lossRate {
			to.propagator.ObserveNumber(f.name(from.index), number, f.now, f.random)
			to.wakeAt = f.now
		}
	})
}

func (f *fleet) perform(d *simulatedDaemon, action config.PropagatorAction) {
	startCount := d.startCount
	respond := func(do func()) {
		lost := f.random.Float64() < f.lossRate
		f.schedule(200*time.Millisecond, func() {
			if d.startCount == startCount && !lost {
				do()
				d.wakeAt = f.now
			}
		})
	}
	switch action := action.(type) {
	case config.ReadHead:
		f.tableReads++
		f.bytes += 200
		head, fails := f.headNumber, f.tableDown || d.cutOff
		respond(func() {
			if fails {
				d.propagator.ReadFailed(f.now, f.random)
				return
			}
			d.propagator.HeadRead(head, f.now, f.random)
		})
	case config.FetchDocument:
		number := action.Number
		fails := d.cutOff || f.tableDown
		if action.Peer != "" {
			var i int
			_, _ = fmt.Sscanf(action.Peer, "d%d", &i)
			peer := f.daemons[i]
			fails = d.cutOff || peer.cutOff
			number = peer.propagator.Number()
		} else {
			f.tableReads++
			fails = fails || number > f.headNumber
		}
		f.bytes += f.documentSize
		respond(func() {
			if fails {
				d.propagator.FetchFailed(f.now)
				return
			}
			before := d.propagator.Number()
			if d.propagator.Applied(number, f.now) != (number > before) || d.propagator.Number() < before {
				panic("the number of a daemon decreased")
			}
		})
	case config.Notify:
		for _, name := range action.Peers {
			var i int
			_, _ = fmt.Sscanf(name, "d%d", &i)
			f.send(d, f.daemons[i])
		}
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(fleetTick)
	at := f.now.UnixNano() / int64(fleetTick)
	for _, do := range f.scheduled[at] {
		do()
	}
	delete(f.scheduled, at)
	for _, d := range f.daemons {
		if f.now.Before(d.wakeAt) {
			continue
		}
		for _, action := range d.propagator.Decide(f.now, f.random) {
			f.perform(d, action)
		}
		d.wakeAt = d.propagator.NextDue()
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// accept publishes the next number through a daemon that has the current one.
func (f *fleet) accept(d *simulatedDaemon) {
	f.headNumber++
	d.propagator.Applied(f.headNumber, f.now)
	d.wakeAt = f.now
}

var _ = Describe("Spread", func() {
	// Guards against numbers that decrease, daemons that miss a number, and agents
	// that accept a dispatch under an older number than their own.
	It("brings every reachable daemon to the new number within 7 s, whatever fails around it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
			entries := rapid.IntRange(2, 7).Draw(t, "entries")
			agents := rapid.IntRange(1, 20).Draw(t, "agents")
			f := newFleet(random, entries, agents, 40)
			f.options = []config.PropagatorOption{config.WithReadInterval(time.Duration(rapid.IntRange(500, 5000).Draw(t, "interval")) * time.Millisecond)}
			if rapid.Bool().Draw(t, "peers first") {
				f.agentOptions = []config.PropagatorOption{config.WithPeersFirst()}
			}
			f.headNumber = 1
			for _, d := range f.daemons {
				f.start(d)
			}
			numbers := make([]uint64, len(f.daemons))
			starts := make([]int, len(f.daemons))
			check := func() {
				for i, d := range f.daemons {
					if d.startCount == starts[i] && d.propagator.Number() < numbers[i] {
						t.Fatalf("the number of daemon %d decreased from %d to %d", i, numbers[i], d.propagator.Number())
					}
					numbers[i], starts[i] = d.propagator.Number(), d.startCount
				}
			}
			for range rapid.IntRange(1, 6).Draw(t, "rounds") {
				// Inject faults for some time.
				f.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
				f.tableDown = rapid.Bool().Draw(t, "table out")
				for _, d := range f.daemons {
					d.cutOff = random.Float64() < 0.1
					if random.Float64() < 0.1 {
						f.start(d)
					}
				}
				for range rapid.IntRange(0, 400).Draw(t, "fault ticks") {
					f.step()
					check()
				}
				// The table recovers and no message is lost; 10 % of the daemons stay cut
				// off.
				f.tableDown, f.lossRate = false, 0
				writer := f.daemons[random.Intn(entries)]
				writer.cutOff = false
				for range 200 {
					f.step()
					check()
				}
				f.accept(writer)
				f.run(inForceBound)
				check()
				f.checkReachable(t)
				f.checkDispatches(t)
			}
		})
	})

	It("fetches the document of a restarted daemon from peers while the table is unavailable", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 3, 3, 3)
		f.headNumber = 5
		for _, d := range f.daemons {
			f.start(d)
		}
		f.run(10 * time.Second)
		f.tableDown = true
		f.run(10 * time.Second)
		for _, d := range f.daemons[1:] {
			f.start(d)
		}
		f.run(inForceBound)
		for _, d := range f.daemons {
			Expect(d.propagator.Number()).To(Equal(uint64(5)))
		}
	})

	It("backs off reads of the head row while the table is unavailable, to at most 5 s", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 1, 0, 0)
		f.options = []config.PropagatorOption{config.WithReadInterval(500 * time.Millisecond)}
		f.start(f.daemons[0])
		f.tableDown = true
		f.run(20 * time.Second)
		f.tableReads = 0
		f.run(50 * time.Second)
		Expect(f.tableReads).To(And(BeNumerically(">=", 10), BeNumerically("<=", 13)))
	})

	It("keeps its number when an older document arrives late", func() {
		p := config.NewPropagator(start)
		Expect(p.Applied(5, start)).To(BeTrue())
		Expect([]bool{p.Applied(3, start), p.Applied(5, start)}).To(Equal([]bool{false, false}))
		Expect(p.Number()).To(Equal(uint64(5)))
	})

	It("reads the head row again when a read is never answered", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 1, 0, 0)
		f.headNumber, f.lossRate = 2, 1
		f.start(f.daemons[0])
		f.run(10 * time.Second)
		f.lossRate = 0
		f.run(inForceBound)
		Expect(f.daemons[0].propagator.Number()).To(Equal(uint64(2)))
	})

	It("fetches from a peer first after a failed read, and at most twice a second", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 2, 0, 0)
		f.tableDown = true
		d := f.daemons[0]
		f.start(d)
		f.start(f.daemons[1])
		f.run(time.Second)
		d.propagator.ObserveNumber("d1", 7, f.now, f.random)
		f.now = f.now.Add(config.DefaultHintDelay)
		Expect(d.propagator.Decide(f.now, f.random)).To(ContainElement(config.FetchDocument{Number: 7, Peer: "d1"}))
		d.propagator.FetchFailed(f.now)
		fetches := 0
		for range 1000 {
			f.now = f.now.Add(10 * time.Millisecond)
			for _, action := range d.propagator.Decide(f.now, f.random) {
				if _, ok := action.(config.FetchDocument); ok {
					fetches++
					d.propagator.FetchFailed(f.now)
				}
			}
		}
		Expect(fetches).To(BeNumerically("<=", 21))
	})

	It("drops a number that the table does not have", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 1, 0, 0)
		f.headNumber = 3
		d := f.daemons[0]
		f.start(d)
		f.run(5 * time.Second)
		d.propagator.ObserveNumber("stray", 99, f.now, f.random)
		f.run(10 * time.Second)
		Expect([]uint64{d.propagator.Number(), d.propagator.NewestKnown()}).To(Equal([]uint64{3, 3}))
	})
})

// checkReachable checks that every daemon that is not cut off has the newest
// number.
func (f *fleet) checkReachable(t *rapid.T) {
	for i, d := range f.daemons {
		if !d.cutOff && d.propagator.Number() != f.headNumber {
			t.Fatalf("daemon %d has %d, not %d, after %s", i, d.propagator.Number(), f.headNumber, inForceBound)
		}
	}
}

// checkDispatches sends one dispatch from every entry, cut off or not, to
// every agent that has the newest number. The agent refuses an older one.
func (f *fleet) checkDispatches(t *rapid.T) {
	for _, entry := range f.daemons[:f.entryCount] {
		for _, agent := range f.daemons[f.entryCount:] {
			if number := entry.propagator.Number(); agent.propagator.Number() == f.headNumber && number < f.headNumber && agent.propagator.AcceptsDispatch(number) {
				t.Fatalf("a dispatch of entry %d runs under the outdated number %d", entry.index, number)
			}
		}
	}
}

var _ = Describe("Acknowledgements", func() {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

	It("reports which daemons lack the number, and when it came into force", func() {
		a := config.NewAcknowledgements()
		a.SetExpected([]string{"entry-1", "agent-1", "agent-2"}, at(0))
		a.Observe("entry-1", "s1", 4, at(1))
		a.Observe("agent-1", "s1", 3, at(2))
		a.Observe("agent-1", "s1", 4, at(3))
		status := a.Status()
		Expect(status.Number).To(Equal(uint64(4)))
		Expect(status.InForceAt.IsZero()).To(BeTrue())
		Expect(status.Behind).To(Equal([]config.DaemonStatus{{Process: "agent-2"}}))
		a.Observe("agent-2", "s1", 4, at(5))
		Expect(a.Status().InForceAt).To(Equal(at(5)))
		Expect(a.Status().Behind).To(BeEmpty())
	})

	DescribeTable("handles messages that are late, of an earlier incarnation or of unexpected daemons",
		func(process, incarnation string, number uint64, upToDate, behind int) {
			a := config.NewAcknowledgements()
			a.SetExpected([]string{"agent-1"}, at(0))
			a.Observe("agent-1", "s2", 4, at(1))
			a.Observe(process, incarnation, number, at(2))
			Expect(a.Status().UpToDate).To(HaveLen(upToDate))
			Expect(a.Status().Behind).To(HaveLen(behind))
		},
		Entry("a late message of the same incarnation", "agent-1", "s2", uint64(3), 1, 0),
		Entry("a late message of an earlier incarnation", "agent-1", "s1", uint64(3), 1, 0),
		Entry("a restarted daemon without a document", "agent-1", "s3", uint64(0), 0, 1),
		Entry("a newer number at a daemon that is not expected", "other", "s1", uint64(5), 0, 1),
	)

	It("ignores the number of an earlier incarnation of a restarted daemon", func() {
		a := config.NewAcknowledgements()
		a.SetExpected([]string{"agent-1"}, at(0))
		a.Observe("agent-1", "s2", 4, at(1))
		a.Observe("agent-1", "s3", 0, at(2))
		a.Observe("agent-1", "s2", 4, at(3))
		Expect(a.Status().Behind).To(HaveLen(1))
	})

	It("puts a number in force when the last daemon that lacks it is no longer expected", func() {
		a := config.NewAcknowledgements()
		a.SetExpected([]string{"agent-1", "agent-2"}, at(0))
		a.Observe("agent-1", "s1", 4, at(1))
		a.SetExpected([]string{"agent-1"}, at(9))
		Expect(a.Status().InForceAt).To(Equal(at(9)))
	})
})

// BenchmarkSpread measures the cost of one accepted number at three fleet
// sizes: the time until all daemons have it, head and document reads per
// second, and bytes per second and daemon. The targets are 7 s, 2,000 reads/s
// of all daemons and 8 KB/s.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{4, 23}, {80, 150}, {330, 600}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			var inForce, slowest time.Duration
			var reads, peak, bytes, steady int
			for i := range b.N {
				f := newFleet(rand.New(rand.NewSource(int64(i)+1)), size.entries, size.agents, 40)
				f.options = []config.PropagatorOption{config.WithReadInterval(5 * time.Second), config.WithHintDelay(time.Second)}
				f.agentOptions = []config.PropagatorOption{config.WithPeersFirst()}
				f.headNumber = 1
				for _, d := range f.daemons {
					f.start(d)
				}
				f.run(20 * time.Second)
				f.tableReads, f.bytes = 0, 0
				f.run(20 * time.Second)
				steady += f.tableReads
				f.accept(f.daemons[0])
				accepted := f.now
				f.tableReads, f.bytes = 0, 0
				var took time.Duration
				for range 10 {
					before := f.tableReads
					for range 20 {
						f.step()
						if took == 0 && f.allUpToDate() {
							took = f.now.Sub(accepted)
						}
					}
					peak = max(peak, f.tableReads-before)
				}
				reads += f.tableReads
				bytes += f.bytes
				inForce += took
				slowest = max(slowest, took)
			}
			n := float64(b.N)
			daemons := float64(size.entries + size.agents)
			b.ReportMetric(inForce.Seconds()/n, "s-to-in-force")
			b.ReportMetric(slowest.Seconds(), "s-to-in-force-max")
			b.ReportMetric(float64(steady)/n/20, "reads/s-steady")
			b.ReportMetric(float64(peak), "reads/s-peak")
			b.ReportMetric(float64(bytes)/n/daemons, "bytes/daemon/change")
			// At 490 changes a day, plus the head reads between them.
			b.ReportMetric(float64(bytes)/n/daemons*490/86400+200*float64(steady)/n/20/daemons, "bytes/s/daemon")
		})
	}
}

func (f *fleet) allUpToDate() bool {
	for _, d := range f.daemons {
		if d.propagator.Number() != f.headNumber {
			return false
		}
	}
	return true
}
