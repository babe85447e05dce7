// Package move controls version moves, which are canary releases. The old and
// the new version serve requests at the same time; a guard at each entry
// compares them, and one controller changes the share of the new version,
// finishes the move or rolls it back.
package move

import (
	"math/rand"
	"time"

	"briarreach/config"
)

// holdbackPPM is the share that stays at the old version for comparison until
// the move finishes.
const holdbackPPM = 20_000

// smallSharePPM is the last share of the new version before the steps double
// it. If not every route was tested, the later steps are later, not withheld.
const smallSharePPM = 50_000

// step is one share of the plan. The times are fractions of the move's
// duration: earliest applies if every route was tested, latest otherwise.
type step struct {
	sharePPM int64
	earliest float64
	latest   float64
}

// The steps are planned backward from the deadline: the move finishes at the
// latest one tenth of its duration before it. A bad version that fails from the
// start gets under 2 % of the traffic of the move before its share exceeds 5 %.
var steps = []step{
	{10_000, 0, 0},
	{20_000, 0.08, 0.10},
	{smallSharePPM, 0.16, 0.20},
	{100_000, 0.40, 0.52},
	{200_000, 0.46, 0.58},
	{400_000, 0.53, 0.64},
	{800_000, 0.60, 0.70},
	{config.FullSharePPM - holdbackPPM, 0.68, 0.76},
}

const (
	// Fractions of the move's duration, as in step.
	finishEarliest = 0.85
	finishLatest   = 0.90
)

// Plan is the schedule of the new version's share.
type Plan struct {
	Started  time.Time
	Deadline time.Time
}

// Duration returns the time between start and deadline, at least 1 s because
// the clocks of VMs may differ by that much.
func (p Plan) Duration() time.Duration { return max(p.Deadline.Sub(p.Started), time.Second) }

// SharePPM returns the planned share of the new version in parts per million.
// tested says that every route seen so far was tested.
func (p Plan) SharePPM(now time.Time, tested bool) int64 {
	at := p.elapsedFraction(now)
	share := steps[0].sharePPM
	for _, s := range steps {
		due := s.latest
		if tested {
			due = s.earliest
		}
		if at >= due {
			share = s.sharePPM
		}
	}
	return share
}

// FinishDue reports whether it is time to finish the move.
func (p Plan) FinishDue(now time.Time, tested bool) bool {
	if tested {
		return p.elapsedFraction(now) >= finishEarliest
	}
	return p.elapsedFraction(now) >= finishLatest
}

// MinStepInterval returns the minimum time between two changes of the share. It
// bounds the pace at which a late controller catches up: the eight steps from
// the first share to the finish take at least 16 % of the duration.
func (p Plan) MinStepInterval() time.Duration { return p.Duration() / 50 }

func (p Plan) elapsedFraction(now time.Time) float64 {
	return float64(now.Sub(p.Started)) / float64(p.Duration())
}

// PickVersion returns the version to send a request to. If allowed is false,
// the new version gets no request of a running move; Guard.PickVersion passes
// true, and the share 0 after a stop. A retry goes to the old version, so that a
// bad new version costs a repeatable request only one attempt.
func PickVersion(m config.Move, allowed, retry bool, random *rand.Rand) string {
	switch m.State {
	case config.MoveDone:
		return m.To
	case config.MoveRunning:
		if allowed && !retry && random.Int63n(config.FullSharePPM) < m.SharePPM {
			return m.To
		}
	}
	return m.From
}
