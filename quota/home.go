package quota

import (
	"github.com/cespare/xxhash/v2"
)

// isHome reports whether this holder is one of the workspace's homes: the few
// live holders that keep its granted tokens and lend them to the others.
// Divided among all holders, the tokens of most workspaces would be parts
// smaller than a prompt. All holders choose the same homes, by rendezvous
// hashing, once they have read the same rows; until then a workspace has more
// or fewer homes, which costs loans but no tokens. Holders that may not draw yet
// are no homes, unless all are new.
func (al *Allocator) isHome(workspace string) bool {
	if own := al.holderRows[al.holder]; !al.newFleet && !al.isRegisteredAt(own, al.storeTime) {
		return false
	}
	own := homeWeight(workspace, al.holder)
	heavier := 0
	for name, h := range al.otherHolders() {
		if (al.newFleet || al.isRegisteredAt(h, al.storeTime)) && homeWeight(workspace, name) > own {
			if heavier++; heavier >= al.settings.HomesPerWorkspace {
				return false
			}
		}
	}
	return true
}

// homeCount returns the number of homes that a workspace has.
func (al *Allocator) homeCount() int {
	return min(al.settings.HomesPerWorkspace, al.holderCountLocked())
}

func homeWeight(workspace, holder string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(holder)
	return d.Sum64()
}

// IsHome reports whether this holder keeps granted tokens of a workspace. If
// not, its requests borrow from those that do.
func (al *Allocator) IsHome(workspace string) bool {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.isHome(workspace)
}

// writerCount estimates the holders that record consumption in this part: those
// whose rows have grants.
func (al *Allocator) writerCount() int {
	n := 1
	for _, h := range al.otherHolders() {
		if len(h.Accounts) > 0 {
			n++
		}
	}
	return n
}
