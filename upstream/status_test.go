package upstream_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/upstream"
)

// Guards against bytes that are no response of HTTP and that are passed on as one.
var _ = Describe("the status of a response", func() {
	const fields = "Id: own\r\nContent-Length: 2\r\n\r\nok"

	DescribeTable("is refused",
		func(statusLine string) {
			response := statusLine + "\r\n" + fields
			for _, answers := range [][]string{
				{response},
				{"HTTP/1.1 103 Early Hints\r\n\r\n" + response},
				{"HTTP/1.1 200 OK\r\n" + fields, response},
				{"HTTP/1.1 200 OK\r\n" + fields, statusLine + "\r\nId: earlier\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + fields},
			} {
				status, body, err := exchange("POST", script{answers: answers})
				Expect(errors.As(err, new(*upstream.IncompleteResponseError))).To(BeTrue(), "%q: status %d, body %q", answers, status, body)
			}
		},
		Entry("of zeros", "HTTP/1.1 000 X"),
		Entry("below those of HTTP", "HTTP/1.1 099 X"),
		Entry("above those of HTTP", "HTTP/1.1 600 X"),
		Entry("the highest of three digits", "HTTP/1.1 999 X"),
		Entry("with a plus sign", "HTTP/1.1 +20 X"),
		Entry("with a minus sign", "HTTP/1.1 -00 X"),
		Entry("of two digits", "HTTP/1.1 20 X"),
		Entry("of four digits", "HTTP/1.1 2000 X"),
		Entry("of a switch to another protocol", "HTTP/1.1 101 Switching Protocols"),
	)

	DescribeTable("is passed on",
		func(statusLine string, want int) {
			status, body, err := exchange("POST", script{answers: []string{statusLine + "\r\n" + fields}})
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(want))
			Expect(body).To(Equal("ok"))
		},
		Entry("the lowest", "HTTP/1.1 200 OK", 200),
		Entry("the highest", "HTTP/1.1 599 X", 599),
		Entry("without a name in HTTP", "HTTP/1.1 299 X", 299),
		Entry("with an empty reason phrase", "HTTP/1.1 200 ", 200),
		Entry("without a reason phrase", "HTTP/1.1 200", 200),
		Entry("with bytes beyond ASCII in the reason phrase", "HTTP/1.1 404 Δεν βρέθηκε", 404),
		Entry("of HTTP/1.0", "HTTP/1.0 200 OK", 200),
	)
})
