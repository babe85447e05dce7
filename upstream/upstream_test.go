package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// endlessServer sends a prefix and then a text again and again until the peer
// closes the connection.
type endlessServer struct {
	listener net.Listener
	sent     atomic.Int64
}

func newEndlessServer(prefix, repeated string) *endlessServer {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &endlessServer{listener: listener}
	DeferCleanup(listener.Close)
	block := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 4096))
				_, err := io.WriteString(c, prefix)
				for err == nil {
					var n int
					n, err = c.Write(block)
					s.sent.Add(int64(n))
				}
			}()
		}
	}()
	return s
}

func (s *endlessServer) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func ownResponse(res *http.Response) upstream.Owner {
	if res.Header.Get("Id") == "own" {
		return upstream.OwnRequest
	}
	return upstream.OtherRequest
}

// Guards against connections to replicas that have left, which stay open for the life
// of the process until it has no descriptors left.
var _ = Describe("the idle connections of a pool", func() {
	newServer := func() (address netip.AddrPort, open *atomic.Int64) {
		GinkgoHelper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		open = &atomic.Int64{}
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				open.Add(1)
				go func() {
					defer open.Add(-1)
					defer func() { _ = c.Close() }()
					for {
						if _, err := c.Read(make([]byte, 4096)); err != nil {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		return listener.Addr().(*net.TCPAddr).AddrPort(), open
	}
	request := upstream.Request{Method: "GET", RequestTarget: "/"}
	begin := func(p *upstream.Pool, address netip.AddrPort) *http.Response {
		GinkgoHelper()
		res, err := p.Do(context.Background(), address, request, ownResponse)
		Expect(err).NotTo(HaveOccurred())
		return res
	}
	end := func(res *http.Response) {
		GinkgoHelper()
		_, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
	}

	It("to replicas that have left are closed, also after requests in progress", func() {
		p := upstream.New()
		DeferCleanup(p.Close)
		left, openLeft := newServer()
		kept, openKept := newServer()
		end(begin(p, left))
		end(begin(p, kept))
		inProgress := begin(p, left)
		Consistently(openLeft.Load, "50ms").Should(BeEquivalentTo(1))
		p.RetainIdleConnections(map[netip.AddrPort]bool{kept: true})
		end(inProgress)
		Eventually(openLeft.Load, "2s", "5ms").Should(BeZero())
		Consistently(openKept.Load, "50ms").Should(BeEquivalentTo(1))
	})

	// Guards against bytes of a request that is no longer allowed when its connection is
	// established.
	It("carry nothing of a request that may no longer be sent, and are kept", func() {
		p := upstream.New()
		DeferCleanup(p.Close)
		address, open := newServer()
		disallowed := request
		disallowed.Allowed = func() bool { return false }
		for range 2 {
			_, err := p.Do(context.Background(), address, disallowed, ownResponse)
			var notSent *upstream.NotSentError
			Expect(errors.As(err, &notSent)).To(BeTrue())
			Expect(err).To(MatchError(&upstream.DisallowedError{}))
		}
		end(begin(p, address))
		Eventually(open.Load, "2s", "5ms").Should(BeEquivalentTo(1))
	})

	It("are bounded over all addresses", func() {
		p := upstream.New(upstream.WithMaxIdleConnections(3))
		DeferCleanup(p.Close)
		var counts []*atomic.Int64
		var responses []*http.Response
		for range 6 {
			address, open := newServer()
			counts = append(counts, open)
			responses = append(responses, begin(p, address))
		}
		for _, res := range responses {
			end(res)
		}
		Eventually(func() (n int64) {
			for _, open := range counts {
				n += open.Load()
			}
			return n
		}, "2s", "5ms").Should(BeEquivalentTo(3))
	})
})

var _ = Describe("a replica that sends bytes that are no response, without end", func() {
	request := upstream.Request{Method: "GET", RequestTarget: "/"}

	// Guards against memory that grows until the process is killed.
	DescribeTable("is given up after a bounded number of bytes",
		func(prefix, repeated string) {
			server := newEndlessServer(prefix, repeated)
			pool := upstream.New()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := pool.Do(ctx, server.address(), request, ownResponse)
			Expect(errors.As(err, new(*upstream.IncompleteResponseError))).To(BeTrue(), "%v", err)
			Expect(ctx.Err()).NotTo(HaveOccurred())
		},
		Entry("no line", "", "x"),
		Entry("status line", "HTTP/1.1 200 ", "x"),
		Entry("header field", "HTTP/1.1 200 OK\r\nField: ", "x"),
		Entry("header fields", "HTTP/1.1 200 OK\r\n", "Field: x\r\n"),
		Entry("informational responses", "", "HTTP/1.1 103 Early\r\n\r\n"),
		Entry("responses to earlier requests", "", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
		Entry("body of a response to an earlier request", "HTTP/1.1 200 OK\r\n\r\n", "x"),
		Entry("chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
		Entry("chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: x\r\n"),
	)

	It("costs little memory for 1,000 connections at once", func() {
		const connections, maxBytesEach = 1000, 64 << 10
		server := newEndlessServer("HTTP/1.1 200 OK\r\n", "Field: x\r\n")
		pool := upstream.New()
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		peak := uint64(0)
		var wg sync.WaitGroup
		for range connections {
			wg.Go(func() { _, _ = pool.Do(ctx, server.address(), request, ownResponse) })
		}
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(5 * time.Millisecond):
			}
			runtime.ReadMemStats(&after)
			peak = max(peak, after.HeapInuse)
		}
		Expect(ctx.Err()).NotTo(HaveOccurred())
		// The server's goroutines, in the same process, are counted too.
		Expect(float64(peak) - float64(before.HeapInuse)).To(BeNumerically("<", 2*connections*maxBytesEach))
	})
})
