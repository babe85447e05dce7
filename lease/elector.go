package lease

import (
	"fmt"
	"time"

	"briarreach/table"
)

const (
	defaultDuration = 10 * time.Second
	// defaultMargin tolerates clock rates that deviate by up to 5 % in both
	// directions; beyond that two processes may both hold the lease by their own
	// clocks.
	defaultMargin       = 0.1
	renewalsPerDuration = 3
)

// Action is the next step that the caller of Decide must perform. It is one of
// the types below.
type Action interface{ action() }

type (
	// Acquire asks for a write that makes this process the holder. On success
	// ObserveCommit must be called; on any failure, a read and Observe.
	Acquire struct {
		Write         table.Write
		FencingNumber uint64
	}
	// Renew asks for a write that keeps the lease; its result is handled as for
	// Acquire.
	Renew struct{ Write table.Write }
	// Wait asks for a read, Observe and Decide after a delay.
	Wait struct{ Delay time.Duration }
	// Lost asks the caller to stop the work under the lease, which is no longer
	// held. It is returned once per loss; Decide must then be called again.
	Lost struct{ FencingNumber uint64 }
)

func (Acquire) action() {}
func (Renew) action()   {}
func (Wait) action()    {}
func (Lost) action()    {}

// Elector decides for one process when to acquire and renew a lease, and
// whether it is held. All times are read from the process's own clock and must
// include the monotonic reading, so that a change of the wall clock has no
// effect. It is not safe for concurrent use.
type Elector struct {
	name        string
	holder      string
	duration    time.Duration
	validity    time.Duration // how long the holder relies on a renewal
	row         *Row          // nil if the row doesn't exist
	version     uint64
	rowKnown    bool      // a read has returned
	versionSeen time.Time // when the version was first read

	held       bool
	lostNumber uint64    // fencing number to report as lost, 0 if none
	renewedAt  time.Time // start of the last successful write
	pending    pendingWrite
}

// pendingWrite is a write whose result has not been observed.
type pendingWrite struct {
	expectedVersion uint64
	startedAt       time.Time
	row             *Row
}

type options struct {
	duration time.Duration
	margin   float64
}

// Option configures an Elector.
type Option func(*options)

// WithDuration sets the lease duration, which must be the same for all
// processes that use the lease.
func WithDuration(d time.Duration) Option { return func(o *options) { o.duration = d } }

// WithMargin sets the fraction of the lease duration by which a holder stops
// relying on the lease before others may acquire it.
func WithMargin(fraction float64) Option { return func(o *options) { o.margin = fraction } }

// New returns the elector of a lease. The holder identifies one start of a
// process.
func New(name, holder string, opts ...Option) *Elector {
	o := options{duration: defaultDuration, margin: defaultMargin}
	for _, opt := range opts {
		opt(&o)
	}
	return &Elector{name: name, holder: holder, duration: o.duration, validity: time.Duration(float64(o.duration) * (1 - o.margin))}
}

// Key returns the key of the lease's row.
func (e *Elector) Key() table.Key { return Key(e.name) }

// Observe records the result of a strongly consistent read. If the row doesn't
// exist, row is nil and version is 0. now is the time after the read.
func (e *Elector) Observe(now time.Time, row *Row, version uint64) {
	if e.rowKnown && version < e.version {
		return // out of order
	}
	if !e.rowKnown || version != e.version {
		e.versionSeen = now
	}
	own := row != nil && row.Holder == e.holder
	if own && e.pending.row != nil && version == e.pending.expectedVersion+1 {
		e.renewedAt, e.held = e.pending.startedAt, true
	}
	if version > e.pending.expectedVersion {
		e.pending = pendingWrite{}
	}
	if !own {
		e.recordLoss()
	}
	e.row, e.version, e.rowKnown = row, version, true
}

// ObserveCommit records that the write of the last action succeeded.
func (e *Elector) ObserveCommit(now time.Time) {
	if e.pending.row != nil {
		e.Observe(now, e.pending.row, e.pending.expectedVersion+1)
	}
}

func (e *Elector) recordLoss() {
	if e.held {
		e.held, e.lostNumber = false, e.row.FencingNumber
	}
}

// Decide returns the next action. It may be called without a new read, for
// example while the table doesn't answer.
func (e *Elector) Decide(now time.Time) Action {
	if e.held && !e.Held(now) {
		e.recordLoss()
	}
	if number := e.lostNumber; number != 0 {
		e.lostNumber = 0
		return Lost{FencingNumber: number}
	}
	switch {
	case !e.rowKnown:
		return Wait{}
	case e.row == nil:
		return e.acquire(now, 1)
	case e.row.Holder == e.holder:
		due := e.renewedAt.Add(e.duration / renewalsPerDuration)
		if e.held && now.Before(due) {
			return Wait{Delay: due.Sub(now)}
		}
		// Also after the lease has expired, if no other process has acquired it.
		return Renew{Write: e.write(now, e.row.FencingNumber)}
	case e.row.Holder == "" || now.Sub(e.versionSeen) >= e.duration:
		return e.acquire(now, e.row.FencingNumber+1)
	default:
		return Wait{Delay: min(e.versionSeen.Add(e.duration).Sub(now), e.duration/renewalsPerDuration)}
	}
}

func (e *Elector) acquire(now time.Time, number uint64) Action {
	return Acquire{Write: e.write(now, number), FencingNumber: number}
}

func (e *Elector) write(now time.Time, number uint64) table.Write {
	startedAt := now
	if e.pending.row != nil && e.pending.expectedVersion == e.version {
		// An earlier write with the same expected version may be the one that took
		// effect.
		startedAt = e.pending.startedAt
	}
	row := &Row{Holder: e.holder, FencingNumber: number, Expires: now.Add(e.duration).UTC().Round(0)}
	e.pending = pendingWrite{expectedVersion: e.version, startedAt: startedAt, row: row}
	return e.conditionalWrite(row)
}

func (e *Elector) conditionalWrite(row *Row) table.Write {
	value, err := row.Encode()
	if err != nil {
		panic(fmt.Sprintf("lease expiry is out of range: %v", err))
	}
	var expect table.Precondition = table.Absent{}
	if e.version > 0 {
		expect = table.Exactly{Version: e.version}
	}
	return table.Write{Key: e.Key(), Expect: expect, Value: value}
}

// Release returns the write that releases the lease, and whether it was held.
// Afterwards the lease is not held, even if the write fails.
func (e *Elector) Release(now time.Time) (table.Write, bool) {
	if !e.Held(now) {
		return table.Write{}, false
	}
	e.held, e.pending = false, pendingWrite{}
	return e.conditionalWrite(&Row{FencingNumber: e.row.FencingNumber, Expires: now.UTC().Round(0)}), true
}

// Held reports whether the lease is held by the process's own clock: the last
// successful renewal started less than the lease duration minus the margin ago.
// Writes under the lease must still contain Check.
func (e *Elector) Held(now time.Time) bool {
	return e.held && now.Sub(e.renewedAt) < e.validity
}

// FencingNumber returns the fencing number of the lease, 0 if it is not held.
func (e *Elector) FencingNumber(now time.Time) uint64 {
	if !e.Held(now) {
		return 0
	}
	return e.row.FencingNumber
}

// Check returns the check that each transaction written under the lease must
// contain, and whether the lease is held. A renewal changes the row's version:
// a transaction that conflicts on the lease's row may be retried with a new
// Check while the lease is held.
func (e *Elector) Check(now time.Time) (table.Check, bool) {
	if !e.Held(now) {
		return table.Check{}, false
	}
	return table.Check{Key: e.Key(), Expect: table.Exactly{Version: e.version}}, true
}
