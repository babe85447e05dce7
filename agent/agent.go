// Package agent implements the process that runs next to a target. Only the
// agent sends requests to the target. It controls admission, runs each attempt
// at most once, meters usage, fences lost holders and drains the target.
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
	"briarreach/bytebudget"
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
	// loadReportInterval is the interval of load reports while the load doesn't
	// change. At 1 s and with 40 agents, an entry would spend 3.2 % of a core on
	// them; at most 1.9 % is wanted.
	loadReportInterval = 2 * time.Second
	// maxUnbilled bounds the usage records kept until their bills are
	// acknowledged. A target of the largest deployment finishes about 8
	// requests/s, so that this suffices for more than two hours.
	maxUnbilled = 65_536
	// attemptRetention is how long an ended attempt is remembered, so that a
	// duplicate dispatch does not run again.
	attemptRetention    = 10 * time.Minute
	maxReleasedAttempts = 100_000
	// resumeTimeout is how long a model request continues after its stream has
	// ended, for an entry to resume it. A shutdown waits as long after the end of
	// an attempt for the entry to consume its answer.
	resumeTimeout = 10 * time.Second
	// engineStopTimeout bounds the wait for an engine that was asked to end a
	// stream.
	engineStopTimeout = 2 * time.Second
	// answerRetention is how long the answer of an ended attempt can be resumed.
	answerRetention = time.Minute
	// usageAckTimeout bounds the wait for unacknowledged bills at shutdown.
	usageAckTimeout = 5 * time.Second
)

// Agent is a running agent process.
type Agent struct {
	settings  *settings.Settings
	clock     clockwork.Clock
	log       log.Interface
	events    *timeline.Recorder
	metrics   *metrics.Set
	endpoint  *peer.Endpoint
	follower  *configsync.Follower
	engine    *engine.Client
	service   *service.Client
	startedAt time.Time
	buffers   *stream.Limiter
	bodies    *bytebudget.Budget // of the bodies of accepted requests

	mu               sync.Mutex
	admission        *admission.Controller
	attempts         map[string]*attempt
	endedAttempts    []*attempt           // their answers may not be consumed yet
	releasedAttempts map[string]time.Time // end time, by id, of attempts whose answers were released
	refusedAttempts  map[string]time.Time // by id: attempts that an entry asked about before they arrived
	nonRepeatable    *claim.AttemptCache  // service calls that may not be repeated
	unbilled         map[string]peer.UnbilledUsage
	leaving          bool
	subscribers      map[*peer.Stream]subscriber

	statusServer *statusServer // nil without a metrics address
	running      atomic.Int64
	cancel       context.CancelFunc
	ctx          context.Context
	done         chan struct{}
}

// subscriber is an entry that receives load reports.
type subscriber struct {
	holder      string
	loadChanged chan struct{}
}

// New starts an agent.
func New(s *settings.Settings, opts ...daemon.Option) (*Agent, error) {
	a, err := daemon.New[*Agent](s, s.Agent.PeerAddress, opts,
		func() *configNotifier { return &configNotifier{} },
		newFollower,
		func() (*engine.Client, error) { return engine.New(s.Agent.TargetURL) },
		func() (*service.Client, error) { return service.New(s.Agent.TargetURL) },
		start)
	if err != nil {
		return nil, fmt.Errorf("agent.New: %w", err)
	}
	if listen := s.Agent.MetricsAddress; listen.IsValid() {
		if a.statusServer, err = newStatusServer(a, listen); err != nil {
			return nil, errors.Join(fmt.Errorf("agent.New: %w", err), a.Close(context.Background()))
		}
	}
	return a, nil
}

// configNotifier notifies the agent of new documents. The follower is created
// before the agent; documents that arrive before the agent exists need no
// notification.
type configNotifier struct{ notify atomic.Pointer[func()] }

func (c *configNotifier) configChanged(*config.Document) {
	if notify := c.notify.Load(); notify != nil {
		(*notify)()
	}
}

func newFollower(s *settings.Settings, store table.Store, endpoint *peer.Endpoint, c *configNotifier,
	clock clockwork.Clock, l log.Interface) *configsync.Follower {
	return configsync.New(store, configsync.WithClock(clock), configsync.WithLog(l),
		configsync.WithInterval(s.Agent.ConfigInterval.Duration),
		configsync.WithOnChange(c.configChanged),
		configsync.WithPeers(endpoint, func() []netip.AddrPort { return s.Agent.Entries }))
}

func start(s *settings.Settings, clock clockwork.Clock, l log.Interface, events *timeline.Recorder,
	set *metrics.Set, endpoint *peer.Endpoint, follower *configsync.Follower, h *daemon.Handler, c *configNotifier,
	engineClient *engine.Client, serviceClient *service.Client) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		settings: s, clock: clock, log: l, events: events, metrics: set, endpoint: endpoint,
		follower: follower, engine: engineClient, service: serviceClient, startedAt: clock.Now(),
		buffers:          stream.NewLimiter(int64(s.Agent.MaxBufferedBytes)),
		bodies:           bytebudget.New(int64(s.Agent.MaxRequestMemoryBytes)),
		admission:        admission.New(admission.Capacity{}),
		attempts:         map[string]*attempt{},
		refusedAttempts:  map[string]time.Time{},
		releasedAttempts: map[string]time.Time{},
		unbilled:         map[string]peer.UnbilledUsage{},
		subscribers:      map[*peer.Stream]subscriber{},
		ctx:              ctx,
		cancel:           cancel,
		done:             make(chan struct{}),
	}
	a.nonRepeatable = claim.NewAttemptCache(a.startedAt, claim.WithClockMargin(s.Agent.ClockMargin.Duration), claim.WithRetention(attemptRetention))
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

// Events returns the agent's timeline.
func (a *Agent) Events() *timeline.Recorder { return a.events }

// Metrics returns the agent's metrics.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Ready returns nil if the agent accepts requests, or the reason why not.
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

// NotReadyError reports why the agent accepts no requests.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "agent is not ready: " + e.Reason }

// Close stops accepting requests, waits until running attempts have ended and
// their bills are acknowledged (at most usageAckTimeout), or until the context
// ends, and stops the agent.
func (a *Agent) Close(ctx context.Context) error {
	a.Leave()
	err := a.drain(ctx)
	a.cancel()
	<-a.done
	a.follower.Close()
	if a.statusServer != nil {
		err = errors.Join(err, a.statusServer.close())
	}
	return errors.Join(err, a.endpoint.Close())
}

// Leave stops accepting requests and reports this to the entries.
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
			// An entry that lost its connection may resume within resumeTimeout.
			// Attempts without a stream, since sending to the entry failed, are
			// not waited for.
			awaitsEntry := !at.consumed && at.stream != nil && a.clock.Since(at.endedAt) < resumeTimeout
			if awaitsEntry || !at.isFinished() {
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

// registeredTarget returns the target's registration in the current document.
func (a *Agent) registeredTarget(document *config.Document) (config.Target, bool) {
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
	a.metrics.NewGauge("briarreach_agent_request_bytes_held", func() float64 { return float64(a.bodies.Held()) })
	a.metrics.NewGauge("briarreach_agent_config_number", func() float64 { return float64(a.follower.Number()) })
}

func (a *Agent) incrementCounter(name string) { a.metrics.GetOrCreateCounter(name).Inc() }

// expire releases the answers of ended attempts that are consumed or older than
// answerRetention, forgets attempts and refusals that are older than
// attemptRetention, and expires queued requests.
func (a *Agent) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.endedAttempts[:0]
	for _, at := range a.endedAttempts {
		if !at.isConsumed() && now.Sub(at.endedAt) <= answerRetention {
			kept = append(kept, at)
			continue
		}
		at.release()
		delete(a.attempts, at.dispatch.AttemptID)
		// a.nonRepeatable remembers the attempts that may not be repeated.
		if at.dispatch.Repeatable && len(a.releasedAttempts) < maxReleasedAttempts {
			a.releasedAttempts[at.dispatch.AttemptID] = at.endedAt
		}
	}
	clear(a.endedAttempts[len(kept):])
	a.endedAttempts = kept
	for id, endedAt := range a.releasedAttempts {
		if now.Sub(endedAt) >= attemptRetention {
			delete(a.releasedAttempts, id)
		}
	}
	for id, refusedAt := range a.refusedAttempts {
		if now.Sub(refusedAt) >= attemptRetention {
			delete(a.refusedAttempts, id)
		}
	}
	// The attempts of expired requests end at their own deadline.
	a.admission.Expire(now)
	for _, admitted := range a.admission.Admit(now) {
		a.startAdmitted(admitted)
	}
}
