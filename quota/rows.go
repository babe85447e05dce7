package quota

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"briarreach/rowstore"
)

// Tables of the rows. Workspaces are spread over the parts, which are the same
// in both tables; a transaction spans the rows of one part. The few rows of
// the workspaces are read often, the rows of all holders seldom.
const (
	WorkspaceTable = "quota"
	HolderTable    = "quota_holder"
)

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

// left returns what is granted and not spent.
func (a account) left() int64 { return a.Granted - a.Spent }

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

// Outcomes of a reservation.
const (
	Granted      Decision = iota
	Insufficient          // not enough is granted; a record or a draw may help
	Exhausted             // the quota is consumed or reserved, as far as the rows tell
	Unlimited             // the workspace has no quota
)

// RowError reports a row of another writer that can't be read.
type RowError struct {
	Row string
	Err error
}

func (e *RowError) Error() string { return fmt.Sprintf("quota row %s: %v", e.Row, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// Scope says which rows of a part are read.
type Scope int

// Scopes, each with the one before it.
const (
	ScopeNone       Scope = iota // or only some rows
	ScopeWorkspaces              // all rows of WorkspaceTable
	ScopeAll                     // all rows of both tables
)

// LoadRows takes rows as they are in the store. Scope says which rows are all
// there.
func (b *Allocator) LoadRows(rows []rowstore.Row, scope Scope, storeTime time.Duration, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first error
	for _, r := range rows {
		if err := b.loadRow(r); err != nil && first == nil {
			first = err
		}
	}
	b.storeTime, b.storeAt = storeTime, now
	if scope >= ScopeWorkspaces {
		b.workspacesAt = now
	}
	if scope >= ScopeAll {
		for name, l := range b.lowered {
			l.unverified = false
			b.lowered[name] = l
		}
		b.loaded, b.loadedAt, b.strangers, b.short = true, now, false, false
	}
	b.resolve()
	return first
}

func (b *Allocator) loadRow(r rowstore.Row) error {
	name := r.Key.Name
	if old, ok := b.rows[name]; ok && r.Version != 0 && old.Version > r.Version {
		return nil
	}
	b.rows[name] = r
	if r.Version == 0 || r.Deleted {
		return nil
	}
	if workspace, ok := strings.CutPrefix(name, totalPrefix); ok {
		var t total
		if err := json.Unmarshal(r.Value, &t); err != nil {
			return &RowError{Row: name, Err: err}
		}
		b.totals[workspace] = t
	}
	if holder, ok := strings.CutPrefix(name, holderPrefix); ok {
		var h holding
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return &RowError{Row: name, Err: err}
		}
		b.holdings[holder] = h
	}
	return nil
}

// resolve finds out which of the possible states the store holds.
func (b *Allocator) resolve() {
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
