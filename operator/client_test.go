package operator_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
	"briarreach/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// newVerbatimEntry answers each request with the given bytes and then closes the
// connection.
func newVerbatimEntry(answer string) (url string) {
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
	return "http://" + listener.Addr().String()
}

// Guards against a broken answer that tells an operator that a change was accepted.
var _ = Describe("an answer of an entry", func() {
	submit := func(answer string) error {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := operator.NewClient(newVerbatimEntry(answer), "key").Patch(ctx, config.Patch{})
		Expect(ctx.Err()).NotTo(HaveOccurred())
		return err
	}

	DescribeTable("does not confirm a patch",
		func(header string) {
			err := submit(header + "\r\nContent-Length: 2\r\n\r\n{}")
			Expect(errors.As(err, new(*operator.TransportError))).To(BeTrue(), "%v", err)
		},
		Entry("with status 000", "HTTP/1.1 000 OK"),
		Entry("with status 600", "HTTP/1.1 600 OK"),
		Entry("with status 101", "HTTP/1.1 101 OK"),
		Entry("with a blank before a colon", "HTTP/1.1 200 OK\r\nX : y"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Y: z"),
		Entry("with a folded line", "HTTP/1.1 200 OK\r\nX: y\r\n z"),
		Entry("with CR in the reason phrase", "HTTP/1.1 200 OK\rX: y"),
	)

	// Guards against memory that grows with what an entry sends until the process ends.
	DescribeTable("is given up if it does not end",
		func(prefix, repeated string, maxBytes int) {
			const socketBytes, mostBytes = 16 << 20, 256 << 20
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			sent := make(chan int, 1)
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				n, err := io.WriteString(c, prefix)
				for block := strings.Repeat(repeated, 1+16<<10/len(repeated)); err == nil && n < mostBytes; {
					var k int
					k, err = io.WriteString(c, block)
					n += k
				}
				sent <- n
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err = operator.NewClient("http://"+listener.Addr().String(), "key").Budgets(ctx)
			Expect(errors.As(err, new(*operator.TransportError))).To(BeTrue(), "%v", err)
			Eventually(sent, "5s").Should(Receive(BeNumerically("<", maxBytes+socketBytes)))
		},
		Entry("in a header", "HTTP/1.1 200 OK\r\n", "X: y\r\n", operator.MaxResponseBytes),
		Entry("in a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x", operator.MaxResponseBytes),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", operator.MaxResponseBytes),
	)

	DescribeTable("confirms a patch in an unusual form",
		func(header string) {
			Expect(submit(header + "\r\n\r\n{}")).To(Succeed())
		},
		Entry("with an empty reason phrase", "HTTP/1.1 200 \r\nUnknown: x\r\nContent-Length: 2"),
		Entry("without a length", "HTTP/1.1 200 OK\r\nConnection: close"),
	)
})
