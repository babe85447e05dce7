package gatewaydaemon

import (
	"github.com/VictoriaMetrics/metrics"

	"briarreach/feed"
	"briarreach/retrybudget"
)

// addGauges adds gauges of the daemon's state and the age of its data. Ages
// count from the time at which what is in force was current at its source, or from the
// start if nothing is.
func (d *Daemon) addGauges(set *metrics.Set, retries *retrybudget.Budget, droppedLines func() int64) {
	started := d.clock.Now()
	age := func(s feed.Status) float64 {
		if s.CurrentAt.IsZero() {
			return d.clock.Since(started).Seconds()
		}
		return d.clock.Since(s.CurrentAt).Seconds()
	}
	set.NewGauge("briarreach_config_version", func() float64 {
		if t := d.gateway.Snapshot().RouteTable; t != nil {
			return float64(t.Version())
		}
		return 0
	})
	set.NewGauge("briarreach_config_age_seconds", func() float64 { return age(d.configWatcher.Status()) })
	set.NewGauge("briarreach_registry_version", func() float64 { return float64(d.replicaWatcher.Status().Version) })
	set.NewGauge("briarreach_registry_age_seconds", func() float64 { return age(d.replicaWatcher.Status()) })
	set.NewGauge("briarreach_store_era", func() float64 { return float64(d.configWatcher.Status().Era) })
	set.NewGauge("briarreach_quota_settled", func() float64 {
		if d.quotaAllocators.Settled() {
			return 1
		}
		return 0
	})
	set.NewGauge("briarreach_quota_holders", func() float64 { return float64(d.quotaAllocators.HolderCount()) })
	set.NewGauge(`briarreach_replicas{state="registered"}`, func() float64 { return float64(len(d.gateway.Snapshot().Replicas.All())) })
	set.NewGauge(`briarreach_replicas{state="ejected"}`, func() float64 { return float64(d.placer.EjectedCount(d.clock.Now())) })
	set.NewGauge(`briarreach_replicas{state="missing"}`, func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.directory.MissingCount())
	})
	set.NewGauge(`briarreach_replicas{state="unconfirmed"}`, func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.directory.UnconfirmedCount())
	})
	set.NewGauge(`briarreach_replicas{state="limited"}`, func() float64 {
		n := 0
		for _, r := range d.gateway.Snapshot().Replicas.All() {
			if d.limits.IsLimited(r.Incarnation()) {
				n++
			}
		}
		return float64(n)
	})
	set.NewGauge(`briarreach_replicas{state="cold"}`, func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		snapshot := d.gateway.Snapshot()
		return float64(d.cold.count(snapshot.Replicas.All(), snapshot.RouteTable, d.clock.Now()))
	})
	set.NewGauge(`briarreach_replicas{state="evacuated"}`, func() float64 { return float64(d.evacuatedCount()) })
	usage := func(part func(retrybudget.Usage) float64) func() float64 {
		return func() float64 {
			sum := 0.0
			for _, u := range retries.Usage(d.clock.Now()) {
				sum += part(u)
			}
			return sum
		}
	}
	set.NewGauge("briarreach_repeats_in_window", usage(func(u retrybudget.Usage) float64 { return u.Retries }))
	set.NewGauge("briarreach_repeats_allowed_in_window", usage(func(u retrybudget.Usage) float64 { return u.Allowed }))
	set.NewGauge("briarreach_streams_open", func() float64 { return float64(d.gateway.OpenStreams()) })
	set.NewGauge("briarreach_log_lines_dropped_total", func() float64 { return float64(droppedLines()) })
	set.NewGauge("briarreach_uptime_seconds", func() float64 { return d.clock.Since(started).Seconds() })
}
