package gatewaydaemon

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"briarreach/replica"
	"briarreach/replicaspeed"
)

var _ = Describe("the exchange of replicas' speeds", func() {
	var clock *clockwork.FakeClock
	var lines *memory.Handler
	var sent []replicaspeed.Message
	var x *speedExchange
	known := false
	list := []replica.Replica{{ID: "r0", Service: "s"}, {ID: "r1", Service: "s"}, {ID: "odd\"}\n\\", Service: "s"}, {ID: strings.Repeat("x", 5000), Service: "s"}}
	BeforeEach(func() {
		clock, lines, sent, known = clockwork.NewFakeClock(), memory.New(), nil, true
		x = &speedExchange{speeds: replicaspeed.New(replicaspeed.Defaults()), clock: clock, log: &log.Logger{Handler: lines, Level: log.InfoLevel}, lines: rate.NewLimiter(1, 1), set: metrics.NewSet(),
			gauges: make(map[string]*metrics.Gauge), slow: make(map[string]bool),
			others:    func() ([]string, bool) { return []string{"b", "c"}, known },
			broadcast: func(m replicaspeed.Message) { sent = append(sent, m) }}
		x.speeds.SetReplicas(list)
	})
	// run feeds samples for some seconds, with slow ones for the first replica.
	run := func(seconds int) {
		for range seconds * 4 {
			for i, r := range list {
				took := 100 * time.Millisecond
				if i == 0 {
					took *= 5
				}
				x.speeds.Of(r).Record(replicaspeed.Sample{OwnTokens: 4000, Took: took}, clock.Now())
			}
			x.step()
			clock.Advance(speedStepInterval / 2)
		}
	}
	exported := func() string {
		var b bytes.Buffer
		x.set.WritePrometheus(&b)
		return b.String()
	}

	It("sends sums at the interval once the other gateways are known", func() {
		known = false
		run(3)
		Expect(sent).To(BeEmpty())
		known = true
		run(10)
		Expect(len(sent)).To(And(BeNumerically(">=", 9), BeNumerically("<=", 11)))
	})

	// Guards against a process that ends because of an ID that another writer put into
	// the registry, and against metrics without bound.
	It("exports the speeds of live replicas, whatever their IDs are", func() {
		run(3)
		Expect(exported()).To(ContainSubstring(`briarreach_replica_speed{replica="r0"} 0.`))
		Expect(x.gauges).To(HaveLen(3), "a very long ID has no metric")
		var many []replica.Replica
		for i := range 2 * maxSpeedGauges {
			many = append(many, replica.Replica{ID: fmt.Sprint("m", i), Service: "s"})
		}
		x.speeds.SetReplicas(many)
		x.step()
		Expect(x.gauges).To(HaveLen(maxSpeedGauges))
		Expect(exported()).NotTo(ContainSubstring(`replica="r0"`))
	})

	It("logs slow replicas, at most one line per second", func() {
		run(3)
		Expect(x.slow).To(HaveLen(1))
		Expect(len(lines.Entries)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 3)))
		Expect(lines.Entries[0].Fields.Get("slow")).To(BeTrue())
	})
})
