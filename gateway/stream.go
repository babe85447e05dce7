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
	e       *exchange
	ctx     context.Context // the caller's
	attempt *attempt
	reader  *bufio.Reader
	pending []byte // read from the replica and not yet by the caller
	lastID  string
	exclude map[string]bool
	ran     int
	err     error
	eventAt time.Time // when the last event came
	began   bool      // whether the replica has sent an event
}

const (
	streamBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// EventTooLargeError reports an event of a stream beyond the bound.
type EventTooLargeError struct{ Limit int }

func (e *EventTooLargeError) Error() string { return "event of a stream is too large" }

// relayStream waits for the first event, so that a stream that breaks before
// it can still be refused or sent again.
func (e *exchange) relayStream(ctx context.Context, a *attempt, res *Response, exclude map[string]bool, ran int) (*Relay, *failure) {
	s := &eventStream{e: e, ctx: ctx, exclude: exclude, ran: ran}
	s.open(a, res)
	if err := s.next(); err != nil && !errors.Is(err, io.EOF) {
		return nil, e.sendFailed(ctx, a, &upstream.BrokenError{Err: err})
	}
	e.first = e.g.clock.Since(e.started)
	return &Relay{Status: res.Status, Header: res.Header, Body: s, Length: -1}, nil
}

func (s *eventStream) open(a *attempt, res *Response) {
	a.body = res.Body
	s.attempt, s.began = a, false
	s.reader = bufio.NewReaderSize(res.Body, streamBuffer)
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
		if len(event) > maxEvent {
			return &EventTooLargeError{Limit: maxEvent}
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			break
		}
	}
	if id != "" {
		s.lastID = id
	}
	s.pending = event
	now := s.e.g.clock.Now()
	if !s.eventAt.IsZero() {
		s.e.g.metrics.pause.Update(now.Sub(s.eventAt).Seconds())
	}
	s.eventAt = now
	s.e.delivered++
	if !s.began {
		s.began = true
		s.e.g.placer.Began(s.attempt.choice)
	}
	s.attempt.heard()
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
		s.e.end(outcomeServed, "")
		s.err = io.EOF
		return
	}
	if s.ctx.Err() != nil {
		reason := s.e.ended(s.ctx, nil).Reason
		outcome := placement.Canceled
		if reason == TimedOut {
			outcome = placement.Silent
		}
		s.attempt.end(outcome, string(reason))
		s.e.end(outcomeBroken, string(reason))
		s.err = s.ctx.Err()
		return
	}
	s.e.sendFailed(s.ctx, s.attempt, &upstream.BrokenError{Err: err})
	for s.e.mayRepeat(s.ran) && s.lastID != "" && s.ctx.Err() == nil {
		if resumed, again := s.resume(); resumed {
			return
		} else if !again {
			break
		}
	}
	s.e.end(outcomeBroken, string(ReplicaFailed))
	s.err = err
}

// resume sends the request to another replica, which goes on after the last
// event that was passed on. It reports whether it did, and whether to try
// again.
func (s *eventStream) resume() (resumed, again bool) {
	e := s.e
	now := e.g.clock.Now()
	choice, ok := e.g.placer.Choose(e.need(s.exclude), e.g.Belief().candidates(e.service), now, e.rand)
	if !ok {
		return false, false
	}
	if !e.g.retries.Spend(e.service, now) {
		e.g.placer.Done(choice, placement.Canceled, now)
		e.g.metrics.retryRefused.Inc()
		return false, false
	}
	s.exclude[choice.Replica.ID] = true
	a, res, failed := e.open(s.ctx, choice, s.lastID, e.mayRepeat(s.ran+1))
	if failed != nil {
		if failed.ran {
			s.ran++
		}
		return false, true
	}
	if res.Status >= 300 {
		_ = res.Body.Close()
		a.end(placement.Failed, sendResumeFailed)
		s.ran++
		return false, true
	}
	s.ran++
	s.open(a, res)
	return true, false
}

// Close implements io.Closer. A stream that is closed before its end was left
// by the caller.
func (s *eventStream) Close() error {
	s.attempt.end(placement.Canceled, string(CallerGone))
	s.e.end(outcomeBroken, string(CallerGone))
	return nil
}
