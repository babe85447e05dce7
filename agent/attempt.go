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

	ready chan struct{} // signals the pump; one pending signal suffices
	space chan struct{} // signals the runner that the tail has room

	mu        sync.Mutex
	sender    *stream.Sender
	head      *peer.Head
	final     *peer.Final
	attached  *peer.Stream // the stream that carries the answer now
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
		ready:    make(chan struct{}, 1),
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
	signal(a.ready)
}

func (a *attempt) acknowledge(c peer.Credit, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.sender.Acknowledge(c.Offset, c.Limit); err != nil {
		return err
	}
	a.progress = now
	a.releaseIfConsumed()
	signal(a.ready)
	signal(a.space)
	return nil
}

// releaseIfConsumed gives the buffers back when the entry has the whole answer.
// The caller holds the lock.
func (a *attempt) releaseIfConsumed() {
	if a.final != nil && a.finalSent && a.sender.Buffered() == 0 && !a.consumed {
		a.consumed = true
		a.sender.Close()
	}
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
func (a *attempt) write(data []byte, stall time.Duration) error {
	for {
		a.mu.Lock()
		n := a.sender.Write(data)
		progress, limited := a.progress, a.sender.Free() > 0
		a.mu.Unlock()
		data = data[n:]
		if n > 0 {
			signal(a.ready)
		}
		if len(data) == 0 {
			return nil
		}
		left := stall - time.Since(progress)
		if left <= 0 {
			return &StalledError{After: stall}
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
	signal(a.ready)
}

func (a *attempt) setFinal(f peer.Final) {
	a.mu.Lock()
	a.sender.Finish()
	f.Length, f.Checksum = a.sender.Length(), a.sender.Checksum()
	a.final = &f
	a.mu.Unlock()
	close(a.finished)
	a.cancel()
	signal(a.ready)
}

// addTokens counts generated tokens and returns the sum.
func (a *attempt) addTokens(n int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens += n
	return a.tokens
}

// next returns what the attached stream must send next. ended is set when the
// stream is no longer the attached one or everything was sent.
func (a *attempt) next(s *peer.Stream) (m peer.Message, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attached != s {
		return nil, true
	}
	if a.head != nil && !a.headSent {
		a.headSent = true
		return *a.head, false
	}
	if frame, ok := a.sender.Next(maxFrameBytes); ok {
		frame.Tokens = a.tokens
		return frame, false
	}
	if a.final != nil && !a.finalSent && a.sender.Done() {
		a.finalSent = true
		a.releaseIfConsumed()
		return *a.final, false
	}
	return nil, a.finalSent
}

// blocked reports whether bytes wait for credit.
func (a *attempt) blocked() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sender.Buffered() > 0
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
