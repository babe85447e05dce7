package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"briarreach/config"
	"briarreach/peer"
)

const (
	// loadReportTimeout is the time without a load report after which a
	// connection counts as lost. Agents send a report every 2 s.
	loadReportTimeout = 5 * time.Second
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
)

// loadWatcher keeps a stream to every agent, on which the agent sends its load
// reports.
type loadWatcher struct {
	e *Entry

	mu            sync.Mutex
	closed        bool
	subscriptions map[netip.AddrPort]*loadSubscription
	workers       sync.WaitGroup
}

type loadSubscription struct {
	cancel  context.CancelFunc
	subject string // name of the target's model or service
	report  peer.LoadReport
}

func newLoadWatcher(e *Entry) *loadWatcher {
	return &loadWatcher{e: e, subscriptions: map[netip.AddrPort]*loadSubscription{}}
}

// updateTargets opens streams to the agents of new targets and closes those to
// removed ones.
func (w *loadWatcher) updateTargets(d *config.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := map[netip.AddrPort]string{}
	for _, t := range d.Targets {
		wanted[t.AgentAddr] = t.Model + t.Service
	}
	for addr, sub := range w.subscriptions {
		if _, ok := wanted[addr]; !ok {
			sub.cancel()
			delete(w.subscriptions, addr)
		}
	}
	if w.closed {
		return
	}
	for addr, subject := range wanted {
		if sub, ok := w.subscriptions[addr]; ok {
			sub.subject = subject
			continue
		}
		ctx, cancel := context.WithCancel(w.e.ctx)
		sub := &loadSubscription{cancel: cancel, subject: subject}
		w.subscriptions[addr] = sub
		w.workers.Go(func() { w.watch(ctx, addr, sub) })
	}
}

func (w *loadWatcher) close() {
	w.mu.Lock()
	w.closed = true
	for _, sub := range w.subscriptions {
		sub.cancel()
	}
	w.mu.Unlock()
	w.workers.Wait()
}

func (w *loadWatcher) addresses() []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(w.subscriptions))
	for addr := range w.subscriptions {
		out = append(out, addr)
	}
	return out
}

// watch reads the load reports of an agent. It reconnects with exponential
// backoff and jitter until ctx ends.
func (w *loadWatcher) watch(ctx context.Context, addr netip.AddrPort, sub *loadSubscription) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		if w.watchOnce(ctx, addr, sub) {
			delay = minReconnectDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-w.e.clock.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

// watchOnce reads load reports until the stream ends, and returns whether any
// was received.
func (w *loadWatcher) watchOnce(ctx context.Context, addr netip.AddrPort, sub *loadSubscription) bool {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	s, err := w.e.endpoint.Open(openCtx, addr)
	cancel()
	if err != nil {
		return false
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	err = s.Send(peer.Hello{Process: w.e.settings.Process, Role: peer.EntryRole, Holder: w.e.Holder(),
		ConfigNumber: w.e.follower.Number(), Timestamp: w.e.events.Clock().Now()})
	if err != nil {
		return false
	}
	received := false
	for {
		s.SetReceiveDeadline(w.e.clock.Now().Add(loadReportTimeout))
		m, err := s.Receive()
		if err != nil {
			if isSilent(err) {
				w.e.endpoint.Drop(addr, s.Generation())
			}
			return received
		}
		load, ok := m.(peer.Load)
		if !ok {
			return received
		}
		received = true
		now := w.e.clock.Now()
		w.e.events.Clock().Observe(load.Timestamp)
		w.e.pool.UpdateLoad(load.Report, now)
		w.e.follower.Hint(load.Report.ConfigNumber, addr)
		w.mu.Lock()
		sub.report = load.Report
		w.mu.Unlock()
	}
}

// loadLevel returns the utilization of a subject's targets in quarters of their
// capacity, from 0 to 3. All versions count together, so that the old and the
// new version are compared at the same load.
func (w *loadWatcher) loadLevel(subject string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, capacity := 0, 0
	for _, sub := range w.subscriptions {
		if sub.subject == subject {
			running += sub.report.Running
			capacity += sub.report.MaxConcurrent
		}
	}
	if capacity == 0 {
		return 0
	}
	return min(4*running/capacity, 3)
}
