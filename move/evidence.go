package move

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Metric is a measurement that is compared between the versions.
type Metric int

// Metrics of the comparison.
const (
	Failures      Metric = iota // failed requests
	MedianLatency               // requests slower than the median of both versions
	TailLatency                 // requests slower than the 90th percentile of both versions
	metricCount
)

var metricNames = [metricCount]string{"failures", "median latency", "tail latency"}

// String returns the name of the metric.
func (m Metric) String() string { return metricNames[m] }

// oddsRatios are the alternative hypotheses of the mixture: the odds of a
// failed or slow request at the new version are this many times those at the
// old one. Up to a true ratio of about 1.4, the square root of the smallest
// alternative, the requests favour equal versions over every alternative, so a
// slightly worse version is accepted.
var oddsRatios = [...]float64{2, 4, 8, 32, 128, 1024}

// logRatioVector holds the logarithm of the likelihood ratio of each
// alternative.
type logRatioVector [len(oddsRatios)]float64

// logRatios returns the logarithms of the likelihood ratios of one window in
// which newEvents of newCount and oldEvents of oldCount requests failed or were
// slow. It conditions on the total number of these events. If the versions are
// equal, the events are distributed over the requests at random, whatever their
// rate in this window, so the number at the new version is hypergeometric.
// Under an alternative it has Fisher's noncentral hypergeometric distribution
// (Fisher, "The Logic of Inductive Inference", 1935). Degradation of the
// platform, which affects both versions, is therefore no evidence against the
// new one.
func logRatios(newEvents, newCount, oldEvents, oldCount int) logRatioVector {
	var r logRatioVector
	events := newEvents + oldEvents
	if events == 0 || newCount == 0 || oldCount == 0 || events == newCount+oldCount {
		return r
	}
	low, high := max(0, events-oldCount), min(newCount, events)
	weights := make([]float64, 0, high-low+1)
	logWeight := 0.0
	for j := low; j <= high; j++ {
		weights = append(weights, logWeight)
		logWeight += math.Log(float64(newCount-j)*float64(events-j)) - math.Log(float64(j+1)*float64(oldCount-events+j+1))
	}
	total := logSum(weights, low, 0)
	for i, o := range oddsRatios {
		r[i] = float64(newEvents)*math.Log(o) - (logSum(weights, low, math.Log(o)) - total)
	}
	return r
}

// logSum returns log Σ exp(weights[i] + (low+i) slope).
func logSum(weights []float64, low int, slope float64) float64 {
	top := math.Inf(-1)
	for i, w := range weights {
		top = max(top, w+float64(low+i)*slope)
	}
	sum := 0.0
	for i, w := range weights {
		sum += math.Exp(w + float64(low+i)*slope - top)
	}
	return top + math.Log(sum)
}

// maxWindowLogRatio bounds the evidence of one window at a guard, and of one
// second at the controller. A failed target makes its version fail for the one
// or two seconds until it is ejected. With the bound, that is not enough to
// reject the version, while a lasting fault is detected a few seconds later.
// The test stays valid, since the bound only lowers the log ratios.
const maxWindowLogRatio = 3

// capped returns the log ratios, each at most maxWindowLogRatio.
func (r logRatioVector) capped() logRatioVector {
	for i := range r {
		r[i] = min(r[i], maxWindowLogRatio)
	}
	return r
}

// sequentialTest is a mixture sequential probability ratio test over the
// alternatives (Robbins, "Statistical Methods Related to the Law of the
// Iterated Logarithm", 1970; Johari et al., "Always Valid Inference", 2022) and
// over the time at which the fault starts, so that a long time without faults
// does not mask a late one (mixture over change points as in Shin, Ramdas and
// Rinaldo, "E-detectors", 2022). Under the null hypothesis the probability that
// its value ever exceeds 1/a is at most a, however often it is checked.
type sequentialTest struct {
	logValues           logRatioVector // logarithm of the value for each alternative
	startedChangePoints int
	nextChangePoint     time.Time
}

const (
	// changePoints is the number of times at which a fault may start, evenly
	// spaced over the planned duration. A move that ends late has no more.
	changePoints = 400
	// Half of the mixture's weight is on the start of the move, a quarter is
	// spread over all change points, and a quarter over every coarseInterval-th of
	// them. The fine ones detect a fault at once under high traffic; the coarse
	// ones detect it with fewer requests.
	coarseInterval = 25
	startWeight    = 0.5
	fineWeight     = 0.25 / changePoints
	coarseWeight   = 0.25 / (changePoints / coarseInterval)
)

func newSequentialTest(now time.Time) sequentialTest {
	var t sequentialTest
	for i := range t.logValues {
		t.logValues[i] = math.Log(startWeight)
	}
	t.nextChangePoint = now
	return t
}

// add adds the log ratios of windows that have ended to the logarithms of the
// value. duration is that of the move.
func (t *sequentialTest) add(r logRatioVector, now time.Time, duration time.Duration) {
	if t.startedChangePoints < changePoints && !now.Before(t.nextChangePoint) {
		weight := fineWeight
		if t.startedChangePoints%coarseInterval == 0 {
			weight += coarseWeight
		}
		t.startedChangePoints++
		t.nextChangePoint = now.Add(duration / changePoints)
		for i := range t.logValues {
			t.logValues[i] = logAdd(t.logValues[i], math.Log(weight))
		}
	}
	for i := range t.logValues {
		t.logValues[i] += r[i]
	}
}

// logValue returns the logarithm of the test's value.
func (t *sequentialTest) logValue() float64 {
	return logSum(t.logValues[:], 0, 0) - math.Log(float64(len(oddsRatios)))
}

// logAdd returns log(exp(a) + exp(b)).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	return a + math.Log1p(math.Exp(b-a))
}

const (
	// maxCells bounds the cells of a move.
	maxCells = 64
	// minCorrectedCells is the minimum number of cells that the tests are
	// corrected for: those of five routes at three load levels, with the pooled
	// ones.
	minCorrectedCells = 24
)

// logLimit returns the logarithm of the value above which a test rejects, if
// all tests of all cells together may do so wrongly with probability alpha.
func logLimit(alpha float64, cells int) float64 {
	return math.Log(float64(max(cells, minCorrectedCells)*int(metricCount)) / alpha)
}

// AnyRoute and AnyLoadLevel mark the cells that pool the requests of all routes
// or load levels.
const (
	AnyRoute     = ""
	AnyLoadLevel = -1
)

// RequestCounts counts the requests of one version in a cell, in windows that
// have ended. LogLatencySum is the sum of the natural logarithms of the
// latencies plus latencyOffset, in seconds, of the requests that did not fail.
type RequestCounts struct {
	Requests      int64   `cbor:"requests" json:"requests"`
	Failed        int64   `cbor:"failed" json:"failed"`
	LogLatencySum float64 `cbor:"log_latency" json:"log_latency"`
}

func (c *RequestCounts) add(o RequestCounts) {
	c.Requests += o.Requests
	c.Failed += o.Failed
	c.LogLatencySum += o.LogLatencySum
}

func (c RequestCounts) sub(o RequestCounts) RequestCounts {
	return RequestCounts{c.Requests - o.Requests, c.Failed - o.Failed, c.LogLatencySum - o.LogLatencySum}
}

// meanLatency returns the geometric mean of the latencies plus latencyOffset.
func (c RequestCounts) meanLatency() time.Duration {
	if c.Requests == c.Failed {
		return 0
	}
	return time.Duration(math.Exp(c.LogLatencySum/float64(c.Requests-c.Failed)) * float64(time.Second))
}

// Evidence is the comparison of the versions in the cell with the strongest
// evidence against the new one. LogRatio and LogLimit are natural logarithms:
// the new version is rolled back when LogRatio exceeds LogLimit.
type Evidence struct {
	Move      string        `cbor:"move" json:"move"`
	From      string        `cbor:"from" json:"from"`
	To        string        `cbor:"to" json:"to"`
	Entry     string        `cbor:"entry,omitempty" json:"entry,omitempty"` // set for a local stop
	Route     string        `cbor:"route" json:"route"`
	LoadLevel int           `cbor:"level" json:"level"`
	Metric    Metric        `cbor:"metric" json:"metric"`
	LogRatio  float64       `cbor:"value" json:"value"`
	LogLimit  float64       `cbor:"limit" json:"limit"`
	Old       RequestCounts `cbor:"old" json:"old"`
	New       RequestCounts `cbor:"new" json:"new"`
}

// String returns the evidence as a sentence for operators.
func (e Evidence) String() string {
	var b strings.Builder
	if e.Entry != "" {
		fmt.Fprintf(&b, "entry %s: ", e.Entry)
	}
	if e.Route == AnyRoute {
		b.WriteString("all routes")
	} else {
		fmt.Fprintf(&b, "route %s", e.Route)
	}
	if e.LoadLevel != AnyLoadLevel {
		fmt.Fprintf(&b, " at load level %d", e.LoadLevel)
	}
	fmt.Fprintf(&b, ": %s: version %s failed %d of %d requests, version %s %d of %d in the same windows",
		e.Metric, e.To, e.New.Failed, e.New.Requests, e.From, e.Old.Failed, e.Old.Requests)
	if e.Route != AnyRoute {
		fmt.Fprintf(&b, "; mean latency %s against %s", round(e.New.meanLatency()), round(e.Old.meanLatency()))
	}
	if e.LogRatio > e.LogLimit {
		fmt.Fprintf(&b, "; log likelihood ratio %.1f is above the limit %.1f", e.LogRatio, e.LogLimit)
	} else {
		fmt.Fprintf(&b, "; log likelihood ratio %.1f is below the limit %.1f", e.LogRatio, e.LogLimit)
	}
	return b.String()
}

func round(d time.Duration) time.Duration { return d.Round(max(time.Millisecond/10, d/1000)) }
