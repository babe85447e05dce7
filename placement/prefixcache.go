package placement

import (
	"sync"
	"time"
)

// maxCacheEntries bounds the memory of a prefixCache.
const maxCacheEntries = 8192

// prefixCache estimates which prompt parts each replica has in its KV cache.
type prefixCache struct {
	ttl     time.Duration
	mu      *sync.Mutex
	entries map[cacheKey]time.Time
}

type cacheKey struct {
	prefixHash uint64
	replicaID  string
}

func newPrefixCache(ttl time.Duration) prefixCache {
	return prefixCache{ttl: ttl, mu: &sync.Mutex{}, entries: make(map[cacheKey]time.Time)}
}

func (c *prefixCache) add(hash uint64, replica string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) >= maxCacheEntries {
		for k, at := range c.entries {
			if now.Sub(at) > c.ttl {
				delete(c.entries, k)
			}
		}
		if len(c.entries) >= maxCacheEntries {
			clear(c.entries)
		}
	}
	c.entries[cacheKey{hash, replica}] = now
}

// cachedTokens returns the tokens of the leading parts cached by a replica.
func (c *prefixCache) cachedTokens(parts []PromptPart, replica string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := 0
	for _, part := range parts {
		at, ok := c.entries[cacheKey{part.PrefixHash, replica}]
		if !ok || now.Sub(at) > c.ttl {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
