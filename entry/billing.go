package entry

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"briarreach/budget"
	"briarreach/caller"
	"briarreach/ledger"
	"briarreach/peer"
	"briarreach/shardlog"
	"briarreach/timeline"
)

const (
	walletInterval = 500 * time.Millisecond
	// grantTimeout bounds a request's wait for a grant.
	grantTimeout = 1500 * time.Millisecond
	// recallTimeout bounds a recall of idle amounts from the other entries.
	recallTimeout = 500 * time.Millisecond
	ackInterval   = 250 * time.Millisecond
	// usageInterval is the interval at which an entry bills the usage that agents
	// report as unbilled, and the age that such usage must have.
	usageInterval     = 5 * time.Second
	maxPendingRecords = 200_000
)

// holderWallet is the wallet of a holder. An entry whose holder was fenced
// continues with a new holder. Requests keep the one that they reserved from.
type holderWallet struct {
	holderID string
	wallet   *budget.Wallet
}

func (e *Entry) newHolderWallet() *holderWallet {
	holderID := ulid.Make().String()
	return &holderWallet{holderID: holderID, wallet: budget.New(holderID,
		budget.WithHorizon(e.settings.Entry.DrawHorizon.Duration), budget.WithHolderCount(e.liveHolders),
		budget.WithAvailable(e.availableAmount))}
}

// availableAmount returns the available amount of a budget. It reads the local
// copy of the ledger, which may lag behind the table.
func (e *Entry) availableAmount(name string) (amount int64, known bool) {
	if j := e.journal.Load(); j != nil {
		j.Read(name, func(s *ledger.State) { amount, known = s.Available(name) })
	}
	return amount, known
}

// renewHolder replaces a fenced holder. The entry that fenced it recovers its
// outstanding amounts.
func (e *Entry) renewHolder(fenced *holderWallet) {
	next := e.newHolderWallet()
	if e.holderWallet.CompareAndSwap(fenced, next) {
		e.events.Record(timeline.Event{Kind: "holder_renewed", Detail: fenced.holderID + " " + next.holderID})
		e.log.WithField("fenced_holder", fenced.holderID).WithField("holder", next.holderID).Warn("holder was fenced; continuing with a new one")
		e.walletChanged.notify()
	}
}

// broadcast wakes all goroutines that wait for an event.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{c: make(chan struct{})} }

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.c
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.c)
	b.c = make(chan struct{})
}

// openJournal opens the journal of the ledger once the configuration with the
// number of shards is known, and preloads the keys.
func (e *Entry) openJournal() {
	for {
		if d := e.follower.Current(); d != nil {
			j, err := shardlog.New(e.store, d.Shards, shardlog.WithClock(e.clock), shardlog.WithWriter(e.incarnation),
				shardlog.WithFlushInterval(e.settings.Entry.FlushInterval.Duration), shardlog.WithLog(e.log),
				shardlog.WithMaxPending(maxPendingRecords), shardlog.WithObserver(e.observeRecord))
			if err == nil {
				e.journal.Store(j)
				break
			}
			e.log.WithError(err).Error("failed to open the journal of the ledger")
		}
		select {
		case <-e.ctx.Done():
			return
		case <-e.clock.After(20 * time.Millisecond):
		}
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.settings.Table.Timeout.Duration)
	defer cancel()
	if err := e.keys.preload(ctx); err != nil {
		e.log.WithError(err).Warn("failed to preload keys")
	}
}

// reserveAmount reserves amount from the entry's grants of a budget. If they
// don't suffice, it waits for a draw from the ledger. If the ledger has nothing
// left, it recalls idle amounts from the other entries once.
func (e *Entry) reserveAmount(ctx context.Context, hw *holderWallet, name string, amount int64) (budget.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	for {
		changed := e.walletChanged.wait()
		now := e.clock.Now()
		reservation, err := hw.wallet.Reserve(name, amount, now)
		var insufficient *budget.InsufficientBalanceError
		var exhausted *budget.ExhaustedError
		switch {
		case errors.As(err, &exhausted):
			shortfall, ok := hw.wallet.StartRecall(name, amount, now)
			if !ok || e.recallFromPeers(ctx, name, shortfall) == 0 {
				return reservation, err
			}
			hw.wallet.ClearExhausted(name)
			continue
		case err == nil || !errors.As(err, &insufficient):
			return reservation, err
		}
		if j := e.journal.Load(); j != nil {
			if draw, ok := hw.wallet.StartDraw(name, amount, now); ok {
				if _, submitErr := j.SubmitNow(ctx, name, draw); submitErr != nil {
					return reservation, errors.Join(err, submitErr)
				}
				continue
			}
		}
		select {
		case <-ctx.Done():
			return reservation, err
		case <-changed:
		}
	}
}

// recallFromPeers asks the other entries to return idle amounts of a budget and
// returns the sum that they return. A lost message costs only availability.
func (e *Entry) recallFromPeers(ctx context.Context, name string, amount int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var total atomic.Int64
	var group sync.WaitGroup
	for _, addr := range e.settings.Entry.Entries {
		group.Go(func() {
			answer, err := e.endpoint.Call(ctx, addr, peer.Recall{Budget: name, Amount: amount})
			if recalled, ok := answer.(peer.RecallResult); ok && err == nil {
				total.Add(recalled.Amount)
			}
		})
	}
	group.Wait()
	return total.Load()
}

// observeRecord passes the result of a ledger record to the wallet and replaces
// the holder if it was fenced.
func (e *Entry) observeRecord(record ledger.Record, result ledger.Result) {
	hw := e.holderWallet.Load()
	hw.wallet.Observe(record, result)
	if hw.wallet.Fenced() {
		e.renewHolder(hw)
	}
	e.walletChanged.notify()
}

func (e *Entry) submit(j *shardlog.Journal, record ledger.Record) {
	report := func(err error) {
		if err != nil {
			e.log.WithError(err).Warn("failed to write a record to the ledger")
		}
	}
	name, err := shardlog.BudgetOf(record)
	if err == nil {
		err = j.Submit(record, name, func(_ ledger.Result, err error) { report(err) })
	}
	report(err)
}

// runEvery calls task at each interval until the entry is closed.
func (e *Entry) runEvery(interval time.Duration, task func()) {
	ticker := e.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.Chan():
			task()
		}
	}
}

// submitDueRecords draws and returns grants according to demand.
func (e *Entry) submitDueRecords() {
	j := e.journal.Load()
	if j == nil || e.leaving.Load() {
		return
	}
	for _, record := range e.holderWallet.Load().wallet.DueRecords(e.clock.Now()) {
		if draw, ok := record.(ledger.Draw); ok {
			e.workers.Go(func() { e.submitDraw(j, draw) })
			continue
		}
		e.submit(j, record)
	}
}

// submitDraw writes a draw without batching: requests may wait for it, and a
// budget has at most one draw in flight.
func (e *Entry) submitDraw(j *shardlog.Journal, draw ledger.Draw) {
	if _, err := j.SubmitNow(e.ctx, draw.Budget, draw); err != nil {
		e.log.WithError(err).Warn("failed to write a draw to the ledger")
	}
}

// bill settles the reservation and writes the bill. The agent keeps the usage
// until the entry acknowledges that the bill is durable.
func (e *Entry) bill(x *exchange, t try, usage peer.Usage, outcome peer.Outcome) {
	if !x.reserved {
		return
	}
	x.reserved = false
	usage.Cost, _ = x.reservation.Settle(usage.Cost)
	if usage.Cost == 0 {
		return
	}
	e.submitBill(t.target.AgentAddr, peer.UnbilledUsage{
		AttemptID: t.attemptID, Identity: x.identity, Workspace: x.key.Workspace, Budget: x.key.Budget,
		Holder: x.holderWallet.holderID, Outcome: outcome, Usage: usage, FinishedAt: e.clock.Now(),
	}, x.envelope.RequestID)
}

func (e *Entry) submitBill(agent netip.AddrPort, u peer.UnbilledUsage, requestID string) {
	j := e.journal.Load()
	if j == nil {
		return
	}
	record := billOf(u)
	err := j.Submit(record, u.Budget, func(result ledger.Result, err error) {
		if err != nil {
			e.log.WithError(err).WithField("request_id", requestID).Warn("failed to write a bill")
			return
		}
		e.observeBill(u, requestID, result)
		e.pendingAcks.add(agent, u.AttemptID)
	})
	if err != nil {
		e.log.WithError(err).WithField("request_id", requestID).Warn("failed to write a bill")
	}
}

func billOf(u peer.UnbilledUsage) ledger.Bill {
	return ledger.Bill{
		Identity: u.Identity, Budget: u.Budget, Holder: u.Holder, Attempt: u.AttemptID, Cost: u.Usage.Cost,
		PromptTokens: u.Usage.PromptTokens, CompletionTokens: u.Usage.CompletionTokens,
		Outcome: string(u.Outcome), At: u.FinishedAt,
	}
}

func (e *Entry) observeBill(u peer.UnbilledUsage, requestID string, result ledger.Result) {
	kind := "billed"
	switch r := result.(type) {
	case ledger.Billed:
		if r.Duplicate {
			kind = "bill_duplicate"
		}
	case ledger.Refused:
		kind = "bill_refused"
		e.log.WithError(r.Err).WithField("request_id", requestID).WithField("workspace", u.Workspace).Error("bill refused")
	}
	e.metrics.GetOrCreateCounter(`briarreach_entry_bills_total{result="` + kind + `"}`).Inc()
	e.events.Record(timeline.Event{Kind: kind, RequestID: requestID, Workspace: u.Workspace, Detail: u.AttemptID})
}

// releaseReservation cancels the reservation of a request without an answer.
// The reservations of tries that may have run are in heldReservations.
func (e *Entry) releaseReservation(x *exchange) {
	if !x.reserved {
		return
	}
	x.reserved = false
	x.reservation.Cancel()
}

// ensureReserved makes a new reservation for a retry if the first one is held
// because the earlier try may have run.
func (e *Entry) ensureReserved(ctx context.Context, x *exchange) *caller.Error {
	if x.reserved || x.spec.maxCost == 0 {
		return nil
	}
	return e.reserveFor(ctx, x)
}

func (e *Entry) reserveFor(ctx context.Context, x *exchange) *caller.Error {
	x.holderWallet = e.holderWallet.Load()
	reservation, err := e.reserveAmount(ctx, x.holderWallet, x.key.Budget, x.spec.maxCost)
	if err != nil {
		return budgetRefusal(err)
	}
	x.reservation, x.reserved = reservation, true
	return nil
}

// pendingAcks holds the attempts whose bills are durable but not yet
// acknowledged, by agent.
type pendingAcks struct {
	mu      sync.Mutex
	byAgent map[netip.AddrPort][]string
}

func newPendingAcks() *pendingAcks {
	return &pendingAcks{byAgent: map[netip.AddrPort][]string{}}
}

func (a *pendingAcks) add(agent netip.AddrPort, attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byAgent[agent] = append(a.byAgent[agent], attempt)
}

func (a *pendingAcks) drain() map[netip.AddrPort][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.byAgent
	a.byAgent = map[netip.AddrPort][]string{}
	return taken
}

// sendUsageAcks tells the agents which bills are durable. If a message is lost,
// the usage is billed again; the duplicate bill has no effect.
func (e *Entry) sendUsageAcks(ctx context.Context) {
	for agent, attempts := range e.pendingAcks.drain() {
		if err := e.sendOneWay(ctx, agent, peer.UsageAck{AttemptIDs: attempts}); err != nil {
			e.log.WithError(err).Debug("failed to acknowledge usage")
		}
	}
}

// sendOneWay sends a message and waits for no answer.
func (e *Entry) sendOneWay(ctx context.Context, addr netip.AddrPort, m peer.Message) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := e.endpoint.Open(ctx, addr)
	if err != nil {
		return err
	}
	if err := s.Send(m); err != nil {
		s.Abort()
		return err
	}
	return s.CloseSend()
}
