package quota

import (
	"math"
	"sync"
	"time"
)

// Directory holds the addresses and fingerprints of the holders, by their newest
// row in any part. The allocators of a process share it, so that reading one part
// is enough to know the processes that have restarted. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	entries map[string]directoryEntry // by holder
}

type directoryEntry struct {
	peer       Peer
	recordedAt time.Duration // by the store's clock
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{entries: make(map[string]directoryEntry)} }

func (d *Directory) add(p Peer, recordedAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.entries[p.Holder]; !ok || recordedAt >= old.recordedAt {
		d.entries[p.Holder] = directoryEntry{peer: p, recordedAt: recordedAt}
	}
}

func (d *Directory) peer(holder string) Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[holder].peer
}

// forgetTimes lets later rows replace all entries, as the store's clock may have
// been set back.
func (d *Directory) forgetTimes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for holder, e := range d.entries {
		e.recordedAt = math.MinInt64
		d.entries[holder] = e
	}
}

// Knows reports whether a certificate with this fingerprint belongs to a holder.
func (d *Directory) Knows(fingerprint string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.peer.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}
