package agent

import (
	"context"

	"briarreach/peer"
)

// serve handles one stream from a peer. The first message determines its
// purpose.
func (a *Agent) serve(ctx context.Context, s *peer.Stream) {
	firstMessage, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	if s.RemoteRole() != peer.EntryRole && !allowedFromAnyPeer(firstMessage) {
		a.log.WithError(&UnexpectedMessageError{Message: firstMessage}).WithField("peer", s.RemoteProcess()).Warn("rejected a message that only an entry may send")
		s.Abort()
		return
	}
	switch m := firstMessage.(type) {
	case peer.Dispatch:
		a.events.Clock().Observe(m.Timestamp)
		a.serveDispatch(ctx, s, m)
	case peer.Resume:
		a.serveResume(ctx, s, m)
	case peer.Hello:
		a.events.Clock().Observe(m.Timestamp)
		a.follower.Hint(m.ConfigNumber, s.RemoteAddr())
		a.serveLoad(ctx, s, m.Holder)
	case peer.Cancel:
		a.cancelAttempt(m.AttemptID)
		_ = s.CloseSend()
	case peer.UsageAck:
		a.acknowledgeUsage(m.AttemptIDs)
		_ = s.CloseSend()
	case peer.FetchUsage:
		a.reply(s, peer.UsageReport{Usages: a.unbilledUsage(m.OlderThan)})
	case peer.FenceHolder:
		a.reply(s, a.fenceHolder(ctx, m.Holder))
	case peer.ResolveAttempt:
		a.reply(s, a.resolveAttempt(m))
	case peer.ConfigNumber:
		a.follower.Hint(m.Number, s.RemoteAddr())
		_ = s.CloseSend()
	case peer.FetchConfig:
		a.reply(s, a.follower.FetchConfigReply())
	case peer.FetchEvents:
		a.reply(s, peer.Events{Events: a.events.Events(m.Filter)})
	case peer.StatusRequest:
		a.reply(s, peer.Status{
			Process: a.settings.Process, Role: peer.AgentRole, ConfigNumber: a.follower.Number(),
			StartedAt: a.startedAt, Address: a.endpoint.Addr(), Holders: a.connectedHolders(),
		})
	default:
		a.log.WithError(&UnexpectedMessageError{Message: m}).Warn("rejected a stream with an unknown first message")
		s.Abort()
	}
}

// allowedFromAnyPeer reports whether processes other than entries may send the
// message, too.
func allowedFromAnyPeer(m peer.Message) bool {
	switch m.(type) {
	case peer.FetchConfig, peer.ConfigNumber, peer.FetchEvents, peer.StatusRequest:
		return true
	default:
		return false
	}
}

func (a *Agent) reply(s *peer.Stream, m peer.Message) {
	if err := s.Send(m); err != nil {
		s.Abort()
		return
	}
	_ = s.CloseSend()
}

// serveLoad sends load reports to an entry: immediately, on each change and at
// every loadReportInterval.
func (a *Agent) serveLoad(ctx context.Context, s *peer.Stream, holder string) {
	changed := make(chan struct{}, 1)
	a.mu.Lock()
	a.subscribers[s] = subscriber{holder: holder, loadChanged: changed}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.subscribers, s)
		a.mu.Unlock()
		s.Abort()
	}()
	ticker := a.clock.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		if err := s.Send(peer.Load{Report: a.loadReport(), Timestamp: a.events.Clock().Now()}); err != nil {
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

// connectedHolders returns the holders of the entries that subscribe to load
// reports.
func (a *Agent) connectedHolders() []string {
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
		signal(sub.loadChanged)
	}
}

func (a *Agent) loadReport() peer.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadReportLocked()
}

func (a *Agent) loadReportLocked() peer.LoadReport {
	document := a.follower.Current()
	registered, _ := a.registeredTarget(document)
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
