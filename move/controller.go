package move

import (
	"maps"
	"math"
	"slices"
	"time"

	"briarreach/config"
)

// Action is what the controller writes to the configuration. It is one of
// SetShare, Finish and RollBack.
type Action interface{ action() }

type (
	// SetShare sets the share of the new version in parts per million.
	SetShare struct {
		SharePPM int64
		Evidence Evidence
	}
	// Finish makes the new version the current one.
	Finish struct{ Evidence Evidence }
	// RollBack gives all traffic back to the old version.
	RollBack struct{ Evidence Evidence }
)

func (SetShare) action() {}
func (Finish) action()   {}
func (RollBack) action() {}

const (
	// controllerAlpha is the probability that the controller takes back a
	// version that is as good as the old one.
	controllerAlpha = 0.005
	// holdAlpha is the probability that it stops raising the share of such a
	// version for a time.
	holdAlpha = 0.2
	// testedRequests is the number of requests to the new version after which
	// a route counts as tested.
	testedRequests = 60
	// holdLatest is the part of the duration after which suspicion holds the
	// share no more.
	holdLatest = 0.97
	// settleTime is the time after a change of the share for which digests hold
	// requests under both shares: entries learn of it within a second or two
	// and send a digest every 2 s.
	settleTime = 5 * time.Second
	// maxEntries bounds the guards whose sums the controller keeps.
	maxEntries = 1024
)

// Controller decides the share and the outcome of one move from the digests
// of all guards. It keeps no state that the document and the guards do not
// have: a new controller continues from both. It is not safe for concurrent
// use.
type Controller struct {
	move    config.Move
	plan    Plan
	alpha   float64
	cells   map[cellKey]*fleetCell
	entries map[string]*entryState
	stop    *Evidence // of a guard

	changed time.Time     // when the share was last seen to change
	decided time.Time     // time of the last Decide
	added   time.Time     // when the tests were last brought up to date
	held    time.Duration // time for which suspicion held the share
}

// fleetCell sums a cell over all guards. Failures are compared in windows of
// the whole fleet: at a few requests a minute, the windows of one entry seldom
// hold both versions. Latencies are compared by the guards.
type fleetCell struct {
	old, new RequestCounts
	window   fleetWindow
	pending  [metrics]ratios // digests since the tests were brought up to date
	tests    [metrics]test
}

type fleetWindow struct {
	opened   time.Time
	old, new RequestCounts
}

type entryState struct {
	start  string
	number uint64
	cells  map[cellKey]Cell
}

// Option changes a Controller.
type Option func(*Controller)

// WithFalseRollBackProbability sets the probability that the controller takes back a
// version that is as good as the old one. The default is 0.005.
func WithFalseRollBackProbability(alpha float64) Option {
	return func(c *Controller) { c.alpha = alpha }
}

// New returns the controller of a running move at its state in the document.
func New(m config.Move, opts ...Option) *Controller {
	c := &Controller{move: m, alpha: controllerAlpha, cells: map[cellKey]*fleetCell{}, entries: map[string]*entryState{}}
	c.plan = Plan{Started: m.Started, Deadline: m.Deadline}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Update takes the move's state from a newer document.
func (c *Controller) Update(m config.Move, now time.Time) {
	if m.SharePPM != c.move.SharePPM {
		c.changed = now
		for _, cell := range c.cells {
			for i, r := range cell.close(now, 0) {
				cell.pending[Failures][i] += r
			}
			cell.window = fleetWindow{opened: now}
		}
	}
	c.move = m
	c.plan = Plan{Started: m.Started, Deadline: m.Deadline}
}

// Observe adds the digest of a guard. Digests that arrive out of order, of an
// earlier start of the guard or of another move are ignored. Starts are ULIDs,
// which sort by time.
func (c *Controller) Observe(o Digest, now time.Time) {
	if o.Move != c.move.Name {
		return
	}
	if o.Stopped && o.StopEvidence != nil && c.stop == nil {
		c.stop = o.StopEvidence
	}
	entry := c.entries[o.Entry]
	if entry != nil && o.Incarnation < entry.start {
		return // an earlier start of the guard
	}
	known := entry != nil && entry.start == o.Incarnation
	if !known {
		if entry == nil && len(c.entries) >= maxEntries {
			return
		}
		entry = &entryState{start: o.Incarnation, cells: map[cellKey]Cell{}}
		c.entries[o.Entry] = entry
	}
	if o.Sequence <= entry.number {
		return
	}
	entry.number = o.Sequence
	for _, cell := range o.Cells {
		if !cell.finite() {
			continue // would disable the test of the cell
		}
		key := cellKey{cell.Route, cell.LoadLevel}
		if fleet := c.cell(key, now); fleet != nil {
			// Digests that mix two shares would bias the fleet's windows.
			mixed := now.Sub(c.changed) < settleTime && c.move.SharePPM > 0
			fleet.add(cell, entry.cells[key], known, mixed)
			entry.cells[key] = cell
		}
	}
}

func (c *Controller) cell(key cellKey, now time.Time) *fleetCell {
	cell := c.cells[key]
	if cell == nil && len(c.cells) < maxCells {
		cell = &fleetCell{window: fleetWindow{opened: now}}
		for m := range cell.tests {
			cell.tests[m] = newTest(now)
		}
		c.cells[key] = cell
	}
	return cell
}

// add adds the difference between two digests of one guard. The first digest
// that the controller gets from a guard may cover many shares; its failures
// count as the guard has compared them.
func (f *fleetCell) add(now, before Cell, known, mixed bool) {
	oldCounts, newCounts := now.Old.sub(before.Old), now.New.sub(before.New)
	f.old.add(oldCounts)
	f.new.add(newCounts)
	if known && !mixed {
		f.window.old.add(oldCounts)
		f.window.new.add(newCounts)
	}
	for m := range f.pending {
		if known && Metric(m) == Failures {
			continue
		}
		for i := range f.pending[m] {
			if i >= len(now.LogRatios[m]) {
				continue // a guard of another release
			}
			difference := float64(now.LogRatios[m][i])
			if i < len(before.LogRatios[m]) {
				difference -= float64(before.LogRatios[m][i])
			}
			f.pending[m][i] += difference
		}
	}
}

func (c Cell) finite() bool {
	for _, r := range c.LogRatios {
		for _, v := range r {
			if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
				return false
			}
		}
	}
	return true
}

// close returns the ratios of the failures if the window is complete.
func (f *fleetCell) close(now time.Time, duration time.Duration) ratios {
	w := f.window
	if !complete(now.Sub(w.opened), duration, w.old.Requests+w.new.Requests, w.old.Failed+w.new.Failed) {
		return ratios{}
	}
	f.window = fleetWindow{opened: now}
	return logRatios(int(w.new.Failed), int(w.new.Requests), int(w.old.Failed), int(w.old.Requests))
}

// update brings the tests up to date, once a second.
func (c *Controller) update(now time.Time) {
	if now.Sub(c.added) < time.Second {
		return
	}
	c.added = now
	for _, cell := range c.cells {
		for i, r := range cell.close(now, c.plan.Duration()) {
			cell.pending[Failures][i] += r
		}
		for m := range cell.tests {
			cell.tests[m].add(cell.pending[m].capped(), now, c.plan.Duration())
			cell.pending[m] = ratios{}
		}
	}
}

// Decide returns the action that is due, or none. An action is returned again
// until Update shows its effect.
func (c *Controller) Decide(now time.Time) []Action {
	if c.move.State != config.MoveRunning {
		return nil
	}
	if c.changed.IsZero() {
		c.changed = now
	}
	elapsed := time.Duration(0)
	if !c.decided.IsZero() {
		elapsed = max(0, now.Sub(c.decided))
	}
	c.decided = now
	c.update(now)
	evidence := c.Evidence()
	if c.stop != nil {
		return []Action{RollBack{Evidence: *c.stop}}
	}
	if evidence.LogRatio > evidence.LogLimit {
		return []Action{RollBack{Evidence: evidence}}
	}
	if now.Sub(c.changed) < c.plan.MinStepInterval() && c.move.SharePPM > 0 {
		return nil
	}
	// Suspicion holds the share, but not for so long that a good version with a
	// sparse route would miss its deadline.
	if evidence.LogRatio > limit(holdAlpha, len(c.cells)) && c.held < c.plan.Duration()/10 && c.plan.fraction(now) < holdLatest {
		c.held += elapsed
		return nil
	}
	tested := c.tested()
	if c.move.SharePPM >= config.FullSharePPM-heldBack {
		if c.plan.FinishDue(now, tested) {
			return []Action{Finish{Evidence: evidence}}
		}
		return nil
	}
	if share := c.next(c.plan.SharePPM(now, tested)); share > c.move.SharePPM {
		return []Action{SetShare{SharePPM: share, Evidence: evidence}}
	}
	return nil
}

// next bounds a step to the share of the plan's next step, also if the
// controller is late.
func (c *Controller) next(planned int64) int64 {
	for _, s := range steps {
		if s.share > c.move.SharePPM {
			return min(s.share, planned)
		}
	}
	return planned
}

// tested reports whether every route was tested.
func (c *Controller) tested() bool {
	if len(c.cells) == 0 {
		return false
	}
	requests := map[string]int64{}
	for key, cell := range c.cells {
		requests[key.route] += cell.new.Requests
	}
	for _, n := range requests {
		if n < testedRequests {
			return false
		}
	}
	return true
}

// Evidence returns the comparison that speaks most against the new version.
func (c *Controller) Evidence() Evidence {
	e := Evidence{Move: c.move.Name, From: c.move.From, To: c.move.To, LoadLevel: AnyLoadLevel, LogRatio: math.Inf(-1), LogLimit: limit(c.alpha, len(c.cells))}
	for _, key := range slices.SortedFunc(maps.Keys(c.cells), cellKey.compare) {
		cell := c.cells[key]
		for m := range cell.tests {
			if value := cell.tests[m].value(); value > e.LogRatio {
				e.Route, e.LoadLevel, e.Metric, e.LogRatio, e.Old, e.New = key.route, key.level, Metric(m), value, cell.old, cell.new
			}
		}
	}
	if math.IsInf(e.LogRatio, -1) {
		e.LogRatio = 0 // no request yet
	}
	return e
}
