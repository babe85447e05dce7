// Package entry implements the process on an entry VM. It serves callers and
// operators, pays for requests from its budget grants, dispatches them to
// targets and relays the answers.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"

	"briarreach/caller"
	"briarreach/config"
	"briarreach/configsync"
	"briarreach/daemon"
	"briarreach/operator"
	"briarreach/peer"
	"briarreach/settings"
	"briarreach/shardlog"
	"briarreach/table"
	"briarreach/targetset"
	"briarreach/timeline"
)

// Entry is a running entry process.
type Entry struct {
	settings         *settings.Settings
	clock            clockwork.Clock
	log              log.Interface
	events           *timeline.Recorder
	metrics          *metrics.Set
	store            table.Store
	endpoint         *peer.Endpoint
	follower         *configsync.Follower
	keys             *keyCache
	pool             *targetset.Pool
	retries          *targetset.RetryBudget
	moves            *moveTracker
	loadWatcher      *loadWatcher
	vmWatcher        *vmWatcher
	pendingAcks      *pendingAcks
	heldReservations *heldReservations
	incarnation      string // identifies this start of the process in the journal, the control lease and digests
	startedAt        time.Time
	filters          []filter

	journal       atomic.Pointer[shardlog.Journal]
	holderWallet  atomic.Pointer[holderWallet]
	walletChanged *broadcast

	openRequests atomic.Int64
	leaving      atomic.Bool
	drainEnd     atomic.Pointer[time.Time] // latest deadline of requests; nil until the process stops
	callers      *caller.Server
	operators    *operator.Server

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// New starts an entry.
func New(s *settings.Settings, opts ...daemon.Option) (*Entry, error) {
	e, err := daemon.New[*Entry](s, s.Entry.PeerAddress, opts, func() *targetset.Pool { return targetset.New() }, start)
	if err != nil {
		return nil, fmt.Errorf("entry.New: %w", err)
	}
	if err := e.listen(); err != nil {
		return nil, errors.Join(fmt.Errorf("entry.New: %w", err), e.Close(context.Background()))
	}
	return e, nil
}

func start(s *settings.Settings, clock clockwork.Clock, l log.Interface, events *timeline.Recorder, set *metrics.Set,
	store table.Store, endpoint *peer.Endpoint, pool *targetset.Pool, h *daemon.Handler) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	incarnation := ulid.Make().String()
	e := &Entry{
		settings: s, clock: clock, log: l, events: events, metrics: set,
		store: store, endpoint: endpoint, pool: pool, retries: &targetset.RetryBudget{},
		incarnation: incarnation, startedAt: clock.Now(), walletChanged: newBroadcast(),
		pendingAcks:      newPendingAcks(),
		heldReservations: newHeldReservations(),
		ctx:              ctx, cancel: cancel,
	}
	e.holderWallet.Store(e.newHolderWallet())
	e.moves = newMoveTracker(s.Process, incarnation, 1+len(s.Entry.Entries))
	e.loadWatcher = newLoadWatcher(e)
	e.vmWatcher = newVMWatcher(e)
	e.follower = configsync.New(store, configsync.WithClock(clock), configsync.WithLog(e.log),
		configsync.WithInterval(s.Entry.ConfigInterval.Duration),
		configsync.WithPeers(endpoint, e.peers),
		// The first document must not be applied before the entry is complete.
		configsync.WithOnChange(func(d *config.Document) { <-h.Ready(); e.applyConfig(d) }))
	e.keys = newKeyCache(store, clock, e.keysNumber)
	e.filters = []filter{authenticate{e}, resolveSpec{e}, reserve{e}, runOnce{e}, dispatch{e}}
	e.registerMetrics()
	h.Set(e.servePeer)
	for _, task := range []func(){e.openJournal, e.digestLoop, e.controlLoop,
		func() { e.runEvery(walletInterval, e.submitDueRecords) },
		func() { e.runEvery(ackInterval, func() { e.sendUsageAcks(ctx) }) },
		func() { e.runEvery(usageInterval, e.billUnbilledAndResolveHeld) },
	} {
		e.workers.Go(task)
	}
	return e
}

func (e *Entry) listen() error {
	s := e.settings.Entry
	var err error
	e.callers, err = caller.New(e.serve, e.Ready,
		caller.WithListen(s.CallerAddress),
		caller.WithLimits(s.MaxBodyBytes, s.MaxHeaderBytes, s.ReadTimeout.Duration),
		caller.WithWriteTimeout(s.RequestTimeout.Duration),
		caller.WithMaxConnections(min(s.MaxRequests, maxCallerConnections()), s.MaxConnectionsPerAddress),
		caller.WithMemory(int64(s.MaxRequestMemoryBytes), s.StallTimeout.Duration),
		caller.WithLog(e.log),
		caller.WithMetrics(e.metrics))
	if err != nil {
		return err
	}
	e.operators, err = operator.New(backend{e}, s.OperatorAddress,
		operator.WithMemory(int64(s.MaxOperatorMemoryBytes), s.StallTimeout.Duration),
		operator.WithOnRefused(func(reason string) {
			e.metrics.GetOrCreateCounter(`briarreach_operators_refused_total{reason="` + reason + `"}`).Inc()
		}))
	if err != nil {
		return err
	}
	e.log.WithField("callers", e.callers.Addr().String()).WithField("operators", e.operators.Addr().String()).
		WithField("peers", e.endpoint.Addr().String()).Info("entry started")
	return nil
}

// callerDescriptors is the share of the process's descriptors that connections of callers
// may take. The others are for operators, the table service, peers and files.
const callerDescriptors = 0.75

func maxCallerConnections() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return max(1, int(callerDescriptors*float64(r.Cur)))
}

// CallerAddr returns the address for callers.
func (e *Entry) CallerAddr() netip.AddrPort { return e.callers.Addr() }

// OperatorAddr returns the address for operators.
func (e *Entry) OperatorAddr() netip.AddrPort { return e.operators.Addr() }

// PeerAddr returns the address for the other processes of the fleet.
func (e *Entry) PeerAddr() netip.AddrPort { return e.endpoint.Addr() }

// Holder returns the id under which the entry holds its grants.
func (e *Entry) Holder() string { return e.holderWallet.Load().holderID }

// Ready returns nil if the entry accepts new requests, or the reason why not.
func (e *Entry) Ready() error {
	switch {
	case e.leaving.Load():
		return &NotReadyError{Reason: "shutting down"}
	case e.follower.Current() == nil:
		return &NotReadyError{Reason: "no configuration"}
	default:
		return nil
	}
}

// closeReserve is the part of the time for a shutdown that is kept for writing the
// bills and returning the grants, but at most a quarter of that time.
const closeReserve = 5 * time.Second

// Close shuts the entry down gracefully: it reports not ready, gives the load
// balancer time to notice, finishes open requests, writes the bills and returns
// the grants. The context bounds the shutdown. Requests that are still open
// closeReserve before its deadline are answered as of unknown outcome, and streams
// end with an error event.
func (e *Entry) Close(ctx context.Context) error {
	first := !e.leaving.Swap(true)
	if !first {
		return nil
	}
	e.events.Record(timeline.Event{Kind: "entry_leaving"})
	callersCtx, cancelCallers := e.startDrain(ctx)
	defer cancelCallers()
	var errs []error
	if e.callers != nil {
		select {
		case <-e.clock.After(e.settings.Entry.DrainDelay.Duration):
		case <-callersCtx.Done():
		}
		errs = append(errs, e.callers.Close(callersCtx))
	}
	if e.operators != nil {
		errs = append(errs, e.operators.Close(ctx))
	}
	if j := e.journal.Load(); j != nil {
		for _, record := range e.holderWallet.Load().wallet.ReturnAll() {
			e.submit(j, record)
		}
		errs = append(errs, j.Close(ctx))
	}
	e.sendUsageAcks(ctx)
	e.cancel()
	e.loadWatcher.close()
	e.vmWatcher.close()
	e.workers.Wait()
	e.follower.Close()
	errs = append(errs, e.endpoint.Close())
	return errors.Join(errs...)
}

// startDrain bounds the deadlines of new requests and returns the context that bounds
// the shutdown of the callers' server.
func (e *Entry) startDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	remaining := time.Until(deadline)
	remaining -= min(closeReserve, remaining/4)
	end := e.clock.Now().Add(remaining)
	e.drainEnd.Store(&end)
	return context.WithTimeout(ctx, remaining)
}

// applyConfig is called with each new document, in order of their numbers.
func (e *Entry) applyConfig(d *config.Document) {
	e.pool.Update(d)
	e.moves.updateMoves(d, e.clock.Now())
	e.loadWatcher.updateTargets(d)
	e.vmWatcher.updateTargets(d, e)
	e.events.Record(timeline.Event{Kind: "config_applied", ConfigNumber: d.Number})
	e.log.WithField("config_number", d.Number).Info("configuration applied")
}

func (e *Entry) keysNumber() uint64 {
	if d := e.follower.Current(); d != nil {
		return d.KeysNumber
	}
	return 0
}

// peers returns the peer addresses of the other entries and the agents.
func (e *Entry) peers() []netip.AddrPort {
	out := append([]netip.AddrPort(nil), e.settings.Entry.Entries...)
	if d := e.follower.Current(); d != nil {
		for _, t := range d.Targets {
			out = append(out, t.AgentAddr)
		}
	}
	return out
}

// liveHolders returns the number of entries that may draw on a budget.
func (e *Entry) liveHolders() int { return 1 + len(e.settings.Entry.Entries) }

func (e *Entry) registerMetrics() {
	e.metrics.NewGauge("briarreach_entry_open_requests", func() float64 { return float64(e.openRequests.Load()) })
	e.metrics.NewGauge("briarreach_entry_config_number", func() float64 { return float64(e.follower.Number()) })
	e.metrics.NewGauge("briarreach_entry_pending_records", func() float64 {
		if j := e.journal.Load(); j != nil {
			return float64(j.Pending())
		}
		return 0
	})
}

func (e *Entry) observeAnswer(x *exchange, a *answer, outcome peer.Outcome, now time.Time) {
	e.metrics.GetOrCreateCounter(`briarreach_entry_answers_total{outcome="` + string(outcome) + `"}`).Inc()
	e.metrics.GetOrCreateHistogram(`briarreach_entry_first_byte_seconds`).Update(a.firstByteAt.Sub(x.startedAt).Seconds())
	e.metrics.GetOrCreateHistogram(`briarreach_entry_request_seconds`).Update(now.Sub(x.startedAt).Seconds())
	e.events.Record(timeline.Event{Kind: "answer_" + string(outcome), RequestID: x.envelope.RequestID, Workspace: x.key.Workspace,
		Target: a.try.target.Name, ConfigNumber: x.document.Number})
	entry := e.log.WithField("request_id", x.envelope.RequestID).WithField("workspace", x.key.Workspace).
		WithField("target", a.try.target.Name).WithField("config_number", x.document.Number).
		WithField("outcome", string(outcome)).WithField("duration", now.Sub(x.startedAt).String())
	if outcome == peer.OutcomeComplete {
		entry.Debug("request answered")
		return
	}
	entry.WithError(a.err).Warn("answer incomplete")
}
