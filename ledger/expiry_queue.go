package ledger

import "slices"

// expiryQueue holds identifiers and the log times of their records in Unix
// milliseconds, oldest first.
type expiryQueue[K any] struct {
	keys           []K
	loggedAtMillis []int64
}

func (q *expiryQueue[K]) push(k K, at int64) {
	q.keys = append(q.keys, k)
	q.loggedAtMillis = append(q.loggedAtMillis, at)
}

func (q *expiryQueue[K]) grow(n int) {
	q.keys = slices.Grow(q.keys, n)
	q.loggedAtMillis = slices.Grow(q.loggedAtMillis, n)
}

func (q *expiryQueue[K]) clone() expiryQueue[K] {
	return expiryQueue[K]{slices.Clone(q.keys), slices.Clone(q.loggedAtMillis)}
}

// expire removes the identifiers logged before oldest and calls remove for each.
func expire[K any](q *expiryQueue[K], oldest int64, remove func(K, int64)) {
	n := 0
	for n < len(q.loggedAtMillis) && q.loggedAtMillis[n] < oldest {
		remove(q.keys[n], q.loggedAtMillis[n])
		n++
	}
	// The removed prefix is freed when append exceeds the capacity and reallocates.
	q.keys, q.loggedAtMillis = q.keys[n:], q.loggedAtMillis[n:]
}
