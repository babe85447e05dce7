package gatewaydaemon

import (
	runtimemetrics "runtime/metrics"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/platform"
)

var _ = DescribeTable("the quantile of the run delays of an interval",
	func(before, counts []uint64, want time.Duration) {
		h := &runtimemetrics.Float64Histogram{Counts: counts, Buckets: []float64{0, 0.001, 0.01, 0.1}}
		Expect(quantileSince(h, before, 0.9)).To(Equal(want))
	},
	Entry("none", []uint64{4, 4, 4}, []uint64{4, 4, 4}, time.Duration(0)),
	Entry("short ones", []uint64{0, 0, 9}, []uint64{9, 1, 9}, time.Duration(0)),
	Entry("two of ten are longer", []uint64{0, 0, 9}, []uint64{8, 2, 9}, time.Millisecond),
	Entry("all are long", []uint64{9, 9, 0}, []uint64{9, 9, 5}, 10*time.Millisecond),
)

// Guards against a request on a connection that was opened in advance and counts as one
// that has waited in this process.
var _ = Describe("the load shedder", func() {
	It("counts the time before the first byte only as far as the process was slow", func() {
		clock := clockwork.NewFakeClock()
		o := newLoadShedder(&platform.Settings{}, DefaultTuning(), clock, &log.Logger{Handler: discard.Default}, metrics.NewSet())
		o.load.RunDelay = 30 * time.Millisecond
		Expect(o.limiter.Due(clock.Now())).To(BeTrue(), "no measurement in this interval")
		for unread, want := range map[time.Duration]time.Duration{0: 0, 20 * time.Millisecond: 20 * time.Millisecond, time.Minute: 30 * time.Millisecond} {
			r := &gateway.Request{Arrived: clock.Now()}
			done, refusal := o.admit(r, unread, 0)
			Expect(refusal).To(BeNil())
			Expect(clock.Since(r.Arrived)).To(Equal(want))
			done()
		}
	})
})
