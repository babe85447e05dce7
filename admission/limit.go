package admission

import (
	"math"
	"time"
)

// limiter adapts the limit of concurrent requests to the observed latency.
type limiter interface {
	observe(sample)
	limit(stated int) float64
}

type sample struct {
	latency  time.Duration
	ok       bool
	running  int // including the request that ended
	capacity int
	now      time.Time
}

// WithGradient limits concurrency by the ratio of the usual latency to the
// recent latency, after the Gradient2 limit of Netflix concurrency-limits.
func WithGradient() Option { return func(c *Controller) { c.limiter = newGradient() } }

// WithAIMD raises the limit by one for each limit's worth of requests and
// multiplies it by 0.9 when a request fails or takes longer than threshold.
func WithAIMD(threshold time.Duration) Option {
	return func(c *Controller) { c.limiter = &aimd{threshold: threshold, value: math.Inf(1)} }
}

// WithFixedLimit keeps the limit at the stated capacity.
func WithFixedLimit() Option { return func(c *Controller) { c.limiter = fixed{} } }

type fixed struct{}

func (fixed) observe(sample)           {}
func (fixed) limit(stated int) float64 { return float64(stated) }

const (
	// gradientTolerance is the slow-down that a full batch may cause by itself.
	// Engines with continuous batching take up to about twice as long per token
	// with a full batch as with a single request.
	gradientTolerance = 2.0
	// gradientMin bounds the fall in one window, so that one outlier does not
	// empty the target.
	gradientMin = 0.5
	// maxFailed is the share of failures in a window above which the limit falls.
	// A few failures are no sign of too much load, and a large window nearly
	// always has one.
	maxFailed = 0.2
	// minWindow is the least number of samples for one change of the limit.
	minWindow = 5
	// gradientFloor is the least limit, as a part of the stated capacity.
	gradientFloor = 0.25
	// A target whose every request is slow, whatever their number, does not get
	// faster with fewer of them: a lower limit only loses throughput. If two
	// slow windows differ so that one has less than judged of the running
	// requests of the other and still more than unhelpful of its latency, the
	// latency counts as the usual one.
	judged    = 0.7
	unhelpful = 0.85
	// probeAfter is the number of slow windows at the least limit after which
	// one window has twice the limit, for that comparison.
	probeAfter = 4
	// usualTime is the time constant of the usual latency. It is long against a
	// slow-down that the limit must answer, and short against a lasting change
	// of the requests.
	usualTime = 5 * time.Minute
)

// gradient changes the limit once in a window of about as many samples as the
// limit, that is, once in a service time: a change shows in the latency only
// after that time.
type gradient struct {
	value   float64 // infinite until the first window
	usual   float64 // seconds, exponentially weighted by time
	samples float64
	last    time.Time

	// The first slow window has requests from before the slow-down, so that
	// only a later one serves for comparison.
	slow    bool
	before  window // a slow window before the limit was changed
	skip    int    // samples of requests that started before that
	atFloor int    // slow windows at the least limit

	current window
}

// window sums the samples since the last change of the limit.
type window struct {
	count, running, most int
	failed               int
	latency              float64
}

func (w *window) add(s sample) {
	w.count++
	w.running += s.running
	w.most = max(w.most, s.running)
	w.latency += s.latency.Seconds()
	if !s.ok {
		w.failed++
	}
}

// compare reports whether two windows have enough difference in running
// requests for a comparison, and whether the latency is independent of it.
func compare(a, b window) (comparable, independent bool) {
	if a.count == 0 || b.count == 0 {
		return false, false
	}
	if a.meanRunning() > b.meanRunning() {
		a, b = b, a
	}
	return a.meanRunning() < judged*b.meanRunning(), a.meanLatency() > unhelpful*b.meanLatency()
}

func (w *window) meanLatency() float64 { return w.latency / float64(w.count) }

func (w *window) meanRunning() float64 { return float64(w.running) / float64(w.count) }

func newGradient() *gradient { return &gradient{value: math.Inf(1)} }

func (g *gradient) observe(s sample) {
	if s.latency <= 0 {
		return
	}
	latency := s.latency.Seconds()
	g.samples++
	weight := max(1/g.samples, min(1, s.now.Sub(g.last).Seconds()/usualTime.Seconds()))
	if g.samples > minWindow {
		// A slow period raises the usual latency only slowly.
		g.usual += (min(latency, gradientTolerance*g.usual) - g.usual) * weight
	} else {
		g.usual += (latency - g.usual) * weight
	}
	g.last = s.now

	if g.skip > 0 {
		g.skip--
		return
	}
	g.current.add(s)
	value := min(g.value, float64(s.capacity))
	if g.current.count < max(minWindow, int(value)) {
		return
	}
	w := g.current
	g.current = window{}
	mean := w.meanLatency()
	if mean < g.usual/2 {
		g.usual = (g.usual + mean) / 2 // a slow period is over
	}
	if comparable, independent := compare(w, g.before); comparable {
		if independent {
			g.usual = mean
		}
		g.before = window{}
	}
	ratio := max(gradientMin, min(1, gradientTolerance*g.usual/mean))
	if float64(w.failed) > maxFailed*float64(w.count) {
		ratio = min(ratio, aimdDecrease)
	}
	switch {
	case ratio < 1:
		next := max(1, gradientFloor*float64(s.capacity), value*ratio)
		if g.slow && (g.before.count == 0 || next < value) {
			g.before = w
		}
		if g.atFloor++; next < value {
			g.atFloor = 0
		} else if g.atFloor == probeAfter {
			g.before, g.atFloor = w, 0
			next *= 2
		}
		value, g.skip, g.slow = next, w.most, true
	case float64(w.most) >= value/2: // otherwise the limit was not used
		value += math.Sqrt(value)
		g.before, g.slow, g.atFloor = window{}, false, 0
	}
	g.value = min(value, float64(s.capacity))
}

func (g *gradient) limit(stated int) float64 { return min(g.value, float64(stated)) }

const aimdDecrease = 0.9

type aimd struct {
	threshold time.Duration
	value     float64
}

func (a *aimd) observe(s sample) {
	value := min(a.value, float64(s.capacity))
	switch {
	case !s.ok || s.latency > a.threshold:
		value *= aimdDecrease
	case float64(s.running) >= value/2:
		value += 1 / value
	}
	a.value = max(1, min(value, float64(s.capacity)))
}

func (a *aimd) limit(stated int) float64 { return min(a.value, float64(stated)) }
