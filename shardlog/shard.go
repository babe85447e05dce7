package shardlog

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"briarreach/ledger"
	"briarreach/table"
)

// shard is this writer's view of one shard log and the records that wait for
// it. Whoever holds the turn may append to the log and read it.
type shard struct {
	number int
	turn   chan struct{}
	wake   chan struct{} // a record waits
	urgent chan struct{} // a record waits that must not wait for others

	mu    sync.RWMutex // guards state; written by the holder of the turn
	state *ledger.State

	// Used by the holder of the turn.
	stale       bool   // the log must be read before the next append
	applied     uint64 // sequence number of the last batch in state
	head        head   // of the last snapshot, without data
	headVersion uint64
	foreign     bool   // the last batch is another writer's
	awaited     string // batch id to look for while reading
	found       []ledger.Result
	skipped     bool   // a snapshot was loaded while a batch was awaited
	patience    uint64 // batches to wait for another writer's snapshot

	queueMu sync.Mutex
	queue   []*item
	closed  bool
}

func newShard(number int, window time.Duration, every uint64) *shard {
	return &shard{
		number:   number,
		stale:    true,
		patience: jitter(every),
		turn:     make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		state:    ledger.NewState(ledger.WithBillWindow(window)),
	}
}

// await sets the batch id to look for.
func (s *shard) await(batchID string) {
	s.awaited, s.found, s.skipped = batchID, nil, false
}

// acquire waits for the turn; it returns false if ctx ended first.
func (s *shard) acquire(ctx context.Context) bool {
	select {
	case s.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shard) release() { <-s.turn }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// signal wakes the shard's goroutine without a record.
func (s *shard) signal() { notify(s.wake) }

func (s *shard) push(it *item, urgent bool) bool {
	s.queueMu.Lock()
	if s.closed {
		s.queueMu.Unlock()
		return false
	}
	s.queue = append(s.queue, it)
	s.queueMu.Unlock()
	if urgent {
		notify(s.urgent)
	}
	notify(s.wake)
	return true
}

func (s *shard) close() {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.closed = true
}

// take removes the first n records, or fewer if their draws name more than
// maxDrawHolders holders. It reports whether more are to be appended at once.
func (s *shard) take(n int) ([]*item, bool) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	holders := map[string]bool{}
	count := 0
	for ; count < min(n, len(s.queue)); count++ {
		if d, ok := s.queue[count].record.(ledger.Draw); ok {
			holders[d.Holder] = true
			if len(holders) > maxDrawHolders {
				break
			}
		}
	}
	items := slices.Clone(s.queue[:count])
	s.queue = slices.Delete(s.queue, 0, count)
	return items, len(s.queue) > 0 || s.closed && count > 0
}

func (s *shard) takeAll() []*item {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	items := s.queue
	s.queue = nil
	return items
}

func (s *shard) putBack(items []*item) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.queue = slices.Insert(s.queue, 0, items...)
	notify(s.wake)
}

func (s *shard) withdraw(it *item) bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	i := slices.Index(s.queue, it)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

func (s *shard) logPartition() string { return "ledger/" + strconv.Itoa(s.number) }

func sequenceKey(n uint64) string { return fmt.Sprintf("%012d", n) }

func (s *shard) logKey(n uint64) table.Key {
	return table.Key{Partition: s.logPartition(), Sort: sequenceKey(n)}
}

func (s *shard) snapshotPartition() string { return "ledger_snapshot/" + strconv.Itoa(s.number) }

func (s *shard) headKey() table.Key {
	return table.Key{Partition: s.snapshotPartition(), Sort: "head"}
}

// apply applies the batch with the next sequence number.
func (s *shard) apply(b ledger.Batch, foreign bool) []ledger.Result {
	s.mu.Lock()
	results := s.state.Apply(b)
	s.mu.Unlock()
	s.applied++
	s.foreign = foreign
	if s.awaited != "" && b.BatchID == s.awaited {
		s.found = results
	}
	return results
}
