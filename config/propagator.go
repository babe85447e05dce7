package config

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
	"time"
)

// PropagatorAction is the next step that the caller of Decide must perform. It
// is one of ReadHead, FetchDocument and Notify.
type PropagatorAction interface{ propagatorAction() }

type (
	// ReadHead asks for a read of the head row. The result goes to HeadRead or
	// ReadFailed.
	ReadHead struct{}
	// FetchDocument asks for document Number from the table if Peer is empty,
	// else for the newest document of Peer. The result goes to Applied or
	// FetchFailed.
	FetchDocument struct {
		Number uint64
		Peer   string
	}
	// Notify asks for the number to be sent to the peers.
	Notify struct {
		Number uint64
		Peers  []string
	}
)

func (ReadHead) propagatorAction()      {}
func (FetchDocument) propagatorAction() {}
func (Notify) propagatorAction()        {}

const (
	// DefaultReadInterval is the time between two reads of the head row.
	DefaultReadInterval = 2 * time.Second
	// DefaultHintDelay bounds the random delay between a peer's message with a
	// newer number and the fetch, so that the daemons don't all read the new row
	// at once.
	DefaultHintDelay = 500 * time.Millisecond

	// maxReadDelay bounds the time between two reads while the table is
	// unavailable. A number accepted just after the table recovers is then still
	// read within the 7 s in which it must be in force.
	maxReadDelay = 5 * time.Second
	// actionTimeout is the time after which an action without a result counts as
	// failed. The table client's timeout is 2 s.
	actionTimeout = 3 * time.Second
	// notifyInterval is the time between two notifications of a peer that has
	// not acknowledged the number; a notification may be lost.
	notifyInterval = 2 * time.Second
	// fetchRetryDelay is the time between two attempts to fetch a document.
	fetchRetryDelay = 500 * time.Millisecond
)

// Propagator is a state machine that decides when one daemon reads the head
// row, from where it fetches a newer document, and which connected peers it
// notifies. It is used only in tests and benchmarks: the processes use
// configsync.Follower. Its document number never decreases. All times are from
// the daemon's own clock.
type Propagator struct {
	readInterval time.Duration
	hintDelay    time.Duration
	peersFirst   bool

	number        uint64 // of the document in force at this daemon
	newestKnown   uint64
	newestKnownAt time.Time
	readFailures  int // consecutive

	nextReadAt     time.Time
	readStartedAt  time.Time // zero if no read is in flight
	nextFetchAt    time.Time
	fetchStartedAt time.Time // zero if no fetch is in flight
	fetchFromPeer  bool      // source of the next fetch

	peers map[string]*peerState
}

type peerState struct {
	number         uint64 // as last reported by the peer
	notifiedNumber uint64
	notifiedAt     time.Time
}

// PropagatorOption configures a Propagator.
type PropagatorOption func(*Propagator)

// WithReadInterval sets the time between two reads of the head row.
func WithReadInterval(d time.Duration) PropagatorOption {
	return func(p *Propagator) { p.readInterval = d }
}

// WithHintDelay sets the maximum random delay between a peer's message with a
// newer document number and the fetch.
func WithHintDelay(d time.Duration) PropagatorOption { return func(p *Propagator) { p.hintDelay = d } }

// WithPeersFirst makes the daemon fetch documents from a connected peer that
// has them before it reads the table. It is meant for agents of the largest
// expected deployment, in two years: 600 agents that read a document of 40 KB
// at once exceed the table's read rate.
func WithPeersFirst() PropagatorOption { return func(p *Propagator) { p.peersFirst = true } }

// NewPropagator returns the state of a daemon without a document. Its first
// read of the head row is due at once.
func NewPropagator(now time.Time, opts ...PropagatorOption) *Propagator {
	p := &Propagator{readInterval: DefaultReadInterval, hintDelay: DefaultHintDelay, nextReadAt: now, peers: map[string]*peerState{}}
	for _, opt := range opts {
		opt(p)
	}
	p.fetchFromPeer = p.peersFirst
	return p
}

// Number returns the number of the document in force at the daemon.
func (p *Propagator) Number() uint64 { return p.number }

// NewestKnown returns the newest document number that the daemon knows to
// exist.
func (p *Propagator) NewestKnown() uint64 { return p.newestKnown }

// AcceptsDispatch reports whether an agent may run a dispatch under the
// document number.
// Older numbers are refused: an entry that is cut off from the configuration
// must not continue to work with an outdated one.
func (p *Propagator) AcceptsDispatch(number uint64) bool { return number >= p.number }

// Connected records a connection to a peer.
func (p *Propagator) Connected(peer string) {
	if p.peers[peer] == nil {
		p.peers[peer] = &peerState{}
	}
}

// Disconnected removes a peer.
func (p *Propagator) Disconnected(peer string) { delete(p.peers, peer) }

// ObserveNumber records the number in a message from a peer: a ConfigNumber,
// Hello, Load, Heartbeat, Dispatch or Refusal.
func (p *Propagator) ObserveNumber(peer string, number uint64, now time.Time, random *rand.Rand) {
	if state := p.peers[peer]; state != nil {
		state.number = number // lower after a restart of the peer
	}
	p.recordNumber(number, now, jitter(p.hintDelay, random))
}

// recordNumber records that a number exists and schedules its fetch after the
// delay.
func (p *Propagator) recordNumber(number uint64, now time.Time, delay time.Duration) {
	if number <= p.newestKnown {
		return
	}
	p.newestKnown, p.newestKnownAt = number, now
	if number > p.number && (p.nextFetchAt.IsZero() || p.nextFetchAt.After(now.Add(delay))) {
		p.nextFetchAt = now.Add(delay)
	}
}

// HeadRead records the number in the head row, 0 if the row does not exist.
func (p *Propagator) HeadRead(number uint64, now time.Time, random *rand.Rand) {
	started := p.readStartedAt
	p.readFailures = 0
	p.fetchFromPeer = p.peersFirst
	p.scheduleRead(now, p.readInterval, random)
	if number < p.newestKnown && !started.IsZero() && p.newestKnownAt.Before(started) {
		// The read is strongly consistent, so a larger number that was reported
		// before it does not exist.
		p.newestKnown = max(number, p.number)
	}
	p.recordNumber(number, now, 0)
}

// ReadFailed records that the read of the head row failed.
func (p *Propagator) ReadFailed(now time.Time, random *rand.Rand) {
	p.readFailures++
	p.fetchFromPeer = true
	backoff := p.readInterval
	for i := 0; i < p.readFailures && backoff < maxReadDelay; i++ {
		backoff *= 2
	}
	p.scheduleRead(now, min(backoff, maxReadDelay), random)
}

func (p *Propagator) scheduleRead(now time.Time, wait time.Duration, random *rand.Rand) {
	p.readStartedAt = time.Time{}
	p.nextReadAt = now.Add(wait - jitter(wait/5, random))
}

// Applied records that the daemon has a document. It reports whether the
// document is newer than the one in force.
func (p *Propagator) Applied(number uint64, now time.Time) bool {
	p.fetchStartedAt = time.Time{}
	newer := number > p.number
	if newer {
		p.number = number
	}
	if number > p.newestKnown {
		p.newestKnown, p.newestKnownAt = number, now
	}
	if p.number >= p.newestKnown {
		p.nextFetchAt = time.Time{}
	} else {
		p.nextFetchAt = now.Add(fetchRetryDelay)
	}
	return newer
}

// FetchFailed records that a fetch failed. The next one uses the other source.
func (p *Propagator) FetchFailed(now time.Time) {
	p.fetchStartedAt = time.Time{}
	p.fetchFromPeer = !p.fetchFromPeer
	p.nextFetchAt = now.Add(fetchRetryDelay)
}

// NextDue returns the time by which Decide must be called again.
func (p *Propagator) NextDue() time.Time {
	at := p.nextReadAt
	if !p.readStartedAt.IsZero() {
		at = p.readStartedAt.Add(actionTimeout)
	}
	fetch := p.nextFetchAt
	if !p.fetchStartedAt.IsZero() {
		fetch = p.fetchStartedAt.Add(actionTimeout)
	}
	if p.newestKnown > p.number && fetch.Before(at) {
		at = fetch
	}
	for _, state := range p.peers {
		if state.number >= p.number {
			continue
		}
		if due := state.notifyDue(p.number); due.Before(at) {
			at = due
		}
	}
	return at
}

// notifyDue returns when the peer must be notified of the number.
func (s *peerState) notifyDue(number uint64) time.Time {
	if s.notifiedNumber < number {
		return time.Time{}
	}
	return s.notifiedAt.Add(notifyInterval)
}

// Decide returns the actions that are due.
func (p *Propagator) Decide(now time.Time, random *rand.Rand) []PropagatorAction {
	var actions []PropagatorAction
	if !p.readStartedAt.IsZero() && now.Sub(p.readStartedAt) >= actionTimeout {
		p.ReadFailed(now, random)
	}
	if !p.fetchStartedAt.IsZero() && now.Sub(p.fetchStartedAt) >= actionTimeout {
		p.FetchFailed(now)
		p.nextFetchAt = now
	}
	if p.readStartedAt.IsZero() && !now.Before(p.nextReadAt) {
		p.readStartedAt = now
		actions = append(actions, ReadHead{})
	}
	if p.newestKnown > p.number && p.fetchStartedAt.IsZero() && !now.Before(p.nextFetchAt) {
		p.fetchStartedAt = now
		actions = append(actions, FetchDocument{Number: p.newestKnown, Peer: p.fetchSource(random)})
	}
	var lagging []string
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		state := p.peers[name]
		if state.number < p.number && !now.Before(state.notifyDue(p.number)) {
			state.notifiedNumber, state.notifiedAt = p.number, now
			lagging = append(lagging, name)
		}
	}
	if len(lagging) > 0 {
		actions = append(actions, Notify{Number: p.number, Peers: lagging})
	}
	return actions
}

// fetchSource returns the peer to fetch from, or "" for the table.
func (p *Propagator) fetchSource(random *rand.Rand) string {
	if !p.fetchFromPeer {
		return ""
	}
	var candidates []string
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		if p.peers[name].number > p.number {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[random.Intn(len(candidates))]
}

// jitter returns a random duration below d.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(random.Float64() * float64(d))
}

// Acknowledgements records which document each daemon has, by number. Like
// Propagator, it is used only in tests. All times are from the observer's
// clock, so clock differences between daemons do not matter.
type Acknowledgements struct {
	currentNumber uint64
	acceptedAt    time.Time
	inForceAt     time.Time               // zero if not yet in force
	daemons       map[string]*daemonState // by process name
}

type daemonState struct {
	incarnation string
	number      uint64
	numberSince time.Time
	lastSeen    time.Time
}

// NewAcknowledgements returns Acknowledgements without daemons.
func NewAcknowledgements() *Acknowledgements {
	return &Acknowledgements{daemons: map[string]*daemonState{}}
}

// SetExpected sets the daemons that must have the current number: the entries
// and agents of the configuration, the VM list and the settings. All others are
// removed.
func (a *Acknowledgements) SetExpected(processes []string, now time.Time) {
	daemons := make(map[string]*daemonState, len(processes))
	for _, name := range processes {
		daemons[name] = cmp.Or(a.daemons[name], &daemonState{})
	}
	a.daemons = daemons
	a.updateInForce(now)
}

// Observe records the number of a daemon. incarnation identifies the start of
// the process by a ULID, which sorts by time: late messages of an earlier
// incarnation are ignored, and within one incarnation the number never
// decreases.
func (a *Acknowledgements) Observe(process, incarnation string, number uint64, now time.Time) {
	a.RecordAccepted(number, now)
	d := a.daemons[process]
	if d == nil || incarnation < d.incarnation {
		return
	}
	d.lastSeen = now
	if incarnation > d.incarnation {
		d.incarnation, d.number, d.numberSince = incarnation, number, now
	} else if number > d.number {
		d.number, d.numberSince = number, now
	}
	a.updateInForce(now)
}

// RecordAccepted records the newest accepted number as the current one.
func (a *Acknowledgements) RecordAccepted(number uint64, now time.Time) {
	if number > a.currentNumber {
		a.currentNumber, a.acceptedAt, a.inForceAt = number, now, time.Time{}
		a.updateInForce(now)
	}
}

func (a *Acknowledgements) updateInForce(now time.Time) {
	if !a.inForceAt.IsZero() || a.currentNumber == 0 {
		return
	}
	for _, d := range a.daemons {
		if d.number < a.currentNumber {
			return
		}
	}
	a.inForceAt = now
}

// DaemonStatus is the document number of one daemon. NumberSince is when it was
// first reported, LastSeen when the last message arrived; both are zero if none
// did.
type DaemonStatus struct {
	Process     string    `json:"process"`
	Number      uint64    `json:"number"`
	NumberSince time.Time `json:"since,omitzero"`
	LastSeen    time.Time `json:"seen,omitzero"`
}

// AckStatus lists which daemons have the current document. InForceAt is when the
// last expected daemon reported it, or zero. A daemon that restarts afterwards
// is in Behind until it has the number again; InForceAt stays.
type AckStatus struct {
	Number     uint64         `json:"number"`
	AcceptedAt time.Time      `json:"accepted,omitzero"`
	InForceAt  time.Time      `json:"in_force,omitzero"`
	UpToDate   []DaemonStatus `json:"having"`
	Behind     []DaemonStatus `json:"lacking"`
}

// Status returns the state of the current number, with daemons sorted by
// process.
func (a *Acknowledgements) Status() AckStatus {
	status := AckStatus{Number: a.currentNumber, AcceptedAt: a.acceptedAt, InForceAt: a.inForceAt, UpToDate: []DaemonStatus{}, Behind: []DaemonStatus{}}
	for name, d := range a.daemons {
		row := DaemonStatus{Process: name, Number: d.number, NumberSince: d.numberSince, LastSeen: d.lastSeen}
		if d.number < a.currentNumber {
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
