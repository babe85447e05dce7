package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/fleet"
	"briarreach/standin"
)

// Guards against requests that a stopping entry, or an agent below one, passes on and
// cuts off without an answer when the time for its shutdown is up.
var _ = Describe("a planned stop whose time is up", func() {
	const (
		shutdown   = 2 * time.Second
		resumeTime = 10 * time.Second // in which an entry tries to resume an answer
		chat       = `{"model":"` + fleet.Model + `","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"x"}]}`
	)
	type reply struct {
		status int
		body   string
		err    error
		at     time.Time
	}
	var f *fleet.Fleet
	send := func(path, id, body string) chan reply {
		out := make(chan reply, 1)
		go func() {
			status, answer, err := postToEntry(f, 0, path, f.CallerKey, id, body)
			out <- reply{status, answer, err, time.Now()}
		}()
		return out
	}
	BeforeEach(func(ctx SpecContext) {
		var err error
		f, err = fleet.New(ctx, fleet.WithLog(quietLog()), fleet.WithSize(1, 1, 1),
			fleet.WithEngineOptions(standin.WithEngineTokenRates(20, 1000), standin.WithEngineAnswerTokens(1000, 1000)),
			fleet.WithServiceOptions(standin.WithServiceLatency(20*time.Second)))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = f.Close(ctx)
		})
	})
	// start sends a chat and a booking and returns when both are at their targets.
	start := func() (stream, booking chan reply) {
		GinkgoHelper()
		stream = send("/v1/chat/completions", "chat-1", chat)
		// For 2 s after its start, an agent refuses bookings as not run.
		sent := 0
		Eventually(func() int {
			if booking == nil || len(booking) > 0 { // the one before was refused
				sent++
				booking = send(bookingsPath, fmt.Sprint("booking-", sent), `{"slot":"10:30"}`)
			}
			return f.Services[0].Record().Received
		}, "10s", "10ms").Should(Equal(1))
		Eventually(f.Engines[0].Record, "2s").Should(HaveField("Started", 1))
		return stream, booking
	}
	// closing stops a process and returns when it would have ended.
	closing := func(stop func(context.Context) error) chan time.Time {
		ended := make(chan time.Time, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), shutdown)
			defer cancel()
			_ = stop(ctx)
			ended <- time.Now()
		}()
		return ended
	}
	check := func(booking, stream chan reply, before time.Time) {
		GinkgoHelper()
		var b, s reply
		Eventually(booking, "15s").Should(Receive(&b))
		Eventually(stream, "15s").Should(Receive(&s))
		Expect(b.err).NotTo(HaveOccurred())
		Expect(b.status).To(Equal(http.StatusBadGateway), b.body)
		Expect(b.body).To(ContainSubstring("unknown"), b.body)
		Expect(b.at).To(BeTemporally("<", before), "the booking is answered before the process ends")
		Expect(s.status).To(Equal(http.StatusOK))
		Expect(s.body).To(ContainSubstring("event: error"))
		Expect(s.body).NotTo(ContainSubstring("[DONE]"))
		Expect(s.at).To(BeTemporally("<", before), "the stream ends before the process")
	}

	It("is answered by an entry", func() {
		stream, booking := start()
		check(booking, stream, <-closing(f.Entries[0].Close))
	})

	It("is answered by the entry of an agent", func() {
		stream, booking := start()
		engine, service := closing(f.Agents[0].Close), closing(f.Agents[1].Close)
		check(booking, stream, time.Now().Add(shutdown+resumeTime))
		Eventually(engine, shutdown).Should(Receive())
		Eventually(service, shutdown).Should(Receive())
	})
})

// lossSlack is the time from the last byte of a request after which its connection may
// not be closed without an answer.
const lossSlack = 200 * time.Millisecond

// Guards against calls that run and get no answer because they come while an entry or
// an agent stops.
var _ = Describe("a planned stop under load", func() {
	type call struct {
		key    string
		status int // 0 without a complete answer
		body   string
		err    error
		sentAt time.Time
		at     time.Time
	}
	// book sends one booking on a connection and reads the answer.
	book := func(f *fleet.Fleet, c net.Conn, reader *bufio.Reader, key string, bodyDelay time.Duration) (out call, closes bool) {
		out.key = key
		defer func() { out.at = time.Now() }()
		head := "POST " + bookingsPath + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + f.CallerKey + "\r\nIdempotency-Key: " + key + "\r\nContent-Length: 16\r\n\r\n"
		if _, out.err = io.WriteString(c, head); out.err != nil {
			return out, true
		}
		time.Sleep(bodyDelay)
		_, out.err = io.WriteString(c, `{"slot":"10:30"}`)
		out.sentAt = time.Now()
		if out.err != nil {
			return out, true
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			out.err = err
			return out, true
		}
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			out.err = err
			return out, true
		}
		out.status, out.body = response.StatusCode, string(data)
		return out, response.Close
	}
	DescribeTable("answers each call that ran",
		func(ctx SpecContext, stop func(f *fleet.Fleet) func(context.Context) error, latency time.Duration) {
			f, err := fleet.New(ctx, fleet.WithLog(quietLog()), fleet.WithSize(1, 1, 2), fleet.WithCapacity(64), fleet.WithServiceOptions(standin.WithServiceLatency(latency)))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func(ctx SpecContext) { _ = f.Close(ctx) })
			Eventually(func() int {
				status, _, _ := postToEntry(f, 0, bookingsPath, f.CallerKey, fmt.Sprint("first-", time.Now().UnixNano()), `{"slot":"10:30"}`)
				return status
			}, "10s", "100ms").Should(Equal(http.StatusOK))
			address := f.Entries[0].CallerAddr().String()
			var mu sync.Mutex
			var calls []call
			var callers sync.WaitGroup
			ended := make(chan struct{})
			for i := range 24 {
				callers.Go(func() {
					var c net.Conn
					var reader *bufio.Reader
					for n := 0; ; n++ {
						select {
						case <-ended:
							if c != nil {
								_ = c.Close()
							}
							return
						default:
						}
						if c == nil {
							var err error
							if c, err = net.Dial("tcp", address); err != nil {
								return
							}
							_ = c.SetDeadline(time.Now().Add(20 * time.Second))
							reader = bufio.NewReader(c)
						}
						one, closes := book(f, c, reader, fmt.Sprint("call-", i, "-", n), time.Duration(i%4)*100*time.Millisecond)
						mu.Lock()
						calls = append(calls, one)
						mu.Unlock()
						if closes || i%3 == 0 {
							_ = c.Close()
							c = nil
						}
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			closeCtx, cancel := context.WithTimeout(ctx, 8*time.Second)
			defer cancel()
			_ = stop(f)(closeCtx)
			exitAt := time.Now()
			close(ended)
			callers.Wait()
			total := 0
			for _, s := range f.Services {
				total += len(s.Runs())
			}
			succeeded, unanswered := 0, 0
			for _, one := range calls {
				switch {
				case one.status == http.StatusOK:
					succeeded++
				case one.status == 0 && one.at.Sub(one.sentAt) > lossSlack && one.sentAt.Before(exitAt):
					unanswered++
					GinkgoWriter.Println("unanswered", one.key, one.at.Sub(one.sentAt), one.err)
				}
			}
			GinkgoWriter.Println(len(calls), "calls", succeeded, "succeeded", total, "ran")
			Expect(unanswered).To(BeZero())
			Expect(succeeded).To(BeNumerically(">=", total-1), "all that ran have their answer; one came before")
		},
		Entry("an entry", func(f *fleet.Fleet) func(context.Context) error { return f.Entries[0].Close }, 50*time.Millisecond, SpecTimeout(40*time.Second)),
		Entry("an entry, slow calls", func(f *fleet.Fleet) func(context.Context) error { return f.Entries[0].Close }, 600*time.Millisecond, SpecTimeout(40*time.Second)),
		Entry("an agent", func(f *fleet.Fleet) func(context.Context) error { return f.Agents[1].Close }, 50*time.Millisecond, SpecTimeout(40*time.Second)),
		Entry("an agent, slow calls", func(f *fleet.Fleet) func(context.Context) error { return f.Agents[1].Close }, 600*time.Millisecond, SpecTimeout(40*time.Second)),
	)
})
