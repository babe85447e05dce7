// Package caller is the HTTP server for callers: chat completions, calls to
// plain services, health checks and metrics.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/fasthttp/router"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"briarreach/connlimit"
	"briarreach/http1"
	"briarreach/peer"
)

// Reply is the result of a Handler: *Error, *FullReply or *StreamReply.
type Reply interface{ reply() }

// FullReply is a response whose body is complete when the handler returns.
type FullReply struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // stored outcome of an earlier request with the same idempotency key
}

// StreamReply is a response whose Body is read while it is sent. An error other
// than io.EOF ends the connection without the end of the chunked body, so that
// the caller sees that the response is incomplete. Body is closed in any case.
type StreamReply struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

func (*Error) reply()       {}
func (*FullReply) reply()   {}
func (*StreamReply) reply() {}

// Handler serves one request. It may block. The context ends when the time for a
// shutdown is up, with the cause *ShutdownError; until then, requests in flight
// may finish. The body of a StreamReply must end then, too.
type Handler func(ctx context.Context, r Request) Reply

// ReadyCheck returns nil, or an error that says why the process can't serve.
type ReadyCheck func() error

// Server is the HTTP server for callers.
type Server struct {
	handler  Handler
	ready    ReadyCheck
	http     *fasthttp.Server
	listener *connlimit.Listener
	refusals *refusals
	done     chan struct{}
	closed   atomic.Bool // whether Close gave up waiting for open requests

	requestsCtx    context.Context
	cancelRequests context.CancelCauseFunc

	mu     sync.Mutex
	active map[net.Conn]struct{} // connections with a request that is not answered
}

// ShutdownError is the cause with which the contexts of requests end when the time
// for a shutdown is up.
type ShutdownError struct{}

func (e *ShutdownError) Error() string { return "shutting down" }

// Bounds of the wait for the responses to requests that are ended by a shutdown.
const (
	lastResponsesTimeout = time.Second
	responsePollInterval = 5 * time.Millisecond
)

// shutdownRetryAfter is the Retry-After of requests that are refused by a shutdown.
const shutdownRetryAfter = time.Second

type options struct {
	listen         netip.AddrPort
	maxBodyBytes   int
	maxHeaderBytes int
	readTimeout    time.Duration
	writeTimeout   time.Duration
	maxConnections int
	maxPerAddress  int
	memoryBytes    int64
	stallTimeout   time.Duration
	metrics        *metrics.Set
	log            log.Interface
}

// Option changes a default of New.
type Option func(*options)

// WithListen sets the listen address. With port 0 the system chooses a port.
func WithListen(a netip.AddrPort) Option { return func(o *options) { o.listen = a } }

// WithLimits bounds the body, the header and the time to read a request.
func WithLimits(maxBodyBytes, maxHeaderBytes int, readTimeout time.Duration) Option {
	return func(o *options) {
		o.maxBodyBytes, o.maxHeaderBytes, o.readTimeout = maxBodyBytes, maxHeaderBytes, readTimeout
	}
}

// WithWriteTimeout bounds the time to write the whole response.
func WithWriteTimeout(d time.Duration) Option { return func(o *options) { o.writeTimeout = d } }

// WithMaxConnections bounds the connections of the server and those from one
// client address; 0 for perAddress means no bound per address. Beyond the total,
// connections without progress are closed for new ones (see WithMemory).
func WithMaxConnections(total, perAddress int) Option {
	return func(o *options) { o.maxConnections, o.maxPerAddress = total, perAddress }
}

// WithMemory bounds the memory that requests and their answers hold. When there is no
// room, the connections that have made no progress for longest are closed, those that
// did for less than stallTimeout excepted, and then requests are refused.
func WithMemory(limit int64, stallTimeout time.Duration) Option {
	return func(o *options) { o.memoryBytes, o.stallTimeout = limit, stallTimeout }
}

// WithLog sets where refusals for a lack of room are logged.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// WithMetrics adds the metrics of a set to /metrics.
func WithMetrics(set *metrics.Set) Option { return func(o *options) { o.metrics = set } }

// New starts the server.
func New(handler Handler, ready ReadyCheck, opts ...Option) (*Server, error) {
	o := options{
		listen:         netip.MustParseAddrPort("127.0.0.1:0"),
		maxBodyBytes:   4 << 20,
		maxHeaderBytes: 16 << 10,
		readTimeout:    30 * time.Second,
		writeTimeout:   10 * time.Minute,
		maxConnections: 20_000,
		memoryBytes:    256 << 20,
		stallTimeout:   5 * time.Second,
		metrics:        metrics.NewSet(),
		log:            &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
	}
	for _, opt := range opts {
		opt(&o)
	}
	listener, err := net.Listen("tcp", o.listen.String())
	if err != nil {
		return nil, fmt.Errorf("caller.New: %w", err)
	}
	s := &Server{handler: handler, ready: ready, refusals: newRefusals(o.metrics, o.log), done: make(chan struct{}), active: make(map[net.Conn]struct{})}
	s.listener = connlimit.New(sendBufferListener{listener},
		connlimit.WithMemory(o.memoryBytes, o.stallTimeout),
		connlimit.WithConnections(o.maxConnections, o.maxPerAddress),
		connlimit.WithRequestLimits(o.maxHeaderBytes, o.maxBodyBytes),
		connlimit.WithOnRefused(func(r connlimit.Reason) { s.refusals.record(string(r)) }),
		connlimit.WithResponse(tooManyConnections()))
	o.metrics.NewGauge("briarreach_caller_bytes_held", func() float64 { return float64(s.listener.Held()) })
	s.requestsCtx, s.cancelRequests = context.WithCancelCause(context.Background())
	routes := router.New()
	routes.HandleMethodNotAllowed = true
	routes.NotFound = func(ctx *fasthttp.RequestCtx) {
		NewRefusal(http.StatusNotFound, UnknownRoute, "no such path").write(ctx)
	}
	routes.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		NewRefusal(http.StatusMethodNotAllowed, UnknownRoute, "method not allowed").write(ctx)
	}
	routes.POST("/v1/chat/completions", s.serveChat)
	routes.ANY("/v1/services/{service}/{path:*}", s.serveService)
	routes.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	routes.GET("/readyz", s.serveReady)
	routes.GET("/metrics", func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; version=0.0.4")
		o.metrics.WritePrometheus(ctx)
		metrics.WriteProcessMetrics(ctx)
		if connlimit.Of(ctx).Serve(int64(cap(ctx.Response.Body()))) != nil {
			noRoom().write(ctx)
		}
	})
	s.http = &fasthttp.Server{
		Name:               "briarreach",
		Handler:            routes.Handler,
		ErrorHandler:       s.serveProtocolError,
		MaxRequestBodySize: o.maxBodyBytes,
		ReadBufferSize:     o.maxHeaderBytes,
		ReadTimeout:        o.readTimeout,
		WriteTimeout:       o.writeTimeout,
		WriteBufferSize:    2 << 10,
		IdleTimeout:        2 * time.Minute,
		// The listener bounds the connections. Those that it closes for others end
		// a moment later.
		Concurrency:                  2 * o.maxConnections,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true, // bodies are passed on as received
		ReduceMemoryUsage:            true, // releases the read buffer while a response is written
		Logger:                       discardLogger{},
		ConnState:                    s.trackActive,
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

// sendBufferBytes bounds the kernel's send buffer for a slow reader; without it
// the buffer grows to megabytes. It allows 320 KB/s at a round trip of 50 ms.
const sendBufferBytes = 16 << 10

// sendBufferListener sets the send buffer size of accepted connections.
type sendBufferListener struct{ net.Listener }

// Accept implements net.Listener.
func (l sendBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetWriteBuffer(sendBufferBytes); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops accepting connections and waits until open requests have ended or
// the context is done. It then ends the contexts of the requests that are left and
// waits a moment until they are answered. Requests that are read after that, on the
// connections that are left, are refused.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.closed.Store(err != nil)
	s.cancelRequests(&ShutdownError{})
	if err != nil {
		s.awaitResponses()
		return fmt.Errorf("caller.Close: %w", err)
	}
	<-s.done
	return nil
}

// awaitResponses waits until all requests in progress are answered, or for
// lastResponsesTimeout.
func (s *Server) awaitResponses() {
	for deadline := time.Now().Add(lastResponsesTimeout); s.activeCount() > 0 && time.Now().Before(deadline); {
		time.Sleep(responsePollInterval)
	}
}

func (s *Server) trackActive(c net.Conn, state fasthttp.ConnState) {
	s.listener.ConnState(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == fasthttp.StateActive {
		s.active[c] = struct{}{}
	} else {
		delete(s.active, c)
	}
}

func (s *Server) activeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	if err := s.ready(); err != nil {
		NewRefusal(http.StatusServiceUnavailable, NotReady, "%v", err).write(ctx)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serveChat(ctx *fasthttp.RequestCtx) {
	envelope, fault := s.readEnvelope(ctx)
	if fault != nil {
		s.write(ctx, &envelope, fault)
		return
	}
	chat, fault := ParseChat(envelope)
	if fault != nil {
		s.write(ctx, &envelope, fault)
		return
	}
	s.write(ctx, &envelope, s.handler(s.requestsCtx, chat))
}

func (s *Server) serveService(ctx *fasthttp.RequestCtx) {
	envelope, fault := s.readEnvelope(ctx)
	if fault != nil {
		s.write(ctx, &envelope, fault)
		return
	}
	path, _ := ctx.UserValue("path").(string)
	service, _ := ctx.UserValue("service").(string)
	s.write(ctx, &envelope, s.handler(s.requestsCtx, &ServiceRequest{
		Envelope:    envelope,
		Service:     strings.Clone(service),
		Method:      string(ctx.Method()),
		Path:        "/" + strings.Clone(path),
		ContentType: string(ctx.Request.Header.ContentType()),
	}))
}

// readEnvelope reads the common parts of a request. It copies the header, since
// fasthttp reuses its buffers, and takes over the body.
func (s *Server) readEnvelope(ctx *fasthttp.RequestCtx) (Envelope, *Error) {
	e := Envelope{RequestID: ulid.Make().String()}
	if s.closed.Load() {
		refusal := NewRefusal(http.StatusServiceUnavailable, NotReady, "%v", &ShutdownError{})
		refusal.RetryAfter = shutdownRetryAfter
		return e, refusal
	}
	bearer, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok || bearer == "" {
		return e, NewRefusal(http.StatusUnauthorized, Unauthorized, "the Authorization header has no bearer key")
	}
	e.APIKey = bearer
	e.IdempotencyKey = string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(e.IdempotencyKey) > MaxIdempotencyKeyBytes {
		return e, NewRefusal(http.StatusBadRequest, InvalidRequest, "Idempotency-Key is longer than %d bytes", MaxIdempotencyKeyBytes)
	}
	if e.IdempotencyKey == "" {
		e.IdempotencyKey, e.IdempotencyKeyGenerated = e.RequestID, true
	}
	fault := s.takeBody(ctx, &e)
	return e, fault
}

// takeBody takes the body of a request out of fasthttp's buffers and charges what a
// handler holds of it.
func (s *Server) takeBody(ctx *fasthttp.RequestCtx, e *Envelope) *Error {
	body := ctx.PostBody()
	size := len(body)
	// fasthttp's buffer may have been used for a larger body before.
	oversized := cap(body) > 2*size
	held := cap(body)
	if oversized {
		held = size
	}
	if err := connlimit.Of(ctx).Serve(int64(held + bodyCopies*size)); err != nil {
		return noRoom()
	}
	if oversized {
		e.Body = append([]byte(nil), body...)
		ctx.Request.ResetBody()
		return nil
	}
	e.Body = ctx.Request.SwapBody(nil)
	return nil
}

// bodyCopies is the number of copies of a body, besides the body itself, that exist
// while a request waits for its answer: the prompt and the message to the agent.
const bodyCopies = 2

// memoryRetryAfter is the Retry-After of requests that are refused for lack of room.
const memoryRetryAfter = time.Second

// write sends a reply. The handler holds the request's body no longer: instead of it,
// the body of the reply is charged until it is written.
func (s *Server) write(ctx *fasthttp.RequestCtx, envelope *Envelope, reply Reply) {
	reply = refuseInvalidStatus(reply)
	held := 0
	if r, ok := reply.(*FullReply); ok {
		held = len(r.Body)
	}
	if err := connlimit.Of(ctx).Hold(int64(held)); err != nil {
		reply = NewFailure(http.StatusBadGateway, IncompleteAnswer, peer.ExecutionRan, "no memory for the answer")
	}
	switch r := reply.(type) {
	case *Error:
		r.RequestID = envelope.RequestID
		r.write(ctx)
	case *FullReply:
		ctx.SetStatusCode(r.Status)
		ctx.SetContentType(r.ContentType)
		ctx.Response.SetBodyRaw(r.Body) // without a copy
		if r.Replayed {
			ctx.Response.Header.Set("Idempotent-Replayed", "true")
		}
	case *StreamReply:
		ctx.SetStatusCode(r.Status)
		ctx.SetContentType(r.ContentType)
		ctx.Response.Header.Set("Cache-Control", "no-store")
		ctx.SetBodyStream(r.Body, -1)
	}
	if s.closed.Load() {
		ctx.SetConnectionClose()
	}
	ctx.Response.Header.Set("X-Request-Id", envelope.RequestID)
	if envelope.IdempotencyKey != "" {
		ctx.Response.Header.Set("Idempotency-Key", envelope.IdempotencyKey)
	}
}

// refuseInvalidStatus returns the reply, or a failure in place of one without a final
// status of HTTP: the message of an agent and a stored response may lack it, and fasthttp
// sends 200 for 0.
func refuseInvalidStatus(reply Reply) Reply {
	status := 0
	switch r := reply.(type) {
	case *FullReply:
		status = r.Status
	case *StreamReply:
		status = r.Status
	default:
		return reply
	}
	err := http1.CheckFinalStatus(status)
	if err == nil {
		return reply
	}
	if r, ok := reply.(*StreamReply); ok {
		_ = r.Body.Close()
	}
	return NewFailure(http.StatusBadGateway, OutcomeUnknown, peer.ExecutionUnknown, "%v", err)
}

func noRoom() *Error {
	refusal := NewRefusal(http.StatusServiceUnavailable, Overloaded, "no memory for the request")
	refusal.RetryAfter = memoryRetryAfter
	return refusal
}

// serveProtocolError responds to requests that fasthttp could not read.
func (s *Server) serveProtocolError(ctx *fasthttp.RequestCtx, err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	var network *net.OpError
	switch {
	case connlimit.Of(ctx).Refused(): // counted by the listener
		noRoom().write(ctx)
	case errors.As(err, &headerTooLarge):
		s.refusals.record("header")
		NewRefusal(http.StatusRequestHeaderFieldsTooLarge, TooLarge, "headers are too large").write(ctx)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		s.refusals.record("body")
		NewRefusal(http.StatusRequestEntityTooLarge, TooLarge, "body is too large").write(ctx)
	case errors.As(err, &network) && network.Timeout():
		s.refusals.record("timeout")
		NewRefusal(http.StatusRequestTimeout, InvalidRequest, "request was not received in time").write(ctx)
	default:
		NewRefusal(http.StatusBadRequest, InvalidRequest, "malformed request").write(ctx)
	}
}

// discardLogger drops fasthttp's own log lines, since they contain data sent by
// callers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
