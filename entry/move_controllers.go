package entry

import (
	"context"
	"errors"

	"github.com/oklog/ulid/v2"

	"briarreach/config"
	"briarreach/lease"
	"briarreach/move"
	"briarreach/table"
	"briarreach/timeline"
)

// moveControllers runs the controllers of the running version moves while this
// entry holds the control lease. It is not safe for concurrent use.
type moveControllers struct {
	e           *Entry
	controllers map[string]*move.Controller
}

func newMoveControllers(e *Entry) *moveControllers {
	return &moveControllers{e: e, controllers: map[string]*move.Controller{}}
}

// step passes the digests of all entries to the controllers and writes
// their decisions.
func (c *moveControllers) step(ctx context.Context, elector *lease.Elector) {
	e := c.e
	document := e.follower.Current()
	if document == nil {
		return
	}
	for name, m := range document.Moves {
		if m.State != config.MoveRunning {
			delete(c.controllers, name)
			continue
		}
		now := e.clock.Now()
		controller := c.controllers[name]
		if controller == nil {
			controller = move.New(m)
			c.controllers[name] = controller
		}
		controller.Update(m, now)
		for _, digest := range e.moves.digestsOf(name) {
			controller.Observe(digest, now)
		}
		for _, action := range controller.Decide(now) {
			check, held := elector.Check(e.clock.Now())
			if !held {
				return
			}
			c.write(ctx, document.Number, operationOf(name, action), check)
		}
	}
}

func operationOf(name string, action move.Action) config.Operation {
	switch a := action.(type) {
	case move.SetShare:
		return config.SetShare{Move: name, SharePPM: a.SharePPM, Evidence: a.Evidence.String()}
	case move.Finish:
		return config.FinishMove{Move: name, Evidence: a.Evidence.String()}
	case move.RollBack:
		return config.RollBackMove{Move: name, Evidence: a.Evidence.String()}
	default:
		return nil
	}
}

// write submits one operation against the document that the decision was based
// on. A conflict is not an error: the next step decides on the newer document.
func (c *moveControllers) write(ctx context.Context, base uint64, op config.Operation, check table.Check) {
	e := c.e
	if op == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.settings.Table.Timeout.Duration)
	defer cancel()
	_, err := e.patch(ctx, config.Patch{ID: ulid.Make().String(), Base: base, Operator: e.settings.Process,
		Operations: []config.Operation{op}}, []table.Check{check})
	var moved *config.ConflictError
	var lost *table.ConflictError
	switch {
	case err == nil:
		c.report(op)
	case errors.As(err, &moved), errors.As(err, &lost):
		e.log.WithError(err).Debug("decision on a move conflicts with a newer configuration or lease")
	default:
		e.log.WithError(err).Warn("failed to write a decision on a move")
	}
}

// report logs a step of a move with its evidence and records it in the timeline.
func (c *moveControllers) report(op config.Operation) {
	e := c.e
	event := timeline.Event{ConfigNumber: e.follower.Number()}
	switch o := op.(type) {
	case config.SetShare:
		event.Kind, event.Move, event.Detail = "move_share_set", o.Move, o.Evidence
	case config.FinishMove:
		event.Kind, event.Move, event.Detail = "move_done", o.Move, o.Evidence
	case config.RollBackMove:
		event.Kind, event.Move, event.Detail = "move_rolled_back", o.Move, o.Evidence
	}
	e.events.Record(event)
	e.log.WithField("move", event.Move).WithField("evidence", event.Detail).Info(event.Kind)
}
