package quota_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"briarreach/quota"
	"briarreach/rowstore"
)

const workspace = "w"

// memory is a linearizable store of rows. A transaction may be applied and its
// answer lost, or be applied later.
type memory struct {
	rows    map[string]rowstore.Row
	version uint64
	now     time.Duration
	late    []rowstore.Tx
}

func newMemory() *memory { return &memory{rows: make(map[string]rowstore.Row)} }

func (m *memory) list(scope quota.Scope) []rowstore.Row {
	rows := make([]rowstore.Row, 0, len(m.rows))
	for _, r := range m.rows {
		if scope == quota.ScopeAll || r.Key.Table == quota.WorkspaceTable {
			rows = append(rows, r)
		}
	}
	return rows
}

// commit applies a transaction, or returns the rows of its condition.
func (m *memory) commit(tx rowstore.Tx) (rowstore.Committed, []rowstore.Row) {
	var current []rowstore.Row
	conflict := false
	for _, e := range tx.Expect {
		r, ok := m.rows[e.Key.Name]
		if !ok {
			r = rowstore.Row{Key: e.Key}
		}
		conflict = conflict || r.Version != e.Version
		current = append(current, r)
	}
	if conflict {
		return rowstore.Committed{}, current
	}
	m.version++
	for _, p := range tx.Put {
		p.Version = m.version
		m.rows[p.Key.Name] = p
	}
	return rowstore.Committed{Version: m.version, Time: m.now}, nil
}

// holder is a process of the simulated fleet.
type holder struct {
	name    string
	book    *quota.Allocator
	open    []int64 // reservations
	steady  time.Duration
	started int
}

// fleet is a set of holders and what they really consumed.
type fleet struct {
	store    *memory
	holders  []*holder
	consumed int64
	limit    int64
	version  int64
	epoch    time.Time
	rowsRead int
}

func newFleet(n int, limit int64) *fleet {
	f := &fleet{store: newMemory(), limit: limit, version: 1, epoch: time.Unix(1e9, 0)}
	for i := range n {
		h := &holder{name: fmt.Sprintf("h%d", i)}
		f.holders = append(f.holders, h)
		f.start(h)
	}
	return f
}

// start begins a new process under a holder's name; what the earlier one
// reserved was consumed.
func (f *fleet) start(h *holder) {
	for _, n := range h.open {
		f.consumed += n
	}
	h.open, h.steady = nil, 0
	h.started++
	h.book = quota.New("p", h.name, fmt.Sprintf("%s-%d", h.name, h.started), quota.Defaults())
	h.book.SetPeer(quota.Peer{Fingerprint: h.name})
	h.book.SetLimits(f.version, []quota.Limit{{Workspace: workspace, Tokens: f.limit}})
}

func (f *fleet) clock(h *holder) time.Time { return f.epoch.Add(h.steady) }

// pass lets time go by. A frozen holder's clock stands still.
func (f *fleet) pass(d time.Duration, frozen ...*holder) {
	f.store.now += d
	for _, h := range f.holders {
		if !slices.Contains(frozen, h) {
			h.steady += d
		}
	}
}

// answer is how the store answers one transaction.
type answer int

const (
	answered answer = iota
	lostApplied
	lostDropped
	lostLate
)

// sync brings a holder and the store together once.
func (f *fleet) sync(h *holder, how answer) {
	now := f.clock(h)
	f.read(h, h.book.ScopeToRead(now))
	for range 3 {
		plan := h.book.PrepareSync(now, false)
		switch how {
		case lostApplied:
			f.store.commit(plan.Tx)
			return
		case lostDropped:
			return
		case lostLate:
			f.store.late = append(f.store.late, plan.Tx)
			return
		}
		committed, current := f.store.commit(plan.Tx)
		if current == nil {
			h.book.ConfirmSync(plan, committed, now)
			return
		}
		h.book.DiscardSync(plan)
		Expect(h.book.LoadRows(current, quota.ScopeNone, f.store.now, now)).To(Succeed())
	}
}

// tick does what a process does between requests.
func (f *fleet) tick(h *holder) {
	f.read(h, h.book.ScopeToRead(f.clock(h)))
	if h.book.SyncDue(f.clock(h)) {
		f.sync(h, answered)
	}
}

// read gives a holder the rows of a scope.
func (f *fleet) read(h *holder, scope quota.Scope) {
	if scope == quota.ScopeNone {
		return
	}
	rows := f.store.list(scope)
	f.rowsRead += len(rows)
	Expect(h.book.LoadRows(rows, scope, f.store.now, f.clock(h))).To(Succeed())
}

// applyLate applies the transactions whose answers were lost.
func (f *fleet) applyLate() {
	for _, tx := range f.store.late {
		f.store.commit(tx)
	}
	f.store.late = nil
}

// reserve takes tokens at a holder, with the help of the store if it answers,
// and reports the decision.
func (f *fleet) reserve(h *holder, tokens int64, connected bool) quota.Decision {
	d := h.book.Reserve(workspace, tokens, f.clock(h))
	if d == quota.Insufficient && connected {
		f.sync(h, answered)
		d = h.book.Reserve(workspace, tokens, f.clock(h))
	}
	if d == quota.Granted {
		h.open = append(h.open, tokens)
	}
	return d
}

// finish settles a holder's oldest reservation.
func (f *fleet) finish(h *holder, consumed int64) {
	reserved := h.open[0]
	h.open = h.open[1:]
	consumed = min(consumed, reserved)
	h.book.Settle(workspace, reserved, consumed)
	f.consumed += consumed
}

// lend moves tokens between holders; a lost answer loses them.
func (f *fleet) lend(from, to *holder, tokens int64, lost bool) {
	given, left := from.book.Lend(workspace, tokens, tokens, f.clock(from))
	if !lost {
		to.book.AddLoan(workspace, given, from.name, left)
	}
}

// reserved returns what is consumed or may be.
func (f *fleet) reserved() int64 {
	sum := f.consumed
	for _, h := range f.holders {
		for _, n := range h.open {
			sum += n
		}
	}
	return sum
}
