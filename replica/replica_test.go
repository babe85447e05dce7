package replica_test

import (
	"errors"
	"fmt"
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

	It("does not keep draining entries that are removed", func() {
		d := replica.New(grace)
		d.Replace(register(4, replica.Draining), 1, now)
		d.Replace(nil, 2, now)
		Expect(d.MissingCount()).To(BeZero())
	})
})
