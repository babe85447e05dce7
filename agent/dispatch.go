package agent

import (
	"context"
	"errors"
	"time"

	"briarreach/admission"
	"briarreach/claim"
	"briarreach/config"
	"briarreach/peer"
	"briarreach/timeline"
)

// bodyCopies is the number of copies of a body while its request is sent to the target:
// as received, its fields, the changed body and the HTTP client's.
const bodyCopies = 4

func (a *Agent) serveDispatch(ctx context.Context, s *peer.Stream, d peer.Dispatch) {
	at, refusal := a.accept(d)
	if refusal != nil {
		a.incrementCounter(`briarreach_agent_refusals_total{reason="` + refusal.Reason + `"}`)
		a.events.Record(timeline.Event{Kind: "dispatch_refused", RequestID: d.RequestID, Workspace: d.Workspace,
			Target: d.Target, ConfigNumber: a.follower.Number(), Detail: refusal.Reason})
		a.reply(s, *refusal)
		return
	}
	a.incrementCounter("briarreach_agent_dispatches_total")
	a.events.Record(timeline.Event{Kind: "dispatch_accepted", RequestID: d.RequestID, Workspace: d.Workspace,
		Target: d.Target, ConfigNumber: d.ConfigNumber, Detail: d.AttemptID})
	a.serveAnswer(s, at)
}

func (a *Agent) newRefusal(d peer.Dispatch, reason string, execution peer.Execution) *peer.Refusal {
	return &peer.Refusal{AttemptID: d.AttemptID, Reason: reason, Execution: execution,
		ConfigNumber: a.follower.Number(), Load: a.loadReportLocked()}
}

// accept decides whether a dispatch may run. It checks the dispatch and adds the
// attempt to a.attempts under one lock, so that fencing a holder afterwards finds
// its attempts. The refusal of an attempt that may not be repeated is permanent.
func (a *Agent) accept(d peer.Dispatch) (*attempt, *peer.Refusal) {
	document := a.follower.Current()
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !d.Repeatable {
		if refusal := a.registerNonRepeatable(d, now); refusal != nil {
			return nil, refusal
		}
	}
	_, finished := a.releasedAttempts[d.AttemptID]
	if _, seen := a.attempts[d.AttemptID]; seen || finished {
		return nil, a.newRefusal(d, "duplicate_attempt", peer.ExecutionUnknown)
	}
	reason := a.refusalReason(d, document, now)
	var decision admission.Decision
	if reason == "" {
		registered, _ := a.registeredTarget(document)
		a.admission.SetCapacity(admission.Capacity{MaxConcurrent: registered.MaxConcurrent, MaxTokens: registered.MaxTokens})
		decision = a.admission.Offer(admission.Request{
			AttemptID: d.AttemptID, Priority: d.Priority, Deadline: d.Deadline, ReservedTokens: d.PromptTokens + d.MaxTokens,
		}, now)
		if refused, ok := decision.(admission.Refused); ok {
			reason = string(refused.Reason)
		}
	}
	if reason != "" {
		if !d.Repeatable {
			a.nonRepeatable.Refuse(now, d.AttemptID)
		}
		return nil, a.newRefusal(d, reason, peer.ExecutionNotRun)
	}
	body := a.bodies.Open(now, nil)
	// refusalReason has seen the room; only accept takes any, under the agent's lock.
	_ = body.Reserve(bodyCopies*int64(len(d.Body)), now)
	at := newAttempt(a.ctx, d, body, a.settings.Agent.StreamWindowBytes, a.buffers, now)
	a.attempts[d.AttemptID] = at
	if _, ok := decision.(admission.Admitted); ok {
		close(at.admitted)
	}
	a.running.Add(1)
	go func() { a.run(at) }()
	return at, nil
}

// registerNonRepeatable records an attempt that may not be repeated. It returns a
// refusal if the attempt was seen before or is too old to tell.
func (a *Agent) registerNonRepeatable(d peer.Dispatch, now time.Time) *peer.Refusal {
	err := a.nonRepeatable.Begin(now, d.AttemptID)
	if err == nil {
		return nil
	}
	var seen *claim.DuplicateAttemptError
	var stale *claim.StaleAttemptError
	if errors.As(err, &seen) && seen.State == claim.AttemptRefused || errors.As(err, &stale) && stale.State == claim.AttemptRefused {
		return a.newRefusal(d, "attempt_refused", peer.ExecutionNotRun)
	}
	return a.newRefusal(d, "duplicate_attempt", peer.ExecutionUnknown)
}

// refusalReason returns the reason to refuse a dispatch, or "".
func (a *Agent) refusalReason(d peer.Dispatch, document *config.Document, now time.Time) string {
	registered, known := a.registeredTarget(document)
	_, refusedBefore := a.refusedAttempts[d.AttemptID]
	switch {
	case document == nil || !a.follower.FencedHoldersLoaded():
		return "not_ready"
	case refusedBefore:
		return "attempt_refused"
	case a.follower.IsFenced(d.Holder):
		return "holder_fenced"
	case d.ConfigNumber < document.Number:
		return "stale_config"
	case !known || d.Target != registered.Name:
		return "unknown_target"
	case d.Version != registered.Version:
		return "wrong_version"
	case a.leaving || registered.Draining:
		return "leaving"
	case len(a.unbilled) >= maxUnbilled:
		return "usage_backlog"
	case !d.Deadline.After(now):
		return "deadline_passed"
	case a.buffers.Used()+int64(a.settings.Agent.StreamWindowBytes) > a.buffers.Limit():
		return "buffers_full"
	case a.bodies.Held()+bodyCopies*int64(len(d.Body)) > a.bodies.Limit():
		return "memory_full"
	default:
		return ""
	}
}

// startAdmitted starts a queued attempt. The caller holds the lock.
func (a *Agent) startAdmitted(admitted admission.Request) {
	if at := a.attempts[admitted.AttemptID]; at != nil {
		close(at.admitted)
	}
}

func (a *Agent) serveResume(ctx context.Context, s *peer.Stream, m peer.Resume) {
	a.mu.Lock()
	at := a.attempts[m.AttemptID]
	a.mu.Unlock()
	if at == nil {
		a.reply(s, peer.Refusal{AttemptID: m.AttemptID, Reason: "unknown_attempt", Execution: peer.ExecutionUnknown})
		return
	}
	at.mu.Lock()
	err := at.sender.Resume(m.Offset, m.Offset+m.CreditBytes)
	at.mu.Unlock()
	if err != nil {
		a.reply(s, peer.Refusal{AttemptID: m.AttemptID, Reason: "tail_lost", Execution: peer.ExecutionUnknown})
		return
	}
	a.incrementCounter("briarreach_agent_resumes_total")
	a.serveAnswer(s, at)
}

// serveAnswer sends the answer of an attempt on a stream and processes the
// entry's credit until the stream ends or another stream replaces it.
func (a *Agent) serveAnswer(s *peer.Stream, at *attempt) {
	at.attach(s)
	a.flush(at)
	for {
		m, err := s.Receive()
		if err != nil {
			a.cancelUnlessResumed(s, at)
			return
		}
		switch m := m.(type) {
		case peer.Credit:
			if err := at.acknowledge(m, a.clock.Now()); err != nil {
				a.log.WithError(err).Warn("rejected an invalid credit")
				s.Abort()
				return
			}
			a.flush(at)
		case peer.Cancel:
			a.cancelAttempt(at.dispatch.AttemptID)
		case peer.Heartbeat:
			a.follower.Hint(m.ConfigNumber, s.RemoteAddr())
		default:
			s.Abort()
			return
		}
	}
}

// cancelUnlessResumed cancels the attempt if no entry resumes it within
// resumeTimeout. A call to a service is not cancelled: its outcome must be known.
func (a *Agent) cancelUnlessResumed(s *peer.Stream, at *attempt) {
	if at.isFinished() || at.dispatch.Method != "" {
		return
	}
	timer := a.clock.NewTimer(resumeTimeout)
	defer timer.Stop()
	select {
	case <-at.finished:
	case <-a.ctx.Done():
	case <-timer.Chan():
		at.mu.Lock()
		notResumed := at.stream == s || at.stream == nil
		at.mu.Unlock()
		if notResumed {
			a.cancelWithCause(at, &EntryDisconnectedError{})
		}
	}
}

// flush sends the pending messages of the attempt. Only one goroutine sends at a
// time; concurrent calls return at once, since the sender checks for new messages
// before it stops. The answer needs no goroutine of its own, which saves a stack
// for each stalled reader.
func (a *Agent) flush(at *attempt) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.flushing {
		return
	}
	at.flushing = true
	defer func() { at.flushing = false }()
	for {
		s, m, isLast := at.nextMessage()
		if m == nil {
			return
		}
		at.lastSentAt = a.clock.Now()
		at.mu.Unlock()
		err := s.Send(a.withSendTime(m))
		if err == nil && isLast {
			err = s.CloseSend()
		}
		at.mu.Lock()
		if err != nil && at.stream == s {
			s.Abort()
			at.stream = nil // the entry resumes on another stream
		}
	}
}

// withSendTime sets the fields of a message that depend on the time of sending.
func (a *Agent) withSendTime(m peer.Message) peer.Message {
	switch m := m.(type) {
	case peer.Final:
		m.Timestamp = a.events.Clock().Now()
		return m
	case peer.Heartbeat:
		return peer.Heartbeat{ConfigNumber: a.follower.Number(), Timestamp: a.events.Clock().Now()}
	default:
		return m
	}
}

// sendHeartbeats sends heartbeats on idle streams.
func (a *Agent) sendHeartbeats(now time.Time) {
	a.mu.Lock()
	var silent []*attempt
	for _, at := range a.attempts {
		if at.markHeartbeatDue(now) {
			silent = append(silent, at)
		}
	}
	a.mu.Unlock()
	for _, at := range silent {
		go func() { a.flush(at) }()
	}
}

func (a *Agent) cancelAttempt(id string) {
	a.mu.Lock()
	at := a.attempts[id]
	a.mu.Unlock()
	if at != nil {
		a.cancelWithCause(at, &CallerDisconnectedError{})
	}
}

// cancelWithCause cancels a model request and logs the cause. A call to a service
// is not cancelled: the target may have run it already.
func (a *Agent) cancelWithCause(at *attempt, cause error) {
	if at.dispatch.Method != "" || at.isFinished() {
		return
	}
	a.log.WithField("request_id", at.dispatch.RequestID).WithError(cause).Info("attempt cancelled")
	at.cancel()
}
