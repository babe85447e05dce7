package quota_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"briarreach/quota"
	"briarreach/rowstore"
)

const workspace = "w"

// fakeStore is a linearizable store of rows.
type fakeStore struct {
	rows    map[string]rowstore.Row
	version uint64
	now     time.Duration
	lateTxs []rowstore.Tx
	era     uint64
	commits int
	copy    *fakeStore
}

// keepCopy keeps a copy of the rows, from which restore restores the store.
func (s *fakeStore) keepCopy() {
	s.copy = &fakeStore{rows: maps.Clone(s.rows), version: s.version, now: s.now}
}

// restore begins a new era with the rows of the copy. Transactions that were not
// applied are lost.
func (s *fakeStore) restore() {
	s.rows, s.version, s.lateTxs = maps.Clone(s.copy.rows), s.copy.version, nil
	s.era++
}

func newFakeStore() *fakeStore { return &fakeStore{rows: make(map[string]rowstore.Row), era: 1} }

func (s *fakeStore) list(scope quota.Scope) []rowstore.Row {
	rows := make([]rowstore.Row, 0, len(s.rows))
	for _, r := range s.rows {
		if scope == quota.ScopeAll || r.Key.Table == quota.WorkspaceTable {
			rows = append(rows, r)
		}
	}
	return rows
}

// commit applies a transaction, or returns the current rows of its condition.
func (s *fakeStore) commit(tx rowstore.Tx) (rowstore.Committed, []rowstore.Row) {
	s.commits++
	var current []rowstore.Row
	conflict := false
	for _, e := range tx.Expect {
		r, ok := s.rows[e.Key.Name]
		if !ok {
			r = rowstore.Row{Key: e.Key}
		}
		conflict = conflict || r.Version != e.Version
		current = append(current, r)
	}
	if conflict {
		return rowstore.Committed{}, current
	}
	s.version++
	for _, p := range tx.Put {
		p.Version = s.version
		s.rows[p.Key.Name] = p
	}
	return rowstore.Committed{Era: s.era, Version: s.version, Time: s.now}, nil
}

// holder is a simulated process.
type holder struct {
	name         string
	allocator    *quota.Allocator
	reservations []int64 // tokens
	clockReading time.Duration
	incarnations int
}

// fleet is a set of holders, with their true consumption.
type fleet struct {
	store         *fakeStore
	holders       []*holder
	consumed      int64
	limit         int64
	configVersion int64
	epoch         time.Time
	rowsRead      int
	loans         int
	reclaimed     int64 // tokens taken from the grants of silent holders
	noticesLost   bool  // whether no announcement of grants arrives
}

func newFleet(n int, limit int64) *fleet {
	f := &fleet{store: newFakeStore(), limit: limit, configVersion: 1, epoch: time.Unix(1e9, 0)}
	for i := range n {
		h := &holder{name: fmt.Sprintf("h%d", i)}
		f.holders = append(f.holders, h)
		f.start(h)
	}
	return f
}

// start replaces a holder's process by a new one. The reservations of the
// earlier one count as consumed.
func (f *fleet) start(h *holder) {
	for _, n := range h.reservations {
		f.consumed += n
	}
	h.reservations, h.clockReading = nil, 0
	h.incarnations++
	h.allocator = quota.New("p", h.name, fmt.Sprintf("%s-%d", h.name, h.incarnations), quota.Defaults())
	h.allocator.SetOwnPeer(quota.Peer{Fingerprint: h.name})
	h.allocator.SetLimits(f.configVersion, []quota.Limit{{Workspace: workspace, Tokens: f.limit}})
	h.allocator.ScopeToRead(f.clock(h)) // as the first step of a process, whether or not the store responds
}

// stop ends a holder's process after its requests are finished. If the store
// responds, it returns what is not spent.
func (f *fleet) stop(h *holder, connected bool) {
	for len(h.reservations) > 0 {
		f.finish(h, h.reservations[0])
	}
	if connected {
		f.enterEra(h)
		if !h.allocator.AwaitsPredecessor() {
			plan := h.allocator.PrepareSync(f.clock(h), true)
			f.store.commit(plan.Tx)
		}
	}
	f.start(h)
}

func (f *fleet) clock(h *holder) time.Time { return f.epoch.Add(h.clockReading) }

// advance advances the clocks, except those of frozen holders.
func (f *fleet) advance(d time.Duration, frozen ...*holder) {
	f.store.now += d
	for _, h := range f.holders {
		if !slices.Contains(frozen, h) {
			h.clockReading += d
		}
	}
}

// response is the store's response to a transaction: it arrives, or it is lost
// after the transaction was applied, was dropped, or is applied later.
type response int

const (
	arrived response = iota
	lostApplied
	lostDropped
	lostLate
)

// sync runs one sync of a holder with the store.
func (f *fleet) sync(h *holder, res response) {
	now := f.clock(h)
	f.enterEra(h)
	f.read(h, h.allocator.ScopeToRead(now))
	if h.allocator.AwaitsPredecessor() {
		return
	}
	for range 3 {
		plan := h.allocator.PrepareSync(now, false)
		switch res {
		case lostApplied:
			f.store.commit(plan.Tx)
			return
		case lostDropped:
			return
		case lostLate:
			f.store.lateTxs = append(f.store.lateTxs, plan.Tx)
			return
		}
		committed, current := f.store.commit(plan.Tx)
		if current == nil {
			h.allocator.ConfirmSync(plan, committed, now)
			f.reclaimed += plan.Reclaimed[workspace]
			for _, n := range h.allocator.Notices(plan) {
				if f.noticesLost {
					break
				}
				for _, other := range f.holders {
					other.allocator.HandleNotice(n)
				}
			}
			return
		}
		h.allocator.DiscardSync(plan)
		Expect(h.allocator.LoadRows(current, quota.ScopeNone, f.store.now, now)).To(Succeed())
	}
}

// enterEra lets a holder notice that the store was restored.
func (f *fleet) enterEra(h *holder) {
	if h.allocator.EnterEra(f.store.era, f.clock(h)) {
		f.read(h, quota.ScopeAll)
	}
}

// tick reads and syncs as a process does between requests.
func (f *fleet) tick(h *holder) {
	f.enterEra(h)
	f.read(h, h.allocator.ScopeToRead(f.clock(h)))
	if h.allocator.SyncDue(f.clock(h)) {
		f.sync(h, arrived)
	}
}

// readEachOther lets the holders start and read each other's rows.
func (f *fleet) readEachOther() {
	for range 4 {
		for _, h := range f.holders {
			f.sync(h, arrived)
		}
		f.advance(8 * time.Second)
	}
}

// read loads the rows of a scope into a holder.
func (f *fleet) read(h *holder, scope quota.Scope) {
	if scope == quota.ScopeNone {
		return
	}
	rows := f.store.list(scope)
	f.rowsRead += len(rows)
	Expect(h.allocator.LoadRows(rows, scope, f.store.now, f.clock(h))).To(Succeed())
}

// applyLate applies the delayed transactions.
func (f *fleet) applyLate() {
	for _, tx := range f.store.lateTxs {
		f.store.commit(tx)
	}
	f.store.lateTxs = nil
}

// reserve reserves tokens at a holder, with one sync if it is connected, and
// returns the decision.
func (f *fleet) reserve(h *holder, tokens int64, connected bool) quota.Decision {
	d := h.allocator.Reserve(workspace, tokens, f.clock(h))
	if d == quota.Insufficient && connected {
		done := h.allocator.Wait(workspace, tokens)
		h.allocator.RequestGrant(workspace)
		f.sync(h, arrived)
		done()
		d = h.allocator.Reserve(workspace, tokens, f.clock(h))
	}
	if d == quota.Reserved {
		h.reservations = append(h.reservations, tokens)
	}
	return d
}

// reserveOrBorrow is reserve with loans: like a process, it asks for them again
// after 25, 75 and 175 ms while lenders sync.
func (f *fleet) reserveOrBorrow(h *holder, tokens int64) quota.Decision {
	d := f.reserve(h, tokens, true)
	for n := range 8 {
		if d != quota.Insufficient {
			return d
		}
		if n == 0 || n == 1 || n == 3 || n == 7 {
			done := h.allocator.Wait(workspace, tokens)
			f.borrow(h)
			done()
		}
		f.advance(25 * time.Millisecond)
		for _, other := range f.holders {
			f.tick(other)
		}
		d = f.reserve(h, tokens, true)
	}
	return d
}

// borrow asks the lenders of a holder, in their order, for what its waiting
// requests lack.
func (f *fleet) borrow(h *holder) {
	for _, peer := range h.allocator.Lenders(workspace, rand.New(rand.NewPCG(1, 1))) {
		missing := h.allocator.Missing(workspace, f.clock(h))
		if missing == 0 {
			return
		}
		i := slices.IndexFunc(f.holders, func(other *holder) bool { return other.name == peer.Holder })
		lent, unspent := f.holders[i].allocator.Lend(workspace, missing, 0, f.clock(f.holders[i]))
		f.loans++
		h.allocator.NoteAsked(workspace, f.clock(h))
		h.allocator.AddLoan(workspace, lent, peer.Holder, unspent)
	}
}

// finish settles a holder's oldest reservation.
func (f *fleet) finish(h *holder, consumed int64) {
	reserved := h.reservations[0]
	h.reservations = h.reservations[1:]
	consumed = min(consumed, reserved)
	h.allocator.Settle(workspace, reserved, consumed)
	f.consumed += consumed
}

// lend moves tokens between holders; if the response is lost, so are they.
func (f *fleet) lend(from, to *holder, tokens int64, lost bool) {
	lent, remaining := from.allocator.Lend(workspace, tokens, tokens, f.clock(from))
	if !lost {
		to.allocator.AddLoan(workspace, lent, from.name, remaining)
	}
}

// repay moves the borrowed tokens that a holder does not need to another one; if
// the message is lost, so are they.
func (f *fleet) repay(from, to *holder, lost bool) {
	for name, tokens := range from.allocator.TakeRepayments(f.clock(from)) {
		if !lost {
			to.allocator.Repay(name, tokens)
		}
	}
}

// totalSpent returns the tokens consumed or reserved by all holders.
func (f *fleet) totalSpent() int64 {
	sum := f.consumed
	for _, h := range f.holders {
		for _, n := range h.reservations {
			sum += n
		}
	}
	return sum
}
