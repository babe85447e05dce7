package gatewaydaemon

import (
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"briarreach/mesh"
	"briarreach/platform"
	"briarreach/replica"
	"briarreach/replicanotice"
)

func newNotices(s *platform.Settings) *replicanotice.Notices {
	return replicanotice.New(s.Limits.DrainTimeout, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Rate of the log lines about pauses: a replica may ask for one in each answer.
const (
	pauseLinesPerSecond = 5
	pauseBurstLines     = 50
	// maxLoggedPauseBytes bounds what is logged of a pause that can't be read.
	maxLoggedPauseBytes = 64
)

// noticeExchange records what replicas say of themselves and tells the other
// gateways of those that leave.
type noticeExchange struct {
	notices    *replicanotice.Notices
	broadcast  func(replicanotice.Leaving)
	clock      clockwork.Clock
	log        log.Interface
	pauseLines *rate.Limiter
	unreadable *metrics.Counter
}

func newNoticeExchange(notices *replicanotice.Notices, peers *mesh.Mesh, clock clockwork.Clock, l log.Interface, set *metrics.Set) *noticeExchange {
	x := &noticeExchange{notices: notices, broadcast: peers.BroadcastLeaving, clock: clock, log: l,
		pauseLines: rate.NewLimiter(pauseLinesPerSecond, pauseBurstLines), unreadable: set.NewCounter("briarreach_replica_pauses_unreadable_total")}
	peers.OnLeaving(x.handleLeaving)
	set.NewGauge(`briarreach_replicas{state="leaving"}`, func() float64 {
		leaving, _ := notices.Counts(clock.Now())
		return float64(leaving)
	})
	set.NewGauge(`briarreach_replicas{state="paused"}`, func() float64 {
		_, paused := notices.Counts(clock.Now())
		return float64(paused)
	})
	return x
}

// record takes the notice in an answer.
func (x *noticeExchange) record(r replica.Replica, n replicanotice.Notice) {
	now := x.clock.Now()
	leaves, pauses := x.notices.Record(r.Incarnation(), n, now)
	if leaves {
		x.log.WithFields(log.Fields{"replica": r.ID, "source": "response", "until_ms": x.notices.DrainTimeout().Milliseconds()}).Info("replica leaves")
		x.broadcast(replicanotice.Leaving{Replica: r.Incarnation()})
	}
	if pauses && x.pauseLines.AllowN(now, 1) {
		x.log.WithFields(log.Fields{"replica": r.ID, "until_ms": n.Pause.Milliseconds()}).Info("replica pauses")
	}
}

// handleLeaving takes the notice of another gateway.
func (x *noticeExchange) handleLeaving(l replicanotice.Leaving) {
	if x.notices.HandleLeaving(l, x.clock.Now()) {
		x.log.WithFields(log.Fields{"replica": l.Replica.ID, "source": "peer"}).Info("replica leaves")
	}
}

// recordUnreadable counts a pause that can't be read.
func (x *noticeExchange) recordUnreadable(value string) {
	x.unreadable.Inc()
	if x.pauseLines.AllowN(x.clock.Now(), 1) {
		x.log.WithField("value", value[:min(len(value), maxLoggedPauseBytes)]).Warn("pause of a replica ignored: not a number of seconds")
	}
}
