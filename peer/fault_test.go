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
		ctx           context.Context
		agent         *testAgent
		client        *peer.Endpoint
		agentEndpoint *peer.Endpoint
		link          *standin.Link
	)

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignore) }).Should(Succeed()) })
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 60*time.Second)
		DeferCleanup(cancel)
		authority := newAuthority()
		agent = newAgent()
		agentEndpoint = newEndpoint(peer.WithCredentials(issueCredentials(authority, "agent-1", peer.AgentRole)), peer.WithHandler(agent.serve))
		client = newEndpoint(peer.WithCredentials(issueCredentials(authority, "entry-1", peer.EntryRole)))
		var err error
		link, err = standin.NewLink(standin.WithLinkTarget(agentEndpoint.Addr()), standin.WithLinkSeed(uint64(GinkgoRandomSeed())))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
	})

	DescribeTable("resume at their offset when an open connection goes silent", func(fault standin.LinkFault, directions ...standin.LinkDirection) {
		// Guards against an answer that hangs, restarts or loses bytes when the
		// network drops all packets of an open connection but not of new ones. It
		// may identify the connection by its ID or by the addresses and ports.
		faultSet, failures := make(chan struct{}), make(chan error, 10)
		answerBytes, faultOffset := 100<<10, 40<<10
		var once sync.Once
		result := make(chan []byte, 1)
		go func() {
			defer GinkgoRecover()
			b, err := testRequest{
				endpoint: client, address: link.Addr(), attemptID: "attempt-1", answerBytes: answerBytes,
				onProgress: func(n int) {
					if n >= faultOffset {
						once.Do(func() {
							for _, d := range directions {
								link.SetFault(d, fault)
							}
							close(faultSet)
						})
					}
				},
				onFailure: func(err error) { failures <- err },
			}.run(ctx)
			Expect(err).NotTo(HaveOccurred())
			result <- b
		}()
		Eventually(faultSet).WithTimeout(10 * time.Second).Should(BeClosed())
		var err error
		Eventually(failures).WithTimeout(2 * time.Second).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("nothing received")))
		Eventually(result).WithTimeout(10 * time.Second).Should(Receive(Equal(answerContent("attempt-1", answerBytes))))
		agent.mu.Lock()
		defer agent.mu.Unlock()
		Expect(agent.resumeOffsets).To(ConsistOf(BeNumerically(">=", faultOffset)))
	},
		Entry("towards the agent", standin.LinkFault{DropKnownConnections: true}, standin.ToTarget),
		Entry("towards the entry", standin.LinkFault{DropKnownConnections: true}, standin.FromTarget),
		Entry("in both directions", standin.LinkFault{DropKnownConnections: true}, standin.ToTarget, standin.FromTarget),
		Entry("by addresses and ports, towards the agent", standin.LinkFault{DropKnownSenders: true}, standin.ToTarget),
		Entry("by addresses and ports, towards the entry", standin.LinkFault{DropKnownSenders: true}, standin.FromTarget),
		Entry("by addresses and ports, in both directions", standin.LinkFault{DropKnownSenders: true}, standin.ToTarget, standin.FromTarget),
	)

	It("keep their connection while nothing is sent", func() {
		// Guards against closing an idle connection as silent.
		s, err := client.Open(ctx, link.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer s.Abort()
		Expect(s.Send(peer.Dispatch{AttemptID: "idle", MaxTokens: 2 * windowBytes, CreditBytes: windowBytes})).To(Succeed())
		Eventually(agent.blockedAnswers.Load).Should(BeEquivalentTo(1))
		Consistently(s.Context().Err).WithTimeout(4 * time.Second).Should(Succeed())
	})

	DescribeTable("arrive whole when packets are", func(fault standin.LinkFault) {
		// Guards against reordered or lost bytes and stalled answers.
		link.SetFaultBothDirections(fault)
		for i := range 3 {
			name := fmt.Sprint("attempt-", i)
			b, err := testRequest{endpoint: client, address: link.Addr(), attemptID: name, answerBytes: 200 << 10}.run(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(b).To(Equal(answerContent(name, 200<<10)))
		}
	},
		Entry("delayed", standin.LinkFault{Delay: 5 * time.Millisecond}),
		Entry("delayed with jitter", standin.LinkFault{Jitter: 10 * time.Millisecond}),
		Entry("out of order", standin.LinkFault{Reorder: 0.2}),
		Entry("duplicated", standin.LinkFault{Duplicate: 0.5}),
		Entry("dropped occasionally", standin.LinkFault{Drop: 0.03}),
		Entry("delayed, reordered, duplicated and dropped", standin.LinkFault{Delay: time.Millisecond, Jitter: 3 * time.Millisecond, Reorder: 0.1, Duplicate: 0.2, Drop: 0.02}),
	)

	It("are not held up by 1,000 stalled readers on the same connection", func() {
		// Guards against stalled answers that use up the connection's window.
		const stalled, normal, size = 1000, 100, 256 << 10
		for i := range stalled {
			s, err := client.Open(ctx, agentEndpoint.Addr())
			Expect(err).NotTo(HaveOccurred())
			defer s.Abort()
			Expect(s.Send(peer.Dispatch{AttemptID: fmt.Sprint("stalled-", i), MaxTokens: 256 << 10, CreditBytes: windowBytes})).To(Succeed())
		}
		Eventually(agent.blockedAnswers.Load).WithTimeout(30 * time.Second).Should(BeEquivalentTo(stalled))
		var all sync.WaitGroup
		for i := range normal {
			all.Go(func() {
				defer GinkgoRecover()
				name := fmt.Sprint("normal-", i)
				b, err := testRequest{endpoint: client, address: agentEndpoint.Addr(), attemptID: name, answerBytes: size}.run(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(b).To(Equal(answerContent(name, size)))
			})
		}
		all.Wait()
		Expect(agent.resumeOffsets).To(BeEmpty())
	})
})
