package gateway_test

import (
	"context"
	"io"
	"strings"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/replica"
	"briarreach/upstream"
)

// slowConnector is a gateway.Sender on whose first connection an order arrives before
// it is established.
type slowConnector struct {
	sender
	whileConnecting func(chosen replica.Replica)
	sent            []string // IDs of the replicas to which requests were sent
}

func (s *slowConnector) Send(ctx context.Context, r gateway.SendRequest) (*gateway.Response, error) {
	if s.whileConnecting != nil {
		s.whileConnecting(r.Replica)
		s.whileConnecting = nil
	}
	if !r.Allowed() {
		return nil, &upstream.NotSentError{Err: &upstream.DisallowedError{}}
	}
	s.sent = append(s.sent, r.Replica.ID)
	return s.sender.Send(ctx, r)
}

// Guards against a request that reaches an evacuated replica because it was chosen
// before the order.
var _ = Describe("a request whose replica is evacuated after it was chosen", func() {
	It("is sent to another one, and the first is not ejected", func() {
		clock := clockwork.NewFakeClock()
		placer := placement.New(placement.Defaults(), nil)
		s := &slowConnector{sender: sender{bodies: []io.ReadCloser{io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}}}
		g, set := newGateway(s, clock, placer)
		replicas := set.All()
		for i := range replicas {
			replicas[i].FailureDomain = replicas[i].ID
		}
		directory := replica.New(0)
		directory.Replace([]replica.Event{replica.Registered{Replica: replicas[0]}, replica.Registered{Replica: replicas[1]}}, 2, clock.Now())
		g.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
			snapshot.Replicas = directory.Snapshot(clock.Now())
			return snapshot
		})
		var chosen replica.Replica
		s.whileConnecting = func(r replica.Replica) {
			chosen = r
			g.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
				snapshot.EvacuatedDomains = map[string]bool{r.FailureDomain: true}
				return snapshot
			})
		}
		relay, ok := serveStream(g).(*gateway.RelayedResponse)
		Expect(ok).To(BeTrue())
		Expect(s.sent).To(HaveLen(1))
		Expect(s.sent[0]).NotTo(Equal(chosen.ID))
		Expect(placer.EjectedCount(clock.Now())).To(BeZero())
		Expect(relay.Body.Close()).To(Succeed())
	})
})
