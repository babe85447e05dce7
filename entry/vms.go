package entry

import (
	"sync"

	"briarreach/config"
	"briarreach/membership"
	"briarreach/targetset"
	"briarreach/vmlist"
)

// vms marks targets as leaving when the platform's list says so of their VMs.
// The agents' own notices reach the pool with their load reports, and drains
// with the configuration.
type vms struct {
	pool   *targetset.Pool
	client *vmlist.Client // nil without a list

	mu     sync.Mutex
	view   *membership.View
	marked map[string]struct{} // targets that are marked because of the list
	failed func(error)
}

func newVMs(e *Entry) *vms {
	v := &vms{pool: e.pool, view: membership.New(), marked: map[string]struct{}{}}
	v.failed = func(err error) { e.log.WithError(err).Warn("VM list not taken over") }
	if s := e.settings.VMList; s.URL != "" {
		v.client = vmlist.New(s.URL, vmlist.WithInterval(s.Interval.Duration), vmlist.WithClock(e.clock),
			vmlist.WithOnChange(func(l *vmlist.List) { v.list(l, e) }),
			vmlist.WithOnError(func(err error) { e.log.WithError(err).Debug("VM list not read") }))
	}
	return v
}

func (v *vms) update(d *config.Document, e *Entry) {
	targets := make([]membership.Target, 0, len(d.Targets))
	for _, t := range d.Targets {
		targets = append(targets, membership.Target{Name: t.Name, VM: t.VM, Drain: t.Draining})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.view.ObserveConfig(targets...); err != nil {
		v.failed(err)
	}
	v.mark(e)
}

func (v *vms) list(l *vmlist.List, e *Entry) {
	listed := make([]membership.VM, 0, len(l.VMs))
	for _, vm := range l.VMs {
		listed = append(listed, membership.VM{Name: vm.Name, Leaving: vm.State == vmlist.Leaving})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.view.ObserveVMList(listed...); err != nil {
		v.failed(err)
	}
	v.mark(e)
}

// mark tells the pool what has changed. The caller holds the lock.
func (v *vms) mark(e *Entry) {
	now := e.clock.Now()
	for _, s := range v.view.States() {
		leaving := false
		for _, source := range s.LeavingSources {
			leaving = leaving || source == membership.FromVMList
		}
		_, was := v.marked[s.Name]
		switch {
		case leaving && !was:
			v.marked[s.Name] = struct{}{}
			v.pool.MarkLeaving(s.Name, now)
		case !leaving && was:
			delete(v.marked, s.Name)
			v.pool.UnmarkLeaving(s.Name)
		}
	}
}

func (v *vms) close() {
	if v.client != nil {
		if err := v.client.Close(); err != nil {
			v.failed(err)
		}
	}
}
