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
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"briarreach/rowstore"
)

// Table holds the rows. Workspaces are spread over its parts; a transaction
// spans the workspaces of one part.
const Table = "quota"

const (
	totalPrefix  = "workspace/"
	holderPrefix = "holder/"
)

// total is the row of a workspace.
type total struct {
	Granted       int64 `json:"granted"` // to all holders, less what they returned
	Limit         int64 `json:"limit"`
	ConfigVersion int64 `json:"config_version"` // of Limit
}

// holding is the row of a holder.
type holding struct {
	Incarnation string             `json:"incarnation"`
	Sequence    int64              `json:"sequence"`
	At          int64              `json:"at_ms"` // store clock, not later than the state below
	Address     netip.AddrPort     `json:"address"`
	Fingerprint string             `json:"fingerprint"`
	Accounts    map[string]account `json:"accounts"`
}

// account is one workspace's part of a holder's row. Within Granted, the holder
// may consume Window tokens more than Spent. A holder that could not write for HoldMS milliseconds is
// taken to be cut off from the store, and Released tokens per second are added
// from then on.
type account struct {
	Granted  int64 `json:"granted"`
	Spent    int64 `json:"spent"` // consumed and reserved
	Window   int64 `json:"window"`
	HoldMS   int64 `json:"hold_ms"`
	Released int64 `json:"released"`
	Demand   int64 `json:"demand"` // tokens per second that callers ask this holder for
}

// maxSpent bounds what the holder can have consumed some time after the row.
// A time before the row means that the clocks can't be compared.
func (a account) maxSpent(elapsed time.Duration) int64 {
	if elapsed < 0 {
		return a.Granted
	}
	sum := a.Spent + a.Window
	if cut := elapsed - time.Duration(a.HoldMS)*time.Millisecond; cut > 0 {
		sum += int64(float64(a.Released) * cut.Seconds())
	}
	return min(a.Granted, sum)
}

// Settings are the figures of the grants.
type Settings struct {
	Parts       int           // parts of the table; the same in all processes
	Horizon     time.Duration // demand that a grant covers
	DemandTime  time.Duration // time constant of the demand's average
	WindowTime  time.Duration // demand that may be consumed ahead of the record
	PlentyTime  time.Duration // a quota that lasts longer is not short, and RiskPart holds
	RiskPart    float64       // part of what is left of a quota that the windows of all holders may span
	HoldTime    time.Duration // without the store, after which the rest of the balance is released
	ReleaseTime time.Duration // in which it is released
	ScarceRisk  float64       // the same for a quota that is short
	FloorPart   float64       // part of what is left that the floors of all holders may span
	GrantedPart float64       // part of what is left of a quota that all holders may hold together
	RefillBelow float64       // part of the wanted balance below which more is drawn
	ReturnAbove float64       // part of the wanted balance above which the rest is returned
	Floor       int64         // tokens that a grant has at least, while the quota is not short
	LiveFor     time.Duration // a holder whose record is older does not count
	FreshFor    time.Duration // age up to which the rows decide that a quota is exhausted
	SyncEvery   time.Duration // pause between records while tokens are consumed
	UrgentEvery time.Duration // pause between records while a request waits
	TxTime      time.Duration // that the store has for each transaction of all holders
	ListEvery   time.Duration // pause between readings of all rows
	UnsureRetry time.Duration // after how long a caller may come back
}

// Defaults returns the settings that hold if nothing else is said.
func Defaults() Settings {
	return Settings{Parts: 4, Horizon: 15 * time.Second, DemandTime: 6 * time.Second, WindowTime: 1500 * time.Millisecond, PlentyTime: time.Minute, RiskPart: 0.25, ScarceRisk: 0.05, FloorPart: 0.2,
		HoldTime: 2 * time.Second, ReleaseTime: 6 * time.Second, GrantedPart: 0.75, RefillBelow: 0.8, ReturnAbove: 1.5,
		Floor: 30_000, LiveFor: 15 * time.Second, FreshFor: 3 * time.Second, SyncEvery: 700 * time.Millisecond,
		UrgentEvery: 30 * time.Millisecond, TxTime: 3 * time.Millisecond, ListEvery: 2 * time.Second, UnsureRetry: 500 * time.Millisecond}
}

// Validate reports the first setting out of range.
func (s Settings) Validate() error {
	if s.Parts < 1 {
		return &SettingError{Name: "parts"}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"horizon", s.Horizon}, {"demand_time", s.DemandTime}, {"release_time", s.ReleaseTime}, {"live_for", s.LiveFor},
		{"fresh_for", s.FreshFor}, {"sync_every", s.SyncEvery}, {"list_every", s.ListEvery}} {
		if d.value <= 0 {
			return &SettingError{Name: d.name}
		}
	}
	return nil
}

// SettingError reports a setting that is not positive.
type SettingError struct{ Name string }

func (e *SettingError) Error() string { return "quota." + e.Name + ": accepted is a positive value" }

// Limit is a workspace's quota in the configuration.
type Limit struct {
	Workspace string
	Tokens    int64
}

// Book is what one holder knows and may consume. It is safe for concurrent
// use.
type Book struct {
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
func New(part, holder, incarnation string, s Settings) *Book {
	return &Book{settings: s, part: part, holder: holder, incarnation: incarnation, limits: make(map[string]int64),
		rows: make(map[string]rowstore.Row), totals: make(map[string]total), holdings: make(map[string]holding),
		accounts: make(map[string]*local), told: make(map[string]told),
		lowered: make(map[string]lowered), states: []state{{}}}
}

// Part returns the part of the table that holds the book's rows.
func (b *Book) Part() string { return b.part }

// SetLimits takes the quotas of a configuration.
func (b *Book) SetLimits(version int64, limits []Limit) {
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

// Outcomes of a reservation.
const (
	Granted   Decision = iota
	Short              // not enough is granted; a record or a draw may help
	Exhausted          // the quota is consumed or reserved, as far as the rows tell
	Unlimited          // the workspace has no quota
)

// Reserve takes tokens for a request. If the outcome is Short, the request is
// noted as waiting until Release.
func (b *Book) Reserve(workspace string, tokens int64, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.limits[workspace]; !ok {
		return Unlimited
	}
	l := b.local(workspace)
	if l.spent()+tokens <= b.allowance(workspace, now) {
		l.reserved += tokens
		l.note(tokens, now, b.settings.DemandTime)
		return Granted
	}
	if b.exhausted(workspace, tokens, now) {
		return Exhausted
	}
	if tokens > l.waiting {
		l.waiting = tokens
	}
	b.urgent = true
	return Short
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
func (b *Book) Settle(workspace string, reserved, consumed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.local(workspace)
	l.reserved -= reserved
	l.used += consumed
}

func (b *Book) local(workspace string) *local {
	l := b.accounts[workspace]
	if l == nil {
		l = &local{}
		b.accounts[workspace] = l
	}
	return l
}

// allowance returns how much this holder may have consumed and reserved. All
// states that the store may hold bind.
func (b *Book) allowance(workspace string, now time.Time) int64 {
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
func (b *Book) limit(workspace string) int64 {
	if t, ok := b.totals[workspace]; ok && t.ConfigVersion > b.configVersion {
		return t.Limit
	}
	return b.limits[workspace]
}

// Balance returns what is granted and not consumed, how much of it may be
// consumed now, and the age of what is known of other holders.
func (b *Book) Balance(workspace string, now time.Time) (balance, allowed int64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := b.local(workspace).spent()
	return b.states[0].holding.Accounts[workspace].Granted - spent, max(b.allowance(workspace, now)-spent, 0), now.Sub(b.loadedAt)
}

// free returns what is granted to nobody.
func (b *Book) free(workspace string) (int64, bool) {
	if !b.loaded {
		return 0, false
	}
	return b.limit(workspace) - b.totals[workspace].Granted, true
}

// unspent returns what the other holders had left in their last records.
func (b *Book) unspent(workspace string) int64 {
	var sum int64
	for name, h := range b.holdings {
		if name != b.holder && b.live(h) {
			a := h.Accounts[workspace]
			sum += max(a.Granted-a.Spent, 0)
		}
	}
	return sum
}

// demandOfOthers returns the demand that the other holders recorded.
func (b *Book) demandOfOthers(workspace string) float64 {
	sum := 0.0
	for name, h := range b.holdings {
		if name != b.holder && b.live(h) {
			sum += float64(h.Accounts[workspace].Demand)
		}
	}
	return sum
}

func (b *Book) live(h holding) bool {
	return b.storeTime-time.Duration(h.At)*time.Millisecond < b.settings.LiveFor
}

// exhausted reports whether a request can't fit, whoever holds the rest.
func (b *Book) exhausted(workspace string, tokens int64, now time.Time) bool {
	free, ok := b.free(workspace)
	if !ok || now.Sub(b.loadedAt) > b.settings.FreshFor {
		return false
	}
	own := max(b.states[0].holding.Accounts[workspace].Granted-b.local(workspace).spent(), 0)
	return tokens > max(free, 0)+own+b.unspent(workspace)
}

// Holders returns the number of live holders, this one included.
func (b *Book) Holders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holders()
}

func (b *Book) holders() int {
	n := 1
	for name, h := range b.holdings {
		if name != b.holder && b.live(h) {
			n++
		}
	}
	return n
}

// RowError reports a row of another writer that can't be read.
type RowError struct {
	Row string
	Err error
}

func (e *RowError) Error() string { return fmt.Sprintf("quota row %s: %v", e.Row, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// Load takes rows as they are in the store. Complete says that they are all
// rows of the part.
func (b *Book) Load(rows []rowstore.Row, complete bool, storeTime time.Duration, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first error
	for _, r := range rows {
		if err := b.loadRow(r); err != nil && first == nil {
			first = err
		}
	}
	b.storeTime, b.storeAt = storeTime, now
	if complete {
		for name, l := range b.lowered {
			l.unverified = false
			b.lowered[name] = l
		}
		b.loaded, b.loadedAt, b.strangers = true, now, false
	}
	b.resolve()
	return first
}

func (b *Book) loadRow(r rowstore.Row) error {
	name := r.Key.Name
	if old, ok := b.rows[name]; ok && r.Version != 0 && old.Version > r.Version {
		return nil
	}
	b.rows[name] = r
	if r.Version == 0 || r.Deleted {
		return nil
	}
	switch {
	case len(name) > len(totalPrefix) && name[:len(totalPrefix)] == totalPrefix:
		var t total
		if err := json.Unmarshal(r.Value, &t); err != nil {
			return &RowError{Row: name, Err: err}
		}
		b.totals[name[len(totalPrefix):]] = t
	case len(name) > len(holderPrefix) && name[:len(holderPrefix)] == holderPrefix:
		var h holding
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return &RowError{Row: name, Err: err}
		}
		b.holdings[name[len(holderPrefix):]] = h
	}
	return nil
}

// resolve finds out which of the possible states the store holds.
func (b *Book) resolve() {
	h, ok := b.holdings[b.holder]
	if !ok || h.Incarnation != b.incarnation {
		return
	}
	for i, s := range b.states {
		if s.holding.Sequence == h.Sequence {
			// Later ones are not applied, but may still be, until their
			// condition fails.
			b.states = append([]state{s}, b.states[i+1:]...)
			return
		}
	}
}

// Plan is a transaction to commit, and what it does.
type Plan struct {
	Tx       rowstore.Tx
	Drawn    map[string]int64
	Returned map[string]int64
	Left     map[string]int64 // of each changed quota, granted to nobody
	Others   map[string]int64 // of each changed quota, unspent at other holders
	Adopted  map[string]int64 // left in the grants of this VM's earlier process; nil if there was none
	next     state
	totals   map[string]total
}

// Due reports whether the book should be recorded or drawn for now.
func (b *Book) Due(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.states) != 1 || b.recorded.IsZero() && len(b.limits) > 0 {
		return true
	}
	if b.urgent && !b.recorded.IsZero() {
		return now.Sub(b.recorded) >= b.urgentPause()
	}
	return now.Sub(b.recorded) >= b.settings.SyncEvery && b.changed()
}

// urgentPause shares the transactions that the part of the store takes among
// all holders.
func (b *Book) urgentPause() time.Duration {
	return max(b.settings.UrgentEvery, time.Duration(b.holders())*b.settings.TxTime)
}

func (b *Book) changed() bool {
	for name, l := range b.accounts {
		if a := b.states[0].holding.Accounts[name]; l.spent() != a.Spent {
			return true
		}
	}
	return false
}

// NeedsList reports whether all rows should be read again.
func (b *Book) NeedsList(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.lowered {
		if l.unverified {
			return true
		}
	}
	if b.strangers && now.Sub(b.loadedAt) >= b.settings.SyncEvery {
		return true
	}
	return !b.loaded || now.Sub(b.loadedAt) >= b.settings.ListEvery || len(b.states) > 1
}

// Prepare returns the next transaction. Its state binds from now on, as the
// store may apply it even if no answer comes.
func (b *Book) Prepare(now time.Time, closing bool) Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urgent = false
	b.sequence++
	p := Plan{Drawn: map[string]int64{}, Returned: map[string]int64{}, Left: map[string]int64{}, Others: map[string]int64{}, totals: map[string]total{}}
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
func (b *Book) adopt(p *Plan, old holding, elapsed time.Duration) {
	for name, spent := range b.adopted {
		b.local(name).used -= spent // a plan that was not applied
	}
	p.Adopted, b.adopted = map[string]int64{}, map[string]int64{}
	since := b.storeTime + elapsed - time.Duration(old.At)*time.Millisecond
	accounts := make(map[string]account, len(old.Accounts))
	for name, a := range old.Accounts {
		spent := a.maxSpent(since)
		p.Adopted[name] = a.Granted - spent
		accounts[name] = account{Granted: a.Granted, Spent: spent}
		b.local(name).used += spent
		b.adopted[name] = spent
	}
	b.states[0].holding.Accounts = accounts
}

func (b *Book) workspaces() []string {
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
func (b *Book) planAccount(p *Plan, name string, now time.Time, closing bool) {
	l := b.local(name)
	granted := b.states[0].holding.Accounts[name].Granted
	t, changed := p.totals[name]
	if !changed {
		t = b.totals[name]
	}
	limit := b.limit(name)
	free := limit - t.Granted
	balance := granted - l.spent()
	demand := l.demandNow(now, b.settings.DemandTime)
	left := max(free+max(balance, 0)+b.unspent(name), 0)
	fair := int64(b.settings.GrantedPart * float64(left) * b.share(demand, b.demandOfOthers(name)))
	floor := min(b.settings.Floor, int64(b.settings.FloorPart*float64(left)/float64(b.holders())))
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
	window := max(int64(demand*b.settings.WindowTime.Seconds()), l.waiting,
		int64(b.settings.ScarceRisk*float64(left)/float64(b.holders())))
	if float64(left) > (demand+b.demandOfOthers(name))*b.settings.PlentyTime.Seconds() {
		window = max(window, l.largest, int64(b.settings.RiskPart*float64(left)/float64(b.holders())))
	}
	p.next.holding.Accounts[name] = account{Granted: granted, Spent: l.spent(),
		Window: min(window, balance),
		HoldMS: b.settings.HoldTime.Milliseconds(), Released: int64(float64(balance) / b.settings.ReleaseTime.Seconds()),
		Demand: int64(demand)}
	l.waiting, l.recalled = 0, false
}

// idleShare is the part of an equal share that a holder without demand may have.
const idleShare = 0.25

// share returns this holder's part of what all holders may have.
func (b *Book) share(own, others float64) float64 {
	equal := 1 / float64(b.holders())
	if own+others <= 0 {
		return equal
	}
	return max(own/(own+others), idleShare*equal)
}

// fill makes the transaction of a plan.
func (b *Book) fill(p *Plan) {
	add := func(name string, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // structs of numbers and text
		}
		key := rowstore.Key{Table: Table, Part: b.part, Name: name}
		p.Tx.Expect = append(p.Tx.Expect, rowstore.Row{Key: key, Version: b.rows[name].Version})
		p.Tx.Put = append(p.Tx.Put, rowstore.Row{Key: key, Value: data})
	}
	add(holderPrefix+b.holder, p.next.holding)
	names := make([]string, 0, len(p.totals))
	for name := range p.totals {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.Others[name] = b.unspent(name)
		p.Left[name] = b.limit(name) - p.totals[name].Granted
		add(totalPrefix+name, p.totals[name])
	}
}

// Committed takes a plan that the store has applied.
func (b *Book) Committed(p Plan, c rowstore.Committed, now time.Time) {
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

// Rejected takes a plan that the store has not applied and never will.
func (b *Book) Rejected(p Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states = slices.DeleteFunc(b.states, func(s state) bool { return s.holding.Sequence == p.next.holding.Sequence })
	b.urgent = true
}
