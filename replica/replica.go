// Package replica holds a process's view of the replicas of each service: their
// addresses, their versions, and whether they accept requests.
//
// Failure: the registry loses the entries of live replicas during an outage.
// When many entries of a service are removed at once, the directory keeps them
// for a grace period in which live replicas register again, so that the outage
// does not leave the service without replicas. A single entry that is removed is
// a replica that stopped. The table tests in this package cover it.
//
// Failure: the registry is restored from a copy some seconds old. A replica that
// has left is there as before, and one that has registered since is not. The
// directory remembers which replicas drained or were removed: in later eras, a
// draining one stays so, and a removed one is used only after its entry was written
// again or has outlasted the time after which silent replicas are removed. The
// specs "the registry is restored from a copy" cover it.
package replica

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the state that a replica reports.
type State int

// States.
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

// Replica is one incarnation of a process that serves a service's requests.
type Replica struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Version       string
	Slots         int
	State         State
	WarmupTime    time.Duration // how long the replica was still cold when its entry was written
	Sequence      int64         // rises as the replica writes its entry again
	Started       time.Time     // distinguishes incarnations with the same ID
}

// Incarnation returns the identity of this start of the replica.
func (r Replica) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, Address: r.Address, Started: r.Started.UnixMilli()}
}

// Incarnation identifies one start of a replica.
type Incarnation struct {
	ID      string
	Address netip.AddrPort
	Started int64 // Unix milliseconds
}

// Event is a change in the registry. It is one of Registered, Removed and
// Unreadable.
type Event interface{ event() }

// Registered is a new or changed entry.
type Registered struct{ Replica Replica }

// Removed is an entry that was removed.
type Removed struct{ ID string }

// Unreadable is an entry that can't be decoded.
type Unreadable struct {
	ID  string
	Err error
}

func (Registered) event() {}
func (Removed) event()    {}
func (Unreadable) event() {}

// Set is an immutable view of the replicas that accept requests, by service.
type Set struct {
	Version  uint64 // of the registry
	services map[string][]Replica
}

// ForService returns the replicas of a service that accept requests, ordered by
// ID.
func (s *Set) ForService(service string) []Replica {
	if s == nil {
		return nil
	}
	return s.services[service]
}

// ServiceCount returns the number of services with a replica that accepts
// requests.
func (s *Set) ServiceCount() int {
	if s == nil {
		return 0
	}
	return len(s.services)
}

// Directory tracks the registered replicas. It is not safe for concurrent use;
// readers use a Snapshot.
type Directory struct {
	gracePeriod time.Duration
	version     uint64
	entries     map[string]Replica
	missing     map[string]time.Time // removed entries that are kept until then
	era         uint64
	departures  map[Incarnation]departure
	unconfirmed map[string]time.Time // entries of a copy that were removed before; not used until then
	silence     time.Duration
}

// departure is how a replica has left: it drains, or its entry was removed.
type departure struct {
	removed bool
	era     uint64
	at      time.Time
}

const (
	// departureTTL exceeds the age of the copies from which a registry is restored.
	departureTTL  = 2 * time.Minute
	maxDepartures = 4096
)

// Option changes a default of New.
type Option func(*Directory)

// WithSilence sets the time after which the registry removes the entry of a replica
// that sends nothing.
func WithSilence(d time.Duration) Option { return func(dir *Directory) { dir.silence = d } }

// massRemovalShare is the share of a service's entries whose removal at once is
// treated as a failure of the registry.
const massRemovalShare = 0.5

// New returns an empty directory. The grace period is how long a live replica
// takes to register again after an outage of the registry.
func New(gracePeriod time.Duration, opts ...Option) *Directory {
	d := &Directory{gracePeriod: gracePeriod, entries: make(map[string]Replica), missing: make(map[string]time.Time),
		departures: make(map[Incarnation]departure), unconfirmed: make(map[string]time.Time), silence: 5 * time.Second}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// ReplaceRestored applies the first complete listing of a registry that was restored
// from a copy. Ready entries that it lacks are kept for the grace period, in which
// the replicas register again.
func (d *Directory) ReplaceRestored(events []Event, version uint64, now time.Time) {
	d.expire(now)
	d.era++
	d.version = version
	listed := make(map[string]bool, len(events))
	clear(d.unconfirmed)
	for _, e := range events {
		if u, ok := e.(Unreadable); ok {
			d.drop(u.ID)
		}
		r, ok := e.(Registered)
		if !ok {
			continue
		}
		id := r.Replica.ID
		listed[id] = true
		if left, ok := d.departures[r.Replica.Incarnation()]; ok && left.removed {
			d.unconfirmed[id] = now.Add(d.silence)
		}
		d.register(r.Replica, now)
	}
	for id, r := range d.entries {
		switch _, missing := d.missing[id]; {
		case listed[id] || missing:
		case r.State == Ready:
			d.missing[id] = now.Add(d.gracePeriod)
		default:
			d.remove(id, now)
		}
	}
}

// register adds or changes an entry. A replica that was draining in an earlier era
// of the registry still is.
func (d *Directory) register(r Replica, now time.Time) {
	incarnation := r.Incarnation()
	left, known := d.departures[incarnation]
	drained := known && !left.removed
	if drained && left.era < d.era && r.Started.UnixMilli() > 0 {
		r.State = Draining
	} else if r.State == Draining && !drained {
		d.noteDeparture(incarnation, false, now)
	}
	d.entries[r.ID] = r
	delete(d.missing, r.ID)
}

func (d *Directory) remove(id string, now time.Time) {
	if r, ok := d.entries[id]; ok {
		d.noteDeparture(r.Incarnation(), true, now)
	}
	d.drop(id)
}

// drop ends the use of an entry.
func (d *Directory) drop(id string) {
	delete(d.entries, id)
	delete(d.missing, id)
	delete(d.unconfirmed, id)
}

func (d *Directory) noteDeparture(i Incarnation, removed bool, now time.Time) {
	maps.DeleteFunc(d.departures, func(_ Incarnation, left departure) bool { return now.Sub(left.at) > departureTTL })
	if _, ok := d.departures[i]; ok || len(d.departures) < maxDepartures {
		d.departures[i] = departure{removed: removed, era: d.era, at: now}
	}
}

// Replace applies a complete listing: entries that it lacks count as removed.
func (d *Directory) Replace(events []Event, version uint64, now time.Time) {
	listed := make(map[string]bool, len(events))
	for _, e := range events {
		if r, ok := e.(Registered); ok {
			listed[r.Replica.ID] = true
		}
	}
	for id := range d.entries {
		if !listed[id] {
			events = append(events, Removed{ID: id})
		}
	}
	d.Apply(events, version, now)
}

// Apply applies changes in order.
func (d *Directory) Apply(events []Event, version uint64, now time.Time) {
	d.version = version
	readyBefore := d.readyCountByService()
	var removed []Replica
	for _, e := range events {
		switch e := e.(type) {
		case Registered:
			d.register(e.Replica, now)
			delete(d.unconfirmed, e.Replica.ID)
			removed = slices.DeleteFunc(removed, func(r Replica) bool { return r.ID == e.Replica.ID })
		case Removed:
			if r, ok := d.entries[e.ID]; ok {
				removed = append(removed, r)
			}
		case Unreadable:
			d.drop(e.ID)
		}
	}
	readyRemoved := make(map[string]int)
	for _, r := range removed {
		if r.State == Ready {
			readyRemoved[r.Service]++
		}
	}
	for _, r := range removed {
		if n := readyRemoved[r.Service]; r.State == Ready && n > 1 && float64(n) >= massRemovalShare*float64(readyBefore[r.Service]) {
			if _, ok := d.missing[r.ID]; !ok {
				d.missing[r.ID] = now.Add(d.gracePeriod)
			}
			continue
		}
		d.remove(r.ID, now)
	}
	d.expire(now)
}

func (d *Directory) readyCountByService() map[string]int {
	count := make(map[string]int)
	for _, r := range d.entries {
		if r.State == Ready {
			count[r.Service]++
		}
	}
	return count
}

func (d *Directory) expire(now time.Time) {
	for id, until := range d.missing {
		if !now.Before(until) {
			d.remove(id, now)
		}
	}
	maps.DeleteFunc(d.unconfirmed, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// NextExpiry returns when the next missing entry is removed or the next unconfirmed
// one is used.
func (d *Directory) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, waiting := range []map[string]time.Time{d.missing, d.unconfirmed} {
		for _, until := range waiting {
			if next.IsZero() || until.Before(next) {
				next = until
			}
		}
	}
	return next, !next.IsZero()
}

// MissingCount returns the number of removed entries that are still kept.
func (d *Directory) MissingCount() int { return len(d.missing) }

// UnconfirmedCount returns the number of entries of a copy that are not used yet.
func (d *Directory) UnconfirmedCount() int { return len(d.unconfirmed) }

// Snapshot returns the replicas that accept requests at the given time.
func (d *Directory) Snapshot(now time.Time) *Set {
	d.expire(now)
	s := &Set{Version: d.version, services: make(map[string][]Replica)}
	for id, r := range d.entries {
		if _, unconfirmed := d.unconfirmed[id]; r.State == Ready && !unconfirmed {
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
