package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarreach/placement"
	"briarreach/route"
)

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
	asked := e.g.clock.Now()
	reserved, err := e.g.quota.Reserve(wait, e.workspace, int64(e.r.Prompt.Tokens+e.r.Prompt.MaxOutput))
	e.g.metrics.quotaWait.Update(e.g.clock.Since(asked).Seconds())
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
		need := e.need(exclude)
		if n == 0 && e.streaming {
			need.Target = e.route.TargetLatency
		}
		choice, ok := e.g.placer.Choose(need, e.g.Belief().candidates(e.service), now, e.rand)
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
		if choice.Refused {
			e.note(choice, sendOverloaded, choice.Wait)
			return nil, &Refusal{Ran: NotRun, Reason: Overloaded, RetryAfter: choice.RetryAfter}
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
	n := placement.Need{Exclude: exclude, Urgency: e.priority}
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

func (e *exchange) refuse(r *Refusal) Answer {
	if r == nil {
		r = &Refusal{Ran: RanUnknown, Reason: ReplicaFailed}
	}
	e.end(outcomeRefused, string(r.Reason))
	return r
}

const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeBroken  = "broken_off"
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
	ran := slices.ContainsFunc(e.sends, send.mayHaveRun)
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
