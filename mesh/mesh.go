// Package mesh connects the gateways of a fleet over QUIC. They lend each other
// granted quota when the shared store is away or has nothing left to grant, and
// tell each other where they have placed long prompts. Serving never depends on
// a peer.
//
// A process shows its address and the fingerprint of its certificate in its
// quota row, so that processes trust whom the store names. What is lent is
// consumed at the lender; a lost answer loses availability and never exceeds a
// quota.
package mesh

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"briarreach/placement"
	"briarreach/quota"
)

// request asks for quota.
type request struct {
	Workspace string `cbor:"workspace"`
	Need      int64  `cbor:"need"`
	Wanted    int64  `cbor:"wanted"`
}

// answer is what was lent, and what the lender has left.
type answer struct {
	Lent int64 `cbor:"lent"`
	Left int64 `cbor:"left"`
}

const (
	protocol = "briarreach-mesh/1"
	// callTimeout bounds one request to a peer, the handshake included.
	callTimeout = 120 * time.Millisecond
	// idleTimeout closes connections that are not used.
	idleTimeout = 20 * time.Second
	// silentFor is how long a peer that did not answer is not asked again.
	silentFor = 2 * time.Second
	// maxAsked bounds the peers that are asked for one request.
	maxAsked = 5
	// maxMessage bounds a message.
	maxMessage = 4 << 10
	// certificateTime is the validity of a process's certificate; it ends
	// with the process.
	certificateTime = 10 * 365 * 24 * time.Hour
)

// QuotaBooks are what is lent from and borrowed to.
type QuotaBooks interface {
	Of(workspace string) *quota.Book
	KnowsPeer(fingerprint string) bool
	Peers() []quota.Peer
	SetPeer(quota.Peer)
}

// Mesh is this process and its connections to the other gateways.
type Mesh struct {
	books       QuotaBooks
	clock       clockwork.Clock
	log         log.Interface
	listener    *quic.Listener
	transport   *quic.Transport
	certificate tls.Certificate
	cancel      context.CancelFunc
	done        sync.WaitGroup
	closeOnce   sync.Once
	closeErr    error
	borrowed    *metrics.Counter
	lent        *metrics.Counter
	failed      *metrics.Counter

	mu     sync.Mutex
	conns  map[string]*quic.Conn // by fingerprint
	silent map[string]time.Time
	asking map[string]chan struct{} // by workspace, closed when a round of asking ends
	told   func(placement.Placed)
	news   chan placement.Placed
}

// Option changes a default of New.
type Option func(*Mesh)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithLog sets the log.
func WithLog(x log.Interface) Option { return func(m *Mesh) { m.log = x } }

// WithMetrics adds the lender's metrics to a set.
func WithMetrics(set *metrics.Set) Option {
	return func(m *Mesh) {
		m.borrowed = set.NewCounter("briarreach_quota_borrowed_tokens_total")
		m.lent = set.NewCounter("briarreach_quota_lent_tokens_total")
		m.failed = set.NewCounter("briarreach_quota_loan_failures_total")
	}
}

// New listens for peers and shows its address in the book.
func New(listen netip.AddrPort, books QuotaBooks, opts ...Option) (*Mesh, error) {
	m := &Mesh{books: books, clock: clockwork.NewRealClock(), log: log.Log, conns: make(map[string]*quic.Conn),
		silent: make(map[string]time.Time), asking: make(map[string]chan struct{}), told: func(placement.Placed) {}, news: make(chan placement.Placed, maxNews)}
	WithMetrics(metrics.NewSet())(m)
	for _, opt := range opts {
		opt(m)
	}
	var err error
	if m.certificate, err = newCertificate(); err != nil {
		return nil, fmt.Errorf("mesh.New: %w", err)
	}
	conn, err := listenUDP(listen)
	if err != nil {
		return nil, fmt.Errorf("mesh.New: %w", err)
	}
	m.transport = &quic.Transport{Conn: conn}
	if m.listener, err = m.transport.Listen(m.tls(""), quicConfig()); err != nil {
		return nil, errors.Join(fmt.Errorf("mesh.New: %w", err), conn.Close())
	}
	address := conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	books.SetPeer(quota.Peer{Address: address, Fingerprint: fingerprint(m.certificate.Certificate[0])})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.spread(ctx) })
	m.done.Go(func() { m.accept(ctx) })
	return m, nil
}

// Close stops lending and closes all connections.
func (m *Mesh) Close() error {
	m.closeOnce.Do(func() {
		m.cancel()
		m.closeErr = errors.Join(m.listener.Close(), m.transport.Close(), m.transport.Conn.Close())
	})
	m.done.Wait()
	return m.closeErr
}

func quicConfig() *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: callTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: 64,
		MaxIncomingUniStreams: -1, EnableDatagrams: true, InitialStreamReceiveWindow: maxMessage, MaxStreamReceiveWindow: maxMessage,
		InitialConnectionReceiveWindow: 64 << 10, MaxConnectionReceiveWindow: 64 << 10, DisablePathMTUDiscovery: true}
}

func newCertificate() (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(certificateTime)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

func fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// UnknownPeerError reports a certificate that no row of the store names.
type UnknownPeerError struct{ Fingerprint string }

func (e *UnknownPeerError) Error() string { return "no holder has the certificate " + e.Fingerprint }

// tls accepts one peer, or all that the book knows if want is empty.
func (m *Mesh) tls(want string) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{m.certificate},
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // the fingerprint is verified instead of a chain
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			if len(raw) == 0 {
				return &UnknownPeerError{}
			}
			got := fingerprint(raw[0])
			if want != "" && got == want || want == "" && m.books.KnowsPeer(got) {
				return nil
			}
			return &UnknownPeerError{Fingerprint: got}
		},
	}
}

func (m *Mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		m.done.Go(func() { m.serve(ctx, conn) })
	}
}

// serve answers a peer's requests one by one.
func (m *Mesh) serve(ctx context.Context, conn *quic.Conn) {
	m.done.Go(func() { m.receive(ctx, conn) })
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if err := m.lend(stream); err != nil {
			m.log.WithError(err).Warn("loan request failed")
		}
	}
}

func (m *Mesh) lend(stream *quic.Stream) error {
	defer stream.CancelRead(0)
	if err := stream.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return fmt.Errorf("mesh.lend: %w", err)
	}
	var r request
	if err := cbor.NewDecoder(io.LimitReader(stream, maxMessage)).Decode(&r); err != nil {
		return fmt.Errorf("mesh.lend: %w", err)
	}
	given, left := m.books.Of(r.Workspace).Lend(r.Workspace, r.Need, r.Wanted, m.clock.Now())
	m.lent.AddInt64(given)
	if err := cbor.NewEncoder(stream).Encode(answer{Lent: given, Left: left}); err != nil {
		return fmt.Errorf("mesh.lend: %w", err)
	}
	return stream.Close()
}

// Borrow asks the peers with the most left of a workspace's quota for tokens.
// Concurrent calls for one workspace share a round. It returns when the round
// has ended or ctx has.
func (m *Mesh) Borrow(ctx context.Context, workspace string, need int64) {
	m.mu.Lock()
	round, running := m.asking[workspace]
	if !running {
		round = make(chan struct{})
		m.asking[workspace] = round
		m.done.Go(func() {
			m.ask(workspace, need)
			m.mu.Lock()
			delete(m.asking, workspace)
			m.mu.Unlock()
			close(round)
		})
	}
	m.mu.Unlock()
	select {
	case <-round:
	case <-ctx.Done():
	}
}

func (m *Mesh) ask(workspace string, need int64) {
	asked := 0
	book := m.books.Of(workspace)
	for _, peer := range book.Lenders(workspace, mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 0))) {
		now := m.clock.Now()
		if m.isSilent(peer.Fingerprint, now) {
			continue
		}
		if asked++; asked > maxAsked {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		a, err := m.call(ctx, peer, request{Workspace: workspace, Need: need, Wanted: book.Wanted(workspace, now)})
		cancel()
		if err != nil {
			m.failed.Inc()
			m.drop(peer.Fingerprint, now)
			m.log.WithField("peer", peer.Holder).WithField("workspace", workspace).WithError(err).Info("loan not answered")
			continue
		}
		book.Borrowed(workspace, a.Lent, peer.Holder, a.Left)
		m.borrowed.AddInt64(a.Lent)
		m.log.WithFields(log.Fields{"peer": peer.Holder, "workspace": workspace, "need": need, "lent": a.Lent, "left": a.Left}).Info("quota borrowed")
		if need -= a.Lent; need <= 0 {
			return
		}
	}
}

func (m *Mesh) isSilent(peer string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.silent[peer])
}

func (m *Mesh) drop(peer string, now time.Time) {
	m.mu.Lock()
	conn := m.conns[peer]
	delete(m.conns, peer)
	m.silent[peer] = now.Add(silentFor)
	m.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(0, "no answer")
	}
}

func (m *Mesh) call(ctx context.Context, peer quota.Peer, r request) (answer, error) {
	var a answer
	conn, err := m.connect(ctx, peer)
	if err != nil {
		return a, fmt.Errorf("mesh.call: %w", err)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return a, fmt.Errorf("mesh.call: %w", err)
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return a, fmt.Errorf("mesh.call: %w", err)
		}
	}
	if err := cbor.NewEncoder(stream).Encode(r); err != nil {
		return a, fmt.Errorf("mesh.call: %w", err)
	}
	if err := stream.Close(); err != nil {
		return a, fmt.Errorf("mesh.call: %w", err)
	}
	if err := cbor.NewDecoder(io.LimitReader(stream, maxMessage)).Decode(&a); err != nil {
		return a, fmt.Errorf("mesh.call: %w", err)
	}
	if a.Lent < 0 {
		return answer{}, fmt.Errorf("mesh.call: negative loan %d", a.Lent)
	}
	return a, nil
}

// connected returns the connection to a peer, or nil if there is none.
func (m *Mesh) connected(peer string) *quic.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if conn := m.conns[peer]; conn != nil && conn.Context().Err() == nil {
		return conn
	}
	return nil
}

func (m *Mesh) connect(ctx context.Context, peer quota.Peer) (*quic.Conn, error) {
	if conn := m.connected(peer.Fingerprint); conn != nil {
		return conn, nil
	}
	conn, err := m.transport.Dial(ctx, udpAddr(peer.Address), m.tls(peer.Fingerprint), quicConfig())
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.conns[peer.Fingerprint] = conn
	m.mu.Unlock()
	return conn, nil
}
