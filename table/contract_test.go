package table_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/settings"
	"briarreach/standin"
	"briarreach/table"
)

var ctx = context.Background()

func key(sort string) table.Key { return table.Key{Partition: "p", Sort: sort} }

func put(sort string, e table.Precondition, value string) table.Write {
	return table.Write{Key: key(sort), Expect: e, Value: []byte(value)}
}

func remove(sort string, e table.Precondition) table.Write {
	return table.Write{Key: key(sort), Expect: e}
}

func writes(w ...table.Write) table.Transaction {
	return table.Transaction{ID: ulid.Make().String(), Writes: w}
}

func row(sort string, version uint64, value string) table.Row {
	return table.Row{Key: key(sort), Version: version, Value: []byte(value)}
}

// expectRows checks that the partition contains exactly the rows.
func expectRows(store table.Store, rows ...table.Row) {
	GinkgoHelper()
	got, err := store.Query(ctx, "p", "", 1000)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(HaveExactElements(rows))
}

// beErrorOfType matches an error that wraps one of type T.
func beErrorOfType[T error]() OmegaMatcher {
	return WithTransform(func(err error) bool { return errors.As(err, new(T)) }, BeTrue())
}

var (
	beConflict    = beErrorOfType[*table.ConflictError]()
	beUnavailable = beErrorOfType[*table.UnavailableError]()
	beAmbiguous   = beErrorOfType[*table.AmbiguousError]()
	beThrottled   = beErrorOfType[*table.ThrottledError]()
	beInvalid     = beErrorOfType[*table.InvalidError]()
)

func implementations() map[string]func(*standin.Table) table.Store {
	return map[string]func(*standin.Table) table.Store{
		"client over HTTP": func(t *standin.Table) table.Store {
			client, err := table.New(table.WithEndpoint(t.Endpoint()), table.WithTimeout(20*time.Second))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			return client
		},
		"store in memory": func(t *standin.Table) table.Store { return t.Store() },
	}
}

var _ = Describe("Store", func() {
	for name, open := range implementations() {
		Describe(name, func() { storeContract(open) })
	}
})

func storeContract(open func(*standin.Table) table.Store) {
	var service *standin.Table
	var store table.Store

	start := func(opts ...standin.TableOption) {
		var err error
		service, err = standin.NewTable(opts...)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		store = open(service)
	}
	BeforeEach(func() { start() })

	// Guards against a precondition that is not checked, a transaction that is
	// applied in part, wrong versions and wrong keys in a conflict.
	DescribeTable("applies a transaction as a whole or reports the rows in conflict",
		func(tx table.Transaction, conflicts []table.Key, after ...table.Row) {
			Expect(store.Commit(ctx, writes(put("a", table.Absent{}, "1")))).To(Succeed())
			Expect(store.Commit(ctx, writes(put("a", table.Exactly{Version: 1}, "2")))).To(Succeed())
			Expect(store.Commit(ctx, writes(put("b", table.Any{}, "1")))).To(Succeed())
			err := store.Commit(ctx, tx)
			if conflicts == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				var conflict *table.ConflictError
				Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
				Expect(conflict.Keys).To(ConsistOf(conflicts))
			}
			expectRows(store, after...)
		},
		Entry("absent, and it is", writes(put("c", table.Absent{}, "1")), nil,
			row("a", 2, "2"), row("b", 1, "1"), row("c", 1, "1")),
		Entry("absent, but it exists", writes(put("a", table.Absent{}, "3")), []table.Key{key("a")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("exact version", writes(put("a", table.Exactly{Version: 2}, "3")), nil,
			row("a", 3, "3"), row("b", 1, "1")),
		Entry("older version", writes(put("a", table.Exactly{Version: 1}, "3")), []table.Key{key("a")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("version of a row that does not exist", writes(put("c", table.Exactly{Version: 1}, "3")), []table.Key{key("c")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("version 0 means absent", writes(put("c", table.Exactly{}, "1"), put("a", table.Exactly{}, "1")), []table.Key{key("a")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("any state sets version 1", writes(put("a", table.Any{}, "3")), nil,
			row("a", 1, "3"), row("b", 1, "1")),
		Entry("empty value is a value", writes(put("a", table.Any{}, "")), nil,
			row("a", 1, ""), row("b", 1, "1")),
		Entry("nil value deletes", writes(remove("a", table.Exactly{Version: 2}), remove("x", table.Any{})), nil,
			row("b", 1, "1")),
		Entry("delete of another version", writes(remove("a", table.Exactly{Version: 1})), []table.Key{key("a")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("one of several rows in conflict", writes(put("c", table.Absent{}, "1"), remove("a", table.Any{}), put("b", table.Absent{}, "2")), []table.Key{key("b")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("several rows in conflict", writes(put("a", table.Absent{}, "1"), put("c", table.Absent{}, "1"), put("b", table.Exactly{Version: 7}, "2")), []table.Key{key("a"), key("b")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("check holds", table.Transaction{ID: "1", Writes: []table.Write{put("c", table.Absent{}, "1")},
			Checks: []table.Check{{Key: key("a"), Expect: table.Exactly{Version: 2}}, {Key: key("x"), Expect: table.Absent{}}, {Key: key("y"), Expect: table.Any{}}}}, nil,
			row("a", 2, "2"), row("b", 1, "1"), row("c", 1, "1")),
		Entry("check fails", table.Transaction{ID: "1", Writes: []table.Write{put("c", table.Absent{}, "1")},
			Checks: []table.Check{{Key: key("a"), Expect: table.Exactly{Version: 1}}}}, []table.Key{key("a")},
			row("a", 2, "2"), row("b", 1, "1")),
		Entry("100 items", writes(many(100)...), []table.Key{key("a")},
			row("a", 2, "2"), row("b", 1, "1")),
	)

	// Guards against sending requests that the service can't execute, or reporting
	// them as if a retry could succeed.
	DescribeTable("refuses what the service can't accept", func(tx table.Transaction) {
		Expect(store.Commit(ctx, tx)).To(beInvalid)
		expectRows(store)
	},
		Entry("no items", writes()),
		Entry("101 items", writes(many(101)...)),
		Entry("row twice", writes(put("a", table.Any{}, "1"), put("a", table.Any{}, "2"))),
		Entry("value too large", writes(put("a", table.Any{}, strings.Repeat("x", table.MaxValueBytes+1)))),
		Entry("transaction too large", writes(large(12)...)),
		Entry("no identifier", table.Transaction{Writes: []table.Write{put("a", table.Any{}, "1")}}),
		Entry("identifier too long", table.Transaction{ID: strings.Repeat("x", 37), Writes: []table.Write{put("a", table.Any{}, "1")}}),
		Entry("no expectation", writes(table.Write{Key: key("a"), Value: []byte("1")})),
		Entry("empty sort key", writes(put("", table.Any{}, "1"))),
	)

	// Guards against a transaction that takes effect twice.
	It("applies an identifier once", func() {
		tx := writes(put("a", table.Any{}, "1"))
		Expect(store.Commit(ctx, tx)).To(Succeed())
		Expect(store.Commit(ctx, writes(remove("a", table.Any{})))).To(Succeed())
		Expect(store.Commit(ctx, tx)).To(Succeed())
		expectRows(store)
		tx.Writes[0].Value = []byte("2")
		Expect(store.Commit(ctx, tx)).To(beInvalid)
		expectRows(store)
	})

	// Guards against a definite failure that did take effect, an unknown outcome
	// that is reported as definite, and reads that return wrong rows.
	DescribeTable("reports the outcome under a fault",
		func(faults standin.TableFaults, commit OmegaMatcher, applied bool, read OmegaMatcher) {
			Expect(store.Commit(ctx, writes(put("a", table.Any{}, "old")))).To(Succeed())
			Expect(service.SetFaults(faults)).To(Succeed())
			if faults.Outage == standin.TableOutageRefuse {
				// An idle connection that the client has not yet found closed could
				// accept the request's bytes, which is ambiguous.
				store = open(service)
			}
			// Only a service that doesn't respond exhausts the timeout.
			limit := 30 * time.Second
			if faults.Outage == standin.TableOutageSilent {
				limit = 500 * time.Millisecond
			}
			limited, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			tx := writes(put("a", table.Exactly{Version: 1}, "new"))
			Expect(store.Commit(limited, tx)).To(commit)
			limited, cancel = context.WithTimeout(ctx, limit)
			defer cancel()
			_, err := store.Get(limited, key("a"))
			Expect(err).To(read)
			Expect(service.SetFaults(standin.TableFaults{})).To(Succeed())
			if applied {
				expectRows(store, row("a", 2, "new"))
			} else {
				expectRows(store, row("a", 1, "old"))
			}
			Expect(store.Commit(ctx, tx)).To(Succeed(), "the same transaction again")
			expectRows(store, row("a", 2, "new"))
		},
		Entry("response lost after the effect", standin.TableFaults{LoseResponseShare: 1}, beAmbiguous, true, beUnavailable),
		Entry("response lost before the effect", standin.TableFaults{LoseRequestShare: 1}, beAmbiguous, false, beUnavailable),
		Entry("internal error", standin.TableFaults{FailShare: 1}, beAmbiguous, false, beUnavailable),
		Entry("throttled", standin.TableFaults{ThrottleShare: 1}, beThrottled, false, beThrottled),
		Entry("collision that lasts", standin.TableFaults{ConflictShare: 1}, beThrottled, false, Succeed()),
		Entry("collision that ends", standin.TableFaults{ConflictShare: 1, RemainingFaultyCalls: 2}, Succeed(), true, Succeed()),
		Entry("outage, connections refused", standin.TableFaults{Outage: standin.TableOutageRefuse}, beUnavailable, false, beUnavailable),
		Entry("outage, connections closed", standin.TableFaults{Outage: standin.TableOutageClose}, beAmbiguous, false, beUnavailable),
		Entry("outage, no responses", standin.TableFaults{Outage: standin.TableOutageSilent}, beAmbiguous, false, beUnavailable),
	)

	// Guards against reporting a delayed write as not applied: the caller cancels,
	// and the write is applied afterwards.
	It("reports a slow write as ambiguous, and a retry in progress as well", func() {
		clock := clockwork.NewFakeClock()
		start(standin.WithTableClock(clock))
		Expect(service.SetFaults(standin.TableFaults{Latency: settings.Duration{Duration: time.Minute}})).To(Succeed())
		limited, cancel := context.WithCancel(ctx)
		tx := writes(put("a", table.Absent{}, "1"))
		failed := make(chan error, 1)
		go func() { failed <- store.Commit(limited, tx) }()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		cancel()
		Expect(<-failed).To(beAmbiguous)
		Expect(service.SetFaults(standin.TableFaults{})).To(Succeed())
		Expect(store.Commit(ctx, tx)).To(beAmbiguous)
		expectRows(store)
		clock.Advance(time.Minute)
		Eventually(func() ([]table.Row, error) { return store.Get(ctx, key("a")) }).
			Should(HaveExactElements(row("a", 1, "1")))
	})

	// Guards against a call whose context has ended being reported as possibly
	// applied.
	It("sends nothing when the context has ended", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(store.Commit(ended, writes(put("a", table.Any{}, "1")))).To(beUnavailable)
		expectRows(store)
	})

	It("returns rows in the order of the keys, also repeated and missing ones", func() {
		Expect(store.Commit(ctx, writes(many(100)...))).To(Succeed())
		var keys []table.Key
		for i := range 150 {
			keys = append(keys, key(rowName(i)))
		}
		keys = append(keys, key("a"), key("a"))
		rows, err := store.Get(ctx, keys...)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(152))
		for i, r := range rows {
			Expect(r.Key).To(Equal(keys[i]))
			Expect(r.Version > 0).To(Equal(i < 100 || i >= 150), "row %v", r.Key)
		}
	})

	// Guards against rows lost at the size limits of a response: 1 MB of a query
	// page, 16 MB of a batch.
	It("reads past the size limits of one response", func() {
		const rows = 48 // 18 MB
		var keys []table.Key
		for i := 0; i < rows; i += 8 {
			tx := writes()
			for j := i; j < i+8; j++ {
				keys = append(keys, key(rowName(j)))
				tx.Writes = append(tx.Writes, table.Write{Key: keys[j], Expect: table.Absent{},
					Value: bytes.Repeat([]byte{byte(j)}, table.MaxValueBytes)})
			}
			Expect(store.Commit(ctx, tx)).To(Succeed())
		}
		got, err := store.Get(ctx, keys...)
		Expect(err).NotTo(HaveOccurred())
		queried, err := store.Query(ctx, "p", "", 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(queried).To(HaveLen(rows))
		for i := range got {
			Expect(bytes.Equal(got[i].Value, bytes.Repeat([]byte{byte(i)}, table.MaxValueBytes))).To(BeTrue(), "row %d", i)
			Expect(queried[i].Key).To(Equal(got[i].Key))
		}
		queried, err = store.Query(ctx, "p", keys[9].Sort, 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(queried).To(HaveLen(20))
		Expect(queried[0].Key).To(Equal(keys[10]))
	})

	// Guards against a rate limit being reported as a conflict or an outage.
	It("reports the service's rate limits as throttling", func() {
		clock := clockwork.NewFakeClock()
		start(standin.WithTableWriteLimit(100), standin.WithTableReadLimit(100), standin.WithTableClock(clock))
		Expect(store.Commit(ctx, writes(many(100)...))).To(Succeed())
		Expect(store.Commit(ctx, writes(many(50)...))).To(beThrottled)
		_, err := store.Get(ctx, key("a"))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Get(ctx, manyKeys(100)...)
		Expect(err).To(beThrottled)
		clock.Advance(time.Second)
		_, err = store.Get(ctx, manyKeys(100)...)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against lost and doubled increments under all faults together.
	It("counts each increment once when writers read back after ambiguous failures", func() {
		Expect(store.Commit(ctx, writes(put("n", table.Absent{}, "")))).To(Succeed())
		Expect(service.SetFaults(standin.TableFaults{LoseResponseShare: 0.1, LoseRequestShare: 0.1, ThrottleShare: 0.1, ConflictShare: 0.1, FailShare: 0.1})).To(Succeed())
		const writers, increments = 8, 25
		var wg sync.WaitGroup
		for w := range writers {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := range increments {
					appendMarkOnce(store, fmt.Sprintf("%d-%d;", w, i))
				}
			})
		}
		wg.Wait()
		Expect(service.SetFaults(standin.TableFaults{})).To(Succeed())
		rows, err := store.Get(ctx, key("n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Version).To(BeEquivalentTo(writers*increments + 1))
		for w := range writers {
			for i := range increments {
				Expect(bytes.Count(rows[0].Value, fmt.Appendf(nil, "%d-%d;", w, i))).To(Equal(1))
			}
		}
	})
}

// appendMarkOnce adds a mark to the row n by compare-and-set until it is there.
func appendMarkOnce(store table.Store, mark string) {
	for {
		rows, err := store.Get(ctx, key("n"))
		if err != nil {
			continue
		}
		if strings.Contains(";"+string(rows[0].Value), ";"+mark) {
			return
		}
		err = store.Commit(ctx, writes(put("n", table.Exactly{Version: rows[0].Version}, string(rows[0].Value)+mark)))
		if err == nil {
			return
		}
	}
}

func rowName(i int) string {
	if i == 0 {
		return "a"
	}
	return fmt.Sprintf("m%03d", i)
}

// many returns n writes that expect absent rows; the first row is "a".
func many(n int) []table.Write {
	var out []table.Write
	for i := range n {
		out = append(out, put(rowName(i), table.Absent{}, "1"))
	}
	return out
}

func manyKeys(n int) []table.Key {
	var out []table.Key
	for _, w := range many(n) {
		out = append(out, w.Key)
	}
	return out
}

// large returns n writes of values of the maximum size.
func large(n int) []table.Write {
	out := many(n)
	for i := range out {
		out[i].Value = make([]byte, table.MaxValueBytes)
	}
	return out
}
