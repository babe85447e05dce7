package gateway_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
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
	"briarreach/retrybudget"
	"briarreach/route"
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

var _ = Describe("a stream that is resumed at another replica", func() {
	// Guards against a replica that counts as overdue, and gets no more
	// requests, for as long as a resumed stream lasts.
	It("does not count as waiting once it has sent an event", func() {
		clock := clockwork.NewFakeClock()
		placer := placement.New(placement.Defaults(), nil)
		resumed, write := io.Pipe()
		s := &sender{bodies: []io.ReadCloser{io.NopCloser(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda")), resumed}}
		g := gateway.New(s, placer, retrybudget.New(retrybudget.Limit{RetriesPerRequest: 1, ExtraRetries: 100, Window: 10 * time.Second}, 1),
			gateway.WithClock(clock), gateway.WithLog(&log.Logger{Handler: discard.Default}))
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
		answer := g.Serve(context.Background(), &gateway.Request{ID: "1", Host: "h.example", Path: "/", Prompt: &gateway.Prompt{Tokens: 100, MaxOutputTokens: 10,
			Parts: []gateway.PromptPart{{ID: "a", Tokens: 100}}}})
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
