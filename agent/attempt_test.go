package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/admission"
	"briarreach/bytebudget"
	"briarreach/claim"
	"briarreach/configsync"
	"briarreach/peer"
	"briarreach/service"
	"briarreach/settings"
	"briarreach/standin"
	"briarreach/stream"
	"briarreach/timeline"
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
	at := newAttempt(context.Background(), peer.Dispatch{Deadline: now.Add(time.Minute), CreditBytes: 64}, bytebudget.New(0).Open(time.Time{}, nil), 64, stream.NewLimiter(1<<10), now)
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

// Guards against a cut answer that is recorded as complete, and against the loss of
// the whole one, which a repeat of the call is answered with.
var _ = It("reports an answer of a service that it gave up as incomplete, and keeps the whole one", func() {
	const body = "an answer that is longer than the buffer"
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	DeferCleanup(target.Close)
	client, err := service.New(target.URL)
	Expect(err).NotTo(HaveOccurred())
	tables, err := standin.NewTable()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = tables.Close() })
	follower := configsync.New(tables.Store())
	DeferCleanup(follower.Close)
	clock := clockwork.NewRealClock()
	now := clock.Now()
	a := &Agent{settings: &settings.Settings{Agent: &settings.Agent{StallTimeout: settings.Duration{Duration: time.Millisecond}}},
		clock: clock, events: timeline.NewRecorder("agent-1", timeline.NewClock(clock)), metrics: metrics.NewSet(), follower: follower, service: client,
		admission: admission.New(admission.Capacity{}), nonRepeatable: claim.NewAttemptCache(now.Add(-time.Hour)), unbilled: map[string]peer.UnbilledUsage{}}
	d := peer.Dispatch{AttemptID: ulid.Make().String(), Method: "POST", Path: "/bookings", Deadline: now.Add(time.Minute), CreditBytes: 64, ReservedCost: 5}
	at := newAttempt(context.Background(), d, bytebudget.New(0).Open(time.Time{}, nil), 16, stream.NewLimiter(1<<10), now)
	Expect(a.nonRepeatable.Begin(now, d.AttemptID)).To(Succeed())

	a.runServiceCall(at)
	Expect(at.final.Outcome).To(Equal(peer.OutcomeCancelled))
	Expect(at.final.Execution).To(Equal(peer.ExecutionRan))
	Expect(at.final.Length).To(BeNumerically("<", len(body)))
	Expect(a.unbilled[d.AttemptID].Usage.Cost).To(BeEquivalentTo(5))
	state, response := a.nonRepeatable.Resolve(clock.Now(), d.AttemptID)
	Expect(state).To(Equal(claim.AttemptDone))
	Expect(string(response.Body)).To(Equal(body))
})
