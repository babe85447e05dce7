package entry

import (
	"context"

	"briarreach/ledger"
	"briarreach/peer"
)

// servePeer answers one stream of another process of the fleet.
func (e *Entry) servePeer(ctx context.Context, s *peer.Stream) {
	m, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	switch m.(type) {
	case peer.Evidence, peer.Recall:
		if s.RemoteRole() != peer.EntryRole {
			e.log.WithError(&UnexpectedMessageError{Message: m}).WithField("peer", s.RemoteProcess()).Warn("only an entry may send this")
			s.Abort()
			return
		}
	}
	switch m := m.(type) {
	case peer.FetchConfig:
		e.answerPeer(s, e.follower.FetchConfigReply())
	case peer.ConfigNumber:
		e.follower.Hint(m.Number, s.RemoteAddr())
		_ = s.CloseSend()
	case peer.FetchEvents:
		e.answerPeer(s, peer.Events{Events: e.events.Events(m.Filter)})
	case peer.StatusRequest:
		e.answerPeer(s, peer.Status{Process: e.settings.Process, Role: peer.EntryRole, Holder: e.Holder(),
			ConfigNumber: e.follower.Number(), Started: e.started, Address: e.endpoint.Addr()})
	case peer.Evidence:
		e.hearEvidence(m)
		_ = s.CloseSend()
	case peer.Recall:
		e.answerPeer(s, peer.Recalled{Amount: e.recall(ctx, m)})
	default:
		e.log.WithError(&UnexpectedMessageError{Message: m}).Warn("stream refused")
		s.Abort()
	}
}

func (e *Entry) answerPeer(s *peer.Stream, m peer.Message) {
	if err := s.Send(m); err != nil {
		s.Abort()
		return
	}
	_ = s.CloseSend()
}

// recall gives idle amounts of a budget back for another entry that is short,
// and returns what the ledger has taken back.
func (e *Entry) recall(ctx context.Context, m peer.Recall) int64 {
	j := e.journal.Load()
	if j == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var sum int64
	for _, record := range e.grants.Load().wallet.Recall(m.Budget, m.Amount, e.clock.Now()) {
		result, err := j.SubmitNow(ctx, m.Budget, record)
		if returned, ok := result.(ledger.Returned); ok && err == nil {
			sum += returned.Amount
		}
	}
	return sum
}
