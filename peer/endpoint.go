package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
)

const (
	// maxStreams bounds the streams that the other process may have open on a
	// connection. It is above the requests in flight of one entry.
	maxStreams = 20_000

	// A stream's receive window covers an answer's credit of 16 KiB many times,
	// so that only the credit limits an answer, and lets a Dispatch of 4 MiB
	// arrive in few round trips.
	initialStreamWindow = 256 << 10
	maxStreamWindow     = 1 << 20

	// A connection's receive window is above the 48 MiB of credit that a process
	// grants at most, so that streams whose readers are stalled leave room for
	// the others.
	connectionWindow = 64 << 20

	// maxBuffered has room for 16 requests of the largest body, 4 MiB, that
	// arrive at the same time.
	maxBuffered = 64 << 20

	// A connection on which nothing is received for silenceTimeout is closed.
	// silenceTimeout and one watchInterval stay below the 2 s in which a silent
	// path must be found. The dialling side sends a packet every keepAlive on an
	// idle connection, which the other side acknowledges. The 8 KB/s of control
	// traffic of an entry with 40 agents leave 200 B/s for a connection;
	// BenchmarkIdle gave 132 B/s, and every 500 ms from both sides gave 418 B/s.
	keepAlive      = 750 * time.Millisecond
	silenceTimeout = 1500 * time.Millisecond
	watchInterval  = 200 * time.Millisecond

	// idleTimeout closes a connection that the watch has not closed, because
	// this process itself was paused.
	idleTimeout = 4 * time.Second

	// unusedTimeout closes a dialled connection without streams, for example to a
	// target that has left the configuration.
	unusedTimeout = time.Minute

	// maxConnections is above the entries and agents that one process talks to
	// at the size of two years (330 entries).
	maxConnections = 4096

	// handshakeTimeout leaves room for one lost packet in each flight.
	handshakeTimeout = 2 * time.Second

	// writeTimeout bounds Send when the other process takes no data.
	writeTimeout = 2 * time.Second

	// lingerTimeout bounds how long an answered stream waits for the other
	// process to end its direction.
	lingerTimeout = 2 * time.Second
)

// Error codes of the application on connections and streams.
const (
	codeNone     = 0
	codeClosed   = 1 // the endpoint is closed
	codeSilent   = 2 // nothing was received
	codeAborted  = 3 // the stream was aborted
	codeProtocol = 4 // a message was malformed
	codeRefused  = 5 // the stream was refused unread
)

// Handler serves one stream that another process opened. The stream ends when
// the handler returns: what was sent is delivered, and the rest of what the
// other process sends is discarded. ctx ends when the stream is aborted by
// either side or its connection closes.
type Handler func(ctx context.Context, s *Stream)

// Endpoint dials and accepts connections on one UDP socket. A connection that
// replaces a silent one is dialled from a socket of its own: what has gone
// silent may be the flow between the two addresses and ports rather than the
// connection.
type Endpoint struct {
	listen      netip.AddrPort
	maxBuffered int64
	buffered    atomic.Int64 // receive buffers larger than readBytes
	credentials *Credentials
	handler     Handler
	clock       clockwork.Clock
	log         log.Interface

	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	cancel    context.CancelFunc
	ctx       context.Context
	running   sync.WaitGroup

	mu         sync.Mutex
	closing    bool
	generation uint64
	dialled    map[netip.AddrPort]*connection
	suspect    map[netip.AddrPort]struct{} // a path to them has gone silent
	live       map[*connection]struct{}
	streams    int           // open streams of all connections
	idle       chan struct{} // closed when closing and streams is 0
}

// Option configures an Endpoint.
type Option func(*Endpoint)

// WithListen sets the local address. The default is any port of 127.0.0.1.
func WithListen(a netip.AddrPort) Option { return func(e *Endpoint) { e.listen = a } }

// WithCredentials sets the process's credentials, which are required.
func WithCredentials(c *Credentials) Option { return func(e *Endpoint) { e.credentials = c } }

// WithHandler accepts connections and serves each of their streams with h in a
// goroutine of its own. Without it, the endpoint only dials.
func WithHandler(h Handler) Option { return func(e *Endpoint) { e.handler = h } }

// WithClock sets the clock of deadlines, of the watch for silent connections
// and of the validity of certificates.
func WithClock(c clockwork.Clock) Option { return func(e *Endpoint) { e.clock = c } }

// WithReceiveBufferLimit limits the bytes buffered for partly received messages
// larger than 4 KiB, over all streams. The default is 64 MiB.
func WithReceiveBufferLimit(n int64) Option { return func(e *Endpoint) { e.maxBuffered = n } }

// WithLog sets where connections and their failures are logged.
func WithLog(l log.Interface) Option { return func(e *Endpoint) { e.log = l } }

// New opens the socket and starts to accept connections.
func New(opts ...Option) (*Endpoint, error) {
	e := &Endpoint{
		listen:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		maxBuffered: maxBuffered,
		clock:       clockwork.NewRealClock(),
		log:         &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
		dialled:     map[netip.AddrPort]*connection{},
		suspect:     map[netip.AddrPort]struct{}{},
		live:        map[*connection]struct{}{},
		idle:        make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	if e.credentials == nil {
		return nil, fmt.Errorf("peer.New: %w", &CredentialsError{Reason: "none given"})
	}
	key, err := e.credentials.resetKey()
	if err != nil {
		return nil, fmt.Errorf("peer.New: %w", err)
	}
	if e.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.listen)); err != nil {
		return nil, fmt.Errorf("peer.New: %w", err)
	}
	e.transport = &quic.Transport{Conn: e.socket, StatelessResetKey: key}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if e.handler != nil {
		if e.listener, err = e.transport.Listen(e.credentials.server(e.clock.Now), listenConfig()); err != nil {
			e.cancel()
			return nil, fmt.Errorf("peer.New: %w", errors.Join(err, e.transport.Close(), e.socket.Close()))
		}
		e.running.Go(e.accept)
	}
	ticker := e.clock.NewTicker(watchInterval)
	e.running.Go(func() {
		defer ticker.Stop()
		last := e.clock.Now()
		for {
			select {
			case <-e.ctx.Done():
				return
			case <-ticker.Chan():
				now := e.clock.Now()
				e.watch(now, now.Sub(last) > 2*watchInterval)
				last = now
			}
		}
	})
	return e, nil
}

func dialConfig() *quic.Config {
	c := listenConfig()
	c.KeepAlivePeriod = keepAlive
	c.MaxIncomingStreams = -1 // exchanges are opened by the dialling side
	return c
}

func listenConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		Allow0RTT:                      false,
	}
}

// Addr returns the local address of the socket.
func (e *Endpoint) Addr() netip.AddrPort { return addrPort(e.socket.LocalAddr()) }

func addrPort(a net.Addr) netip.AddrPort {
	if u, ok := a.(*net.UDPAddr); ok {
		p := u.AddrPort()
		return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
	}
	return netip.AddrPort{}
}

// Open opens a stream to the process at the address, on the connection that
// exists or on a new one. The caller ends the stream with Abort. The error is
// a *NotDeliveredError.
func (e *Endpoint) Open(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	for attempt := 0; ; attempt++ {
		s, err := e.open(ctx, address)
		if err == nil {
			return s, nil
		}
		// A connection that closed before a stream was opened on it has carried
		// nothing of the exchange, so one more dial is safe.
		if attempt == 0 && ctx.Err() == nil && errors.As(err, new(*staleError)) {
			continue
		}
		return nil, fmt.Errorf("peer.Endpoint.Open: %w", &NotDeliveredError{Address: address, Err: err})
	}
}

// staleError says that a connection closed between its choice and its use.
type staleError struct{ err error }

func (e *staleError) Error() string { return fmt.Sprintf("connection is closed: %v", e.err) }

func (e *staleError) Unwrap() error { return e.err }

func (e *Endpoint) open(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	c, err := e.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	qs, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		e.leave(c)
		if ctx.Err() == nil { // closed; its context may end a little later
			e.Drop(address, c.generation)
			return nil, &staleError{err: err}
		}
		return nil, err
	}
	return newStream(e, c, qs), nil
}

// connect returns a connection to the address on which the caller has joined.
func (e *Endpoint) connect(ctx context.Context, address netip.AddrPort) (*connection, error) {
	e.mu.Lock()
	if e.closing {
		e.mu.Unlock()
		return nil, &ClosedError{}
	}
	c := e.dialled[address]
	if c == nil || c.over() {
		if c != nil && c.silent() {
			e.suspectPath(address)
		}
		e.generation++
		c = &connection{address: address, generation: e.generation, ready: make(chan struct{}), dialled: true}
		e.dialled[address] = c
		_, suspect := e.suspect[address]
		e.running.Go(func() { e.dial(c, suspect) })
	}
	c.streams++
	e.streams++
	e.mu.Unlock()
	select {
	case <-c.ready:
		if c.err != nil {
			e.leave(c)
			return nil, c.err
		}
		return c, nil
	case <-ctx.Done():
		e.leave(c)
		return nil, ctx.Err()
	}
}

// dial is not bound to the context of the Open that caused it, since others
// wait for the same connection.
func (e *Endpoint) dial(c *connection, suspect bool) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(e.ctx, 2*handshakeTimeout)
	defer cancel()
	tls := e.credentials.config(e.clock.Now)
	tls.ServerName = c.address.Addr().Unmap().WithZone("").String()
	transport := e.transport
	var err error
	if suspect {
		if err = c.ownSocket(e.listen.Addr()); err == nil {
			transport = c.transport
		}
	}
	var conn *quic.Conn
	if err == nil {
		conn, err = transport.Dial(ctx, net.UDPAddrFromAddrPort(c.address), tls, dialConfig())
	}
	if err == nil {
		err = c.identify(conn)
	}
	if err != nil {
		c.closeSocket()
		c.err = err
		e.log.WithFields(log.Fields{"address": c.address.String()}).WithError(err).Warn("peer_dial_failed")
		e.Drop(c.address, c.generation)
		return
	}
	if !e.add(c) {
		c.err = &ClosedError{}
	}
}

// suspectPath makes later dials to the address use a socket of their own. The
// caller holds mu.
func (e *Endpoint) suspectPath(address netip.AddrPort) {
	if len(e.suspect) >= maxConnections {
		clear(e.suspect) // addresses that are still silent will be found again
	}
	e.suspect[address] = struct{}{}
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		c := &connection{address: addrPort(conn.RemoteAddr()), ready: make(chan struct{})}
		close(c.ready)
		if err := c.identify(conn); err != nil {
			continue
		}
		e.mu.Lock()
		e.generation++
		c.generation = e.generation
		e.mu.Unlock()
		if e.add(c) {
			e.running.Go(func() { e.serve(c) })
		}
	}
}

// serve runs the handler on each stream that the other process opens.
func (e *Endpoint) serve(c *connection) {
	for {
		qs, err := c.quic.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		if !e.join(c) {
			qs.CancelRead(codeRefused)
			qs.CancelWrite(codeRefused)
			continue
		}
		s := newStream(e, c, qs)
		e.running.Go(func() {
			defer s.Abort()
			e.handler(s.ctx, s)
			s.linger()
		})
	}
}

// watch closes the connections on which nothing was received for
// silenceTimeout. The close reaches the other process when only the direction
// to this one is silent. After a pause of this process (late), what was
// received during it has not been read yet, so every connection gets a new
// start.
func (e *Endpoint) watch(now time.Time, late bool) {
	e.mu.Lock()
	var silent, unused []*connection
	for c := range e.live {
		if c.dialled && c.streams == 0 && !c.dropped {
			if c.unused.IsZero() {
				c.unused = now
			} else if now.Sub(c.unused) >= unusedTimeout {
				c.drop(e)
				unused = append(unused, c)
				continue
			}
		} else {
			c.unused = time.Time{}
		}
		if received := c.quic.ConnectionStats().PacketsReceived; received != c.received || late || c.heard.IsZero() {
			c.received, c.heard = received, now
		} else if now.Sub(c.heard) >= silenceTimeout {
			silent = append(silent, c)
			if c.dialled {
				e.suspectPath(c.address)
			}
		}
	}
	e.mu.Unlock()
	for _, c := range unused {
		c.close()
	}
	for _, c := range silent {
		e.log.WithFields(c.fields()).Warn("peer_connection_silent")
		_ = c.quic.CloseWithError(codeSilent, "nothing received")
	}
}

// add registers an open connection until it closes. It refuses the connection
// and returns false when the endpoint is closing or has too many.
func (e *Endpoint) add(c *connection) bool {
	e.mu.Lock()
	refused := e.closing || len(e.live) >= maxConnections
	if !refused {
		e.live[c] = struct{}{}
	}
	e.mu.Unlock()
	if refused {
		_ = c.quic.CloseWithError(codeRefused, "closing or too many connections")
		c.closeSocket()
		return false
	}
	if err := e.credentials.ReloadError(); err != nil {
		e.log.WithError(err).Warn("peer_credentials_not_reloaded")
	}
	e.log.WithFields(c.fields()).Info("peer_connected")
	e.running.Go(func() {
		<-c.quic.Context().Done()
		e.mu.Lock()
		delete(e.live, c)
		if e.dialled[c.address] == c {
			delete(e.dialled, c.address)
		}
		if c.dialled && c.silent() {
			e.suspectPath(c.address)
		}
		e.mu.Unlock()
		c.closeSocket()
		e.log.WithFields(c.fields()).WithError(context.Cause(c.quic.Context())).Info("peer_disconnected")
	})
	return true
}

// join counts a stream of the connection, unless the endpoint is closing.
func (e *Endpoint) join(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return false
	}
	c.streams++
	e.streams++
	return true
}

// leave ends what join or connect counted. A dropped connection is closed with
// its last stream.
func (e *Endpoint) leave(c *connection) {
	e.mu.Lock()
	c.streams--
	e.streams--
	last := c.dropped && c.streams == 0
	if e.closing && e.streams == 0 {
		close(e.idle)
	}
	e.mu.Unlock()
	if last {
		c.close()
	}
}

// Drop makes the next Open to the address dial anew, if the connection that
// Open uses now is the one of the given generation, and from another socket.
// Streams on the dropped
// connection go on; it is closed with the last of them.
func (e *Endpoint) Drop(address netip.AddrPort, generation uint64) {
	e.mu.Lock()
	c := e.dialled[address]
	if c == nil || c.generation != generation {
		e.mu.Unlock()
		return
	}
	c.drop(e)
	e.suspectPath(address)
	unused := c.streams == 0
	e.mu.Unlock()
	if unused {
		c.close()
	}
}

// Call sends one message on a new stream and returns the one message that
// answers it. ctx bounds the exchange.
func (e *Endpoint) Call(ctx context.Context, address netip.AddrPort, request Message) (Message, error) {
	s, err := e.Open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("peer.Endpoint.Call: %w", err)
	}
	defer s.Abort()
	defer context.AfterFunc(ctx, s.Abort)()
	var answer Message
	if err = s.Send(request); err == nil {
		answer, err = s.Receive()
	}
	switch {
	case err == nil:
		_ = s.CloseSend() // tells the other process that the answer has arrived
		return answer, nil
	case ctx.Err() != nil:
		return nil, fmt.Errorf("peer.Endpoint.Call: %w", s.failed(ctx.Err()))
	case errors.Is(err, io.EOF):
		return nil, fmt.Errorf("peer.Endpoint.Call: %w", s.failed(io.ErrUnexpectedEOF))
	default:
		return nil, fmt.Errorf("peer.Endpoint.Call: %w", err)
	}
}

// Shutdown refuses new streams, waits until the open ones have ended or ctx is
// done, and closes the endpoint.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	e.beginClose()
	e.mu.Unlock()
	select {
	case <-e.idle:
	case <-ctx.Done():
	}
	return e.Close()
}

func (e *Endpoint) beginClose() {
	if !e.closing {
		e.closing = true
		if e.streams == 0 {
			close(e.idle)
		}
	}
}

// Close closes all connections at once and waits for the handlers to return.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.beginClose()
	live := make([]*connection, 0, len(e.live))
	for c := range e.live {
		live = append(live, c)
	}
	e.mu.Unlock()
	e.cancel()
	for _, c := range live {
		_ = c.quic.CloseWithError(codeClosed, "closed")
	}
	var err error
	if e.listener != nil {
		err = e.listener.Close()
	}
	e.running.Wait()
	err = errors.Join(err, e.transport.Close())
	if closed := e.socket.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.Join(err, closed)
	}
	if err != nil {
		return fmt.Errorf("peer.Endpoint.Close: %w", err)
	}
	return nil
}

// connection is one QUIC connection. The endpoint's mutex guards what changes
// after ready is closed.
type connection struct {
	address    netip.AddrPort
	generation uint64
	dialled    bool

	// socket and transport are nil unless the connection has its own.
	socket    *net.UDPConn
	transport *quic.Transport

	ready   chan struct{} // closed when quic or err is set
	err     error
	quic    *quic.Conn
	process string
	role    Role

	streams  int
	dropped  bool
	received uint64    // packets at the last watch
	heard    time.Time // when received grew last
	unused   time.Time // since when a dialled connection has had no stream
}

// identify takes over an open connection, or closes it when its certificate
// does not state a process.
func (c *connection) identify(conn *quic.Conn) error {
	var err error
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		err = &CredentialsError{Reason: "no certificate"}
	} else {
		c.process, c.role, err = identify(certs[0])
	}
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "certificate")
		return err
	}
	c.quic = conn
	return nil
}

// ownSocket opens a socket for this connection alone.
func (c *connection) ownSocket(local netip.Addr) error {
	var err error
	if c.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0))); err != nil {
		return err
	}
	c.transport = &quic.Transport{Conn: c.socket}
	return nil
}

// closeSocket closes what ownSocket opened, after the connection has closed.
func (c *connection) closeSocket() {
	if c.socket != nil {
		_ = c.transport.Close()
		_ = c.socket.Close()
	}
}

// silent reports whether a closed connection was closed because one side
// received nothing.
func (c *connection) silent() bool {
	if c.err != nil {
		return true // nothing is known of a path on which a dial has failed
	}
	cause := context.Cause(c.quic.Context())
	var application *quic.ApplicationError
	return errors.As(cause, new(*quic.IdleTimeoutError)) ||
		errors.As(cause, &application) && application.ErrorCode == codeSilent
}

// drop keeps Open from using the connection again. The caller holds the
// endpoint's mutex.
func (c *connection) drop(e *Endpoint) {
	c.dropped = true
	if e.dialled[c.address] == c {
		delete(e.dialled, c.address)
	}
}

// over reports whether the connection has failed or closed.
func (c *connection) over() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.quic.Context().Err() != nil
	default:
		return false
	}
}

// close closes the connection if it was ever open.
func (c *connection) close() {
	select {
	case <-c.ready:
		if c.quic != nil {
			_ = c.quic.CloseWithError(codeNone, "unused")
		}
	default:
	}
}

func (c *connection) fields() log.Fields {
	return log.Fields{
		"address": c.address.String(), "process": c.process, "role": string(c.role),
		"generation": c.generation, "dialled": c.dialled,
	}
}
