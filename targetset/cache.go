package targetset

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of one block of a prompt.
const BlockBytes = 1 << 10

// maxPrefixBlocks bounds the hashing per request for long prompts.
const maxPrefixBlocks = 64

// PrefixHashes returns the hashes of the first full blocks of BlockBytes, at most
// 64. The hash of a block is the xxHash64 of the prompt up to the end of the
// block.
func PrefixHashes(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	digest := xxhash.New()
	for i := range hashes {
		_, _ = digest.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// prefixCache tracks the prompt blocks that an entry assumes a target has
// cached. It is a direct-mapped table of atomic words, each the upper 48 bits of
// a hash and the time of its last use in seconds modulo 2^16. A collision
// replaces the older block. The table is allocated on first use.
type prefixCache struct {
	table atomic.Pointer[[]atomic.Uint64]
}

const (
	tagMask  = ^uint64(1<<16 - 1)
	timeMask = uint64(1<<16 - 1)
)

func (c *prefixCache) add(blocks []uint64, size int, now time.Time) {
	if size < 1 || len(blocks) == 0 {
		return
	}
	table := c.table.Load()
	if table == nil {
		fresh := make([]atomic.Uint64, size)
		if c.table.CompareAndSwap(nil, &fresh) {
			table = &fresh
		} else {
			table = c.table.Load()
		}
	}
	second := uint64(now.Unix()) & timeMask
	for _, b := range blocks {
		slot := &(*table)[b%uint64(len(*table))]
		if word := b&tagMask | second; slot.Load() != word {
			slot.Store(word)
		}
	}
}

func (c *prefixCache) remove(blocks []uint64) {
	table := c.table.Load()
	if table == nil {
		return
	}
	for _, b := range blocks {
		slot := &(*table)[b%uint64(len(*table))]
		if word := slot.Load(); word&tagMask == b&tagMask {
			slot.CompareAndSwap(word, 0)
		}
	}
}

// cachedPrefix returns the number of leading blocks that were added within
// maxAge.
func (c *prefixCache) cachedPrefix(blocks []uint64, maxAge time.Duration, now time.Time) int {
	table := c.table.Load()
	if table == nil {
		return 0
	}
	second, limit := uint64(now.Unix()), uint64(maxAge/time.Second)
	for i, b := range blocks {
		word := (*table)[b%uint64(len(*table))].Load()
		if word == 0 || word&tagMask != b&tagMask || (second-word)&timeMask > limit {
			return i
		}
	}
	return len(blocks)
}
