package replicalimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/replica"
	"briarreach/replicalimit"
)

func TestReplicaLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replicalimit")
}

var limited = replica.Incarnation{ID: "r"}

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// scenario is a fleet that would send all of its requests to one replica.
type scenario struct {
	processes int
	perSecond float64       // limit that the replica states from the start
	demand    float64       // requests per second of each process
	peers     int           // processes that each process sends notices to
	loss      float64       // share of the notices that are lost
	idle      time.Duration // time without requests before the load
}

const (
	limitedFor    = 40 * time.Second
	simulatedTime = 60 * time.Second
	step          = 10 * time.Millisecond
	answerTime    = 100 * time.Millisecond
	window        = 4 * time.Second        // of the platform's bound
	contactWindow = 3 * time.Second        // from the first statement until the bound holds
	knownBefore   = 500 * time.Millisecond // for how long a process must have known to count
)

// allowed is the platform's bound of the requests in a window.
func allowed(perSecond float64) float64 { return 1.5*perSecond*window.Seconds() + 5 }

type outcome struct {
	most  int     // requests within a window by processes that knew the limit
	used  float64 // requests per second while the bound held
	knows int     // processes that still keep the limit 20 s after its end
}

func simulate(sc scenario, seed uint64) outcome {
	rnd := rand.New(rand.NewPCG(seed, 5))
	processes, informed := make([]*replicalimit.Limits, sc.processes), make([]time.Duration, sc.processes)
	peers := make([][]int, sc.processes)
	for i := range processes {
		processes[i] = replicalimit.New(fmt.Sprint("p", i), 8, rnd)
		var others []string
		for j := range processes {
			if j != i {
				others = append(others, fmt.Sprint("p", j))
			}
		}
		processes[i].SetProcesses(others, at(0))
		informed[i] = -1
		for _, j := range rnd.Perm(sc.processes)[:min(sc.peers, sc.processes)] {
			if j != i {
				peers[i] = append(peers[i], j)
			}
		}
	}
	type response struct {
		process      int
		sentAt, when time.Duration
	}
	var pending []response
	var counted []time.Duration
	var o outcome
	// notify sends a notice to the peers of a process, which pass on that a limit has
	// ended.
	var notify func(from int, n replicalimit.Notice, now time.Duration)
	notify = func(from int, n replicalimit.Notice, now time.Duration) {
		for _, j := range peers[from] {
			if rnd.Float64() >= sc.loss && processes[j].HandleNotice(n, at(now)) && !n.Stated {
				notify(j, n, now)
			}
		}
	}
	for now := time.Duration(0); now < simulatedTime; now += step {
		for len(pending) > 0 && pending[0].when <= now {
			x := pending[0]
			pending = pending[1:]
			stated := replicalimit.Limit{Stated: x.when < limitedFor, PerSecond: sc.perSecond}
			if stated.Stated && informed[x.process] < 0 {
				informed[x.process] = now
			}
			notice, _ := processes[x.process].Record(limited, stated, at(x.sentAt), at(now))
			if notice != nil {
				notify(x.process, *notice, now)
			}
		}
		if now > time.Second && now < time.Second+sc.idle {
			continue
		}
		for i, l := range processes {
			if rnd.Float64() >= sc.demand*step.Seconds() || !l.Take(limited, at(now)) {
				continue
			}
			pending = append(pending, response{process: i, sentAt: now, when: now + answerTime})
			if now >= contactWindow && now < limitedFor && informed[i] >= 0 && now-informed[i] >= knownBefore {
				counted = append(counted, now)
			}
		}
	}
	for i, first := range counted {
		n := 0
		for _, t := range counted[i:] {
			if t-first < window {
				n++
			}
		}
		o.most = max(o.most, n)
	}
	o.used = float64(len(counted)) / (limitedFor - contactWindow - sc.idle).Seconds()
	for _, l := range processes {
		if l.IsLimited(limited) {
			o.knows++
		}
	}
	return o
}

// Guards against a replica in need that each process of a fleet sends as much as it
// takes from all of them.
var _ = Describe("a replica that states a limit", func() {
	DescribeTable("gets no more from all processes, and is used",
		func(sc scenario) {
			for seed := range uint64(8) {
				o := simulate(sc, seed+1)
				text := fmt.Sprintf("seed %d: %+v, %.0f allowed", seed+1, o, allowed(sc.perSecond))
				GinkgoWriter.Println(text)
				Expect(o.most).To(BeNumerically("<=", allowed(sc.perSecond)), text)
				if sc.perSecond >= 0.5 {
					Expect(o.used).To(BeNumerically(">=", sc.perSecond/2), text)
				}
			}
		},
		Entry("one process", scenario{processes: 1, perSecond: 2.3, demand: 20}),
		Entry("5 processes", scenario{processes: 5, perSecond: 2.3, demand: 12, peers: 4}),
		Entry("5 processes, a small limit", scenario{processes: 5, perSecond: 0.5, demand: 12, peers: 4}),
		Entry("5 processes, a limit of 0", scenario{processes: 5, perSecond: 0, demand: 12, peers: 4}),
		Entry("5 processes that don't reach each other", scenario{processes: 5, perSecond: 1.7, demand: 12}),
		Entry("68 processes", scenario{processes: 68, perSecond: 2.3, demand: 10, peers: 67}),
		Entry("68 processes, a large limit", scenario{processes: 68, perSecond: 40, demand: 10, peers: 67}),
		Entry("300 processes, notices to some of them, many lost", scenario{processes: 300, perSecond: 2.3, demand: 10, peers: 96, loss: 0.3}),
		Entry("300 processes that have saved up requests", scenario{processes: 300, perSecond: 40, demand: 10, peers: 96, idle: 20 * time.Second}),
	)

	// Guards against a replica that gets nothing for minutes after it has recovered.
	DescribeTable("gets its share again soon after it states none",
		func(sc scenario) {
			for seed := range uint64(6) {
				o := simulate(sc, seed+1)
				Expect(o.knows).To(BeNumerically("<=", sc.processes/20), "%+v", o)
			}
		},
		Entry("68 processes", scenario{processes: 68, perSecond: 2.3, demand: 10, peers: 67, loss: 0.1}),
		Entry("300 processes, notices to some of them, many lost", scenario{processes: 300, perSecond: 2.3, demand: 10, peers: 96, loss: 0.3}),
	)

	DescribeTable("ignores what can't be a limit",
		func(perSecond float64) {
			l := replicalimit.New("a", 1, rand.New(rand.NewPCG(1, 1)))
			_, changed := l.Record(limited, replicalimit.Limit{Stated: true, PerSecond: perSecond}, at(0), at(0))
			Expect(changed).To(BeFalse())
			Expect(l.HandleNotice(replicalimit.Notice{Replica: limited, Stated: true, PerSecond: perSecond}, at(0))).To(BeFalse())
			Expect(l.Take(limited, at(0))).To(BeTrue())
		},
		Entry("not a number", math.NaN()),
		Entry("negative", -1.0),
		Entry("infinite", math.Inf(1)),
	)

	// Guards against a response that was sent before the replica stated its limit and
	// arrives after it.
	It("keeps its limit when an older response states none", func() {
		l := replicalimit.New("a", 1, rand.New(rand.NewPCG(1, 1)))
		l.Record(limited, replicalimit.Limit{Stated: true, PerSecond: 1}, at(0), at(time.Second))
		_, changed := l.Record(limited, replicalimit.Limit{}, at(500*time.Millisecond), at(1100*time.Millisecond))
		Expect(changed).To(BeFalse())
		Expect(l.IsLimited(limited)).To(BeTrue())
		_, changed = l.Record(limited, replicalimit.Limit{}, at(1200*time.Millisecond), at(1300*time.Millisecond))
		Expect(changed).To(BeTrue())
		Expect(l.IsLimited(limited)).To(BeFalse())
	})

	// Guards against callers that are sent away for longer than the replica needs.
	It("is waited for as long as the next request of any process takes", func() {
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprint("p", i))
		}
		sharing := 0
		for i, name := range names {
			l := replicalimit.New(name, 1, rand.New(rand.NewPCG(1, 1)))
			l.SetProcesses(append(append([]string(nil), names[:i]...), names[i+1:]...), at(0))
			l.Record(limited, replicalimit.Limit{Stated: true, PerSecond: 2}, at(0), at(0))
			wait, allowed := l.Allows(limited, at(0))
			Expect(allowed).To(BeFalse())
			Expect(wait).To(BeNumerically("<=", 10*time.Second))
			if wait != 501*time.Millisecond {
				sharing++
			}
		}
		Expect(sharing).To(Equal(2*2 + 3))
	})

	It("is forgotten when nothing has stated it for minutes", func() {
		l := replicalimit.New("a", 1, rand.New(rand.NewPCG(1, 1)))
		l.Record(limited, replicalimit.Limit{Stated: true, PerSecond: 1}, at(0), at(0))
		l.DropOld(at(time.Minute))
		Expect(l.IsLimited(limited)).To(BeTrue())
		l.DropOld(at(6 * time.Minute))
		Expect(l.IsLimited(limited)).To(BeFalse())
	})
})
