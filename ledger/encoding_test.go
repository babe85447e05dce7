package ledger_test

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"briarreach/ledger"
)

// Guards against a change of the stored encoding, which entries of other versions
// must read.
func TestEncodingIsStable(t *testing.T) {
	batch := ledger.Batch{Writer: "w", BatchID: "b", At: start, Records: []ledger.Record{
		open, ledger.TopUp{Budget: "x", Amount: 5, PatchID: "p2"}, draw, bill,
		ledger.Return{ReturnID: "r", Budget: "x", Holder: "h", Amount: 1}, fence,
		ledger.Release{Holder: "h", Held: map[string]int64{"x": 3, "a": 0}},
	}}
	raw, err := ledger.EncodeBatch(batch)
	if err != nil {
		t.Fatal(err)
	}
	state := ledger.NewState()
	state.Apply(batch)
	snapshot, err := ledger.EncodeState(state)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"batch": raw, "state": snapshot} {
		text, err := cbor.Diagnose(value)
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, []byte(text+"\n"))
	}
}

var _ = DescribeTable("Decoding fails with *DecodeError for", func(value any) {
	raw, err := cbor.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	var decode *ledger.DecodeError
	_, err = ledger.DecodeBatch(raw)
	Expect(errors.As(err, &decode)).To(BeTrue())
	_, err = ledger.DecodeState(raw)
	Expect(errors.As(err, &decode)).To(BeTrue())
},
	Entry("another type", "text"),
	Entry("an unknown kind", map[string]any{"records": []any{[]any{"gift", map[string]any{}}}, "bills": 1}),
	Entry("a bill of a budget that is missing", map[string]any{
		"records": []any{[]any{"fence", 1}}, "bills": []any{[]any{make([]byte, 16), 3, "", 0, 0, 0, 0, 0}}}),
)
