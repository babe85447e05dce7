package entry

import (
	"sync"

	"briarreach/config"
	"briarreach/membership"
	"briarreach/targetset"
	"briarreach/vmlist"
)

// vmWatcher marks targets as leaving if the platform's list says that their VMs
// are leaving. The pool learns from the agents' load reports that they are
// leaving themselves, and about drains from the configuration.
type vmWatcher struct {
	pool   *targetset.Pool
	client *vmlist.Client // nil without a list

	mu            sync.Mutex
	view          *membership.View
	markedLeaving map[string]struct{} // targets marked as leaving because of the list
	logError      func(error)
}

func newVMWatcher(e *Entry) *vmWatcher {
	v := &vmWatcher{pool: e.pool, view: membership.New(), markedLeaving: map[string]struct{}{}}
	v.logError = func(err error) { e.log.WithError(err).Warn("failed to apply the VM list") }
	if s := e.settings.VMList; s.URL != "" {
		v.client = vmlist.New(s.URL, vmlist.WithInterval(s.Interval.Duration), vmlist.WithClock(e.clock),
			vmlist.WithOnChange(func(l *vmlist.List) { v.updateList(l, e) }),
			vmlist.WithOnError(func(err error) { e.log.WithError(err).Debug("failed to read the VM list") }))
	}
	return v
}

func (v *vmWatcher) updateTargets(d *config.Document, e *Entry) {
	targets := make([]membership.Target, 0, len(d.Targets))
	for _, t := range d.Targets {
		targets = append(targets, membership.Target{Name: t.Name, VM: t.VM, Drain: t.Draining})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.view.ObserveConfig(targets...); err != nil {
		v.logError(err)
	}
	v.syncPool(e)
}

func (v *vmWatcher) updateList(l *vmlist.List, e *Entry) {
	listed := make([]membership.VM, 0, len(l.VMs))
	for _, vm := range l.VMs {
		listed = append(listed, membership.VM{Name: vm.Name, Leaving: vm.State == vmlist.Leaving})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.view.ObserveVMList(listed...); err != nil {
		v.logError(err)
	}
	v.syncPool(e)
}

// syncPool updates the leaving marks in the pool. The caller holds the lock.
func (v *vmWatcher) syncPool(e *Entry) {
	now := e.clock.Now()
	for _, s := range v.view.States() {
		leaving := false
		for _, source := range s.LeavingSources {
			leaving = leaving || source == membership.FromVMList
		}
		_, wasMarked := v.markedLeaving[s.Name]
		switch {
		case leaving && !wasMarked:
			v.markedLeaving[s.Name] = struct{}{}
			v.pool.MarkLeaving(s.Name, now)
		case !leaving && wasMarked:
			delete(v.markedLeaving, s.Name)
			v.pool.UnmarkLeaving(s.Name)
		}
	}
}

func (v *vmWatcher) close() {
	if v.client != nil {
		if err := v.client.Close(); err != nil {
			v.logError(err)
		}
	}
}
