package entry

import (
	"context"
	"errors"
	"math/rand"
	"net/http"
	"slices"
	"time"

	"briarreach/caller"
	"briarreach/config"
	"briarreach/peer"
	"briarreach/targetset"
	"briarreach/timeline"
)

const (
	// silenceTimeout is the time without a message after which a stream counts
	// as broken. Agents send a heartbeat every 500 ms.
	silenceTimeout = 2 * time.Second
	// maxTries bounds the dispatches of one request.
	maxTries = 6
	// configCatchUpTimeout bounds a request's wait for the configuration that an
	// agent already has.
	configCatchUpTimeout = 2 * time.Second
	// openTimeout bounds opening a stream to an agent or entry, and a short
	// exchange with one.
	openTimeout = time.Second
)

// try is one dispatch of a request. reservedTokens are the prompt and completion
// tokens that count against the target's capacity; the reservation of the
// exchange is in budget tokens.
type try struct {
	attemptID        string
	target           config.Target
	version          string
	reservedTokens   int64
	startedAt        time.Time
	afterPossibleRun bool // an earlier try may have run
}

// tryHistory holds what the earlier tries of a request tell about the next one.
type tryHistory struct {
	excluded   []string
	mayHaveRun bool           // an earlier try may have run; during a move, the next goes to the old version
	execution  peer.Execution // ExecutionNotRun until a try may have run, then the execution of the latest such try
	last       *caller.Error
}

// dispatchWithRetries sends the request to targets until one starts to answer.
// It retries only if the earlier try provably did not run, or if the request is
// repeatable.
func (e *Entry) dispatchWithRetries(ctx context.Context, x *exchange) (*answer, *caller.Error) {
	history := tryHistory{execution: peer.ExecutionNotRun}
	e.retries.RecordRequest(x.startedAt)
	for n := range maxTries {
		if n > 0 && !e.takeRetry(x, &history) {
			break
		}
		if refusal := e.ensureReserved(ctx, x); refusal != nil {
			history.last = refusal
			break
		}
		t, refusal := e.chooseTarget(x, &history)
		if refusal != nil {
			if history.last == nil {
				history.last = refusal
			}
			break
		}
		a, err := e.startTry(ctx, x, t)
		if err == nil {
			return a, nil
		}
		e.endTry(x, t, err)
		e.recordFailure(ctx, x, t, err, &history)
		if history.execution != peer.ExecutionNotRun && !x.spec.repeatable {
			break
		}
	}
	last := history.last
	if history.execution != peer.ExecutionNotRun {
		return nil, caller.NewFailure(http.StatusBadGateway, failureType(history.execution), history.execution, "%s", last.Message)
	}
	return nil, last
}

func failureType(execution peer.Execution) caller.ErrorType {
	if execution == peer.ExecutionUnknown {
		return caller.OutcomeUnknown
	}
	return caller.TargetFailed
}

// takeRetry reports whether the request may be tried again, and takes the retry
// from the retry budget. A retry after NotReady, such as a refusal because of an
// older configuration, is free: the request has not reached admission.
func (e *Entry) takeRetry(x *exchange, h *tryHistory) bool {
	if x.ctx.Err() != nil || !x.deadline.After(e.clock.Now()) {
		return false
	}
	if h.last != nil && h.last.Type == caller.NotReady {
		return true
	}
	return e.retries.AllowRetry(e.clock.Now())
}

func (e *Entry) chooseTarget(x *exchange, h *tryHistory) (try, *caller.Error) {
	x.document = e.follower.Current()
	now := e.clock.Now()
	version := e.moves.chooseVersion(x.document, x.spec.subject, h.mayHaveRun, now)
	tokens := x.spec.maxPromptTokens + x.spec.maxCompletionTokens
	request := targetset.Request{Subject: x.spec.subject, Version: version, ReservedTokens: tokens, Exclude: h.excluded}
	if chat, ok := x.request.(*caller.ChatRequest); ok {
		request.PrefixHashes = targetset.PrefixHashes(chat.Prompt)
	}
	choice, err := e.pool.Choose(request, now, rand.New(globalSource{}))
	if err != nil {
		refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.NoTarget, "%v", err)
		refusal.RetryAfter = time.Second
		return try{}, refusal
	}
	return try{attemptID: newAttemptID(), target: choice.Target, version: version, reservedTokens: tokens, startedAt: now, afterPossibleRun: h.mayHaveRun}, nil
}

// startTry dispatches one try and waits until the answer starts or the try
// fails.
func (e *Entry) startTry(ctx context.Context, x *exchange, t try) (*answer, error) {
	e.pool.Begin(t.target.Name, t.reservedTokens)
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := e.endpoint.Open(openCtx, t.target.AgentAddr)
	if err != nil {
		return nil, err
	}
	if err := s.Send(e.dispatchMessage(x, t)); err != nil {
		s.Abort()
		return nil, err
	}
	e.events.Record(timeline.Event{Kind: "dispatched", RequestID: x.envelope.RequestID, Workspace: x.key.Workspace,
		Target: t.target.Name, ConfigNumber: x.document.Number, Detail: t.attemptID})
	a := newAnswer(e, x, t, s)
	if err := a.awaitHead(); err != nil {
		a.stopWaitingToEnd()
		_ = a.stream.CloseSend() // delivers the acknowledgement of a final message
		a.stream.Abort()
		return nil, err
	}
	return a, nil
}

func (e *Entry) dispatchMessage(x *exchange, t try) peer.Dispatch {
	d := peer.Dispatch{
		RequestID: x.envelope.RequestID, AttemptID: t.attemptID, Identity: x.identity,
		Workspace: x.key.Workspace, Budget: x.key.Budget, Holder: x.holderWallet.holderID,
		ConfigNumber: x.document.Number, Target: t.target.Name, Version: t.version,
		Route: x.spec.route, Repeatable: x.spec.repeatable, Priority: x.workspace.Priority,
		Deadline: x.deadline, ReservedCost: x.spec.maxCost,
		PromptPrice: x.spec.promptPrice, CompletionPrice: x.spec.completionPrice,
		PromptTokens: x.spec.maxPromptTokens, MaxTokens: x.spec.maxCompletionTokens,
		Body: x.envelope.Body, CreditBytes: int64(e.settings.Entry.StreamWindowBytes),
		Timestamp: e.events.Clock().Now(),
	}
	if call, ok := x.request.(*caller.ServiceRequest); ok {
		d.Method, d.Path = call.Method, call.Path
	}
	return d
}

// endTry reports a try that gave no answer to the target pool and to the running
// version move.
func (e *Entry) endTry(x *exchange, t try, err error) {
	now := e.clock.Now()
	outcome := targetset.Failed
	var refused *RefusedError
	if errors.As(err, &refused) {
		outcome = targetset.Neutral
		e.pool.UpdateLoad(refused.Refusal.Load, now)
	}
	e.pool.End(t.target.Name, t.reservedTokens, outcome, now.Sub(t.startedAt), now)
	// An unreachable agent is no evidence against the version.
	if execution, _, _ := classify(err); execution != peer.ExecutionNotRun {
		e.observeTry(x, t, now.Sub(t.startedAt), true, now)
	}
}

// recordFailure updates the history after a failed try, holds the reservation if
// the request may have run, and reacts to the reason of a refusal.
func (e *Entry) recordFailure(ctx context.Context, x *exchange, t try, err error, h *tryHistory) {
	h.excluded = append(slices.Clip(h.excluded), t.target.Name)
	execution, kind, status := classify(err)
	if execution != peer.ExecutionNotRun {
		h.execution = execution
		h.mayHaveRun = true
		e.heldReservations.hold(x, t, e.clock.Now())
	}
	h.last = caller.NewFailure(status, kind, execution, "target %s: %v", t.target.Name, err)
	h.last.RetryAfter = time.Second
	e.log.WithError(err).WithField("request_id", x.envelope.RequestID).WithField("target", t.target.Name).
		WithField("workspace", x.key.Workspace).WithField("config_number", x.document.Number).Info("dispatch failed")
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return
	}
	switch refused.Refusal.Reason {
	case "stale_config":
		e.follower.Hint(refused.Refusal.ConfigNumber, t.target.AgentAddr)
		e.waitForNumber(ctx, refused.Refusal.ConfigNumber)
		h.excluded = h.excluded[:len(h.excluded)-1]
		h.last.Type = caller.NotReady
	case "holder_fenced":
		e.renewHolder(x.holderWallet)
		if x.reserved {
			x.reserved = false
			x.reservation.Cancel()
		}
		h.excluded = h.excluded[:len(h.excluded)-1]
		h.last.Type = caller.NotReady
	case "leaving":
		e.pool.UpdateLoad(peer.LoadReport{Target: t.target.Name, Leaving: true}, e.clock.Now())
	}
}

// classify returns whether a failed try ran, and the error type and HTTP status
// for the caller.
func classify(err error) (peer.Execution, caller.ErrorType, int) {
	var refused *RefusedError
	var dial *peer.NotDeliveredError
	var incomplete *IncompleteError
	switch {
	case errors.As(err, &refused) && refused.Refusal.Execution == peer.ExecutionNotRun:
		return peer.ExecutionNotRun, caller.Overloaded, http.StatusServiceUnavailable
	case errors.As(err, &dial):
		return peer.ExecutionNotRun, caller.NoTarget, http.StatusServiceUnavailable
	case errors.As(err, &incomplete):
		return incomplete.Execution, caller.TargetFailed, http.StatusBadGateway
	default:
		return peer.ExecutionUnknown, caller.OutcomeUnknown, http.StatusBadGateway
	}
}

// waitForNumber waits until the entry has the configuration with the number or a
// newer one.
func (e *Entry) waitForNumber(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, configCatchUpTimeout)
	defer cancel()
	ticker := e.clock.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for e.follower.Number() < number {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}
