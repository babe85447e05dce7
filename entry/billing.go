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
	drawInterval = 500 * time.Millisecond
	// drawTimeout is how long a request waits for a grant.
	drawTimeout = 1500 * time.Millisecond
	// recallTimeout bounds the question to the other entries for idle amounts.
	recallTimeout = 500 * time.Millisecond
	ackInterval   = 250 * time.Millisecond
	// usageInterval is how often an entry takes over usage that another entry
	// did not bill, and how old that usage must be.
	usageInterval = 5 * time.Second
	maxPending    = 200_000
)

// grants is a holder with its wallet. An entry whose holder was fenced goes on
// with a new one; requests keep the one that they reserved from.
type grants struct {
	holder string
	wallet *budget.Wallet
}

func (e *Entry) newGrants() *grants {
	holder := ulid.Make().String()
	return &grants{holder: holder, wallet: budget.New(holder,
		budget.WithHorizon(e.settings.Entry.DrawHorizon.Duration), budget.WithHolderCount(e.liveHolders),
		budget.WithAvailable(e.available))}
}

// available returns what the ledger has left of a budget, as far as this
// entry has read its log.
func (e *Entry) available(name string) (amount int64, known bool) {
	if j := e.journal.Load(); j != nil {
		j.Read(name, func(s *ledger.State) { amount, known = s.Available(name) })
	}
	return amount, known
}

// renewHolder replaces a fenced holder. What it had outstanding is recovered
// by the entry that fenced it.
func (e *Entry) renewHolder(fenced *grants) {
	next := e.newGrants()
	if e.grants.CompareAndSwap(fenced, next) {
		e.events.Record(timeline.Event{Kind: "holder_renewed", Detail: fenced.holder + " " + next.holder})
		e.log.WithField("fenced_holder", fenced.holder).WithField("holder", next.holder).Warn("holder was fenced, going on with a new one")
		e.drawn.notify()
	}
}

// broadcast wakes all that wait for an event.
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

// openJournal opens the ledger as soon as the number of shards is known.
func (e *Entry) openJournal() {
	for {
		if d := e.follower.Current(); d != nil {
			j, err := shardlog.New(e.store, d.Shards, shardlog.WithClock(e.clock), shardlog.WithWriter(e.writer),
				shardlog.WithFlushInterval(e.settings.Entry.FlushInterval.Duration), shardlog.WithLog(e.log),
				shardlog.WithMaxPending(maxPending), shardlog.WithObserver(e.observeRecord))
			if err == nil {
				e.journal.Store(j)
				break
			}
			e.log.WithError(err).Error("ledger not opened")
		}
		select {
		case <-e.context.Done():
			return
		case <-e.clock.After(20 * time.Millisecond):
		}
	}
	ctx, cancel := context.WithTimeout(e.context, e.settings.Table.Timeout.Duration)
	defer cancel()
	if err := e.keys.preload(ctx); err != nil {
		e.log.WithError(err).Warn("keys not preloaded")
	}
}

// reserve takes amount from the entry's grants of a budget. A request that
// finds too little waits for a draw; when the ledger has nothing left, the
// other entries are asked once for what they don't use.
func (e *Entry) reserve(ctx context.Context, g *grants, name string, amount int64) (budget.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	for {
		drawn := e.drawn.wait()
		now := e.clock.Now()
		reservation, err := g.wallet.Reserve(name, amount, now)
		var pending *budget.InsufficientBalanceError
		var exhausted *budget.ExhaustedError
		switch {
		case errors.As(err, &exhausted):
			ask, ok := g.wallet.ShouldRecall(name, amount, now)
			if !ok || e.recallFromPeers(ctx, name, ask) == 0 {
				return reservation, err
			}
			g.wallet.ClearExhausted(name)
			continue
		case err == nil || !errors.As(err, &pending):
			return reservation, err
		}
		if j := e.journal.Load(); j != nil {
			if draw, ok := g.wallet.StartDraw(name, amount, now); ok {
				if _, submitErr := j.SubmitNow(ctx, name, draw); submitErr != nil {
					return reservation, errors.Join(err, submitErr)
				}
				continue
			}
		}
		select {
		case <-ctx.Done():
			return reservation, err
		case <-drawn:
		}
	}
}

// recallFromPeers asks the other entries for idle amounts of a budget and
// returns what is on its way back. A lost message costs availability only.
func (e *Entry) recallFromPeers(ctx context.Context, name string, amount int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var sum atomic.Int64
	var group sync.WaitGroup
	for _, addr := range e.settings.Entry.Entries {
		group.Go(func() {
			answer, err := e.endpoint.Call(ctx, addr, peer.Recall{Budget: name, Amount: amount})
			if recalled, ok := answer.(peer.Recalled); ok && err == nil {
				sum.Add(recalled.Amount)
			}
		})
	}
	group.Wait()
	return sum.Load()
}

// observeRecord tells the wallet the result of a record of this holder.
func (e *Entry) observeRecord(record ledger.Record, result ledger.Result) {
	g := e.grants.Load()
	g.wallet.Observe(record, result)
	if g.wallet.Fenced() {
		e.renewHolder(g)
	}
	e.drawn.notify()
}

func (e *Entry) submit(j *shardlog.Journal, record ledger.Record) {
	report := func(err error) {
		if err != nil {
			e.log.WithError(err).Warn("record not written to the ledger")
		}
	}
	name, err := shardlog.BudgetOf(record)
	if err == nil {
		err = j.Submit(record, name, func(_ ledger.Result, err error) { report(err) })
	}
	report(err)
}

// every calls work once per interval until the entry is closed.
func (e *Entry) every(interval time.Duration, work func()) {
	ticker := e.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-e.context.Done():
			return
		case <-ticker.Chan():
			work()
		}
	}
}

// drawDue draws and returns grants as the demand asks for.
func (e *Entry) drawDue() {
	j := e.journal.Load()
	if j == nil || e.leaving.Load() {
		return
	}
	for _, record := range e.grants.Load().wallet.DueRecords(e.clock.Now()) {
		if draw, ok := record.(ledger.Draw); ok {
			e.workers.Go(func() { e.draw(j, draw) })
			continue
		}
		e.submit(j, record)
	}
}

// draw writes a draw at once: requests may wait for it, and a budget has one
// draw in flight.
func (e *Entry) draw(j *shardlog.Journal, draw ledger.Draw) {
	if _, err := j.SubmitNow(e.context, draw.Budget, draw); err != nil {
		e.log.WithError(err).Warn("draw not written to the ledger")
	}
}

// bill settles the reservation and writes the bill. The agent keeps the usage
// until it hears that the bill is durable.
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
		Attempt: t.attempt, Identity: x.identity, Workspace: x.key.Workspace, Budget: x.key.Budget,
		Holder: x.grants.holder, Outcome: outcome, Usage: usage, At: e.clock.Now(),
	}, x.envelope.RequestID)
}

func (e *Entry) submitBill(agent netip.AddrPort, u peer.UnbilledUsage, request string) {
	j := e.journal.Load()
	if j == nil {
		return
	}
	record := billOf(u)
	err := j.Submit(record, u.Budget, func(result ledger.Result, err error) {
		if err != nil {
			e.log.WithError(err).WithField("request_id", request).Warn("bill not written")
			return
		}
		e.billed(u, request, result)
		e.acks.add(agent, u.Attempt)
	})
	if err != nil {
		e.log.WithError(err).WithField("request_id", request).Warn("bill not written")
	}
}

func billOf(u peer.UnbilledUsage) ledger.Bill {
	return ledger.Bill{
		Identity: u.Identity, Budget: u.Budget, Holder: u.Holder, Attempt: u.Attempt, Cost: u.Usage.Cost,
		PromptTokens: u.Usage.PromptTokens, CompletionTokens: u.Usage.CompletionTokens,
		Outcome: string(u.Outcome), At: u.At,
	}
}

func (e *Entry) billed(u peer.UnbilledUsage, request string, result ledger.Result) {
	kind := "billed"
	switch r := result.(type) {
	case ledger.Billed:
		if r.Duplicate {
			kind = "bill_duplicate"
		}
	case ledger.Refused:
		kind = "bill_refused"
		e.log.WithError(r.Err).WithField("request_id", request).WithField("workspace", u.Workspace).Error("bill refused")
	}
	e.metrics.GetOrCreateCounter(`briarreach_entry_bills_total{result="` + kind + `"}`).Inc()
	e.events.Record(timeline.Event{Kind: kind, RequestID: request, Workspace: u.Workspace, Detail: u.Attempt})
}

// settleRefused gives the reservation of a request back that gave no answer.
// The reservations of tries that may have run are held apart.
func (e *Entry) settleRefused(x *exchange) {
	if !x.reserved {
		return
	}
	x.reserved = false
	x.reservation.Cancel()
}

// reserveAgain reserves for a retry whose first reservation is held because
// the earlier try may have run.
func (e *Entry) reserveAgain(ctx context.Context, x *exchange) *caller.Error {
	if x.reserved || x.cost.reserved == 0 {
		return nil
	}
	return e.reserveFor(ctx, x)
}

func (e *Entry) reserveFor(ctx context.Context, x *exchange) *caller.Error {
	x.grants = e.grants.Load()
	reservation, err := e.reserve(ctx, x.grants, x.key.Budget, x.cost.reserved)
	if err != nil {
		return refuseBudget(err)
	}
	x.reservation, x.reserved = reservation, true
	return nil
}

// acknowledgements collects attempts whose bills are durable, by agent.
type acknowledgements struct {
	mu      sync.Mutex
	byAgent map[netip.AddrPort][]string
}

func newAcknowledgements() *acknowledgements {
	return &acknowledgements{byAgent: map[netip.AddrPort][]string{}}
}

func (a *acknowledgements) add(agent netip.AddrPort, attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byAgent[agent] = append(a.byAgent[agent], attempt)
}

func (a *acknowledgements) take() map[netip.AddrPort][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.byAgent
	a.byAgent = map[netip.AddrPort][]string{}
	return taken
}

// acknowledge tells the agents which bills are durable. A lost message costs
// a second, duplicate bill, which has no effect.
func (e *Entry) acknowledge(ctx context.Context) {
	for agent, attempts := range e.acks.take() {
		if err := e.tell(ctx, agent, peer.UsageAck{Attempts: attempts}); err != nil {
			e.log.WithError(err).Debug("usage not acknowledged")
		}
	}
}

// tell sends a message that has no answer.
func (e *Entry) tell(ctx context.Context, addr netip.AddrPort, m peer.Message) error {
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
