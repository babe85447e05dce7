package target

import (
	"cmp"
	"slices"
)

// subsetSlack is the bound on the number of entries per target, as a multiple
// of the mean.
const subsetSlack = 1.1

// minEntries is the number of entries that should reach each target.
const minEntries = 2

// Subset returns the targets that an entry connects to: size of them, or more
// if the entries could otherwise not reach each target twice. Every entry
// computes the same assignment from the same lists: entries in the order of
// their hashes take their highest rendezvous scores among the targets that
// have not reached the bound of 1.1 times the mean. An entry that is not in
// the list gets its rendezvous choice without the bound.
func Subset(self string, entries, targets []string, size int) []string {
	targets = slices.Compact(slices.Sorted(slices.Values(targets)))
	entries = slices.Compact(slices.Sorted(slices.Values(entries)))
	if n := len(entries); n > 0 {
		size = max(size, (minEntries*len(targets)+n-1)/n)
	}
	if size >= len(targets) {
		return targets
	}
	slices.SortFunc(entries, func(a, b string) int { return cmp.Compare(hashName(a), hashName(b)) })
	hashes := make([]uint64, len(targets))
	for i, t := range targets {
		hashes[i] = hashName(t)
	}
	bound := int(subsetSlack*float64(len(entries)*size)/float64(len(targets))) + 1
	used := make([]int, len(targets))
	order := make([]int, len(targets))
	scores := make([]uint64, len(targets))
	pick := func(entry string) []int {
		seed := hashName(entry)
		for i := range targets {
			order[i], scores[i] = i, mix(seed^hashes[i])
		}
		slices.SortFunc(order, func(a, b int) int {
			full := func(i int) int {
				if used[i] >= bound {
					return 1
				}
				return 0
			}
			return cmp.Or(cmp.Compare(full(a), full(b)), cmp.Compare(scores[b], scores[a]))
		})
		return order[:size]
	}
	for _, entry := range entries {
		chosen := pick(entry)
		if entry == self {
			return names(targets, chosen)
		}
		for _, i := range chosen {
			used[i]++
		}
	}
	clear(used)
	return names(targets, pick(self))
}

func names(targets []string, chosen []int) []string {
	result := make([]string, len(chosen))
	for i, c := range chosen {
		result[i] = targets[c]
	}
	slices.Sort(result)
	return result
}
