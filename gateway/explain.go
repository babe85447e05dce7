package gateway

import (
	"math/rand/v2"
	"time"

	"briarreach/placement"
	"briarreach/route"
)

// PlacementQuery describes a request whose placement is to be explained.
type PlacementQuery struct {
	Workspace    string // by name; empty for public routes
	Host, Path   string
	Route        string       // name of the route; replaces Host and Path
	Service      string       // of the route's traffic split; empty for a random one, as for a request
	PromptTokens int          // of the whole prompt; 0 without a prompt
	SharedParts  []PromptPart // of the prompt, in order
}

// MissingKind is what a PlacementQuery lacks, or names but the gateway does not know.
type MissingKind string

// Kinds of what is missing.
const (
	MissingConfiguration MissingKind = "configuration"
	MissingRoute         MissingKind = "route"
	MissingWorkspace     MissingKind = "workspace"
	MissingService       MissingKind = "service"
)

// PlacementQueryError reports that a placement can't be explained because something is
// missing.
type PlacementQueryError struct {
	Missing MissingKind
	Name    string // that the gateway does not know; empty if the query names none
}

func (e *PlacementQueryError) Error() string {
	switch {
	case e.Missing == MissingConfiguration:
		return "the gateway has no configuration yet"
	case e.Name == "":
		return "the query names no " + string(e.Missing)
	default:
		return "unknown " + string(e.Missing) + " " + e.Name
	}
}

// PlacementExplanation says where a request would be sent now, and why.
type PlacementExplanation struct {
	Route           string               `json:"route"`
	Workspace       string               `json:"workspace,omitempty"`
	Service         string               `json:"service"`
	ConfigVersion   int64                `json:"config_version"`
	RegistryVersion uint64               `json:"registry_version"`
	Replica         string               `json:"replica,omitempty"` // empty if the request would be refused
	Why             string               `json:"why,omitempty"`     // reason of the choice, as in the log
	Refusal         *ExplainedRefusal    `json:"refusal,omitempty"`
	Candidates      []ExplainedCandidate `json:"candidates"`
}

// ExplainedRefusal is the refusal that a request would get.
type ExplainedRefusal struct {
	Reason       Reason  `json:"reason"`
	RetryAfterMS float64 `json:"retry_after_ms"` // with a random part, as for each request
}

// ExplainedCandidate is a replica of the service, and whether it would be chosen.
type ExplainedCandidate struct {
	Replica       string            `json:"replica"`
	FailureDomain string            `json:"failure_domain,omitempty"`
	Version       string            `json:"version,omitempty"`
	Verdict       placement.Verdict `json:"verdict"`
	WaitMS        float64           `json:"wait_ms,omitempty"`     // until it takes requests again, if it is limited or paused
	ExpectedMS    float64           `json:"expected_ms,omitempty"` // until the first event, for requests with a prompt
	Load          int               `json:"load"`                  // requests of this gateway in flight
	Bound         int               `json:"bound,omitempty"`       // of the load; 0 if none was applied
	BacklogTokens int               `json:"backlog"`
	CachedTokens  int               `json:"cached"`
	Speed         float64           `json:"speed,omitempty"` // relative to the service; 0 if speeds are not estimated
}

// ExplainPlacement says where a request would be sent now. It sends nothing and changes
// nothing; quota, quarantine and retries are not consulted. Its errors are
// *PlacementQueryError.
func (g *Gateway) ExplainPlacement(q PlacementQuery) (*PlacementExplanation, error) {
	snapshot, now, rnd := g.Snapshot(), g.clock.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	t := snapshot.RouteTable
	if t == nil {
		return nil, &PlacementQueryError{Missing: MissingConfiguration}
	}
	r, err := q.route(t)
	if err != nil {
		return nil, err
	}
	priority := 0
	if w, known := t.WorkspaceNamed(q.Workspace); known {
		priority = w.Priority
	} else if q.Workspace != "" || t.RequiresKey() && !r.Public {
		return nil, &PlacementQueryError{Missing: MissingWorkspace, Name: q.Workspace}
	}
	service, err := q.service(r, rnd)
	if err != nil {
		return nil, err
	}
	e := &exchange{gateway: g, request: &Request{Prompt: q.prompt()}, route: r, service: service, priority: requestPriority(priority, r)}
	_, e.streaming = r.Kind.(route.Streaming)
	explanation := &PlacementExplanation{Route: r.Name, Workspace: q.Workspace, Service: service, ConfigVersion: t.Version(), Candidates: []ExplainedCandidate{}}
	if snapshot.Replicas != nil {
		explanation.RegistryVersion = snapshot.Replicas.Version
	}
	req := e.placementRequest(nil)
	req.TargetLatency = e.refusalTarget()
	placed := g.placer.Explain(req, snapshot.candidates(service), snapshot.allLeftOut(service), now, rnd)
	for _, c := range placed.Candidates {
		explanation.Candidates = append(explanation.Candidates, ExplainedCandidate{Replica: c.Replica.ID, FailureDomain: c.Replica.FailureDomain, Version: c.Replica.Version,
			Verdict: c.Verdict, WaitMS: milliseconds(c.Wait), ExpectedMS: milliseconds(c.Expected), Load: c.Load, Bound: c.Bound, BacklogTokens: c.BacklogTokens, CachedTokens: c.CachedTokens, Speed: c.Speed})
	}
	var refusal *Refusal
	switch {
	case g.refusesForDrain(e.streaming, now.Add(r.Timeout)):
		refusal = &Refusal{Reason: Stopping, RetryAfter: defaultRetryAfter}
	case !placed.Found:
		refusal = &Refusal{Reason: NoReplica, RetryAfter: noReplicaRetryAfter}
	case placed.Choice.Refused:
		_, refusal = refusalOf(placed.Choice, r.Timeout)
	}
	if refusal != nil {
		explanation.Refusal = &ExplainedRefusal{Reason: refusal.Reason, RetryAfterMS: milliseconds(refusal.RetryAfter)}
		return explanation, nil
	}
	explanation.Replica, explanation.Why = placed.Choice.Replica.ID, placed.Choice.Reason
	return explanation, nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

func (q PlacementQuery) route(t *route.Table) (*route.Route, error) {
	if q.Route != "" {
		if r, ok := t.Route(q.Route); ok {
			return r, nil
		}
		return nil, &PlacementQueryError{Missing: MissingRoute, Name: q.Route}
	}
	if r, ok := t.Match(q.Host, q.Path); ok {
		return r, nil
	}
	return nil, &PlacementQueryError{Missing: MissingRoute, Name: q.Host + q.Path}
}

func (q PlacementQuery) service(r *route.Route, rnd *rand.Rand) (string, error) {
	if q.Service == "" {
		if service, ok := r.PickService(rnd.Float64()); ok {
			return service, nil
		}
		return "", &PlacementQueryError{Missing: MissingService}
	}
	for _, share := range r.TrafficSplit {
		if share.Service == q.Service {
			return q.Service, nil
		}
	}
	return "", &PlacementQueryError{Missing: MissingService, Name: q.Service}
}

// prompt returns the prompt; the part after the shared ones has no ID.
func (q PlacementQuery) prompt() *Prompt {
	shared := 0
	for _, part := range q.SharedParts {
		shared += part.Tokens
	}
	if q.PromptTokens == 0 && shared == 0 {
		return nil
	}
	tokens := max(q.PromptTokens, shared)
	return &Prompt{Tokens: tokens, Parts: append(q.SharedParts[:len(q.SharedParts):len(q.SharedParts)], PromptPart{Tokens: tokens - shared})}
}

// allLeftOut returns the replicas of a service that candidates leaves out.
func (s Snapshot) allLeftOut(service string) []placement.LeftOut {
	var list []placement.LeftOut
	for _, r := range s.Replicas.ForService(service) {
		if v := s.leftOut(r); v != "" {
			list = append(list, placement.LeftOut{Replica: r, Verdict: v})
		}
	}
	return list
}
