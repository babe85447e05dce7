package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
	"briarreach/ledger"
)

func errorsAs[T error](err error, to *T) bool { return errors.As(err, to) }

// mustApply applies a patch that must be accepted.
func mustApply(d *config.Document, now time.Time, operations ...config.Operation) *config.Document {
	GinkgoHelper()
	next, _, err := d.Apply(patch(d.Number, operations...), now)
	Expect(err).NotTo(HaveOccurred())
	return next
}

// sampleDocument has workspace w, model m (v1: t1, t2; v2: t3), the running
// move x and the ended move "ended".
func sampleDocument() *config.Document {
	d := config.New(16)
	for _, operations := range [][]config.Operation{
		{
			config.PutWorkspace{Workspace: config.Workspace{Name: "w"}},
			config.PutModel{Model: config.Model{Name: "m", Version: "v1"}},
			config.PutService{Service: config.Service{Name: "s", Version: "v1", Routes: []config.Route{{Path: "/book"}}}},
			config.PutTarget{Target: target("t1", "v1", 1)},
			config.PutTarget{Target: target("t2", "v1", 2)},
			config.PutTarget{Target: target("t3", "v2", 3)},
		},
		{config.StartMove{Move: "ended", Subject: "m", From: "v1", To: "v2", Deadline: start.Add(time.Minute)}},
		{config.CancelMove{Move: "ended"}},
		{config.StartMove{Move: "x", Subject: "m", From: "v1", To: "v2", Deadline: start.Add(time.Hour)}},
	} {
		next, _, err := d.Apply(patch(d.Number, operations...), start)
		if err != nil {
			panic(err)
		}
		d = next
	}
	return d
}

var _ = Describe("Apply", func() {
	later := start.Add(time.Minute)

	DescribeTable("refuses an invalid patch and reports the operation, the field and the reason",
		func(operation int, path string, reason config.Reason, operations ...config.Operation) {
			d := sampleDocument()
			before, err := json.Marshal(d)
			Expect(err).NotTo(HaveOccurred())
			_, _, err = d.Apply(patch(d.Number, operations...), later)
			var invalid *config.InvalidError
			Expect(errorsAs(err, &invalid)).To(BeTrue(), "%v", err)
			Expect([]any{invalid.Operation, invalid.Path, invalid.Reason}).To(Equal([]any{operation, path, reason}), "%v", err)
			after, err := json.Marshal(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(Equal(before))
		},
		Entry("no operation", -1, "operations", config.ReasonTooLarge),
		Entry("name in capitals", 0, "workspace.name", config.ReasonBadName, config.PutWorkspace{Workspace: config.Workspace{Name: "W"}}),
		Entry("unknown workspace", 0, "workspace", config.ReasonUnknownName, config.OpenBudget{Workspace: "z", Budget: "b"}),
		Entry("unknown workspace of a key", 1, "workspace", config.ReasonUnknownName, config.RevokeKey{Hash: hash[:62] + "00"}, config.PutKey{Hash: hash, Workspace: "z", Budget: "b"}),
		Entry("removed workspace", 1, "workspace", config.ReasonUnknownName, config.RemoveWorkspace{Name: "w"}, config.OpenBudget{Workspace: "w", Budget: "b"}),
		Entry("budget below zero", 0, "prepaid", config.ReasonNegativeAmount, config.OpenBudget{Workspace: "w", Budget: "b", Prepaid: -1}),
		Entry("top-up of zero", 0, "amount", config.ReasonBadValue, config.TopUp{Budget: "b"}),
		Entry("top-up below zero", 0, "amount", config.ReasonNegativeAmount, config.TopUp{Budget: "b", Amount: -4}),
		Entry("key that is not a hash", 0, "hash", config.ReasonBadValue, config.PutKey{Hash: "secret", Workspace: "w", Budget: "b"}),
		Entry("key of caller and operator", 0, "workspace", config.ReasonBadValue, config.PutKey{Hash: hash, Workspace: "w", Operator: "read"}),
		Entry("key written twice", 1, "hash", config.ReasonDuplicateName, config.PutKey{Hash: hash, Workspace: "w", Budget: "b"}, config.RevokeKey{Hash: hash}),
		Entry("budget opened twice", 1, "budget", config.ReasonDuplicateName, config.OpenBudget{Workspace: "w", Budget: "b"}, config.OpenBudget{Workspace: "w", Budget: "b"}),
		Entry("unknown model", 0, "targets.t4.model", config.ReasonUnknownName, config.PutTarget{Target: config.Target{Name: "t4", Model: "z", Version: "v1", AgentAddr: agent(4)}}),
		Entry("target without agent address", 0, "target.agent", config.ReasonBadValue, config.PutTarget{Target: config.Target{Name: "t4", Model: "m", Version: "v1"}}),
		Entry("target of a model and a service", 0, "target.model", config.ReasonBadValue, config.PutTarget{Target: config.Target{Name: "t4", Model: "m", Service: "s", Version: "v1", AgentAddr: agent(4)}}),
		Entry("two targets at one agent", 0, "targets.t4.agent", config.ReasonDuplicateName, config.PutTarget{Target: target("t4", "v1", 1)}),
		Entry("target put twice", 1, "target.name", config.ReasonDuplicateName, config.PutTarget{Target: target("t4", "v1", 4)}, config.PutTarget{Target: target("t4", "v1", 5)}),
		Entry("service named as a model", 0, "services.m", config.ReasonDuplicateName, config.PutService{Service: config.Service{Name: "m", Version: "v1", Routes: []config.Route{{Path: "/"}}}}),
		Entry("route twice", 0, "service.routes[1]", config.ReasonDuplicateName, config.PutService{Service: config.Service{Name: "s", Version: "v1", Routes: []config.Route{{Path: "/a"}, {Path: "/a"}}}}),
		Entry("service without routes", 0, "service.routes", config.ReasonBadValue, config.PutService{Service: config.Service{Name: "s", Version: "v1"}}),
		Entry("model in use set to a version without target", 1, "subjects.m", config.ReasonVersionWithoutTarget, config.CancelMove{Move: "x"}, config.PutModel{Model: config.Model{Name: "m", Version: "v9"}}),
		Entry("move to a version that no target has", 1, "moves.y.to", config.ReasonVersionWithoutTarget, config.CancelMove{Move: "x"}, config.StartMove{Move: "y", Subject: "m", From: "v1", To: "v9", Deadline: later.Add(time.Hour)}),
		Entry("move of an unknown subject", 0, "moves.y.subject", config.ReasonUnknownName, config.StartMove{Move: "y", Subject: "z", From: "v1", To: "v2", Deadline: later.Add(time.Hour)}),
		Entry("move from a version that is not current", 1, "moves.y.from", config.ReasonMoveRunning, config.CancelMove{Move: "x"}, config.StartMove{Move: "y", Subject: "m", From: "v2", To: "v1", Deadline: later.Add(time.Hour)}),
		Entry("move from a version to itself", 0, "to", config.ReasonBadValue, config.StartMove{Move: "y", Subject: "m", From: "v1", To: "v1", Deadline: later.Add(time.Hour)}),
		Entry("share above one million", 0, "share", config.ReasonBadValue, config.SetShare{Move: "x", SharePPM: 1_000_001}),
	)

	DescribeTable("resolves concurrent patches in a defined way",
		func(path string, reason config.Reason, first, second []config.Operation) {
			d := sampleDocument()
			next := mustApply(d, later, first...)
			stale := patch(d.Number, second...)
			_, _, err := next.Apply(stale, later)
			var conflict *config.ConflictError
			Expect(errorsAs(err, &conflict)).To(BeTrue(), "a patch based on an old number was applied")
			Expect([]uint64{conflict.Base, conflict.Current}).To(Equal([]uint64{d.Number, next.Number}))

			stale.Base = next.Number
			_, _, err = next.Apply(stale, later)
			if reason == "" {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			var invalid *config.InvalidError
			Expect(errorsAs(err, &invalid)).To(BeTrue(), "%v", err)
			Expect([]any{invalid.Path, invalid.Reason}).To(Equal([]any{path, reason}), "%v", err)
		},
		Entry("overlapping moves", "moves.y.subject", config.ReasonOverlappingMove,
			operationList(config.PutTarget{Target: target("t4", "v3", 4)}), operationList(config.StartMove{Move: "y", Subject: "m", From: "v1", To: "v3", Deadline: later.Add(time.Hour)})),
		Entry("two moves of one name", "move", config.ReasonDuplicateName,
			operationList(config.CancelMove{Move: "x"}), operationList(config.StartMove{Move: "x", Subject: "m", From: "v1", To: "v2", Deadline: later.Add(time.Hour)})),
		Entry("drain during a move while another target of the version serves", "", config.Reason(""),
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.DrainTarget{Name: "t1"})),
		Entry("drain of the last target of the old version", "subjects.m", config.ReasonLastTarget,
			operationList(config.DrainTarget{Name: "t1"}), operationList(config.DrainTarget{Name: "t2"})),
		Entry("drain of the last target of the new version during a move", "moves.x", config.ReasonLastTarget,
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.DrainTarget{Name: "t3"})),
		Entry("drain of the last target of the new version after the move was cancelled", "", config.Reason(""),
			operationList(config.CancelMove{Move: "x"}), operationList(config.DrainTarget{Name: "t3"})),
		Entry("drain of a target that was removed", "name", config.ReasonUnknownName,
			operationList(config.RemoveTarget{Name: "t1"}), operationList(config.DrainTarget{Name: "t1"})),
		Entry("removal of a target while another serves", "", config.Reason(""),
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.RemoveTarget{Name: "t1"})),
		Entry("removal of the last target of a version with traffic", "subjects.m", config.ReasonLastTarget,
			operationList(config.RemoveTarget{Name: "t1"}), operationList(config.RemoveTarget{Name: "t2"})),
		Entry("removal of a target twice", "name", config.ReasonUnknownName,
			operationList(config.RemoveTarget{Name: "t1"}), operationList(config.RemoveTarget{Name: "t1"})),
		Entry("removal of an old target after the move finished", "", config.Reason(""),
			operationList(config.FinishMove{Move: "x"}), operationList(config.RemoveTarget{Name: "t1"}, config.RemoveTarget{Name: "t2"})),
		Entry("removal of the new version's target after the move finished", "subjects.m", config.ReasonLastTarget,
			operationList(config.FinishMove{Move: "x"}), operationList(config.RemoveTarget{Name: "t3"})),
		Entry("new version of the only target during a move", "moves.x", config.ReasonLastTarget,
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.PutTarget{Target: target("t3", "v1", 3)})),
		Entry("changed deadline", "", config.Reason(""),
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.ChangeDeadline{Move: "x", Deadline: later.Add(time.Minute)})),
		Entry("changed deadline in the past", "deadline", config.ReasonDeadlinePast,
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.ChangeDeadline{Move: "x", Deadline: later})),
		Entry("changed deadline of an ended move", "move", config.ReasonMoveEnded,
			operationList(config.RollBackMove{Move: "x"}), operationList(config.ChangeDeadline{Move: "x", Deadline: later.Add(time.Hour)})),
		Entry("changed deadline in the past of an ended move", "move", config.ReasonMoveEnded,
			operationList(config.RollBackMove{Move: "x"}), operationList(config.ChangeDeadline{Move: "x", Deadline: start})),
		Entry("changed deadline of an unknown move", "move", config.ReasonUnknownName,
			operationList(config.CancelMove{Move: "x"}), operationList(config.ChangeDeadline{Move: "y", Deadline: later.Add(time.Hour)})),
		Entry("cancel of an ended move", "move", config.ReasonMoveEnded,
			operationList(config.FinishMove{Move: "x"}), operationList(config.CancelMove{Move: "x"})),
		Entry("cancel twice", "move", config.ReasonMoveEnded,
			operationList(config.CancelMove{Move: "x"}), operationList(config.CancelMove{Move: "x"})),
		Entry("share of a cancelled move, written by the controller", "move", config.ReasonMoveEnded,
			operationList(config.CancelMove{Move: "x"}), operationList(config.SetShare{Move: "x", SharePPM: 20_000})),
		Entry("finish of a cancelled move, written by the controller", "move", config.ReasonMoveEnded,
			operationList(config.CancelMove{Move: "x"}), operationList(config.FinishMove{Move: "x"})),
		Entry("new current version during a move", "moves.x.from", config.ReasonMoveRunning,
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.PutModel{Model: config.Model{Name: "m", Version: "v2"}})),
		Entry("new price during a move", "", config.Reason(""),
			operationList(config.SetShare{Move: "x", SharePPM: 10_000}), operationList(config.PutModel{Model: config.Model{Name: "m", Version: "v1", PromptPrice: 9}})),
	)

	It("replaces the last target of a version in one patch", func() {
		d := mustApply(sampleDocument(), later, config.RemoveTarget{Name: "t1"})
		next := mustApply(d, later, config.RemoveTarget{Name: "t2"}, config.PutTarget{Target: target("t5", "v1", 2)})
		Expect(next.ServingTargets("m", "v1")).To(Equal(1))
	})

	It("returns the ledger records and key rows, with one record id for each operation", func() {
		next, effects, err := sampleDocument().Apply(patch(4,
			config.OpenBudget{Workspace: "w", Budget: "b", Prepaid: 10},
			config.TopUp{Budget: "b", Amount: 5}, config.TopUp{Budget: "b", Amount: 5},
			config.PutKey{Hash: hash, Workspace: "w", Budget: "b"},
		), later)
		Expect(err).NotTo(HaveOccurred())
		Expect(effects.LedgerRecords).To(Equal([]ledger.Record{
			ledger.OpenBudget{Budget: "b", Prepaid: 10, PatchID: patchID + "/0"},
			ledger.TopUp{Budget: "b", Amount: 5, PatchID: patchID + "/1"},
			ledger.TopUp{Budget: "b", Amount: 5, PatchID: patchID + "/2"},
		}))
		Expect(effects.KeyChanges).To(Equal([]config.KeyChange{{Hash: hash, Row: &config.KeyRow{Workspace: "w", Budget: "b", Number: 5}}}))
		Expect(next.KeysNumber).To(Equal(uint64(5)))
	})

	It("does not end a drain when the target is registered again", func() {
		d := mustApply(sampleDocument(), later, config.DrainTarget{Name: "t1"})
		d = mustApply(d, later, config.PutTarget{Target: target("t1", "v1", 9)})
		Expect(d.Targets["t1"].Draining).To(BeTrue())
		Expect(mustApply(d, later, config.UndrainTarget{Name: "t1"}).Targets["t1"].Draining).To(BeFalse())
	})

	It("keeps a bounded number of ended moves, the newest ones", func() {
		d := mustApply(sampleDocument(), later, config.CancelMove{Move: "x"})
		for i := range 2 * config.MaxEndedMoves {
			at := later.Add(time.Duration(i) * time.Second)
			name := fmt.Sprintf("y%d", i)
			d = mustApply(d, at, config.StartMove{Move: name, Subject: "m", From: "v1", To: "v2", Deadline: at.Add(time.Hour)})
			d = mustApply(d, at, config.CancelMove{Move: name})
		}
		Expect(d.Moves).To(HaveLen(config.MaxEndedMoves))
		Expect(d.Moves).To(HaveKey(fmt.Sprintf("y%d", 2*config.MaxEndedMoves-1)))
	})

	It("has a default for every optional field of every operation", func() {
		d := sampleDocument()
		Expect(d.Models["m"].CompletionPrice).To(Equal(int64(1)))
		Expect(d.Services["s"].Routes[0]).To(Equal(config.Route{Method: "POST", Path: "/book", Price: 1}))
		Expect(d.Targets["t1"].MaxTokens).To(Equal(int64(16 * 4096)))
	})
})

func operationList(operations ...config.Operation) []config.Operation { return operations }
