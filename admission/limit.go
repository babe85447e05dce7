package admission

import (
	"math"
	"time"
)

// limiter adapts the concurrency limit to the observed latency.
type limiter interface {
	observe(sample)
	limit(capacity int) float64
}

// sample is the measurement of one request that ended.
type sample struct {
	latency  time.Duration
	ok       bool
	running  int // including the request that ended
	capacity int
	now      time.Time
}

// WithGradient limits concurrency by the ratio of a long-term average of the
// latency, the baseline, to the recent latency, after the Gradient2 limit of
// Netflix concurrency-limits.
func WithGradient() Option { return func(c *Controller) { c.limiter = newGradient() } }

// WithAIMD raises the limit by 1/limit after each request while at least half of
// the limit is in use, and multiplies it by 0.9 when a request fails or takes
// longer than threshold.
func WithAIMD(threshold time.Duration) Option {
	return func(c *Controller) { c.limiter = &aimd{threshold: threshold, currentLimit: math.Inf(1)} }
}

// WithFixedLimit keeps the limit at the capacity.
func WithFixedLimit() Option { return func(c *Controller) { c.limiter = fixed{} } }

type fixed struct{}

func (fixed) observe(sample)             {}
func (fixed) limit(capacity int) float64 { return float64(capacity) }

const (
	// latencyTolerance is the factor over the baseline up to which latency
	// counts as normal. Engines with continuous batching take up to about twice
	// as long per token with a full batch as with a single request.
	latencyTolerance = 2.0
	// minRatio is the smallest factor applied to the limit in one window, so
	// that one outlier does not empty the target.
	minRatio = 0.5
	// maxFailedShare is the share of failures in a window above which the limit
	// is lowered. A few failures are no sign of overload, and a large window
	// nearly always has one.
	maxFailedShare = 0.2
	// minWindowSamples is the smallest number of samples in a window.
	minWindowSamples = 5
	// minLimitShare is the lowest limit as a share of the capacity.
	minLimitShare = 0.25
	// If the latency of a target does not depend on the number of running
	// requests, a lower limit only loses throughput. To detect this, two slow
	// windows are compared: if one has less than comparableRunningRatio of the
	// running requests of the other and still more than independentLatencyRatio
	// of its latency, the latency of the later one becomes the baseline.
	comparableRunningRatio  = 0.7
	independentLatencyRatio = 0.85
	// probeAfterWindows is the number of slow windows at the lowest limit after
	// which one window gets twice the limit, for that comparison.
	probeAfterWindows = 4
	// baselineTimeConstant is the time constant of the baseline's average. It is
	// long compared with a slow-down that must lower the limit, and short
	// compared with a lasting change of the requests.
	baselineTimeConstant = 5 * time.Minute
)

// gradient changes the limit once per window of about as many samples as the
// limit, that is, once per service time: a change affects the latency only
// after that time.
type gradient struct {
	currentLimit float64 // the limit; infinite until the first window
	baseline     float64 // latency in seconds, exponentially weighted by time
	samples      float64
	last         time.Time // of the last sample

	slow bool // a window since the last rise of the limit was slow or had many failures
	// reference is an earlier slow window to compare with. The first slow window
	// contains requests from before the slow-down, so only later ones are kept.
	reference      window
	skipSamples    int // samples to ignore: their requests started before the change
	slowAtMinLimit int // consecutive slow windows at the lowest limit

	current window
}

// window sums consecutive samples; the limit is reviewed when it is full.
type window struct {
	count, runningSum, maxRunning int
	failed                        int
	latencySum                    float64 // in seconds
}

func (w *window) add(s sample) {
	w.count++
	w.runningSum += s.running
	w.maxRunning = max(w.maxRunning, s.running)
	w.latencySum += s.latency.Seconds()
	if !s.ok {
		w.failed++
	}
}

// compare reports whether two windows differ enough in running requests to be
// compared, and whether the latency is independent of that number.
func compare(a, b window) (differ, independent bool) {
	if a.count == 0 || b.count == 0 {
		return false, false
	}
	if a.meanRunning() > b.meanRunning() {
		a, b = b, a
	}
	return a.meanRunning() < comparableRunningRatio*b.meanRunning(), a.meanLatency() > independentLatencyRatio*b.meanLatency()
}

func (w *window) meanLatency() float64 { return w.latencySum / float64(w.count) }

func (w *window) meanRunning() float64 { return float64(w.runningSum) / float64(w.count) }

func newGradient() *gradient { return &gradient{currentLimit: math.Inf(1)} }

func (g *gradient) observe(s sample) {
	if s.latency <= 0 {
		return
	}
	latency := s.latency.Seconds()
	g.samples++
	weight := max(1/g.samples, min(1, s.now.Sub(g.last).Seconds()/baselineTimeConstant.Seconds()))
	if g.samples > minWindowSamples {
		// Samples are capped, so that a slow period raises the baseline only slowly.
		g.baseline += (min(latency, latencyTolerance*g.baseline) - g.baseline) * weight
	} else {
		g.baseline += (latency - g.baseline) * weight
	}
	g.last = s.now

	if g.skipSamples > 0 {
		g.skipSamples--
		return
	}
	g.current.add(s)
	limit := min(g.currentLimit, float64(s.capacity))
	if g.current.count < max(minWindowSamples, int(limit)) {
		return
	}
	w := g.current
	g.current = window{}
	mean := w.meanLatency()
	if mean < g.baseline/2 {
		g.baseline = (g.baseline + mean) / 2 // a slow period is over
	}
	if differ, independent := compare(w, g.reference); differ {
		if independent {
			g.baseline = mean
		}
		g.reference = window{}
	}
	ratio := max(minRatio, min(1, latencyTolerance*g.baseline/mean))
	if float64(w.failed) > maxFailedShare*float64(w.count) {
		ratio = min(ratio, decreaseFactor)
	}
	switch {
	case ratio < 1:
		next := max(1, minLimitShare*float64(s.capacity), limit*ratio)
		if g.slow && (g.reference.count == 0 || next < limit) {
			g.reference = w
		}
		if g.slowAtMinLimit++; next < limit {
			g.slowAtMinLimit = 0
		} else if g.slowAtMinLimit == probeAfterWindows {
			g.reference, g.slowAtMinLimit = w, 0
			next *= 2
		}
		limit, g.skipSamples, g.slow = next, w.maxRunning, true
	case float64(w.maxRunning) >= limit/2: // otherwise the limit was not used
		limit += math.Sqrt(limit)
		g.reference, g.slow, g.slowAtMinLimit = window{}, false, 0
	}
	g.currentLimit = min(limit, float64(s.capacity))
}

func (g *gradient) limit(capacity int) float64 { return min(g.currentLimit, float64(capacity)) }

// decreaseFactor is applied to the limit because of failures or, with AIMD, of
// high latency.
const decreaseFactor = 0.9

type aimd struct {
	threshold    time.Duration
	currentLimit float64
}

func (a *aimd) observe(s sample) {
	limit := min(a.currentLimit, float64(s.capacity))
	switch {
	case !s.ok || s.latency > a.threshold:
		limit *= decreaseFactor
	case float64(s.running) >= limit/2:
		limit += 1 / limit
	}
	a.currentLimit = max(1, min(limit, float64(s.capacity)))
}

func (a *aimd) limit(capacity int) float64 { return min(a.currentLimit, float64(capacity)) }
