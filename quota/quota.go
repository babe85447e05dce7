// Package quota keeps the consumption of each workspace within its token
// quota, across all processes, restarts and network partitions, by escrow: a
// process (a holder) consumes only from amounts that were granted to it in the
// shared store.
//
// A few holders, the homes of a workspace, keep its granted tokens; the others
// borrow from them for each request, or draw from the store what no home lends.
//
// Load patterns and failures:
//   - Hundreds of holders share a quota of a few prompts each: what is left can
//     be spent at any of them.
//   - Processes are cut off from the store for seconds: grants cover the demand
//     of that time, and become small as the quota runs out.
//   - All processes are killed at once: the rest of their grants must neither be
//     lost to the workspaces nor be consumed twice. A process records its
//     consumption in the store, and may exceed the record only by a window that
//     grows with time. Its successor on the same VM knows that the process is
//     dead, and takes over the rest of the grant.
//   - Responses of the store are lost, or transactions are applied late: of all
//     states that the store may hold, the strictest is in force.
//   - The store is restored from a copy and has lost grants that it had
//     acknowledged: nothing is drawn until the holders have written them again.
//
// The tests "hundreds of holders", "partition", "kill of all processes",
// "lost answers" and "restored from a copy" cover them.
package quota

import (
	"iter"
	"maps"
	"math"
	"sync"
	"time"

	"briarreach/rowstore"
)

// Limit is a workspace's quota in the configuration.
type Limit struct {
	Workspace string
	Tokens    int64
}

// Allocator reserves tokens from the grants of one holder, and plans the
// transactions that adjust them. It is safe for concurrent use.
type Allocator struct {
	settings    Settings
	part        string
	holder      string
	incarnation string

	mu               sync.Mutex
	configVersion    int64
	limits           map[string]int64
	rows             map[string]rowstore.Row // by row name, as last read or written
	workspaceRows    map[string]workspaceRow
	holderRows       map[string]holderRow
	allRead          bool
	allReadAt        time.Time
	allReadStoreTime time.Duration // store clock at allReadAt
	workspacesReadAt time.Time
	storeTime        time.Duration // store clock at storeTimeReadAt
	storeTimeReadAt  time.Time
	startedAt        time.Time     // of the first step of this process
	readRequestedAt  time.Time     // of the last step that found a read due
	startStoreTime   time.Duration // store clock at startedAt or later; valid once allRead is set
	sequence         int64
	usage            map[string]*localUsage
	possibleStates   []possibleState // that the store may hold for this process; the first is confirmed
	lastSync         time.Time
	syncUrgent       bool
	lowered          map[string]loweredLimit
	adoptedSpent     map[string]int64 // tokens that the earlier process on this VM is assumed to have consumed, by workspace
	directory        *Directory
	unknownPeer      bool // whether a peer with an unknown certificate was met since the rows were read
	unknownPeerReads int  // consecutive reads of all rows because of such peers
	storeAway        bool // whether the last call to the store failed
	insufficient     bool // whether a request found too little granted since the rows were read
	ownPeer          Peer
	lenderBalances   map[string]lenderBalance
	era              uint64 // of the store
	eraKnown         bool
	eraSeenAt        time.Time
	restored         bool                 // whether the store was restored since the start
	remembers        bool                 // whether all rows were read in an earlier, established era
	storedHolders    map[string]holderRow // as read or written in the store's era; holderRows has the newest that are known
	notices          map[string]holderRow // grants that holders have announced, in rows newer than those in holderRows
	copiedMS         int64                // time of the newest row in the copy
	doubtedEra       uint64               // the last era for which the store may have lost grants that nobody knows
	addedEra         map[string]uint64    // era in which a workspace appeared in the configuration while this process ran
	newFleet         bool                 // whether no live holder was registered when all rows were read last
}

// loweredLimit is what remains to be done after a quota was lowered: read the
// grants of all holders (unverified), and write the new limit for holders that
// do not know it (unwritten).
type loweredLimit struct{ unverified, unwritten bool }

// localUsage is this holder's consumption and demand of a workspace.
type localUsage struct {
	consumed        int64
	reserved        int64
	demand          float64 // tokens per second, exponentially weighted, at demandUpdatedAt
	demandUpdatedAt time.Time
	demandSince     time.Time // of the first recorded demand
	askedAt         time.Time // when lenders last reported what they have left
	accountedAt     time.Time // when the workspace's row was read after such a report
	othersGranted   int64     // to the other holders, at accountedAt
	largestRequest  int64     // tokens of the largest recent request
	waiting         int64     // tokens of the requests that wait for a loan or a grant
	requested       int64     // tokens that the next sync should make available, for requests that wait here or at borrowers
}

func (l *localUsage) spent() int64 { return l.consumed + l.reserved }

// possibleState is a row of this holder that the store may have, and when it was
// prepared.
type possibleState struct {
	row        holderRow
	preparedAt time.Time
}

// Option changes a default of New.
type Option func(*Allocator)

// WithDirectory sets the directory that this allocator shares with those of the
// other parts.
func WithDirectory(d *Directory) Option { return func(al *Allocator) { al.directory = d } }

// New returns the allocator of a holder for the workspaces of a part of the
// table. Incarnation differs at each start of the process.
func New(part, holder, incarnation string, s Settings, opts ...Option) *Allocator {
	al := &Allocator{directory: NewDirectory(), settings: s, part: part, holder: holder, incarnation: incarnation, limits: make(map[string]int64),
		rows: make(map[string]rowstore.Row), workspaceRows: make(map[string]workspaceRow), holderRows: make(map[string]holderRow), storedHolders: make(map[string]holderRow), notices: make(map[string]holderRow),
		usage: make(map[string]*localUsage), lenderBalances: make(map[string]lenderBalance),
		lowered: make(map[string]loweredLimit), addedEra: make(map[string]uint64), newFleet: true, possibleStates: []possibleState{{}}}
	for _, opt := range opts {
		opt(al)
	}
	return al
}

// Directory returns the directory of the holders.
func (al *Allocator) Directory() *Directory { return al.directory }

// Part returns the part of the table that holds the allocator's rows.
func (al *Allocator) Part() string { return al.part }

// SetLimits applies the quotas of a configuration version, unless it is old.
func (al *Allocator) SetLimits(version int64, limits []Limit) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if version <= al.configVersion {
		return
	}
	first := al.configVersion == 0
	al.configVersion = version
	next := make(map[string]int64, len(limits))
	for _, l := range limits {
		next[l.Workspace] = l.Tokens
		old, ok := al.limits[l.Workspace]
		if !ok && !first && al.eraKnown {
			al.addedEra[l.Workspace] = al.era
		}
		if ok && l.Tokens < old {
			al.syncUrgent = true
			al.lowered[l.Workspace] = loweredLimit{unverified: true, unwritten: true}
		}
	}
	maps.DeleteFunc(al.addedEra, func(name string, _ uint64) bool { _, ok := next[name]; return !ok })
	al.limits = next
}

// Decision is the outcome of Reserve.
type Decision int

// Reserve reserves tokens for a request.
func (al *Allocator) Reserve(workspace string, tokens int64, now time.Time) Decision {
	al.mu.Lock()
	defer al.mu.Unlock()
	if _, ok := al.limits[workspace]; !ok {
		return Unlimited
	}
	l := al.localUsage(workspace)
	if l.spent()+tokens <= al.allowance(workspace, now) {
		l.reserved += tokens
		l.recordDemand(tokens, now, al.settings.DemandTimeConstant)
		return Reserved
	}
	if al.isExhausted(workspace, tokens, now) {
		return Exhausted
	}
	return Insufficient
}

// Wait counts a request as waiting for a loan or a grant, until done is called.
func (al *Allocator) Wait(workspace string, tokens int64) (done func()) {
	al.mu.Lock()
	defer al.mu.Unlock()
	l := al.localUsage(workspace)
	l.waiting += tokens
	return func() {
		al.mu.Lock()
		defer al.mu.Unlock()
		l.waiting -= tokens
	}
}

// RequestGrant makes the next sync take the requests into account that wait.
func (al *Allocator) RequestGrant(workspace string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	l := al.localUsage(workspace)
	l.requested = max(l.requested, l.waiting)
	al.syncUrgent, al.insufficient = true, true
}

// Missing returns how many tokens this holder lacks for the requests that wait.
func (al *Allocator) Missing(workspace string, now time.Time) int64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	l := al.localUsage(workspace)
	return max(l.spent()+l.waiting-al.allowance(workspace, now), 0)
}

func (l *localUsage) recordDemand(tokens int64, now time.Time, constant time.Duration) {
	if l.demandSince.IsZero() {
		l.demandSince = now
	} else {
		l.demand *= math.Exp(-now.Sub(l.demandUpdatedAt).Seconds() / constant.Seconds())
	}
	l.demandUpdatedAt = now
	l.demand += float64(tokens) / constant.Seconds()
	l.largestRequest = max(tokens, l.largestRequest-l.largestRequest/16)
}

// minDemandTime is the least time over which demand is averaged.
const minDemandTime = time.Second

// currentDemand returns the demand in tokens per second. A process that started
// less than the time constant ago averages over its own time, since its demand
// would else count as a small part of the true one.
func (l *localUsage) currentDemand(now time.Time, constant time.Duration) float64 {
	if l.demandSince.IsZero() {
		return 0
	}
	observed := max(now.Sub(l.demandSince), minDemandTime).Seconds() / constant.Seconds()
	return l.demand * math.Exp(-now.Sub(l.demandUpdatedAt).Seconds()/constant.Seconds()) / (1 - math.Exp(-observed))
}

// Settle replaces a reservation by what was consumed.
func (al *Allocator) Settle(workspace string, reserved, consumed int64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	l := al.localUsage(workspace)
	l.reserved -= reserved
	l.consumed += consumed
}

func (al *Allocator) localUsage(workspace string) *localUsage {
	l := al.usage[workspace]
	if l == nil {
		l = &localUsage{}
		al.usage[workspace] = l
	}
	return l
}

// allowance returns how much this holder may consume and reserve in total: the
// least of what the states allow that the store may hold.
func (al *Allocator) allowance(workspace string, now time.Time) int64 {
	if free, ok := al.ungranted(workspace); ok && free < 0 || al.lowered[workspace].unverified {
		return 0
	}
	allowed := int64(math.MaxInt64)
	for _, s := range al.possibleStates {
		allowed = min(allowed, s.row.Accounts[workspace].maxSpent(now.Sub(s.preparedAt)))
	}
	return allowed
}

// limit returns the quota in force: that of the newest configuration version
// known to any holder.
func (al *Allocator) limit(workspace string) int64 {
	if w, ok := al.workspaceRows[workspace]; ok && w.ConfigVersion > al.configVersion {
		return w.Limit
	}
	return al.limits[workspace]
}

// Balance returns what is granted and not spent, how much of it may be spent
// now, and the age of the rows of other holders.
func (al *Allocator) Balance(workspace string, now time.Time) (balance, spendable int64, grantDataAge time.Duration) {
	al.mu.Lock()
	defer al.mu.Unlock()
	spent := al.localUsage(workspace).spent()
	return al.possibleStates[0].row.Accounts[workspace].Granted - spent, max(al.allowance(workspace, now)-spent, 0), now.Sub(al.allReadAt)
}

// ungranted returns the part of the quota that is granted to no holder, or false
// if the rows have not been read.
func (al *Allocator) ungranted(workspace string) (int64, bool) {
	if !al.allRead {
		return 0, false
	}
	return al.limit(workspace) - al.workspaceRows[workspace].Granted, true
}

// othersUnspent returns the unspent grants of the other live holders, by their
// rows and later loans, and what can be reclaimed from the others.
func (al *Allocator) othersUnspent(workspace string) int64 {
	var sum int64
	for name, h := range al.holderRows {
		switch {
		case name == al.holder:
		case al.isLive(h):
			sum += max(al.unspentAt(name, h, workspace), 0)
		default:
			sum += h.Accounts[workspace].closed()
		}
	}
	return sum
}

// othersDemand returns the demand in the rows of the other live holders.
func (al *Allocator) othersDemand(workspace string) float64 {
	sum := 0.0
	for _, h := range al.otherHolders() {
		sum += float64(h.Accounts[workspace].Demand)
	}
	return sum
}

// otherHolders yields the other live holders by name.
func (al *Allocator) otherHolders() iter.Seq2[string, holderRow] {
	return func(yield func(string, holderRow) bool) {
		for name, h := range al.holderRows {
			if name != al.holder && al.isLive(h) && !yield(name, h) {
				return
			}
		}
	}
}

func (al *Allocator) isLive(h holderRow) bool {
	return al.storeTime-time.Duration(h.RecordedAtMS)*time.Millisecond < al.settings.LiveFor
}

// SetStoreAway notes whether the store responds. While it does not, a quota counts
// as exhausted by older rows.
func (al *Allocator) SetStoreAway(away bool) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.storeAway = away
}

// isExhausted reports whether a request exceeds all that is left of the quota,
// with all holders together. It is false while what is known of the others is too
// old to decide.
func (al *Allocator) isExhausted(workspace string, tokens int64, now time.Time) bool {
	free, ok := al.ungranted(workspace)
	if !ok || now.Sub(al.allReadAt) > al.settings.FreshFor*time.Duration(al.listIntervalFactor()) {
		return false
	}
	if tokens > al.limit(workspace) {
		return true
	}
	alone := al.holderCountLocked() == 1
	if !alone && !al.isAccounted(workspace, now) {
		return false
	}
	l := al.localUsage(workspace)
	left := max(free, 0) + max(al.possibleStates[0].row.Accounts[workspace].Granted-l.spent(), 0) + al.othersUnspent(workspace)
	if !alone {
		// What has moved between the store and the homes since they were accounted may
		// be counted nowhere.
		moved := al.othersGranted(workspace) - l.othersGranted
		left += max(moved, -moved)
	}
	return tokens > left
}

// othersGranted returns what is granted to the other holders, by the workspace's
// row.
func (al *Allocator) othersGranted(workspace string) int64 {
	return al.workspaceRows[workspace].Granted - al.possibleStates[0].row.Accounts[workspace].Granted
}

// isAccounted reports whether what the others have left is known: they were asked
// recently, and the workspace's row was read after that or can't be read.
func (al *Allocator) isAccounted(workspace string, now time.Time) bool {
	l := al.localUsage(workspace)
	return now.Sub(l.accountedAt) <= al.settings.ExhaustedFreshFor || al.storeAway && now.Sub(l.askedAt) <= al.settings.ExhaustedFreshFor
}

// HolderCount returns the number of live holders, this one included.
func (al *Allocator) HolderCount() int {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.holderCountLocked()
}

// holderCountLocked is HolderCount for callers that hold mu.
func (al *Allocator) holderCountLocked() int {
	n := 1
	for range al.otherHolders() {
		n++
	}
	return n
}
