// Package agent is the process beside a target. It is the only one that sends
// work and orders to the target: it admits, runs each attempt at most once,
// counts usage, fences and drains.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/admission"
	"briarreach/claim"
	"briarreach/config"
	"briarreach/configsync"
	"briarreach/daemon"
	"briarreach/engine"
	"briarreach/peer"
	"briarreach/service"
	"briarreach/settings"
	"briarreach/stream"
	"briarreach/table"
	"briarreach/timeline"
)

const (
	maxFrameBytes     = 8 << 10
	heartbeatInterval = 500 * time.Millisecond
	// loadInterval is how often an unchanged load is pushed. At 40 agents an
	// entry spends 3.2 % of a core with 1 s, above the target of 1.9 %.
	loadInterval = 2 * time.Second
	// maxUnbilled bounds the usage kept until its bill is acknowledged. A
	// replica of the largest deployment finishes about 8 requests/s, so that
	// this holds for more than two hours.
	maxUnbilled = 65_536
	// attemptRetention is how long an ended attempt is remembered, so that a
	// duplicate dispatch does not run again.
	attemptRetention = 10 * time.Minute
	maxAttempts      = 100_000
	// resumeTimeout is how long an attempt goes on without an entry that reads
	// its answer.
	resumeTimeout = 10 * time.Second
	// stopTimeout bounds the wait for an engine that was asked to end a stream.
	stopTimeout = 2 * time.Second
	// tailRetention is how long an ended answer waits for an entry that
	// resumes it.
	tailRetention = time.Minute
	// usageAckTimeout bounds the wait for outstanding bills at shutdown.
	usageAckTimeout = 5 * time.Second
)

// Agent is a running agent process.
type Agent struct {
	settings *settings.Settings
	clock    clockwork.Clock
	log      log.Interface
	events   *timeline.Recorder
	metrics  *metrics.Set
	endpoint *peer.Endpoint
	follower *configsync.Follower
	engine   *engine.Client
	service  *service.Client
	started  time.Time
	buffers  *stream.Limiter

	mu          sync.Mutex
	admission   *admission.Controller
	attempts    map[string]*attempt
	ended       []*attempt           // ended, with an answer that may not be consumed yet
	finished    map[string]time.Time // ids of ended attempts whose answer was given up
	refused     map[string]time.Time // repeatable attempts that were never seen when asked for
	calls       *claim.AttemptCache  // attempts that may not be repeated
	unbilled    map[string]peer.UnbilledUsage
	leaving     bool
	subscribers map[*peer.Stream]subscriber

	status  *statusServer // nil without a metrics address
	running atomic.Int64
	cancel  context.CancelFunc
	context context.Context
	done    chan struct{}
}

// subscriber is an entry that the agent pushes its load to.
type subscriber struct {
	holder  string
	changed chan struct{}
}

// New starts an agent.
func New(s *settings.Settings, opts ...daemon.Option) (*Agent, error) {
	a, err := daemon.New[*Agent](s, s.Agent.PeerAddress, opts,
		func() *changes { return &changes{} },
		newFollower,
		func() (*engine.Client, error) { return engine.New(s.Agent.TargetURL) },
		func() (*service.Client, error) { return service.New(s.Agent.TargetURL) },
		start)
	if err != nil {
		return nil, fmt.Errorf("agent.New: %w", err)
	}
	if listen := s.Agent.MetricsAddress; listen.IsValid() {
		if a.status, err = newStatusServer(a, listen); err != nil {
			return nil, errors.Join(fmt.Errorf("agent.New: %w", err), a.Close(context.Background()))
		}
	}
	return a, nil
}

// changes tells the agent of new documents. The follower is made first, so
// that a document which comes before the agent is made needs no call.
type changes struct{ notify atomic.Pointer[func()] }

func (c *changes) configured(*config.Document) {
	if notify := c.notify.Load(); notify != nil {
		(*notify)()
	}
}

func newFollower(s *settings.Settings, store table.Store, endpoint *peer.Endpoint, c *changes,
	clock clockwork.Clock, l log.Interface) *configsync.Follower {
	return configsync.New(store, configsync.WithClock(clock), configsync.WithLog(l),
		configsync.WithInterval(s.Agent.ConfigInterval.Duration),
		configsync.WithOnChange(c.configured),
		configsync.WithPeers(endpoint, func() []netip.AddrPort { return s.Agent.Entries }))
}

func start(s *settings.Settings, clock clockwork.Clock, l log.Interface, events *timeline.Recorder,
	set *metrics.Set, endpoint *peer.Endpoint, follower *configsync.Follower, h *daemon.Handler, c *changes,
	engineClient *engine.Client, serviceClient *service.Client) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		settings: s, clock: clock, log: l, events: events, metrics: set, endpoint: endpoint,
		follower: follower, engine: engineClient, service: serviceClient, started: clock.Now(),
		buffers:     stream.NewLimiter(int64(s.Agent.MaxBufferedBytes)),
		admission:   admission.New(admission.Capacity{}),
		attempts:    map[string]*attempt{},
		refused:     map[string]time.Time{},
		finished:    map[string]time.Time{},
		unbilled:    map[string]peer.UnbilledUsage{},
		subscribers: map[*peer.Stream]subscriber{},
		context:     ctx,
		cancel:      cancel,
		done:        make(chan struct{}),
	}
	a.calls = claim.NewAttemptCache(a.started, claim.WithClockMargin(s.Agent.ClockMargin.Duration), claim.WithRetention(attemptRetention))
	a.registerMetrics()
	notify := a.notifyLoad
	c.notify.Store(&notify)
	h.Set(a.serve)
	go func() {
		defer close(a.done)
		ticker := clock.NewTicker(heartbeatInterval / 2)
		defer ticker.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
			}
			a.sendHeartbeats(clock.Now())
			if n%4 == 0 {
				a.expire(clock.Now())
			}
		}
	}()
	l.WithField("target", s.Agent.Target).WithField("address", endpoint.Addr().String()).Info("agent started")
	return a
}

// Addr returns the address on which entries reach the agent.
func (a *Agent) Addr() netip.AddrPort { return a.endpoint.Addr() }

// Events returns the agent's time line.
func (a *Agent) Events() *timeline.Recorder { return a.events }

// Metrics returns the agent's metrics.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Ready reports why the agent can't accept work, or nil.
func (a *Agent) Ready() error {
	document := a.follower.Current()
	switch {
	case document == nil:
		return &configsync.NoDocumentError{}
	case !a.follower.FencedHoldersLoaded():
		return &NotReadyError{Reason: "the list of fenced holders has not been read"}
	default:
		return nil
	}
}

// NotReadyError reports why the agent accepts no work.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "agent is not ready: " + e.Reason }

// Close stops accepting work, waits until running attempts have ended and
// their bills are acknowledged or the context ends, and stops the process.
func (a *Agent) Close(ctx context.Context) error {
	a.Leave()
	err := a.drain(ctx)
	a.cancel()
	<-a.done
	a.follower.Close()
	if a.status != nil {
		err = errors.Join(err, a.status.close())
	}
	return errors.Join(err, a.endpoint.Close())
}

// Leave stops accepting work and tells the entries.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.admission.Leave()
	a.mu.Unlock()
	a.events.Record(timeline.Event{Kind: "target_leaving", Target: a.settings.Agent.Target})
	a.notifyLoad()
}

func (a *Agent) drain(ctx context.Context) error {
	ticker := a.clock.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	var idleSince time.Time
	for {
		a.mu.Lock()
		open := 0
		for _, at := range a.attempts {
			at.mu.Lock()
			// An entry that has lost the connection resumes within resumeTimeout.
			waits := !at.consumed && at.attached != nil && a.clock.Since(at.ended) < resumeTimeout
			if waits || !at.isFinished() {
				open++
			}
			at.mu.Unlock()
		}
		unbilled := len(a.unbilled)
		a.mu.Unlock()
		now := a.clock.Now()
		if open > 0 {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = now
		}
		if open == 0 && (unbilled == 0 || now.Sub(idleSince) > usageAckTimeout) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &DrainTimeoutError{Running: open}
		case <-ticker.Chan():
		}
	}
}

// registered returns the target's registration in the current document.
func (a *Agent) registered(document *config.Document) (config.Target, bool) {
	if document == nil {
		return config.Target{}, false
	}
	t, ok := document.Targets[a.settings.Agent.Target]
	return t, ok
}

func (a *Agent) registerMetrics() {
	a.metrics.NewGauge("briarreach_agent_running", func() float64 { return float64(a.running.Load()) })
	a.metrics.NewGauge("briarreach_agent_unbilled", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(len(a.unbilled))
	})
	a.metrics.NewGauge("briarreach_agent_buffered_bytes", func() float64 { return float64(a.buffers.Used()) })
	a.metrics.NewGauge("briarreach_agent_config_number", func() float64 { return float64(a.follower.Number()) })
}

func (a *Agent) count(name string) { a.metrics.GetOrCreateCounter(name).Inc() }

// expire gives up what ended answers hold and forgets attempts and refusals
// that are older than their retention.
func (a *Agent) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.ended[:0]
	for _, at := range a.ended {
		if !at.isConsumed() && now.Sub(at.ended) <= tailRetention {
			kept = append(kept, at)
			continue
		}
		at.release()
		delete(a.attempts, at.dispatch.Attempt)
		// Package claim remembers the attempts that may not be repeated.
		if at.dispatch.Repeatable && len(a.finished) < maxAttempts {
			a.finished[at.dispatch.Attempt] = at.ended
		}
	}
	clear(a.ended[len(kept):])
	a.ended = kept
	for id, at := range a.finished {
		if now.Sub(at) >= attemptRetention {
			delete(a.finished, id)
		}
	}
	for id, at := range a.refused {
		if now.Sub(at) >= attemptRetention {
			delete(a.refused, id)
		}
	}
	// The attempts of expired tickets end by their own deadline.
	a.admission.Expire(now)
	for _, ticket := range a.admission.Admit(now) {
		a.admit(ticket)
	}
}
