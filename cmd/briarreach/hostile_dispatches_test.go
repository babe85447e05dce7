package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"briarreach/peer"
)

// maxDispatchResidentBytes is the idle agent (30 MB), the receive buffers and the
// window of one connection (64 MiB each, see peer), and a quarter for the garbage
// collector.
const maxDispatchResidentBytes = 200 << 20

// maxWaitingResidentBytes is maxDispatchResidentBytes with the agent's memory for the
// bodies of accepted requests, 64 MiB, and a quarter for the garbage collector.
const maxWaitingResidentBytes = 280 << 20

const waitingSettings = "max_request_memory_bytes = 67108864\n"

// dialAgent opens a connection to an agent with the credentials of entry-2.
func (f *processFleet) dialAgent(ctx context.Context, port string) *quic.Conn {
	file := func(name string) string { return filepath.Join(f.dir, "certs", name) }
	cert, err := tls.LoadX509KeyPair(file("entry-2-cert.pem"), file("entry-2-key.pem"))
	Expect(err).NotTo(HaveOccurred())
	ca, err := os.ReadFile(file("ca.pem"))
	Expect(err).NotTo(HaveOccurred())
	roots := x509.NewCertPool()
	Expect(roots.AppendCertsFromPEM(ca)).To(BeTrue())
	var conn *quic.Conn
	// A handshake has 5 s, which is too little on a machine that is busy.
	Eventually(ctx, func() error {
		var err error
		conn, err = quic.DialAddr(ctx, "127.0.0.1:"+f.port(port), &tls.Config{
			Certificates: []tls.Certificate{cert}, RootCAs: roots, ServerName: "127.0.0.1", NextProtos: []string{peer.Protocol}, MinVersion: tls.VersionTLS13,
		}, &quic.Config{KeepAlivePeriod: 500 * time.Millisecond})
		return err
	}, 30*time.Second).Should(Succeed())
	DeferCleanup(func() { _ = conn.CloseWithError(0, "") })
	return conn
}

// Guards against an entry that exhausts an agent with dispatches that it does not end.
var _ = Describe("dispatches that stop short of their end", Serial, func() {
	DescribeTable("leave the agent within its bound, and others are served",
		func(ctx SpecContext, streams, bodyBytes int) {
			f := newProcessFleet()
			key := f.startAll()
			f.run("budget", "top-up", "chania-desk", "--amount", "1000000000")
			f.terminate("entry-2")
			prompt := strings.Repeat("word ", 20_000) // larger than a small receive buffer
			body := fmt.Sprintf(`{"model":"itinerary-large","stream":true,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, prompt)
			ordinary := func() error {
				status, _, answer, err := send(ctx, "http://127.0.0.1:"+f.port("8081")+"/v1/chat/completions", key, "", body)
				if err != nil || status != http.StatusOK || !strings.HasSuffix(answer, "data: [DONE]\n\n") {
					return fmt.Errorf("%d %q: %w", status, answer, err)
				}
				return nil
			}
			Eventually(ctx, ordinary, 20*time.Second, 100*time.Millisecond).Should(Succeed())
			message, err := peer.Encode(peer.Dispatch{RequestID: "r", AttemptID: "a", Body: make([]byte, bodyBytes)})
			Expect(err).NotTo(HaveOccurred())
			conn := f.dialAgent(ctx, "9181")
			stop := f.observePeaks("agent-engine-1")
			var group sync.WaitGroup
			limit := make(chan struct{}, 100)
			for range streams {
				limit <- struct{}{}
				group.Go(func() {
					defer func() { <-limit }()
					s, err := conn.OpenStreamSync(ctx)
					if err != nil {
						return
					}
					_ = s.SetWriteDeadline(time.Now().Add(10 * time.Second))
					_, _ = s.Write(message[:len(message)-1])
				})
			}
			group.Wait()
			// The streams are still open.
			start := time.Now()
			var answerErr error
			for answerErr = ordinary(); answerErr != nil && time.Since(start) < ordinaryRequestTime; answerErr = ordinary() {
				time.Sleep(200 * time.Millisecond)
			}
			Expect(f.processes["agent-engine-1"].Process.Signal(syscall.Signal(0))).To(Succeed(), "the process has ended")
			resident, descriptors := stop()
			AddReportEntry("peaks", fmt.Sprintf("resident %d MiB, %d descriptors, answer after %v: %v", resident>>20, descriptors, time.Since(start), answerErr))
			Expect(resident).To(BeNumerically("<", maxDispatchResidentBytes))
			Expect(answerErr).NotTo(HaveOccurred())
		},
		Entry("large ones", 200, 4<<20),
		Entry("as many as fit", 15, 4<<20-1<<10),
		Entry("small ones", 15_000, 3<<10),
	)

	// Guards against long bodies of accepted requests that a target doesn't take.
	It("are bounded in the same way as complete ones that wait for the target", func(ctx SpecContext) {
		f := newProcessFleet()
		f.addSettings("agent-engine-1.toml", "agent", waitingSettings)
		key := f.startAll()
		f.terminate("entry-2")
		ordinary := func() error {
			status, _, answer, err := send(ctx, "http://127.0.0.1:"+f.port("8081")+"/v1/chat/completions", key, "", chatBody)
			if err != nil || status != http.StatusOK || !strings.HasSuffix(answer, "data: [DONE]\n\n") {
				return fmt.Errorf("%d %q: %w", status, answer, err)
			}
			return nil
		}
		Eventually(ctx, ordinary, 20*time.Second, 100*time.Millisecond).Should(Succeed())
		f.signal("engine", syscall.SIGSTOP)
		conn := f.dialAgent(ctx, "9181")
		stop := f.observePeaks("agent-engine-1")
		body := []byte(chatBody + strings.Repeat(" ", 4<<20-len(chatBody)))
		for i := range 100 {
			message, err := peer.Encode(peer.Dispatch{RequestID: "r", AttemptID: fmt.Sprintf("attempt-%d", i), Target: "engine-1", Version: "v1", ConfigNumber: 1 << 20,
				Repeatable: true, Deadline: time.Now().Add(10 * time.Second), PromptTokens: 100, MaxTokens: 8, Body: body, CreditBytes: 4 << 10})
			Expect(err).NotTo(HaveOccurred())
			s, err := conn.OpenStreamSync(ctx)
			Expect(err).NotTo(HaveOccurred())
			_ = s.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = s.Write(message)
		}
		f.signal("engine", syscall.SIGCONT)
		Eventually(ctx, ordinary, ordinaryRequestTime, 100*time.Millisecond).Should(Succeed())
		resident, _ := stop()
		AddReportEntry("peaks", fmt.Sprintf("resident %d MiB", resident>>20))
		Expect(resident).To(BeNumerically("<", maxWaitingResidentBytes))
	})
})
