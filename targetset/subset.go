package targetset

import (
	"cmp"
	"slices"
)

// minEntries is the number of entries that should reach each target.
const minEntries = 2

// Subset returns the targets that an entry connects to: size of them, or more
// if otherwise a target would be reached by fewer than two entries. Self is the
// entry's own name; entries may contain it. Every entry computes the same
// assignment from the same lists. Each target, in the order of the hashes of the
// names, is assigned to the entries with free slots for which it has the highest
// rendezvous scores, up to the mean number of entries per target. The remaining
// slots are filled with the targets that have the fewest entries. Every target
// is reached. The cost is that of sorting the entries once for each target.
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
	a := assignment{entryCounts: make([]int, len(targets)), freeSlots: make([]int, len(entries)), assigned: make([][]bool, len(entries))}
	hashes, order := make([]uint64, len(entries)), make([]int, len(entries))
	for e, name := range entries {
		hashes[e], order[e], a.freeSlots[e], a.assigned[e] = hashName(name), e, size, make([]bool, len(targets))
	}
	scores := make([]uint64, len(entries))
	for t, name := range targets {
		for e, hash := range hashes {
			scores[e] = mix(hash ^ hashName(name))
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
		for _, e := range order {
			if a.entryCounts[t] == len(entries)*size/len(targets) {
				break
			}
			if a.freeSlots[e] > 0 {
				a.assign(e, t)
			}
		}
	}
	for e := range entries {
		for a.freeSlots[e] > 0 {
			least := -1
			for t := range targets {
				if !a.assigned[e][t] && (least < 0 || a.entryCounts[t] < a.entryCounts[least]) {
					least = t
				}
			}
			a.assign(e, least)
		}
	}
	for e, name := range entries {
		for t, assigned := range a.assigned[e] {
			if assigned {
				subsets[name] = append(subsets[name], targets[t])
			}
		}
		slices.Sort(subsets[name])
	}
	return subsets
}

// assignment holds the number of entries by target, the free slots by entry,
// and whether a target is assigned to an entry, by entry and target.
type assignment struct {
	entryCounts, freeSlots []int
	assigned               [][]bool
}

func (a *assignment) assign(entry, target int) {
	a.entryCounts[target]++
	a.freeSlots[entry]--
	a.assigned[entry][target] = true
}
