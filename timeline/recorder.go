package timeline

import (
	"slices"
	"strings"
	"sync"
)

// RecorderCapacity is the number of events that a Recorder keeps.
const RecorderCapacity = 8192

// Event is one event of the timeline. RequestID, Workspace, Target and Move are
// empty and ConfigNumber is 0 if the event does not concern one. Kind and Detail
// are set by the process that records the event; Detail may be empty.
type Event struct {
	At           Timestamp `json:"at" cbor:"at"`
	Process      string    `json:"process" cbor:"process"`
	Kind         string    `json:"kind" cbor:"kind"`
	RequestID    string    `json:"request_id,omitempty" cbor:"request_id,omitempty"`
	Workspace    string    `json:"workspace,omitempty" cbor:"workspace,omitempty"`
	Target       string    `json:"target,omitempty" cbor:"target,omitempty"`
	Move         string    `json:"move,omitempty" cbor:"move,omitempty"`
	ConfigNumber uint64    `json:"config_number,omitempty" cbor:"config_number,omitempty"`
	Detail       string    `json:"detail,omitempty" cbor:"detail,omitempty"`
}

// Filter selects events. Empty fields match everything. Limit bounds the number
// of events that Events and Merge return, and Match ignores it.
type Filter struct {
	RequestID    string `json:"request_id,omitempty" cbor:"request_id,omitempty"`
	Workspace    string `json:"workspace,omitempty" cbor:"workspace,omitempty"`
	Move         string `json:"move,omitempty" cbor:"move,omitempty"`
	ConfigNumber uint64 `json:"config_number,omitempty" cbor:"config_number,omitempty"`
	Limit        int    `json:"limit,omitempty" cbor:"limit,omitempty"`
}

// Match reports whether the event passes the filter.
func (f Filter) Match(e Event) bool {
	return (f.RequestID == "" || f.RequestID == e.RequestID) &&
		(f.Workspace == "" || f.Workspace == e.Workspace) &&
		(f.Move == "" || f.Move == e.Move) &&
		(f.ConfigNumber == 0 || f.ConfigNumber == e.ConfigNumber)
}

// Recorder keeps the last RecorderCapacity events of a process. It is safe for
// concurrent use.
type Recorder struct {
	process string
	clock   *Clock

	mu   sync.Mutex
	ring []Event
	next int // index of the oldest event when the ring is full
}

// NewRecorder returns a recorder for the named process.
func NewRecorder(process string, clock *Clock) *Recorder {
	return &Recorder{process: process, clock: clock}
}

// Clock returns the recorder's hybrid logical clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stores an event after setting its At and Process. When the ring buffer
// is full, the oldest event is overwritten.
func (r *Recorder) Record(e Event) {
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.clock.Now()
	if len(r.ring) < RecorderCapacity {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % RecorderCapacity
}

// Events returns the matching events, oldest first. If Limit is set, it returns
// at most that many of the newest.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.ring {
		if e := r.ring[(r.next+i)%len(r.ring)]; f.Match(e) {
			out = append(out, e)
		}
	}
	return newest(out, f.Limit)
}

// Merge orders the events of several processes by timestamp, and by process if
// the timestamps are equal. If Limit is set, it returns at most that many of the
// newest. It uses no other field of the filter: the lists must be filtered
// already.
func Merge(f Filter, lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		switch {
		case a.At.Before(b.At):
			return -1
		case b.At.Before(a.At):
			return 1
		default:
			return strings.Compare(a.Process, b.Process)
		}
	})
	return newest(all, f.Limit)
}

func newest(events []Event, limit int) []Event {
	if limit > 0 && len(events) > limit {
		return events[len(events)-limit:]
	}
	return events
}
