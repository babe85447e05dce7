// Package gateway serves callers' requests by sending them straight to the
// replicas of their route's service. A request passes these steps: match a
// route, authenticate, reserve quota, choose a replica, send, relay the answer,
// settle. The decisions are in the packages route, quota, placement and
// retrybudget; this package carries them out.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/placement"
	"briarreach/replica"
	"briarreach/retrybudget"
	"briarreach/route"
	"briarreach/upstream"
)

// Belief is what the gateway knows at a moment, and how old it is.
type Belief struct {
	Table    *route.Table // nil before the first configuration
	Replicas *replica.Set
	Withheld map[string]string // by service, the version that gets no requests
}

// candidates returns the replicas of a service that may get requests.
func (b Belief) candidates(service string) []replica.Replica {
	list := b.Replicas.Of(service)
	version, ok := b.Withheld[service]
	if !ok {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(r replica.Replica) bool { return r.Version == version })
}

// Quota admits model requests by their workspace's token quota.
type Quota interface {
	// Reserve takes the most that a request can consume. It may wait for the
	// store until ctx ends. Its errors are *QuotaError.
	Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}

// Reservation is quota that is held for one request.
type Reservation interface {
	// Settle replaces the reservation by what was consumed.
	Settle(tokens int64)
}

// QuotaError reports that quota could not be reserved. The request has not
// run.
type QuotaError struct {
	Exhausted  bool // the whole quota is consumed or reserved
	RetryAfter time.Duration
	Balance    int64         // granted to this process and not consumed
	Allowed    int64         // of the balance, what may be consumed now
	RowsAge    time.Duration // age of what is known of the other processes' grants
}

func (e *QuotaError) Error() string {
	if e.Exhausted {
		return "token quota exhausted"
	}
	return "not enough of the token quota is granted to this process"
}

// Tuning is what an operator can change of the gateway's behaviour.
type Tuning struct {
	SilenceTimeout time.Duration // without a byte from a replica a repeatable request is sent again
	StaleAfter     time.Duration // a belief not confirmed for so long is called stale
	MaxHeld        int           // bytes of an answer that is held to check that it is whole
	MinTimeLeft    time.Duration // a request with less time is not sent
}

// DefaultTuning returns the tuning that holds if nothing else is said.
func DefaultTuning() Tuning {
	return Tuning{SilenceTimeout: 1500 * time.Millisecond, StaleAfter: 2500 * time.Millisecond,
		MaxHeld: 256 << 10, MinTimeLeft: 5 * time.Millisecond}
}

// Gateway serves requests.
type Gateway struct {
	clock   clockwork.Clock
	log     log.Interface
	sender  Sender
	quota   Quota
	placer  *placement.Placer
	retries *retrybudget.Budget
	tuning  Tuning
	metrics *meters
	belief  atomic.Pointer[Belief]
	heard   func() time.Time // last word from the operator's configuration
	streams atomic.Int64     // open
	leaving atomic.Bool      // whether new streams are refused
}

// Option changes a default of New.
type Option func(*Gateway)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(g *Gateway) { g.log = l } }

// WithTuning sets the tuning.
func WithTuning(t Tuning) Option { return func(g *Gateway) { g.tuning = t } }

// WithQuota sets what admits model requests; without it all are admitted.
func WithQuota(q Quota) Option { return func(g *Gateway) { g.quota = q } }

// WithMetrics adds the gateway's metrics to a set.
func WithMetrics(s *metrics.Set) Option { return func(g *Gateway) { g.metrics = newMeters(s) } }

// WithFreshness tells when the configuration was last confirmed.
func WithFreshness(heard func() time.Time) Option { return func(g *Gateway) { g.heard = heard } }

// New returns a gateway.
func New(sender Sender, placer *placement.Placer, retries *retrybudget.Budget, opts ...Option) *Gateway {
	g := &Gateway{clock: clockwork.NewRealClock(), log: log.Log, sender: sender, quota: noQuota{}, placer: placer,
		retries: retries, tuning: DefaultTuning(), metrics: newMeters(metrics.NewSet())}
	g.heard = g.clock.Now
	for _, opt := range opts {
		opt(g)
	}
	g.belief.Store(&Belief{})
	return g
}

// noQuota admits everything.
type noQuota struct{}

func (noQuota) Reserve(context.Context, string, int64) (Reservation, error) { return noQuota{}, nil }

func (noQuota) Settle(int64) {}

// Believe replaces what the gateway knows. It is called by one goroutine at a
// time.
func (g *Gateway) Believe(change func(Belief) Belief) {
	next := change(*g.belief.Load())
	g.belief.Store(&next)
}

// Belief returns what the gateway knows.
func (g *Gateway) Belief() Belief { return *g.belief.Load() }

// RefuseStreams makes the gateway refuse new streams, which could outlast the
// process. Other requests are served.
func (g *Gateway) RefuseStreams() { g.leaving.Store(true) }

// Streams returns the number of open streams.
func (g *Gateway) Streams() int { return int(g.streams.Load()) }

// Serve answers a request. The context ends when the caller has gone.
func (g *Gateway) Serve(ctx context.Context, r *Request) Answer {
	e := &exchange{g: g, r: r, belief: g.Belief(), started: g.clock.Now(), configAge: g.clock.Since(g.heard()), rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	return e.serve(ctx)
}

// exchange is one request on its way.
type exchange struct {
	g         *Gateway
	r         *Request
	belief    Belief
	started   time.Time
	configAge time.Duration // at the start
	rand      *rand.Rand
	route     *route.Route
	service   string
	workspace string
	priority  int
	deadline  time.Time
	reserved  Reservation
	short     *QuotaError // why nothing was reserved
	sends     []send
	delivered int // events that were passed on
	first     time.Duration
	streaming bool
	once      sync.Once
}

// send is one dispatch of a request and its outcome, for the log.
type send struct {
	Replica  string `json:"replica"`
	Why      string `json:"why"`
	InFlight int    `json:"in_flight"`
	Backlog  int    `json:"backlog,omitempty"`
	Cached   int    `json:"cached,omitempty"`
	Outcome  string `json:"outcome"`
	MS       int64  `json:"ms"`
}

func (e *exchange) serve(ctx context.Context) Answer {
	if refusal := e.admit(ctx); refusal != nil {
		return e.refuse(refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	answer, refusal := e.dispatch(ctx)
	if refusal != nil {
		cancel()
		return e.refuse(refusal)
	}
	if answer.Body == nil {
		cancel()
		e.end(outcomeServed, "")
		return answer
	}
	answer.Body = &closer{ReadCloser: answer.Body, close: cancel}
	return answer
}

// closer runs a function after the body is closed.
type closer struct {
	io.ReadCloser
	close func()
}

func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.close()
	return err
}

// staleRetry is after how long a caller may come back to a process whose
// configuration is not known or out of date.
const staleRetry = 200 * time.Millisecond

// admit matches the request against the configuration and reserves its quota.
func (e *exchange) admit(ctx context.Context) *Refusal {
	t := e.belief.Table
	if t == nil {
		return &Refusal{Ran: NotRun, Reason: NoConfiguration, RetryAfter: staleRetry}
	}
	r, ok := t.Match(e.r.Host, e.r.Path)
	if !ok {
		return e.unlessStale(UnknownRoute)
	}
	e.route = r
	if _, e.streaming = r.Kind.(route.Streaming); e.streaming {
		e.g.streams.Add(1)
		if e.g.leaving.Load() {
			return &Refusal{Ran: NotRun, Reason: Stopping, RetryAfter: staleRetry}
		}
	}
	priority := 0
	if t.RequiresKey() {
		w, known := t.Workspace(e.r.Key)
		switch {
		case known:
			e.workspace, priority = w.Name, w.Priority
		case !r.Public:
			return e.unlessStale(UnknownKey)
		}
	}
	e.priority = min(max(priority*priorityStep+r.Priority, 0), lowestPriority)
	timeout := r.Timeout
	if e.r.Timeout > 0 && (e.r.Timeout < timeout || timeout <= 0) {
		timeout = e.r.Timeout
	}
	e.deadline = e.started.Add(timeout)
	service, ok := r.Pick(e.rand.Float64())
	if !ok {
		return &Refusal{Ran: NotRun, Reason: NoReplica, RetryAfter: staleRetry}
	}
	e.service = service
	e.g.retries.Request(service, e.started)
	if e.r.Prompt == nil || e.workspace == "" {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, r.TargetLatency/quotaWaitPart)
	defer cancel()
	reserved, err := e.g.quota.Reserve(wait, e.workspace, int64(e.r.Prompt.Tokens+e.r.Prompt.MaxOutput))
	if err != nil {
		var short *QuotaError
		if errors.As(err, &short) {
			e.short = short
		}
		if short != nil && short.Exhausted {
			return &Refusal{Ran: NotRun, Reason: QuotaExhausted}
		}
		retry := staleRetry
		if short != nil {
			retry = short.RetryAfter
		}
		return &Refusal{Ran: NotRun, Reason: QuotaUnsettled, RetryAfter: retry}
	}
	e.reserved = reserved
	return nil
}

const (
	// priorityStep ranks a workspace's priority before its routes'.
	priorityStep   = 3
	lowestPriority = 9
	// quotaWaitPart is the part of the target latency, as a divisor, that a
	// request waits for quota.
	quotaWaitPart = 2
)

// unlessStale refuses a request that the configuration does not know. A
// process whose configuration is out of date can't say that.
func (e *exchange) unlessStale(reason Reason) *Refusal {
	if e.configAge > e.g.tuning.StaleAfter {
		return &Refusal{Ran: NotRun, Reason: StaleConfig, RetryAfter: staleRetry}
	}
	return &Refusal{Ran: NotRun, Reason: reason}
}

// dispatch sends the request until a replica answers it, or gives it up.
func (e *exchange) dispatch(ctx context.Context) (*Relay, *Refusal) {
	exclude := make(map[string]bool)
	ran := 0 // sends that may have run
	var last *failure
	for n := 0; n < maxSends; n++ {
		now := e.g.clock.Now()
		choice, ok := e.g.placer.Choose(e.need(exclude), e.g.Belief().candidates(e.service), now, e.rand)
		if !ok {
			if last == nil {
				return nil, &Refusal{Ran: NotRun, Reason: NoReplica, RetryAfter: noReplicaRetry}
			}
			break
		}
		if n > 0 && !e.g.retries.Spend(e.service, now) {
			e.g.placer.Done(choice, placement.Canceled, now)
			e.g.metrics.retryRefused.Inc()
			break
		}
		exclude[choice.Replica.ID] = true
		relay, failed := e.send(ctx, choice, exclude, ran)
		if failed == nil {
			return relay, nil
		}
		last = failed
		if failed.ran {
			ran++
		}
		if ctx.Err() != nil || !e.mayRepeat(ran) {
			break
		}
	}
	if last.relay != nil {
		return last.relay, nil
	}
	if ran > 0 {
		last.refusal.Ran, last.refusal.RetryAfter = RanUnknown, 0
	}
	return nil, last.refusal
}

const (
	// maxSends bounds the sends of one request, those that a replica refused
	// included.
	maxSends = 3
	// noReplicaRetry is after how long a caller may come back when a service
	// has no replica.
	noReplicaRetry = 300 * time.Millisecond
)

// mayRepeat reports whether a request may be sent again after a number of
// sends that may have run.
func (e *exchange) mayRepeat(ran int) bool {
	if ran == 0 {
		return true
	}
	return ran < e.route.MaxAttempts && (route.Repeatable(e.route.Kind) || route.Resumable(e.route.Kind))
}

func (e *exchange) need(exclude map[string]bool) placement.Need {
	n := placement.Need{Exclude: exclude}
	if p := e.r.Prompt; p != nil {
		n.Tail = p.Tokens
		if shared := len(p.Parts) - 1; shared > 0 {
			ids, tokens := make([]string, shared), make([]int, shared)
			for i, part := range p.Parts[:shared] {
				ids[i], tokens[i] = part.ID, part.Tokens
				n.Tail -= part.Tokens
			}
			n.Shared, n.Tail = placement.Parts(ids, tokens), max(n.Tail, 0)
		}
	}
	return n
}

// failure is a send that gave no answer to pass on. If relay is set, it is the
// replica's own failure, which is passed on if the request is not sent again.
type failure struct {
	refusal *Refusal
	relay   *Relay
	ran     bool // whether the request may have run
}

// attempt is one send while it is going on.
type attempt struct {
	e       *exchange
	choice  placement.Choice
	started time.Time
	ctx     context.Context
	cancel  context.CancelCauseFunc
	silence clockwork.Timer // nil if silence is accepted
	limit   time.Duration
	body    io.Closer
	ended   bool
}

// heard notes that the replica sent something.
func (a *attempt) heard() {
	a.e.g.placer.Heard(a.choice, a.e.g.clock.Now())
	if a.silence != nil {
		a.silence.Reset(a.limit)
	}
}

// end ends the send, once. The body is closed first, as the end of the context
// closes a connection that is still in use.
func (a *attempt) end(o placement.Outcome, outcome string) {
	if a.ended {
		return
	}
	a.ended = true
	if a.silence != nil {
		a.silence.Stop()
	}
	if a.body != nil {
		_ = a.body.Close()
	}
	a.cancel(nil)
	now := a.e.g.clock.Now()
	a.e.g.placer.Done(a.choice, o, now)
	a.e.sends = append(a.e.sends, send{Replica: a.choice.Replica.ID, Why: a.choice.Reason, InFlight: a.choice.InFlight, Backlog: a.choice.Backlog, Cached: a.choice.Cached,
		Outcome: outcome, MS: now.Sub(a.started).Milliseconds()})
}

var errSilent = errors.New("no answer in time")

// open sends the request to one replica, to go on after an event of its
// stream, and waits for the header of the answer. Again says whether the
// request can be sent once more, so that a silent replica can be given up.
func (e *exchange) open(ctx context.Context, choice placement.Choice, after string, again bool) (*attempt, *Response, *failure) {
	g := e.g
	a := &attempt{e: e, choice: choice, started: g.clock.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	left := e.deadline.Sub(a.started)
	if left < g.tuning.MinTimeLeft {
		a.end(placement.Canceled, "no_time")
		return nil, nil, &failure{refusal: &Refusal{Ran: NotRun, Reason: TimedOut}}
	}
	if again {
		a.limit = min(g.tuning.SilenceTimeout, left/2)
		a.silence = g.clock.AfterFunc(a.limit, func() { a.checkSilence() })
	}
	res, err := g.sender.Send(a.ctx, Dispatch{Request: e.r, Replica: choice.Replica, Workspace: e.workspace,
		Priority: e.priority, Timeout: left, After: after})
	if err != nil {
		return nil, nil, e.sendFailed(ctx, a, err)
	}
	a.body = res.Body
	if res.Other {
		g.sender.Forget(choice.Replica)
		a.end(placement.Broken, "other_replica")
		return nil, nil, &failure{refusal: &Refusal{Ran: NotRun, Reason: NoReplica, RetryAfter: noReplicaRetry}}
	}
	a.heard()
	if res.NotRun {
		a.end(placement.Refused, "refused")
		return nil, nil, &failure{refusal: &Refusal{Ran: NotRun, Reason: ReplicaFull, RetryAfter: e.fullRetry()}}
	}
	return a, res, nil
}

// checkSilence gives the send up, unless the replica has sent something for
// another request meanwhile.
func (a *attempt) checkSilence() {
	now := a.e.g.clock.Now()
	if quiet := now.Sub(a.e.g.placer.LastHeard(a.choice)); quiet < a.limit/2 && now.Sub(a.started) < 2*a.limit {
		a.silence.Reset(a.limit / 2)
		return
	}
	a.cancel(errSilent)
}

// send sends the request to one replica and waits for its answer. Ran is the
// number of earlier sends that may have run.
func (e *exchange) send(ctx context.Context, choice placement.Choice, exclude map[string]bool, ran int) (*Relay, *failure) {
	a, res, failed := e.open(ctx, choice, "", e.mayRepeat(ran+1))
	if failed != nil {
		return nil, failed
	}
	if _, streaming := e.route.Kind.(route.Streaming); streaming && res.Status < 300 {
		return e.relayStream(ctx, a, res, exclude, ran+1)
	}
	whole, err := readWhole(res.Body, e.g.tuning.MaxHeld)
	if err != nil {
		return nil, e.sendFailed(ctx, a, &upstream.BrokenError{Err: err})
	}
	relay := &Relay{Status: res.Status, Header: res.Header, Whole: whole}
	if res.Status >= 500 {
		a.end(placement.Failed, fmt.Sprint("status_", res.Status))
		return nil, &failure{relay: relay, ran: true, refusal: &Refusal{Ran: HasRun, Reason: ReplicaFailed}}
	}
	a.end(placement.Served, "served")
	e.first = e.g.clock.Since(e.started)
	return relay, nil
}

// sendFailed classifies a send without an answer and ends it.
func (e *exchange) sendFailed(ctx context.Context, a *attempt, err error) *failure {
	e.g.sender.Forget(a.choice.Replica)
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			a.end(placement.Canceled, "canceled")
			return &failure{refusal: e.ended(ctx, &Refusal{Ran: NotRun, Reason: TimedOut})}
		}
		a.end(placement.Broken, "not_sent")
		return &failure{refusal: &Refusal{Ran: NotRun, Reason: NoReplica, RetryAfter: noReplicaRetry}}
	}
	refusal := &Refusal{Ran: RanUnknown, Reason: ReplicaFailed}
	switch {
	case ctx.Err() != nil:
		refusal = e.ended(ctx, &Refusal{Ran: RanUnknown, Reason: TimedOut})
		if refusal.Reason == CallerGone {
			a.end(placement.Canceled, string(CallerGone))
		} else {
			a.end(placement.Silent, string(TimedOut))
		}
	case errors.Is(context.Cause(a.ctx), errSilent):
		a.end(placement.Silent, "silent")
	default:
		a.end(placement.Broken, "broken")
	}
	return &failure{refusal: refusal, ran: true}
}

// ended returns the refusal of a request whose context has ended.
func (e *exchange) ended(ctx context.Context, last *Refusal) *Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if last != nil && last.Ran == NotRun {
			return &Refusal{Ran: NotRun, Reason: TimedOut}
		}
		return &Refusal{Ran: RanUnknown, Reason: TimedOut}
	}
	return &Refusal{Ran: RanUnknown, Reason: CallerGone}
}

// fullRetry spreads the callers that a full replica turned away.
func (e *exchange) fullRetry() time.Duration {
	base := e.route.TargetLatency / 4
	return base/2 + time.Duration(e.rand.Int64N(int64(base)+1))
}

// AnswerTooLargeError reports an answer that exceeds what is held to check
// that it is whole.
type AnswerTooLargeError struct{ Limit int }

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}

func readWhole(body io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("gateway.readWhole: %w", err)
	}
	if len(data) > limit {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	return data, nil
}

func (e *exchange) refuse(r *Refusal) Answer {
	if r == nil {
		r = &Refusal{Ran: RanUnknown, Reason: ReplicaFailed}
	}
	e.end("refused", string(r.Reason))
	return r
}

const (
	outcomeServed = "served"
	outcomeBroken = "broken_off"
)

// end settles the request and writes its log line, once.
func (e *exchange) end(outcome, reason string) {
	e.once.Do(func() {
		if e.reserved != nil {
			e.reserved.Settle(e.consumed())
		}
		e.report(outcome, reason)
		if e.streaming {
			e.g.streams.Add(-1)
		}
	})
}

// consumed returns the tokens that the request counts for: its prompt, if it
// may have run, and the output that was passed on.
func (e *exchange) consumed() int64 {
	ran := false
	for _, s := range e.sends {
		switch s.Outcome {
		case "refused", "other_replica", "not_sent", "canceled":
		default:
			ran = true
		}
	}
	if !ran {
		return 0
	}
	perEvent := 1
	if s, ok := e.belief.Table.Service(e.service); ok && s.Engine != nil {
		perEvent = s.Engine.TokensPerItem
	}
	p := e.r.Prompt
	return int64(p.Tokens + min(p.MaxOutput, e.delivered*perEvent))
}
