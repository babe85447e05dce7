package move

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Metric is what is compared between the versions.
type Metric int

// Metrics of the comparison.
const (
	Failures      Metric = iota // failed requests
	MedianLatency               // requests slower than the median of both versions
	TailLatency                 // requests slower than the 90th percentile of both
	metrics
)

var metricNames = [metrics]string{"failures", "median latency", "tail latency"}

// String returns the name of the metric.
func (m Metric) String() string { return metricNames[m] }

// odds are the alternatives of the mixture: the odds of a failure or of a slow
// request at the new version are so many times those at the old one. Odds up
// to 1.4 times speak against all of them, so a slightly worse version is
// accepted.
var odds = [...]float64{2, 4, 8, 32, 128, 1024}

// ratios holds the logarithm of the likelihood ratio for each alternative.
type ratios [len(odds)]float64

// logRatios returns the logarithms of the likelihood ratios of one window in
// which newEvents of newCount and oldEvents of oldCount requests showed the
// event. It conditions on the number of events: if the versions are equal,
// the events are spread over the requests at random, however likely they were
// in this window, so the number at the new version is hypergeometric; under an
// alternative it has Fisher's noncentral hypergeometric distribution (Fisher,
// "The Logic of Inductive Inference", 1935). A bad hour of the platform
// therefore gives no evidence against the new version.
func logRatios(newEvents, newCount, oldEvents, oldCount int) ratios {
	var r ratios
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
	for i, o := range odds {
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

// maxWindowRatio bounds the evidence of one window at a guard, and of one
// second at the controller. A target that fails makes its version fail for the
// one or two seconds until it is ejected; with the bound that is too little to
// reject, while a lasting fault takes a few seconds longer to be found. A
// smaller ratio keeps the test valid.
const maxWindowRatio = 3

// capped returns the ratios with the bound.
func (r ratios) capped() ratios {
	for i := range r {
		r[i] = min(r[i], maxWindowRatio)
	}
	return r
}

// test is a mixture sequential probability ratio test over the alternatives
// (Robbins, "Statistical Methods Related to the Law of the Iterated
// Logarithm", 1970; Johari et al., "Always Valid Inference", 2022) and over
// the time at which the fault starts, so that a long good time does not hide a
// late fault (mixture over change points as in Shin, Ramdas and Rinaldo,
// "E-detectors", 2022). Under the null hypothesis the probability that its
// value ever exceeds 1/a is at most a, however often it is looked at.
type test struct {
	logs     ratios // logarithm of the value for each alternative
	started  int    // change points that have started
	nextTime time.Time
}

const (
	// changePoints is the number of times at which a fault may start: so many
	// in the planned duration, and no more for a move that ends late.
	changePoints = 400
	// Half of the mixture's weight is on the start of the move, a quarter is
	// spread over the change points, and a quarter over every coarsePoint-th of
	// them. The many ones find a fault at once where there is much traffic; the
	// few ones find it with fewer requests.
	coarsePoint  = 25
	startWeight  = 0.5
	fineWeight   = 0.25 / changePoints
	coarseWeight = 0.25 / (changePoints / coarsePoint)
)

func newTest(now time.Time) test {
	var t test
	for i := range t.logs {
		t.logs[i] = math.Log(startWeight)
	}
	t.nextTime = now
	return t
}

// add multiplies the test by the ratios of windows that have ended. duration
// is that of the move.
func (t *test) add(r ratios, now time.Time, duration time.Duration) {
	if t.started < changePoints && !now.Before(t.nextTime) {
		weight := fineWeight
		if t.started%coarsePoint == 0 {
			weight += coarseWeight
		}
		t.started++
		t.nextTime = now.Add(duration / changePoints)
		for i := range t.logs {
			t.logs[i] = logAdd(t.logs[i], math.Log(weight))
		}
	}
	for i := range t.logs {
		t.logs[i] += r[i]
	}
}

// value returns the logarithm of the test's value.
func (t *test) value() float64 {
	return logSum(t.logs[:], 0, 0) - math.Log(float64(len(odds)))
}

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	return a + math.Log1p(math.Exp(b-a))
}

const (
	// maxCells bounds the cells of a move.
	maxCells = 64
	// usualCells are those of five routes at three load levels with the pooled
	// ones. The tests are corrected for at least their number.
	usualCells = 24
)

// limit returns the logarithm of the value above which a test rejects, if all
// tests of all cells together may do so with probability alpha.
func limit(alpha float64, cells int) float64 {
	return math.Log(float64(max(cells, usualCells)*int(metrics)) / alpha)
}

// AnyRoute and AnyLoadLevel mark the cells that pool requests.
const (
	AnyRoute     = ""
	AnyLoadLevel = -1
)

// RequestCounts are the requests of one version in a cell, of windows that have
// ended. LogLatency is the sum of the natural logarithms of the latencies, in
// seconds, of the requests that did not fail.
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

// latency returns the geometric mean.
func (c RequestCounts) latency() time.Duration {
	if c.Requests == c.Failed {
		return 0
	}
	return time.Duration(math.Exp(c.LogLatencySum/float64(c.Requests-c.Failed)) * float64(time.Second))
}

// Evidence is the comparison of the versions in the cell that speaks most
// against the new one. Value and Limit are natural logarithms: the new version
// is taken back when Value exceeds Limit.
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
		fmt.Fprintf(&b, "; mean latency %s against %s", round(e.New.latency()), round(e.Old.latency()))
	}
	if e.LogRatio > e.LogLimit {
		fmt.Fprintf(&b, "; log likelihood ratio %.1f is above the limit %.1f", e.LogRatio, e.LogLimit)
	} else {
		fmt.Fprintf(&b, "; log likelihood ratio %.1f is below the limit %.1f", e.LogRatio, e.LogLimit)
	}
	return b.String()
}

func round(d time.Duration) time.Duration { return d.Round(max(time.Millisecond/10, d/1000)) }
