package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Peer is how the other holders reach and authenticate a holder.
type Peer struct {
	Holder      string
	Address     netip.AddrPort
	Fingerprint string // of its certificate
}

// SetOwnPeer sets the address and the fingerprint that this holder publishes in
// its row.
func (al *Allocator) SetOwnPeer(p Peer) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.ownPeer = p
}

// NoteUnknownPeer makes the rows be read again soon, as a peer with an unknown
// certificate was met.
func (al *Allocator) NoteUnknownPeer() {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.unknownPeer = true
}

// Peers returns the other live holders that have published a fingerprint.
func (al *Allocator) Peers() []Peer {
	al.mu.Lock()
	defer al.mu.Unlock()
	var peers []Peer
	for name := range al.otherHolders() {
		if p := al.directory.peer(name); p.Fingerprint != "" {
			peers = append(peers, p)
		}
	}
	return peers
}

// OtherHolders returns the names of the other live holders. It returns false if the
// holders' rows have not been read yet.
func (al *Allocator) OtherHolders() (names []string, known bool) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if !al.allRead {
		return nil, false
	}
	for name := range al.otherHolders() {
		names = append(names, name)
	}
	return names, true
}

// RecentHolders returns the names of the other holders whose rows are not older than some
// time, live or not. It returns false if the holders' rows have not been read yet.
func (al *Allocator) RecentHolders(within time.Duration) (names []string, known bool) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if !al.allRead {
		return nil, false
	}
	for name, h := range al.holderRows {
		if name != al.holder && al.storeTime-time.Duration(h.RecordedAtMS)*time.Millisecond < within {
			names = append(names, name)
		}
	}
	return names, true
}

// Lenders returns the live holders that are homes of a workspace or may have
// tokens of it left, in a random order weighted by how many.
func (al *Allocator) Lenders(workspace string, rnd *rand.Rand) []Peer {
	al.mu.Lock()
	defer al.mu.Unlock()
	type lender struct {
		peer   Peer
		weight uint64 // of its rendezvous hash
		left   int64
		rank   float64
	}
	var lenders []lender
	for name, h := range al.otherHolders() {
		if p := al.directory.peer(name); p.Fingerprint != "" {
			lenders = append(lenders, lender{peer: p, weight: homeWeight(workspace, name), left: al.unspentAt(name, h, workspace)})
		}
	}
	slices.SortFunc(lenders, func(x, y lender) int { return cmp.Compare(y.weight, x.weight) })
	candidates := lenders[:0]
	for i, l := range lenders {
		if l.left > 0 || i < al.settings.HomesPerWorkspace {
			candidates = append(candidates, l)
		}
	}
	// The weighted random order spreads borrowers over the lenders.
	for i, l := range candidates {
		candidates[i].rank = math.Pow(rnd.Float64(), 1/float64(max(l.left, 1)))
	}
	slices.SortFunc(candidates, func(x, y lender) int { return cmp.Compare(y.rank, x.rank) })
	peers := make([]Peer, 0, len(candidates))
	for _, l := range candidates {
		peers = append(peers, l.peer)
	}
	return peers
}

// unspentAt returns the unspent grants of a holder, by its last loan or its row,
// whichever is newer.
func (al *Allocator) unspentAt(name string, h holderRow, workspace string) int64 {
	if balance, ok := al.lenderBalances[name]; ok && balance.sequence == h.Sequence {
		if left, ok := balance.unspent[workspace]; ok {
			if h.Reclaims > 0 {
				// The lender may not know yet what was taken.
				left = min(left, h.Accounts[workspace].unspent())
			}
			return left
		}
	}
	return h.Accounts[workspace].unspent()
}

func (h holderRow) peer(name string) Peer {
	return Peer{Holder: name, Address: h.Address, Fingerprint: h.Fingerprint}
}

// lenderBalance is what a lender reported as unspent by workspace, after its row
// of that sequence.
type lenderBalance struct {
	sequence int64
	unspent  map[string]int64
}

// loanHorizon is the time whose demand a preferred loan covers.
const loanHorizon = 2 * time.Second

// PreferredLoan returns the tokens that a borrower asks for if its lender can
// spare them.
func (al *Allocator) PreferredLoan(workspace string, now time.Time) int64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	return int64(al.localUsage(workspace).currentDemand(now, al.settings.DemandTimeConstant) * loanHorizon.Seconds())
}

// loanShareDivisor, times the number of holders, divides what a lender has left
// into the parts that it lends beyond what a request requires.
const loanShareDivisor = 4

// Lend takes tokens from this holder for another: the required tokens as far as
// available, and more, up to the preferred ones, while plenty is left. If the
// window limits the loan, the next sync widens it. It returns the tokens lent and
// what remains granted and unspent.
func (al *Allocator) Lend(workspace string, required, preferred int64, now time.Time) (lent, unspent int64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if _, ok := al.limits[workspace]; !ok || required < 0 || preferred < 0 {
		return 0, 0
	}
	l := al.localUsage(workspace)
	available := max(al.allowance(workspace, now)-l.spent(), 0)
	spare := available / int64(loanShareDivisor*al.holderCountLocked())
	lent = min(available, max(required, min(preferred, spare)))
	l.consumed += lent
	if lent > 0 {
		l.recordDemand(lent, now, al.settings.DemandTimeConstant)
	}
	unspent = max(al.possibleStates[0].row.Accounts[workspace].Granted-l.spent(), 0)
	if lent < required && unspent > 0 {
		l.requested = max(l.requested, required-lent)
		al.syncUrgent = true
	}
	return lent, unspent
}

// UnknownUnspent is passed to AddLoan if the lender did not report what it has
// left.
const UnknownUnspent = -1

// NoteAsked notes that the lenders have been asked for tokens of a workspace, as
// far as they respond.
func (al *Allocator) NoteAsked(workspace string, now time.Time) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.localUsage(workspace).askedAt = now
}

// AddLoan adds tokens that a lender has counted as consumed, and notes what
// remains unspent there.
func (al *Allocator) AddLoan(workspace string, tokens int64, lender string, unspent int64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.localUsage(workspace).consumed -= tokens
	if unspent == UnknownUnspent {
		return
	}
	h := al.holderRows[lender]
	balance, ok := al.lenderBalances[lender]
	if !ok || balance.sequence != h.Sequence {
		balance = lenderBalance{sequence: h.Sequence, unspent: make(map[string]int64)}
		al.lenderBalances[lender] = balance
	}
	balance.unspent[workspace] = unspent
}

const (
	// minRepayment is the least number of borrowed tokens that is worth a message
	// to a home.
	minRepayment = 100
	// repaymentHorizon is the time whose demand a borrower keeps.
	repaymentHorizon = 250 * time.Millisecond
)

// TakeRepayments returns borrowed tokens by workspace that this holder does not
// need soon, for a home to take back. They are no longer available here.
func (al *Allocator) TakeRepayments(now time.Time) map[string]int64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	repayments := make(map[string]int64)
	for name, l := range al.usage {
		left := al.allowance(name, now) - l.spent() - int64(l.currentDemand(now, al.settings.DemandTimeConstant)*repaymentHorizon.Seconds())
		if left >= minRepayment && l.waiting == 0 && al.possibleStates[0].row.Accounts[name].Granted == 0 && !al.isHome(name) {
			l.consumed += left
			repayments[name] = left
		}
	}
	return repayments
}

// Repay takes back tokens that another holder borrowed and did not spend.
func (al *Allocator) Repay(workspace string, tokens int64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if tokens > 0 {
		al.localUsage(workspace).consumed -= tokens
	}
}
