// Package quarantine decides which parts of prompts are no longer sent to a
// service's replicas, because each replica that begins to answer a request with
// such a part crashes.
//
// Load pattern: requests with one part in common arrive at any gateway, crash the
// replica that they are sent to, and are sent to the next one, until no replica is
// left. Other requests in flight on a crashed replica are broken off too, so a
// crash makes the shared parts of all of them suspect. A part is put into
// quarantine when it is suspect in several crashes that don't coincide, no request
// with it was answered in between, and no other part explains the same crashes.
// Processes exchange what they observe, so that crashes at different processes
// count together. The spec "requests that crash one replica after the other"
// replays it.
//
// Load pattern: one request that crashes each replica that runs it comes again, at
// any gateway, to a service that may have prompts or not. The fingerprint of a
// request counts as a part that only this request has. Since it is sent to one
// replica after the other, its crashes may follow each other within the time of one
// run, and since it blocks nothing else, it goes before a shared part that is suspect
// in the same crashes. The spec "a request that comes again" replays it.
package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/replica"
)

// Settings are the parameters of the quarantine.
type Settings struct {
	Crashes     int // after which a part is put into quarantine; those that coincide count as one
	ManyCrashes int // the same, counting each, where two or more don't coincide; also settles a tie of parts that are suspect in the same crashes
	// RequestCoincidence replaces Coincidence for a request.
	RequestCoincidence time.Duration
	Coincidence        time.Duration // crashes within this time count as one: they have a cause in common outside of the requests
	Settle             time.Duration // from a crash until it counts, in which other processes report what they had in flight
	SoundAfter         time.Duration // a stream that lasts this long beyond its first event shows that its parts are sound
	EvidenceTTL        time.Duration // how long a crash counts
	Duration           time.Duration // of the quarantine
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Crashes: 3, ManyCrashes: 5, Coincidence: 100 * time.Millisecond, RequestCoincidence: 20 * time.Millisecond, Settle: 80 * time.Millisecond, SoundAfter: 500 * time.Millisecond,
		EvidenceTTL: 10 * time.Minute, Duration: 30 * time.Minute}
}

// RangeError reports a setting that is out of range.
type RangeError struct{ Field, Accepted string }

func (e *RangeError) Error() string {
	return fmt.Sprintf("quarantine: %s: accepted is %s", e.Field, e.Accepted)
}

// Validate checks the settings.
func (s Settings) Validate() error {
	switch {
	case s.Crashes < 1:
		return &RangeError{Field: "Crashes", Accepted: "1 or more"}
	case s.ManyCrashes < s.Crashes:
		return &RangeError{Field: "ManyCrashes", Accepted: "Crashes or more"}
	case s.Coincidence < 0 || s.RequestCoincidence < 0 || s.Settle < 0 || s.SoundAfter <= 0 || s.EvidenceTTL <= 0 || s.Duration <= 0:
		return &RangeError{Field: "durations", Accepted: "more than 0"}
	}
	return nil
}

const (
	// maxCrashes, maxPartsPerCrash and maxQuarantined bound the memory of a List.
	maxCrashes       = 256
	maxPartsPerCrash = 256
	maxQuarantined   = 1024
	maxAnswered      = 1024
	maxSound         = 4096
	// minDistinct is the least number of crashes that don't coincide, however many
	// there are.
	minDistinct = 2
	// A crash is announced again crashRepeats times, as a request counts from few
	// crashes on and messages are lost.
	crashRepeats   = 2
	repeatInterval = 120 * time.Millisecond
	// soundSweepInterval is the time between two removals of old answered requests.
	soundSweepInterval = 10 * time.Second
	// maxRepeatedRequests keeps a message within a datagram.
	maxRepeatedRequests = 16
	// objectionTTL is how long an answer speaks against a quarantine that another
	// process decides.
	objectionTTL = 10 * time.Second
	// objectionInterval is the time between announcements of answers with a part,
	// of all processes together if none is lost.
	objectionInterval = 50 * time.Millisecond
)

// Request IDs are the IDs of parts that stand for a whole request.
const requestPrefix = "request-"

// RequestID returns the ID that stands for the request with a fingerprint.
func RequestID(fingerprint string) string { return requestPrefix + fingerprint }

// IsRequestID reports whether an ID stands for a whole request.
func IsRequestID(id string) bool { return strings.HasPrefix(id, requestPrefix) }

// Part is a shared part of the prompts of a service, or one of its requests.
type Part struct {
	Service string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// Evidence is an observation that processes exchange: a Crash or an Answer.
type Evidence interface{ evidence() }

// Crash is the end of a replica with requests in flight.
type Crash struct {
	Service string              `cbor:"1,keyasint"`
	Replica replica.Incarnation `cbor:"2,keyasint"`
	PartIDs []string            `cbor:"3,keyasint"` // fingerprints and shared parts of the requests on which it may just have begun an answer
	Age     time.Duration       `cbor:"4,keyasint"` // time since the crash
}

// Answer is an answer to a request with a part.
type Answer struct {
	Part Part `cbor:"1,keyasint"`
}

func (Crash) evidence()  {}
func (Answer) evidence() {}

// Action is what a process must do after new evidence. It is one of Announce,
// Quarantined and Released.
type Action interface{ action() }

// Announce sends evidence to the other processes.
type Announce struct{ Evidence Evidence }

// Quarantined tells that a part is in quarantine now.
type Quarantined struct {
	Part    Part
	Crashes int
	Until   time.Time
}

// Released tells that a part is no longer in quarantine.
type Released struct {
	Part   Part
	Reason ReleaseReason
}

func (Announce) action()    {}
func (Quarantined) action() {}
func (Released) action()    {}

// ReleaseReason says why a part was released.
type ReleaseReason string

// Reasons of a release.
const (
	Answered ReleaseReason = "answered" // a request with the part was answered
	Expired  ReleaseReason = "expired"
	Withdrew ReleaseReason = "withdrawn" // by an operator or another process
)

// crashRecord is a crash and the parts that are still suspected of it.
type crashRecord struct {
	replica  replica.Incarnation
	service  string
	at       time.Time
	parts    map[string]bool
	repeats  int       // announcements of the requests among the parts that are still to be made, if this process observed the crash
	repeatAt time.Time // of the next one
}

// explainedWithout reports whether another part in quarantine than the given one
// explains the crash. A request in quarantine does not clear the shared parts of its
// prompt, which may crash replicas in other requests too.
func (c *crashRecord) explainedWithout(partID string, quarantined map[Part]time.Time) bool {
	for id := range c.parts {
		if id == partID || IsRequestID(id) && !IsRequestID(partID) {
			continue
		}
		if _, ok := quarantined[Part{Service: c.service, ID: id}]; ok {
			return true
		}
	}
	return false
}

// List holds the crashes that a process knows of, and the parts in quarantine. It
// is safe for concurrent use.
type List struct {
	settings Settings
	empty    atomic.Bool // whether nothing is remembered; saves most requests the lock

	mu           sync.Mutex
	unjudged     bool // whether what is known of the crashes has changed since the last Step
	crashes      map[replica.Incarnation]*crashRecord
	quarantined  map[Part]time.Time // until then
	answered     map[Part]answer    // of parts that were suspects
	sound        map[Part]time.Time // requests that were answered, and when; a crash while one runs again has another cause
	soundSweptAt time.Time
}

type answer struct {
	at        time.Time
	announced time.Time // by this process or another one
}

// New returns an empty list.
func New(s Settings) *List {
	l := &List{settings: s, crashes: make(map[replica.Incarnation]*crashRecord), quarantined: make(map[Part]time.Time), answered: make(map[Part]answer), sound: make(map[Part]time.Time)}
	l.empty.Store(true)
	return l
}

// unlock releases mu after a change.
func (l *List) unlock() {
	l.empty.Store(len(l.crashes) == 0 && len(l.quarantined) == 0 && len(l.answered) == 0)
	l.mu.Unlock()
}

// RecordCrash adds a crash that this process observed. Parts that were answered
// around the time of the crash are no suspects.
func (l *List) RecordCrash(c Crash, now time.Time) []Action {
	l.mu.Lock()
	defer l.unlock()
	c.PartIDs, _ = l.suspectIDs(c, now)
	if len(c.PartIDs) == 0 {
		return nil
	}
	l.add(c, now)
	if record := l.crashes[c.Replica]; record != nil && slices.ContainsFunc(c.PartIDs, IsRequestID) {
		record.repeats, record.repeatAt = crashRepeats, now.Add(repeatInterval)
	}
	return []Action{Announce{Evidence: c}}
}

// repeat returns the announcements that are due again.
func (l *List) repeat(now time.Time) []Action {
	var actions []Action
	for _, c := range l.crashes {
		if c.repeats == 0 || now.Before(c.repeatAt) {
			continue
		}
		c.repeats, c.repeatAt = c.repeats-1, now.Add(repeatInterval)
		var requests []string
		for id := range c.parts {
			if IsRequestID(id) && len(requests) < maxRepeatedRequests {
				requests = append(requests, id)
			}
		}
		if len(requests) > 0 {
			slices.Sort(requests)
			actions = append(actions, Announce{Evidence: Crash{Service: c.service, Replica: c.replica, PartIDs: requests, Age: now.Sub(c.at)}})
		}
	}
	return actions
}

// RecordAnswer adds an answer that this process received for a request with the
// given shared parts.
func (l *List) RecordAnswer(service string, partIDs []string, now time.Time) []Action {
	l.mu.Lock()
	defer l.unlock()
	for _, id := range partIDs {
		if IsRequestID(id) {
			l.noteSound(Part{Service: service, ID: id}, now)
		}
	}
	if l.empty.Load() {
		return nil
	}
	return l.clearAll(service, partIDs, now)
}

// noteSound remembers a request that was answered. Another one is forgotten if there
// are too many.
func (l *List) noteSound(p Part, now time.Time) {
	if _, known := l.sound[p]; !known && len(l.sound) >= maxSound {
		for other := range l.sound {
			delete(l.sound, other)
			break
		}
	}
	l.sound[p] = now
}

// wasAnswered reports whether an answer clears a part of a crash.
func (l *List) wasAnswered(p Part, crashedAt, now time.Time) bool {
	if a, ok := l.answered[p]; ok && !a.at.Before(crashedAt.Add(-l.settings.Coincidence)) {
		return true
	}
	at, ok := l.sound[p]
	return ok && now.Sub(at) <= l.settings.EvidenceTTL
}

// RecordInterruptedAnswer adds a stream that a crash interrupted long after its
// first event: its parts did not cause this crash or one at the same time.
func (l *List) RecordInterruptedAnswer(service string, partIDs []string, now time.Time) []Action {
	l.mu.Lock()
	defer l.unlock()
	actions := l.clearAll(service, partIDs, now)
	for _, id := range partIDs {
		l.noteAnswer(Part{Service: service, ID: id}, now)
	}
	return actions
}

// clearAll removes the suspicions of parts that this process has seen answered.
func (l *List) clearAll(service string, partIDs []string, now time.Time) []Action {
	var actions []Action
	for _, id := range partIDs {
		p := Part{Service: service, ID: id}
		if released, relevant := l.clear(p, now); relevant {
			actions = append(append(actions, l.announce(p, now)...), released...)
		}
	}
	return actions
}

// ProvesSound reports whether a stream that has lasted for some time since its
// first event shows that the parts of its prompt are sound.
func (l *List) ProvesSound(answerTime time.Duration) bool { return answerTime >= l.settings.SoundAfter }

// HandleEvidence adds an observation of another process.
func (l *List) HandleEvidence(e Evidence, now time.Time) []Action {
	l.mu.Lock()
	defer l.unlock()
	switch e := e.(type) {
	case Crash:
		var answered []Part
		e.PartIDs, answered = l.suspectIDs(e, now)
		l.add(e, now)
		var actions []Action
		for _, p := range answered {
			actions = append(actions, l.announce(p, now)...)
		}
		return actions
	case Answer:
		actions, _ := l.clear(e.Part, now)
		l.noteAnswer(e.Part, now)
		l.noteAnnounced(e.Part, now)
		return actions
	default:
		return nil
	}
}

// suspectIDs divides the parts of a crash into suspects and those that were
// answered around the time of the crash.
func (l *List) suspectIDs(c Crash, now time.Time) (suspects []string, answered []Part) {
	crashedAt := now.Add(-max(c.Age, 0))
	if known := l.crashes[c.Replica]; known != nil {
		crashedAt = known.at
	}
	for _, id := range c.PartIDs {
		p := Part{Service: c.Service, ID: id}
		if l.wasAnswered(p, crashedAt, now) {
			answered = append(answered, p)
		} else {
			suspects = append(suspects, id)
		}
	}
	return suspects, answered
}

// noteAnswer remembers the time of an answer.
func (l *List) noteAnswer(p Part, now time.Time) {
	if len(l.answered) >= maxAnswered {
		maps.DeleteFunc(l.answered, func(_ Part, a answer) bool { return now.Sub(a.at) > objectionTTL })
	}
	if known, ok := l.answered[p]; ok || len(l.answered) < maxAnswered {
		l.answered[p] = answer{at: now, announced: known.announced}
	}
}

// announce returns the announcement of an answer with a part, unless there was one
// a moment ago.
func (l *List) announce(p Part, now time.Time) []Action {
	if now.Sub(l.answered[p].announced) < objectionInterval {
		return nil
	}
	l.noteAnnounced(p, now)
	return []Action{Announce{Evidence: Answer{Part: p}}}
}

// noteAnnounced remembers the time of an announcement, if the answer is remembered.
func (l *List) noteAnnounced(p Part, now time.Time) {
	if a, ok := l.answered[p]; ok {
		a.announced = now
		l.answered[p] = a
	}
}

// add merges a crash with what is known of it.
func (l *List) add(c Crash, now time.Time) {
	if len(c.PartIDs) == 0 {
		return
	}
	record := l.crashes[c.Replica]
	if record == nil {
		if len(l.crashes) >= maxCrashes {
			oldest := slices.MinFunc(slices.Collect(maps.Values(l.crashes)), func(a, b *crashRecord) int { return a.at.Compare(b.at) })
			delete(l.crashes, oldest.replica)
		}
		record = &crashRecord{replica: c.Replica, service: c.Service, at: now.Add(-max(c.Age, 0)), parts: make(map[string]bool)}
		l.crashes[c.Replica] = record
	}
	l.unjudged = true
	for _, id := range c.PartIDs {
		if len(record.parts) < maxPartsPerCrash {
			record.parts[id] = true
		}
	}
}

// clear removes the suspicion of a part that was answered. It reports whether
// there was one.
func (l *List) clear(p Part, now time.Time) (actions []Action, relevant bool) {
	relevant = l.forget(p)
	if _, ok := l.quarantined[p]; ok {
		delete(l.quarantined, p)
		actions, relevant = []Action{Released{Part: p, Reason: Answered}}, true
	}
	if relevant {
		l.noteAnswer(p, now)
	}
	return actions, relevant
}

// forget removes a part from all crashes.
func (l *List) forget(p Part) (found bool) {
	for k, c := range l.crashes {
		if c.service != p.Service || !c.parts[p.ID] {
			continue
		}
		found = true
		l.unjudged = true // the rest of the parts may explain the crash now
		delete(c.parts, p.ID)
		if len(c.parts) == 0 {
			delete(l.crashes, k)
		}
	}
	return found
}

// judge puts parts into quarantine. Crashes of the last Settle don't count yet.
func (l *List) judge(now time.Time) []Action {
	var actions []Action
	for {
		suspects := l.suspects(now)
		verdicts := slices.DeleteFunc(slices.Collect(maps.Keys(suspects)), func(p Part) bool {
			_, known := l.quarantined[p]
			return known || !l.isCause(p, suspects)
		})
		if len(verdicts) == 0 || len(l.quarantined) >= maxQuarantined {
			return actions
		}
		slices.SortFunc(verdicts, func(a, b Part) int { return cmp.Compare(a.Service+a.ID, b.Service+b.ID) })
		for _, p := range verdicts {
			until := now.Add(l.settings.Duration)
			l.quarantined[p] = until
			actions = append(actions, Quarantined{Part: p, Crashes: len(suspects[p]), Until: until})
		}
	}
}

// suspects returns the settled crashes of each part, without those that another part
// in quarantine explains.
func (l *List) suspects(now time.Time) map[Part][]*crashRecord {
	suspects := make(map[Part][]*crashRecord)
	for _, c := range l.crashes {
		if now.Sub(c.at) < l.settings.Settle {
			l.unjudged = true
			continue
		}
		for id := range c.parts {
			if c.explainedWithout(id, l.quarantined) {
				continue
			}
			p := Part{Service: c.service, ID: id}
			suspects[p] = append(suspects[p], c)
		}
	}
	return suspects
}

// isCause reports whether a part is the cause of its crashes: it has enough of
// them, and no other part is suspect in all of these as well. Of a request and a
// shared part that are, the request is the cause.
func (l *List) isCause(p Part, suspects map[Part][]*crashRecord) bool {
	crashes := suspects[p]
	isRequest, coincidence := IsRequestID(p.ID), l.settings.Coincidence
	if isRequest {
		coincidence = l.settings.RequestCoincidence
	}
	n := distinct(crashes, coincidence)
	if n < l.settings.Crashes && (n < minDistinct || len(crashes) < l.settings.ManyCrashes) {
		return false
	}
	for other, otherCrashes := range suspects {
		if other == p || other.Service != p.Service || slices.ContainsFunc(crashes, func(c *crashRecord) bool { return !c.parts[other.ID] }) {
			continue
		}
		if otherIsRequest := IsRequestID(other.ID); isRequest != otherIsRequest {
			if otherIsRequest {
				return false
			}
			continue
		}
		if len(otherCrashes) > len(crashes) || n < l.settings.ManyCrashes {
			return false
		}
	}
	return true
}

// distinct counts the crashes that don't coincide.
func distinct(crashes []*crashRecord, coincidence time.Duration) int {
	times := make([]time.Time, len(crashes))
	for i, c := range crashes {
		times[i] = c.at
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= coincidence {
			n, last = n+1, at
		}
	}
	return n
}

// Blocks reports whether a request with the given shared parts must not be sent,
// and for how long.
func (l *List) Blocks(service string, partIDs []string, now time.Time) (p Part, remaining time.Duration, blocked bool) {
	if l.empty.Load() {
		return Part{}, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range partIDs {
		p = Part{Service: service, ID: id}
		if until, ok := l.quarantined[p]; ok && now.Before(until) {
			return p, until.Sub(now), true
		}
	}
	return Part{}, 0, false
}

// Add puts a part into quarantine because another process has, unless a request
// with the part was answered a short time ago.
func (l *List) Add(p Part, now time.Time) []Action {
	l.mu.Lock()
	defer l.unlock()
	soundAt, sound := l.sound[p]
	if a, ok := l.answered[p]; sound && now.Sub(soundAt) <= l.settings.EvidenceTTL || ok && now.Sub(a.at) < objectionTTL {
		return append(l.announce(p, now), Released{Part: p, Reason: Answered})
	}
	if _, ok := l.quarantined[p]; ok || len(l.quarantined) >= maxQuarantined {
		return nil
	}
	until := now.Add(l.settings.Duration)
	l.quarantined[p] = until
	return []Action{Quarantined{Part: p, Until: until}}
}

// Withdraw releases a part, and forgets the crashes that it is suspected of.
func (l *List) Withdraw(p Part) []Action {
	l.mu.Lock()
	defer l.unlock()
	l.forget(p)
	if _, ok := l.quarantined[p]; !ok {
		return nil
	}
	delete(l.quarantined, p)
	return []Action{Released{Part: p, Reason: Withdrew}}
}

// Step decides on the crashes that have settled, and drops crashes and parts whose
// time is over. It must be called several times per Settle while Pending returns
// true.
func (l *List) Step(now time.Time) []Action {
	l.mu.Lock()
	defer l.unlock()
	var actions []Action
	for p, until := range l.quarantined {
		if !now.Before(until) {
			delete(l.quarantined, p)
			actions = append(actions, Released{Part: p, Reason: Expired})
		}
	}
	maps.DeleteFunc(l.answered, func(_ Part, a answer) bool { return now.Sub(a.at) > objectionTTL })
	if now.Sub(l.soundSweptAt) >= soundSweepInterval {
		l.soundSweptAt = now
		maps.DeleteFunc(l.sound, func(_ Part, at time.Time) bool { return now.Sub(at) > l.settings.EvidenceTTL })
	}
	maps.DeleteFunc(l.crashes, func(_ replica.Incarnation, c *crashRecord) bool { return now.Sub(c.at) > l.settings.EvidenceTTL })
	actions = append(actions, l.repeat(now)...)
	if l.unjudged {
		l.unjudged = false
		actions = append(actions, l.judge(now)...)
	}
	return actions
}

// Pending reports whether Step has something to decide.
func (l *List) Pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unjudged {
		return true
	}
	for _, c := range l.crashes {
		if c.repeats > 0 {
			return true
		}
	}
	return false
}

// Empty reports whether nothing is remembered.
func (l *List) Empty() bool { return l.empty.Load() }

// SoundCount returns the number of answered requests that are remembered.
func (l *List) SoundCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sound)
}

// AnswerCount returns the number of answers that are remembered.
func (l *List) AnswerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answered)
}

// Parts returns the parts in quarantine.
func (l *List) Parts() []Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.quarantined))
}
