package quarantinestore_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/crash"
	"briarreach/platform"
	"briarreach/platform/standin"
	"briarreach/quarantine"
	"briarreach/quarantinestore"
	"briarreach/replica"
)

func TestQuarantineStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantinestore")
}

var _ = Describe("a keeper of the quarantine", func() {
	var store *standin.Store

	BeforeEach(func() {
		var err error
		store, err = standin.NewStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
	})

	start := func() *quarantinestore.Keeper {
		k := quarantinestore.New(quarantine.New(quarantine.Defaults()),
			platform.NewStore(platform.StoreSettings{Address: store.Address()}, platform.WithStoreTimeout(100*time.Millisecond)))
		DeferCleanup(func() {
			// A call that waits for changes does not end early.
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			k.Close(ctx)
		})
		return k
	}
	// crashReplicas reports crashes of n replicas with a part in common.
	crashReplicas := func(k *quarantinestore.Keeper, n int, part string) {
		for i := range n {
			k.HandleEnd(crash.End{BrokenSend: crash.BrokenSend{Replica: replica.Replica{ID: fmt.Sprint("r", i), Service: "s"}, SharedParts: []string{part, fmt.Sprint("other", i)},
				At: time.Now().Add(time.Duration(i-n) * 200 * time.Millisecond)}})
		}
	}
	blocks := func(k *quarantinestore.Keeper, part string) func() bool {
		return func() bool {
			_, _, is := k.Blocks("s", []string{"system", part})
			return is
		}
	}

	It("tells the others through the store, and writes one row", func() {
		a, b := start(), start()
		crashReplicas(a, 3, "bad")
		Eventually(blocks(a, "bad"), "1s", "5ms").Should(BeTrue())
		Eventually(blocks(b, "bad"), "2s", "5ms").Should(BeTrue())
		Consistently(func() int { return len(store.Names(quarantinestore.Table, "")) }, "400ms").Should(Equal(1))
		Expect(blocks(b, "other0")()).To(BeFalse())
	})

	// Guards against a quarantine that is forgotten because the store was away when it
	// was decided.
	It("writes the row when the store is back", func() {
		a := start()
		store.SetFault(standin.Refusing{Status: 503})
		crashReplicas(a, 3, "bad")
		Eventually(blocks(a, "bad"), "1s", "5ms").Should(BeTrue())
		Consistently(func() []string { return store.Names(quarantinestore.Table, "") }, "400ms").Should(BeEmpty())
		store.SetFault(nil)
		Eventually(func() []string { return store.Names(quarantinestore.Table, "") }, "2s", "10ms").Should(HaveLen(1))
	})

	// Guards against a sound part that stays in quarantine for half an hour.
	It("deletes the row of a part that is answered after all", func() {
		a, b := start(), start()
		crashReplicas(a, 3, "slow")
		Eventually(blocks(b, "slow"), "2s", "5ms").Should(BeTrue())
		b.RecordAnswer("s", []string{"slow"})
		Expect(blocks(b, "slow")()).To(BeFalse())
		Eventually(blocks(a, "slow"), "2s", "5ms").Should(BeFalse())
		Eventually(func() []string { return store.Names(quarantinestore.Table, "") }, "2s", "10ms").Should(BeEmpty())
	})

	// Guards against a part that every gateway sends again because the store has lost
	// its row.
	It("writes a row again that a restored store has lost", func() {
		before := store.Copy()
		a := start()
		crashReplicas(a, 3, "bad")
		Eventually(func() []string { return store.Names(quarantinestore.Table, "") }, "2s", "10ms").Should(HaveLen(1))
		b := start()
		Eventually(blocks(b, "bad"), "2s", "5ms").Should(BeTrue())
		store.Restore(before)
		Eventually(func() []string { return store.Names(quarantinestore.Table, "") }, "2s", "10ms").Should(HaveLen(1))
		Consistently(blocks(a, "bad"), "400ms", "10ms").Should(BeTrue())
		Expect(blocks(b, "bad")()).To(BeTrue())
	})

	// Guards against a released part that a restored store puts into quarantine again.
	It("deletes a row again that a restored store has back", func() {
		a := start()
		crashReplicas(a, 3, "p")
		Eventually(func() []string { return store.Names(quarantinestore.Table, "") }, "2s", "10ms").Should(HaveLen(1))
		before := store.Copy()
		store.Delete(quarantinestore.Table, "", store.Names(quarantinestore.Table, "")[0])
		Eventually(blocks(a, "p"), "2s", "5ms").Should(BeFalse())
		store.Restore(before)
		Eventually(func() []string { return store.Names(quarantinestore.Table, "") }, "2s", "10ms").Should(BeEmpty())
		Expect(blocks(a, "p")()).To(BeFalse())
	})

	It("ignores rows that it can't read", func() {
		store.Put(quarantinestore.Table, "", "x", []byte("{"))
		store.Put(quarantinestore.Table, "", "y", []byte(`{"service":5}`))
		a := start()
		store.Put(quarantinestore.Table, "", "z", []byte(`{"service":"s","part":"bad"}`))
		Eventually(blocks(a, "bad"), "2s", "5ms").Should(BeTrue())
	})

	// Guards against memory that grows with a table that nobody cleans up.
	It("follows a bounded number of rows", func() {
		for i := range 3000 {
			store.Put(quarantinestore.Table, "", fmt.Sprint("row", i), fmt.Appendf(nil, `{"service":"s","part":"p%d","crashes":3}`, i))
		}
		a := start()
		Eventually(a.RowCount, "3s", "10ms").Should(Equal(1024))
		Consistently(a.RowCount, "200ms").Should(Equal(1024))
	})

	It("handles IDs that are too long for a message", func() {
		a, long := start(), strings.Repeat("x", 5000)
		crashReplicas(a, 3, long)
		Eventually(blocks(a, long), "1s", "5ms").Should(BeTrue())
		Expect(blocks(a, long+"y")()).To(BeFalse())
	})

	It("lists the parts for an operator, who releases one", func() {
		a := start()
		client := platform.NewStore(platform.StoreSettings{Address: store.Address()})
		ctx := context.Background()
		crashReplicas(a, 3, "bad")
		store.Put(quarantinestore.Table, "", "x", []byte("{"))
		var entries []quarantinestore.Entry
		Eventually(func() []quarantinestore.Entry {
			entries, _ = quarantinestore.List(ctx, client)
			return entries
		}, "2s", "10ms").Should(HaveLen(1))
		Expect(entries[0].Service).To(Equal("s"))
		Expect(entries[0].Part).To(Equal("bad"))
		Expect(entries[0].Crashes).To(Equal(3))
		Expect(quarantinestore.Release(ctx, client, "none")).To(BeAssignableToTypeOf(&quarantinestore.UnknownEntryError{}))
		Expect(quarantinestore.Release(ctx, client, entries[0].Name)).To(Succeed())
		Eventually(blocks(a, "bad"), "2s", "5ms").Should(BeFalse())
	})
})
