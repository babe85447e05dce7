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

func (a *Agent) serveDispatch(ctx context.Context, s *peer.Stream, d peer.Dispatch) {
	at, refusal := a.accept(d)
	if refusal != nil {
		a.count(`briarreach_agent_refusals_total{reason="` + refusal.Reason + `"}`)
		a.events.Record(timeline.Event{Kind: "dispatch_refused", RequestID: d.RequestID, Workspace: d.Workspace,
			Target: d.Target, ConfigNumber: a.follower.Number(), Detail: refusal.Reason})
		a.answer(s, *refusal)
		return
	}
	a.count("briarreach_agent_dispatches_total")
	a.events.Record(timeline.Event{Kind: "dispatch_accepted", RequestID: d.RequestID, Workspace: d.Workspace,
		Target: d.Target, ConfigNumber: d.ConfigNumber, Detail: d.Attempt})
	a.carry(s, at)
}

func (a *Agent) refusal(d peer.Dispatch, reason string, execution peer.Execution) *peer.Refusal {
	return &peer.Refusal{Attempt: d.Attempt, Reason: reason, Execution: execution,
		ConfigNumber: a.follower.Number(), Load: a.loadLocked()}
}

// accept decides whether a dispatch may run. The checks and the entry in the
// table of attempts are one step under the lock, so that a holder that is
// fenced afterwards has its attempt in the table. The refusal of an attempt
// that may not be repeated is permanent.
func (a *Agent) accept(d peer.Dispatch) (*attempt, *peer.Refusal) {
	document := a.follower.Current()
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !d.Repeatable {
		if refusal := a.begin(d, now); refusal != nil {
			return nil, refusal
		}
	}
	_, finished := a.finished[d.Attempt]
	if _, seen := a.attempts[d.Attempt]; seen || finished {
		return nil, a.refusal(d, "duplicate_attempt", peer.Unknown)
	}
	reason := a.check(d, document, now)
	var decision admission.Decision
	if reason == "" {
		registered, _ := a.registered(document)
		a.admission.SetCapacity(admission.Capacity{MaxConcurrent: registered.MaxConcurrent, MaxTokens: registered.MaxTokens})
		decision = a.admission.Offer(admission.Request{
			AttemptID: d.Attempt, Priority: d.Priority, Deadline: d.Deadline, ReservedTokens: d.PromptTokens + d.MaxTokens,
		}, now)
		if refused, ok := decision.(admission.Refused); ok {
			reason = string(refused.Reason)
		}
	}
	if reason != "" {
		if !d.Repeatable {
			a.calls.Refuse(now, d.Attempt)
		}
		return nil, a.refusal(d, reason, peer.NotRun)
	}
	at := newAttempt(a.context, d, a.settings.Agent.StreamWindowBytes, a.buffers, now)
	a.attempts[d.Attempt] = at
	if _, ok := decision.(admission.Admitted); ok {
		close(at.admitted)
	}
	a.running.Add(1)
	go func() { a.run(at) }()
	return at, nil
}

// begin enters an attempt that may not be repeated in the agent's memory.
func (a *Agent) begin(d peer.Dispatch, now time.Time) *peer.Refusal {
	err := a.calls.Begin(now, d.Attempt)
	if err == nil {
		return nil
	}
	var seen *claim.DuplicateAttemptError
	var stale *claim.StaleAttemptError
	if errors.As(err, &seen) && seen.State == claim.AttemptNeverSeen || errors.As(err, &stale) && stale.State == claim.AttemptNeverSeen {
		return a.refusal(d, "attempt_refused", peer.NotRun)
	}
	return a.refusal(d, "duplicate_attempt", peer.Unknown)
}

// check returns the reason for which a dispatch does not run, or "".
func (a *Agent) check(d peer.Dispatch, document *config.Document, now time.Time) string {
	registered, known := a.registered(document)
	_, refusedBefore := a.refused[d.Attempt]
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
	default:
		return ""
	}
}

// admit lets a queued attempt run. The caller holds the lock.
func (a *Agent) admit(t admission.Request) {
	if at := a.attempts[t.AttemptID]; at != nil {
		close(at.admitted)
	}
}

func (a *Agent) serveResume(ctx context.Context, s *peer.Stream, m peer.Resume) {
	a.mu.Lock()
	at := a.attempts[m.Attempt]
	a.mu.Unlock()
	if at == nil {
		a.answer(s, peer.Refusal{Attempt: m.Attempt, Reason: "unknown_attempt", Execution: peer.Unknown})
		return
	}
	at.mu.Lock()
	err := at.sender.Resume(m.Offset, m.Offset+m.Credit)
	at.mu.Unlock()
	if err != nil {
		a.answer(s, peer.Refusal{Attempt: m.Attempt, Reason: "tail_lost", Execution: peer.Unknown})
		return
	}
	a.count("briarreach_agent_resumes_total")
	a.carry(s, at)
}

// carry sends the answer of an attempt on a stream and takes the entry's
// credit until the answer is consumed or another stream takes over.
func (a *Agent) carry(s *peer.Stream, at *attempt) {
	at.attach(s)
	a.flush(at)
	for {
		m, err := s.Receive()
		if err != nil {
			a.detached(s, at)
			return
		}
		switch m := m.(type) {
		case peer.Credit:
			if err := at.acknowledge(m, a.clock.Now()); err != nil {
				a.log.WithError(err).Warn("credit refused")
				s.Abort()
				return
			}
			a.flush(at)
		case peer.Cancel:
			a.cancelAttempt(at.dispatch.Attempt)
		case peer.Heartbeat:
			a.follower.Hint(m.ConfigNumber, s.RemoteAddr())
		default:
			s.Abort()
			return
		}
	}
}

// detached cancels the attempt if no other stream takes it over in time. A
// call to a service runs to its end: its outcome must be known.
func (a *Agent) detached(s *peer.Stream, at *attempt) {
	if at.isFinished() || at.dispatch.Method != "" {
		return
	}
	timer := a.clock.NewTimer(resumeTimeout)
	defer timer.Stop()
	select {
	case <-at.finished:
	case <-a.context.Done():
	case <-timer.Chan():
		at.mu.Lock()
		still := at.attached == s || at.attached == nil
		at.mu.Unlock()
		if still {
			a.cancelCause(at, &EntryDisconnectedError{})
		}
	}
}

// flush sends what the attempt has for the entry. One goroutine at a time
// sends; a call meanwhile returns at once, since the sender looks again. The
// answer needs no goroutine of its own, which saves a stack for each stalled
// reader.
func (a *Agent) flush(at *attempt) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.flushing {
		return
	}
	at.flushing = true
	defer func() { at.flushing = false }()
	for {
		s, m, last := at.next()
		if m == nil {
			return
		}
		at.sent = a.clock.Now()
		at.mu.Unlock()
		err := s.Send(a.stamped(m))
		if err == nil && last {
			err = s.CloseSend()
		}
		at.mu.Lock()
		if err != nil && at.attached == s {
			s.Abort()
			at.attached = nil // the entry resumes on another stream
		}
	}
}

// stamped sets what a message says of the agent at the time of sending.
func (a *Agent) stamped(m peer.Message) peer.Message {
	switch m := m.(type) {
	case peer.Final:
		m.Clock = a.events.Clock().Now()
		return m
	case peer.Heartbeat:
		return peer.Heartbeat{ConfigNumber: a.follower.Number(), Clock: a.events.Clock().Now()}
	default:
		return m
	}
}

// sendHeartbeats keeps silent streams alive.
func (a *Agent) sendHeartbeats(now time.Time) {
	a.mu.Lock()
	var silent []*attempt
	for _, at := range a.attempts {
		if at.needsHeartbeat(now) {
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
		a.cancelCause(at, &CallerDisconnectedError{})
	}
}

// cancelCause stops a model request. A call to a service is not stopped: the
// target may have run it already.
func (a *Agent) cancelCause(at *attempt, cause error) {
	if at.dispatch.Method != "" || at.isFinished() {
		return
	}
	a.log.WithField("request_id", at.dispatch.RequestID).WithError(cause).Info("attempt cancelled")
	at.cancel()
}
