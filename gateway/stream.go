package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"briarreach/placement"
	"briarreach/upstream"
)

// eventStream relays a replica's event stream. It relays only complete events,
// so that another replica can resume after the last one with an ID.
type eventStream struct {
	exchange           *exchange
	ctx                context.Context // of the caller's request
	currentSend        *activeSend
	reader             *bufio.Reader
	unread             []byte // received from the replica, not yet read by the caller
	order              eventOrder
	status             int // of the first replica's response, as the content type
	contentType        string
	lastEventID        string // of the last received event that has one
	exclude            map[string]bool
	possibleExecutions int // sends that may have been executed, the current one included
	err                error
	lastEventAt        time.Time
	receivedEvent      bool // whether the current replica has sent an event
	closeDelimited     bool // whether the end of the connection ends the current replica's stream
	provedSound        bool // whether the stream has lasted long enough to show that its prompt does not crash replicas
}

const streamBufferBytes = 4 << 10

// EventTooLargeError reports an event of more than Limit bytes.
type EventTooLargeError struct{ Limit int }

func (e *EventTooLargeError) Error() string { return "event of a stream is too large" }

// PanicError reports a panic while a stream was relayed.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("unexpected error: %v", e.Value) }

// relayStream waits for the first event: a stream that breaks before it can
// still be refused or retried.
func (e *exchange) relayStream(ctx context.Context, a *activeSend, res *Response, exclude map[string]bool, possibleExecutions int) (*RelayedResponse, *failure) {
	s := &eventStream{exchange: e, ctx: ctx, exclude: exclude, possibleExecutions: possibleExecutions,
		order: eventOrder{lastID: e.request.LastEventID}, status: res.Status, contentType: res.contentType()}
	s.open(a, res)
	if err := s.next(); err != nil && !errors.Is(err, io.EOF) {
		return nil, e.failSend(ctx, a, &upstream.IncompleteResponseError{Err: err})
	}
	e.timeToFirstByte = e.gateway.clock.Since(e.started)
	return &RelayedResponse{Status: res.Status, Header: res.Header, Body: s, ContentLength: -1}, nil
}

func (s *eventStream) open(a *activeSend, res *Response) {
	a.body = res.Body
	s.currentSend, s.receivedEvent, s.closeDelimited = a, false, res.CloseDelimited
	s.reader = bufio.NewReaderSize(res.Body, streamBufferBytes)
}

// next reads one event into unread.
func (s *eventStream) next() error {
	var event []byte
	id, lineStart, limit := "", 0, s.exchange.gateway.settings.MaxEventBytes
	for {
		fragment, err := s.reader.ReadSlice('\n')
		event = append(event, fragment...)
		if len(event) > limit {
			return &EventTooLargeError{Limit: limit}
		}
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) && s.closeDelimited && !s.receivedEvent:
			// A replica that crashes before its first event closes the connection too.
			return io.ErrUnexpectedEOF
		default:
			return err
		}
		line := event[lineStart:]
		lineStart = len(event)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			break
		}
	}
	if err := s.order.check(event); err != nil {
		return err
	}
	if id != "" {
		s.lastEventID = id
	}
	s.unread = event
	now := s.exchange.gateway.clock.Now()
	if !s.lastEventAt.IsZero() {
		s.exchange.gateway.metrics.eventPause.Update(now.Sub(s.lastEventAt).Seconds())
	}
	s.lastEventAt = now
	s.exchange.eventsReceived++
	if !s.receivedEvent {
		s.receivedEvent, s.currentSend.firstEventAt = true, now
		s.exchange.gateway.placer.RecordFirstEvent(s.currentSend.choice, now)
		s.currentSend.recordExpectation(now)
	}
	s.currentSend.received()
	if !s.provedSound && s.exchange.gateway.quarantine.ProvesSound(s.currentSend.answerTime()) {
		s.provedSound = true
		s.exchange.recordAnswer(http.StatusOK)
	}
	return nil
}

// Read implements io.Reader. A panic ends the stream as broken, as nobody above
// handles one while the response is written.
func (s *eventStream) Read(p []byte) (n int, err error) {
	defer func() {
		if v := recover(); v != nil {
			s.exchange.gateway.log.WithFields(log.Fields{"request": s.exchange.request.ID, "panic": fmt.Sprint(v), "stack": string(debug.Stack())}).
				Error("request failed unexpectedly")
			s.currentSend.end(placement.Canceled, string(InternalError))
			s.exchange.end(outcomeBroken, string(InternalError))
			s.err = &PanicError{Value: v}
			n, err = 0, s.err
		}
	}()
	for len(s.unread) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		if err := s.next(); err != nil {
			s.fail(err)
		}
	}
	n = copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// fail ends the stream, or resumes it at another replica if a retry is allowed.
func (s *eventStream) fail(err error) {
	if errors.Is(err, io.EOF) {
		s.currentSend.end(placement.Served, sendServed)
		if s.closeDelimited {
			s.exchange.reportBroken(s.currentSend, true)
		} else {
			s.exchange.recordAnswer(http.StatusOK)
		}
		s.exchange.end(outcomeServed, "")
		s.err = io.EOF
		return
	}
	if s.ctx.Err() != nil {
		reason := s.exchange.contextRefusal(s.ctx, nil).Reason
		outcome := placement.Canceled
		if reason == TimedOut {
			outcome = placement.ReplicaTimedOut
		}
		s.currentSend.end(outcome, string(reason))
		s.exchange.end(outcomeBroken, string(reason))
		s.err = s.ctx.Err()
		return
	}
	s.exchange.failSend(s.ctx, s.currentSend, &upstream.IncompleteResponseError{Err: err})
	for s.exchange.mayRetry(s.possibleExecutions) && s.lastEventID != "" && s.ctx.Err() == nil {
		if resumed, retry := s.resume(); resumed {
			return
		} else if !retry {
			break
		}
	}
	s.exchange.end(outcomeBroken, string(ReplicaFailed))
	s.err = err
}

// resume sends the request to another replica, to continue after the last
// received event that has an ID. If it did not succeed, retry says whether to try
// another one.
func (s *eventStream) resume() (resumed, retry bool) {
	e := s.exchange
	if e.quarantined() != nil {
		return false, false
	}
	now := e.gateway.clock.Now()
	choice, ok := e.gateway.placer.Choose(e.placementRequest(s.exclude), e.gateway.Snapshot().candidates(e.service), now, e.rand)
	if !ok || choice.Refused {
		return false, false
	}
	if !e.allowRetry(now) {
		e.gateway.placer.Done(choice, placement.Canceled, now)
		e.gateway.metrics.retryBudgetExhausted.Inc()
		return false, false
	}
	s.exclude[choice.Replica.ID] = true
	a, res, failed := e.open(s.ctx, choice, s.lastEventID, e.mayRetry(s.possibleExecutions+1))
	if failed != nil {
		if failed.possiblyExecuted {
			s.possibleExecutions++
		}
		return false, true
	}
	if res.Status != s.status || res.contentType() != s.contentType {
		_ = res.Body.Close()
		a.end(placement.Failed, sendResumeFailed)
		s.possibleExecutions++
		return false, true
	}
	s.possibleExecutions++
	s.open(a, res)
	return true, false
}

// Close implements io.Closer. Closing a stream before its end means that the
// caller disconnected.
func (s *eventStream) Close() error {
	s.currentSend.end(placement.Canceled, string(CallerDisconnected))
	s.exchange.end(outcomeBroken, string(CallerDisconnected))
	return nil
}
