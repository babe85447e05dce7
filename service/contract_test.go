package service_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/service"
	"briarreach/standin"
)

var booking = service.Request{
	Method: "POST", Path: "/bookings", Body: []byte(`{"cabin":7}`), ContentType: "application/json", IdempotencyKey: "k1", RequestID: "r1",
}

// respondOnce accepts one connection, records its request and responds with the
// bytes of raw.
func respondOnce(raw string) (url string, requested <-chan *http.Request) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	requests := make(chan *http.Request, 1)
	go func() {
		defer GinkgoRecover()
		c, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		_ = listener.Close()
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		Expect(err).NotTo(HaveOccurred())
		requests <- r
		_, _ = io.WriteString(c, raw)
	}()
	return "http://" + listener.Addr().String(), requests
}

var _ = Describe("Client and stand-in", func() {
	var s *standin.Service
	startService := func(opts ...standin.ServiceOption) {
		GinkgoHelper()
		var err error
		s, err = standin.NewService(opts...)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(s.Close()).To(Succeed()) })
	}
	call := func(r service.Request, opts ...service.Option) (service.Response, error) {
		GinkgoHelper()
		client, err := service.New(s.URL(), opts...)
		Expect(err).NotTo(HaveOccurred())
		return client.Call(context.Background(), r)
	}

	It("returns the service's answer", func() {
		startService()
		for _, r := range []service.Request{booking, {Path: "/schedules?day=1"}} {
			response, err := call(r)
			Expect(err).NotTo(HaveOccurred())
			route, _, _ := strings.Cut(r.Path, "?")
			Expect(response).To(Equal(service.Response{
				Status: 200, ContentType: "application/json", Body: standin.ServiceAnswerBody(route, r.IdempotencyKey, "v1", r.Body),
			}))
		}
		Expect(s.Runs()).To(Equal([]standin.ServiceRun{
			{IdempotencyKey: "k1", RequestID: "r1", Route: "/bookings", Version: "v1"}, {Route: "/schedules", Version: "v1"},
		}))
		response, err := call(service.Request{Path: "/unknown"})
		Expect([]any{response.Status, err}).To(Equal([]any{404, nil}))
	})

	// Guards against a booking that runs twice because the HTTP library retries
	// the request, and against a failed call that is reported as not run.
	DescribeTable("faults", func(method string, fault standin.TargetFault, runs int, check func(service.Response, error)) {
		startService(standin.WithServiceFaults(fault))
		r := booking
		if r.Method = method; method == "GET" {
			r.Path, r.Body = "/schedules", nil
		}
		check(call(r, service.WithTimeout(100*time.Millisecond)))
		Expect(s.Record().Received).To(Equal(1))
		Expect(s.Record().ByKey["k1"]).To(Equal(runs))
	},
		Entry("closes after the run", "POST", standin.TargetFault{CloseAfterShare: 1}, 1, ambiguous),
		Entry("closes after a repeatable run", "GET", standin.TargetFault{CloseAfterShare: 1}, 1, ambiguous),
		Entry("closes before the run", "POST", standin.TargetFault{CloseBeforeShare: 1}, 0, ambiguous),
		Entry("closes before a repeatable run", "GET", standin.TargetFault{CloseBeforeShare: 1}, 0, ambiguous),
		Entry("hangs", "POST", standin.TargetFault{HangShare: 1}, 0, ambiguous),
		Entry("fails", "POST", standin.TargetFault{FailShare: 1, Status: 502}, 0, func(r service.Response, err error) {
			Expect([]any{r.Status, err}).To(Equal([]any{502, nil}))
		}),
		Entry("is slow", "POST", standin.TargetFault{DelayMS: 10, SlowFactor: 2}, 1, func(r service.Response, err error) {
			Expect([]any{r.Status, err}).To(Equal([]any{200, nil}))
		}),
		Entry("only on another route", "POST", standin.TargetFault{Route: "/deposits", FailShare: 1}, 1, func(r service.Response, err error) {
			Expect([]any{r.Status, err}).To(Equal([]any{200, nil}))
		}),
	)

	It("reports that nothing was sent", func() {
		startService()
		var invalid *service.RequestError
		for _, r := range []service.Request{
			{Path: "bookings"}, {Path: "/a b"}, {Path: "/a\r\nX: y"}, {Path: "/a#b"}, {Path: "/a", IdempotencyKey: "k\nX: y"}, {Path: "/a", Method: "GET /b"},
		} {
			_, err := call(r)
			Expect(errors.As(err, &invalid)).To(BeTrue(), "%+v: %v", r, err)
		}
		Expect(s.Close()).To(Succeed())
		_, err := call(booking)
		var notSent *service.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
	})

	It("stops a call when its context ends", func() {
		startService(standin.WithServiceFaults(standin.TargetFault{HangShare: 1}))
		client, err := service.New(s.URL())
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			defer cancel()
			Eventually(func() int { return s.Record().Received }).Should(Equal(1))
		}()
		_, err = client.Call(ctx, booking)
		ambiguous(service.Response{}, err)
		Expect(err).To(MatchError(context.Canceled))
	})

	// Guards against responses that are truncated or unbounded.
	DescribeTable("raw responses", func(raw string, status int, body string, failure func(err error) bool) {
		url, _ := respondOnce(raw)
		client, err := service.New(url, service.WithMaxBodyBytes(8))
		Expect(err).NotTo(HaveOccurred())
		response, err := client.Call(context.Background(), booking)
		if failure != nil {
			Expect(failure(err)).To(BeTrue(), "%v", err)
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(status))
		Expect(string(response.Body)).To(Equal(body))
	},
		Entry("without a body", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", nil),
		Entry("until the end of the connection", "HTTP/1.1 200 OK\r\n\r\n12345678", 200, "12345678", nil),
		Entry("in chunks", "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 201, "abc", nil),
		Entry("too large", "HTTP/1.1 200 OK\r\n\r\n123456789", 0, "", as[*service.TooLargeError]),
		Entry("shorter than stated", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n123", 0, "", as[*service.AmbiguousError]),
		Entry("chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 0, "", as[*service.AmbiguousError]),
		Entry("nothing", "", 0, "", as[*service.AmbiguousError]),
		Entry("no HTTP", "hello\r\n\r\n", 0, "", as[*service.AmbiguousError]),
	)

	// Guards against a path that the HTTP library rewrites: the price of a call
	// and whether it may be repeated depend on the path that the caller sent.
	It("sends the path and the fields as they are", func() {
		url, requested := respondOnce("HTTP/1.1 204 No Content\r\n\r\n")
		client, err := service.New(url + "/base/")
		Expect(err).NotTo(HaveOccurred())
		r := booking
		r.Path = "/a/../b//c%2Fd?q=1&r=%20"
		_, err = client.Call(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		got := <-requested
		Expect(got.RequestURI).To(Equal("/base" + r.Path))
		Expect([]string{got.Method, got.Header.Get("Idempotency-Key"), got.Header.Get("X-Request-Id"), got.Header.Get("Content-Type")}).
			To(Equal([]string{"POST", "k1", "r1", "application/json"}))
	})
})

func as[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

func ambiguous(_ service.Response, err error) {
	GinkgoHelper()
	Expect(as[*service.AmbiguousError](err)).To(BeTrue(), "%v", err)
}
