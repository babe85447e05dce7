// Package logsink writes log lines to an io.Writer without ever blocking its
// caller. Lines are queued in a bounded buffer; they are dropped and counted
// when the buffer is full, because the reader stalls, or above a rate limit.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	maxBufferedLines = 4096
	// linesPerSecond and burstLines are the default rate limit of a sink.
	linesPerSecond = 1500
	burstLines     = 3000
	// closeTimeout bounds the time to flush the buffer on Close.
	closeTimeout = 500 * time.Millisecond
)

// Sink is an io.Writer that takes one line at a time.
type Sink struct {
	out                io.Writer
	clock              clockwork.Clock
	limiter            *rate.Limiter
	lines              chan []byte
	stop               chan struct{}
	closeOnce          sync.Once
	done               chan struct{}
	droppedSinceReport atomic.Int64 // not yet reported in the log
	totalDropped       atomic.Int64 // since the start
}

// Option changes a default of New.
type Option func(*Sink)

// WithClock sets the clock of the rate limit and of the timeout of Close.
func WithClock(c clockwork.Clock) Option { return func(s *Sink) { s.clock = c } }

// WithRate sets the rate limit in lines per second.
func WithRate(perSecond float64, burst int) Option {
	return func(s *Sink) { s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// New starts a sink.
func New(out io.Writer, opts ...Option) *Sink {
	s := &Sink{out: out, clock: clockwork.NewRealClock(), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, maxBufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	for _, opt := range opts {
		opt(s)
	}
	go func() {
		defer close(s.done)
		for {
			select {
			case line := <-s.lines:
				s.write(line)
			case <-s.stop:
				for len(s.lines) > 0 {
					s.write(<-s.lines)
				}
				return
			}
		}
	}()
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	if !s.limiter.AllowN(s.clock.Now(), 1) {
		s.drop()
		return len(p), nil
	}
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.drop()
	}
	return len(p), nil
}

func (s *Sink) drop() {
	s.droppedSinceReport.Add(1)
	s.totalDropped.Add(1)
}

// TotalDropped returns the number of lines dropped since the start.
func (s *Sink) TotalDropped() int64 { return s.totalDropped.Load() }

// DroppedSinceReport returns the number of dropped lines that the log does not
// report yet.
func (s *Sink) DroppedSinceReport() int64 { return s.droppedSinceReport.Load() }

func (s *Sink) write(line []byte) {
	if n := s.droppedSinceReport.Load(); n > 0 {
		// The lines count as reported once the reader has taken the report.
		if _, err := fmt.Fprintf(s.out, `{"fields":{"lines":%d},"level":"warn","message":"log lines dropped"}`+"\n", n); err == nil {
			s.droppedSinceReport.Add(-n)
		}
	}
	// A failure of the log itself can't be reported anywhere.
	_, _ = s.out.Write(line)
}

// Close flushes the buffer, as far as the reader accepts it within the timeout.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-s.clock.After(closeTimeout):
	}
}
