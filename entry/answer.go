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
	// finalTimeout is how long the entry waits for the usage of an answer that
	// its caller has left.
	finalTimeout = 5 * time.Second
)

// answer is the answer of one attempt, read by the caller's connection. It
// reads from the agent only when the caller takes bytes, so that a slow caller
// slows the target and not the entry's memory.
type answer struct {
	e        *Entry
	x        *exchange
	t        try
	s        *peer.Stream
	head     peer.Head
	receiver *stream.Receiver
	final    *peer.Final
	tokens   int64 // generated so far, as the agent says
	first    time.Time
	err      error

	settle sync.Once
}

func newAnswer(e *Entry, x *exchange, t try, s *peer.Stream) *answer {
	return &answer{e: e, x: x, t: t, s: s, receiver: stream.NewReceiver(e.settings.Entry.StreamWindowBytes)}
}

// start waits for the head of the answer.
func (a *answer) start() error {
	for {
		m, err := a.receive()
		if err != nil {
			// A repeatable request goes to another target rather than wait.
			tries := maxResumes
			if a.x.cost.repeatable {
				tries = 1
			}
			if a.resume(err, tries) != nil {
				return err
			}
			continue
		}
		switch m := m.(type) {
		case peer.Heartbeat:
			a.e.follower.Hint(m.ConfigNumber, a.t.target.AgentAddr)
		case peer.Refusal:
			return &RefusedError{Refusal: m}
		case peer.Head:
			a.e.events.Clock().Observe(m.Clock)
			a.head = m
			a.first = a.e.clock.Now()
			a.x.dropBody()
			return nil
		case peer.Final:
			a.e.events.Clock().Observe(m.Clock)
			a.final = &m
			a.acknowledge()
			return &IncompleteError{Reason: m.Reason, Execution: m.Execution}
		default:
			return &UnexpectedMessageError{Message: m}
		}
	}
}

func (a *answer) receive() (peer.Message, error) {
	a.s.SetReceiveDeadline(a.e.clock.Now().Add(silenceTimeout))
	return a.s.Receive()
}

// Read returns the contiguous bytes of the answer. It returns io.EOF only
// after the length and the checksum of the whole answer were found right.
func (a *answer) Read(p []byte) (int, error) {
	for {
		if data := a.receiver.Read(len(p)); len(data) > 0 {
			n := copy(p, data)
			if credit, ok := a.receiver.Consume(n); ok {
				// A failing send shows at the next receive.
				_ = a.s.Send(credit)
			}
			return n, nil
		}
		if a.err != nil {
			return 0, a.err
		}
		if a.final != nil {
			if a.err = a.whole(); a.err != nil {
				return a.tell(p)
			}
			a.settleOnce()
			return 0, io.EOF
		}
		if err := a.next(); err != nil {
			a.err = err
			return a.tell(p)
		}
	}
}

// tell hands the caller of an event stream an error event before the
// connection is cut. Other answers are only cut.
func (a *answer) tell(p []byte) (int, error) {
	a.settleOnce()
	if !strings.HasPrefix(a.head.ContentType, "text/event-stream") {
		return 0, a.err
	}
	fault := caller.NewFailure(0, caller.IncompleteAnswer, peer.Ran, "%v", a.err)
	fault.RequestID = a.x.envelope.RequestID
	event := append([]byte("event: error\ndata: "), fault.JSON()...)
	event = append(event, "\n\n"...)
	if len(event) > len(p) {
		return 0, a.err
	}
	return copy(p, event), nil
}

func (a *answer) whole() error {
	if a.final.Outcome != peer.Complete {
		return &IncompleteError{Reason: a.final.Reason, Execution: a.final.Execution}
	}
	return a.receiver.Finish(a.final.Length, a.final.Checksum)
}

// next takes one message. A stream that is silent or broken is resumed on a
// new connection.
func (a *answer) next() error {
	m, err := a.receive()
	if err != nil {
		return a.resume(err, maxResumes)
	}
	switch m := m.(type) {
	case peer.Frame:
		a.tokens = max(a.tokens, m.Tokens)
		return a.receiver.Accept(m)
	case peer.Final:
		a.e.events.Clock().Observe(m.Clock)
		a.final = &m
		return nil
	case peer.Head:
		return nil // sent again after a resume
	case peer.Heartbeat:
		a.e.follower.Hint(m.ConfigNumber, a.t.target.AgentAddr)
		return nil
	case peer.Refusal:
		return &IncompleteError{Reason: m.Reason, Execution: peer.Ran}
	default:
		return &UnexpectedMessageError{Message: m}
	}
}

// resume continues the answer on a new connection.
func (a *answer) resume(cause error, tries int) error {
	for n := range tries {
		a.e.metrics.GetOrCreateCounter("briarreach_entry_resumes_total").Inc()
		a.e.events.Record(timeline.Event{Kind: "stream_resumed", RequestID: a.x.envelope.RequestID,
			Workspace: a.x.key.Workspace, Target: a.t.target.Name, Detail: cause.Error()})
		if err := a.reopen(); err == nil {
			return nil
		}
		// The agent keeps the attempt for 10 s without a reader.
		a.e.clock.Sleep(time.Duration(n+1) * 100 * time.Millisecond)
	}
	return &IncompleteError{Reason: "agent lost: " + cause.Error(), Execution: peer.Ran}
}

func (a *answer) reopen() error {
	a.e.endpoint.Drop(a.t.target.AgentAddr, a.s.Generation())
	a.s.Abort()
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	s, err := a.e.endpoint.Open(ctx, a.t.target.AgentAddr)
	if err != nil {
		return err
	}
	offset := a.receiver.ResumeOffset()
	if err := s.Send(peer.Resume{Attempt: a.t.attempt, Offset: offset, Credit: a.receiver.CreditLimit() - offset}); err != nil {
		s.Abort()
		return err
	}
	a.s = s
	return nil
}

// Close ends the answer. If the caller left before the end, the attempt is
// cancelled and billed at what it generated.
func (a *answer) Close() error {
	if a.final == nil && a.err == nil {
		_ = a.s.Send(peer.Cancel{Attempt: a.t.attempt})
		a.awaitFinal()
	}
	a.settleOnce()
	_ = a.s.CloseSend()
	a.s.Abort() // what was sent before CloseSend is still delivered
	return nil
}

// awaitFinal reads on, without keeping the bytes, until the agent says what
// the cancelled attempt used.
func (a *answer) awaitFinal() {
	end := a.e.clock.Now().Add(finalTimeout)
	for a.final == nil && a.e.clock.Now().Before(end) {
		m, err := a.receive()
		if err != nil {
			a.err = err
			return
		}
		switch m := m.(type) {
		case peer.Frame:
			a.tokens = max(a.tokens, m.Tokens)
			_ = a.s.Send(peer.Credit{Offset: m.Offset + int64(len(m.Data)), Limit: m.Offset + int64(len(m.Data)) + int64(a.e.settings.Entry.StreamWindowBytes)})
		case peer.Final:
			a.final = &m
		}
	}
	if a.err == nil {
		a.err = &IncompleteError{Reason: "caller_gone", Execution: peer.Ran}
	}
}

func (a *answer) settleOnce() { a.settle.Do(a.settleNow) }

// settleNow bills the request and tells the pool how it went. When the agent
// was lost, the bill is what it said had been generated.
func (a *answer) settleNow() {
	now := a.e.clock.Now()
	x := a.x
	usage := peer.Usage{PromptTokens: x.cost.promptTokens, CompletionTokens: a.tokens}
	usage.Cost = min(x.cost.reserved, usage.PromptTokens*x.cost.promptPrice+usage.CompletionTokens*x.cost.completionPrice)
	outcome, result := peer.Failed, targetset.Failed
	if _, call := x.request.(*caller.ServiceRequest); call {
		usage = peer.Usage{Cost: x.cost.reserved}
	}
	if a.final != nil {
		usage, outcome = a.final.Usage, a.final.Outcome
		a.e.pool.UpdateLoad(a.final.Load, now)
	}
	switch {
	case outcome == peer.Complete && a.head.Status < 500:
		result = targetset.Succeeded
	case outcome == peer.Cancelled:
		result = targetset.Neutral
	}
	a.e.pool.End(a.t.target.Name, a.t.tokens, result, a.first.Sub(a.t.started), now)
	if result != targetset.Neutral {
		a.e.observeTry(x, a.t, a.first.Sub(a.t.started), result == targetset.Failed, now)
	}
	a.e.bill(x, a.t, usage, outcome)
	a.acknowledge()
	a.e.observeAnswer(x, a, outcome, now)
}

// acknowledge tells the agent that the whole answer was consumed.
func (a *answer) acknowledge() {
	if a.final != nil {
		_ = a.s.Send(peer.Credit{Offset: a.final.Length, Limit: a.final.Length})
	}
}

// isSilent reports whether err says that a stream was silent.
func isSilent(err error) bool {
	var silent *peer.SilentError
	return errors.As(err, &silent)
}
