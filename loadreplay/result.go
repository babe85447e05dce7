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
	Total       int `json:"total"`
	OnTime      int `json:"on_time"`
	Late        int `json:"late"`
	LateByPause int `json:"late_by_pause"` // of Late, those whose first event was on time
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
}

// Result is the outcome of a replay.
type Result struct {
	Pattern             string                   `json:"pattern"`
	Policy              string                   `json:"policy"`
	Seed                uint64                   `json:"seed"`
	Overall             OutcomeCounts            `json:"overall"`
	ByKind              map[string]OutcomeCounts `json:"by_kind"`
	FirstEvent          [3]time.Duration         `json:"first_event_ns"`        // time to the first event at p50, p95 and p99
	RecomputedTokens    float64                  `json:"recomputed_tokens"`     // of shared parts that had been sent to some replica before
	RecomputedShare     float64                  `json:"recomputed_share"`      // the same, relative to the prefilled tokens
	NeedlessRefusals    int                      `json:"needless_refusals"`     // refusals while a replica had a free slot
	SentInPause         int                      `json:"sent_in_pause"`         // requests that reached a replica later than 0.5 s after it had asked their gateway for a pause
	WorstWorkspaceRatio float64                  `json:"worst_workspace_ratio"` // lowest served share of a workspace's requests, relative to the mean
	SlowestLoad         float64                  `json:"slowest_load"`          // share of the tokens that went to the slowest replicas, relative to their share of the fleet's speed
	Slowed              *SlowedTimes             `json:"slowed,omitempty"`      // nil if the pattern slows no replicas down on the way
	OnTimeBySecond      []float64                `json:"on_time_by_second"`     // on-time share of the requests of each second
}

// SlowedTimes says how soon requests avoid replicas that have become slower. The
// times are since the slowdown began, with a resolution of about slowedWindow.
type SlowedTimes struct {
	Found *time.Duration `json:"found_ns"` // until the replicas first get less than half of their requests before; nil is never
	Left  *time.Duration `json:"left_ns"`  // until they get less than half and keep to that during the slowdown; nil is never
}

// slowedWindow is the time over which the requests to slowed replicas are counted.
const slowedWindow = time.Second

// lateWorth is the worth of a late response; page hard-load gives 0.1 to 0.6.
const lateWorth = 0.5

func (c *OutcomeCounts) add(rs *requestState) {
	c.Total++
	switch rs.outcome {
	case onTime:
		c.OnTime++
	case late:
		c.Late++
		if rs.firstEventLatency <= rs.request.TargetLatency {
			c.LateByPause++
		}
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

// Worth returns the share of the requests served, where late ones count half.
func (c OutcomeCounts) Worth() float64 {
	return (float64(c.OnTime) + lateWorth*float64(c.Late)) / float64(max(c.Total, 1))
}

func (r *simulation) result(policy string, seed uint64) Result {
	res := Result{Pattern: r.pattern.Name, Policy: policy, Seed: seed, ByKind: make(map[string]OutcomeCounts), NeedlessRefusals: r.needlessRefusals, SentInPause: r.sentInPause, WorstWorkspaceRatio: 1}
	byWorkspace := make(map[string]OutcomeCounts)
	var seconds []OutcomeCounts
	var firsts []time.Duration
	for _, rs := range r.requests {
		res.Overall.add(rs)
		for _, group := range []struct {
			counts map[string]OutcomeCounts
			name   string
		}{{res.ByKind, rs.request.Kind}, {byWorkspace, rs.request.Workspace}} {
			s := group.counts[group.name]
			s.add(rs)
			group.counts[group.name] = s
		}
		second := int(rs.request.Arrival / time.Second)
		for len(seconds) <= second {
			seconds = append(seconds, OutcomeCounts{})
		}
		seconds[second].add(rs)
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
	res.RecomputedTokens, res.SlowestLoad, res.Slowed = recomputed, r.slowestLoad(), r.slowedTimes()
	if prefilled > 0 {
		res.RecomputedShare = recomputed / prefilled
	}
	return res
}

// slowestLoad returns Result.SlowestLoad. Random slow moments don't count, but the
// slowdowns of a pattern that last all the time do.
func (r *simulation) slowestLoad() float64 {
	speeds := make([]float64, len(r.engines))
	for i, e := range r.engines {
		speeds[i] = e.speed.nominal
	}
	for _, s := range r.pattern.Slowdowns {
		if s.At == 0 {
			for i := range r.share(s.ReplicaShare) {
				speeds[i] /= s.Factor
			}
		}
	}
	lowest := slices.Min(speeds)
	var speed, tokens, slowSpeed, slowTokens float64
	for i, e := range r.engines {
		speed, tokens = speed+speeds[i], tokens+e.sentTokens
		if speeds[i] == lowest {
			slowSpeed, slowTokens = slowSpeed+speeds[i], slowTokens+e.sentTokens
		}
	}
	if tokens == 0 {
		return 0
	}
	return slowTokens / tokens / (slowSpeed / speed)
}

// slowedTimes returns Result.Slowed for the first slowdown that begins on the way.
func (r *simulation) slowedTimes() *SlowedTimes {
	i := slices.IndexFunc(r.pattern.Slowdowns, func(s Slowdown) bool { return s.At > 0 })
	if i < 0 {
		return nil
	}
	s := r.pattern.Slowdowns[i]
	slowed := len(r.share(s.ReplicaShare))
	var at []time.Duration // of the requests to them
	for _, sent := range r.sent {
		if sent.replica < slowed {
			at = append(at, sent.at)
		}
	}
	count := func(from, to time.Duration) float64 {
		low, _ := slices.BinarySearch(at, from)
		high, _ := slices.BinarySearch(at, to)
		return float64(high - low)
	}
	before := count(0, s.At) * slowedWindow.Seconds() / s.At.Seconds()
	var times SlowedTimes
	for end := s.At + slowedWindow/2; end <= s.At+s.Duration; end += slowedWindow / 20 {
		middle := end - slowedWindow/2 - s.At
		switch {
		case count(end-slowedWindow, end) >= before/2:
			times.Left = nil
			continue
		case times.Found == nil:
			times.Found = &middle
		}
		if times.Left == nil {
			times.Left = &middle
		}
	}
	return &times
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
