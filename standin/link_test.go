package standin_test

import (
	"net"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briarreach/standin"
)

// Guards against fault tests that pass because the link does not apply the
// fault.
var _ = Describe("Link", func() {
	var (
		link     *standin.Link
		clock    *clockwork.FakeClock
		target   *net.UDPConn
		sender   *net.UDPConn
		received chan string // at the target
		answered chan string // at the sender
	)

	// forward copies the packets of a socket to a channel until the socket is
	// closed, and with echo sends them back.
	forward := func(c *net.UDPConn, to chan string, echo bool) {
		b := make([]byte, 2048)
		for {
			n, from, err := c.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			to <- string(b[:n])
			if echo {
				_, _ = c.WriteToUDPAddrPort(b[:n], from)
			}
		}
	}

	send := func(packets ...string) {
		GinkgoHelper()
		for _, p := range packets {
			before := link.Stats(standin.ToTarget).Received
			_, err := sender.Write([]byte(p))
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() int { return link.Stats(standin.ToTarget).Received }).Should(Equal(before + 1))
		}
	}

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignore) }).Should(Succeed()) })
		var err error
		target, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		clock = clockwork.NewFakeClock()
		address, err := netip.ParseAddrPort(target.LocalAddr().String())
		Expect(err).NotTo(HaveOccurred())
		link, err = standin.NewLink(standin.WithLinkTarget(address), standin.WithLinkClock(clock))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
		sender, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(link.Addr()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sender.Close)
		received, answered = make(chan string, 100), make(chan string, 100)
		go forward(target, received, true)
		go forward(sender, answered, false)
	})

	It("relays in both directions without a fault", func() {
		send("one")
		Eventually(received).Should(Receive(Equal("one")))
		Eventually(answered).Should(Receive(Equal("one")))
	})

	It("drops one direction only", func() {
		link.SetFault(standin.FromTarget, standin.LinkFault{Drop: 1})
		send("one")
		Eventually(received).Should(Receive(Equal("one")))
		Eventually(func() int { return link.Stats(standin.FromTarget).Dropped }).Should(Equal(1))
		Expect(answered).To(BeEmpty())
	})

	It("duplicates", func() {
		link.SetFault(standin.ToTarget, standin.LinkFault{Duplicate: 1})
		send("one")
		Eventually(received).Should(Receive(Equal("one")))
		Eventually(received).Should(Receive(Equal("one")))
	})

	It("delays until the clock has advanced", func() {
		link.SetFault(standin.ToTarget, standin.LinkFault{Delay: time.Second})
		send("one")
		Expect(clock.BlockUntilContext(GinkgoTB().Context(), 1)).To(Succeed())
		Expect(link.Stats(standin.ToTarget).Delivered).To(BeZero())
		clock.Advance(time.Second)
		Eventually(received).Should(Receive(Equal("one")))
	})

	It("lets later packets overtake a reordered one", func() {
		link.SetFault(standin.ToTarget, standin.LinkFault{Reorder: 1})
		send("one")
		Expect(clock.BlockUntilContext(GinkgoTB().Context(), 1)).To(Succeed())
		link.SetFault(standin.ToTarget, standin.LinkFault{})
		send("two")
		Eventually(received).Should(Receive(Equal("two")))
		clock.Advance(time.Second)
		Eventually(received).Should(Receive(Equal("one")))
	})

	It("holds packets in order until it is released", func() {
		link.SetFault(standin.ToTarget, standin.LinkFault{Hold: true})
		send("one", "two", "three")
		Expect(link.Stats(standin.ToTarget).Delivered).To(BeZero())
		link.SetFault(standin.ToTarget, standin.LinkFault{})
		for _, want := range []string{"one", "two", "three"} {
			Eventually(received).Should(Receive(Equal(want)))
		}
	})

	It("drops the packets of known senders and no others", func() {
		send("one")
		Eventually(received).Should(Receive(Equal("one")))
		Eventually(answered).Should(Receive(Equal("one")))
		link.SetFault(standin.ToTarget, standin.LinkFault{DropKnownSenders: true})
		send("two")
		other, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(link.Addr()))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = other.Close() }()
		_, err = other.Write([]byte("three"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(received).Should(Receive(Equal("three")))
		Expect(link.Stats(standin.ToTarget).Dropped).To(Equal(1))
	})

	It("drops the packets of known QUIC connections and no others", func() {
		send("\x40AAAA1")
		Eventually(received).Should(Receive())
		link.SetFault(standin.ToTarget, standin.LinkFault{DropKnownConnections: true})
		send("\x40AAAA2", "\xc0AAAA handshake", "\x40BBBB1")
		Eventually(received).Should(Receive(Equal("\xc0AAAA handshake")))
		Eventually(received).Should(Receive(Equal("\x40BBBB1")))
		Expect(link.Stats(standin.ToTarget).Dropped).To(Equal(1))
	})
})
