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

// shard is this writer's copy of one shard's state and the queue of records to
// append. Appending to the shard's log and reading it require the lock.
type shard struct {
	number       int
	lock         chan struct{} // a mutex; waiting for it can be cancelled
	recordQueued chan struct{} // signals a queued record
	urgentQueued chan struct{} // signals a queued record that skips the flush interval

	mu    sync.RWMutex // guards state; taken for writing only under lock
	state *ledger.State

	// The fields up to queueMu are guarded by lock.
	stale            bool    // the log must be read before the next append
	lastSequence     uint64  // sequence number of the last batch in state
	snapshotHead     headRow // of the last snapshot, without Data
	headVersion      uint64
	lastBatchForeign bool   // another writer appended the last batch
	awaitedBatchID   string // batch to recognize while reading; empty if none
	awaitedResults   []ledger.Result
	snapshotLoaded   bool   // since awaitBatch, so the awaited batch may have been skipped
	snapshotDelay    uint64 // batches by which to delay a due snapshot

	queueMu sync.Mutex
	queue   []*queuedRecord
	closed  bool
}

func newShard(number int, billWindow time.Duration, snapshotInterval uint64) *shard {
	return &shard{
		number:        number,
		stale:         true,
		snapshotDelay: randomSnapshotDelay(snapshotInterval),
		lock:          make(chan struct{}, 1),
		recordQueued:  make(chan struct{}, 1),
		urgentQueued:  make(chan struct{}, 1),
		state:         ledger.NewState(ledger.WithBillWindow(billWindow)),
	}
}

// awaitBatch sets the batch to recognize while reading the log.
func (s *shard) awaitBatch(batchID string) {
	s.awaitedBatchID, s.awaitedResults, s.snapshotLoaded = batchID, nil, false
}

// acquire takes the lock. It returns false if ctx ended first.
func (s *shard) acquire(ctx context.Context) bool {
	select {
	case s.lock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shard) release() { <-s.lock }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wakeWorker wakes the shard's goroutine without queuing a record.
func (s *shard) wakeWorker() { notify(s.recordQueued) }

func (s *shard) enqueue(q *queuedRecord, urgent bool) bool {
	s.queueMu.Lock()
	if s.closed {
		s.queueMu.Unlock()
		return false
	}
	s.queue = append(s.queue, q)
	s.queueMu.Unlock()
	if urgent {
		notify(s.urgentQueued)
	}
	notify(s.recordQueued)
	return true
}

func (s *shard) close() {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.closed = true
}

// dequeue removes the first n records, or fewer if their draws name more than
// maxDrawHolders holders. It reports whether to dequeue again immediately.
func (s *shard) dequeue(n int) ([]*queuedRecord, bool) {
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
	queued := slices.Clone(s.queue[:count])
	s.queue = slices.Delete(s.queue, 0, count)
	return queued, len(s.queue) > 0 || s.closed && count > 0
}

func (s *shard) dequeueAll() []*queuedRecord {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	queued := s.queue
	s.queue = nil
	return queued
}

func (s *shard) requeue(queued []*queuedRecord) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.queue = slices.Insert(s.queue, 0, queued...)
	notify(s.recordQueued)
}

func (s *shard) withdraw(q *queuedRecord) bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	i := slices.Index(s.queue, q)
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
	s.lastSequence++
	s.lastBatchForeign = foreign
	if s.awaitedBatchID != "" && b.BatchID == s.awaitedBatchID {
		s.awaitedResults = results
	}
	return results
}
