package shardlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"

	"briarreach/ledger"
	"briarreach/table"
)

const (
	// chunkBytes is the largest part of a snapshot in one row. Bills of 15
	// minutes can exceed table.MaxValueBytes.
	chunkBytes = 350 * 1024

	queryLimit = 100

	// pageBytes of values may be a page that the table service has cut short: it
	// ends pages at 1 MB, and the row that would exceed it is missing.
	pageBytes = 1_000_000 - table.MaxValueBytes

	// maxDeletes rows are deleted after a snapshot at most, so that rows left by
	// many failures don't delay the shard's records.
	maxDeletes = 1000
)

// jitter is a random number of batches by which a writer delays a snapshot, so
// that the writers do not all write the same one.
func jitter(every uint64) uint64 { return rand.Uint64N(every/4 + 1) }

// head is the value of a shard's snapshot row. The state is in Data or, if it
// is too large for one row, in Chunks rows under ID.
type head struct {
	Sequence uint64 `cbor:"sequence"`
	ID       string `cbor:"id"`
	Chunks   int    `cbor:"chunks"`
	Data     []byte `cbor:"data"`
}

// chunkKey sorts chunks by sequence number, before the key "head".
func (s *shard) chunkKey(sequence uint64, id string, n int) table.Key {
	return table.Key{Partition: s.snapshotPartition(), Sort: fmt.Sprintf("%s/%s/%04d", sequenceKey(sequence), id, n)}
}

// catchUp reads the batches that other writers have appended. The caller holds
// the turn.
func (j *Journal) catchUp(ctx context.Context, s *shard) error {
	const tries = 5 // each failure means that a snapshot was written meanwhile
	for range tries {
		rows, err := j.store.Get(ctx, s.headKey())
		if err != nil {
			return err
		}
		var h head
		if rows[0].Version != 0 {
			if err := cbor.Unmarshal(rows[0].Value, &h); err != nil {
				return &CorruptError{s.number, "snapshot head: " + err.Error()}
			}
		}
		if h.Sequence > s.applied+j.every {
			if ok, err := j.loadSnapshot(ctx, s, h); err != nil {
				return err
			} else if !ok {
				continue
			}
		}
		complete, err := j.readLog(ctx, s)
		if err != nil {
			return err
		}
		if !complete || s.applied < h.Sequence {
			if h.Sequence <= s.applied {
				continue // a newer snapshot was written after Get
			}
			if ok, err := j.loadSnapshot(ctx, s, h); err != nil {
				return err
			} else if !ok {
				continue
			}
			if complete, err = j.readLog(ctx, s); err != nil {
				return err
			} else if !complete {
				continue
			}
		}
		h.Data = nil
		s.head, s.headVersion, s.stale = h, rows[0].Version, false
		return nil
	}
	return &table.UnavailableError{Err: &CorruptError{s.number, "log and snapshot don't fit together"}}
}

// readLog applies the rows after the last applied one. It returns false if a
// row is missing in between.
func (j *Journal) readLog(ctx context.Context, s *shard) (bool, error) {
	for {
		rows, err := j.store.Query(ctx, s.logPartition(), sequenceKey(s.applied), queryLimit)
		if err != nil {
			return false, err
		}
		bytes := 0
		for _, row := range rows {
			bytes += len(row.Value)
			if row.Sort != sequenceKey(s.applied+1) {
				return false, nil
			}
			b, err := ledger.DecodeBatch(row.Value)
			if err != nil {
				return false, fmt.Errorf("shard %d, row %s: %w", s.number, row.Sort, err)
			}
			s.apply(b, b.Writer != j.writer)
		}
		if len(rows) < queryLimit && bytes < pageBytes {
			return true, nil
		}
	}
}

// loadSnapshot replaces the state. It returns false if the snapshot's chunks
// were deleted because a newer one exists.
func (j *Journal) loadSnapshot(ctx context.Context, s *shard, h head) (bool, error) {
	data := h.Data
	for n := range h.Chunks {
		rows, err := j.store.Get(ctx, s.chunkKey(h.Sequence, h.ID, n))
		if err != nil {
			return false, err
		}
		if rows[0].Version == 0 {
			return false, nil
		}
		data = append(data, rows[0].Value...)
	}
	if h.ID == "" {
		return false, nil
	}
	state, err := ledger.DecodeState(data)
	if err != nil {
		return false, fmt.Errorf("shard %d, snapshot %s: %w", s.number, h.ID, err)
	}
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.applied = h.Sequence
	s.skipped = s.skipped || s.awaited != ""
	return true, nil
}

// snapshotIfDue writes a snapshot if enough batches follow the last one.
func (j *Journal) snapshotIfDue(s *shard) {
	if !s.acquire(j.ctx) {
		return
	}
	defer s.release()
	behind := s.applied - s.head.Sequence
	// Writers wait for different numbers of batches, so that usually one of them
	// writes the snapshot.
	if behind < j.every+s.patience {
		return
	}
	if s.stale {
		if err := j.catchUp(j.ctx, s); err != nil || s.applied-s.head.Sequence < j.every {
			return
		}
	}
	s.patience = jitter(j.every)
	if err := j.snapshot(j.ctx, s); err != nil {
		j.log.WithError(err).WithField("shard", s.number).Warn("snapshot not written or old rows not deleted")
	}
}

// snapshot writes the state and deletes older rows. The caller holds the turn
// and has read the log.
func (j *Journal) snapshot(ctx context.Context, s *shard) error {
	data, err := ledger.EncodeState(s.state)
	if err != nil {
		return err
	}
	h := head{Sequence: s.applied, ID: ulid.Make().String()}
	if len(data) <= chunkBytes {
		h.Data = data
	} else {
		for chunk := range slices.Chunk(data, chunkBytes) {
			w := table.Write{Key: s.chunkKey(h.Sequence, h.ID, h.Chunks), Expect: table.Absent{}, Value: chunk}
			if err := j.store.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{w}}); err != nil {
				return err
			}
			h.Chunks++
		}
	}
	value, err := cbor.Marshal(h)
	if err != nil {
		return err
	}
	w := table.Write{Key: s.headKey(), Expect: exactly(s.headVersion), Value: value}
	s.stale = true // unless the write is known to have succeeded
	if err := j.store.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{w}}); err != nil {
		return err
	}
	h.Data = nil
	s.head, s.headVersion, s.stale = h, s.headVersion+1, false
	j.snapshots.Add(1)
	return j.deleteOld(ctx, s)
}

// deleteOld deletes the rows that no reader needs any more. Rows left by a
// failure are deleted after the next snapshot.
func (j *Journal) deleteOld(ctx context.Context, s *shard) error {
	// The rows of one interval are kept, so that a writer that is a little behind
	// reads them instead of the whole snapshot.
	if s.head.Sequence > j.every {
		oldest, err := j.store.Query(ctx, s.logPartition(), "", 1)
		if err != nil {
			return err
		}
		if len(oldest) == 0 {
			return nil
		}
		from, err := strconv.ParseUint(oldest[0].Sort, 10, 64)
		if err != nil {
			return &CorruptError{s.number, "row " + oldest[0].Sort}
		}
		var keys []table.Key
		for n := from; n <= min(s.head.Sequence-j.every, from+maxDeletes); n++ {
			keys = append(keys, s.logKey(n))
		}
		if err := j.delete(ctx, keys); err != nil {
			return err
		}
	}
	chunks, err := j.store.Query(ctx, s.snapshotPartition(), "", queryLimit)
	if err != nil {
		return err
	}
	var keys []table.Key
	for _, row := range chunks {
		// Chunks of later sequence numbers may belong to a snapshot in progress.
		if row.Sort < sequenceKey(s.head.Sequence) {
			keys = append(keys, row.Key)
		}
	}
	return j.delete(ctx, keys)
}

func (j *Journal) delete(ctx context.Context, keys []table.Key) error {
	for group := range slices.Chunk(keys, table.MaxItems) {
		tx := table.Transaction{ID: ulid.Make().String()}
		for _, key := range group {
			tx.Writes = append(tx.Writes, table.Write{Key: key, Expect: table.Any{}})
		}
		if err := j.store.Commit(ctx, tx); err != nil {
			return err
		}
		j.deletes.Add(int64(len(group)))
	}
	return nil
}
