package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/engine"
)

// Guards against a stream of which a part is missing and that is taken for a whole one.
var _ = Describe("a stream that an engine cuts after any byte", func() {
	const (
		header  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		delta   = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
		end     = "data: [DONE]\n\n"
		chunked = header + "Transfer-Encoding: chunked\r\n\r\n2f\r\n" + delta + "\r\n2f\r\n" + delta + "\r\ne\r\n" + end + "\r\n0\r\n\r\n"
		unsized = header + "\r\n" + delta + delta + end
	)
	DescribeTable("is incomplete",
		func(whole string, afterEnd int) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			client, err := engine.New("http://" + listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			type answer struct {
				bytes string
				reset bool
			}
			answers := make(chan answer, 1)
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					a := <-answers
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, a.bytes)
					}
					if a.reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				}
			}()
			for _, reset := range []bool{false, true} {
				for cut := 0; cut <= len(whole); cut++ {
					answers <- answer{whole[:cut], reset}
					r, err := client.Stream(context.Background(), engine.Request{Body: body("p", 0)})
					if err != nil {
						Expect(errors.As(err, new(*engine.AmbiguousError))).To(BeTrue(), "after %q: %v", whole[:cut], err)
						Expect(cut).To(BeNumerically("<", len(whole)-afterEnd))
						continue
					}
					a := readAll(r)
					r.Close()
					// The end of the event with "[DONE]" ends the stream, whatever follows.
					if cut >= len(whole)-afterEnd {
						Expect(a.err).NotTo(HaveOccurred(), "after %q", whole[:cut])
						Expect(a.text).To(Equal("aa"))
						continue
					}
					Expect(errors.As(a.err, new(*engine.IncompleteError))).To(BeTrue(), "reset %v, after %q: %v", reset, whole[:cut], a.err)
				}
			}
		},
		Entry("in chunks", chunked, len("\r\n0\r\n\r\n")),
		Entry("without a length", unsized, 0),
	)
})
