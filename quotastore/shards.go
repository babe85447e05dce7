package quotastore

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"briarreach/gateway"
	"briarreach/quota"
	"briarreach/rowstore"
)

// Allocators are a process's books, one for each part of the table. Parts are
// written independently of each other, so that their number carries the rate
// of transactions that one part does not take.
type Allocators []*quota.Allocator

// NewAllocators returns the books of a holder.
func NewAllocators(parts int, holder, incarnation string, s quota.Settings) Allocators {
	books := make(Allocators, parts)
	for i := range books {
		books[i] = quota.New("tokens-"+strconv.Itoa(i), holder, incarnation, s)
	}
	return books
}

// index returns the part of a workspace.
func (b Allocators) index(workspace string) int {
	return int(xxhash.Sum64String(workspace) % uint64(len(b)))
}

// Of returns the book of a workspace.
func (b Allocators) Of(workspace string) *quota.Allocator { return b[b.index(workspace)] }

// SetLimits takes the quotas of a configuration.
func (b Allocators) SetLimits(version int64, limits []quota.Limit) {
	split := make([][]quota.Limit, len(b))
	for _, l := range limits {
		i := b.index(l.Workspace)
		split[i] = append(split[i], l)
	}
	for i, book := range b {
		book.SetLimits(version, split[i])
	}
}

// SetPeer shows this process's address to the others.
func (b Allocators) SetPeer(p quota.Peer) {
	for _, book := range b {
		book.SetPeer(p)
	}
}

// KnowsPeer reports whether a row has a fingerprint.
func (b Allocators) KnowsPeer(fingerprint string) bool {
	for _, book := range b {
		if book.KnowsPeer(fingerprint) {
			return true
		}
	}
	return false
}

// Peers returns the other live holders.
func (b Allocators) Peers() []quota.Peer { return b[0].Peers() }

// HolderCount returns the number of live holders.
func (b Allocators) HolderCount() int {
	n := 1
	for _, book := range b {
		n = max(n, book.HolderCount())
	}
	return n
}

// Shards keeps all books of a process in step with the store.
type Shards struct {
	books   Allocators
	syncers []*Syncer
}

// NewShards starts a syncer for each book.
func NewShards(books Allocators, store rowstore.Store, s quota.Settings, opts ...Option) *Shards {
	shards := &Shards{books: books}
	for _, book := range books {
		shards.syncers = append(shards.syncers, New(book, store, s.RetryAfter, opts...))
	}
	return shards
}

// Reserve implements gateway.Quota.
func (s *Shards) Reserve(ctx context.Context, workspace string, tokens int64) (gateway.Reservation, error) {
	return s.syncers[s.books.index(workspace)].Reserve(ctx, workspace, tokens)
}

// Wake makes the syncers look at their books at once.
func (s *Shards) Wake() {
	for _, syncer := range s.syncers {
		syncer.Wake()
	}
}

// Close returns what is granted and not consumed, as far as the store answers
// until ctx ends, and stops.
func (s *Shards) Close(ctx context.Context) {
	var done sync.WaitGroup
	for _, syncer := range s.syncers {
		done.Go(func() { syncer.Close(ctx) })
	}
	done.Wait()
}
