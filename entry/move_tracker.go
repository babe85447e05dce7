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

// digestInterval is the interval at which an entry sends its digests to the
// other entries. It sends the digest of a move early after a local stop.
//
// A local stop is the guard's decision to send no more requests to the new
// version from this entry, before the controller decides.
const digestInterval = 2 * time.Second

// moveTracker chooses the version of each request and collects the digests of
// running version moves.
type moveTracker struct {
	process     string
	incarnation string
	entryCount  int
	running     atomic.Pointer[map[string]*runningMove] // by subject

	mu      sync.Mutex
	digests map[string]map[string]move.Digest // latest of each entry, by move and entry
}

// runningMove is a running move with this entry's guard. Only requests for the
// subject of the move take its lock.
type runningMove struct {
	move          atomic.Pointer[config.Move]
	stopSignalled atomic.Bool   // the local stop has been signalled
	stopped       chan struct{} // signals the local stop

	mu    sync.Mutex
	guard *move.Guard
}

func newMoveTracker(process, incarnation string, entryCount int) *moveTracker {
	m := &moveTracker{process: process, incarnation: incarnation, entryCount: entryCount, digests: map[string]map[string]move.Digest{}}
	m.running.Store(&map[string]*runningMove{})
	return m
}

// updateMoves replaces the running moves by those of a document.
func (m *moveTracker) updateMoves(d *config.Document, now time.Time) {
	previous := *m.running.Load()
	next := map[string]*runningMove{}
	for _, mv := range d.Moves {
		if mv.State != config.MoveRunning {
			continue
		}
		r := previous[mv.Subject]
		if r == nil || r.move.Load().Name != mv.Name {
			r = &runningMove{guard: move.NewGuard(m.process, m.incarnation, mv, move.WithEntries(m.entryCount)), stopped: make(chan struct{}, 1)}
		}
		r.move.Store(&mv)
		r.mu.Lock()
		r.guard.Update(mv, now)
		r.mu.Unlock()
		next[mv.Subject] = r
	}
	m.running.Store(&next)
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.digests {
		if d.Moves[name].State != config.MoveRunning {
			delete(m.digests, name)
		}
	}
}

func (m *moveTracker) runningMoveOf(subject string) *runningMove { return (*m.running.Load())[subject] }

// chooseVersion returns the version that serves a request for the subject. With
// oldVersionOnly, this is the old version of a running move.
func (m *moveTracker) chooseVersion(d *config.Document, subject string, oldVersionOnly bool, now time.Time) string {
	r := m.runningMoveOf(subject)
	if r == nil {
		current, _ := d.CurrentVersion(subject)
		return current
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.PickVersion(oldVersionOnly, now, rand.New(globalSource{}))
}

// signalLocalStop signals a local stop once. The caller holds the lock.
func (r *runningMove) signalLocalStop() {
	if _, stopped := r.guard.Stopped(); stopped && !r.stopSignalled.Swap(true) {
		r.stopped <- struct{}{} // never blocks: the buffer holds the only signal
	}
}

// observeTry passes the outcome of a try to the guard, unless an earlier try of
// the request may have run.
func (e *Entry) observeTry(x *exchange, t try, latency time.Duration, failed bool, now time.Time) {
	r := e.moves.runningMoveOf(x.spec.subject)
	if r == nil || t.afterPossibleRun {
		return
	}
	level := e.loadWatcher.loadLevel(x.spec.subject)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.guard.Observe(t.version, x.spec.route, level, latency, failed, now)
	r.signalLocalStop()
}

// digestLoop sends the digests of the running moves to the other entries.
func (e *Entry) digestLoop() {
	var lastSent time.Time
	e.runEvery(digestInterval/10, func() {
		now := e.clock.Now()
		due := now.Sub(lastSent) >= digestInterval
		for _, r := range *e.moves.running.Load() {
			select {
			case <-r.stopped:
				e.reportLocalStop(r)
			default:
				if !due {
					continue
				}
			}
			e.sendDigest(r, now)
		}
		if due {
			lastSent = now
		}
	})
}

func (e *Entry) reportLocalStop(r *runningMove) {
	r.mu.Lock()
	evidence, _ := r.guard.Stopped()
	r.mu.Unlock()
	mv := r.move.Load()
	e.events.Record(timeline.Event{Kind: "move_stopped_locally", Move: mv.Name, Detail: evidence.String()})
	e.log.WithField("move", mv.Name).WithField("evidence", evidence.String()).Warn("stopped sending requests to the new version at this entry")
}

func (e *Entry) sendDigest(r *runningMove, now time.Time) {
	r.mu.Lock()
	digest := r.guard.Digest(now)
	r.signalLocalStop()
	r.mu.Unlock()
	e.moves.storeDigest(digest)
	data, err := cbor.Marshal(digest)
	if err != nil {
		e.log.WithError(err).Error("failed to encode the digest of a move")
		return
	}
	for _, addr := range e.settings.Entry.Entries {
		e.workers.Go(func() {
			_ = e.sendOneWay(e.ctx, addr, peer.MoveDigest{Move: digest.Move, Digest: data})
		})
	}
}

// receiveDigest processes the digest of another entry. A local stop at that
// entry stops the new version here, too.
func (e *Entry) receiveDigest(m peer.MoveDigest) {
	var digest move.Digest
	if err := cbor.Unmarshal(m.Digest, &digest); err != nil {
		e.log.WithError(err).Warn("failed to decode the digest of a move")
		return
	}
	for _, r := range *e.moves.running.Load() {
		if r.move.Load().Name != digest.Move {
			continue
		}
		r.mu.Lock()
		r.guard.ApplyRemoteStop(digest)
		r.signalLocalStop()
		r.mu.Unlock()
		e.moves.storeDigest(digest)
	}
}

// storeDigest keeps the latest digest of each entry for the controller.
func (m *moveTracker) storeDigest(d move.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byEntry := m.digests[d.Move]
	if byEntry == nil {
		byEntry = map[string]move.Digest{}
		m.digests[d.Move] = byEntry
	}
	byEntry[d.Entry+"/"+d.Incarnation] = d
}

func (m *moveTracker) digestsOf(name string) []move.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]move.Digest, 0, len(m.digests[name]))
	for _, d := range m.digests[name] {
		out = append(out, d)
	}
	return out
}
