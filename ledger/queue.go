package ledger

import "slices"

// queue holds identifiers in the order in which they were logged.
type queue[K any] struct {
	keys []K
	at   []int64
}

func (q *queue[K]) push(k K, at int64) {
	q.keys = append(q.keys, k)
	q.at = append(q.at, at)
}

func (q *queue[K]) grow(n int) {
	q.keys = slices.Grow(q.keys, n)
	q.at = slices.Grow(q.at, n)
}

func (q *queue[K]) clone() queue[K] {
	return queue[K]{slices.Clone(q.keys), slices.Clone(q.at)}
}

// expire removes the identifiers logged before oldest.
func expire[K any](q *queue[K], oldest int64, remove func(K, int64)) {
	n := 0
	for n < len(q.at) && q.at[n] < oldest {
		remove(q.keys[n], q.at[n])
		n++
	}
	// Append reallocates without the removed prefix when the capacity is used up.
	q.keys, q.at = q.keys[n:], q.at[n:]
}
