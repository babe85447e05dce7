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

// serve answers one stream of a peer. The first message says what it is for.
func (a *Agent) serve(ctx context.Context, s *peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	switch m := first.(type) {
	case peer.Dispatch:
		a.events.Clock().Observe(m.Clock)
		a.serveDispatch(ctx, s, m)
	case peer.Resume:
		a.serveResume(ctx, s, m)
	case peer.Hello:
		a.events.Clock().Observe(m.Clock)
		a.follower.Hint(m.ConfigNumber, s.RemoteAddr())
		a.serveLoad(ctx, s, m.Holder)
	case peer.Cancel:
		a.cancelAttempt(m.Attempt)
		_ = s.CloseSend()
	case peer.UsageAck:
		a.acknowledgeUsage(m.Attempts)
		_ = s.CloseSend()
	case peer.TakeUsage:
		a.answer(s, peer.ReportUsage{Usages: a.takeUsage(m.OlderThan)})
	case peer.FenceHolder:
		a.answer(s, a.fence(ctx, m.Holder))
	case peer.ResolveAttempt:
		a.answer(s, a.resolve(m))
	case peer.ConfigNumber:
		a.follower.Hint(m.Number, s.RemoteAddr())
		_ = s.CloseSend()
	case peer.FetchConfig:
		a.answer(s, a.follower.Answer())
	case peer.FetchEvents:
		a.answer(s, peer.Events{Events: a.events.Events(m.Filter)})
	case peer.StatusRequest:
		a.answer(s, peer.Status{
			Process: a.settings.Process, Role: peer.AgentRole, ConfigNumber: a.follower.Number(),
			Started: a.started, Address: a.endpoint.Addr(), Holders: a.holders(),
		})
	default:
		a.log.WithError(&UnexpectedMessageError{Message: m}).Warn("stream refused")
		s.Abort()
	}
}

func (a *Agent) answer(s *peer.Stream, m peer.Message) {
	if err := s.Send(m); err != nil {
		s.Abort()
		return
	}
	_ = s.CloseSend()
}

func (a *Agent) serveDispatch(ctx context.Context, s *peer.Stream, d peer.Dispatch) {
	at, refusal := a.accept(d)
	if refusal != nil {
		a.count(`briarreach_agent_refusals_total{reason="` + refusal.Reason + `"}`)
		a.events.Record(timeline.Event{Kind: "dispatch_refused", Request: d.RequestID, Workspace: d.Workspace,
			Target: d.Target, ConfigNumber: a.follower.Number(), Detail: refusal.Reason})
		a.answer(s, *refusal)
		return
	}
	a.count("briarreach_agent_dispatches_total")
	a.events.Record(timeline.Event{Kind: "dispatch_accepted", Request: d.RequestID, Workspace: d.Workspace,
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
		decision = a.admission.Offer(admission.Ticket{
			Attempt: d.Attempt, Priority: d.Priority, Deadline: d.Deadline, Tokens: d.PromptTokens + d.MaxTokens,
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
	at := newAttempt(a.context, d, a.settings.Agent.StreamWindow, a.buffers, now)
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
	var seen *claim.SeenError
	var stale *claim.StaleError
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
	case document == nil || !a.follower.FencesKnown():
		return "not_ready"
	case refusedBefore:
		return "attempt_refused"
	case a.follower.Fenced(d.Holder):
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
	case a.buffers.Used()+int64(a.settings.Agent.StreamWindow) > a.buffers.Max():
		return "buffers_full"
	default:
		return ""
	}
}

// admit lets a queued attempt run. The caller holds the lock.
func (a *Agent) admit(t admission.Ticket) {
	if at := a.attempts[t.Attempt]; at != nil {
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
			a.cancelCause(at, &EntryGoneError{})
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
		a.cancelCause(at, &CallerGoneError{})
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

// serveLoad pushes the target's load to an entry: at once, when it changes
// and once per loadInterval.
func (a *Agent) serveLoad(ctx context.Context, s *peer.Stream, holder string) {
	changed := make(chan struct{}, 1)
	a.mu.Lock()
	a.subscribers[s] = subscriber{holder: holder, changed: changed}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.subscribers, s)
		a.mu.Unlock()
		s.Abort()
	}()
	ticker := a.clock.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		if err := s.Send(peer.Load{Report: a.load(), Clock: a.events.Clock().Now()}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.Context().Done():
			return
		case <-changed:
		case <-ticker.Chan():
		}
	}
}

// holders returns the holders that have an open stream to the agent.
func (a *Agent) holders() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]string, 0, len(a.subscribers))
	for _, sub := range a.subscribers {
		out = append(out, sub.holder)
	}
	return out
}

func (a *Agent) notifyLoad() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, sub := range a.subscribers {
		signal(sub.changed)
	}
}

func (a *Agent) load() peer.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked()
}

func (a *Agent) loadLocked() peer.LoadReport {
	document := a.follower.Current()
	registered, _ := a.registered(document)
	l := a.admission.Load()
	report := peer.LoadReport{
		Target: a.settings.Agent.Target, Version: registered.Version, Running: l.Running, Queued: l.Queued,
		HeldTokens: l.HeldTokens, MaxConcurrent: l.Limit, MaxTokens: registered.MaxTokens,
		Leaving: a.leaving || registered.Draining,
	}
	if document != nil {
		report.ConfigNumber = document.Number
	}
	return report
}

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
	a.follower.AddFenced(holder)
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
