// Package connlimit bounds the number of connections of a fasthttp server and the
// memory that their requests hold.
//
// The server reads requests itself. The connections charge what it allocates for
// them to a bytebudget when it asks for bytes, that is before its buffers are
// filled. A request for which there is no room is not read any further; a
// connection whose peer makes no progress gives its room to others.
//
// The load pattern behind it: hundreds of callers whose bodies stop just short of
// their end, or that hold connections without a request. "hostile callers at an
// entry" in cmd/briarreach replays it.
package connlimit

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"briarreach/bytebudget"
)

// Reason says why a connection or request was refused.
type Reason string

// Reasons of refusals.
const (
	Memory      Reason = "memory"      // no room for the request
	Stalled     Reason = "stalled"     // no progress while others need room
	Connections Reason = "connections" // too many connections
	Address     Reason = "address"     // too many connections of one address
	Accept      Reason = "accept"      // the system can't accept, mostly for lack of descriptors
)

// What connections hold besides the buffers whose size is known, from heap profiles
// of an entry with idle connections and with stalled readers.
const (
	connectionBytes = 8 << 10  // the goroutine that serves it
	requestBytes    = 8 << 10  // fasthttp's context and writer
	servingBytes    = 24 << 10 // the stream to an agent and its buffers
	// Bodies that take more than smallBodyBytes leave a quarter of the memory to others.
	smallBodyBytes = 64 << 10
	// A header field takes 56 bytes in fasthttp's list, which doubles when it is full,
	// and at least 8 bytes each for its name and value.
	fieldBytes = 128
)

// acceptRetryDelay is the time between attempts to accept while that fails.
const acceptRetryDelay = 50 * time.Millisecond

type options struct {
	memory         int64
	stallTimeout   time.Duration
	maxConnections int
	maxPerAddress  int
	maxHeaderBytes int
	maxBodyBytes   int
	onRefused      func(Reason)
	response       []byte
}

// Option changes a default of New.
type Option func(*options)

// WithMemory bounds the memory held for all connections, 64 MiB by default. A
// connection that makes no progress for stallTimeout, by default 5 s, is closed when
// others need its room.
func WithMemory(limit int64, stallTimeout time.Duration) Option {
	return func(o *options) { o.memory, o.stallTimeout = limit, stallTimeout }
}

// WithConnections bounds the connections, 256 by default, and those from one address;
// 0 for perAddress means no bound per address.
func WithConnections(total, perAddress int) Option {
	return func(o *options) { o.maxConnections, o.maxPerAddress = total, perAddress }
}

// WithRequestLimits tells the server's ReadBufferSize and MaxRequestBodySize.
func WithRequestLimits(maxHeaderBytes, maxBodyBytes int) Option {
	return func(o *options) { o.maxHeaderBytes, o.maxBodyBytes = maxHeaderBytes, maxBodyBytes }
}

// WithOnRefused sets a function that is called for each refusal. It must not block.
func WithOnRefused(f func(Reason)) Option { return func(o *options) { o.onRefused = f } }

// WithResponse sets what is written to a connection that is refused.
func WithResponse(response []byte) Option { return func(o *options) { o.response = response } }

// Listener accepts the connections of a server.
type Listener struct {
	net.Listener
	options     options
	connections *bytebudget.Budget // its unit is a connection
	memory      *bytebudget.Budget
	bodies      *bytebudget.Budget // the part of memory that large bodies may take

	mu        sync.Mutex
	addresses map[netip.Addr]int // open connections; nil without a limit
}

// New returns a listener that accepts from inner. The server's ConnState must call
// the listener's.
func New(inner net.Listener, opts ...Option) *Listener {
	o := options{
		memory: 64 << 20, stallTimeout: 5 * time.Second, maxConnections: 256,
		maxHeaderBytes: 16 << 10, maxBodyBytes: 1 << 20, onRefused: func(Reason) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	stall := bytebudget.WithStallTimeout(o.stallTimeout)
	l := &Listener{
		Listener: inner, options: o,
		connections: bytebudget.New(int64(o.maxConnections), stall),
		memory:      bytebudget.New(o.memory, stall),
		// The rest stays free for small requests, such as readiness checks.
		bodies: bytebudget.New(o.memory/4*3, stall),
	}
	if o.maxPerAddress > 0 {
		l.addresses = map[netip.Addr]int{}
	}
	return l
}

// Held returns the bytes that are charged.
func (l *Listener) Held() int64 { return l.memory.Held() }

// Accept implements net.Listener. It closes the connections that are refused. It only
// fails when the listener is closed: fasthttp stops for good at another error, such as
// that no descriptor is free.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.options.onRefused(Accept)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c, reason := l.open(inner)
		if reason == "" {
			return c, nil
		}
		l.options.onRefused(reason)
		// The send buffer of a new connection is empty, so that this doesn't block.
		_, _ = inner.Write(l.options.response)
		_ = inner.Close()
	}
}

// open charges a new connection.
func (l *Listener) open(inner net.Conn) (*Conn, Reason) {
	c := &Conn{Conn: inner, listener: l}
	if !l.addAddress(c, 1) {
		return nil, Address
	}
	now := time.Now()
	c.connection = l.connections.Open(now, c.evict)
	c.memory = l.memory.Open(now, c.evict)
	c.body = l.bodies.Open(now, c.evict)
	reason := Reason("")
	if c.connection.Reserve(1, now) != nil {
		reason = Connections
	} else if c.memory.Reserve(connectionBytes, now) != nil {
		reason = Memory
	}
	if reason != "" {
		c.release()
		return nil, reason
	}
	return c, ""
}

// addAddress counts a connection of an address. It reports false, and counts
// nothing, if there are too many.
func (l *Listener) addAddress(c *Conn, n int) bool {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if l.addresses == nil || !ok {
		return true
	}
	address := remote.AddrPort().Addr().Unmap()
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.addresses[address] + n
	if count > l.options.maxPerAddress {
		return false
	}
	if count == 0 {
		delete(l.addresses, address)
	} else {
		l.addresses[address] = count
	}
	return true
}

// ConnState must be called by the server's ConnState. It returns the room of a
// request that has ended.
func (l *Listener) ConnState(nc net.Conn, state fasthttp.ConnState) {
	if c, ok := nc.(*Conn); ok && state == fasthttp.StateIdle {
		c.endRequest()
	}
}

// Conn is an accepted connection. Its methods, except Close, are called by the
// goroutine that serves it.
type Conn struct {
	net.Conn
	listener   *Listener
	connection *bytebudget.Account
	memory     *bytebudget.Account
	body       *bytebudget.Account
	released   atomic.Bool
	evicted    atomic.Bool

	// The request in progress.
	reading       bool // the server's buffers are charged
	framing       framing
	early         []byte // bytes after the end of the request, which the next one starts with
	headerCharged int64
	bodyCharged   int64
	largeCharged  int64 // the same, if the body is large
	bodyBuffer    int64 // size of the server's buffer for the body
	serving       bool
	refused       bool
}

// Of returns the connection of a request to a server whose listener is a Listener.
func Of(ctx *fasthttp.RequestCtx) *Conn { return ctx.Conn().(*Conn) }

// evict closes the connection for the room of others. The goroutine that serves it
// then drops its buffers and calls Close.
func (c *Conn) evict() {
	if c.evicted.CompareAndSwap(false, true) {
		c.listener.options.onRefused(Stalled)
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	return c.Conn.Close()
}

func (c *Conn) release() {
	if !c.released.CompareAndSwap(false, true) {
		return
	}
	c.body.Close()
	c.memory.Close()
	c.connection.Close()
	c.listener.addAddress(c, -1)
}

// Refused reports whether there was no room for the request in progress.
func (c *Conn) Refused() bool { return c.refused }

// Read implements net.Conn. It fails with a *bytebudget.ExhaustedError if there is no
// room for the buffers that the server needs for what has arrived. It returns no bytes
// of the next request together with those of this one.
func (c *Conn) Read(p []byte) (int, error) {
	if c.framing.part == ended {
		c.framing = framing{}
	}
	if c.framing == (framing{}) && len(p) == 1 {
		// The server waits for a request without a buffer. It takes an error here for
		// the end of the connection, so that a refusal has to wait.
		n, err := c.receive(p)
		c.framing.advance(p[:n])
		return n, err
	}
	if err := c.reserveBuffers(); err != nil {
		return 0, err
	}
	if len(p) > c.listener.options.maxHeaderBytes {
		// The server reads into its buffer for the body, which is charged already
		// unless framing is wrong.
		if err := c.reserveBody(int64(len(p))); err != nil {
			return 0, err
		}
	}
	n, err := c.receive(p)
	if n == 0 {
		return n, err
	}
	fields, header := c.framing.fields, c.framing.header
	taken := c.framing.advance(p[:n])
	if taken < n {
		c.early = append(bytes.Clone(p[taken:n]), c.early...)
	}
	// The server copies the header.
	if err := c.reserveHeader(c.framing.header - header + fieldBytes*(c.framing.fields-fields)); err != nil {
		return 0, err
	}
	if err := c.reserveBody(c.framing.bufferBytes(int64(c.listener.options.maxBodyBytes))); err != nil {
		return 0, err
	}
	return taken, err
}

// receive reads from the connection, or what was read from it too early.
func (c *Conn) receive(p []byte) (int, error) {
	if len(c.early) > 0 {
		n := copy(p, c.early)
		c.early = c.early[n:]
		return n, nil
	}
	c.early = nil
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progress()
	}
	return n, err
}

// reserveBuffers charges what the server allocates for each request.
func (c *Conn) reserveBuffers() error {
	if c.reading {
		return nil
	}
	if err := c.reserveHeader(int64(c.listener.options.maxHeaderBytes) + requestBytes); err != nil {
		return err
	}
	c.reading = true
	return nil
}

// reserveBody charges the server's buffer for the body when it grows.
func (c *Conn) reserveBody(buffer int64) error {
	if buffer <= c.bodyBuffer {
		return nil
	}
	// While the server copies the body to a larger buffer, it has both.
	previous := c.bodyBuffer
	c.bodyBuffer = buffer
	return c.chargeBody(buffer + previous)
}

func (c *Conn) reserveHeader(n int64) error {
	if err := c.memory.Reserve(n, time.Now()); err != nil {
		return c.refuse(err)
	}
	c.headerCharged += n
	return nil
}

// chargeBody sets what is charged for the body of the request.
func (c *Conn) chargeBody(n int64) error {
	large := n
	if large <= smallBodyBytes {
		large = 0
	}
	err := charge(c.body, &c.largeCharged, large)
	if err == nil {
		err = charge(c.memory, &c.bodyCharged, n)
	}
	if err != nil {
		return c.refuse(err)
	}
	return nil
}

// charge changes what an account holds for one purpose from *held to n bytes.
func charge(a *bytebudget.Account, held *int64, n int64) error {
	if n > *held {
		if err := a.Reserve(n-*held, time.Now()); err != nil {
			return err
		}
	} else {
		a.Release(*held - n)
	}
	*held = n
	return nil
}

// refuse counts a request for which there is no room.
func (c *Conn) refuse(err error) error {
	if errors.As(err, new(*bytebudget.ClosedError)) {
		return net.ErrClosed // evicted
	}
	if !c.refused {
		c.refused = true
		c.listener.options.onRefused(Memory)
	}
	return err
}

// Serve charges bodyBytes for the body of a request that was received, and what the
// server needs to answer it. Until its response is written, the connection isn't
// evicted. The error is a *bytebudget.ExhaustedError.
func (c *Conn) Serve(bodyBytes int64) error {
	if err := c.chargeBody(bodyBytes); err != nil {
		return err
	}
	if err := c.reserveHeader(servingBytes); err != nil {
		return err
	}
	c.serving = true
	c.busy()
	return nil
}

// Hold charges n bytes for the body of the response instead of the request's body,
// which was dropped. The error is a *bytebudget.ExhaustedError.
func (c *Conn) Hold(n int64) error { return c.chargeBody(n) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.progress()
	n, err := c.Conn.Write(p)
	if c.serving {
		c.busy()
	}
	return n, err
}

// endRequest returns the room of a request.
func (c *Conn) endRequest() {
	_ = c.chargeBody(0)
	c.memory.Release(c.headerCharged)
	c.framing, c.headerCharged, c.bodyBuffer = framing{}, 0, 0
	c.reading, c.serving, c.refused = false, false, false
	c.progress()
}

func (c *Conn) progress() {
	now := time.Now()
	for _, account := range []*bytebudget.Account{c.connection, c.memory, c.body} {
		account.Progress(now)
	}
}

func (c *Conn) busy() {
	for _, account := range []*bytebudget.Account{c.connection, c.memory, c.body} {
		account.Busy()
	}
}
