package gatewaydaemon

import (
	"context"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"briarreach/overload"
	"briarreach/platform"
)

// usageInterval is the time between samples of the process's usage.
const usageInterval = 100 * time.Millisecond

func newOverload(s *platform.Settings, t Tuning, set *metrics.Set) *overload.Monitor {
	m := overload.New(t.Overload, overload.Capacity{LinkBytesPerSecond: s.LinkBandwidth, Processors: s.Processors})
	for name, share := range map[string]func(overload.Shares) float64{
		"link_in":   func(s overload.Shares) float64 { return s.Received },
		"link_out":  func(s overload.Shares) float64 { return s.Sent },
		"processor": func(s overload.Shares) float64 { return s.Processor },
	} {
		set.NewGauge(`briarreach_capacity_used{resource="`+name+`"}`, func() float64 {
			shares, _ := m.State()
			return share(shares)
		})
	}
	set.NewGauge("briarreach_overloaded", func() float64 {
		if _, overloaded := m.State(); overloaded {
			return 1
		}
		return 0
	})
	return m
}

// sampleUsage feeds the overload monitor until the daemon closes.
func (d *Daemon) sampleUsage(traffic *overload.Meter) {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopSampling = cancel
	go func() {
		for {
			select {
			case <-d.clock.After(usageInterval):
			case <-ctx.Done():
				return
			}
			if d.overload.Observe(currentUsage(traffic), d.clock.Now()) {
				d.logOverload()
			}
		}
	}()
}

// currentUsage returns the traffic with callers and replicas, and the processor time.
func currentUsage(traffic *overload.Meter) overload.Usage {
	u := overload.Usage{}
	u.ReceivedBytes, u.SentBytes = traffic.Totals()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.ProcessorTime = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return u
}

// logOverload logs a change, which the smoothing keeps rare.
func (d *Daemon) logOverload() {
	shares, overloaded := d.overload.State()
	l := d.log.WithFields(log.Fields{"link_in": shares.Received, "link_out": shares.Sent, "processor": shares.Processor})
	if overloaded {
		l.Warn("overloaded; new connections are asked to go elsewhere")
	} else {
		l.Info("no longer overloaded")
	}
}
