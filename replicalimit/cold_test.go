package replicalimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/coldreplica"
	"briarreach/replica"
	"briarreach/replicalimit"
)

// coldScenario is a fleet that would send all of its requests to one cold replica.
type coldScenario struct {
	processes int
	perSecond float64       // requests per second that the replica takes
	demand    float64       // requests per second of each process
	idle      time.Duration // time without requests before the load
	unknown   int           // processes that never learn of the others
	cutOff    int           // processes that know the others only as of the start
	restarts  time.Duration // time between the starts of new processes in the place of others; 0 for none
	allStart  bool          // whether all processes have just started and learn of each other one by one
}

const (
	coldFor     = 40 * time.Second
	learnAfter  = 300 * time.Millisecond // from the start of a process until it has read the others' rows
	settleAfter = 4 * time.Second
	maxTravel   = 300 * time.Millisecond // from the decision to send until the request arrives
)

var platformBound = coldreplica.Bound{Overshoot: 1.5, Slack: 5}

// simulateCold returns the most requests that arrive within a second, and the mean per
// second once the processes have settled.
func simulateCold(sc coldScenario, seed uint64) (most int, used float64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	rates := map[replica.Incarnation]replicalimit.Rate{limited: {PerSecond: sc.perSecond, Until: at(time.Hour)}}
	type process struct {
		name    string
		started time.Duration
		limits  *replicalimit.Limits
	}
	processes := make([]*process, sc.processes)
	start := func(i int, name string, now time.Duration) {
		l := replicalimit.New(name, 64, rnd, replicalimit.WithSharers(platformBound.Sharers), replicalimit.WithCaution())
		processes[i] = &process{name: name, started: now, limits: l}
		l.SetRates(rates, at(now))
	}
	tell := func(i int, now time.Duration) {
		var others []string
		for j, p := range processes {
			if j != i && (!sc.allStart || now-p.started > settleAfter/2 || j < i) {
				others = append(others, p.name)
			}
		}
		processes[i].limits.SetProcesses(others, at(now))
	}
	settled := -settleAfter - time.Second
	if sc.allStart {
		settled = 0
	}
	for i := range processes {
		start(i, fmt.Sprint("p", i), settled)
	}
	if !sc.allStart {
		for i := range processes {
			if i >= sc.unknown {
				tell(i, 0)
				processes[i].limits.EndCaution(at(0))
			}
		}
	}
	var arrivals []time.Duration
	sent := 0
	for now := time.Duration(0); now < coldFor; now += step {
		if sc.restarts > 0 && now%sc.restarts == 0 {
			i := sc.unknown + sc.cutOff + rnd.IntN(sc.processes-sc.unknown-sc.cutOff)
			start(i, processes[i].name+"+", now)
		}
		if now%time.Second == 0 || sc.allStart {
			for i, p := range processes {
				age := now - p.started
				if i < sc.unknown || i < sc.unknown+sc.cutOff && now > 0 || age < learnAfter+time.Duration(i%50)*step {
					continue
				}
				if now%(2*time.Second) == 0 && sc.restarts > 0 || age < settleAfter {
					tell(i, now) // as often as the holders' rows are read
				}
				if age >= settleAfter {
					p.limits.EndCaution(at(now))
				}
			}
		}
		if now < sc.idle {
			continue
		}
		for _, p := range processes {
			if rnd.Float64() < sc.demand*step.Seconds() && p.limits.Take(limited, at(now)) {
				arrivals = append(arrivals, now+time.Duration(rnd.Int64N(int64(maxTravel))))
				if now >= coldFor/2 {
					sent++
				}
			}
		}
	}
	slices.Sort(arrivals)
	first := 0
	for i, t := range arrivals {
		for t-arrivals[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(sent) / (coldFor / 2).Seconds()
}

// Guards against a cold replica that each process of a fleet sends what it takes from all
// of them, or that gets at once what they have saved up.
var _ = DescribeTable("a cold replica gets no more in any second than the bound, and is used",
	func(sc coldScenario) {
		takes := []float64{1, 4, 10, 40}
		if sc.processes > 100 {
			takes = []float64{4, 40} // takes seconds each
		}
		for _, perSecond := range takes {
			sc.perSecond = perSecond
			for seed := range uint64(2) {
				most, used := simulateCold(sc, seed+1)
				text := fmt.Sprintf("%g/s, seed %d: %d of %.1f in a second, %.2f/s", perSecond, seed+1, most, 1.5*perSecond+5, used)
				GinkgoWriter.Println(text)
				Expect(float64(most)).To(BeNumerically("<=", 1.5*perSecond+5), text)
				Expect(used).To(BeNumerically(">=", min(perSecond, sc.demand*3)/2), text)
			}
		}
	},
	Entry("one process", coldScenario{processes: 1, demand: 60}),
	Entry("5 processes", coldScenario{processes: 5, demand: 20}),
	Entry("31 processes that have saved up requests", coldScenario{processes: 31, demand: 20, idle: 8 * time.Second}),
	Entry("31 processes, of which 2 never learn of the others", coldScenario{processes: 31, demand: 20, unknown: 2}),
	Entry("31 processes, of which 10 are cut off and others are replaced", coldScenario{processes: 31, demand: 20, cutOff: 10, restarts: 5 * time.Second}),
	Entry("31 processes that all start at once", coldScenario{processes: 31, demand: 20, allStart: true}),
	Entry("330 processes that have saved up requests", coldScenario{processes: 330, demand: 10, idle: 8 * time.Second}),
	Entry("330 processes, of which 100 are cut off and others are replaced", coldScenario{processes: 330, demand: 10, cutOff: 100, restarts: 5 * time.Second}),
)

var _ = Describe("the rates of cold replicas", func() {
	one := func(from, until time.Duration) map[replica.Incarnation]replicalimit.Rate {
		return map[replica.Incarnation]replicalimit.Rate{limited: {PerSecond: 10, From: at(from), Until: at(until)}}
	}
	newLimits := func() *replicalimit.Limits {
		l := replicalimit.New("a", 1, rand.New(rand.NewPCG(1, 1)), replicalimit.WithSharers(platformBound.Sharers))
		l.SetProcesses(nil, at(0))
		return l
	}

	// Guards against a replica that stays limited after it is warm.
	It("end when the replica is warm, by its entry or at the end of its period", func() {
		l := newLimits()
		began, ended := l.SetRates(one(0, time.Minute), at(0))
		Expect([]int{len(began), len(ended), l.Count(at(0))}).To(Equal([]int{1, 0, 1}))
		began, ended = l.SetRates(one(0, 2*time.Second), at(time.Second))
		Expect([]int{len(began), len(ended)}).To(Equal([]int{0, 0}))
		take := func(d time.Duration) (n int) {
			for range 50 {
				if l.Take(limited, at(d)) {
					n++
				}
			}
			return n
		}
		Expect(take(1500 * time.Millisecond)).To(Equal(1))
		Expect(take(2001 * time.Millisecond)).To(Equal(50))
		Expect(l.Count(at(3 * time.Second))).To(BeZero())
		l.SetRates(one(0, time.Minute), at(3*time.Second))
		_, ended = l.SetRates(nil, at(4*time.Second))
		Expect(ended).To(HaveLen(1))
		Expect(take(4 * time.Second)).To(Equal(50))
	})

	It("allow nothing before their period, and say how long that is", func() {
		l := newLimits()
		l.SetRates(one(time.Second, time.Minute), at(0))
		wait, allowed := l.Allows(limited, at(0))
		Expect(allowed).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 1100*time.Millisecond, 10*time.Millisecond))
		Expect(l.Take(limited, at(1050*time.Millisecond))).To(BeFalse())
		Expect(l.Take(limited, at(1150*time.Millisecond))).To(BeTrue())
	})
})
