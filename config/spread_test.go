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

// fleet is a population of daemons around one table. Messages and reads take
// time and may be lost; daemons may be cut off and restarted.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	opts    []config.PropagatorOption
	agent   []config.PropagatorOption
	entries int
	daemons []*simulatedDaemon
	head    uint64
	out     bool    // the table is out
	loss    float64 // probability that a message or a read is lost
	queue   map[int64][]func()

	reads, bytes int
	documentSize int
}

type simulatedDaemon struct {
	index  int
	spread *config.Propagator
	cut    bool // from the table and all daemons, but not from agents
	peers  []int
	starts int
	wake   time.Time
}

func newFleet(random *rand.Rand, entries, agents, agentsPerEntry int) *fleet {
	f := &fleet{random: random, now: start, entries: entries, queue: map[int64][]func(){}, documentSize: 40_000}
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

// start starts or restarts a daemon without a document.
func (f *fleet) start(d *simulatedDaemon) {
	opts := f.opts
	if d.index >= f.entries {
		opts = append(opts[:len(opts):len(opts)], f.agent...)
	}
	d.spread, d.starts, d.wake = config.NewPropagator(f.now, opts...), d.starts+1, f.now
	for _, p := range d.peers {
		d.spread.Connected(f.name(p))
		f.send(d, f.daemons[p]) // Hello
	}
}

func (f *fleet) later(max time.Duration, do func()) {
	at := f.now.Add(time.Duration(f.random.Float64()*float64(max))).UnixNano()/int64(fleetTick) + 1
	f.queue[at] = append(f.queue[at], do)
}

// send delivers the sender's number to the receiver.
func (f *fleet) send(from, to *simulatedDaemon) {
	number := from.spread.Number()
	f.bytes += 60
	f.later(100*time.Millisecond, func() {
		if !from.cut && !to.cut && to.spread != nil && f.random.Float64() >= f.loss {
			to.spread.ObserveNumber(f.name(from.index), number, f.now, f.random)
			to.wake = f.now
		}
	})
}

func (f *fleet) act(d *simulatedDaemon, action config.PropagatorAction) {
	starts := d.starts
	answer := func(do func()) {
		lost := f.random.Float64() < f.loss
		f.later(200*time.Millisecond, func() {
			if d.starts == starts && !lost {
				do()
				d.wake = f.now
			}
		})
	}
	switch action := action.(type) {
	case config.ReadHead:
		f.reads++
		f.bytes += 200
		head, fails := f.head, f.out || d.cut
		answer(func() {
			if fails {
				d.spread.ReadFailed(f.now, f.random)
				return
			}
			d.spread.HeadRead(head, f.now, f.random)
		})
	case config.FetchDocument:
		number := action.Number
		fails := d.cut || f.out
		if action.Peer != "" {
			var i int
			_, _ = fmt.Sscanf(action.Peer, "d%d", &i)
			peer := f.daemons[i]
			fails = d.cut || peer.cut
			number = peer.spread.Number()
		} else {
			f.reads++
			fails = fails || number > f.head
		}
		f.bytes += f.documentSize
		answer(func() {
			if fails {
				d.spread.FetchFailed(f.now)
				return
			}
			before := d.spread.Number()
			if d.spread.Applied(number, f.now) != (number > before) || d.spread.Number() < before {
				panic("the number of a daemon went back")
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
	for _, do := range f.queue[at] {
		do()
	}
	delete(f.queue, at)
	for _, d := range f.daemons {
		if f.now.Before(d.wake) {
			continue
		}
		for _, action := range d.spread.Decide(f.now, f.random) {
			f.act(d, action)
		}
		d.wake = d.spread.NextDue()
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// accept writes the next number through a daemon that has the current one.
func (f *fleet) accept(d *simulatedDaemon) {
	f.head++
	d.spread.Applied(f.head, f.now)
	d.wake = f.now
}

var _ = Describe("Spread", func() {
	// Guards against numbers that go back, daemons that miss a number, and
	// work under an old number at an agent that has a newer one.
	It("brings every reachable daemon to the new number within 7 s, whatever fails around it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
			entries := rapid.IntRange(2, 7).Draw(t, "entries")
			agents := rapid.IntRange(1, 20).Draw(t, "agents")
			f := newFleet(random, entries, agents, 40)
			f.opts = []config.PropagatorOption{config.WithReadInterval(time.Duration(rapid.IntRange(500, 5000).Draw(t, "interval")) * time.Millisecond)}
			if rapid.Bool().Draw(t, "peers first") {
				f.agent = []config.PropagatorOption{config.WithPeersFirst()}
			}
			f.head = 1
			for _, d := range f.daemons {
				f.start(d)
			}
			numbers := make([]uint64, len(f.daemons))
			starts := make([]int, len(f.daemons))
			check := func() {
				for i, d := range f.daemons {
					if d.starts == starts[i] && d.spread.Number() < numbers[i] {
						t.Fatalf("daemon %d went back from %d to %d", i, numbers[i], d.spread.Number())
					}
					numbers[i], starts[i] = d.spread.Number(), d.starts
				}
			}
			for range rapid.IntRange(1, 6).Draw(t, "rounds") {
				// Faults for some time.
				f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
				f.out = rapid.Bool().Draw(t, "table out")
				for _, d := range f.daemons {
					d.cut = random.Float64() < 0.1
					if random.Float64() < 0.1 {
						f.start(d)
					}
				}
				for range rapid.IntRange(0, 400).Draw(t, "fault ticks") {
					f.step()
					check()
				}
				// The table returns, messages arrive again, 10 % stay cut off.
				f.out, f.loss = false, 0
				writer := f.daemons[random.Intn(entries)]
				writer.cut = false
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

	It("gives a started daemon its peers' document while the table is out", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 3, 3, 3)
		f.head = 5
		for _, d := range f.daemons {
			f.start(d)
		}
		f.run(10 * time.Second)
		f.out = true
		f.run(10 * time.Second)
		for _, d := range f.daemons[1:] {
			f.start(d)
		}
		f.run(inForceBound)
		for _, d := range f.daemons {
			Expect(d.spread.Number()).To(Equal(uint64(5)))
		}
	})

	It("reads the head less often while the table is out, but not less than every 5 s", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 1, 0, 0)
		f.opts = []config.PropagatorOption{config.WithReadInterval(500 * time.Millisecond)}
		f.start(f.daemons[0])
		f.out = true
		f.run(20 * time.Second)
		f.reads = 0
		f.run(50 * time.Second)
		Expect(f.reads).To(And(BeNumerically(">=", 10), BeNumerically("<=", 13)))
	})

	It("keeps its number when an older document arrives late", func() {
		s := config.NewPropagator(start)
		Expect(s.Applied(5, start)).To(BeTrue())
		Expect([]bool{s.Applied(3, start), s.Applied(5, start)}).To(Equal([]bool{false, false}))
		Expect(s.Number()).To(Equal(uint64(5)))
	})

	It("reads the head again when a read is never answered", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 1, 0, 0)
		f.head, f.loss = 2, 1
		f.start(f.daemons[0])
		f.run(10 * time.Second)
		f.loss = 0
		f.run(inForceBound)
		Expect(f.daemons[0].spread.Number()).To(Equal(uint64(2)))
	})

	It("asks a peer first after a failed read, and not more than twice a second", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 2, 0, 0)
		f.out = true
		d := f.daemons[0]
		f.start(d)
		f.start(f.daemons[1])
		f.run(time.Second)
		d.spread.ObserveNumber("d1", 7, f.now, f.random)
		f.now = f.now.Add(config.DefaultHintDelay)
		Expect(d.spread.Decide(f.now, f.random)).To(ContainElement(config.FetchDocument{Number: 7, Peer: "d1"}))
		d.spread.FetchFailed(f.now)
		fetches := 0
		for range 1000 {
			f.now = f.now.Add(10 * time.Millisecond)
			for _, action := range d.spread.Decide(f.now, f.random) {
				if _, ok := action.(config.FetchDocument); ok {
					fetches++
					d.spread.FetchFailed(f.now)
				}
			}
		}
		Expect(fetches).To(BeNumerically("<=", 21))
	})

	It("gives up a number that the table does not have", func() {
		f := newFleet(rand.New(rand.NewSource(1)), 1, 0, 0)
		f.head = 3
		d := f.daemons[0]
		f.start(d)
		f.run(5 * time.Second)
		d.spread.ObserveNumber("stray", 99, f.now, f.random)
		f.run(10 * time.Second)
		Expect([]uint64{d.spread.Number(), d.spread.NewestKnown()}).To(Equal([]uint64{3, 3}))
	})
})

func (f *fleet) checkReachable(t *rapid.T) {
	for i, d := range f.daemons {
		if !d.cut && d.spread.Number() != f.head {
			t.Fatalf("daemon %d has %d, not %d, after %s", i, d.spread.Number(), f.head, inForceBound)
		}
	}
}

// checkDispatches sends one dispatch from every entry, cut off or not, to
// every agent that has the newest number. The agent refuses an older one.
func (f *fleet) checkDispatches(t *rapid.T) {
	for _, entry := range f.daemons[:f.entries] {
		for _, agent := range f.daemons[f.entries:] {
			if number := entry.spread.Number(); agent.spread.Number() == f.head && number < f.head && agent.spread.AcceptsDispatch(number) {
				t.Fatalf("work of entry %d runs under number %d", entry.index, number)
			}
		}
	}
}

var _ = Describe("Acknowledgements", func() {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

	It("names who lacks the number, and since when it is in force", func() {
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

	DescribeTable("takes messages that are late, of an earlier start or of others",
		func(process, startID string, number uint64, having, lacking int) {
			a := config.NewAcknowledgements()
			a.SetExpected([]string{"agent-1"}, at(0))
			a.Observe("agent-1", "s2", 4, at(1))
			a.Observe(process, startID, number, at(2))
			Expect(a.Status().UpToDate).To(HaveLen(having))
			Expect(a.Status().Behind).To(HaveLen(lacking))
		},
		Entry("a late message of the same start", "agent-1", "s2", uint64(3), 1, 0),
		Entry("a late message of an earlier start", "agent-1", "s1", uint64(3), 1, 0),
		Entry("a restarted daemon without a document", "agent-1", "s3", uint64(0), 0, 1),
		Entry("a newer number at a daemon that is not expected", "other", "s1", uint64(5), 0, 1),
	)

	It("does not take the number of an earlier start for that of a restarted daemon", func() {
		a := config.NewAcknowledgements()
		a.SetExpected([]string{"agent-1"}, at(0))
		a.Observe("agent-1", "s2", 4, at(1))
		a.Observe("agent-1", "s3", 0, at(2))
		a.Observe("agent-1", "s2", 4, at(3))
		Expect(a.Status().Behind).To(HaveLen(1))
	})

	It("puts a number in force when the last lacking daemon is no longer expected", func() {
		a := config.NewAcknowledgements()
		a.SetExpected([]string{"agent-1", "agent-2"}, at(0))
		a.Observe("agent-1", "s1", 4, at(1))
		a.SetExpected([]string{"agent-1"}, at(9))
		Expect(a.Status().InForceAt).To(Equal(at(9)))
	})
})

// BenchmarkSpread gives the cost of one accepted number at three sizes: the
// time until all daemons have it, head and document reads per second, and
// bytes per second and daemon. The target values are 7 s, 2,000 reads/s of all
// daemons and 8 KB/s.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{4, 23}, {80, 150}, {330, 600}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			var inForce, slowest time.Duration
			var reads, peak, bytes, steady int
			for i := range b.N {
				f := newFleet(rand.New(rand.NewSource(int64(i)+1)), size.entries, size.agents, 40)
				f.opts = []config.PropagatorOption{config.WithReadInterval(5 * time.Second), config.WithHintDelay(time.Second)}
				f.agent = []config.PropagatorOption{config.WithPeersFirst()}
				f.head = 1
				for _, d := range f.daemons {
					f.start(d)
				}
				f.run(20 * time.Second)
				f.reads, f.bytes = 0, 0
				f.run(20 * time.Second)
				steady += f.reads
				f.accept(f.daemons[0])
				accepted := f.now
				f.reads, f.bytes = 0, 0
				var took time.Duration
				for range 10 {
					before := f.reads
					for range 20 {
						f.step()
						if took == 0 && f.all() {
							took = f.now.Sub(accepted)
						}
					}
					peak = max(peak, f.reads-before)
				}
				reads += f.reads
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
			// 490 changes a day, and the head reads between them.
			b.ReportMetric(float64(bytes)/n/daemons*490/86400+200*float64(steady)/n/20/daemons, "bytes/s/daemon")
		})
	}
}

func (f *fleet) all() bool {
	for _, d := range f.daemons {
		if d.spread.Number() != f.head {
			return false
		}
	}
	return true
}
