package standin

import (
	"encoding/json"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// TargetFault is a fault of an engine or service stand-in. The conditions are
// combined; a zero condition always holds. The effects of all faults whose
// conditions hold are combined. Shares are between 0 and 1.
type TargetFault struct {
	// Conditions. Route is a model name for an engine and a path for a service.
	// AboveLoad is compared with running requests divided by slots. AfterMS
	// counts from the time at which the fault was set.
	Version   string  `json:"version,omitempty"`
	Route     string  `json:"route,omitempty"`
	AboveLoad float64 `json:"above_load,omitempty"`
	AfterMS   int64   `json:"after_ms,omitempty"`

	// Effects. FailShare of the requests fail with Status (default 500) before
	// they run. SlowFactor multiplies the processing time, and DelayMS is added
	// before it. HangShare of the requests get no answer until the connection
	// closes; with AfterTokens, an engine's stream sends that many tokens and
	// then nothing. CloseShare of an engine's streams are closed after
	// AfterTokens tokens, before their end. For CloseBeforeShare and
	// CloseAfterShare of a service's calls, the connection is closed without an
	// answer, before or after the call runs.
	FailShare        float64 `json:"fail_share,omitempty"`
	Status           int     `json:"status,omitempty"`
	SlowFactor       float64 `json:"slow_factor,omitempty"`
	DelayMS          int64   `json:"delay_ms,omitempty"`
	HangShare        float64 `json:"hang_share,omitempty"`
	CloseShare       float64 `json:"close_share,omitempty"`
	AfterTokens      int     `json:"after_tokens,omitempty"`
	CloseBeforeShare float64 `json:"close_before_share,omitempty"`
	CloseAfterShare  float64 `json:"close_after_share,omitempty"`
}

// targetEffect is the combined effect of the faults on one request.
type targetEffect struct {
	status                               int
	slowFactor                           float64
	delay                                time.Duration
	hang, close, closeBefore, closeAfter bool
	afterTokens                          int
}

// targetFaults holds the faults in force.
type targetFaults struct {
	mu     sync.Mutex
	random *rand.Rand
	faults []TargetFault
	setAt  time.Time
}

func (f *targetFaults) replace(faults []TargetFault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.setAt = append([]TargetFault(nil), faults...), now
}

// chooseEffect chooses the effect on a request at random.
func (f *targetFaults) chooseEffect(version, route string, load float64, now time.Time) targetEffect {
	f.mu.Lock()
	defer f.mu.Unlock()
	effect := targetEffect{slowFactor: 1}
	for _, t := range f.faults {
		if t.Version != "" && t.Version != version || t.Route != "" && t.Route != route ||
			t.AboveLoad > 0 && load <= t.AboveLoad || now.Sub(f.setAt) < time.Duration(t.AfterMS)*time.Millisecond {
			continue
		}
		chance := func(share float64) bool { return share > 0 && f.random.Float64() < share }
		if chance(t.FailShare) {
			if effect.status = t.Status; t.Status == 0 {
				effect.status = fasthttp.StatusInternalServerError
			}
		}
		if t.SlowFactor > 0 {
			effect.slowFactor *= t.SlowFactor
		}
		effect.delay += time.Duration(t.DelayMS) * time.Millisecond
		if chance(t.HangShare) {
			effect.hang, effect.afterTokens = true, t.AfterTokens
		}
		if chance(t.CloseShare) {
			effect.close, effect.afterTokens = true, t.AfterTokens
		}
		effect.closeBefore = effect.closeBefore || chance(t.CloseBeforeShare)
		effect.closeAfter = effect.closeAfter || chance(t.CloseAfterShare)
	}
	return effect
}

// targetServer is a fasthttp server that closes all its connections when it is
// closed.
type targetServer struct {
	server   *fasthttp.Server
	listener *targetListener
	closed   chan struct{}
	served   chan struct{}
	once     sync.Once
}

// targetWriteBufferBytes bounds what a stand-in sends ahead of a slow reader.
const targetWriteBufferBytes = 8 << 10

func newTargetServer(name string, port uint16, handler fasthttp.RequestHandler) (*targetServer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)))
	if err != nil {
		return nil, err
	}
	s := &targetServer{
		server: &fasthttp.Server{
			Name:                         name,
			Handler:                      handler,
			NoDefaultServerHeader:        true,
			ReadTimeout:                  time.Minute,
			IdleTimeout:                  time.Minute,
			ReadBufferSize:               16 << 10,
			MaxRequestBodySize:           16 << 20,
			DisablePreParseMultipartForm: true, // bodies are recorded as received
			MaxIdleWorkerDuration:        50 * time.Millisecond,
			Logger:                       targetLogger{},
		},
		listener: &targetListener{TCPListener: l, conns: map[net.Conn]struct{}{}},
		closed:   make(chan struct{}),
		served:   make(chan struct{}),
	}
	go func() {
		defer close(s.served)
		// Serve returns when the listener is closed.
		_ = s.server.Serve(s.listener)
	}()
	return s, nil
}

// targetLogger discards the server's log, which would report connections that
// faults close as errors.
type targetLogger struct{}

func (targetLogger) Printf(string, ...any) {}

func (s *targetServer) addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *targetServer) close() error {
	var err error
	s.once.Do(func() {
		close(s.closed)
		err = s.listener.Close()
		s.listener.closeConns()
		<-s.served
		// Waits for the handlers. Its error is that the listener is already closed.
		_ = s.server.Shutdown()
	})
	return err
}

// watchDisconnect returns a channel that is closed when the peer closes the
// connection or the server is closed. The response must be the last one on the
// connection.
func (s *targetServer) watchDisconnect(ctx *fasthttp.RequestCtx) <-chan struct{} {
	ctx.SetConnectionClose()
	disconnected := make(chan struct{})
	c := ctx.Conn()
	// Removes the read deadline that the server has set for the request.
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(disconnected)
		// Returns without data when either side closes the connection. A peer that
		// sends more bytes although the connection is to be closed also counts as
		// disconnected.
		_, _ = c.Read(make([]byte, 1))
	}()
	return disconnected
}

// targetListener is a listener that can close the connections it has accepted.
type targetListener struct {
	*net.TCPListener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Accept sets a small send buffer, so that a slow reader stops the generation
// of its answer.
func (l *targetListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteBuffer(targetWriteBufferBytes)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	tracked := &targetConn{TCPConn: c, listener: l}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

func (l *targetListener) closeConns() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

type targetConn struct {
	*net.TCPConn
	listener *targetListener
}

func (c *targetConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

func writeTargetJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func writeTargetError(ctx *fasthttp.RequestCtx, status int, kind, message string) {
	writeTargetJSON(ctx, status, map[string]any{"error": map[string]string{"type": kind, "message": message}})
}

// serveFaults replaces the faults with the JSON array in the request.
func (f *targetFaults) serveFaults(ctx *fasthttp.RequestCtx, now time.Time) {
	var faults []TargetFault
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		writeTargetError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	f.replace(faults, now)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
