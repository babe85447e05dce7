package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"briarreach/placement"
	"briarreach/upstream"
)

// eventStream passes on a replica's stream event by event. A part of an event
// is not passed on, so that another replica can go on after the last one.
type eventStream struct {
	exchange        *exchange
	ctx             context.Context // the caller's
	attempt         *attempt
	reader          *bufio.Reader
	pending         []byte // read from the replica and not yet by the caller
	lastEventID     string
	exclude         map[string]bool
	mayHaveRunSends int
	err             error
	eventAt         time.Time // when the last event came
	receivedEvent   bool      // whether the replica has sent an event
}

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// EventTooLargeError reports an event of a stream beyond the bound.
type EventTooLargeError struct{ Limit int }

func (e *EventTooLargeError) Error() string { return "event of a stream is too large" }

// relayStream waits for the first event, so that a stream that breaks before
// it can still be refused or sent again.
func (e *exchange) relayStream(ctx context.Context, a *attempt, res *Response, exclude map[string]bool, ran int) (*RelayedResponse, *failure) {
	s := &eventStream{exchange: e, ctx: ctx, exclude: exclude, mayHaveRunSends: ran}
	s.open(a, res)
	if err := s.next(); err != nil && !errors.Is(err, io.EOF) {
		return nil, e.sendFailed(ctx, a, &upstream.IncompleteResponseError{Err: err})
	}
	e.timeToFirstByte = e.gateway.clock.Since(e.started)
	return &RelayedResponse{Status: res.Status, Header: res.Header, Body: s, ContentLength: -1}, nil
}

func (s *eventStream) open(a *attempt, res *Response) {
	a.body = res.Body
	s.attempt, s.receivedEvent = a, false
	s.reader = bufio.NewReaderSize(res.Body, streamBufferBytes)
}

// next reads one event into pending.
func (s *eventStream) next() error {
	var event []byte
	id := ""
	for {
		line, err := s.reader.ReadBytes('\n')
		event = append(event, line...)
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
		if len(event) > maxEventBytes {
			return &EventTooLargeError{Limit: maxEventBytes}
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			break
		}
	}
	if id != "" {
		s.lastEventID = id
	}
	s.pending = event
	now := s.exchange.gateway.clock.Now()
	if !s.eventAt.IsZero() {
		s.exchange.gateway.metrics.eventPause.Update(now.Sub(s.eventAt).Seconds())
	}
	s.eventAt = now
	s.exchange.delivered++
	if !s.receivedEvent {
		s.receivedEvent = true
		s.exchange.gateway.placer.Began(s.attempt.choice)
	}
	s.attempt.received()
	return nil
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		if err := s.next(); err != nil {
			s.fail(err)
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// fail ends the stream, or goes on at another replica.
func (s *eventStream) fail(err error) {
	if errors.Is(err, io.EOF) {
		s.attempt.end(placement.Served, sendServed)
		s.exchange.end(outcomeServed, "")
		s.err = io.EOF
		return
	}
	if s.ctx.Err() != nil {
		reason := s.exchange.contextRefusal(s.ctx, nil).Reason
		outcome := placement.Canceled
		if reason == TimedOut {
			outcome = placement.Silent
		}
		s.attempt.end(outcome, string(reason))
		s.exchange.end(outcomeBroken, string(reason))
		s.err = s.ctx.Err()
		return
	}
	s.exchange.sendFailed(s.ctx, s.attempt, &upstream.IncompleteResponseError{Err: err})
	for s.exchange.mayRetry(s.mayHaveRunSends) && s.lastEventID != "" && s.ctx.Err() == nil {
		if resumed, again := s.resume(); resumed {
			return
		} else if !again {
			break
		}
	}
	s.exchange.end(outcomeBroken, string(ReplicaFailed))
	s.err = err
}

// resume sends the request to another replica, which goes on after the last
// event that was passed on. It reports whether it did, and whether to try
// again.
func (s *eventStream) resume() (resumed, again bool) {
	e := s.exchange
	now := e.gateway.clock.Now()
	choice, ok := e.gateway.placer.Choose(e.placementRequest(s.exclude), e.gateway.Snapshot().candidates(e.service), now, e.rand)
	if !ok {
		return false, false
	}
	if !e.gateway.retries.Spend(e.service, now) {
		e.gateway.placer.Done(choice, placement.Canceled, now)
		e.gateway.metrics.retryBudgetExhausted.Inc()
		return false, false
	}
	s.exclude[choice.Replica.ID] = true
	a, res, failed := e.open(s.ctx, choice, s.lastEventID, e.mayRetry(s.mayHaveRunSends+1))
	if failed != nil {
		if failed.mayHaveRun {
			s.mayHaveRunSends++
		}
		return false, true
	}
	if res.Status >= 300 {
		_ = res.Body.Close()
		a.end(placement.Failed, sendResumeFailed)
		s.mayHaveRunSends++
		return false, true
	}
	s.mayHaveRunSends++
	s.open(a, res)
	return true, false
}

// Close implements io.Closer. A stream that is closed before its end was left
// by the caller.
func (s *eventStream) Close() error {
	s.attempt.end(placement.Canceled, string(CallerDisconnected))
	s.exchange.end(outcomeBroken, string(CallerDisconnected))
	return nil
}
