package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"briarreach/budget"
	"briarreach/ledger"
	"briarreach/peer"
)

// heldReservations keeps the reservations of tries that may have run although
// the entry got no usage for them. They stay reserved until the agent has said
// what became of the attempt: the bill for it is charged to this entry's grant.
type heldReservations struct {
	mu        sync.Mutex
	byAttempt map[string]heldReservation
}

type heldReservation struct {
	attempt     string
	reservation budget.Reservation
	identity    ledger.Identity
	budget      string
	agent       netip.AddrPort
	since       time.Time
	ended       time.Time // when the agent first said that the attempt had ended
}

func newHeldReservations() *heldReservations {
	return &heldReservations{byAttempt: map[string]heldReservation{}}
}

// hold takes the reservation away from the exchange. The number of held
// reservations is bounded by the budgets' grants, since each holds an amount.
func (h *heldReservations) hold(x *exchange, t try, now time.Time) {
	if !x.reserved {
		return
	}
	x.reserved = false
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byAttempt[t.attempt] = heldReservation{
		attempt: t.attempt, reservation: x.reservation, identity: x.identity,
		budget: x.key.Budget, agent: t.target.AgentAddr, since: now,
	}
}

func (h *heldReservations) olderThan(age time.Duration, now time.Time) []heldReservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldReservation
	for _, held := range h.byAttempt {
		if now.Sub(held.since) >= age {
			out = append(out, held)
		}
	}
	return out
}

func (h *heldReservations) ended(attempt string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.byAttempt[attempt]; ok {
		held.ended = at
		h.byAttempt[attempt] = held
	}
}

func (h *heldReservations) remove(attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byAttempt, attempt)
}

// settleOpen bills what was left unbilled and resolves held reservations.
func (e *Entry) settleOpen() {
	if e.journal.Load() == nil {
		return
	}
	unbilled := map[string]struct{}{}
	asked := map[netip.AddrPort]bool{}
	for _, agent := range e.agents.addresses() {
		usages, ok := e.takeUsage(agent)
		asked[agent] = ok
		for _, u := range usages {
			unbilled[u.Attempt] = struct{}{}
		}
	}
	for _, held := range e.held.olderThan(usageInterval, e.clock.Now()) {
		if _, waits := unbilled[held.attempt]; !waits {
			e.resolveHeld(held, asked)
		}
	}
}

// takeUsage bills the usage that an agent has kept for longer than
// usageInterval, whichever entry it belongs to.
func (e *Entry) takeUsage(agent netip.AddrPort) ([]peer.UnbilledUsage, bool) {
	ctx, cancel := context.WithTimeout(e.context, openTimeout)
	defer cancel()
	answer, err := e.endpoint.Call(ctx, agent, peer.TakeUsage{OlderThan: usageInterval})
	report, ok := answer.(peer.ReportUsage)
	if err != nil || !ok {
		return nil, false
	}
	for _, u := range report.Usages {
		e.submitBill(agent, u, "")
	}
	return report.Usages, true
}

// resolveHeld ends a held reservation when the agent has nothing more to bill
// for its attempt. An agent that was removed from the configuration can't be
// asked: the attempt counts as having cost the maximum.
func (e *Entry) resolveHeld(held heldReservation, asked map[netip.AddrPort]bool) {
	answered, known := asked[held.agent]
	if !known {
		held.reservation.Settle(held.reservation.Amount())
		e.held.remove(held.attempt)
		return
	}
	if !answered {
		return
	}
	now := e.clock.Now()
	if held.ended.IsZero() {
		if e.attemptEnded(held) {
			e.held.ended(held.attempt, now)
		}
		return
	}
	// The usage of an attempt that has ended is reported after usageInterval.
	if now.Sub(held.ended) < 2*usageInterval {
		return
	}
	var cost int64
	e.journal.Load().Read(held.budget, func(s *ledger.State) {
		if bill, ok := s.BillOf(held.identity); ok && bill.Attempt == held.attempt {
			cost = bill.Cost
		}
	})
	held.reservation.Settle(cost)
	e.held.remove(held.attempt)
}

func (e *Entry) attemptEnded(held heldReservation) bool {
	result, ok := e.askAttempt(e.context, held.agent, held.attempt, held.since)
	return ok && result.State != peer.AttemptRunning
}
