package lease

import (
	"fmt"
	"time"

	"briarreach/table"
)

const (
	defaultTime = 10 * time.Second
	// defaultMargin allows clock rates to deviate by up to 5 % in both
	// directions before two observers hold a lease by their own clocks.
	defaultMargin = 0.1
	renewals      = 3 // per lease time
)

// Action is what to do next. It is one of the types below.
type Action interface{ action() }

type (
	// Acquire asks for a write that makes this observer the holder. Afterwards
	// Committed or, after any failure, a read and Observe are due.
	Acquire struct {
		Write         table.Write
		FencingNumber uint64
	}
	// Renew asks for a write that keeps the lease, as Take does.
	Renew struct{ Write table.Write }
	// Wait asks for a read, Observe and Decide after a time.
	Wait struct{ Delay time.Duration }
	// Lost says that the lease with the number is no longer held. It is given
	// once for each loss.
	Lost struct{ FencingNumber uint64 }
)

func (Acquire) action() {}
func (Renew) action()   {}
func (Wait) action()    {}
func (Lost) action()    {}

// Elector is one process's view of a lease. All times are of the process's
// own clock and must carry its monotonic reading, so that a change of the wall
// clock has no effect. It is not safe for concurrent use.
type Elector struct {
	name    string
	holder  string
	time    time.Duration
	valid   time.Duration // how long the holder relies on a renewal
	row     *Row          // nil if the row doesn't exist
	version uint64
	read    bool
	seen    time.Time // when the version was read first

	held    bool
	lost    uint64 // number to report as lost, 0 if none
	since   time.Time
	pending pending
}

// pending is a write whose result has not been observed.
type pending struct {
	version uint64 // that the write expects
	began   time.Time
	row     *Row
}

type options struct {
	time   time.Duration
	margin float64
}

// Option configures an Observer.
type Option func(*options)

// WithDuration sets the lease time, the same for all observers of a lease.
func WithDuration(d time.Duration) Option { return func(o *options) { o.time = d } }

// WithMargin sets the share of the lease time by which a holder stops relying
// on the lease earlier than the others may take it.
func WithMargin(share float64) Option { return func(o *options) { o.margin = share } }

// New returns the observer of a lease for a holder, which names one start of a
// process.
func New(name, holder string, opts ...Option) *Elector {
	o := options{time: defaultTime, margin: defaultMargin}
	for _, opt := range opts {
		opt(&o)
	}
	return &Elector{name: name, holder: holder, time: o.time, valid: time.Duration(float64(o.time) * (1 - o.margin))}
}

// Key returns the key of the lease's row.
func (o *Elector) Key() table.Key { return Key(o.name) }

// Observe takes the row as a strongly consistent read returned it; row is nil
// and version 0 if it doesn't exist. now is the time after the read.
func (o *Elector) Observe(now time.Time, row *Row, version uint64) {
	if o.read && version < o.version {
		return // an older read that arrived late
	}
	if !o.read || version != o.version {
		o.seen = now
	}
	own := row != nil && row.Holder == o.holder
	if own && o.pending.row != nil && version == o.pending.version+1 {
		o.since, o.held = o.pending.began, true
	}
	if version > o.pending.version {
		o.pending = pending{}
	}
	if !own {
		o.lose()
	}
	o.row, o.version, o.read = row, version, true
}

// ObserveCommit takes the success of the write of the last action.
func (o *Elector) ObserveCommit(now time.Time) {
	if o.pending.row != nil {
		o.Observe(now, o.pending.row, o.pending.version+1)
	}
}

func (o *Elector) lose() {
	if o.held {
		o.held, o.lost = false, o.row.FencingNumber
	}
}

// Decide returns the next action. It may be called without a new read, for
// example while the table doesn't answer.
func (o *Elector) Decide(now time.Time) Action {
	if o.held && !o.Held(now) {
		o.lose()
	}
	if number := o.lost; number != 0 {
		o.lost = 0
		return Lost{FencingNumber: number}
	}
	switch {
	case !o.read:
		return Wait{}
	case o.row == nil:
		return o.take(now, 1)
	case o.row.Holder == o.holder:
		due := o.since.Add(o.time / renewals)
		if o.held && now.Before(due) {
			return Wait{Delay: due.Sub(now)}
		}
		// Also after a loss by time: nobody has taken the lease since.
		return Renew{Write: o.write(now, o.row.FencingNumber)}
	case o.row.Holder == "" || now.Sub(o.seen) >= o.time:
		return o.take(now, o.row.FencingNumber+1)
	default:
		return Wait{Delay: min(o.seen.Add(o.time).Sub(now), o.time/renewals)}
	}
}

func (o *Elector) take(now time.Time, number uint64) Action {
	return Acquire{Write: o.write(now, number), FencingNumber: number}
}

func (o *Elector) write(now time.Time, number uint64) table.Write {
	began := now
	if o.pending.row != nil && o.pending.version == o.version {
		// An earlier write that expects the same version may be the one that
		// takes effect.
		began = o.pending.began
	}
	row := &Row{Holder: o.holder, FencingNumber: number, Expires: now.Add(o.time).UTC().Round(0)}
	o.pending = pending{version: o.version, began: began, row: row}
	return o.writeOf(row)
}

func (o *Elector) writeOf(row *Row) table.Write {
	value, err := row.Encode()
	if err != nil {
		panic(fmt.Sprintf("time of the process out of range: %v", err))
	}
	var expect table.Expect = table.Absent{}
	if o.version > 0 {
		expect = table.Exactly{Version: o.version}
	}
	return table.Write{Key: o.Key(), Expect: expect, Value: value}
}

// Release returns the write that gives the lease up, and whether it is held.
// The lease is not held any more, whether the write succeeds or not.
func (o *Elector) Release(now time.Time) (table.Write, bool) {
	if !o.Held(now) {
		return table.Write{}, false
	}
	o.held, o.pending = false, pending{}
	return o.writeOf(&Row{FencingNumber: o.row.FencingNumber, Expires: now.UTC().Round(0)}), true
}

// Held reports whether the lease is held by the process's own clock: its last
// renewal began less than the lease time minus the margin ago. Writes under
// the lease must still carry Check.
func (o *Elector) Held(now time.Time) bool {
	return o.held && now.Sub(o.since) < o.valid
}

// FencingNumber returns the fencing number of the lease that is held, 0 if none is.
func (o *Elector) FencingNumber(now time.Time) uint64 {
	if !o.Held(now) {
		return 0
	}
	return o.row.FencingNumber
}

// Check returns the check that each transaction written under the lease must
// contain, and whether the lease is held. A renewal changes the version: a
// transaction that conflicts on the lease's row may be sent again with a new
// Check while the lease is held.
func (o *Elector) Check(now time.Time) (table.Check, bool) {
	if !o.Held(now) {
		return table.Check{}, false
	}
	return table.Check{Key: o.Key(), Expect: table.Exactly{Version: o.version}}, true
}
