package gatewaydaemon

import (
	"fmt"
	"math"
	"math/rand/v2"
	runtimemetrics "runtime/metrics"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/gateway"
	"briarreach/overload"
	"briarreach/platform"
)

// Samples of the runtime that show the process's load.
const (
	runDelaySample       = "/sched/latencies:seconds"
	totalMemorySample    = "/memory/classes/total:bytes"
	releasedMemorySample = "/memory/classes/heap/released:bytes"

	runDelayQuantile = 0.9
	// overloadLogInterval is the least time between two log lines about refusals.
	overloadLogInterval = time.Second
)

// loadShedder measures the load of the process and refuses the requests that it can't
// handle.
type loadShedder struct {
	clock       clockwork.Clock
	log         log.Interface
	limiter     *overload.Limiter
	memoryLimit int64
	refused     *metrics.Counter

	mu           sync.Mutex
	samples      []runtimemetrics.Sample
	counts       []uint64 // of the run delays at the last measurement
	load         overload.Load
	refusedSince int // refusals since loggedAt
	loggedAt     time.Time
}

func newLoadShedder(s *platform.Settings, t Tuning, clock clockwork.Clock, l log.Interface, set *metrics.Set) *loadShedder {
	o := &loadShedder{clock: clock, log: l, limiter: overload.New(t.Overload), memoryLimit: s.MemoryLimit,
		refused: set.NewCounter(fmt.Sprintf("briarreach_requests_total{kind=%q,outcome=%q,reason=%q}", "any", "refused", gateway.Saturated)),
		samples: []runtimemetrics.Sample{{Name: runDelaySample}, {Name: totalMemorySample}, {Name: releasedMemorySample}}}
	set.NewGauge("briarreach_requests_in_progress", func() float64 { n, _ := o.limiter.InProgress(); return float64(n) })
	set.NewGauge("briarreach_requests_in_progress_limit", func() float64 { _, limit := o.limiter.InProgress(); return limit })
	set.NewGauge("briarreach_run_delay_seconds", func() float64 { return o.lastLoad().RunDelay.Seconds() })
	set.NewGauge("briarreach_memory_bytes", func() float64 { return float64(o.lastLoad().MemoryBytes) })
	o.measure()
	return o
}

func (o *loadShedder) lastLoad() overload.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.load
}

// admit decides on a request by the load of the process and by the time for which the
// request has waited in it.
func (o *loadShedder) admit(r *gateway.Request, unread, shortestTarget time.Duration) (done func(), refusal *gateway.Refusal) {
	now := o.clock.Now()
	if o.limiter.Due(now) {
		o.limiter.Adjust(o.measure(), overload.Limits{TargetLatency: shortestTarget, MemoryBytes: o.memoryLimit})
	}
	r.Arrived = r.Arrived.Add(-min(unread, o.lastLoad().RunDelay))
	switch d := o.limiter.Admit(overload.Request{Age: now.Sub(r.Arrived), Timeout: r.Timeout}, rand.Float64()).(type) {
	case overload.Refused:
		o.refused.Inc()
		o.report(now)
		return nil, &gateway.Refusal{Execution: gateway.NotExecuted, Reason: gateway.Saturated, RetryAfter: d.RetryAfter}
	default:
		return o.limiter.Done, nil
	}
}

// report writes a log line about the refusals since the last one.
func (o *loadShedder) report(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusedSince++
	if now.Sub(o.loggedAt) < overloadLogInterval {
		return
	}
	inProgress, limit := o.limiter.InProgress()
	o.log.WithFields(log.Fields{"refused": o.refusedSince, "in_progress": inProgress, "limit": math.Round(min(limit, math.MaxInt32)),
		"run_delay_ms": o.load.RunDelay.Milliseconds(), "memory_mb": o.load.MemoryBytes >> 20}).Warn("requests refused: the process is overloaded")
	o.refusedSince, o.loggedAt = 0, now
}

// measure returns the load since the last call.
func (o *loadShedder) measure() overload.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	runtimemetrics.Read(o.samples)
	delays := o.samples[0].Value.Float64Histogram()
	if o.counts == nil {
		o.counts = make([]uint64, len(delays.Counts))
	}
	o.load = overload.Load{RunDelay: quantileSince(delays, o.counts, runDelayQuantile),
		MemoryBytes: int64(o.samples[1].Value.Uint64() - o.samples[2].Value.Uint64())}
	copy(o.counts, delays.Counts)
	return o.load
}

// quantileSince returns the lower bound of the bucket in which a quantile of the
// values is that a histogram has got since it had the counts in before.
func quantileSince(h *runtimemetrics.Float64Histogram, before []uint64, quantile float64) time.Duration {
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - before[i]
	}
	seen := uint64(0)
	for i, n := range h.Counts {
		seen += n - before[i]
		if total > 0 && float64(seen) >= quantile*float64(total) {
			return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}
