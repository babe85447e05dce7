package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/upstream"
)

// script is what a replica does on one connection: it answers the requests with the
// given bytes in order, and then ends the connection.
type script struct {
	answers []string
	reset   bool // whether it ends with RST instead of FIN
}

// newScriptedServer plays one script for each connection, in the order of the
// scripts that are sent.
func newScriptedServer() (netip.AddrPort, chan<- script) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	scripts := make(chan script, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			play(c.(*net.TCPConn), <-scripts)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), scripts
}

func play(c *net.TCPConn, s script) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, answer := range s.answers {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
	}
	if s.reset {
		_ = c.SetLinger(0)
	}
}

// Guards against a response of which a part is missing and that is taken for a whole
// one.
var _ = Describe("a response that is cut", func() {
	const (
		body    = "0123456789"
		id      = "Id: own\r\n"
		sized   = "HTTP/1.1 200 OK\r\n" + id + "Digest: 3e1b.07\r\nContent-Length: 10\r\n\r\n" + body
		chunked = "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\n\r\n"
		trailed = "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\na\r\n" + body + "\r\n0\r\nSum: 12\r\n\r\n"
		unsized = "HTTP/1.1 200 OK\r\n" + id + "Content-Type: text/event-stream\r\n\r\n"
		both    = "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n"
		early   = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
		copied  = "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 4\r\n\r\ncopy"
		first   = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok"
	)
	lines := func(text string) string { return strings.ReplaceAll(text, "\r\n", "\n") }

	// complete sends requests until one is answered by the last answer of the script,
	// and reports whether that was accepted as whole.
	complete := func(address netip.AddrPort, scripts chan<- script, method string, s script) (string, bool) {
		GinkgoHelper()
		pool := upstream.New()
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		scripts <- s
		for n := range s.answers {
			res, err := pool.Do(ctx, address, upstream.Request{Method: method, RequestTarget: "/"}, ownResponse)
			if err != nil {
				Expect(n).To(Equal(len(s.answers)-1), "%v", err)
				Expect(errors.As(err, new(*upstream.IncompleteResponseError))).To(BeTrue(), "%v", err)
				Expect(ctx.Err()).NotTo(HaveOccurred())
				return "", false
			}
			data, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			Expect(ctx.Err()).NotTo(HaveOccurred())
			if n == len(s.answers)-1 {
				return string(data), err == nil
			}
			Expect(err).NotTo(HaveOccurred())
		}
		return "", false
	}

	// wholeFrom is the number of bytes from which the response is whole: all of them, or
	// those of the header if it has no length and the connection ends with FIN, which
	// ends the body then.
	DescribeTable("after any byte is incomplete",
		func(method string, before []string, response, wantBody string) {
			address, scripts := newScriptedServer()
			headerEnd := strings.Index(response, wantBody)
			for _, reset := range []bool{false, true} {
				for cut := 0; cut < len(response); cut++ {
					got, whole := complete(address, scripts, method, script{answers: append(before[:len(before):len(before)], response[:cut]), reset: reset})
					if !reset && strings.HasPrefix(response, unsized) && cut >= headerEnd {
						Expect(whole).To(BeTrue(), "after %q", response[:cut])
						Expect(got).To(Equal(response[headerEnd:cut]))
						continue
					}
					Expect(whole).To(BeFalse(), "reset %v, after %q: body %q", reset, response[:cut], got)
				}
			}
			got, whole := complete(address, scripts, method, script{answers: append(before[:len(before):len(before)], response)})
			Expect(whole).To(BeTrue())
			Expect(got).To(Equal(wantBody))
		},
		Entry("with a length", "POST", nil, sized, body),
		Entry("in chunks", "POST", nil, chunked, body),
		Entry("in chunks, with a trailer", "POST", nil, trailed, body),
		Entry("without a length", "POST", nil, unsized+body, body),
		Entry("with a length and in chunks", "POST", nil, both, body),
		Entry("with lines that end in LF", "POST", nil, lines(sized), body),
		Entry("with lines that end in LF, without a length", "POST", nil, lines("HTTP/1.1 204 No Content\r\n"+id+"\r\n"), ""),
		Entry("after an informational response", "POST", nil, early+sized, body),
		Entry("after a copy of an earlier response", "POST", []string{first}, copied+sized, body),
		Entry("in chunks, after a copy of an earlier response", "POST", []string{first}, copied+chunked, body),
		Entry("with status 204", "POST", nil, "HTTP/1.1 204 No Content\r\n"+id+"\r\n", ""),
		Entry("with status 304", "GET", nil, "HTTP/1.1 304 Not Modified\r\n"+id+"Content-Length: 10\r\n\r\n", ""),
		Entry("to HEAD", "HEAD", nil, "HTTP/1.1 200 OK\r\n"+id+"Content-Length: 10\r\n\r\n", ""),
	)

	DescribeTable("or has a doubtful length is not accepted",
		func(fields, framedBody string) {
			address, scripts := newScriptedServer()
			_, whole := complete(address, scripts, "POST", script{answers: []string{"HTTP/1.1 200 OK\r\n" + id + fields + "\r\n" + framedBody}})
			Expect(whole).To(BeFalse())
		},
		Entry("two lengths", "Content-Length: 10\r\nContent-Length: 5\r\n", body),
		Entry("two lengths in one field", "Content-Length: 10, 5\r\n", body),
		Entry("an empty length", "Content-Length: \r\n", body),
		Entry("a signed length", "Content-Length: +10\r\n", body),
		Entry("an unknown transfer encoding", "Transfer-Encoding: gzip, chunked\r\n", "a\r\n"+body+"\r\n0\r\n\r\n"),
		Entry("two transfer encodings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "a\r\n"+body+"\r\n0\r\n\r\n"),
	)

	// Guards against a header that is joined from those of two responses: the status of
	// an earlier request's response with the ID and the body of the own one, for example.
	DescribeTable("and is followed by the own one is not joined with it",
		func(earlier, own string, status int, ownBody string) {
			address, scripts := newScriptedServer()
			for cut := 0; cut < len(earlier); cut++ {
				scripts <- script{answers: []string{first, earlier[:cut] + own}}
				pool := upstream.New()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				for n := range 2 {
					res, err := pool.Do(ctx, address, upstream.Request{Method: "POST", RequestTarget: "/"}, ownResponse)
					Expect(ctx.Err()).NotTo(HaveOccurred())
					if err != nil {
						Expect(n).To(Equal(1), "%v", err)
						Expect(errors.As(err, new(*upstream.IncompleteResponseError))).To(BeTrue(), "%v", err)
						break
					}
					data, err := io.ReadAll(res.Body)
					_ = res.Body.Close()
					Expect(ctx.Err()).NotTo(HaveOccurred())
					if n == 1 && err == nil {
						Expect(res.StatusCode).To(Equal(status), "after %q", earlier[:cut])
						Expect(res.Header["Refused"]).To(BeEmpty(), "after %q", earlier[:cut])
						Expect(res.Header["Digest"]).To(Equal([]string{"own"}), "after %q", earlier[:cut])
						Expect(string(data)).To(Equal(ownBody), "after %q", earlier[:cut])
					}
				}
				cancel()
				pool.Close()
			}
		},
		Entry("a refusal and a success", "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nId: earlier\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nId: own\r\nDigest: own\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
		Entry("a success and a failure", "HTTP/1.1 200 OK\r\nDigest: earlier\r\nContent-Length: 7\r\nId: earlier\r\n\r\nearlier",
			"HTTP/1.1 500 Error\r\nId: own\r\nDigest: own\r\nContent-Length: 2\r\n\r\nno", 500, "no"),
		Entry("a success and a success", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nDigest: earlier\r\nId: earlier\r\nContent-Length: 7\r\n\r\nearlier",
			"HTTP/1.1 200 OK\r\nId: own\r\nDigest: own\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
		Entry("a failure with a trailer and a success in chunks", "HTTP/1.1 500 Error\r\nTrailer: Sum\r\nId: earlier\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nId: own\r\nDigest: own\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"),
	)

	It("and is followed by the copy of an earlier one is not joined with it", func() {
		const own = "HTTP/1.1 200 OK\r\nId: own\r\nDigest: own\r\nContent-Length: 7\r\n\r\n"
		address, scripts := newScriptedServer()
		for cut := range len(own) {
			got, whole := complete(address, scripts, "POST", script{answers: []string{first, own[:cut] + strings.ReplaceAll(own, "own", "earlier") + "earlier"}})
			Expect(whole).To(BeFalse(), "after %q: %q", own[:cut], got)
		}
	})
})
