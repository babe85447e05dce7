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
	windowBytes = 16 << 10
	frameBytes  = 1 << 10
)

// answerContent returns the test agent's answer to an attempt.
func answerContent(attempt string, size int) []byte {
	var seed [32]byte
	copy(seed[:], attempt)
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(b)
	return b
}

// testAgent answers each Dispatch with MaxTokens bytes, sent as credit allows,
// and continues the answer on Resume.
type testAgent struct {
	mu             sync.Mutex
	attempts       map[string]*testAttempt
	resumeOffsets  []int64      // offsets of Resume messages
	blockedAnswers atomic.Int64 // answers without credit or whose stream failed
}

type testAttempt struct {
	mu            sync.Mutex
	sender        *stream.Sender
	unsent        []byte
	stream        *peer.Stream
	creditChanged chan struct{}
}

func newAgent() *testAgent { return &testAgent{attempts: map[string]*testAttempt{}} }

// startOrResume returns the attempt of a stream's first message, now sent on
// this stream, or nil.
func (a *testAgent) startOrResume(s *peer.Stream, m peer.Message) *testAttempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	var at *testAttempt
	var offset, credit int64
	switch m := m.(type) {
	case peer.Dispatch:
		at = &testAttempt{sender: stream.NewSender(windowBytes), unsent: answerContent(m.AttemptID, int(m.MaxTokens)), creditChanged: make(chan struct{}, 1)}
		a.attempts[m.AttemptID] = at
		credit = m.CreditBytes
	case peer.Resume:
		if at = a.attempts[m.AttemptID]; at == nil {
			return nil
		}
		offset, credit = m.Offset, m.CreditBytes
		a.resumeOffsets = append(a.resumeOffsets, offset)
	default:
		return nil
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.sender.Resume(offset, offset+credit) != nil {
		return nil
	}
	at.stream = s
	return at
}

func (a *testAgent) serve(_ context.Context, s *peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	at := a.startOrResume(s, first)
	if at == nil {
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
				at.mu.Lock()
				err = at.sender.Acknowledge(c.Offset, c.Limit)
				at.mu.Unlock()
				if err != nil {
					s.Abort()
					return
				}
				select {
				case at.creditChanged <- struct{}{}:
				default:
				}
			}
		}
	}()
	for {
		m, ok := at.next(s)
		if !ok {
			return
		}
		if m == nil {
			a.blockedAnswers.Add(1)
			select {
			case <-at.creditChanged:
			case <-done:
				return
			}
			a.blockedAnswers.Add(-1)
			continue
		}
		if s.Send(m) != nil {
			a.blockedAnswers.Add(1)
			return
		}
		if _, final := m.(peer.Final); final {
			_ = s.CloseSend()
			<-done // the entry closes the stream when it has the answer
			return
		}
	}
}

// next returns the next message, nil if there is no credit, and false if the
// attempt continues on another stream.
func (at *testAttempt) next(s *peer.Stream) (peer.Message, bool) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.stream != s {
		return nil, false
	}
	at.unsent = at.unsent[at.sender.Write(at.unsent):]
	if len(at.unsent) == 0 {
		at.sender.Finish()
	}
	if f, ok := at.sender.Next(frameBytes); ok {
		return f, true
	}
	if at.sender.Done() {
		return peer.Final{Length: at.sender.Length(), Checksum: at.sender.Checksum(), Outcome: peer.OutcomeComplete}, true
	}
	return nil, true
}

// testRequest is one request sent by a test entry.
type testRequest struct {
	endpoint    *peer.Endpoint
	address     netip.AddrPort
	attemptID   string
	answerBytes int
	windowBytes int
	onProgress  func(received int) // called after each frame
	onFailure   func(error)        // called when the stream fails
}

// run returns the complete answer. It resumes after a failure of the stream.
func (f testRequest) run(ctx context.Context) ([]byte, error) {
	if f.windowBytes == 0 {
		f.windowBytes = windowBytes
	}
	r := stream.NewReceiver(f.windowBytes)
	var answer []byte
	var first peer.Message = peer.Dispatch{AttemptID: f.attemptID, MaxTokens: int64(f.answerBytes), CreditBytes: r.CreditLimit()}
	for {
		err := f.exchange(ctx, first, r, &answer)
		if err == nil {
			return answer, nil
		}
		if f.onFailure != nil {
			f.onFailure(err)
		}
		var streamErr *peer.StreamError
		var timeoutErr *peer.ReceiveTimeoutError
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.As(err, &streamErr):
			f.endpoint.Drop(f.address, streamErr.Generation)
		case errors.As(err, &timeoutErr):
			f.endpoint.Drop(f.address, timeoutErr.Generation)
		default:
			return nil, err
		}
		first = peer.Resume{AttemptID: f.attemptID, Offset: r.ResumeOffset(), CreditBytes: r.CreditLimit() - r.ResumeOffset()}
	}
}

func (f testRequest) exchange(ctx context.Context, first peer.Message, r *stream.Receiver, answer *[]byte) error {
	s, err := f.endpoint.Open(ctx, f.address)
	if err != nil {
		return err
	}
	defer s.Abort()
	defer context.AfterFunc(ctx, s.Abort)()
	if err := s.Send(first); err != nil {
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
			if f.onProgress != nil {
				f.onProgress(len(*answer))
			}
		case peer.Final:
			if err := r.Finish(m.Length, m.Checksum); err != nil {
				return err
			}
			return s.CloseSend()
		}
	}
}
