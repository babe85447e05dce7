package entry

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"briarreach/config"
	"briarreach/move"
	"briarreach/peer"
	"briarreach/timeline"
)

// evidenceInterval is how often an entry sends its digests. The digest of a
// local stop is sent at once.
const evidenceInterval = 2 * time.Second

// moves chooses the version of each request and collects the evidence of
// running version moves.
type moves struct {
	process string
	holder  string
	entries int
	running atomic.Pointer[map[string]*runningMove] // by subject

	mu    sync.Mutex
	heard map[string]map[string]move.Digest // digests of other entries, by move and entry
}

// runningMove is a move with this entry's guard. Only requests for a subject
// that moves take its lock.
type runningMove struct {
	state    atomic.Pointer[config.Move]
	reported atomic.Bool   // the local stop has been signalled
	stopped  chan struct{} // signals the local stop

	mu    sync.Mutex
	guard *move.Guard
}

func newMoves(process, holder string, entries int) *moves {
	m := &moves{process: process, holder: holder, entries: entries, heard: map[string]map[string]move.Digest{}}
	m.running.Store(&map[string]*runningMove{})
	return m
}

// update takes over the running moves of a document.
func (m *moves) update(d *config.Document, now time.Time) {
	earlier := *m.running.Load()
	next := map[string]*runningMove{}
	for _, state := range d.Moves {
		if state.State != config.MoveRunning {
			continue
		}
		r := earlier[state.Subject]
		if r == nil || r.state.Load().Name != state.Name {
			r = &runningMove{guard: move.NewGuard(m.process, m.holder, state, move.WithEntries(m.entries)), stopped: make(chan struct{}, 1)}
		}
		r.state.Store(&state)
		r.mu.Lock()
		r.guard.Update(state, now)
		r.mu.Unlock()
		next[state.Subject] = r
	}
	m.running.Store(&next)
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.heard {
		if d.Moves[name].State != config.MoveRunning {
			delete(m.heard, name)
		}
	}
}

func (m *moves) of(subject string) *runningMove { return (*m.running.Load())[subject] }

// version returns the version that a request for the subject goes to.
func (m *moves) version(d *config.Document, subject string, retry bool, now time.Time) string {
	r := m.of(subject)
	if r == nil {
		current, _ := d.CurrentVersion(subject)
		return current
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.PickVersion(retry, now, rand.New(random{}))
}

// refresh signals a local stop once. The caller holds the lock.
func (r *runningMove) refresh() {
	if _, stopped := r.guard.Stopped(); stopped && !r.reported.Swap(true) {
		r.stopped <- struct{}{} // has room for the only signal
	}
}

// observeTry gives the guard the outcome of a first try.
func (e *Entry) observeTry(x *exchange, t try, latency time.Duration, failed bool, now time.Time) {
	r := e.moves.of(x.cost.subject)
	if r == nil || t.retry {
		return
	}
	level := e.agents.level(x.cost.subject)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.guard.Observe(t.version, x.cost.route, level, latency, failed, now)
	r.refresh()
}

// evidenceLoop sends the digests of the running moves to the other entries.
func (e *Entry) evidenceLoop() {
	var sent time.Time
	e.every(evidenceInterval/10, func() {
		now := e.clock.Now()
		due := now.Sub(sent) >= evidenceInterval
		for _, r := range *e.moves.running.Load() {
			select {
			case <-r.stopped:
				e.noteLocalStop(r)
			default:
				if !due {
					continue
				}
			}
			e.sendEvidence(r, now)
		}
		if due {
			sent = now
		}
	})
}

func (e *Entry) noteLocalStop(r *runningMove) {
	r.mu.Lock()
	evidence, _ := r.guard.Stopped()
	r.mu.Unlock()
	state := r.state.Load()
	e.events.Record(timeline.Event{Kind: "move_stopped_locally", Move: state.Name, Detail: evidence.String()})
	e.log.WithField("move", state.Name).WithField("evidence", evidence.String()).Warn("new version stopped at this entry")
}

func (e *Entry) sendEvidence(r *runningMove, now time.Time) {
	r.mu.Lock()
	digest := r.guard.Digest(now)
	r.refresh()
	r.mu.Unlock()
	e.moves.hear(digest)
	data, err := cbor.Marshal(digest)
	if err != nil {
		e.log.WithError(err).Error("evidence not encoded")
		return
	}
	for _, addr := range e.settings.Entry.Entries {
		e.workers.Go(func() {
			_ = e.tell(e.context, addr, peer.Evidence{Move: digest.Move, Digest: data})
		})
	}
}

// hearEvidence takes the digest of another entry. Its local stop holds here
// too.
func (e *Entry) hearEvidence(m peer.Evidence) {
	var digest move.Digest
	if err := cbor.Unmarshal(m.Digest, &digest); err != nil {
		e.log.WithError(err).Warn("evidence refused")
		return
	}
	for _, r := range *e.moves.running.Load() {
		if r.state.Load().Name != digest.Move {
			continue
		}
		r.mu.Lock()
		r.guard.ApplyRemoteStop(digest)
		r.refresh()
		r.mu.Unlock()
		e.moves.hear(digest)
	}
}

// hear keeps the newest digest of each entry for the controller.
func (m *moves) hear(o move.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byEntry := m.heard[o.Move]
	if byEntry == nil {
		byEntry = map[string]move.Digest{}
		m.heard[o.Move] = byEntry
	}
	byEntry[o.Entry+"/"+o.Incarnation] = o
}

func (m *moves) digests(name string) []move.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]move.Digest, 0, len(m.heard[name]))
	for _, o := range m.heard[name] {
		out = append(out, o)
	}
	return out
}
