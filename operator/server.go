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
	"briarreach/table"
	"briarreach/timeline"
)

const (
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	maxHistory     = 500
)

// Server is the operators' HTTP server.
type Server struct {
	backend  Backend
	http     *fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// New starts the server at the address; port 0 picks one.
func New(backend Backend, listen netip.AddrPort) (*Server, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("operator.New: %w", err)
	}
	s := &Server{backend: backend, listener: listener, done: make(chan struct{})}
	routes := router.New()
	routes.NotFound = func(ctx *fasthttp.RequestCtx) {
		write(ctx, nil, &Error{Status: http.StatusNotFound, Type: NotFound, Message: "no such path"})
	}
	routes.GET(ConfigPath, s.handle(Read, s.config))
	routes.POST(PatchPath, s.handle(Write, s.patch))
	routes.GET(HistoryPath, s.handle(Read, s.history))
	routes.GET(StatusPath, s.handle(Read, s.status))
	routes.GET(BudgetsPath, s.handle(Read, s.budgets))
	routes.GET(TimelinePath, s.handle(Read, s.timeline))
	s.http = &fasthttp.Server{
		Name:                  "briarreach",
		Handler:               routes.Handler,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           RequestTimeout,
		WriteTimeout:          2 * RequestTimeout,
		IdleTimeout:           time.Minute,
		Concurrency:           256,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discard{},
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the server after the open requests.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("operator.Close: %w", err)
	}
	<-s.done
	return nil
}

type endpoint func(ctx context.Context, r *fasthttp.RequestCtx) (any, error)

// handle checks the operator's key before anything else.
func (s *Server) handle(needed Role, serve endpoint) fasthttp.RequestHandler {
	return func(r *fasthttp.RequestCtx) {
		ctx, cancel := context.WithTimeout(context.Background(), RequestTimeout)
		defer cancel()
		secret, _ := strings.CutPrefix(string(r.Request.Header.Peek("Authorization")), "Bearer ")
		role, err := s.backend.Authorize(ctx, secret)
		if err != nil {
			write(r, nil, err)
			return
		}
		if needed == Write && role != Write {
			write(r, nil, &Error{Status: http.StatusForbidden, Type: Forbidden, Message: "the key may only read"})
			return
		}
		answer, err := serve(ctx, r)
		write(r, answer, err)
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
	after, err := number(r, "after")
	if err != nil {
		return nil, err
	}
	limit, err := number(r, "limit")
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
	limit, err := number(r, "limit")
	if err != nil {
		return nil, err
	}
	configNumber, err := number(r, "config_number")
	if err != nil {
		return nil, err
	}
	return s.backend.Timeline(ctx, timeline.Filter{
		RequestID:    string(r.QueryArgs().Peek("request_id")),
		Workspace:    string(r.QueryArgs().Peek("workspace")),
		Move:         string(r.QueryArgs().Peek("move")),
		ConfigNumber: configNumber,
		Limit:        int(min(limit, timeline.Capacity)),
	}), nil
}

func number(r *fasthttp.RequestCtx, name string) (uint64, error) {
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

func write(r *fasthttp.RequestCtx, answer any, err error) {
	r.SetContentType("application/json")
	if err != nil {
		fault := errorOf(err)
		r.SetStatusCode(fault.Status)
		answer = errorBody{Error: fault}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		r.SetStatusCode(http.StatusInternalServerError)
		return
	}
	r.SetBody(body)
}

// errorOf gives each failure its status and type.
func errorOf(err error) *Error {
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
		return fault(http.StatusConflict, Conflict, err, conflict)
	case errors.As(err, &invalid):
		return fault(http.StatusUnprocessableEntity, Invalid, err, invalid)
	case errors.As(err, &reused):
		return fault(http.StatusConflict, Conflict, err, nil)
	case errors.As(err, &malformed), errors.As(err, &size):
		return fault(http.StatusBadRequest, Malformed, err, nil)
	case errors.As(err, &ambiguous):
		return fault(http.StatusGatewayTimeout, Ambiguous, err, nil)
	case errors.As(err, &unavailable), errors.As(err, &throttled), errors.Is(err, context.DeadlineExceeded):
		return fault(http.StatusServiceUnavailable, Unavailable, err, nil)
	default:
		return fault(http.StatusInternalServerError, Internal, err, nil)
	}
}

func fault(status int, kind ErrorType, err error, details any) *Error {
	e := &Error{Status: status, Type: kind, Message: err.Error()}
	if details != nil {
		// A conflict or an invalid patch is plain data.
		e.Details, _ = json.Marshal(details)
	}
	return e
}

type discard struct{}

func (discard) Printf(string, ...any) {}
