package quarantine_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/quarantine"
	"briarreach/replica"
)

// scenario is a load on a simulated fleet.
type scenario struct {
	gateways, replicas int
	badPerSecond       float64 // requests with the part that crashes replicas
	soundPerSecond     float64
	firstParts         int           // number of first parts of prompts
	sessions           int           // number of second parts
	loss               float64       // share of the messages between gateways that are lost
	powerLoss          time.Duration // time between losses of power of a third of the replicas; 0 for none
	returning          bool          // whether requests have no shared parts: one comes again and crashes replicas, sound ones come again too
}

// outcome is what happened in a simulation.
type outcome struct {
	crashes         int
	badAfterWindow  int // requests with the part sent 3 s after the fifth crash or later; after the third if it is one request
	soundSent       int
	soundBlocked    int
	soundQuarantine []string // sound parts that are in quarantine at the end
}

const (
	simulatedTime  = 40 * time.Second
	contactWindow  = 3 * time.Second // the platform's bound of the time in which gateways learn from each other
	messageDelay   = 5 * time.Millisecond
	rowDelay       = 150 * time.Millisecond // until all gateways have read a row
	replicaRestart = 3200 * time.Millisecond
	prefillTime    = 80 * time.Millisecond
	answerDuration = 400 * time.Millisecond
	stepInterval   = 20 * time.Millisecond
)

type send struct {
	gateway int
	parts   []string
	started time.Duration
	retry   func(now time.Duration) // after a crash
}

type simulatedReplica struct {
	incarnation int
	down        bool
	sends       map[int]send
}

// simulation is a discrete-event simulation.
type simulation struct {
	scenario
	rand     *rand.Rand
	lists    []*quarantine.List
	servers  []simulatedReplica
	events   eventQueue
	sequence int
	last     time.Duration // time of the crash by the part from which the window counts
	outcome  outcome
}

type event struct {
	at  time.Duration
	n   int
	run func(now time.Duration)
}

func (s *simulation) after(at time.Duration, run func(time.Duration)) {
	s.sequence++
	heap.Push(&s.events, event{at, s.sequence, run})
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].n, q[j].n)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func clockAt(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// do carries out the actions of a gateway.
func (s *simulation) do(gateway int, actions []quarantine.Action, now time.Duration) {
	toOthers := func(delay time.Duration, loss float64, f func(l *quarantine.List, now time.Duration) []quarantine.Action) {
		for i, l := range s.lists {
			if i != gateway && s.rand.Float64() >= loss {
				s.after(now+delay, func(now time.Duration) { s.do(i, f(l, now), now) })
			}
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case quarantine.Announce:
			toOthers(messageDelay, s.loss, func(l *quarantine.List, now time.Duration) []quarantine.Action {
				return l.HandleEvidence(a.Evidence, clockAt(now))
			})
		case quarantine.Quarantined:
			if a.Crashes > 0 {
				toOthers(rowDelay, 0, func(l *quarantine.List, now time.Duration) []quarantine.Action { return l.Add(a.Part, clockAt(now)) })
			}
		case quarantine.Released:
			toOthers(rowDelay, 0, func(l *quarantine.List, _ time.Duration) []quarantine.Action { l.Withdraw(a.Part); return nil })
		}
	}
}

func (s *simulation) crash(server int, now time.Duration) {
	r := &s.servers[server]
	for _, id := range sortedKeys(r.sends) {
		x := r.sends[id]
		if s.lists[x.gateway].ProvesSound(now - x.started - prefillTime) {
			s.do(x.gateway, s.lists[x.gateway].RecordInterruptedAnswer("s", x.parts, clockAt(now)), now)
			continue
		}
		c := quarantine.Crash{Service: "s", Replica: replica.Incarnation{ID: fmt.Sprint(server, "-", r.incarnation)}, PartIDs: x.parts}
		s.do(x.gateway, s.lists[x.gateway].RecordCrash(c, clockAt(now)), now)
	}
	for _, id := range sortedKeys(r.sends) {
		s.after(now+messageDelay, r.sends[id].retry)
	}
	*r = simulatedReplica{incarnation: r.incarnation + 1, down: true, sends: map[int]send{}}
	s.after(now+replicaRestart, func(time.Duration) { s.servers[server].down = false })
}

func sortedKeys(m map[int]send) []int {
	var keys []int
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *simulation) request(bad bool, now time.Duration) {
	gateway := s.rand.IntN(s.gateways)
	parts := []string{fmt.Sprint("first", s.rand.IntN(s.firstParts)), fmt.Sprint("session", s.rand.IntN(s.sessions))}
	switch {
	case s.returning && bad:
		parts = []string{quarantine.RequestID("bad")}
	case s.returning:
		parts = []string{quarantine.RequestID(fmt.Sprint(s.rand.IntN(s.sessions)))}
	case bad:
		parts = slices.Insert(parts, s.rand.IntN(2), "bad")
	}
	s.send(gateway, parts, bad, 1, now)
}

// send sends a request, and once more if its replica crashes and requests come again.
func (s *simulation) send(gateway int, parts []string, bad bool, attempt int, now time.Duration) {
	_, _, blocked := s.lists[gateway].Blocks("s", parts, clockAt(now))
	if !bad && attempt == 1 {
		s.outcome.soundSent++
		if blocked {
			s.outcome.soundBlocked++
		}
	}
	live := slices.Collect(func(yield func(int) bool) {
		for i := range s.servers {
			if !s.servers[i].down && !yield(i) {
				return
			}
		}
	})
	if blocked || len(live) == 0 {
		return
	}
	if bad && s.last > 0 && now > s.last+contactWindow {
		s.outcome.badAfterWindow++
	}
	server := live[s.rand.IntN(len(live))]
	s.sequence++
	id, incarnation := s.sequence, s.servers[server].incarnation
	retry := func(now time.Duration) {
		if s.returning && attempt < 2 {
			s.send(gateway, parts, bad, attempt+1, now)
		}
	}
	s.servers[server].sends[id] = send{gateway: gateway, parts: parts, started: now, retry: retry}
	if bad {
		s.after(now+prefillTime, func(now time.Duration) {
			if s.servers[server].incarnation != incarnation {
				return
			}
			s.outcome.crashes++
			if s.returning && s.outcome.crashes == 3 || !s.returning && s.outcome.crashes == 5 {
				s.last = now
			}
			s.crash(server, now)
		})
		return
	}
	duration := prefillTime
	if !s.returning {
		duration += answerDuration
	}
	s.after(now+duration, func(now time.Duration) {
		if s.servers[server].incarnation != incarnation {
			return
		}
		delete(s.servers[server].sends, id)
		s.do(gateway, s.lists[gateway].RecordAnswer("s", parts, clockAt(now)), now)
	})
}

func simulate(sc scenario, seed uint64) outcome {
	s := &simulation{scenario: sc, rand: rand.New(rand.NewPCG(seed, 3))}
	for range sc.gateways {
		s.lists = append(s.lists, quarantine.New(quarantine.Defaults()))
	}
	for range sc.replicas {
		s.servers = append(s.servers, simulatedReplica{sends: map[int]send{}})
	}
	arrivals := func(rate float64, from time.Duration, bad bool) {
		if rate == 0 {
			return
		}
		for at := from; at < simulatedTime; at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)) {
			s.after(at, func(now time.Duration) { s.request(bad, now) })
		}
	}
	arrivals(sc.soundPerSecond, 0, false)
	arrivals(sc.badPerSecond, 8*time.Second, true)
	for at := sc.powerLoss; sc.powerLoss > 0 && at < simulatedTime; at += sc.powerLoss {
		s.after(at, func(now time.Duration) {
			for i := range s.servers {
				if i%3 == 0 && !s.servers[i].down {
					s.crash(i, now)
				}
			}
		})
	}
	for at := time.Duration(0); at < simulatedTime; at += stepInterval {
		s.after(at, func(now time.Duration) {
			for i, l := range s.lists {
				s.do(i, l.Step(clockAt(now)), now)
			}
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		e.run(e.at)
	}
	for i, l := range s.lists {
		for _, p := range l.Parts() {
			if p.ID != "bad" && p.ID != quarantine.RequestID("bad") {
				s.outcome.soundQuarantine = append(s.outcome.soundQuarantine, fmt.Sprint(i, ":", p.ID))
			}
		}
	}
	return s.outcome
}

// Guards against a fleet whose replicas crash one after the other because each
// gateway sends requests with the same part to the next replica.
var _ = Describe("requests that crash one replica after the other", func() {
	DescribeTable("are no longer sent, and sound ones are",
		func(sc scenario) {
			for seed := range uint64(12) {
				o := simulate(sc, seed+1)
				text := fmt.Sprintf("seed %d: %+v", seed+1, o)
				GinkgoWriter.Println(text)
				Expect(o.badAfterWindow).To(BeNumerically("<=", 3), text)
				Expect(o.soundBlocked*100).To(BeNumerically("<=", o.soundSent), text)
				Expect(o.soundQuarantine).To(BeEmpty(), text)
			}
		},
		Entry("5 gateways, 9 replicas", scenario{gateways: 5, replicas: 9, badPerSecond: 4, soundPerSecond: 60, firstParts: 8, sessions: 140}),
		Entry("5 gateways, 9 replicas, one first part and few requests", scenario{gateways: 5, replicas: 9, badPerSecond: 4, soundPerSecond: 8, firstParts: 1, sessions: 140}),
		Entry("a request with the part now and then", scenario{gateways: 5, replicas: 9, badPerSecond: 0.4, soundPerSecond: 60, firstParts: 8, sessions: 140}),
		Entry("many requests with the part", scenario{gateways: 5, replicas: 9, badPerSecond: 40, soundPerSecond: 60, firstParts: 8, sessions: 140}),
		Entry("half of the messages between gateways are lost", scenario{gateways: 5, replicas: 9, badPerSecond: 4, soundPerSecond: 60, firstParts: 8, sessions: 140, loss: 0.5}),
		Entry("60 gateways, 120 replicas", scenario{gateways: 60, replicas: 120, badPerSecond: 20, soundPerSecond: 300, firstParts: 8, sessions: 600}),
		Entry("300 gateways, 600 replicas", scenario{gateways: 300, replicas: 600, badPerSecond: 20, soundPerSecond: 200, firstParts: 8, sessions: 600, loss: 0.68}),
		Entry("a third of the replicas lose power every 5 s", scenario{gateways: 5, replicas: 9, soundPerSecond: 60, firstParts: 8, sessions: 140, powerLoss: 5 * time.Second}),
		Entry("a third of the replicas lose power every 5 s, with the part", scenario{gateways: 5, replicas: 9, badPerSecond: 4, soundPerSecond: 60, firstParts: 8, sessions: 140, powerLoss: 5 * time.Second}),
	)
})

// Guards against one request that crashes all replicas of a service because it comes
// again at any gateway, and against sound requests that are taken for it.
var _ = Describe("a request that comes again", func() {
	DescribeTable("is no longer sent after it has crashed three replicas, and sound ones are",
		func(sc scenario) {
			sc.returning = true
			for seed := range uint64(12) {
				o := simulate(sc, seed+1)
				text := fmt.Sprintf("seed %d: %+v", seed+1, o)
				GinkgoWriter.Println(text)
				Expect(o.badAfterWindow).To(BeNumerically("<=", 3), text)
				Expect(o.soundBlocked*100).To(BeNumerically("<=", o.soundSent), text)
				Expect(o.soundQuarantine).To(BeEmpty(), text)
			}
		},
		Entry("5 gateways, 3 replicas", scenario{gateways: 5, replicas: 3, badPerSecond: 4, soundPerSecond: 23, firstParts: 1, sessions: 10_000}),
		Entry("sound requests that come again too", scenario{gateways: 5, replicas: 3, badPerSecond: 4, soundPerSecond: 23, firstParts: 1, sessions: 10}),
		Entry("now and then", scenario{gateways: 5, replicas: 3, badPerSecond: 0.4, soundPerSecond: 23, firstParts: 1, sessions: 10}),
		Entry("many times a second", scenario{gateways: 5, replicas: 9, badPerSecond: 40, soundPerSecond: 60, firstParts: 1, sessions: 100}),
		Entry("half of the messages between gateways are lost", scenario{gateways: 5, replicas: 3, badPerSecond: 4, soundPerSecond: 23, firstParts: 1, sessions: 100, loss: 0.5}),
		Entry("300 gateways", scenario{gateways: 300, replicas: 9, badPerSecond: 20, soundPerSecond: 100, firstParts: 1, sessions: 100, loss: 0.68}),
		Entry("none, but a third of the replicas lose power every 5 s", scenario{gateways: 5, replicas: 3, soundPerSecond: 23, firstParts: 1, sessions: 10, powerLoss: 5 * time.Second}),
		Entry("with power losses", scenario{gateways: 5, replicas: 9, badPerSecond: 4, soundPerSecond: 60, firstParts: 1, sessions: 10, powerLoss: 5 * time.Second}),
	)
})
