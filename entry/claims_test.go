package entry

import (
	"context"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/caller"
	"briarreach/claim"
	"briarreach/peer"
	"briarreach/table"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

// claimTable returns the row of a claim, or a conflict if another request makes it first.
type claimTable struct {
	table.Store
	row table.Row
}

func (t claimTable) Get(context.Context, ...table.Key) ([]table.Row, error) {
	return []table.Row{t.row}, nil
}

func (claimTable) Commit(context.Context, table.Transaction) error { return &table.ConflictError{} }

// Guards against "not run" for a call that an earlier request with its idempotency key may
// have run.
var _ = ginkgo.DescribeTable("a call that is ended by a shutdown",
	func(event func(context.Context, *claimRunner), want peer.Execution) {
		ctx, cancel := context.WithCancelCause(context.Background())
		row := claim.Row{AttemptID: "01JE000000000000000000000A", Holder: "other", TriedAgents: []claim.AgentInstance{{Name: "a"}}, BodyDigest: "d", State: claim.StateClaimed}
		e := &Entry{store: claimTable{row: table.Row{Version: 3, Value: row.Encode()}}}
		r := &claimRunner{e: e, x: &exchange{ctx: ctx}}
		event(ctx, r)
		cancel(&caller.ShutdownError{})
		Expect(r.endEarly()).To(HaveField("Execution", want))
	},
	ginkgo.Entry("before it has read its claim, has not run", func(context.Context, *claimRunner) {}, peer.ExecutionNotRun),
	ginkgo.Entry("whose claim exists, may have run", func(ctx context.Context, r *claimRunner) { r.read(ctx, table.Key{}) }, peer.ExecutionUnknown),
	ginkgo.Entry("whose claim another request makes, may have run", func(ctx context.Context, r *claimRunner) { r.write(ctx, table.Transaction{}) }, peer.ExecutionUnknown),
)
