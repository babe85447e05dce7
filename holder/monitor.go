// Package holder decides when the holder of grants counts as lost, and leads
// the recovery of its unspent amounts: fence it, ask every agent what ran under
// it, release the rest.
package holder

import (
	"maps"
	"slices"
	"time"
)

// Action is what the entry must do for a lost holder. It is one of Fence, QueryUsage,
// Release and WriteOff.
type Action interface{ action() }

type (
	// Fence writes the fence of a holder to the table.
	Fence struct{ Holder string }
	// QueryUsage asks an agent for the usage under a fenced holder.
	QueryUsage struct{ Holder, Agent string }
	// Release returns what the holder had outstanding but for Held, the
	// reservations still running, by budget.
	Release struct {
		Holder string
		Held   map[string]int64
	}
	// WriteOff charges what the holder has outstanding as spent: an agent was
	// removed before it could say what ran under the holder.
	WriteOff struct{ Holder string }
)

func (Fence) action()      {}
func (QueryUsage) action() {}
func (Release) action()    {}
func (WriteOff) action()   {}

// Event is what the monitor learns. It is one of Seen, OutstandingChanged,
// AgentsChanged, Fenced, UsageReported and Released.
type Event interface{ event() }

type (
	// Seen says that a holder answered an entry, or that an agent has an open
	// connection to it.
	Seen struct{ Holder string }
	// OutstandingChanged names the holders that have amounts outstanding, and those
	// of them whose fence is in the ledger.
	OutstandingChanged struct {
		Holders []string
		Fenced  []string
	}
	// AgentsChanged names the agents of the configuration.
	AgentsChanged struct{ Names []string }
	// Fenced says that the fence of a holder is durable.
	Fenced struct{ Holder string }
	// UsageReported is an agent's answer to QueryUsage. All usage in the answer is billed
	// before this event. Running is by budget.
	UsageReported struct {
		Holder, Agent string
		Running       map[string]int64
	}
	// Released says that a Release is durable.
	Released struct{ Holder string }
)

func (Seen) event()               {}
func (OutstandingChanged) event() {}
func (AgentsChanged) event()      {}
func (Fenced) event()             {}
func (UsageReported) event()      {}
func (Released) event()           {}

// state is what the monitor knows of a holder.
type state struct {
	seen     time.Time
	fenced   bool
	running  map[string]map[string]int64 // last answer, by agent and budget
	lost     bool                        // an agent was removed without an answer
	asked    time.Time
	released map[string]int64 // what the last durable release held
	pending  map[string]int64 // what the release in flight holds
}

// Monitor follows the holders that have outstanding amounts. It is not safe
// for concurrent use.
type Monitor struct {
	lostAfter time.Duration
	askEvery  time.Duration
	holders   map[string]*state
	agents    []string
}

// Option changes a default of New.
type Option func(*Monitor)

// WithSilenceTimeout sets how long a holder may be silent.
func WithSilenceTimeout(d time.Duration) Option { return func(m *Monitor) { m.lostAfter = d } }

// WithQueryInterval sets how often agents are asked again that did not answer, or
// that still run requests of the holder.
func WithQueryInterval(d time.Duration) Option { return func(m *Monitor) { m.askEvery = d } }

// New returns a monitor without holders.
func New(opts ...Option) *Monitor {
	m := &Monitor{lostAfter: 10 * time.Second, askEvery: time.Second, holders: map[string]*state{}}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// HandleEvent takes in an event.
func (m *Monitor) HandleEvent(e Event, now time.Time) {
	switch e := e.(type) {
	case Seen:
		if s := m.holders[e.Holder]; s != nil {
			s.seen = now
		}
	case OutstandingChanged:
		m.outstanding(e, now)
	case AgentsChanged:
		m.replaceAgents(e.Names)
	case Fenced:
		if s := m.holders[e.Holder]; s != nil {
			s.fenced = true
		}
	case UsageReported:
		if s := m.holders[e.Holder]; s != nil && s.fenced {
			s.running[e.Agent] = maps.Clone(e.Running)
			if s.running[e.Agent] == nil {
				s.running[e.Agent] = map[string]int64{}
			}
		}
	case Released:
		if s := m.holders[e.Holder]; s != nil {
			s.released, s.pending = s.pending, nil
		}
	}
}

func (m *Monitor) replaceAgents(names []string) {
	for _, agent := range m.agents {
		if slices.Contains(names, agent) {
			continue
		}
		for _, s := range m.holders {
			if running, answered := s.running[agent]; s.fenced && (!answered || len(running) > 0) {
				s.lost = true
			}
		}
	}
	m.agents = slices.Clone(names)
}

// outstanding adds new holders as seen now: a monitor that has just started
// knows nothing of them yet. A holder without outstanding amounts is dropped.
func (m *Monitor) outstanding(e OutstandingChanged, now time.Time) {
	for holder := range m.holders {
		if !slices.Contains(e.Holders, holder) {
			delete(m.holders, holder)
		}
	}
	for _, holder := range e.Holders {
		s := m.holders[holder]
		if s == nil {
			s = &state{seen: now, running: map[string]map[string]int64{}}
			m.holders[holder] = s
		}
		s.fenced = s.fenced || slices.Contains(e.Fenced, holder)
	}
}

// AnySuspected reports whether a holder that is not fenced has been silent for
// half of the time after which it counts as lost.
func (m *Monitor) AnySuspected(now time.Time) bool {
	for _, s := range m.holders {
		if !s.fenced && now.Sub(s.seen) >= m.lostAfter/2 {
			return true
		}
	}
	return false
}

// DueActions returns the actions that are due, in the order of the holders' names.
// An action whose outcome is not observed is returned again.
func (m *Monitor) DueActions(now time.Time) []Action {
	var actions []Action
	for _, holder := range slices.Sorted(maps.Keys(m.holders)) {
		s := m.holders[holder]
		switch {
		case !s.fenced:
			if now.Sub(s.seen) >= m.lostAfter {
				actions = append(actions, Fence{Holder: holder})
			}
		case m.complete(s) && s.lost:
			actions = append(actions, WriteOff{Holder: holder})
		case m.complete(s):
			held := m.held(s)
			if s.released == nil || !maps.Equal(held, s.released) {
				s.pending = held
				actions = append(actions, Release{Holder: holder, Held: held})
			}
			if len(held) > 0 {
				actions = append(actions, m.ask(holder, s, now)...)
			}
		default:
			actions = append(actions, m.ask(holder, s, now)...)
		}
	}
	return actions
}

// complete reports whether every agent has answered. An agent that was not
// asked counts as having spent the maximum: nothing is released.
func (m *Monitor) complete(s *state) bool {
	for _, agent := range m.agents {
		if _, ok := s.running[agent]; !ok {
			return false
		}
	}
	return true
}

func (m *Monitor) held(s *state) map[string]int64 {
	sum := map[string]int64{}
	for _, byBudget := range s.running {
		for budget, amount := range byBudget {
			if amount > 0 {
				sum[budget] += amount
			}
		}
	}
	return sum
}

// ask asks the agents that have not answered or still run requests.
func (m *Monitor) ask(holder string, s *state, now time.Time) []Action {
	if now.Sub(s.asked) < m.askEvery {
		return nil
	}
	s.asked = now
	var actions []Action
	for _, agent := range m.agents {
		if running, ok := s.running[agent]; !ok || len(running) > 0 {
			actions = append(actions, QueryUsage{Holder: holder, Agent: agent})
		}
	}
	return actions
}
