package gatewaydaemon

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"briarreach/bytebudget"
	"briarreach/gateway"
	"briarreach/platform"
	"briarreach/route"
)

// CallerTuning bounds what callers can make the process hold.
type CallerTuning struct {
	// MemoryShare is the share of the VM's memory for what is held for callers'
	// connections, requests and answers; 0 is no bound.
	MemoryShare float64
	// StallTimeout is how long a request or an answer makes no progress at least before
	// its connection is closed for others.
	StallTimeout time.Duration
	// ConnectionsPerAddress bounds the connections from one remote address; 0 is no
	// bound, as all callers of a site may come from one address.
	ConnectionsPerAddress int
}

// defaultCallerTuning takes a fifth of the memory. The collector's limit is 0.6 of it,
// and the process takes some 15 MB without callers: on the smallest VM, of 112 MB, 30 MB
// of the 67 are left for garbage.
func defaultCallerTuning() CallerTuning {
	return CallerTuning{MemoryShare: 0.2, StallTimeout: bytebudget.DefaultStallTimeout}
}

// minCallerBytes is what callers get however small the VM is: a body of 4 MiB in chunks
// takes 6 MiB while its buffer grows for the last time.
const minCallerBytes = 8 << 20

func newCallerBudget(s *platform.Settings, t Tuning, set *metrics.Set) *bytebudget.Budget {
	limit := int64(math.MaxInt64)
	if t.Callers.MemoryShare > 0 {
		limit = max(int64(t.Callers.MemoryShare*float64(s.MemoryLimit)), minCallerBytes)
	}
	b := bytebudget.New(limit, bytebudget.WithStallTimeout(t.Callers.StallTimeout))
	set.NewGauge("briarreach_caller_bytes_held", func() float64 { return float64(b.Held()) })
	set.NewGauge("briarreach_caller_bytes_allowed", func() float64 { return float64(b.Limit()) })
	return b
}

// callerOptions returns the options of the server for callers.
func callerOptions(g *gateway.Gateway, c components) []platform.CallerOption {
	return []platform.CallerOption{
		platform.WithMaxConnections(c.Descriptors.callers),
		platform.WithOverload(c.Overload),
		platform.WithCallerTraffic(c.Traffic),
		platform.WithConnectionsPerAddress(c.Tuning.Callers.ConnectionsPerAddress),
		platform.WithCallerMemory(c.CallerBudget),
		platform.WithCallerLimits(func() route.Limits {
			if table := g.Snapshot().RouteTable; table != nil {
				return table.Limits()
			}
			return route.Limits{}
		}),
		platform.WithRefusalHandler(func(cause platform.RefusalCause) {
			c.Metrics.GetOrCreateCounter(fmt.Sprintf("briarreach_callers_refused_total{reason=%q}", cause)).Inc()
		}),
	}
}
