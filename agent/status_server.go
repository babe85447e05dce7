package agent

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// statusServer serves health, readiness and metrics.
type statusServer struct {
	http     *fasthttp.Server
	listener net.Listener
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
	s := &statusServer{listener: listener, done: make(chan struct{}), http: &fasthttp.Server{
		Handler: routes.Handler, Name: "briarreach", NoDefaultServerHeader: true,
		ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, Concurrency: 32, CloseOnShutdown: true,
		MaxRequestBodySize: 1 << 10,
	}}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

func (s *statusServer) close() error {
	err := s.http.Shutdown()
	<-s.done
	return err
}
