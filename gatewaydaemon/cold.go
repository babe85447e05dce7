package gatewaydaemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"briarreach/coldreplica"
	"briarreach/feed"
	"briarreach/placement"
	"briarreach/platform"
	"briarreach/quota"
	"briarreach/quotastore"
	"briarreach/replica"
	"briarreach/replicalimit"
	"briarreach/route"
)

const (
	// assumedColdGateways divides the rate of a cold replica for a gateway that does not
	// know the others, or that they do not know. It is twice the largest fleet of the
	// deployments (31 gateways), so that all of them together stay below the rate.
	assumedColdGateways = 64
	// holderMemory is how long a gateway counts among those that share the rates after it
	// has written its row last. One that is cut off from the store still uses its share.
	holderMemory = 10 * time.Minute
	// settleLists is the number of reads of the holders' rows that the other gateways have
	// had time for before a new one takes its whole share.
	settleLists = 2
)

// Rate of the log lines about cold replicas: a whole failure domain may return.
const (
	coldLinesPerSecond = 1
	coldBurstLines     = 5
	maxLoggedCold      = 5 // IDs in one line
)

// coldPace bounds the requests to cold replicas. tracker is used under Daemon.mu.
type coldPace struct {
	tracker *coldreplica.Tracker
	limits  *replicalimit.Limits
	bound   coldreplica.Bound
	enabled bool
	quota   quota.Settings
	clock   clockwork.Clock
	log     log.Interface
	lines   *rate.Limiter

	mu         sync.Mutex
	updatedAt  time.Time // of the gateways that share the rates
	knownSince time.Time
}

func newColdPace(s *platform.Settings, t Tuning, clock clockwork.Clock, l log.Interface) *coldPace {
	bound := coldreplica.Bound{Overshoot: s.Limits.ColdOvershoot, Slack: s.Limits.ColdSlack}
	return &coldPace{tracker: coldreplica.New(), bound: bound, enabled: t.Replicas.PaceCold, quota: t.Quota, clock: clock, log: l,
		limits: replicalimit.New(holderName(s), assumedColdGateways, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			replicalimit.WithSharers(bound.Sharers), replicalimit.WithCaution()),
		lines: rate.NewLimiter(coldLinesPerSecond, coldBurstLines)}
}

// updateProcesses sets the other gateways that share the rates.
func (c *coldPace) updateProcesses(allocators quotastore.Allocators) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.updatedAt) < processesInterval {
		return
	}
	others, known := allocators.RecentHolders(holderMemory)
	if !known {
		return
	}
	c.updatedAt = now
	if c.knownSince.IsZero() {
		c.knownSince = now
	}
	c.limits.SetProcesses(others, now)
	if now.Sub(c.knownSince) >= settleLists*c.quota.ListEvery*time.Duration(max((len(others)+1)/c.quota.HoldersPerListFactor, 1)) {
		c.limits.EndCaution(now)
	}
}

// apply takes events of the registry.
func (c *coldPace) apply(b feed.Batch[replica.Event], now time.Time) {
	c.tracker.Apply(b.Events, b.Complete, b.Restored, now)
}

// update sets the rates of the cold replicas of a configuration's services. It comes
// before requests are sent by that configuration or to these replicas.
func (c *coldPace) update(replicas []replica.Replica, t *route.Table, now time.Time) {
	if !c.enabled || t == nil {
		return
	}
	rates := make(map[replica.Incarnation]replicalimit.Rate)
	for _, r := range replicas {
		s, ok := t.Service(r.Service)
		if !ok || s.ColdPerSecond <= 0 {
			continue
		}
		if cold, ok := c.tracker.Cold(r, s.ColdStart, now); ok {
			rates[r.Incarnation()] = replicalimit.Rate{PerSecond: c.bound.PerSecond(s.ColdPerSecond), From: cold.From, Until: cold.Until}
		}
	}
	began, ended := c.limits.SetRates(rates, now)
	if len(began)+len(ended) == 0 || !c.lines.AllowN(now, 1) {
		return
	}
	var ids []string
	for _, r := range began[:min(len(began), maxLoggedCold)] {
		ids = append(ids, r.ID)
	}
	c.log.WithFields(log.Fields{"cold": len(rates), "began": len(began), "ended": len(ended), "replicas": ids}).Info("cold replicas changed")
}

// count returns the number of cold replicas, also of services without a rate for them.
func (c *coldPace) count(replicas []replica.Replica, t *route.Table, now time.Time) int {
	n := 0
	for _, r := range replicas {
		var coldStart time.Duration
		if t != nil {
			if s, ok := t.Service(r.Service); ok {
				coldStart = s.ColdStart
			}
		}
		if _, cold := c.tracker.Cold(r, coldStart, now); cold {
			n++
		}
	}
	return n
}

// limiters is a placement.Limiter that allows what all of its parts allow.
type limiters []placement.Limiter

// Allows implements placement.Limiter.
func (l limiters) Allows(r replica.Incarnation, now time.Time) (wait time.Duration, allowed bool) {
	allowed = true
	for _, part := range l {
		if w, ok := part.Allows(r, now); !ok {
			wait, allowed = max(wait, w), false
		}
	}
	return wait, allowed
}

// Take implements placement.Limiter. A request that only a later part refuses is lost
// for the earlier ones.
func (l limiters) Take(r replica.Incarnation, now time.Time) bool {
	for _, part := range l {
		if !part.Take(r, now) {
			return false
		}
	}
	return true
}
