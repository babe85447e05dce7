package agent

import (
	"context"
	"sync"
	"time"

	"briarreach/bytebudget"
	"briarreach/peer"
	"briarreach/stream"
)

// bufferRetryInterval is the interval at which a writer retries when the limit on
// buffered bytes of the process is reached.
const bufferRetryInterval = 10 * time.Millisecond

// attempt is one run of a request at the target.
type attempt struct {
	dispatch   peer.Dispatch       // its Method is set for service calls only
	body       *bytebudget.Account // what the dispatch's body takes until it is dropped
	acceptedAt time.Time
	admitted   chan struct{} // closed on admission
	finished   chan struct{} // closed when the final message is set
	ctx        context.Context
	cancel     context.CancelFunc

	spaceFreed chan struct{} // signals the writer that the send buffer has room

	// targetAnswered is set, by the goroutine that runs the attempt, when the whole
	// answer has arrived from the target.
	targetAnswered bool

	mu              sync.Mutex
	sender          *stream.Sender
	head            *peer.Head
	final           *peer.Final
	stream          *peer.Stream // the stream that the answer is sent on, or nil
	flushing        bool         // a goroutine is sending; it also sends what others add meanwhile
	lastSentAt      time.Time    // time of the last message to the entry
	heartbeatDue    bool
	headSent        bool
	finalSent       bool
	consumed        bool // the entry has consumed the answer, or it was released
	generatedTokens int64
	lastProgress    time.Time // when the entry last gave credit

	endedAt time.Time // guarded by the agent's lock
}

func newAttempt(parent context.Context, d peer.Dispatch, body *bytebudget.Account, sendBufferBytes int, buffers *stream.Limiter, now time.Time) *attempt {
	ctx, cancel := context.WithDeadline(parent, d.Deadline)
	a := &attempt{
		dispatch:     d,
		body:         body,
		acceptedAt:   now,
		admitted:     make(chan struct{}),
		finished:     make(chan struct{}),
		ctx:          ctx,
		cancel:       cancel,
		spaceFreed:   make(chan struct{}, 1),
		sender:       stream.NewSender(sendBufferBytes, stream.WithLimiter(buffers)),
		lastProgress: now,
	}
	_ = a.sender.Acknowledge(0, d.CreditBytes)
	return a
}

// signal sends on a channel with a buffer of one, unless a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// attach makes s the stream that the answer is sent on, and aborts the previous
// one.
func (a *attempt) attach(s *peer.Stream) {
	a.mu.Lock()
	previous := a.stream
	a.stream, a.headSent, a.finalSent = s, false, false
	a.mu.Unlock()
	if previous != nil {
		previous.Abort()
	}
}

func (a *attempt) acknowledge(c peer.Credit, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.sender.Acknowledge(c.Offset, c.Limit); err != nil {
		return err
	}
	a.lastProgress = now
	// Offset and Limit both equal to the length acknowledge the end: the entry has
	// the final message. Offset alone does not: the entry may have all bytes but
	// not the final message.
	if a.finalSent && c.Offset == a.final.Length && c.Limit == c.Offset && !a.consumed {
		a.consumed = true
		a.sender.Close()
	}
	signal(a.spaceFreed)
	return nil
}

// release frees the buffers. The answer can't be resumed afterwards.
func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.consumed = true
	a.sender.Close()
}

// write buffers data for the entry and waits while the send buffer is full. It
// fails if the attempt is cancelled or the reader makes no progress for
// stallTimeout.
func (a *attempt) write(data []byte, stallTimeout time.Duration, flush func()) error {
	for {
		a.mu.Lock()
		n := a.sender.Write(data)
		lastProgress, limiterFull := a.lastProgress, a.sender.Available() > 0
		a.mu.Unlock()
		data = data[n:]
		if n > 0 {
			flush()
		}
		if len(data) == 0 {
			return nil
		}
		remaining := stallTimeout - time.Since(lastProgress)
		if remaining <= 0 {
			return &StalledError{Timeout: stallTimeout}
		}
		if limiterFull {
			remaining = min(remaining, bufferRetryInterval)
		}
		timer := time.NewTimer(remaining)
		select {
		case <-a.spaceFreed:
			timer.Stop()
		case <-timer.C:
		case <-a.ctx.Done():
			timer.Stop()
			return &CancelledError{Err: context.Cause(a.ctx)}
		}
	}
}

func (a *attempt) setHead(h peer.Head) {
	a.mu.Lock()
	a.head = &h
	a.mu.Unlock()
}

func (a *attempt) setFinal(f peer.Final) {
	a.mu.Lock()
	a.sender.Finish()
	f.Length, f.Checksum = a.sender.Length(), a.sender.Checksum()
	a.final = &f
	a.mu.Unlock()
	close(a.finished)
	a.cancel()
}

// addTokens adds n generated tokens and returns the total.
func (a *attempt) addTokens(n int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generatedTokens += n
	return a.generatedTokens
}

// nextMessage returns the next message to send and its stream, or nil if there
// is nothing to send. isLast is set with the message that ends the answer. The
// caller holds the lock.
func (a *attempt) nextMessage() (s *peer.Stream, m peer.Message, isLast bool) {
	if a.stream == nil {
		return nil, nil, false
	}
	if a.head != nil && !a.headSent {
		a.headSent = true
		return a.stream, *a.head, false
	}
	if frame, ok := a.sender.Next(maxFrameBytes); ok {
		frame.GeneratedTokens = a.generatedTokens
		return a.stream, frame, false
	}
	if a.final != nil && !a.finalSent && a.sender.Done() {
		a.finalSent = true
		return a.stream, *a.final, true
	}
	if a.heartbeatDue {
		a.heartbeatDue = false
		return a.stream, peer.Heartbeat{}, false
	}
	return nil, nil, false
}

// markHeartbeatDue marks a heartbeat as due if nothing was sent for
// heartbeatInterval, and reports whether it did. No heartbeat is due while bytes
// wait for credit: the entry does not read then, and unread heartbeats would pile
// up.
func (a *attempt) markHeartbeatDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stream == nil || a.finalSent || a.sender.Blocked() || now.Sub(a.lastSentAt) < heartbeatInterval {
		return false
	}
	a.heartbeatDue = true
	return true
}

func (a *attempt) isFinished() bool {
	select {
	case <-a.finished:
		return true
	default:
		return false
	}
}

func (a *attempt) isConsumed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.consumed
}

// dropBody releases the request's body, which may be long, when the target has it or
// doesn't need it. Only the goroutine that runs the attempt may call it.
func (a *attempt) dropBody() {
	a.dispatch.Body = nil
	a.body.Close()
}
