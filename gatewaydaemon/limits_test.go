package gatewaydaemon

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/quota"
	"briarreach/quotastore"
	"briarreach/replica"
	"briarreach/replicalimit"
)

// Guards against a gateway that uses a whole limit because it has not reached the
// store since its start, and so knows no other gateway.
var _ = Describe("the limits of a gateway that has not read the holders' rows", func() {
	It("are shared with the assumed number of gateways until it has", func() {
		clock := clockwork.NewFakeClock()
		limits := replicalimit.New("a", assumedGateways, rand.New(rand.NewPCG(1, 1)))
		x := &limitExchange{limits: limits, clock: clock}
		allocators := quotastore.NewAllocators(1, "a", "a-1", quota.Defaults())
		r := replica.Incarnation{ID: "r"}
		sent := func() (n int) {
			for range 400 {
				clock.Advance(10 * time.Millisecond)
				x.updateProcesses(allocators)
				if limits.Take(r, clock.Now()) {
					n++
				}
			}
			return n
		}
		limits.Record(r, replicalimit.Limit{Stated: true, PerSecond: 8}, clock.Now(), clock.Now())
		Expect(sent()).To(BeNumerically("<=", 5), "an eighth of 8 requests/s in 4 s, and one that was saved up")
		Expect(allocators[0].LoadRows(nil, quota.ScopeAll, time.Second, clock.Now())).To(Succeed())
		Expect(sent()).To(BeNumerically(">", 20), "the only gateway has the whole limit")
	})
})

// Guards against gateways that send nothing to a recovered replica because they are
// connected to none of those that have seen its limit end.
var _ = Describe("the end of a limit that another gateway has noticed", func() {
	It("is passed on once", func() {
		clock := clockwork.NewFakeClock()
		var sent []replicalimit.Notice
		x := &limitExchange{limits: replicalimit.New("a", 1, rand.New(rand.NewPCG(1, 1))), clock: clock, log: &log.Logger{Handler: discard.Default},
			broadcast: func(n replicalimit.Notice) { sent = append(sent, n) }}
		r := replica.Incarnation{ID: "r"}
		x.handleNotice(replicalimit.Notice{Replica: r, Stated: true, PerSecond: 2})
		Expect(sent).To(BeEmpty())
		for range 3 {
			x.handleNotice(replicalimit.Notice{Replica: r})
		}
		Expect(sent).To(Equal([]replicalimit.Notice{{Replica: r}}))
	})
})
