package peer

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
)

// clockSkewAllowance is how far in the past a certificate's validity starts, for
// processes whose clocks are behind the issuer's.
const clockSkewAllowance = 5 * time.Minute

const authorityValidity = 10 * 365 * 24 * time.Hour

// Authority is the fleet's certificate authority.
type Authority struct {
	clock       clockwork.Clock
	certificate *x509.Certificate
	key         crypto.Signer
	own         IssuedCertificate // the authority's certificate and key
}

// IssuedCertificate is a certificate, its key and the certificate of its
// authority.
type IssuedCertificate struct {
	AuthorityPEM   []byte
	CertificatePEM []byte
	KeyPEM         []byte
}

// AuthorityOption configures an Authority.
type AuthorityOption func(*Authority)

// WithAuthorityClock sets the clock from which validity starts.
func WithAuthorityClock(clock clockwork.Clock) AuthorityOption {
	return func(a *Authority) { a.clock = clock }
}

// NewAuthority creates an authority with a new key.
func NewAuthority(opts ...AuthorityOption) (*Authority, error) {
	a := &Authority{clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(a)
	}
	issued, err := a.sign(&x509.Certificate{
		Subject:               pkix.Name{CommonName: "briarreach fleet authority"},
		KeyUsage:              x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
	}, authorityValidity)
	if err != nil {
		return nil, fmt.Errorf("peer.NewAuthority: %w", err)
	}
	return ParseAuthority(issued.CertificatePEM, issued.KeyPEM, opts...)
}

// ParseAuthority reads an authority's certificate and key from PEM.
func ParseAuthority(cert, key []byte, opts ...AuthorityOption) (*Authority, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("peer.ParseAuthority: %w", &CredentialsError{Reason: "invalid certificate or key", Err: err})
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, fmt.Errorf("peer.ParseAuthority: %w", &CredentialsError{Reason: "not a CA certificate"})
	}
	a := &Authority{
		clock:       clockwork.NewRealClock(),
		certificate: pair.Leaf,
		key:         signer,
		own:         IssuedCertificate{AuthorityPEM: cert, CertificatePEM: cert, KeyPEM: key},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a, nil
}

// PEM returns the authority's certificate and key.
func (a *Authority) PEM() (cert, key []byte) { return a.own.CertificatePEM, a.own.KeyPEM }

// Issue creates a key and a certificate for a process at the given addresses,
// valid from now.
func (a *Authority) Issue(process string, role Role, ips []netip.Addr, validity time.Duration) (IssuedCertificate, error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: process, OrganizationalUnit: []string{string(role)}},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, ip := range ips {
		template.IPAddresses = append(template.IPAddresses, net.IP(ip.Unmap().AsSlice()))
	}
	if _, _, err := certificateIdentity(template); err != nil {
		return IssuedCertificate{}, fmt.Errorf("peer.Authority.Issue: %w", err)
	}
	issued, err := a.sign(template, validity)
	if err != nil {
		return IssuedCertificate{}, fmt.Errorf("peer.Authority.Issue: %w", err)
	}
	return issued, nil
}

// sign creates a key and a certificate for it. The certificate is self-signed
// if the authority has no key yet.
func (a *Authority) sign(template *x509.Certificate, validity time.Duration) (IssuedCertificate, error) {
	fail := func(reason string, err error) (IssuedCertificate, error) {
		return IssuedCertificate{}, &CredentialsError{Reason: reason, Err: err}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fail("generate a key", err)
	}
	now := a.clock.Now()
	template.NotBefore, template.NotAfter = now.Add(-clockSkewAllowance), now.Add(validity)
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127)); err != nil {
		return fail("generate a serial number", err)
	}
	parent, signer := a.certificate, a.key
	if signer == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return fail("create a certificate", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fail("encode a key", err)
	}
	return IssuedCertificate{
		AuthorityPEM:   a.own.CertificatePEM,
		CertificatePEM: encodePEM("CERTIFICATE", der),
		KeyPEM:         encodePEM("PRIVATE KEY", private),
	}, nil
}

// Credentials returns the issued certificate as credentials held in memory.
func (c IssuedCertificate) Credentials() (*Credentials, error) {
	return NewCredentials(c.AuthorityPEM, c.CertificatePEM, c.KeyPEM)
}

// Write writes the files that LoadCredentials reads. Each file is replaced
// atomically; the key file is readable by its owner only.
func (c IssuedCertificate) Write(caFile, certFile, keyFile string) error {
	for _, f := range []struct {
		name    string
		content []byte
		mode    os.FileMode
	}{{caFile, c.AuthorityPEM, 0o644}, {keyFile, c.KeyPEM, 0o600}, {certFile, c.CertificatePEM, 0o644}} {
		if err := replaceFile(f.name, f.content, f.mode); err != nil {
			return fmt.Errorf("peer.IssuedCertificate.Write: %w", &CredentialsError{Reason: "write", Err: err})
		}
	}
	return nil
}

func replaceFile(name string, content []byte, mode os.FileMode) error {
	newName := name + ".new"
	if err := os.WriteFile(newName, content, mode); err != nil {
		return err
	}
	return os.Rename(newName, name)
}
