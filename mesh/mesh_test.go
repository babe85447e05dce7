package mesh_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/mesh"
	"briarreach/quota"
	"briarreach/quotastore"
	"briarreach/rowstore"
)

// holder is a process with its book and mesh.
type holder struct {
	books quotastore.Books
	mesh  *mesh.Mesh
}

func start(name string) holder {
	GinkgoHelper()
	books := quotastore.NewBooks(1, name, name+"-1", quota.Defaults())
	l, err := mesh.New(netip.MustParseAddrPort("127.0.0.1:0"), books)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	books.SetLimits(1, []quota.Limit{{Workspace: "w", Tokens: 100_000}})
	return holder{books: books, mesh: l}
}

// grant draws quota for a holder and returns its rows.
func grant(h holder, version uint64, rows []rowstore.Row) []rowstore.Row {
	GinkgoHelper()
	now := time.Now()
	book := h.books[0]
	Expect(book.Load(rows, quota.Everything, time.Second, now)).To(Succeed())
	plan := book.Prepare(now, false)
	book.Committed(plan, rowstore.Committed{Version: version, Time: time.Second}, now)
	for _, r := range plan.Tx.Put {
		r.Version = version
		rows = append(rows, r)
	}
	return rows
}

var _ = Describe("loans between gateways", func() {
	ctx := context.Background()

	// Guards against refusals at a gateway that is out of quota while another
	// has enough and the store is away.
	It("lets a gateway serve from another's grant", func() {
		a, b := start("a"), start("b")
		rows := grant(a, 1, nil)
		Expect(b.books[0].Load(rows, quota.Everything, time.Second, time.Now())).To(Succeed())
		rows = grant(b, 2, rows)
		Expect(a.books[0].Load(rows, quota.Everything, time.Second, time.Now())).To(Succeed())
		Expect(b.books[0].Load(rows, quota.Everything, time.Second, time.Now())).To(Succeed())
		for b.books[0].Reserve("w", 500, time.Now()) == quota.Granted {
			continue
		}
		b.mesh.Borrow(ctx, "w", 500)
		Expect(b.books[0].Reserve("w", 500, time.Now())).To(Equal(quota.Granted))
	})

	// Guards against lending to whoever knows the address.
	It("refuses a process that no row of the store names", func() {
		a, stranger := start("a"), start("stranger")
		rows := grant(a, 1, nil)
		Expect(stranger.books[0].Load(rows, quota.Everything, time.Second, time.Now())).To(Succeed())
		stranger.mesh.Borrow(ctx, "w", 500)
		Expect(stranger.books[0].Reserve("w", 500, time.Now())).NotTo(Equal(quota.Granted))
	})

	It("gives up a peer that does not answer in time", func() {
		a, b := start("a"), start("b")
		rows := grant(a, 1, nil)
		Expect(b.books[0].Load(rows, quota.Everything, time.Second, time.Now())).To(Succeed())
		Expect(a.mesh.Close()).To(Succeed())
		done := make(chan struct{})
		go func() {
			defer close(done)
			b.mesh.Borrow(ctx, "w", 500)
		}()
		Eventually(done, "1s").Should(BeClosed())
	})
})
