// Package roundtrip sends one HTTP request to a target, without retries. The
// type of its errors says whether the request may have been executed.
package roundtrip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"briarreach/http1"
)

// NotSentError reports that no byte of the request left the process: the
// request was not executed.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Err) }

func (e *NotSentError) Unwrap() error { return e.Err }

// AmbiguousError reports a failure after at least a part of the request was
// sent and before its response: the request may have been executed.
type AmbiguousError struct{ Err error }

func (e *AmbiguousError) Error() string { return fmt.Sprintf("request may have run: %v", e.Err) }

func (e *AmbiguousError) Unwrap() error { return e.Err }

// StatusError reports an unexpected response status. Body is the beginning of
// the response body.
type StatusError struct {
	Status      int
	ContentType string
	Body        []byte
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered with status %d: %.200s", e.Status, e.Body)
}

// URLError reports a target URL that cannot be used.
type URLError struct {
	URL string
	Err error
}

func (e *URLError) Error() string {
	return fmt.Sprintf("target URL %q: http://host:port[/path] is accepted: %v", e.URL, e.Err)
}

func (e *URLError) Unwrap() error { return e.Err }

type schemeError struct{ scheme string }

func (e *schemeError) Error() string { return fmt.Sprintf("scheme %q", e.scheme) }

// Limits bounds an exchange. HeaderTimeout runs from the last byte of the request
// to the response header. The header and the read buffer are at most BufferSize
// bytes. ReceiveBuffer is the socket's receive buffer in bytes; 0 keeps the
// system's default.
type Limits struct {
	ConnectTimeout, WriteTimeout, HeaderTimeout time.Duration
	BufferSize                                  int
	ReceiveBuffer                               int
}

// Endpoint is the parsed URL of a target.
type Endpoint struct {
	Address string // host:port
	BaseURL string // URL without a final slash
	limits  Limits
}

// New parses the URL of a target, an http URL with a port.
func New(target string, limits Limits) (*Endpoint, error) {
	u, err := url.Parse(target)
	if err != nil {
		return nil, &URLError{URL: target, Err: err}
	}
	if u.Scheme != "http" {
		return nil, &URLError{URL: target, Err: &schemeError{u.Scheme}}
	}
	if _, _, err := net.SplitHostPort(u.Host); err != nil {
		return nil, &URLError{URL: target, Err: err}
	}
	base := strings.TrimRight("http://"+u.Host+u.EscapedPath(), "/")
	return &Endpoint{Address: u.Host, BaseURL: base, limits: limits}, nil
}

// Exchange is a response whose body is read by Read. Close must be called.
type Exchange struct {
	Response      *fasthttp.Response
	request       *fasthttp.Request
	conn          *conn
	stopAfterFunc func() bool
	closeOnce     sync.Once
}

// Do sends the request on a new connection and returns when the response header
// has arrived. Cancelling ctx closes the connection, before and after the
// header.
//
// Each exchange has its own connection for two reasons: on a reused connection
// that the target has just closed, a request that was never executed would look
// as if it might have been, and closing the connection is what tells an engine to
// stop. The agent runs next to its target, so a connection costs some tens of
// microseconds.
//
// Do takes ownership of the request and releases it.
func (e *Endpoint) Do(ctx context.Context, request *fasthttp.Request) (*Exchange, error) {
	x := &Exchange{request: request, Response: fasthttp.AcquireResponse()}
	if err := ctx.Err(); err != nil {
		x.Close()
		return nil, &NotSentError{Err: err}
	}
	request.SetConnectionClose()
	client := &fasthttp.HostClient{
		Addr:                      e.Address,
		NoDefaultUserAgentHeader:  true,
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadBufferSize:            e.limits.BufferSize,
		WriteBufferSize:           1 << 10,
		ReadTimeout:               e.limits.HeaderTimeout,
		WriteTimeout:              e.limits.WriteTimeout,
		StreamResponseBody:        true,
		DisablePathNormalizing:    true,
		Dial: func(address string) (net.Conn, error) {
			dialer := net.Dialer{Timeout: e.limits.ConnectTimeout}
			c, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			if e.limits.ReceiveBuffer > 0 {
				// Best effort: a larger buffer only delays the back pressure.
				_ = c.(*net.TCPConn).SetReadBuffer(e.limits.ReceiveBuffer)
			}
			x.conn = &conn{Conn: c, checker: http1.NewResponseChecker(string(request.Header.Method()))}
			x.stopAfterFunc = context.AfterFunc(ctx, func() { _ = c.Close() })
			return x.conn, nil
		},
	}
	if err := client.Do(request, x.Response); err != nil {
		sent := x.conn != nil && x.conn.writtenBytes.Load() > 0
		x.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		if sent {
			return nil, &AmbiguousError{Err: err}
		}
		return nil, &NotSentError{Err: err}
	}
	return x, nil
}

// SetReadDeadline bounds the next reads of the body.
func (x *Exchange) SetReadDeadline(t time.Time) error {
	if err := x.conn.SetReadDeadline(t); err != nil {
		return fmt.Errorf("roundtrip.SetReadDeadline: %w", err)
	}
	return nil
}

// Read reads from the body. It must not be called after Close.
func (x *Exchange) Read(p []byte) (int, error) {
	if stream := x.Response.BodyStream(); stream != nil {
		return stream.Read(p)
	}
	return 0, io.EOF // a status without a body, for example 204
}

// CloseWrite closes the sending side of the connection, which servers treat as
// a cancellation while they respond.
func (x *Exchange) CloseWrite() error {
	if err := x.conn.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		return fmt.Errorf("roundtrip.CloseWrite: %w", err)
	}
	return nil
}

// Drain discards the rest of the response until the connection ends, and reports
// whether the target closed it. Interrupt ends Drain. Nothing can be read
// afterwards.
func (x *Exchange) Drain() bool {
	if err := x.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, x.conn.Conn)
	return err == nil || errors.Is(err, syscall.ECONNRESET)
}

// Interrupt closes the connection, which ends a Read or Drain in another
// goroutine.
func (x *Exchange) Interrupt() {
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// Close closes the connection and releases the buffers. It must not be called
// while a Read is in progress; Interrupt may.
func (x *Exchange) Close() {
	x.closeOnce.Do(func() {
		if x.stopAfterFunc != nil {
			x.stopAfterFunc()
		}
		x.Interrupt()
		// The connection is closed, so there is nothing left to report.
		_ = x.Response.CloseBodyStream()
		fasthttp.ReleaseResponse(x.Response)
		fasthttp.ReleaseRequest(x.request)
		x.Response, x.request = nil, nil
	})
}

// TooLargeError reports a response body of more than Limit bytes.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("response body of more than %d bytes", e.Limit)
}

// ReadAll reads the rest of the body. It fails with *TooLargeError if that has
// more than limit bytes.
func (x *Exchange) ReadAll(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x, int64(limit)+1))
	switch {
	case len(body) > limit:
		return body[:limit], &TooLargeError{limit}
	case err != nil:
		return body, fmt.Errorf("roundtrip.ReadAll: %w", err)
	}
	return body, nil
}

// conn counts the bytes that the operating system has accepted for sending, and checks
// the response: fasthttp takes status 000 for 200 and accepts broken headers.
type conn struct {
	net.Conn
	writtenBytes atomic.Int64
	checker      http1.ResponseChecker
}

func (c *conn) Read(p []byte) (int, error) {
	return c.checker.Read(c.Conn, p)
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writtenBytes.Add(int64(n))
	return n, err
}
