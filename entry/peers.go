package entry

import (
	"context"

	"briarreach/ledger"
	"briarreach/peer"
)

// servePeer handles one stream from another process of the fleet.
func (e *Entry) servePeer(ctx context.Context, s *peer.Stream) {
	m, err := s.Receive()
	if err != nil {
		s.Abort()
		return
	}
	switch m.(type) {
	case peer.MoveDigest, peer.Recall:
		if s.RemoteRole() != peer.EntryRole {
			e.log.WithError(&UnexpectedMessageError{Message: m}).WithField("peer", s.RemoteProcess()).Warn("rejected a message that only an entry may send")
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
			ConfigNumber: e.follower.Number(), StartedAt: e.startedAt, Address: e.endpoint.Addr()})
	case peer.MoveDigest:
		e.receiveDigest(m)
		_ = s.CloseSend()
	case peer.Recall:
		e.answerPeer(s, peer.RecallResult{Amount: e.returnIdleGrants(ctx, m)})
	default:
		e.log.WithError(&UnexpectedMessageError{Message: m}).Warn("rejected a stream with an unknown first message")
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

// returnIdleGrants returns idle amounts of a budget to the ledger for another
// entry that needs them. The result is the amount that the ledger accepted.
func (e *Entry) returnIdleGrants(ctx context.Context, m peer.Recall) int64 {
	j := e.journal.Load()
	if j == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var total int64
	for _, record := range e.holderWallet.Load().wallet.ReturnUpTo(m.Budget, m.Amount, e.clock.Now()) {
		result, err := j.SubmitNow(ctx, m.Budget, record)
		if returned, ok := result.(ledger.Returned); ok && err == nil {
			total += returned.Amount
		}
	}
	return total
}
