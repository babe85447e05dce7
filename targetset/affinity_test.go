package targetset_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
	"briarreach/peer"
	"briarreach/targetset"
)

// simulation has uncoordinated entries that choose among the same targets, each
// with a prefix cache. Load reports and cache events reach the entries with a
// delay, and a share of the cache events is lost.
type simulation struct {
	entries, targets, prefixes, prefixBlocks int
	cacheBlocks                              int     // of each target
	skew                                     float64 // exponent of the Zipf distribution of prefixes; 0 is uniform
	reportEvery, reportDelay, eventDelay     time.Duration
	eventLoss                                float64
	rate                                     float64 // requests per second
	requests                                 int
	optimal                                  bool // choose with perfect knowledge
	options                                  []targetset.Option
}

// simulatedTarget has an LRU cache of prompt blocks.
type simulatedTarget struct {
	blocks     map[uint64]*list.Element
	order      *list.List // most recently used first
	running    int
	started    int
	runSeconds float64
}

// access returns the number of leading cached blocks and caches all blocks.
func (r *simulatedTarget) access(blocks []uint64, size int) (cached int, added, evicted []uint64) {
	cached = r.cachedPrefix(blocks)
	for _, b := range slices.Backward(blocks) {
		if e := r.blocks[b]; e != nil {
			r.order.MoveToFront(e)
			continue
		}
		r.blocks[b] = r.order.PushFront(b)
		added = append(added, b)
	}
	for r.order.Len() > size {
		b := r.order.Remove(r.order.Back()).(uint64)
		delete(r.blocks, b)
		evicted = append(evicted, b)
	}
	return cached, added, evicted
}

func (r *simulatedTarget) cachedPrefix(blocks []uint64) (n int) {
	for n < len(blocks) && r.blocks[blocks[n]] != nil {
		n++
	}
	return n
}

// eventQueue is a heap of the simulation's future events.
type eventQueue []event

type event struct {
	at     time.Duration
	action func()
}

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// run returns the share of prompt blocks that were cached, and the largest load
// of a target as a multiple of the mean, by number of requests and by their
// total duration. The first quarter of the requests only warms the caches.
func (s simulation) run(seed int64) (cached, imbalanceRequests, imbalanceLoad float64) {
	random := rand.New(rand.NewSource(seed))
	doc := &config.Document{Targets: map[string]config.Target{}}
	targets, names := map[string]*simulatedTarget{}, make([]string, s.targets)
	for i := range s.targets {
		names[i] = fmt.Sprintf("t%02d", i)
		doc.Targets[names[i]] = config.Target{Name: names[i], Model: "m", Version: "v1", MaxConcurrent: 32}
		targets[names[i]] = &simulatedTarget{blocks: map[uint64]*list.Element{}, order: list.New()}
	}
	pools := make([]*targetset.Pool, s.entries)
	for i := range pools {
		pools[i] = targetset.New(s.options...)
		pools[i].Update(doc)
	}
	pickPrefix := func() uint64 { return uint64(random.Intn(s.prefixes)) }
	if s.skew > 0 {
		pickPrefix = rand.NewZipf(random, s.skew, 1, uint64(s.prefixes-1)).Uint64
	}
	pending := &eventQueue{}
	var at time.Duration
	schedule := func(d time.Duration, action func()) { heap.Push(pending, event{at + d, action}) }
	var report func(name string)
	report = func(name string) {
		running := targets[name].running
		for _, p := range pools {
			schedule(s.reportDelay, func() {
				p.UpdateLoad(peer.LoadReport{Target: name, Running: running, MaxConcurrent: 32}, start.Add(at))
			})
		}
		schedule(s.reportEvery, func() { report(name) })
	}
	for _, name := range names {
		schedule(time.Duration(random.Int63n(int64(s.reportEvery))), func() { report(name) })
	}
	cachedBlocks, promptBlocks, arrived := 0, 0, 0
	var arrive func()
	arrive = func() {
		arrived++
		prompt := make([]uint64, s.prefixBlocks+1)
		prefix := pickPrefix()
		for i := range s.prefixBlocks {
			prompt[i] = (prefix+1)*0x9e3779b97f4a7c15 + uint64(i)*0xbf58476d1ce4e5b9
		}
		prompt[s.prefixBlocks] = random.Uint64() // the caller's own question
		p := pools[random.Intn(s.entries)]
		var name string
		if s.optimal {
			name = s.chooseOptimal(targets, names, prompt)
		} else {
			c, err := p.Choose(targetset.Request{Subject: "m", Version: "v1", PrefixHashes: prompt, ReservedTokens: 1}, start.Add(at), random)
			if err != nil {
				panic(err)
			}
			name = c.Target.Name
		}
		p.Begin(name, 1)
		r := targets[name]
		hit, added, evicted := r.access(prompt, s.cacheBlocks)
		r.running++
		took := time.Duration((0.2 + 0.8*random.Float64() + 0.05*float64(len(prompt)-hit)) * float64(time.Second))
		if arrived > s.requests/4 {
			cachedBlocks, promptBlocks = cachedBlocks+hit, promptBlocks+len(prompt)
			r.started++
			r.runSeconds += took.Seconds()
		}
		for _, q := range pools {
			if random.Float64() >= s.eventLoss {
				schedule(s.eventDelay, func() { q.AddCached(name, added, start.Add(at)) })
			}
			if random.Float64() >= s.eventLoss {
				schedule(s.eventDelay, func() { q.RemoveCached(name, evicted, start.Add(at)) })
			}
		}
		schedule(took, func() {
			r.running--
			p.End(name, 1, targetset.Succeeded, took, start.Add(at))
		})
		if arrived < s.requests {
			schedule(time.Duration(random.ExpFloat64()/s.rate*float64(time.Second)), arrive)
		}
	}
	schedule(time.Second, arrive)
	for pending.Len() > 0 && arrived < s.requests {
		e := heap.Pop(pending).(event)
		at = e.at
		e.action()
	}
	most, sum, mostLoad, sumLoad := 0, 0, 0.0, 0.0
	for _, r := range targets {
		most, sum = max(most, r.started), sum+r.started
		mostLoad, sumLoad = max(mostLoad, r.runSeconds), sumLoad+r.runSeconds
	}
	n := float64(s.targets)
	return float64(cachedBlocks) / float64(promptBlocks), float64(most) * n / float64(sum), mostLoad * n / sumLoad
}

// chooseOptimal chooses with perfect and instant knowledge of caches and loads:
// the most cached blocks within the same load bound, then the least load.
func (s simulation) chooseOptimal(targets map[string]*simulatedTarget, names []string, prompt []uint64) string {
	total := 0
	for _, r := range targets {
		total += r.running
	}
	bound := 1.15 * float64(total+1) / float64(s.targets)
	best := ""
	for _, name := range names {
		r := targets[name]
		if float64(r.running) >= bound {
			continue
		}
		if best == "" || r.cachedPrefix(prompt) > targets[best].cachedPrefix(prompt) ||
			r.cachedPrefix(prompt) == targets[best].cachedPrefix(prompt) && r.running < targets[best].running {
			best = name
		}
	}
	return best
}

var _ = Describe("Prefix affinity", func() {
	// Guards against prompts that are recomputed at every target, and against
	// overload of the targets that cache the popular prefixes.
	DescribeTable("has cache hits and keeps the load even", func(skew, loss, rate float64) {
		s := simulation{
			entries: 3, targets: 20, prefixes: 600, prefixBlocks: 7, cacheBlocks: 600, skew: skew, rate: rate, requests: 12_000,
			reportEvery: 100 * time.Millisecond, reportDelay: 50 * time.Millisecond, eventDelay: 3 * time.Second, eventLoss: loss,
		}
		withAffinity, requests, load := s.run(GinkgoRandomSeed())
		s.options = []targetset.Option{targetset.WithoutAffinity()}
		leastLoaded, _, leastLoad := s.run(GinkgoRandomSeed())
		s.optimal = true
		optimal, _, optimalLoad := s.run(GinkgoRandomSeed())
		AddReportEntry("prefix affinity", fmt.Sprintf(
			"cached: affinity %.3f, least loaded %.3f, oracle %.3f; load max/mean: affinity %.3f (requests %.3f), least loaded %.3f, oracle %.3f",
			withAffinity, leastLoaded, optimal, load, requests, leastLoad, optimalLoad))
		Expect(load).To(BeNumerically("<=", 1.25))
		Expect(requests).To(BeNumerically("<=", 1.25))
		Expect(withAffinity).To(BeNumerically(">", leastLoaded))
	},
		Entry("skewed", 1.1, 0.0, 200.0), Entry("skewed, a third of the events lost", 1.1, 0.33, 200.0),
		Entry("uniform", 0.0, 0.0, 200.0), Entry("uniform, a third of the events lost", 0.0, 0.33, 200.0),
		Entry("skewed, at a low load", 1.1, 0.0, 30.0), Entry("skewed, at a high load", 1.1, 0.0, 600.0),
	)
})
