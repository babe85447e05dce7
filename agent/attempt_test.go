package agent

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/peer"
	"briarreach/stream"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

// Guards against an attempt that is released although its final message was
// lost: the entry could not resume it and would report a complete answer as
// incomplete.
var _ = It("keeps an answer until the entry has acknowledged its end", func() {
	now := time.Now()
	at := newAttempt(context.Background(), peer.Dispatch{Deadline: now.Add(time.Minute), CreditBytes: 64}, 64, stream.NewLimiter(1<<10), now)
	at.attach(&peer.Stream{})
	Expect(at.write([]byte("data"), time.Minute, func() {})).To(Succeed())
	next := func() peer.Message {
		at.mu.Lock()
		defer at.mu.Unlock()
		_, m, _ := at.nextMessage()
		return m
	}
	Expect(next()).To(Equal(peer.Frame{Data: []byte("data")}))
	Expect(at.acknowledge(peer.Credit{Offset: 4, Limit: 68}, now)).To(Succeed())
	at.setFinal(peer.Final{Outcome: peer.OutcomeComplete})
	Expect(next()).To(BeAssignableToTypeOf(peer.Final{}))
	Expect(at.isConsumed()).To(BeFalse(), "the final message may be lost")
	Expect(at.acknowledge(peer.Credit{Offset: 4, Limit: 68}, now)).To(Succeed())
	Expect(at.isConsumed()).To(BeFalse(), "credit for bytes does not acknowledge the end")
	Expect(at.acknowledge(peer.Credit{Offset: 4, Limit: 4}, now)).To(Succeed())
	Expect(at.isConsumed()).To(BeTrue())
})
