package replica_test

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/replica"
)

var _ = Describe("the directory of replicas", func() {
	now := time.Unix(1e9, 0)
	grace := 2 * time.Second
	register := func(n int, s replica.State) (events []replica.Event) {
		for i := range n {
			events = append(events, replica.Registered{Replica: replica.Replica{ID: fmt.Sprint(i), Service: "s", State: s}})
		}
		return events
	}
	filled := func() *replica.Directory {
		d := replica.New(grace)
		d.Replace(register(4, replica.Ready), 1, now)
		return d
	}
	count := func(d *replica.Directory, at time.Time) int { return len(d.Snapshot(at).ForService("s")) }

	DescribeTable("replicas after changes in the registry",
		func(events []replica.Event, soon, later int) {
			d := filled()
			d.Apply(events, 2, now)
			Expect(count(d, now)).To(Equal(soon))
			Expect(count(d, now.Add(grace))).To(Equal(later))
		},
		Entry("one drains", []replica.Event{replica.Registered{Replica: replica.Replica{ID: "1", Service: "s", State: replica.Draining}}}, 3, 3),
		Entry("one is removed", []replica.Event{replica.Removed{ID: "1"}}, 3, 3),
		Entry("one can't be read", []replica.Event{replica.Unreadable{ID: "1", Err: errors.New("x")}}, 3, 3),
		Entry("an unknown one is removed", []replica.Event{replica.Removed{ID: "9"}}, 4, 4),
		// Guards against a service without replicas when the registry loses the
		// entries of live ones.
		Entry("most are removed at once", []replica.Event{replica.Removed{ID: "0"}, replica.Removed{ID: "1"}, replica.Removed{ID: "2"}}, 4, 1),
		Entry("most are removed and one registers again", []replica.Event{replica.Removed{ID: "0"}, replica.Removed{ID: "1"}, replica.Removed{ID: "2"},
			replica.Registered{Replica: replica.Replica{ID: "0", Service: "s"}}}, 4, 2),
	)

	It("removes entries that a listing lacks", func() {
		d := filled()
		d.Replace(register(3, replica.Ready), 2, now)
		Expect(count(d, now)).To(Equal(3))
	})

	It("keeps missing entries that register again", func() {
		d := filled()
		d.Replace(nil, 2, now)
		Expect(count(d, now)).To(Equal(4))
		d.Apply(register(4, replica.Ready), 3, now.Add(time.Second))
		Expect(count(d, now.Add(time.Hour))).To(Equal(4))
	})

	Describe("the registry is restored from a copy", func() {
		started := time.Unix(1e9-100, 0)
		entry := func(id string, s replica.State) replica.Replica {
			return replica.Replica{ID: id, Service: "s", State: s, Started: started}
		}
		ids := func(d *replica.Directory, at time.Time) (ids []string) {
			for _, r := range d.Snapshot(at).ForService("s") {
				ids = append(ids, r.ID)
			}
			return ids
		}
		var d *replica.Directory
		silence := 5 * time.Second
		BeforeEach(func() {
			d = replica.New(grace, replica.WithSilence(silence))
			var all []replica.Event
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				all = append(all, replica.Registered{Replica: entry(id, replica.Ready)})
			}
			d.Replace(all, 100, now)
			d.Apply([]replica.Event{replica.Registered{Replica: entry("a", replica.Draining)}, replica.Removed{ID: "b"},
				replica.Registered{Replica: entry("new", replica.Ready)}}, 110, now)
			Expect(ids(d, now)).To(Equal([]string{"c", "d", "e", "new"}))
			// The copy has none of the last changes.
			d.ReplaceRestored(all, 50, now)
		})

		// Guards against requests to replicas that have left.
		It("sends nothing to replicas that drain or were removed", func() {
			Expect(ids(d, now)).To(Equal([]string{"c", "d", "e", "new"}))
			Expect(d.Snapshot(now).Version).To(BeEquivalentTo(50))
			d.Apply([]replica.Event{replica.Registered{Replica: entry("a", replica.Ready)}}, 51, now)
			Expect(ids(d, now)).NotTo(ContainElement("a"))
		})

		// Guards against a live replica that stays unused because it had lapsed.
		It("uses a removed replica that is registered again or whose entry lasts", func() {
			d.Apply([]replica.Event{replica.Registered{Replica: entry("b", replica.Ready)}}, 51, now)
			Expect(ids(d, now)).To(ContainElement("b"))
			d.ReplaceRestored([]replica.Event{replica.Registered{Replica: entry("b", replica.Ready)}}, 50, now)
			Expect(ids(d, now.Add(silence))).To(ContainElement("b"))
		})

		It("uses a new start of a replica that has left", func() {
			again := entry("a", replica.Ready)
			again.Started = started.Add(time.Second)
			d.Apply([]replica.Event{replica.Registered{Replica: again}}, 51, now)
			Expect(ids(d, now)).To(ContainElement("a"))
		})

		// Guards against a live replica that gets nothing until it has registered again.
		It("keeps a replica that the copy lacks for the grace period", func() {
			Expect(d.MissingCount()).To(Equal(1))
			Expect(ids(d, now.Add(grace))).To(Equal([]string{"c", "d", "e"}))
			d.Apply([]replica.Event{replica.Registered{Replica: entry("new", replica.Ready)}}, 51, now.Add(grace))
			Expect(ids(d, now.Add(time.Hour))).To(ContainElement("new"))
		})
	})

	// Guards against an entry of another writer that names no replica, and keeps the
	// one of that name in use for the grace period.
	It("does not use an entry that can't be read in a restored copy", func() {
		d := replica.New(2 * time.Second)
		now := time.Unix(100, 0)
		address := netip.MustParseAddrPort("10.0.0.1:80")
		d.Replace([]replica.Event{replica.Registered{Replica: replica.Replica{ID: "i-1", Service: "s", Address: address}}}, 5, now)
		d.ReplaceRestored([]replica.Event{replica.Unreadable{ID: "i-1"}}, 3, now)
		Expect(d.Snapshot(now).ForService("s")).To(BeEmpty())
	})

	It("does not keep draining entries that are removed", func() {
		d := replica.New(grace)
		d.Replace(register(4, replica.Draining), 1, now)
		d.Replace(nil, 2, now)
		Expect(d.MissingCount()).To(BeZero())
	})
})
