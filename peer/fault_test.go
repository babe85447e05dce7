package peer_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briarreach/peer"
	"briarreach/standin"
)

var _ = Describe("Answers over a faulty path", func() {
	var (
		ctx    context.Context
		server *agent
		client *peer.Endpoint
		direct *peer.Endpoint
		link   *standin.Link
	)

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignore) }).Should(Succeed()) })
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 60*time.Second)
		DeferCleanup(cancel)
		fleet := authority()
		server = newAgent()
		direct = endpoint(peer.WithCredentials(issue(fleet, "agent-1", peer.AgentRole)), peer.WithHandler(server.serve))
		client = endpoint(peer.WithCredentials(issue(fleet, "entry-1", peer.EntryRole)))
		var err error
		link, err = standin.NewLink(standin.WithLinkTarget(direct.Addr()), standin.WithLinkSeed(uint64(GinkgoRandomSeed())))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
	})

	DescribeTable("resume at their offset when an open connection goes silent", func(fault standin.LinkFault, silent ...standin.LinkDirection) {
		// Guards against an answer that hangs, starts again or loses bytes because
		// packets of an open connection are lost for good while new connections
		// work, whether the path tells connections apart by their identifier or by
		// address and port.
		started, found := make(chan struct{}), make(chan error, 10)
		size, at := 100<<10, 40<<10
		var once sync.Once
		result := make(chan []byte, 1)
		go func() {
			defer GinkgoRecover()
			b, err := fetch{
				endpoint: client, address: link.Addr(), attempt: "attempt-1", size: size,
				progress: func(n int) {
					if n >= at {
						once.Do(func() {
							for _, d := range silent {
								link.Set(d, fault)
							}
							close(started)
						})
					}
				},
				failed: func(err error) { found <- err },
			}.run(ctx)
			Expect(err).NotTo(HaveOccurred())
			result <- b
		}()
		Eventually(started).WithTimeout(10 * time.Second).Should(BeClosed())
		var err error
		Eventually(found).WithTimeout(2 * time.Second).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("nothing received")))
		Eventually(result).WithTimeout(10 * time.Second).Should(Receive(Equal(content("attempt-1", size))))
		server.mu.Lock()
		defer server.mu.Unlock()
		Expect(server.resumed).To(ConsistOf(BeNumerically(">=", at)))
	},
		Entry("towards the agent", standin.LinkFault{Silent: true}, standin.ToTarget),
		Entry("towards the entry", standin.LinkFault{Silent: true}, standin.FromTarget),
		Entry("in both directions", standin.LinkFault{Silent: true}, standin.ToTarget, standin.FromTarget),
		Entry("as a flow, towards the agent", standin.LinkFault{SilentFlow: true}, standin.ToTarget),
		Entry("as a flow, towards the entry", standin.LinkFault{SilentFlow: true}, standin.FromTarget),
		Entry("as a flow, in both directions", standin.LinkFault{SilentFlow: true}, standin.ToTarget, standin.FromTarget),
	)

	It("keep their connection while nothing is sent", func() {
		// Guards against idle connections that are taken for silent.
		s, err := client.Open(ctx, link.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer s.Abort()
		Expect(s.Send(peer.Dispatch{AttemptID: "idle", MaxTokens: 2 * window, CreditBytes: window})).To(Succeed())
		Eventually(server.waiting.Load).Should(BeEquivalentTo(1))
		Consistently(s.Context().Err).WithTimeout(4 * time.Second).Should(Succeed())
	})

	DescribeTable("arrive whole when packets are", func(fault standin.LinkFault) {
		// Guards against bytes in the wrong place and answers that stall.
		link.SetBoth(fault)
		for i := range 3 {
			name := fmt.Sprint("attempt-", i)
			b, err := fetch{endpoint: client, address: link.Addr(), attempt: name, size: 200 << 10}.run(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(b).To(Equal(content(name, 200<<10)))
		}
	},
		Entry("late", standin.LinkFault{Delay: 5 * time.Millisecond}),
		Entry("late by varying times", standin.LinkFault{Jitter: 10 * time.Millisecond}),
		Entry("out of order", standin.LinkFault{Reorder: 0.2}),
		Entry("duplicated", standin.LinkFault{Duplicate: 0.5}),
		Entry("lost now and then", standin.LinkFault{Drop: 0.03}),
		Entry("all of it", standin.LinkFault{Delay: time.Millisecond, Jitter: 3 * time.Millisecond, Reorder: 0.1, Duplicate: 0.2, Drop: 0.02}),
	)

	It("are not held up by 1,000 stalled readers on the same connection", func() {
		// Guards against stalled answers that use up the connection's window.
		const stalled, normal, size = 1000, 100, 256 << 10
		for i := range stalled {
			s, err := client.Open(ctx, direct.Addr())
			Expect(err).NotTo(HaveOccurred())
			defer s.Abort()
			Expect(s.Send(peer.Dispatch{AttemptID: fmt.Sprint("stalled-", i), MaxTokens: 256 << 10, CreditBytes: window})).To(Succeed())
		}
		Eventually(server.waiting.Load).WithTimeout(30 * time.Second).Should(BeEquivalentTo(stalled))
		var all sync.WaitGroup
		for i := range normal {
			all.Go(func() {
				defer GinkgoRecover()
				name := fmt.Sprint("normal-", i)
				b, err := fetch{endpoint: client, address: direct.Addr(), attempt: name, size: size}.run(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(b).To(Equal(content(name, size)))
			})
		}
		all.Wait()
		Expect(server.resumed).To(BeEmpty())
	})
})
