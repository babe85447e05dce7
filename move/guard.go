package move

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"time"

	"briarreach/config"
)

const (
	// A window ends after windowMinAge when it has windowRequests requests, when
	// it has windowFailures failures among at least windowFailureRequests
	// requests, or at an age of windowMaxAge or a twentieth of the move, whichever
	// is longer: on a route with one request a minute, shorter windows would
	// seldom hold both versions. The rule counts both versions together, since one
	// that depended on the version of a request would bias the comparison.
	windowMinAge          = time.Second
	windowMaxAge          = time.Minute
	windowRequests        = 40
	windowFailures        = 2
	windowFailureRequests = 10

	bucketsPerDoubling = 4 // latency buckets grow by 2^(1/4) = 1.19
	bucketCount        = 80
	// toleratedBuckets is how much slower the new version may be: one bucket,
	// that is 1.19 times.
	toleratedBuckets = 1

	// guardAlpha is the probability that any guard stops a version that is as
	// good as the old one.
	guardAlpha = 0.002
	// slowBucket is the bucket of a latency of the new version that is 1.4 times
	// the old one's mean.
	slowBucket = bucketCount/2 + bucketsPerDoubling/2 - toleratedBuckets
	// shareLimitTime is the time for which a suspicious window limits the share,
	// or a twentieth of the move if that is longer.
	shareLimitTime = time.Minute

	// latencyOffset is added to each latency, also in LogLatencySum. Targets of
	// the versions may be in different failure domains; the network distance must
	// not count as slowness.
	latencyOffset = 5 * time.Millisecond

	// defaultHungAfter is the result of HungAfter before the old version's latency
	// is known.
	defaultHungAfter = 30 * time.Second
)

// Digest is a guard's report to the controller and the other entries: its state,
// not a hash of it. Counts and ratios are sums since the guard started, so lost,
// duplicate or reordered digests do no harm.
type Digest struct {
	Entry        string    `cbor:"entry"`
	Move         string    `cbor:"move"`
	Incarnation  string    `cbor:"start"` // of the guard; a ULID
	Sequence     uint64    `cbor:"number"`
	Cells        []Cell    `cbor:"cells"`
	Stopped      bool      `cbor:"stopped"`
	StopEvidence *Evidence `cbor:"reason,omitempty"` // set if Stopped
}

// Cell is the comparison on one route at one load level. LogRatios holds, for
// each metric, the logarithms of the likelihood ratios of the alternatives.
type Cell struct {
	Route     string                 `cbor:"route"`
	LoadLevel int                    `cbor:"level"`
	Old       RequestCounts          `cbor:"old"`
	New       RequestCounts          `cbor:"new"`
	LogRatios [metricCount][]float32 `cbor:"ratios"`
}

// Guard compares the versions at one entry and stops the new one there on the
// entry's own evidence, without waiting for the controller. It is not safe for
// concurrent use.
type Guard struct {
	entry        string
	incarnation  string
	move         config.Move
	alpha        float64 // probability of a false stop by this guard
	sequence     uint64  // of the last digest
	cells        map[cellKey]*guardCell
	sortedCells  []*guardCell           // by key
	oldLatencies map[string]*movingMean // of the old version's log latency, by route
	stopped      bool
	stopEvidence Evidence

	nextWindowCheck   time.Time
	shareLimited      bool
	shareLimitedUntil time.Time
}

type cellKey struct {
	route     string
	loadLevel int
}

func (k cellKey) compare(o cellKey) int {
	return cmp.Or(cmp.Compare(k.route, o.route), cmp.Compare(k.loadLevel, o.loadLevel))
}

type guardCell struct {
	key          cellKey
	window       window
	old          RequestCounts
	new          RequestCounts
	logRatioSums [metricCount]logRatioVector
	tests        [metricCount]sequentialTest
}

// window collects the requests of both versions that end in the same period.
type window struct {
	openedAt time.Time
	old, new windowSide
}

type windowSide struct {
	requests      int
	failed        int
	latencies     [bucketCount]uint32 // histogram
	logLatencySum float64
}

// movingMean is a moving average over about the last 1000 values.
type movingMean struct {
	value float64
	count int
}

func (m *movingMean) add(v float64) {
	m.count = min(m.count+1, 1000)
	m.value += (v - m.value) / float64(m.count)
}

// GuardOption configures a Guard.
type GuardOption func(*Guard)

// WithEntries sets the number of entries. The probability of a false local stop
// is divided by it. The default is 8.
func WithEntries(n int) GuardOption {
	return func(g *Guard) { g.alpha = guardAlpha / float64(max(n, 1)) }
}

// NewGuard returns the guard of a running move at an entry. incarnation
// identifies this start of the guard: the holder id of the entry, a ULID.
func NewGuard(entry, incarnation string, m config.Move, opts ...GuardOption) *Guard {
	g := &Guard{entry: entry, incarnation: incarnation, move: m, alpha: guardAlpha / 8, cells: map[cellKey]*guardCell{}, oldLatencies: map[string]*movingMean{}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Update sets the move's state from a newer document. A changed share ends the
// windows: the share is constant within a window, so that a change in load or
// on the platform affects both versions alike.
func (g *Guard) Update(m config.Move, now time.Time) {
	changed := m.SharePPM != g.move.SharePPM
	g.move = m
	if !changed {
		return
	}
	for _, cell := range g.sortedCells {
		g.closeCell(cell, now)
	}
}

// Observe records a finished request. Only first attempts may be recorded,
// since retries go to the old version, and none that was refused as not_run.
// loadLevel is the load of the model or service as measured by the entry, in a
// few steps from 0, the same for both versions. latency is the time to the
// first byte of the response.
func (g *Guard) Observe(version, route string, loadLevel int, latency time.Duration, failed bool, now time.Time) {
	isNew := version == g.move.To
	if !isNew && version != g.move.From {
		return
	}
	g.closeWindows(now)
	logLatency := math.Log((max(latency, 0) + latencyOffset).Seconds())
	g.record(cellKey{route, loadLevel}, isNew, failed, logLatency, logLatency, true, now)
	g.record(cellKey{route, AnyLoadLevel}, isNew, failed, logLatency, logLatency, true, now)
	reference := g.oldLatencies[route]
	if reference == nil {
		if len(g.oldLatencies) >= maxCells {
			return
		}
		reference = &movingMean{}
		g.oldLatencies[route] = reference
	}
	// Pooled cells compare latencies relative to the old version's mean on the
	// route.
	known := reference.count > 0
	g.record(cellKey{AnyRoute, loadLevel}, isNew, failed, logLatency-reference.value, logLatency, known, now)
	g.record(cellKey{AnyRoute, AnyLoadLevel}, isNew, failed, logLatency-reference.value, logLatency, known, now)
	if !isNew && !failed {
		reference.add(logLatency)
	}
}

// record adds a request to a cell. comparedLog is the log latency to compare,
// in a pooled cell the difference to the old version's mean on the route;
// canCompare is false while that mean is unknown.
func (g *Guard) record(key cellKey, isNew, failed bool, comparedLog, logLatency float64, canCompare bool, now time.Time) {
	cell := g.cells[key]
	if cell == nil {
		if len(g.cells) >= maxCells {
			return
		}
		cell = &guardCell{key: key, window: window{openedAt: now}}
		for m := range cell.tests {
			cell.tests[m] = newSequentialTest(now)
		}
		g.cells[key] = cell
		at, _ := slices.BinarySearchFunc(g.sortedCells, key, func(c *guardCell, k cellKey) int { return c.key.compare(k) })
		g.sortedCells = slices.Insert(g.sortedCells, at, cell)
	}
	side := &cell.window.old
	if isNew {
		side = &cell.window.new
	}
	side.requests++
	switch {
	case failed:
		side.failed++
	case canCompare:
		side.logLatencySum += logLatency
		side.latencies[bucket(comparedLog, isNew)]++
	default:
		side.logLatencySum += logLatency
	}
}

// bucket returns the histogram bucket of the logarithm of a latency in seconds.
// Requests to the new version are moved down by the tolerated slowdown.
func bucket(log float64, isNew bool) int {
	b := int(math.Floor(log/math.Ln2*bucketsPerDoubling)) + bucketCount/2
	if isNew {
		b -= toleratedBuckets
	}
	return min(max(b, 0), bucketCount-1)
}

// closeWindows closes the complete windows. It checks them only a few times a
// second, so that Observe stays cheap.
func (g *Guard) closeWindows(now time.Time) {
	if now.Before(g.nextWindowCheck) {
		return
	}
	g.nextWindowCheck = now.Add(windowMinAge / 4)
	if g.shareLimited && !now.Before(g.shareLimitedUntil) {
		g.shareLimited = false
		g.restartWindows(now)
	}
	wasLimited := g.shareLimited
	for _, cell := range g.sortedCells {
		if cell.window.complete(now, g.duration()) {
			g.closeCell(cell, now)
		}
	}
	if g.shareLimited && !wasLimited {
		g.restartWindows(now)
	}
}

// restartWindows discards the open windows when the share changes because of
// the requests in them, which would bias the comparison.
func (g *Guard) restartWindows(now time.Time) {
	for _, cell := range g.sortedCells {
		cell.window = window{openedAt: now}
	}
}

func (w *window) complete(now time.Time, duration time.Duration) bool {
	return windowComplete(now.Sub(w.openedAt), duration, int64(w.old.requests+w.new.requests), int64(w.old.failed+w.new.failed))
}

// windowComplete reports whether a window ends. duration is that of the move.
func windowComplete(age, duration time.Duration, requests, failures int64) bool {
	if age < windowMinAge {
		return false
	}
	return requests >= windowRequests || age >= max(windowMaxAge, duration/20) ||
		requests >= windowFailureRequests && failures >= windowFailures
}

func (g *Guard) closeCell(cell *guardCell, now time.Time) {
	w, key := &cell.window, cell.key
	if w.suspicious(key.route == AnyRoute, cell.old, cell.new) {
		g.shareLimited, g.shareLimitedUntil = true, now.Add(max(shareLimitTime, g.duration()/20))
	}
	cell.old.add(w.old.counts())
	cell.new.add(w.new.counts())
	rejectAbove := logLimit(g.alpha, len(g.cells))
	for m, r := range w.metricLogRatios() {
		for i := range r {
			cell.logRatioSums[m][i] += r[i]
		}
		t := &cell.tests[m]
		t.add(r.capped(), now, g.duration())
		if value := t.logValue(); value > rejectAbove && !g.stopped {
			g.stopped = true
			g.stopEvidence = Evidence{
				Move: g.move.Name, From: g.move.From, To: g.move.To, Entry: g.entry,
				Route: key.route, LoadLevel: key.loadLevel, Metric: Metric(m),
				LogRatio: value, LogLimit: rejectAbove, Old: cell.old, New: cell.new,
			}
		}
	}
	cell.window = window{openedAt: now}
}

func (g *Guard) duration() time.Duration {
	return Plan{Started: g.move.Started, Deadline: g.move.Deadline}.Duration()
}

func (s *windowSide) counts() RequestCounts {
	return RequestCounts{Requests: int64(s.requests), Failed: int64(s.failed), LogLatencySum: s.logLatencySum}
}

// metricLogRatios returns the log ratios of the window for each metric.
func (w *window) metricLogRatios() [metricCount]logRatioVector {
	var r [metricCount]logRatioVector
	if w.old.requests == 0 || w.new.requests == 0 {
		return r
	}
	r[Failures] = logRatios(w.new.failed, w.new.requests, w.old.failed, w.old.requests)
	r[MedianLatency] = w.slowLogRatios(0.5)
	r[TailLatency] = w.slowLogRatios(0.9)
	return r
}

// slowLogRatios compares the numbers of requests that were slower than a
// quantile of both versions together.
func (w *window) slowLogRatios(quantile float64) logRatioVector {
	var oldCount, newCount int
	for b := range bucketCount {
		oldCount += int(w.old.latencies[b])
		newCount += int(w.new.latencies[b])
	}
	total := float64(oldCount + newCount)
	rank := quantile * total
	oldSlow, newSlow, below := oldCount, newCount, 0.0
	for b := range bucketCount {
		inBucket := float64(w.old.latencies[b] + w.new.latencies[b])
		// The bucket boundary nearest to the quantile separates fast and slow.
		if below+inBucket/2 > rank {
			break
		}
		below += inBucket
		oldSlow -= int(w.old.latencies[b])
		newSlow -= int(w.new.latencies[b])
	}
	return logRatios(newSlow, newCount, oldSlow, oldCount)
}

// PickVersion returns the version to send a request to. A retry goes to the old
// version.
func (g *Guard) PickVersion(retry bool, now time.Time, random *rand.Rand) string {
	m := g.move
	m.SharePPM = min(m.SharePPM, g.MaxSharePPM(now))
	return PickVersion(m, true, retry, random)
}

// Allowed reports whether the entry may send requests to the new version.
func (g *Guard) Allowed(now time.Time) bool {
	g.closeWindows(now)
	return !g.stopped
}

// ApplyRemoteStop stops the new version here if the digest of another entry's
// guard says so. The stop works without the controller, also while the table is
// unavailable.
func (g *Guard) ApplyRemoteStop(d Digest) {
	if d.Stopped && d.Move == g.move.Name && !g.stopped && d.StopEvidence != nil {
		g.stopped, g.stopEvidence = true, *d.StopEvidence
	}
}

// suspicious reports whether the new version failed or was slow in the window
// far more often than both versions did before. It is not evidence, since the
// old version may have changed as well. relative says that the latencies are
// relative to the old version's; oldCounts and newCounts are those of earlier
// windows.
func (w *window) suspicious(relative bool, oldCounts, newCounts RequestCounts) bool {
	earlier := oldCounts
	earlier.add(newCounts)
	if earlier.Requests < windowRequests || w.new.requests < 4 {
		return false
	}
	earlierFailureRate := float64(earlier.Failed) / float64(earlier.Requests)
	if w.new.failed >= 2 && float64(w.new.failed)/float64(w.new.requests) > 0.05+3*earlierFailureRate {
		return true
	}
	if !relative {
		return false
	}
	slow, served := 0, w.new.requests-w.new.failed
	for _, n := range w.new.latencies[slowBucket:] {
		slow += int(n)
	}
	return served >= 8 && slow*2 > served
}

// MaxSharePPM returns the largest share of the new version at this entry, in
// parts per million: 0 after a local stop, and half after a suspicious window.
// Half gives the fastest comparison; with few requests left at the old version,
// it would take minutes to prove a late fault.
func (g *Guard) MaxSharePPM(now time.Time) int64 {
	g.closeWindows(now)
	switch {
	case g.stopped:
		return 0
	case g.shareLimited:
		return config.FullSharePPM / 2
	}
	return config.FullSharePPM
}

// Stopped returns the evidence of the stop, and whether the new version is
// stopped.
func (g *Guard) Stopped() (Evidence, bool) { return g.stopEvidence, g.stopped }

// HungAfter returns the time after which a request without a first byte counts
// as hung. If the caller passes such a request to Observe at that time, with
// that time as its latency, and not again when it ends, a version that hangs is
// detected before the requests time out. No entry does so yet.
func (g *Guard) HungAfter(route string) time.Duration {
	m := g.oldLatencies[route]
	if m == nil || m.count < windowRequests {
		return defaultHungAfter
	}
	return max(time.Second, time.Duration(8*math.Exp(m.value)*float64(time.Second)))
}

// Digest returns the digest to send to the controller, every 2 s and
// immediately when Stopped becomes true.
func (g *Guard) Digest(now time.Time) Digest {
	g.closeWindows(now)
	g.sequence++
	d := Digest{Entry: g.entry, Move: g.move.Name, Incarnation: g.incarnation, Sequence: g.sequence, Stopped: g.stopped}
	if g.stopped {
		evidence := g.stopEvidence
		d.StopEvidence = &evidence
	}
	for _, cell := range g.sortedCells {
		c := Cell{Route: cell.key.route, LoadLevel: cell.key.loadLevel, Old: cell.old, New: cell.new}
		for m := range cell.logRatioSums {
			c.LogRatios[m] = make([]float32, len(oddsRatios))
			for i, v := range cell.logRatioSums[m] {
				c.LogRatios[m][i] = float32(v)
			}
		}
		d.Cells = append(d.Cells, c)
	}
	return d
}
