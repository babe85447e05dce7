package peer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/peer"
	"briarreach/stream"
)

const (
	window    = 16 << 10
	frameSize = 1 << 10
)

// content returns the answer that the test agent gives to an attempt.
func content(attempt string, size int) []byte {
	var seed [32]byte
	copy(seed[:], attempt)
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(b)
	return b
}

// agent answers each Dispatch with MaxTokens bytes under credit, and Resume.
type agent struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	resumed  []int64      // offsets of Resume messages
	waiting  atomic.Int64 // answers that wait for credit, or whose stream failed
}

type attempt struct {
	mu      sync.Mutex
	sender  *stream.Sender
	rest    []byte
	owner   *peer.Stream
	changed chan struct{}
}

func newAgent() *agent { return &agent{attempts: map[string]*attempt{}} }

// take finds the attempt of a stream's first message and hands it to the stream.
func (a *agent) take(s *peer.Stream, m peer.Message) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	var x *attempt
	var offset, credit int64
	switch m := m.(type) {
	case peer.Dispatch:
		x = &attempt{sender: stream.NewSender(window), rest: content(m.AttemptID, int(m.MaxTokens)), changed: make(chan struct{}, 1)}
		a.attempts[m.AttemptID] = x
		credit = m.CreditBytes
	case peer.Resume:
		if x = a.attempts[m.AttemptID]; x == nil {
			return nil
		}
		offset, credit = m.Offset, m.CreditBytes
		a.resumed = append(a.resumed, offset)
	default:
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sender.Resume(offset, offset+credit) != nil {
		return nil
	}
	x.owner = s
	return x
}

func (a *agent) serve(_ context.Context, s *peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	x := a.take(s, first)
	if x == nil {
		s.Abort()
		return
	}
	done := make(chan struct{})
	defer func() { s.Abort(); <-done }()
	go func() {
		defer close(done)
		for {
			m, err := s.Receive()
			if err != nil {
				return
			}
			if c, ok := m.(peer.Credit); ok {
				x.mu.Lock()
				err = x.sender.Acknowledge(c.Offset, c.Limit)
				x.mu.Unlock()
				if err != nil {
					s.Abort()
					return
				}
				select {
				case x.changed <- struct{}{}:
				default:
				}
			}
		}
	}()
	for {
		m, ok := x.next(s)
		if !ok {
			return
		}
		if m == nil {
			a.waiting.Add(1)
			select {
			case <-x.changed:
			case <-done:
				return
			}
			a.waiting.Add(-1)
			continue
		}
		if s.Send(m) != nil {
			a.waiting.Add(1)
			return
		}
		if _, final := m.(peer.Final); final {
			_ = s.CloseSend()
			<-done // the entry closes when it has the answer
			return
		}
	}
}

// next returns the next message, nil if there is no credit, and false if the
// attempt has gone on to another stream.
func (x *attempt) next(s *peer.Stream) (peer.Message, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.owner != s {
		return nil, false
	}
	x.rest = x.rest[x.sender.Write(x.rest):]
	if len(x.rest) == 0 {
		x.sender.Finish()
	}
	if f, ok := x.sender.Next(frameSize); ok {
		return f, true
	}
	if x.sender.Done() {
		return peer.Final{Length: x.sender.Length(), Checksum: x.sender.Checksum(), Outcome: peer.OutcomeComplete}, true
	}
	return nil, true
}

// fetch is one request of the test entry.
type fetch struct {
	endpoint *peer.Endpoint
	address  netip.AddrPort
	attempt  string
	size     int
	window   int
	progress func(received int) // called after each frame
	failed   func(error)        // called when the stream fails
}

// run returns the complete answer. It resumes after a failure of the stream.
func (f fetch) run(ctx context.Context) ([]byte, error) {
	if f.window == 0 {
		f.window = window
	}
	r := stream.NewReceiver(f.window)
	var answer []byte
	var open peer.Message = peer.Dispatch{AttemptID: f.attempt, MaxTokens: int64(f.size), CreditBytes: r.CreditLimit()}
	for {
		err := f.exchange(ctx, open, r, &answer)
		if err == nil {
			return answer, nil
		}
		if f.failed != nil {
			f.failed(err)
		}
		var broken *peer.StreamError
		var silent *peer.ReceiveTimeoutError
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.As(err, &broken):
			f.endpoint.Drop(f.address, broken.Generation)
		case errors.As(err, &silent):
			f.endpoint.Drop(f.address, silent.Generation)
		default:
			return nil, err
		}
		open = peer.Resume{AttemptID: f.attempt, Offset: r.ResumeOffset(), CreditBytes: r.CreditLimit() - r.ResumeOffset()}
	}
}

func (f fetch) exchange(ctx context.Context, open peer.Message, r *stream.Receiver, answer *[]byte) error {
	s, err := f.endpoint.Open(ctx, f.address)
	if err != nil {
		return err
	}
	defer s.Abort()
	defer context.AfterFunc(ctx, s.Abort)()
	if err := s.Send(open); err != nil {
		return err
	}
	for {
		s.SetReceiveDeadline(time.Now().Add(10 * time.Second))
		m, err := s.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case peer.Frame:
			if err := r.Accept(m); err != nil {
				return err
			}
			for b := r.Read(1 << 20); len(b) > 0; b = r.Read(1 << 20) {
				*answer = append(*answer, b...)
				if c, ok := r.Consume(len(b)); ok {
					if err := s.Send(c); err != nil {
						return err
					}
				}
			}
			if f.progress != nil {
				f.progress(len(*answer))
			}
		case peer.Final:
			if err := r.Finish(m.Length, m.Checksum); err != nil {
				return err
			}
			return s.CloseSend()
		}
	}
}
