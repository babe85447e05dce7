package move_test

import (
	"flag"
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"sync"
	"time"

	prettytable "github.com/jedib0t/go-pretty/v6/table"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	seeds   = flag.Int("move.seeds", 4, "simulated moves for each scenario")
	compare = flag.Bool("move.compare", false, "print the statistics, also those of a fixed threshold")
	only    = flag.String("move.only", "", "the one scenario to run")
)

var scenarios = []scenario{
	{name: "good"},
	{name: "good, platform degraded", platformDegraded: true},
	{name: "good, controller replaced after a pause", controllerReplaced: true},
	{name: "good, table out early", tableOutEarly: true},
	{name: "good, a target fails until it is ejected", targetFails: true},
	{name: "good, one entry cut off", cutOff: true},
	{name: "good, clocks a second apart", clockSkew: true},
	{name: "good, table out across the deadline", tableOutAtDeadline: true},
	{name: "fails always", bad: true, failRate: 1},
	{name: "fails 30 %", bad: true, failRate: 0.3},
	{name: "fails 5 %", bad: true, failRate: 0.05},
	{name: "fails 30 % after 10 minutes", bad: true, failRate: 0.3, faultAfter: 10 * time.Minute},
	{name: "fails 30 % in the last third", bad: true, failRate: 0.3, faultFromFraction: 0.66},
	{name: "fails always, just before the finish", bad: true, failRate: 1, faultFromFraction: 0.77},
	{name: "fails 30 % just before the finish", bad: true, failRate: 0.3, faultFromFraction: 0.77},
	{name: "fails 30 % on one route in the last third", bad: true, failRate: 0.3, faultFromFraction: 0.6, oneRoute: true},
	{name: "slow 2x in the last third", bad: true, slowFactor: 2, faultFromFraction: 0.6},
	{name: "fails 30 % above a load", bad: true, failRate: 0.3, aboveLoad: true},
	{name: "fails 30 % on one of five routes", bad: true, failRate: 0.3, oneRoute: true},
	{name: "slow 1.5x", bad: true, slowFactor: 1.5},
	{name: "slow 2x", bad: true, slowFactor: 2},
	{name: "slow 4x", bad: true, slowFactor: 4},
	{name: "slow 2x on one of five routes", bad: true, slowFactor: 2, oneRoute: true},
	{name: "slow 2x, platform degraded", bad: true, slowFactor: 2, platformDegraded: true},
	{name: "fails 30 %, platform degraded", bad: true, failRate: 0.3, platformDegraded: true},
	{name: "fails 30 %, controller replaced after a pause", bad: true, failRate: 0.3, faultAfter: 15 * time.Minute, controllerReplaced: true},
	{name: "fails 30 %, table out early", bad: true, failRate: 0.3, faultAfter: 10 * time.Minute, tableOutEarly: true},
	{name: "fails 30 %, one entry cut off", bad: true, failRate: 0.3, cutOff: true},
	{name: "fails 30 %, clocks a second apart", bad: true, failRate: 0.3, clockSkew: true},
}

// statistics are those of one scenario over all seeds.
type statistics struct {
	runs, onTime, finished, rolledBack, late int
	exposed, caused                          []float64 // shares of all requests of the move
	detectionDelays                          []time.Duration
	worstSeed                                int64 // seed with the largest exposure
}

func measure(s scenario, count int, newDecider func() decider) statistics {
	results := make([]outcome, count)
	var group sync.WaitGroup
	concurrency := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i := range count {
		group.Add(1)
		concurrency <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-concurrency }()
			seed := int64(i + 1)
			var alternative decider
			if newDecider != nil {
				alternative = newDecider()
			}
			results[i] = simulate(s, randomTraffic(rand.New(rand.NewSource(seed))), seed, alternative)
		}()
	}
	group.Wait()
	stats := statistics{runs: count}
	maxExposed := -1.0
	for i, r := range results {
		if r.onTime {
			stats.onTime++
		}
		if r.finished {
			stats.finished++
		}
		if r.rolledBack {
			stats.rolledBack++
			stats.detectionDelays = append(stats.detectionDelays, r.detectionDelay)
		}
		stats.late += r.late
		exposed := float64(r.exposed) / float64(r.requests)
		if exposed > maxExposed {
			maxExposed, stats.worstSeed = exposed, int64(i+1)
		}
		stats.exposed = append(stats.exposed, exposed)
		stats.caused = append(stats.caused, float64(r.caused)/float64(r.requests))
	}
	slices.Sort(stats.exposed)
	slices.Sort(stats.caused)
	slices.Sort(stats.detectionDelays)
	return stats
}

func percentile[T float64 | time.Duration](sorted []T, p float64) T {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func percent(v float64) string { return fmt.Sprintf("%.2f", 100*v) }

func (s statistics) row() prettytable.Row {
	runs := float64(s.runs)
	return prettytable.Row{
		percent(float64(s.onTime) / runs), percent(float64(s.finished) / runs), percent(float64(s.rolledBack) / runs),
		percent(mean(s.exposed)), percent(percentile(s.exposed, 0.99)), percent(mean(s.caused)), percent(percentile(s.caused, 0.99)),
		s.late, percentile(s.detectionDelays, 0.5).Round(time.Second), percentile(s.detectionDelays, 0.99).Round(time.Second), s.worstSeed,
	}
}

var _ = Describe("simulated moves", func() {
	entries := []any{func(s scenario) {
		if *only != "" && s.name != *only {
			Skip("another scenario is selected")
		}
		stats := measure(s, *seeds, nil)
		if *compare {
			printed.AppendRow(append(prettytable.Row{s.name, "sequential"}, stats.row()...))
			printed.AppendRow(append(prettytable.Row{"", "threshold"}, measure(s, *seeds, func() decider { return &fixedThreshold{} }).row()...))
		}
		runs := float64(stats.runs)
		if s.bad {
			Expect(float64(stats.rolledBack)/runs).To(BeNumerically(">=", 0.99), "bad versions rolled back")
			Expect(percentile(stats.exposed, 0.99)).To(BeNumerically("<=", 0.05), "traffic of a bad version, seed %d", stats.worstSeed)
			Expect(percentile(stats.caused, 0.99)).To(BeNumerically("<=", 0.01), "requests that fail because of the bad version")
			Expect(stats.late).To(BeZero(), "requests to a bad version 3 s after its detection")
			return
		}
		Expect(float64(stats.rolledBack)/runs).To(BeNumerically("<=", 0.01), "good versions rolled back")
		if s.tableOutAtDeadline {
			// Nothing can be written before the deadline.
			Expect(float64(stats.finished)/runs).To(BeNumerically(">=", 0.99), "good versions finished")
			return
		}
		Expect(float64(stats.onTime)/runs).To(BeNumerically(">=", 0.99), "good versions finished by the deadline")
	}}
	for _, s := range scenarios {
		entries = append(entries, Entry(s.name, s))
	}
	DescribeTable("keep the bounds", entries...)
})

// printed is the table of -move.compare.
var printed = func() prettytable.Writer {
	t := prettytable.NewWriter()
	t.AppendHeader(prettytable.Row{"scenario", "decider", "on time %", "finished %", "rolled back %", "exposed % mean", "p99", "caused % mean", "p99", "late", "detected p50", "p99", "worst seed"})
	return t
}()

var _ = AfterSuite(func() {
	if *compare {
		fmt.Println(printed.Render())
	}
})
