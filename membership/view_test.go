package membership_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/membership"
)

type observe func(*membership.View)

func config(targets ...membership.Target) observe {
	return func(v *membership.View) { Expect(v.ObserveConfig(targets...)).To(Succeed()) }
}

func list(vms ...membership.VM) observe {
	return func(v *membership.View) { Expect(v.ObserveVMList(vms...)).To(Succeed()) }
}

func notice(incarnation string, leaving bool) observe {
	return func(v *membership.View) {
		v.ObserveNotice(membership.Notice{Target: "t", Incarnation: incarnation, Leaving: leaving})
	}
}

var _ = Describe("View", func() {
	// Guards against new work for a target that is leaving, above all after a
	// stale list or a late message, and against a restarted target that never
	// gets work again.
	DescribeTable("reports by which sources a target is leaving", func(leaving []membership.Source, steps ...observe) {
		v := membership.New()
		config(membership.Target{Name: "t", VM: "vm"})(v)
		for _, step := range steps {
			step(v)
		}
		s, ok := v.State("t")
		Expect(ok).To(BeTrue())
		Expect(s.LeavingSources).To(Equal(leaving))
		if len(leaving) == 0 {
			Expect(v.AcceptingWork()).To(Equal([]string{"t"}))
		} else {
			Expect(v.AcceptingWork()).To(BeEmpty())
		}
	},
		Entry("none, no list yet", nil),
		Entry("VM list", []membership.Source{membership.FromVMList}, list(membership.VM{Name: "vm", Leaving: true})),
		Entry("VM list that no longer has the VM", nil, list(membership.VM{Name: "vm", Leaving: true}), list()),
		Entry("drain", []membership.Source{membership.FromConfig}, config(membership.Target{Name: "t", VM: "vm", Drain: true})),
		Entry("all", []membership.Source{membership.FromVMList, membership.FromNotice, membership.FromConfig},
			config(membership.Target{Name: "t", VM: "vm", Drain: true}), list(membership.VM{Name: "vm", Leaving: true}), notice("1", true)),
		Entry("stale list after the notice", []membership.Source{membership.FromNotice},
			list(membership.VM{Name: "vm"}), notice("1", true), list(membership.VM{Name: "vm"})),
		Entry("late message of the same incarnation", []membership.Source{membership.FromNotice}, notice("1", true), notice("1", false)),
		Entry("new incarnation", nil, notice("1", true), notice("2", false)),
		Entry("late message of a superseded incarnation", nil, notice("1", true), notice("2", false), notice("1", true)),
		Entry("late message of a superseded incarnation that was not leaving", []membership.Source{membership.FromNotice},
			notice("1", false), notice("2", true), notice("1", false)),
		Entry("a new configuration does not revoke a notice", []membership.Source{membership.FromNotice},
			notice("1", true), config(membership.Target{Name: "t", VM: "vm"})),
		Entry("target removed and registered again", nil,
			notice("1", true), config(), config(membership.Target{Name: "t", VM: "vm"})),
	)

	It("reports the VMs of the list and refuses too many members", func() {
		v := membership.New()
		list(membership.VM{Name: "vm"})(v)
		Expect(v.Listed("vm")).To(BeTrue())
		Expect(v.Listed("other")).To(BeFalse())
		var limit *membership.LimitError
		Expect(errors.As(v.ObserveVMList(make([]membership.VM, membership.MaxMembers+1)...), &limit)).To(BeTrue())
		Expect(v.ObserveNotice(membership.Notice{Target: "unknown", Leaving: true})).To(BeFalse())
	})
})
