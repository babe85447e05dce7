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
	// A window ends when it has enough requests, or some failures, or is old
	// (windowMaxAge or a twentieth of the move; on a route with a request a
	// minute, shorter windows would seldom hold both versions).
	// The rule looks at both versions together, never at the version of a
	// request: a rule that did would bias the comparison.
	windowMinAge    = time.Second
	windowMaxAge    = time.Minute
	windowRequests  = 40
	windowFailures  = 2
	windowFewest    = 10
	bucketsPerTwice = 4 // latency buckets grow by 2^(1/4) = 1.19
	buckets         = 80
	// toleratedBuckets is how much slower the new version may be: one bucket,
	// that is 1.19 times.
	toleratedBuckets = 1

	// guardAlpha is the probability that any guard stops a version that is as
	// good as the old one.
	guardAlpha = 0.002
	// slowBucket is the bucket of a scaled latency of the new version of 1.4
	// times the old one's mean.
	slowBucket = buckets/2 + bucketsPerTwice/2 - toleratedBuckets
	// doubtTime is the time for which a suspicious window lowers the share, or a
	// twentieth of the move if that is longer.
	doubtTime = time.Minute

	// latencyFloor is added to each latency. Targets of the versions may be in
	// different failure domains, whose distance must not count as slowness.
	latencyFloor = 5 * time.Millisecond

	// unknownLatency is the result of ReportAfter before the old version's
	// latency is known.
	unknownLatency = 30 * time.Second
)

// Digest is a guard's digest. Counts and ratios are sums since the guard
// started, so a lost, repeated or reordered digest does no harm.
type Digest struct {
	Entry        string    `cbor:"entry"`
	Move         string    `cbor:"move"`
	Incarnation  string    `cbor:"start"` // identifies the start of the guard; a ULID
	Sequence     uint64    `cbor:"number"`
	Cells        []Cell    `cbor:"cells"`
	Stopped      bool      `cbor:"stopped"`
	StopEvidence *Evidence `cbor:"reason,omitempty"` // set if Stopped
}

// Cell is the comparison on one route at one load level. Ratios holds, for
// each metric, the logarithms of the likelihood ratios.
type Cell struct {
	Route     string             `cbor:"route"`
	LoadLevel int                `cbor:"level"`
	Old       RequestCounts      `cbor:"old"`
	New       RequestCounts      `cbor:"new"`
	LogRatios [metrics][]float32 `cbor:"ratios"`
}

// Guard compares the versions at one entry and stops the new one there at
// once on the entry's own evidence. It is not safe for concurrent use.
type Guard struct {
	entry    string
	start    string
	move     config.Move
	alpha    float64
	number   uint64
	cells    map[cellKey]*guardCell
	order    []*guardCell // the cells by key
	routes   map[string]*mean
	stopped  bool
	evidence Evidence

	nextClose  time.Time
	doubting   bool // the share at this entry is lowered
	doubtUntil time.Time
}

type cellKey struct {
	route string
	level int
}

func (k cellKey) compare(o cellKey) int {
	return cmp.Or(cmp.Compare(k.route, o.route), cmp.Compare(k.level, o.level))
}

type guardCell struct {
	key    cellKey
	window window
	old    RequestCounts
	new    RequestCounts
	sums   [metrics]ratios
	tests  [metrics]test
}

// window collects the requests of both versions that end in the same time.
type window struct {
	opened   time.Time
	old, new windowSide
}

type windowSide struct {
	requests  int
	failed    int
	latencies [buckets]uint32
	log       float64
}

// mean is a moving mean of logarithms.
type mean struct {
	value float64
	count int
}

func (m *mean) add(v float64) {
	m.count = min(m.count+1, 1000)
	m.value += (v - m.value) / float64(m.count)
}

// GuardOption changes a Guard.
type GuardOption func(*Guard)

// WithEntries sets the number of entries, among which the probability of a
// false local stop is divided. The default is 8.
func WithEntries(n int) GuardOption {
	return func(g *Guard) { g.alpha = guardAlpha / float64(max(n, 1)) }
}

// NewGuard returns the guard of a running move at an entry. start identifies
// this start of the guard: the holder id of the entry, a ULID.
func NewGuard(entry, start string, m config.Move, opts ...GuardOption) *Guard {
	g := &Guard{entry: entry, start: start, move: m, alpha: guardAlpha / 8, cells: map[cellKey]*guardCell{}, routes: map[string]*mean{}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Update takes the move's state from a newer document. A changed share ends
// the windows: inside one the share is constant, so that a change of the load
// or the platform in it affects both versions alike.
func (g *Guard) Update(m config.Move, now time.Time) {
	changed := m.SharePPM != g.move.SharePPM
	g.move = m
	if !changed {
		return
	}
	for _, cell := range g.order {
		g.closeCell(cell, now)
	}
}

// Observe records a request that ended: its first try only, since retries go
// to the old version, and not if it was refused as not_run. level is the load
// of the model or service as the entry sees it, the same for both versions, in
// a few steps from 0. latency is the time to the first byte of the answer.
func (g *Guard) Observe(version, route string, level int, latency time.Duration, failed bool, now time.Time) {
	isNew := version == g.move.To
	if !isNew && version != g.move.From {
		return
	}
	g.close(now)
	log := math.Log((max(latency, 0) + latencyFloor).Seconds())
	g.observe(cellKey{route, level}, isNew, failed, log, log, true, now)
	g.observe(cellKey{route, AnyLoadLevel}, isNew, failed, log, log, true, now)
	reference := g.routes[route]
	if reference == nil {
		if len(g.routes) >= maxCells {
			return
		}
		reference = &mean{}
		g.routes[route] = reference
	}
	// Pooled cells compare each latency with the old version's on the route.
	known := reference.count > 0
	g.observe(cellKey{AnyRoute, level}, isNew, failed, log-reference.value, log, known, now)
	g.observe(cellKey{AnyRoute, AnyLoadLevel}, isNew, failed, log-reference.value, log, known, now)
	if !isNew && !failed {
		reference.add(log)
	}
}

func (g *Guard) observe(key cellKey, isNew, failed bool, scaled, log float64, timed bool, now time.Time) {
	cell := g.cells[key]
	if cell == nil {
		if len(g.cells) >= maxCells {
			return
		}
		cell = &guardCell{key: key, window: window{opened: now}}
		for m := range cell.tests {
			cell.tests[m] = newTest(now)
		}
		g.cells[key] = cell
		at, _ := slices.BinarySearchFunc(g.order, key, func(c *guardCell, k cellKey) int { return c.key.compare(k) })
		g.order = slices.Insert(g.order, at, cell)
	}
	side := &cell.window.old
	if isNew {
		side = &cell.window.new
	}
	side.requests++
	switch {
	case failed:
		side.failed++
	case timed:
		side.log += log
		side.latencies[bucket(scaled, isNew)]++
	default:
		side.log += log
	}
}

// bucket returns the latency bucket of a logarithm of seconds. The new
// version's requests are moved down by the tolerated slow-down.
func bucket(log float64, isNew bool) int {
	b := int(math.Floor(log/math.Ln2*bucketsPerTwice)) + buckets/2
	if isNew {
		b -= toleratedBuckets
	}
	return min(max(b, 0), buckets-1)
}

// close ends the windows that are complete. It looks at them a few times a
// second, so that Observe stays cheap.
func (g *Guard) close(now time.Time) {
	if now.Before(g.nextClose) {
		return
	}
	g.nextClose = now.Add(windowMinAge / 4)
	if g.doubting && !now.Before(g.doubtUntil) {
		g.doubting = false
		g.restart(now)
	}
	doubted := g.doubting
	for _, cell := range g.order {
		if cell.window.complete(now, g.duration()) {
			g.closeCell(cell, now)
		}
	}
	if g.doubting && !doubted {
		g.restart(now)
	}
}

// restart drops the open windows at a change of the share that the requests in
// them may have caused.
func (g *Guard) restart(now time.Time) {
	for _, cell := range g.order {
		cell.window = window{opened: now}
	}
}

func (w *window) complete(now time.Time, duration time.Duration) bool {
	return complete(now.Sub(w.opened), duration, int64(w.old.requests+w.new.requests), int64(w.old.failed+w.new.failed))
}

// complete reports whether a window of a move with the duration ends.
func complete(age, duration time.Duration, requests, failures int64) bool {
	if age < windowMinAge {
		return false
	}
	return requests >= windowRequests || age >= max(windowMaxAge, duration/20) ||
		requests >= windowFewest && failures >= windowFailures
}

func (g *Guard) closeCell(cell *guardCell, now time.Time) {
	w, key := &cell.window, cell.key
	if w.suspicious(key.route == AnyRoute, cell.old, cell.new) {
		g.doubting, g.doubtUntil = true, now.Add(max(doubtTime, g.duration()/20))
	}
	cell.old.add(w.old.counts())
	cell.new.add(w.new.counts())
	bound := limit(g.alpha, len(g.cells))
	for m, r := range w.ratios() {
		for i := range r {
			cell.sums[m][i] += r[i]
		}
		t := &cell.tests[m]
		t.add(r.capped(), now, g.duration())
		if value := t.value(); value > bound && !g.stopped {
			g.stopped = true
			g.evidence = Evidence{
				Move: g.move.Name, From: g.move.From, To: g.move.To, Entry: g.entry,
				Route: key.route, LoadLevel: key.level, Metric: Metric(m),
				LogRatio: value, LogLimit: bound, Old: cell.old, New: cell.new,
			}
		}
	}
	cell.window = window{opened: now}
}

func (g *Guard) duration() time.Duration {
	return Plan{Started: g.move.Started, Deadline: g.move.Deadline}.Duration()
}

func (s *windowSide) counts() RequestCounts {
	return RequestCounts{Requests: int64(s.requests), Failed: int64(s.failed), LogLatencySum: s.log}
}

// ratios compares the two sides of the window.
func (w *window) ratios() [metrics]ratios {
	var r [metrics]ratios
	if w.old.requests == 0 || w.new.requests == 0 {
		return r
	}
	r[Failures] = logRatios(w.new.failed, w.new.requests, w.old.failed, w.old.requests)
	r[MedianLatency] = w.slower(0.5)
	r[TailLatency] = w.slower(0.9)
	return r
}

// slower compares the requests that were slower than a quantile of both
// versions together.
func (w *window) slower(quantile float64) ratios {
	var oldCount, newCount int
	for b := range buckets {
		oldCount += int(w.old.latencies[b])
		newCount += int(w.new.latencies[b])
	}
	rest := float64(oldCount + newCount)
	cut := quantile * rest
	oldSlow, newSlow, below := oldCount, newCount, 0.0
	for b := range buckets {
		here := float64(w.old.latencies[b] + w.new.latencies[b])
		// The boundary nearest to the quantile separates fast and slow.
		if below+here/2 > cut {
			break
		}
		below += here
		oldSlow -= int(w.old.latencies[b])
		newSlow -= int(w.new.latencies[b])
	}
	return logRatios(newSlow, newCount, oldSlow, oldCount)
}

// PickVersion returns the version that a request goes to. A retry goes to the old
// version.
func (g *Guard) PickVersion(retry bool, now time.Time, random *rand.Rand) string {
	m := g.move
	m.SharePPM = min(m.SharePPM, g.MaxSharePPM(now))
	return PickVersion(m, true, retry, random)
}

// Allowed reports whether the entry may send requests to the new version.
func (g *Guard) Allowed(now time.Time) bool {
	g.close(now)
	return !g.stopped
}

// ApplyRemoteStop takes the digest of another entry's guard: its local stop holds here
// too, so that the new version gets no requests while the table is out.
func (g *Guard) ApplyRemoteStop(o Digest) {
	if o.Stopped && o.Move == g.move.Name && !g.stopped && o.StopEvidence != nil {
		g.stopped, g.evidence = true, *o.StopEvidence
	}
}

// suspicious reports whether the new version failed or was slow in the window
// far more than both versions did before. That is no evidence, since the old
// version may have changed with it.
func (w *window) suspicious(scaled bool, old, recent RequestCounts) bool {
	past := old
	past.add(recent)
	if past.Requests < windowRequests || w.new.requests < 4 {
		return false
	}
	before := float64(past.Failed) / float64(past.Requests)
	if w.new.failed >= 2 && float64(w.new.failed)/float64(w.new.requests) > 0.05+3*before {
		return true
	}
	if !scaled {
		return false
	}
	slow, served := 0, w.new.requests-w.new.failed
	for _, n := range w.new.latencies[slowBucket:] {
		slow += int(n)
	}
	return served >= 8 && slow*2 > served
}

// MaxSharePPM returns the largest share of the new version at this entry, in
// parts per million: 0 after a local stop, and half while the new version is
// in doubt. Half gives the fastest comparison; with a few requests left at the
// old version, a late fault would take minutes to prove.
func (g *Guard) MaxSharePPM(now time.Time) int64 {
	g.close(now)
	switch {
	case g.stopped:
		return 0
	case g.doubting:
		return config.FullSharePPM / 2
	}
	return config.FullSharePPM
}

// Stopped returns the evidence of the local stop.
func (g *Guard) Stopped() (Evidence, bool) { return g.evidence, g.stopped }

// HungAfter returns the time after which a request without a first byte is
// observed, with that time as its latency and not again, so that a version
// that hangs is noticed before the requests time out.
func (g *Guard) HungAfter(route string) time.Duration {
	m := g.routes[route]
	if m == nil || m.count < windowRequests {
		return unknownLatency
	}
	return max(time.Second, time.Duration(8*math.Exp(m.value)*float64(time.Second)))
}

// Digest returns what the controller is to know. It is sent every 2 s and at
// once when Stopped becomes true.
func (g *Guard) Digest(now time.Time) Digest {
	g.close(now)
	g.number++
	o := Digest{Entry: g.entry, Move: g.move.Name, Incarnation: g.start, Sequence: g.number, Stopped: g.stopped}
	if g.stopped {
		reason := g.evidence
		o.StopEvidence = &reason
	}
	for _, cell := range g.order {
		c := Cell{Route: cell.key.route, LoadLevel: cell.key.level, Old: cell.old, New: cell.new}
		for m := range cell.sums {
			c.LogRatios[m] = make([]float32, len(odds))
			for i, v := range cell.sums[m] {
				c.LogRatios[m][i] = float32(v)
			}
		}
		o.Cells = append(o.Cells, c)
	}
	return o
}
