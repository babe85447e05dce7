package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/upstream"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// ending is how a replica ends a connection after its answer, while the request is still
// being written.
type ending int

const (
	withRST       ending = iota // and nothing else
	withFIN                     // and reads nothing more
	withFINReader               // and reads the rest of the request
	withFINAndRST               // the reset follows the end
)

// newEarlyServer starts a replica that reads the header of a request, writes an answer
// and ends the connection. It sends to answered when that is done.
func newEarlyServer(answer string, end ending) (address netip.AddrPort, answered <-chan struct{}) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	done, stop := make(chan struct{}, 1000), make(chan struct{})
	DeferCleanup(func() { close(stop) })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				c := nc.(*net.TCPConn)
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				switch end {
				case withRST:
					_ = c.SetLinger(0)
					_ = c.Close()
				case withFIN, withFINReader:
					_ = c.CloseWrite()
				case withFINAndRST:
					_ = c.CloseWrite()
					_ = c.SetLinger(0)
					_ = c.Close()
				}
				done <- struct{}{}
				if end == withFINReader {
					_, _ = io.Copy(io.Discard, c)
				}
				<-stop
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), done
}

// writeWatcher says when a write of a request has ended.
type writeWatcher struct{ ended chan struct{} }

func (writeWatcher) AddReceived(int) {}
func (w writeWatcher) AddSent(int)   { w.ended <- struct{}{} }

// Guards against a part of a response that is taken for all of it: the write of the
// request can take the error of a reset from the socket, and reads then see the end.
var _ = Describe("a response that begins while the request is written", func() {
	const (
		unsized = "HTTP/1.1 200 OK\r\nId: own\r\n\r\npart"
		sized   = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\npart"
		chunked = "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\npart\r\n0\r\nSum: 1\r\n\r\n"
	)
	upload := upstream.Request{Method: "POST", RequestTarget: "/", Body: bytes.Repeat([]byte("u"), uploadBytes)}

	// call returns the body once it has read it. Before that it waits until the replica
	// has ended the connection and the write has failed, if it is to fail.
	call := func(address netip.AddrPort, answered <-chan struct{}, awaitWrite bool) (string, error) {
		GinkgoHelper()
		watcher := writeWatcher{make(chan struct{}, 1)}
		pool := upstream.New(upstream.WithTraffic(watcher))
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		res, err := pool.Do(ctx, address, upload, ownResponse)
		Expect(ctx.Err()).NotTo(HaveOccurred())
		if err != nil {
			return "", err
		}
		if awaitWrite {
			Eventually(answered, "5s").Should(Receive())
			Eventually(watcher.ended, "5s").Should(Receive())
		}
		data, err := io.ReadAll(res.Body)
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		return string(data), err
	}

	Describe("and that has no length", func() {
		It("is incomplete if the connection is reset before the body is read", func() {
			for range 20 {
				address, answered := newEarlyServer(unsized, withRST)
				body, err := call(address, answered, true)
				Expect(err).To(HaveOccurred(), "body %q", body)
			}
		})

		It("is incomplete if the connection is reset while the body is read", func() {
			for range 200 {
				address, answered := newEarlyServer(unsized, withRST)
				body, err := call(address, answered, false)
				Expect(err).To(HaveOccurred(), "body %q", body)
			}
		})

		DescribeTable("is whole if the connection ends",
			func(end ending, awaitWrite bool) {
				for range 20 {
					address, answered := newEarlyServer(unsized, end)
					body, err := call(address, answered, awaitWrite)
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(Equal("part"))
				}
			},
			Entry("and the replica reads no more", withFIN, false),
			Entry("and the replica reads the rest", withFINReader, false),
			Entry("and the rest has been written", withFINReader, true),
			Entry("and is then reset by the rest of the request", withFINAndRST, true),
		)
	})

	DescribeTable("is whole with its end, whatever follows",
		func(answer string, end ending) {
			for range 20 {
				address, answered := newEarlyServer(answer, end)
				body, err := call(address, answered, false)
				if end == withRST && errors.As(err, new(*upstream.IncompleteResponseError)) {
					continue // the reset was read before the response
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("part"))
			}
		},
		Entry("with a length, and an end", sized, withFIN),
		Entry("with a length, and a reset", sized, withRST),
		Entry("in chunks, and an end", chunked, withFIN),
	)
})
