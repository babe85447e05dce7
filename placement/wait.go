package placement

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that was sent to a replica and has no first event yet.
type waiter struct {
	since   time.Time
	read    time.Duration // that its own prompt takes
	urgency int
}

// overdue returns for how long the replica has left a request waiting beyond
// the time that its own prompt takes: what a new request of the same urgency
// waits for at least. It shows what the estimate by tokens does not know, such
// as slow decoding, caches that were lost, and the load of processes that do
// not tell.
func (s *stats) overdue(now time.Time, urgency int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for _, w := range s.waiters {
		if w.urgency <= urgency {
			longest = max(longest, now.Sub(w.since)-w.read)
		}
	}
	return longest
}

// began ends the wait of a request.
func (s *stats) began(w *waiter) {
	if w == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
}

// wait counts a request as waiting until Began or Done.
func (s *stats) wait(read time.Duration, urgency int, now time.Time) *waiter {
	w := &waiter{since: now, read: read, urgency: urgency}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters = append(s.waiters, w)
	return w
}

// choice returns a candidate as the choice for a request, with how long the
// request is expected to wait and to be read there.
func (p *Placer) choice(need Request, c candidate, reason string) Choice {
	seconds := func(tokens float64) time.Duration {
		return time.Duration(tokens / p.settings.PrefillRate * float64(time.Second))
	}
	return Choice{Replica: c.replica, Reason: reason, InFlight: int(c.load), BacklogTokens: int(c.backlog), CachedTokens: c.cached,
		ExpectedWait: seconds(c.backlog), ExpectedPrefill: seconds(float64(max(need.tokens()-c.cached, 0))), ticket: c.stats}
}

// hasPrompt reports whether there is anything to read.
func (n Request) hasPrompt() bool { return len(n.SharedParts) > 0 || n.UniqueTokens > 0 }

// tokens returns the size of the prompt.
func (n Request) tokens() int {
	sum := n.UniqueTokens
	for _, part := range n.SharedParts {
		sum += part.Tokens
	}
	return sum
}

// soonest returns the replica that has the request's prompt read first.
func soonest(need Request, list []candidate) candidate {
	left := func(c candidate) float64 { return c.backlog + float64(need.tokens()-c.cached) }
	return slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(left(a), left(b)) })
}

// RecordFirstEvent notes the first event of a request's answer.
func (p *Placer) RecordFirstEvent(c Choice) {
	if c.ticket != nil {
		c.ticket.began(c.waiter)
	}
}

// OverloadPolicy decides which requests are refused because no replica can begin
// them in time.
//
// Load pattern: more requests than the replicas can read, as in a burst or
// after some of them were lost. Queues then grow until all first events are
// late and callers leave while replicas still read their prompts. A request
// that would be late is refused, and told to come back when the queue has been
// worked off, so that those that are accepted are in time.
type OverloadPolicy struct {
	LateFactor float64 // of the target latency, from which a first event is too late; 0 refuses nothing
	IdlePart   float64 // of the target latency; with a shorter wait there are places free, and nothing is refused
}

// refuses reports whether the request of a choice is refused, and after how
// long its caller may come back. Spread, from 0 to 1, keeps the callers apart
// that are refused together.
func (o OverloadPolicy) refuses(c Choice, target time.Duration, spread float64) (retryAfter time.Duration, refused bool) {
	if target <= 0 || o.LateFactor <= 0 || float64(c.ExpectedWait) < o.IdlePart*float64(target) || float64(c.ExpectedWait+c.ExpectedPrefill) < o.LateFactor*float64(target) {
		return 0, false
	}
	return time.Duration(float64(c.ExpectedWait) * (0.5 + spread)), true
}
