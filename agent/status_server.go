package agent

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"briarreach/connlimit"
)

const (
	maxStatusConnections = 32
	maxStatusHeaderBytes = 4 << 10
	maxStatusBodyBytes   = 1 << 10
	// maxStatusMemoryBytes allows all connections a request.
	maxStatusMemoryBytes = 4 << 20
	statusStallTimeout   = time.Second
)

// statusServer serves health, readiness and metrics.
type statusServer struct {
	http     *fasthttp.Server
	listener *connlimit.Listener
	done     chan struct{}
}

func newStatusServer(a *Agent, listen netip.AddrPort) (*statusServer, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, fmt.Errorf("agent.newStatusServer: %w", err)
	}
	routes := router.New()
	routes.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	routes.GET("/readyz", func(ctx *fasthttp.RequestCtx) {
		if err := a.Ready(); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	})
	routes.GET("/metrics", func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; version=0.0.4")
		a.metrics.WritePrometheus(ctx)
		metrics.WriteProcessMetrics(ctx)
	})
	s := &statusServer{done: make(chan struct{}), listener: connlimit.New(listener,
		connlimit.WithMemory(maxStatusMemoryBytes, statusStallTimeout),
		connlimit.WithConnections(maxStatusConnections, 0),
		connlimit.WithRequestLimits(maxStatusHeaderBytes, maxStatusBodyBytes),
		connlimit.WithOnRefused(func(r connlimit.Reason) {
			a.incrementCounter(`briarreach_agent_status_refused_total{reason="` + string(r) + `"}`)
		}))}
	s.http = &fasthttp.Server{
		Handler: routes.Handler, Name: "briarreach", NoDefaultServerHeader: true,
		ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, CloseOnShutdown: true,
		Concurrency:        2 * maxStatusConnections, // the listener bounds the connections
		ReadBufferSize:     maxStatusHeaderBytes,
		ReduceMemoryUsage:  true,
		ConnState:          s.listener.ConnState,
		MaxRequestBodySize: maxStatusBodyBytes,
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

func (s *statusServer) close() error {
	err := s.http.Shutdown()
	<-s.done
	return err
}
