package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"
	"go.uber.org/dig"

	"briarreach/feed"
	"briarreach/gateway"
	"briarreach/lending"
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

const gatewayUsage = `Runs a gateway: an entry that sends requests straight to the replicas of a
service, on a platform that registers replicas and keeps rows. The platform's
settings file is named by the environment variable ` + platform.SettingsVariable + ` or by --platform.

Example:
   briarreach gateway --platform /etc/briarreach/boot.conf`

// memoryPart is the part of the machine's memory at which the collector works
// harder.
const memoryPart = 0.6

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name: "gateway", Usage: "run a gateway on the platform", Description: gatewayUsage,
		Flags: []cli.Flag{&cli.StringFlag{Name: "platform", Usage: "the platform's settings `FILE`",
			Sources: cli.EnvVars(platform.SettingsVariable), Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := platform.LoadSettings(c.String("platform"))
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryLimit)))
			return runGateway(ctx, s, c.String("platform"))
		},
	}
}

// runGateway builds the process and runs it until the context ends.
func runGateway(ctx context.Context, s *platform.Settings, path string) error {
	c := dig.New()
	constructors := []any{
		func() *platform.Settings { return s },
		clockwork.NewRealClock,
		func() log.Interface {
			return (&log.Logger{Level: log.InfoLevel, Handler: json.New(os.Stdout)}).WithField("process", s.Process)
		},
		metrics.NewSet,
		newGatewayStore,
		newQuotaBook,
		newLender,
		newQuotaSyncer,
		newPlacer,
		newRetryBudget,
		newSender,
		newGatewayProcess,
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
	}
	return c.Invoke(func(p *gatewayProcess) error { return p.run(ctx, path) })
}

func newGatewayStore(s *platform.Settings, set *metrics.Set) rowstore.Store {
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

func newQuotaBook(s *platform.Settings) *quota.Book {
	return quota.New(s.Process+"@"+s.Address.String(), ulid.Make().String(), quota.Defaults())
}

func newLender(s *platform.Settings, book *quota.Book, clock clockwork.Clock, l log.Interface, set *metrics.Set) (*lending.Lender, error) {
	return lending.New(netip.AddrPortFrom(s.Address, s.PeerPorts[0]), book,
		lending.WithClock(clock), lending.WithLog(l), lending.WithMetrics(set))
}

func newQuotaSyncer(book *quota.Book, store rowstore.Store, clock clockwork.Clock, l log.Interface, set *metrics.Set,
	retries *retrybudget.Budget, lender *lending.Lender) *quotastore.Syncer {
	return quotastore.New(book, store, quota.Defaults().UnsureRetry, quotastore.WithClock(clock), quotastore.WithLog(l),
		quotastore.WithMetrics(set), quotastore.WithLoans(lender.Borrow), quotastore.WithSyncHook(func() { retries.SetProcesses(book.Holders()) }))
}

func newPlacer() *placement.Placer { return placement.New(placement.Defaults()) }

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

// gatewayProcess is a running gateway with its servers and followers.
type gatewayProcess struct {
	settings  *platform.Settings
	clock     clockwork.Clock
	log       log.Interface
	gateway   *gateway.Gateway
	placer    *placement.Placer
	callers   *platform.Callers
	readiness *platform.Readiness
	configs   *feed.Follower[platform.ConfigEvent]
	replicas  *feed.Follower[replica.Event]
	book      *quota.Book
	quota     *quotastore.Syncer
	stopping  atomic.Bool

	mu        sync.Mutex
	directory *replica.Directory
}

func newGatewayProcess(s *platform.Settings, clock clockwork.Clock, l log.Interface, set *metrics.Set, store rowstore.Store,
	placer *placement.Placer, retries *retrybudget.Budget, sender gateway.Sender, book *quota.Book, syncer *quotastore.Syncer) (*gatewayProcess, error) {
	p := &gatewayProcess{settings: s, clock: clock, log: l, placer: placer, directory: replica.New(registryGrace), book: book, quota: syncer}
	p.gateway = gateway.New(sender, placer, retries, gateway.WithClock(clock), gateway.WithLog(l),
		gateway.WithMetrics(set), gateway.WithQuota(syncer), gateway.WithFreshness(func() time.Time { return p.configs.Status().Heard }))
	p.configs = feed.New("configuration", platform.NewOperator(store), p.followConfig, feed.WithClock(clock), feed.WithLog(l))
	p.replicas = feed.New("replicas", platform.NewRegistry(store), p.followReplicas, feed.WithClock(clock), feed.WithLog(l))
	var err error
	if p.readiness, err = platform.NewReadiness(s.Readiness, p.ready, set, l); err != nil {
		return nil, err
	}
	p.callers, err = platform.NewCallers(s.Callers, p.gateway.Serve, l)
	return p, err
}

func (p *gatewayProcess) ready() bool {
	b := p.gateway.Belief()
	return !p.stopping.Load() && b.Table != nil && b.Replicas.Services() > 0
}

func (p *gatewayProcess) followConfig(b feed.Batch[platform.ConfigEvent]) {
	for _, event := range b.Events {
		switch event := event.(type) {
		case platform.ConfigPublished:
			old := p.gateway.Belief().Table
			if old != nil && event.Config.Version <= old.Version() {
				continue
			}
			table := route.New(event.Config)
			p.mu.Lock()
			p.gateway.Believe(func(belief gateway.Belief) gateway.Belief { belief.Table = table; return belief })
			p.mu.Unlock()
			p.book.SetLimits(table.Version(), quotaLimits(table))
			p.quota.Wake()
			fields := log.Fields{"config_version": table.Version(), "routes": len(event.Config.Routes)}
			for _, l := range quotaLimits(table) {
				fields["quota."+l.Workspace] = l.Tokens
			}
			p.log.WithFields(fields).Info("configuration in force")
		case platform.ConfigUnreadable:
			p.log.WithError(event.Err).Error("configuration ignored")
		}
	}
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

func (p *gatewayProcess) followReplicas(b feed.Batch[replica.Event]) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Complete {
		p.directory.Replace(b.Events, b.Version, now)
	} else {
		p.directory.Apply(b.Events, b.Version, now)
	}
	for _, event := range b.Events {
		if e, ok := event.(replica.Unreadable); ok {
			p.log.WithField("replica", e.ID).WithError(e.Err).Warn("registry entry ignored")
		}
	}
	p.publishReplicas(now)
	if next, ok := p.directory.NextExpiry(); ok {
		p.clock.AfterFunc(next.Sub(now), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.publishReplicas(p.clock.Now())
		})
	}
}

// publishReplicas is called with the lock held.
func (p *gatewayProcess) publishReplicas(now time.Time) {
	set := p.directory.Set(now)
	p.gateway.Believe(func(belief gateway.Belief) gateway.Belief { belief.Replicas = set; return belief })
	p.placer.Update(set.All())
	p.log.WithField("registry_version", set.Version).WithField("replicas", len(set.All())).
		WithField("missing", p.directory.Missing()).Info("replicas changed")
}

// Parts of the time between SIGTERM and SIGKILL.
const (
	// announceTime is how long a gateway that stops still takes connections:
	// the platform needs two failed checks, a second apart, to send them
	// elsewhere.
	announceTime = 2500 * time.Millisecond
	// exitMargin is left before SIGKILL.
	exitMargin = 500 * time.Millisecond
)

// run serves until the context ends, then stops gracefully.
func (p *gatewayProcess) run(ctx context.Context, path string) error {
	p.log.Info("started")
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for ctx.Err() == nil {
		select {
		case <-reload:
			if _, err := platform.LoadSettings(path); err != nil {
				p.log.WithError(err).Error("reload failed; settings kept")
			} else {
				p.log.Info("settings reloaded")
			}
		case <-ctx.Done():
		}
	}
	p.log.Info("stopping")
	p.stopping.Store(true)
	p.clock.Sleep(announceTime)
	drain, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.GracePeriod-announceTime-exitMargin)
	defer cancel()
	err := p.callers.Close(drain)
	p.quota.Close(drain)
	p.log.Info("stopped")
	return err
}
