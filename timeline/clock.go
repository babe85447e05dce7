// Package timeline records typed events of a process and merges those of many
// processes in causal order.
package timeline

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timestamp is a hybrid logical time: Wall follows the physical clock, Logical
// orders events with the same Wall. Source: Kulkarni et al., "Logical Physical
// Clocks", 2014.
type Timestamp struct {
	Wall    int64  `json:"wall" cbor:"wall"` // Unix time in milliseconds
	Logical uint16 `json:"logical" cbor:"logical"`
}

// Before reports whether s orders before t.
func (s Timestamp) Before(t Timestamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Time returns the physical part of the stamp.
func (s Timestamp) Time() time.Time { return time.UnixMilli(s.Wall) }

// pack keeps a stamp in one word: 48 bits of milliseconds, 16 bits of counter.
func (s Timestamp) pack() uint64 { return uint64(s.Wall)<<16 | uint64(s.Logical) }

func unpack(v uint64) Timestamp { return Timestamp{Wall: int64(v >> 16), Logical: uint16(v)} }

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	physical clockwork.Clock
	last     atomic.Uint64
}

// NewClock returns a clock that follows the physical clock.
func NewClock(physical clockwork.Clock) *Clock { return &Clock{physical: physical} }

// Now returns a stamp later than all stamps that the clock returned or
// observed.
func (c *Clock) Now() Timestamp { return c.advance(Timestamp{}) }

// Observe moves the clock past a stamp received from another process.
func (c *Clock) Observe(remote Timestamp) Timestamp { return c.advance(remote) }

func (c *Clock) advance(remote Timestamp) Timestamp {
	for {
		last := c.last.Load()
		next := Timestamp{Wall: c.physical.Now().UnixMilli()}.pack()
		// Overflow of the counter carries into the wall part, which keeps the order.
		next = max(next, last+1, remote.pack()+1)
		if c.last.CompareAndSwap(last, next) {
			return unpack(next)
		}
	}
}
