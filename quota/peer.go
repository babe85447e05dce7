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

// KnowsPeer reports whether a certificate with this fingerprint belongs to a
// holder, by the rows last read. If not, the rows are read again soon.
func (al *Allocator) KnowsPeer(fingerprint string) bool {
	al.mu.Lock()
	defer al.mu.Unlock()
	for _, h := range al.holderRows {
		if h.Fingerprint == fingerprint {
			return true
		}
	}
	al.unknownPeer = true
	return false
}

// Peers returns the other live holders that have published a fingerprint.
func (al *Allocator) Peers() []Peer {
	al.mu.Lock()
	defer al.mu.Unlock()
	var peers []Peer
	for name, h := range al.otherHolders() {
		if h.Fingerprint != "" {
			peers = append(peers, h.peer(name))
		}
	}
	return peers
}

// Lenders returns the live holders that may have tokens of a workspace left, in
// a random order weighted by how many.
func (al *Allocator) Lenders(workspace string, rnd *rand.Rand) []Peer {
	al.mu.Lock()
	defer al.mu.Unlock()
	type lender struct {
		peer      Peer
		remaining int64
		rank      float64
	}
	var lenders []lender
	for name, h := range al.otherHolders() {
		if left := al.remainingAt(name, h, workspace); left > 0 && h.Fingerprint != "" {
			lenders = append(lenders, lender{peer: h.peer(name), remaining: left})
		}
	}
	// The weighted random order spreads borrowers over the lenders.
	for i := range lenders {
		lenders[i].rank = math.Pow(rnd.Float64(), 1/float64(lenders[i].remaining))
	}
	slices.SortFunc(lenders, func(x, y lender) int { return cmp.Compare(y.rank, x.rank) })
	peers := make([]Peer, 0, len(lenders))
	for _, l := range lenders {
		peers = append(peers, l.peer)
	}
	return peers
}

// remainingAt returns the tokens that a holder had left, by its last loan or its
// row, whichever is newer.
func (al *Allocator) remainingAt(name string, h holderRow, workspace string) int64 {
	if balance, ok := al.lenderBalances[name]; ok && balance.sequence == h.Sequence {
		if left, ok := balance.remaining[workspace]; ok {
			return left
		}
	}
	return h.Accounts[workspace].unspent()
}

func (h holderRow) peer(name string) Peer {
	return Peer{Holder: name, Address: h.Address, Fingerprint: h.Fingerprint}
}

// lenderBalance is what a lender reported as remaining by workspace, after its
// row of that sequence.
type lenderBalance struct {
	sequence  int64
	remaining map[string]int64
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

// Lend takes tokens from this holder for another: the required tokens if
// available, and the preferred ones up to half of what is available. If it lends
// too little because of the window, the next sync returns unspent grants to the
// store. It returns the tokens lent and those that remain.
func (al *Allocator) Lend(workspace string, required, preferred int64, now time.Time) (lent, remaining int64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if _, ok := al.limits[workspace]; !ok || required < 0 || preferred < 0 {
		return 0, 0
	}
	l := al.localUsage(workspace)
	available := max(al.allowance(workspace, now)-l.spent(), 0)
	lent = min(available, max(required, min(preferred, available/2)))
	l.consumed += lent
	if lent < required && al.possibleStates[0].row.Accounts[workspace].Granted > l.spent() {
		l.returnExcess, al.syncUrgent = true, true
	}
	return lent, available - lent
}

// AddLoan adds tokens that a lender has counted as consumed, and notes what
// remains there.
func (al *Allocator) AddLoan(workspace string, tokens int64, lender string, remaining int64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.localUsage(workspace).consumed -= tokens
	h := al.holderRows[lender]
	balance, ok := al.lenderBalances[lender]
	if !ok || balance.sequence != h.Sequence {
		balance = lenderBalance{sequence: h.Sequence, remaining: make(map[string]int64)}
		al.lenderBalances[lender] = balance
	}
	balance.remaining[workspace] = remaining
}
