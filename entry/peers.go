package entry

import (
	"context"

	"briarreach/peer"
)

// servePeer answers one stream of another process of the fleet.
func (e *Entry) servePeer(_ context.Context, s *peer.Stream) {
	m, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	switch m := m.(type) {
	case peer.FetchConfig:
		e.answerPeer(s, e.follower.Answer())
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
		e.answerPeer(s, peer.Recalled{Amount: e.recall(m)})
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

// recall gives idle amounts of a budget back for another entry that is short.
func (e *Entry) recall(m peer.Recall) int64 {
	j := e.journal.Load()
	if j == nil {
		return 0
	}
	var sum int64
	for _, record := range e.grants.Load().wallet.Recall(m.Budget, m.Amount, e.clock.Now()) {
		e.submit(j, record)
		if r, ok := amountOf(record); ok {
			sum += r
		}
	}
	return sum
}
