package entry

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"briarreach/caller"
	"briarreach/peer"
	"briarreach/stream"
	"briarreach/targetset"
	"briarreach/timeline"
)

const (
	maxResumes = 5
	// finalMessageTimeout bounds the wait for the usage of an answer whose
	// caller has disconnected.
	finalMessageTimeout = 5 * time.Second
)

// answer is the response body of one attempt, read by the caller's connection.
// It reads from the agent only when the caller reads, so that a slow caller
// slows down the target instead of filling the entry's memory.
type answer struct {
	e           *Entry
	x           *exchange
	try         try
	streamMu    sync.Mutex // for changes of stream, and its use by endEarly
	stream      *peer.Stream
	head        peer.Head
	receiver    *stream.Receiver
	final       *peer.Final
	tokens      int64 // generated so far, as reported by the agent
	firstByteAt time.Time
	err         error

	settleGuard      sync.Once
	stopWaitingToEnd func() bool // ends the watch for the shutdown
}

func newAnswer(e *Entry, x *exchange, t try, s *peer.Stream) *answer {
	a := &answer{e: e, x: x, try: t, stream: s, receiver: stream.NewReceiver(e.settings.Entry.StreamWindowBytes)}
	a.stopWaitingToEnd = context.AfterFunc(x.ctx, a.endEarly)
	return a
}

// endEarly cancels the attempt and ends the stream, so that a pending receive fails.
func (a *answer) endEarly() {
	a.streamMu.Lock()
	defer a.streamMu.Unlock()
	_ = a.stream.Send(peer.Cancel{AttemptID: a.try.attemptID})
	_ = a.stream.CloseSend()
	a.stream.Abort()
}

// awaitHead waits until the answer starts, or returns why it does not.
func (a *answer) awaitHead() error {
	for {
		m, err := a.receive()
		if err != nil {
			// A repeatable request is better sent to another target than kept
			// waiting for this one.
			limit := maxResumes
			if a.x.spec.repeatable {
				limit = 1
			}
			if a.resume(err, limit) != nil {
				return err
			}
			continue
		}
		switch m := m.(type) {
		case peer.Heartbeat:
			a.e.follower.Hint(m.ConfigNumber, a.try.target.AgentAddr)
		case peer.Refusal:
			return &RefusedError{Refusal: m}
		case peer.Head:
			a.e.events.Clock().Observe(m.Timestamp)
			a.head = m
			a.firstByteAt = a.e.clock.Now()
			a.x.dropBody()
			return nil
		case peer.Final:
			a.e.events.Clock().Observe(m.Timestamp)
			a.final = &m
			a.acknowledge()
			return &IncompleteError{Reason: m.Reason, Execution: m.Execution}
		default:
			return &UnexpectedMessageError{Message: m}
		}
	}
}

func (a *answer) receive() (peer.Message, error) {
	a.stream.SetReceiveDeadline(a.e.clock.Now().Add(silenceTimeout))
	return a.stream.Receive()
}

// Read returns the answer's bytes in order. It returns io.EOF only after the
// length and the checksum of the complete answer have been verified.
func (a *answer) Read(p []byte) (int, error) {
	for {
		if data := a.receiver.Read(len(p)); len(data) > 0 {
			n := copy(p, data)
			if credit, ok := a.receiver.Consume(n); ok {
				// An error also fails the next receive.
				_ = a.stream.Send(credit)
			}
			return n, nil
		}
		if a.err != nil {
			return 0, a.err
		}
		if a.final != nil {
			if a.err = a.verify(); a.err != nil {
				return a.writeErrorEvent(p)
			}
			a.settleOnce()
			return 0, io.EOF
		}
		if err := a.receiveNext(); err != nil {
			a.err = err
			return a.writeErrorEvent(p)
		}
	}
}

// writeErrorEvent writes an error event to p if the answer is an event stream.
// The connection is then closed; other answers are closed without a message.
func (a *answer) writeErrorEvent(p []byte) (int, error) {
	a.settleOnce()
	if !strings.HasPrefix(a.head.ContentType, "text/event-stream") {
		return 0, a.err
	}
	failure := caller.NewFailure(0, caller.IncompleteAnswer, peer.ExecutionRan, "%v", a.err)
	failure.RequestID = a.x.envelope.RequestID
	event := append([]byte("event: error\ndata: "), failure.JSON()...)
	event = append(event, "\n\n"...)
	if len(event) > len(p) {
		return 0, a.err
	}
	return copy(p, event), nil
}

// verify checks the outcome, the length and the checksum of the answer.
func (a *answer) verify() error {
	if a.final.Outcome != peer.OutcomeComplete {
		return &IncompleteError{Reason: a.final.Reason, Execution: a.final.Execution}
	}
	return a.receiver.Finish(a.final.Length, a.final.Checksum)
}

// receiveNext processes one message from the agent. If the stream is silent or
// broken, the answer is resumed on a new connection.
func (a *answer) receiveNext() error {
	m, err := a.receive()
	if err != nil {
		return a.resume(err, maxResumes)
	}
	switch m := m.(type) {
	case peer.Frame:
		a.tokens = max(a.tokens, m.GeneratedTokens)
		return a.receiver.Accept(m)
	case peer.Final:
		a.e.events.Clock().Observe(m.Timestamp)
		a.final = &m
		return nil
	case peer.Head:
		return nil // sent again after a resume
	case peer.Heartbeat:
		a.e.follower.Hint(m.ConfigNumber, a.try.target.AgentAddr)
		return nil
	case peer.Refusal:
		return &IncompleteError{Reason: m.Reason, Execution: peer.ExecutionRan}
	default:
		return &UnexpectedMessageError{Message: m}
	}
}

// resume continues the answer on a new connection. It opens up to limit
// connections, with increasing waits between them.
func (a *answer) resume(cause error, limit int) error {
	for n := range limit {
		if err := a.x.ctx.Err(); err != nil {
			return &IncompleteError{Reason: context.Cause(a.x.ctx).Error(), Execution: peer.ExecutionUnknown}
		}
		a.e.metrics.GetOrCreateCounter("briarreach_entry_resumes_total").Inc()
		a.e.events.Record(timeline.Event{Kind: "stream_resumed", RequestID: a.x.envelope.RequestID,
			Workspace: a.x.key.Workspace, Target: a.try.target.Name, Detail: cause.Error()})
		if err := a.reopen(); err == nil {
			return nil
		}
		// The agent cancels a model request that is not resumed within 10 s
		// (its resumeTimeout). Five connects of up to 1 s and these waits, 1.5 s
		// in all, take less.
		a.e.clock.Sleep(time.Duration(n+1) * 100 * time.Millisecond)
	}
	return &IncompleteError{Reason: "agent lost: " + cause.Error(), Execution: peer.ExecutionRan}
}

func (a *answer) reopen() error {
	a.e.endpoint.Drop(a.try.target.AgentAddr, a.stream.Generation())
	a.stream.Abort()
	ctx, cancel := context.WithTimeout(a.x.ctx, openTimeout)
	defer cancel()
	s, err := a.e.endpoint.Open(ctx, a.try.target.AgentAddr)
	if err != nil {
		return err
	}
	offset := a.receiver.ResumeOffset()
	if err := s.Send(peer.Resume{AttemptID: a.try.attemptID, Offset: offset, CreditBytes: a.receiver.CreditLimit() - offset}); err != nil {
		s.Abort()
		return err
	}
	a.streamMu.Lock()
	a.stream = s
	a.streamMu.Unlock()
	if err := a.x.ctx.Err(); err != nil {
		a.endEarly()
		return err
	}
	return nil
}

// Close ends the answer. If the caller disconnected before the end, a model
// request is cancelled and billed for what it has generated; a service call runs
// on.
func (a *answer) Close() error {
	defer a.stopWaitingToEnd()
	if a.final == nil && a.err == nil {
		_ = a.stream.Send(peer.Cancel{AttemptID: a.try.attemptID})
		a.awaitFinal()
	}
	a.settleOnce()
	_ = a.stream.CloseSend()
	a.stream.Abort() // messages sent before CloseSend are still delivered
	return nil
}

// awaitFinal reads and discards frames until the agent reports the usage of the
// attempt, for at most finalMessageTimeout.
func (a *answer) awaitFinal() {
	deadline := a.e.clock.Now().Add(finalMessageTimeout)
	for a.final == nil && a.e.clock.Now().Before(deadline) {
		m, err := a.receive()
		if err != nil {
			a.err = err
			return
		}
		switch m := m.(type) {
		case peer.Frame:
			a.tokens = max(a.tokens, m.GeneratedTokens)
			_ = a.stream.Send(peer.Credit{Offset: m.Offset + int64(len(m.Data)), Limit: m.Offset + int64(len(m.Data)) + int64(a.e.settings.Entry.StreamWindowBytes)})
		case peer.Final:
			a.final = &m
		}
	}
	if a.err == nil {
		a.err = &IncompleteError{Reason: "caller_gone", Execution: peer.ExecutionRan}
	}
}

func (a *answer) settleOnce() { a.settleGuard.Do(a.settle) }

// settle bills the request and reports its outcome to the target pool. Without a
// final message it bills a model request for the reserved prompt and the tokens
// that the agent last reported, and a service call for its price.
func (a *answer) settle() {
	now := a.e.clock.Now()
	x := a.x
	usage := peer.Usage{PromptTokens: x.spec.maxPromptTokens, CompletionTokens: a.tokens}
	usage.Cost = min(x.spec.maxCost, usage.PromptTokens*x.spec.promptPrice+usage.CompletionTokens*x.spec.completionPrice)
	outcome, result := peer.OutcomeFailed, targetset.Failed
	if _, isCall := x.request.(*caller.ServiceRequest); isCall {
		usage = peer.Usage{Cost: x.spec.maxCost}
	}
	if a.final != nil {
		usage, outcome = a.final.Usage, a.final.Outcome
		a.e.pool.UpdateLoad(a.final.Load, now)
	}
	switch {
	case outcome == peer.OutcomeComplete && a.head.Status < 500:
		result = targetset.Succeeded
	case outcome == peer.OutcomeCancelled:
		result = targetset.Neutral
	}
	a.e.pool.End(a.try.target.Name, a.try.reservedTokens, result, a.firstByteAt.Sub(a.try.startedAt), now)
	if result != targetset.Neutral {
		a.e.observeTry(x, a.try, a.firstByteAt.Sub(a.try.startedAt), result == targetset.Failed, now)
	}
	a.e.bill(x, a.try, usage, outcome)
	a.acknowledge()
	a.e.observeAnswer(x, a, outcome, now)
}

// acknowledge tells the agent that the complete answer has been consumed.
func (a *answer) acknowledge() {
	if a.final != nil {
		_ = a.stream.Send(peer.Credit{Offset: a.final.Length, Limit: a.final.Length})
	}
}

// isSilent reports whether err means that no message came before the deadline.
func isSilent(err error) bool {
	var silent *peer.ReceiveTimeoutError
	return errors.As(err, &silent)
}
