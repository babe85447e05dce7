package peer_test

import (
	"bytes"
	"encoding/hex"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"briarreach/ledger"
	"briarreach/peer"
	"briarreach/timeline"
)

// sampleMessages returns a message of each type with every field set.
func sampleMessages() []peer.Message {
	at := time.Date(2026, 12, 4, 4, 42, 0, 123456789, time.UTC)
	clock := timeline.Timestamp{Wall: 1796359320123, Logical: 7}
	identity := ledger.NewIdentity("workspace", "key", []byte("body"))
	load := peer.LoadReport{Target: "engine-1", Version: "v2", Running: 3, Queued: 1, HeldTokens: 4096,
		MaxConcurrent: 32, MaxTokens: 65536, Leaving: true, ConfigNumber: 12}
	usage := peer.Usage{PromptTokens: 10, CompletionTokens: 20, Cost: 30}
	unbilled := []peer.UnbilledUsage{{AttemptID: "attempt-1", Identity: identity, Workspace: "workspace",
		Budget: "budget", Holder: "holder", Outcome: peer.OutcomeComplete, Usage: usage, FinishedAt: at}}
	return []peer.Message{
		peer.Hello{Process: "entry-1", Role: peer.EntryRole, Holder: "holder", ConfigNumber: 12, Timestamp: clock},
		peer.Dispatch{RequestID: "request", AttemptID: "attempt-1", Identity: identity, Workspace: "workspace",
			Budget: "budget", Holder: "holder", ConfigNumber: 12, Target: "engine-1", Version: "v2", Route: "model",
			Repeatable: true, Priority: 2, Deadline: at, ReservedCost: 500, PromptPrice: 1, CompletionPrice: 2,
			PromptTokens: 100, MaxTokens: 200, Method: "POST", Path: "/v1/chat/completions",
			Body: []byte(`{"stream":true}`), CreditBytes: 16384, Timestamp: clock},
		peer.Refusal{AttemptID: "attempt-1", Reason: "leaving", Execution: peer.ExecutionNotRun, ConfigNumber: 12, Load: load},
		peer.Head{AttemptID: "attempt-1", Status: 200, ContentType: "text/event-stream", Timestamp: clock},
		peer.Frame{Offset: 4096, Data: []byte("data: {}\n\n"), GeneratedTokens: 17},
		peer.Final{Length: 5000, Checksum: 0xfedcba9876543210, Usage: usage, Outcome: peer.OutcomeFailed,
			Execution: peer.ExecutionUnknown, Reason: "stalled", Load: load, Timestamp: clock},
		peer.Credit{Offset: 8192, Limit: 24576},
		peer.Heartbeat{ConfigNumber: 12, Timestamp: clock},
		peer.Resume{AttemptID: "attempt-1", Offset: 4096, CreditBytes: 16384},
		peer.Cancel{AttemptID: "attempt-1"},
		peer.UsageAck{AttemptIDs: []string{"attempt-1", "attempt-2"}},
		peer.FetchUsage{OlderThan: 5 * time.Second},
		peer.UsageReport{Usages: unbilled},
		peer.FenceHolder{Holder: "holder"},
		peer.FenceResult{Holder: "holder", Unbilled: unbilled, ReservedByBudget: map[string]int64{"budget": 500}},
		peer.ResolveAttempt{AttemptID: "attempt-1", ClaimedAt: at},
		peer.AttemptResult{AttemptID: "attempt-1", State: peer.AttemptDone, Status: 201,
			ContentType: "application/json", Body: []byte(`{}`), Oversize: true},
		peer.Load{Report: load, Timestamp: clock},
		peer.ConfigNumber{Number: 12, Process: "entry-1"},
		peer.FetchConfig{},
		peer.ConfigDocument{Number: 12, Document: []byte{0x28, 0xb5, 0x2f, 0xfd}, Fenced: []string{"holder"}},
		peer.Recall{Budget: "budget", Amount: 1000},
		peer.RecallResult{Amount: 400},
		peer.FetchEvents{Filter: timeline.Filter{RequestID: "request", Workspace: "workspace", Move: "move", ConfigNumber: 12, Limit: 100}},
		peer.Events{Events: []timeline.Event{{At: clock, Process: "agent-1", Kind: "refused", RequestID: "request",
			Workspace: "workspace", Target: "engine-1", Move: "move", ConfigNumber: 12, Detail: "detail"}}},
		peer.StatusRequest{},
		peer.Status{Process: "entry-1", Role: peer.EntryRole, Holder: "holder", ConfigNumber: 12, StartedAt: at,
			Address: netip.MustParseAddrPort("127.0.0.1:7000"), Holders: []string{"holder"}},
		peer.MoveDigest{Move: "move", Digest: []byte{0xa0}},
	}
}

// declaredMessageTypes returns the types in message.go that implement Message.
func declaredMessageTypes() []string {
	GinkgoHelper()
	file, err := parser.ParseFile(token.NewFileSet(), "message.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "message" && f.Recv != nil {
			names = append(names, f.Recv.List[0].Type.(*ast.Ident).Name)
		}
	}
	return names
}

var _ = Describe("Codec", func() {
	It("has a sample of each message type with all fields set", func() {
		// Guards against a message type or field that the other specs do not cover.
		var names []string
		for _, m := range sampleMessages() {
			v := reflect.ValueOf(m)
			names = append(names, v.Type().Name())
			for i := range v.NumField() {
				Expect(v.Field(i).IsZero()).To(BeFalse(), "%s.%s", v.Type().Name(), v.Type().Field(i).Name)
			}
		}
		Expect(names).To(ConsistOf(declaredMessageTypes()))
	})

	It("decodes each message as it was encoded, with all fields set or zero", func() {
		// Guards against a kind without a decoder and a lost field.
		for _, m := range sampleMessages() {
			for _, want := range []peer.Message{m, reflect.Zero(reflect.TypeOf(m)).Interface().(peer.Message)} {
				b, err := peer.Encode(want)
				Expect(err).NotTo(HaveOccurred())
				got, rest, err := peer.Decode(append(b, "next"...))
				Expect(err).NotTo(HaveOccurred(), "%T", want)
				Expect(got).To(Equal(want))
				Expect(rest).To(Equal([]byte("next")))
				clear(b) // the message must not refer to the input
				Expect(got).To(Equal(want))
			}
		}
	})

	It("carries text that is not UTF-8", func() {
		// Guards against a stream that fails on a caller's path or a target's
		// reason.
		want := peer.Refusal{AttemptID: "a", Reason: "\xff\xfe"}
		b, err := peer.Encode(want)
		Expect(err).NotTo(HaveOccurred())
		got, _, err := peer.Decode(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(peer.Message(want)))
	})

	It("keeps the wire format", func() {
		// Guards against a change that processes of the previous version cannot
		// decode.
		var text strings.Builder
		for _, m := range sampleMessages() {
			b, err := peer.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			diagnosis, err := cbor.Diagnose(b)
			Expect(err).NotTo(HaveOccurred())
			text.WriteString(diagnosis + "\n" + hex.EncodeToString(b) + "\n\n")
		}
		goldie.New(GinkgoTB(), goldie.WithFixtureDir("testdata")).Assert(GinkgoTB(), "messages", []byte(text.String()))
	})

	DescribeTable("rejects malformed messages", func(hexadecimal string, kind string) {
		b, err := hex.DecodeString(hexadecimal)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = peer.Decode(b)
		var refused *peer.ProtocolError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		Expect(refused.Kind).To(Equal(kind))
	},
		Entry("an unknown kind", "826474656c6ca0", "tell"),
		Entry("a body of another type", "82656672616d6580", "frame"),
		Entry("a field of another type", "82656672616d65a1666f66667365746161", "frame"),
		Entry("a number that does not fit", "82656672616d65a1666f66667365741bffffffffffffffff", "frame"),
		Entry("not an array", "a0", ""),
		Entry("an array of one", "81656672616d65", ""),
		Entry("an array of three", "83656672616d65a0a0", ""),
		Entry("a kind that is not text", "8201a0", ""),
		Entry("an array of indefinite length", "9f656672616d65a0ff", ""),
		Entry("a tag", "c082656672616d65a0", ""),
		Entry("deep nesting", "82656672616d65"+strings.Repeat("81", 40)+"00", ""),
		Entry("a list whose declared length is too large", "82656672616d659b0000000100000000", ""),
	)

	It("reports a partial message as incomplete", func() {
		// Guards against rejecting a message that arrives in parts as malformed.
		for _, m := range sampleMessages() {
			b, err := peer.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			for n := range b {
				_, _, err := peer.Decode(b[:n])
				Expect(err).To(Equal(io.ErrUnexpectedEOF), "%T cut at %d", m, n)
			}
		}
	})

	It("refuses to send a message that is too large", func() {
		_, err := peer.Encode(peer.Frame{Data: make([]byte, peer.MaxMessageBytes)})
		Expect(errors.As(err, new(*peer.ProtocolError))).To(BeTrue())
		_, err = peer.Encode(nil)
		Expect(errors.As(err, new(*peer.ProtocolError))).To(BeTrue())
	})
})

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		b, err := peer.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		// Guards against a panic, and against a message that changes when it is
		// encoded and decoded again.
		m, rest, err := peer.Decode(b)
		if err != nil {
			if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, new(*peer.ProtocolError)) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if len(rest) >= len(b) {
			t.Fatalf("%d of %d bytes are left", len(rest), len(b))
		}
		again, err := peer.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		same, rest, err := peer.Decode(again)
		if err != nil || len(rest) > 0 {
			t.Fatalf("%#v: %v, %d bytes left", m, err, len(rest))
		}
		// The encoded forms are compared, since equal times may differ in their
		// location.
		if third, err := peer.Encode(same); err != nil || !bytes.Equal(third, again) {
			t.Fatalf("%#v became %#v: %v", m, same, err)
		}
	})
}
