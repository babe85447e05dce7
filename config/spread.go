package config

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
	"time"
)

// PropagatorAction is what a daemon must do to stay at the newest number. It is
// one of ReadHead, FetchDocument and Notify.
type PropagatorAction interface{ spreadAction() }

type (
	// ReadHead reads the head row. The result goes to HeadRead or ReadFailed.
	ReadHead struct{}
	// FetchDocument reads document Number from the table if Peer is empty, or
	// asks Peer for its newest document. The result goes to Applied or
	// FetchFailed.
	FetchDocument struct {
		Number uint64
		Peer   string
	}
	// Notify sends the number to the peers.
	Notify struct {
		Number uint64
		Peers  []string
	}
)

func (ReadHead) spreadAction()      {}
func (FetchDocument) spreadAction() {}
func (Notify) spreadAction()        {}

const (
	// DefaultReadInterval is the time between two reads of the head row.
	DefaultReadInterval = 2 * time.Second
	// DefaultHintDelay bounds the random delay between a hint and the fetch, so
	// that the daemons don't all read the new row at once.
	DefaultHintDelay = 500 * time.Millisecond

	// maxBackoff bounds the time between two reads while the table is out. A
	// number accepted just after the table returns is then still read within
	// the 7 s in which it must be in force.
	maxBackoff = 5 * time.Second
	// lostAfter is the time after which an action without result counts as
	// failed. The table client's time limit is 2 s.
	lostAfter = 3 * time.Second
	// notifyInterval is the time between two notifications of a peer that has
	// not confirmed the number; a notification may be lost.
	notifyInterval = 2 * time.Second
	// fetchRetry is the time between two tries to fetch a document.
	fetchRetry = 500 * time.Millisecond
)

// Propagator decides when one daemon reads the head row, from where it fetches a
// newer document, and which connected peers it notifies. Its number never
// goes back. Times are those of the daemon's own clock only.
type Propagator struct {
	interval  time.Duration
	hintDelay time.Duration
	peerFirst bool

	number   uint64 // in force here
	known    uint64 // newest number heard of
	heard    time.Time
	failures int // failed reads of the table in a row

	readAt    time.Time // time of the next read
	readSent  time.Time // zero: no read is under way
	fetchAt   time.Time
	fetchSent time.Time // zero: no fetch is under way
	fetchPeer bool      // the next fetch goes to a peer

	peers map[string]*spreadPeer
}

type spreadPeer struct {
	number   uint64
	notified uint64
	at       time.Time
}

// PropagatorOption changes a Spread.
type PropagatorOption func(*Propagator)

// WithReadInterval sets the time between two reads of the head row.
func WithReadInterval(d time.Duration) PropagatorOption {
	return func(s *Propagator) { s.interval = d }
}

// WithHintDelay sets the longest random delay between a hint and the fetch.
func WithHintDelay(d time.Duration) PropagatorOption { return func(s *Propagator) { s.hintDelay = d } }

// WithPeersFirst makes the daemon fetch documents from a connected peer that
// has them before it asks the table. Agents use it at the size of two years:
// 600 agents that read a document of 40 KB at once exceed the table's rate.
func WithPeersFirst() PropagatorOption { return func(s *Propagator) { s.peerFirst = true } }

// NewPropagator returns the state of a daemon that has no document. Its first head
// read is due at once.
func NewPropagator(now time.Time, opts ...PropagatorOption) *Propagator {
	s := &Propagator{interval: DefaultReadInterval, hintDelay: DefaultHintDelay, readAt: now, peers: map[string]*spreadPeer{}}
	for _, opt := range opts {
		opt(s)
	}
	s.fetchPeer = s.peerFirst
	return s
}

// Number returns the number in force at the daemon.
func (s *Propagator) Number() uint64 { return s.number }

// NewestKnown returns the newest number that the daemon has heard of.
func (s *Propagator) NewestKnown() uint64 { return s.known }

// AcceptsDispatch reports whether an agent may run a dispatch under the number. It
// refuses older ones: an entry that is cut off from the configuration must not
// go on under what was changed.
func (s *Propagator) AcceptsDispatch(number uint64) bool { return number >= s.number }

// Connected records a connection to a peer.
func (s *Propagator) Connected(peer string) {
	if s.peers[peer] == nil {
		s.peers[peer] = &spreadPeer{}
	}
}

// Disconnected forgets a peer.
func (s *Propagator) Disconnected(peer string) { delete(s.peers, peer) }

// ObserveNumber records the number in a message of a peer: a ConfigNumber,
// Hello, Load, Heartbeat, Dispatch or Refusal.
func (s *Propagator) ObserveNumber(peer string, number uint64, now time.Time, random *rand.Rand) {
	if p := s.peers[peer]; p != nil {
		p.number = number // a restarted peer starts again at a lower number
	}
	s.hear(number, now, jitter(s.hintDelay, random))
}

// hear records that a number exists; it is fetched after the delay.
func (s *Propagator) hear(number uint64, now time.Time, delay time.Duration) {
	if number <= s.known {
		return
	}
	s.known, s.heard = number, now
	if number > s.number && (s.fetchAt.IsZero() || s.fetchAt.After(now.Add(delay))) {
		s.fetchAt = now.Add(delay)
	}
}

// HeadRead records the number in the head row, or 0 if there is none.
func (s *Propagator) HeadRead(number uint64, now time.Time, random *rand.Rand) {
	started := s.readSent
	s.failures = 0
	s.fetchPeer = s.peerFirst
	s.readDone(now, s.interval, random)
	if number < s.known && !started.IsZero() && s.heard.Before(started) {
		// The read is strongly consistent, so a larger number heard before it
		// does not exist.
		s.known = max(number, s.number)
	}
	s.hear(number, now, 0)
}

// ReadFailed records that the head row was not read.
func (s *Propagator) ReadFailed(now time.Time, random *rand.Rand) {
	s.failures++
	s.fetchPeer = true
	backoff := s.interval
	for i := 0; i < s.failures && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	s.readDone(now, min(backoff, maxBackoff), random)
}

func (s *Propagator) readDone(now time.Time, wait time.Duration, random *rand.Rand) {
	s.readSent = time.Time{}
	s.readAt = now.Add(wait - jitter(wait/5, random))
}

// Applied records that the daemon has a document. It reports whether the
// document comes into force: one with an older or the same number does not.
func (s *Propagator) Applied(number uint64, now time.Time) bool {
	s.fetchSent = time.Time{}
	newer := number > s.number
	if newer {
		s.number = number
	}
	if number > s.known {
		s.known, s.heard = number, now
	}
	if s.number >= s.known {
		s.fetchAt = time.Time{}
	} else {
		s.fetchAt = now.Add(fetchRetry)
	}
	return newer
}

// FetchFailed records that a document was not fetched. The next try goes to
// the other source.
func (s *Propagator) FetchFailed(now time.Time) {
	s.fetchSent = time.Time{}
	s.fetchPeer = !s.fetchPeer
	s.fetchAt = now.Add(fetchRetry)
}

// NextDue returns the time at which Decide has something to do at the latest.
func (s *Propagator) NextDue() time.Time {
	at := s.readAt
	if !s.readSent.IsZero() {
		at = s.readSent.Add(lostAfter)
	}
	fetch := s.fetchAt
	if !s.fetchSent.IsZero() {
		fetch = s.fetchSent.Add(lostAfter)
	}
	if s.known > s.number && fetch.Before(at) {
		at = fetch
	}
	for _, p := range s.peers {
		if p.number >= s.number {
			continue
		}
		if due := p.due(s.number); due.Before(at) {
			at = due
		}
	}
	return at
}

// due returns when the peer must be notified of the number.
func (p *spreadPeer) due(number uint64) time.Time {
	if p.notified < number {
		return time.Time{}
	}
	return p.at.Add(notifyInterval)
}

// Decide returns the actions that are due.
func (s *Propagator) Decide(now time.Time, random *rand.Rand) []PropagatorAction {
	var actions []PropagatorAction
	if !s.readSent.IsZero() && now.Sub(s.readSent) >= lostAfter {
		s.ReadFailed(now, random)
	}
	if !s.fetchSent.IsZero() && now.Sub(s.fetchSent) >= lostAfter {
		s.FetchFailed(now)
		s.fetchAt = now
	}
	if s.readSent.IsZero() && !now.Before(s.readAt) {
		s.readSent = now
		actions = append(actions, ReadHead{})
	}
	if s.known > s.number && s.fetchSent.IsZero() && !now.Before(s.fetchAt) {
		s.fetchSent = now
		actions = append(actions, FetchDocument{Number: s.known, Peer: s.source(random)})
	}
	var lagging []string
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		if p.number < s.number && !now.Before(p.due(s.number)) {
			p.notified, p.at = s.number, now
			lagging = append(lagging, name)
		}
	}
	if len(lagging) > 0 {
		actions = append(actions, Notify{Number: s.number, Peers: lagging})
	}
	return actions
}

// source returns the peer to fetch from, or "" for the table.
func (s *Propagator) source(random *rand.Rand) string {
	if !s.fetchPeer {
		return ""
	}
	var have []string
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if s.peers[name].number > s.number {
			have = append(have, name)
		}
	}
	if len(have) == 0 {
		return ""
	}
	return have[random.Intn(len(have))]
}

// jitter returns a random part of d.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(random.Float64() * float64(d))
}

// Acknowledgements records which daemon has which number. Times are those of
// the observer's clock, so clocks that differ do not matter.
type Acknowledgements struct {
	current  uint64
	accepted time.Time
	inForce  time.Time // zero: not yet
	daemons  map[string]*daemon
}

type daemon struct {
	start  string
	number uint64
	since  time.Time
	seen   time.Time
}

// NewAcknowledgements returns an observer that knows no daemon.
func NewAcknowledgements() *Acknowledgements {
	return &Acknowledgements{daemons: map[string]*daemon{}}
}

// SetExpected sets the daemons that must have the current number: the entries and
// agents of the configuration, the VM list and the settings. Others are
// forgotten.
func (a *Acknowledgements) SetExpected(processes []string, now time.Time) {
	daemons := make(map[string]*daemon, len(processes))
	for _, name := range processes {
		daemons[name] = cmp.Or(a.daemons[name], &daemon{})
	}
	a.daemons = daemons
	a.update(now)
}

// Observe records the number of a daemon. start identifies the start of the
// process (a ULID, which sorts by time): a message of an earlier start that
// arrives late is ignored, and within one start the number never goes back.
func (a *Acknowledgements) Observe(process, start string, number uint64, now time.Time) {
	a.RecordAccepted(number, now)
	d := a.daemons[process]
	if d == nil || start < d.start {
		return
	}
	d.seen = now
	if start > d.start {
		d.start, d.number, d.since = start, number, now
	} else if number > d.number {
		d.number, d.since = number, now
	}
	a.update(now)
}

// RecordAccepted records the current number.
func (a *Acknowledgements) RecordAccepted(number uint64, now time.Time) {
	if number > a.current {
		a.current, a.accepted, a.inForce = number, now, time.Time{}
		a.update(now)
	}
}

func (a *Acknowledgements) update(now time.Time) {
	if !a.inForce.IsZero() || a.current == 0 {
		return
	}
	for _, d := range a.daemons {
		if d.number < a.current {
			return
		}
	}
	a.inForce = now
}

// DaemonStatus is the number of one daemon. Since is when the number was first
// seen, Seen when the daemon was last heard; both are zero if it never was.
type DaemonStatus struct {
	Process     string    `json:"process"`
	Number      uint64    `json:"number"`
	NumberSince time.Time `json:"since,omitzero"`
	LastSeen    time.Time `json:"seen,omitzero"`
}

// AckStatus says who has the current number. InForce is when the last expected
// daemon was seen to have it, or zero. A daemon that restarts afterwards is in
// Lacking until it has read the number again; InForce stays.
type AckStatus struct {
	Number     uint64         `json:"number"`
	AcceptedAt time.Time      `json:"accepted,omitzero"`
	InForceAt  time.Time      `json:"in_force,omitzero"`
	UpToDate   []DaemonStatus `json:"having"`
	Behind     []DaemonStatus `json:"lacking"`
}

// Status returns the state of the current number, sorted by process.
func (a *Acknowledgements) Status() AckStatus {
	status := AckStatus{Number: a.current, AcceptedAt: a.accepted, InForceAt: a.inForce, UpToDate: []DaemonStatus{}, Behind: []DaemonStatus{}}
	for name, d := range a.daemons {
		row := DaemonStatus{Process: name, Number: d.number, NumberSince: d.since, LastSeen: d.seen}
		if d.number < a.current {
			status.Behind = append(status.Behind, row)
		} else {
			status.UpToDate = append(status.UpToDate, row)
		}
	}
	byName := func(x, y DaemonStatus) int { return cmp.Compare(x.Process, y.Process) }
	slices.SortFunc(status.UpToDate, byName)
	slices.SortFunc(status.Behind, byName)
	return status
}
