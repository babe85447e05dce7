package vmlist_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/vmlist"
)

// newVerbatimServer answers each request with the given bytes and then closes the
// connection.
func newVerbatimServer(answer string) (url string) {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

const emptyList = `{"vms":[],"as_of":"2026-01-01T00:00:00Z"}`

// Guards against a broken answer that is taken for a list, which ends the use of all
// VMs that it lacks.
var _ = Describe("an answer of the VM list", func() {
	// poll returns the list and the error after the first poll.
	poll := func(answer string) (*vmlist.List, error) {
		GinkgoHelper()
		var polled atomic.Bool
		client := vmlist.New(newVerbatimServer(answer), vmlist.WithOnError(func(error) { polled.Store(true) }), vmlist.WithOnChange(func(*vmlist.List) { polled.Store(true) }))
		DeferCleanup(client.Close)
		Eventually(polled.Load, "5s", "5ms").Should(BeTrue())
		return client.Snapshot(), client.Err()
	}

	DescribeTable("is not taken for a list",
		func(statusLine, fields string) {
			list, err := poll(fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(emptyList), emptyList))
			Expect(list).To(BeNil())
			Expect(errors.As(err, new(*vmlist.FetchError))).To(BeTrue(), "%v", err)
		},
		Entry("with status 000", "HTTP/1.1 000 OK", ""),
		Entry("with status 600", "HTTP/1.1 600 OK", ""),
		Entry("with a signed status", "HTTP/1.1 +20 OK", ""),
		Entry("with status 101", "HTTP/1.1 101 OK", ""),
		Entry("with a blank before a colon", "HTTP/1.1 200 OK", "X : y\r\n"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK", "X Y: z\r\n"),
		Entry("with a folded line", "HTTP/1.1 200 OK", "X: y\r\n z\r\n"),
		Entry("with CR in the reason phrase", "HTTP/1.1 200 OK\rX: y", ""),
		Entry("with status 000 after an informational one", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 OK", ""),
	)

	DescribeTable("is taken for one in an unusual form",
		func(header string) {
			list, err := poll(header + emptyList)
			Expect(err).NotTo(HaveOccurred())
			Expect(list).NotTo(BeNil())
		},
		Entry("with an empty reason phrase", "HTTP/1.1 200 \r\nUnknown: x\r\nContent-Length: 41\r\n\r\n"),
		Entry("without a reason phrase", "HTTP/1.1 200\r\nContent-Length: 41\r\n\r\n"),
		Entry("without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"),
		Entry("after an informational one", "HTTP/1.1 103 X\r\nLink: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n"),
	)
})
