package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/service"
)

// answer is what a target sends before it ends the connection, with RST if reset is
// set.
type answer struct {
	bytes string
	reset bool
}

// newCuttingTarget answers one request on each connection, in the order of the answers.
func newCuttingTarget() (url string, answers chan<- answer) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	queue := make(chan answer, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			a := <-queue
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
	return "http://" + listener.Addr().String(), queue
}

// Guards against an answer of which a part is missing and that is taken for a whole
// one, or for one that shows that the call has not run.
var _ = Describe("an answer that a service cuts after any byte", func() {
	const body = "0123456789"
	DescribeTable("is ambiguous",
		func(method, header, framedBody, wantBody string, unframed bool) {
			url, answers := newCuttingTarget()
			client, err := service.New(url)
			Expect(err).NotTo(HaveOccurred())
			r := booking
			r.Method = method
			whole := header + framedBody
			for _, reset := range []bool{false, true} {
				for cut := 0; cut < len(whole); cut++ {
					answers <- answer{whole[:cut], reset}
					response, err := client.Call(context.Background(), r)
					if unframed && !reset && cut >= len(header) {
						Expect(err).NotTo(HaveOccurred(), "after %q", whole[:cut])
						Expect(string(response.Body)).To(Equal(whole[len(header):cut]))
						continue
					}
					Expect(as[*service.AmbiguousError](err)).To(BeTrue(), "reset %v, after %q: %v", reset, whole[:cut], err)
				}
			}
			answers <- answer{whole, false}
			response, err := client.Call(context.Background(), r)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal(wantBody))
		},
		Entry("with a length", "POST", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n", body, body, false),
		Entry("in chunks", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\n\r\n", body, false),
		Entry("in chunks, with a trailer", "POST", "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n"+body+"\r\n0\r\nSum: 12\r\n\r\n", body, false),
		Entry("without a length", "POST", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", body, body, true),
		Entry("after an informational answer", "POST", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", body, body, false),
		Entry("with status 204", "POST", "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", "", "", false),
		Entry("with status 304", "GET", "HTTP/1.1 304 Not Modified\r\nX: y\r\n\r\n", "", "", false),
		Entry("to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "", "", false),
		Entry("with a failure", "POST", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\n", body, body, false),
	)

	DescribeTable("is ambiguous with a doubtful header",
		func(header string) {
			url, answers := newCuttingTarget()
			client, err := service.New(url)
			Expect(err).NotTo(HaveOccurred())
			answers <- answer{bytes: header + body}
			_, err = client.Call(context.Background(), booking)
			Expect(as[*service.AmbiguousError](err)).To(BeTrue(), "%v", err)
		},
		Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 5\r\n\r\n"),
		Entry("two lengths in one field", "HTTP/1.1 200 OK\r\nContent-Length: 10, 5\r\n\r\n"),
		Entry("an empty length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n"),
		Entry("a signed length", "HTTP/1.1 200 OK\r\nContent-Length: +10\r\n\r\n"),
		Entry("lines that end in LF", "HTTP/1.1 200 OK\nContent-Length: 10\n\n"),
		Entry("a blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 10\r\n\r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX Y: z\r\n\r\n"),
		Entry("a folded line", "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 5\r\n\r\n"),
		Entry("LF before a name", "HTTP/1.1 200 OK\r\nX: y\r\n\nContent-Length: 5\r\n\r\n"),
		Entry("CR in the reason phrase", "HTTP/1.1 200 OK\rContent-Length: 5\r\n\r\n"),
		Entry("a transfer encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
		Entry("a status of zeros", "HTTP/1.1 000 X\r\nContent-Length: 10\r\n\r\n"),
		Entry("a status below those of HTTP", "HTTP/1.1 099 X\r\nContent-Length: 10\r\n\r\n"),
		Entry("a status above those of HTTP", "HTTP/1.1 600 X\r\nContent-Length: 10\r\n\r\n"),
		Entry("a signed status", "HTTP/1.1 +20 X\r\nContent-Length: 10\r\n\r\n"),
		Entry("a switch to another protocol", "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 10\r\n\r\n"),
	)

	// Guards against a part of an answer that is taken for all of it, since the write of
	// the call took the error of the reset from the socket.
	It("is ambiguous if the connection is reset while the call is written", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+body[:5])
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}()
		client, err := service.New("http://" + listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		r := booking
		r.Body = make([]byte, 16<<20)
		for range 20 {
			response, err := client.Call(context.Background(), r)
			Expect(as[*service.AmbiguousError](err)).To(BeTrue(), "%v: body %q", err, response.Body)
		}
	})
})
