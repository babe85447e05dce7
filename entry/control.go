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
	// controlInterval is how often the entry with the control lease looks for
	// work, and an entry without it at the lease's row.
	controlInterval = 500 * time.Millisecond
	// reclaimInterval is how often lost holders are looked for: it reads the
	// tail of every ledger shard and asks every entry.
	reclaimInterval = 2 * time.Second
	controlLease    = "control"
)

// fenceTimeout bounds one question to an agent about a fenced holder: the
// agent waits up to 2 s for the holder's requests to end.
const fenceTimeout = 4 * time.Second

// reclaimer recovers the unspent amounts of lost holders. It is used by one
// goroutine.
type reclaimer struct {
	e       *Entry
	monitor *holder.Monitor
	agents  map[string]netip.AddrPort
}

func newReclaimer(e *Entry) *reclaimer {
	return &reclaimer{e: e, monitor: holder.New(holder.WithSilenceTimeout(e.settings.Entry.ReclaimAfter.Duration))}
}

// step takes in what the ledger, the peers and the configuration say and does
// what is due. All its writes are idempotent, so that an entry that has lost the
// lease without knowing it does no harm.
func (r *reclaimer) step(ctx context.Context) {
	e := r.e
	j := e.journal.Load()
	document := e.follower.Current()
	if j == nil || document == nil {
		return
	}
	r.agents = map[string]netip.AddrPort{}
	for _, t := range document.Targets {
		r.agents[t.Name] = t.AgentAddr
	}
	now := e.clock.Now()
	r.monitor.HandleEvent(holder.AgentsChanged{Names: slices.Sorted(maps.Keys(r.agents))}, now)
	if err := j.Refresh(ctx); err != nil {
		return
	}
	r.monitor.HandleEvent(r.outstanding(), now)
	r.monitor.HandleEvent(holder.Seen{Holder: e.Holder()}, now)
	r.look(ctx, e.settings.Entry.Entries)
	// The agents are asked only in doubt: there are many of them, and a holder
	// that answers none of the entries may still be connected to agents.
	if r.monitor.AnySuspected(e.clock.Now()) {
		r.look(ctx, slices.Collect(maps.Values(r.agents)))
	}
	for _, action := range r.monitor.DueActions(e.clock.Now()) {
		if err := r.do(ctx, action); err != nil {
			e.log.WithError(err).Warn("recovery of a holder not finished")
		}
	}
}

// look asks processes which holders they are or are connected to.
func (r *reclaimer) look(ctx context.Context, addrs []netip.AddrPort) {
	var mu sync.Mutex
	var seen []string
	r.e.askEach(ctx, addrs, peer.StatusRequest{}, func(_ netip.AddrPort, m peer.Message, _ error) {
		if s, ok := m.(peer.Status); ok {
			mu.Lock()
			defer mu.Unlock()
			seen = append(append(seen, s.Holder), s.Holders...)
		}
	})
	now := r.e.clock.Now()
	for _, h := range seen {
		r.monitor.HandleEvent(holder.Seen{Holder: h}, now)
	}
}

func (r *reclaimer) outstanding() holder.OutstandingChanged {
	names, fenced := map[string]struct{}{}, map[string]struct{}{}
	j := r.e.journal.Load()
	for shard := range j.Shards() {
		j.ReadShard(shard, func(s *ledger.State) {
			for h := range s.Holders() {
				names[h] = struct{}{}
				if s.Fenced(h) {
					fenced[h] = struct{}{}
				}
			}
		})
	}
	return holder.OutstandingChanged{Holders: slices.Sorted(maps.Keys(names)), Fenced: slices.Sorted(maps.Keys(fenced))}
}

func (r *reclaimer) do(ctx context.Context, action holder.Action) error {
	e := r.e
	j := e.journal.Load()
	switch a := action.(type) {
	case holder.Fence:
		if err := j.FenceHolder(ctx, a.Holder); err != nil {
			return err
		}
		e.events.Record(timeline.Event{Kind: "holder_fenced", Detail: a.Holder})
		e.log.WithField("lost_holder", a.Holder).Warn("holder fenced")
		r.monitor.HandleEvent(holder.Fenced(a), e.clock.Now())
	case holder.QueryUsage:
		return r.ask(ctx, a)
	case holder.Release:
		if err := j.ReleaseHolder(ctx, a.Holder, a.Held); err != nil {
			return err
		}
		e.events.Record(timeline.Event{Kind: "holder_released", Detail: a.Holder})
		e.log.WithField("lost_holder", a.Holder).Info("unspent amounts released")
		r.monitor.HandleEvent(holder.Released{Holder: a.Holder}, e.clock.Now())
	case holder.WriteOff:
		return r.writeOff(ctx, a.Holder)
	}
	return nil
}

// ask bills what an agent says that ran under a fenced holder. Only then does
// the answer count.
func (r *reclaimer) ask(ctx context.Context, a holder.QueryUsage) error {
	e := r.e
	call, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	addr := r.agents[a.Agent]
	answer, err := e.endpoint.Call(call, addr, peer.FenceHolder{Holder: a.Holder})
	if err != nil {
		return err
	}
	result, ok := answer.(peer.FenceResult)
	if !ok {
		return &UnexpectedMessageError{Message: answer}
	}
	j := e.journal.Load()
	for _, u := range result.Unbilled {
		billed, err := j.SubmitNow(call, u.Budget, billOf(u))
		if err != nil {
			return err
		}
		e.billed(u, "", billed)
		e.acks.add(addr, u.Attempt)
	}
	r.monitor.HandleEvent(holder.UsageReported{Holder: a.Holder, Agent: a.Agent, Running: result.Running}, e.clock.Now())
	return nil
}

// writeOff charges the outstanding amounts of a holder as spent.
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

// controlLoop does the work that one entry at a time does, under a lease.
func (e *Entry) controlLoop() {
	c := &control{e: e, observer: lease.New(controlLease, e.writer, lease.WithDuration(e.settings.Entry.LeaseTime.Duration))}
	e.every(controlInterval, c.step)
	e.releaseLease(c.observer)
}

// control is the work under the control lease; reclaim and movers are nil
// while another entry holds it.
type control struct {
	e         *Entry
	observer  *lease.Elector
	reclaim   *reclaimer
	movers    *moveControllers
	reclaimed time.Time
}

func (c *control) step() {
	e := c.e
	ctx, cancel := context.WithTimeout(e.context, e.settings.Table.Timeout.Duration)
	err := e.keepLease(ctx, c.observer)
	cancel()
	if err != nil {
		e.log.WithError(err).Debug("lease not read or written")
	}
	now := e.clock.Now()
	if !c.observer.Held(now) {
		c.reclaim, c.movers = nil, nil
		return
	}
	if c.reclaim == nil {
		c.reclaim, c.movers = newReclaimer(e), newMoveControllers(e)
		e.events.Record(timeline.Event{Kind: "control_lease_taken"})
		e.log.WithField("number", c.observer.FencingNumber(now)).Info("control lease taken")
	}
	c.movers.step(e.context, c.observer)
	if now := e.clock.Now(); now.Sub(c.reclaimed) >= reclaimInterval {
		c.reclaimed = now
		c.reclaim.step(e.context)
	}
}

// keepLease reads the lease's row and takes or renews the lease if it is due.
func (e *Entry) keepLease(ctx context.Context, observer *lease.Elector) error {
	rows, err := e.store.Get(ctx, observer.Key())
	if err != nil {
		return fmt.Errorf("entry.keepLease: %w", err)
	}
	var row *lease.Row
	if rows[0].Version > 0 {
		if row, err = lease.Decode(rows[0].Value); err != nil {
			return fmt.Errorf("entry.keepLease: %w", err)
		}
	}
	observer.Observe(e.clock.Now(), row, rows[0].Version)
	var write table.Write
	switch a := observer.Decide(e.clock.Now()).(type) {
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
	observer.ObserveCommit(e.clock.Now())
	return nil
}

// releaseLease gives the lease up, so that another entry need not wait for its
// end.
func (e *Entry) releaseLease(observer *lease.Elector) {
	write, held := observer.Release(e.clock.Now())
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Table.Timeout.Duration)
	defer cancel()
	if err := e.store.Commit(ctx, table.Transaction{ID: ulid.Make().String(), Writes: []table.Write{write}}); err != nil {
		e.log.WithError(err).Debug("lease not given up")
	}
}
