package shardlog_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"briarreach/ledger"
	"briarreach/shardlog"
	"briarreach/table"
)

// limitedStore adds latency to each call and throttles transactions beyond the
// limit. Only transactions are limited, not the rows in them.
type limitedStore struct {
	*memoryStore
	limit             *rate.Limiter
	latency           time.Duration
	writes, rows      atomic.Int64
	reads, throttling atomic.Int64
}

func (l *limitedStore) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	l.reads.Add(1)
	time.Sleep(l.latency)
	return l.memoryStore.Get(ctx, keys...)
}

func (l *limitedStore) Query(ctx context.Context, partition, after string, limit int) ([]table.Row, error) {
	l.reads.Add(1)
	time.Sleep(l.latency)
	return l.memoryStore.Query(ctx, partition, after, limit)
}

func (l *limitedStore) Commit(ctx context.Context, tx table.Transaction) error {
	time.Sleep(l.latency)
	if !l.limit.Allow() {
		l.throttling.Add(1)
		return &table.ThrottledError{Err: errInjected}
	}
	l.writes.Add(1)
	l.rows.Add(int64(len(tx.Writes)))
	return l.memoryStore.Commit(ctx, tx)
}

// BenchmarkBills appends 4,600 bills a second for ten seconds to a store that
// takes 300 transactions a second and responds after 5 ms. Run it with
// -benchtime 1x.
func BenchmarkBills(b *testing.B) {
	const perSecond, seconds = 4600, 10
	for _, c := range []struct {
		writers, shards int
		interval        time.Duration
	}{
		{4, 16, 250 * time.Millisecond},  // current fleet
		{4, 16, time.Second},             // current fleet with a longer interval
		{1, 256, time.Second},            // fleet expected in two years, with one writer for each shard
		{1, 256, 250 * time.Millisecond}, // more flushes than the store takes
	} {
		b.Run(fmt.Sprintf("writers=%d,shards=%d,interval=%s", c.writers, c.shards, c.interval), func(b *testing.B) {
			for range b.N {
				store := &limitedStore{memoryStore: newMemoryStore(), limit: rate.NewLimiter(rate.Inf, 300), latency: 5 * time.Millisecond}
				ctx := context.Background()
				journals := make([]*shardlog.Journal, c.writers)
				for i := range journals {
					var err error
					if journals[i], err = shardlog.New(store, c.shards, shardlog.WithFlushInterval(c.interval)); err != nil {
						b.Fatal(err)
					}
				}
				const budgets = 1024
				var ready sync.WaitGroup
				for n := range budgets {
					name := fmt.Sprint("budget-", n)
					records := []ledger.Record{ledger.OpenBudget{Budget: name, Prepaid: 1 << 50, PatchID: "p"}}
					for i := range journals {
						records = append(records, draw(fmt.Sprint(name, i), name, fmt.Sprint("h", i), 1<<40))
					}
					for _, r := range records {
						ready.Add(1)
						if err := journals[0].Submit(r, name, func(ledger.Result, error) { ready.Done() }); err != nil {
							b.Fatal(err)
						}
					}
				}
				ready.Wait()
				store.limit.SetLimit(300)
				for _, counter := range []*atomic.Int64{&store.writes, &store.rows, &store.reads, &store.throttling} {
					counter.Store(0)
				}
				var mu sync.Mutex
				var waits []time.Duration
				started := time.Now()
				for n := range perSecond * seconds {
					if n%46 == 0 {
						time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / perSecond)))
					}
					i, name := n%c.writers, fmt.Sprint("budget-", n*7919%budgets)
					submitted := time.Now()
					bill := ledger.Bill{Identity: ledger.NewIdentity("w", fmt.Sprint(n), nil), Budget: name, Holder: fmt.Sprint("h", i),
						Attempt: "01JMA000000000000000000000", Cost: 100, Outcome: "ok", At: submitted}
					if err := journals[i].Submit(bill, name, func(r ledger.Result, err error) {
						if _, ok := r.(ledger.Billed); !ok || err != nil {
							panic(fmt.Sprint(r, err))
						}
						mu.Lock()
						waits = append(waits, time.Since(submitted))
						mu.Unlock()
					}); err != nil {
						b.Fatal(err)
					}
				}
				backlog := 0
				for _, j := range journals {
					backlog += j.Pending()
				}
				elapsed := time.Since(started).Seconds()
				b.ReportMetric(float64(store.writes.Load())/elapsed, "writes/s")
				b.ReportMetric(float64(store.rows.Load())/elapsed, "rows/s")
				b.ReportMetric(float64(store.reads.Load())/elapsed, "reads/s")
				b.ReportMetric(float64(store.throttling.Load())/elapsed, "throttled/s")
				b.ReportMetric(float64(backlog), "backlog")
				for _, j := range journals {
					if err := j.Close(ctx); err != nil {
						b.Fatal(err)
					}
				}
				slices.Sort(waits)
				b.ReportMetric(float64(len(waits))/float64(store.writes.Load()), "bills/write")
				b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "p99-ms")
			}
		})
	}
}
