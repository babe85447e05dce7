package fleet_test

import (
	"context"
	"fmt"
	"net/http"
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
