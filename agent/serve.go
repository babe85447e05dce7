package agent

import (
	"context"

	"briarreach/peer"
)

// serve answers one stream of a peer. The first message says what it is for.
func (a *Agent) serve(ctx context.Context, s *peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	if s.RemoteRole() != peer.EntryRole && !openToAll(first) {
		a.log.WithError(&UnexpectedMessageError{Message: first}).WithField("peer", s.RemoteProcess()).Warn("only an entry may send this")
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
		a.answer(s, a.follower.FetchConfigReply())
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

// openToAll reports whether processes other than entries may send the message too.
func openToAll(m peer.Message) bool {
	switch m.(type) {
	case peer.FetchConfig, peer.ConfigNumber, peer.FetchEvents, peer.StatusRequest:
		return true
	default:
		return false
	}
}

func (a *Agent) answer(s *peer.Stream, m peer.Message) {
	if err := s.Send(m); err != nil {
		s.Abort()
		return
	}
	_ = s.CloseSend()
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
