package ledger

import "slices"

// expiryQueue holds identifiers and the log times of their records, oldest
// first.
type expiryQueue[K any] struct {
	keys     []K
	loggedAt []int64
}

func (q *expiryQueue[K]) push(k K, at int64) {
	q.keys = append(q.keys, k)
	q.loggedAt = append(q.loggedAt, at)
}

func (q *expiryQueue[K]) grow(n int) {
	q.keys = slices.Grow(q.keys, n)
	q.loggedAt = slices.Grow(q.loggedAt, n)
}

func (q *expiryQueue[K]) clone() expiryQueue[K] {
	return expiryQueue[K]{slices.Clone(q.keys), slices.Clone(q.loggedAt)}
}

// expire removes the identifiers logged before oldest and calls remove for each.
func expire[K any](q *expiryQueue[K], oldest int64, remove func(K, int64)) {
	n := 0
	for n < len(q.loggedAt) && q.loggedAt[n] < oldest {
		remove(q.keys[n], q.loggedAt[n])
		n++
	}
	// The removed prefix is freed when append exceeds the capacity and reallocates.
	q.keys, q.loggedAt = q.keys[n:], q.loggedAt[n:]
}
