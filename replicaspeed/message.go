package replicaspeed

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/replica"
)

// Message tells other processes what this one has seen since its last message.
type Message struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Entry holds the sums over the samples of one replica.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64   // hash of the replica.Incarnation, which is several times as long
	Samples float32  // weighted by certainty; may be 0 if a request counted earlier waits on
	Tokens  float32
	Seconds float32
}

const (
	// maxMessageBytes bounds a message, so that it fits in a datagram.
	maxMessageBytes = 1000
	// maxEntryBytes is the longest encoding of an entry, and messageHeaderBytes that of
	// the rest of a message with its key in a datagram.
	maxEntryBytes      = 1 + 9 + 3*5
	messageHeaderBytes = 24
	// receivedBytesPerSecond bounds what a process receives from all others together.
	receivedBytesPerSecond = 2000
	// sendInterval is the least time between two messages of a process. Messages are
	// so short that it is kept, as long as they hold minEntries.
	sendInterval = time.Second
	minEntries   = 3
	// Bounds of a valid entry. A process sees less than 1,000 samples of a replica
	// between two messages.
	maxEntrySamples    = 1000
	maxTokensPerSample = 10e6
	maxEntrySeconds    = 1000
)

// Stats counts messages.
type Stats struct {
	Sent     int64
	Received int64
	Invalid  int64 // entries that were ignored, as their values are impossible
}

// Stats returns the counts since the start.
func (s *Speeds) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// entryKey returns the hash by which messages name a replica.
func entryKey(r replica.Incarnation) uint64 {
	data := binary.BigEndian.AppendUint64([]byte(r.ID+"\x00"+r.Address.String()), uint64(r.Started))
	return xxhash.Sum64(data)
}

// NextMessage returns the message that is due for the other processes. The entries
// that differ most from the estimate come first; the rest is kept for the next one.
// It reports false if there are no new sums or the last message was too short a time ago.
func (s *Speeds) NextMessage(otherProcesses int, now time.Time) (Message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if otherProcesses <= 0 || now.Before(s.nextSend) {
		return Message{}, false
	}
	type news struct {
		replica  *Replica
		surprise float64
	}
	var list []news
	for _, r := range s.replicas {
		if r.unsent == (sums{}) {
			continue
		}
		if !r.unsent.valid() {
			r.unsent = sums{}
			continue
		}
		lasting, _ := r.slowness()
		expected := r.line.expected(r.unsent)
		list = append(list, news{r, math.Abs(r.unsent.seconds-lasting*expected) + expected/maxRatio})
	}
	if len(list) == 0 {
		return Message{}, false
	}
	slices.SortFunc(list, func(a, b news) int {
		return cmp.Or(cmp.Compare(b.surprise, a.surprise), cmp.Compare(a.replica.key, b.replica.key))
	})
	perSecond := float64(receivedBytesPerSecond) / float64(otherProcesses)
	limit := min(max(int(perSecond*sendInterval.Seconds()-messageHeaderBytes)/maxEntryBytes, minEntries), (maxMessageBytes-messageHeaderBytes)/maxEntryBytes)
	var m Message
	for _, n := range list[:min(len(list), limit)] {
		u := &n.replica.unsent
		m.Entries = append(m.Entries, Entry{Key: n.replica.key, Samples: float32(u.samples), Tokens: float32(u.tokens), Seconds: float32(u.seconds)})
		*u = sums{}
	}
	size := messageHeaderBytes + len(m.Entries)*maxEntryBytes
	s.nextSend = now.Add(max(sendInterval, time.Duration(float64(size)/perSecond*float64(time.Second))))
	s.stats.Sent++
	return m, true
}

func (s sums) valid() bool {
	return s.samples >= 0 && s.samples <= maxEntrySamples && s.tokens >= 0 && s.tokens <= s.samples*maxTokensPerSample &&
		math.Abs(s.seconds) <= maxEntrySeconds && (s.samples == 0 || s.seconds >= 0)
}

// HandleMessage takes the sums of another process. It ignores replicas that are not
// live and counts values that are impossible.
func (s *Speeds) HandleMessage(m Message, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Received++
	for _, e := range m.Entries {
		one := sums{samples: float64(e.Samples), tokens: float64(e.Tokens), seconds: float64(e.Seconds)}
		if !one.valid() {
			s.stats.Invalid++
			continue
		}
		r := s.byKey[e.Key]
		if r == nil {
			continue
		}
		if one.tokens > 0 && r.line.plain {
			*r.line = line{at: now}
			r.line.fit(&s.settings)
		}
		if expected := r.line.expected(one); one.samples > 0 {
			one.seconds = min(max(one.seconds, expected/maxRatio), expected*maxRatio)
		}
		r.line.add(one, now, &s.settings)
		r.add(one, now)
	}
}
