// Package mesh connects the gateways of a fleet over QUIC. The homes of a
// workspace lend its granted quota to the other gateways, and all broadcast on
// which replicas they have placed long prompts, and which prompt parts may have
// crashed a replica. A gateway whose peers do not
// respond draws quota from the shared store instead.
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
	"maps"
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
	"golang.org/x/sync/singleflight"

	"briarreach/placement"
	"briarreach/quarantine"
	"briarreach/quota"
	"briarreach/replicalimit"
	"briarreach/replicanotice"
	"briarreach/replicaspeed"
)

// loanRequest asks a peer to lend tokens of a workspace's quota.
type loanRequest struct {
	Workspace    string `cbor:"workspace"`
	NeededTokens int64  `cbor:"need"`
	WantedTokens int64  `cbor:"wanted"`           // preferred amount, lent while plenty is left
	RepaidTokens int64  `cbor:"repaid,omitempty"` // borrowed earlier and not spent
}

// loanResponse holds the tokens that were lent and those the lender has left.
type loanResponse struct {
	LentTokens    int64  `cbor:"lent"`
	UnspentTokens *int64 `cbor:"unspent,omitempty"` // granted to the lender and not spent; nil from earlier versions
}

// unspent returns the tokens that the lender has left, as AddLoan takes them.
func (r loanResponse) unspent() int64 {
	if r.UnspentTokens == nil {
		return quota.UnknownUnspent
	}
	return max(*r.UnspentTokens, 0)
}

const (
	protocol = "briarreach-mesh/1"
	// callTimeout bounds one request to a peer, including the handshake.
	callTimeout = 120 * time.Millisecond
	// dialTimeout bounds a handshake, which serves later requests if the one that
	// needed it first has timed out.
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 20 * time.Second
	// minPeerBackoff is how long a peer is skipped after it failed to respond;
	// doubled with each further failure up to maxPeerBackoff.
	minPeerBackoff      = 100 * time.Millisecond
	maxPeerBackoff      = 2 * time.Second
	maxBackoffDoublings = 8
	// backoffMemory is how long the failures of a peer count after its backoff.
	backoffMemory   = 10 * time.Second
	maxPeersPerLoan = 5
	// fruitlessPause is the time after loan requests that brought nothing in which no
	// others are sent for the workspace. Without it each request for a workspace whose
	// quota is nearly consumed asks up to maxPeersPerLoan peers again.
	fruitlessPause = 200 * time.Millisecond
	// repayInterval is the time between repayments of tokens that requests
	// reserved and did not spend.
	repayInterval   = time.Second
	maxMessageBytes = 4 << 10
	// certificateValidity outlasts any process; each process creates a new
	// certificate.
	certificateValidity = 10 * 365 * 24 * time.Hour
)

// QuotaAllocators hold the quota that is lent and borrowed, and the known
// peers.
type QuotaAllocators interface {
	// GrantNotices returns what a peer should know of this gateway's grants.
	GrantNotices() []quota.GrantNotice
	// ForWorkspace returns the allocator that holds a workspace's quota.
	ForWorkspace(workspace string) *quota.Allocator
	// KnowsPeer reports whether a gateway has published the fingerprint.
	KnowsPeer(fingerprint string) bool
	// TakeRepayments returns borrowed tokens by workspace that are not needed.
	TakeRepayments(now time.Time) map[string]int64
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
	dials          singleflight.Group // by fingerprint
	borrowedTokens *metrics.Counter
	lentTokens     *metrics.Counter
	loanFailures   *metrics.Counter
	loanRequests   *metrics.Counter

	mu          sync.Mutex
	conns       map[string]*quic.Conn    // dialed by this process, by fingerprint
	backoffs    map[string]peerBackoff   // by fingerprint
	borrowing   map[string]chan struct{} // by workspace; closed when its loan requests are done
	fruitless   map[string]time.Time     // by workspace; when loan requests that brought nothing were done
	onPlacement func(placement.Announcement)
	onEvidence  func(quarantine.Evidence)
	onLimit     func(replicalimit.Notice)
	onGrants    func(quota.GrantNotice)
	onLeaving   func(replicanotice.Leaving)
	onSpeeds    func(replicaspeed.Message)
	datagrams   chan datagram
}

// peerBackoff says until when a peer is skipped, and after how many failures in a
// row.
type peerBackoff struct {
	until    time.Time
	failures int
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
		m.loanRequests = set.NewCounter("briarreach_quota_loan_requests_total")
		m.loanFailures = set.NewCounter("briarreach_quota_loan_failures_total")
	}
}

// New listens for peers and publishes the address through allocators.
func New(listen netip.AddrPort, allocators QuotaAllocators, opts ...Option) (*Mesh, error) {
	m := &Mesh{allocators: allocators, clock: clockwork.NewRealClock(), log: log.Log, conns: make(map[string]*quic.Conn),
		backoffs: make(map[string]peerBackoff), borrowing: make(map[string]chan struct{}), fruitless: make(map[string]time.Time), onPlacement: func(placement.Announcement) {}, onEvidence: func(quarantine.Evidence) {}, onLimit: func(replicalimit.Notice) {}, onGrants: func(quota.GrantNotice) {}, onLeaving: func(replicanotice.Leaving) {}, onSpeeds: func(replicaspeed.Message) {}, datagrams: make(chan datagram, maxQueuedDatagrams)}
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
	m.goroutines.Go(func() { m.connectLoop(ctx) })
	m.goroutines.Go(func() { m.repayLoop(ctx) })
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
	return &quic.Config{HandshakeIdleTimeout: dialTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: 64,
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
			// Also asked for a server that is not the wanted one, so that its row is
			// read: it has restarted.
			if known := m.allocators.KnowsPeer(got); wanted != "" && got == wanted || wanted == "" && known {
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

// servePeer handles a peer's datagrams and serves its loan requests, one at a
// time.
func (m *Mesh) servePeer(ctx context.Context, conn *quic.Conn) {
	m.goroutines.Go(func() { m.receiveDatagrams(ctx, conn) })
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
	allocator := m.allocators.ForWorkspace(r.Workspace)
	allocator.Repay(r.Workspace, r.RepaidTokens)
	lent, unspent := allocator.Lend(r.Workspace, r.NeededTokens, r.WantedTokens, m.clock.Now())
	m.lentTokens.AddInt64(lent)
	if err := cbor.NewEncoder(stream).Encode(loanResponse{LentTokens: lent, UnspentTokens: &unspent}); err != nil {
		return fmt.Errorf("mesh.handleLoan: %w", err)
	}
	return stream.Close()
}

// Borrow requests the tokens that waiting requests lack from up to
// maxPeersPerLoan peers, in a random order weighted by what they have left of the
// workspace's quota. It returns when the requests are done or when ctx ends. A
// call during another one for the same workspace only waits for that one's
// requests, and a call soon after one that brought nothing returns at once: the
// caller must check what is available then.
func (m *Mesh) Borrow(ctx context.Context, workspace string) {
	m.mu.Lock()
	done, running := m.borrowing[workspace]
	if at, ok := m.fruitless[workspace]; !running && ok && m.clock.Since(at) < fruitlessPause {
		m.mu.Unlock()
		return
	}
	if !running {
		done = make(chan struct{})
		m.borrowing[workspace] = done
		m.goroutines.Go(func() {
			fruitless := m.borrowFromPeers(workspace)
			m.mu.Lock()
			delete(m.borrowing, workspace)
			if delete(m.fruitless, workspace); fruitless {
				m.fruitless[workspace] = m.clock.Now()
			}
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

// borrowFromPeers reports whether peers have answered and lent nothing.
func (m *Mesh) borrowFromPeers(workspace string) (fruitless bool) {
	asked, answered, lent := 0, 0, int64(0)
	allocator := m.allocators.ForWorkspace(workspace)
	defer func() { allocator.NoteAsked(workspace, m.clock.Now()) }()
	for _, peer := range m.lenders(allocator, workspace) {
		now := m.clock.Now()
		if m.inBackoff(peer.Fingerprint, now) {
			continue
		}
		missing := allocator.Missing(workspace, now)
		if asked++; asked > maxPeersPerLoan || missing == 0 {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		a, err := m.requestLoan(ctx, peer, loanRequest{Workspace: workspace, NeededTokens: missing, WantedTokens: allocator.PreferredLoan(workspace, now)})
		cancel()
		if err != nil {
			m.loanFailures.Inc()
			m.backOff(peer.Fingerprint, now)
			m.log.WithField("peer", peer.Holder).WithField("workspace", workspace).WithError(err).Info("loan not answered")
			continue
		}
		m.responded(peer.Fingerprint)
		answered++
		lent += a.LentTokens
		allocator.AddLoan(workspace, a.LentTokens, peer.Holder, a.unspent())
		m.borrowedTokens.AddInt64(a.LentTokens)
		if a.LentTokens < missing {
			m.log.WithFields(log.Fields{"peer": peer.Holder, "workspace": workspace, "need": missing, "lent": a.LentTokens, "left": a.unspent()}).Info("less quota borrowed than needed")
		}
	}
	return answered > 0 && lent == 0
}

// repayLoop gives back what requests borrowed and did not spend.
func (m *Mesh) repayLoop(ctx context.Context) {
	for {
		select {
		case <-m.clock.After(repayInterval):
			m.Repay(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Repay gives borrowed tokens that this process does not need soon back to a
// home of their workspace. Tokens whose message is lost can't be spent anymore.
func (m *Mesh) Repay(ctx context.Context) {
	for workspace, tokens := range m.allocators.TakeRepayments(m.clock.Now()) {
		if peer, ok := m.firstLender(workspace); ok {
			m.repay(ctx, peer, workspace, tokens)
		} else {
			m.allocators.ForWorkspace(workspace).Repay(workspace, tokens)
		}
	}
}

// firstLender returns a peer that probably responds.
func (m *Mesh) firstLender(workspace string) (quota.Peer, bool) {
	now := m.clock.Now()
	for _, peer := range m.lenders(m.allocators.ForWorkspace(workspace), workspace) {
		if !m.inBackoff(peer.Fingerprint, now) {
			return peer, true
		}
	}
	return quota.Peer{}, false
}

func (m *Mesh) repay(ctx context.Context, peer quota.Peer, workspace string, tokens int64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := m.requestLoan(callCtx, peer, loanRequest{Workspace: workspace, RepaidTokens: tokens})
	if err != nil {
		m.loanFailures.Inc()
		m.backOff(peer.Fingerprint, m.clock.Now())
		m.log.WithFields(log.Fields{"peer": peer.Holder, "workspace": workspace, "tokens": tokens}).WithError(err).Warn("borrowed quota lost: repayment not answered")
		return
	}
	m.allocators.ForWorkspace(workspace).AddLoan(workspace, a.LentTokens, peer.Holder, a.unspent())
}

// lenders returns the peers to ask, those with an open connection first: after a
// restart of the fleet a handshake can take as long as a request may wait.
func (m *Mesh) lenders(allocator *quota.Allocator, workspace string) []quota.Peer {
	peers := allocator.Lenders(workspace, mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 0)))
	var connected, others []quota.Peer
	for _, p := range peers {
		if m.existingConn(p.Fingerprint) != nil {
			connected = append(connected, p)
		} else {
			others = append(others, p)
		}
	}
	return append(connected, others...)
}

func (m *Mesh) inBackoff(peer string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.backoffs[peer].until)
}

// backOff closes the connection to a peer and skips the peer for a while.
func (m *Mesh) backOff(peer string, now time.Time) {
	m.mu.Lock()
	conn := m.conns[peer]
	delete(m.conns, peer)
	maps.DeleteFunc(m.backoffs, func(_ string, b peerBackoff) bool { return now.Sub(b.until) > backoffMemory })
	failures := m.backoffs[peer].failures + 1
	m.backoffs[peer] = peerBackoff{until: now.Add(min(minPeerBackoff<<min(failures-1, maxBackoffDoublings), maxPeerBackoff)), failures: failures}
	m.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(0, "no answer")
	}
}

// responded ends the backoff of a peer.
func (m *Mesh) responded(peer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backoffs, peer)
}

func (m *Mesh) requestLoan(ctx context.Context, peer quota.Peer, r loanRequest) (loanResponse, error) {
	var a loanResponse
	m.loanRequests.Inc()
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
	dialed := m.dials.DoChan(peer.Fingerprint, func() (any, error) {
		dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
		defer cancel()
		conn, err := m.transport.Dial(dialCtx, udpAddr(peer.Address), m.tlsConfig(peer.Fingerprint), quicConfig())
		if err != nil {
			return nil, err
		}
		m.mu.Lock()
		m.conns[peer.Fingerprint] = conn
		m.mu.Unlock()
		m.announceGrants(conn)
		return conn, nil
	})
	select {
	case result := <-dialed:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*quic.Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
