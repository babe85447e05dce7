package gatewaydaemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/mesh"
	"briarreach/platform"
	"briarreach/quotastore"
	"briarreach/replica"
	"briarreach/replicalimit"
)

// holderName is the name of this VM's gateway among the holders of quota and the
// processes that share limits. Its successor has the same.
func holderName(s *platform.Settings) string { return s.ProcessName + "@" + s.IPAddress.String() }

func newLimits(s *platform.Settings) *replicalimit.Limits {
	return replicalimit.New(holderName(s), assumedGateways, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// limitExchange records the limits that replicas state and exchanges them with the
// other gateways.
type limitExchange struct {
	limits    *replicalimit.Limits
	broadcast func(replicalimit.Notice) // to the other gateways
	clock     clockwork.Clock
	log       log.Interface

	mu        sync.Mutex
	updatedAt time.Time // of the processes that share the limits
}

// processesInterval is the time between updates of the processes that share the
// limits.
const processesInterval = time.Second

func newLimitExchange(limits *replicalimit.Limits, peers *mesh.Mesh, clock clockwork.Clock, l log.Interface) *limitExchange {
	x := &limitExchange{limits: limits, broadcast: peers.BroadcastLimit, clock: clock, log: l}
	peers.OnLimit(x.handleNotice)
	return x
}

// record takes the limit in a response.
func (x *limitExchange) record(r replica.Replica, stated replicalimit.Limit, sentAt time.Time) {
	if !stated.Valid() {
		x.log.WithField("replica", r.ID).Warn("limit of a replica ignored: not a number of requests per second")
		return
	}
	notice, changed := x.limits.Record(r.Incarnation(), stated, sentAt, x.clock.Now())
	if notice != nil {
		x.broadcast(*notice)
	}
	if changed {
		x.logChange(r.ID, stated.Stated, stated.PerSecond, "response")
	}
}

// updateProcesses sets the other processes that share the limits, unless it has
// done so a moment ago.
func (x *limitExchange) updateProcesses(allocators quotastore.Allocators) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	if now.Sub(x.updatedAt) < processesInterval {
		return
	}
	// A gateway that does not know the others must not take a whole limit.
	if others, known := allocators.OtherHolders(); known {
		x.updatedAt = now
		x.limits.SetProcesses(others, now)
	}
}

// handleNotice takes the limit that another gateway has learned. The end of one is
// passed on, as not every gateway is connected to all others.
func (x *limitExchange) handleNotice(n replicalimit.Notice) {
	if !x.limits.HandleNotice(n, x.clock.Now()) {
		return
	}
	x.logChange(n.Replica.ID, n.Stated, n.PerSecond, "peer")
	if !n.Stated {
		x.broadcast(n)
	}
}

func (x *limitExchange) logChange(replicaID string, stated bool, perSecond float64, source string) {
	fields := log.Fields{"replica": replicaID, "source": source}
	if !stated {
		x.log.WithFields(fields).Info("replica no longer states a limit")
		return
	}
	fields["per_second"] = perSecond
	x.log.WithFields(fields).Info("replica states a limit")
}
