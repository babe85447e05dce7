package loadreplay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// OutcomeCounts counts the outcomes of some requests.
type OutcomeCounts struct {
	Total, OnTime, Late, Refused, Failed int
}

// Result is the outcome of a replay.
type Result struct {
	Pattern             string
	Policy              string
	Overall             OutcomeCounts
	ByKind              map[string]OutcomeCounts
	FirstEvent          [3]time.Duration // time to the first event at p50, p95 and p99
	RecomputedShare     float64          // tokens of shared parts that had been sent to some replica before, relative to the prefilled tokens
	NeedlessRefusals    int              // refusals while a replica had a free slot
	SentInPause         int              // requests that reached a replica later than 0.5 s after it had asked their gateway for a pause
	WorstWorkspaceRatio float64          // lowest served share of a workspace's requests, relative to the mean
	OnTimeBySecond      []float64        // on-time share of the requests of each second
}

func (c *OutcomeCounts) add(o outcome) {
	c.Total++
	switch o {
	case onTime:
		c.OnTime++
	case late:
		c.Late++
	case refused:
		c.Refused++
	default:
		c.Failed++
	}
}

// Shares returns the shares of the requests served on time, and at all.
func (c OutcomeCounts) Shares() (onTime, served float64) {
	n := float64(max(c.Total, 1))
	return float64(c.OnTime) / n, float64(c.OnTime+c.Late) / n
}

func (r *simulation) result(policy string) Result {
	res := Result{Pattern: r.pattern.Name, Policy: policy, ByKind: make(map[string]OutcomeCounts), NeedlessRefusals: r.needlessRefusals, SentInPause: r.sentInPause, WorstWorkspaceRatio: 1}
	byWorkspace := make(map[string]OutcomeCounts)
	var seconds []OutcomeCounts
	var firsts []time.Duration
	for _, rs := range r.requests {
		res.Overall.add(rs.outcome)
		for _, group := range []struct {
			counts map[string]OutcomeCounts
			name   string
		}{{res.ByKind, rs.request.Kind}, {byWorkspace, rs.request.Workspace}} {
			s := group.counts[group.name]
			s.add(rs.outcome)
			group.counts[group.name] = s
		}
		second := int(rs.request.Arrival / time.Second)
		for len(seconds) <= second {
			seconds = append(seconds, OutcomeCounts{})
		}
		seconds[second].add(rs.outcome)
		if rs.outcome == onTime || rs.outcome == late {
			firsts = append(firsts, rs.firstEventLatency)
		}
	}
	for _, s := range seconds {
		part, _ := s.Shares()
		res.OnTimeBySecond = append(res.OnTimeBySecond, part)
	}
	slices.Sort(firsts)
	for i, q := range []float64{0.5, 0.95, 0.99} {
		if n := len(firsts); n > 0 {
			res.FirstEvent[i] = firsts[min(int(q*float64(n)), n-1)]
		}
	}
	_, mean := res.Overall.Shares()
	for _, s := range byWorkspace {
		if _, part := s.Shares(); mean > 0 {
			res.WorstWorkspaceRatio = min(res.WorstWorkspaceRatio, part/mean)
		}
	}
	prefilled, recomputed := 0.0, 0.0
	for _, e := range r.engines {
		prefilled, recomputed = prefilled+e.prefilled, recomputed+e.recomputed
	}
	if prefilled > 0 {
		res.RecomputedShare = recomputed / prefilled
	}
	return res
}

// Write prints a table of results, with the on-time share of each second.
func Write(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "pattern\tpolicy\ton time\tserved\trefused\tfailed\tfirst event p50\tp95\tp99\trecomputed\trefused though free\tsent in pause\tworst workspace\ton time by kind\tby second")
	for _, r := range results {
		onTime, served := r.Overall.Shares()
		n := float64(max(r.Overall.Total, 1))
		var kinds []string
		for _, name := range slices.Sorted(maps.Keys(r.ByKind)) {
			p, _ := r.ByKind[name].Shares()
			kinds = append(kinds, fmt.Sprintf("%s %.2f", name, p))
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d ms\t%d ms\t%d ms\t%.3f\t%d\t%d\t%.2f\t%s\t%s\n", r.Pattern, r.Policy, onTime, served,
			float64(r.Overall.Refused)/n, float64(r.Overall.Failed)/n, r.FirstEvent[0].Milliseconds(), r.FirstEvent[1].Milliseconds(), r.FirstEvent[2].Milliseconds(),
			r.RecomputedShare, r.NeedlessRefusals, r.SentInPause, r.WorstWorkspaceRatio, strings.Join(kinds, ", "), bars(r.OnTimeBySecond))
	}
	return t.Flush()
}

// bars returns a sparkline of values from 0 to 1.
func bars(values []float64) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var b strings.Builder
	for _, v := range values {
		b.WriteRune(levels[min(int(v*float64(len(levels))), len(levels)-1)])
	}
	return b.String()
}
