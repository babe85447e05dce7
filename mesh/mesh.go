// Package mesh connects the gateways of a fleet over QUIC. They lend each other
// granted quota when the shared store is unavailable or has nothing left to
// grant, and broadcast on which replicas they have placed long prompts. Serving
// a request never depends on a peer.
//
// A process publishes its address and the fingerprint of its certificate in its
// quota row, and trusts the peers whose fingerprints are in the store. The
// lender counts lent tokens as consumed: a lost response makes them unusable but
// never exceeds a quota.
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

// loanRequest asks a peer to lend tokens of a workspace's quota.
type loanRequest struct {
	Workspace    string `cbor:"workspace"`
	NeededTokens int64  `cbor:"need"`
	WantedTokens int64  `cbor:"wanted"` // preferred amount; the lender caps it at half of what it has left
}

// loanResponse holds the tokens that were lent and those the lender has left.
type loanResponse struct {
	LentTokens      int64 `cbor:"lent"`
	RemainingTokens int64 `cbor:"left"`
}

const (
	protocol = "briarreach-mesh/1"
	// callTimeout bounds one request to a peer, including the handshake.
	callTimeout = 120 * time.Millisecond
	idleTimeout = 20 * time.Second
	// peerBackoff is how long a peer is skipped after it failed to respond.
	peerBackoff     = 2 * time.Second
	maxPeersPerLoan = 5
	maxMessageBytes = 4 << 10
	// certificateValidity outlasts any process; each process creates a new
	// certificate.
	certificateValidity = 10 * 365 * 24 * time.Hour
)

// QuotaAllocators hold the quota that is lent and borrowed, and the known
// peers.
type QuotaAllocators interface {
	// ForWorkspace returns the allocator that holds a workspace's quota.
	ForWorkspace(workspace string) *quota.Allocator
	// KnowsPeer reports whether a gateway has published the fingerprint.
	KnowsPeer(fingerprint string) bool
	// Peers returns the other live gateways.
	Peers() []quota.Peer
	// SetOwnPeer sets the address and the fingerprint that this process publishes.
	SetOwnPeer(quota.Peer)
}

// Mesh connects this process to the other gateways.
type Mesh struct {
	allocators     QuotaAllocators
	clock          clockwork.Clock
	log            log.Interface
	listener       *quic.Listener
	transport      *quic.Transport
	certificate    tls.Certificate
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	closeOnce      sync.Once
	closeErr       error
	borrowedTokens *metrics.Counter
	lentTokens     *metrics.Counter
	loanFailures   *metrics.Counter

	mu           sync.Mutex
	conns        map[string]*quic.Conn    // dialed by this process, by fingerprint
	backoffUntil map[string]time.Time     // by fingerprint
	borrowing    map[string]chan struct{} // by workspace; closed when its loan requests are done
	onPlacement  func(placement.Announcement)
	placements   chan placement.Announcement
}

// Option changes a default of New.
type Option func(*Mesh)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithLog sets the log.
func WithLog(x log.Interface) Option { return func(m *Mesh) { m.log = x } }

// WithMetrics adds the metrics of loans to a set.
func WithMetrics(set *metrics.Set) Option {
	return func(m *Mesh) {
		m.borrowedTokens = set.NewCounter("briarreach_quota_borrowed_tokens_total")
		m.lentTokens = set.NewCounter("briarreach_quota_lent_tokens_total")
		m.loanFailures = set.NewCounter("briarreach_quota_loan_failures_total")
	}
}

// New listens for peers and publishes the address through allocators.
func New(listen netip.AddrPort, allocators QuotaAllocators, opts ...Option) (*Mesh, error) {
	m := &Mesh{allocators: allocators, clock: clockwork.NewRealClock(), log: log.Log, conns: make(map[string]*quic.Conn),
		backoffUntil: make(map[string]time.Time), borrowing: make(map[string]chan struct{}), onPlacement: func(placement.Announcement) {}, placements: make(chan placement.Announcement, maxQueuedPlacements)}
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
	if m.listener, err = m.transport.Listen(m.tlsConfig(""), quicConfig()); err != nil {
		return nil, errors.Join(fmt.Errorf("mesh.New: %w", err), conn.Close())
	}
	address := conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	allocators.SetOwnPeer(quota.Peer{Address: address, Fingerprint: fingerprint(m.certificate.Certificate[0])})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.goroutines.Go(func() { m.broadcastLoop(ctx) })
	m.goroutines.Go(func() { m.accept(ctx) })
	return m, nil
}

// Close stops lending and closes all connections.
func (m *Mesh) Close() error {
	m.closeOnce.Do(func() {
		m.cancel()
		m.closeErr = errors.Join(m.listener.Close(), m.transport.Close(), m.transport.Conn.Close())
	})
	m.goroutines.Wait()
	return m.closeErr
}

func quicConfig() *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: callTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: 64,
		MaxIncomingUniStreams: -1, EnableDatagrams: true, InitialStreamReceiveWindow: maxMessageBytes, MaxStreamReceiveWindow: maxMessageBytes,
		InitialConnectionReceiveWindow: 64 << 10, MaxConnectionReceiveWindow: 64 << 10, DisablePathMTUDiscovery: true}
}

func newCertificate() (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(certificateValidity)}
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

// UnknownPeerError reports a certificate whose fingerprint is not in the store.
type UnknownPeerError struct{ Fingerprint string }

func (e *UnknownPeerError) Error() string { return "no holder has the certificate " + e.Fingerprint }

// tlsConfig accepts the peer with the wanted fingerprint, or all known peers if
// it is empty.
func (m *Mesh) tlsConfig(wanted string) *tls.Config {
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
			if wanted != "" && got == wanted || wanted == "" && m.allocators.KnowsPeer(got) {
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
		m.goroutines.Go(func() { m.servePeer(ctx, conn) })
	}
}

// servePeer handles a peer's placements and serves its loan requests, one at a
// time.
func (m *Mesh) servePeer(ctx context.Context, conn *quic.Conn) {
	m.goroutines.Go(func() { m.receivePlacements(ctx, conn) })
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if err := m.handleLoan(stream); err != nil {
			m.log.WithError(err).Warn("loan request failed")
		}
	}
}

func (m *Mesh) handleLoan(stream *quic.Stream) error {
	defer stream.CancelRead(0)
	if err := stream.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return fmt.Errorf("mesh.handleLoan: %w", err)
	}
	var r loanRequest
	if err := cbor.NewDecoder(io.LimitReader(stream, maxMessageBytes)).Decode(&r); err != nil {
		return fmt.Errorf("mesh.handleLoan: %w", err)
	}
	lent, remaining := m.allocators.ForWorkspace(r.Workspace).Lend(r.Workspace, r.NeededTokens, r.WantedTokens, m.clock.Now())
	m.lentTokens.AddInt64(lent)
	if err := cbor.NewEncoder(stream).Encode(loanResponse{LentTokens: lent, RemainingTokens: remaining}); err != nil {
		return fmt.Errorf("mesh.handleLoan: %w", err)
	}
	return stream.Close()
}

// Borrow requests tokens from up to maxPeersPerLoan peers, in a random order
// weighted by what they have left of the workspace's quota. It returns when the
// requests are done or when ctx ends. A call during another one for the same
// workspace only waits for that one's requests, whatever its own tokens: the
// caller must check what is available then.
func (m *Mesh) Borrow(ctx context.Context, workspace string, tokens int64) {
	m.mu.Lock()
	done, running := m.borrowing[workspace]
	if !running {
		done = make(chan struct{})
		m.borrowing[workspace] = done
		m.goroutines.Go(func() {
			m.borrowFromPeers(workspace, tokens)
			m.mu.Lock()
			delete(m.borrowing, workspace)
			m.mu.Unlock()
			close(done)
		})
	}
	m.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (m *Mesh) borrowFromPeers(workspace string, tokens int64) {
	asked := 0
	allocator := m.allocators.ForWorkspace(workspace)
	for _, peer := range allocator.Lenders(workspace, mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 0))) {
		now := m.clock.Now()
		if m.inBackoff(peer.Fingerprint, now) {
			continue
		}
		if asked++; asked > maxPeersPerLoan {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		a, err := m.requestLoan(ctx, peer, loanRequest{Workspace: workspace, NeededTokens: tokens, WantedTokens: allocator.PreferredLoan(workspace, now)})
		cancel()
		if err != nil {
			m.loanFailures.Inc()
			m.backOff(peer.Fingerprint, now)
			m.log.WithField("peer", peer.Holder).WithField("workspace", workspace).WithError(err).Info("loan not answered")
			continue
		}
		allocator.AddLoan(workspace, a.LentTokens, peer.Holder, a.RemainingTokens)
		m.borrowedTokens.AddInt64(a.LentTokens)
		m.log.WithFields(log.Fields{"peer": peer.Holder, "workspace": workspace, "need": tokens, "lent": a.LentTokens, "left": a.RemainingTokens}).Info("quota borrowed")
		if tokens -= a.LentTokens; tokens <= 0 {
			return
		}
	}
}

func (m *Mesh) inBackoff(peer string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.backoffUntil[peer])
}

// backOff closes the connection to a peer and skips the peer for peerBackoff.
func (m *Mesh) backOff(peer string, now time.Time) {
	m.mu.Lock()
	conn := m.conns[peer]
	delete(m.conns, peer)
	m.backoffUntil[peer] = now.Add(peerBackoff)
	m.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(0, "no answer")
	}
}

func (m *Mesh) requestLoan(ctx context.Context, peer quota.Peer, r loanRequest) (loanResponse, error) {
	var a loanResponse
	conn, err := m.connect(ctx, peer)
	if err != nil {
		return a, fmt.Errorf("mesh.requestLoan: %w", err)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return a, fmt.Errorf("mesh.requestLoan: %w", err)
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return a, fmt.Errorf("mesh.requestLoan: %w", err)
		}
	}
	if err := cbor.NewEncoder(stream).Encode(r); err != nil {
		return a, fmt.Errorf("mesh.requestLoan: %w", err)
	}
	if err := stream.Close(); err != nil {
		return a, fmt.Errorf("mesh.requestLoan: %w", err)
	}
	if err := cbor.NewDecoder(io.LimitReader(stream, maxMessageBytes)).Decode(&a); err != nil {
		return a, fmt.Errorf("mesh.requestLoan: %w", err)
	}
	if a.LentTokens < 0 {
		return loanResponse{}, fmt.Errorf("mesh.requestLoan: negative loan %d", a.LentTokens)
	}
	return a, nil
}

// existingConn returns the open connection to a peer, or nil if there is none.
func (m *Mesh) existingConn(peer string) *quic.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if conn := m.conns[peer]; conn != nil && conn.Context().Err() == nil {
		return conn
	}
	return nil
}

func (m *Mesh) connect(ctx context.Context, peer quota.Peer) (*quic.Conn, error) {
	if conn := m.existingConn(peer.Fingerprint); conn != nil {
		return conn, nil
	}
	conn, err := m.transport.Dial(ctx, udpAddr(peer.Address), m.tlsConfig(peer.Fingerprint), quicConfig())
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.conns[peer.Fingerprint] = conn
	m.mu.Unlock()
	return conn, nil
}
