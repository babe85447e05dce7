package peer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"briarreach/peer"
)

var _ = Describe("Credentials", func() {
	var (
		ctx       context.Context
		authority *peer.Authority
		address   netip.AddrPort
		served    chan string
	)

	handler := func(ctx context.Context, s *peer.Stream) {
		served <- s.RemoteProcess()
		echo(ctx, s)
	}

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		authority = newAuthority()
		served = make(chan string, 10)
		address = newEndpoint(peer.WithCredentials(issueCredentials(authority, "agent-1", peer.AgentRole)), peer.WithHandler(handler)).Addr()
	})

	// rejectedCredentials creates credentials that the fleet must not accept.
	rejectedCredentials := map[string]func() *peer.Credentials{
		"another authority": func() *peer.Credentials {
			c, err := newAuthority().Issue("entry-1", peer.EntryRole, []netip.Addr{loopback}, time.Hour)
			Expect(err).NotTo(HaveOccurred())
			c.AuthorityPEM, _ = authority.PEM()
			credentials, err := c.Credentials()
			Expect(err).NotTo(HaveOccurred())
			return credentials
		},
		"an expired certificate": func() *peer.Credentials {
			cert, key := authority.PEM()
			earlier, err := peer.ParseAuthority(cert, key,
				peer.WithAuthorityClock(clockwork.NewFakeClockAt(time.Now().Add(-2*time.Hour))))
			Expect(err).NotTo(HaveOccurred())
			return issueCredentials(earlier, "entry-1", peer.EntryRole)
		},
		"a certificate that is not valid yet": func() *peer.Credentials {
			cert, key := authority.PEM()
			later, err := peer.ParseAuthority(cert, key,
				peer.WithAuthorityClock(clockwork.NewFakeClockAt(time.Now().Add(2*time.Hour))))
			Expect(err).NotTo(HaveOccurred())
			return issueCredentials(later, "entry-1", peer.EntryRole)
		},
	}

	DescribeTable("refuse a client with", func(kind string) {
		// Guards against a process outside the fleet that sends commands or reads
		// answers.
		_, err := newEndpoint(peer.WithCredentials(rejectedCredentials[kind]())).Call(ctx, address, peer.StatusRequest{})
		Expect(errors.As(err, new(*peer.NotDeliveredError))).To(BeTrue(), "%v", err)
		Expect(served).To(BeEmpty())
	},
		Entry(nil, "another authority"),
		Entry(nil, "an expired certificate"),
		Entry(nil, "a certificate that is not valid yet"),
	)

	DescribeTable("refuse a server with", func(kind string) {
		// Guards against requests sent to a process outside the fleet.
		other := newEndpoint(peer.WithCredentials(rejectedCredentials[kind]()), peer.WithHandler(handler))
		_, err := newEndpoint(peer.WithCredentials(issueCredentials(authority, "entry-1", peer.EntryRole))).Open(ctx, other.Addr())
		Expect(errors.As(err, new(*peer.NotDeliveredError))).To(BeTrue(), "%v", err)
		Expect(served).To(BeEmpty())
	},
		Entry(nil, "another authority"),
		Entry(nil, "an expired certificate"),
		Entry(nil, "a certificate that is not valid yet"),
	)

	It("refuse a server at an address that its certificate does not name", func() {
		// Guards against a process of the fleet that impersonates another.
		issued, err := authority.Issue("agent-2", peer.AgentRole, []netip.Addr{netip.MustParseAddr("127.0.0.2")}, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		c, err := issued.Credentials()
		Expect(err).NotTo(HaveOccurred())
		other := newEndpoint(peer.WithCredentials(c), peer.WithHandler(handler))
		_, err = newEndpoint(peer.WithCredentials(issueCredentials(authority, "entry-1", peer.EntryRole))).Open(ctx, other.Addr())
		Expect(errors.As(err, new(*peer.NotDeliveredError))).To(BeTrue(), "%v", err)
	})

	// dialWithoutChecks connects without an endpoint and its certificate checks.
	dialWithoutChecks := func(config *tls.Config) *quic.Conn {
		GinkgoHelper()
		config.InsecureSkipVerify = true
		if config.NextProtos == nil {
			config.NextProtos = []string{peer.Protocol}
		}
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		transport := &quic.Transport{Conn: socket}
		DeferCleanup(func() { _ = transport.Close(); _ = socket.Close() })
		c, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(address), config, &quic.Config{})
		if err != nil {
			return nil
		}
		return c
	}

	DescribeTable("serve nothing to a client", func(config *tls.Config) {
		// Guards against access without a certificate.
		if c := dialWithoutChecks(config); c != nil {
			Eventually(c.Context().Done()).WithTimeout(5 * time.Second).Should(BeClosed())
			Expect(context.Cause(c.Context())).To(BeAssignableToTypeOf(&quic.TransportError{}))
		}
		Expect(served).To(BeEmpty())
	},
		Entry("without a certificate", &tls.Config{}),
		Entry("of another protocol", &tls.Config{NextProtos: []string{"h3"}}),
	)

	DescribeTable("end a stream with", func(first string, rest int) {
		// Guards against a panic or unbounded memory use on malformed input.
		issued, err := authority.Issue("entry-1", peer.EntryRole, nil, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		pair, err := tls.X509KeyPair(issued.CertificatePEM, issued.KeyPEM)
		Expect(err).NotTo(HaveOccurred())
		s, err := dialWithoutChecks(&tls.Config{Certificates: []tls.Certificate{pair}}).OpenStreamSync(ctx)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			_, _ = s.Write([]byte(first))
			_, _ = s.Write(make([]byte, rest))
		}()
		_, err = s.Read(make([]byte, 1))
		var reset *quic.StreamError
		Expect(errors.As(err, &reset)).To(BeTrue(), "%v", err)
		Expect(reset.Remote).To(BeTrue())
		Expect(reset.ErrorCode).To(BeEquivalentTo(4))
	},
		Entry("an unknown kind", "\x82dtell\xa0", 0),
		Entry("bytes that are not a message", "GET / HTTP/1.1\r\n\r\n", 0),
		Entry("a message that is too large", "\x82eframe\xa1ddata\x5b\x00\x00\x00\x01\x00\x00\x00\x00", 9<<20),
	)

	Describe("in files", func() {
		var (
			clock *clockwork.FakeClock
			files [3]string
		)

		write := func(a *peer.Authority, process string) {
			GinkgoHelper()
			issued, err := a.Issue(process, peer.EntryRole, []netip.Addr{loopback}, time.Hour)
			Expect(err).NotTo(HaveOccurred())
			Expect(issued.Write(files[0], files[1], files[2])).To(Succeed())
		}

		BeforeEach(func() {
			dir := GinkgoT().TempDir()
			files = [3]string{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")}
			clock = clockwork.NewFakeClockAt(time.Now())
		})

		It("are reloaded when they have changed", func() {
			// Guards against a certificate rotation that needs a restart.
			write(newAuthority(), "outsider")
			c, err := peer.LoadCredentials(files[0], files[1], files[2])
			Expect(err).NotTo(HaveOccurred())
			client := newEndpoint(peer.WithCredentials(c), peer.WithClock(clock))
			_, err = client.Call(ctx, address, peer.StatusRequest{})
			Expect(errors.As(err, new(*peer.NotDeliveredError))).To(BeTrue(), "%v", err)
			write(authority, "entry-7")
			clock.Advance(2 * time.Second)
			Expect(client.Call(ctx, address, peer.StatusRequest{})).To(Equal(peer.Message(peer.StatusRequest{})))
			Expect(served).To(Receive(Equal("entry-7")))
			info, err := os.Stat(files[2])
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)), "the key is private")
		})

		It("stay in use while the files cannot be loaded", func() {
			// Guards against an outage while files are replaced one after the other.
			write(authority, "entry-7")
			c, err := peer.LoadCredentials(files[0], files[1], files[2])
			Expect(err).NotTo(HaveOccurred())
			client := newEndpoint(peer.WithCredentials(c), peer.WithClock(clock))
			Expect(os.WriteFile(files[1], []byte("half a file"), 0o600)).To(Succeed())
			clock.Advance(2 * time.Second)
			Expect(client.Call(ctx, address, peer.StatusRequest{})).To(Equal(peer.Message(peer.StatusRequest{})))
			Expect(errors.As(c.ReloadError(), new(*peer.CredentialsError))).To(BeTrue())
		})
	})

	It("need a process name and a known role", func() {
		for _, role := range []peer.Role{"", "root"} {
			_, err := authority.Issue("entry-1", role, nil, time.Hour)
			Expect(errors.As(err, new(*peer.CredentialsError))).To(BeTrue())
		}
		_, err := authority.Issue("", peer.EntryRole, nil, time.Hour)
		Expect(errors.As(err, new(*peer.CredentialsError))).To(BeTrue())
		_, err = peer.New()
		Expect(errors.As(err, new(*peer.CredentialsError))).To(BeTrue())
	})
})
