package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"briarreach/claim"
	"briarreach/engine"
	"briarreach/peer"
	"briarreach/service"
	"briarreach/timeline"
)

// run waits for admission, runs the attempt at the target and records its usage.
func (a *Agent) run(at *attempt) {
	defer a.running.Add(-1)
	select {
	case <-at.admitted:
	case <-at.ctx.Done():
		if a.dequeue(at) {
			a.finish(at, peer.Final{Outcome: peer.OutcomeCancelled, Execution: peer.ExecutionNotRun, Reason: "queue_timeout"})
			return
		}
		<-at.admitted
	}
	if at.dispatch.Method != "" {
		a.runServiceCall(at)
		return
	}
	a.runModel(at)
}

// dequeue removes an attempt from the queue. It returns false if the attempt was
// admitted meanwhile.
func (a *Agent) dequeue(at *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-at.admitted:
		return false
	default:
	}
	for _, admitted := range a.admission.Cancel(at.dispatch.AttemptID, a.clock.Now()) {
		a.startAdmitted(admitted)
	}
	return true
}

func (a *Agent) runModel(at *attempt) {
	d := at.dispatch
	body, err := parseModelBody(d.Body)
	if err != nil {
		a.finish(at, peer.Final{Outcome: peer.OutcomeFailed, Execution: peer.ExecutionNotRun, Reason: err.Error()})
		return
	}
	// Cancelling aborts the request until the engine answers. From then on the
	// connection outlives the cancellation: the engine is asked to stop, and the
	// tokens that it has sent until then are billed.
	ctx, abort := context.WithCancel(context.WithoutCancel(at.ctx))
	defer abort()
	unregisterAbort := context.AfterFunc(at.ctx, abort)
	response, err := a.engine.Stream(ctx, engine.Request{
		Body: body.withMaxTokens(d.MaxTokens), Priority: d.Priority, RequestID: d.RequestID,
	})
	if err != nil {
		a.finish(at, a.startFailure(err))
		return
	}
	defer response.Close()
	if unregisterAbort() {
		defer context.AfterFunc(at.ctx, response.Stop)()
	}
	// The engine has the request. Don't keep a long prompt in memory while the
	// answer is read.
	at.dropBody()
	usage, err := a.relay(at, body.renderer(d.RequestID), response)
	usage.Cost = usage.PromptTokens*d.PromptPrice + usage.CompletionTokens*d.CompletionPrice
	a.finish(at, endOfAnswer(at, usage, err))
}

// endOfAnswer returns the final message of a request that has run. If err is set, the
// answer that was passed on is incomplete.
func endOfAnswer(at *attempt, usage peer.Usage, err error) peer.Final {
	final := peer.Final{Usage: usage, Outcome: peer.OutcomeComplete, Execution: peer.ExecutionRan}
	if err != nil {
		final.Outcome, final.Reason = peer.OutcomeFailed, reasonOf(err)
		var stalled *StalledError
		if at.ctx.Err() != nil || errors.As(err, &stalled) {
			final.Outcome = peer.OutcomeCancelled
		}
	}
	return final
}

// startFailure returns the final message of a request that the engine did not
// start to answer.
func (a *Agent) startFailure(err error) peer.Final {
	final := peer.Final{Outcome: peer.OutcomeFailed, Execution: peer.ExecutionUnknown, Reason: reasonOf(err)}
	var notSent *engine.NotSentError
	var status *engine.StatusError
	if errors.As(err, &notSent) {
		final.Execution = peer.ExecutionNotRun
	}
	if errors.As(err, &status) {
		final.Execution = peer.ExecutionRan
	}
	return final
}

// relay forwards the engine's events until the answer is complete. The returned
// usage counts the generated tokens, also if the answer is incomplete. The prompt
// is charged by the engine's count, up to the reserved bound; if the engine
// reports no count, the bound is charged.
func (a *Agent) relay(at *attempt, r renderer, response *engine.Response) (peer.Usage, error) {
	d := at.dispatch
	usage := peer.Usage{PromptTokens: d.PromptTokens}
	stallTimeout := a.settings.Agent.StallTimeout.Duration
	headSent := false
	var relayErr error // if set, further events are only counted
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return usage, fmt.Errorf("agent.relay: %w", errors.Join(relayErr, err))
		}
		if !headSent {
			headSent = true
			at.setHead(peer.Head{AttemptID: d.AttemptID, Status: 200, ContentType: r.contentType(), Timestamp: a.events.Clock().Now()})
		}
		a.updateUsage(at, event, &usage)
		delta, ok := event.(engine.Delta)
		if !ok || relayErr != nil {
			continue
		}
		data, err := r.delta(delta)
		if err == nil {
			err = at.write(data, stallTimeout, func() { a.flush(at) })
		}
		if err != nil {
			relayErr = err
			response.Stop()
			time.AfterFunc(engineStopTimeout, response.Close)
		}
	}
	if relayErr != nil {
		return usage, relayErr
	}
	end, err := r.end(usage)
	if err != nil {
		return usage, err
	}
	return usage, at.write(end, stallTimeout, func() { a.flush(at) })
}

// updateUsage adds an event to the usage.
func (a *Agent) updateUsage(at *attempt, event engine.Event, usage *peer.Usage) {
	d := at.dispatch
	switch e := event.(type) {
	case engine.Delta:
		total := at.addTokens(int64(e.Tokens))
		usage.CompletionTokens = min(total, d.MaxTokens)
		if e.PromptTokens > 0 {
			usage.PromptTokens = min(e.PromptTokens, d.PromptTokens)
		}
		a.reportProgress(at, total)
	case engine.Usage:
		usage.PromptTokens = min(e.PromptTokens, d.PromptTokens)
		usage.CompletionTokens = min(max(e.CompletionTokens, usage.CompletionTokens), d.MaxTokens)
	case engine.Finished:
	}
}

func (a *Agent) reportProgress(at *attempt, tokens int64) {
	// The admission count of held tokens needs no update for every token.
	const reportInterval = 16
	if tokens%reportInterval != 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Progress(at.dispatch.AttemptID, tokens)
}

func (a *Agent) runServiceCall(at *attempt) {
	d := at.dispatch
	request := service.Request{Method: d.Method, Path: d.Path, Body: d.Body, ContentType: "application/json", RequestID: d.RequestID}
	if !d.Repeatable {
		request.IdempotencyKey = d.AttemptID
	}
	response, err := a.service.Call(at.ctx, request)
	if err != nil {
		final := peer.Final{Outcome: peer.OutcomeFailed, Execution: peer.ExecutionUnknown, Reason: reasonOf(err)}
		var notSent *service.NotSentError
		if errors.As(err, &notSent) {
			final.Execution = peer.ExecutionNotRun
		}
		a.finish(at, final)
		return
	}
	if !d.Repeatable {
		a.mu.Lock()
		a.nonRepeatable.Finish(a.clock.Now(), d.AttemptID, claim.Response{Status: response.Status, ContentType: response.ContentType, Body: response.Body})
		a.mu.Unlock()
	}
	at.setHead(peer.Head{AttemptID: d.AttemptID, Status: response.Status, ContentType: response.ContentType, Timestamp: a.events.Clock().Now()})
	at.targetAnswered = true
	err = at.write(response.Body, a.settings.Agent.StallTimeout.Duration, func() { a.flush(at) })
	a.finish(at, endOfAnswer(at, peer.Usage{Cost: d.ReservedCost}, err))
}

// finish records the usage of an attempt that ran, frees its slot and ends its
// answer. The usage is recorded before the attempt counts as finished, so that
// fenceHolder finds it after waiting for the attempt.
func (a *Agent) finish(at *attempt, final peer.Final) {
	at.dropBody()
	d := at.dispatch
	now := a.clock.Now()
	a.mu.Lock()
	if final.Execution != peer.ExecutionNotRun && final.Usage.Cost > 0 {
		a.unbilled[d.AttemptID] = peer.UnbilledUsage{
			AttemptID: d.AttemptID, Identity: d.Identity, Workspace: d.Workspace, Budget: d.Budget,
			Holder: d.Holder, Outcome: final.Outcome, Usage: final.Usage, FinishedAt: now,
		}
	}
	if !d.Repeatable && final.Outcome != peer.OutcomeComplete {
		if final.Execution == peer.ExecutionNotRun {
			a.nonRepeatable.Refuse(now, d.AttemptID)
		} else {
			a.nonRepeatable.Fail(now, d.AttemptID)
		}
	}
	ok := at.targetAnswered || final.Outcome == peer.OutcomeComplete
	for _, admitted := range a.admission.Done(d.AttemptID, now.Sub(at.acceptedAt), ok, now) {
		a.startAdmitted(admitted)
	}
	final.Load = a.loadReportLocked()
	at.endedAt = now
	a.endedAttempts = append(a.endedAttempts, at)
	a.mu.Unlock()
	a.incrementCounter(`briarreach_agent_attempts_total{outcome="` + string(final.Outcome) + `"}`)
	a.events.Record(timeline.Event{Kind: "attempt_" + string(final.Outcome), RequestID: d.RequestID, Workspace: d.Workspace,
		Target: d.Target, ConfigNumber: d.ConfigNumber, Detail: final.Reason})
	at.setFinal(final)
	a.flush(at)
}

func reasonOf(err error) string {
	var stalled *StalledError
	switch {
	case errors.As(err, &stalled):
		return "reader_stalled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	default:
		return err.Error()
	}
}
