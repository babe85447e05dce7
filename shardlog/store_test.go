package shardlog_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"briarreach/table"
)

type fault int

const (
	noFault fault = iota
	conflicting
	unavailable
	throttled
	ambiguousApplied
	ambiguousNotApplied
	ambiguousDelayed // applied before the next commit, after reads
)

var errInjected = errors.New("injected")

// memoryStore is a table.Store in memory that injects faults. Several stores can
// share rows and have their own faults.
type memoryStore struct {
	*rows
	// onCommit and onRead return the fault of a call. They may be nil and are called
	// with the lock held.
	onCommit func(table.Transaction) fault
	onRead   func() fault
}

type rows struct {
	mu         sync.Mutex
	rows       map[string]map[string]table.Row
	appliedIDs map[string]bool
	delayed    []table.Transaction
	commits    int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: &rows{rows: map[string]map[string]table.Row{}, appliedIDs: map[string]bool{}}}
}

// withoutFaults returns a store with the same rows and without faults.
func (m *memoryStore) withoutFaults() *memoryStore { return &memoryStore{rows: m.rows} }

// rowCount returns the number of rows of a partition.
func (m *memoryStore) rowCount(partition string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows.rows[partition])
}

// randomFaults injects faults into the given share of calls.
func (m *memoryStore) randomFaults(r *rand.Rand, share float64) {
	m.onCommit = func(table.Transaction) fault {
		if r.Float64() < share {
			return fault(1 + r.IntN(int(ambiguousDelayed)))
		}
		return noFault
	}
	m.onRead = func() fault {
		if r.Float64() < share/2 {
			return unavailable
		}
		return noFault
	}
}

func (m *memoryStore) readFault() error {
	if m.onRead != nil && m.onRead() != noFault {
		return &table.UnavailableError{Err: errInjected}
	}
	return nil
}

func (m *memoryStore) Get(_ context.Context, keys ...table.Key) ([]table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault(); err != nil {
		return nil, err
	}
	rows := make([]table.Row, len(keys))
	for i, k := range keys {
		rows[i] = m.rows.rows[k.Partition][k.Sort]
		rows[i].Key = k
	}
	return rows, nil
}

func (m *memoryStore) Query(_ context.Context, partition, after string, limit int) ([]table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault(); err != nil {
		return nil, err
	}
	var rows []table.Row
	for sort, row := range m.rows.rows[partition] {
		if sort > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int {
		if a.Sort < b.Sort {
			return -1
		}
		return 1
	})
	return rows[:min(limit, len(rows))], nil
}

func (m *memoryStore) Commit(_ context.Context, tx table.Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	f := noFault
	if m.onCommit != nil {
		f = m.onCommit(tx)
	}
	if f != ambiguousDelayed {
		m.applyDelayed()
	}
	switch f {
	case conflicting:
		return &table.ConflictError{Keys: []table.Key{tx.Writes[len(tx.Writes)-1].Key}}
	case unavailable:
		return &table.UnavailableError{Err: errInjected}
	case throttled:
		return &table.ThrottledError{Err: errInjected}
	case ambiguousNotApplied:
		return &table.AmbiguousError{Err: errInjected}
	case ambiguousDelayed:
		m.delayed = append(m.delayed, tx)
		return &table.AmbiguousError{Err: errInjected}
	case ambiguousApplied:
		_ = m.apply(tx)
		return &table.AmbiguousError{Err: errInjected}
	default:
		return m.apply(tx)
	}
}

func (m *memoryStore) applyDelayed() {
	for _, tx := range m.delayed {
		_ = m.apply(tx)
	}
	m.delayed = nil
}

func (m *memoryStore) apply(tx table.Transaction) error {
	if n := len(tx.Writes) + len(tx.Checks); n == 0 || n > table.MaxTransactionRows {
		return &table.InvalidError{Reason: "rows"}
	}
	if m.appliedIDs[tx.ID] {
		return nil
	}
	var conflicts []table.Key
	keys := map[table.Key]bool{}
	check := func(k table.Key, e table.Precondition) error {
		if keys[k] {
			return &table.InvalidError{Reason: "row twice: " + k.String()}
		}
		keys[k] = true
		version := m.rows.rows[k.Partition][k.Sort].Version
		switch e := e.(type) {
		case table.Absent:
			if version != 0 {
				conflicts = append(conflicts, k)
			}
		case table.Exactly:
			if version != e.Version {
				conflicts = append(conflicts, k)
			}
		}
		return nil
	}
	for _, w := range tx.Writes {
		if len(w.Value) > table.MaxValueBytes {
			return &table.InvalidError{Reason: "value"}
		}
		if err := check(w.Key, w.Expect); err != nil {
			return err
		}
	}
	for _, c := range tx.Checks {
		if err := check(c.Key, c.Expect); err != nil {
			return err
		}
	}
	if len(conflicts) > 0 {
		return &table.ConflictError{Keys: conflicts}
	}
	m.appliedIDs[tx.ID] = true
	for _, w := range tx.Writes {
		if w.Value == nil {
			delete(m.rows.rows[w.Partition], w.Sort)
			continue
		}
		if m.rows.rows[w.Partition] == nil {
			m.rows.rows[w.Partition] = map[string]table.Row{}
		}
		version := uint64(1)
		if _, ok := w.Expect.(table.Exactly); ok {
			version += m.rows.rows[w.Partition][w.Sort].Version
		}
		m.rows.rows[w.Partition][w.Sort] = table.Row{Key: w.Key, Version: version, Value: w.Value}
	}
	return nil
}
