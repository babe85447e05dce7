package entry

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"briarreach/caller"
	"briarreach/claim"
	"briarreach/config"
	"briarreach/peer"
	"briarreach/table"
	"briarreach/timeline"
)

// once runs a call that may not be repeated: the idempotency key is claimed in
// the table before the call is sent. Repeatable requests pass it.
type once struct{ e *Entry }

func (f once) apply(ctx context.Context, x *exchange) caller.Reply {
	if x.cost.repeatable {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	r := &claimed{e: f.e, x: x, random: rand.New(random{}), targets: map[string]config.Target{}}
	reply := r.run(ctx)
	f.e.settleRefused(x)
	return reply
}

// claimed does what the decisions of a call's claim ask for.
type claimed struct {
	e       *Entry
	x       *exchange
	random  *rand.Rand
	targets map[string]config.Target
	tried   []string
	body    claim.Response // of the completed call, with a body of any size
}

func (r *claimed) run(ctx context.Context) caller.Reply {
	first, refusal := r.choose()
	if refusal != nil {
		return refusal
	}
	var agents []string
	for name, t := range r.x.document.Targets {
		if t.Service == r.x.cost.subject {
			agents = append(agents, name)
			r.targets[name] = t
		}
	}
	digest := hex.EncodeToString(r.x.identity[:])
	call := claim.New(claim.Request{
		Workspace: r.x.key.Workspace, IdempotencyKey: r.x.envelope.IdempotencyKey, BodyDigest: digest, Holder: r.x.grants.holder,
		FirstAgent: claim.AgentInstance{Name: first.Name}, Agents: agents, Deadline: r.x.deadline,
	})
	event := claim.Event(claim.Start{})
	for {
		switch a := call.Decide(r.e.clock.Now(), r.random, event).(type) {
		case claim.ReadRow:
			event = r.read(ctx, a.Key)
		case claim.WriteRow:
			event = r.write(ctx, a.Transaction)
		case claim.Dispatch:
			event = r.dispatch(ctx, a)
		case claim.Resolve:
			event = r.resolve(ctx, a)
		case claim.Wait:
			select {
			case <-ctx.Done():
			case <-r.e.clock.After(a.Delay):
			}
			event = claim.WaitElapsed{}
		case claim.ReturnResponse:
			return &caller.FullReply{Status: r.body.Status, ContentType: r.body.ContentType, Body: r.body.Body}
		case claim.ReplayResponse:
			return r.replay(a.Response)
		case claim.RejectMismatch:
			return caller.NewRefusal(http.StatusUnprocessableEntity, caller.KeyReused, "the idempotency key was used with another body")
		case claim.ReportNotRun:
			refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.Overloaded, "%s", a.Reason)
			refusal.RetryAfter = time.Second
			return refusal
		case claim.ReportUnknown:
			return caller.NewFailure(http.StatusBadGateway, caller.OutcomeUnknown, peer.Unknown, "%s", a.Reason)
		default:
			return caller.NewFailure(http.StatusInternalServerError, caller.OutcomeUnknown, peer.Unknown, "unknown action of a claim")
		}
	}
}

func (r *claimed) replay(response claim.Response) caller.Reply {
	if response.Oversize {
		return caller.NewFailure(http.StatusConflict, caller.AlreadyRan, peer.Ran, "the call ran; its response was too large to keep")
	}
	return &caller.FullReply{Status: response.Status, ContentType: response.ContentType, Body: response.Body, Replayed: true}
}

// choose returns a target that was not tried.
func (r *claimed) choose() (config.Target, *caller.Error) {
	history := tries{exclude: r.tried}
	t, refusal := r.e.choose(r.x, &history)
	if refusal != nil {
		return config.Target{}, refusal
	}
	r.tried = append(r.tried, t.target.Name)
	r.targets[t.target.Name] = t.target
	return t.target, nil
}

func (r *claimed) read(ctx context.Context, key table.Key) claim.Event {
	rows, err := r.e.store.Get(ctx, key)
	if err != nil {
		return claim.TableFailed{}
	}
	if rows[0].Version == 0 {
		return claim.RowRead{}
	}
	row, err := claim.Decode(rows[0].Value)
	if err != nil {
		r.e.log.WithError(err).WithField("request_id", r.x.envelope.RequestID).Error("claim not read")
		return claim.TableFailed{}
	}
	return claim.RowRead{Row: row, Version: rows[0].Version}
}

func (r *claimed) write(ctx context.Context, tx table.Transaction) claim.Event {
	err := r.e.store.Commit(ctx, tx)
	var conflict *table.ConflictError
	var ambiguous *table.AmbiguousError
	switch {
	case err == nil:
		return claim.WriteApplied{}
	case errors.As(err, &conflict):
		return claim.WriteConflicted{}
	case errors.As(err, &ambiguous):
		return claim.WriteAmbiguous{}
	default:
		return claim.TableFailed{}
	}
}

// dispatch sends the attempt once and reads the whole answer.
func (r *claimed) dispatch(ctx context.Context, d claim.Dispatch) claim.Event {
	e, x := r.e, r.x
	registered, ok := r.targets[d.Agent.Name]
	if !ok {
		return r.refused()
	}
	x.document = e.follower.Current()
	t := try{attempt: d.AttemptID, target: registered, version: registered.Version, started: e.clock.Now()}
	a, err := e.send(ctx, x, t)
	if err != nil {
		e.endTry(x, t, err)
		history := tries{}
		e.noteFailure(ctx, x, t, err, &history)
		if execution, _, _ := classify(err); execution == peer.NotRun {
			return r.refused()
		}
		return claim.DispatchLost{}
	}
	body, err := io.ReadAll(a)
	_ = a.Close()
	if err != nil {
		return claim.DispatchLost{}
	}
	r.body = claim.Response{Status: a.head.Status, ContentType: a.head.ContentType, Body: body}
	return claim.DispatchCompleted{Response: r.body}
}

// refused names the next target, if one is left and the budget still allows
// the call.
func (r *claimed) refused() claim.Event {
	if refusal := r.e.reserveAgain(context.Background(), r.x); refusal != nil {
		return claim.DispatchRefused{}
	}
	next, refusal := r.choose()
	if refusal != nil {
		return claim.DispatchRefused{}
	}
	return claim.DispatchRefused{Next: &claim.AgentInstance{Name: next.Name}}
}

// resolve asks the agents at once what became of an attempt.
func (r *claimed) resolve(ctx context.Context, a claim.Resolve) claim.Event {
	e := r.e
	var mu sync.Mutex
	var answers []claim.AttemptReport
	var group sync.WaitGroup
	for _, name := range a.Agents {
		t, ok := r.targets[name]
		if !ok {
			continue // a removed agent can't be asked
		}
		group.Go(func() {
			result, ok := e.askAttempt(ctx, t.AgentAddr, a.AttemptID, a.ClaimedAt)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, claim.AttemptReport{Agent: name, State: claim.AttemptState(result.State),
				Response: claim.Response{Status: result.Status, ContentType: result.ContentType, Body: result.Body, Oversize: result.Oversize}})
		})
	}
	group.Wait()
	e.events.Record(timeline.Event{Kind: "attempt_resolved", RequestID: r.x.envelope.RequestID, Workspace: r.x.key.Workspace, Detail: a.AttemptID})
	return claim.Resolved{Reports: answers}
}

// askAttempt asks an agent what became of an attempt.
func (e *Entry) askAttempt(ctx context.Context, agent netip.AddrPort, attempt string, claimedAt time.Time) (peer.AttemptResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	answer, err := e.endpoint.Call(ctx, agent, peer.ResolveAttempt{Attempt: attempt, Claimed: claimedAt})
	result, ok := answer.(peer.AttemptResult)
	return result, err == nil && ok
}
