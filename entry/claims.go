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

// runOnce runs a call that may not be repeated: it claims the idempotency key in
// the table before it sends the call. Repeatable requests go to the next filter.
type runOnce struct{ e *Entry }

func (f runOnce) apply(ctx context.Context, x *exchange) caller.Reply {
	if x.spec.repeatable {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	r := &claimRunner{e: f.e, x: x, random: rand.New(globalSource{}), targets: map[string]config.Target{}}
	reply := r.run(ctx)
	f.e.releaseReservation(x)
	return reply
}

// claimRunner carries out the actions that the claim state machine of a call
// returns.
type claimRunner struct {
	e        *Entry
	x        *exchange
	random   *rand.Rand
	targets  map[string]config.Target
	tried    []string
	response claim.Response // of the completed call; its body is not limited

	// mayHaveRun is set when an attempt is dispatched, and when another request has the
	// claim.
	mayHaveRun bool
}

func (r *claimRunner) run(ctx context.Context) caller.Reply {
	firstTarget, refusal := r.choose()
	if refusal != nil {
		return refusal
	}
	var targetNames []string
	for name, t := range r.x.document.Targets {
		if t.Service == r.x.spec.subject {
			targetNames = append(targetNames, name)
			r.targets[name] = t
		}
	}
	// The identity also covers the workspace and the key, which are the same in
	// all requests that meet at a claim. Agents are called by their targets' names.
	identity := hex.EncodeToString(r.x.identity[:])
	call := claim.New(claim.Request{
		Workspace: r.x.key.Workspace, IdempotencyKey: r.x.envelope.IdempotencyKey, BodyDigest: identity, Holder: r.x.holderWallet.holderID,
		FirstAgent: claim.AgentInstance{Name: firstTarget.Name}, Agents: targetNames, Deadline: r.x.deadline,
	})
	event := claim.Event(claim.Start{})
	for {
		if r.x.ctx.Err() != nil {
			return r.endEarly()
		}
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
			return &caller.FullReply{Status: r.response.Status, ContentType: r.response.ContentType, Body: r.response.Body}
		case claim.ReplayResponse:
			return r.replay(a.Response)
		case claim.RejectMismatch:
			return caller.NewRefusal(http.StatusUnprocessableEntity, caller.IdempotencyKeyReused, "the idempotency key was used with another body")
		case claim.ReportNotRun:
			refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.Overloaded, "%s", a.Reason)
			refusal.RetryAfter = time.Second
			return refusal
		case claim.ReportUnknown:
			return caller.NewFailure(http.StatusBadGateway, caller.OutcomeUnknown, peer.ExecutionUnknown, "%s", a.Reason)
		default:
			return caller.NewFailure(http.StatusInternalServerError, caller.OutcomeUnknown, peer.ExecutionUnknown, "unknown action of a claim")
		}
	}
}

// endEarly returns the reply to a call whose outcome is not known when the time for a
// shutdown is up. Its claim stays, so that a retry at another entry finds out.
func (r *claimRunner) endEarly() caller.Reply {
	cause := context.Cause(r.x.ctx)
	if !r.mayHaveRun {
		refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.NotReady, "%v", cause)
		refusal.RetryAfter = time.Second
		return refusal
	}
	return caller.NewFailure(http.StatusBadGateway, caller.OutcomeUnknown, peer.ExecutionUnknown, "%v", cause)
}

func (r *claimRunner) replay(response claim.Response) caller.Reply {
	if response.Oversize {
		return caller.NewFailure(http.StatusConflict, caller.AlreadyRan, peer.ExecutionRan, "the call ran; its response was too large to keep")
	}
	return &caller.FullReply{Status: response.Status, ContentType: response.ContentType, Body: response.Body, Replayed: true}
}

// choose returns a target that was not tried yet.
func (r *claimRunner) choose() (config.Target, *caller.Error) {
	history := tryHistory{excluded: r.tried}
	t, refusal := r.e.chooseTarget(r.x, &history)
	if refusal != nil {
		return config.Target{}, refusal
	}
	r.tried = append(r.tried, t.target.Name)
	r.targets[t.target.Name] = t.target
	return t.target, nil
}

func (r *claimRunner) read(ctx context.Context, key table.Key) claim.Event {
	rows, err := r.e.store.Get(ctx, key)
	if err != nil {
		return claim.TableFailed{}
	}
	if rows[0].Version == 0 {
		return claim.RowRead{}
	}
	r.mayHaveRun = true
	row, err := claim.Decode(rows[0].Value)
	if err != nil {
		r.e.log.WithError(err).WithField("request_id", r.x.envelope.RequestID).Error("failed to decode a claim")
		return claim.TableFailed{}
	}
	return claim.RowRead{Row: row, Version: rows[0].Version}
}

func (r *claimRunner) write(ctx context.Context, tx table.Transaction) claim.Event {
	err := r.e.store.Commit(ctx, tx)
	var conflict *table.ConflictError
	var ambiguous *table.AmbiguousError
	switch {
	case err == nil:
		return claim.WriteApplied{}
	case errors.As(err, &conflict):
		r.mayHaveRun = true
		return claim.WriteConflicted{}
	case errors.As(err, &ambiguous):
		return claim.WriteAmbiguous{}
	default:
		return claim.TableFailed{}
	}
}

// dispatch sends the attempt once and reads the complete answer.
func (r *claimRunner) dispatch(ctx context.Context, d claim.Dispatch) claim.Event {
	e, x := r.e, r.x
	registered, ok := r.targets[d.Agent.Name]
	if !ok {
		return r.refusedEvent()
	}
	x.document = e.follower.Current()
	t := try{attemptID: d.AttemptID, target: registered, version: registered.Version, startedAt: e.clock.Now()}
	r.mayHaveRun = true
	a, err := e.startTry(ctx, x, t)
	if err != nil {
		e.endTry(x, t, err)
		history := tryHistory{}
		e.recordFailure(ctx, x, t, err, &history)
		if execution, _, _ := classify(err); execution == peer.ExecutionNotRun {
			return r.refusedEvent()
		}
		return claim.DispatchLost{}
	}
	body, err := io.ReadAll(a)
	_ = a.Close()
	if err != nil {
		return claim.DispatchLost{}
	}
	r.response = claim.Response{Status: a.head.Status, ContentType: a.head.ContentType, Body: body}
	return claim.DispatchCompleted{Response: r.response}
}

// refusedEvent returns the event of a refused dispatch. It names the next target
// if one is left and the budget still allows the call.
func (r *claimRunner) refusedEvent() claim.Event {
	if refusal := r.e.ensureReserved(context.Background(), r.x); refusal != nil {
		return claim.DispatchRefused{}
	}
	next, refusal := r.choose()
	if refusal != nil {
		return claim.DispatchRefused{}
	}
	return claim.DispatchRefused{Next: &claim.AgentInstance{Name: next.Name}}
}

// resolve asks all agents concurrently for the state of an attempt.
func (r *claimRunner) resolve(ctx context.Context, a claim.Resolve) claim.Event {
	e := r.e
	var mu sync.Mutex
	var answers []claim.AttemptReport
	var group sync.WaitGroup
	for _, name := range a.Agents {
		t, ok := r.targets[name]
		if !ok {
			continue // the target was removed
		}
		group.Go(func() {
			result, ok := e.resolveAttempt(ctx, t.AgentAddr, a.AttemptID, a.ClaimedAt)
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

// resolveAttempt asks an agent for the state of an attempt.
func (e *Entry) resolveAttempt(ctx context.Context, agent netip.AddrPort, attempt string, claimedAt time.Time) (peer.AttemptResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	answer, err := e.endpoint.Call(ctx, agent, peer.ResolveAttempt{AttemptID: attempt, ClaimedAt: claimedAt})
	result, ok := answer.(peer.AttemptResult)
	return result, err == nil && ok
}
