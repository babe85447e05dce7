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
	// maxIncomingStreams limits the streams that the other process may have open
	// on a connection. It is above the requests in flight of one entry.
	maxIncomingStreams = 20_000

	// A stream's receive window is many times an answer's credit of 16 KiB, so
	// that only the credit limits an answer. It also lets a Dispatch of 4 MiB
	// arrive in few round trips.
	initialStreamWindow = 256 << 10
	maxStreamWindow     = 1 << 20

	// A connection's receive window is above the 48 MiB of credit that a process
	// grants at most, so that stalled readers leave room for other streams.
	connectionWindow = 64 << 20

	// defaultReceiveBufferLimit allows 8 requests with a body of 4 MiB, the
	// default of max_body_bytes, to be received at once. With its other fields
	// such a message is above 4 MiB, and buffers double, so it takes 8 MiB.
	defaultReceiveBufferLimit = 64 << 20

	// A connection on which nothing is received for silenceTimeout is closed.
	// silenceTimeout plus checkInterval is below the 2 s within which a silent
	// path must be detected. On an idle connection the dialling side sends a
	// packet every keepAliveInterval, which the other side acknowledges. An
	// entry's control traffic must stay below 8 KB/s, which with 40 agents allows
	// 200 B/s per connection. BenchmarkIdle measures 132 B/s, and 418 B/s with a
	// packet every 500 ms from both sides.
	keepAliveInterval = 750 * time.Millisecond
	silenceTimeout    = 1500 * time.Millisecond
	checkInterval     = 200 * time.Millisecond

	// The first message of a stream that another process opens must arrive within
	// firstMessageTimeout, and at most maxAwaitingStreams may wait for theirs.
	// Otherwise an entry whose dispatches stop short of their end would hold the
	// receive buffers for good. A sender gives up after writeTimeout; the rest is for
	// 4 MiB that are in flight on a link of 5 Mbit/s. A stream without its first
	// message takes about 12 KB (measured with 15,000), all together 48 MiB.
	firstMessageTimeout = 10 * time.Second
	maxAwaitingStreams  = 4096

	// idleTimeout closes a connection that closeInactive has not closed because
	// this process itself was paused.
	idleTimeout = 4 * time.Second

	// unusedTimeout closes a dialled connection without streams, for example to
	// a target that was removed from the configuration.
	unusedTimeout = time.Minute

	// maxConnections is above the number of entries and agents that one process
	// talks to in the fleet expected in two years, which has 330 entries.
	maxConnections = 4096

	// handshakeTimeout allows for one lost packet in each handshake flight.
	handshakeTimeout = 2 * time.Second

	// writeTimeout bounds a Send to a process that reads no data.
	writeTimeout = 2 * time.Second

	// lingerTimeout bounds how long a served stream waits for the other process
	// to close its sending direction.
	lingerTimeout = 2 * time.Second
)

// QUIC application error codes of connections and streams.
const (
	codeNone     = 0
	codeClosed   = 1 // the endpoint is closed
	codeSilent   = 2 // nothing was received
	codeAborted  = 3 // the stream was aborted
	codeProtocol = 4 // a message was malformed
	codeRefused  = 5 // the stream or connection was refused unread
)

// Handler serves one stream that another process opened. The stream ends when
// the handler returns: messages already sent are delivered, and further
// messages of the other process are discarded. ctx ends when the stream is
// aborted by either side or its connection closes.
type Handler func(ctx context.Context, s *Stream)

// Endpoint dials and accepts connections on one UDP socket. A connection that
// replaces a silent one is dialled from its own socket, since the network may
// drop all packets between the old pair of addresses and ports.
type Endpoint struct {
	listenAddress      netip.AddrPort
	receiveBufferLimit int64
	bufferedBytes      atomic.Int64 // receive buffers larger than readBufferBytes
	awaitingStreams    atomic.Int64 // accepted streams whose first message has not arrived
	credentials        *Credentials
	handler            Handler
	clock              clockwork.Clock
	log                log.Interface

	socket     *net.UDPConn
	transport  *quic.Transport
	listener   *quic.Listener
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup

	mu              sync.Mutex
	closing         bool
	lastGeneration  uint64
	dialled         map[netip.AddrPort]*connection
	needsOwnSocket  map[netip.AddrPort]struct{} // addresses on whose path packets may be lost for good
	openConnections map[*connection]struct{}
	openStreams     int           // open streams of all connections
	drained         chan struct{} // closed when closing and openStreams is 0
}

// Option configures an Endpoint.
type Option func(*Endpoint)

// WithListen sets the local address. The default is 127.0.0.1 with any free
// port.
func WithListen(a netip.AddrPort) Option { return func(e *Endpoint) { e.listenAddress = a } }

// WithCredentials sets the process's credentials, which are required.
func WithCredentials(c *Credentials) Option { return func(e *Endpoint) { e.credentials = c } }

// WithHandler accepts connections and serves each of their streams with h in
// its own goroutine. Without it, the endpoint only dials.
func WithHandler(h Handler) Option { return func(e *Endpoint) { e.handler = h } }

// WithClock sets the clock for deadlines, the detection of silent connections
// and the validity of certificates.
func WithClock(c clockwork.Clock) Option { return func(e *Endpoint) { e.clock = c } }

// WithReceiveBufferLimit limits the bytes buffered for partly received messages
// larger than 4 KiB, over all streams. The default is 64 MiB.
func WithReceiveBufferLimit(n int64) Option { return func(e *Endpoint) { e.receiveBufferLimit = n } }

// WithLog sets where connections and their failures are logged.
func WithLog(l log.Interface) Option { return func(e *Endpoint) { e.log = l } }

// New opens the socket and starts to accept connections.
func New(opts ...Option) (*Endpoint, error) {
	e := &Endpoint{
		listenAddress:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		receiveBufferLimit: defaultReceiveBufferLimit,
		clock:              clockwork.NewRealClock(),
		log:                &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
		dialled:            map[netip.AddrPort]*connection{},
		needsOwnSocket:     map[netip.AddrPort]struct{}{},
		openConnections:    map[*connection]struct{}{},
		drained:            make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	if e.credentials == nil {
		return nil, fmt.Errorf("peer.New: %w", &CredentialsError{Reason: "WithCredentials is required"})
	}
	key, err := e.credentials.statelessResetKey()
	if err != nil {
		return nil, fmt.Errorf("peer.New: %w", err)
	}
	if e.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.listenAddress)); err != nil {
		return nil, fmt.Errorf("peer.New: %w", err)
	}
	e.transport = &quic.Transport{Conn: e.socket, StatelessResetKey: key}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if e.handler != nil {
		if e.listener, err = e.transport.Listen(e.credentials.serverTLSConfig(e.clock.Now), listenConfig()); err != nil {
			e.cancel()
			return nil, fmt.Errorf("peer.New: %w", errors.Join(err, e.transport.Close(), e.socket.Close()))
		}
		e.goroutines.Go(e.accept)
	}
	ticker := e.clock.NewTicker(checkInterval)
	e.goroutines.Go(func() {
		defer ticker.Stop()
		last := e.clock.Now()
		for {
			select {
			case <-e.ctx.Done():
				return
			case <-ticker.Chan():
				now := e.clock.Now()
				e.closeInactive(now, now.Sub(last) > 2*checkInterval)
				last = now
			}
		}
	})
	return e, nil
}

func dialConfig() *quic.Config {
	c := listenConfig()
	c.KeepAlivePeriod = keepAliveInterval
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
		MaxIncomingStreams:             maxIncomingStreams,
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

// Open opens a stream to the process at the address, on an existing connection
// or a new one. The caller ends the stream with Abort. The error is a
// *NotDeliveredError.
func (e *Endpoint) Open(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	for attempt := 0; ; attempt++ {
		s, err := e.open(ctx, address)
		if err == nil {
			return s, nil
		}
		// A connection that closed before a stream was opened on it has carried
		// nothing of the exchange, so one more dial is safe.
		if attempt == 0 && ctx.Err() == nil && errors.As(err, new(*connectionClosedError)) {
			continue
		}
		return nil, fmt.Errorf("peer.Endpoint.Open: %w", &NotDeliveredError{Address: address, Err: err})
	}
}

// connectionClosedError says that a connection closed before a stream was
// opened on it.
type connectionClosedError struct{ err error }

func (e *connectionClosedError) Error() string { return fmt.Sprintf("connection is closed: %v", e.err) }

func (e *connectionClosedError) Unwrap() error { return e.err }

func (e *Endpoint) open(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	c, err := e.acquireConnection(ctx, address)
	if err != nil {
		return nil, err
	}
	qs, err := c.quicConn.OpenStreamSync(ctx)
	if err != nil {
		e.removeStream(c)
		if ctx.Err() == nil { // closed, although its context may not have ended yet
			e.Drop(address, c.generation)
			return nil, &connectionClosedError{err: err}
		}
		return nil, err
	}
	return newStream(e, c, qs), nil
}

// acquireConnection returns a connection to the address and counts one stream
// on it, which the caller ends with removeStream.
func (e *Endpoint) acquireConnection(ctx context.Context, address netip.AddrPort) (*connection, error) {
	e.mu.Lock()
	if e.closing {
		e.mu.Unlock()
		return nil, &ClosedError{}
	}
	c := e.dialled[address]
	if c == nil || c.isClosed() {
		if c != nil && c.closedForSilence() {
			e.requireOwnSocket(address)
		}
		e.lastGeneration++
		c = &connection{address: address, generation: e.lastGeneration, ready: make(chan struct{}), dialled: true}
		e.dialled[address] = c
		_, ownSocket := e.needsOwnSocket[address]
		e.goroutines.Go(func() { e.dial(c, ownSocket) })
	}
	c.streams++
	e.openStreams++
	e.mu.Unlock()
	select {
	case <-c.ready:
		if c.err != nil {
			e.removeStream(c)
			return nil, c.err
		}
		return c, nil
	case <-ctx.Done():
		e.removeStream(c)
		return nil, ctx.Err()
	}
}

// dial opens c. It does not use the context of the Open that started it, since
// others wait for the same connection.
func (e *Endpoint) dial(c *connection, ownSocket bool) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(e.ctx, 2*handshakeTimeout)
	defer cancel()
	tls := e.credentials.tlsConfig(e.clock.Now)
	tls.ServerName = c.address.Addr().Unmap().WithZone("").String()
	transport := e.transport
	var err error
	if ownSocket {
		if err = c.openSocket(e.listenAddress.Addr()); err == nil {
			transport = c.transport
		}
	}
	var conn *quic.Conn
	if err == nil {
		conn, err = transport.Dial(ctx, net.UDPAddrFromAddrPort(c.address), tls, dialConfig())
	}
	if err == nil {
		err = c.authenticate(conn)
	}
	if err != nil {
		c.closeSocket()
		c.err = err
		e.log.WithFields(log.Fields{"address": c.address.String()}).WithError(err).Warn("peer_dial_failed")
		e.Drop(c.address, c.generation)
		return
	}
	if !e.register(c) {
		c.err = &ClosedError{}
	}
}

// requireOwnSocket makes later dials to the address use their own sockets. The
// caller holds mu.
func (e *Endpoint) requireOwnSocket(address netip.AddrPort) {
	if len(e.needsOwnSocket) >= maxConnections {
		clear(e.needsOwnSocket) // addresses that are still silent are detected again
	}
	e.needsOwnSocket[address] = struct{}{}
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		c := &connection{address: addrPort(conn.RemoteAddr()), ready: make(chan struct{})}
		close(c.ready)
		if err := c.authenticate(conn); err != nil {
			continue
		}
		e.mu.Lock()
		e.lastGeneration++
		c.generation = e.lastGeneration
		e.mu.Unlock()
		if e.register(c) {
			e.goroutines.Go(func() { e.serve(c) })
		}
	}
}

// serve runs the handler on each stream that the other process opens.
func (e *Endpoint) serve(c *connection) {
	for {
		qs, err := c.quicConn.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		if e.awaitingStreams.Add(1) > maxAwaitingStreams || !e.addStream(c) {
			e.awaitingStreams.Add(-1)
			qs.CancelRead(codeRefused)
			qs.CancelWrite(codeRefused)
			continue
		}
		s := newStream(e, c, qs)
		s.awaiting.Store(true)
		s.SetReceiveDeadline(e.clock.Now().Add(firstMessageTimeout))
		e.goroutines.Go(func() {
			defer s.Abort()
			e.handler(s.ctx, s)
			s.linger()
		})
	}
}

// closeInactive closes the connections on which nothing was received for
// silenceTimeout, and dialled connections without streams after unusedTimeout.
// The close reaches the other process if only the direction to this one is
// silent. After a pause of this process, packets that arrived during it have
// not been read yet, so the timeout starts again for every connection.
func (e *Endpoint) closeInactive(now time.Time, afterPause bool) {
	e.mu.Lock()
	var silent, unused []*connection
	for c := range e.openConnections {
		if c.dialled && c.streams == 0 && !c.dropped {
			if c.unusedSince.IsZero() {
				c.unusedSince = now
			} else if now.Sub(c.unusedSince) >= unusedTimeout {
				c.drop(e)
				unused = append(unused, c)
				continue
			}
		} else {
			c.unusedSince = time.Time{}
		}
		if received := c.quicConn.ConnectionStats().PacketsReceived; received != c.packetsReceived || afterPause || c.lastReceived.IsZero() {
			c.packetsReceived, c.lastReceived = received, now
		} else if now.Sub(c.lastReceived) >= silenceTimeout {
			silent = append(silent, c)
			if c.dialled {
				e.requireOwnSocket(c.address)
			}
		}
	}
	e.mu.Unlock()
	for _, c := range unused {
		c.close()
	}
	for _, c := range silent {
		e.log.WithFields(c.logFields()).Warn("peer_connection_silent")
		_ = c.quicConn.CloseWithError(codeSilent, "nothing received")
	}
}

// register keeps an open connection in openConnections until it closes. It
// refuses the connection and returns false when the endpoint is closing or has
// maxConnections.
func (e *Endpoint) register(c *connection) bool {
	e.mu.Lock()
	refused := e.closing || len(e.openConnections) >= maxConnections
	if !refused {
		e.openConnections[c] = struct{}{}
	}
	e.mu.Unlock()
	if refused {
		_ = c.quicConn.CloseWithError(codeRefused, "closing or too many connections")
		c.closeSocket()
		return false
	}
	if err := e.credentials.ReloadError(); err != nil {
		e.log.WithError(err).Warn("peer_credentials_not_reloaded")
	}
	e.log.WithFields(c.logFields()).Info("peer_connected")
	e.goroutines.Go(func() {
		<-c.quicConn.Context().Done()
		e.mu.Lock()
		delete(e.openConnections, c)
		if e.dialled[c.address] == c {
			delete(e.dialled, c.address)
		}
		if c.dialled && c.closedForSilence() {
			e.requireOwnSocket(c.address)
		}
		e.mu.Unlock()
		c.closeSocket()
		e.log.WithFields(c.logFields()).WithError(context.Cause(c.quicConn.Context())).Info("peer_disconnected")
	})
	return true
}

// addStream counts a stream of the connection, unless the endpoint is closing.
func (e *Endpoint) addStream(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return false
	}
	c.streams++
	e.openStreams++
	return true
}

// removeStream uncounts a stream of addStream or acquireConnection. A dropped
// connection is closed with its last stream.
func (e *Endpoint) removeStream(c *connection) {
	e.mu.Lock()
	c.streams--
	e.openStreams--
	last := c.dropped && c.streams == 0
	if e.closing && e.openStreams == 0 {
		close(e.drained)
	}
	e.mu.Unlock()
	if last {
		c.close()
	}
}

// Drop makes the next Open to the address dial a new connection from its own
// socket, if the current connection has the given generation. Streams on the
// dropped connection continue; it is closed with the last of them.
func (e *Endpoint) Drop(address netip.AddrPort, generation uint64) {
	e.mu.Lock()
	c := e.dialled[address]
	if c == nil || c.generation != generation {
		e.mu.Unlock()
		return
	}
	c.drop(e)
	e.requireOwnSocket(address)
	unused := c.streams == 0
	e.mu.Unlock()
	if unused {
		c.close()
	}
}

// Call sends a message on a new stream and returns the message that answers it.
// ctx bounds the exchange.
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
		return nil, fmt.Errorf("peer.Endpoint.Call: %w", s.streamError(ctx.Err()))
	case errors.Is(err, io.EOF):
		return nil, fmt.Errorf("peer.Endpoint.Call: %w", s.streamError(io.ErrUnexpectedEOF))
	default:
		return nil, fmt.Errorf("peer.Endpoint.Call: %w", err)
	}
}

// Shutdown refuses new streams, waits until the open ones have ended or ctx has
// ended, and closes the endpoint.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	e.beginClose()
	e.mu.Unlock()
	select {
	case <-e.drained:
	case <-ctx.Done():
	}
	return e.Close()
}

func (e *Endpoint) beginClose() {
	if !e.closing {
		e.closing = true
		if e.openStreams == 0 {
			close(e.drained)
		}
	}
}

// Close closes all connections at once and waits for the handlers to return.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.beginClose()
	live := make([]*connection, 0, len(e.openConnections))
	for c := range e.openConnections {
		live = append(live, c)
	}
	e.mu.Unlock()
	e.cancel()
	for _, c := range live {
		_ = c.quicConn.CloseWithError(codeClosed, "closed")
	}
	var err error
	if e.listener != nil {
		err = e.listener.Close()
	}
	e.goroutines.Wait()
	err = errors.Join(err, e.transport.Close())
	if closed := e.socket.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.Join(err, closed)
	}
	if err != nil {
		return fmt.Errorf("peer.Endpoint.Close: %w", err)
	}
	return nil
}

// connection is one QUIC connection. On a dialled connection, the fields above
// streams are constant once ready is closed; on an accepted one, once it is
// registered.
type connection struct {
	address    netip.AddrPort
	generation uint64
	dialled    bool

	// socket and transport are nil unless the connection has its own.
	socket    *net.UDPConn
	transport *quic.Transport

	ready    chan struct{} // closed when the dial has set quicConn or err; from the start if accepted
	err      error
	quicConn *quic.Conn
	process  string
	role     Role

	// Guarded by Endpoint.mu.
	streams         int
	dropped         bool
	packetsReceived uint64    // at the last closeInactive
	lastReceived    time.Time // when packetsReceived last grew
	unusedSince     time.Time // first check at which a dialled connection had no stream
}

// authenticate sets quicConn and the other process's name and role from its
// certificate, or closes the connection if the certificate has none.
func (c *connection) authenticate(conn *quic.Conn) error {
	var err error
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		err = &CredentialsError{Reason: "no certificate"}
	} else {
		c.process, c.role, err = certificateIdentity(certs[0])
	}
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "certificate")
		return err
	}
	c.quicConn = conn
	return nil
}

// openSocket opens a socket for this connection only.
func (c *connection) openSocket(local netip.Addr) error {
	var err error
	if c.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0))); err != nil {
		return err
	}
	c.transport = &quic.Transport{Conn: c.socket}
	return nil
}

// closeSocket closes the socket of openSocket, if any, after the connection has
// closed.
func (c *connection) closeSocket() {
	if c.socket != nil {
		_ = c.transport.Close()
		_ = c.socket.Close()
	}
}

// closedForSilence reports whether a connection was closed because one side
// received nothing.
func (c *connection) closedForSilence() bool {
	if c.err != nil {
		return true // a failed dial does not show that the path works
	}
	cause := context.Cause(c.quicConn.Context())
	var application *quic.ApplicationError
	return errors.As(cause, new(*quic.IdleTimeoutError)) ||
		errors.As(cause, &application) && application.ErrorCode == codeSilent
}

// drop makes Open not use the connection again. The caller holds the endpoint's
// mutex.
func (c *connection) drop(e *Endpoint) {
	c.dropped = true
	if e.dialled[c.address] == c {
		delete(e.dialled, c.address)
	}
}

// isClosed reports whether the dial failed or the connection has closed.
func (c *connection) isClosed() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.quicConn.Context().Err() != nil
	default:
		return false
	}
}

// close closes the connection unless it is still being dialled or its dial
// failed.
func (c *connection) close() {
	select {
	case <-c.ready:
		if c.quicConn != nil {
			_ = c.quicConn.CloseWithError(codeNone, "unused")
		}
	default:
	}
}

func (c *connection) logFields() log.Fields {
	return log.Fields{
		"address": c.address.String(), "process": c.process, "role": string(c.role),
		"generation": c.generation, "dialled": c.dialled,
	}
}
