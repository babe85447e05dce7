package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"briarreach/config"
	"briarreach/table"
)

const (
	// maxCachedKeys bounds the memory of the key cache: 100 bytes a key.
	maxCachedKeys = 100_000
	// unknownKeyTTL is how long an unknown key is refused without another read
	// of the table.
	unknownKeyTTL = 2 * time.Second
)

// UnknownKeyError reports a bearer key that belongs to no workspace or operator.
type UnknownKeyError struct{}

func (*UnknownKeyError) Error() string { return "the key is unknown" }

// HashKey returns the form in which keys are stored: SHA-256 in hexadecimal.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// keyCache caches the rows of bearer keys. Keys are looked up by their hash, so
// that the duration of a lookup reveals nothing about stored keys.
type keyCache struct {
	store      table.Store
	clock      clockwork.Clock
	keysNumber func() uint64 // number of the last change of keys

	mu   sync.RWMutex
	rows map[string]cachedKey
}

type cachedKey struct {
	row        config.KeyRow
	known      bool
	keysNumber uint64
	expires    time.Time // of an unknown key
}

func newKeyCache(store table.Store, clock clockwork.Clock, keysNumber func() uint64) *keyCache {
	return &keyCache{store: store, clock: clock, keysNumber: keysNumber, rows: map[string]cachedKey{}}
}

// preload reads the stored keys up to the cache's limit, so that callers can be
// authenticated during a later outage of the table.
func (c *keyCache) preload(ctx context.Context) error {
	number := c.keysNumber()
	for lastHash, count := "", 0; count < maxCachedKeys; count += table.MaxTransactionRows {
		rows, err := c.store.Query(ctx, config.KeyPartition, lastHash, table.MaxTransactionRows)
		if err != nil {
			return fmt.Errorf("entry.preload: %w", err)
		}
		for _, row := range rows {
			key, err := config.DecodeRow[config.KeyRow](row.Value)
			if err != nil {
				return fmt.Errorf("entry.preload: %w", err)
			}
			lastHash = row.Sort
			c.put(row.Sort, cachedKey{row: key, known: true, keysNumber: number})
		}
		if len(rows) < table.MaxTransactionRows {
			break
		}
	}
	return nil
}

// lookup returns the row of a secret key. A cached row is valid until a patch
// changes keys; during an outage of the table it is used after that, too.
func (c *keyCache) lookup(ctx context.Context, secret string) (config.KeyRow, error) {
	hash := HashKey(secret)
	number := c.keysNumber()
	c.mu.RLock()
	cached, found := c.rows[hash]
	c.mu.RUnlock()
	if found && cached.keysNumber >= number && (cached.known || c.clock.Now().Before(cached.expires)) {
		return cached.result()
	}
	rows, err := c.store.Get(ctx, table.Key{Partition: config.KeyPartition, Sort: hash})
	if err != nil {
		if found && cached.known && isTableUnavailable(err) {
			return cached.row, nil
		}
		return config.KeyRow{}, fmt.Errorf("entry.lookup: %w", err)
	}
	next := cachedKey{keysNumber: number, expires: c.clock.Now().Add(unknownKeyTTL)}
	if rows[0].Version > 0 {
		next.known = true
		if next.row, err = config.DecodeRow[config.KeyRow](rows[0].Value); err != nil {
			return config.KeyRow{}, fmt.Errorf("entry.lookup: %w", err)
		}
	}
	c.put(hash, next)
	return next.result()
}

func (k cachedKey) result() (config.KeyRow, error) {
	if !k.known {
		return config.KeyRow{}, &UnknownKeyError{}
	}
	return k.row, nil
}

// put caches a row. If the cache is full, it evicts an arbitrary one.
func (c *keyCache) put(hash string, k cachedKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.rows[hash]; !found && len(c.rows) >= maxCachedKeys {
		for h := range c.rows {
			delete(c.rows, h)
			break
		}
	}
	c.rows[hash] = k
}

func isUnknownKey(err error) bool {
	var unknown *UnknownKeyError
	return errors.As(err, &unknown)
}
