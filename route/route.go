// Package route holds the routing configuration and matches requests to routes.
// A Table is immutable; a new configuration makes a new one.
//
// Load pattern: hundreds of route changes arrive in quick succession while
// requests are matched. Matching reads one snapshot without a lock; the
// benchmark and the table tests in this package cover it.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether a route's requests may be retried or resumed. It is
// one of Idempotent, NonIdempotent and Streaming.
type Kind interface{ kind() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// NonIdempotent requests run at most once.
type NonIdempotent struct{}

// Streaming requests are answered by a stream of events with IDs. They run at
// most once unless Resumable: then another run may resume after the last event.
type Streaming struct {
	Resumable   bool
	MaxEventGap time.Duration // longest time between events that counts as on time
}

func (Idempotent) kind()    {}
func (NonIdempotent) kind() {}
func (Streaming) kind()     {}

// Retryable reports whether a request of this kind may be retried after it may
// have run.
func Retryable(k Kind) bool {
	_, ok := k.(Idempotent)
	return ok
}

// Resumable reports whether another replica may resume a broken stream.
func Resumable(k Kind) bool {
	s, ok := k.(Streaming)
	return ok && s.Resumable
}

// Route defines how requests of one host and path prefix are served.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // starts and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest time that a request may take
	TargetLatency  time.Duration // a stream whose first event comes within it is on time
	Priority       int           // 0 is the most urgent
	TrafficSplit   []Share
	MaxRuns        int  // how often one request may run, over all replicas
	Public         bool // requests need no API key
	DeclaresPrompt bool // requests declare the parts of their prompt
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares of the route
}

// Service is a group of replicas.
type Service struct {
	Name                   string
	HealthCheckPath        string
	ReplicaConnectionLimit int // of one replica, over all that connect to it
	Engine                 *Engine
	ColdStart              time.Duration // for how long a replica is cold after its start
	ColdPerSecond          float64       // requests per second that a cold replica takes; 0 if there is no limit
}

// Engine describes the inference engine of a service's replicas.
type Engine struct {
	ConcurrencySlots int
	KVCacheTokens    int
	TokensPerEvent   int // tokens in one event of a stream
}

// Limits bound the requests of a caller.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer with API keys and a token quota.
type Workspace struct {
	Name          string
	APIKeys       []string
	Priority      int
	TokenQuota    int64 // total tokens that may be consumed; 0 allows none
	QuotaEnforced bool  // whether TokenQuota applies
}

// Config is one version of the configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}

// Table matches requests against one version of the configuration.
type Table struct {
	config          Config
	routesByHost    map[string][]*Route // longest prefix first
	servicesByName  map[string]*Service
	workspacesByKey map[string]*Workspace
}

// New returns the table of a configuration.
func New(c Config) *Table {
	t := &Table{
		config:          c,
		routesByHost:    make(map[string][]*Route),
		servicesByName:  make(map[string]*Service, len(c.Services)),
		workspacesByKey: make(map[string]*Workspace),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].APIKeys {
			t.workspacesByKey[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the bounds on a caller's requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []Workspace { return t.config.Workspaces }

// RequiresKey reports whether requests of routes that are not public must carry
// an API key.
func (t *Table) RequiresKey() bool { return len(t.config.Workspaces) > 0 }

// Match returns the route with the longest prefix of the path among the routes
// of the host. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Route returns a route by name.
func (t *Table) Route(name string) (*Route, bool) {
	for i := range t.config.Routes {
		if t.config.Routes[i].Name == name {
			return &t.config.Routes[i], true
		}
	}
	return nil, false
}

// WorkspaceNamed returns a workspace by name.
func (t *Table) WorkspaceNamed(name string) (*Workspace, bool) {
	for i := range t.config.Workspaces {
		if t.config.Workspaces[i].Name == name {
			return &t.config.Workspaces[i], true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspacesByKey[key]
	return w, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}

// PickService returns the service for a request by the traffic split. u is
// uniform in [0, 1).
func (r *Route) PickService(u float64) (string, bool) {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	u *= total
	for _, s := range r.TrafficSplit {
		if u < s.Weight {
			return s.Service, true
		}
		u -= s.Weight
	}
	return "", false
}
