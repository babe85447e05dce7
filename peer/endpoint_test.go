package peer_test

import (
	"context"
	"io"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briarreach/peer"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

func authority() *peer.Authority {
	GinkgoHelper()
	a, err := peer.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	return a
}

func issue(a *peer.Authority, process string, role peer.Role) *peer.Credentials {
	GinkgoHelper()
	issued, err := a.Issue(process, role, []netip.Addr{loopback}, time.Hour)
	Expect(err).NotTo(HaveOccurred())
	c, err := issued.Credentials()
	Expect(err).NotTo(HaveOccurred())
	return c
}

func endpoint(opts ...peer.Option) *peer.Endpoint {
	GinkgoHelper()
	e, err := peer.New(opts...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

// echo answers each message with itself until the other side closes.
func echo(_ context.Context, s *peer.Stream) {
	for {
		m, err := s.Receive()
		if err != nil || s.Send(m) != nil {
			return
		}
	}
}

var _ = Describe("Endpoint", func() {
	var (
		ctx    context.Context
		fleet  *peer.Authority
		client *peer.Endpoint
	)

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignore) }).Should(Succeed()) })
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 30*time.Second)
		DeferCleanup(cancel)
		fleet = authority()
		client = endpoint(peer.WithCredentials(issue(fleet, "entry-1", peer.EntryRole)))
	})

	It("carries an exchange and names the other process to both sides", func() {
		seen := make(chan *peer.Stream, 1)
		server := endpoint(peer.WithCredentials(issue(fleet, "agent-1", peer.AgentRole)),
			peer.WithHandler(func(ctx context.Context, s *peer.Stream) { seen <- s; echo(ctx, s) }))
		s, err := client.Open(ctx, server.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer s.Abort()
		want := peer.Frame{Offset: 7, Data: make([]byte, 1<<20)}
		Expect(s.Send(want)).To(Succeed())
		Expect(s.Receive()).To(Equal(peer.Message(want)))
		Expect(s.CloseSend()).To(Succeed())
		_, err = s.Receive()
		Expect(err).To(Equal(io.EOF))
		Expect(s.RemoteProcess()).To(Equal("agent-1"))
		Expect(s.RemoteRole()).To(Equal(peer.AgentRole))
		Expect(s.RemoteAddr()).To(Equal(server.Addr()))
		other := <-seen
		Expect(other.RemoteProcess()).To(Equal("entry-1"))
		Expect(other.RemoteRole()).To(Equal(peer.EntryRole))
		Expect(client.Call(ctx, server.Addr(), peer.StatusRequest{})).To(Equal(peer.Message(peer.StatusRequest{})))
	})
})
