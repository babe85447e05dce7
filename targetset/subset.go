package targetset

import (
	"cmp"
	"slices"
)

// minEntries is the number of entries that should reach each target.
const minEntries = 2

// Subset returns the targets that an entry connects to: size of them, or more
// if the entries could otherwise not reach each target twice. Every entry
// computes the same assignment from the same lists. Targets, in the order of
// their hashes, take their highest rendezvous scores among the entries that
// have room, each target as many as there are on average; then entries with
// room left take the least used targets. Every target is reached. The cost is
// that of sorting the entries once for each target.
func Subset(self string, entries, targets []string, size int) []string {
	return Subsets(append([]string{self}, entries...), targets, size)[self]
}

// Subsets returns the subsets of all entries by name. See Subset.
func Subsets(entries, targets []string, size int) map[string][]string {
	targets = slices.Compact(slices.Sorted(slices.Values(targets)))
	entries = slices.Compact(slices.Sorted(slices.Values(entries)))
	subsets := make(map[string][]string, len(entries))
	if len(entries) > 0 {
		size = max(size, (minEntries*len(targets)+len(entries)-1)/len(entries))
	}
	if size >= len(targets) {
		for _, e := range entries {
			subsets[e] = targets
		}
		return subsets
	}
	byHash := func(a, b string) int { return cmp.Compare(hashName(a), hashName(b)) }
	slices.SortFunc(entries, byHash)
	slices.SortFunc(targets, byHash)
	a := assignment{used: make([]int, len(targets)), room: make([]int, len(entries)), taken: make([][]bool, len(entries))}
	hashes, order := make([]uint64, len(entries)), make([]int, len(entries))
	for e, name := range entries {
		hashes[e], order[e], a.room[e], a.taken[e] = hashName(name), e, size, make([]bool, len(targets))
	}
	scores := make([]uint64, len(entries))
	for t, name := range targets {
		for e, hash := range hashes {
			scores[e] = mix(hash ^ hashName(name))
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
		for _, e := range order {
			if a.used[t] == len(entries)*size/len(targets) {
				break
			}
			if a.room[e] > 0 {
				a.take(e, t)
			}
		}
	}
	for e := range entries {
		for a.room[e] > 0 {
			least := -1
			for t := range targets {
				if !a.taken[e][t] && (least < 0 || a.used[t] < a.used[least]) {
					least = t
				}
			}
			a.take(e, least)
		}
	}
	for e, name := range entries {
		for t, taken := range a.taken[e] {
			if taken {
				subsets[name] = append(subsets[name], targets[t])
			}
		}
		slices.Sort(subsets[name])
	}
	return subsets
}

// assignment counts the entries of each target, the room of each entry, and
// which targets each entry has taken.
type assignment struct {
	used, room []int
	taken      [][]bool
}

func (a *assignment) take(entry, target int) {
	a.used[target]++
	a.room[entry]--
	a.taken[entry][target] = true
}
