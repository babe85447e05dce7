package shardlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"briarreach/ledger"
	"briarreach/table"
)

// FenceRow is the value of a row fence/<holder>, encoded as CBOR.
type FenceRow struct {
	Holder   string    `cbor:"holder"`
	FencedBy string    `cbor:"by"` // the journal's writer
	FencedAt time.Time `cbor:"at"`
}

// FenceHolder bars the holder from further draws: it writes the row
// fence/<holder> and a Fence record to each shard in which the holder has
// outstanding amounts. It fails while the table service does not respond; a
// repeated call completes an interrupted one.
func (j *Journal) FenceHolder(ctx context.Context, holder string) error {
	key := table.Key{Partition: FencePartition, Sort: holder}
	value, err := cbor.Marshal(FenceRow{holder, j.writer, j.clock.Now().UTC()})
	if err != nil {
		return fmt.Errorf("shardlog.FenceHolder: %w", err)
	}
	// The first pass can miss a draw that is appended between Refresh and the write
	// of the fence row. Once the row exists, no draw is appended, so the second pass
	// is complete.
	for range 2 {
		if err := j.Refresh(ctx); err != nil {
			return fmt.Errorf("shardlog.FenceHolder: %w", err)
		}
		rows, err := j.store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("shardlog.FenceHolder: %w", err)
		}
		var tx table.Transaction
		if rows[0].Version == 0 {
			tx.Writes = []table.Write{{Key: key, Expect: table.Absent{}, Value: value}}
		}
		shards := j.shardsWith(func(s *ledger.State) bool {
			return !s.Fenced(holder) && hasOutstanding(s, holder)
		})
		for first := true; first || len(shards) > 0; first = false {
			n := min(len(shards), shardsPerTransaction)
			recordsByShard := map[int][]ledger.Record{}
			for _, number := range shards[:n] {
				recordsByShard[number] = []ledger.Record{ledger.Fence{Holder: holder}}
			}
			shards = shards[n:]
			if len(recordsByShard) == 0 && len(tx.Writes) == 0 {
				break
			}
			_, err := j.transact(ctx, tx, recordsByShard)
			if _, ok := errors.AsType[*table.ConflictError](err); ok {
				break // another entry has written the fence row; the second pass completes it
			}
			if err != nil {
				return fmt.Errorf("shardlog.FenceHolder: %w", err)
			}
			tx.Writes = nil
		}
	}
	return nil
}

// ReleaseHolder returns the outstanding amounts of a fenced holder except for
// held, the running reservations by budget. Queued records are appended first,
// so that bills of the holder from the agents' reports are charged before. It
// fails with *RefusedError if the holder is not fenced, and while the table
// service does not respond. It may be repeated.
func (j *Journal) ReleaseHolder(ctx context.Context, holder string, held map[string]int64) error {
	if err := j.drain(ctx); err != nil {
		return fmt.Errorf("shardlog.ReleaseHolder: %w", err)
	}
	if err := j.Refresh(ctx); err != nil {
		return fmt.Errorf("shardlog.ReleaseHolder: %w", err)
	}
	heldBy := map[int]map[string]int64{}
	for budget, amount := range held {
		n := ledger.ShardOf(budget, len(j.shards))
		if heldBy[n] == nil {
			heldBy[n] = map[string]int64{}
		}
		heldBy[n][budget] = amount
	}
	shards := j.shardsWith(func(s *ledger.State) bool { return hasOutstanding(s, holder) })
	for group := range slices.Chunk(shards, shardsPerTransaction) {
		recordsByShard := map[int][]ledger.Record{}
		for _, n := range group {
			recordsByShard[n] = []ledger.Record{ledger.Release{Holder: holder, Held: heldBy[n]}}
		}
		appended, err := j.transact(ctx, table.Transaction{}, recordsByShard)
		if err != nil {
			return fmt.Errorf("shardlog.ReleaseHolder: %w", err)
		}
		for _, a := range appended {
			j.observe(a.records[0], a.results[0])
		}
	}
	return nil
}

func hasOutstanding(s *ledger.State, holder string) bool { return len(s.Outstanding(holder)) > 0 }

// shardsWith returns the numbers of the shards for which f returns true.
func (j *Journal) shardsWith(f func(*ledger.State) bool) []int {
	var shards []int
	for n := range j.shards {
		j.ReadShard(n, func(s *ledger.State) {
			if f(s) {
				shards = append(shards, n)
			}
		})
	}
	return shards
}
