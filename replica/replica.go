// Package replica holds what a process believes about the replicas of each
// service: where they are, which version they run and whether they take work.
//
// Failure: the registry loses the entries of live replicas while it is away.
// When many entries of a service vanish at once, the directory keeps them for
// a grace period in which live replicas register again, so that an outage of
// the registry does not leave a service without replicas; a single entry that
// vanishes is a replica that left. The table tests in this package replay it.
package replica

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is what a replica says of itself.
type State int

// States of a replica.
const (
	Ready State = iota
	Draining
)

func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Replica is one start of a process that serves a service's requests.
type Replica struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Version       string
	Slots         int
	State         State
	WarmupTime    time.Duration // how long it stays slow after its start
	Started       time.Time     // tells two starts under one ID apart
}

// Incarnation identifies one start of a replica.
func (r Replica) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, Address: r.Address, Started: r.Started.UnixMilli()}
}

// Incarnation identifies one start of a replica.
type Incarnation struct {
	ID      string
	Address netip.AddrPort
	Started int64
}

// Event is a change in the registry. It is one of Registered, Removed and
// Unreadable.
type Event interface{ event() }

// Registered is a new or changed entry.
type Registered struct{ Replica Replica }

// Removed is an entry that is gone.
type Removed struct{ ID string }

// Unreadable is an entry that names no usable replica.
type Unreadable struct {
	ID  string
	Err error
}

func (Registered) event() {}
func (Removed) event()    {}
func (Unreadable) event() {}

// Set is an immutable view of the usable replicas by service.
type Set struct {
	Version  uint64 // of the registry
	services map[string][]Replica
}

// ForService returns the replicas of a service that take new work, ordered by ID.
func (s *Set) ForService(service string) []Replica {
	if s == nil {
		return nil
	}
	return s.services[service]
}

// ServiceCount returns the number of services with a usable replica.
func (s *Set) ServiceCount() int {
	if s == nil {
		return 0
	}
	return len(s.services)
}

// Directory is the belief about all replicas. It is not safe for concurrent
// use; readers take a Set.
type Directory struct {
	grace   time.Duration
	version uint64
	known   map[string]Replica
	missing map[string]time.Time // entries kept in spite of their removal, until then
}

// lapsedShare is the share of a service's entries whose removal at one moment
// is taken for a loss of the registry.
const lapsedShare = 0.5

// New returns an empty directory. Grace is how long a live replica takes to
// register again after the registry was away.
func New(grace time.Duration) *Directory {
	return &Directory{grace: grace, known: make(map[string]Replica), missing: make(map[string]time.Time)}
}

// Replace takes a complete listing.
func (d *Directory) Replace(events []Event, version uint64, now time.Time) {
	listed := make(map[string]bool, len(events))
	for _, e := range events {
		if r, ok := e.(Registered); ok {
			listed[r.Replica.ID] = true
		}
	}
	for id := range d.known {
		if !listed[id] {
			events = append(events, Removed{ID: id})
		}
	}
	d.Apply(events, version, now)
}

// Apply takes changes in order.
func (d *Directory) Apply(events []Event, version uint64, now time.Time) {
	d.version = max(d.version, version)
	before := d.countByService()
	var removed []Replica
	for _, e := range events {
		switch e := e.(type) {
		case Registered:
			d.known[e.Replica.ID] = e.Replica
			delete(d.missing, e.Replica.ID)
			removed = slices.DeleteFunc(removed, func(r Replica) bool { return r.ID == e.Replica.ID })
		case Removed:
			if r, ok := d.known[e.ID]; ok {
				removed = append(removed, r)
			}
		case Unreadable:
			delete(d.known, e.ID)
			delete(d.missing, e.ID)
		}
	}
	lost := make(map[string]int)
	for _, r := range removed {
		if r.State == Ready {
			lost[r.Service]++
		}
	}
	for _, r := range removed {
		if n := lost[r.Service]; r.State == Ready && n > 1 && float64(n) >= lapsedShare*float64(before[r.Service]) {
			if _, ok := d.missing[r.ID]; !ok {
				d.missing[r.ID] = now.Add(d.grace)
			}
			continue
		}
		delete(d.known, r.ID)
		delete(d.missing, r.ID)
	}
	d.expire(now)
}

func (d *Directory) countByService() map[string]int {
	count := make(map[string]int)
	for _, r := range d.known {
		if r.State == Ready {
			count[r.Service]++
		}
	}
	return count
}

func (d *Directory) expire(now time.Time) {
	for id, until := range d.missing {
		if !now.Before(until) {
			delete(d.missing, id)
			delete(d.known, id)
		}
	}
}

// NextExpiry returns when the next missing entry is given up.
func (d *Directory) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, until := range d.missing {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next, !next.IsZero()
}

// MissingCount returns the number of entries kept in spite of their removal.
func (d *Directory) MissingCount() int { return len(d.missing) }

// Snapshot returns the view at a moment.
func (d *Directory) Snapshot(now time.Time) *Set {
	d.expire(now)
	s := &Set{Version: d.version, services: make(map[string][]Replica)}
	for _, r := range d.known {
		if r.State == Ready {
			s.services[r.Service] = append(s.services[r.Service], r)
		}
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b Replica) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}

// All returns the replicas of all services.
func (s *Set) All() []Replica {
	if s == nil {
		return nil
	}
	var all []Replica
	for _, list := range s.services {
		all = append(all, list...)
	}
	return all
}
