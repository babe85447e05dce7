package entry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"briarreach/config"
)

// moves chooses the version of each request and collects the evidence of
// running version moves.
type moves struct {
	bySubject atomic.Pointer[map[string]config.Move]
}

func newMoves() *moves { return &moves{} }

// update takes over the running moves of a document.
func (m *moves) update(d *config.Document) {
	running := map[string]config.Move{}
	for _, move := range d.Moves {
		if move.State == config.MoveRunning {
			running[move.Subject] = move
		}
	}
	m.bySubject.Store(&running)
}

// version returns the version that a request for the subject goes to.
func (m *moves) version(d *config.Document, subject, _ string, oldOnly bool, _ time.Time) string {
	current, _ := d.CurrentVersion(subject)
	running := m.bySubject.Load()
	if running == nil || oldOnly {
		return current
	}
	move, ok := (*running)[subject]
	if !ok || rand.Int64N(1_000_000) >= move.Share {
		return current
	}
	return move.To
}

// observe records how a request went.
func (m *moves) observe(*config.Document, string, string, string, time.Duration, bool, time.Time) {}
