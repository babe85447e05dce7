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
	// agentSilence is after how long without a load report a connection counts
	// as lost. Agents push one every 2 s.
	agentSilence  = 5 * time.Second
	minAgentDelay = 50 * time.Millisecond
	maxAgentDelay = 2 * time.Second
)

// agents keeps a stream to every agent, on which the agent pushes its load.
type agents struct {
	e *Entry

	mu      sync.Mutex
	closed  bool
	streams map[netip.AddrPort]*agentStream
	workers sync.WaitGroup
}

type agentStream struct {
	cancel  context.CancelFunc
	subject string // model or service of the target
	report  peer.LoadReport
}

func newAgents(e *Entry) *agents {
	return &agents{e: e, streams: map[netip.AddrPort]*agentStream{}}
}

// update starts streams to new agents and ends those to removed ones.
func (a *agents) update(d *config.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := map[netip.AddrPort]string{}
	for _, t := range d.Targets {
		wanted[t.AgentAddr] = t.Model + t.Service
	}
	for addr, s := range a.streams {
		if _, ok := wanted[addr]; !ok {
			s.cancel()
			delete(a.streams, addr)
		}
	}
	if a.closed {
		return
	}
	for addr, subject := range wanted {
		if s, ok := a.streams[addr]; ok {
			s.subject = subject
			continue
		}
		ctx, cancel := context.WithCancel(a.e.context)
		s := &agentStream{cancel: cancel, subject: subject}
		a.streams[addr] = s
		a.workers.Go(func() { a.follow(ctx, addr, s) })
	}
}

func (a *agents) close() {
	a.mu.Lock()
	a.closed = true
	for _, s := range a.streams {
		s.cancel()
	}
	a.mu.Unlock()
	a.workers.Wait()
}

func (a *agents) addresses() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(a.streams))
	for addr := range a.streams {
		out = append(out, addr)
	}
	return out
}

// follow keeps the stream open and passes the reports on.
func (a *agents) follow(ctx context.Context, addr netip.AddrPort, state *agentStream) {
	delay := minAgentDelay
	for ctx.Err() == nil {
		if a.followOnce(ctx, addr, state) {
			delay = minAgentDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-a.e.clock.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxAgentDelay)
	}
}

// followOnce reads reports until the stream ends. It reports whether there was
// one.
func (a *agents) followOnce(ctx context.Context, addr netip.AddrPort, state *agentStream) bool {
	open, cancel := context.WithTimeout(ctx, openTimeout)
	s, err := a.e.endpoint.Open(open, addr)
	cancel()
	if err != nil {
		return false
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	err = s.Send(peer.Hello{Process: a.e.settings.Process, Role: peer.EntryRole, Holder: a.e.Holder(),
		ConfigNumber: a.e.follower.Number(), Clock: a.e.events.Clock().Now()})
	if err != nil {
		return false
	}
	reported := false
	for {
		s.SetReceiveDeadline(a.e.clock.Now().Add(agentSilence))
		m, err := s.Receive()
		if err != nil {
			if isSilent(err) {
				a.e.endpoint.Drop(addr, s.Generation())
			}
			return reported
		}
		load, ok := m.(peer.Load)
		if !ok {
			return reported
		}
		reported = true
		now := a.e.clock.Now()
		a.e.events.Clock().Observe(load.Clock)
		a.e.pool.UpdateLoad(load.Report, now)
		a.e.follower.Hint(load.Report.ConfigNumber, addr)
		a.mu.Lock()
		state.report = load.Report
		a.mu.Unlock()
	}
}

// level returns the load of the targets of a subject in a few steps: the share
// of their capacity that runs, in quarters. All versions count together, so
// that old and new are compared at the same level.
func (a *agents) level(subject string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	running, capacity := 0, 0
	for _, s := range a.streams {
		if s.subject == subject {
			running += s.report.Running
			capacity += s.report.MaxConcurrent
		}
	}
	if capacity == 0 {
		return 0
	}
	return min(4*running/capacity, 3)
}
