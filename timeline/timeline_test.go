package timeline

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

// Guards against an effect that is shown before its cause when the clocks of
// VMs differ or are set back.
var _ = It("orders the receipt of a message after its sending whatever the clocks", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		base := time.UnixMilli(1_700_000_000_000)
		var clocks []*Clock
		var physical []*clockwork.FakeClock
		for range 3 {
			p := clockwork.NewFakeClockAt(base.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skew")) * time.Millisecond))
			physical = append(physical, p)
			clocks = append(clocks, NewClock(p))
		}
		last := make([]Timestamp, 3)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			physical[from].Advance(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			sent := clocks[from].Now()
			if !last[from].Before(sent) {
				t.Fatalf("clock went back: %v after %v", sent, last[from])
			}
			last[from] = sent
			received := clocks[to].Observe(sent)
			if !sent.Before(received) || !last[to].Before(received) {
				t.Fatalf("receipt %v is not after sending %v", received, sent)
			}
			last[to] = received
		}
	})
})

var _ = DescribeTable("filters and merges", func(f Filter, want ...string) {
	clock := NewClock(clockwork.NewFakeClockAt(time.UnixMilli(1000)))
	a, b := NewRecorder("a", clock), NewRecorder("b", clock)
	a.Record(Event{Kind: "1", RequestID: "r", ConfigNumber: 1})
	b.Record(Event{Kind: "2", RequestID: "r", Workspace: "w"})
	a.Record(Event{Kind: "3", Move: "m", ConfigNumber: 2})
	kinds := []string{}
	for _, e := range Merge(f, a.Events(f), b.Events(f)) {
		kinds = append(kinds, e.Kind)
	}
	Expect(kinds).To(Equal(append([]string{}, want...)))
},
	Entry("all in causal order", Filter{}, "1", "2", "3"),
	Entry("by request", Filter{RequestID: "r"}, "1", "2"),
	Entry("by workspace", Filter{Workspace: "w"}, "2"),
	Entry("by move", Filter{Move: "m"}, "3"),
	Entry("by configuration number", Filter{ConfigNumber: 2}, "3"),
	Entry("the newest", Filter{Limit: 2}, "2", "3"),
)

// Guards against memory that grows with the number of events.
var _ = It("keeps the newest events", func() {
	r := NewRecorder("a", NewClock(clockwork.NewRealClock()))
	for i := range RecorderCapacity + 10 {
		r.Record(Event{ConfigNumber: uint64(i + 1)})
	}
	events := r.Events(Filter{})
	Expect(events).To(HaveLen(RecorderCapacity))
	Expect(events[0].ConfigNumber).To(Equal(uint64(11)))
})
