package move

import (
	"maps"
	"math"
	"slices"
	"time"

	"briarreach/config"
)

// Action is a change that the controller makes to the configuration. It is one
// of SetShare, Finish and RollBack.
type Action interface{ action() }

type (
	// SetShare sets the share of the new version in parts per million.
	SetShare struct {
		SharePPM int64
		Evidence Evidence
	}
	// Finish makes the new version the current one.
	Finish struct{ Evidence Evidence }
	// RollBack returns all traffic to the old version.
	RollBack struct{ Evidence Evidence }
)

func (SetShare) action() {}
func (Finish) action()   {}
func (RollBack) action() {}

const (
	// controllerAlpha is the probability that the controller rolls back a version
	// that is as good as the old one.
	controllerAlpha = 0.005
	// pauseAlpha is the probability that it pauses the rollout of such a version.
	pauseAlpha = 0.2
	// minTestedRequests is the number of requests to the new version, summed over
	// the cells of a route, from which it counts as tested. Each request counts
	// twice, in the cell of its load level and in the pooled cell, so 30 requests
	// are enough.
	minTestedRequests = 60
	// pauseLatest is the fraction of the duration after which weak evidence no
	// longer pauses the rollout.
	pauseLatest = 0.97
	// settleTime is the time after a change of the share during which digests mix
	// requests under both shares: entries learn of the change within a second or
	// two and send a digest every 2 s.
	settleTime = 5 * time.Second
	// maxEntries bounds the number of guards whose sums the controller keeps.
	maxEntries = 1024
)

// Controller decides the share and the outcome of one move from the digests of
// all guards. All its state can be restored from the document and the guards,
// so a new controller continues where the last one stopped. It is not safe for
// concurrent use.
type Controller struct {
	move         config.Move
	plan         Plan
	alpha        float64
	cells        map[cellKey]*fleetCell
	entries      map[string]*entryState
	stopEvidence *Evidence // of a guard that stopped the new version

	shareChangedAt time.Time // when the last change of the share was observed
	decidedAt      time.Time // time of the last Decide
	testsUpdatedAt time.Time
	pausedFor      time.Duration // total time for which weak evidence paused the rollout
}

// fleetCell is the sum of a cell over all guards. Failures are compared in
// windows of the whole fleet: at a few requests per minute, the windows of one
// entry seldom contain both versions. Latencies are compared by the guards.
type fleetCell struct {
	old, new         RequestCounts
	window           fleetWindow
	pendingLogRatios [metricCount]logRatioVector // from digests since the last update of the tests
	tests            [metricCount]sequentialTest
}

type fleetWindow struct {
	openedAt time.Time
	old, new RequestCounts
}

type entryState struct {
	incarnation string
	sequence    uint64 // of the last digest
	cells       map[cellKey]Cell
}

// Option configures a Controller.
type Option func(*Controller)

// WithFalseRollBackProbability sets the probability that the controller rolls
// back a version that is as good as the old one. The default is 0.005.
func WithFalseRollBackProbability(alpha float64) Option {
	return func(c *Controller) { c.alpha = alpha }
}

// New returns the controller of a running move, starting from its state in the
// document.
func New(m config.Move, opts ...Option) *Controller {
	c := &Controller{move: m, alpha: controllerAlpha, cells: map[cellKey]*fleetCell{}, entries: map[string]*entryState{}}
	c.plan = Plan{Started: m.Started, Deadline: m.Deadline}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Update sets the move's state from a newer document.
func (c *Controller) Update(m config.Move, now time.Time) {
	if m.SharePPM != c.move.SharePPM {
		c.shareChangedAt = now
		for _, cell := range c.cells {
			// An incomplete window is discarded. With the duration 0, a window of
			// age windowMaxAge is complete.
			for i, r := range cell.closeWindow(now, 0) {
				cell.pendingLogRatios[Failures][i] += r
			}
			cell.window = fleetWindow{openedAt: now}
		}
	}
	c.move = m
	c.plan = Plan{Started: m.Started, Deadline: m.Deadline}
}

// Observe adds the digest of a guard. It ignores digests of another move and,
// except for a stop, those that are out of order or of an earlier incarnation
// of the guard. Incarnations are ULIDs, which sort by time.
func (c *Controller) Observe(d Digest, now time.Time) {
	if d.Move != c.move.Name {
		return
	}
	if d.Stopped && d.StopEvidence != nil && c.stopEvidence == nil {
		c.stopEvidence = d.StopEvidence
	}
	entry := c.entries[d.Entry]
	if entry != nil && d.Incarnation < entry.incarnation {
		return // an earlier incarnation of the guard
	}
	known := entry != nil && entry.incarnation == d.Incarnation
	if !known {
		if entry == nil && len(c.entries) >= maxEntries {
			return
		}
		entry = &entryState{incarnation: d.Incarnation, cells: map[cellKey]Cell{}}
		c.entries[d.Entry] = entry
	}
	if d.Sequence <= entry.sequence {
		return
	}
	entry.sequence = d.Sequence
	for _, cell := range d.Cells {
		if !cell.finite() {
			continue // NaN or Inf would disable the cell's test
		}
		key := cellKey{cell.Route, cell.LoadLevel}
		if fleet := c.cell(key, now); fleet != nil {
			// Digests that mix two shares would bias the fleet's windows.
			mixed := now.Sub(c.shareChangedAt) < settleTime && c.move.SharePPM > 0
			fleet.add(cell, entry.cells[key], known, mixed)
			entry.cells[key] = cell
		}
	}
}

// cell returns the cell of a key, nil if there are too many cells.
func (c *Controller) cell(key cellKey, now time.Time) *fleetCell {
	cell := c.cells[key]
	if cell == nil && len(c.cells) < maxCells {
		cell = &fleetCell{window: fleetWindow{openedAt: now}}
		for m := range cell.tests {
			cell.tests[m] = newSequentialTest(now)
		}
		c.cells[key] = cell
	}
	return cell
}

// add adds the difference between two digests of one guard. If known is false,
// the digest is the first of the guard and may cover many shares; for its
// failures the guard's own log ratios are used. mixed says that the digest
// covers two shares.
func (f *fleetCell) add(current, previous Cell, known, mixed bool) {
	oldCounts, newCounts := current.Old.sub(previous.Old), current.New.sub(previous.New)
	f.old.add(oldCounts)
	f.new.add(newCounts)
	if known && !mixed {
		f.window.old.add(oldCounts)
		f.window.new.add(newCounts)
	}
	for m := range f.pendingLogRatios {
		if known && Metric(m) == Failures {
			continue
		}
		for i := range f.pendingLogRatios[m] {
			if i >= len(current.LogRatios[m]) {
				continue // guard of a release with fewer alternatives
			}
			difference := float64(current.LogRatios[m][i])
			if i < len(previous.LogRatios[m]) {
				difference -= float64(previous.LogRatios[m][i])
			}
			f.pendingLogRatios[m][i] += difference
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

// closeWindow closes the window if it is complete, and returns the log ratios
// of its failures. duration is that of the move.
func (f *fleetCell) closeWindow(now time.Time, duration time.Duration) logRatioVector {
	w := f.window
	if !windowComplete(now.Sub(w.openedAt), duration, w.old.Requests+w.new.Requests, w.old.Failed+w.new.Failed) {
		return logRatioVector{}
	}
	f.window = fleetWindow{openedAt: now}
	return logRatios(int(w.new.Failed), int(w.new.Requests), int(w.old.Failed), int(w.old.Requests))
}

// updateTests updates the tests, at most once a second.
func (c *Controller) updateTests(now time.Time) {
	if now.Sub(c.testsUpdatedAt) < time.Second {
		return
	}
	c.testsUpdatedAt = now
	for _, cell := range c.cells {
		for i, r := range cell.closeWindow(now, c.plan.Duration()) {
			cell.pendingLogRatios[Failures][i] += r
		}
		for m := range cell.tests {
			cell.tests[m].add(cell.pendingLogRatios[m].capped(), now, c.plan.Duration())
			cell.pendingLogRatios[m] = logRatioVector{}
		}
	}
}

// Decide returns at most one action. It returns the action again until Update
// shows its effect.
func (c *Controller) Decide(now time.Time) []Action {
	if c.move.State != config.MoveRunning {
		return nil
	}
	if c.shareChangedAt.IsZero() {
		c.shareChangedAt = now
	}
	elapsed := time.Duration(0)
	if !c.decidedAt.IsZero() {
		elapsed = max(0, now.Sub(c.decidedAt))
	}
	c.decidedAt = now
	c.updateTests(now)
	evidence := c.Evidence()
	if c.stopEvidence != nil {
		return []Action{RollBack{Evidence: *c.stopEvidence}}
	}
	if evidence.LogRatio > evidence.LogLimit {
		return []Action{RollBack{Evidence: evidence}}
	}
	if now.Sub(c.shareChangedAt) < c.plan.MinStepInterval() && c.move.SharePPM > 0 {
		return nil
	}
	// Weak evidence pauses the rollout, but only so long that a good version with
	// a low-traffic route still meets its deadline.
	if evidence.LogRatio > logLimit(pauseAlpha, len(c.cells)) && c.pausedFor < c.plan.Duration()/10 && c.plan.elapsedFraction(now) < pauseLatest {
		c.pausedFor += elapsed
		return nil
	}
	tested := c.allRoutesTested()
	if c.move.SharePPM >= config.FullSharePPM-holdbackPPM {
		if c.plan.FinishDue(now, tested) {
			return []Action{Finish{Evidence: evidence}}
		}
		return nil
	}
	if share := c.nextShare(c.plan.SharePPM(now, tested)); share > c.move.SharePPM {
		return []Action{SetShare{SharePPM: share, Evidence: evidence}}
	}
	return nil
}

// nextShare returns the planned share, but at most that of the next step, so
// that a late controller skips none.
func (c *Controller) nextShare(planned int64) int64 {
	for _, s := range steps {
		if s.sharePPM > c.move.SharePPM {
			return min(s.sharePPM, planned)
		}
	}
	return planned
}

// allRoutesTested reports whether every route seen so far counts as tested.
func (c *Controller) allRoutesTested() bool {
	if len(c.cells) == 0 {
		return false
	}
	requests := map[string]int64{}
	for key, cell := range c.cells {
		requests[key.route] += cell.new.Requests
	}
	for _, n := range requests {
		if n < minTestedRequests {
			return false
		}
	}
	return true
}

// Evidence returns the comparison with the strongest evidence against the new
// version.
func (c *Controller) Evidence() Evidence {
	e := Evidence{Move: c.move.Name, From: c.move.From, To: c.move.To, LoadLevel: AnyLoadLevel, LogRatio: math.Inf(-1), LogLimit: logLimit(c.alpha, len(c.cells))}
	for _, key := range slices.SortedFunc(maps.Keys(c.cells), cellKey.compare) {
		cell := c.cells[key]
		for m := range cell.tests {
			if value := cell.tests[m].logValue(); value > e.LogRatio {
				e.Route, e.LoadLevel, e.Metric, e.LogRatio, e.Old, e.New = key.route, key.loadLevel, Metric(m), value, cell.old, cell.new
			}
		}
	}
	if math.IsInf(e.LogRatio, -1) {
		e.LogRatio = 0 // no requests yet
	}
	return e
}
