// Package replicalimit divides the limits that replicas state among the processes
// of a fleet. A limit is the number of requests per second that a replica takes
// from all processes together.
//
// Load pattern: a replica in need states a limit far below its share of the load.
// It has the shortest queue then, so that every process would choose it for its
// next request. A few processes, chosen by rendezvous hashing, share the limit and
// pace their requests; the others send nothing. The number of those that share it
// is bounded by the limit, as all of them may have saved up a request. Processes
// tell each other of limits, so that those that send nothing learn of the end of
// one. The spec "a replica that states a limit" replays it.
//
// The rates of replicas that are cold (package coldreplica) are divided in the same way,
// by Limits of their own: SetRates replaces what replicas state there. Their bound holds
// for processes that have just started, too. Until EndCaution, these take a share as if
// there were many processes.
package replicalimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarreach/replica"
)

// Limit is what a replica states in a response.
type Limit struct {
	Stated    bool
	PerSecond float64 // requests, from all processes together; NaN if it could not be decoded
}

// Valid reports whether the limit can be kept.
func (l Limit) Valid() bool {
	return !l.Stated || l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0) && !math.IsNaN(l.PerSecond)
}

// Notice tells other processes of a replica's limit or, if it states none anymore,
// of its end.
type Notice struct {
	Replica   replica.Incarnation `cbor:"1,keyasint"`
	Stated    bool                `cbor:"2,keyasint"`
	PerSecond float64             `cbor:"3,keyasint"`
}

const (
	// minPerSecond is the rate of all processes together to a replica that states a
	// lower limit, so that they learn when it ends.
	minPerSecond = 0.1
	// sharersPerRequest and minSharers bound the number of processes that share a
	// limit: so many for each request per second, and a few in any case.
	sharersPerRequest = 2
	minSharers        = 3
	// noticeInterval is the time between notices of an unchanged limit.
	noticeInterval = time.Second
	// maxWait bounds the wait that is reported for a replica.
	maxWait = 10 * time.Second
	// limitTTL is how long a limit holds that no response states anymore, as no
	// request is sent or the notice of its end was lost.
	limitTTL = 5 * time.Minute
	// maxLimits bounds the number of limited replicas.
	maxLimits = 4096
)

// limit is the limit of one replica at this process.
type limit struct {
	perSecond float64
	statedAt  time.Time // when a response stated it, or another process said so
	noticedAt time.Time
	tokens    float64 // requests that may be sent at tokensAt, at most 1
	tokensAt  time.Time
	share     float64 // requests per second that this process may send
	until     time.Time
}

func (k *limit) refill(now time.Time) {
	if elapsed := now.Sub(k.tokensAt); elapsed > 0 {
		k.tokens, k.tokensAt = min(k.tokens+elapsed.Seconds()*k.share, 1), now
	}
}

// Limits holds the limits that replicas state, and this process's share of them.
// It is safe for concurrent use.
type Limits struct {
	unlimited atomic.Bool // whether there is no limit; saves most requests the lock

	mu       sync.Mutex
	rand     *rand.Rand
	own      string
	others   []string
	assumed  int // number of processes while the others are not known
	known    bool
	cautious bool // whether the share is at most that among the assumed number
	sharers  func(perSecond float64) int
	replicas map[replica.Incarnation]*limit
}

// Option changes a default of New.
type Option func(*Limits)

// WithSharers sets how many processes share a limit.
func WithSharers(f func(perSecond float64) int) Option { return func(l *Limits) { l.sharers = f } }

// WithCaution makes the process take at most a share among the assumed number of
// processes until EndCaution, and save up nothing before a limit begins.
func WithCaution() Option { return func(l *Limits) { l.cautious = true } }

// New returns the limits of a process. Until SetProcesses is called, it shares
// every limit with the assumed number of processes.
func New(own string, assumedProcesses int, rnd *rand.Rand, opts ...Option) *Limits {
	l := &Limits{own: own, rand: rnd, assumed: max(assumedProcesses, 1), replicas: make(map[replica.Incarnation]*limit),
		sharers: func(perSecond float64) int { return int(sharersPerRequest*perSecond) + minSharers }}
	for _, opt := range opts {
		opt(l)
	}
	l.unlimited.Store(true)
	return l
}

// SetProcesses sets the names of the other processes of the fleet, in any order.
func (l *Limits) SetProcesses(others []string, now time.Time) {
	slices.Sort(others)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && slices.Equal(l.others, others) {
		return
	}
	l.changeShares(now, func() { l.others, l.known = others, true })
}

// EndCaution ends what WithCaution began, when the other processes know this one.
func (l *Limits) EndCaution(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cautious {
		l.changeShares(now, func() { l.cautious = false })
	}
}

// changeShares applies a change of what the shares depend on. mu must be held.
func (l *Limits) changeShares(now time.Time, change func()) {
	for _, known := range l.replicas {
		known.refill(now)
	}
	change()
	for r, known := range l.replicas {
		if known.share = l.share(r, known.perSecond); known.share <= 0 {
			known.tokens = min(known.tokens, 0) // another process has its share now
		}
	}
}

// Rate is the number of requests per second that a replica takes from all processes
// together in a period, and none before it.
type Rate struct {
	PerSecond   float64
	From, Until time.Time
}

// SetRates replaces all limits by the given ones. It returns those that have begun and
// ended.
func (l *Limits) SetRates(rates map[replica.Incarnation]Rate, now time.Time) (began, ended []replica.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.replicas {
		if _, ok := rates[r]; !ok {
			l.remove(r)
			ended = append(ended, r)
		}
	}
	for r, rate := range rates {
		_, limited := l.replicas[r]
		known, _ := l.set(r, rate.PerSecond, now)
		if known == nil {
			continue
		}
		known.until = rate.Until
		if !limited {
			began = append(began, r)
			if rate.From.After(now) {
				known.tokens, known.tokensAt = 0, rate.From
			}
		}
	}
	return began, ended
}

// Record takes the limit of a response to a request that was sent at a time. It
// returns the notice for the other processes, if they need one, and whether the
// limit has changed.
func (l *Limits) Record(r replica.Incarnation, stated Limit, sentAt, now time.Time) (notice *Notice, changed bool) {
	if !stated.Valid() || !stated.Stated && l.unlimited.Load() {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.replicas[r]
	if !stated.Stated {
		// A response without a limit may be older than the one that stated it.
		if known == nil || !sentAt.After(known.statedAt) {
			return nil, false
		}
		l.remove(r)
		return &Notice{Replica: r}, true
	}
	known, changed = l.set(r, stated.PerSecond, now)
	if known == nil || !changed && now.Sub(known.noticedAt) < noticeInterval {
		return nil, changed
	}
	known.noticedAt = now
	return &Notice{Replica: r, Stated: true, PerSecond: stated.PerSecond}, changed
}

// HandleNotice takes the notice of another process. It reports whether the limit
// has changed. A notice of the end of a limit that changes something must be passed
// on: unlike statements, it is not repeated.
func (l *Limits) HandleNotice(n Notice, now time.Time) (changed bool) {
	if !(Limit{Stated: n.Stated, PerSecond: n.PerSecond}).Valid() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !n.Stated {
		_, limited := l.replicas[n.Replica]
		l.remove(n.Replica)
		return limited
	}
	known, changed := l.set(n.Replica, n.PerSecond, now)
	if known != nil {
		known.noticedAt = now
	}
	return changed
}

func (l *Limits) set(r replica.Incarnation, perSecond float64, now time.Time) (known *limit, changed bool) {
	known = l.replicas[r]
	if known == nil {
		if len(l.replicas) >= maxLimits {
			return nil, false
		}
		// A random start keeps processes that learn of a limit at the same time from
		// sending at the same time.
		known = &limit{tokensAt: now}
		if !l.cautious {
			known.tokens = l.rand.Float64()
		}
		l.replicas[r], changed = known, true
		l.unlimited.Store(false)
	}
	known.refill(now)
	if changed = changed || known.perSecond != perSecond; changed {
		known.perSecond, known.share = perSecond, l.share(r, perSecond)
	}
	known.statedAt, known.until = now, now.Add(limitTTL)
	return known, changed
}

func (l *Limits) remove(r replica.Incarnation) {
	delete(l.replicas, r)
	l.unlimited.Store(len(l.replicas) == 0)
}

// share returns the requests per second that this process may send to a replica.
func (l *Limits) share(r replica.Incarnation, perSecond float64) float64 {
	perSecond = max(perSecond, minPerSecond)
	if !l.known {
		return perSecond / float64(l.assumed)
	}
	most := math.Inf(1)
	if l.cautious {
		most = perSecond / float64(l.assumed)
	}
	sharers := l.sharers(perSecond)
	if len(l.others) < sharers {
		return min(perSecond/float64(len(l.others)+1), most)
	}
	own, ahead := weight(r.ID, l.own), 0
	for _, name := range l.others {
		if c := cmp.Compare(weight(r.ID, name), own); c > 0 || c == 0 && name < l.own {
			ahead++
		}
	}
	if ahead >= sharers {
		return 0
	}
	return min(perSecond/float64(sharers), most)
}

// weight is the rendezvous hash of a replica and a process.
func weight(replicaID, process string) uint64 {
	return xxhash.Sum64String(replicaID + "\x00" + process)
}

// Allows reports whether a request may be sent to a replica, and if not, after
// which time.
func (l *Limits) Allows(r replica.Incarnation, now time.Time) (wait time.Duration, allowed bool) {
	if l.unlimited.Load() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allows(r, now)
}

func (l *Limits) allows(r replica.Incarnation, now time.Time) (wait time.Duration, allowed bool) {
	known := l.replicas[r]
	if known == nil {
		return 0, true
	}
	if now.After(known.until) {
		l.remove(r)
		return 0, true
	}
	known.refill(now)
	if known.tokens >= 1 {
		return 0, true
	}
	seconds := (1 - known.tokens) / known.share
	if known.share <= 0 || l.cautious {
		// The replica takes the next request from another process, which may be the
		// one that the caller reaches when it returns.
		seconds = 1 / max(known.perSecond, minPerSecond)
	}
	seconds += max(known.tokensAt.Sub(now), 0).Seconds() // until the limit's period begins
	return min(time.Duration(seconds*float64(time.Second))+time.Millisecond, maxWait), false
}

// Take takes a request from this process's share, or returns false if there is
// none left.
func (l *Limits) Take(r replica.Incarnation, now time.Time) bool {
	if l.unlimited.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, allowed := l.allows(r, now); !allowed {
		return false
	}
	if known := l.replicas[r]; known != nil {
		known.tokens--
	}
	return true
}

// DropOld forgets limits that no response has stated for a long time, as those of
// replicas that have ended.
func (l *Limits) DropOld(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r, known := range l.replicas {
		if now.After(known.until) {
			l.remove(r)
		}
	}
}

// Count returns the number of limited replicas.
func (l *Limits) Count(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, known := range l.replicas {
		if !now.After(known.until) {
			n++
		}
	}
	return n
}

// IsLimited reports whether a replica states a limit.
func (l *Limits) IsLimited(r replica.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicas[r] != nil
}
