package http1_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/http1"
)

func TestHTTP1(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "http1")
}

// check checks a text at once and byte by byte, and expects the same result.
func check(text string) error {
	GinkgoHelper()
	var whole, split http1.HeaderChecker
	err := whole.Check([]byte(text))
	var splitErr error
	for i := range len(text) {
		splitErr = split.Check([]byte{text[i]})
	}
	if err == nil {
		Expect(splitErr).NotTo(HaveOccurred())
	} else {
		Expect(splitErr).To(MatchError(err.Error()))
	}
	return err
}

var _ = Describe("a header of a response", func() {
	const fields = "Id: own\r\nContent-Length: 2\r\n\r\n"

	DescribeTable("is accepted", func(header string) { Expect(check(header)).To(Succeed()) },
		Entry("with fields", "HTTP/1.1 200 OK\r\n"+fields),
		Entry("without fields", "HTTP/1.1 200 OK\r\n\r\n"),
		Entry("with an empty reason phrase", "HTTP/1.1 200 \r\n"+fields),
		Entry("without a reason phrase", "HTTP/1.1 200\r\n"+fields),
		Entry("with a reason phrase of several words", "HTTP/1.1 404 Not\tFound at all\r\n"+fields),
		Entry("with bytes beyond ASCII", "HTTP/1.1 200 \xce\x94\r\nX: \xff\x80\r\n\r\n"),
		Entry("of HTTP/1.0", "HTTP/1.0 200 OK\r\n"+fields),
		Entry("of a later minor version", "HTTP/1.2 200 OK\r\n"+fields),
		Entry("with empty values", "HTTP/1.1 200 OK\r\nA:\r\nB: \t\r\n\r\n"),
		Entry("with blanks around values", "HTTP/1.1 200 OK\r\nA:b\r\nC: \t d\te f \r\n\r\n"),
		Entry("with a name of all kinds of characters", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n"),
		Entry("with colons in a value", "HTTP/1.1 200 OK\r\nA: b: c:d\r\n\r\n"),
		Entry("with lines that end in LF", "HTTP/1.1 200 OK\nA: b\n\n"),
		Entry("after informational ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: y\r\n\r\nHTTP/1.1 200 OK\r\n"+fields),
		Entry("that is not complete", "HTTP/1.1 200 OK\r\nConte"),
		Entry("and what follows it, whatever it is", "HTTP/1.1 200 OK\r\n"+fields+"\x00 : HTTP/1.1 000\n"),
	)

	DescribeTable("is refused", func(header string) {
		Expect(errors.As(check(header), new(*http1.HeaderError))).To(BeTrue(), "%q", header)
	},
		Entry("with a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n"),
		Entry("with a folded line", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"),
		Entry("with a blank before the first name", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n"),
		Entry("without a colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n"),
		Entry("without a name", "HTTP/1.1 200 OK\r\n: b\r\n\r\n"),
		Entry("with a byte beyond ASCII in a name", "HTTP/1.1 200 OK\r\nA\xff: b\r\n\r\n"),
		Entry("with a control byte in a value", "HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n"),
		Entry("with CR in a value", "HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n"),
		Entry("with CR twice", "HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n"),
		Entry("with a control byte in the reason phrase", "HTTP/1.1 200 O\x01K\r\n\r\n"),
		Entry("with CR in the reason phrase", "HTTP/1.1 200 OK\rA: b\r\n\r\n"),
		Entry("with LF among CRLF", "HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n"),
		Entry("with CRLF among LF", "HTTP/1.1 200 OK\nA: b\r\n\n"),
		Entry("that ends with LF after CRLF", "HTTP/1.1 200 OK\r\nA: b\r\n\n"),
		Entry("after an empty line", "\r\nHTTP/1.1 200 OK\r\n\r\n"),
		Entry("of another major version", "HTTP/2.0 200 OK\r\n\r\n"),
		Entry("of another protocol", "ICY 200 OK\r\n\r\n"),
		Entry("in lower case", "http/1.1 200 OK\r\n\r\n"),
		Entry("with two blanks before the status", "HTTP/1.1  200 OK\r\n\r\n"),
		Entry("with a tab before the status", "HTTP/1.1\t200 OK\r\n\r\n"),
		Entry("with a signed status", "HTTP/1.1 +20 OK\r\n\r\n"),
		Entry("with a status of two digits", "HTTP/1.1 20\r\n\r\n"),
		Entry("with a status of four digits", "HTTP/1.1 2000\r\n\r\n"),
		Entry("without a status", "HTTP/1.1 OK\r\n\r\n"),
		Entry("that is broken after an informational one", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nA b: c\r\n\r\n"),
		Entry("with an informational one that is broken", "HTTP/1.1 103 X\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"),
	)

	It("is refused with any byte in a name that is none of a token", func() {
		const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		for b := range 256 {
			c := string([]byte{byte(b)})
			for _, name := range []string{c + "A", "A" + c + "A", "A" + c} {
				header := "HTTP/1.1 200 OK\r\nX: y\r\n" + name + ": b\r\n\r\n"
				switch {
				case strings.Contains(token, c), c == ":" && name[0] != ':':
					Expect(check(header)).To(Succeed(), "%q", header)
				default:
					Expect(check(header)).NotTo(Succeed(), "%q", header)
				}
			}
		}
	})

	DescribeTable("is refused with a status that is none of a response", func(status string) {
		Expect(errors.As(check("HTTP/1.1 "+status+" X\r\n\r\n"), new(*http1.InvalidStatusError))).To(BeTrue())
	},
		Entry("000", "000"), Entry("099", "099"), Entry("101", "101"), Entry("600", "600"), Entry("999", "999"),
	)
})

// BenchmarkCheck measures a header as replicas send it, with the beginning of a body.
func BenchmarkCheck(b *testing.B) {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	for i := range 8 {
		fmt.Fprintf(&text, "Field-Number-%d: a value of some length\r\n", i)
	}
	text.WriteString("\r\n" + strings.Repeat("body", 512))
	data := []byte(text.String())
	b.ReportAllocs()
	for b.Loop() {
		var c http1.HeaderChecker
		if err := c.Check(data); err != nil {
			b.Fatal(err)
		}
	}
}
