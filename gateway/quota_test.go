package gateway_test

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/crash"
	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/replica"
	"briarreach/route"
)

// quotaRecorder grants all that is asked for and records what is charged.
type quotaRecorder struct{ charged []int64 }

func (q *quotaRecorder) Reserve(context.Context, string, int64) (gateway.Reservation, error) {
	return q, nil
}

func (q *quotaRecorder) Settle(tokens int64) { q.charged = append(q.charged, tokens) }

// plainSender is a fake gateway.Sender whose responses are no streams.
type plainSender struct{ status int }

func (s plainSender) Send(context.Context, gateway.SendRequest) (*gateway.Response, error) {
	return &gateway.Response{Status: s.status, ContentLength: 4, Body: io.NopCloser(strings.NewReader("text"))}, nil
}

func (plainSender) CloseIdleConnections(replica.Replica) {}

var _ = Describe("a prompt on a route without streams", func() {
	// Guards against a budget that is overspent, as output that is no stream is not
	// counted.
	DescribeTable("is charged with the longest output that may have been delivered",
		func(status int, want int64) {
			quota := &quotaRecorder{}
			g, _ := newGateway(plainSender{status: status}, clockwork.NewRealClock(), placement.New(placement.Defaults(), nil), gateway.WithQuota(quota))
			g.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
				snapshot.RouteTable = route.New(route.Config{Version: 2, Services: []route.Service{{Name: "engine"}},
					Workspaces: []route.Workspace{{Name: "w", APIKeys: []string{"key"}}},
					Routes: []route.Route{{Host: "h.example", PathPrefix: "/", Kind: route.NonIdempotent{}, Timeout: time.Minute,
						TargetLatency: time.Second, MaxRuns: 1, TrafficSplit: []route.Share{{Service: "engine", Weight: 1}}}}})
				return snapshot
			})
			g.Serve(context.Background(), &gateway.Request{ID: "1", Host: "h.example", Path: "/", APIKey: "key",
				Prompt: &gateway.Prompt{Tokens: 100, MaxOutputTokens: 10}})
			Expect(quota.charged).To(Equal([]int64{want}))
		},
		Entry("a success", 200, int64(110)),
		Entry("the replica's failure, without output", 500, int64(100)),
	)
})

// slowQuota has no quota, and says so when the request's wait ends.
type slowQuota struct{}

func (slowQuota) Reserve(ctx context.Context, _ string, _ int64) (gateway.Reservation, error) {
	<-ctx.Done()
	return nil, &gateway.QuotaError{RetryAfter: time.Second}
}

var _ = Describe("a request that waits for quota", func() {
	// Guards against requests that are held past their time limit, also into the end of
	// a stop that lets in only what ends before.
	It("is refused at its time limit", func() {
		const limit = 50 * time.Millisecond
		g, _ := newGateway(plainSender{status: 200}, clockwork.NewRealClock(), placement.New(placement.Defaults(), nil), gateway.WithQuota(slowQuota{}))
		g.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
			snapshot.RouteTable = route.New(route.Config{Version: 2, Services: []route.Service{{Name: "engine"}},
				Workspaces: []route.Workspace{{Name: "w", APIKeys: []string{"key"}}},
				Routes: []route.Route{{Host: "h.example", PathPrefix: "/", Kind: route.NonIdempotent{}, Timeout: time.Minute,
					TargetLatency: 10 * time.Second, MaxRuns: 1, TrafficSplit: []route.Share{{Service: "engine", Weight: 1}}}}})
			return snapshot
		})
		started := time.Now()
		answer := g.Serve(context.Background(), &gateway.Request{ID: "1", Host: "h.example", Path: "/", APIKey: "key", Timeout: limit,
			Prompt: &gateway.Prompt{Tokens: 100, MaxOutputTokens: 10}})
		// Half a second past the limit is the platform's bound.
		Expect(time.Since(started)).To(BeNumerically("<", limit+500*time.Millisecond))
		Expect(answer).To(HaveField("Execution", gateway.NotExecuted))
	})
})

var _ = Describe("an answer that there is no room for", func() {
	// Guards against a replica that is blamed for the gateway's memory, and an outcome
	// that is told as not run.
	It("is of unknown outcome and no failure of the replica", func() {
		blamed := 0
		g, _ := newGateway(plainSender{status: 200}, clockwork.NewRealClock(), placement.New(placement.Defaults(), nil),
			gateway.WithBrokenSendHandler(func(crash.BrokenSend) { blamed++ }))
		g.UpdateSnapshot(func(snapshot gateway.Snapshot) gateway.Snapshot {
			snapshot.RouteTable = route.New(route.Config{Version: 2, Services: []route.Service{{Name: "engine"}},
				Routes: []route.Route{{Host: "h.example", PathPrefix: "/", Kind: route.NonIdempotent{}, Timeout: time.Minute,
					MaxRuns: 1, TrafficSplit: []route.Share{{Service: "engine", Weight: 1}}}}})
			return snapshot
		})
		reserved := 0
		answer := g.Serve(context.Background(), &gateway.Request{ID: "1", Host: "h.example", Path: "/",
			ReserveAnswer: func(n int) error { reserved = n; return io.ErrShortBuffer }})
		Expect(answer).To(And(HaveField("Execution", gateway.ExecutionUnknown), HaveField("Reason", gateway.InternalError)))
		Expect(reserved).To(BeNumerically(">=", 4), "the length of the answer")
		Expect(blamed).To(BeZero())
	})
})
