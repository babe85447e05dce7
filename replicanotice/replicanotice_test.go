package replicanotice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/placement"
	"briarreach/replica"
	"briarreach/replicanotice"
)

const drainTimeout = 2 * time.Second

func newNotices() *replicanotice.Notices {
	return replicanotice.New(drainTimeout, rand.New(rand.NewPCG(1, 2)))
}

func newReplicas(n int) []replica.Replica {
	list := make([]replica.Replica, n)
	for i := range list {
		list[i] = replica.Replica{ID: fmt.Sprintf("r%d", i), Service: "s", Slots: 8, Started: time.UnixMilli(7),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
	}
	return list
}

var _ = Describe("a replica that leaves", func() {
	start := time.Unix(1e9, 0)
	leaving := replicanotice.Notice{Leaving: true}

	// Guards against requests at a replica that has said that it leaves, and against
	// later answers that put the end off.
	It("gets nothing from the drain timeout after its first notice on", func() {
		n, r := newNotices(), newReplicas(1)[0].Incarnation()
		leaves, _ := n.Record(r, leaving, start)
		Expect(leaves).To(BeTrue())
		leaves, _ = n.Record(r, leaving, start.Add(time.Second))
		Expect(leaves).To(BeFalse())
		n.Record(r, replicanotice.Notice{}, start.Add(time.Second))
		Expect(n.State(r, start.Add(drainTimeout-1))).To(HaveField("Gone", false))
		Expect(n.State(r, start.Add(drainTimeout-1))).To(HaveField("Leaving", true))
		Expect(n.State(r, start.Add(drainTimeout))).To(HaveField("Gone", true))
		Expect(n.State(r, start.Add(time.Hour))).To(HaveField("Gone", true))
	})

	It("stays so when the registry has it as ready, and when its entry was away for a while", func() {
		n, list := newNotices(), newReplicas(2)
		n.Record(list[0].Incarnation(), leaving, start)
		for i := range 40 {
			live := list
			if i%2 == 0 {
				live = list[1:]
			}
			n.SetReplicas(live, start.Add(time.Duration(i)*time.Minute))
		}
		Expect(n.State(list[0].Incarnation(), start.Add(time.Hour))).To(HaveField("Gone", true))
		Expect(n.State(list[1].Incarnation(), start.Add(time.Hour))).To(Equal(replicanotice.State{Share: 1}))
	})

	It("is forgotten some minutes after it has left the registry", func() {
		n, list := newNotices(), newReplicas(2)
		n.Record(list[0].Incarnation(), leaving, start)
		n.SetReplicas(list[1:], start.Add(5*time.Minute))
		leaves, _ := n.Counts(start.Add(5 * time.Minute))
		Expect(leaves).To(BeZero())
	})

	It("does not mark the next one at its address, or its own next start", func() {
		n, r := newNotices(), newReplicas(1)[0]
		n.Record(r.Incarnation(), leaving, start)
		next := r
		next.ID = "other"
		Expect(n.State(next.Incarnation(), start.Add(time.Hour))).To(Equal(replicanotice.State{Share: 1}))
		next = r
		next.Started = time.UnixMilli(8)
		Expect(n.State(next.Incarnation(), start.Add(time.Hour))).To(Equal(replicanotice.State{Share: 1}))
	})

	// Guards against one mistaken process that takes sound replicas from all others.
	It("is only avoided for a while if just another process says so", func() {
		n, r := newNotices(), newReplicas(1)[0].Incarnation()
		Expect(n.HandleLeaving(replicanotice.Leaving{Replica: r}, start)).To(BeTrue())
		for s := range 60 {
			at := start.Add(time.Duration(s) * time.Second)
			Expect(n.State(r, at)).To(HaveField("Gone", false))
			if s < 5 {
				Expect(n.State(r, at)).To(HaveField("Leaving", true))
			}
			n.HandleLeaving(replicanotice.Leaving{Replica: r}, at)
		}
	})

	It("is one of a bounded number of marks", func() {
		n := newNotices()
		for i := range 6000 {
			n.Record(replica.Incarnation{ID: fmt.Sprint(i)}, leaving, start.Add(time.Duration(i)))
			n.HandleLeaving(replicanotice.Leaving{Replica: replica.Incarnation{ID: fmt.Sprint("hint", i)}}, start)
		}
		leaves, _ := n.Counts(start)
		Expect(leaves).To(BeNumerically("<=", 4096))
		Expect(n.State(replica.Incarnation{ID: "5999"}, start.Add(time.Hour))).To(HaveField("Gone", true), "the newest is kept")
	})
})

var _ = Describe("a replica that pauses", func() {
	start := time.Unix(1e9, 0)
	pause := func(d time.Duration) replicanotice.Notice { return replicanotice.Notice{Pause: d} }

	It("gets nothing until the latest end that it has given", func() {
		n, r := newNotices(), newReplicas(1)[0].Incarnation()
		for _, p := range []struct{ at, pause time.Duration }{{0, 3 * time.Second}, {time.Second, time.Second}, {time.Second, 4 * time.Second}} {
			n.Record(r, pause(p.pause), start.Add(p.at))
		}
		Expect(n.State(r, start.Add(5*time.Second-1)).PausedFor).To(BeNumerically(">", 0))
		Expect(n.State(r, start.Add(5*time.Second+250*time.Millisecond))).To(HaveField("PausedFor", time.Duration(0)))
	})

	It("comes back with a share that rises, at another moment for each process", func() {
		ends := map[time.Duration]bool{}
		for seed := range 20 {
			n, r := replicanotice.New(drainTimeout, rand.New(rand.NewPCG(uint64(seed), 1))), newReplicas(1)[0].Incarnation()
			n.Record(r, pause(2*time.Second), start)
			end := n.State(r, start).PausedFor
			ends[end] = true
			Expect(n.State(r, start.Add(end)).Share).To(BeNumerically("~", 0, 0.01))
			Expect(n.State(r, start.Add(end+500*time.Millisecond)).Share).To(BeNumerically("~", 0.5, 0.01))
			Expect(n.State(r, start.Add(end+time.Hour)).Share).To(Equal(1.0))
		}
		Expect(len(ends)).To(BeNumerically(">", 15))
	})

	It("is not taken away for ever by a value without sense", func() {
		n, r := newNotices(), newReplicas(1)[0].Incarnation()
		for _, d := range []time.Duration{0, -1, math.MinInt64} {
			n.Record(r, pause(d), start)
			Expect(n.State(r, start)).To(Equal(replicanotice.State{Share: 1}))
		}
		n.Record(r, pause(math.MaxInt64), start)
		Expect(n.State(r, start.Add(24*time.Hour)).PausedFor).To(BeNumerically(">", 0))
		n.SetReplicas(nil, start.Add(time.Hour))
		Expect(n.State(r, start.Add(time.Hour))).To(Equal(replicanotice.State{Share: 1}), "it is gone from the registry")
	})
})

// fleet is a number of processes that place requests on the same replicas.
type fleet struct {
	notices  []*replicanotice.Notices
	placers  []*placement.Placer
	replicas []replica.Replica
	rand     *rand.Rand
}

func newFleet(processes, replicas int) *fleet {
	f := &fleet{replicas: newReplicas(replicas), rand: rand.New(rand.NewPCG(3, 4))}
	for i := range processes {
		n := replicanotice.New(drainTimeout, rand.New(rand.NewPCG(uint64(i), 5)))
		f.notices = append(f.notices, n)
		f.placers = append(f.placers, placement.New(placement.Defaults(), nil, placement.WithNotices(n)))
	}
	return f
}

var _ = Describe("replicas that pause together", func() {
	// Guards against a wave at the end of the pauses, against replicas that get
	// nothing afterwards, and against callers that return all at once.
	It("get no requests meanwhile, then more and more of them", func() {
		const processes, replicas, paused, perTick = 68, 12, 4, 136
		const tick, pause, work = 10 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond
		f := newFleet(processes, replicas)
		start := time.Unix(1e9, 0)
		for _, n := range f.notices {
			for _, r := range f.replicas[:paused] {
				n.Record(r.Incarnation(), replicanotice.Notice{Pause: pause}, start)
			}
		}
		arrivals := make(map[string][]time.Duration)
		type running struct {
			placer *placement.Placer
			choice placement.Choice
			end    time.Duration
		}
		var inFlight []running
		for at := time.Duration(0); at < 6*time.Second; at += tick {
			now := start.Add(at)
			for len(inFlight) > 0 && inFlight[0].end <= at {
				inFlight[0].placer.RecordActivity(inFlight[0].choice, now)
				inFlight[0].placer.Done(inFlight[0].choice, placement.Served, now)
				inFlight = inFlight[1:]
			}
			for range perTick {
				p := f.placers[f.rand.IntN(processes)]
				c, ok := p.Choose(placement.Request{}, f.replicas, now, f.rand)
				Expect(ok && !c.Refused).To(BeTrue())
				arrivals[c.Replica.ID] = append(arrivals[c.Replica.ID], at)
				inFlight = append(inFlight, running{placer: p, choice: c, end: at + work})
			}
		}
		count := func(id string, from, to time.Duration) (n int) {
			for _, at := range arrivals[id] {
				if at >= from && at < to {
					n++
				}
			}
			return n
		}
		mean := func(d time.Duration) float64 { return float64(perTick) * float64(d/tick) / replicas }
		for _, r := range f.replicas[:paused] {
			Expect(count(r.ID, 0, pause)).To(BeZero())
			for from := pause; from < 6*time.Second; from += 100 * time.Millisecond {
				Expect(float64(count(r.ID, from, from+100*time.Millisecond))).To(BeNumerically("<", 1.5*mean(100*time.Millisecond)))
			}
			Expect(float64(count(r.ID, 5*time.Second, 6*time.Second))).To(BeNumerically(">", 0.5*mean(time.Second)))
		}
	})

	It("are all that there are: requests are refused at once, with returns spread after the first end", func() {
		f := newFleet(1, 3)
		now := time.Unix(1e9, 0)
		for i, r := range f.replicas {
			f.notices[0].Record(r.Incarnation(), replicanotice.Notice{Pause: time.Duration(i+2) * time.Second}, now)
		}
		returns := map[time.Duration]bool{}
		for range 50 {
			c, ok := f.placers[0].Choose(placement.Request{}, f.replicas, now, f.rand)
			Expect(ok).To(BeTrue())
			Expect(c.Refused).To(BeTrue())
			Expect(c.Reason).To(Equal(placement.PausedReason))
			Expect(c.RetryAfter).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<=", 3250*time.Millisecond)))
			returns[c.RetryAfter] = true
		}
		Expect(len(returns)).To(BeNumerically(">", 40))
	})
})

var _ = Describe("placement on replicas that leave", func() {
	start := time.Unix(1e9, 0)

	It("prefers others at once, and uses them until the bound if there are no others", func() {
		f := newFleet(1, 3)
		f.notices[0].Record(f.replicas[0].Incarnation(), replicanotice.Notice{Leaving: true}, start)
		for range 100 {
			c, _ := f.placers[0].Choose(placement.Request{}, f.replicas, start, f.rand)
			Expect(c.Replica.ID).NotTo(Equal("r0"))
			f.placers[0].Done(c, placement.Served, start)
		}
		for _, r := range f.replicas {
			f.notices[0].Record(r.Incarnation(), replicanotice.Notice{Leaving: true}, start)
		}
		_, ok := f.placers[0].Choose(placement.Request{}, f.replicas, start.Add(drainTimeout-1), f.rand)
		Expect(ok).To(BeTrue())
		_, ok = f.placers[0].Choose(placement.Request{}, f.replicas, start.Add(drainTimeout), f.rand)
		Expect(ok).To(BeFalse(), "all are gone")
	})

	// Guards against others that have to read all prompts of the leaving replica at
	// the same moment.
	It("moves the prompts that it has cached one after the other, in half of the time", func() {
		f := newFleet(1, 4)
		p := f.placers[0]
		var requests []placement.Request
		for i := range 400 {
			req := placement.Request{SharedParts: placement.HashParts([]string{fmt.Sprint("part", i)}, []int{2000}), UniqueTokens: 10}
			c, _ := p.Choose(req, f.replicas, start, f.rand)
			p.Done(c, placement.Served, start)
			if c.Replica.ID == "r0" {
				requests = append(requests, req)
			}
		}
		Expect(len(requests)).To(BeNumerically(">", 40))
		f.notices[0].Record(f.replicas[0].Incarnation(), replicanotice.Notice{Leaving: true}, start)
		moved := make(map[int]bool)
		for at := time.Duration(0); at <= drainTimeout/2; at += drainTimeout / 20 {
			before := len(moved)
			for i, req := range requests {
				if moved[i] {
					continue
				}
				now := start.Add(at)
				c, _ := p.Choose(req, f.replicas, now, f.rand)
				p.Done(c, placement.Served, now)
				moved[i] = c.Replica.ID != "r0"
				if !moved[i] {
					delete(moved, i)
				}
			}
			Expect(len(moved)-before).To(BeNumerically("<=", len(requests)*3/10), "prompts that move in a twentieth of the drain")
		}
		Expect(moved).To(HaveLen(len(requests)))
	})
})
