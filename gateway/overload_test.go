package gateway_test

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/replica"
	"briarreach/upstream"
)

// unreachable is a fake gateway.Sender that opens no connection.
type unreachable struct{}

func (unreachable) Send(context.Context, gateway.SendRequest) (*gateway.Response, error) {
	return nil, &upstream.NotSentError{Err: errors.New("dial timeout")}
}

func (unreachable) CloseIdleConnections(replica.Replica) {}

// Guards against all replicas being ejected because connections time out on the
// gateway's own saturated link.
var _ = DescribeTable("replicas that can't be reached are ejected",
	func(overloaded bool, ejected int) {
		clock := clockwork.NewFakeClockAt(time.Now()) // as the deadline of a context is of the real time
		placer := placement.New(placement.Defaults(), nil)
		g, _ := newGateway(unreachable{}, clock, placer, gateway.WithOverloaded(func() bool { return overloaded }))
		Expect(serveStream(g)).To(BeAssignableToTypeOf(&gateway.Refusal{}))
		Expect(placer.EjectedCount(clock.Now())).To(Equal(ejected))
	},
	Entry("by a gateway that has enough", false, 2),
	Entry("not by one that is short of network or processor time", true, 0),
)
