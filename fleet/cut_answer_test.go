package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
	"briarreach/fleet"
	"briarreach/settings"
	"briarreach/timeline"
)

// newLargeAnswerService starts a service that answers each call with a body of n bytes.
func newLargeAnswerService(n int) (url string) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against an answer of a service that the agent gives up midway and that
// reaches the caller as complete.
var _ = Describe("an answer of a service that the agent stops passing on", func() {
	const bodyBytes = 768 << 10
	start := func(ctx SpecContext, adjust func(*settings.Settings)) *fleet.Fleet {
		GinkgoHelper()
		f, err := fleet.New(ctx, fleet.WithSize(1, 0, 0), fleet.WithLog(quietLog()), fleet.WithSettings(adjust))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func(ctx SpecContext) { _ = f.Close(ctx) })
		Expect(f.AddAgent("service-1", newLargeAnswerService(bodyBytes))).To(Succeed())
		Expect(f.Patch(ctx, config.PutTarget{Target: config.Target{Name: "service-1", Service: fleet.Service, Version: fleet.Version,
			AgentAddr: f.Agents[0].Addr(), MaxConcurrent: 8, FailureDomain: "attica-1"}})).To(Succeed())
		Expect(fleet.WaitForConfig(ctx, f.Operator())).To(Succeed())
		return f
	}

	DescribeTable("is visibly incomplete", func(ctx SpecContext, adjust func(*settings.Settings)) {
		f := start(ctx, adjust)
		c, err := net.Dial("tcp", f.Entries[0].CallerAddr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		_, err = fmt.Fprintf(c, "GET /v1/services/%s/schedules HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\n\r\n", fleet.Service, f.CallerKey)
		Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		// The caller reads nothing more until the agent has given the answer up.
		Eventually(func() (ends []string) {
			for _, e := range f.Agents[0].Events().Events(timeline.Filter{}) {
				if strings.HasPrefix(e.Kind, "attempt_") {
					ends = append(ends, e.Kind)
				}
			}
			return ends
		}, "20s", "5ms").Should(HaveLen(1))
		body, err := io.ReadAll(res.Body)
		Expect(len(body)).To(BeNumerically("<", bodyBytes))
		Expect(err).To(HaveOccurred(), "%d of %d bytes", len(body), bodyBytes)
	},
		Entry("when the caller reads nothing for too long", func(s *settings.Settings) {
			if s.Agent != nil {
				s.Agent.StallTimeout = settings.Duration{Duration: 200 * time.Millisecond}
			}
		}),
		Entry("when the deadline of the request passes", func(s *settings.Settings) {
			if s.Entry != nil {
				s.Entry.RequestTimeout = settings.Duration{Duration: time.Second}
			}
		}),
	)
})
