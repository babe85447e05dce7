// Package crash finds out whether a replica whose connection broke has ended.
//
// Failure: a replica that crashes closes all its connections, and the next
// connection to its address is refused; a replica or a network that breaks single
// responses still accepts connections. The specs in this package cover both.
package crash

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/singleflight"

	"briarreach/replica"
)

// BrokenSend is a request whose connection to a replica broke, or ended with the
// answer.
type BrokenSend struct {
	Replica replica.Replica
	// SharedParts are the IDs of the parts of the request's prompt, without the
	// last. A request to a plain service has none.
	SharedParts []string
	Fingerprint string    // of the request's content; the same when it is sent again
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
	// workerCount is the number of replicas that are checked at a time, as each of
	// many that don't respond takes checkTimeout.
	workerCount = 8
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
	dials      singleflight.Group // by incarnation
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	results map[replica.Incarnation]result
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

// WithEndHandler calls f for each broken send whose replica has ended. Calls may be
// concurrent.
func WithEndHandler(f func(End)) Option { return func(d *Detector) { d.onEnd = f } }

// WithCompleteHandler calls f for each send that is complete after all: its replica
// has not ended. Calls may be concurrent.
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
	for range workerCount {
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
	}
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
	known, checked := d.result(k)
	for !checked || !known.ended && b.At.After(known.at) {
		_, _, _ = d.dials.Do(fmt.Sprint(k), func() (any, error) {
			d.record(k, d.dial(ctx, b))
			return nil, nil
		})
		if ctx.Err() != nil {
			return
		}
		known, checked = d.result(k)
	}
	fields := log.Fields{"replica": b.Replica.ID, "service": b.Replica.Service, "prompt_parts": b.SharedParts, "fingerprint": b.Fingerprint, "answering_ms": b.AnswerTime.Milliseconds()}
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

func (d *Detector) result(k replica.Incarnation) (result, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.results[k]
	return r, ok
}

// record keeps a result, and drops those that are old.
func (d *Detector) record(k replica.Incarnation, r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.ended && !d.results[k].ended {
		d.ends.Inc()
	}
	d.results[k] = r
	for key, other := range d.results {
		if d.clock.Since(other.at) > resultTTL {
			delete(d.results, key)
		}
	}
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
