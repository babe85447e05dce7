package config

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
	"time"
)

// SpreadAction is what a daemon must do to stay at the newest number. It is
// one of ReadHead, FetchDocument and Notify.
type SpreadAction interface{ spreadAction() }

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
	// DefaultInterval is the time between two reads of the head row.
	DefaultInterval = 2 * time.Second
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

// Spread decides when one daemon reads the head row, from where it fetches a
// newer document, and which connected peers it notifies. Its number never
// goes back. Times are those of the daemon's own clock only.
type Spread struct {
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

// SpreadOption changes a Spread.
type SpreadOption func(*Spread)

// WithInterval sets the time between two reads of the head row.
func WithInterval(d time.Duration) SpreadOption { return func(s *Spread) { s.interval = d } }

// WithHintDelay sets the longest random delay between a hint and the fetch.
func WithHintDelay(d time.Duration) SpreadOption { return func(s *Spread) { s.hintDelay = d } }

// WithPeersFirst makes the daemon fetch documents from a connected peer that
// has them before it asks the table. Agents use it at the size of two years:
// 600 agents that read a document of 40 KB at once exceed the table's rate.
func WithPeersFirst() SpreadOption { return func(s *Spread) { s.peerFirst = true } }

// NewSpread returns the state of a daemon that has no document. Its first head
// read is due at once.
func NewSpread(now time.Time, opts ...SpreadOption) *Spread {
	s := &Spread{interval: DefaultInterval, hintDelay: DefaultHintDelay, readAt: now, peers: map[string]*spreadPeer{}}
	for _, opt := range opts {
		opt(s)
	}
	s.fetchPeer = s.peerFirst
	return s
}

// Number returns the number in force at the daemon.
func (s *Spread) Number() uint64 { return s.number }

// Known returns the newest number that the daemon has heard of.
func (s *Spread) Known() uint64 { return s.known }

// Accepts reports whether an agent may run a dispatch under the number. It
// refuses older ones: an entry that is cut off from the configuration must not
// go on under what was changed.
func (s *Spread) Accepts(number uint64) bool { return number >= s.number }

// Connected records a connection to a peer.
func (s *Spread) Connected(peer string) {
	if s.peers[peer] == nil {
		s.peers[peer] = &spreadPeer{}
	}
}

// Disconnected forgets a peer.
func (s *Spread) Disconnected(peer string) { delete(s.peers, peer) }

// ObserveNumber records the number in a message of a peer: a ConfigNumber,
// Hello, Load, Heartbeat, Dispatch or Refusal.
func (s *Spread) ObserveNumber(peer string, number uint64, now time.Time, random *rand.Rand) {
	if p := s.peers[peer]; p != nil {
		p.number = number // a restarted peer starts again at a lower number
	}
	s.hear(number, now, jitter(s.hintDelay, random))
}

// hear records that a number exists; it is fetched after the delay.
func (s *Spread) hear(number uint64, now time.Time, delay time.Duration) {
	if number <= s.known {
		return
	}
	s.known, s.heard = number, now
	if number > s.number && (s.fetchAt.IsZero() || s.fetchAt.After(now.Add(delay))) {
		s.fetchAt = now.Add(delay)
	}
}

// HeadRead records the number in the head row, or 0 if there is none.
func (s *Spread) HeadRead(number uint64, now time.Time, random *rand.Rand) {
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
func (s *Spread) ReadFailed(now time.Time, random *rand.Rand) {
	s.failures++
	s.fetchPeer = true
	backoff := s.interval
	for i := 0; i < s.failures && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	s.readDone(now, min(backoff, maxBackoff), random)
}

func (s *Spread) readDone(now time.Time, wait time.Duration, random *rand.Rand) {
	s.readSent = time.Time{}
	s.readAt = now.Add(wait - jitter(wait/5, random))
}

// Applied records that the daemon has a document. It reports whether the
// document comes into force: one with an older or the same number does not.
func (s *Spread) Applied(number uint64, now time.Time) bool {
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
func (s *Spread) FetchFailed(now time.Time) {
	s.fetchSent = time.Time{}
	s.fetchPeer = !s.fetchPeer
	s.fetchAt = now.Add(fetchRetry)
}

// Next returns the time at which Decide has something to do at the latest.
func (s *Spread) Next() time.Time {
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
func (s *Spread) Decide(now time.Time, random *rand.Rand) []SpreadAction {
	var actions []SpreadAction
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
func (s *Spread) source(random *rand.Rand) string {
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

// Expect sets the daemons that must have the current number: the entries and
// agents of the configuration, the VM list and the settings. Others are
// forgotten.
func (a *Acknowledgements) Expect(processes []string, now time.Time) {
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
	a.Accepted(number, now)
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

// Accepted records the current number.
func (a *Acknowledgements) Accepted(number uint64, now time.Time) {
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

// DaemonNumber is the number of one daemon. Since is when the number was first
// seen, Seen when the daemon was last heard; both are zero if it never was.
type DaemonNumber struct {
	Process string    `json:"process"`
	Number  uint64    `json:"number"`
	Since   time.Time `json:"since,omitzero"`
	Seen    time.Time `json:"seen,omitzero"`
}

// AckStatus says who has the current number. InForce is when the last expected
// daemon was seen to have it, or zero. A daemon that restarts afterwards is in
// Lacking until it has read the number again; InForce stays.
type AckStatus struct {
	Number   uint64         `json:"number"`
	Accepted time.Time      `json:"accepted,omitzero"`
	InForce  time.Time      `json:"in_force,omitzero"`
	Having   []DaemonNumber `json:"having"`
	Lacking  []DaemonNumber `json:"lacking"`
}

// Status returns the state of the current number, sorted by process.
func (a *Acknowledgements) Status() AckStatus {
	status := AckStatus{Number: a.current, Accepted: a.accepted, InForce: a.inForce, Having: []DaemonNumber{}, Lacking: []DaemonNumber{}}
	for name, d := range a.daemons {
		row := DaemonNumber{Process: name, Number: d.number, Since: d.since, Seen: d.seen}
		if d.number < a.current {
			status.Lacking = append(status.Lacking, row)
		} else {
			status.Having = append(status.Having, row)
		}
	}
	byName := func(x, y DaemonNumber) int { return cmp.Compare(x.Process, y.Process) }
	slices.SortFunc(status.Having, byName)
	slices.SortFunc(status.Lacking, byName)
	return status
}
