package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Protocol is the name negotiated by ALPN.
const Protocol = "briarreach/1"

// recheckInterval bounds how often the files are looked at, since every
// handshake asks for them.
const recheckInterval = time.Second

// Credentials are a process's certificate and key and the fleet's certificate
// authority. Files are read again when they have changed, so that certificates
// are rotated without a restart; connections keep the certificate they were
// made with.
type Credentials struct {
	files [3]string // authority, certificate, key; empty when held in memory

	mu      sync.Mutex
	loaded  *material
	stamps  [3]stamp
	checked time.Time
	failure error
}

type material struct {
	authorities *x509.CertPool
	certificate tls.Certificate
}

// stamp tells one content of a file from another.
type stamp struct {
	size     int64
	modified time.Time
}

// LoadCredentials reads PEM files: the certificates of the fleet's authority
// (several during its rotation), the process's certificate and its key.
func LoadCredentials(caFile, certFile, keyFile string) (*Credentials, error) {
	c := &Credentials{files: [3]string{caFile, certFile, keyFile}}
	if err := c.read(); err != nil {
		return nil, fmt.Errorf("peer.LoadCredentials: %w", err)
	}
	return c, nil
}

// NewCredentials returns credentials held in memory, from PEM.
func NewCredentials(ca, cert, key []byte) (*Credentials, error) {
	m, err := parse(ca, cert, key)
	if err != nil {
		return nil, fmt.Errorf("peer.NewCredentials: %w", err)
	}
	return &Credentials{loaded: m}, nil
}

func parse(ca, cert, key []byte) (*material, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &CredentialsError{Reason: "the authority's file holds no certificate"}
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, &CredentialsError{Reason: "certificate and key", Err: err}
	}
	if _, _, err := identify(pair.Leaf); err != nil {
		return nil, err
	}
	return &material{authorities: pool, certificate: pair}, nil
}

// identify returns the process name and the role that a certificate states.
func identify(cert *x509.Certificate) (string, Role, error) {
	name, units := cert.Subject.CommonName, cert.Subject.OrganizationalUnit
	if name == "" || len(units) != 1 {
		return "", "", &CredentialsError{Reason: "a certificate needs a common name and one organizational unit"}
	}
	switch role := Role(units[0]); role {
	case EntryRole, AgentRole, OperatorRole:
		return name, role, nil
	default:
		return "", "", &CredentialsError{Reason: fmt.Sprintf("unknown role %q", role)}
	}
}

// read replaces the material by the content of the files. The caller holds mu
// or the only reference.
func (c *Credentials) read() error {
	var content [3][]byte
	var stamps [3]stamp
	for i, name := range c.files {
		var err error
		if stamps[i], err = stampOf(name); err != nil {
			return err
		}
		if content[i], err = os.ReadFile(name); err != nil {
			return &CredentialsError{Reason: "read", Err: err}
		}
	}
	m, err := parse(content[0], content[1], content[2])
	if err != nil {
		return err
	}
	c.loaded, c.stamps = m, stamps
	return nil
}

func stampOf(name string) (stamp, error) {
	info, err := os.Stat(name)
	if err != nil {
		return stamp{}, &CredentialsError{Reason: "stat", Err: err}
	}
	return stamp{size: info.Size(), modified: info.ModTime()}, nil
}

// current returns the newest usable material. A failed read, for example of
// files that are being replaced one after the other, keeps the last one.
func (c *Credentials) current(now time.Time) *material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.files[0] == "" || now.Sub(c.checked).Abs() < recheckInterval {
		return c.loaded
	}
	c.checked = now
	for i, name := range c.files {
		if s, err := stampOf(name); err != nil || s != c.stamps[i] {
			c.failure = c.read()
			break
		}
	}
	return c.loaded
}

// ReloadError returns why the last change of the files could not be loaded, or
// nil.
func (c *Credentials) ReloadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Process returns the process name and role of the certificate.
func (c *Credentials) Process() (string, Role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, role, _ := identify(c.loaded.certificate.Leaf)
	return name, role
}

// Expires returns the end of the certificate's validity.
func (c *Credentials) Expires() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded.certificate.Leaf.NotAfter
}

// config returns the TLS configuration of one handshake in either direction.
// Resumption is off: it would skip the check of the certificate.
func (c *Credentials) config(now func() time.Time) *tls.Config {
	m := c.current(now())
	return &tls.Config{
		Certificates:           []tls.Certificate{m.certificate},
		RootCAs:                m.authorities,
		ClientCAs:              m.authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{Protocol},
		SessionTicketsDisabled: true,
		Time:                   now,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, _, err := identify(state.PeerCertificates[0])
			return err
		},
	}
}

func (c *Credentials) server(now func() time.Time) *tls.Config {
	outer := c.config(now)
	outer.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.config(now), nil }
	return outer
}

// resetKey derives the key of stateless resets from the private key, so that a
// restarted process resets the connections of its predecessor at once instead
// of leaving them to time out.
func (c *Credentials) resetKey() (*quic.StatelessResetKey, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, err := x509.MarshalPKCS8PrivateKey(c.loaded.certificate.PrivateKey)
	if err != nil {
		return nil, &CredentialsError{Reason: "private key", Err: err}
	}
	sum := quic.StatelessResetKey(sha256.Sum256(append([]byte("briarreach stateless reset\n"), key...)))
	return &sum, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
