package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/upstream"
)

// exchange sends a request for each answer of a connection and returns the response to
// the last one, which is the one in question.
func exchange(method string, s script) (status int, body string, err error) {
	GinkgoHelper()
	address, scripts := newScriptedServer()
	pool := upstream.New()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	scripts <- s
	for n := range s.answers {
		res, err := pool.Do(ctx, address, upstream.Request{Method: method, RequestTarget: "/"}, ownResponse)
		Expect(ctx.Err()).NotTo(HaveOccurred())
		if err != nil {
			Expect(n).To(Equal(len(s.answers)-1), "%v", err)
			Expect(errors.As(err, new(*upstream.IncompleteResponseError))).To(BeTrue(), "%v", err)
			return 0, "", err
		}
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if n == len(s.answers)-1 {
			return res.StatusCode, string(data), err
		}
		Expect(err).NotTo(HaveOccurred())
	}
	return 0, "", nil
}

// Guards against a header of which a line is passed on that is no field, or is not seen
// as the field that tells where the body ends.
var _ = Describe("a response with a broken header", func() {
	const (
		body    = "0123456789"
		first   = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok"
		sized   = "HTTP/1.1 200 OK\r\nId: own\r\nDigest: 3e\r\nContent-Length: 10\r\nOther: x\r\n\r\n" + body
		chunked = "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\na;x=y\r\n" + body + "\r\n0\r\n\r\n"
		unsized = "HTTP/1.1 200 OK\r\nId: own\r\nDigest: 3e\r\n\r\n" + body
		early   = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
		copied  = "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 4\r\n\r\ncopy"
		// betweenPieces lets a piece be read before the next one is written.
		betweenPieces = 20 * time.Millisecond
	)

	// expectRefused expects that the last response of a connection is not accepted.
	expectRefused := func(answers ...string) {
		GinkgoHelper()
		status, got, err := exchange("POST", script{answers: answers})
		Expect(err).To(HaveOccurred(), "%q: status %d, body %q", answers[len(answers)-1], status, got)
	}

	DescribeTable("is refused with a blank or a control byte anywhere in the name of a field",
		func(before []string, response string) {
			header, rest, found := strings.Cut(response, "\r\n\r\n")
			Expect(found).To(BeTrue())
			offset := 0
			for line := range strings.SplitAfterSeq(header+"\r\n", "\r\n") {
				name, _, isField := strings.Cut(line, ":")
				for at := 0; isField && at <= len(name); at++ {
					for _, b := range []string{" ", "\t", "\x00", "\x01", "\n", "\v", "\f", "\r", "\x1f", "\x7f"} {
						broken := header[:offset+at] + b + header[offset+at:] + "\r\n\r\n" + rest
						expectRefused(append(before[:len(before):len(before)], broken)...)
					}
				}
				offset += len(line)
			}
		},
		Entry("with a length", nil, sized),
		Entry("in chunks", nil, chunked),
		Entry("without a length", nil, unsized),
		Entry("informational", nil, early+sized),
		Entry("a failure", nil, strings.Replace(sized, "200 OK", "500 X", 1)),
		Entry("on a connection in use", []string{first}, sized),
		Entry("a copy of an earlier one", []string{first}, copied+sized),
	)

	It("is refused also after an informational response", func() {
		expectRefused(early + strings.Replace(sized, "Content-Length", "Content-Length ", 1))
		expectRefused(early + strings.Replace(unsized, "Digest", " Digest", 1))
	})

	DescribeTable("is refused",
		func(header string) { expectRefused(header + body) },
		Entry("with a folded line", "HTTP/1.1 200 OK\r\nId: own\r\nOther: x\r\n y\r\n\r\n"),
		Entry("with a control byte in the reason phrase", "HTTP/1.1 200 O\x01K\r\nId: own\r\n\r\n"),
		Entry("with a field behind CR in the reason phrase", "HTTP/1.1 200 OK\rContent-Length: 5\r\nId: own\r\n\r\n"),
		Entry("with a field behind CR in a value", "HTTP/1.1 200 OK\r\nId: own\rContent-Length: 5\r\n\r\n"),
		Entry("with LF among CRLF", "HTTP/1.1 200 OK\r\nId: own\nOther: x\r\n\r\n"),
		Entry("of HTTP/1.0 with a transfer encoding", "HTTP/1.0 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n"),
		Entry("of another version", "HTTP/2.0 200 OK\r\nId: own\r\n\r\n"),
	)

	DescribeTable("is refused with chunks or trailers that are broken",
		func(chunks string) {
			expectRefused("HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
		},
		Entry("by a control byte in an extension", "a;x\x01\r\n"+body+"\r\n0\r\n\r\n"),
		Entry("by a control byte in the last extension", "a\r\n"+body+"\r\n0;\x00\r\n\r\n"),
		Entry("by LF behind a size", "a\n"+body+"\r\n0\r\n\r\n"),
		Entry("by a blank in the name of a trailer", "a\r\n"+body+"\r\n0\r\nS um: 1\r\n\r\n"),
		Entry("by a blank behind the name of a trailer", "a\r\n"+body+"\r\n0\r\nSum : 1\r\n\r\n"),
		Entry("by a control byte in the name of a trailer", "a\r\n"+body+"\r\n0\r\nS\x01um: 1\r\n\r\n"),
		Entry("by a folded trailer", "a\r\n"+body+"\r\n0\r\nSum: 1\r\n 2\r\n\r\n"),
		Entry("by LF before a trailer", "a\r\n"+body+"\r\n0\r\n\nSum: 1\r\n\r\n"),
	)

	// Guards against a connection that is used again with the rest of a broken response on
	// it, or after it, and against a wait for more after the byte that shows that it is
	// broken.
	DescribeTable("ends its connection at once",
		func(pieces ...string) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			ended := make(chan struct{}, 2)
			go func() {
				for n := 0; ; n++ {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = c.Close() }()
						reader := bufio.NewReader(c)
						for {
							if _, err := http.ReadRequest(reader); err != nil {
								ended <- struct{}{}
								return
							}
							if n > 0 {
								_, _ = io.WriteString(c, sized)
								continue
							}
							for _, piece := range pieces {
								_, _ = io.WriteString(c, piece)
								time.Sleep(betweenPieces)
							}
						}
					}()
				}
			}()
			address := listener.Addr().(*net.TCPAddr).AddrPort()
			pool := upstream.New()
			DeferCleanup(pool.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			call := func() (string, error) {
				res, err := pool.Do(ctx, address, upstream.Request{Method: "POST", RequestTarget: "/"}, ownResponse)
				if err != nil {
					return "", err
				}
				data, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				return string(data), err
			}
			_, err = call()
			Expect(err).To(HaveOccurred())
			Expect(ctx.Err()).NotTo(HaveOccurred())
			Eventually(ended, "2s").Should(Receive())
			for range 2 {
				Expect(call()).To(Equal(body))
			}
			Consistently(ended, "50ms").ShouldNot(Receive())
		},
		Entry("with a broken header", strings.Replace(sized, "Other", "Ot her", 1)),
		Entry("with an invalid status", strings.Replace(sized, "200", "000", 1)),
		Entry("with a broken trailer", "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\na\r\n"+body+"\r\n0\r\nS um: 1\r\n\r\n"),
		Entry("with a broken header of an informational response", "HTTP/1.1 103 X\r\n Link: x\r\n\r\n"+sized),
		Entry("in pieces, cut in the status line", "HTTP/1.1 503", sized),
		Entry("in pieces, cut in the end of a line", "HTTP/1.1 503 X\r", sized),
		Entry("in pieces, cut in the name of a field", "HTTP/1.1 503 X\r\nOt", " her: x\r\n\r\n"),
		Entry("in pieces, cut in a value", "HTTP/1.1 503 X\r\nOther: x", "\x00\r\n\r\n"),
		Entry("in pieces, cut before the end of the header", "HTTP/1.1 503 X\r\nOther: x\r\n", " y\r\n\r\n"),
		Entry("in pieces, cut in a trailer", "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nSum", " : 1\r\n\r\n"),
	)

	DescribeTable("is not one that is only unusual",
		func(response string) {
			for _, answers := range [][]string{{response}, {early + response}, {first, response}, {first, copied + response}} {
				status, got, err := exchange("POST", script{answers: answers})
				Expect(err).NotTo(HaveOccurred(), "%q", answers)
				Expect(status).To(Equal(200))
				Expect(got).To(Equal(body))
			}
		},
		Entry("with a length", sized),
		Entry("in chunks with extensions", "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n5;x=\"y z\"\r\n01234\r\n5;a\r\n56789\r\n0;b\r\n\r\n"),
		Entry("with trailers", "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\na\r\n"+body+"\r\n0\r\nSum: 12\r\nOther: x\r\n\r\n"),
		Entry("without a length", unsized),
		Entry("with an empty reason phrase", strings.Replace(sized, "OK", "", 1)),
		Entry("without a reason phrase", strings.Replace(sized, " OK", "", 1)),
		Entry("with unknown fields of all kinds of names", strings.Replace(sized, "Other", "!#$%&'*+-.^_`|~0", 1)),
		Entry("with empty values and blanks around them", strings.Replace(sized, "Other: x", "Other:\r\nA:b\r\nC: \t d \t", 1)),
		Entry("with bytes beyond ASCII in values", strings.Replace(sized, "Other: x", "Other: \xce\x94\xff", 1)),
		Entry("with a long header", strings.Replace(sized, "Other: x", fmt.Sprint("Other: ", strings.Repeat("x", 16<<10)), 1)),
		Entry("with many fields", strings.Replace(sized, "Other: x", strings.Repeat("Other: x\r\n", 500)+"Last: x", 1)),
		Entry("with lines that end in LF", strings.ReplaceAll(sized, "\r\n", "\n")),
	)
})
