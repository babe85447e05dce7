package gateway_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/replica"
	"briarreach/replicalimit"
	"briarreach/retrybudget"
	"briarreach/route"
	"briarreach/upstream"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// sender is a fake gateway.Sender that responds with one body per send.
type sender struct{ bodies []io.ReadCloser }

func (s *sender) Send(context.Context, gateway.SendRequest) (*gateway.Response, error) {
	body := s.bodies[0]
	s.bodies = s.bodies[1:]
	return &gateway.Response{Status: 200, ContentLength: -1, Body: body}, nil
}

func (*sender) CloseIdleConnections(replica.Replica) {}

// newGateway returns a gateway with two replicas of one service, whose streams may
// be resumed, and the replicas.
func newGateway(s gateway.Sender, clock clockwork.Clock, placer *placement.Placer, opts ...gateway.Option) (*gateway.Gateway, *replica.Set) {
	return newGatewayWithRetries(s, clock, placer, retrybudget.Limit{RetriesPerRequest: 1, ExtraRetries: 100, Window: 10 * time.Second}, opts...)
}

func newGatewayWithRetries(s gateway.Sender, clock clockwork.Clock, placer *placement.Placer, retries retrybudget.Limit, opts ...gateway.Option) (*gateway.Gateway, *replica.Set) {
	opts = append(opts, gateway.WithClock(clock), gateway.WithLog(&log.Logger{Handler: discard.Default}))
	g := gateway.New(s, placer, retrybudget.New(retries, 1), opts...)
	var events []replica.Event
	for i, id := range []string{"r0", "r1"} {
		events = append(events, replica.Registered{Replica: replica.Replica{ID: id, Service: "engine", Slots: 8,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}})
	}
	directory := replica.New(0)
	directory.Replace(events, 1, clock.Now())
	set := directory.Snapshot(clock.Now())
	placer.SetReplicas(set.All())
	g.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
		snapshot.Replicas = set
		snapshot.RouteTable = route.New(route.Config{Version: 1, Services: []route.Service{{Name: "engine"}},
			Routes: []route.Route{{Host: "h.example", PathPrefix: "/", Kind: route.Streaming{Resumable: true}, Timeout: time.Minute,
				TargetLatency: 500 * time.Millisecond, MaxRuns: 2, TrafficSplit: []route.Share{{Service: "engine", Weight: 1}}}}})
		return snapshot
	})
	return g, set
}

// serveStream sends a model request and returns its response.
func serveStream(g *gateway.Gateway) gateway.Answer {
	return g.Serve(context.Background(), &gateway.Request{ID: "1", Host: "h.example", Path: "/", Prompt: &gateway.Prompt{Tokens: 100, MaxOutputTokens: 10,
		Parts: []gateway.PromptPart{{ID: "a", Tokens: 100}}}})
}

var _ = Describe("a stream that is resumed at another replica", func() {
	// Guards against a replica that counts as overdue, and gets no more
	// requests, for as long as a resumed stream lasts.
	It("does not count as waiting once it has sent an event", func() {
		clock := clockwork.NewFakeClock()
		placer := placement.New(placement.Defaults(), nil)
		resumed, write := io.Pipe()
		s := &sender{bodies: []io.ReadCloser{io.NopCloser(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda")), resumed}}
		g, set := newGateway(s, clock, placer)
		answer := serveStream(g)
		relay, ok := answer.(*gateway.RelayedResponse)
		Expect(ok).To(BeTrue())
		go func() { _, _ = io.WriteString(write, "id: 2\ndata: b\n\n") }()
		got := make([]byte, len("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		_, err := io.ReadFull(relay.Body, got)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(600 * time.Millisecond)
		c, _ := placer.Choose(placement.Request{UniqueTokens: 100, TargetLatency: 500 * time.Millisecond}, set.All(), clock.Now(), rand.New(rand.NewPCG(1, 1)))
		Expect(c.ExpectedWait).To(BeZero())
		Expect(relay.Body.Close()).To(Succeed())
	})
})

// endlessBody sends a prefix and then one byte without end.
type endlessBody struct {
	prefix string
	read   int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	n := copy(p, b.prefix)
	b.prefix = b.prefix[n:]
	for i := n; i < len(p); i++ {
		p[i] = 'x'
	}
	b.read += len(p)
	return len(p), nil
}

func (*endlessBody) Close() error { return nil }

var _ = Describe("a replica whose event never ends", func() {
	const limit = 64 << 10

	// Guards against memory that grows with a line or an event without end.
	It("is given up, before the first event with an error response", func() {
		bodies := []*endlessBody{{}, {}}
		g, _ := newGateway(&sender{bodies: []io.ReadCloser{bodies[0], bodies[1]}}, clockwork.NewFakeClock(), placement.New(placement.Defaults(), nil))
		refusal, ok := serveStream(g).(*gateway.Refusal)
		Expect(ok).To(BeTrue())
		Expect(refusal.Execution).To(Equal(gateway.ExecutionUnknown))
		for _, b := range bodies {
			Expect(b.read).To(BeNumerically("<=", 2*limit), "also at the second replica")
		}
	})

	It("is given up, after the first event by breaking off the stream", func() {
		first := "id: 1\ndata: a\n\n"
		bodies := []*endlessBody{{prefix: first + "data: "}, {}}
		g, _ := newGateway(&sender{bodies: []io.ReadCloser{bodies[0], bodies[1]}}, clockwork.NewFakeClock(), placement.New(placement.Defaults(), nil))
		relay, ok := serveStream(g).(*gateway.RelayedResponse)
		Expect(ok).To(BeTrue())
		data, err := io.ReadAll(relay.Body)
		Expect(err).To(HaveOccurred())
		Expect(string(data)).To(Equal(first))
		Expect(bodies[0].read).To(BeNumerically("<=", 2*limit))
		Expect(relay.Body.Close()).To(Succeed())
	})
})

// responder is a fake gateway.Sender that responds with one response per send.
type responder struct{ responses []*gateway.Response }

func (r *responder) Send(context.Context, gateway.SendRequest) (*gateway.Response, error) {
	res := r.responses[0]
	r.responses = r.responses[1:]
	res.Body = io.NopCloser(strings.NewReader(""))
	return res, nil
}

func (*responder) CloseIdleConnections(replica.Replica) {}

// Guards against a replica in need that is taken for one that has recovered because
// it refuses a request, or fails, without stating its limit.
var _ = Describe("the limit of a replica", func() {
	It("is taken from each response that states one, and its end only from an answer", func() {
		stated := replicalimit.Limit{Stated: true, PerSecond: 2}
		var limits []replicalimit.Limit
		g, _ := newGateway(&responder{responses: []*gateway.Response{
			{Status: 503, NotExecuted: true, Limit: stated}, {Status: 503, NotExecuted: true},
			{Status: 500, Limit: stated}, {Status: 500}, {Status: 200}, {Status: 421, NotExecuted: true, WrongReplica: true, Limit: stated}, {Status: 200, Limit: stated},
		}}, clockwork.NewFakeClock(), placement.New(placement.Defaults(), nil),
			gateway.WithLimitHandler(func(_ replica.Replica, l replicalimit.Limit, _ time.Time) { limits = append(limits, l) }))
		for range 4 {
			serveStream(g)
		}
		Expect(limits).To(Equal([]replicalimit.Limit{stated, stated, {}, stated}))
	})
})

// lateQuarantine blocks all prompts once it was asked a number of times.
type lateQuarantine struct{ asked, free int }

func (*lateQuarantine) Empty() bool { return false }

func (q *lateQuarantine) Blocks(string, []string) (string, time.Duration, bool) {
	q.asked++
	return "a", time.Minute, q.asked > q.free
}

func (*lateQuarantine) ProvesSound(time.Duration) bool { return false }

func (*lateQuarantine) RecordAnswer(string, []string) {}

// Guards against a retry or a resumption that crashes another replica after the part
// of the prompt was put into quarantine.
var _ = Describe("a request whose prompt is put into quarantine after it was sent", func() {
	sends := func(first string) int {
		s := &sender{bodies: []io.ReadCloser{io.NopCloser(strings.NewReader(first)), io.NopCloser(strings.NewReader("id: 2\ndata: b\n\n"))}}
		g, _ := newGateway(s, clockwork.NewFakeClock(), placement.New(placement.Defaults(), nil), gateway.WithQuarantine(&lateQuarantine{free: 1}))
		if relayed, ok := serveStream(g).(*gateway.RelayedResponse); ok {
			_, err := io.ReadAll(relayed.Body)
			Expect(err).To(HaveOccurred())
		}
		return 2 - len(s.bodies)
	}

	It("is neither sent again nor resumed", func() {
		Expect(sends("data: half")).To(Equal(1))
		Expect(sends("id: 1\ndata: a\n\nid: 2\ndata: half")).To(Equal(1))
	})
})

// pausingBody sends its events, but for the last one, and that when it is released. It
// fails when its context ends, as a connection does.
type pausingBody struct {
	ctx     context.Context
	events  []string
	release chan struct{}
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if len(b.events) == 0 {
		return 0, io.EOF
	}
	if len(b.events) == 1 {
		select {
		case <-b.release:
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	n := copy(p, b.events[0])
	b.events = b.events[1:]
	return n, nil
}

func (*pausingBody) Close() error { return nil }

// pausingSender responds with the same pausing stream to each send.
type pausingSender struct {
	release chan struct{}
	sends   atomic.Int64
}

func (s *pausingSender) Send(ctx context.Context, r gateway.SendRequest) (*gateway.Response, error) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
	if r.AfterEventID == "1" {
		events = events[1:]
	}
	if s.sends.Add(1) > 1 {
		return &gateway.Response{Status: 200, ContentLength: -1, Body: io.NopCloser(strings.NewReader(strings.Join(events, "")))}, nil
	}
	return &gateway.Response{Status: 200, ContentLength: -1, Body: &pausingBody{ctx: ctx, events: events, release: s.release}}, nil
}

func (*pausingSender) CloseIdleConnections(replica.Replica) {}

// Guards against sound streams that are cut because their replica pauses, where no
// other may be asked.
var _ = Describe("a stream whose replica pauses for longer than the silence timeout", func() {
	serve := func(extraRetries float64) (data string, sends int64, err error) {
		clock, s := clockwork.NewFakeClock(), &pausingSender{release: make(chan struct{})}
		g, _ := newGatewayWithRetries(s, clock, placement.New(placement.Defaults(), nil), retrybudget.Limit{ExtraRetries: extraRetries, Window: 10 * time.Second})
		relay, ok := serveStream(g).(*gateway.RelayedResponse)
		Expect(ok).To(BeTrue())
		read := make(chan struct{})
		var body []byte
		go func() {
			defer close(read)
			body, err = io.ReadAll(relay.Body)
		}()
		for range 6 {
			time.Sleep(5 * time.Millisecond) // until the reader waits for the last event
			clock.Advance(500 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		close(s.release)
		Eventually(read, "2s").Should(BeClosed())
		Expect(relay.Body.Close()).To(Succeed())
		return string(body), s.sends.Load(), err
	}
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

	It("goes on with it if no retry is left", func() {
		data, sends, err := serve(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(Equal(whole))
		Expect(sends).To(BeEquivalentTo(1))
	})

	It("is resumed at another one if a retry is left", func() {
		data, sends, err := serve(100)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(Equal(whole))
		Expect(sends).To(BeEquivalentTo(2))
	})
})

// answerSender responds with one response per send.
type answerSender struct{ responses []*gateway.Response }

func (s *answerSender) Send(context.Context, gateway.SendRequest) (*gateway.Response, error) {
	res := s.responses[0]
	s.responses = s.responses[1:]
	return res, nil
}

func (*answerSender) CloseIdleConnections(replica.Replica) {}

func streamResponse(status int, contentType, body string) *gateway.Response {
	return &gateway.Response{Status: status, ContentLength: -1, Header: []upstream.HeaderField{{Name: "Content-Type", Value: contentType}}, Body: io.NopCloser(strings.NewReader(body))}
}

var _ = Describe("a stream that broke off and is sent to another replica", func() {
	const (
		events = "text/event-stream"
		first  = "id: 1\ndata: a\n\n"
		broken = first + "id: 2\nda"
		second = "id: 2\ndata: b\n\n"
	)
	serve := func(responses ...*gateway.Response) (string, error) {
		g, _ := newGateway(&answerSender{responses: responses}, clockwork.NewFakeClock(), placement.New(placement.Defaults(), nil))
		relay, ok := serveStream(g).(*gateway.RelayedResponse)
		Expect(ok).To(BeTrue())
		data, err := io.ReadAll(relay.Body)
		Expect(relay.Body.Close()).To(Succeed())
		return string(data), err
	}

	// Guards against an error of the next replica in the middle of a stream, against
	// events that come twice, and against a stream that looks complete without its end.
	DescribeTable("does not go on with what is not its rest",
		func(status int, contentType, body string) {
			data, err := serve(streamResponse(200, events, broken), streamResponse(status, contentType, body))
			Expect(err).To(HaveOccurred())
			Expect(data).To(Equal(first))
		},
		Entry("a failure", 500, "text/plain", "failed\n\n"),
		Entry("a failure in the form of an event", 500, events, second),
		Entry("a success without a body", 204, events, ""),
		Entry("a part", 206, events, second),
		Entry("an error as JSON", 200, "application/json", "{\"error\":\"x\"}\n\n"),
		Entry("an error without a body", 200, "text/plain", ""),
		Entry("text that is no event", 200, events, "failed\n\n"),
		Entry("an event without an ID", 200, events, "data: failed\n\n"),
		Entry("a head", 200, events, "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed"),
		Entry("a head after a comment", 200, events, ": ping\nHTTP/1.1 500 X\nid: 2\n\n"),
		Entry("the stream from its start", 200, events, first+second),
		Entry("an earlier event", 200, events, "id: 0\ndata: z\n\n"),
	)

	DescribeTable("goes on with its rest",
		func(rest, want string) {
			data, err := serve(streamResponse(200, events, broken), streamResponse(200, events, rest))
			Expect(err).NotTo(HaveOccurred())
			Expect(data).To(Equal(want))
		},
		Entry("events", second+"id: 5\ndata: c\n\n", first+second+"id: 5\ndata: c\n\n"),
		Entry("comments and other fields", ": ping\n\nweight-versions: 7\nid: 2\ndata: b\n\nretry: 5\nid: 3\n\n", first+": ping\n\nweight-versions: 7\nid: 2\ndata: b\n\nretry: 5\nid: 3\n\n"),
		Entry("nothing, as only the end was missing", "", first),
	)

	// Guards against the same from the replica that began the stream.
	DescribeTable("is broken off at what is no event of it",
		func(body string) {
			data, err := serve(streamResponse(200, events, body), streamResponse(500, "text/plain", "failed"))
			Expect(err).To(HaveOccurred())
			Expect(data).To(Equal(first))
		},
		Entry("a head", first+"HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed\n\n"),
		Entry("text", first+"failed\n\n"),
		Entry("the same event again", first+first),
	)
})
