package holder

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step holds events at a time after the start and the actions due then.
type step struct {
	at          time.Duration
	events      []Event
	wantActions []Action
}

var _ = DescribeTable("recovery of a holder's unspent amounts",
	func(steps ...step) {
		m := New(WithSilenceTimeout(10*time.Second), WithQueryInterval(time.Second))
		for i, s := range steps {
			now := start.Add(s.at)
			for _, e := range s.events {
				m.HandleEvent(e, now)
			}
			Expect(m.DueActions(now)).To(Equal(s.wantActions), "step %d", i)
		}
	},
	Entry("a live holder is not fenced",
		step{0, []Event{AgentsChanged{[]string{"a"}}, OutstandingChanged{Holders: []string{"h"}}}, nil},
		step{9 * time.Second, []Event{Seen{"h"}}, nil},
		step{18 * time.Second, nil, nil}),
	Entry("a silent holder is fenced, all agents are queried, the rest is released",
		step{0, []Event{AgentsChanged{[]string{"a", "b"}}, OutstandingChanged{Holders: []string{"h"}}}, nil},
		step{10 * time.Second, nil, []Action{Fence{"h"}}},
		step{10 * time.Second, []Event{Fenced{"h"}}, []Action{QueryUsage{"h", "a"}, QueryUsage{"h", "b"}}},
		step{10 * time.Second, []Event{UsageReported{Holder: "h", Agent: "a"}}, nil},
		step{10 * time.Second, []Event{UsageReported{Holder: "h", Agent: "b"}}, []Action{Release{"h", map[string]int64{}}}},
		step{10 * time.Second, []Event{Released{"h"}}, nil}),
	Entry("an agent that does not report keeps the amounts outstanding",
		step{0, []Event{AgentsChanged{[]string{"a", "b"}}, OutstandingChanged{Holders: []string{"h"}, Fenced: []string{"h"}}}, []Action{QueryUsage{"h", "a"}, QueryUsage{"h", "b"}}},
		step{time.Second, []Event{UsageReported{Holder: "h", Agent: "a"}}, []Action{QueryUsage{"h", "b"}}},
		step{time.Hour, nil, []Action{QueryUsage{"h", "b"}}}),
	Entry("reservations still running are held and released when they end",
		step{0, []Event{AgentsChanged{[]string{"a"}}, OutstandingChanged{Holders: []string{"h"}, Fenced: []string{"h"}}}, []Action{QueryUsage{"h", "a"}}},
		step{time.Second, []Event{UsageReported{"h", "a", map[string]int64{"x": 5}}},
			[]Action{Release{"h", map[string]int64{"x": 5}}, QueryUsage{"h", "a"}}},
		step{2 * time.Second, []Event{Released{"h"}, UsageReported{"h", "a", nil}}, []Action{Release{"h", map[string]int64{}}}}),
	Entry("the amounts are written off when an agent is removed before it reports",
		step{0, []Event{AgentsChanged{[]string{"a", "b"}}, OutstandingChanged{Holders: []string{"h"}, Fenced: []string{"h"}}}, []Action{QueryUsage{"h", "a"}, QueryUsage{"h", "b"}}},
		step{0, []Event{UsageReported{Holder: "h", Agent: "a"}}, nil},
		step{time.Minute, []Event{AgentsChanged{[]string{"a"}}}, []Action{WriteOff{"h"}}}),
	Entry("a failed fence is retried",
		step{0, []Event{OutstandingChanged{Holders: []string{"h"}}}, nil},
		step{10 * time.Second, nil, []Action{Fence{"h"}}},
		step{11 * time.Second, nil, []Action{Fence{"h"}}}),
)

// Guards against releasing an amount that an agent may still spend: with any
// order and loss of reports, a release comes only after the fence and a report
// of every agent, and holds what the last reports list as running.
var _ = It("never releases amounts that may still be spent", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		agents := []string{"a", "b", "c"}
		m := New()
		now := start
		m.HandleEvent(AgentsChanged{Names: agents}, now)
		m.HandleEvent(OutstandingChanged{Holders: []string{"h"}}, now)
		fenced := false
		reported := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			for _, action := range m.DueActions(now) {
				if release, ok := action.(Release); ok {
					var sum int64
					for _, amount := range reported {
						sum += amount
					}
					if !fenced || len(reported) < len(agents) || release.Held["x"] != sum {
						t.Fatalf("released %v with fenced %t and reported %v", release, fenced, reported)
					}
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.HandleEvent(Seen{Holder: "h"}, now)
			case 1:
				fenced = true
				m.HandleEvent(Fenced{Holder: "h"}, now)
			case 2:
				agent := rapid.SampledFrom(agents).Draw(t, "agent")
				running := rapid.Int64Range(0, 3).Draw(t, "running")
				if fenced {
					reported[agent] = running
				}
				m.HandleEvent(UsageReported{Holder: "h", Agent: agent, Running: map[string]int64{"x": running}}, now)
			case 3:
				m.HandleEvent(Released{Holder: "h"}, now)
			}
		}
	})
})
