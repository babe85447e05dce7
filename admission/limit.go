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
	// gradientMin bounds the fall per sample, so that one outlier does not
	// empty the target.
	gradientMin = 0.5
	// gradientSmoothing is the weight of one new value of the limit.
	gradientSmoothing = 0.2
	recentSamples     = 10
	usualSamples      = 600
)

type gradient struct {
	value         float64 // NaN until the first sample
	recent, usual float64
	samples       float64
}

func newGradient() *gradient { return &gradient{value: math.Inf(1)} }

func (g *gradient) observe(s sample) {
	if s.latency <= 0 {
		return
	}
	latency := s.latency.Seconds()
	g.samples++
	g.recent += (latency - g.recent) / min(g.samples, recentSamples)
	g.usual += (latency - g.usual) / min(g.samples, usualSamples)
	if g.usual > 2*g.recent {
		// After a slow period the usual latency returns quickly, otherwise a
		// second slow-down would go unnoticed.
		g.usual *= 0.95
	}
	value := min(g.value, float64(s.capacity))
	ratio := max(gradientMin, min(1, gradientTolerance*g.usual/g.recent))
	if !s.ok {
		ratio = min(ratio, 0.9)
	}
	if ratio == 1 && float64(s.running) < value/2 {
		return // the limit was not used, so this sample says nothing about more load
	}
	next := value*ratio + math.Sqrt(value)
	if ratio < 1 {
		next = value * ratio
	}
	g.value = max(1, min(float64(s.capacity), value+gradientSmoothing*(next-value)))
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
