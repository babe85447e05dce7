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
	// chunkBytes is the size of a snapshot's chunks, one row each. Bills of 15
	// minutes can exceed table.MaxValueBytes.
	chunkBytes = 350 * 1024

	queryRows = 100

	// maybeTruncatedBytes is the size of values from which readLog queries again
	// although it got fewer than queryRows rows. The table service ends pages at 1 MB
	// and leaves out the row that would exceed it; table.Client reads all pages, so
	// with it the further query finds only rows written meanwhile.
	maybeTruncatedBytes = 1_000_000 - table.MaxValueBytes

	// maxDeletedRows limits the rows deleted after one snapshot, so that rows left
	// over from many failures don't delay the shard's records.
	maxDeletedRows = 1000
)

// randomSnapshotDelay returns a random number of batches by which a writer delays
// a snapshot, so that not all writers write the same one.
func randomSnapshotDelay(snapshotInterval uint64) uint64 { return rand.Uint64N(snapshotInterval/4 + 1) }

// headRow is the value of a shard's head row, which describes its last snapshot.
// The state is in Data or, if it is too large for one row, in Chunks rows under ID.
type headRow struct {
	Sequence uint64 `cbor:"sequence"`
	ID       string `cbor:"id"`
	Chunks   int    `cbor:"chunks"`
	Data     []byte `cbor:"data"`
}

// chunkKey returns the key of a chunk. Chunks are sorted by sequence number,
// before the key "head".
func (s *shard) chunkKey(sequence uint64, id string, n int) table.Key {
	return table.Key{Partition: s.snapshotPartition(), Sort: fmt.Sprintf("%s/%s/%04d", sequenceKey(sequence), id, n)}
}

// catchUp reads the batches that other writers have appended. The caller holds
// the shard's lock.
func (j *Journal) catchUp(ctx context.Context, s *shard) error {
	const maxAttempts = 5 // one fails only if a snapshot is written at the same time
	for range maxAttempts {
		rows, err := j.store.Get(ctx, s.headKey())
		if err != nil {
			return err
		}
		var head headRow
		if rows[0].Version != 0 {
			if err := cbor.Unmarshal(rows[0].Value, &head); err != nil {
				return &CorruptError{s.number, "snapshot head: " + err.Error()}
			}
		}
		if head.Sequence > s.lastSequence+j.snapshotInterval {
			if ok, err := j.loadSnapshot(ctx, s, head); err != nil {
				return err
			} else if !ok {
				continue
			}
		}
		complete, err := j.readLog(ctx, s)
		if err != nil {
			return err
		}
		if !complete || s.lastSequence < head.Sequence {
			if head.Sequence <= s.lastSequence {
				continue // a newer snapshot was written after the Get
			}
			if ok, err := j.loadSnapshot(ctx, s, head); err != nil {
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
		head.Data = nil
		s.snapshotHead, s.headVersion, s.stale = head, rows[0].Version, false
		return nil
	}
	return &table.UnavailableError{Err: &CorruptError{s.number, "log and snapshot don't fit together"}}
}

// readLog applies the rows after the last applied one. It returns false if a row
// is missing.
func (j *Journal) readLog(ctx context.Context, s *shard) (bool, error) {
	for {
		rows, err := j.store.Query(ctx, s.logPartition(), sequenceKey(s.lastSequence), queryRows)
		if err != nil {
			return false, err
		}
		bytes := 0
		for _, row := range rows {
			bytes += len(row.Value)
			if row.Sort != sequenceKey(s.lastSequence+1) {
				return false, nil
			}
			b, err := ledger.DecodeBatch(row.Value)
			if err != nil {
				return false, fmt.Errorf("shard %d, row %s: %w", s.number, row.Sort, err)
			}
			s.apply(b, b.Writer != j.writer)
		}
		if len(rows) < queryRows && bytes < maybeTruncatedBytes {
			return true, nil
		}
	}
}

// loadSnapshot replaces the state. It returns false if the snapshot's chunks
// were deleted because a newer one exists.
func (j *Journal) loadSnapshot(ctx context.Context, s *shard, head headRow) (bool, error) {
	data := head.Data
	for n := range head.Chunks {
		rows, err := j.store.Get(ctx, s.chunkKey(head.Sequence, head.ID, n))
		if err != nil {
			return false, err
		}
		if rows[0].Version == 0 {
			return false, nil
		}
		data = append(data, rows[0].Value...)
	}
	if head.ID == "" {
		return false, nil
	}
	state, err := ledger.DecodeState(data)
	if err != nil {
		return false, fmt.Errorf("shard %d, snapshot %s: %w", s.number, head.ID, err)
	}
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.lastSequence = head.Sequence
	s.snapshotLoaded = s.snapshotLoaded || s.awaitedBatchID != ""
	return true, nil
}

// snapshotIfDue writes a snapshot if enough batches follow the last one.
func (j *Journal) snapshotIfDue(s *shard) {
	if !s.acquire(j.stopCtx) {
		return
	}
	defer s.release()
	behind := s.lastSequence - s.snapshotHead.Sequence
	// The delay differs between writers, so that usually only one of them writes
	// the snapshot.
	if behind < j.snapshotInterval+s.snapshotDelay {
		return
	}
	if s.stale {
		if err := j.catchUp(j.stopCtx, s); err != nil || s.lastSequence-s.snapshotHead.Sequence < j.snapshotInterval {
			return
		}
	}
	s.snapshotDelay = randomSnapshotDelay(j.snapshotInterval)
	if err := j.writeSnapshot(j.stopCtx, s); err != nil {
		j.log.WithError(err).WithField("shard", s.number).Warn("snapshot not written or old rows not deleted")
	}
}

// writeSnapshot writes the state and deletes older rows. The caller holds the
// shard's lock and has read the log.
func (j *Journal) writeSnapshot(ctx context.Context, s *shard) error {
	data, err := ledger.EncodeState(s.state)
	if err != nil {
		return err
	}
	head := headRow{Sequence: s.lastSequence, ID: ulid.Make().String()}
	if len(data) <= chunkBytes {
		head.Data = data
	} else {
		for chunk := range slices.Chunk(data, chunkBytes) {
			w := table.Write{Key: s.chunkKey(head.Sequence, head.ID, head.Chunks), Expect: table.Absent{}, Value: chunk}
			if err := j.store.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{w}}); err != nil {
				return err
			}
			head.Chunks++
		}
	}
	value, err := cbor.Marshal(head)
	if err != nil {
		return err
	}
	w := table.Write{Key: s.headKey(), Expect: expectVersion(s.headVersion), Value: value}
	s.stale = true // unless the write is known to have succeeded
	if err := j.store.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{w}}); err != nil {
		return err
	}
	head.Data = nil
	s.snapshotHead, s.headVersion, s.stale = head, s.headVersion+1, false
	j.snapshots.Add(1)
	return j.deleteObsoleteRows(ctx, s)
}

// deleteObsoleteRows deletes the rows that no reader needs. Rows left over from a
// failure are deleted after the next snapshot.
func (j *Journal) deleteObsoleteRows(ctx context.Context, s *shard) error {
	// The rows of one snapshot interval are kept, so that a writer that lags
	// slightly reads them instead of the whole snapshot.
	if s.snapshotHead.Sequence > j.snapshotInterval {
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
		for n := from; n <= min(s.snapshotHead.Sequence-j.snapshotInterval, from+maxDeletedRows); n++ {
			keys = append(keys, s.logKey(n))
		}
		if err := j.delete(ctx, keys); err != nil {
			return err
		}
	}
	chunks, err := j.store.Query(ctx, s.snapshotPartition(), "", queryRows)
	if err != nil {
		return err
	}
	var keys []table.Key
	for _, row := range chunks {
		// Chunks of later sequence numbers may belong to a snapshot in progress.
		if row.Sort < sequenceKey(s.snapshotHead.Sequence) {
			keys = append(keys, row.Key)
		}
	}
	return j.delete(ctx, keys)
}

func (j *Journal) delete(ctx context.Context, keys []table.Key) error {
	for group := range slices.Chunk(keys, table.MaxTransactionRows) {
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
