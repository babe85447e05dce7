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
	// unknownKeyTime is how long an unknown key is refused without asking the
	// table again.
	unknownKeyTime = 2 * time.Second
)

// UnknownKeyError reports a bearer key that no workspace or operator has.
type UnknownKeyError struct{}

func (*UnknownKeyError) Error() string { return "the key is unknown" }

// HashKey returns the form in which keys are stored: SHA-256 in hexadecimal.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// keyCache finds what a bearer key stands for. Keys are looked up by their
// hash, so that the time of a lookup tells nothing about stored keys.
type keyCache struct {
	store  table.Store
	clock  clockwork.Clock
	number func() uint64 // number of the last change of keys

	mu   sync.RWMutex
	rows map[string]cachedKey
}

type cachedKey struct {
	row     config.KeyRow
	known   bool
	number  uint64
	expires time.Time // of an unknown key
}

func newKeyCache(store table.Store, clock clockwork.Clock, number func() uint64) *keyCache {
	return &keyCache{store: store, clock: clock, number: number, rows: map[string]cachedKey{}}
}

// preload reads the stored keys up to the cache's bound, so that callers are
// known when the table goes out later.
func (c *keyCache) preload(ctx context.Context) error {
	number := c.number()
	for after, kept := "", 0; kept < maxCachedKeys; kept += table.MaxItems {
		rows, err := c.store.Query(ctx, config.KeyPartition, after, table.MaxItems)
		if err != nil {
			return fmt.Errorf("entry.preload: %w", err)
		}
		for _, row := range rows {
			key, err := config.DecodeRow[config.KeyRow](row.Value)
			if err != nil {
				return fmt.Errorf("entry.preload: %w", err)
			}
			after = row.Sort
			c.keep(row.Sort, cachedKey{row: key, known: true, number: number})
		}
		if len(rows) < table.MaxItems {
			break
		}
	}
	return nil
}

// lookup returns the row of a secret key. A cached row is used as long as no
// later patch changed keys; while the table is out, also after that.
func (c *keyCache) lookup(ctx context.Context, secret string) (config.KeyRow, error) {
	hash := HashKey(secret)
	number := c.number()
	c.mu.RLock()
	cached, found := c.rows[hash]
	c.mu.RUnlock()
	if found && cached.number >= number && (cached.known || c.clock.Now().Before(cached.expires)) {
		return cached.answer()
	}
	rows, err := c.store.Get(ctx, table.Key{Partition: config.KeyPartition, Sort: hash})
	if err != nil {
		if found && cached.known && tableDown(err) {
			return cached.row, nil
		}
		return config.KeyRow{}, fmt.Errorf("entry.lookup: %w", err)
	}
	next := cachedKey{number: number, expires: c.clock.Now().Add(unknownKeyTime)}
	if rows[0].Version > 0 {
		next.known = true
		if next.row, err = config.DecodeRow[config.KeyRow](rows[0].Value); err != nil {
			return config.KeyRow{}, fmt.Errorf("entry.lookup: %w", err)
		}
	}
	c.keep(hash, next)
	return next.answer()
}

func (k cachedKey) answer() (config.KeyRow, error) {
	if !k.known {
		return config.KeyRow{}, &UnknownKeyError{}
	}
	return k.row, nil
}

// keep stores a row. It drops an arbitrary one when the cache is full.
func (c *keyCache) keep(hash string, k cachedKey) {
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
