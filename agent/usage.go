package agent

import (
	"context"
	"time"

	"briarreach/claim"
	"briarreach/peer"
	"briarreach/timeline"
)

// resolveAttempt returns the state of an attempt. An attempt that was never seen
// is refused from now on.
func (a *Agent) resolveAttempt(m peer.ResolveAttempt) peer.AttemptResult {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.attempts[m.AttemptID]; at != nil && at.dispatch.Repeatable {
		if at.isFinished() {
			return peer.AttemptResult{AttemptID: m.AttemptID, State: peer.AttemptUnknown}
		}
		return peer.AttemptResult{AttemptID: m.AttemptID, State: peer.AttemptRunning}
	}
	if _, finished := a.releasedAttempts[m.AttemptID]; finished {
		return peer.AttemptResult{AttemptID: m.AttemptID, State: peer.AttemptUnknown}
	}
	state, response := a.nonRepeatable.Resolve(now, m.AttemptID)
	if state == claim.AttemptRefused {
		a.refusedAttempts[m.AttemptID] = now
	}
	return peer.AttemptResult{AttemptID: m.AttemptID, State: peer.AttemptState(state), Status: response.Status,
		ContentType: response.ContentType, Body: response.Body, Oversize: response.Oversize}
}

// fenceHolder refuses the holder from now on, cancels its model requests and
// returns its unbilled usage and the amounts reserved by attempts that still run.
func (a *Agent) fenceHolder(ctx context.Context, holder string) peer.FenceResult {
	// A dispatch that was accepted before this is in a.attempts, since accept
	// checks and adds it under one lock.
	a.follower.AddFencedHolders(holder)
	a.mu.Lock()
	var open []*attempt
	for _, at := range a.attempts {
		if at.dispatch.Holder == holder && !at.isFinished() {
			open = append(open, at)
		}
	}
	a.mu.Unlock()
	// The entry's fenceTimeout allows for this wait.
	waitCtx, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	running := map[string]int64{}
	for _, at := range open {
		a.cancelWithCause(at, &HolderFencedError{Holder: holder})
		if at.dispatch.Method == "" {
			select {
			case <-at.finished:
				continue
			case <-waitCtx.Done():
			}
		}
		if !at.isFinished() {
			running[at.dispatch.Budget] += at.dispatch.ReservedCost
		}
	}
	result := peer.FenceResult{Holder: holder, ReservedByBudget: running}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.unbilled {
		if u.Holder == holder {
			result.Unbilled = append(result.Unbilled, u)
		}
	}
	a.events.Record(timeline.Event{Kind: "holder_fenced", Target: a.settings.Agent.Target, Detail: holder})
	return result
}

func (a *Agent) unbilledUsage(olderThan time.Duration) []peer.UnbilledUsage {
	const maxUsages = 1000
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []peer.UnbilledUsage
	for _, u := range a.unbilled {
		if now.Sub(u.FinishedAt) >= olderThan && len(out) < maxUsages {
			out = append(out, u)
		}
	}
	return out
}

func (a *Agent) acknowledgeUsage(attempts []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range attempts {
		delete(a.unbilled, id)
	}
}
