// Package gatewaydaemon builds the gateway process: the gateway, its servers,
// and the watchers that keep its configuration and replicas up to date.
package gatewaydaemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"go.uber.org/dig"
	"golang.org/x/time/rate"

	"briarreach/bytebudget"
	"briarreach/crash"
	"briarreach/feed"
	"briarreach/gateway"
	"briarreach/mesh"
	"briarreach/overload"
	"briarreach/placement"
	"briarreach/platform"
	"briarreach/quarantine"
	"briarreach/quarantinestore"
	"briarreach/quota"
	"briarreach/quotastore"
	"briarreach/replica"
	"briarreach/replicalimit"
	"briarreach/replicanotice"
	"briarreach/retrybudget"
	"briarreach/route"
	"briarreach/rowstore"
	"briarreach/upstream"
)

// Option changes a default of New.
type Option func(*options)

type options struct {
	clock        clockwork.Clock
	log          log.Interface
	tuning       Tuning
	droppedLines droppedLineCounter
}

// droppedLineCounter returns the number of log lines that were dropped since the
// start.
type droppedLineCounter func() int64

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithTuning sets the settings of the tuning file.
func WithTuning(t Tuning) Option { return func(o *options) { o.tuning = t } }

// WithDroppedLines sets the function that returns the number of log lines
// dropped since the start.
func WithDroppedLines(total func() int64) Option {
	return func(o *options) { o.droppedLines = total }
}

// New builds and starts a gateway.
func New(s *platform.Settings, opts ...Option) (*Daemon, error) {
	o := options{clock: clockwork.NewRealClock(), log: log.Log, tuning: DefaultTuning(), droppedLines: func() int64 { return 0 }}
	for _, opt := range opts {
		opt(&o)
	}
	c := dig.New()
	constructors := []any{
		func() *platform.Settings { return s },
		func() clockwork.Clock { return o.clock },
		func() log.Interface { return o.log.WithField("process", s.ProcessName) },
		func() Tuning { return o.tuning },
		func() droppedLineCounter { return o.droppedLines },
		metrics.NewSet,
		newStore,
		newQuotaAllocators,
		newMesh,
		newQuotaSyncers,
		newLimits,
		newLimitExchange,
		newColdPace,
		newNotices,
		newNoticeExchange,
		newSpeedExchange,
		newPlacer,
		newRetryBudget,
		newDescriptors,
		newOverload,
		func() *overload.Meter { return &overload.Meter{} },
		newCallerBudget,
		newReplicaPool,
		newSender,
		newQuarantine,
		newCrashDetector,
		newDaemon,
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return nil, fmt.Errorf("gatewaydaemon.New: %w", err)
		}
	}
	var d *Daemon
	if err := c.Invoke(func(made *Daemon) { d = made }); err != nil {
		return nil, fmt.Errorf("gatewaydaemon.New: %w", dig.RootCause(err))
	}
	return d, nil
}

func newStore(s *platform.Settings, set *metrics.Set) rowstore.Store {
	received := set.NewCounter("briarreach_store_received_bytes_total")
	return platform.NewStore(s.Store, platform.WithStoreReceiveHook(func(bytes int) { received.Add(bytes) }), platform.WithStoreObserver(func(call string, err error, took time.Duration) {
		set.GetOrCreateCounter(fmt.Sprintf("briarreach_store_calls_total{call=%q,outcome=%q}", call, storeOutcome(err))).Inc()
		set.GetOrCreateHistogram(fmt.Sprintf("briarreach_store_call_seconds{call=%q}", call)).Update(took.Seconds())
	}))
}

func storeOutcome(err error) string {
	var conflict *rowstore.ConflictError
	var refused *rowstore.RefusedError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &refused):
		return "refused"
	default:
		return "unknown"
	}
}

func newQuotaAllocators(s *platform.Settings, t Tuning) quotastore.Allocators {
	return quotastore.NewAllocators(t.Quota.Parts, holderName(s), ulid.Make().String(), t.Quota)
}

func newMesh(s *platform.Settings, allocators quotastore.Allocators, clock clockwork.Clock, l log.Interface, set *metrics.Set) (*mesh.Mesh, error) {
	// An earlier process or another program may still hold a port. Any free port
	// of the range does, as peers read the address from this process's row.
	var m *mesh.Mesh
	var err error
	for port := s.PeerPortRange[0]; ; port++ {
		m, err = mesh.New(netip.AddrPortFrom(s.IPAddress, port), allocators, mesh.WithClock(clock), mesh.WithLog(l), mesh.WithMetrics(set))
		if !errors.Is(err, syscall.EADDRINUSE) || port >= s.PeerPortRange[1] {
			return m, err
		}
		l.WithError(err).Warn("port in use; trying the next")
	}
}

func newQuotaSyncers(allocators quotastore.Allocators, store rowstore.Store, clock clockwork.Clock, l log.Interface, set *metrics.Set,
	retries *retrybudget.Budget, limits *limitExchange, cold *coldPace, peers *mesh.Mesh, t Tuning) *quotastore.Syncers {
	peers.OnGrants(allocators.HandleNotice)
	return quotastore.NewSyncers(allocators, store, t.Quota, quotastore.WithClock(clock), quotastore.WithLog(l),
		quotastore.WithMetrics(set), quotastore.WithBorrowing(peers.Borrow), quotastore.WithGrantBroadcast(peers.BroadcastGrants), quotastore.WithStepHook(func() {
			retries.SetProcessCount(allocators.HolderCount())
			limits.updateProcesses(allocators)
			cold.updateProcesses(allocators)
		}))
}

func newPlacer(t Tuning, peers *mesh.Mesh, limits *replicalimit.Limits, cold *coldPace, notices *replicanotice.Notices, speeds *speedExchange, monitor *overload.Monitor, clock clockwork.Clock) *placement.Placer {
	opts := []placement.Option{placement.WithLimiter(limiters{limits, cold.limits}), placement.WithNotices(notices)}
	if speeds != nil {
		opts = append(opts, placement.WithSpeeds(speeds.speeds), placement.WithSlowItself(monitor.Overloaded))
	}
	placer := placement.New(t.Placement, func(p placement.Announcement) { peers.BroadcastPlacement(p) }, opts...)
	peers.OnPlacement(func(p placement.Announcement) { placer.HandleAnnouncement(p, clock.Now()) })
	return placer
}

// assumedGateways divides the fleet's retry budget until the number of gateways
// is known.
const assumedGateways = 8

func newRetryBudget(s *platform.Settings) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Limit{RetriesPerRequest: s.Limits.RetriesPerRequest, ExtraRetries: s.Limits.ExtraRetries, Window: s.Limits.RetryWindow},
		assumedGateways)
}

func newReplicaPool(clock clockwork.Clock, set *metrics.Set, fds descriptors, traffic *overload.Meter, monitor *overload.Monitor) *upstream.Pool {
	return upstream.New(upstream.WithClock(clock), upstream.WithMaxIdleConnections(fds.idleReplicas), upstream.WithTraffic(traffic), upstream.WithSlowDials(monitor.Overloaded), upstream.WithDialHook(set.NewCounter("briarreach_replica_connections_total").Inc))
}

func newSender(pool *upstream.Pool, notices *noticeExchange) gateway.Sender {
	return platform.NewReplicaSender(pool, platform.WithUnreadablePauseHandler(notices.recordUnreadable))
}

func newQuarantine(store rowstore.Store, peers *mesh.Mesh, clock clockwork.Clock, l log.Interface, set *metrics.Set, t Tuning) *quarantinestore.Keeper {
	k := quarantinestore.New(quarantine.New(t.Quarantine), store, quarantinestore.WithClock(clock), quarantinestore.WithLog(l),
		quarantinestore.WithMetrics(set), quarantinestore.WithBroadcast(peers.BroadcastEvidence))
	peers.OnEvidence(k.HandleEvidence)
	return k
}

func newCrashDetector(pool *upstream.Pool, keeper *quarantinestore.Keeper, clock clockwork.Clock, l log.Interface, set *metrics.Set) *crash.Detector {
	return crash.New(pool, crash.WithClock(clock), crash.WithLog(l), crash.WithMetrics(set), crash.WithEndHandler(keeper.HandleEnd), crash.WithCompleteHandler(keeper.HandleComplete))
}

// registryGrace is how long live replicas may take to register again after an
// outage of the platform's store.
const registryGrace = 2 * time.Second

// registrySilence is the time after which the registry has removed an entry whose
// replica sends nothing: three heartbeats and the delay of the removal.
func registrySilence(s *platform.Settings) time.Duration {
	return 3*s.HeartbeatInterval + registryGrace
}

// Rate of the log lines about registry entries that are ignored: another writer may
// change one at any rate.
const (
	ignoredEntryLinesPerSecond = 1
	ignoredEntryBurstLines     = 20
)

// Daemon is a running gateway with its servers and watchers.
type Daemon struct {
	settings        *platform.Settings
	tuning          ReplicaTuning
	clock           clockwork.Clock
	log             log.Interface
	gateway         *gateway.Gateway
	placer          *placement.Placer
	callers         *platform.CallerServer
	readiness       *platform.ReadinessServer
	configWatcher   *feed.Watcher[platform.OperatorEvent]
	replicaWatcher  *feed.Watcher[replica.Event]
	quotaAllocators quotastore.Allocators
	quotaSyncers    *quotastore.Syncers
	mesh            *mesh.Mesh
	crashes         *crash.Detector
	quarantine      *quarantinestore.Keeper
	limits          *replicalimit.Limits
	cold            *coldPace
	notices         *replicanotice.Notices
	pool            *upstream.Pool
	overload        *overload.Monitor
	stopSampling    context.CancelFunc // of the usage
	speeds          *speedExchange     // nil unless the speeds of replicas are estimated
	stopping        atomic.Bool

	ignoredEntries    *metrics.Counter
	ignoredEntryLines *rate.Limiter

	mu          sync.Mutex
	directory   *replica.Directory
	expiryTimer clockwork.Timer // of the next entry in directory; nil before the first
}

// components are what a daemon is made of.
type components struct {
	dig.In

	Settings     *platform.Settings
	Tuning       Tuning
	Clock        clockwork.Clock
	Log          log.Interface
	Metrics      *metrics.Set
	DroppedLines droppedLineCounter

	Store       rowstore.Store
	Allocators  quotastore.Allocators
	Syncers     *quotastore.Syncers
	Peers       *mesh.Mesh
	Placer      *placement.Placer
	Retries     *retrybudget.Budget
	Sender      gateway.Sender
	Pool        *upstream.Pool
	Descriptors descriptors

	Crashes       *crash.Detector
	Quarantine    *quarantinestore.Keeper
	Limits        *replicalimit.Limits
	StatedLimits  *limitExchange
	Cold          *coldPace
	Notices       *replicanotice.Notices
	StatedNotices *noticeExchange
	Speeds        *speedExchange

	Overload     *overload.Monitor
	Traffic      *overload.Meter
	CallerBudget *bytebudget.Budget
}

func newDaemon(c components) (*Daemon, error) {
	d := &Daemon{settings: c.Settings, tuning: c.Tuning.Replicas, clock: c.Clock, log: c.Log, placer: c.Placer,
		directory:       replica.New(registryGrace, replica.WithSilence(registrySilence(c.Settings))),
		quotaAllocators: c.Allocators, quotaSyncers: c.Syncers, mesh: c.Peers, crashes: c.Crashes, quarantine: c.Quarantine,
		limits: c.Limits, cold: c.Cold, notices: c.Notices, speeds: c.Speeds, pool: c.Pool, overload: c.Overload,
		ignoredEntries: c.Metrics.NewCounter("briarreach_registry_entries_ignored_total"), ignoredEntryLines: rate.NewLimiter(ignoredEntryLinesPerSecond, ignoredEntryBurstLines)}
	d.gateway = gateway.New(c.Sender, c.Placer, c.Retries, gateway.WithClock(c.Clock), gateway.WithLog(c.Log), gateway.WithMetrics(c.Metrics),
		gateway.WithSettings(gatewaySettings(c.Settings, c.Tuning)), gateway.WithQuota(c.Syncers), gateway.WithQuarantine(c.Quarantine),
		gateway.WithOverloaded(c.Overload.Overloaded), gateway.WithBrokenSendHandler(c.Crashes.Report),
		gateway.WithLimitHandler(c.StatedLimits.record), gateway.WithNoticeHandler(c.StatedNotices.record),
		gateway.WithConfigConfirmedAt(func() time.Time { return d.configWatcher.Status().CurrentAt }))
	d.configWatcher = feed.New("configuration", platform.NewOperatorSource(c.Store), d.applyConfigEvents, feed.WithClock(c.Clock), feed.WithLog(c.Log), feed.WithListingAfterGap())
	d.replicaWatcher = feed.New("replicas", platform.NewRegistrySource(c.Store), d.applyReplicaEvents, feed.WithClock(c.Clock), feed.WithLog(c.Log))
	d.addGauges(c.Metrics, c.Retries, c.DroppedLines)
	var err error
	if d.callers, err = platform.NewCallerServer(c.Settings.CallerAddress, d.gateway.Serve, c.Log, callerOptions(d.gateway, c)...); err != nil {
		return nil, err
	}
	if d.readiness, err = platform.NewReadinessServer(c.Settings.ReadinessAddress, d.ready, c.Metrics, c.Log, platform.WithPlacementExplainer(d.gateway.ExplainPlacement)); err != nil {
		return nil, err
	}
	d.sampleUsage(c.Traffic)
	d.log.WithFields(log.Fields{"descriptors": c.Descriptors.limit, "caller_connections": c.Descriptors.callers,
		"idle_replica_connections": c.Descriptors.idleReplicas, "caller_bytes": c.CallerBudget.Limit()}).Info("started")
	return d, nil
}

// gatewaySettings returns the settings of the gateway. A configuration counts as outdated
// when a newer one may have to be in force, at the latest.
func gatewaySettings(s *platform.Settings, t Tuning) gateway.Settings {
	settings := t.Gateway
	if apply := s.Limits.ConfigApplyTimeout; apply > 0 {
		settings.StaleAfter = min(settings.StaleAfter, apply)
	}
	return settings
}

func (d *Daemon) ready() bool {
	snapshot := d.gateway.Snapshot()
	return !d.stopping.Load() && d.callers.Accepting() && snapshot.RouteTable != nil && snapshot.Replicas.ServiceCount() > 0 && d.overload.CheckReady()
}

func (d *Daemon) applyConfigEvents(b feed.Batch[platform.OperatorEvent]) {
	d.applyEvacuations(b)
	ordered := make(map[string]bool) // services with a move
	for _, event := range b.Events {
		switch event := event.(type) {
		case platform.ConfigPublished:
			old := d.gateway.Snapshot().RouteTable
			if old != nil && event.Config.Version <= old.Version() {
				continue
			}
			table := route.New(event.Config)
			limits := quotaLimits(table)
			// No request may be served by routes whose quotas are not in force.
			d.quotaAllocators.SetLimits(table.Version(), limits)
			d.mu.Lock()
			d.cold.update(d.gateway.Snapshot().Replicas.All(), table, d.clock.Now())
			d.gateway.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot { snapshot.RouteTable = table; return snapshot })
			d.mu.Unlock()
			d.quotaSyncers.Wake()
			fields := log.Fields{"config_version": table.Version(), "routes": len(event.Config.Routes)}
			for _, l := range limits {
				fields["quota."+l.Workspace] = l.Tokens
			}
			d.log.WithFields(fields).Info("configuration in force")
		case platform.MoveOrdered:
			ordered[event.Service] = true
			d.setWithheldVersion(event.Service, event.Version)
			d.log.WithFields(log.Fields{"service": event.Service, "version": event.Version}).
				Warn("move ordered; the version is withheld, as gateways do not lead moves yet")
		case platform.MoveWithdrawn:
			d.setWithheldVersion(event.Service, "")
			d.log.WithField("service", event.Service).Info("move withdrawn")
		case platform.OperatorRowUnreadable:
			d.log.WithError(event.Err).Error("configuration ignored")
		}
	}
	// A copy may lack an order that the operator is about to write again.
	if !b.Complete || b.Restored {
		return
	}
	for service := range d.gateway.Snapshot().WithheldVersions {
		if !ordered[service] {
			d.setWithheldVersion(service, "")
			d.log.WithField("service", service).Info("move withdrawn")
		}
	}
}

// applyEvacuations follows the orders to evacuate failure domains. It comes before
// the configuration, without which a gateway that starts serves nothing.
func (d *Daemon) applyEvacuations(b feed.Batch[platform.OperatorEvent]) {
	if !d.tuning.FollowEvacuations {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.gateway.Snapshot().EvacuatedDomains
	evacuated := make(map[string]bool)
	// A copy may lack an order that the operator is about to write again.
	if !b.Complete || b.Restored {
		maps.Copy(evacuated, old)
	}
	for _, event := range b.Events {
		switch event := event.(type) {
		case platform.EvacuationOrdered:
			evacuated[event.FailureDomain] = true
		case platform.EvacuationEnded:
			delete(evacuated, event.FailureDomain)
		}
	}
	if maps.Equal(old, evacuated) {
		return
	}
	d.gateway.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
		snapshot.EvacuatedDomains = evacuated
		return snapshot
	})
	for domain := range evacuated {
		if !old[domain] {
			d.log.WithFields(log.Fields{"failure_domain": domain, "replicas": d.evacuatedCount(), "within_ms": d.settings.Limits.EvacuationTimeout.Milliseconds()}).Warn("failure domain evacuated")
		}
	}
	for domain := range old {
		if !evacuated[domain] {
			d.log.WithField("failure_domain", domain).Info("evacuation ended")
		}
	}
}

// evacuatedCount returns the number of replicas in evacuated failure domains.
func (d *Daemon) evacuatedCount() int {
	snapshot := d.gateway.Snapshot()
	n := 0
	for _, r := range snapshot.Replicas.All() {
		if snapshot.EvacuatedDomains[r.FailureDomain] {
			n++
		}
	}
	return n
}

// setWithheldVersion excludes the replicas of one version of a service from
// requests. An empty version ends the exclusion.
func (d *Daemon) setWithheldVersion(service, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
		withheld := maps.Clone(snapshot.WithheldVersions)
		if withheld == nil {
			withheld = make(map[string]string)
		}
		if version == "" {
			delete(withheld, service)
		} else {
			withheld[service] = version
		}
		snapshot.WithheldVersions = withheld
		return snapshot
	})
}

func quotaLimits(t *route.Table) []quota.Limit {
	var limits []quota.Limit
	for _, w := range t.Workspaces() {
		if w.QuotaEnforced {
			limits = append(limits, quota.Limit{Workspace: w.Name, Tokens: w.TokenQuota})
		}
	}
	return limits
}

func (d *Daemon) applyReplicaEvents(b feed.Batch[replica.Event]) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case b.Restored:
		d.directory.ReplaceRestored(b.Events, b.Version, now)
	case b.Complete:
		d.directory.Replace(b.Events, b.Version, now)
	default:
		d.directory.Apply(b.Events, b.Version, now)
	}
	d.cold.apply(b, now)
	for _, event := range b.Events {
		if e, ok := event.(replica.Unreadable); ok {
			d.ignoredEntries.Inc()
			if d.ignoredEntryLines.AllowN(now, 1) {
				d.log.WithField("replica", e.ID).WithError(e.Err).Warn("registry entry ignored")
			}
		}
	}
	d.publishReplicas(now)
}

// publishReplicas updates the gateway and the placer with the current replicas, and
// does so again when the next entry expires. d.mu must be held.
func (d *Daemon) publishReplicas(now time.Time) {
	set := d.directory.Snapshot(now)
	all := set.All()
	d.cold.update(all, d.gateway.Snapshot().RouteTable, now)
	d.gateway.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot { snapshot.Replicas = set; return snapshot })
	d.placer.SetReplicas(all)
	d.limits.DropOld(now)
	d.notices.SetReplicas(all, now)
	addresses := make(map[netip.AddrPort]bool, len(all))
	for _, r := range all {
		addresses[r.Address] = true
	}
	d.pool.RetainIdleConnections(addresses)
	if d.expiryTimer != nil {
		d.expiryTimer.Stop()
	}
	if next, ok := d.directory.NextExpiry(); ok {
		d.expiryTimer = d.clock.AfterFunc(next.Sub(now), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.publishReplicas(d.clock.Now())
		})
	}
	d.log.WithField("registry_version", set.Version).WithField("replicas", len(all)).
		WithField("missing", d.directory.MissingCount()).WithField("unconfirmed", d.directory.UnconfirmedCount()).Info("replicas changed")
}

// Durations of the steps between SIGTERM and SIGKILL.
const (
	// announceDuration is how long a stopping gateway still serves as before, but
	// at most a third of the grace period: the platform needs two failed readiness
	// checks, a second apart, to direct new connections elsewhere.
	announceDuration = 2500 * time.Millisecond
	// drainReserve is kept for finishing requests without streams, which are
	// accepted until the open streams have ended.
	drainReserve = 1200 * time.Millisecond
	// drainPollInterval is the time between checks for open streams.
	drainPollInterval = 20 * time.Millisecond
	// closeTimeout bounds the return of quota grants together with the end of the
	// watchers and of the readiness server. The process accepts no connections
	// meanwhile, and its successor adopts grants that were not returned.
	closeTimeout = 300 * time.Millisecond
	// sigkillMargin is kept free before SIGKILL, but at most a sixth of the grace
	// period: the platform does not expect streams to be cut off before that.
	sigkillMargin = 500 * time.Millisecond
)

// stopSchedule divides the time from SIGTERM to SIGKILL.
type stopSchedule struct {
	announce time.Duration // how long the gateway serves as before
	drainEnd time.Time     // when the requests that are still in progress are ended
	exit     time.Time     // when the process ends at the latest
}

func newStopSchedule(now time.Time, grace time.Duration) stopSchedule {
	margin := min(sigkillMargin, grace/6)
	end := now.Add(grace - margin)
	return stopSchedule{announce: min(announceDuration, grace/3), drainEnd: end, exit: end.Add(margin * 4 / 5)}
}

// Run serves until ctx ends, then stops gracefully. At each signal of hangups it
// checks the platform's settings file at path, which is not the tuning file.
func (d *Daemon) Run(ctx context.Context, path string, hangups <-chan os.Signal) error {
	for ctx.Err() == nil {
		select {
		case <-hangups:
			d.reload(path)
		case <-ctx.Done():
		}
	}
	return d.Close()
}

// reload only checks that the settings are valid: addresses and limits take
// effect at the next start.
func (d *Daemon) reload(path string) {
	if _, err := platform.LoadSettings(path); err != nil {
		d.log.WithError(err).Error("reload failed; settings kept")
		return
	}
	d.log.Info("settings reloaded")
}

// Close fails the readiness check and serves as before until the platform has
// noticed. It then refuses new streams and requests that may outlast the process,
// serves other requests until the open streams have ended or the grace period is
// nearly over, finishes the requests in progress and returns unused quota grants.
// Requests that last longer are answered, as of unknown execution, and streams
// broken off. It accepts connections for as long as possible: the platform may
// have no other gateway to send them to.
func (d *Daemon) Close() error {
	d.log.Info("stopping")
	d.stopping.Store(true)
	schedule := newStopSchedule(d.clock.Now(), d.settings.Limits.GracePeriod)
	d.clock.Sleep(schedule.announce)
	d.gateway.Drain(schedule.drainEnd)
	d.callers.DisableKeepAlives()
	for d.gateway.OpenStreams() > 0 && d.clock.Until(schedule.drainEnd) > drainReserve {
		d.clock.Sleep(drainPollInterval)
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), d.clock.Until(schedule.drainEnd))
	defer cancel()
	err := d.callers.Close(drainCtx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), min(closeTimeout, d.clock.Until(schedule.exit)))
	defer cancelClose()
	d.stopSampling()
	d.crashes.Close()
	d.speeds.Close()
	d.mesh.Repay(closeCtx)
	d.quotaSyncers.Close(closeCtx)
	d.quarantine.Close(closeCtx)
	d.configWatcher.Close(closeCtx)
	d.replicaWatcher.Close(closeCtx)
	err = errors.Join(err, d.mesh.Close(), d.readiness.Close(closeCtx))
	d.log.Info("stopped")
	return err
}
