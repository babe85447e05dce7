package table_test

import (
	"fmt"
	"testing"

	"github.com/oklog/ulid/v2"

	"briarreach/standin"
	"briarreach/table"
)

func benchmarkClient(b *testing.B) *table.Client {
	service, err := standin.NewTable()
	if err != nil {
		b.Fatal(err)
	}
	client, err := table.New(table.WithEndpoint(service.Endpoint()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = client.Close()
		_ = service.Close()
	})
	return client
}

// BenchmarkCommit appends rows of 2 KB, as a ledger shard does, one at a time
// over loopback. The time includes that of the simulated service.
func BenchmarkCommit(b *testing.B) {
	client := benchmarkClient(b)
	value := make([]byte, 2048)
	for i := 0; b.Loop(); i++ {
		err := client.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{
			{Key: key(fmt.Sprintf("%012d", i)), Expect: table.Absent{}, Value: value},
		}})
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGet reads one row of 2 KB at a time over loopback.
func BenchmarkGet(b *testing.B) {
	client := benchmarkClient(b)
	if err := client.Commit(ctx, writes(table.Write{Key: key("a"), Expect: table.Any{}, Value: make([]byte, 2048)})); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := client.Get(ctx, key("a")); err != nil {
			b.Fatal(err)
		}
	}
}
