package quota

import (
	"encoding/json"
	"slices"
	"time"

	"briarreach/rowstore"
)

// SyncPlan is a transaction to commit, and what it does.
type SyncPlan struct {
	Tx            rowstore.Tx
	Drawn         map[string]int64
	Returned      map[string]int64
	Ungranted     map[string]int64 // of each changed quota, granted to nobody
	OthersUnspent map[string]int64 // of each changed quota, unspent at other holders
	Adopted       map[string]int64 // left in the grants of this VM's earlier process; nil if there was none
	Lost          map[string]int64 // of these grants, what that process may have consumed after its last record
	next          state
	totals        map[string]total
}

// SyncDue reports whether the book should be recorded or drawn for now.
func (b *Allocator) SyncDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.states) != 1 || b.recorded.IsZero() && len(b.limits) > 0 {
		return true
	}
	if b.urgent && !b.recorded.IsZero() {
		return now.Sub(b.recorded) >= b.urgentPause()
	}
	pause := b.settings.IdleEvery
	if b.changed() {
		pause = b.recordPause()
	}
	return now.Sub(b.recorded) >= pause
}

// urgentPause shares the transactions that the part of the store takes among
// all holders.
func (b *Allocator) urgentPause() time.Duration {
	return max(b.settings.UrgentEvery, time.Duration(b.holders())*b.settings.TxInterval)
}

func (b *Allocator) changed() bool {
	for name, l := range b.accounts {
		if a := b.states[0].holding.Accounts[name]; l.spent() != a.Spent {
			return true
		}
	}
	return false
}

// recordPause shares the transactions that the part of the store takes for
// records among all holders.
func (b *Allocator) recordPause() time.Duration {
	return max(b.settings.SyncEvery, time.Duration(b.holders())*recordCost*b.settings.TxInterval)
}

// recordCost is the part of the store's transactions, as a divisor, that
// regular records take; the rest is for those that wait.
const recordCost = 4

// listFactor lets the pauses between readings of all rows grow with the number
// of holders, as each of them reads the rows of all.
func (b *Allocator) listFactor() int { return max(1, b.holders()/b.settings.ListScaleHolders) }

// ScopeToRead returns the rows that should be read now.
func (b *Allocator) ScopeToRead(now time.Time) Scope {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.lowered {
		if l.unverified {
			return ScopeAll
		}
	}
	factor := b.listFactor()
	every := b.settings.ListEvery * time.Duration(factor)
	switch {
	case b.strangers:
		every = b.settings.SyncEvery * time.Duration(factor*factor)
	case b.short:
		every = min(every, b.settings.ShortEvery*time.Duration(factor*factor))
	}
	if !b.loaded || now.Sub(b.loadedAt) >= every || len(b.states) > 1 {
		return ScopeAll
	}
	if b.short && now.Sub(b.workspacesAt) >= b.settings.ShortEvery {
		return ScopeWorkspaces
	}
	return ScopeNone
}

// PrepareSync returns the next transaction. Its state binds from now on, as the
// store may apply it even if no answer comes.
func (b *Allocator) PrepareSync(now time.Time, closing bool) SyncPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urgent = false
	b.sequence++
	p := SyncPlan{Drawn: map[string]int64{}, Returned: map[string]int64{}, Ungranted: map[string]int64{}, OthersUnspent: map[string]int64{}, totals: map[string]total{}}
	elapsed := now.Sub(b.storeAt)
	p.next = state{at: now, holding: holding{Incarnation: b.incarnation, Sequence: b.sequence,
		At: (b.storeTime + elapsed).Milliseconds(), Address: b.peer.Address, Fingerprint: b.peer.Fingerprint, Accounts: map[string]account{}}}
	own, mine := b.holdings[b.holder]
	if mine && own.Incarnation != b.incarnation {
		b.adopt(&p, own, elapsed)
	}
	for _, name := range b.workspaces() {
		b.planAccount(&p, name, now, closing)
	}
	b.fill(&p)
	b.states = append(b.states, p.next)
	return p
}

// adopt takes over the grants of the earlier process on this VM: what it can't
// have consumed is this process's balance. No other row changes, so that many
// processes that start together do not contend.
func (b *Allocator) adopt(p *SyncPlan, old holding, elapsed time.Duration) {
	for name, spent := range b.adopted {
		b.local(name).used -= spent // a plan that was not applied
	}
	p.Adopted, p.Lost, b.adopted = map[string]int64{}, map[string]int64{}, map[string]int64{}
	since := b.storeTime + elapsed - time.Duration(old.At)*time.Millisecond
	accounts := make(map[string]account, len(old.Accounts))
	for name, a := range old.Accounts {
		spent := a.maxSpent(since)
		p.Adopted[name], p.Lost[name] = a.Granted-spent, spent-a.Spent
		accounts[name] = account{Granted: a.Granted, Spent: spent}
		b.local(name).used += spent
		b.adopted[name] = spent
	}
	b.states[0].holding.Accounts = accounts
}

func (b *Allocator) workspaces() []string {
	names := make([]string, 0, len(b.limits))
	for name := range b.limits {
		names = append(names, name)
	}
	for name := range b.accounts {
		if _, ok := b.limits[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// planAccount sets the grant and the window of a workspace.
func (b *Allocator) planAccount(p *SyncPlan, name string, now time.Time, closing bool) {
	l := b.local(name)
	granted := b.states[0].holding.Accounts[name].Granted
	t, changed := p.totals[name]
	if !changed {
		t = b.totals[name]
	}
	limit := b.limit(name)
	free := limit - t.Granted
	balance := granted - l.spent()
	demand, others := l.demandNow(now, b.settings.DemandTimeConstant), b.demandOfOthers(name)
	holders := float64(b.holders())
	left := max(free+max(balance, 0)+b.unspent(name), 0)
	fair := int64(b.settings.GrantedPart * float64(left) * share(demand, others, holders))
	floor := min(b.settings.MinGrant, int64(b.settings.MinGrantPart*float64(left)/holders))
	wanted := min(max(int64(demand*b.settings.Horizon.Seconds()), floor), fair)
	if l.recalled {
		wanted = min(wanted, int64(demand*b.settings.Horizon.Seconds()))
	}
	switch {
	case closing:
		wanted = 0
	case l.waiting > 0:
		wanted = max(wanted, l.waiting)
	}
	change := int64(0)
	switch {
	case p.Adopted != nil:
	case float64(balance) < b.settings.RefillBelow*float64(wanted) || l.waiting > balance:
		change = max(min(wanted-balance, free), 0)
	case l.recalled && balance > wanted || float64(balance) > b.settings.ReturnAbove*float64(wanted) || closing && balance > 0:
		change = wanted - balance
	}
	if change != 0 {
		granted += change
		t.Granted += change
		p.totals[name] = t
		if change > 0 {
			p.Drawn[name] = change
		} else {
			p.Returned[name] -= change
		}
	}
	if b.lowered[name].unwritten {
		p.totals[name] = t
	}
	if t, ok := p.totals[name]; ok && t.ConfigVersion < b.configVersion {
		t.Limit, t.ConfigVersion = b.limits[name], b.configVersion
		p.totals[name] = t
	}
	if granted == 0 && l.used == 0 && l.reserved == 0 {
		return
	}
	balance = max(granted-l.spent(), 0)
	longer := b.recordPause() - b.settings.SyncEvery // than with few holders
	window := max(int64(demand*(b.settings.WindowTime+longer).Seconds()), l.waiting,
		int64(b.settings.ScarceWindowPart*float64(left)/holders))
	if float64(left) > (demand+others)*b.settings.AmpleTime.Seconds() {
		window = max(window, l.largest, int64(b.settings.AmpleWindowPart*float64(left)/holders))
	}
	p.next.holding.Accounts[name] = account{Granted: granted, Spent: l.spent(),
		Window: min(window, balance),
		HoldMS: (b.settings.ReleaseDelay + longer).Milliseconds(), Released: int64(float64(balance) / b.settings.ReleaseTime.Seconds()),
		Demand: int64(demand)}
	l.waiting, l.recalled = 0, false
}

// idleShare is the part of an equal share that a holder without demand may have.
const idleShare = 0.25

// share returns this holder's part of what all holders may have.
func share(own, others, holders float64) float64 {
	equal := 1 / holders
	if own+others <= 0 {
		return equal
	}
	return max(own/(own+others), idleShare*equal)
}

// fill makes the transaction of a plan.
func (b *Allocator) fill(p *SyncPlan) {
	add := func(table, name string, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // structs of numbers and text
		}
		key := rowstore.Key{Table: table, Part: b.part, Name: name}
		p.Tx.Expect = append(p.Tx.Expect, rowstore.Row{Key: key, Version: b.rows[name].Version})
		p.Tx.Put = append(p.Tx.Put, rowstore.Row{Key: key, Value: data})
	}
	add(HolderTable, holderPrefix+b.holder, p.next.holding)
	names := make([]string, 0, len(p.totals))
	for name := range p.totals {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.OthersUnspent[name] = b.unspent(name)
		p.Ungranted[name] = b.limit(name) - p.totals[name].Granted
		add(WorkspaceTable, totalPrefix+name, p.totals[name])
	}
}

// ConfirmSync takes a plan that the store has applied.
func (b *Allocator) ConfirmSync(p SyncPlan, c rowstore.Committed, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range p.Tx.Put {
		r.Version = c.Version
		b.rows[r.Key.Name] = r
	}
	for name, t := range p.totals {
		b.totals[name] = t
		if t.ConfigVersion >= b.configVersion {
			delete(b.lowered, name)
		}
	}
	b.holdings[b.holder] = p.next.holding
	b.storeTime, b.storeAt = c.Time, now
	b.states = []state{p.next}
	b.recorded = now
	b.urgent = b.urgent || p.Adopted != nil
}

// DiscardSync takes a plan that the store has not applied and never will.
func (b *Allocator) DiscardSync(p SyncPlan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states = slices.DeleteFunc(b.states, func(s state) bool { return s.holding.Sequence == p.next.holding.Sequence })
	b.urgent = true
}
