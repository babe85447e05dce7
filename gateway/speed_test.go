package gateway_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/replicaspeed"
)

// slowSender answers after some time.
type slowSender struct {
	sender
	clock *clockwork.FakeClock
}

func (s *slowSender) Send(ctx context.Context, r gateway.SendRequest) (*gateway.Response, error) {
	s.clock.Advance(80 * time.Millisecond)
	return s.sender.Send(ctx, r)
}

// Guards against estimates that get no samples, or samples of another time than that
// from the send to the first event.
var _ = DescribeTable("a stream", func(learn bool, samples int) {
	clock, set, speeds := clockwork.NewFakeClock(), metrics.NewSet(), replicaspeed.New(replicaspeed.Defaults())
	var opts []placement.Option
	if learn {
		opts = append(opts, placement.WithSpeeds(speeds))
	}
	s := &slowSender{clock: clock, sender: sender{bodies: []io.ReadCloser{io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}}}
	g, _ := newGateway(s, clock, placement.New(placement.Defaults(), nil, opts...), gateway.WithMetrics(set))
	answer := serveStream(g).(*gateway.RelayedResponse)
	_, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	m, _ := speeds.NextMessage(1, clock.Now())
	Expect(m.Entries).To(HaveLen(samples))
	for _, e := range m.Entries {
		Expect(e.Seconds / e.Samples).To(BeNumerically("~", 0.08, 0.001))
	}
	var exported bytes.Buffer
	set.WritePrometheus(&exported)
	Expect(strings.Contains(exported.String(), `briarreach_first_event_error_seconds_count{side="late"} 1`)).To(Equal(learn))
},
	Entry("is a sample of its replica's speed", true, 1),
	Entry("is no sample if speeds are not estimated", false, 0),
)
