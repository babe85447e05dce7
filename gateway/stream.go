package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"briarreach/placement"
	"briarreach/route"
	"briarreach/upstream"
)

// eventStream passes on a replica's stream event by event. A part of an event
// is not passed on, so that another replica can go on after the last one.
type eventStream struct {
	e       *exchange
	ctx     context.Context // the caller's
	body    io.ReadCloser
	reader  *bufio.Reader
	pending []byte // read from the replica and not yet by the caller
	lastID  string
	silence clockwork.Timer
	pause   time.Duration // longest accepted silence
	sendCtx context.Context
	done    func(placement.Outcome, string)
	choice  placement.Choice
	err     error
	ended   bool
}

const streamBuffer = 4 << 10

// relayStream waits for the first event, so that a stream that breaks before
// it can still be refused or sent again.
func (e *exchange) relayStream(ctx, sendCtx context.Context, res *Response, choice placement.Choice, silence clockwork.Timer,
	done func(placement.Outcome, string)) (*Relay, *failure) {
	s := &eventStream{e: e, ctx: ctx, sendCtx: sendCtx, choice: choice, done: done, silence: silence}
	s.open(res.Body)
	if err := s.next(); err != nil && !errors.Is(err, io.EOF) {
		_ = res.Body.Close()
		return nil, e.sendFailed(ctx, sendCtx, &upstream.BrokenError{Err: err}, choice, done)
	}
	e.first = e.g.clock.Since(e.started)
	return &Relay{Status: res.Status, Header: res.Header, Body: s, Length: -1}, nil
}

func (s *eventStream) open(body io.ReadCloser) {
	s.body = body
	s.reader = bufio.NewReaderSize(body, streamBuffer)
}

// next reads one event into pending.
func (s *eventStream) next() error {
	var event []byte
	id := ""
	for {
		line, err := s.reader.ReadBytes('\n')
		event = append(event, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0 {
				return io.EOF
			}
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
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
	s.e.delivered++
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
		s.finish(placement.Served, "served")
		s.e.end(outcomeServed, "")
		s.err = io.EOF
		return
	}
	_ = s.body.Close()
	if s.ctx.Err() == nil && route.Resumable(s.e.route.Kind) && s.resume() {
		return
	}
	outcome, reason := placement.Broken, "broken"
	if s.ctx.Err() != nil {
		outcome, reason = placement.Canceled, string(s.e.ended(s.ctx, nil).Reason)
	}
	s.finish(outcome, reason)
	s.e.end(outcomeBroken, reason)
	s.err = err
}

// resume sends the request to another replica, which goes on after the last
// event that was passed on.
func (s *eventStream) resume() bool {
	return false
}

// finish ends the send. The body is closed first: ending the send's context
// closes a connection that is still in use.
func (s *eventStream) finish(o placement.Outcome, outcome string) {
	if !s.ended {
		s.ended = true
		_ = s.body.Close()
		s.done(o, outcome)
	}
}

// Close implements io.Closer.
func (s *eventStream) Close() error {
	if !s.ended {
		s.finish(placement.Canceled, "caller_gone")
		s.e.end(outcomeBroken, string(CallerGone))
	}
	return nil
}
