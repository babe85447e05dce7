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

// newVerbatimEngine answers each request with the given bytes and then closes the
// connection.
func newVerbatimEngine(answer string) *engine.Client {
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
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	client, err := engine.New("http://" + listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	return client
}

// Guards against a broken answer that confirms an order or starts a stream.
var _ = Describe("an answer of an engine", func() {
	const done = "data: [DONE]\n\n"

	DescribeTable("is ambiguous",
		func(header string) {
			order := newVerbatimEngine(header+"\r\nContent-Length: 0\r\n\r\n").Order(context.Background(), engine.Order{Kind: "load"})
			Expect(errors.As(order, new(*engine.AmbiguousError))).To(BeTrue(), "%v", order)
			_, err := newVerbatimEngine(header+"\r\nContent-Length: 14\r\n\r\n"+done).Stream(context.Background(), engine.Request{Body: body("p", 0)})
			Expect(errors.As(err, new(*engine.AmbiguousError))).To(BeTrue(), "%v", err)
		},
		Entry("with status 000", "HTTP/1.1 000 OK"),
		Entry("with status 099", "HTTP/1.1 099 OK"),
		Entry("with status 600", "HTTP/1.1 600 OK"),
		Entry("with status 101", "HTTP/1.1 101 OK"),
		Entry("with a blank before a colon", "HTTP/1.1 200 OK\r\nX : y"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Y: z"),
		Entry("with a folded line", "HTTP/1.1 200 OK\r\nX: y\r\n z"),
		Entry("with LF before a name", "HTTP/1.1 200 OK\r\nX: y\r\n\nY: z"),
		Entry("with CR in the reason phrase", "HTTP/1.1 200 OK\rX: y"),
	)

	DescribeTable("is accepted in an unusual form",
		func(header string) {
			Expect(newVerbatimEngine(header+"\r\n\r\n").Order(context.Background(), engine.Order{Kind: "load"})).To(Succeed())
			r, err := newVerbatimEngine(header+"\r\n\r\n"+done).Stream(context.Background(), engine.Request{Body: body("p", 0)})
			Expect(err).NotTo(HaveOccurred())
			Expect(readAll(r).err).NotTo(HaveOccurred())
			r.Close()
		},
		Entry("with an empty reason phrase", "HTTP/1.1 200 \r\nUnknown: x"),
		Entry("without a reason phrase or a length", "HTTP/1.1 200\r\nConnection: close"),
		Entry("after an informational one", "HTTP/1.1 103 X\r\nLink: y\r\n\r\nHTTP/1.1 200 OK"),
	)
})
