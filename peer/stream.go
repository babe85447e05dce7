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

// readBufferBytes is the size of a receive buffer. A stream holds one only
// while it has received a part of a message.
const readBufferBytes = 4 << 10

var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// expiredTime, set as a deadline, makes pending reads or writes of a QUIC
// stream fail at once.
var expiredTime = time.Unix(1, 0)

// Stream carries one exchange. Send is safe for concurrent use; Receive must be
// called by one goroutine at a time. A process must keep receiving while a
// stream is open, since unread messages, heartbeats included, take up the
// connection's window.
type Stream struct {
	endpoint      *Endpoint
	connection    *connection
	quicStream    *quic.Stream
	ctx           context.Context
	cancel        context.CancelCauseFunc
	stopAfterFunc func() bool
	abortOnce     sync.Once

	receiveDeadline deadline
	buffer          []byte // nil, or the storage of pending
	pending         []byte // received and not decoded
	bufferedBytes   atomic.Int64
	receivedMessage bool
	awaiting        atomic.Bool // accepted, and counted in Endpoint.awaitingStreams

	sendMu       sync.Mutex
	sendDeadline deadline
	sendErr      error // set when the sending direction has ended; io.ErrClosedPipe if this side ended it
}

func newStream(e *Endpoint, c *connection, qs *quic.Stream) *Stream {
	s := &Stream{endpoint: e, connection: c, quicStream: qs}
	s.ctx, s.cancel = context.WithCancelCause(c.quicConn.Context())
	// The QUIC stream's context ends with the sending direction. The exchange
	// ends only if the other process caused that.
	s.stopAfterFunc = context.AfterFunc(qs.Context(), func() {
		var stop *quic.StreamError
		if cause := context.Cause(qs.Context()); errors.As(cause, &stop) && stop.Remote {
			s.cancel(cause)
		}
	})
	s.receiveDeadline = deadline{
		clock:  e.clock,
		expire: func() { _ = qs.SetReadDeadline(expiredTime) },
		clear:  func() { _ = qs.SetReadDeadline(time.Time{}) },
	}
	s.sendDeadline = deadline{
		clock:  e.clock,
		expire: func() { _ = qs.SetWriteDeadline(expiredTime) },
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
// direction when the other process reads no data for 2 s. The caller may change
// the message after Send returns.
func (s *Stream) Send(m Message) error {
	b := encodeBuffers.Get().(*bytes.Buffer)
	defer putEncodeBuffer(b)
	if err := encode(b, m); err != nil {
		return fmt.Errorf("peer.Stream.Send: %w", err)
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	switch {
	case errors.Is(s.sendErr, io.ErrClosedPipe):
		return fmt.Errorf("peer.Stream.Send: %w", s.streamError(s.sendErr))
	case s.sendErr != nil:
		return fmt.Errorf("peer.Stream.Send: %w", s.sendErr)
	}
	s.sendDeadline.set(s.endpoint.clock.Now().Add(writeTimeout))
	_, err := s.quicStream.Write(b.Bytes())
	s.sendDeadline.set(time.Time{})
	if err != nil {
		// A part of the message may have been sent, so nothing can follow it.
		s.sendErr = s.streamError(err)
		s.quicStream.CancelWrite(codeAborted)
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
				s.receivedMessage = true
				if s.endAwaiting() {
					s.SetReceiveDeadline(time.Time{})
				}
				s.releaseEmptyBuffer()
				return m, nil
			}
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, s.rejectMessage(err)
			}
			if len(s.pending) >= MaxMessageBytes {
				return nil, s.rejectMessage(&ProtocolError{Reason: fmt.Sprintf("more than %d bytes", MaxMessageBytes)})
			}
		}
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
}

// endAwaiting reports whether the stream was accepted and its first message was awaited until now.
func (s *Stream) endAwaiting() bool {
	if !s.awaiting.CompareAndSwap(true, false) {
		return false
	}
	s.endpoint.awaitingStreams.Add(-1)
	return true
}

// fill waits for data and appends it to pending.
func (s *Stream) fill() error {
	if s.buffer == nil {
		// Wait without a buffer: most streams are idle most of the time.
		var first [1]byte
		if _, err := s.quicStream.Peek(first[:]); err != nil {
			return s.receiveError(err)
		}
		s.buffer = readBuffers.Get().(*[readBufferBytes]byte)[:]
		s.pending = s.buffer[:0]
	}
	if cap(s.pending) == len(s.pending) {
		next := s.buffer
		if len(s.pending) > len(s.buffer)/2 {
			size := min(2*len(s.buffer), MaxMessageBytes)
			if err := s.reserveBuffer(size); err != nil {
				return err
			}
			next = make([]byte, size)
		}
		n := copy(next, s.pending)
		s.replaceBuffer(next)
		s.pending = next[:n]
	}
	n, err := s.quicStream.Read(s.pending[len(s.pending):cap(s.pending)])
	s.pending = s.pending[:len(s.pending)+n]
	if n > 0 {
		return nil // the next read returns the error again
	}
	if err != nil {
		return s.receiveError(err)
	}
	return nil
}

// reserveBuffer sets the stream's share of the endpoint's receive buffers to
// size bytes. A stream whose first message does not fit is refused unread.
func (s *Stream) reserveBuffer(size int) error {
	additional := int64(size) - s.bufferedBytes.Load()
	if used := s.endpoint.bufferedBytes.Add(additional); additional > 0 && used > s.endpoint.receiveBufferLimit {
		s.endpoint.bufferedBytes.Add(-additional)
		code := quic.StreamErrorCode(codeRefused)
		if s.receivedMessage {
			code = codeAborted
		}
		// Released first: the other process may send its next message as soon as it
		// sees the refusal.
		s.pending = nil
		s.replaceBuffer(nil)
		return s.failReceive(code, &BufferLimitError{Requested: additional, Limit: s.endpoint.receiveBufferLimit})
	}
	s.bufferedBytes.Add(additional)
	if s.ctx.Err() != nil { // Abort may have released the reservation before this addition
		s.releaseBufferReservation()
	}
	return nil
}

func (s *Stream) releaseBufferReservation() { s.endpoint.bufferedBytes.Add(-s.bufferedBytes.Swap(0)) }

// replaceBuffer sets the buffer and returns the old one to the pool.
func (s *Stream) replaceBuffer(next []byte) {
	if len(s.buffer) == readBufferBytes && (len(next) == 0 || &next[0] != &s.buffer[0]) {
		readBuffers.Put((*[readBufferBytes]byte)(s.buffer))
	}
	if len(next) <= readBufferBytes {
		s.releaseBufferReservation()
	}
	s.buffer = next
}

func (s *Stream) releaseEmptyBuffer() {
	if len(s.pending) == 0 {
		s.replaceBuffer(nil)
		s.pending = nil
	}
}

func (s *Stream) receiveError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && s.awaiting.Load():
		// Nothing of the exchange was passed on.
		s.pending = nil
		s.replaceBuffer(nil)
		return s.failReceive(codeRefused, &ReceiveTimeoutError{Address: s.connection.address, Generation: s.connection.generation})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = &ReceiveTimeoutError{Address: s.connection.address, Generation: s.connection.generation}
	case errors.Is(err, io.EOF) && len(s.pending) == 0:
		return io.EOF
	case errors.Is(err, io.EOF):
		err = s.streamError(io.ErrUnexpectedEOF)
	default:
		err = s.streamError(err)
	}
	return fmt.Errorf("peer.Stream.Receive: %w", err)
}

// streamError returns the typed error for a failure of the stream. The other
// process has read nothing of the exchange if it refused the stream or
// connection, or if the handshake failed: a client learns only after its first
// packets that its certificate was rejected.
func (s *Stream) streamError(err error) error {
	var stream *quic.StreamError
	var application *quic.ApplicationError
	var transport *quic.TransportError
	notDelivered := errors.As(err, &stream) && stream.Remote && stream.ErrorCode == codeRefused ||
		errors.As(err, &application) && application.Remote && application.ErrorCode == codeRefused ||
		errors.As(err, &transport) && transport.Remote && transport.ErrorCode.IsCryptoError()
	if notDelivered {
		return &NotDeliveredError{Address: s.connection.address, Err: err}
	}
	return &StreamError{Address: s.connection.address, Generation: s.connection.generation, Err: err}
}

// rejectMessage aborts the stream after a message that cannot be decoded.
func (s *Stream) rejectMessage(err error) error { return s.failReceive(codeProtocol, err) }

// failReceive logs a rejected message, aborts the stream with the code and
// returns the error for Receive.
func (s *Stream) failReceive(code quic.StreamErrorCode, err error) error {
	s.endpoint.log.WithFields(s.connection.logFields()).WithError(err).Warn("peer_message_rejected")
	s.quicStream.CancelRead(code)
	s.quicStream.CancelWrite(code)
	s.sendMu.Lock()
	if s.sendErr == nil {
		s.sendErr = err
	}
	s.sendMu.Unlock()
	s.cancel(err)
	return fmt.Errorf("peer.Stream.Receive: %w", err)
}

// CloseSend ends the sending direction after the messages already sent. The
// other process then receives io.EOF.
func (s *Stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendErr != nil {
		return nil
	}
	s.sendErr = io.ErrClosedPipe
	if err := s.quicStream.Close(); err != nil {
		return fmt.Errorf("peer.Stream.CloseSend: %w", s.streamError(err))
	}
	return nil
}

// Abort ends both directions at once. Messages sent before CloseSend are still
// delivered. It may be called several times and after the stream has ended.
func (s *Stream) Abort() {
	s.abortOnce.Do(func() {
		s.quicStream.CancelRead(codeAborted)
		// A blocked Send holds the mutex until its write fails.
		_ = s.quicStream.SetWriteDeadline(expiredTime)
		s.sendMu.Lock()
		if s.sendErr == nil {
			s.sendErr = io.ErrClosedPipe
			s.quicStream.CancelWrite(codeAborted)
		}
		s.sendMu.Unlock()
		s.stopAfterFunc()
		s.cancel(nil)
		s.endAwaiting()
		s.releaseBufferReservation()
		s.receiveDeadline.stop()
		s.sendDeadline.stop()
		s.endpoint.removeStream(s.connection)
	})
}

// linger waits until the other process has closed its direction, which it does
// after it has received the answer. A shutdown could otherwise close the
// connection before the answer is delivered.
func (s *Stream) linger() {
	_ = s.CloseSend()
	s.SetReceiveDeadline(s.endpoint.clock.Now().Add(lingerTimeout))
	s.pending = nil
	s.replaceBuffer(nil)
	discard := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(discard)
	for {
		if _, err := s.quicStream.Read(discard[:]); err != nil {
			return
		}
	}
}
