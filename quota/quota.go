// Package quota keeps the consumption of each workspace within its token
// quota, over all processes, restarts and partitions, by escrow: a process
// consumes only from amounts that were granted to it in the shared store.
//
// Load patterns and failures:
//   - Processes are cut off from the store for seconds: grants cover the demand
//     of that time, and become small as the quota runs out.
//   - All processes are killed at once: what their grants held must not be lost
//     to the workspaces, nor be consumed twice. A process records what it has
//     consumed, and may exceed the record only by a window that grows with
//     time. Its successor on the same VM knows that it is dead and returns the
//     rest of the grant.
//   - Answers of the store are lost, or transactions are applied late: the
//     strictest of all states that the store may hold is in force.
//
// The tests "partition", "kill of all processes" and "lost answers" replay
// them.
package quota

import (
	"iter"
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

// Allocator is what one holder knows and may consume. It is safe for concurrent
// use.
type Allocator struct {
	settings    Settings
	part        string
	holder      string
	incarnation string

	mu            sync.Mutex
	configVersion int64
	limits        map[string]int64
	rows          map[string]rowstore.Row // by row name, as last seen
	totals        map[string]total
	holdings      map[string]holding
	loaded        bool
	loadedAt      time.Time
	workspacesAt  time.Time     // when the rows of the workspaces were read
	storeTime     time.Duration // at loadedStore
	storeAt       time.Time
	sequence      int64
	accounts      map[string]*local
	states        []state // what the store may hold for this process, the confirmed one first
	recorded      time.Time
	urgent        bool
	lowered       map[string]lowered
	adopted       map[string]int64 // what the earlier process is taken to have consumed
	strangers     bool             // whether a peer called that no row names
	short         bool             // whether too little was granted for a request since the rows were read
	peer          Peer
	told          map[string]told
}

// lowered is what remains to be done after a quota was lowered: read what all
// holders have been granted, and write the new limit for holders that do not
// know it.
type lowered struct{ unverified, unwritten bool }

// local is this holder's own count for a workspace.
type local struct {
	used     int64
	reserved int64
	demand   float64 // tokens per second, exponentially weighted
	demandAt time.Time
	largest  int64 // largest recent request
	waiting  int64 // largest request that waits for a grant
	recalled bool  // whether another holder asked for more than could be lent
}

func (l *local) spent() int64 { return l.used + l.reserved }

// state is a holding that the store may have, and when it was made.
type state struct {
	holding holding
	at      time.Time
}

// New returns the book of a holder for the workspaces of a part. Incarnation
// differs at each start.
func New(part, holder, incarnation string, s Settings) *Allocator {
	return &Allocator{settings: s, part: part, holder: holder, incarnation: incarnation, limits: make(map[string]int64),
		rows: make(map[string]rowstore.Row), totals: make(map[string]total), holdings: make(map[string]holding),
		accounts: make(map[string]*local), told: make(map[string]told),
		lowered: make(map[string]lowered), states: []state{{}}}
}

// Part returns the part of the table that holds the book's rows.
func (b *Allocator) Part() string { return b.part }

// SetLimits takes the quotas of a configuration.
func (b *Allocator) SetLimits(version int64, limits []Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.configVersion {
		return
	}
	b.configVersion = version
	next := make(map[string]int64, len(limits))
	for _, l := range limits {
		next[l.Workspace] = l.Tokens
		if old, ok := b.limits[l.Workspace]; ok && l.Tokens < old {
			b.urgent = true
			b.lowered[l.Workspace] = lowered{unverified: true, unwritten: true}
		}
	}
	b.limits = next
}

// Decision is the outcome of a reservation.
type Decision int

// Reserve takes tokens for a request. If the outcome is Short, the request is
// noted as waiting until Release.
func (b *Allocator) Reserve(workspace string, tokens int64, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.limits[workspace]; !ok {
		return Unlimited
	}
	l := b.local(workspace)
	if l.spent()+tokens <= b.allowance(workspace, now) {
		l.reserved += tokens
		l.note(tokens, now, b.settings.DemandTimeConstant)
		return Granted
	}
	if b.exhausted(workspace, tokens, now) {
		return Exhausted
	}
	if tokens > l.waiting {
		l.waiting = tokens
	}
	b.urgent, b.short = true, true
	return Insufficient
}

func (l *local) note(tokens int64, now time.Time, constant time.Duration) {
	if !l.demandAt.IsZero() {
		l.demand *= math.Exp(-now.Sub(l.demandAt).Seconds() / constant.Seconds())
	}
	l.demandAt = now
	l.demand += float64(tokens) / constant.Seconds()
	l.largest = max(tokens, l.largest-l.largest/16)
}

func (l *local) demandNow(now time.Time, constant time.Duration) float64 {
	if l.demandAt.IsZero() {
		return 0
	}
	return l.demand * math.Exp(-now.Sub(l.demandAt).Seconds()/constant.Seconds())
}

// Settle replaces a reservation by what was consumed.
func (b *Allocator) Settle(workspace string, reserved, consumed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.local(workspace)
	l.reserved -= reserved
	l.used += consumed
}

func (b *Allocator) local(workspace string) *local {
	l := b.accounts[workspace]
	if l == nil {
		l = &local{}
		b.accounts[workspace] = l
	}
	return l
}

// allowance returns how much this holder may have consumed and reserved. All
// states that the store may hold bind.
func (b *Allocator) allowance(workspace string, now time.Time) int64 {
	if free, ok := b.free(workspace); ok && free < 0 || b.lowered[workspace].unverified {
		return 0
	}
	allowed := int64(math.MaxInt64)
	for _, s := range b.states {
		allowed = min(allowed, s.holding.Accounts[workspace].maxSpent(now.Sub(s.at)))
	}
	return allowed
}

// limit returns the quota in force: the one of the newest configuration that
// any holder has seen.
func (b *Allocator) limit(workspace string) int64 {
	if t, ok := b.totals[workspace]; ok && t.ConfigVersion > b.configVersion {
		return t.Limit
	}
	return b.limits[workspace]
}

// Balance returns what is granted and not consumed, how much of it may be
// consumed now, and the age of what is known of other holders.
func (b *Allocator) Balance(workspace string, now time.Time) (balance, allowed int64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := b.local(workspace).spent()
	return b.states[0].holding.Accounts[workspace].Granted - spent, max(b.allowance(workspace, now)-spent, 0), now.Sub(b.loadedAt)
}

// free returns what is granted to nobody.
func (b *Allocator) free(workspace string) (int64, bool) {
	if !b.loaded {
		return 0, false
	}
	return b.limit(workspace) - b.totals[workspace].Granted, true
}

// unspent returns what the other holders had left in their last records.
func (b *Allocator) unspent(workspace string) int64 {
	var sum int64
	for _, h := range b.others() {
		sum += max(h.Accounts[workspace].left(), 0)
	}
	return sum
}

// demandOfOthers returns the demand that the other holders recorded.
func (b *Allocator) demandOfOthers(workspace string) float64 {
	sum := 0.0
	for _, h := range b.others() {
		sum += float64(h.Accounts[workspace].Demand)
	}
	return sum
}

// others yields the other live holders by name.
func (b *Allocator) others() iter.Seq2[string, holding] {
	return func(yield func(string, holding) bool) {
		for name, h := range b.holdings {
			if name != b.holder && b.live(h) && !yield(name, h) {
				return
			}
		}
	}
}

func (b *Allocator) live(h holding) bool {
	return b.storeTime-time.Duration(h.At)*time.Millisecond < b.settings.LiveFor
}

// exhausted reports whether a request can't fit, whoever holds the rest.
func (b *Allocator) exhausted(workspace string, tokens int64, now time.Time) bool {
	free, ok := b.free(workspace)
	if !ok || now.Sub(b.loadedAt) > b.settings.FreshFor*time.Duration(b.listFactor()) {
		return false
	}
	own := max(b.states[0].holding.Accounts[workspace].Granted-b.local(workspace).spent(), 0)
	return tokens > max(free, 0)+own+b.unspent(workspace)
}

// HolderCount returns the number of live holders, this one included.
func (b *Allocator) HolderCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders()
}

func (b *Allocator) holders() int {
	n := 1
	for range b.others() {
		n++
	}
	return n
}
