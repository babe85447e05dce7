package gateway_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/retrybudget"
	"briarreach/route"
)

// Guards against a denial by routes that are replaced while a request reads them and
// their age.
var _ = It("does not deny a request by old routes with the age of new ones", func() {
	clock := clockwork.NewFakeClock()
	confirmedAt := clock.Now()
	publish := func(g *gateway.Gateway, c route.Config) {
		g.UpdateSnapshot(func(s gateway.Snapshot) gateway.Snapshot { s.RouteTable = route.New(c); return s })
	}
	var g *gateway.Gateway
	g = gateway.New(plainSender{status: 200}, placement.New(placement.Defaults(), nil), retrybudget.New(retrybudget.Limit{}, 1), gateway.WithClock(clock),
		gateway.WithConfigConfirmedAt(func() time.Time {
			publish(g, route.Config{Version: 2, Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/a/", Kind: route.Idempotent{}, Timeout: time.Second}}})
			confirmedAt = clock.Now()
			return confirmedAt
		}))
	publish(g, route.Config{Version: 1})
	clock.Advance(time.Hour)
	answer := g.Serve(context.Background(), &gateway.Request{ID: "1", Host: "h", Path: "/a/1"})
	Expect(answer).NotTo(HaveField("Reason", gateway.UnknownRoute))
})
