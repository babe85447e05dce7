package table_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/table"
)

// newEndlessService answers each request with a prefix and then with a text again and
// again until the client closes the connection. It counts the bytes that it sends.
func newEndlessService(prefix, repeated string) (url string, sent *atomic.Int64) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	sent = &atomic.Int64{}
	block := strings.Repeat(repeated, 1+16<<10/len(repeated))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, err = io.WriteString(c, prefix)
				for err == nil {
					var n int
					n, err = io.WriteString(c, block)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), sent
}

// Guards against memory that grows with what the service sends until the process ends.
var _ = Describe("a service that sends bytes without end", func() {
	const (
		start = "HTTP/1.1 200 OK\r\nContent-Type: application/x-amz-json-1.0\r\n"
		// socketBytes is what the buffers of a connection hold beside what was read.
		socketBytes = 8 << 20
	)
	DescribeTable("is given up",
		func(prefix, repeated string, maxBytes int64) {
			url, sent := newEndlessService(prefix, repeated)
			client, err := table.New(table.WithEndpoint(url), table.WithTimeout(20*time.Second))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			for _, call := range []func() error{
				func() error { _, err := client.Get(ctx, key("a")); return err },
				func() error { _, err := client.Get(ctx, key("a"), key("b")); return err },
				func() error { _, err := client.Query(ctx, "p", "", 10); return err },
			} {
				sent.Store(0)
				Expect(call()).To(beUnavailable)
				Expect(sent.Load()).To(BeNumerically("<", maxBytes+socketBytes))
			}
			sent.Store(0)
			Expect(client.Commit(ctx, writes(put("a", table.Any{}, "1")))).To(beAmbiguous)
			Expect(sent.Load()).To(BeNumerically("<", maxBytes+socketBytes))
		},
		Entry("in a header", start, "X: y\r\n", int64(table.MaxResponseHeaderBytes)),
		Entry("in a value", start+"X: ", "y", int64(table.MaxResponseHeaderBytes)),
		Entry("in a body without a length", start+"\r\n{\"Item\":\"", "x", int64(table.MaxResponseBytes)),
		Entry("in a body of blanks", start+"\r\n{", " ", int64(table.MaxResponseBytes)),
		Entry("in chunks", start+"Transfer-Encoding: chunked\r\n\r\n2\r\n{\"\r\n", "1\r\nx\r\n", 6*int64(table.MaxResponseBytes)),
		Entry("in a failure", "HTTP/1.1 500 X\r\n\r\n{\"message\":\"", "x", int64(table.MaxResponseBytes)),
	)

	// Guards against a bound of each response that all connections together exceed, and
	// against a part of it that is never given back.
	It("is given up on all connections together, and served again afterwards", func() {
		const calls = 64
		url, _ := newEndlessService(start+"\r\n{\"Item\":\"", "x")
		client, err := table.New(table.WithEndpoint(url), table.WithTimeout(20*time.Second))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		largest := 0
		for range 3 {
			errs := make(chan error, calls)
			for range calls {
				go func() {
					_, err := client.Get(ctx, key("a"))
					errs <- err
				}()
			}
			for range calls {
				err := <-errs
				Expect(err).To(beUnavailable)
				var tooLarge *table.ResponseTooLargeError
				Expect(errors.As(err, &tooLarge)).To(BeTrue(), "%v", err)
				largest = max(largest, tooLarge.Limit)
			}
		}
		Expect(largest).To(Equal(4*table.MaxResponseBytes), "the bound of all together was met")
		_, err = client.Get(ctx, key("a"))
		var tooLarge *table.ResponseTooLargeError
		Expect(errors.As(err, &tooLarge)).To(BeTrue())
		Expect(tooLarge.Limit).To(Equal(table.MaxResponseBytes), "a single one has room for its own bound")
	})
})

// Guards against a broken response that says that a transaction was applied, or was not.
var _ = DescribeTable("a response that is broken leaves the outcome open",
	func(header, body string) {
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
					_, _ = io.WriteString(c, header+"\r\n\r\n"+body)
				}
				_ = c.Close()
			}
		}()
		client, err := table.New(table.WithEndpoint("http://"+listener.Addr().String()), table.WithTimeout(20*time.Second))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		Expect(client.Commit(ctx, writes(put("a", table.Any{}, "1")))).To(beAmbiguous)
		_, err = client.Get(ctx, key("a"))
		Expect(err).To(beUnavailable)
	},
	Entry("by its status, 000", "HTTP/1.1 000 OK", "{}"),
	Entry("by its status, 099", "HTTP/1.1 099 OK", "{}"),
	Entry("by its status, 600", "HTTP/1.1 600 OK", "{}"),
	Entry("by its status, 101", "HTTP/1.1 101 OK", "{}"),
	Entry("by the end of its body", "HTTP/1.1 200 OK", `{"Item":`),
	Entry("by LF before the name of a field", "HTTP/1.1 200 OK\r\nX: y\r\n\nContent-Length: 2", "{}"),
	Entry("by a control byte in the name of a field", "HTTP/1.1 200 OK\r\nX\x01: y", "{}"),
)
