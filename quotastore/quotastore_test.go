package quotastore_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gateway"
	"briarreach/platform"
	"briarreach/platform/standin"
	"briarreach/quota"
	"briarreach/quotastore"
)

func newSyncers(store *standin.Store, holder, incarnation string, tokens int64, opts ...quotastore.Option) *quotastore.Syncers {
	GinkgoHelper()
	s := quota.Defaults()
	allocators := quotastore.NewAllocators(2, holder, incarnation, s)
	allocators.SetLimits(1, []quota.Limit{{Workspace: "w", Tokens: tokens}})
	return quotastore.NewSyncers(allocators, platform.NewStore(platform.StoreSettings{Address: store.Address()},
		platform.WithStoreTimeout(150*time.Millisecond)), s, opts...)
}

func reserve(s *quotastore.Syncers, tokens int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := s.Reserve(ctx, "w", tokens)
	if err == nil {
		r.Settle(tokens)
	}
	return err
}

var _ = Describe("synchronization with the store", func() {
	var store *standin.Store

	BeforeEach(func() {
		var err error
		store, err = standin.NewStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
	})

	It("grants on demand and reports an exhausted quota", func() {
		s := newSyncers(store, "h", "1", 5_000)
		defer s.Close(context.Background())
		Expect(reserve(s, 4_000)).To(Succeed())
		err := reserve(s, 4_000)
		var quotaErr *gateway.QuotaError
		Expect(errors.As(err, &quotaErr)).To(BeTrue())
		Expect(quotaErr.Exhausted).To(BeTrue())
	})

	// Guards against a request that waits until its own deadline when the store
	// does not answer.
	It("refuses in time when the store does not answer", func() {
		store.SetFault(standin.Unresponsive{})
		s := newSyncers(store, "h", "1", 5_000)
		defer s.Close(context.Background())
		err := reserve(s, 1_000)
		var quotaErr *gateway.QuotaError
		Expect(errors.As(err, &quotaErr)).To(BeTrue())
		Expect(quotaErr.Exhausted).To(BeFalse())
		Expect(quotaErr.RetryAfter).To(BeNumerically(">", 0))
	})

	It("recovers from a lost response by reading the rows", func() {
		store.SetFault(standin.LosingAnswers{RemainingCommits: 1})
		s := newSyncers(store, "h", "1", 5_000)
		defer s.Close(context.Background())
		Eventually(func() error { return reserve(s, 4_000) }, "3s", "10ms").Should(Succeed())
		Expect(reserve(s, 4_000)).NotTo(Succeed())
	})

	// Guards against requests that are refused after a restart of the fleet, because
	// all of their time passes while lenders do not respond.
	It("draws from the store while lenders do not respond", func() {
		silent := quotastore.WithBorrowing(func(ctx context.Context, _ string) { <-ctx.Done() })
		var holders []*quotastore.Syncers
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			s := newSyncers(store, name, "1", 100_000_000, silent)
			defer s.Close(context.Background())
			holders = append(holders, s)
		}
		time.Sleep(2500 * time.Millisecond) // until all have read the rows of all
		for _, s := range holders {
			started := time.Now()
			Expect(reserve(s, 1_000)).To(Succeed())
			Expect(time.Since(started)).To(BeNumerically("<", 250*time.Millisecond), "half of the least target latency")
		}
	})

	It("returns unspent grants on close, for others to use", func() {
		s := newSyncers(store, "h", "1", 5_000)
		Expect(reserve(s, 1_000)).To(Succeed())
		s.Close(context.Background())
		other := newSyncers(store, "i", "1", 5_000)
		defer other.Close(context.Background())
		Expect(reserve(other, 4_000)).To(Succeed())
		Expect(reserve(other, 1)).NotTo(Succeed())
	})
})
