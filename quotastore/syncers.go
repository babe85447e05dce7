package quotastore

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/gateway"
	"briarreach/quota"
	"briarreach/rowstore"
)

// Allocators are a process's allocators, one for each part of the table. Parts
// are written independently of each other, so that they carry a transaction rate
// that exceeds the limit of one part.
type Allocators []*quota.Allocator

// NewAllocators returns the allocators of a holder.
func NewAllocators(parts int, holder, incarnation string, s quota.Settings) Allocators {
	allocators, directory := make(Allocators, parts), quota.NewDirectory()
	for i := range allocators {
		allocators[i] = quota.New("tokens-"+strconv.Itoa(i), holder, incarnation, s, quota.WithDirectory(directory))
	}
	return allocators
}

// index returns the part of a workspace.
func (a Allocators) index(workspace string) int {
	return int(xxhash.Sum64String(workspace) % uint64(len(a)))
}

// ForWorkspace returns the allocator of a workspace.
func (a Allocators) ForWorkspace(workspace string) *quota.Allocator { return a[a.index(workspace)] }

// SetLimits applies the quotas of a configuration version.
func (a Allocators) SetLimits(version int64, limits []quota.Limit) {
	split := make([][]quota.Limit, len(a))
	for _, l := range limits {
		i := a.index(l.Workspace)
		split[i] = append(split[i], l)
	}
	for i, allocator := range a {
		allocator.SetLimits(version, split[i])
	}
}

// SetOwnPeer sets the address and the fingerprint that this process publishes
// in its rows.
func (a Allocators) SetOwnPeer(p quota.Peer) {
	for _, allocator := range a {
		allocator.SetOwnPeer(p)
	}
}

// KnowsPeer reports whether a certificate with this fingerprint belongs to a
// holder, by the rows last read. If not, the rows of one part are read again soon.
func (a Allocators) KnowsPeer(fingerprint string) bool {
	if a[0].Directory().Knows(fingerprint) {
		return true
	}
	a[0].NoteUnknownPeer()
	return false
}

// TakeRepayments returns borrowed tokens by workspace that are not needed soon.
func (a Allocators) TakeRepayments(now time.Time) map[string]int64 {
	repayments := make(map[string]int64)
	for _, allocator := range a {
		maps.Copy(repayments, allocator.TakeRepayments(now))
	}
	return repayments
}

// OtherHolders returns the names of the other live holders, or false if they are not
// known yet.
func (a Allocators) OtherHolders() (names []string, known bool) { return a[0].OtherHolders() }

// RecentHolders returns the names of the other holders whose rows are not older than some
// time, live or not, or false if they are not known yet.
func (a Allocators) RecentHolders(within time.Duration) (names []string, known bool) {
	return a[0].RecentHolders(within)
}

// Peers returns the other live holders that have published a fingerprint.
func (a Allocators) Peers() []quota.Peer { return a[0].Peers() }

// GrantNotices returns what the other holders should know of this one's grants.
func (a Allocators) GrantNotices() []quota.GrantNotice {
	var notices []quota.GrantNotice
	for _, allocator := range a {
		notices = append(notices, allocator.GrantNotices()...)
	}
	return notices
}

// HandleNotice remembers the grants of another holder.
func (a Allocators) HandleNotice(n quota.GrantNotice) {
	for _, allocator := range a {
		if allocator.Part() == n.Part {
			allocator.HandleNotice(n)
		}
	}
}

// Settled reports whether all parts are complete since the store was last restored.
func (a Allocators) Settled() bool {
	for _, allocator := range a {
		if !allocator.Settled() {
			return false
		}
	}
	return true
}

// HolderCount returns the number of live holders.
func (a Allocators) HolderCount() int {
	n := 1
	for _, allocator := range a {
		n = max(n, allocator.HolderCount())
	}
	return n
}

// Syncers synchronize all allocators of a process with the store.
type Syncers struct {
	allocators Allocators
	byPart     []*Syncer
}

// NewSyncers starts a syncer for each allocator.
func NewSyncers(allocators Allocators, store rowstore.Store, s quota.Settings, opts ...Option) *Syncers {
	syncers := &Syncers{allocators: allocators}
	for _, allocator := range allocators {
		syncers.byPart = append(syncers.byPart, New(allocator, store, s.RetryAfter, opts...))
	}
	return syncers
}

// Reserve implements gateway.Quota.
func (s *Syncers) Reserve(ctx context.Context, workspace string, tokens int64) (gateway.Reservation, error) {
	return s.byPart[s.allocators.index(workspace)].Reserve(ctx, workspace, tokens)
}

// Wake makes the syncers run their next step at once.
func (s *Syncers) Wake() {
	for _, syncer := range s.byPart {
		syncer.Wake()
	}
}

// Close stops the syncers and returns unspent grants to the store. It gives up
// when ctx ends.
func (s *Syncers) Close(ctx context.Context) {
	var done sync.WaitGroup
	for _, syncer := range s.byPart {
		done.Go(func() { syncer.Close(ctx) })
	}
	done.Wait()
}
