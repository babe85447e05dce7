// Package daemon constructs entries and agents. It provides the parts that they
// share: clock, log, timeline, metrics, table client and peer endpoint.
package daemon

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"

	"briarreach/peer"
	"briarreach/settings"
	"briarreach/table"
	"briarreach/timeline"
)

// Option configures a daemon.
type Option func(*options)

type options struct {
	clock clockwork.Clock
	log   log.Interface
	store table.Store
}

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithStore sets the table store, instead of a client for the table service in
// the settings.
func WithStore(s table.Store) Option { return func(o *options) { o.store = s } }

// Handler passes streams from peers to the entry or agent. The endpoint needs it
// before the entry or agent exists; streams wait until Set is called.
type Handler struct {
	ready chan struct{}
	serve func(context.Context, *peer.Stream)
}

// Set sets the function that serves streams and releases those that wait. It must
// be called once.
func (h *Handler) Set(serve func(context.Context, *peer.Stream)) {
	h.serve = serve
	close(h.ready)
}

// Ready returns a channel that Set closes.
func (h *Handler) Ready() <-chan struct{} { return h.ready }

func (h *Handler) handle(ctx context.Context, s *peer.Stream) {
	select {
	case <-h.ready:
		h.serve(ctx, s)
	case <-ctx.Done():
	}
}

// New constructs a Daemon, which is an entry or agent. constructors are functions
// for dig.Provide; one of them must return a Daemon. Their parameters are the
// shared parts and each other's results. listen is the address for peers.
func New[Daemon any](s *settings.Settings, listen netip.AddrPort, opts []Option, constructors ...any) (Daemon, error) {
	var daemon Daemon
	o := options{clock: clockwork.NewRealClock(), log: log.Log}
	for _, opt := range opts {
		opt(&o)
	}
	container := dig.New()
	shared := []any{
		func() *settings.Settings { return s },
		func() clockwork.Clock { return o.clock },
		func() log.Interface { return o.log.WithField("process", s.Process) },
		func(clock clockwork.Clock) *timeline.Recorder {
			return timeline.NewRecorder(s.Process, timeline.NewClock(clock))
		},
		metrics.NewSet,
		func() *Handler { return &Handler{ready: make(chan struct{})} },
		func() (table.Store, error) {
			if o.store != nil {
				return o.store, nil
			}
			return NewStore(s)
		},
		func() (*peer.Credentials, error) {
			return peer.LoadCredentials(s.Fleet.CAFile, s.Fleet.CertFile, s.Fleet.KeyFile)
		},
		func(credentials *peer.Credentials, h *Handler, clock clockwork.Clock, l log.Interface) (*peer.Endpoint, error) {
			return peer.New(peer.WithListen(listen), peer.WithCredentials(credentials),
				peer.WithHandler(h.handle), peer.WithClock(clock), peer.WithLog(l))
		},
	}
	for _, constructor := range append(shared, constructors...) {
		if err := container.Provide(constructor); err != nil {
			return daemon, fmt.Errorf("daemon.New: %w", err)
		}
	}
	if err := container.Invoke(func(built Daemon) { daemon = built }); err != nil {
		return daemon, fmt.Errorf("daemon.New: %w", dig.RootCause(err))
	}
	return daemon, nil
}

// NewStore returns a client for the table service in the settings.
func NewStore(s *settings.Settings) (*table.Client, error) {
	return table.New(
		table.WithEndpoint(s.Table.Endpoint), table.WithRegion(s.Table.Region),
		table.WithTableName(s.Table.Name), table.WithTimeout(s.Table.Timeout.Duration),
		table.WithCredentials(s.Table.AccessKeyID, s.Table.SecretAccessKey))
}
