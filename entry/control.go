package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"briarreach/holder"
	"briarreach/lease"
	"briarreach/ledger"
	"briarreach/peer"
	"briarreach/table"
	"briarreach/timeline"
)

const (
	// controlInterval is the interval at which each entry reads the control
	// lease, and the entry that holds it does the control work.
	controlInterval = 500 * time.Millisecond
	// reclaimInterval is the interval of the check for lost holders, which reads
	// the tail of every ledger shard and asks every entry.
	reclaimInterval = 2 * time.Second
	controlLease    = "control"
)

// fenceTimeout bounds the request to an agent to fence a holder: the agent waits
// up to 2 s for the holder's requests to end.
const fenceTimeout = 4 * time.Second

// reclaimer recovers the unspent amounts of lost holders. It is not safe for
// concurrent use.
type reclaimer struct {
	e          *Entry
	monitor    *holder.Monitor
	agentAddrs map[string]netip.AddrPort
}

func newReclaimer(e *Entry) *reclaimer {
	return &reclaimer{e: e, monitor: holder.New(holder.WithSilenceTimeout(e.settings.Entry.ReclaimAfter.Duration))}
}

// step updates the monitor from the configuration, the ledger and the peers, and
// carries out the actions that are due. All its writes are idempotent, so that
// an entry that has lost the lease without knowing it does no harm.
func (r *reclaimer) step(ctx context.Context) {
	e := r.e
	j := e.journal.Load()
	document := e.follower.Current()
	if j == nil || document == nil {
		return
	}
	r.agentAddrs = map[string]netip.AddrPort{}
	for _, t := range document.Targets {
		r.agentAddrs[t.Name] = t.AgentAddr
	}
	now := e.clock.Now()
	r.monitor.HandleEvent(holder.AgentsChanged{Names: slices.Sorted(maps.Keys(r.agentAddrs))}, now)
	if err := j.Refresh(ctx); err != nil {
		return
	}
	r.monitor.HandleEvent(r.outstanding(), now)
	r.monitor.HandleEvent(holder.Seen{Holder: e.Holder()}, now)
	r.observeHolders(ctx, e.settings.Entry.Entries)
	// There are many agents, so that they are asked only if a holder is
	// suspected: it may still be connected to agents although no entry sees it.
	if r.monitor.AnySuspected(e.clock.Now()) {
		r.observeHolders(ctx, slices.Collect(maps.Values(r.agentAddrs)))
	}
	for _, action := range r.monitor.DueActions(e.clock.Now()) {
		if err := r.execute(ctx, action); err != nil {
			e.log.WithError(err).Warn("failed to recover the amounts of a lost holder")
		}
	}
}

// observeHolders asks processes which holders they are or are connected to, and
// tells the monitor.
func (r *reclaimer) observeHolders(ctx context.Context, addrs []netip.AddrPort) {
	var mu sync.Mutex
	var holders []string
	r.e.callEach(ctx, addrs, peer.StatusRequest{}, func(_ netip.AddrPort, m peer.Message, _ error) {
		if s, ok := m.(peer.Status); ok {
			mu.Lock()
			defer mu.Unlock()
			holders = append(append(holders, s.Holder), s.Holders...)
		}
	})
	now := r.e.clock.Now()
	for _, h := range holders {
		r.monitor.HandleEvent(holder.Seen{Holder: h}, now)
	}
}

func (r *reclaimer) outstanding() holder.OutstandingChanged {
	holders, fenced := map[string]struct{}{}, map[string]struct{}{}
	j := r.e.journal.Load()
	for shard := range j.Shards() {
		j.ReadShard(shard, func(s *ledger.State) {
			for h := range s.Holders() {
				holders[h] = struct{}{}
				if s.Fenced(h) {
					fenced[h] = struct{}{}
				}
			}
		})
	}
	return holder.OutstandingChanged{Holders: slices.Sorted(maps.Keys(holders)), Fenced: slices.Sorted(maps.Keys(fenced))}
}

func (r *reclaimer) execute(ctx context.Context, action holder.Action) error {
	e := r.e
	j := e.journal.Load()
	switch act := action.(type) {
	case holder.Fence:
		if err := j.FenceHolder(ctx, act.Holder); err != nil {
			return err
		}
		e.events.Record(timeline.Event{Kind: "holder_fenced", Detail: act.Holder})
		e.log.WithField("lost_holder", act.Holder).Warn("holder fenced")
		r.monitor.HandleEvent(holder.Fenced(act), e.clock.Now())
	case holder.QueryUsage:
		return r.fenceAtAgent(ctx, act)
	case holder.Release:
		if err := j.ReleaseHolder(ctx, act.Holder, act.Held); err != nil {
			return err
		}
		e.events.Record(timeline.Event{Kind: "holder_released", Detail: act.Holder})
		e.log.WithField("lost_holder", act.Holder).Info("unspent amounts released")
		r.monitor.HandleEvent(holder.Released{Holder: act.Holder}, e.clock.Now())
	case holder.WriteOff:
		return r.writeOff(ctx, act.Holder)
	}
	return nil
}

// fenceAtAgent fences a holder at an agent and bills the usage that the agent
// reports. The answer counts only once these bills are written.
func (r *reclaimer) fenceAtAgent(ctx context.Context, query holder.QueryUsage) error {
	e := r.e
	callCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	addr := r.agentAddrs[query.Agent]
	answer, err := e.endpoint.Call(callCtx, addr, peer.FenceHolder{Holder: query.Holder})
	if err != nil {
		return err
	}
	result, ok := answer.(peer.FenceResult)
	if !ok {
		return &UnexpectedMessageError{Message: answer}
	}
	j := e.journal.Load()
	for _, u := range result.Unbilled {
		billed, err := j.SubmitNow(callCtx, u.Budget, billOf(u))
		if err != nil {
			return err
		}
		e.observeBill(u, "", billed)
		e.pendingAcks.add(addr, u.AttemptID)
	}
	r.monitor.HandleEvent(holder.UsageReported{Holder: query.Holder, Agent: query.Agent, Running: result.ReservedByBudget}, e.clock.Now())
	return nil
}

// writeOff bills the outstanding amounts of a holder as spent.
func (r *reclaimer) writeOff(ctx context.Context, name string) error {
	e := r.e
	j := e.journal.Load()
	amounts := map[string]int64{}
	for shard := range j.Shards() {
		j.ReadShard(shard, func(s *ledger.State) { maps.Copy(amounts, s.Holders()[name]) })
	}
	var errs []error
	for budget, amount := range amounts {
		_, err := j.SubmitNow(ctx, budget, ledger.Bill{
			Identity: ledger.NewIdentity(budget, name, []byte("written_off")), Budget: budget, Holder: name,
			Attempt: "written_off/" + name, Cost: amount, Outcome: "written_off", At: e.clock.Now(),
		})
		errs = append(errs, err)
		e.events.Record(timeline.Event{Kind: "amount_written_off", Detail: name + " " + budget})
		e.log.WithField("lost_holder", name).WithField("budget", budget).WithField("amount", amount).
			Error("amount written off: an agent was removed before it reported")
	}
	return errors.Join(errs...)
}

// controlLoop does the work that only one entry does at a time. The control
// lease decides which one.
func (e *Entry) controlLoop() {
	c := &controlWorker{e: e, elector: lease.New(controlLease, e.incarnation, lease.WithDuration(e.settings.Entry.LeaseTime.Duration))}
	e.runEvery(controlInterval, c.step)
	e.releaseLease(c.elector)
}

// controlWorker does the work under the control lease. reclaimer and
// moveControllers are nil while another entry holds the lease.
type controlWorker struct {
	e               *Entry
	elector         *lease.Elector
	reclaimer       *reclaimer
	moveControllers *moveControllers
	lastReclaim     time.Time
}

func (c *controlWorker) step() {
	e := c.e
	ctx, cancel := context.WithTimeout(e.ctx, e.settings.Table.Timeout.Duration)
	err := e.keepLease(ctx, c.elector)
	cancel()
	if err != nil {
		e.log.WithError(err).Debug("failed to read or write the control lease")
	}
	now := e.clock.Now()
	if !c.elector.Held(now) {
		c.reclaimer, c.moveControllers = nil, nil
		return
	}
	if c.reclaimer == nil {
		c.reclaimer, c.moveControllers = newReclaimer(e), newMoveControllers(e)
		e.events.Record(timeline.Event{Kind: "control_lease_taken"})
		e.log.WithField("number", c.elector.FencingNumber(now)).Info("acquired the control lease")
	}
	c.moveControllers.step(e.ctx, c.elector)
	if now := e.clock.Now(); now.Sub(c.lastReclaim) >= reclaimInterval {
		c.lastReclaim = now
		c.reclaimer.step(e.ctx)
	}
}

// keepLease reads the row of the lease and acquires or renews the lease if
// possible.
func (e *Entry) keepLease(ctx context.Context, elector *lease.Elector) error {
	rows, err := e.store.Get(ctx, elector.Key())
	if err != nil {
		return fmt.Errorf("entry.keepLease: %w", err)
	}
	var row *lease.Row
	if rows[0].Version > 0 {
		if row, err = lease.Decode(rows[0].Value); err != nil {
			return fmt.Errorf("entry.keepLease: %w", err)
		}
	}
	elector.Observe(e.clock.Now(), row, rows[0].Version)
	var write table.Write
	switch a := elector.Decide(e.clock.Now()).(type) {
	case lease.Acquire:
		write = a.Write
	case lease.Renew:
		write = a.Write
	default:
		return nil
	}
	if err := e.store.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{write}}); err != nil {
		return fmt.Errorf("entry.keepLease: %w", err)
	}
	elector.ObserveCommit(e.clock.Now())
	return nil
}

// releaseLease releases the lease, so that another entry need not wait until it
// expires.
func (e *Entry) releaseLease(elector *lease.Elector) {
	write, held := elector.Release(e.clock.Now())
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Table.Timeout.Duration)
	defer cancel()
	if err := e.store.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{write}}); err != nil {
		e.log.WithError(err).Debug("failed to release the control lease")
	}
}
