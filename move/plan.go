// Package move decides the pace and the outcome of version moves. The old and
// the new version serve requests at the same time; guards at the entries
// compare them, and one controller changes the share of the new version.
package move

import (
	"math/rand"
	"time"

	"briarreach/config"
)

// heldBack is the share that stays at the old version for comparison until the
// move finishes.
const heldBack = 20_000

// untested is the largest share before each route with enough traffic was
// tested.
const untested = 50_000

// step is one share of the plan. Earliest and latest are fractions of the
// move's duration: earliest holds when every route was tested, latest else.
type step struct {
	share    int64
	earliest float64
	latest   float64
}

// The steps are planned backward from the deadline: the last one and the
// finish come one tenth of the duration before it at the latest. A bad version
// that fails from the start gets under 2 % of the traffic of the move before
// the share exceeds 5 %.
var steps = []step{
	{10_000, 0, 0},
	{20_000, 0.08, 0.10},
	{untested, 0.16, 0.20},
	{100_000, 0.40, 0.52},
	{200_000, 0.46, 0.58},
	{400_000, 0.53, 0.64},
	{800_000, 0.60, 0.70},
	{config.FullSharePPM - heldBack, 0.68, 0.76},
}

const (
	finishEarliest = 0.85
	finishLatest   = 0.90
)

// Plan is the share of the new version over time.
type Plan struct {
	Started  time.Time
	Deadline time.Time
}

// Duration returns the time between start and deadline, at least 1 s: clocks of
// VMs may differ by that much.
func (p Plan) Duration() time.Duration { return max(p.Deadline.Sub(p.Started), time.Second) }

// SharePPM returns the planned share of the new version in parts per million.
// tested says that every route with enough traffic was tested.
func (p Plan) SharePPM(now time.Time, tested bool) int64 {
	at := p.fraction(now)
	share := steps[0].share
	for _, s := range steps {
		due := s.latest
		if tested {
			due = s.earliest
		}
		if at >= due {
			share = s.share
		}
	}
	return share
}

// FinishDue reports whether the move is to be finished.
func (p Plan) FinishDue(now time.Time, tested bool) bool {
	if tested {
		return p.fraction(now) >= finishEarliest
	}
	return p.fraction(now) >= finishLatest
}

// MinStepInterval returns the shortest time at one share. It bounds the pace at which a
// late controller catches up: from the first share to the finish takes eight
// steps, that is 16 % of the duration.
func (p Plan) MinStepInterval() time.Duration { return p.Duration() / 50 }

func (p Plan) fraction(now time.Time) float64 {
	return float64(now.Sub(p.Started)) / float64(p.Duration())
}

// PickVersion returns the version that a request goes to. allow is the result of the
// entry's guard. A retry goes to the old version, so that a bad new version
// costs a repeatable request one try.
func PickVersion(m config.Move, allow, retry bool, random *rand.Rand) string {
	switch m.State {
	case config.MoveDone:
		return m.To
	case config.MoveRunning:
		if allow && !retry && random.Int63n(config.FullSharePPM) < m.SharePPM {
			return m.To
		}
	}
	return m.From
}
