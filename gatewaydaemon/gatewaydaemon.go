// Package gatewaydaemon builds the gateway process: the gateway, its servers,
// and what keeps its beliefs up to date.
package gatewaydaemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"go.uber.org/dig"

	"briarreach/feed"
	"briarreach/gateway"
	"briarreach/mesh"
	"briarreach/placement"
	"briarreach/platform"
	"briarreach/quota"
	"briarreach/quotastore"
	"briarreach/replica"
	"briarreach/retrybudget"
	"briarreach/route"
	"briarreach/rowstore"
	"briarreach/upstream"
)

// Option changes a default of New.
type Option func(*options)

type options struct {
	clock   clockwork.Clock
	log     log.Interface
	tuning  Tuning
	dropped droppedLines
}

// droppedLines returns the number of log lines that were dropped since the
// start.
type droppedLines func() int64

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithTuning sets the operator's tuning.
func WithTuning(t Tuning) Option { return func(o *options) { o.tuning = t } }

// WithDroppedLines sets where the number of dropped log lines is read.
func WithDroppedLines(total func() int64) Option {
	return func(o *options) { o.dropped = total }
}

// New builds and starts a gateway.
func New(s *platform.Settings, opts ...Option) (*Daemon, error) {
	o := options{clock: clockwork.NewRealClock(), log: log.Log, tuning: DefaultTuning(), dropped: func() int64 { return 0 }}
	for _, opt := range opts {
		opt(&o)
	}
	c := dig.New()
	constructors := []any{
		func() *platform.Settings { return s },
		func() clockwork.Clock { return o.clock },
		func() log.Interface { return o.log.WithField("process", s.Process) },
		func() Tuning { return o.tuning },
		func() droppedLines { return o.dropped },
		metrics.NewSet,
		newStore,
		newQuotaBooks,
		newMesh,
		newQuotaShards,
		newPlacer,
		newRetryBudget,
		newSender,
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
	return platform.NewStore(s.Store, platform.WithStoreObserver(func(call string, err error, took time.Duration) {
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

func newQuotaBooks(s *platform.Settings, t Tuning) quotastore.Books {
	return quotastore.NewBooks(t.Quota.Parts, s.Process+"@"+s.Address.String(), ulid.Make().String(), t.Quota)
}

func newMesh(s *platform.Settings, books quotastore.Books, clock clockwork.Clock, l log.Interface, set *metrics.Set) (*mesh.Mesh, error) {
	// An earlier process or another program may still hold a port. The others
	// learn the address from the process's row.
	var m *mesh.Mesh
	var err error
	for port := s.PeerPorts[0]; ; port++ {
		m, err = mesh.New(netip.AddrPortFrom(s.Address, port), books, mesh.WithClock(clock), mesh.WithLog(l), mesh.WithMetrics(set))
		if !errors.Is(err, syscall.EADDRINUSE) || port >= s.PeerPorts[1] {
			return m, err
		}
		l.WithError(err).Warn("port in use; trying the next")
	}
}

func newQuotaShards(books quotastore.Books, store rowstore.Store, clock clockwork.Clock, l log.Interface, set *metrics.Set,
	retries *retrybudget.Budget, peers *mesh.Mesh, t Tuning) *quotastore.Shards {
	return quotastore.NewShards(books, store, t.Quota, quotastore.WithClock(clock), quotastore.WithLog(l),
		quotastore.WithMetrics(set), quotastore.WithLoans(peers.Borrow), quotastore.WithSyncHook(func() { retries.SetProcesses(books.Holders()) }))
}

func newPlacer(t Tuning, peers *mesh.Mesh, clock clockwork.Clock) *placement.Placer {
	placer := placement.New(t.Placement, func(p placement.Placed) { peers.BroadcastPlacement(p) })
	peers.OnPlacement(func(p placement.Placed) { placer.Told(p, clock.Now()) })
	return placer
}

// assumedGateways shares the fleet's budget of repeats before the number of
// gateways is known.
const assumedGateways = 8

func newRetryBudget(s *platform.Settings) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Limit{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
		assumedGateways)
}

func newSender(clock clockwork.Clock, set *metrics.Set) gateway.Sender {
	return platform.NewReplicas(upstream.New(upstream.WithClock(clock),
		upstream.WithDialHook(set.NewCounter("briarreach_replica_connections_total").Inc)))
}

// registryGrace is how long live replicas take to register again after the
// platform's store was away.
const registryGrace = 2 * time.Second

// Daemon is a running gateway with its servers and followers.
type Daemon struct {
	settings  *platform.Settings
	clock     clockwork.Clock
	log       log.Interface
	gateway   *gateway.Gateway
	placer    *placement.Placer
	callers   *platform.Callers
	readiness *platform.Readiness
	configs   *feed.Follower[platform.ConfigEvent]
	replicas  *feed.Follower[replica.Event]
	books     quotastore.Books
	quota     *quotastore.Shards
	peers     *mesh.Mesh
	stopping  atomic.Bool

	mu        sync.Mutex
	directory *replica.Directory
}

func newDaemon(s *platform.Settings, clock clockwork.Clock, l log.Interface, set *metrics.Set, store rowstore.Store,
	placer *placement.Placer, retries *retrybudget.Budget, sender gateway.Sender, books quotastore.Books, shards *quotastore.Shards, peers *mesh.Mesh, t Tuning, dropped droppedLines) (*Daemon, error) {
	d := &Daemon{settings: s, clock: clock, log: l, placer: placer, directory: replica.New(registryGrace), books: books, quota: shards, peers: peers}
	d.gateway = gateway.New(sender, placer, retries, gateway.WithClock(clock), gateway.WithLog(l),
		gateway.WithMetrics(set), gateway.WithTuning(t.Gateway), gateway.WithQuota(shards), gateway.WithConfigConfirmedAt(func() time.Time { return d.configs.Status().Heard }))
	d.configs = feed.New("configuration", platform.NewOperator(store), d.followConfig, feed.WithClock(clock), feed.WithLog(l))
	d.replicas = feed.New("replicas", platform.NewRegistry(store), d.followReplicas, feed.WithClock(clock), feed.WithLog(l))
	d.addGauges(set, retries, dropped)
	var err error
	if d.readiness, err = platform.NewReadiness(s.Readiness, d.ready, set, l); err != nil {
		return nil, err
	}
	d.callers, err = platform.NewCallers(s.Callers, d.gateway.Serve, l)
	d.log.Info("started")
	return d, err
}

func (d *Daemon) ready() bool {
	b := d.gateway.Snapshot()
	return !d.stopping.Load() && b.Table != nil && b.Replicas.Services() > 0
}

func (d *Daemon) followConfig(b feed.Batch[platform.ConfigEvent]) {
	for _, event := range b.Events {
		switch event := event.(type) {
		case platform.ConfigPublished:
			old := d.gateway.Snapshot().Table
			if old != nil && event.Config.Version <= old.Version() {
				continue
			}
			table := route.New(event.Config)
			d.mu.Lock()
			d.gateway.UpdateSnapshot(func(belief gateway.Snapshot) gateway.Snapshot { belief.Table = table; return belief })
			d.mu.Unlock()
			limits := quotaLimits(table)
			d.books.SetLimits(table.Version(), limits)
			d.quota.Wake()
			fields := log.Fields{"config_version": table.Version(), "routes": len(event.Config.Routes)}
			for _, l := range limits {
				fields["quota."+l.Workspace] = l.Tokens
			}
			d.log.WithFields(fields).Info("configuration in force")
		case platform.MoveOrdered:
			d.withhold(event.Service, event.Version)
			d.log.WithFields(log.Fields{"service": event.Service, "version": event.Version}).
				Warn("move ordered; the version is withheld, as gateways do not lead moves yet")
		case platform.MoveWithdrawn:
			d.withhold(event.Service, "")
			d.log.WithField("service", event.Service).Info("move withdrawn")
		case platform.ConfigUnreadable:
			d.log.WithError(event.Err).Error("configuration ignored")
		}
	}
}

// withhold keeps a version of a service from getting requests; no version lifts
// that.
func (d *Daemon) withhold(service, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.UpdateSnapshot(func(belief gateway.Snapshot) gateway.Snapshot {
		withheld := maps.Clone(belief.WithheldVersions)
		if withheld == nil {
			withheld = make(map[string]string)
		}
		if version == "" {
			delete(withheld, service)
		} else {
			withheld[service] = version
		}
		belief.WithheldVersions = withheld
		return belief
	})
}

func quotaLimits(t *route.Table) []quota.Limit {
	var limits []quota.Limit
	for _, w := range t.Workspaces() {
		if w.Limited {
			limits = append(limits, quota.Limit{Workspace: w.Name, Tokens: w.TokenQuota})
		}
	}
	return limits
}

func (d *Daemon) followReplicas(b feed.Batch[replica.Event]) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.Complete {
		d.directory.Replace(b.Events, b.Version, now)
	} else {
		d.directory.Apply(b.Events, b.Version, now)
	}
	for _, event := range b.Events {
		if e, ok := event.(replica.Unreadable); ok {
			d.log.WithField("replica", e.ID).WithError(e.Err).Warn("registry entry ignored")
		}
	}
	d.publishReplicas(now)
	if next, ok := d.directory.NextExpiry(); ok {
		d.clock.AfterFunc(next.Sub(now), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.publishReplicas(d.clock.Now())
		})
	}
}

// publishReplicas is called with the lock held.
func (d *Daemon) publishReplicas(now time.Time) {
	set := d.directory.Set(now)
	all := set.All()
	d.gateway.UpdateSnapshot(func(belief gateway.Snapshot) gateway.Snapshot { belief.Replicas = set; return belief })
	d.placer.Update(all)
	d.log.WithField("registry_version", set.Version).WithField("replicas", len(all)).
		WithField("missing", d.directory.Missing()).Info("replicas changed")
}

// Parts of the time between SIGTERM and SIGKILL.
const (
	// announceTime is how long a gateway that stops still takes connections:
	// the platform needs two failed checks, a second apart, to send them
	// elsewhere.
	announceTime = 2500 * time.Millisecond
	// shortTime is left for requests without streams, which are taken until the
	// open streams have ended.
	shortTime = 1200 * time.Millisecond
	// drainCheck is how often the open streams are counted.
	drainCheck = 20 * time.Millisecond
	// settleTime bounds the return of grants. The process takes no connections
	// meanwhile, and its successor adopts what was not returned.
	settleTime = 300 * time.Millisecond
	// exitMargin is left before SIGKILL.
	exitMargin = 500 * time.Millisecond
)

// Run serves until the context ends, then stops gracefully. Settings are read
// again from path on SIGHUP.
func (d *Daemon) Run(ctx context.Context, path string) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for ctx.Err() == nil {
		select {
		case <-reload:
			d.reload(path)
		case <-ctx.Done():
		}
	}
	return d.Close()
}

// reload checks the settings. Addresses and limits hold until the next start.
func (d *Daemon) reload(path string) {
	if _, err := platform.LoadSettings(path); err != nil {
		d.log.WithError(err).Error("reload failed; settings kept")
		return
	}
	d.log.Info("settings reloaded")
}

// Close announces that the process stops, takes short requests until the open
// streams have ended, and returns what is left of its grants. Connections are
// accepted for as long as possible: the platform may have nowhere else to send
// them.
func (d *Daemon) Close() error {
	d.log.Info("stopping")
	d.stopping.Store(true)
	end := d.clock.Now().Add(d.settings.Bounds.GracePeriod - exitMargin)
	d.clock.Sleep(min(announceTime, d.settings.Bounds.GracePeriod/3))
	d.gateway.RefuseNewStreams()
	d.callers.CloseAfterAnswers()
	for d.gateway.OpenStreams() > 0 && d.clock.Until(end) > shortTime {
		d.clock.Sleep(drainCheck)
	}
	drain, cancel := context.WithTimeout(context.Background(), max(d.clock.Until(end), exitMargin))
	defer cancel()
	err := d.callers.Close(drain)
	settle, cancelSettle := context.WithTimeout(context.Background(), settleTime)
	defer cancelSettle()
	d.quota.Close(settle)
	d.configs.Close(settle)
	d.replicas.Close(settle)
	err = errors.Join(err, d.peers.Close(), d.readiness.Close(settle))
	d.log.Info("stopped")
	return err
}
