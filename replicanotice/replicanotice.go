// Package replicanotice keeps what replicas say of themselves in their answers: that
// they leave, or that they want no requests for some time.
//
// Failure: a replica leaves or pauses while the registry can't say so, as this
// process is cut off from the store, or the store is away, behind or restored from a
// copy. What the replica answered binds this process, whatever the registry says,
// for the lifetime of that replica.
//
// Load patterns: a replica that leaves holds the only copy of prompt parts, which
// are read anew elsewhere; a third of the replicas pause together and end their
// pause at the same moment. The specs "a replica that leaves" and "replicas that
// pause together" replay them.
package replicanotice

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/replica"
)

// Notice is what a replica says of itself in an answer.
type Notice struct {
	Leaving bool
	Pause   time.Duration // for which it wants no requests; 0 for none
}

// Leaving tells other processes that a replica leaves.
type Leaving struct {
	Replica replica.Incarnation `cbor:"1,keyasint"`
}

// State is whether a replica takes requests.
type State struct {
	Gone       bool          // it takes none anymore
	Leaving    bool          // others are preferred
	LeavingFor time.Duration // since its first notice, or that of another process
	PausedFor  time.Duration // from now on; 0 if it takes requests
	// Share is the part of its usual requests that a replica gets after a pause. It
	// rises from 0 to 1.
	Share float64
}

const (
	// hintTTL is how long the notice of another process makes this one prefer other
	// replicas. The other one may be mistaken.
	hintTTL = 10 * time.Second
	// maxEndSpread bounds the random delay at the end of a pause, by which processes
	// return at different moments.
	maxEndSpread = 250 * time.Millisecond
	// slowStart is how long after a pause the share of requests rises.
	slowStart = time.Second
	// unseenTTL is how long a mark lasts after its replica has left the registry, as
	// an entry that comes back does not lift it.
	unseenTTL = 2 * time.Minute
	// maxMarks bounds the marked replicas. Beyond it, those that have been out of the
	// registry for longest are forgotten.
	maxMarks = 4096
)

type mark struct {
	leavingAt   time.Time // of the first answer that said so; zero for none
	hintedAt    time.Time // of the notice of another process; zero for none
	pausedUntil time.Time
	resumesAt   time.Time // pausedUntil and a random delay
	lastSeen    time.Time // in the registry
}

// Notices holds the notices of replicas. It is safe for concurrent use.
type Notices struct {
	drainTimeout time.Duration
	empty        atomic.Bool // saves most requests the lock

	mu    sync.Mutex
	rand  *rand.Rand
	marks map[replica.Incarnation]*mark
}

// New returns notices without any. A replica that leaves gets no requests from
// drainTimeout after its first notice on.
func New(drainTimeout time.Duration, rnd *rand.Rand) *Notices {
	n := &Notices{drainTimeout: drainTimeout, rand: rnd, marks: make(map[replica.Incarnation]*mark)}
	n.empty.Store(true)
	return n
}

// Record takes the notice in an answer. It reports whether the replica was not known
// to leave, and whether it now pauses for longer than before.
func (n *Notices) Record(r replica.Incarnation, notice Notice, now time.Time) (leaves, pauses bool) {
	if !notice.Leaving && notice.Pause <= 0 {
		return false, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.mark(r, now)
	if notice.Leaving && m.leavingAt.IsZero() {
		m.leavingAt, leaves = now, true
	}
	// time.Time.Add wraps around for durations that no clock reaches.
	if until := now.Add(min(notice.Pause, math.MaxInt64/2)); notice.Pause > 0 && until.After(m.pausedUntil) {
		spread := min(notice.Pause/2, maxEndSpread)
		m.pausedUntil, m.resumesAt = until, until.Add(time.Duration(n.rand.Float64()*float64(spread)))
		pauses = true
	}
	return leaves, pauses
}

// HandleLeaving takes the notice of another process. It only makes this one prefer
// other replicas for a while: a mistaken process can't take a replica away. It
// reports whether the replica was not known to leave.
func (n *Notices) HandleLeaving(l Leaving, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.marks[l.Replica] == nil && len(n.marks) >= maxMarks {
		return false
	}
	m := n.mark(l.Replica, now)
	known := !m.leavingAt.IsZero() || !m.hintedAt.IsZero() && now.Sub(m.hintedAt) < hintTTL
	if m.hintedAt.IsZero() || now.Sub(m.hintedAt) >= hintTTL {
		m.hintedAt = now
	}
	return !known
}

// mark returns the mark of a replica, which it adds if there is none. mu must be
// held.
func (n *Notices) mark(r replica.Incarnation, now time.Time) *mark {
	m := n.marks[r]
	if m != nil {
		return m
	}
	if len(n.marks) >= maxMarks {
		var oldest replica.Incarnation
		first := true
		for k, known := range n.marks {
			if first || known.lastSeen.Before(n.marks[oldest].lastSeen) {
				oldest, first = k, false
			}
		}
		delete(n.marks, oldest)
	}
	m = &mark{lastSeen: now}
	n.marks[r] = m
	n.empty.Store(false)
	return m
}

// State returns whether a replica takes requests.
func (n *Notices) State(r replica.Incarnation, now time.Time) State {
	if n.empty.Load() {
		return State{Share: 1}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.marks[r]
	if m == nil {
		return State{Share: 1}
	}
	return n.state(m, now)
}

func (n *Notices) state(m *mark, now time.Time) State {
	s := State{Share: 1}
	switch {
	case !m.leavingAt.IsZero():
		s.Leaving, s.LeavingFor = true, now.Sub(m.leavingAt)
		s.Gone = s.LeavingFor >= n.drainTimeout
	case !m.hintedAt.IsZero() && now.Sub(m.hintedAt) < hintTTL:
		s.Leaving, s.LeavingFor = true, now.Sub(m.hintedAt)
	}
	if m.resumesAt.IsZero() {
		return s
	}
	if s.PausedFor = max(m.resumesAt.Sub(now), 0); s.PausedFor > 0 {
		s.Share = 0
		return s
	}
	s.Share = min(float64(now.Sub(m.resumesAt))/float64(slowStart), 1)
	return s
}

// DrainTimeout returns the time after the first notice of a replica that leaves
// until it gets no more requests.
func (n *Notices) DrainTimeout() time.Duration { return n.drainTimeout }

// SetReplicas notes the replicas in the registry, and forgets those that have been
// out of it for long.
func (n *Notices) SetReplicas(live []replica.Replica, now time.Time) {
	if n.empty.Load() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range live {
		if m := n.marks[r.Incarnation()]; m != nil {
			m.lastSeen = now
		}
	}
	for k, m := range n.marks {
		if now.Sub(m.lastSeen) > unseenTTL {
			delete(n.marks, k)
		}
	}
	n.empty.Store(len(n.marks) == 0)
}

// Counts returns how many replicas leave and how many pause.
func (n *Notices) Counts(now time.Time) (leaving, paused int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.marks {
		s := n.state(m, now)
		if s.Leaving {
			leaving++
		}
		if s.PausedFor > 0 {
			paused++
		}
	}
	return leaving, paused
}
