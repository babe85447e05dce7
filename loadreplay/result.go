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

// Share counts the outcomes of some requests.
type Share struct {
	Asked, InAim, Late, Refused, Failed int
}

// Result is the outcome of a replay.
type Result struct {
	Pattern string
	Policy  string
	All     Share
	Kinds   map[string]Share
	First   [3]time.Duration // time to the first event at p50, p95 and p99
	Reread  float64          // part of the tokens read that another replica had read
	Idle    int              // refusals while a replica was free
	Worst   float64          // least part of a workspace's requests that was served, against the mean
	Seconds []float64        // part in aim of the requests of each second
}

func (s *Share) add(o outcome) {
	s.Asked++
	switch o {
	case inAim:
		s.InAim++
	case late:
		s.Late++
	case refused:
		s.Refused++
	default:
		s.Failed++
	}
}

// Part returns the part of the requests that was served in time, and at all.
func (s Share) Part() (inAim, served float64) {
	n := float64(max(s.Asked, 1))
	return float64(s.InAim) / n, float64(s.InAim+s.Late) / n
}

func (r *run) result(policy string) Result {
	res := Result{Pattern: r.pattern.Name, Policy: policy, Kinds: make(map[string]Share), Idle: r.idle, Worst: 1}
	byWorkspace := make(map[string]Share)
	var seconds []Share
	var firsts []time.Duration
	for _, c := range r.calls {
		res.All.add(c.outcome)
		for _, group := range []struct {
			of   map[string]Share
			name string
		}{{res.Kinds, c.request.Kind}, {byWorkspace, c.request.Workspace}} {
			s := group.of[group.name]
			s.add(c.outcome)
			group.of[group.name] = s
		}
		second := int(c.request.At / time.Second)
		for len(seconds) <= second {
			seconds = append(seconds, Share{})
		}
		seconds[second].add(c.outcome)
		if c.outcome == inAim || c.outcome == late {
			firsts = append(firsts, c.first)
		}
	}
	for _, s := range seconds {
		part, _ := s.Part()
		res.Seconds = append(res.Seconds, part)
	}
	slices.Sort(firsts)
	for i, q := range []float64{0.5, 0.95, 0.99} {
		if n := len(firsts); n > 0 {
			res.First[i] = firsts[min(int(q*float64(n)), n-1)]
		}
	}
	_, mean := res.All.Part()
	for _, s := range byWorkspace {
		if _, part := s.Part(); mean > 0 {
			res.Worst = min(res.Worst, part/mean)
		}
	}
	read, again := 0.0, 0.0
	for _, e := range r.engines {
		read, again = read+e.read, again+e.reread
	}
	if read > 0 {
		res.Reread = again / read
	}
	return res
}

// Write prints results side by side, with the part in aim of each second.
func Write(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "pattern\tpolicy\tin aim\tserved\trefused\tfailed\tfirst event p50\tp95\tp99\tread again\trefused though free\tworst workspace\tin aim by kind\tby second")
	for _, r := range results {
		part, served := r.All.Part()
		n := float64(max(r.All.Asked, 1))
		var kinds []string
		for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
			p, _ := r.Kinds[name].Part()
			kinds = append(kinds, fmt.Sprintf("%s %.2f", name, p))
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d ms\t%d ms\t%d ms\t%.3f\t%d\t%.2f\t%s\t%s\n", r.Pattern, r.Policy, part, served,
			float64(r.All.Refused)/n, float64(r.All.Failed)/n, r.First[0].Milliseconds(), r.First[1].Milliseconds(), r.First[2].Milliseconds(),
			r.Reread, r.Idle, r.Worst, strings.Join(kinds, ", "), bars(r.Seconds))
	}
	return t.Flush()
}

// bars draws one character a value from 0 to 1.
func bars(values []float64) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var b strings.Builder
	for _, v := range values {
		b.WriteRune(levels[min(int(v*float64(len(levels))), len(levels)-1)])
	}
	return b.String()
}
