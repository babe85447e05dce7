// Package feed keeps a process up to date with a source of changes: it lists
// the source once, waits for changes, and lists it again when changes were
// lost.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"briarreach/rowstore"
)

// Source is what the platform publishes, as events of the product.
type Source[E any] interface {
	// List returns the complete state.
	List(ctx context.Context) (Batch[E], error)
	// Next waits for changes after a version; no event means that none came.
	Next(ctx context.Context, after uint64, wait time.Duration) (Batch[E], error)
}

// Batch is a number of events and the version up to which they lead.
type Batch[E any] struct {
	Events   []E
	Version  uint64
	Complete bool // whether the events are the complete state
}

// Status says how fresh a follower's belief is.
type Status struct {
	Version    uint64
	LastAnswer time.Time // last answer of the source
	Failing    bool      // whether the last call failed
}

// Watcher calls a handler with each batch, from one goroutine.
type Watcher[E any] struct {
	name    string
	source  Source[E]
	handle  func(Batch[E])
	clock   clockwork.Clock
	log     log.Interface
	wait    time.Duration
	timeout time.Duration
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	status Status
}

// Option changes a default of New.
type Option func(*options)

type options struct {
	clock   clockwork.Clock
	log     log.Interface
	wait    time.Duration
	timeout time.Duration
}

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithWait sets how long one call waits for changes, and the time by which it
// may be late before the connection is given up.
func WithWait(wait, margin time.Duration) Option {
	return func(o *options) { o.wait, o.timeout = wait, wait+margin }
}

// Bounds of the pause between failed calls.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

// New starts a follower.
func New[E any](name string, source Source[E], handle func(Batch[E]), opts ...Option) *Watcher[E] {
	o := options{clock: clockwork.NewRealClock(), log: log.Log, wait: time.Second, timeout: 1500 * time.Millisecond}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Watcher[E]{name: name, source: source, handle: handle, clock: o.clock, log: o.log,
		wait: o.wait, timeout: o.timeout, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Status returns how fresh the belief is.
func (f *Watcher[E]) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Close stops the follower. It returns when the follower has stopped or ctx
// ends; a call to the source may be going on then.
func (f *Watcher[E]) Close(ctx context.Context) {
	f.cancel()
	select {
	case <-f.done:
	case <-ctx.Done():
	}
}

func (f *Watcher[E]) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRetryDelay, maxRetryDelay
	listed := false
	for ctx.Err() == nil {
		batch, err := f.call(ctx, listed)
		var lost *rowstore.HistoryLostError
		switch {
		case err == nil:
			listed = true
			delay.Reset()
			f.heard(batch.Version)
			if batch.Complete || len(batch.Events) > 0 {
				f.handle(batch)
			}
		case ctx.Err() != nil:
			return
		case errors.As(err, &lost):
			f.log.WithField("feed", f.name).WithField("after", lost.After).Info("history lost; listing again")
			listed = false
		default:
			f.failed(err)
			select {
			case <-f.clock.After(delay.NextBackOff()):
			case <-ctx.Done():
				return
			}
		}
	}
}

func (f *Watcher[E]) call(ctx context.Context, listed bool) (Batch[E], error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if !listed {
		return f.source.List(ctx)
	}
	// The wait varies so that the calls of many processes spread out.
	wait := f.wait - time.Duration(rand.Int64N(int64(f.wait)/8+1))
	return f.source.Next(ctx, f.Status().Version, wait)
}

func (f *Watcher[E]) heard(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.Failing {
		f.log.WithField("feed", f.name).WithField("version", version).
			WithField("away_ms", f.clock.Since(f.status.LastAnswer).Milliseconds()).Info("feed regained")
	}
	f.status = Status{Version: max(version, f.status.Version), LastAnswer: f.clock.Now()}
}

func (f *Watcher[E]) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.Failing {
		f.log.WithField("feed", f.name).WithField("version", f.status.Version).WithError(err).Warn("feed lost")
	}
	f.status.Failing = true
}
