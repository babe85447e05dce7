// Package holder detects lost holders of outstanding amounts and controls the
// recovery of what they have not spent: it fences the holder, queries every agent
// for the holder's usage, and releases the rest.
package holder

import (
	"maps"
	"slices"
	"time"
)

// Action is a step that the entry must execute for a lost holder. It is one of
// Fence, QueryUsage, Release and WriteOff.
type Action interface{ action() }

type (
	// Fence bars a holder from further draws and returns.
	Fence struct{ Holder string }
	// QueryUsage requests from an agent the usage of a fenced holder.
	QueryUsage struct{ Holder, Agent string }
	// Release returns the holder's outstanding amounts except for Held, the
	// reservations still running, by budget.
	Release struct {
		Holder string
		Held   map[string]int64
	}
	// WriteOff charges the holder's outstanding amounts as spent, because an agent
	// was removed before it reported what it ran for the holder.
	WriteOff struct{ Holder string }
)

func (Fence) action()      {}
func (QueryUsage) action() {}
func (Release) action()    {}
func (WriteOff) action()   {}

// Event is an input of the monitor. It is one of Seen, OutstandingChanged,
// AgentsChanged, Fenced, UsageReported and Released.
type Event interface{ event() }

type (
	// Seen reports that a holder responded to an entry, or that an agent has an
	// open connection to it.
	Seen struct{ Holder string }
	// OutstandingChanged lists all holders that have amounts outstanding, and
	// those of them whose fence is in the ledger.
	OutstandingChanged struct {
		Holders []string
		Fenced  []string
	}
	// AgentsChanged lists all agents of the configuration.
	AgentsChanged struct{ Names []string }
	// Fenced reports that the fence of a holder is durable.
	Fenced struct{ Holder string }
	// UsageReported is an agent's response to QueryUsage. All usage in the response
	// is billed before this event. Running holds the reservations still running,
	// by budget.
	UsageReported struct {
		Holder, Agent string
		Running       map[string]int64
	}
	// Released reports that a Release is durable.
	Released struct{ Holder string }
)

func (Seen) event()               {}
func (OutstandingChanged) event() {}
func (AgentsChanged) event()      {}
func (Fenced) event()             {}
func (UsageReported) event()      {}
func (Released) event()           {}

// holderState is the monitor's state of one holder.
type holderState struct {
	lastSeen       time.Time
	fenced         bool
	runningByAgent map[string]map[string]int64 // last report, by agent and budget
	writeOff       bool                        // an agent was removed before it reported
	queriedAt      time.Time
	heldAtRelease  map[string]int64 // Held of the last durable release
	heldInFlight   map[string]int64 // Held of the release in flight
}

// Monitor tracks the holders that have outstanding amounts. It is not safe for
// concurrent use.
type Monitor struct {
	silenceTimeout time.Duration
	queryInterval  time.Duration
	holders        map[string]*holderState
	agents         []string
}

// Option configures a Monitor.
type Option func(*Monitor)

// WithSilenceTimeout sets how long a holder may be silent before it is fenced.
func WithSilenceTimeout(d time.Duration) Option { return func(m *Monitor) { m.silenceTimeout = d } }

// WithQueryInterval sets how often usage queries are repeated to agents that
// have not reported or still run requests of the holder.
func WithQueryInterval(d time.Duration) Option { return func(m *Monitor) { m.queryInterval = d } }

// New returns a monitor without holders.
func New(opts ...Option) *Monitor {
	m := &Monitor{silenceTimeout: 10 * time.Second, queryInterval: time.Second, holders: map[string]*holderState{}}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// HandleEvent updates the state with an event.
func (m *Monitor) HandleEvent(e Event, now time.Time) {
	switch e := e.(type) {
	case Seen:
		if s := m.holders[e.Holder]; s != nil {
			s.lastSeen = now
		}
	case OutstandingChanged:
		m.replaceHolders(e, now)
	case AgentsChanged:
		m.replaceAgents(e.Names)
	case Fenced:
		if s := m.holders[e.Holder]; s != nil {
			s.fenced = true
		}
	case UsageReported:
		if s := m.holders[e.Holder]; s != nil && s.fenced {
			s.runningByAgent[e.Agent] = maps.Clone(e.Running)
			if s.runningByAgent[e.Agent] == nil {
				s.runningByAgent[e.Agent] = map[string]int64{}
			}
		}
	case Released:
		if s := m.holders[e.Holder]; s != nil {
			s.heldAtRelease, s.heldInFlight = s.heldInFlight, nil
		}
	}
}

func (m *Monitor) replaceAgents(names []string) {
	for _, agent := range m.agents {
		if slices.Contains(names, agent) {
			continue
		}
		for _, s := range m.holders {
			if running, reported := s.runningByAgent[agent]; s.fenced && (!reported || len(running) > 0) {
				s.writeOff = true
			}
		}
	}
	m.agents = slices.Clone(names)
}

// replaceHolders drops holders without outstanding amounts and adds new ones as
// seen now, since a monitor that has just started has not seen any.
func (m *Monitor) replaceHolders(e OutstandingChanged, now time.Time) {
	for holder := range m.holders {
		if !slices.Contains(e.Holders, holder) {
			delete(m.holders, holder)
		}
	}
	for _, holder := range e.Holders {
		s := m.holders[holder]
		if s == nil {
			s = &holderState{lastSeen: now, runningByAgent: map[string]map[string]int64{}}
			m.holders[holder] = s
		}
		s.fenced = s.fenced || slices.Contains(e.Fenced, holder)
	}
}

// AnySuspected reports whether a holder that is not fenced has been silent for
// half of the silence timeout.
func (m *Monitor) AnySuspected(now time.Time) bool {
	for _, s := range m.holders {
		if !s.fenced && now.Sub(s.lastSeen) >= m.silenceTimeout/2 {
			return true
		}
	}
	return false
}

// DueActions returns the actions to execute now, in the order of the holders'
// names, and records that it returned them. Fence and Release are returned again
// at each call until HandleEvent receives Fenced or Released, WriteOff until the
// holder has no outstanding amounts, and QueryUsage once per query interval until
// the agent has reported that it runs no request of the holder.
func (m *Monitor) DueActions(now time.Time) []Action {
	var actions []Action
	for _, holder := range slices.Sorted(maps.Keys(m.holders)) {
		s := m.holders[holder]
		switch {
		case !s.fenced:
			if now.Sub(s.lastSeen) >= m.silenceTimeout {
				actions = append(actions, Fence{Holder: holder})
			}
		case m.allAgentsReported(s) && s.writeOff:
			actions = append(actions, WriteOff{Holder: holder})
		case m.allAgentsReported(s):
			held := m.runningTotals(s)
			if s.heldAtRelease == nil || !maps.Equal(held, s.heldAtRelease) {
				s.heldInFlight = held
				actions = append(actions, Release{Holder: holder, Held: held})
			}
			if len(held) > 0 {
				actions = append(actions, m.usageQueries(holder, s, now)...)
			}
		default:
			actions = append(actions, m.usageQueries(holder, s, now)...)
		}
	}
	return actions
}

// allAgentsReported reports whether every agent has reported its usage. Until
// then nothing is released, because an agent may have spent all of the holder's
// outstanding amounts.
func (m *Monitor) allAgentsReported(s *holderState) bool {
	for _, agent := range m.agents {
		if _, ok := s.runningByAgent[agent]; !ok {
			return false
		}
	}
	return true
}

func (m *Monitor) runningTotals(s *holderState) map[string]int64 {
	sum := map[string]int64{}
	for _, byBudget := range s.runningByAgent {
		for budget, amount := range byBudget {
			if amount > 0 {
				sum[budget] += amount
			}
		}
	}
	return sum
}

// usageQueries returns the queries to agents that have not reported or still
// run requests.
func (m *Monitor) usageQueries(holder string, s *holderState, now time.Time) []Action {
	if now.Sub(s.queriedAt) < m.queryInterval {
		return nil
	}
	s.queriedAt = now
	var actions []Action
	for _, agent := range m.agents {
		if running, ok := s.runningByAgent[agent]; !ok || len(running) > 0 {
			actions = append(actions, QueryUsage{Holder: holder, Agent: agent})
		}
	}
	return actions
}
