package placement

import (
	"sync"
	"time"
)

// maxCached bounds the parts of prompts that are remembered.
const maxCached = 8192

// cache remembers which replicas have read which parts of prompts.
type cache struct {
	keep time.Duration
	mu   *sync.Mutex
	read map[readPart]time.Time
}

type readPart struct {
	hash    uint64
	replica string
}

func newCache(keep time.Duration) cache {
	return cache{keep: keep, mu: &sync.Mutex{}, read: make(map[readPart]time.Time)}
}

func (c *cache) add(hash uint64, replica string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.read) >= maxCached {
		for k, at := range c.read {
			if now.Sub(at) > c.keep {
				delete(c.read, k)
			}
		}
		if len(c.read) >= maxCached {
			clear(c.read)
		}
	}
	c.read[readPart{hash, replica}] = now
}

// depth returns the tokens of the leading parts that a replica has read.
func (c *cache) depth(parts []PromptPart, replica string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := 0
	for _, part := range parts {
		at, ok := c.read[readPart{part.PrefixHash, replica}]
		if !ok || now.Sub(at) > c.keep {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
