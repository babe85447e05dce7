// Package ledger computes the state of prepaid budgets from a log of records.
// Each shard of budgets has its own log in the table service. The state machine
// is deterministic: the result of every record follows from applying the log in
// order.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Identity identifies a request. It is a hash of the workspace, the idempotency
// key and the body, so retries by the caller have the same identity.
type Identity [16]byte

// NewIdentity returns the identity of a request. The hash is cryptographic
// because callers choose the input: a collision would make one of two requests
// free.
func NewIdentity(workspace, key string, body []byte) Identity {
	h := sha256.New()
	for _, part := range []string{workspace, key} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Identity(h.Sum(nil)[:16])
}

// String returns the identity in hexadecimal.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// ShardOf returns the number of a budget's shard; shards is the total number.
func ShardOf(budget string, shards int) int {
	return int(xxhash.Sum64String(budget) % uint64(shards))
}
