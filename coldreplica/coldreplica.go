// Package coldreplica decides which replicas are cold, and how the gateways of a fleet
// divide the requests that a cold replica takes.
//
// Load pattern: a replica starts during traffic, or a whole failure domain returns. An
// idle replica is the best choice for every request of every gateway, but a cold one
// crashes well above a few requests per second. The spec "a cold replica" in
// replicalimit replays it.
//
// Failure: registry entries are read late, and may be of a copy from which the registry
// was restored. What an entry says counts from when it was read, so that a replica is
// cold for too long rather than too short; an entry of a copy ends nothing. A replica
// that was warm gets nothing for a second, as it has had requests as a warm one until its
// entry was read.
package coldreplica

import (
	"time"

	"briarreach/replica"
)

// Bound is the platform's bound of the requests at a cold replica in any second, from all
// gateways together: Overshoot times what the replica takes per second, and Slack.
type Bound struct {
	Overshoot float64
	Slack     float64
}

// PerSecond returns the requests per second that all gateways together send to a replica
// that takes so many.
func (b Bound) PerSecond(takes float64) float64 { return max(min(takes, b.most(takes)), 0) }

// Sharers returns the number of gateways that share a rate. Each may have saved up a
// request, and together these fill half of what the bound leaves beside the rate. The
// other half is for requests that are slow to arrive, and for gateways that do not agree
// on who shares.
func (b Bound) Sharers(perSecond float64) int {
	return max(int((b.most(perSecond)-perSecond)/2), 1)
}

func (b Bound) most(perSecond float64) float64 { return perSecond*b.Overshoot + b.Slack }

// Period is the time in which a replica is cold. It gets nothing before From.
type Period struct{ From, Until time.Time }

const (
	// settleTime is the time after which no request that was sent to a replica while it
	// counted as warm is in the same second as one that is sent later.
	settleTime = time.Second
	// startTime is the time in which the replicas of a service register that had none.
	// They start before its traffic.
	startTime = 2 * time.Second
	// maxEntries bounds the replicas that are remembered, those that have left included.
	maxEntries = 8192
)

// entry is what is known of one start of a replica.
type entry struct {
	sequence    int64
	stated      time.Duration // that the replica is still cold
	seenAt      time.Time     // when the entry was read last
	firstAt     time.Time
	unconfirmed bool // whether it came during traffic and has not been written again since
	cold        Period
}

// Tracker knows which replicas are cold by their registry entries. It is not safe for
// concurrent use.
type Tracker struct {
	listed   bool                 // whether the registry was read
	services map[string]time.Time // when the first replica came, unless it was there at the start
	entries  map[replica.Incarnation]*entry
}

// New returns a tracker that has not seen any replica.
func New() *Tracker {
	return &Tracker{services: make(map[string]time.Time), entries: make(map[replica.Incarnation]*entry)}
}

// Apply applies events of the registry. Complete says that they are all of its entries,
// and restored that these are those of a copy.
func (t *Tracker) Apply(events []replica.Event, complete, restored bool, now time.Time) {
	for _, e := range events {
		if registered, ok := e.(replica.Registered); ok {
			t.register(registered.Replica, complete, restored, now)
		}
	}
	t.listed = t.listed || complete
	for len(t.entries) > maxEntries {
		t.dropOldest()
	}
}

func (t *Tracker) register(r replica.Replica, complete, restored bool, now time.Time) {
	since, known := t.services[r.Service]
	if !known {
		if t.listed {
			since = now
		}
		t.services[r.Service] = since
	}
	e := t.entries[r.Incarnation()]
	if e == nil {
		duringTraffic := t.listed && now.Sub(since) >= startTime
		e = &entry{firstAt: now, unconfirmed: duringTraffic && r.WarmupTime <= 0}
		t.entries[r.Incarnation()] = e
	} else {
		e.seenAt = now
		if complete && e.sequence == r.Sequence && e.stated == r.WarmupTime {
			return // the entry was not written again
		}
		e.unconfirmed = e.unconfirmed && restored
	}
	e.seenAt, e.sequence, e.stated = now, r.Sequence, r.WarmupTime
	until := now.Add(r.WarmupTime)
	if restored {
		until = later(until, e.cold.Until)
	}
	if wasWarm := !now.Before(e.cold.Until); wasWarm && r.WarmupTime > 0 {
		e.cold.From = time.Time{}
		if e.firstAt != now {
			e.cold.From = now.Add(settleTime)
		}
	}
	e.cold.Until = until
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Cold returns the period in which a replica is cold, unless it is warm. A replica that
// came during traffic is cold for coldStart, until its entry is written again.
func (t *Tracker) Cold(r replica.Replica, coldStart time.Duration, now time.Time) (Period, bool) {
	e := t.entries[r.Incarnation()]
	if e == nil {
		return Period{}, false
	}
	cold := e.cold
	if e.unconfirmed {
		cold.Until = later(cold.Until, e.firstAt.Add(coldStart))
	}
	return cold, now.Before(cold.Until)
}

// dropOldest forgets the replica whose entry has not been read for the longest time.
func (t *Tracker) dropOldest() {
	var oldest replica.Incarnation
	var at time.Time
	for i, e := range t.entries {
		if at.IsZero() || e.seenAt.Before(at) {
			oldest, at = i, e.seenAt
		}
	}
	delete(t.entries, oldest)
}
