package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Peer is where another holder can be asked for a loan.
type Peer struct {
	Holder      string
	Address     netip.AddrPort
	Fingerprint string // of its certificate
}

// SetPeer shows this holder's address to the others.
func (b *Allocator) SetPeer(p Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peer = p
}

// KnowsPeer reports whether a holder's row has a fingerprint. The rows are read
// again soon if none has.
func (b *Allocator) KnowsPeer(fingerprint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.holdings {
		if h.Fingerprint == fingerprint {
			return true
		}
	}
	b.strangers = true
	return false
}

// Peers returns the other live holders.
func (b *Allocator) Peers() []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var peers []Peer
	for name, h := range b.others() {
		if h.Fingerprint != "" {
			peers = append(peers, h.peer(name))
		}
	}
	return peers
}

// Lenders returns the holders that may have quota of a workspace left, those
// with more of it rather first.
func (b *Allocator) Lenders(workspace string, rnd *rand.Rand) []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	type lender struct {
		peer Peer
		left int64
		rank float64
	}
	var lenders []lender
	for name, h := range b.others() {
		if left := b.leftAt(name, h, workspace); left > 0 && h.Fingerprint != "" {
			lenders = append(lenders, lender{peer: h.peer(name), left: left})
		}
	}
	// A random order weighted by what is left keeps borrowers apart.
	for i := range lenders {
		lenders[i].rank = math.Pow(rnd.Float64(), 1/float64(lenders[i].left))
	}
	slices.SortFunc(lenders, func(x, y lender) int { return cmp.Compare(y.rank, x.rank) })
	peers := make([]Peer, 0, len(lenders))
	for _, l := range lenders {
		peers = append(peers, l.peer)
	}
	return peers
}

// leftAt returns what a holder had left when it was last heard of.
func (b *Allocator) leftAt(name string, h holding, workspace string) int64 {
	if told, ok := b.told[name]; ok && told.sequence == h.Sequence {
		if left, ok := told.left[workspace]; ok {
			return left
		}
	}
	return h.Accounts[workspace].left()
}

func (h holding) peer(name string) Peer {
	return Peer{Holder: name, Address: h.Address, Fingerprint: h.Fingerprint}
}

// told is what a lender said it has left, since its row of that sequence.
type told struct {
	sequence int64
	left     map[string]int64
}

// loanTime is the demand that a borrower asks for beyond its need.
const loanTime = 2 * time.Second

// ExtraLoan returns what a borrower would like beyond its need.
func (b *Allocator) ExtraLoan(workspace string, now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.local(workspace).demandNow(now, b.settings.DemandTimeConstant) * loanTime.Seconds())
}

// Lend takes tokens from this holder for another: what the other needs, and up
// to half of what is left if it wants more. What the window does not allow to
// lend is returned to the store soon. It returns what it gives, and what is left
// then.
func (b *Allocator) Lend(workspace string, need, wanted int64, now time.Time) (given, left int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.limits[workspace]; !ok || need < 0 || wanted < 0 {
		return 0, 0
	}
	l := b.local(workspace)
	available := max(b.allowance(workspace, now)-l.spent(), 0)
	given = min(available, max(need, min(wanted, available/2)))
	l.used += given
	if given < need && b.states[0].holding.Accounts[workspace].Granted > l.spent() {
		l.recalled, b.urgent = true, true
	}
	return given, available - given
}

// AddLoan adds tokens that another holder has consumed for this one.
func (b *Allocator) AddLoan(workspace string, tokens int64, lender string, left int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.local(workspace).used -= tokens
	h := b.holdings[lender]
	t, ok := b.told[lender]
	if !ok || t.sequence != h.Sequence {
		t = told{sequence: h.Sequence, left: make(map[string]int64)}
		b.told[lender] = t
	}
	t.left[workspace] = left
}
