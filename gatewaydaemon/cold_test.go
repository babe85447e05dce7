package gatewaydaemon

import (
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/feed"
	"briarreach/gateway"
	"briarreach/platform"
	"briarreach/quota"
	"briarreach/quotastore"
	"briarreach/replica"
	"briarreach/route"
	"briarreach/rowstore"
)

// Guards against gateways that together send a cold replica more than it takes, because
// one does not know the others, or takes those that can't reach the store for ended.
var _ = Describe("a gateway's share of what a cold replica takes", func() {
	const perSecond = 8
	r := replica.Replica{ID: "r", Service: "s", WarmupTime: time.Hour}
	table := func(takes float64) *route.Table {
		return route.New(route.Config{Version: 1, Services: []route.Service{{Name: "s", ColdPerSecond: takes, ColdStart: time.Minute}}})
	}
	var clock *clockwork.FakeClock
	var pace *coldPace
	var allocators quotastore.Allocators
	sent := func(d time.Duration) (n int) {
		for end := clock.Now().Add(d); clock.Now().Before(end); {
			clock.Advance(10 * time.Millisecond)
			pace.updateProcesses(allocators)
			if pace.limits.Take(r.Incarnation(), clock.Now()) {
				n++
			}
		}
		return n
	}
	load := func(rows ...rowstore.Row) {
		GinkgoHelper()
		Expect(allocators[0].LoadRows(rows, quota.ScopeAll, time.Hour, clock.Now())).To(Succeed())
	}
	holder := func(name, atMS string) rowstore.Row {
		return rowstore.Row{Key: rowstore.Key{Table: quota.HolderTable, Name: "holder/" + name}, Version: 1, Value: []byte(`{"incarnation":"` + name + `","at_ms":` + atMS + `}`)}
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		t := DefaultTuning()
		s := &platform.Settings{ProcessName: "a", Limits: gateway.PlatformLimits{ColdOvershoot: 1.5, ColdSlack: 5}}
		pace = newColdPace(s, t, clock, &log.Logger{Handler: discard.Default})
		allocators = quotastore.NewAllocators(1, "a", "a-1", quota.Defaults())
		pace.apply(feed.Batch[replica.Event]{Events: []replica.Event{replica.Registered{Replica: r}}, Complete: true}, clock.Now())
		pace.update([]replica.Replica{r}, table(perSecond), clock.Now())
	})

	It("is a cautious one until it knows the others, and they had the time to learn of it", func() {
		Expect(sent(8*time.Second)).To(BeNumerically("<=", 1), "8/s among 64 gateways")
		load()
		Expect(sent(3500 * time.Millisecond)).To(BeNumerically("<=", 1))
		sent(time.Second)
		Expect(sent(4 * time.Second)).To(BeNumerically("~", 4*perSecond, 2))
	})

	It("counts a gateway that has not written its row for a minute, but not for an hour", func() {
		load(holder("b@10.0.0.2", "3540000"), holder("c@10.0.0.3", "1"))
		sent(5 * time.Second)
		Expect(sent(4 * time.Second)).To(BeNumerically("~", 4*perSecond/2, 2))
	})

	It("ends with the configuration's rate", func() {
		pace.update([]replica.Replica{r}, table(0), clock.Now())
		Expect(sent(time.Second)).To(Equal(100))
	})
})
