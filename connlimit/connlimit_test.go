package connlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"briarreach/connlimit"
)

func TestConnlimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connlimit")
}

const (
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 256 << 10
	memory         = 2 << 20
	stall          = 200 * time.Millisecond
)

// start runs a server that answers with the length of the body, and returns a
// function that dials it.
func start(opts ...connlimit.Option) (*connlimit.Listener, func() net.Conn, *atomic.Value) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var refused atomic.Value
	l := connlimit.New(inner, append([]connlimit.Option{
		connlimit.WithMemory(memory, stall), connlimit.WithConnections(64, 0),
		connlimit.WithRequestLimits(maxHeaderBytes, maxBodyBytes),
		connlimit.WithOnRefused(func(r connlimit.Reason) { refused.Store(r) }),
		connlimit.WithResponse([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")),
	}, opts...)...)
	server := &fasthttp.Server{
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes, ReduceMemoryUsage: true, ConnState: l.ConnState,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if connlimit.Of(ctx).Serve(int64(len(ctx.PostBody()))) != nil {
				ctx.SetStatusCode(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprint(ctx, len(ctx.PostBody()))
		},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			if connlimit.Of(ctx).Refused() {
				ctx.SetStatusCode(http.StatusServiceUnavailable)
				return
			}
			ctx.SetStatusCode(http.StatusBadRequest)
		},
	}
	go func() { _ = server.Serve(l) }()
	DeferCleanup(func() { _ = server.Shutdown() })
	return l, func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}, &refused
}

func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func chunked(body string, sizes ...int) string {
	b := &strings.Builder{}
	fmt.Fprint(b, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, size := range sizes {
		size = min(size, len(body))
		if size > 0 {
			fmt.Fprintf(b, "%x;ext\r\n%s\r\n", size, body[:size])
			body = body[size:]
		}
	}
	if body != "" {
		fmt.Fprintf(b, "%x\r\n%s\r\n", len(body), body)
	}
	fmt.Fprint(b, "0\r\nX-Sum: x\r\n\r\n")
	return b.String()
}

// answer reads a response, and returns its body if its status is 200.
func answer(r *bufio.Reader) string {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	return string(body)
}

var _ = Describe("Listener", func() {
	// Guards against bytes that are lost between pipelined requests, and against room
	// that is not returned.
	It("passes on requests however they arrive, and holds nothing for idle connections", func() {
		l, dial, _ := start()
		kept := dial()
		Eventually(l.Held, time.Second).ShouldNot(BeZero())
		idle := l.Held()
		_, err := io.WriteString(kept, post("small"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer(bufio.NewReader(kept))).To(Equal("5"))
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := dial()
			defer func() { _ = c.Close() }()
			var want, sent []string
			for range rapid.IntRange(1, 4).Draw(t, "requests") {
				body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 100, 5000, 70_000}).Draw(t, "body"))
				request := post(body)
				if rapid.Bool().Draw(t, "chunked") {
					request = chunked(body, rapid.SliceOfN(rapid.IntRange(1, 9000), 0, 5).Draw(t, "chunks")...)
				}
				want, sent = append(want, fmt.Sprint(len(body))), append(sent, request)
			}
			bytes, n := strings.Join(sent, ""), rapid.IntRange(100, 20_000).Draw(t, "write")
			go func() {
				for ; bytes != ""; bytes = bytes[min(n, len(bytes)):] {
					_, _ = io.WriteString(c, bytes[:min(n, len(bytes))])
				}
			}()
			r := bufio.NewReader(c)
			for _, length := range want {
				if got := answer(r); got != length {
					t.Fatalf("answer %q instead of %q", got, length)
				}
			}
		})
		Eventually(l.Held, time.Second).Should(Equal(idle))
	})

	// Guards against requests that together hold more than the memory, and against a
	// process that refuses others as long as they are open.
	DescribeTable("closes connections without progress for the room of others",
		func(unfinished string, n int) {
			l, dial, refused := start()
			for range n {
				_, err := io.WriteString(dial(), unfinished)
				Expect(err).NotTo(HaveOccurred())
			}
			Eventually(func(g Gomega) {
				c := dial()
				defer func() { _ = c.Close() }()
				_, err := io.WriteString(c, post(strings.Repeat("b", maxBodyBytes)))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer(bufio.NewReader(c))).To(Equal(fmt.Sprint(maxBodyBytes)))
			}, 5*time.Second).Should(Succeed())
			Expect(l.Held()).To(BeNumerically("<=", memory))
			Expect(refused.Load()).NotTo(BeNil())
		},
		Entry("announced bodies", post(strings.Repeat("b", maxBodyBytes))[:maxBodyBytes], 20),
		Entry("chunks", chunked(strings.Repeat("b", maxBodyBytes))[:maxBodyBytes], 20),
		Entry("connections", "POST", 64),
	)

	// Guards against a stall of a small request, such as a readiness check, by large ones.
	It("answers small requests while large bodies take all they may", func() {
		_, dial, _ := start(connlimit.WithMemory(memory, time.Hour))
		for range 20 {
			_, _ = io.WriteString(dial(), post(strings.Repeat("b", maxBodyBytes))[:maxBodyBytes])
		}
		for range 12 {
			_, _ = io.WriteString(dial(), "POST / HTTP/1.1\r\n") // these fill what is left of the memory of large bodies
		}
		c := dial()
		_, err := io.WriteString(c, post("small"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer(bufio.NewReader(c))).To(Equal("5"))
	})

	// Guards against one address that takes the connections of all.
	It("refuses connections beyond the number for one address, and accepts again", func() {
		_, dial, refused := start(connlimit.WithConnections(64, 2))
		first := dial()
		dial()
		Eventually(func() string { return answer(bufio.NewReader(dial())) }).Should(HavePrefix("503"))
		Expect(refused.Load()).To(Equal(connlimit.Address))
		_ = first.Close()
		Eventually(func() string {
			c := dial()
			_, _ = io.WriteString(c, post("small"))
			return answer(bufio.NewReader(c))
		}).Should(Equal("5"))
	})
})
