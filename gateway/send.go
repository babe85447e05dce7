package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"briarreach/crash"
	"briarreach/placement"
	"briarreach/replicalimit"
	"briarreach/route"
	"briarreach/upstream"
)

// sendRecord describes one send of a request, or one that was refused or
// canceled before it, in its log line.
type sendRecord struct {
	Replica         string `json:"replica"`
	PlacementReason string `json:"why"`
	InFlight        int    `json:"in_flight"`
	Backlog         int    `json:"backlog,omitempty"`
	CachedTokens    int    `json:"cached,omitempty"`
	Outcome         string `json:"outcome"`
	DurationMS      int64  `json:"ms"`
	ExpectedMS      int64  `json:"expected_ms,omitempty"` // until the first event, if the speeds of replicas are estimated
	StatedLimit     string `json:"limit,omitempty"`       // requests per second that the replica takes, as it stated
}

// Outcomes of a send, as logged.
const (
	sendServed       = "served"
	sendRefused      = "refused"       // the replica did not execute it
	sendWrongReplica = "other_replica" // the address now belongs to another replica
	sendNotSent      = "not_sent"      // no byte left this process
	sendOverloaded   = "overloaded"    // not sent, because the expected wait, logged as ms, was too long
	sendLimited      = "limited"       // not sent, because no replica takes one before the wait logged as ms
	sendPaused       = "paused"        // not sent, because the replicas pause for the time logged as ms
	sendEvacuated    = "evacuated"     // not sent, because the replica's failure domain was evacuated after it was chosen
	sendCanceled     = "canceled"      // the caller disconnected, or the deadline passed, before it was sent
	sendSilent       = "silent"
	sendBroken       = "broken"
	sendResumeFailed = "resume_failed"
)

// possiblyExecuted reports whether the replica may have executed the request.
func (s sendRecord) possiblyExecuted() bool {
	switch s.Outcome {
	case sendRefused, sendWrongReplica, sendNotSent, sendCanceled, sendOverloaded, sendLimited, sendPaused, sendEvacuated:
		return false
	default:
		return true
	}
}

// activeSend is one send in progress.
type activeSend struct {
	exchange       *exchange
	choice         placement.Choice
	started        time.Time
	ctx            context.Context
	cancel         context.CancelCauseFunc
	silenceTimer   clockwork.Timer // nil if the send has no silence timeout
	silenceTimeout time.Duration
	body           io.Closer
	firstEventAt   time.Time          // zero before the first event
	limit          replicalimit.Limit // stated in the response
	ended          bool
}

// answerTime returns for how long the replica has been sending events.
func (a *activeSend) answerTime() time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return a.exchange.gateway.clock.Since(a.firstEventAt)
}

// received records that the replica sent data, and restarts the silence timer.
func (a *activeSend) received() {
	a.exchange.gateway.placer.RecordActivity(a.choice, a.exchange.gateway.clock.Now())
	if a.silenceTimer != nil {
		a.silenceTimer.Reset(a.silenceTimeout)
	}
}

// recordExpectation compares the time to the first event with the expected one.
func (a *activeSend) recordExpectation(now time.Time) {
	if a.choice.Speed <= 0 || a.choice.ExpectedPrefill <= 0 {
		return
	}
	m, late := a.exchange.gateway.metrics, now.Sub(a.started)-a.choice.ExpectedWait-a.choice.ExpectedPrefill
	if late < 0 {
		m.firstEventEarly.Update(-late.Seconds())
	} else {
		m.firstEventLate.Update(late.Seconds())
	}
}

// end completes the send; later calls do nothing. It closes the body before it
// cancels the context, since cancelling closes a connection still in use.
func (a *activeSend) end(o placement.Outcome, outcome string) {
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
	if a.limit.Stated {
		a.exchange.sends[len(a.exchange.sends)-1].StatedLimit = strconv.FormatFloat(a.limit.PerSecond, 'g', -1, 64)
	}
}

// recordSend adds a send to the log line of the request.
func (e *exchange) recordSend(c placement.Choice, outcome string, took time.Duration) {
	var expected time.Duration
	if c.Speed > 0 {
		expected = c.ExpectedWait + c.ExpectedPrefill
	}
	e.sends = append(e.sends, sendRecord{ExpectedMS: expected.Milliseconds(), Replica: c.Replica.ID, PlacementReason: c.Reason, InFlight: c.InFlight, Backlog: c.BacklogTokens, CachedTokens: c.CachedTokens,
		Outcome: outcome, DurationMS: took.Milliseconds()})
}

var errSilenceTimeout = errors.New("replica sent nothing within the silence timeout")

// open sends the request to one replica and waits for the response header. A
// stream resumes after afterEventID, or starts if it is empty. Only a retryable
// request gets a silence timeout.
func (e *exchange) open(ctx context.Context, choice placement.Choice, afterEventID string, retryable bool) (*activeSend, *Response, *failure) {
	g := e.gateway
	a := &activeSend{exchange: e, choice: choice, started: g.clock.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	e.currentSend = a
	remaining := e.deadline.Sub(a.started)
	if remaining < g.settings.MinRemainingTime {
		a.end(placement.Canceled, sendCanceled)
		return nil, nil, &failure{refusal: &Refusal{Execution: NotExecuted, Reason: TimedOut}}
	}
	if retryable {
		a.silenceTimeout = min(g.settings.SilenceTimeout, remaining/2)
		a.silenceTimer = g.clock.AfterFunc(a.silenceTimeout, func() { a.checkSilence() })
	}
	res, err := g.sender.Send(a.ctx, SendRequest{Request: e.request, Replica: choice.Replica, Workspace: e.workspace,
		Priority: e.priority, Timeout: remaining, AfterEventID: afterEventID,
		Allowed: func() bool { return !g.Snapshot().EvacuatedDomains[choice.Replica.FailureDomain] }})
	if err != nil {
		return nil, nil, e.failSend(ctx, a, err)
	}
	a.body = res.Body
	if res.WrongReplica {
		g.sender.CloseIdleConnections(choice.Replica)
		a.end(placement.ConnectionBroken, sendWrongReplica)
		return nil, nil, &failure{refusal: &Refusal{Execution: NotExecuted, Reason: NoReplica, RetryAfter: noReplicaRetryAfter}}
	}
	g.onNotice(choice.Replica, res.Notice)
	a.limit = res.Limit
	if failed := res.NotExecuted || res.Status >= 500; res.Limit.Stated || !failed {
		g.onLimit(choice.Replica, res.Limit, a.started)
	}
	a.received()
	if res.NotExecuted {
		a.end(placement.ReplicaRefused, sendRefused)
		return nil, nil, &failure{refusal: &Refusal{Execution: NotExecuted, Reason: ReplicaFull, RetryAfter: e.replicaFullRetryAfter()}}
	}
	return a, res, nil
}

// checkSilence cancels the send, if the request may be sent to another replica
// instead. It waits up to another silence timeout while the replica sends data for
// other requests, and longer while no retry is left: silence alone is no reason to end
// an answer.
func (a *activeSend) checkSilence() {
	now := a.exchange.gateway.clock.Now()
	if silence := now.Sub(a.exchange.gateway.placer.LastActivity(a.choice)); silence < a.silenceTimeout/2 && now.Sub(a.started) < 2*a.silenceTimeout {
		a.silenceTimer.Reset(a.silenceTimeout / 2)
		return
	}
	if !a.exchange.reserveRetry(now) {
		a.silenceTimer.Reset(a.silenceTimeout / 2)
		return
	}
	a.cancel(errSilenceTimeout)
}

// send sends the request to one replica and waits for its response, or for the
// first event of a stream. possibleExecutions counts the earlier sends that may
// have been executed.
func (e *exchange) send(ctx context.Context, choice placement.Choice, exclude map[string]bool, possibleExecutions int) (*RelayedResponse, *failure) {
	a, res, failed := e.open(ctx, choice, "", e.mayRetry(possibleExecutions+1))
	if failed != nil {
		return nil, failed
	}
	if _, streaming := e.route.Kind.(route.Streaming); streaming && res.Status < 300 {
		return e.relayStream(ctx, a, res, exclude, possibleExecutions+1)
	}
	body, err := readBody(res.Body, res.ContentLength, e.gateway.settings.MaxBufferedBodyBytes, e.request.ReserveAnswer)
	if err != nil {
		var noRoom *NoRoomError
		if errors.As(err, &noRoom) { // which is no failure of the replica
			a.end(placement.Canceled, string(InternalError))
			return nil, &failure{refusal: &Refusal{Execution: Executed, Reason: InternalError}, possiblyExecuted: true}
		}
		return nil, e.failSend(ctx, a, &upstream.IncompleteResponseError{Err: err})
	}
	relay := &RelayedResponse{Status: res.Status, Header: res.Header, BufferedBody: body}
	if res.Status >= 500 {
		if !res.CloseDelimited {
			e.recordAnswer(res.Status)
		}
		a.end(placement.Failed, fmt.Sprint("status_", res.Status))
		return nil, &failure{response: relay, possiblyExecuted: true, refusal: &Refusal{Execution: Executed, Reason: ReplicaFailed}}
	}
	a.end(placement.Served, sendServed)
	if res.CloseDelimited {
		e.reportBroken(a, true)
	} else {
		e.recordAnswer(res.Status)
	}
	e.timeToFirstByte = e.gateway.clock.Since(e.started)
	return relay, nil
}

// failSend ends a send that got no complete response, and classifies the
// failure.
func (e *exchange) failSend(ctx context.Context, a *activeSend, err error) *failure {
	var disallowed *upstream.DisallowedError
	if errors.As(err, &disallowed) && ctx.Err() == nil {
		a.end(placement.Canceled, sendEvacuated)
		return &failure{refusal: &Refusal{Execution: NotExecuted, Reason: NoReplica, RetryAfter: noReplicaRetryAfter}}
	}
	e.gateway.sender.CloseIdleConnections(a.choice.Replica)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() != nil {
			a.end(placement.Canceled, sendCanceled)
			return &failure{refusal: e.contextRefusal(ctx, &Refusal{Execution: NotExecuted, Reason: TimedOut})}
		}
		outcome := placement.ConnectionBroken
		if e.gateway.overloaded() {
			outcome = placement.Canceled // the cause is this VM, not the replica
		}
		a.end(outcome, sendNotSent)
		return &failure{refusal: &Refusal{Execution: NotExecuted, Reason: NoReplica, RetryAfter: noReplicaRetryAfter}}
	}
	refusal := &Refusal{Execution: ExecutionUnknown, Reason: ReplicaFailed}
	switch {
	case ctx.Err() != nil:
		refusal = e.contextRefusal(ctx, &Refusal{Execution: ExecutionUnknown, Reason: TimedOut})
		if refusal.Reason == TimedOut {
			a.end(placement.ReplicaTimedOut, string(TimedOut))
		} else {
			a.end(placement.Canceled, string(refusal.Reason))
		}
	case errors.Is(context.Cause(a.ctx), errSilenceTimeout):
		a.end(placement.ReplicaTimedOut, sendSilent)
	default:
		a.end(placement.ConnectionBroken, sendBroken)
		e.reportBroken(a, false)
	}
	return &failure{refusal: refusal, possiblyExecuted: true}
}

// reportBroken reports a request whose connection broke, or ended with the answer.
func (e *exchange) reportBroken(a *activeSend, possiblyComplete bool) {
	e.gateway.onBrokenSend(crash.BrokenSend{Replica: a.choice.Replica, SharedParts: e.sharedPartIDs(), Fingerprint: e.fingerprint(), At: e.gateway.clock.Now(),
		AnswerTime: a.answerTime(), PossiblyComplete: possiblyComplete})
}

// ResponseTooLargeError reports a response that exceeds the buffer in which it
// is held until it is complete.
type ResponseTooLargeError struct{ Limit int }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response exceeds %d bytes", e.Limit)
}

// answerBufferBytes is the buffer that an answer of unknown length starts with.
const answerBufferBytes = 4 << 10

// readBody reads a body of length bytes, or of an unknown length if it is negative.
// Buffers are reserved before they are allocated.
func readBody(body io.Reader, length int64, limit int, reserve func(bytes int) error) ([]byte, error) {
	size := answerBufferBytes
	if length >= 0 {
		size = int(min(length, int64(limit))) + 1 // the end is read as well
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			if reserve != nil {
				if err := reserve(size); err != nil {
					return nil, &NoRoomError{Err: err}
				}
			}
			data = append(make([]byte, 0, size), data...)
			size = min(2*size, limit+1)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return nil, &ResponseTooLargeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, fmt.Errorf("gateway.readBody: %w", err)
		}
	}
}

// NoRoomError reports that a response can't be held until it is complete.
type NoRoomError struct{ Err error }

func (e *NoRoomError) Error() string { return "no room for a response: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoRoomError) Unwrap() error { return e.Err }
