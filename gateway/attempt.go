package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"briarreach/placement"
	"briarreach/route"
	"briarreach/upstream"
)

// sendRecord is one dispatch of a request and its outcome, for the log.
type sendRecord struct {
	Replica  string `json:"replica"`
	Why      string `json:"why"`
	InFlight int    `json:"in_flight"`
	Backlog  int    `json:"backlog,omitempty"`
	Cached   int    `json:"cached,omitempty"`
	Outcome  string `json:"outcome"`
	MS       int64  `json:"ms"`
}

// Outcomes of a send in the log.
const (
	sendServed       = "served"
	sendRefused      = "refused"       // by the replica, which did not run it
	sendOtherReplica = "other_replica" // another replica has the address
	sendNotSent      = "not_sent"      // no byte left this process
	sendOverloaded   = "overloaded"    // not sent, as it would have waited too long; ms is the expected wait
	sendCanceled     = "canceled"      // the caller left, or time ran out, before it was sent
	sendSilent       = "silent"
	sendBroken       = "broken"
	sendResumeFailed = "resume_failed"
)

// mayHaveRun reports whether a send with this outcome may have run.
func (s sendRecord) mayHaveRun() bool {
	switch s.Outcome {
	case sendRefused, sendOtherReplica, sendNotSent, sendCanceled, sendOverloaded:
		return false
	default:
		return true
	}
}

// attempt is one send while it is going on.
type attempt struct {
	exchange       *exchange
	choice         placement.Choice
	started        time.Time
	ctx            context.Context
	cancel         context.CancelCauseFunc
	silenceTimer   clockwork.Timer // nil if silence is accepted
	silenceTimeout time.Duration
	body           io.Closer
	ended          bool
}

// received notes that the replica sent something.
func (a *attempt) received() {
	a.exchange.gateway.placer.Heard(a.choice, a.exchange.gateway.clock.Now())
	if a.silenceTimer != nil {
		a.silenceTimer.Reset(a.silenceTimeout)
	}
}

// end ends the send, once. The body is closed first, as the end of the context
// closes a connection that is still in use.
func (a *attempt) end(o placement.Outcome, outcome string) {
	if a.ended {
		return
	}
	a.ended = true
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
	if a.body != nil {
		_ = a.body.Close()
	}
	a.cancel(nil)
	now := a.exchange.gateway.clock.Now()
	a.exchange.gateway.placer.Done(a.choice, o, now)
	a.exchange.recordSend(a.choice, outcome, now.Sub(a.started))
}

// recordSend adds a send to the request's log line.
func (e *exchange) recordSend(c placement.Choice, outcome string, took time.Duration) {
	e.sends = append(e.sends, sendRecord{Replica: c.Replica.ID, Why: c.Reason, InFlight: c.InFlight, Backlog: c.Backlog, Cached: c.Cached,
		Outcome: outcome, MS: took.Milliseconds()})
}

var errSilenceTimeout = errors.New("no answer in time")

// open sends the request to one replica, to go on after an event of its
// stream, and waits for the header of the answer. Again says whether the
// request can be sent once more, so that a silent replica can be given up.
func (e *exchange) open(ctx context.Context, choice placement.Choice, after string, again bool) (*attempt, *Response, *failure) {
	g := e.gateway
	a := &attempt{exchange: e, choice: choice, started: g.clock.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	left := e.deadline.Sub(a.started)
	if left < g.tuning.MinRemainingTime {
		a.end(placement.Canceled, sendCanceled)
		return nil, nil, &failure{refusal: &Refusal{Execution: NotExecuted, Reason: TimedOut}}
	}
	if again {
		a.silenceTimeout = min(g.tuning.SilenceTimeout, left/2)
		a.silenceTimer = g.clock.AfterFunc(a.silenceTimeout, func() { a.checkSilence() })
	}
	res, err := g.sender.Send(a.ctx, Dispatch{Request: e.request, Replica: choice.Replica, Workspace: e.workspace,
		Priority: e.priority, Timeout: left, AfterEventID: after})
	if err != nil {
		return nil, nil, e.sendFailed(ctx, a, err)
	}
	a.body = res.Body
	if res.WrongReplica {
		g.sender.CloseIdleConnections(choice.Replica)
		a.end(placement.Broken, sendOtherReplica)
		return nil, nil, &failure{refusal: &Refusal{Execution: NotExecuted, Reason: NoReplica, RetryAfter: noReplicaRetryAfter}}
	}
	a.received()
	if res.NotExecuted {
		a.end(placement.Refused, sendRefused)
		return nil, nil, &failure{refusal: &Refusal{Execution: NotExecuted, Reason: ReplicaFull, RetryAfter: e.replicaFullRetryAfter()}}
	}
	return a, res, nil
}

// checkSilence gives the send up, unless the replica has sent something for
// another request meanwhile.
func (a *attempt) checkSilence() {
	now := a.exchange.gateway.clock.Now()
	if quiet := now.Sub(a.exchange.gateway.placer.LastHeard(a.choice)); quiet < a.silenceTimeout/2 && now.Sub(a.started) < 2*a.silenceTimeout {
		a.silenceTimer.Reset(a.silenceTimeout / 2)
		return
	}
	a.cancel(errSilenceTimeout)
}

// send sends the request to one replica and waits for its answer. Ran is the
// number of earlier sends that may have run.
func (e *exchange) send(ctx context.Context, choice placement.Choice, exclude map[string]bool, ran int) (*RelayedResponse, *failure) {
	a, res, failed := e.open(ctx, choice, "", e.mayRetry(ran+1))
	if failed != nil {
		return nil, failed
	}
	if _, streaming := e.route.Kind.(route.Streaming); streaming && res.Status < 300 {
		return e.relayStream(ctx, a, res, exclude, ran+1)
	}
	whole, err := readBody(res.Body, e.gateway.tuning.MaxBufferedBody)
	if err != nil {
		return nil, e.sendFailed(ctx, a, &upstream.IncompleteResponseError{Err: err})
	}
	relay := &RelayedResponse{Status: res.Status, Header: res.Header, BufferedBody: whole}
	if res.Status >= 500 {
		a.end(placement.Failed, fmt.Sprint("status_", res.Status))
		return nil, &failure{response: relay, mayHaveRun: true, refusal: &Refusal{Execution: Executed, Reason: ReplicaFailed}}
	}
	a.end(placement.Served, sendServed)
	e.timeToFirstByte = e.gateway.clock.Since(e.started)
	return relay, nil
}

// sendFailed classifies a send without an answer and ends it.
func (e *exchange) sendFailed(ctx context.Context, a *attempt, err error) *failure {
	e.gateway.sender.CloseIdleConnections(a.choice.Replica)
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			a.end(placement.Canceled, sendCanceled)
			return &failure{refusal: e.contextRefusal(ctx, &Refusal{Execution: NotExecuted, Reason: TimedOut})}
		}
		a.end(placement.Broken, sendNotSent)
		return &failure{refusal: &Refusal{Execution: NotExecuted, Reason: NoReplica, RetryAfter: noReplicaRetryAfter}}
	}
	refusal := &Refusal{Execution: ExecutionUnknown, Reason: ReplicaFailed}
	switch {
	case ctx.Err() != nil:
		refusal = e.contextRefusal(ctx, &Refusal{Execution: ExecutionUnknown, Reason: TimedOut})
		if refusal.Reason == CallerDisconnected {
			a.end(placement.Canceled, string(CallerDisconnected))
		} else {
			a.end(placement.Silent, string(TimedOut))
		}
	case errors.Is(context.Cause(a.ctx), errSilenceTimeout):
		a.end(placement.Silent, sendSilent)
	default:
		a.end(placement.Broken, sendBroken)
	}
	return &failure{refusal: refusal, mayHaveRun: true}
}

// ResponseTooLargeError reports an answer that exceeds what is held to check
// that it is whole.
type ResponseTooLargeError struct{ Limit int }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}

func readBody(body io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("gateway.readWhole: %w", err)
	}
	if len(data) > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	return data, nil
}
