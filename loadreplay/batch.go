package loadreplay

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
)

// Batch is a set of replays: each pattern with each policy and each seed.
type Batch struct {
	Model    Model
	Patterns []string
	Recorded *Pattern // replaces Patterns if it isn't nil
	Policies []Policy
	Seeds    []uint64
	Parallel int // replays at the same time
}

// Run runs the replays, and returns their results by pattern, policy and seed in the
// order of the batch. The results don't depend on the order in which replays run.
func (b Batch) Run(ctx context.Context) ([]Summary, error) {
	names := b.Patterns
	if b.Recorded != nil {
		names = []string{b.Recorded.Name}
	}
	summaries := make([]Summary, 0, len(names)*len(b.Policies))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(b.Parallel, 1))
	for _, name := range names {
		patterns := make([]*Pattern, len(b.Seeds))
		for i, seed := range b.Seeds {
			var err error
			if patterns[i] = b.Recorded; b.Recorded == nil {
				if patterns[i], err = b.Model.Generate(name, seed); err != nil {
					return nil, err
				}
			}
		}
		for _, policy := range b.Policies {
			results := make([]Result, len(b.Seeds))
			summaries = append(summaries, Summary{Model: b.Model.Name, Replicas: b.Model.Engine.Replicas, Gateways: b.Model.Gateways, Slots: b.Model.Engine.Slots, Pattern: name, Policy: policyName(policy), Results: results})
			for i, seed := range b.Seeds {
				group.Go(func() error {
					if err := ctx.Err(); err != nil {
						return err
					}
					results[i] = Replay(patterns[i], policy, b.Model.Engine, seed, WithGateways(b.Model.Gateways))
					return nil
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i := range summaries {
		summaries[i].summarize()
	}
	return summaries, nil
}

// Summary is what the replays of a pattern with a policy have in common.
type Summary struct {
	Model            string            `json:"model"`
	Replicas         int               `json:"replicas"`
	Gateways         int               `json:"gateways"`
	Slots            int               `json:"slots"`
	Pattern          string            `json:"pattern"`
	Policy           string            `json:"policy"`
	OnTime           Spread            `json:"on_time"`
	Worth            Spread            `json:"worth"` // late responses count half
	Served           Spread            `json:"served"`
	Refused          Spread            `json:"refused"`
	Failed           Spread            `json:"failed"`
	OnTimeByKind     map[string]Spread `json:"on_time_by_kind"`
	RecomputedTokens Spread            `json:"recomputed_tokens"`
	SlowestLoad      Spread            `json:"slowest_load"`
	Found            []time.Duration   `json:"found_ns"` // sorted; see SlowedTimes
	Left             []time.Duration   `json:"left_ns"`
	NeverFound       int               `json:"never_found"`
	NeverLeft        int               `json:"never_left"`
	Results          []Result          `json:"results"` // by seed
}

// Spread describes a figure over the seeds.
type Spread struct {
	Mean   float64 `json:"mean"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	StdErr float64 `json:"std_err"` // of the mean; 0 with one seed
}

func newSpread(results []Result, figure func(Result) float64) Spread {
	if len(results) == 0 {
		return Spread{}
	}
	s := Spread{Low: math.Inf(1), High: math.Inf(-1)}
	n := float64(len(results))
	for _, r := range results {
		v := figure(r)
		s.Mean, s.Low, s.High = s.Mean+v/n, min(s.Low, v), max(s.High, v)
	}
	if len(results) > 1 {
		squares := 0.0
		for _, r := range results {
			squares += math.Pow(figure(r)-s.Mean, 2)
		}
		s.StdErr = math.Sqrt(squares / (n - 1) / n)
	}
	return s
}

func (s *Summary) summarize() {
	share := func(count func(OutcomeCounts) int) func(Result) float64 {
		return func(r Result) float64 { return float64(count(r.Overall)) / float64(max(r.Overall.Total, 1)) }
	}
	s.OnTime = newSpread(s.Results, share(func(c OutcomeCounts) int { return c.OnTime }))
	s.Served = newSpread(s.Results, share(func(c OutcomeCounts) int { return c.OnTime + c.Late }))
	s.Refused = newSpread(s.Results, share(func(c OutcomeCounts) int { return c.Refused }))
	s.Failed = newSpread(s.Results, share(func(c OutcomeCounts) int { return c.Failed }))
	s.Worth = newSpread(s.Results, func(r Result) float64 { return r.Overall.Worth() })
	s.RecomputedTokens = newSpread(s.Results, func(r Result) float64 { return r.RecomputedTokens })
	s.SlowestLoad = newSpread(s.Results, func(r Result) float64 { return r.SlowestLoad })
	s.OnTimeByKind = make(map[string]Spread)
	for _, r := range s.Results {
		for kind := range r.ByKind {
			s.OnTimeByKind[kind] = newSpread(s.Results, func(r Result) float64 {
				onTime, _ := r.ByKind[kind].Shares()
				return onTime
			})
		}
		if r.Slowed == nil {
			continue
		}
		if r.Slowed.Found == nil {
			s.NeverFound++
		} else {
			s.Found = append(s.Found, *r.Slowed.Found)
		}
		if r.Slowed.Left == nil {
			s.NeverLeft++
		} else {
			s.Left = append(s.Left, *r.Slowed.Left)
		}
	}
	slices.Sort(s.Found)
	slices.Sort(s.Left)
}

// WriteSummaries prints a table of means over the seeds. The error after ± is the
// standard error of the mean.
func WriteSummaries(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "model\tslots\tpattern\tpolicy\ton time\tworth\tserved\trefused\tfailed\trecomputed tokens\tload of slowest\tslowed: found\tleft\ton time by kind")
	for _, s := range summaries {
		var kinds []string
		for _, name := range slices.Sorted(maps.Keys(s.OnTimeByKind)) {
			kinds = append(kinds, fmt.Sprintf("%s %.3f", name, s.OnTimeByKind[name].Mean))
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%.3f ±%.3f\t%.3f ±%.3f\t%.3f\t%.3f\t%.3f\t%.0f k\t%.2f\t%s\t%s\t%s\n", s.Model, s.Slots, s.Pattern, s.Policy,
			s.OnTime.Mean, s.OnTime.StdErr, s.Worth.Mean, s.Worth.StdErr, s.Served.Mean, s.Refused.Mean, s.Failed.Mean, s.RecomputedTokens.Mean/1000, s.SlowestLoad.Mean,
			quantiles(s.Found, s.NeverFound), quantiles(s.Left, s.NeverLeft), strings.Join(kinds, ", "))
	}
	return t.Flush()
}

// quantiles returns the median and the 95% quantile of sorted times, and how many
// replays have none.
func quantiles(sorted []time.Duration, never int) string {
	if len(sorted)+never == 0 {
		return "-"
	}
	at := func(q float64) string {
		if i := int(q * float64(len(sorted)+never)); i < len(sorted) {
			return fmt.Sprintf("%.1f s", sorted[i].Seconds())
		}
		return "never"
	}
	return fmt.Sprintf("%s, %s (%d never)", at(0.5), at(0.95), never)
}
