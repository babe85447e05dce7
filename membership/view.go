// Package membership determines which targets are leaving, from the VM list,
// the notices of agents and the configuration.
package membership

import (
	"fmt"
	"slices"
	"strings"
)

// MaxMembers bounds the targets, and the VMs, that a View holds.
const MaxMembers = 20_000

// maxSupersededIncarnations bounds the superseded incarnations kept per target.
const maxSupersededIncarnations = 8

// Source says where a target is reported as leaving.
type Source string

// Sources of reports.
const (
	FromVMList Source = "vm_list"
	FromNotice Source = "notice" // the agent received SIGTERM
	FromConfig Source = "config" // the target is drained
)

// Target is a target of the configuration.
type Target struct {
	Name  string
	VM    string // name of its VM in the list, empty if unknown
	Drain bool
}

// VM is an entry of the VM list.
type VM struct {
	Name    string
	Leaving bool
}

// Notice is an agent's report of its own state. Incarnation identifies one run
// of the agent's process.
type Notice struct {
	Target      string
	Incarnation string
	Leaving     bool
}

// State is the state of a target. It accepts new work if LeavingSources is
// empty.
type State struct {
	Target
	Listed         bool // the VM list contains its VM
	LeavingSources []Source
}

// LimitError reports more targets, or more VMs, than MaxMembers.
type LimitError struct{ Count int }

func (e *LimitError) Error() string {
	return fmt.Sprintf("%d targets or VMs exceed the limit of %d", e.Count, MaxMembers)
}

// View is the state of all targets of the configuration. It is not safe for
// concurrent use; States returns a snapshot to publish.
type View struct {
	targets map[string]Target
	vms     map[string]VM
	notices map[string]*notice
}

type notice struct {
	incarnation            string
	leaving                bool
	supersededIncarnations []string // oldest first
}

// New returns an empty view.
func New() *View {
	return &View{targets: map[string]Target{}, vms: map[string]VM{}, notices: map[string]*notice{}}
}

// ObserveConfig replaces the targets by those of a newer configuration and
// drops the notices of targets that were removed. It fails with *LimitError.
func (v *View) ObserveConfig(targets ...Target) error {
	if len(targets) > MaxMembers {
		return fmt.Errorf("membership.View.ObserveConfig: %w", &LimitError{Count: len(targets)})
	}
	v.targets = make(map[string]Target, len(targets))
	for _, t := range targets {
		v.targets[t.Name] = t
	}
	for name := range v.notices {
		if _, ok := v.targets[name]; !ok {
			delete(v.notices, name)
		}
	}
	return nil
}

// ObserveVMList replaces the VM list. It fails with *LimitError.
func (v *View) ObserveVMList(vms ...VM) error {
	if len(vms) > MaxMembers {
		return fmt.Errorf("membership.View.ObserveVMList: %w", &LimitError{Count: len(vms)})
	}
	v.vms = make(map[string]VM, len(vms))
	for _, vm := range vms {
		v.vms[vm.Name] = vm
	}
	return nil
}

// ObserveNotice applies an agent's notice and reports whether it changed the
// state. Leaving is final for one incarnation, so that a message that arrives
// late doesn't revoke it; only a new incarnation does. Notices of superseded
// incarnations, and of targets that are not in the configuration, are ignored.
func (v *View) ObserveNotice(n Notice) bool {
	if _, ok := v.targets[n.Target]; !ok {
		return false
	}
	known := v.notices[n.Target]
	switch {
	case known == nil:
		v.notices[n.Target] = &notice{incarnation: n.Incarnation, leaving: n.Leaving}
		return n.Leaving
	case known.incarnation == n.Incarnation:
		changed := n.Leaving && !known.leaving
		known.leaving = known.leaving || n.Leaving
		return changed
	case slices.Contains(known.supersededIncarnations, n.Incarnation):
		return false
	}
	changed := known.leaving != n.Leaving
	known.supersededIncarnations = append(known.supersededIncarnations, known.incarnation)
	if len(known.supersededIncarnations) > maxSupersededIncarnations {
		known.supersededIncarnations = known.supersededIncarnations[1:]
	}
	known.incarnation, known.leaving = n.Incarnation, n.Leaving
	return changed
}

// State returns the state of a target; false if the configuration doesn't
// contain it.
func (v *View) State(target string) (State, bool) {
	t, ok := v.targets[target]
	if !ok {
		return State{}, false
	}
	s := State{Target: t}
	if vm, ok := v.vms[t.VM]; ok && t.VM != "" {
		s.Listed = true
		if vm.Leaving {
			s.LeavingSources = append(s.LeavingSources, FromVMList)
		}
	}
	if n := v.notices[target]; n != nil && n.leaving {
		s.LeavingSources = append(s.LeavingSources, FromNotice)
	}
	if t.Drain {
		s.LeavingSources = append(s.LeavingSources, FromConfig)
	}
	return s, true
}

// States returns the state of all targets, ordered by name.
func (v *View) States() []State {
	states := make([]State, 0, len(v.targets))
	for name := range v.targets {
		s, _ := v.State(name)
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	return states
}

// AcceptingWork returns the names of the targets that accept new work, sorted.
func (v *View) AcceptingWork() []string {
	var names []string
	for _, s := range v.States() {
		if len(s.LeavingSources) == 0 {
			names = append(names, s.Name)
		}
	}
	return names
}

// Listed reports whether the VM list contains a VM.
func (v *View) Listed(vm string) bool {
	_, ok := v.vms[vm]
	return ok
}
