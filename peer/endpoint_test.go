package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"

	"briarreach/peer"
	"briarreach/standin"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

func newAuthority() *peer.Authority {
	GinkgoHelper()
	a, err := peer.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	return a
}

func issueCredentials(a *peer.Authority, process string, role peer.Role) *peer.Credentials {
	GinkgoHelper()
	issued, err := a.Issue(process, role, []netip.Addr{loopback}, time.Hour)
	Expect(err).NotTo(HaveOccurred())
	c, err := issued.Credentials()
	Expect(err).NotTo(HaveOccurred())
	return c
}

func newEndpoint(opts ...peer.Option) *peer.Endpoint {
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
		ctx       context.Context
		authority *peer.Authority
		client    *peer.Endpoint
	)

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignore) }).Should(Succeed()) })
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 30*time.Second)
		DeferCleanup(cancel)
		authority = newAuthority()
		client = newEndpoint(peer.WithCredentials(issueCredentials(authority, "entry-1", peer.EntryRole)))
	})

	It("carries an exchange and names the other process to both sides", func() {
		seen := make(chan *peer.Stream, 1)
		server := newEndpoint(peer.WithCredentials(issueCredentials(authority, "agent-1", peer.AgentRole)),
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

	serve := func(h func(context.Context, *peer.Stream), opts ...peer.Option) *peer.Endpoint {
		GinkgoHelper()
		return newEndpoint(append(opts, peer.WithCredentials(issueCredentials(authority, "agent-1", peer.AgentRole)), peer.WithHandler(h))...)
	}
	open := func(a netip.AddrPort) *peer.Stream {
		GinkgoHelper()
		s, err := client.Open(ctx, a)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Abort)
		return s
	}
	exchange := func(s *peer.Stream) {
		GinkgoHelper()
		Expect(s.Send(peer.Cancel{AttemptID: "a"})).To(Succeed())
		Expect(s.Receive()).To(Equal(peer.Message(peer.Cancel{AttemptID: "a"})))
	}

	It("uses one connection for concurrent streams to an address", func() {
		// Guards against a handshake for each request of a burst.
		server := serve(echo)
		generations := make(chan uint64, 50)
		for range cap(generations) {
			go func() {
				defer GinkgoRecover()
				s, err := client.Open(ctx, server.Addr())
				Expect(err).NotTo(HaveOccurred())
				defer s.Abort()
				generations <- s.Generation()
			}()
		}
		for range cap(generations) {
			Eventually(generations).Should(Receive(BeEquivalentTo(1)))
		}
	})

	It("does not interleave messages of concurrent senders", func() {
		// Guards against the bytes of two messages mixed on a stream.
		received := make(chan peer.Message, 1600)
		server := serve(func(_ context.Context, s *peer.Stream) {
			for m, err := s.Receive(); err == nil; m, err = s.Receive() {
				received <- m
			}
			close(received)
		})
		s := open(server.Addr())
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				for n := range 200 {
					_ = s.Send(peer.Frame{Offset: int64(i), Data: bytes.Repeat([]byte{byte(i)}, 10*n)})
				}
			})
		}
		all.Wait()
		Expect(s.CloseSend()).To(Succeed())
		count := 0
		for m := range received {
			f := m.(peer.Frame)
			Expect(f.Data).To(Equal(bytes.Repeat([]byte{byte(f.Offset)}, len(f.Data))))
			count++
		}
		Expect(count).To(Equal(1600))
	})

	It("keeps the streams of a dropped connection and ignores a repeated drop", func() {
		// Guards against a failure of an old stream that drops the connection that
		// has replaced the stream's own.
		server := serve(echo)
		old := open(server.Addr())
		client.Drop(server.Addr(), old.Generation())
		current := open(server.Addr())
		Expect(current.Generation()).NotTo(Equal(old.Generation()))
		client.Drop(server.Addr(), old.Generation())
		Expect(open(server.Addr()).Generation()).To(Equal(current.Generation()))
		exchange(old)
		exchange(current)
		aborted := make(chan struct{})
		context.AfterFunc(old.Context(), func() { close(aborted) })
		old.Abort()
		Eventually(aborted).Should(BeClosed())
		exchange(current)
	})

	It("finishes running exchanges and refuses new ones as not delivered during a shutdown", func() {
		// Guards against a shutdown that aborts requests in flight, and against a
		// refusal that leaves the caller unsure whether the request ran.
		started, finish := make(chan struct{}, 1), make(chan struct{})
		server := serve(func(ctx context.Context, s *peer.Stream) {
			m, err := s.Receive()
			if _, first := m.(peer.Cancel); err != nil || !first {
				return
			}
			started <- struct{}{}
			select {
			case <-finish:
				_ = s.Send(m)
			case <-ctx.Done():
			}
		})
		s := open(server.Addr())
		Expect(s.Send(peer.Cancel{AttemptID: "a"})).To(Succeed())
		Eventually(started).Should(Receive())
		closed := make(chan error, 1)
		go func() { closed <- server.Shutdown(ctx) }()
		Eventually(func() bool {
			short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			_, err := client.Call(short, server.Addr(), peer.StatusRequest{})
			return errors.As(err, new(*peer.NotDeliveredError))
		}).Should(BeTrue(), "new exchanges")
		Expect(closed).NotTo(Receive())
		close(finish)
		Expect(s.Receive()).To(Equal(peer.Message(peer.Cancel{AttemptID: "a"})))
		Expect(s.CloseSend()).To(Succeed())
		Eventually(closed).Should(Receive(BeNil()))
	})

	It("times out at the receive deadline and receives again after a later one", func() {
		// Guards against a caller that waits forever for a process that has stopped.
		clock := clockwork.NewFakeClockAt(time.Now())
		client = newEndpoint(peer.WithCredentials(issueCredentials(authority, "entry-2", peer.EntryRole)), peer.WithClock(clock))
		answer := make(chan struct{})
		server := serve(func(ctx context.Context, s *peer.Stream) {
			<-answer
			echo(ctx, s)
		})
		s := open(server.Addr())
		Expect(s.Send(peer.Cancel{AttemptID: "a"})).To(Succeed())
		s.SetReceiveDeadline(clock.Now().Add(time.Second))
		s.SetReceiveDeadline(clock.Now().Add(2 * time.Second)) // moves it
		result := make(chan error, 1)
		receive := func() {
			_, err := s.Receive()
			result <- err
		}
		go receive()
		clock.Advance(1900 * time.Millisecond)
		Consistently(result).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		clock.Advance(100 * time.Millisecond)
		var err error
		Eventually(result).Should(Receive(&err))
		var silent *peer.ReceiveTimeoutError
		Expect(errors.As(err, &silent)).To(BeTrue())
		Expect(*silent).To(Equal(peer.ReceiveTimeoutError{Address: server.Addr(), Generation: s.Generation()}))
		s.SetReceiveDeadline(clock.Now().Add(time.Second))
		go receive()
		close(answer)
		Eventually(result).Should(Receive(BeNil()))
	})

	It("keeps connections after a pause of its own process", func() {
		// Guards against a process that closes all connections after a pause,
		// before it has read the packets that arrived during the pause.
		clock := clockwork.NewFakeClockAt(time.Now())
		client = newEndpoint(peer.WithCredentials(issueCredentials(authority, "entry-2", peer.EntryRole)), peer.WithClock(clock))
		server := serve(echo)
		s := open(server.Addr())
		exchange(s)
		Consistently(func() error {
			clock.Advance(10 * time.Second) // mostly with no packet received in between
			return s.Context().Err()
		}).WithTimeout(300 * time.Millisecond).Should(Succeed())
		exchange(s)
		Expect(open(server.Addr()).Generation()).To(Equal(s.Generation()))
	})

	It("closes a dialled connection that has had no stream for a minute", func() {
		// Guards against connections kept open to targets that were removed from
		// the configuration.
		clock := clockwork.NewFakeClockAt(time.Now())
		events := make(chan string, 100)
		logger := &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
			events <- e.Message
			return nil
		})}
		client = newEndpoint(peer.WithCredentials(issueCredentials(authority, "entry-2", peer.EntryRole)), peer.WithClock(clock), peer.WithLog(logger))
		s := open(serve(echo).Addr())
		Eventually(events).Should(Receive(Equal("peer_connected")))
		for range 5 {
			clock.Advance(2 * time.Minute)
			exchange(s)
		}
		Expect(events).To(BeEmpty(), "a stream is open")
		s.Abort()
		Eventually(func() chan string {
			clock.Advance(20 * time.Second)
			return events
		}).Should(Receive(Equal("peer_disconnected")))
	})

	It("refuses messages that do not fit into its receive buffers", func() {
		// Guards against memory use that grows with the number of large requests
		// being received.
		server := serve(echo, peer.WithReceiveBufferLimit(1<<20))
		small, large := peer.Frame{Data: make([]byte, 200<<10)}, peer.Frame{Data: make([]byte, 4<<20)}
		for range 5 {
			_, err := client.Call(ctx, server.Addr(), large)
			Expect(errors.As(err, new(*peer.NotDeliveredError))).To(BeTrue(), "%v", err)
			Expect(client.Call(ctx, server.Addr(), small)).To(Equal(peer.Message(small)), "buffer space is released")
		}
		s := open(server.Addr())
		exchange(s)
		if err := s.Send(large); err == nil {
			_, err = s.Receive()
			Expect(errors.As(err, new(*peer.StreamError))).To(BeTrue(), "the stream was served before: %v", err)
		}
		Expect(client.Call(ctx, server.Addr(), small)).To(Equal(peer.Message(small)))
	})

	It("times out a Send that the other process does not read", func() {
		// Guards against a goroutine that a stalled process blocks forever.
		server := serve(func(ctx context.Context, _ *peer.Stream) { <-ctx.Done() })
		s := open(server.Addr())
		result := make(chan error, 1)
		go func() {
			for {
				if err := s.Send(peer.Frame{Data: make([]byte, 64<<10)}); err != nil {
					result <- err
					return
				}
			}
		}()
		var err error
		Eventually(result).WithTimeout(20 * time.Second).Should(Receive(&err))
		Expect(errors.As(err, new(*peer.StreamError))).To(BeTrue())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
		Expect(s.Send(peer.Heartbeat{})).NotTo(Succeed(), "after a partly sent message")
	})

	It("is reset at once by a process that restarted at the same address", func() {
		// Guards against a restart that is detected only by a timeout.
		credentials := issueCredentials(authority, "agent-1", peer.AgentRole)
		server := newEndpoint(peer.WithCredentials(credentials), peer.WithHandler(echo))
		link, err := standin.NewLink(standin.WithLinkTarget(server.Addr()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
		s := open(link.Addr())
		exchange(s)
		// A killed process sends no close packet, so the link drops the one that
		// Close sends. Once it has dropped resets too, the close packet is gone.
		link.SetFault(standin.FromTarget, standin.LinkFault{Drop: 1})
		before := link.Stats(standin.FromTarget).Dropped
		Expect(server.Close()).To(Succeed())
		newEndpoint(peer.WithCredentials(credentials), peer.WithHandler(echo), peer.WithListen(server.Addr()))
		Eventually(func() int {
			Expect(s.Send(peer.Heartbeat{})).To(Succeed())
			return link.Stats(standin.FromTarget).Dropped
		}).Should(BeNumerically(">=", before+3))
		link.SetFaultBothDirections(standin.LinkFault{})
		Expect(s.Send(peer.Heartbeat{})).To(Succeed())
		_, err = s.Receive()
		Expect(errors.As(err, new(*quic.StatelessResetError))).To(BeTrue(), "%v", err)
		exchange(open(link.Addr()))
	})

	DescribeTable("gives a typed error", func(act func() error, target any) {
		// Guards against callers that cannot tell "not delivered" from "unknown".
		err := act()
		Expect(errors.As(err, target)).To(BeTrue(), "%v", err)
	},
		Entry("no process listens", func() error {
			short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			_, err := client.Open(short, netip.AddrPortFrom(loopback, 1))
			return err
		}, new(*peer.NotDeliveredError)),
		Entry("the endpoint does not accept", func() error {
			_, err := client.Call(ctx, client.Addr(), peer.StatusRequest{})
			return err
		}, new(*peer.NotDeliveredError)),
		Entry("the endpoint is closed", func() error {
			Expect(client.Close()).To(Succeed())
			_, err := client.Open(ctx, client.Addr())
			return err
		}, new(*peer.ClosedError)),
		Entry("the handler aborts", func() error {
			_, err := client.Call(ctx, serve(func(_ context.Context, s *peer.Stream) { s.Abort() }).Addr(), peer.StatusRequest{})
			return err
		}, new(*peer.StreamError)),
		Entry("the other endpoint closes", func() error {
			seen := make(chan struct{})
			server := serve(func(ctx context.Context, _ *peer.Stream) { close(seen); <-ctx.Done() })
			go func() { <-seen; _ = server.Close() }()
			_, err := client.Call(ctx, server.Addr(), peer.StatusRequest{})
			return err
		}, new(*peer.StreamError)),
		Entry("the context ends before the answer", func() error {
			short, cancel := context.WithCancel(ctx)
			server := serve(func(ctx context.Context, _ *peer.Stream) { cancel(); <-ctx.Done() })
			_, err := client.Call(short, server.Addr(), peer.StatusRequest{})
			return err
		}, new(*peer.StreamError)),
		Entry("the handler does not answer", func() error {
			_, err := client.Call(ctx, serve(func(context.Context, *peer.Stream) {}).Addr(), peer.StatusRequest{})
			return err
		}, new(*peer.StreamError)),
	)
})
