// Package crash finds out whether a replica whose connection broke has ended.
//
// Failure: a replica that crashes closes all its connections, and the next
// connection to its address is refused; a replica or a network that breaks single
// responses still accepts connections. The specs in this package cover both.
package crash

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/replica"
)

// BrokenSend is a model request whose connection to a replica broke, or ended with
// the answer.
type BrokenSend struct {
	Replica replica.Replica
	// SharedParts are the IDs of the parts of the request's prompt, without the
	// last.
	SharedParts []string
	At          time.Time // when the connection broke
	// AnswerTime is for how long the replica had been sending events; 0 if it had
	// sent none.
	AnswerTime time.Duration
	// PossiblyComplete says that the end of the connection ended the answer, as it
	// does when a replica crashes.
	PossiblyComplete bool
}

// End is a broken send whose replica has ended.
type End struct{ BrokenSend }

// Dialer connects to replicas.
type Dialer interface {
	// AcceptsConnections reports whether a connection to an address can be opened.
	AcceptsConnections(ctx context.Context, address netip.AddrPort) bool
}

const (
	maxQueuedSends = 1024
	// checkDelay gives an ending process the time to close its listener.
	checkDelay = 10 * time.Millisecond
	// checkTimeout is the time after which a replica counts as ended if the
	// connection is neither accepted nor refused.
	checkTimeout = 300 * time.Millisecond
	// resultTTL is how long the result of a check is kept.
	resultTTL = 10 * time.Second
)

// Detector checks the replicas of broken sends.
type Detector struct {
	dialer     Dialer
	clock      clockwork.Clock
	log        log.Interface
	onEnd      func(End)
	onComplete func(BrokenSend)
	ends       *metrics.Counter
	dropped    *metrics.Counter
	queue      chan BrokenSend
	results    map[replica.Incarnation]result // used by one goroutine
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// result is the result of a check that started at a time.
type result struct {
	ended bool
	at    time.Time
}

// Option changes a default of New.
type Option func(*Detector)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(d *Detector) { d.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(d *Detector) { d.log = l } }

// WithMetrics adds the detector's metrics to a set.
func WithMetrics(set *metrics.Set) Option {
	return func(d *Detector) {
		d.ends = set.NewCounter("briarreach_replica_ends_total")
		d.dropped = set.NewCounter("briarreach_replica_checks_dropped_total")
	}
}

// WithEndHandler calls f, from one goroutine, for each broken send whose replica
// has ended.
func WithEndHandler(f func(End)) Option { return func(d *Detector) { d.onEnd = f } }

// WithCompleteHandler calls f, from the same goroutine, for each send that is
// complete after all: its replica has not ended.
func WithCompleteHandler(f func(BrokenSend)) Option { return func(d *Detector) { d.onComplete = f } }

// New starts a detector.
func New(dialer Dialer, opts ...Option) *Detector {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Detector{dialer: dialer, clock: clockwork.NewRealClock(), log: log.Log, onEnd: func(End) {}, onComplete: func(BrokenSend) {},
		queue: make(chan BrokenSend, maxQueuedSends), results: make(map[replica.Incarnation]result), cancel: cancel}
	WithMetrics(metrics.NewSet())(d)
	for _, opt := range opts {
		opt(d)
	}
	d.goroutines.Go(func() {
		for {
			select {
			case b := <-d.queue:
				d.check(ctx, b)
			case <-ctx.Done():
				return
			}
		}
	})
	return d
}

// Close stops the detector.
func (d *Detector) Close() {
	d.cancel()
	d.goroutines.Wait()
}

// Report hands over a broken send. It never blocks: if the queue is full, the
// send is dropped.
func (d *Detector) Report(b BrokenSend) {
	select {
	case d.queue <- b:
	default:
		d.dropped.Inc()
	}
}

func (d *Detector) check(ctx context.Context, b BrokenSend) {
	k := b.Replica.Incarnation()
	known, checked := d.results[k]
	if !checked || !known.ended && b.At.After(known.at) {
		known = d.dial(ctx, b)
		if ctx.Err() != nil {
			return
		}
		if known.ended {
			d.ends.Inc()
		}
		for key, r := range d.results {
			if d.clock.Since(r.at) > resultTTL {
				delete(d.results, key)
			}
		}
		d.results[k] = known
	}
	fields := log.Fields{"replica": b.Replica.ID, "service": b.Replica.Service, "prompt_parts": b.SharedParts, "answering_ms": b.AnswerTime.Milliseconds()}
	switch {
	case !known.ended && b.PossiblyComplete:
		d.onComplete(b)
		return
	case !known.ended:
		d.log.WithFields(fields).Info("replica broke a connection and still accepts others")
		return
	}
	d.log.WithFields(fields).Warn("replica ended")
	d.onEnd(End{BrokenSend: b})
}

func (d *Detector) dial(ctx context.Context, b BrokenSend) result {
	select {
	case <-d.clock.After(checkDelay - d.clock.Since(b.At)):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	started := d.clock.Now()
	return result{ended: !d.dialer.AcceptsConnections(ctx, b.Replica.Address), at: started}
}
