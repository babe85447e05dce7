package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/placement"
	"briarreach/route"
)

// exchange is the state of one request from its arrival to its log line.
type exchange struct {
	gateway         *Gateway
	request         *Request
	snapshot        Snapshot
	started         time.Time
	configAge       time.Duration // when the request arrived
	rand            *rand.Rand
	route           *route.Route
	service         string
	workspace       string
	priority        int
	deadline        time.Time
	reservation     Reservation
	quotaErr        *QuotaError // why no quota was reserved
	quarantinedPart string      // ID of the request or the part of the prompt because of which it is not sent
	contentHash     string      // as fingerprint returns it; empty before the first call
	sends           []sendRecord
	currentSend     *activeSend   // the last one that was started
	eventsReceived  int           // complete events received from replicas
	timeToFirstByte time.Duration // until the first event of a stream, or until a buffered response was complete
	streaming       bool
	outputDelivered bool        // whether a whole response that is no stream was passed on
	retryReserved   atomic.Bool // whether a retry was taken from the budget before it is sent
	endOnce         sync.Once
}

func (e *exchange) serve(ctx context.Context) Answer {
	defer e.endAfterPanic()
	if refusal := e.admit(ctx); refusal != nil {
		return e.refuse(refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	answer, refusal := e.sendWithRetries(ctx)
	if refusal != nil {
		cancel()
		return e.refuse(refusal)
	}
	if answer.Body == nil {
		cancel()
		e.outputDelivered = !e.streaming && answer.Status < 300
		e.end(outcomeServed, "")
		return answer
	}
	answer.Body = &closeHook{ReadCloser: answer.Body, afterClose: cancel}
	return answer
}

// endAfterPanic releases what a request holds when its handling panics. The caller
// of Serve handles the panic.
func (e *exchange) endAfterPanic() {
	if v := recover(); v != nil {
		if e.currentSend != nil {
			e.currentSend.end(placement.Canceled, string(InternalError))
		}
		e.end(outcomeBroken, string(InternalError))
		panic(v)
	}
}

// closeHook runs a function after the body is closed.
type closeHook struct {
	io.ReadCloser
	afterClose func()
}

func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.afterClose()
	return err
}

// defaultRetryAfter is the Retry-After of refusals whose cause gives none, such
// as an outdated configuration.
const defaultRetryAfter = 200 * time.Millisecond

// admit matches the request against the configuration and reserves its quota.
func (e *exchange) admit(ctx context.Context) *Refusal {
	t := e.snapshot.RouteTable
	if t == nil {
		return &Refusal{Execution: NotExecuted, Reason: NoConfiguration, RetryAfter: defaultRetryAfter}
	}
	r, ok := t.Match(e.request.Host, e.request.Path)
	if !ok {
		return e.refuseUnknown(UnknownRoute)
	}
	e.route = r
	if _, e.streaming = r.Kind.(route.Streaming); e.streaming {
		e.gateway.openStreams.Add(1)
	}
	priority := 0
	if t.RequiresKey() {
		w, known := t.Workspace(e.request.APIKey)
		switch {
		case known:
			e.workspace, priority = w.Name, w.Priority
		case !r.Public:
			return e.refuseUnknown(UnknownAPIKey)
		}
	}
	e.priority = requestPriority(priority, r)
	timeout := r.Timeout
	if e.request.Timeout > 0 && (e.request.Timeout < timeout || timeout <= 0) {
		timeout = e.request.Timeout
	}
	e.deadline = e.started.Add(timeout)
	if e.gateway.refusesForDrain(e.streaming, e.deadline) {
		return &Refusal{Execution: NotExecuted, Reason: Stopping, RetryAfter: defaultRetryAfter}
	}
	service, ok := r.PickService(e.rand.Float64())
	if !ok {
		return &Refusal{Execution: NotExecuted, Reason: NoReplica, RetryAfter: defaultRetryAfter}
	}
	e.service = service
	e.gateway.retries.RecordRequest(service, e.started)
	if refusal := e.quarantined(); refusal != nil {
		return refusal
	}
	if e.request.Prompt == nil || e.workspace == "" {
		return nil
	}
	reserveStart := e.gateway.clock.Now()
	reserveCtx, cancel := context.WithTimeout(ctx, min(r.TargetLatency/quotaWaitDivisor, e.deadline.Sub(reserveStart)))
	defer cancel()
	reservation, err := e.gateway.quota.Reserve(reserveCtx, e.workspace, int64(e.request.Prompt.Tokens+e.request.Prompt.MaxOutputTokens))
	e.gateway.metrics.quotaWait.Update(e.gateway.clock.Since(reserveStart).Seconds())
	if err != nil {
		var quotaErr *QuotaError
		if errors.As(err, &quotaErr) {
			e.quotaErr = quotaErr
		}
		if quotaErr != nil && quotaErr.Exhausted {
			return &Refusal{Execution: NotExecuted, Reason: QuotaExhausted}
		}
		retryAfter := defaultRetryAfter
		if quotaErr != nil {
			retryAfter = quotaErr.RetryAfter
		}
		return &Refusal{Execution: NotExecuted, Reason: QuotaUnavailable, RetryAfter: retryAfter}
	}
	e.reservation = reservation
	return nil
}

// quarantined refuses a request that crashes replicas, or has a part of the prompt
// that does.
func (e *exchange) quarantined() *Refusal {
	if e.gateway.quarantine.Empty() {
		return nil
	}
	part, remaining, blocked := e.gateway.quarantine.Blocks(e.service, e.contentIDs())
	if !blocked {
		return nil
	}
	e.quarantinedPart = part
	return &Refusal{Execution: NotExecuted, Reason: Quarantined, RetryAfter: remaining}
}

const (
	// workspacePriorityWeight ranks the workspace's priority above the route's.
	workspacePriorityWeight = 3
	lowestPriority          = 9
	// quotaWaitDivisor bounds the wait for quota to a fraction of the target
	// latency. The request's time limit bounds it, too.
	quotaWaitDivisor = 2
)

func requestPriority(workspacePriority int, r *route.Route) int {
	return min(max(workspacePriority*workspacePriorityWeight+r.Priority, 0), lowestPriority)
}

// refuseUnknown refuses a request whose route or key is not in the
// configuration. If the configuration is outdated, the refusal says so instead,
// as a newer one may have the route or key.
func (e *exchange) refuseUnknown(reason Reason) *Refusal {
	if e.configAge > e.gateway.settings.StaleAfter {
		return &Refusal{Execution: NotExecuted, Reason: StaleConfig, RetryAfter: defaultRetryAfter}
	}
	return &Refusal{Execution: NotExecuted, Reason: reason}
}

// sendWithRetries sends the request until a replica responds or no retry is
// allowed.
func (e *exchange) sendWithRetries(ctx context.Context) (*RelayedResponse, *Refusal) {
	exclude := make(map[string]bool)
	possibleExecutions := 0 // sends that may have been executed
	var last *failure
	for n := 0; n < maxSends; n++ {
		now := e.gateway.clock.Now()
		req := e.placementRequest(exclude)
		if n == 0 {
			req.TargetLatency = e.refusalTarget()
		}
		if n > 0 && e.quarantined() != nil {
			break
		}
		choice, ok := e.gateway.placer.Choose(req, e.gateway.Snapshot().candidates(e.service), now, e.rand)
		if !ok {
			if last == nil {
				return nil, &Refusal{Execution: NotExecuted, Reason: NoReplica, RetryAfter: noReplicaRetryAfter}
			}
			break
		}
		if n > 0 && choice.Refused {
			break
		}
		if n > 0 && !e.allowRetry(now) {
			e.gateway.placer.Done(choice, placement.Canceled, now)
			e.gateway.metrics.retryBudgetExhausted.Inc()
			break
		}
		if choice.Refused {
			outcome, refusal := refusalOf(choice, e.deadline.Sub(now))
			e.recordSend(choice, outcome, choice.ExpectedWait)
			return nil, refusal
		}
		exclude[choice.Replica.ID] = true
		relay, failed := e.send(ctx, choice, exclude, possibleExecutions)
		if failed == nil {
			return relay, nil
		}
		last = failed
		if failed.possiblyExecuted {
			possibleExecutions++
		}
		if ctx.Err() != nil || !e.mayRetry(possibleExecutions) {
			break
		}
	}
	if last.response != nil {
		return last.response, nil
	}
	if possibleExecutions > 0 {
		last.refusal.Execution, last.refusal.RetryAfter = ExecutionUnknown, 0
	}
	return nil, last.refusal
}

// refusalOf returns the refusal of a refused choice, and its outcome in the log.
// Remaining is the time until the request's deadline.
func refusalOf(choice placement.Choice, remaining time.Duration) (outcome string, r *Refusal) {
	r = &Refusal{Execution: NotExecuted, Reason: Overloaded, RetryAfter: choice.RetryAfter}
	switch choice.Reason {
	case placement.LimitedReason:
		r.Reason = Limited
		return sendLimited, r
	case placement.PausedReason:
		r.Reason = Paused
		if usable := remaining / usableRetryDivisor; choice.ExpectedWait <= usable {
			r.RetryAfter = min(r.RetryAfter, usable)
		}
		return sendPaused, r
	default:
		return sendOverloaded, r
	}
}

const (
	// maxSends bounds the sends of one request, including refused ones and
	// excluding those that resume a stream.
	maxSends = 3
	// usableRetryDivisor divides the time that a request has left into the longest
	// Retry-After after which its caller returns.
	usableRetryDivisor = 3
	// noReplicaRetryAfter is the Retry-After when no replica of a service could be
	// reached.
	noReplicaRetryAfter = 300 * time.Millisecond
)

// mayRetry reports whether the request may be sent again after
// possibleExecutions sends that may have been executed. The route's MaxRuns bounds
// only these; maxSends also counts the sends that were certainly not executed.
func (e *exchange) mayRetry(possibleExecutions int) bool {
	if possibleExecutions == 0 {
		return true
	}
	return possibleExecutions < e.route.MaxRuns && (route.Retryable(e.route.Kind) || route.Resumable(e.route.Kind))
}

// reserveRetry takes the next retry from the budget, or returns false if none is left.
func (e *exchange) reserveRetry(now time.Time) bool {
	if !e.gateway.retries.AllowRetry(e.service, now) {
		return false
	}
	e.retryReserved.Store(true)
	return true
}

// allowRetry reports whether a retry may be sent: one that was reserved, or else one of
// the budget.
func (e *exchange) allowRetry(now time.Time) bool {
	return e.retryReserved.Swap(false) || e.gateway.retries.AllowRetry(e.service, now)
}

// refusalTarget returns the target latency by which the first send is refused; 0 if
// it is not.
func (e *exchange) refusalTarget() time.Duration {
	if e.streaming {
		return e.route.TargetLatency
	}
	return 0
}

func (e *exchange) placementRequest(exclude map[string]bool) placement.Request {
	n := placement.Request{Exclude: exclude, Priority: e.priority, Streaming: e.streaming}
	if s, ok := e.route.Kind.(route.Streaming); ok {
		n.MaxEventGap = s.MaxEventGap
	}
	if p := e.request.Prompt; p != nil {
		n.UniqueTokens = p.Tokens
		if shared := len(p.Parts) - 1; shared > 0 {
			ids, tokens := make([]string, shared), make([]int, shared)
			for i, part := range p.Parts[:shared] {
				ids[i], tokens[i] = part.ID, part.Tokens
				n.UniqueTokens -= part.Tokens
			}
			n.SharedParts, n.UniqueTokens = placement.HashParts(ids, tokens), max(n.UniqueTokens, 0)
		}
	}
	return n
}

// failure is a failed send. If response is set, it is the replica's own error
// response, which is relayed if the request is not retried.
type failure struct {
	refusal          *Refusal
	response         *RelayedResponse
	possiblyExecuted bool
}

// contextRefusal returns the refusal of a request whose context has ended:
// because the deadline passed, the process is about to end, or else because the
// caller disconnected. Of sendRefusal only Execution is used: it says whether the
// send can have been executed when the context ends; nil means unknown. After a
// disconnect, Execution is always reported as unknown.
func (e *exchange) contextRefusal(ctx context.Context, sendRefusal *Refusal) *Refusal {
	execution := ExecutionUnknown
	if sendRefusal != nil && sendRefusal.Execution == NotExecuted {
		execution = NotExecuted
	}
	var stopping *StoppingError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Refusal{Execution: execution, Reason: TimedOut}
	case errors.As(context.Cause(ctx), &stopping):
		return &Refusal{Execution: execution, Reason: Stopping}
	default:
		return &Refusal{Execution: ExecutionUnknown, Reason: CallerDisconnected}
	}
}

// replicaFullRetryAfter returns a random Retry-After, so that callers refused by
// a full replica do not retry all at once.
func (e *exchange) replicaFullRetryAfter() time.Duration {
	base := e.route.TargetLatency / 4
	return base/2 + time.Duration(e.rand.Int64N(int64(base)+1))
}

func (e *exchange) refuse(r *Refusal) Answer {
	if r == nil {
		r = &Refusal{Execution: ExecutionUnknown, Reason: ReplicaFailed}
	}
	e.end(outcomeRefused, string(r.Reason))
	return r
}

const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeBroken  = "broken_off"
)

// end settles the quota and writes the log line; later calls do nothing.
func (e *exchange) end(outcome, reason string) {
	e.endOnce.Do(func() {
		if e.reservation != nil {
			e.reservation.Settle(e.consumedTokens())
		}
		e.report(outcome, reason)
		if e.streaming {
			e.gateway.openStreams.Add(-1)
		}
	})
}

// consumedTokens returns the tokens to charge: the prompt and the received
// output, or nothing if no send can have been executed. The output of a response that
// is no stream counts as the longest, since its tokens are not seen.
func (e *exchange) consumedTokens() int64 {
	possiblyExecuted := slices.ContainsFunc(e.sends, sendRecord.possiblyExecuted)
	if !possiblyExecuted {
		return 0
	}
	tokensPerEvent := 1
	if s, ok := e.snapshot.RouteTable.Service(e.service); ok && s.Engine != nil {
		tokensPerEvent = s.Engine.TokensPerEvent
	}
	p := e.request.Prompt
	if e.outputDelivered {
		return int64(p.Tokens + p.MaxOutputTokens)
	}
	return int64(p.Tokens + min(p.MaxOutputTokens, e.eventsReceived*tokensPerEvent))
}
