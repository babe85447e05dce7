package gateway_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/replica"
)

// countingSender is a fake gateway.Sender that counts the sends.
type countingSender struct{ timeouts []time.Duration }

func (s *countingSender) Send(_ context.Context, r gateway.SendRequest) (*gateway.Response, error) {
	s.timeouts = append(s.timeouts, r.Timeout)
	return plainSender{status: 500}.Send(context.Background(), r)
}

func (*countingSender) CloseIdleConnections(replica.Replica) {}

var _ = Describe("a request that has waited before it is handled", func() {
	serve := func(age time.Duration, connected func() bool) (*gateway.Refusal, []time.Duration) {
		sender := &countingSender{}
		clock := clockwork.NewFakeClock()
		g, _ := newGateway(sender, clock, placement.New(placement.Defaults(), nil))
		answer := g.Serve(context.Background(), &gateway.Request{ID: "1", Host: "h.example", Path: "/", Arrived: clock.Now().Add(-age), Connected: connected})
		refusal, _ := answer.(*gateway.Refusal)
		return refusal, sender.timeouts
	}

	// Guards against requests that are held past their time limits by the time for
	// which they waited for the processor.
	It("has only the rest of its time limit left", func() {
		_, timeouts := serve(20*time.Second, nil)
		Expect(timeouts).NotTo(BeEmpty())
		Expect(timeouts[0]).To(Equal(40 * time.Second))
	})

	It("is not sent after its time limit", func() {
		refusal, timeouts := serve(time.Minute, nil)
		Expect(timeouts).To(BeEmpty())
		Expect(refusal.Reason).To(Equal(gateway.TimedOut))
		Expect(refusal.Execution).To(Equal(gateway.NotExecuted))
	})

	// Guards against requests that are passed on after their callers have left, as the
	// goroutine that would see it waits for the processor too.
	It("is not sent if its caller has left, before its context ends", func() {
		refusal, timeouts := serve(time.Second, func() bool { return false })
		Expect(timeouts).To(BeEmpty())
		Expect(refusal.Reason).To(Equal(gateway.CallerDisconnected))
	})

	It("is sent while its caller is connected", func() {
		_, timeouts := serve(time.Second, func() bool { return true })
		Expect(timeouts).NotTo(BeEmpty())
	})
})
