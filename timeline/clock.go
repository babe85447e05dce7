// Package timeline records typed events of a process and merges those of many
// processes in causal order.
package timeline

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timestamp is a hybrid logical timestamp: Wall follows the physical clock,
// Logical orders events with the same Wall. Source: Kulkarni et al., "Logical
// Physical Clocks", 2014.
type Timestamp struct {
	Wall    int64  `json:"wall" cbor:"wall"` // Unix time in milliseconds
	Logical uint16 `json:"logical" cbor:"logical"`
}

// Before reports whether t orders before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Time returns the physical part of the timestamp.
func (t Timestamp) Time() time.Time { return time.UnixMilli(t.Wall) }

// pack encodes a timestamp in one word: 48 bits of milliseconds and 16 bits of
// the logical counter.
func (t Timestamp) pack() uint64 { return uint64(t.Wall)<<16 | uint64(t.Logical) }

func unpack(v uint64) Timestamp { return Timestamp{Wall: int64(v >> 16), Logical: uint16(v)} }

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	physical clockwork.Clock
	last     atomic.Uint64 // packed timestamp, the latest returned or observed
}

// NewClock returns a clock that follows the physical clock.
func NewClock(physical clockwork.Clock) *Clock { return &Clock{physical: physical} }

// Now returns a timestamp later than all those that the clock has returned or
// observed.
func (c *Clock) Now() Timestamp { return c.advance(Timestamp{}) }

// Observe advances the clock beyond a timestamp received from another process.
func (c *Clock) Observe(remote Timestamp) Timestamp { return c.advance(remote) }

func (c *Clock) advance(remote Timestamp) Timestamp {
	for {
		last := c.last.Load()
		next := Timestamp{Wall: c.physical.Now().UnixMilli()}.pack()
		// An overflow of the counter carries into the wall part, which keeps the
		// order.
		next = max(next, last+1, remote.pack()+1)
		if c.last.CompareAndSwap(last, next) {
			return unpack(next)
		}
	}
}
