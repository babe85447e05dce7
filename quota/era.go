package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/rowstore"
)

// The store may be restored from a copy some seconds old; its next era begins then.
// Grants that were drawn after the copy are missing in its rows, so what they count
// as free may have been spent. Until the rows are complete again, no holder draws:
// each writes what it was granted, and for a holder that does not, the others write
// the newest row of it that they remember. The test "a store that is restored from
// a copy" covers it.

const (
	// restoreDelay is how long the others wait for a holder to write its row in a
	// new era; the homes of its row go first, then all that remember it.
	restoreDelay = time.Second
	// unrememberedDelay is the time after which a holder's row in the copy is taken
	// as it is, with a write-off, because no process remembers a newer one.
	unrememberedDelay = 3 * time.Second
	// unknownDelay is the time after which nobody remembers a row of a holder that
	// the copy lacks. Its process must write its row before the others draw.
	unknownDelay = 2500 * time.Millisecond
	// maxRestoredRows bounds the rows of other holders in one transaction.
	maxRestoredRows = 8
	// unsettledListEvery is the interval between reads of all rows until they are
	// complete.
	unsettledListEvery = 250 * time.Millisecond
	// firstEra is that of a store that was never restored; one that states none has
	// era 0.
	firstEra = 1
	// maxCopyAge is the greatest age of the copy that a store is restored from: what
	// was committed longer before the store failed is in the copy.
	maxCopyAge = 5 * time.Second
	// writeOffFactor times its demand is what a holder may have drawn and spent in
	// each second since its last known row.
	writeOffFactor = 2
	// maxWriteOffTime bounds the time that is written off.
	maxWriteOffTime = 30 * time.Second
	// maxWrittenOff bounds the workspaces whose tokens one transaction writes off.
	maxWrittenOff = 16
)

// Era returns the era of the store that the allocator's rows belong to.
func (al *Allocator) Era() uint64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.era
}

// EnterEra notes the store's era. It must be called before rows of the era are
// loaded. It returns true if the store was restored since the last call; all rows
// must be read then.
func (al *Allocator) EnterEra(era uint64, now time.Time) (restored bool) {
	al.mu.Lock()
	defer al.mu.Unlock()
	first := !al.eraKnown
	if !first && era == al.era {
		return false
	}
	al.remembers = al.remembers || !first && al.allRead && al.isEstablished()
	al.era, al.eraKnown, al.eraSeenAt = era, true, now
	if first {
		return false
	}
	al.restored = true
	al.rows, al.storedHolders = make(map[string]rowstore.Row), make(map[string]holderRow)
	for name, w := range al.workspaceRows {
		w.Granted = 0 // the limit stays known
		al.workspaceRows[name] = w
	}
	al.directory.forgetTimes()
	al.applyNotices()
	al.allRead, al.syncUrgent = false, true
	al.copiedMS = 0
	al.mergeStates()
	return true
}

// mergeStates replaces the possible states by one that allows no more than each of
// them. Its grants are those that this holder has at least, without the closed part:
// another holder may have taken that without this one's knowledge.
func (al *Allocator) mergeStates() {
	merged := al.possibleStates[0]
	accounts := maps.Clone(merged.row.Accounts)
	for _, s := range al.possibleStates[1:] {
		merged.preparedAt = s.preparedAt
		for name, a := range accounts {
			b := s.row.Accounts[name]
			a.Granted, a.ReleaseRate = min(a.Granted, b.Granted), min(a.ReleaseRate, b.ReleaseRate)
			a.Window = min(a.Spent+a.Window, b.Spent+b.Window) - a.Spent
			a.ReleaseDelayMS, a.ReleaseForMS = max(a.ReleaseDelayMS, b.ReleaseDelayMS), min(a.ReleaseForMS, b.ReleaseForMS)
			accounts[name] = a
		}
	}
	for name, a := range accounts {
		a.Granted -= a.closed()
		accounts[name] = a
	}
	merged.row.Accounts = accounts
	al.possibleStates = []possibleState{merged}
}

// isNewer reports whether a row of a holder is newer than another one of it.
func (h holderRow) isNewer(other holderRow) bool {
	switch {
	case h.Era != other.Era:
		return h.Era > other.Era
	case h.Incarnation == other.Incarnation && h.Sequence == other.Sequence:
		return h.Reclaims > other.Reclaims
	case h.Incarnation == other.Incarnation:
		return h.Sequence > other.Sequence
	default:
		return h.RecordedAtMS > other.RecordedAtMS
	}
}

// isCurrent reports whether a holder's row was written in the store's era. Rows of
// builds that write no era count as current unless the store was restored.
func (al *Allocator) isCurrent(holder string) bool {
	era := al.storedHolders[holder].Era
	return era == al.era || era == 0 && !al.restored
}

// isSettled reports whether all rows are of the store's era, so that the workspace
// rows count all grants.
func (al *Allocator) isSettled() bool {
	for name := range al.holderRows {
		if !al.isCurrent(name) {
			return false
		}
	}
	return true
}

// isEstablished reports whether the era was old enough for each holder to have
// written its row when all rows were read last. There may be holders that neither
// the copy nor this process knows.
func (al *Allocator) isEstablished() bool {
	if al.era <= firstEra {
		return true
	}
	return al.isEraOlderThan(unrememberedDelay)
}

// isEraOlderThan reports whether the era was older than some time, and the time that
// all holders need to write their rows, when all rows were read last.
func (al *Allocator) isEraOlderThan(d time.Duration) bool {
	if !al.allRead {
		return false
	}
	age := al.allReadAt.Sub(al.eraSeenAt)
	for _, h := range al.storedHolders {
		if h.Era == al.era {
			age = max(age, al.allReadStoreTime-time.Duration(h.EraSinceMS)*time.Millisecond)
		}
	}
	return age-al.fleetDelay() >= d
}

// mayDraw reports whether the workspace rows count all grants.
func (al *Allocator) mayDraw() bool { return al.isSettled() && al.isEstablished() }

// Settled reports whether the rows are complete since the store was last restored.
// Until then, nothing is drawn.
func (al *Allocator) Settled() bool {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.allRead && al.isSettled()
}

// fleetDelay spreads the writes of all holders over the time that their part takes
// for them.
func (al *Allocator) fleetDelay() time.Duration {
	return 2 * time.Duration(al.holderCountLocked()) * al.settings.TxInterval
}

// restoreDue reports whether this holder may write a remembered row of another
// one.
func (al *Allocator) restoreDue(holder string, now time.Time) bool {
	waited := now.Sub(al.eraSeenAt) - al.fleetDelay()
	switch {
	case !al.remembers:
		return waited >= unrememberedDelay
	case al.isHome(holderPrefix + holder):
		return waited >= restoreDelay
	default:
		return waited >= 2*restoreDelay
	}
}

// awaitsPredecessor reports whether this process must not write its row yet: the
// row of the earlier process on this VM is missing or of an earlier era, and others
// may remember a newer one. A process that remembers an earlier era knows the last
// one.
func (al *Allocator) awaitsPredecessor() bool {
	own, ok := al.holderRows[al.holder]
	if al.remembers || ok && (own.Incarnation == al.incarnation || al.isCurrent(al.holder)) {
		return false
	}
	if !ok && al.isEraOlderThan(unknownDelay) {
		return false
	}
	return !al.isEstablished()
}

// AwaitsPredecessor reports whether this process must leave its row to the others
// for now.
func (al *Allocator) AwaitsPredecessor() bool {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.awaitsPredecessor()
}

// eraSinceMS returns when this process first saw the era, by the store's clock.
func (al *Allocator) eraSinceMS(now time.Time) int64 {
	return (al.storeTime + now.Sub(al.storeTimeReadAt) - now.Sub(al.eraSeenAt)).Milliseconds()
}

// rowsToRestore returns the other holders whose rows this one should write now.
func (al *Allocator) rowsToRestore(now time.Time) []string {
	var names []string
	for name := range al.holderRows {
		if name != al.holder && !al.isCurrent(name) && al.restoreDue(name, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxRestoredRows)]
}

// eraSyncDue reports whether a sync is due because of a new era.
func (al *Allocator) eraSyncDue(now time.Time) bool {
	if !al.allRead || al.isSettled() {
		return false
	}
	if _, written := al.holderRows[al.holder]; written && !al.isCurrent(al.holder) {
		spread := float64(xxhash.Sum64String(al.holder)%1024) / 1024
		return now.Sub(al.eraSeenAt) >= time.Duration(spread*float64(al.fleetDelay()))
	}
	return now.Sub(al.lastSync) >= al.urgentInterval() && len(al.rowsToRestore(now)) > 0
}

// planGranted adds to the workspaces' rows what a holder's new grants differ from
// those in its stored row.
func (al *Allocator) planGranted(p *SyncPlan, holder string, accounts map[string]account) {
	stored := al.storedHolders[holder].Accounts
	add := func(name string, tokens int64) {
		if tokens == 0 {
			return
		}
		w, changed := p.workspaceRows[name]
		if !changed {
			w = al.workspaceRows[name]
		}
		known := max(min(tokens, w.WrittenOff), 0) // of the grants that were written off
		w.WrittenOff -= known
		w.Granted += tokens - known
		p.workspaceRows[name] = w
	}
	for name, a := range accounts {
		add(name, a.Granted-stored[name].Granted)
	}
	for name, a := range stored {
		if _, ok := accounts[name]; !ok {
			add(name, -a.Granted)
		}
	}
}

// planRestoredRows adds the rows of other holders that have not written theirs in
// this era. All that they were granted counts as spent, and so does what they may
// have drawn since.
func (al *Allocator) planRestoredRows(p *SyncPlan, now time.Time) {
	storeNow := al.storeTime + now.Sub(al.storeTimeReadAt)
	for _, holder := range al.rowsToRestore(now) {
		row := al.holderRows[holder]
		row.Era, row.EraSinceMS, row.CopiedMS, row.DoubtedEra = al.era, al.eraSinceMS(now), al.copiedMS, al.doubtedEra
		unknown := min(max(storeNow-time.Duration(row.RecordedAtMS)*time.Millisecond, 0), maxWriteOffTime)
		accounts := make(map[string]account, len(row.Accounts))
		for name, a := range row.Accounts {
			drawn := max(int64(writeOffFactor*float64(a.Demand)*unknown.Seconds())-a.unspent(), 0)
			free := al.limit(name) - al.workspaceRows[name].Granted - (a.Granted - al.storedHolders[holder].Accounts[name].Granted)
			a.Granted += min(drawn, max(free, 0))
			a.Window = a.unspent()
			accounts[name] = a
		}
		row.Accounts = accounts
		al.planGranted(p, holder, accounts)
		p.otherRows[holder] = row
	}
}

// A holder's row may be missing in the copy, and the holder may have ended before
// another process knew of it. So a holder draws only after its row has been in the
// store for so long that each copy has it, unless all holders are as new. If the copy
// has only such holders, and a process finds no row of its VM and nobody remembers
// one, an earlier process there may have drawn all that the copy counts as free.

// planRegistration returns since when this holder has had a row without a gap.
func (al *Allocator) planRegistration(now time.Time) int64 {
	storeNow := al.storeTime + now.Sub(al.storeTimeReadAt)
	own, ok := al.holderRows[al.holder]
	if !ok || storeNow-time.Duration(own.RecordedAtMS)*time.Millisecond > al.settings.LiveFor {
		return storeNow.Milliseconds()
	}
	return own.RegisteredMS
}

// isRegistering reports whether this row is the first one of its holder, or the
// first one after a gap.
func (h holderRow) isRegistering() bool {
	return h.RegisteredMS != 0 && h.RegisteredMS == h.RecordedAtMS
}

// isRegisteredAt reports whether each copy of the store that it may be restored
// from has a row of the holder. Rows of builds that do not register count as such.
func (al *Allocator) isRegisteredAt(h holderRow, storeTime time.Duration) bool {
	return storeTime-time.Duration(h.RegisteredMS)*time.Millisecond >= maxCopyAge
}

// isRegistered reports whether this holder may draw: its row is in each copy, or all
// holders are new.
func (al *Allocator) isRegistered(now time.Time) bool {
	storeNow := al.storeTime + now.Sub(al.storeTimeReadAt)
	own, ok := al.holderRows[al.holder]
	if ok && storeNow-time.Duration(own.RecordedAtMS)*time.Millisecond <= al.settings.LiveFor && al.isRegisteredAt(own, storeNow) {
		return true
	}
	return now.Sub(al.allReadAt) < maxCopyAge && !al.hasRegistered(storeNow)
}

// hasRegistered reports whether a holder that was live when all rows were read last
// is registered.
func (al *Allocator) hasRegistered(storeTime time.Duration) bool {
	for _, h := range al.holderRows {
		if al.allReadStoreTime-time.Duration(h.RecordedAtMS)*time.Millisecond <= al.settings.LiveFor && al.isRegisteredAt(h, storeTime) {
			return true
		}
	}
	return false
}

// noteCopy notes, after all rows were read, what they tell of the copy that the
// store was restored from.
func (al *Allocator) noteCopy() {
	al.newFleet = !al.hasRegistered(al.storeTime)
	for _, h := range al.storedHolders {
		if h.Era < al.era {
			al.copiedMS = max(al.copiedMS, h.RecordedAtMS)
		} else {
			al.copiedMS = max(al.copiedMS, h.CopiedMS)
		}
	}
	for _, h := range al.holderRows {
		al.doubtedEra = max(al.doubtedEra, h.DoubtedEra)
	}
}

// hasUnknownPredecessor reports whether an earlier process on this VM may have drawn
// in the era before, when all holders were new, without a row that is left.
func (al *Allocator) hasUnknownPredecessor(now time.Time) bool {
	if al.era <= firstEra || al.remembers || al.copyHasRegistered() {
		return false
	}
	earlier := al.copiedMS > 0
	since := al.eraSinceMS(now)
	for _, h := range al.storedHolders {
		if h.Era == al.era {
			earlier = earlier || h.RegisteredMS < h.EraSinceMS
			since = min(since, h.EraSinceMS)
		}
	}
	storeNow := al.storeTime + now.Sub(al.storeTimeReadAt)
	return earlier && storeNow-time.Duration(since)*time.Millisecond < al.settings.LiveFor
}

// copyHasRegistered reports whether the copy has a holder that was registered, and
// counted as live until the store failed.
func (al *Allocator) copyHasRegistered() bool {
	for _, h := range al.storedHolders {
		if h.RecordedAtMS >= al.copiedMS-(al.settings.LiveFor-maxCopyAge).Milliseconds() && al.isRegisteredAt(h, time.Duration(al.copiedMS)*time.Millisecond) {
			return true
		}
	}
	return false
}

// planWriteOff writes off what a workspace's row counts as free if the store may have
// lost grants of it that nobody knows. It returns false if that is left to a later
// transaction.
func (al *Allocator) planWriteOff(p *SyncPlan, name string, w *workspaceRow) bool {
	added, isNew := al.addedEra[name]
	if w.Era >= al.doubtedEra || isNew && added >= al.doubtedEra && al.rows[workspacePrefix+name].Version == 0 {
		return true
	}
	if p.writtenOff >= maxWrittenOff {
		return false
	}
	p.writtenOff++
	tokens := max(al.limit(name)-w.Granted, 0)
	w.Granted, w.WrittenOff, w.Era = w.Granted+tokens, w.WrittenOff+tokens, al.era
	p.workspaceRows[name] = *w
	return true
}

// GrantNotice announces a holder's grants to the others. They remember it in
// case the store loses the row, and drop it once they have read a row that is as new.
type GrantNotice struct {
	Part         string           `cbor:"1,keyasint"`
	Holder       string           `cbor:"2,keyasint"`
	Incarnation  string           `cbor:"3,keyasint"`
	Sequence     int64            `cbor:"4,keyasint"`
	Era          uint64           `cbor:"5,keyasint"`
	RecordedAtMS int64            `cbor:"6,keyasint"`
	Granted      map[string]int64 `cbor:"7,keyasint"` // total grant by workspace, of those that the transaction changed
}

const (
	// maxNoticeWorkspaces keeps a notice within a datagram.
	maxNoticeWorkspaces = 16
	// maxNotices bounds the holders whose notices are remembered.
	maxNotices = 1024
)

// Notices returns what the other holders should know of a confirmed plan.
func (al *Allocator) Notices(p SyncPlan) []GrantNotice {
	al.mu.Lock()
	defer al.mu.Unlock()
	row := p.state.row
	var names []string
	for name := range row.Accounts {
		if p.Drawn[name] != 0 || p.Returned[name] != 0 || p.Adopted[name] != 0 || p.Reclaimed[name] != 0 {
			names = append(names, name)
		}
	}
	return al.noticesOf(row, names)
}

// GrantNotices returns what a holder that has just connected should know of this
// one's grants.
func (al *Allocator) GrantNotices() []GrantNotice {
	al.mu.Lock()
	defer al.mu.Unlock()
	row := al.possibleStates[0].row
	if row.Incarnation != al.incarnation {
		return nil // nothing is confirmed yet
	}
	var names []string
	for name, a := range row.Accounts {
		if a.Granted > 0 {
			names = append(names, name)
		}
	}
	return al.noticesOf(row, names)
}

// noticesOf returns the notices about some workspaces of a row of this holder.
func (al *Allocator) noticesOf(row holderRow, names []string) []GrantNotice {
	slices.Sort(names)
	var notices []GrantNotice
	for chunk := range slices.Chunk(names, maxNoticeWorkspaces) {
		n := GrantNotice{Part: al.part, Holder: al.holder, Incarnation: row.Incarnation, Sequence: row.Sequence, Era: row.Era, RecordedAtMS: row.RecordedAtMS, Granted: make(map[string]int64)}
		for _, name := range chunk {
			n.Granted[name] = row.Accounts[name].Granted
		}
		notices = append(notices, n)
	}
	return notices
}

// HandleNotice remembers the grants of another holder.
func (al *Allocator) HandleNotice(n GrantNotice) {
	al.mu.Lock()
	defer al.mu.Unlock()
	row := holderRow{Incarnation: n.Incarnation, Sequence: n.Sequence, Era: n.Era, RecordedAtMS: n.RecordedAtMS}
	if n.Holder == al.holder || n.Part != al.part || len(n.Granted) > maxNoticeWorkspaces || n.Era != al.era || !row.isNewer(al.holderRows[n.Holder]) {
		return
	}
	known, ok := al.notices[n.Holder]
	if !ok && len(al.notices) >= maxNotices || ok && known.isNewer(row) {
		return
	}
	row.Accounts = make(map[string]account)
	if ok && known.Incarnation == row.Incarnation {
		maps.Copy(row.Accounts, known.Accounts)
	}
	for name, granted := range n.Granted {
		if _, ok := al.limits[name]; ok {
			row.Accounts[name] = account{Granted: granted}
		}
	}
	al.notices[n.Holder] = row
}

// applyNotices adds announced grants to the rows of their holders, as the store has lost
// rows that were not read yet.
func (al *Allocator) applyNotices() {
	for holder, notice := range al.notices {
		row := al.holderRows[holder]
		if !notice.isNewer(row) {
			continue
		}
		row.Incarnation, row.Sequence, row.RecordedAtMS, row.Era = notice.Incarnation, notice.Sequence, notice.RecordedAtMS, notice.Era
		row.Accounts = maps.Clone(row.Accounts)
		if _, ok := al.holderRows[holder]; !ok {
			row.RegisteredMS = notice.RecordedAtMS
		}
		if row.Accounts == nil {
			row.Accounts = make(map[string]account)
		}
		for name, a := range notice.Accounts {
			known := row.Accounts[name]
			known.Granted = a.Granted
			row.Accounts[name] = known
		}
		al.holderRows[holder] = row
	}
	clear(al.notices)
}
