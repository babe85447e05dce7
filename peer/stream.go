package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// readBytes is the size of a receive buffer. A stream holds one only while a
// part of a message is in it.
const readBytes = 4 << 10

var readBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

// past makes pending reads or writes of a QUIC stream fail at once.
var past = time.Unix(1, 0)

// Stream carries one exchange. Send is safe for concurrent use, Receive is for
// one goroutine. A process that waits on something else while a stream is open
// must go on receiving from it: unread messages, heartbeats included, take up
// the connection's window.
type Stream struct {
	endpoint   *Endpoint
	connection *connection
	quic       *quic.Stream
	ctx        context.Context
	cancel     context.CancelCauseFunc
	unwatch    func() bool
	end        sync.Once

	receiveDeadline deadline
	buffer          []byte // nil, or the storage of pending
	pending         []byte // received and not decoded
	counted         atomic.Int64
	received        bool // a message

	sendMu       sync.Mutex
	sendDeadline deadline
	sendErr      error // set once the sending direction is over; io.ErrClosedPipe if it ended here
}

func newStream(e *Endpoint, c *connection, qs *quic.Stream) *Stream {
	s := &Stream{endpoint: e, connection: c, quic: qs}
	s.ctx, s.cancel = context.WithCancelCause(c.quic.Context())
	// The QUIC stream's context ends with the sending direction. Only an end
	// that the other process caused ends the exchange.
	s.unwatch = context.AfterFunc(qs.Context(), func() {
		var stop *quic.StreamError
		if cause := context.Cause(qs.Context()); errors.As(cause, &stop) && stop.Remote {
			s.cancel(cause)
		}
	})
	s.receiveDeadline = deadline{
		clock:  e.clock,
		expire: func() { _ = qs.SetReadDeadline(past) },
		clear:  func() { _ = qs.SetReadDeadline(time.Time{}) },
	}
	s.sendDeadline = deadline{
		clock:  e.clock,
		expire: func() { _ = qs.SetWriteDeadline(past) },
		clear:  func() { _ = qs.SetWriteDeadline(time.Time{}) },
	}
	return s
}

// RemoteProcess returns the other process's name, from its certificate.
func (s *Stream) RemoteProcess() string { return s.connection.process }

// RemoteRole returns the other process's role, from its certificate.
func (s *Stream) RemoteRole() Role { return s.connection.role }

// RemoteAddr returns the other process's address.
func (s *Stream) RemoteAddr() netip.AddrPort { return s.connection.address }

// Generation identifies the stream's connection for Endpoint.Drop.
func (s *Stream) Generation() uint64 { return s.connection.generation }

// Context ends when the stream is aborted by either side or its connection
// closes. CloseSend does not end it.
func (s *Stream) Context() context.Context { return s.ctx }

// Send sends a message. It fails with a *StreamError and ends the sending
// direction when the other process takes no data for 2 s. The message may be
// changed after Send returns.
func (s *Stream) Send(m Message) error {
	b := buffers.Get().(*bytes.Buffer)
	defer release(b)
	if err := encode(b, m); err != nil {
		return fmt.Errorf("peer.Stream.Send: %w", err)
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	switch {
	case errors.Is(s.sendErr, io.ErrClosedPipe):
		return fmt.Errorf("peer.Stream.Send: %w", s.failed(s.sendErr))
	case s.sendErr != nil:
		return fmt.Errorf("peer.Stream.Send: %w", s.sendErr)
	}
	s.sendDeadline.set(s.endpoint.clock.Now().Add(writeTimeout))
	_, err := s.quic.Write(b.Bytes())
	s.sendDeadline.set(time.Time{})
	if err != nil {
		// A part of the message may be sent, so nothing can follow it.
		s.sendErr = s.failed(err)
		s.quic.CancelWrite(codeAborted)
		return fmt.Errorf("peer.Stream.Send: %w", s.sendErr)
	}
	return nil
}

// SetReceiveDeadline sets when Receive fails with a *ReceiveTimeoutError; the
// zero time removes the deadline. It also applies to a Receive in progress.
func (s *Stream) SetReceiveDeadline(t time.Time) { s.receiveDeadline.set(t) }

// Receive returns the next message, or io.EOF after the other process has
// closed its direction.
func (s *Stream) Receive() (Message, error) {
	for {
		if len(s.pending) > 0 {
			m, rest, err := Decode(s.pending)
			if err == nil {
				s.pending = rest
				s.received = true
				s.releaseEmpty()
				return m, nil
			}
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, s.reject(err)
			}
			if len(s.pending) >= MaxMessageBytes {
				return nil, s.reject(&ProtocolError{Reason: fmt.Sprintf("more than %d bytes", MaxMessageBytes)})
			}
		}
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
}

// fill waits for data and appends it to pending.
func (s *Stream) fill() error {
	if s.buffer == nil {
		// Wait without a buffer: most streams are idle most of the time.
		var first [1]byte
		if _, err := s.quic.Peek(first[:]); err != nil {
			return s.receiveFailed(err)
		}
		s.buffer = readBuffers.Get().(*[readBytes]byte)[:]
		s.pending = s.buffer[:0]
	}
	if cap(s.pending) == len(s.pending) {
		next := s.buffer
		if len(s.pending) > len(s.buffer)/2 {
			size := min(2*len(s.buffer), MaxMessageBytes)
			if err := s.count(size); err != nil {
				return err
			}
			next = make([]byte, size)
		}
		n := copy(next, s.pending)
		s.recycle(next)
		s.pending = next[:n]
	}
	n, err := s.quic.Read(s.pending[len(s.pending):cap(s.pending)])
	s.pending = s.pending[:len(s.pending)+n]
	if n > 0 {
		return nil // an error is returned by the next read again
	}
	if err != nil {
		return s.receiveFailed(err)
	}
	return nil
}

// count replaces what the stream has counted of the endpoint's bound by size. A
// stream whose first message does not fit is refused unread.
func (s *Stream) count(size int) error {
	more := int64(size) - s.counted.Load()
	if used := s.endpoint.buffered.Add(more); more > 0 && used > s.endpoint.maxBuffered {
		s.endpoint.buffered.Add(-more)
		code := quic.StreamErrorCode(codeRefused)
		if s.received {
			code = codeAborted
		}
		return s.rejectWith(code, &BufferLimitError{Requested: more, Limit: s.endpoint.maxBuffered})
	}
	s.counted.Add(more)
	if s.ctx.Err() != nil { // Abort may have given back what was counted before
		s.uncount()
	}
	return nil
}

func (s *Stream) uncount() { s.endpoint.buffered.Add(-s.counted.Swap(0)) }

// recycle replaces the buffer.
func (s *Stream) recycle(next []byte) {
	if len(s.buffer) == readBytes && (len(next) == 0 || &next[0] != &s.buffer[0]) {
		readBuffers.Put((*[readBytes]byte)(s.buffer))
	}
	if len(next) <= readBytes {
		s.uncount()
	}
	s.buffer = next
}

func (s *Stream) releaseEmpty() {
	if len(s.pending) == 0 {
		s.recycle(nil)
		s.pending = nil
	}
}

func (s *Stream) receiveFailed(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = &ReceiveTimeoutError{Address: s.connection.address, Generation: s.connection.generation}
	case errors.Is(err, io.EOF) && len(s.pending) == 0:
		return io.EOF
	case errors.Is(err, io.EOF):
		err = s.failed(io.ErrUnexpectedEOF)
	default:
		err = s.failed(err)
	}
	return fmt.Errorf("peer.Stream.Receive: %w", err)
}

// failed returns the typed error for a failure of the stream. The other process
// has read nothing of the exchange if it refused the stream or connection, or
// if the handshake failed: a client learns only after its first packets that
// its certificate was not accepted.
func (s *Stream) failed(err error) error {
	var stream *quic.StreamError
	var application *quic.ApplicationError
	var transport *quic.TransportError
	unread := errors.As(err, &stream) && stream.Remote && stream.ErrorCode == codeRefused ||
		errors.As(err, &application) && application.Remote && application.ErrorCode == codeRefused ||
		errors.As(err, &transport) && transport.Remote && transport.ErrorCode.IsCryptoError()
	if unread {
		return &NotDeliveredError{Address: s.connection.address, Err: err}
	}
	return &StreamError{Address: s.connection.address, Generation: s.connection.generation, Err: err}
}

// reject ends the stream after a message that cannot be decoded.
func (s *Stream) reject(err error) error { return s.rejectWith(codeProtocol, err) }

func (s *Stream) rejectWith(code quic.StreamErrorCode, err error) error {
	s.endpoint.log.WithFields(s.connection.fields()).WithError(err).Warn("peer_message_rejected")
	s.quic.CancelRead(code)
	s.quic.CancelWrite(code)
	s.sendMu.Lock()
	if s.sendErr == nil {
		s.sendErr = err
	}
	s.sendMu.Unlock()
	s.cancel(err)
	return fmt.Errorf("peer.Stream.Receive: %w", err)
}

// CloseSend ends the sending direction after what was sent. The other process
// receives io.EOF.
func (s *Stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendErr != nil {
		return nil
	}
	s.sendErr = io.ErrClosedPipe
	if err := s.quic.Close(); err != nil {
		return fmt.Errorf("peer.Stream.CloseSend: %w", s.failed(err))
	}
	return nil
}

// Abort ends both directions at once. What was sent before CloseSend is still
// delivered. It may be called several times and after the stream has ended.
func (s *Stream) Abort() {
	s.end.Do(func() {
		s.quic.CancelRead(codeAborted)
		// A Send that is waiting holds the mutex until its write fails.
		_ = s.quic.SetWriteDeadline(past)
		s.sendMu.Lock()
		if s.sendErr == nil {
			s.sendErr = io.ErrClosedPipe
			s.quic.CancelWrite(codeAborted)
		}
		s.sendMu.Unlock()
		s.unwatch()
		s.cancel(nil)
		s.uncount()
		s.receiveDeadline.stop()
		s.sendDeadline.stop()
		s.endpoint.leave(s.connection)
	})
}

// linger waits until the other process has ended its direction, which it does
// after it has received the answer. A shutdown would otherwise close the
// connection while the answer is on its way.
func (s *Stream) linger() {
	_ = s.CloseSend()
	s.SetReceiveDeadline(s.endpoint.clock.Now().Add(lingerTimeout))
	s.pending = nil
	s.recycle(nil)
	discard := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(discard)
	for {
		if _, err := s.quic.Read(discard[:]); err != nil {
			return
		}
	}
}
