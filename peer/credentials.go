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

// Protocol is the ALPN protocol name.
const Protocol = "briarreach/1"

// fileCheckInterval is the minimum time between two checks of the files for
// changes, since every handshake causes one.
const fileCheckInterval = time.Second

// Credentials are a process's certificate and key and the certificates of the
// fleet's authority. Changed files are reloaded, so that certificates are
// rotated without a restart; open connections keep the certificate of their
// handshake.
type Credentials struct {
	files [3]string // authority, certificate, key; empty when held in memory

	mu        sync.Mutex
	current   *keyMaterial
	versions  [3]fileVersion
	checkedAt time.Time
	reloadErr error
}

type keyMaterial struct {
	authorities *x509.CertPool
	certificate tls.Certificate
}

// fileVersion is used to detect a changed file.
type fileVersion struct {
	size     int64
	modified time.Time
}

// LoadCredentials reads PEM files: the certificates of the fleet's authority
// (several while it is rotated), the process's certificate and its key.
func LoadCredentials(caFile, certFile, keyFile string) (*Credentials, error) {
	c := &Credentials{files: [3]string{caFile, certFile, keyFile}}
	if err := c.load(); err != nil {
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
	return &Credentials{current: m}, nil
}

func parse(ca, cert, key []byte) (*keyMaterial, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &CredentialsError{Reason: "the authority's file contains no certificate"}
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, &CredentialsError{Reason: "invalid certificate or key", Err: err}
	}
	if _, _, err := certificateIdentity(pair.Leaf); err != nil {
		return nil, err
	}
	return &keyMaterial{authorities: pool, certificate: pair}, nil
}

// certificateIdentity returns the process name and role in a certificate's
// subject.
func certificateIdentity(cert *x509.Certificate) (string, Role, error) {
	name, roles := cert.Subject.CommonName, cert.Subject.OrganizationalUnit
	if name == "" || len(roles) != 1 {
		return "", "", &CredentialsError{Reason: "a certificate needs a common name and one organizational unit"}
	}
	switch role := Role(roles[0]); role {
	case EntryRole, AgentRole, OperatorRole:
		return name, role, nil
	default:
		return "", "", &CredentialsError{Reason: fmt.Sprintf("unknown role %q", role)}
	}
}

// load sets current from the files. The caller holds mu or the only reference
// to c.
func (c *Credentials) load() error {
	var contents [3][]byte
	var versions [3]fileVersion
	for i, name := range c.files {
		var err error
		if versions[i], err = statFile(name); err != nil {
			return err
		}
		if contents[i], err = os.ReadFile(name); err != nil {
			return &CredentialsError{Reason: "read", Err: err}
		}
	}
	m, err := parse(contents[0], contents[1], contents[2])
	if err != nil {
		return err
	}
	c.current, c.versions = m, versions
	return nil
}

func statFile(name string) (fileVersion, error) {
	info, err := os.Stat(name)
	if err != nil {
		return fileVersion{}, &CredentialsError{Reason: "stat", Err: err}
	}
	return fileVersion{size: info.Size(), modified: info.ModTime()}, nil
}

// reloadIfChanged returns the key material, reloaded if the files have changed.
// If they cannot be loaded, for example while they are replaced one after the
// other, the previous material stays in use.
func (c *Credentials) reloadIfChanged(now time.Time) *keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.files[0] == "" || now.Sub(c.checkedAt).Abs() < fileCheckInterval {
		return c.current
	}
	c.checkedAt = now
	for i, name := range c.files {
		if s, err := statFile(name); err != nil || s != c.versions[i] {
			c.reloadErr = c.load()
			break
		}
	}
	return c.current
}

// ReloadError returns why the last change of the files could not be loaded, or
// nil.
func (c *Credentials) ReloadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reloadErr
}

// Process returns the process name and role in the certificate.
func (c *Credentials) Process() (string, Role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, role, _ := certificateIdentity(c.current.certificate.Leaf)
	return name, role
}

// Expires returns when the certificate expires.
func (c *Credentials) Expires() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.certificate.Leaf.NotAfter
}

// tlsConfig returns the TLS configuration of one handshake, for client or
// server. Session resumption is off, since it would skip the check of the
// certificate.
func (c *Credentials) tlsConfig(now func() time.Time) *tls.Config {
	m := c.reloadIfChanged(now())
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
			_, _, err := certificateIdentity(state.PeerCertificates[0])
			return err
		},
	}
}

func (c *Credentials) serverTLSConfig(now func() time.Time) *tls.Config {
	config := c.tlsConfig(now)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.tlsConfig(now), nil }
	return config
}

// statelessResetKey derives the key for QUIC stateless resets from the private
// key, so that a restarted process resets the connections of the previous one
// at once instead of leaving them to time out.
func (c *Credentials) statelessResetKey() (*quic.StatelessResetKey, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, err := x509.MarshalPKCS8PrivateKey(c.current.certificate.PrivateKey)
	if err != nil {
		return nil, &CredentialsError{Reason: "encode private key", Err: err}
	}
	resetKey := quic.StatelessResetKey(sha256.Sum256(append([]byte("briarreach stateless reset\n"), key...)))
	return &resetKey, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
