// Package logsink writes log lines to a file descriptor without ever blocking
// the writer: lines wait in a bounded buffer, and are dropped and counted when
// the reader stalls or when there are more than a rate allows.
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
	// bufferedLines bounds the lines that wait for the reader.
	bufferedLines = 4096
	// linesPerSecond and burstLines bound the volume of one process.
	linesPerSecond = 1500
	burstLines     = 3000
	// closeTimeout bounds the time to write what waits at the end.
	closeTimeout = 500 * time.Millisecond
)

// Sink is an io.Writer that takes one line at a time.
type Sink struct {
	out     io.Writer
	clock   clockwork.Clock
	limit   *rate.Limiter
	lines   chan []byte
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
	dropped atomic.Int64 // and not reported yet
	total   atomic.Int64 // dropped since the start
}

// Option changes a default of New.
type Option func(*Sink)

// WithClock sets the clock of the rate.
func WithClock(c clockwork.Clock) Option { return func(s *Sink) { s.clock = c } }

// WithRate bounds the lines per second.
func WithRate(perSecond float64, burst int) Option {
	return func(s *Sink) { s.limit = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// New starts a sink.
func New(out io.Writer, opts ...Option) *Sink {
	s := &Sink{out: out, clock: clockwork.NewRealClock(), limit: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, bufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
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
	if !s.limit.AllowN(s.clock.Now(), 1) {
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
	s.dropped.Add(1)
	s.total.Add(1)
}

// TotalDropped returns the number of lines that were dropped since the start.
func (s *Sink) TotalDropped() int64 { return s.total.Load() }

// DroppedSinceReport returns the number of lines that were dropped and not reported yet.
func (s *Sink) DroppedSinceReport() int64 { return s.dropped.Load() }

func (s *Sink) write(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, `{"fields":{"lines":%d},"level":"warn","message":"log lines dropped"}`+"\n", n)
	}
	// There is nowhere to report a failure of the log itself.
	_, _ = s.out.Write(line)
}

// Close writes what waits, as far as the reader takes it.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-s.clock.After(closeTimeout):
	}
}
