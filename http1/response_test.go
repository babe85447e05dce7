package http1_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/http1"
)

func TestHTTP1(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "http1")
}

// check checks a text at once and byte by byte, and expects the same result.
func check(text string) error {
	GinkgoHelper()
	return checkMethod("POST", text)
}

// checkMethod is check for the response to a request with a method.
func checkMethod(method, text string) error {
	GinkgoHelper()
	whole, split := http1.NewResponseChecker(method), http1.NewResponseChecker(method)
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
		Expect(errors.As(check(header), new(*http1.FormatError))).To(BeTrue(), "%q", header)
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

var _ = Describe("the chunks of a response", func() {
	const (
		header = "HTTP/1.1 200 OK\r\nA: b\r\ntransfer-ENCODING: chunked\r\nC: d\r\n\r\n"
		body   = "5\r\n01234\r\n"
		end    = "0\r\n\r\n"
	)
	DescribeTable("are accepted", func(text string) { Expect(check(text)).To(Succeed()) },
		Entry("none", header+end),
		Entry("one", header+body+end),
		Entry("several", header+body+"a\r\n0123456789\r\n"+end),
		Entry("with data that looks like lines", header+"6\r\n0\r\n\r\n\x00\r\n"+end),
		Entry("with sizes in capitals and leading zeros", header+"00A\r\n0123456789\r\n000"+end),
		Entry("with extensions", header+"5;a=b;c=\"d e\xff\"\r\n01234\r\n0;f\r\n\r\n"),
		Entry("with a blank behind the size", header+"5 \r\n01234\r\n"+end),
		Entry("with trailers", header+body+"0\r\nSum: 1\r\nTransfer-Encoding: x\r\n\r\n"),
		Entry("that are not complete", header+"5\r\n012"),
		Entry("and what follows them", header+body+end+"\x00 :\n"),
		Entry("of a header with lines that end in LF", strings.ReplaceAll(header, "\r\n", "\n")+body+end),
		Entry("after an informational response", "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n"+header+body+end),
	)

	DescribeTable("are refused", func(text string) {
		Expect(errors.As(check(text), new(*http1.FormatError))).To(BeTrue(), "%q", text)
	},
		Entry("without a size", header+"\r\n01234\r\n"+end),
		Entry("with an extension alone", header+";a\r\n01234\r\n"+end),
		Entry("with a size that is no number", header+"x\r\n01234\r\n"+end),
		Entry("with a blank before the size", header+" 5\r\n01234\r\n"+end),
		Entry("with a size of too many digits", header+"00000000000000005\r\n01234\r\n"+end),
		Entry("with a control byte in an extension", header+"5;a\x01\r\n01234\r\n"+end),
		Entry("with LF behind the size", header+"5\n01234\r\n"+end),
		Entry("with a size that is too small", header+"4\r\n01234\r\n"+end),
		Entry("with LF behind the data", header+"5\r\n01234\n"+end),
		Entry("with a blank in the name of a trailer", header+body+"0\r\nS um: 1\r\n\r\n"),
		Entry("with a blank behind the name of a trailer", header+body+"0\r\nSum : 1\r\n\r\n"),
		Entry("with a folded trailer", header+body+"0\r\nSum: 1\r\n 2\r\n\r\n"),
		Entry("with LF before a trailer", header+body+"0\r\n\nSum: 1\r\n\r\n"),
		Entry("with a control byte in a trailer", header+body+"0\r\nSum: \x00\r\n\r\n"),
	)

	It("are none where the response has no body", func() {
		for _, status := range []string{"204", "304"} {
			Expect(check("HTTP/1.1 " + status + " X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP")).To(Succeed())
		}
		Expect(checkMethod("HEAD", header+"HTTP")).To(Succeed())
		Expect(check("HTTP/1.1 200 OK\r\nTransfer-Encodings: chunked\r\nX-Transfer-Encoding: chunked\r\nTransfer: chunked\r\n\r\nbody")).To(Succeed())
	})

	It("are refused in HTTP/1.0, which has none", func() {
		Expect(check("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")).To(MatchError(&http1.TransferEncodingError{}))
	})
})

// Guards against sound responses that are refused: whatever the form of HTTP allows, in
// any number and order.
var _ = It("a response in the form of HTTP is accepted", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		text := func(label string) string { return rapid.StringMatching(`[\t -~\x{80}-\x{7ff}]{0,20}`).Draw(t, label) }
		fields := func(label string) string {
			var lines strings.Builder
			for range rapid.IntRange(0, 4).Draw(t, label) {
				lines.WriteString(rapid.StringMatching("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,12}").Draw(t, "name") + ":" + text("value") + "\r\n")
			}
			return lines.String()
		}
		var response strings.Builder
		for range rapid.IntRange(0, 2).Draw(t, "informational responses") {
			response.WriteString("HTTP/1.1 103 " + text("reason") + "\r\n" + fields("fields") + "\r\n")
		}
		status := rapid.IntRange(200, 599).Draw(t, "status")
		fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n%s", status, text("reason"), fields("fields"))
		method := rapid.SampledFrom([]string{"GET", "POST", "HEAD"}).Draw(t, "method")
		bodiless := method == "HEAD" || status == 204 || status == 304
		switch inChunks := rapid.Bool().Draw(t, "in chunks"); {
		case inChunks && bodiless:
			response.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		case inChunks:
			response.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			for range rapid.IntRange(0, 3).Draw(t, "chunks") {
				data := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "data")
				fmt.Fprintf(&response, "%x;%s\r\n%s\r\n", len(data), text("extension"), data)
			}
			response.WriteString("0\r\n" + fields("trailers") + "\r\n")
		default:
			response.WriteString("\r\n" + text("body"))
		}
		if err := checkMethod(method, response.String()); err != nil {
			t.Fatalf("%q: %v", response.String(), err)
		}
	})
})

var _ = DescribeTable("CheckFields", func(lines string, valid bool) {
	if valid {
		Expect(http1.CheckFields([]byte(lines))).To(Succeed())
		return
	}
	Expect(errors.As(http1.CheckFields([]byte(lines)), new(*http1.FormatError))).To(BeTrue())
},
	Entry("accepts none", "\r\n", true),
	Entry("accepts fields", "A: b\r\nTransfer-Encoding: chunked\r\n\r\n", true),
	Entry("refuses a blank in a name", "A b: c\r\n\r\n", false),
	Entry("refuses a folded line", "A: b\r\n c\r\n\r\n", false),
	Entry("refuses LF that ends the header", "A: b\r\n\n", false),
)

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
		var c http1.ResponseChecker
		if err := c.Check(data); err != nil {
			b.Fatal(err)
		}
	}
}
