// Package route holds the routing configuration and matches requests to routes.
// A Table is immutable; a new configuration makes a new one.
//
// Load pattern: hundreds of routes arrive in quick succession while requests
// are matched. Matching reads one snapshot without a lock; the benchmark and
// the table tests in this package replay it.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests. It is one of
// Idempotent, NonIdempotent and Streaming.
type Kind interface{ kind() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// NonIdempotent requests run at most once.
type NonIdempotent struct{}

// Streaming requests are answered by a series of events with ids. They run at
// most once unless Resumable: then a second run may go on after the last event.
type Streaming struct {
	Resumable   bool
	MaxEventGap time.Duration // longest pause between events that is still on time
}

func (Idempotent) kind()    {}
func (NonIdempotent) kind() {}
func (Streaming) kind()     {}

// Retryable reports whether a request of this kind may be sent again after it
// may have run.
func Retryable(k Kind) bool {
	_, ok := k.(Idempotent)
	return ok
}

// Resumable reports whether another replica may go on with a broken stream.
func Resumable(k Kind) bool {
	s, ok := k.(Streaming)
	return ok && s.Resumable
}

// Route tells where requests of one host and path prefix go.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest time that a caller is kept waiting
	TargetLatency  time.Duration // an answer within it is on time
	Priority       int           // 0 is the most urgent
	TrafficSplit   []Share
	MaxAttempts    int // replicas on which one request may run
	Public         bool
	PrefixAffinity bool // requests name the parts of their prompt
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of replicas.
type Service struct {
	Name            string
	HealthCheckPath string
	ConnectionLimit int // connections that a replica accepts from all callers
	Engine          *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	ConcurrencySlots int
	KVCacheTokens    int
	TokensPerEvent   int // tokens in one event of a stream
}

// Limits bound what a caller may send.
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
	TokenQuota    int64 // tokens that may be consumed in total; 0 is none
	QuotaEnforced bool  // whether TokenQuota is in force
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
	config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Workspace
}

// New returns the table of a configuration.
func New(c Config) *Table {
	t := &Table{
		config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[string]*Workspace),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].APIKeys {
			t.keys[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the bounds on what a caller may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []Workspace { return t.config.Workspaces }

// RequiresKey reports whether requests of routes that are not public carry a
// key.
func (t *Table) RequiresKey() bool { return len(t.config.Workspaces) > 0 }

// Match returns the route with the longest prefix of the path among the routes
// of the host.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService returns the service for one request; u is uniform in [0, 1).
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
