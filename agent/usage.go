package agent

import (
	"context"
	"time"

	"briarreach/claim"
	"briarreach/peer"
	"briarreach/timeline"
)

// resolve says what became of an attempt. An attempt that was never seen is
// refused from now on.
func (a *Agent) resolve(m peer.ResolveAttempt) peer.AttemptResult {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.attempts[m.Attempt]; at != nil && at.dispatch.Repeatable {
		if at.isFinished() {
			return peer.AttemptResult{Attempt: m.Attempt, State: peer.AttemptUnknown}
		}
		return peer.AttemptResult{Attempt: m.Attempt, State: peer.AttemptRunning}
	}
	if _, finished := a.finished[m.Attempt]; finished {
		return peer.AttemptResult{Attempt: m.Attempt, State: peer.AttemptUnknown}
	}
	state, response := a.calls.Resolve(now, m.Attempt)
	if state == claim.AttemptNeverSeen {
		a.refused[m.Attempt] = now
	}
	return peer.AttemptResult{Attempt: m.Attempt, State: peer.AttemptState(state), Status: response.Status,
		ContentType: response.ContentType, Body: response.Body, Oversize: response.Oversize}
}

// fence refuses the holder from now on, stops its model requests and returns
// its usage that is not billed.
func (a *Agent) fence(ctx context.Context, holder string) peer.FenceResult {
	// A dispatch that was accepted before this is in the table of attempts,
	// since accept checks and enters it in one step.
	a.follower.AddFencedHolders(holder)
	a.mu.Lock()
	var open []*attempt
	for _, at := range a.attempts {
		if at.dispatch.Holder == holder && !at.isFinished() {
			open = append(open, at)
		}
	}
	a.mu.Unlock()
	wait, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	running := map[string]int64{}
	for _, at := range open {
		a.cancelCause(at, &HolderFencedError{Holder: holder})
		if at.dispatch.Method == "" {
			select {
			case <-at.finished:
				continue
			case <-wait.Done():
			}
		}
		if !at.isFinished() {
			running[at.dispatch.Budget] += at.dispatch.Reserved
		}
	}
	result := peer.FenceResult{Holder: holder, Running: running}
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

func (a *Agent) takeUsage(olderThan time.Duration) []peer.UnbilledUsage {
	const most = 1000
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []peer.UnbilledUsage
	for _, u := range a.unbilled {
		if now.Sub(u.At) >= olderThan && len(out) < most {
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
