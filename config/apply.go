package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"briarreach/ledger"
)

// SideEffects holds the changes outside the document that a patch makes in the
// same transaction.
type SideEffects struct {
	LedgerRecords []ledger.Record // in the order of the operations
	KeyChanges    []KeyChange
}

// KeyChange replaces the row of a key, or deletes it if Row is nil.
type KeyChange struct {
	Hash string
	Row  *KeyRow
}

// New returns the empty document with number 0. It panics if shards is below 1.
func New(shards int) *Document {
	d := &Document{Shards: shards}
	d.initMaps()
	if err := d.Validate(); err != nil {
		panic(err)
	}
	return d
}

// initMaps replaces nil maps by empty ones.
func (d *Document) initMaps() {
	if d.Workspaces == nil {
		d.Workspaces = map[string]Workspace{}
	}
	if d.Models == nil {
		d.Models = map[string]Model{}
	}
	if d.Services == nil {
		d.Services = map[string]Service{}
	}
	if d.Targets == nil {
		d.Targets = map[string]Target{}
	}
	if d.Moves == nil {
		d.Moves = map[string]Move{}
	}
}

// clone copies the maps but not their values, which are never changed in place.
func (d *Document) clone() *Document {
	next := *d
	next.Workspaces = maps.Clone(d.Workspaces)
	next.Models = maps.Clone(d.Models)
	next.Services = maps.Clone(d.Services)
	next.Targets = maps.Clone(d.Targets)
	next.Moves = maps.Clone(d.Moves)
	next.initMaps()
	return &next
}

// Apply returns the document that the patch produces, with the next number. d
// is not changed. now is the accepting entry's time. It fails with
// *ConflictError, whose LaterPatches the caller fills in, or *InvalidError.
//
// Operations are applied in order. The rules of the document are checked only
// on the result, so that one patch may replace the last target of a version.
func (d *Document) Apply(p Patch, now time.Time) (*Document, SideEffects, error) {
	if err := p.Validate(); err != nil {
		return nil, SideEffects{}, fmt.Errorf("config.Apply: %w", err)
	}
	if p.Base != d.Number {
		return nil, SideEffects{}, fmt.Errorf("config.Apply: %w", &ConflictError{Base: p.Base, Current: d.Number})
	}
	next, effects, err := d.applyOperations(p, p.Operations, now)
	if err != nil {
		return nil, SideEffects{}, fmt.Errorf("config.Apply: %w", err)
	}
	if err := d.checkResult(next); err != nil {
		return nil, SideEffects{}, fmt.Errorf("config.Apply: %w", d.locateFault(p, err, now))
	}
	return next, effects, nil
}

// checkResult checks the resulting document, and that no version with traffic
// has lost its last target.
func (d *Document) checkResult(next *Document) error {
	return firstError(d.checkLastTargets(next), next.Validate())
}

// checkLastTargets compares with the earlier document: a new model may have no
// targets, but one in use must keep at least one.
func (d *Document) checkLastTargets(next *Document) error {
	for _, subject := range slices.Sorted(maps.Keys(next.subjects())) {
		before, _ := d.CurrentVersion(subject)
		after, _ := next.CurrentVersion(subject)
		if d.ServingTargets(subject, before) == 0 || next.ServingTargets(subject, after) > 0 {
			continue
		}
		if before != after {
			return invalidf("subjects."+subject, ReasonVersionWithoutTarget, "no target that is not draining has version %q of %q", after, subject)
		}
		return invalidf("subjects."+subject, ReasonLastTarget, "version %q of %q gets traffic and would have no target", after, subject)
	}
	for _, name := range slices.Sorted(maps.Keys(next.Moves)) {
		m := next.Moves[name]
		if _, existed := d.Moves[name]; !existed || m.State != MoveRunning {
			continue
		}
		if next.ServingTargets(m.Subject, m.To) == 0 {
			return invalidf("moves."+name, ReasonLastTarget, "move %q is running and version %q of %q would have no target; cancel the move first", name, m.To, m.Subject)
		}
	}
	return nil
}

func (d *Document) subjects() map[string]struct{} {
	names := make(map[string]struct{}, len(d.Models)+len(d.Services))
	for name := range d.Models {
		names[name] = struct{}{}
	}
	for name := range d.Services {
		names[name] = struct{}{}
	}
	return names
}

// locateFault sets the index of the operation that introduced the fault, by
// applying ever shorter prefixes of the patch.
func (d *Document) locateFault(p Patch, cause error, now time.Time) error {
	var invalid *InvalidError
	if !errors.As(cause, &invalid) {
		return cause
	}
	located := *invalid
	for i := len(p.Operations); i > 0; i-- {
		next, _, err := d.applyOperations(p, p.Operations[:i], now)
		var found *InvalidError
		if err != nil || !errors.As(d.checkResult(next), &found) || found.Path != invalid.Path {
			break
		}
		located.Operation = i - 1
	}
	return &located
}

// change is the state while a patch is applied.
type change struct {
	*Document
	patch          Patch
	now            time.Time
	operationIndex int // of the operation that is being applied
	effects        SideEffects
	writtenBy      map[string]int // operation index, by "kind/name"
}

func (d *Document) applyOperations(p Patch, operations []Operation, now time.Time) (*Document, SideEffects, error) {
	c := &change{Document: d.clone(), patch: p, now: now.UTC(), writtenBy: map[string]int{}}
	c.Number++
	for i, op := range operations {
		c.operationIndex = i
		if err := c.apply(op); err != nil {
			var invalid *InvalidError
			if errors.As(err, &invalid) {
				invalid.Operation = i
			}
			return nil, SideEffects{}, err
		}
	}
	return c.Document, c.effects, nil
}

func (c *change) apply(op Operation) error {
	switch op := op.(type) {
	case PutWorkspace:
		if err := firstError(op.Validate(), c.recordWrite("workspace", op.Workspace.Name, "workspace.name")); err != nil {
			return err
		}
		c.Workspaces[op.Workspace.Name] = op.Workspace
	case RemoveWorkspace:
		if err := firstError(op.Validate(), checkExists("name", "workspace", op.Name, c.Workspaces)); err != nil {
			return err
		}
		delete(c.Workspaces, op.Name)
	case OpenBudget:
		if err := firstError(op.Validate(), checkExists("workspace", "workspace", op.Workspace, c.Workspaces), c.recordWrite("budget", op.Budget, "budget")); err != nil {
			return err
		}
		c.effects.LedgerRecords = append(c.effects.LedgerRecords, ledger.OpenBudget{Budget: op.Budget, Prepaid: op.Prepaid, PatchID: c.recordID()})
	case TopUp:
		if err := op.Validate(); err != nil {
			return err
		}
		c.effects.LedgerRecords = append(c.effects.LedgerRecords, ledger.TopUp{Budget: op.Budget, Amount: op.Amount, PatchID: c.recordID()})
	case PutKey:
		if err := firstError(op.Validate(), c.recordWrite("key", op.Hash, "hash")); err != nil {
			return err
		}
		if op.Operator == "" {
			if err := checkExists("workspace", "workspace", op.Workspace, c.Workspaces); err != nil {
				return err
			}
		}
		c.changeKey(op.Hash, &KeyRow{Workspace: op.Workspace, Budget: op.Budget, Operator: op.Operator, Number: c.Number})
	case RevokeKey:
		if err := firstError(op.Validate(), c.recordWrite("key", op.Hash, "hash")); err != nil {
			return err
		}
		c.changeKey(op.Hash, nil)
	case PutModel:
		op.Defaults()
		if err := firstError(op.Validate(), c.recordWrite("subject", op.Model.Name, "model.name")); err != nil {
			return err
		}
		c.Models[op.Model.Name] = op.Model
	case PutService:
		op.Defaults()
		if err := firstError(op.Validate(), c.recordWrite("subject", op.Service.Name, "service.name")); err != nil {
			return err
		}
		c.Services[op.Service.Name] = op.Service
	case PutTarget:
		op.Defaults()
		if err := firstError(op.Validate(), c.recordWrite("target", op.Target.Name, "target.name")); err != nil {
			return err
		}
		// Registering a target again must not end its drain.
		op.Target.Draining = op.Target.Draining || c.Targets[op.Target.Name].Draining
		c.Targets[op.Target.Name] = op.Target
	case RemoveTarget:
		if err := firstError(op.Validate(), checkExists("name", "target", op.Name, c.Targets)); err != nil {
			return err
		}
		delete(c.Targets, op.Name)
	case DrainTarget:
		return firstError(op.Validate(), c.setDraining(op.Name, true))
	case UndrainTarget:
		return firstError(op.Validate(), c.setDraining(op.Name, false))
	case StartMove, ChangeDeadline, CancelMove, SetShare, FinishMove, RollBackMove:
		return c.applyMove(op)
	default:
		return invalidf("op", ReasonBadValue, "unknown operation %T", op)
	}
	return nil
}

func (c *change) applyMove(op Operation) error {
	switch op := op.(type) {
	case StartMove:
		if err := op.Validate(); err != nil {
			return err
		}
		if old, ok := c.Moves[op.Move]; ok {
			return invalidf("move", ReasonDuplicateName, "move %q exists and is %s", op.Move, old.State)
		}
		if !op.Deadline.After(c.now) {
			return invalidf("deadline", ReasonDeadlinePast, "%s is not in the future", op.Deadline.Format(time.RFC3339))
		}
		c.pruneEndedMoves()
		c.Moves[op.Move] = Move{
			Name: op.Move, Subject: op.Subject, From: op.From, To: op.To,
			Started: c.now, Deadline: op.Deadline.UTC(), State: MoveRunning,
		}
	case ChangeDeadline:
		m, err := c.runningMove(op, op.Move)
		if err != nil {
			return err
		}
		if !op.Deadline.After(c.now) {
			return invalidf("deadline", ReasonDeadlinePast, "%s is not in the future", op.Deadline.Format(time.RFC3339))
		}
		m.Deadline = op.Deadline.UTC()
		c.Moves[m.Name] = m
	case CancelMove:
		m, err := c.runningMove(op, op.Move)
		if err != nil {
			return err
		}
		c.endMove(m, MoveCancelled, 0, m.Evidence)
	case SetShare:
		m, err := c.runningMove(op, op.Move)
		if err != nil {
			return err
		}
		m.SharePPM, m.Evidence = op.SharePPM, op.Evidence
		c.Moves[m.Name] = m
	case FinishMove:
		m, err := c.runningMove(op, op.Move)
		if err != nil {
			return err
		}
		c.setVersion(m.Subject, m.To)
		c.endMove(m, MoveDone, FullSharePPM, op.Evidence)
	case RollBackMove:
		m, err := c.runningMove(op, op.Move)
		if err != nil {
			return err
		}
		c.endMove(m, MoveRolledBack, 0, op.Evidence)
	}
	return nil
}

func (c *change) runningMove(op interface{ Validate() error }, name string) (Move, error) {
	if err := firstError(op.Validate(), checkExists("move", "move", name, c.Moves)); err != nil {
		return Move{}, err
	}
	m := c.Moves[name]
	if m.State != MoveRunning {
		return Move{}, invalidf("move", ReasonMoveEnded, "move %q ended at %s and is %s", name, m.Ended.Format(time.RFC3339), m.State)
	}
	return m, nil
}

func (c *change) endMove(m Move, state MoveState, share int64, evidence string) {
	m.State, m.SharePPM, m.Evidence, m.Ended = state, share, evidence, c.now
	c.Moves[m.Name] = m
}

func (c *change) setVersion(subject, version string) {
	if m, ok := c.Models[subject]; ok {
		m.Version = version
		c.Models[subject] = m
	}
	if s, ok := c.Services[subject]; ok {
		s.Version = version
		c.Services[subject] = s
	}
}

// pruneEndedMoves removes the oldest ended moves, so that with one more there
// are at most MaxEndedMoves.
func (c *change) pruneEndedMoves() {
	var ended []Move
	for _, m := range c.Moves {
		if m.State != MoveRunning {
			ended = append(ended, m)
		}
	}
	if len(ended) < MaxEndedMoves {
		return
	}
	slices.SortFunc(ended, func(a, b Move) int {
		return cmp.Or(b.Ended.Compare(a.Ended), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range ended[MaxEndedMoves-1:] {
		delete(c.Moves, m.Name)
	}
}

func (c *change) setDraining(name string, draining bool) error {
	if err := checkExists("name", "target", name, c.Targets); err != nil {
		return err
	}
	t := c.Targets[name]
	t.Draining = draining
	c.Targets[name] = t
	return nil
}

func (c *change) changeKey(hash string, row *KeyRow) {
	c.effects.KeyChanges = append(c.effects.KeyChanges, KeyChange{Hash: hash, Row: row})
	c.KeysNumber = c.Number
}

// recordID returns the ID of the operation's ledger record, which the ledger
// calls PatchID. It contains the index because a patch may top up a budget
// twice.
func (c *change) recordID() string { return fmt.Sprintf("%s/%d", c.patch.ID, c.operationIndex) }

// recordWrite records that the operation writes the name. It fails if an
// earlier operation of the patch did.
func (c *change) recordWrite(kind, name, path string) error {
	key := kind + "/" + name
	if i, ok := c.writtenBy[key]; ok {
		return invalidf(path, ReasonDuplicateName, "operations[%d] writes the same %s", i, kind)
	}
	c.writtenBy[key] = c.operationIndex
	return nil
}

func checkExists[T any](path, kind, name string, values map[string]T) error {
	if _, ok := values[name]; !ok {
		return invalidf(path, ReasonUnknownName, "there is no %s %q", kind, name)
	}
	return nil
}

// ControllerOnly reports whether only the move controller may write the
// operation.
func ControllerOnly(op Operation) bool {
	switch op.(type) {
	case SetShare, FinishMove, RollBackMove:
		return true
	}
	return false
}
