package mesh_test

import (
	"context"
	"net/netip"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/mesh"
	"briarreach/quarantine"
	"briarreach/quota"
	"briarreach/quotastore"
	"briarreach/replica"
	"briarreach/replicalimit"
	"briarreach/replicaspeed"
	"briarreach/rowstore"
)

// holder is a gateway process with its quota and its mesh.
type holder struct {
	allocators quotastore.Allocators
	mesh       *mesh.Mesh
}

func start(name string, opts ...mesh.Option) holder {
	GinkgoHelper()
	allocators := quotastore.NewAllocators(1, name, name+"-1", quota.Defaults())
	m, err := mesh.New(netip.MustParseAddrPort("127.0.0.1:0"), allocators, opts...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(m.Close)
	allocators.SetLimits(1, []quota.Limit{{Workspace: "w", Tokens: 100_000}})
	return holder{allocators: allocators, mesh: m}
}

// grant gives a holder a quota grant and returns the rows of the store.
func grant(h holder, version uint64, rows []rowstore.Row) []rowstore.Row {
	GinkgoHelper()
	now := time.Now()
	allocator := h.allocators[0]
	Expect(allocator.LoadRows(rows, quota.ScopeAll, time.Second, now)).To(Succeed())
	plan := allocator.PrepareSync(now, false)
	allocator.ConfirmSync(plan, rowstore.Committed{Version: version, Time: time.Second}, now)
	for _, r := range plan.Tx.Put {
		r.Version = version
		rows = append(rows, r)
	}
	return rows
}

// startPair starts two gateways that have read each other's rows.
func startPair() (a, b holder) {
	GinkgoHelper()
	a, b = start("a"), start("b")
	rows := grant(a, 1, nil)
	Expect(b.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
	rows = grant(b, 2, rows)
	Expect(a.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
	return a, b
}

var _ = Describe("loans between gateways", func() {
	borrow := func(h holder) {
		defer h.allocators[0].Wait("w", 500)()
		h.mesh.Borrow(context.Background(), "w")
	}

	// Guards against refusals at a gateway that is out of quota while another
	// has enough and the store is unavailable.
	It("lets a gateway borrow from another's grant", func() {
		a, b := start("a"), start("b")
		rows := grant(a, 1, nil)
		Expect(b.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		rows = grant(b, 2, rows)
		Expect(a.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		Expect(b.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		for b.allocators[0].Reserve("w", 500, time.Now()) == quota.Reserved {
			continue
		}
		borrow(b)
		Expect(b.allocators[0].Reserve("w", 500, time.Now())).To(Equal(quota.Reserved))
	})

	// Guards against lending to any process that knows the address.
	It("refuses a process whose certificate is not in the store", func() {
		a, unknown := start("a"), start("unknown")
		rows := grant(a, 1, nil)
		Expect(unknown.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		borrow(unknown)
		Expect(unknown.allocators[0].Reserve("w", 500, time.Now())).NotTo(Equal(quota.Reserved))
	})

	// Guards against loan requests for each request of a workspace whose quota is
	// nearly consumed.
	It("asks again only some time after loan requests that brought nothing", func() {
		clock, set := clockwork.NewFakeClockAt(time.Now().Add(time.Second)), metrics.NewSet()
		a, b := start("a"), start("b", mesh.WithClock(clock), mesh.WithMetrics(set))
		rows := grant(a, 1, nil)
		Expect(b.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		rows = grant(b, 2, rows)
		for _, h := range []holder{a, b} {
			Expect(h.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
			for _, tokens := range []int64{500, 1} {
				for h.allocators[0].Reserve("w", tokens, time.Now()) == quota.Reserved {
					continue
				}
			}
		}
		requests := set.GetOrCreateCounter("briarreach_quota_loan_requests_total")
		for range 20 {
			borrow(b)
		}
		Expect(requests.Get()).To(BeEquivalentTo(1))
		clock.Advance(300 * time.Millisecond)
		borrow(b)
		Expect(requests.Get()).To(BeEquivalentTo(2))
	})

	It("gives up on a peer that does not respond in time", func() {
		a, b := start("a"), start("b")
		rows := grant(a, 1, nil)
		Expect(b.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		Expect(a.mesh.Close()).To(Succeed())
		done := make(chan struct{})
		go func() {
			defer close(done)
			borrow(b)
		}()
		Eventually(done, "1s").Should(BeClosed())
	})
})

// Guards against crashes that each gateway counts for itself: at hundreds of
// gateways none would see a prompt part crash several replicas.
var _ = Describe("evidence about prompt parts", func() {
	It("reaches the other gateways as it was sent", func() {
		a, b := startPair()
		received := make(chan quarantine.Evidence, 100)
		b.mesh.OnEvidence(func(e quarantine.Evidence) { received <- e })
		for _, sent := range []quarantine.Evidence{
			quarantine.Crash{Service: "s", Replica: replica.Incarnation{ID: "r", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: 5}, PartIDs: []string{"a", "b"}, Age: time.Millisecond},
			quarantine.Answer{Part: quarantine.Part{Service: "s", ID: "a"}},
		} {
			// Datagrams are sent to peers with an open connection only.
			Eventually(func() bool {
				a.mesh.BroadcastEvidence(sent)
				select {
				case got := <-received:
					return reflect.DeepEqual(got, sent)
				case <-time.After(20 * time.Millisecond):
					return false
				}
			}, "3s").Should(BeTrue())
		}
	})
})

// Guards against gateways that send nothing to a replica for minutes because they
// have not learned that it states no limit anymore.
var _ = Describe("the limits of replicas", func() {
	It("reach the other gateways as they were sent", func() {
		a, b := startPair()
		received := make(chan replicalimit.Notice, 100)
		b.mesh.OnLimit(func(n replicalimit.Notice) { received <- n })
		for _, sent := range []replicalimit.Notice{{Replica: replica.Incarnation{ID: "r", Started: 5}, Stated: true, PerSecond: 2.3}, {Replica: replica.Incarnation{ID: "r", Started: 5}}} {
			Eventually(func() replicalimit.Notice {
				a.mesh.BroadcastLimit(sent)
				select {
				case got := <-received:
					return got
				case <-time.After(20 * time.Millisecond):
					return replicalimit.Notice{}
				}
			}, "3s").Should(Equal(sent))
		}
	})
})

// Guards against a gateway that finds a slow replica by its own late requests only.
var _ = Describe("the speeds of replicas", func() {
	It("reach the other gateways as they were sent", func() {
		a, b := startPair()
		received := make(chan replicaspeed.Message, 100)
		b.mesh.OnSpeeds(func(m replicaspeed.Message) { received <- m })
		sent := replicaspeed.Message{Entries: []replicaspeed.Entry{{Key: 1 << 63, Samples: 1.5, Tokens: 4000, Seconds: 0.25}, {Key: 2, Seconds: 1}}}
		Eventually(func() replicaspeed.Message {
			a.mesh.BroadcastSpeeds(sent)
			select {
			case got := <-received:
				return got
			case <-time.After(20 * time.Millisecond):
				return replicaspeed.Message{}
			}
		}, "3s").Should(Equal(sent))
	})
})

// Guards against grants that nobody else knows: drawn before another gateway was
// connected, and lost by a store that is restored from a copy.
var _ = Describe("grants of a gateway", func() {
	It("are announced to gateways that it connects to later", func() {
		a, b := start("a"), start("b")
		notices := make(chan quota.GrantNotice, 10)
		b.mesh.OnGrants(func(n quota.GrantNotice) { notices <- n })
		rows := grant(a, 1, nil)
		Expect(b.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		rows = grant(b, 2, rows)
		Expect(a.allocators[0].LoadRows(rows, quota.ScopeAll, time.Second, time.Now())).To(Succeed())
		var n quota.GrantNotice
		Eventually(notices, "3s").Should(Receive(&n))
		Expect(n.Holder).To(Equal("a"))
		Expect(n.Granted["w"]).To(BeNumerically(">", 0))
	})
})
