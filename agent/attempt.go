package agent

import (
	"context"
	"sync"
	"time"

	"briarreach/peer"
	"briarreach/stream"
)

// bufferRetry is how often a writer tries again when the process-wide bound on
// buffered bytes is reached.
const bufferRetry = 10 * time.Millisecond

// attempt is one run of a request at the target.
type attempt struct {
	dispatch peer.Dispatch
	accepted time.Time
	admitted chan struct{} // closed when admission lets the attempt run
	finished chan struct{} // closed when the final message is set
	context  context.Context
	cancel   context.CancelFunc

	space chan struct{} // signals the runner that the tail has room

	mu        sync.Mutex
	sender    *stream.Sender
	head      *peer.Head
	final     *peer.Final
	attached  *peer.Stream // the stream that carries the answer now
	flushing  bool         // a goroutine sends; others leave their messages to it
	sent      time.Time    // of the last message to the entry
	heartbeat bool         // a heartbeat is due
	headSent  bool
	finalSent bool
	consumed  bool // the entry has consumed the whole answer
	tokens    int64
	progress  time.Time // last time the entry consumed bytes

	ended time.Time // guarded by the agent's lock
}

func newAttempt(parent context.Context, d peer.Dispatch, tail int, buffers *stream.Limiter, now time.Time) *attempt {
	ctx, cancel := context.WithDeadline(parent, d.Deadline)
	a := &attempt{
		dispatch: d,
		accepted: now,
		admitted: make(chan struct{}),
		finished: make(chan struct{}),
		context:  ctx,
		cancel:   cancel,
		space:    make(chan struct{}, 1),
		sender:   stream.NewSender(tail, stream.WithLimiter(buffers)),
		progress: now,
	}
	_ = a.sender.Acknowledge(0, d.Credit)
	return a
}

// signal wakes the receiver of a channel with room for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// attach makes s the stream that carries the answer. The earlier one is ended.
func (a *attempt) attach(s *peer.Stream) {
	a.mu.Lock()
	earlier := a.attached
	a.attached, a.headSent, a.finalSent = s, false, false
	a.mu.Unlock()
	if earlier != nil {
		earlier.Abort()
	}
}

func (a *attempt) acknowledge(c peer.Credit, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.sender.Acknowledge(c.Offset, c.Limit); err != nil {
		return err
	}
	a.progress = now
	// A credit without room acknowledges the end of the answer: the final
	// message may be lost after all bytes have arrived.
	if a.finalSent && c.Offset == a.final.Length && c.Limit == c.Offset && !a.consumed {
		a.consumed = true
		a.sender.Close()
	}
	signal(a.space)
	return nil
}

// release gives the buffers back; the answer can't be resumed after it.
func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.consumed = true
	a.sender.Close()
}

// write keeps data for the entry and waits while the tail is full. It fails
// when the attempt is cancelled or the reader makes no progress for stall.
func (a *attempt) write(data []byte, stall time.Duration, flush func()) error {
	for {
		a.mu.Lock()
		n := a.sender.Write(data)
		progress, limited := a.progress, a.sender.Available() > 0
		a.mu.Unlock()
		data = data[n:]
		if n > 0 {
			flush()
		}
		if len(data) == 0 {
			return nil
		}
		left := stall - time.Since(progress)
		if left <= 0 {
			return &StalledError{Timeout: stall}
		}
		if limited {
			left = min(left, bufferRetry)
		}
		timer := time.NewTimer(left)
		select {
		case <-a.space:
			timer.Stop()
		case <-timer.C:
		case <-a.context.Done():
			timer.Stop()
			return &CancelledError{Err: context.Cause(a.context)}
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

// addTokens counts generated tokens and returns the sum.
func (a *attempt) addTokens(n int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens += n
	return a.tokens
}

// next returns the stream that carries the answer and what it must send next,
// or nil. last is set with the message that ends the answer. The caller holds
// the lock.
func (a *attempt) next() (s *peer.Stream, m peer.Message, last bool) {
	if a.attached == nil {
		return nil, nil, false
	}
	if a.head != nil && !a.headSent {
		a.headSent = true
		return a.attached, *a.head, false
	}
	if frame, ok := a.sender.Next(maxFrameBytes); ok {
		frame.Tokens = a.tokens
		return a.attached, frame, false
	}
	if a.final != nil && !a.finalSent && a.sender.Done() {
		a.finalSent = true
		return a.attached, *a.final, true
	}
	if a.heartbeat {
		a.heartbeat = false
		return a.attached, peer.Heartbeat{}, false
	}
	return nil, nil, false
}

// needsHeartbeat marks a heartbeat as due if the stream was silent for the
// interval. None is sent while bytes wait for credit: the entry does not read
// then, and unread heartbeats would pile up.
func (a *attempt) needsHeartbeat(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attached == nil || a.finalSent || a.sender.Blocked() || now.Sub(a.sent) < heartbeatInterval {
		return false
	}
	a.heartbeat = true
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
