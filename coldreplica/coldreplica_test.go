package coldreplica_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/coldreplica"
	"briarreach/replica"
)

func TestColdReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldreplica")
}

var start = time.Unix(1_000_000, 0)

// step is what the registry shows at a time after the gateway's start, and whether the
// replica r is cold then, from and until when.
type step struct {
	at       float64 // seconds
	kind     string  // "listing", "copy", "change", or "" if nothing is read
	entries  []replica.Replica
	wantFrom float64 // of the period; 0 if it has no start
	want     float64 // the end of the period; 0 if the replica is warm
}

func entry(id string, born, sequence int64, cold float64) replica.Replica {
	return replica.Replica{ID: id, Service: "s", Started: time.UnixMilli(born), Sequence: sequence, WarmupTime: time.Duration(cold * float64(time.Second))}
}

// Guards against a cold replica that counts as warm, and a warm one that stays cold.
var _ = DescribeTable("a replica is cold",
	func(steps ...step) {
		t := coldreplica.New()
		seconds := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
		last := entry("r", 1, 1, 0)
		for i, s := range steps {
			var events []replica.Event
			for _, r := range s.entries {
				events = append(events, replica.Registered{Replica: r})
				if r.ID == "r" {
					last = r
				}
			}
			if s.kind != "" {
				t.Apply(events, s.kind != "change", s.kind == "copy", seconds(s.at))
			}
			cold, ok := t.Cold(last, 10*time.Second, seconds(s.at))
			Expect(ok).To(Equal(s.want > 0), "step %d: %v", i, cold)
			if s.want > 0 {
				Expect(cold.Until).To(Equal(seconds(s.want)), "step %d", i)
				Expect(cold.From.IsZero()).To(Equal(s.wantFrom == 0), "step %d: %v", i, cold)
			}
			if s.wantFrom > 0 {
				Expect(cold.From).To(Equal(seconds(s.wantFrom)), "step %d", i)
			}
		}
	},
	Entry("never, if it was there at the start and says so",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 0)}, 0, 0},
		step{5, "listing", []replica.Replica{entry("r", 1, 1, 0)}, 0, 0}),
	Entry("for as long as its entry says, from when it was read",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 3)}, 0, 3},
		step{1, "listing", []replica.Replica{entry("r", 1, 1, 3)}, 0, 3},
		step{1.5, "change", []replica.Replica{entry("r", 1, 2, 1)}, 0, 2.5},
		step{2.6, "", nil, 0, 0}),
	Entry("until its entry says that it is warm",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 9)}, 0, 9},
		step{1, "change", []replica.Replica{entry("r", 1, 2, 0)}, 0, 0}),
	Entry("again, with a pause for the requests that it had as a warm one",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 0)}, 0, 0},
		step{5, "change", []replica.Replica{entry("r", 1, 2, 8)}, 6, 13},
		step{7, "change", []replica.Replica{entry("r", 1, 3, 6)}, 6, 13}),
	Entry("if it comes during traffic, until its entry is written again",
		step{0, "listing", []replica.Replica{entry("q", 1, 1, 0)}, 0, 0},
		step{5, "change", []replica.Replica{entry("r", 1, 1, 0)}, 0, 15},
		step{6, "listing", []replica.Replica{entry("r", 1, 1, 0)}, 0, 15},
		step{7, "change", []replica.Replica{entry("r", 1, 2, 0)}, 0, 0}),
	Entry("if it comes during traffic and is not written again, for the service's time",
		step{0, "listing", []replica.Replica{entry("q", 1, 1, 0)}, 0, 0},
		step{0.5, "change", []replica.Replica{entry("r", 1, 1, 0)}, 0, 10.5},
		step{10.5, "", nil, 0, 0}),
	Entry("if its process has started again",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 0)}, 0, 0},
		step{5, "change", []replica.Replica{entry("r", 2, 1, 0)}, 0, 15}),
	Entry("not for a change of other entries",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 0)}, 0, 0},
		step{5, "change", []replica.Replica{entry("q", 1, 1, 7)}, 0, 0}),
	Entry("not if it registers with the first replicas of its service, before its traffic",
		step{0, "listing", nil, 0, 0},
		step{3, "change", []replica.Replica{entry("q", 1, 1, 0)}, 0, 0},
		step{4, "change", []replica.Replica{entry("r", 1, 1, 0)}, 0, 0}),
	Entry("still, when its entry was removed and comes back",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 6)}, 0, 6},
		step{1, "listing", []replica.Replica{entry("q", 1, 1, 0)}, 0, 6},
		step{2, "change", []replica.Replica{entry("r", 1, 2, 4)}, 0, 6}),
	Entry("still, when a copy of the registry has an earlier entry of it",
		step{0, "listing", []replica.Replica{entry("r", 1, 1, 0)}, 0, 0},
		step{5, "change", []replica.Replica{entry("r", 1, 4, 8)}, 6, 13},
		step{6, "copy", []replica.Replica{entry("r", 1, 2, 0)}, 6, 13},
		step{7, "change", []replica.Replica{entry("r", 1, 5, 0)}, 0, 0}),
	Entry("if a copy of the registry has it as new",
		step{0, "listing", []replica.Replica{entry("q", 1, 1, 0)}, 0, 0},
		step{5, "copy", []replica.Replica{entry("r", 1, 1, 0)}, 0, 15}),
)

var _ = Describe("a bound", func() {
	// Guards against gateways whose saved up requests alone exceed the bound.
	It("leaves room for the rate, a saved up request of each that shares it, and as much again", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := coldreplica.Bound{Overshoot: rapid.Float64Range(0, 4).Draw(t, "overshoot"), Slack: rapid.Float64Range(0, 20).Draw(t, "slack")}
			takes := rapid.Float64Range(0, 500).Draw(t, "takes")
			most, rate := takes*b.Overshoot+b.Slack, b.PerSecond(takes)
			if rate > takes || rate > most {
				t.Fatalf("a rate of %g", rate)
			}
			if n := b.Sharers(rate); n < 1 || n > 1 && rate+2*float64(n) > rate*b.Overshoot+b.Slack {
				t.Fatalf("%d share %g", n, rate)
			}
		})
	})

	It("keeps a bounded number of replicas in mind", func() {
		t := coldreplica.New()
		t.Apply(nil, true, false, start)
		var events []replica.Event
		for i := range int64(9000) {
			events = append(events, replica.Registered{Replica: entry("r", i, 1, 5)})
		}
		t.Apply(events, false, false, start)
		known := 0
		for i := range int64(9000) {
			if _, cold := t.Cold(entry("r", i, 1, 5), 0, start); cold {
				known++
			}
		}
		Expect(known).To(Equal(8192))
	})
})
