// Package gateway serves callers' requests by sending them directly to the
// replicas of their route's service. A request passes these steps: match a
// route, authenticate, reserve quota, choose a replica, send, relay the
// response, settle the quota. The packages route, quota, placement and
// retrybudget make the decisions; this package carries them out.
package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/crash"
	"briarreach/placement"
	"briarreach/replica"
	"briarreach/replicalimit"
	"briarreach/replicanotice"
	"briarreach/retrybudget"
	"briarreach/route"
)

// Snapshot is the configuration and the replicas that requests are served with.
type Snapshot struct {
	RouteTable       *route.Table // nil before the first configuration
	Replicas         *replica.Set
	WithheldVersions map[string]string // by service, the replica version that gets no requests
	EvacuatedDomains map[string]bool   // failure domains whose replicas get no requests
}

// candidates returns the replicas of a service that may get requests.
func (s Snapshot) candidates(service string) []replica.Replica {
	list := s.Replicas.ForService(service)
	if _, withheld := s.WithheldVersions[service]; !withheld && len(s.EvacuatedDomains) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(r replica.Replica) bool { return s.leftOut(r) != "" })
}

// leftOut returns why a replica gets no requests whatever its state; empty if it may.
func (s Snapshot) leftOut(r replica.Replica) placement.Verdict {
	if s.EvacuatedDomains[r.FailureDomain] {
		return placement.VerdictEvacuated
	}
	if version, withheld := s.WithheldVersions[r.Service]; withheld && r.Version == version {
		return placement.VerdictWithheld
	}
	return ""
}

// Quota admits model requests by their workspace's token quota.
type Quota interface {
	// Reserve reserves the most tokens that a request can consume. It may wait
	// for the store until ctx ends. Its errors are *QuotaError.
	Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}

// Reservation is quota reserved for one request.
type Reservation interface {
	// Settle charges the consumed tokens and releases the rest.
	Settle(tokens int64)
}

// QuotaError reports that quota could not be reserved. The request was not
// executed.
type QuotaError struct {
	Exhausted    bool // the whole quota is consumed or reserved
	RetryAfter   time.Duration
	Balance      int64         // tokens granted to this process and not consumed
	Spendable    int64         // tokens of the balance that may be consumed now
	GrantDataAge time.Duration // age of the data about the other processes' grants
}

func (e *QuotaError) Error() string {
	if e.Exhausted {
		return "token quota exhausted"
	}
	return "not enough of the token quota is granted to this process"
}

// Quarantine knows the requests, and the shared parts of prompts, that crash
// replicas. Requests have the IDs of quarantine.RequestID.
type Quarantine interface {
	// Empty reports whether no request is blocked.
	Empty() bool
	// Blocks reports whether a request with one of the parts must not be sent to a
	// service, because of which part and for how long.
	Blocks(service string, partIDs []string) (partID string, remaining time.Duration, blocked bool)
	// ProvesSound reports whether a stream that lasts for some time after its first
	// event shows that its prompt does not crash replicas.
	ProvesSound(answerTime time.Duration) bool
	// RecordAnswer notes that a request with the parts was answered.
	RecordAnswer(service string, partIDs []string)
}

// Settings holds the gateway's settings that an operator can change.
type Settings struct {
	SilenceTimeout       time.Duration // after which a retryable request is retried if the replica sent nothing
	StaleAfter           time.Duration // age at which an unconfirmed configuration counts as outdated
	MaxBufferedBodyBytes int           // a larger response that is not a stream fails
	MaxEventBytes        int           // a stream with a larger event is broken off
	MinRemainingTime     time.Duration // before its deadline; a request with less is not sent
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{SilenceTimeout: 1500 * time.Millisecond, StaleAfter: 2500 * time.Millisecond,
		MaxBufferedBodyBytes: 256 << 10, MaxEventBytes: 64 << 10, MinRemainingTime: 5 * time.Millisecond}
}

// Gateway serves requests.
type Gateway struct {
	clock             clockwork.Clock
	log               log.Interface
	sender            Sender
	quota             Quota
	quarantine        Quarantine
	placer            *placement.Placer
	retries           *retrybudget.Budget
	settings          Settings
	metrics           *gatewayMetrics
	snapshot          atomic.Pointer[Snapshot]
	configConfirmedAt func() time.Time // when the configuration was last confirmed
	overloaded        func() bool      // whether this process is short of network or processor time
	onBrokenSend      func(crash.BrokenSend)
	onLimit           func(r replica.Replica, stated replicalimit.Limit, sentAt time.Time)
	onNotice          func(r replica.Replica, n replicanotice.Notice)
	openStreams       atomic.Int64
	drainEnd          atomic.Pointer[time.Time] // nil until the process stops
}

// Option changes a default of New.
type Option func(*Gateway)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(g *Gateway) { g.log = l } }

// WithSettings sets the settings.
func WithSettings(s Settings) Option { return func(g *Gateway) { g.settings = s } }

// WithQuota sets what admits model requests; without it all are admitted.
func WithQuota(q Quota) Option { return func(g *Gateway) { g.quota = q } }

// WithQuarantine sets what blocks requests that crash replicas; without it none
// are.
func WithQuarantine(q Quarantine) Option { return func(g *Gateway) { g.quarantine = q } }

// WithMetrics adds the gateway's metrics to a set.
func WithMetrics(s *metrics.Set) Option { return func(g *Gateway) { g.metrics = newMetrics(s) } }

// WithConfigConfirmedAt sets the function that returns when the configuration
// was last confirmed.
func WithConfigConfirmedAt(confirmedAt func() time.Time) Option {
	return func(g *Gateway) { g.configConfirmedAt = confirmedAt }
}

// WithOverloaded sets the function that says whether this process is short of network
// or processor time. Connections to replicas that time out then are not held against
// the replicas. Without it, it never is.
func WithOverloaded(overloaded func() bool) Option {
	return func(g *Gateway) { g.overloaded = overloaded }
}

// WithBrokenSendHandler calls f, which must not block, for each request whose
// connection to a replica broke.
func WithBrokenSendHandler(f func(crash.BrokenSend)) Option {
	return func(g *Gateway) { g.onBrokenSend = f }
}

// WithLimitHandler calls f with the limit that a replica states in a response, or
// does not state in an answer, and the time at which its request was sent.
func WithLimitHandler(f func(r replica.Replica, stated replicalimit.Limit, sentAt time.Time)) Option {
	return func(g *Gateway) { g.onLimit = f }
}

// WithNoticeHandler calls f with what a replica says of itself in an answer.
func WithNoticeHandler(f func(r replica.Replica, n replicanotice.Notice)) Option {
	return func(g *Gateway) { g.onNotice = f }
}

// New returns a gateway.
func New(sender Sender, placer *placement.Placer, retries *retrybudget.Budget, opts ...Option) *Gateway {
	g := &Gateway{clock: clockwork.NewRealClock(), log: log.Log, sender: sender, quota: noQuota{}, quarantine: noQuarantine{}, placer: placer,
		retries: retries, settings: Defaults(), metrics: newMetrics(metrics.NewSet()), onBrokenSend: func(crash.BrokenSend) {}, overloaded: func() bool { return false },
		onLimit: func(replica.Replica, replicalimit.Limit, time.Time) {}, onNotice: func(replica.Replica, replicanotice.Notice) {}}
	g.configConfirmedAt = g.clock.Now
	for _, opt := range opts {
		opt(g)
	}
	g.snapshot.Store(&Snapshot{})
	return g
}

// noQuota admits everything.
type noQuota struct{}

func (noQuota) Reserve(context.Context, string, int64) (Reservation, error) { return noQuota{}, nil }

func (noQuota) Settle(int64) {}

// noQuarantine blocks nothing.
type noQuarantine struct{}

func (noQuarantine) Empty() bool { return true }

func (noQuarantine) Blocks(string, []string) (string, time.Duration, bool) { return "", 0, false }

func (noQuarantine) ProvesSound(time.Duration) bool { return false }

func (noQuarantine) RecordAnswer(string, []string) {}

// UpdateSnapshot replaces the snapshot by a changed copy. Calls must not be
// concurrent.
func (g *Gateway) UpdateSnapshot(change func(Snapshot) Snapshot) {
	next := change(*g.snapshot.Load())
	g.snapshot.Store(&next)
}

// Snapshot returns the current snapshot.
func (g *Gateway) Snapshot() Snapshot { return *g.snapshot.Load() }

// Drain makes the gateway refuse new streams, and other requests whose time limit
// is after end: their answers could come after the process has ended.
func (g *Gateway) Drain(end time.Time) { g.drainEnd.Store(&end) }

// refusesForDrain reports whether a new request is refused because the process
// stops.
func (g *Gateway) refusesForDrain(streaming bool, deadline time.Time) bool {
	end := g.drainEnd.Load()
	return end != nil && (streaming || deadline.After(*end))
}

// OpenStreams returns the number of open streams.
func (g *Gateway) OpenStreams() int { return int(g.openStreams.Load()) }

// Serve serves a request. ctx must end when the caller disconnects, or with the
// cause *StoppingError when the process is about to end.
func (g *Gateway) Serve(ctx context.Context, r *Request) Answer {
	// Read before the snapshot, which may be replaced in between: an age that is too high
	// only refuses what a newer configuration may have.
	configAge := g.clock.Since(g.configConfirmedAt())
	e := &exchange{gateway: g, request: r, snapshot: g.Snapshot(), started: g.clock.Now(), configAge: configAge, rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	return e.serve(ctx)
}
