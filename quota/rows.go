package quota

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"briarreach/rowstore"
)

// Tables of the rows. Workspaces are spread over the parts of a table, which are
// the same in both tables; a transaction spans the rows of one part. The few
// workspace rows are read often, the rows of all holders seldom.
const (
	WorkspaceTable = "quota"
	HolderTable    = "quota_holder"
)

const (
	workspacePrefix = "workspace/"
	holderPrefix    = "holder/"
)

// workspaceRow is the stored row of a workspace.
type workspaceRow struct {
	Granted       int64  `json:"granted"` // to all holders, less the returned tokens
	Limit         int64  `json:"limit"`
	ConfigVersion int64  `json:"config_version"`        // of Limit
	Era           uint64 `json:"era,omitempty"`         // of the store when a holder drew last
	WrittenOff    int64  `json:"written_off,omitempty"` // part of Granted that no known holder has: grants that the store may have lost
}

// holderRow is the stored row of a holder.
type holderRow struct {
	Incarnation  string             `json:"incarnation"`
	Sequence     int64              `json:"sequence"`
	Era          uint64             `json:"era,omitempty"`          // of the store when the row was written
	EraSinceMS   int64              `json:"era_since_ms,omitempty"` // when the holder first saw the era, by the store's clock
	RecordedAtMS int64              `json:"at_ms"`                  // reading of the store's monotonic clock, at or before the time that the accounts describe
	Address      netip.AddrPort     `json:"address"`
	Fingerprint  string             `json:"fingerprint"`
	Reclaims     int64              `json:"reclaims,omitempty"`      // transactions of other holders that took closed tokens since Sequence
	RegisteredMS int64              `json:"registered_ms,omitempty"` // since when the holder has had a row without a gap, by the store's clock
	CopiedMS     int64              `json:"copied_ms,omitempty"`     // time of the newest row in the copy from which Era was restored
	DoubtedEra   uint64             `json:"doubted_era,omitempty"`   // the last era for which the store may have lost grants that nobody knows
	Accounts     map[string]account `json:"accounts"`
}

// account is one workspace's part of a holder's row. Within Granted, the holder
// may consume Window tokens more than Spent. A holder that has not written for
// ReleaseDelayMS is assumed to be cut off from the store; from then on, the
// window grows by ReleaseRate tokens per second, for ReleaseForMS. What is granted
// beyond that is closed: the holder can't consume it before it writes again, so
// others may take it.
type account struct {
	Granted        int64 `json:"granted"`
	Spent          int64 `json:"spent"` // consumed and reserved
	Window         int64 `json:"window"`
	ReleaseDelayMS int64 `json:"hold_ms"`
	ReleaseRate    int64 `json:"released"`
	ReleaseForMS   int64 `json:"release_ms,omitempty"` // 0, in rows of older builds, is without end
	Demand         int64 `json:"demand"`               // tokens per second requested from this holder
}

// unspent returns what is granted and not spent.
func (a account) unspent() int64 { return a.Granted - a.Spent }

// maxSpent returns the most that the holder can have consumed some time after
// the row. A negative time means that the clocks can't be compared.
func (a account) maxSpent(elapsed time.Duration) int64 {
	if elapsed < 0 {
		return a.Granted
	}
	sum := a.Spent + a.Window
	cut := elapsed - time.Duration(a.ReleaseDelayMS)*time.Millisecond
	if a.ReleaseForMS > 0 {
		cut = min(cut, a.releaseTime())
	}
	if cut > 0 {
		sum += int64(float64(a.ReleaseRate) * cut.Seconds())
	}
	return min(a.Granted, sum)
}

func (a account) releaseTime() time.Duration { return time.Duration(a.ReleaseForMS) * time.Millisecond }

// closed returns what the holder can't consume before it writes its row again.
func (a account) closed() int64 {
	if a.ReleaseForMS <= 0 || a.Granted <= 0 {
		return 0
	}
	return a.Granted - max(a.maxSpent(time.Duration(a.ReleaseDelayMS)*time.Millisecond+a.releaseTime()), 0)
}

// Decisions. Reserved is about the tokens of a request; "granted" is what the
// store has granted to a holder.
const (
	Reserved     Decision = iota
	Insufficient          // not enough is granted; a sync or a loan may help
	Exhausted             // by the rows, the request exceeds all that is left of the quota
	Unlimited             // the workspace has no quota
)

// RowError reports a stored row that can't be decoded.
type RowError struct {
	Row string
	Err error
}

func (e *RowError) Error() string { return fmt.Sprintf("quota row %s: %v", e.Row, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// Scope says which rows of a part are read completely.
type Scope int

// Scopes, each including the one before it.
const (
	ScopeNone       Scope = iota // none; LoadRows may still get single rows
	ScopeWorkspaces              // all rows of WorkspaceTable
	ScopeAll                     // all rows of both tables
)

// LoadRows applies rows read from the store. If they are all rows of a scope,
// scope says so.
func (al *Allocator) LoadRows(rows []rowstore.Row, scope Scope, storeTime time.Duration, now time.Time) error {
	al.mu.Lock()
	defer al.mu.Unlock()
	var first error
	for _, r := range rows {
		if err := al.loadRow(r); err != nil && first == nil {
			first = err
		}
	}
	al.storeTime, al.storeTimeReadAt = storeTime, now
	if scope >= ScopeWorkspaces {
		al.workspacesReadAt = now
		for name, l := range al.usage {
			if now.Sub(l.askedAt) <= al.settings.ExhaustedFreshFor {
				l.accountedAt, l.othersGranted = now, al.othersGranted(name)
			}
		}
	}
	if scope >= ScopeAll {
		if al.unknownPeer {
			al.unknownPeerReads++
		} else {
			al.unknownPeerReads = 0
		}
		for name, l := range al.lowered {
			l.unverified = false
			al.lowered[name] = l
		}
		al.allReadStoreTime = storeTime
		// The store read its clock after the request: not earlier than this.
		al.startStoreTime = storeTime - al.readRequestedAt.Sub(al.startedAt)
		al.allRead, al.allReadAt, al.unknownPeer, al.insufficient = true, now, false, false
		al.noteCopy()
	}
	al.resolveState()
	return first
}

func (al *Allocator) loadRow(r rowstore.Row) error {
	name := r.Key.Name
	if old, ok := al.rows[name]; ok && r.Version != 0 && old.Version > r.Version {
		return nil
	}
	al.rows[name] = r
	if r.Version == 0 || r.Deleted {
		return nil
	}
	if workspace, ok := strings.CutPrefix(name, workspacePrefix); ok {
		var w workspaceRow
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return &RowError{Row: name, Err: err}
		}
		switch known := al.workspaceRows[workspace]; {
		case known.ConfigVersion > w.ConfigVersion:
			// The store has lost the row with the newer limit.
			w.Limit, w.ConfigVersion = known.Limit, known.ConfigVersion
			l := al.lowered[workspace]
			l.unwritten = true
			al.lowered[workspace] = l
		case w.ConfigVersion >= al.configVersion:
			if l, ok := al.lowered[workspace]; ok && !l.unverified {
				delete(al.lowered, workspace)
			}
		}
		al.workspaceRows[workspace] = w
	}
	if holder, ok := strings.CutPrefix(name, holderPrefix); ok {
		var h holderRow
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return &RowError{Row: name, Err: err}
		}
		al.storedHolders[holder] = h
		if n, ok := al.notices[holder]; ok && !n.isNewer(h) {
			delete(al.notices, holder)
		}
		if known, ok := al.holderRows[holder]; !ok || al.isCurrent(holder) && holder != al.holder || h.isNewer(known) {
			al.holderRows[holder] = h
		}
		al.directory.add(h.peer(holder), time.Duration(h.RecordedAtMS)*time.Millisecond)
	}
	return nil
}

// resolveState drops the possible states that the store has superseded.
func (al *Allocator) resolveState() {
	h, ok := al.holderRows[al.holder]
	if !ok || h.Incarnation != al.incarnation {
		return
	}
	for i, s := range al.possibleStates {
		if s.row.Sequence == h.Sequence {
			if i > 0 && h.isRegistering() {
				h.RegisteredMS = al.storeTime.Milliseconds()
				al.holderRows[al.holder] = h
			}
			if h.Reclaims > s.row.Reclaims {
				s.row.Accounts, s.row.Reclaims = h.Accounts, h.Reclaims
			}
			// Later states may still be committed until their conditions fail.
			al.possibleStates = append([]possibleState{s}, al.possibleStates[i+1:]...)
			return
		}
	}
}
