// Package lending lets the gateways of a fleet lend each other granted quota
// over QUIC, when the shared store is away or has nothing left to grant.
//
// A process shows its address and the fingerprint of its certificate in its
// quota row, so that processes trust whom the store names. What is lent is
// consumed at the lender; a lost answer loses availability and never exceeds a
// quota.
package lending

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
	protocol = "briarreach-lending/1"
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

// Books are what is lent from and borrowed to.
type Books interface {
	Of(workspace string) *quota.Book
	KnowsPeer(fingerprint string) bool
	SetPeer(quota.Peer)
}

// Lender lends to and borrows from the other gateways.
type Lender struct {
	books       Books
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
}

// Option changes a default of New.
type Option func(*Lender)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(l *Lender) { l.clock = c } }

// WithLog sets the log.
func WithLog(x log.Interface) Option { return func(l *Lender) { l.log = x } }

// WithMetrics adds the lender's metrics to a set.
func WithMetrics(set *metrics.Set) Option {
	return func(l *Lender) {
		l.borrowed = set.NewCounter("briarreach_quota_borrowed_tokens_total")
		l.lent = set.NewCounter("briarreach_quota_lent_tokens_total")
		l.failed = set.NewCounter("briarreach_quota_loan_failures_total")
	}
}

// New listens for peers and shows its address in the book.
func New(listen netip.AddrPort, books Books, opts ...Option) (*Lender, error) {
	l := &Lender{books: books, clock: clockwork.NewRealClock(), log: log.Log, conns: make(map[string]*quic.Conn),
		silent: make(map[string]time.Time), asking: make(map[string]chan struct{})}
	WithMetrics(metrics.NewSet())(l)
	for _, opt := range opts {
		opt(l)
	}
	var err error
	if l.certificate, err = newCertificate(); err != nil {
		return nil, fmt.Errorf("lending.New: %w", err)
	}
	conn, err := listenUDP(listen)
	if err != nil {
		return nil, fmt.Errorf("lending.New: %w", err)
	}
	l.transport = &quic.Transport{Conn: conn}
	if l.listener, err = l.transport.Listen(l.tls(""), quicConfig()); err != nil {
		return nil, errors.Join(fmt.Errorf("lending.New: %w", err), conn.Close())
	}
	address := conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	books.SetPeer(quota.Peer{Address: address, Fingerprint: fingerprint(l.certificate.Certificate[0])})
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		l.accept(ctx)
	}()
	return l, nil
}

// Close stops lending and closes all connections.
func (l *Lender) Close() error {
	l.closeOnce.Do(func() {
		l.cancel()
		l.closeErr = errors.Join(l.listener.Close(), l.transport.Close(), l.transport.Conn.Close())
	})
	l.done.Wait()
	return l.closeErr
}

func quicConfig() *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: callTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: 64,
		MaxIncomingUniStreams: -1, InitialStreamReceiveWindow: maxMessage, MaxStreamReceiveWindow: maxMessage,
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
func (l *Lender) tls(want string) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{l.certificate},
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // the fingerprint is verified instead of a chain
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			if len(raw) == 0 {
				return &UnknownPeerError{}
			}
			got := fingerprint(raw[0])
			if want != "" && got == want || want == "" && l.books.KnowsPeer(got) {
				return nil
			}
			return &UnknownPeerError{Fingerprint: got}
		},
	}
}

func (l *Lender) accept(ctx context.Context) {
	for {
		conn, err := l.listener.Accept(ctx)
		if err != nil {
			return
		}
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.serve(ctx, conn)
		}()
	}
}

// serve answers a peer's requests one by one.
func (l *Lender) serve(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if err := l.lend(stream); err != nil {
			l.log.WithError(err).Warn("loan request failed")
		}
	}
}

func (l *Lender) lend(stream *quic.Stream) error {
	defer stream.CancelRead(0)
	if err := stream.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return fmt.Errorf("lending.lend: %w", err)
	}
	var r request
	if err := cbor.NewDecoder(io.LimitReader(stream, maxMessage)).Decode(&r); err != nil {
		return fmt.Errorf("lending.lend: %w", err)
	}
	given, left := l.books.Of(r.Workspace).Lend(r.Workspace, r.Need, r.Wanted, l.clock.Now())
	l.lent.AddInt64(given)
	if err := cbor.NewEncoder(stream).Encode(answer{Lent: given, Left: left}); err != nil {
		return fmt.Errorf("lending.lend: %w", err)
	}
	return stream.Close()
}

// Borrow asks the peers with the most left of a workspace's quota for tokens.
// Concurrent calls for one workspace share a round. It returns when the round
// has ended or ctx has.
func (l *Lender) Borrow(ctx context.Context, workspace string, need int64) {
	l.mu.Lock()
	round, running := l.asking[workspace]
	if !running {
		round = make(chan struct{})
		l.asking[workspace] = round
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.ask(workspace, need)
			l.mu.Lock()
			delete(l.asking, workspace)
			l.mu.Unlock()
			close(round)
		}()
	}
	l.mu.Unlock()
	select {
	case <-round:
	case <-ctx.Done():
	}
}

func (l *Lender) ask(workspace string, need int64) {
	asked := 0
	book := l.books.Of(workspace)
	for _, peer := range book.Lenders(workspace, mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 0))) {
		now := l.clock.Now()
		if l.isSilent(peer.Fingerprint, now) {
			continue
		}
		if asked++; asked > maxAsked {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		a, err := l.call(ctx, peer, request{Workspace: workspace, Need: need, Wanted: book.Wanted(workspace, now)})
		cancel()
		if err != nil {
			l.failed.Inc()
			l.drop(peer.Fingerprint, now)
			l.log.WithField("peer", peer.Holder).WithField("workspace", workspace).WithError(err).Info("loan not answered")
			continue
		}
		book.Borrowed(workspace, a.Lent, peer.Holder, a.Left)
		l.borrowed.AddInt64(a.Lent)
		l.log.WithFields(log.Fields{"peer": peer.Holder, "workspace": workspace, "need": need, "lent": a.Lent, "left": a.Left}).Info("quota borrowed")
		if need -= a.Lent; need <= 0 {
			return
		}
	}
}

func (l *Lender) isSilent(peer string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.silent[peer])
}

func (l *Lender) drop(peer string, now time.Time) {
	l.mu.Lock()
	conn := l.conns[peer]
	delete(l.conns, peer)
	l.silent[peer] = now.Add(silentFor)
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(0, "no answer")
	}
}

func (l *Lender) call(ctx context.Context, peer quota.Peer, r request) (answer, error) {
	var a answer
	conn, err := l.connect(ctx, peer)
	if err != nil {
		return a, fmt.Errorf("lending.call: %w", err)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return a, fmt.Errorf("lending.call: %w", err)
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return a, fmt.Errorf("lending.call: %w", err)
		}
	}
	if err := cbor.NewEncoder(stream).Encode(r); err != nil {
		return a, fmt.Errorf("lending.call: %w", err)
	}
	if err := stream.Close(); err != nil {
		return a, fmt.Errorf("lending.call: %w", err)
	}
	if err := cbor.NewDecoder(io.LimitReader(stream, maxMessage)).Decode(&a); err != nil {
		return a, fmt.Errorf("lending.call: %w", err)
	}
	if a.Lent < 0 {
		return answer{}, fmt.Errorf("lending.call: negative loan %d", a.Lent)
	}
	return a, nil
}

func (l *Lender) connect(ctx context.Context, peer quota.Peer) (*quic.Conn, error) {
	l.mu.Lock()
	conn := l.conns[peer.Fingerprint]
	l.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	conn, err := l.transport.Dial(ctx, udpAddr(peer.Address), l.tls(peer.Fingerprint), quicConfig())
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conns[peer.Fingerprint] = conn
	l.mu.Unlock()
	return conn, nil
}
