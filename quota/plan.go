package quota

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"briarreach/rowstore"
)

// SyncPlan is a transaction to commit, and its effects in tokens by workspace.
type SyncPlan struct {
	Tx            rowstore.Tx
	Drawn         map[string]int64 // added to this holder's grant
	Returned      map[string]int64 // taken from this holder's grant
	Reclaimed     map[string]int64 // added to this holder's grant from the closed grants of others
	Ungranted     map[string]int64 // of each changed workspace row, granted to no holder
	OthersUnspent map[string]int64 // of each changed workspace row, unspent at other holders
	Adopted       map[string]int64 // unspent tokens taken over from the grants of this VM's earlier process; nil if there was none
	Lost          map[string]int64 // of these grants, what that process may have consumed since its last record
	state         possibleState
	mayDraw       bool
	writtenOff    int              // workspaces whose ungranted tokens are written off
	requested     map[string]int64 // by workspace, the tokens that the plan makes available as far as they exist
	workspaceRows map[string]workspaceRow
	otherRows     map[string]holderRow // of other holders, written for them: after the store was restored, or with tokens reclaimed
}

// SyncDue reports whether a sync should be prepared now, to record consumption
// or to adjust the grants.
func (al *Allocator) SyncDue(now time.Time) bool {
	al.mu.Lock()
	defer al.mu.Unlock()
	if al.awaitsPredecessor() {
		return false
	}
	if al.eraSyncDue(now) || len(al.possibleStates) != 1 || al.lastSync.IsZero() && len(al.limits) > 0 {
		return true
	}
	if al.syncUrgent && !al.lastSync.IsZero() {
		return now.Sub(al.lastSync) >= al.urgentInterval()
	}
	interval := al.settings.IdleEvery
	if al.hasUnrecorded() {
		interval = al.syncInterval()
	}
	return now.Sub(al.lastSync) >= interval
}

// urgentInterval is the time between syncs while requests wait. It divides the
// transaction rate of the table's part among the holders that write.
func (al *Allocator) urgentInterval() time.Duration {
	return max(al.settings.UrgentEvery, time.Duration(al.writerCount())*al.settings.TxInterval)
}

// hasUnrecorded reports whether consumption of grants is not yet recorded in the
// store. Borrowed tokens are not recorded: their lender counts them as consumed.
func (al *Allocator) hasUnrecorded() bool {
	for name, l := range al.usage {
		if a := al.possibleStates[0].row.Accounts[name]; a.Granted != 0 && l.spent() != a.Spent {
			return true
		}
	}
	return false
}

// syncInterval is the time between syncs that record consumption. It divides a
// part of the transaction rate of the table's part among the holders that write.
func (al *Allocator) syncInterval() time.Duration {
	return max(al.settings.SyncEvery, time.Duration(al.writerCount())*regularSyncDivisor*al.settings.TxInterval)
}

// regularSyncDivisor divides the transaction rate of the table's part: regular
// syncs use a quarter of it, and the rest is for requests that wait.
const regularSyncDivisor = 4

// listIntervalFactor lengthens the list interval with the number of holders, as
// each of them reads the rows of all.
func (al *Allocator) listIntervalFactor() int {
	return max(1, al.holderCountLocked()/al.settings.HoldersPerListFactor)
}

// maxUnknownPeerDoublings bounds the growth of the interval between reads because
// of unknown peers.
const maxUnknownPeerDoublings = 10

// ScopeToRead returns the rows that should be read now.
func (al *Allocator) ScopeToRead(now time.Time) Scope {
	al.mu.Lock()
	defer al.mu.Unlock()
	if al.startedAt.IsZero() {
		al.startedAt = now
	}
	al.readRequestedAt = now
	for _, l := range al.lowered {
		if l.unverified {
			return ScopeAll
		}
	}
	factor := al.listIntervalFactor()
	interval := al.settings.ListEvery * time.Duration(factor)
	switch {
	case al.unknownPeer:
		// Short at first: after a restart of the fleet nobody knows anybody.
		interval = min(al.settings.SyncEvery*time.Duration(factor*factor), al.settings.UnknownPeerEvery<<min(al.unknownPeerReads, maxUnknownPeerDoublings))
	case al.insufficient:
		interval = min(interval, al.settings.InsufficientListEvery*time.Duration(factor*factor))
	}
	if al.eraKnown && !al.mayDraw() {
		interval = min(interval, unsettledListEvery*time.Duration(factor))
	}
	if !al.allRead || now.Sub(al.allReadAt) >= interval || len(al.possibleStates) > 1 {
		return ScopeAll
	}
	if al.insufficient && now.Sub(al.workspacesReadAt) >= al.settings.InsufficientListEvery {
		return ScopeWorkspaces
	}
	return ScopeNone
}

// PrepareSync returns the next transaction. Its state restricts the allowance
// from now on, as the store may apply it even if no response arrives. With
// closing set, it returns all unspent grants.
func (al *Allocator) PrepareSync(now time.Time, closing bool) SyncPlan {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.syncUrgent = false
	al.sequence++
	p := SyncPlan{Drawn: map[string]int64{}, Returned: map[string]int64{}, Reclaimed: map[string]int64{}, otherRows: map[string]holderRow{}, Ungranted: map[string]int64{}, OthersUnspent: map[string]int64{}, workspaceRows: map[string]workspaceRow{}, requested: map[string]int64{}}
	elapsed := now.Sub(al.storeTimeReadAt)
	p.state = possibleState{preparedAt: now, row: holderRow{Incarnation: al.incarnation, Sequence: al.sequence, Era: al.era, EraSinceMS: al.eraSinceMS(now),
		RecordedAtMS: (al.storeTime + elapsed).Milliseconds(), RegisteredMS: al.planRegistration(now), CopiedMS: al.copiedMS, Address: al.ownPeer.Address, Fingerprint: al.ownPeer.Fingerprint, Accounts: map[string]account{}}}
	own, mine := al.holderRows[al.holder]
	if mine && own.Incarnation != al.incarnation {
		al.adopt(&p, own, elapsed)
	}
	al.planGranted(&p, al.holder, al.possibleStates[0].row.Accounts)
	al.planRestoredRows(&p, now)
	if !mine && al.hasUnknownPredecessor(now) {
		al.doubtedEra = al.era
	}
	p.state.row.DoubtedEra = al.doubtedEra
	p.mayDraw = al.mayDraw() && al.isRegistered(now)
	for _, name := range al.workspaceNames() {
		al.planAccount(&p, name, now, closing)
	}
	al.buildTx(&p)
	al.possibleStates = append(al.possibleStates, p.state)
	return p
}

// adopt takes over the grants of the earlier process on this VM: what that
// process can't have consumed becomes this process's balance. Only the holder's
// own row changes, so that processes that start together do not contend.
func (al *Allocator) adopt(p *SyncPlan, old holderRow, elapsed time.Duration) {
	for name, spent := range al.adoptedSpent {
		al.localUsage(name).consumed -= spent // of a plan that was not applied
	}
	p.Adopted, p.Lost, al.adoptedSpent = map[string]int64{}, map[string]int64{}, map[string]int64{}
	// That process was dead when this one started, which may have waited for the
	// store since then.
	since := min(al.startStoreTime, al.storeTime+elapsed) - time.Duration(old.RecordedAtMS)*time.Millisecond
	accounts := make(map[string]account, len(old.Accounts))
	for name, a := range old.Accounts {
		spent := a.maxSpent(since)
		if old.Era != al.era {
			spent = a.Granted // the row may be older than the last one that was acknowledged
		}
		p.Adopted[name], p.Lost[name] = a.Granted-spent, spent-a.Spent
		accounts[name] = account{Granted: a.Granted, Spent: spent}
		al.localUsage(name).consumed += spent
		al.adoptedSpent[name] = spent
	}
	al.possibleStates[0].row.Accounts = accounts
}

// workspaceNames returns the workspaces with a quota or with usage, sorted.
func (al *Allocator) workspaceNames() []string {
	names := make([]string, 0, len(al.limits))
	for name := range al.limits {
		names = append(names, name)
	}
	for name := range al.usage {
		if _, ok := al.limits[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// planAccount plans the grant and the window of a workspace.
func (al *Allocator) planAccount(p *SyncPlan, name string, now time.Time, closing bool) {
	l := al.localUsage(name)
	granted := al.possibleStates[0].row.Accounts[name].Granted
	w, changed := p.workspaceRows[name]
	if !changed {
		w = al.workspaceRows[name]
	}
	limit := al.limit(name)
	home := al.isHome(name)
	mayDraw := p.mayDraw
	if mayDraw && (home || l.requested > 0) {
		mayDraw = al.planWriteOff(p, name, &w)
	}
	free := limit - w.Granted
	balance := granted - l.spent()
	demand, othersDemand := l.currentDemand(now, al.settings.DemandTimeConstant), al.othersDemand(name)
	homes := float64(al.homeCount())
	left := max(free+max(balance, 0)+al.othersUnspent(name), 0)
	wanted := int64(0)
	if home && !closing {
		maxBalance := int64(al.settings.GrantedShare * float64(left) * fairShare(demand, othersDemand, homes))
		minBalance := min(al.settings.MinBalance, int64(al.settings.MinBalanceShare*float64(left)/homes))
		wanted = max(min(max(int64(demand*al.settings.Horizon.Seconds()), minBalance), maxBalance), l.requested)
	}
	change, reclaim := int64(0), int64(0)
	switch {
	case p.Adopted != nil:
	case closing || !home && l.requested == 0:
		// Borrowed tokens, which the balance includes, stay out of the rows.
		change = -max(min(balance, granted), 0)
	case free < 0:
		// Nobody may consume until the grants fit into the lowered quota again.
		change = -max(min(balance, granted, -free), 0)
	case !home:
		if missing := l.requested - balance; missing <= max(free, 0)+al.reclaimable(name, now) {
			change = max(min(missing, free), 0)
			reclaim = missing - change
		}
	case float64(balance) < al.settings.RefillBelow*float64(wanted) || l.requested > balance:
		change = max(min(wanted-balance, free), 0)
		if l.requested > balance+change {
			reclaim = wanted - balance - change
		}
	case float64(balance) > al.settings.ReturnAbove*float64(wanted):
		change = -max(min(balance-wanted, granted), 0)
	}
	if !mayDraw {
		change, reclaim = min(change, 0), 0
	}
	if reclaim > 0 {
		granted += al.planReclaim(p, name, reclaim, now)
	}
	if change != 0 {
		granted += change
		w.Granted += change
		if change > 0 {
			w.Era = al.era
			p.Drawn[name] = change
		} else {
			p.Returned[name] -= change
		}
		p.workspaceRows[name] = w
	}
	if al.lowered[name].unwritten {
		p.workspaceRows[name] = w
	}
	if w, ok := p.workspaceRows[name]; ok && w.ConfigVersion < al.configVersion {
		w.Limit, w.ConfigVersion = al.limits[name], al.configVersion
		p.workspaceRows[name] = w
	}
	p.requested[name] = l.requested
	if granted == 0 && l.spent() <= 0 {
		return
	}
	balance = max(granted-l.spent(), 0)
	extraInterval := al.syncInterval() - al.settings.SyncEvery // by which many holders lengthen the interval
	window := max(int64(demand*(al.settings.WindowTime+extraInterval).Seconds()), l.requested,
		int64(al.settings.MinWindowShare*float64(left)/homes))
	if float64(left) > (demand+othersDemand)*al.settings.AmpleTime.Seconds() {
		window = max(window, l.largestRequest, int64(al.settings.MinAmpleWindowShare*float64(left)/homes))
	}
	p.state.row.Accounts[name] = account{Granted: granted, Spent: l.spent(),
		Window:         min(window, balance),
		ReleaseDelayMS: (al.settings.ReleaseDelay + extraInterval).Milliseconds(), ReleaseForMS: al.settings.ReleaseFor.Milliseconds(), ReleaseRate: int64(max(al.settings.ReleaseFactor*max(demand, (demand+othersDemand)/homes), float64(balance)/al.settings.ReleaseTime.Seconds())),
		Demand: int64(demand)}
}

// maxReclaimedRows bounds the rows of other holders from which one transaction
// reclaims tokens.
const maxReclaimedRows = 8

// reclaimAfter is the age from which the closed tokens of a holder's row may be
// taken. A holder that reaches the store writes its row more often.
func (al *Allocator) reclaimAfter() time.Duration { return al.settings.IdleEvery + 2*al.syncInterval() }

// silentHolders returns the other holders that have not written their rows for long
// and have closed tokens of a workspace, those with the most first.
func (al *Allocator) silentHolders(workspace string, now time.Time) []string {
	storeNow := al.storeTime + now.Sub(al.storeTimeReadAt)
	var names []string
	for name, h := range al.holderRows {
		if name != al.holder && al.isCurrent(name) && storeNow-time.Duration(h.RecordedAtMS)*time.Millisecond > al.reclaimAfter() && h.Accounts[workspace].closed() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(al.holderRows[y].Accounts[workspace].closed(), al.holderRows[x].Accounts[workspace].closed()), cmp.Compare(x, y))
	})
	return names
}

// reclaimable returns how many closed tokens silent holders have.
func (al *Allocator) reclaimable(workspace string, now time.Time) int64 {
	var sum int64
	for _, name := range al.silentHolders(workspace, now) {
		sum += al.holderRows[name].Accounts[workspace].closed()
	}
	return sum
}

// planReclaim moves up to some tokens from the closed grants of silent holders to
// this holder's grant and returns how many. The workspace's row, which counts both
// grants, stays as it is. A transaction that a holder has prepared before fails, as
// its row has changed.
func (al *Allocator) planReclaim(p *SyncPlan, workspace string, tokens int64, now time.Time) int64 {
	var taken int64
	for _, name := range al.silentHolders(workspace, now) {
		row, changed := p.otherRows[name]
		if !changed {
			if len(p.otherRows) >= maxReclaimedRows {
				break
			}
			row = al.holderRows[name]
			row.Accounts = maps.Clone(row.Accounts)
			row.Reclaims++
		}
		a := row.Accounts[workspace]
		part := min(a.closed(), tokens-taken)
		if part <= 0 {
			continue
		}
		a.Granted -= part
		row.Accounts[workspace] = a
		p.otherRows[name] = row
		taken += part
	}
	if taken > 0 {
		p.Reclaimed[workspace] += taken
	}
	return taken
}

// minShare is the least that a home gets, as a fraction of an equal share.
const minShare = 0.25

// fairShare returns this home's share of what may be granted to all homes.
func fairShare(own, others, homes float64) float64 {
	equal := 1 / homes
	if own+others <= 0 {
		return equal
	}
	return max(own/(own+others), minShare*equal)
}

// buildTx fills in the transaction of a plan.
func (al *Allocator) buildTx(p *SyncPlan) {
	add := func(table, name string, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // can't happen: the rows are structs of numbers and strings
		}
		key := rowstore.Key{Table: table, Part: al.part, Name: name}
		p.Tx.Expect = append(p.Tx.Expect, rowstore.Row{Key: key, Version: al.rows[name].Version})
		p.Tx.Put = append(p.Tx.Put, rowstore.Row{Key: key, Value: data})
	}
	add(HolderTable, holderPrefix+al.holder, p.state.row)
	for _, holder := range slices.Sorted(maps.Keys(p.otherRows)) {
		add(HolderTable, holderPrefix+holder, p.otherRows[holder])
	}
	names := make([]string, 0, len(p.workspaceRows))
	for name := range p.workspaceRows {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.OthersUnspent[name] = al.othersUnspent(name)
		p.Ungranted[name] = al.limit(name) - p.workspaceRows[name].Granted
		add(WorkspaceTable, workspacePrefix+name, p.workspaceRows[name])
	}
}

// ConfirmSync applies a plan that the store has committed.
func (al *Allocator) ConfirmSync(p SyncPlan, c rowstore.Committed, now time.Time) {
	al.mu.Lock()
	defer al.mu.Unlock()
	for _, r := range p.Tx.Put {
		r.Version = c.Version
		al.rows[r.Key.Name] = r
	}
	for name, w := range p.workspaceRows {
		al.workspaceRows[name] = w
		if w.ConfigVersion >= al.configVersion {
			delete(al.lowered, name)
		}
	}
	for name, tokens := range p.requested {
		if l := al.usage[name]; l != nil && l.requested <= tokens {
			l.requested = 0
		}
	}
	if p.state.row.isRegistering() {
		p.state.row.RegisteredMS = c.Time.Milliseconds()
	}
	al.holderRows[al.holder], al.storedHolders[al.holder] = p.state.row, p.state.row
	for holder, row := range p.otherRows {
		al.holderRows[holder], al.storedHolders[holder] = row, row
	}
	al.storeTime, al.storeTimeReadAt = c.Time, now
	al.possibleStates = []possibleState{p.state}
	al.lastSync = now
	al.syncUrgent = al.syncUrgent || p.Adopted != nil
}

// DiscardSync drops a plan that the store has not committed and never will.
func (al *Allocator) DiscardSync(p SyncPlan) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.possibleStates = slices.DeleteFunc(al.possibleStates, func(s possibleState) bool { return s.row.Sequence == p.state.row.Sequence })
	al.syncUrgent = true
}
