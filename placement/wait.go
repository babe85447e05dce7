package placement

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request in flight that has not had its first event.
type waiter struct {
	since    time.Time
	prefill  time.Duration // expected for its own prompt
	priority int
}

// overdue returns the longest time that a request of this or a more urgent
// priority has waited beyond the prefill of its own prompt. A new request is
// expected to wait at least as long. Unlike the backlog in tokens, it reflects
// slow decoding, lost caches, and load that other processes do not announce.
func (s *replicaStats) overdue(now time.Time, priority int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for _, w := range s.waiters {
		if w.priority <= priority {
			longest = max(longest, now.Sub(w.since)-w.prefill)
		}
	}
	return longest
}

// removeWaiter removes a request from those that wait for their first event.
func (s *replicaStats) removeWaiter(w *waiter) {
	if w == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
}

// addWaiter counts a request as waiting until RecordFirstEvent or Done.
func (s *replicaStats) addWaiter(prefill time.Duration, priority int, now time.Time) *waiter {
	w := &waiter{since: now, prefill: prefill, priority: priority}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters = append(s.waiters, w)
	return w
}

// choice returns the choice of a candidate, with the wait and the prefill time
// expected there.
func (p *Placer) choice(req Request, c candidate, reason string) Choice {
	rate := p.rate(c)
	seconds := func(tokens float64) time.Duration {
		return time.Duration(tokens / rate * float64(time.Second))
	}
	return Choice{Replica: c.replica, Reason: reason, InFlight: int(c.load), BacklogTokens: int(c.backlogTokens), CachedTokens: c.cachedTokens,
		ExpectedWait: seconds(c.backlogTokens), ExpectedPrefill: c.estimate.Base + seconds(float64(max(req.promptTokens()-c.cachedTokens, 0))), Speed: c.estimate.Speed, stats: c.stats}
}

// hasPrompt reports whether the request has a prompt to prefill.
func (r Request) hasPrompt() bool { return len(r.SharedParts) > 0 || r.UniqueTokens > 0 }

// promptTokens returns the length of the prompt.
func (r Request) promptTokens() int {
	sum := r.UniqueTokens
	for _, part := range r.SharedParts {
		sum += part.Tokens
	}
	return sum
}

// soonest returns the replica that is expected to finish the prefill first, by
// the estimates that leastWaiting or leastExpected has filled in.
func (p *Placer) soonest(req Request, list []candidate) candidate {
	remaining := func(c candidate) float64 {
		return (c.backlogTokens + float64(req.promptTokens()-c.cachedTokens)) / p.rate(c)
	}
	return slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(remaining(a), remaining(b)) })
}

// RecordFirstEvent notes the first event of a request's response.
func (p *Placer) RecordFirstEvent(c Choice, now time.Time) {
	if c.stats != nil {
		c.stats.removeWaiter(c.waiter)
		c.send.recordFirstEvent(c.stats, now)
	}
}

// OverloadPolicy decides which requests are refused because no replica can start
// them in time.
//
// Load pattern: more prompts than the replicas can prefill, as in a burst or
// after some replicas were lost. Queues would grow until all first events are
// late and callers disconnect during the prefill. A request that would miss its
// target latency is refused, with a retry delay that lets the queue drain, so
// that accepted requests are served in time.
type OverloadPolicy struct {
	LateFactor    float64 // a first event expected after this multiple of the target latency is too late; 0 disables refusals
	IdleWaitShare float64 // an expected wait below this share of the target latency counts as none, and nothing is refused
}

// refuses reports whether a request is refused, and after how long its caller
// may retry. Spread, from 0 to 1, is the jitter that keeps callers from retrying
// at once.
func (o OverloadPolicy) refuses(c Choice, target time.Duration, spread float64) (retryAfter time.Duration, refused bool) {
	if target <= 0 || o.LateFactor <= 0 || float64(c.ExpectedWait) < o.IdleWaitShare*float64(target) || float64(c.ExpectedWait+c.ExpectedPrefill) < o.LateFactor*float64(target) {
		return 0, false
	}
	return time.Duration(float64(c.ExpectedWait) * (0.5 + spread)), true
}
