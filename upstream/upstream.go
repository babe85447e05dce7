// Package upstream keeps a pool of HTTP/1.1 connections to replicas, each with
// one request at a time. It never retries a request: its errors say whether the
// request may have been executed, and the caller decides.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"briarreach/http1"
)

// NotSentError reports that no connection was available, so that no byte of the
// request left this process.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// IncompleteResponseError reports that no complete and usable response arrived
// after a connection was available: the request, or a part of it, may have been
// sent and executed.
type IncompleteResponseError struct{ Err error }

func (e *IncompleteResponseError) Error() string { return "no complete response: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Err }

// Request is an HTTP request to a replica.
type Request struct {
	Method        string
	RequestTarget string // as in the request line
	Header        []HeaderField
	Body          []byte
	// Allowed reports whether the request may still be sent. It is called when a
	// connection is available, before the first byte. Nil allows it.
	Allowed func() bool
}

// DisallowedError is the cause of a NotSentError for a request that may no longer be
// sent.
type DisallowedError struct{}

func (*DisallowedError) Error() string { return "request may no longer be sent" }

// HeaderField is a header field.
type HeaderField struct{ Name, Value string }

// Pool holds idle connections to replicas. It is safe for concurrent use.
type Pool struct {
	clock clockwork.Clock

	mu       sync.Mutex
	idle     map[netip.AddrPort][]*conn
	retained map[netip.AddrPort]bool // addresses whose connections are kept; nil for all
	maxIdle  int                     // idle connections to all addresses; 0 for no bound
	closed   bool
	dialHook func()
	traffic  Traffic
	slow     func() bool // whether dials get slowDialTimeout
}

// Option changes a default of New.
type Option func(*Pool)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(p *Pool) { p.clock = c } }

// WithDialHook calls f before each dial, also if the dial then fails.
func WithDialHook(f func()) Option { return func(p *Pool) { p.dialHook = f } }

// Traffic counts the bytes of all connections.
type Traffic interface {
	AddReceived(n int)
	AddSent(n int)
}

// NoTraffic is a Traffic that counts nothing.
type NoTraffic struct{}

// AddReceived implements Traffic.
func (NoTraffic) AddReceived(int) {}

// AddSent implements Traffic.
func (NoTraffic) AddSent(int) {}

// WithTraffic sets what counts the bytes of all connections.
func WithTraffic(t Traffic) Option { return func(p *Pool) { p.traffic = t } }

// WithSlowDials gives dials more time while slow returns true: on a saturated link the
// packets of the handshake wait as well.
func WithSlowDials(slow func() bool) Option { return func(p *Pool) { p.slow = slow } }

// WithMaxIdleConnections bounds the idle connections to all addresses together.
func WithMaxIdleConnections(n int) Option { return func(p *Pool) { p.maxIdle = n } }

// New returns an empty pool.
func New(opts ...Option) *Pool {
	p := &Pool{clock: clockwork.NewRealClock(), idle: make(map[netip.AddrPort][]*conn), dialHook: func() {}, traffic: NoTraffic{}, slow: func() bool { return false }}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Close closes all idle connections; connections in use close after their
// response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// CloseIdleConnections closes the idle connections to an address.
func (p *Pool) CloseIdleConnections(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Owner says for which request a response is.
type Owner int

// Owners.
const (
	OwnRequest   Owner = iota // the one that was sent
	OtherRequest              // an earlier one on the connection
	UnknownOwner              // the response does not say
)

// RetainIdleConnections closes the idle connections to all addresses but the given
// ones, now and after later requests, and those that have been idle for too long.
func (p *Pool) RetainIdleConnections(addresses map[netip.AddrPort]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.retained = addresses
	for address, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if addresses[address] && now.Sub(c.idleSince) < c.idleLimit {
				return false
			}
			_ = c.Close()
			return true
		})
		if p.idle[address] = list; len(list) == 0 {
			delete(p.idle, address)
		}
	}
}

// Do sends a request and reads the response header. It skips responses to earlier
// requests on the connection. One that does not say for which request it is counts
// as the response on a connection that has carried no other request, and is skipped
// on the others. When ctx ends the connection is closed, also while the body is
// read. The response's body must be closed; if it was not read to its end, this
// closes the connection.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request, ownerOf func(*http.Response) Owner) (*http.Response, error) {
	c, err := p.acquire(ctx, address)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	if r.Allowed != nil && !r.Allowed() {
		p.putIdle(c)
		return nil, &NotSentError{Err: &DisallowedError{}}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := c.write(r)
	res, err := c.read(r.Method, ownerOf)
	if err != nil {
		stop()
		_ = c.Close()
		_ = written.await() // the caller may reuse the body's memory
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		return nil, &IncompleteResponseError{Err: err}
	}
	res.Body = &body{ReadCloser: res.Body, pool: p, conn: c, res: res, stopAfterFunc: stop, written: written}
	return res, nil
}

func (p *Pool) acquire(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if p.clock.Since(c.idleSince) < c.idleLimit && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// AcceptsConnections reports whether a connection to an address can be opened. It
// keeps the connection for later requests.
func (p *Pool) AcceptsConnections(ctx context.Context, address netip.AddrPort) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	p.putIdle(c)
	return true
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.dialHook()
	d := net.Dialer{Timeout: dialTimeout}
	if p.slow() {
		d.Timeout = slowDialTimeout
	}
	nc, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	limited := &limitedReader{reader: nc, traffic: p.traffic}
	return &conn{Conn: nc, traffic: p.traffic, address: address, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), idleLimit: idleTimeout}, nil
}

func (p *Pool) popIdle(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerReplica || p.retained != nil && !p.retained[c.address] || p.maxIdle > 0 && p.idleCount() >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// idleCount returns the number of idle connections. mu must be held.
func (p *Pool) idleCount() int {
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

const (
	dialTimeout       = 300 * time.Millisecond
	slowDialTimeout   = time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerReplica = 128
	readBufferBytes   = 4 << 10
	// concurrentWriteBytes is the size from which a request is written while the
	// response is read, as a replica may respond before it has read all of it.
	concurrentWriteBytes = 8 << 10
	// keepAliveMargin is how long before the replica's idle timeout a connection
	// is no longer reused, as the replica could close it during a request.
	keepAliveMargin = 300 * time.Millisecond
)

type conn struct {
	net.Conn
	traffic   Traffic
	address   netip.AddrPort
	limited   *limitedReader
	reader    *bufio.Reader // reads from limited
	used      bool          // whether a request was sent before the current one
	idleSince time.Time
	idleLimit time.Duration
}

// requestWrite is the write of a request, which may still be in progress.
type requestWrite struct {
	done chan struct{}
	err  error // set when done is closed
}

func (w *requestWrite) end(err error) {
	w.err = err
	close(w.done)
}

// await waits until the write has ended and returns its error.
func (w *requestWrite) await() error {
	<-w.done
	return w.err
}

// ended reports whether the write has ended.
func (w *requestWrite) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// write starts to send the request.
func (c *conn) write(r Request) *requestWrite {
	head := make([]byte, 0, 1024)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\n", r.Method, r.RequestTarget)
	for _, f := range r.Header {
		head = fmt.Appendf(head, "%s: %s\r\n", f.Name, f.Value)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(r.Body))
	}
	head = append(head, "\r\n"...)
	w := &requestWrite{done: make(chan struct{})}
	if len(head)+len(r.Body) < concurrentWriteBytes {
		n, err := c.Write(append(head, r.Body...))
		c.traffic.AddSent(n)
		w.end(err)
		return w
	}
	go func() {
		buffers := net.Buffers{head, r.Body}
		n, err := buffers.WriteTo(c.Conn)
		c.traffic.AddSent(int(n))
		w.end(err)
	}()
	return w
}

// ResetError reports a connection that failed before the end of the response. Err is the
// error of the write of the request.
type ResetError struct{ Err error }

func (e *ResetError) Error() string {
	return "connection failed before the end of the response: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Err }

// checkEnd returns *ResetError if the connection was reset, although a read has seen its
// end. A socket reports a reset once, to the read or to the write of the request, and the
// other one then sees a connection that has ended. checkEnd stops the write.
func (c *conn) checkEnd(written *requestWrite) error {
	if !written.ended() {
		_ = c.SetWriteDeadline(time.Unix(0, 1))
	}
	err := written.await()
	// EPIPE is the error of a reset that came after the replica's FIN.
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return &ResetError{Err: err}
}

const (
	// maxResponses bounds the responses read for one request, including the skipped
	// informational responses, responses to earlier requests and those without an owner.
	maxResponses = 4
	// maxResponseHeaderBytes bounds the header of a response: a faulty replica may
	// send bytes without end.
	maxResponseHeaderBytes = 32 << 10
	// maxSkippedBodyBytes bounds the body of a response to an earlier request.
	maxSkippedBodyBytes = 256 << 10
)

// ResponseTooLargeError reports a response header, or a response to an earlier
// request, of more than Limit bytes.
type ResponseTooLargeError struct {
	Part  string
	Limit int
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("%s exceeds %d bytes", e.Part, e.Limit)
}

// limitedReader fails after a number of bytes while limited is set. The bytes
// that the buffer above it reads ahead count as well. It also fails on a response that is
// not in the form of HTTP, before any byte of the read that shows so is passed on.
type limitedReader struct {
	reader    io.Reader
	traffic   Traffic
	limited   bool
	remaining int
	checker   http1.ResponseChecker
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limited && l.remaining <= 0 {
		return 0, &ResponseTooLargeError{Part: "response header", Limit: maxResponseHeaderBytes}
	}
	if err := l.checker.Err(); err != nil {
		return 0, err
	}
	n, err := l.reader.Read(p)
	l.traffic.AddReceived(n)
	l.remaining -= n
	if err := l.checker.Check(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

func (c *conn) readHeader(method string) (*http.Response, error) {
	c.limited.limited, c.limited.remaining = true, maxResponseHeaderBytes
	defer func() { c.limited.limited = false }()
	c.limited.checker = http1.NewResponseChecker(method)
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.limited.checker.Check(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

func (c *conn) read(method string, ownerOf func(*http.Response) Owner) (*http.Response, error) {
	for range maxResponses {
		res, err := c.readHeader(method)
		if err != nil {
			return nil, err
		}
		if holdsStatusLine(res) {
			return nil, &JoinedResponsesError{Status: res.Status}
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		switch owner := ownerOf(res); {
		case owner == OwnRequest:
			return res, nil
		case owner == UnknownOwner && !c.used:
			// A later response without an owner could be a copy of this one.
			res.Close = true
			return res, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBodyBytes+1))
		if err != nil {
			return nil, fmt.Errorf("upstream.read: %w", err)
		}
		if n > maxSkippedBodyBytes {
			return nil, &ResponseTooLargeError{Part: "response to an earlier request", Limit: maxSkippedBodyBytes}
		}
		if res.Close {
			return nil, errors.New("connection closed after the response to an earlier request")
		}
	}
	return nil, errors.New("too many informational responses or responses to earlier requests")
}

// JoinedResponsesError reports a header that was cut and into which another response
// runs, so that its fields are of two responses.
type JoinedResponsesError struct{ Status string }

func (e *JoinedResponsesError) Error() string {
	return fmt.Sprintf("another response begins in the header of the one with status %q", e.Status)
}

var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)

// holdsStatusLine reports whether a status line stands where the reason phrase or the
// value of a field is expected. In the name of a field it is a syntax error. The names
// in the field Trailer are in the response's Trailer.
func holdsStatusLine(res *http.Response) bool {
	if statusLine.MatchString(res.Status) {
		return true
	}
	for _, values := range res.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	for name := range res.Trailer {
		if statusLine.MatchString(name) {
			return true
		}
	}
	return false
}

// reusable reports whether the replica has neither closed the idle connection
// nor sent data on it.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}

// body is a response body. Close returns its connection to the pool if both
// the request and the response are complete.
type body struct {
	io.ReadCloser
	pool          *Pool
	conn          *conn
	res           *http.Response
	stopAfterFunc func() bool
	written       *requestWrite
	reachedEOF    bool
	closed        bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.endsWithConnection() {
		if err := b.conn.checkEnd(b.written); err != nil {
			return n, err
		}
	}
	if err == io.EOF {
		b.reachedEOF = true
	}
	return n, err
}

// endsWithConnection reports whether the end of the connection ends the body.
func (b *body) endsWithConnection() bool {
	return b.res.ContentLength < 0 && len(b.res.TransferEncoding) == 0 && b.ReadCloser != http.NoBody
}

func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	canceled := !b.stopAfterFunc()
	sent := b.written.ended() && b.written.err == nil
	if canceled || !b.reachedEOF || b.res.Close || !sent || b.conn.reader.Buffered() > 0 {
		err := b.conn.Close()
		_ = b.written.await() // the caller may reuse the request's memory
		return err
	}
	b.conn.used, b.conn.idleLimit = true, idleLimit(b.res.Header.Get("Keep-Alive"))
	b.pool.putIdle(b.conn)
	return nil
}

func idleLimit(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return min(idleTimeout, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return idleTimeout
}
