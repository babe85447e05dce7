// Package daemon provides what entries and agents are both made of: clock,
// log, time line, metrics, table client and the endpoint for peers.
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

// Option changes a default of a daemon.
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

// WithStore sets the table store instead of a client made from the settings.
func WithStore(s table.Store) Option { return func(o *options) { o.store = s } }

// Handler passes the streams of peers to the role. It is made before the role,
// which the endpoint needs; streams wait until Set.
type Handler struct {
	ready chan struct{}
	serve func(context.Context, *peer.Stream)
}

// Set sets the role's function and lets waiting streams go on. It is called
// once.
func (h *Handler) Set(serve func(context.Context, *peer.Stream)) {
	h.serve = serve
	close(h.ready)
}

// Ready is closed by Set.
func (h *Handler) Ready() <-chan struct{} { return h.ready }

func (h *Handler) handle(ctx context.Context, s *peer.Stream) {
	select {
	case <-h.ready:
		h.serve(ctx, s)
	case <-ctx.Done():
	}
}

// New builds a role with a container that has the shared parts and the role's
// own constructors. Listen is the address for peers.
func New[Role any](s *settings.Settings, listen netip.AddrPort, opts []Option, constructors ...any) (Role, error) {
	var role Role
	o := options{clock: clockwork.NewRealClock(), log: log.Log}
	for _, opt := range opts {
		opt(&o)
	}
	c := dig.New()
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
		if err := c.Provide(constructor); err != nil {
			return role, fmt.Errorf("daemon.New: %w", err)
		}
	}
	if err := c.Invoke(func(made Role) { role = made }); err != nil {
		return role, fmt.Errorf("daemon.New: %w", dig.RootCause(err))
	}
	return role, nil
}

// NewStore returns the client of the table service that the settings name.
func NewStore(s *settings.Settings) (*table.Client, error) {
	return table.New(
		table.WithEndpoint(s.Table.Endpoint), table.WithRegion(s.Table.Region),
		table.WithTableName(s.Table.Name), table.WithTimeout(s.Table.Timeout.Duration),
		table.WithCredentials(s.Table.AccessKeyID, s.Table.SecretAccessKey))
}
