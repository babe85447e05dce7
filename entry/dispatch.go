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
	// silenceTimeout is how long an open stream may be silent. Agents send a
	// heartbeat every 500 ms.
	silenceTimeout = 2 * time.Second
	// maxTries bounds the dispatches of one request.
	maxTries = 6
	// catchUpTimeout is how long a request waits for the configuration that an
	// agent asks for.
	catchUpTimeout = 2 * time.Second
	// openTimeout bounds the connection to an agent.
	openTimeout = time.Second
)

// try is one dispatch of a request.
type try struct {
	attempt string
	target  config.Target
	version string
	tokens  int64
	started time.Time
	retry   bool // an earlier try may have run
}

// tries is the history of a request's dispatches.
type tries struct {
	exclude   []string
	oldOnly   bool           // retries go to the old version of a move
	execution peer.Execution // what is known of the earlier tries together
	last      *caller.Error
}

// dispatch sends the request to targets until one starts to answer. A request
// is sent again only if the earlier try is proved not to have run, or if the
// request is repeatable.
func (e *Entry) dispatch(ctx context.Context, x *exchange) (*answer, *caller.Error) {
	history := tries{execution: peer.NotRun}
	e.retries.RecordRequest(x.started)
	for n := range maxTries {
		if n > 0 && !e.mayRetry(x, &history) {
			break
		}
		if refusal := e.reserveAgain(ctx, x); refusal != nil {
			history.last = refusal
			break
		}
		t, refusal := e.choose(x, &history)
		if refusal != nil {
			if history.last == nil {
				history.last = refusal
			}
			break
		}
		a, err := e.send(ctx, x, t)
		if err == nil {
			return a, nil
		}
		e.endTry(x, t, err)
		e.noteFailure(ctx, x, t, err, &history)
		if history.execution != peer.NotRun && !x.cost.repeatable {
			break
		}
	}
	last := history.last
	if history.execution != peer.NotRun {
		return nil, caller.NewFailure(http.StatusBadGateway, failureType(history.execution), history.execution, "%s", last.Message)
	}
	return nil, last
}

func failureType(execution peer.Execution) caller.ErrorType {
	if execution == peer.Unknown {
		return caller.OutcomeUnknown
	}
	return caller.TargetFailed
}

// mayRetry takes from the retry budget. A refusal because of an older
// configuration costs nothing: the request has not reached admission.
func (e *Entry) mayRetry(x *exchange, h *tries) bool {
	if !x.deadline.After(e.clock.Now()) {
		return false
	}
	if h.last != nil && h.last.Type == caller.NotReady {
		return true
	}
	return e.retries.AllowRetry(e.clock.Now())
}

func (e *Entry) choose(x *exchange, h *tries) (try, *caller.Error) {
	x.document = e.follower.Current()
	now := e.clock.Now()
	version := e.moves.version(x.document, x.cost.subject, h.oldOnly, now)
	tokens := x.cost.promptTokens + x.cost.maxTokens
	request := targetset.Request{Subject: x.cost.subject, Version: version, ReservedTokens: tokens, Exclude: h.exclude}
	if chat, ok := x.request.(*caller.ChatRequest); ok {
		request.PrefixHashes = targetset.PrefixHashes(chat.Prompt)
	}
	choice, err := e.pool.Choose(request, now, rand.New(random{}))
	if err != nil {
		refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.NoTarget, "%v", err)
		refusal.RetryAfter = time.Second
		return try{}, refusal
	}
	return try{attempt: newAttempt(), target: choice.Target, version: version, tokens: tokens, started: now, retry: h.oldOnly}, nil
}

// send dispatches one try and waits until the agent refuses it or the answer
// starts.
func (e *Entry) send(ctx context.Context, x *exchange, t try) (*answer, error) {
	e.pool.Begin(t.target.Name, t.tokens)
	open, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := e.endpoint.Open(open, t.target.AgentAddr)
	if err != nil {
		return nil, err
	}
	if err := s.Send(e.message(x, t)); err != nil {
		s.Abort()
		return nil, err
	}
	e.events.Record(timeline.Event{Kind: "dispatched", RequestID: x.envelope.RequestID, Workspace: x.key.Workspace,
		Target: t.target.Name, ConfigNumber: x.document.Number, Detail: t.attempt})
	a := newAnswer(e, x, t, s)
	if err := a.start(); err != nil {
		_ = a.s.CloseSend() // delivers the acknowledgement of a final message
		a.s.Abort()
		return nil, err
	}
	return a, nil
}

func (e *Entry) message(x *exchange, t try) peer.Dispatch {
	d := peer.Dispatch{
		RequestID: x.envelope.RequestID, Attempt: t.attempt, Identity: x.identity,
		Workspace: x.key.Workspace, Budget: x.key.Budget, Holder: x.grants.holder,
		ConfigNumber: x.document.Number, Target: t.target.Name, Version: t.version,
		Route: x.cost.route, Repeatable: x.cost.repeatable, Priority: x.workspace.Priority,
		Deadline: x.deadline, Reserved: x.cost.reserved,
		PromptPrice: x.cost.promptPrice, CompletionPrice: x.cost.completionPrice,
		PromptTokens: x.cost.promptTokens, MaxTokens: x.cost.maxTokens,
		Body: x.envelope.Body, Credit: int64(e.settings.Entry.StreamWindowBytes),
		Clock: e.events.Clock().Now(),
	}
	if call, ok := x.request.(*caller.ServiceRequest); ok {
		d.Method, d.Path = call.Method, call.Path
	}
	return d
}

// endTry tells the pool and the moves how a try ended that gave no answer.
func (e *Entry) endTry(x *exchange, t try, err error) {
	now := e.clock.Now()
	outcome := targetset.Failed
	var refused *RefusedError
	if errors.As(err, &refused) {
		outcome = targetset.Neutral
		e.pool.UpdateLoad(refused.Refusal.Load, now)
	}
	e.pool.End(t.target.Name, t.tokens, outcome, now.Sub(t.started), now)
	// An agent that can't be reached says nothing about the version.
	if execution, _, _ := classify(err); execution != peer.NotRun {
		e.observeTry(x, t, now.Sub(t.started), true, now)
	}
}

// noteFailure records what a failed try says about whether the request ran.
func (e *Entry) noteFailure(ctx context.Context, x *exchange, t try, err error, h *tries) {
	h.exclude = append(slices.Clip(h.exclude), t.target.Name)
	execution, kind, status := classify(err)
	if execution != peer.NotRun {
		h.execution = execution
		h.oldOnly = true
		e.held.hold(x, t, e.clock.Now())
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
		h.exclude = h.exclude[:len(h.exclude)-1]
		h.last.Type = caller.NotReady
	case "holder_fenced":
		e.renewHolder(x.grants)
		if x.reserved {
			x.reserved = false
			x.reservation.Cancel()
		}
		h.exclude = h.exclude[:len(h.exclude)-1]
		h.last.Type = caller.NotReady
	case "leaving":
		e.pool.UpdateLoad(peer.LoadReport{Target: t.target.Name, Leaving: true}, e.clock.Now())
	}
}

// classify says what an error of a try means for the caller.
func classify(err error) (peer.Execution, caller.ErrorType, int) {
	var refused *RefusedError
	var dial *peer.DialError
	var incomplete *IncompleteError
	switch {
	case errors.As(err, &refused) && refused.Refusal.Execution == peer.NotRun:
		return peer.NotRun, caller.Overloaded, http.StatusServiceUnavailable
	case errors.As(err, &dial):
		return peer.NotRun, caller.NoTarget, http.StatusServiceUnavailable
	case errors.As(err, &incomplete):
		return incomplete.Execution, caller.TargetFailed, http.StatusBadGateway
	default:
		return peer.Unknown, caller.OutcomeUnknown, http.StatusBadGateway
	}
}

// waitForNumber waits until the entry has the configuration with the number.
func (e *Entry) waitForNumber(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
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
