// Package feed watches a source of changes: it lists the source once, waits for
// changes, and lists it again when changes were lost.
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

// Source provides a state and its changes, as events of type E. Its calls fail when the
// source falls silent; how long a response takes that keeps arriving depends on its size.
type Source[E any] interface {
	// List returns the complete state.
	List(ctx context.Context) (Batch[E], error)
	// Next waits for changes after a version. The batch is empty if there are
	// none within the wait. The error is a *rowstore.HistoryLostError if changes
	// after the version are no longer kept; the watcher then lists again.
	Next(ctx context.Context, after uint64, wait time.Duration) (Batch[E], error)
}

// Batch is a list of events, and the version of the state after them.
type Batch[E any] struct {
	Events   []E
	Era      uint64 // of the source, which may be restored from a copy; versions rise only within an era
	Version  uint64
	Complete bool // whether the events are the complete state
	Restored bool // set by the watcher: the first complete state of a new era, which may lack what was written last

	AnsweredAt time.Time // when the response began to arrive; its state is not newer. Zero if not known
}

// Status tells how fresh the state is that a watcher's handler has taken.
type Status struct {
	Era       uint64
	Version   uint64
	CurrentAt time.Time // the state was current then; zero before the first
	Failing   bool      // whether the last call failed; lost history does not change it
}

// Watcher watches a source, and calls a handler from one goroutine with each
// batch that is complete or has events.
type Watcher[E any] struct {
	name    string
	source  Source[E]
	handler func(Batch[E])
	clock   clockwork.Clock
	log     log.Interface
	wait    time.Duration
	timeout time.Duration
	listGap bool // see WithListingAfterGap
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
	listGap bool
}

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithWait sets how long one call waits for changes, and the margin beyond it
// after which the call times out also while its response arrives.
func WithWait(wait, margin time.Duration) Option {
	return func(o *options) { o.wait, o.timeout = wait, wait+margin }
}

// Bounds of the delay after a failed call.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

const (
	defaultWait   = time.Second
	defaultMargin = 12 * time.Second
	// maxAnswerDelay is the time beyond a wait after which a response counts as late.
	maxAnswerDelay = 500 * time.Millisecond
	// maxGap is the time beyond a wait without a response after which the state is
	// listed. It exceeds what one call without a response takes.
	maxGap = time.Second
	// restoredGrace is the time after the listing of a restored source in which its
	// writers write again what the copy lacks.
	restoredGrace = 15 * time.Second
)

// WithListingAfterGap makes the watcher list the state after some time without a
// response, for sources with large rows that change often: the state is bounded, what
// changed in a gap is not, as each row may have changed many times. The handler does not
// see the changes of the gap.
func WithListingAfterGap() Option { return func(o *options) { o.listGap = true } }

// New starts a watcher.
func New[E any](name string, source Source[E], handler func(Batch[E]), opts ...Option) *Watcher[E] {
	o := options{clock: clockwork.NewRealClock(), log: log.Log, wait: defaultWait, timeout: defaultWait + defaultMargin}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher[E]{name: name, source: source, handler: handler, clock: o.clock, log: o.log,
		wait: o.wait, timeout: o.timeout, listGap: o.listGap, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

// Status returns how fresh the watcher's state is.
func (w *Watcher[E]) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status
}

// Close stops the watcher. It returns when the watcher has stopped or ctx ends;
// in the latter case, a call to the source may still be running.
func (w *Watcher[E]) Close(ctx context.Context) {
	w.cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w *Watcher[E]) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRetryDelay, maxRetryDelay
	listed, relisted := false, false
	justListed := false
	var restoredAt time.Time
	for ctx.Err() == nil {
		started := w.clock.Now()
		// The next listing of a restored source would count as complete, although it may
		// still lack what the copy lacked.
		mayList := w.listGap && listed && !justListed && (restoredAt.IsZero() || started.Sub(restoredAt) > restoredGrace)
		if gap := started.Sub(w.Status().CurrentAt); mayList && gap > w.wait+maxGap {
			w.log.WithField("feed", w.name).WithField("gap_ms", gap.Milliseconds()).Info("changes not followed for some time; listing again")
			listed = false
		}
		batch, err := w.listOrWait(ctx, listed)
		var lost *rowstore.HistoryLostError
		wait := time.Duration(0)
		switch {
		case err == nil && !batch.Complete && batch.Era != w.Status().Era:
			w.log.WithField("feed", w.name).WithField("era", batch.Era).Info("source restored; listing again")
			listed = false
		case err == nil:
			listed = true
			if !batch.Complete {
				relisted = false
				delay.Reset()
			}
			justListed = batch.Complete
			if batch.Restored = w.sourceAnswered(batch.Era, batch.Version, batch.Complete); batch.Restored {
				restoredAt = w.clock.Now()
			}
			if batch.Complete || len(batch.Events) > 0 {
				w.handler(batch)
			}
			w.stateTaken(batch, w.currentAt(batch, started))
		case ctx.Err() != nil:
			return
		case errors.As(err, &lost):
			w.log.WithField("feed", w.name).WithField("after", lost.After).Info("history lost; listing again")
			if relisted {
				wait = delay.NextBackOff() // the listing did not help
			}
			listed, relisted = false, true
		default:
			w.sourceFailed(err, listed, w.clock.Since(started))
			wait, justListed = delay.NextBackOff(), false
		}
		if wait > 0 {
			select {
			case <-w.clock.After(wait):
			case <-ctx.Done():
				return
			}
		}
	}
}

// currentAt returns a time at which the state of a response was current, for a call that
// was sent at the given time. A process that stood still sees an old response arrive late.
func (w *Watcher[E]) currentAt(b Batch[E], sent time.Time) time.Time {
	if b.Complete || b.AnsweredAt.Before(sent) || b.AnsweredAt.Sub(sent) > w.wait+maxAnswerDelay {
		return sent
	}
	return b.AnsweredAt
}

func (w *Watcher[E]) listOrWait(ctx context.Context, listed bool) (Batch[E], error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	if !listed {
		return w.source.List(ctx)
	}
	// Jitter spreads the calls of many processes.
	wait := w.wait - time.Duration(rand.Int64N(int64(w.wait)/8+1))
	return w.source.Next(ctx, w.Status().Version, wait)
}

// sourceAnswered notes a response. It reports whether it is the first listing of
// a source that was restored since the one before.
func (w *Watcher[E]) sourceAnswered(era, version uint64, complete bool) (restored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status.Failing {
		w.log.WithField("feed", w.name).WithField("version", version).
			WithField("away_ms", w.clock.Since(w.status.CurrentAt).Milliseconds()).Info("feed regained")
	}
	w.status.Failing = false
	known := !w.status.CurrentAt.IsZero()
	if restored = complete && known && (era != w.status.Era || version < w.status.Version); restored {
		w.log.WithFields(log.Fields{"feed": w.name, "era": era, "version": version, "known_era": w.status.Era, "known_version": w.status.Version}).
			Warn("source restored from a copy")
	}
	return restored
}

// stateTaken notes that the handler has taken a response whose state was current at a
// time.
func (w *Watcher[E]) stateTaken(b Batch[E], currentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status = Status{Era: b.Era, Version: b.Version, CurrentAt: currentAt}
}

// sourceFailed notes a call that failed after some time. listed says whether it waited
// for changes.
func (w *Watcher[E]) sourceFailed(err error, listed bool, took time.Duration) {
	call := "list"
	if listed {
		call = "changes"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.status.Failing {
		w.log.WithFields(log.Fields{"feed": w.name, "version": w.status.Version, "call": call, "took_ms": took.Milliseconds()}).WithError(err).Warn("feed lost")
	}
	w.status.Failing = true
}
