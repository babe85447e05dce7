package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"briarreach/ledger"
)

// newFilledState returns a shard with 100 budgets and n remembered bills. The
// batches are encoded and decoded, as when they are read from the log.
func newFilledState(tb testing.TB, n int) *ledger.State {
	s := ledger.NewState()
	apply := func(at time.Time, records ...ledger.Record) {
		raw, err := ledger.EncodeBatch(ledger.Batch{Writer: "01JMA000000000000000000000", BatchID: "01JMA000000000000000000000", At: at, Records: records})
		if err != nil {
			tb.Fatal(err)
		}
		b, err := ledger.DecodeBatch(raw)
		if err != nil {
			tb.Fatal(err)
		}
		s.Apply(b)
	}
	for i := range 100 {
		name := fmt.Sprint("budget-", i)
		apply(start, ledger.OpenBudget{Budget: name, Prepaid: 1 << 40, PatchID: name}, ledger.Draw{DrawID: name, Budget: name, Holder: "h", Min: 1, Max: 1 << 40})
	}
	const perBatch = 18
	for i := 0; i < n; i += perBatch {
		at := start.Add(time.Duration(i) * 15 * time.Minute / time.Duration(n+perBatch))
		var records []ledger.Record
		for k := i; k < min(i+perBatch, n); k++ {
			records = append(records, ledger.Bill{Identity: identity(k), Budget: fmt.Sprint("budget-", k%100), Holder: "h",
				Attempt: fmt.Sprintf("01JMA%021d", k), Cost: 1000, PromptTokens: 500, CompletionTokens: 500, Outcome: "ok", At: at})
		}
		apply(at, records...)
	}
	return s
}

// BenchmarkShard reports the memory and the snapshot size of a shard per
// remembered bill. 16,200 bills are 18 a second for 15 minutes.
func BenchmarkShard(b *testing.B) {
	const bills = 16_200
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newFilledState(b, bills)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/bills, "heap-B/bill")
		started := time.Now()
		raw, err := ledger.EncodeState(s)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(started).Microseconds()), "encode-µs")
		b.ReportMetric(float64(len(raw))/bills, "snapshot-B/bill")
	}
}

// BenchmarkBatch encodes, decodes and applies a batch of 18 bills.
func BenchmarkBatch(b *testing.B) {
	s := newFilledState(b, 16_200)
	at := start.Add(15 * time.Minute)
	size := 0
	for n := 0; b.Loop(); n++ {
		at = at.Add(time.Second)
		batch := ledger.Batch{Writer: "01JMA000000000000000000000", BatchID: "01JMA000000000000000000000", At: at}
		for k := range 18 {
			batch.Records = append(batch.Records, ledger.Bill{Identity: identity(1<<30 + n*18 + k), Budget: "budget-1", Holder: "h",
				Attempt: "01JMA000000000000000000000", Cost: 1000, PromptTokens: 500, CompletionTokens: 500, Outcome: "ok", At: at})
		}
		raw, err := ledger.EncodeBatch(batch)
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
		decoded, err := ledger.DecodeBatch(raw)
		if err != nil {
			b.Fatal(err)
		}
		s.Apply(decoded)
	}
	b.ReportMetric(float64(size)/18, "row-B/bill")
}
