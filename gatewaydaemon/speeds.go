package gatewaydaemon

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"briarreach/mesh"
	"briarreach/quotastore"
	"briarreach/replicaspeed"
)

const (
	// speedStepInterval is the time between checks whether a message to the other
	// gateways is due, and between updates of the metrics.
	speedStepInterval = 500 * time.Millisecond
	// maxSpeedGauges bounds the replicas whose speed is a metric, and maxGaugeIDBytes
	// the length of their IDs, which may be of any length in the registry.
	maxSpeedGauges  = 256
	maxGaugeIDBytes = 128
	// A replica is logged as slow below slowSpeed, and as no longer slow above
	// soundSpeed, which is higher so that lines do not alternate.
	slowSpeed, soundSpeed = 0.5, 0.75
)

// speedExchange exchanges what gateways see of the speeds of replicas.
type speedExchange struct {
	speeds     *replicaspeed.Speeds
	others     func() (names []string, known bool) // the other gateways
	broadcast  func(replicaspeed.Message)
	clock      clockwork.Clock
	log        log.Interface
	lines      *rate.Limiter
	set        *metrics.Set
	gauges     map[string]*metrics.Gauge // by replica ID
	slow       map[string]bool           // by replica ID
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// newSpeedExchange returns nil if the speeds are not estimated.
func newSpeedExchange(t Tuning, peers *mesh.Mesh, allocators quotastore.Allocators, clock clockwork.Clock, l log.Interface, set *metrics.Set) *speedExchange {
	if !t.LearnSpeed {
		return nil
	}
	x := &speedExchange{speeds: replicaspeed.New(t.Speed), others: allocators.OtherHolders, broadcast: peers.BroadcastSpeeds, clock: clock, log: l,
		lines: rate.NewLimiter(1, 1), set: set, gauges: make(map[string]*metrics.Gauge), slow: make(map[string]bool)}
	peers.OnSpeeds(func(m replicaspeed.Message) { x.speeds.HandleMessage(m, clock.Now()) })
	for name, value := range map[string]func(replicaspeed.Stats) int64{
		`briarreach_speed_messages_total{direction="sent"}`:     func(s replicaspeed.Stats) int64 { return s.Sent },
		`briarreach_speed_messages_total{direction="received"}`: func(s replicaspeed.Stats) int64 { return s.Received },
		`briarreach_speed_entries_invalid_total`:                func(s replicaspeed.Stats) int64 { return s.Invalid },
	} {
		set.NewGauge(name, func() float64 { return float64(value(x.speeds.Stats())) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	x.goroutines.Go(func() {
		for {
			select {
			case <-clock.After(speedStepInterval):
				x.step()
			case <-ctx.Done():
				return
			}
		}
	})
	return x
}

// Close ends the exchange.
func (x *speedExchange) Close() {
	if x != nil {
		x.cancel()
		x.goroutines.Wait()
	}
}

// step sends the message that is due and updates the metrics.
func (x *speedExchange) step() {
	now := x.clock.Now()
	if others, known := x.others(); known {
		if m, due := x.speeds.NextMessage(len(others), now); due {
			x.broadcast(m)
		}
	}
	all := x.speeds.All(now)
	live := make(map[string]bool, len(all))
	for _, r := range all {
		live[r.ID] = true
	}
	for id := range x.gauges {
		if !live[id] {
			x.set.UnregisterMetric(gaugeName(id))
			delete(x.gauges, id)
		}
	}
	maps.DeleteFunc(x.slow, func(id string, _ bool) bool { return !live[id] })
	for _, r := range all {
		x.updateGauge(r.ID, r.Speed)
		x.logChange(r, now)
	}
}

func gaugeName(id string) string { return fmt.Sprintf("briarreach_replica_speed{replica=%q}", id) }

func (x *speedExchange) updateGauge(id string, speed float64) {
	g := x.gauges[id]
	if g == nil {
		if len(x.gauges) >= maxSpeedGauges || len(id) > maxGaugeIDBytes {
			return
		}
		g = x.set.NewGauge(gaugeName(id), nil)
		x.gauges[id] = g
	}
	g.Set(speed)
}

// logChange logs that a replica has become slow, or is no longer slow.
func (x *speedExchange) logChange(r replicaspeed.Named, now time.Time) {
	switch slow := x.slow[r.ID]; {
	case !slow && r.Speed < slowSpeed:
		x.slow[r.ID] = true
	case slow && r.Speed > soundSpeed:
		delete(x.slow, r.ID)
	default:
		return
	}
	if x.lines.AllowN(now, 1) {
		x.log.WithFields(log.Fields{"replica": r.ID, "slow": x.slow[r.ID], "speed": fmt.Sprintf("%.2f", r.Speed), "tokens_per_second": int(r.Rate)}).Info("speed of a replica changed")
	}
}
