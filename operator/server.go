package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"briarreach/config"
	"briarreach/connlimit"
	"briarreach/table"
	"briarreach/timeline"
)

const (
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	maxHistory     = 500
	maxConnections = 256
	// patchCopies is how often a patch exists while it is handled: as sent, decoded
	// and as a new document.
	patchCopies = 3
)

type options struct {
	memoryBytes  int64
	stallTimeout time.Duration
	onRefused    func(reason string)
}

// Option changes a default of New.
type Option func(*options)

// WithMemory bounds the memory that requests hold, by default 16 MiB. A connection
// without progress for stallTimeout, by default 5 s, is closed when others need its room.
func WithMemory(limit int64, stallTimeout time.Duration) Option {
	return func(o *options) { o.memoryBytes, o.stallTimeout = limit, stallTimeout }
}

// WithOnRefused sets a function that is called when a request or connection is refused
// for lack of room. It must not block.
func WithOnRefused(f func(reason string)) Option { return func(o *options) { o.onRefused = f } }

// Server is the operators' HTTP server.
type Server struct {
	backend  Backend
	http     *fasthttp.Server
	listener *connlimit.Listener
	done     chan struct{}
}

// New starts the server at the address; with port 0, the system picks a port.
func New(backend Backend, listen netip.AddrPort, opts ...Option) (*Server, error) {
	o := options{memoryBytes: 16 << 20, stallTimeout: 5 * time.Second, onRefused: func(string) {}}
	for _, opt := range opts {
		opt(&o)
	}
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("operator.New: %w", err)
	}
	s := &Server{backend: backend, done: make(chan struct{}), listener: connlimit.New(listener,
		connlimit.WithMemory(o.memoryBytes, o.stallTimeout),
		connlimit.WithConnections(maxConnections, 0),
		connlimit.WithRequestLimits(maxHeaderBytes, maxBodyBytes),
		connlimit.WithOnRefused(func(r connlimit.Reason) { o.onRefused(string(r)) }))}
	routes := router.New()
	routes.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeResponse(ctx, nil, &Error{Status: http.StatusNotFound, Type: NotFound, Message: "no such path"})
	}
	routes.GET(ConfigPath, s.authorized(Read, s.config))
	routes.POST(PatchPath, s.authorized(Write, s.patch))
	routes.GET(HistoryPath, s.authorized(Read, s.history))
	routes.GET(StatusPath, s.authorized(Read, s.status))
	routes.GET(BudgetsPath, s.authorized(Read, s.budgets))
	routes.GET(TimelinePath, s.authorized(Read, s.timeline))
	s.http = &fasthttp.Server{
		Name:                  "briarreach",
		Handler:               routes.Handler,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           RequestTimeout,
		WriteTimeout:          2 * RequestTimeout,
		IdleTimeout:           time.Minute,
		Concurrency:           2 * maxConnections, // the listener bounds the connections
		ReduceMemoryUsage:     true,               // which connlimit expects of idle connections
		ConnState:             s.listener.ConnState,
		ErrorHandler:          writeProtocolError,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close waits for open requests and stops the server. The context bounds the
// wait.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("operator.Close: %w", err)
	}
	<-s.done
	return nil
}

type handlerFunc func(ctx context.Context, r *fasthttp.RequestCtx) (any, error)

// authorized returns a handler that calls serve if the operator's key has the
// required role.
func (s *Server) authorized(required Role, serve handlerFunc) fasthttp.RequestHandler {
	return func(r *fasthttp.RequestCtx) {
		if err := connlimit.Of(r).Serve(int64(patchCopies * len(r.PostBody()))); err != nil {
			writeResponse(r, nil, noRoom())
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), RequestTimeout)
		defer cancel()
		secret, _ := strings.CutPrefix(string(r.Request.Header.Peek("Authorization")), "Bearer ")
		role, err := s.backend.Authorize(ctx, secret)
		if err != nil {
			writeResponse(r, nil, err)
			return
		}
		if required == Write && role != Write {
			writeResponse(r, nil, &Error{Status: http.StatusForbidden, Type: Forbidden, Message: "the key may only read"})
			return
		}
		answer, err := serve(ctx, r)
		writeResponse(r, answer, err)
	}
}

func (s *Server) config(context.Context, *fasthttp.RequestCtx) (any, error) {
	document := s.backend.Document()
	if document == nil {
		return nil, &Error{Status: http.StatusServiceUnavailable, Type: Unavailable, Message: "the entry has no configuration"}
	}
	return document, nil
}

func (s *Server) patch(ctx context.Context, r *fasthttp.RequestCtx) (any, error) {
	p, err := config.DecodePatch(r.PostBody())
	if err != nil {
		return nil, err
	}
	if p.ID == "" {
		p.ID = ulid.Make().String()
	}
	return s.backend.Patch(ctx, p)
}

func (s *Server) history(ctx context.Context, r *fasthttp.RequestCtx) (any, error) {
	after, err := queryNumber(r, "after")
	if err != nil {
		return nil, err
	}
	limit, err := queryNumber(r, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > maxHistory {
		limit = maxHistory
	}
	return s.backend.History(ctx, after, int(limit))
}

func (s *Server) status(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	return s.backend.Status(ctx), nil
}

func (s *Server) budgets(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	return s.backend.Budgets(ctx)
}

func (s *Server) timeline(ctx context.Context, r *fasthttp.RequestCtx) (any, error) {
	limit, err := queryNumber(r, "limit")
	if err != nil {
		return nil, err
	}
	configNumber, err := queryNumber(r, "config_number")
	if err != nil {
		return nil, err
	}
	return s.backend.Timeline(ctx, timeline.Filter{
		RequestID:    string(r.QueryArgs().Peek("request_id")),
		Workspace:    string(r.QueryArgs().Peek("workspace")),
		Move:         string(r.QueryArgs().Peek("move")),
		ConfigNumber: configNumber,
		Limit:        int(min(limit, timeline.RecorderCapacity)),
	}), nil
}

func queryNumber(r *fasthttp.RequestCtx, name string) (uint64, error) {
	text := string(r.QueryArgs().Peek(name))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, &Error{Status: http.StatusBadRequest, Type: Malformed, Message: name + " is not a number"}
	}
	return n, nil
}

func noRoom() *Error {
	return &Error{Status: http.StatusServiceUnavailable, Type: Unavailable, Message: "no memory for the request"}
}

// writeProtocolError responds to requests that fasthttp could not read.
func writeProtocolError(r *fasthttp.RequestCtx, err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case connlimit.Of(r).Refused():
		writeResponse(r, nil, noRoom())
	case errors.As(err, &headerTooLarge):
		writeResponse(r, nil, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Type: Malformed, Message: "headers are too large"})
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeResponse(r, nil, &Error{Status: http.StatusRequestEntityTooLarge, Type: Malformed, Message: "body is too large"})
	default:
		writeResponse(r, nil, &Error{Status: http.StatusBadRequest, Type: Malformed, Message: "malformed request"})
	}
}

func writeResponse(r *fasthttp.RequestCtx, answer any, err error) {
	r.SetContentType("application/json")
	if err != nil {
		apiErr := toError(err)
		r.SetStatusCode(apiErr.Status)
		answer = errorResponse{Error: apiErr}
	}
	body, err := json.Marshal(answer)
	if err == nil {
		err = connlimit.Of(r).Hold(int64(len(body)))
	}
	if err != nil {
		r.SetStatusCode(http.StatusInternalServerError)
		return
	}
	r.Response.SetBodyRaw(body)
}

// toError maps an error to an HTTP status and an error type.
func toError(err error) *Error {
	var known *Error
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	var reused *config.ReusedIDError
	var malformed *config.DecodeError
	var size *config.SizeError
	var ambiguous *table.AmbiguousError
	var unavailable *table.UnavailableError
	var throttled *table.ThrottledError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &conflict):
		return newError(http.StatusConflict, Conflict, err, conflict)
	case errors.As(err, &invalid):
		return newError(http.StatusUnprocessableEntity, Invalid, err, invalid)
	case errors.As(err, &reused):
		return newError(http.StatusConflict, Conflict, err, nil)
	case errors.As(err, &malformed), errors.As(err, &size):
		return newError(http.StatusBadRequest, Malformed, err, nil)
	case errors.As(err, &ambiguous):
		return newError(http.StatusGatewayTimeout, Ambiguous, err, nil)
	case errors.As(err, &unavailable), errors.As(err, &throttled), errors.Is(err, context.DeadlineExceeded):
		return newError(http.StatusServiceUnavailable, Unavailable, err, nil)
	default:
		return newError(http.StatusInternalServerError, Internal, err, nil)
	}
}

func newError(status int, kind ErrorType, err error, details any) *Error {
	apiErr := &Error{Status: status, Type: kind, Message: err.Error()}
	if details != nil {
		// Conflict and invalid errors are plain data: encoding can't fail.
		apiErr.Details, _ = json.Marshal(details)
	}
	return apiErr
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
