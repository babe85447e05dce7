package config_test

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"briarreach/config"
)

const patchID = "01JXK5V3E8QZ4T0W2M6N9RBCDF"

var (
	start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	hash  = strings.Repeat("ab", 32)
)

func agent(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port)
}

func target(name, version string, port uint16) config.Target {
	return config.Target{Name: name, Model: "m", Version: version, AgentAddr: agent(port)}
}

func patch(base uint64, operations ...config.Operation) config.Patch {
	return config.Patch{ID: patchID, Base: base, Operations: operations}
}

// allOperations returns one operation of each type.
func allOperations() []config.Operation {
	return []config.Operation{
		config.PutWorkspace{Workspace: config.Workspace{Name: "w", Priority: 2}},
		config.RemoveWorkspace{Name: "old"},
		config.OpenBudget{Workspace: "w", Budget: "w-main", Prepaid: 1000},
		config.TopUp{Budget: "w-main", Amount: 50},
		config.PutKey{Hash: hash, Workspace: "w", Budget: "w-main"},
		config.RevokeKey{Hash: hash},
		config.PutModel{Model: config.Model{Name: "m", Version: "v1", PromptPrice: 1, CompletionPrice: 3, MaxTokens: 512}},
		config.PutService{Service: config.Service{Name: "s", Version: "v1", Routes: []config.Route{{Method: "POST", Path: "/book", Price: 5}}}},
		config.PutTarget{Target: target("t1", "v1", 1)},
		config.RemoveTarget{Name: "t1"},
		config.DrainTarget{Name: "t1"},
		config.UndrainTarget{Name: "t1"},
		config.StartMove{Move: "x", Subject: "m", From: "v1", To: "v2", Deadline: start.Add(time.Hour)},
		config.ChangeDeadline{Move: "x", Deadline: start.Add(2 * time.Hour)},
		config.CancelMove{Move: "x"},
		config.SetShare{Move: "x", SharePPM: 10_000, Evidence: "e"},
		config.FinishMove{Move: "x", Evidence: "e"},
		config.RollBackMove{Move: "x", Evidence: "e"},
	}
}

var _ = Describe("patch codec", func() {
	It("round-trips every operation", func() {
		p := patch(7, allOperations()...)
		data, err := json.MarshalIndent(p, "", "  ")
		Expect(err).NotTo(HaveOccurred())
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "patch", data)
		back, err := config.DecodePatch(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(p))
	})

	DescribeTable("refuses input that would hide an operator's mistake",
		func(input, path, reason string) {
			_, err := config.DecodePatch([]byte(input))
			var decode *config.DecodeError
			Expect(err).To(HaveOccurred())
			Expect(errorsAs(err, &decode)).To(BeTrue(), "%v", err)
			Expect(decode.Path).To(Equal(path))
			Expect(decode.Reason).To(ContainSubstring(reason))
		},
		Entry("unknown field of the patch", `{"id":"a","base":1,"operatoins":[]}`, "operatoins", "unknown field"),
		Entry("unknown operation", `{"id":"a","base":1,"operations":[{"op":"put_node"}]}`, "operations[0].op", "unknown operation"),
		Entry("missing operation", `{"operations":[{"name":"x"}]}`, "operations[0].op", "name of an operation"),
		Entry("unknown nested field", `{"operations":[{"op":"top_up","budget":"b","amount":1},{"op":"put_target","target":{"colour":"x"}}]}`, "operations[1].target.colour", "unknown field"),
		Entry("different letter case", `{"ID":"a"}`, "ID", "unknown field"),
		Entry("duplicate field", `{"operations":[{"op":"top_up","budget":"b","amount":1,"amount":9}]}`, "operations[0].amount", "duplicate"),
		Entry("wrong type", `{"operations":[{"op":"top_up","budget":"b","amount":"1"}]}`, "operations[0].amount", "expected a number"),
		Entry("fraction", `{"operations":[{"op":"top_up","budget":"b","amount":1.5}]}`, "operations[0]", "1.5"),
		Entry("bad time", `{"operations":[{"op":"change_deadline","move":"x","deadline":"soon"}]}`, "operations[0]", "soon"),
		Entry("operation that is not an object", `{"operations":[7]}`, "operations[0]", "expected an object"),
		Entry("data after the value", `{"id":"a"} {"id":"b"}`, "", "after the value"),
		Entry("truncated input", `{"id":"a"`, "", "EOF"),
		Entry("empty input", ``, "", "EOF"),
	)

	It("refuses a patch above the size limit", func() {
		_, err := config.DecodePatch(make([]byte, config.MaxPatchBytes+1))
		var size *config.SizeError
		Expect(errorsAs(err, &size)).To(BeTrue())
	})
})

var _ = Describe("document codec", func() {
	It("round-trips the document", func() {
		d := sampleDocument()
		data, err := config.Encode(d)
		Expect(err).NotTo(HaveOccurred())
		back, err := config.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(d))
		plain, err := json.MarshalIndent(d, "", "  ")
		Expect(err).NotTo(HaveOccurred())
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "document", plain)
	})

	It("limits the decompressed size, so that a small row can't exhaust memory", func() {
		encoder, err := zstd.NewWriter(nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Decode(encoder.EncodeAll(make([]byte, config.MaxDocumentBytes+1), nil))
		var size *config.SizeError
		Expect(errorsAs(err, &size)).To(BeTrue(), "%v", err)
	})

	It("refuses a document that breaks a rule", func() {
		encoder, err := zstd.NewWriter(nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Decode(encoder.EncodeAll([]byte(`{"number":3,"shards":0}`), nil))
		var invalid *config.InvalidError
		Expect(errorsAs(err, &invalid)).To(BeTrue(), "%v", err)
	})

	It("round-trips rows, and distinguishes a repeated patch from a reused id", func() {
		p := patch(3, config.TopUp{Budget: "b", Amount: 5})
		data, err := config.EncodeDocumentRow(sampleDocument(), p)
		Expect(err).NotTo(HaveOccurred())
		version, err := config.DecodeDocumentRow(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(version.Patch).To(Equal(p))
		digest, err := p.Digest()
		Expect(err).NotTo(HaveOccurred())
		data, err = config.EncodeRow(config.PatchRow{Number: 4, Digest: digest, AcceptedAt: start})
		Expect(err).NotTo(HaveOccurred())
		result, err := config.DecodeRow[config.PatchRow](data)
		Expect(err).NotTo(HaveOccurred())
		p.Base = 9
		Expect(result.CheckRepeat(p)).To(Succeed())
		p.Operations = []config.Operation{config.TopUp{Budget: "b", Amount: 6}}
		var reused *config.ReusedIDError
		Expect(errorsAs(result.CheckRepeat(p), &reused)).To(BeTrue())
		_, err = config.DecodeRow[config.HeadRow](data)
		var decode *config.DecodeError
		Expect(errorsAs(err, &decode)).To(BeTrue(), "a row of another kind was accepted")
	})
})

// FuzzDecodePatch guards against panics and against a decoded patch whose
// encoded form is refused.
func FuzzDecodePatch(f *testing.F) {
	data, err := json.Marshal(patch(7, allOperations()...))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"operations":[{"op":"put_model","model":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := config.DecodePatch(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.DecodePatch(again); err != nil {
			t.Fatalf("the encoded form of %s is refused: %v", data, err)
		}
		_, _, _ = sampleDocument().Apply(p, start)
	})
}

// FuzzDecode guards against panics and against a decoded document that breaks a
// rule.
func FuzzDecode(f *testing.F) {
	data, err := config.Encode(sampleDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := config.Decode(data)
		if err != nil {
			return
		}
		if err := d.Validate(); err != nil {
			t.Fatal(err)
		}
	})
}
