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
// the entry got no usage for them. They stay reserved until the agent has
// reported the state of the attempt, since its bill is charged to this entry's
// grant.
type heldReservations struct {
	mu        sync.Mutex
	byAttempt map[string]heldReservation
}

type heldReservation struct {
	attemptID   string
	reservation budget.Reservation
	identity    ledger.Identity
	budget      string
	agent       netip.AddrPort
	heldAt      time.Time
	endedAt     time.Time // when the agent first reported that the attempt had ended
}

func newHeldReservations() *heldReservations {
	return &heldReservations{byAttempt: map[string]heldReservation{}}
}

// hold moves the reservation from the exchange to h. The number of held
// reservations is bounded by the budgets' grants, since each holds an amount.
func (h *heldReservations) hold(x *exchange, t try, now time.Time) {
	if !x.reserved {
		return
	}
	x.reserved = false
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byAttempt[t.attemptID] = heldReservation{
		attemptID: t.attemptID, reservation: x.reservation, identity: x.identity,
		budget: x.key.Budget, agent: t.target.AgentAddr, heldAt: now,
	}
}

func (h *heldReservations) olderThan(age time.Duration, now time.Time) []heldReservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldReservation
	for _, held := range h.byAttempt {
		if now.Sub(held.heldAt) >= age {
			out = append(out, held)
		}
	}
	return out
}

func (h *heldReservations) markEnded(attempt string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.byAttempt[attempt]; ok {
		held.endedAt = at
		h.byAttempt[attempt] = held
	}
}

func (h *heldReservations) remove(attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byAttempt, attempt)
}

// billUnbilledAndResolveHeld bills the usage that agents report as unbilled, and
// resolves the held reservations of attempts that are not among it.
func (e *Entry) billUnbilledAndResolveHeld() {
	if e.journal.Load() == nil {
		return
	}
	unbilled := map[string]struct{}{}
	answeredBy := map[netip.AddrPort]bool{}
	for _, agent := range e.loadWatcher.addresses() {
		usages, ok := e.billUnbilledUsage(agent)
		answeredBy[agent] = ok
		for _, u := range usages {
			unbilled[u.AttemptID] = struct{}{}
		}
	}
	for _, held := range e.heldReservations.olderThan(usageInterval, e.clock.Now()) {
		if _, isUnbilled := unbilled[held.attemptID]; !isUnbilled {
			e.resolveHeld(held, answeredBy)
		}
	}
}

// billUnbilledUsage bills the usage that an agent has kept for at least
// usageInterval without an acknowledgement, whichever entry dispatched the
// attempt. It returns false if the agent did not answer.
func (e *Entry) billUnbilledUsage(agent netip.AddrPort) ([]peer.UnbilledUsage, bool) {
	ctx, cancel := context.WithTimeout(e.ctx, openTimeout)
	defer cancel()
	answer, err := e.endpoint.Call(ctx, agent, peer.FetchUsage{OlderThan: usageInterval})
	report, ok := answer.(peer.UsageReport)
	if err != nil || !ok {
		return nil, false
	}
	for _, u := range report.Usages {
		e.submitBill(agent, u, "")
	}
	return report.Usages, true
}

// resolveHeld settles a held reservation when the agent has nothing left to bill
// for its attempt. If the agent was removed from the configuration, it can't be
// asked, and the attempt is charged the maximum.
func (e *Entry) resolveHeld(held heldReservation, answeredBy map[netip.AddrPort]bool) {
	answered, known := answeredBy[held.agent]
	if !known {
		held.reservation.Settle(held.reservation.Amount())
		e.heldReservations.remove(held.attemptID)
		return
	}
	if !answered {
		return
	}
	now := e.clock.Now()
	if held.endedAt.IsZero() {
		if e.hasAttemptEnded(held) {
			e.heldReservations.markEnded(held.attemptID, now)
		}
		return
	}
	// The usage of an attempt that has ended is reported after usageInterval.
	if now.Sub(held.endedAt) < 2*usageInterval {
		return
	}
	var cost int64
	e.journal.Load().Read(held.budget, func(s *ledger.State) {
		if bill, ok := s.BillOf(held.identity); ok && bill.Attempt == held.attemptID {
			cost = bill.Cost
		}
	})
	held.reservation.Settle(cost)
	e.heldReservations.remove(held.attemptID)
}

func (e *Entry) hasAttemptEnded(held heldReservation) bool {
	result, ok := e.resolveAttempt(e.ctx, held.agent, held.attemptID, held.heldAt)
	return ok && result.State != peer.AttemptRunning
}
