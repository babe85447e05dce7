package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"briarreach/route"
)

// meters are the gateway's metrics.
type meters struct {
	set          *metrics.Set
	retryRefused *metrics.Counter
	pause        *metrics.Histogram // between events of a stream
	quotaWait    *metrics.Histogram
	prompt       *metrics.Counter // tokens of prompts sent to replicas
	cached       *metrics.Counter // of these, expected to be cached there
}

func newMeters(set *metrics.Set) *meters {
	return &meters{set: set, retryRefused: set.NewCounter("briarreach_retry_budget_exhausted_total"),
		pause:     set.NewHistogram("briarreach_event_pause_seconds"),
		quotaWait: set.NewHistogram("briarreach_quota_wait_seconds"),
		prompt:    set.NewCounter("briarreach_prompt_tokens_total"),
		cached:    set.NewCounter("briarreach_prompt_tokens_expected_cached_total")}
}

// report writes the request's log line and counts it.
func (e *exchange) report(outcome, reason string) {
	took := e.g.clock.Since(e.started)
	kind, name := "none", ""
	if e.route != nil {
		kind, name = kindName(e.route.Kind), e.route.Name
	}
	m := e.g.metrics.set
	m.GetOrCreateCounter(fmt.Sprintf("briarreach_requests_total{kind=%q,outcome=%q,reason=%q}", kind, outcome, reason)).Inc()
	if outcome == outcomeServed {
		m.GetOrCreateHistogram(fmt.Sprintf("briarreach_first_byte_seconds{kind=%q}", kind)).Update(e.first.Seconds())
		m.GetOrCreateHistogram(fmt.Sprintf("briarreach_request_seconds{kind=%q}", kind)).Update(took.Seconds())
	}
	for _, s := range e.sends {
		m.GetOrCreateCounter(fmt.Sprintf("briarreach_sends_total{outcome=%q}", s.Outcome)).Inc()
		m.GetOrCreateCounter(fmt.Sprintf("briarreach_placements_total{why=%q}", s.Why)).Inc()
		if e.r.Prompt != nil {
			e.g.metrics.prompt.Add(e.r.Prompt.Tokens)
			e.g.metrics.cached.Add(s.Cached)
		}
	}
	fields := log.Fields{
		"request": e.r.ID, "kind": kind, "route": name, "workspace": e.workspace, "service": e.service,
		"outcome": outcome, "took_ms": took.Milliseconds(), "sends": e.sends,
	}
	if reason != "" {
		fields["reason"] = reason
	}
	if e.belief.Table != nil {
		fields["config_version"] = e.belief.Table.Version()
		fields["config_age_ms"] = e.configAge.Milliseconds()
	}
	if e.belief.Replicas != nil {
		fields["registry_version"] = e.belief.Replicas.Version
	}
	if outcome == outcomeServed {
		fields["first_ms"] = e.first.Milliseconds()
	}
	if q := e.short; q != nil {
		fields["quota_balance"], fields["quota_allowed"], fields["quota_rows_age_ms"] = q.Balance, q.Allowed, q.RowsAge.Milliseconds()
	}
	if p := e.r.Prompt; p != nil {
		fields["prompt_tokens"], fields["events"] = p.Tokens, e.delivered
	}
	e.g.log.WithFields(fields).Info("request")
}

func kindName(k route.Kind) string {
	switch k := k.(type) {
	case route.Idempotent:
		return "idempotent"
	case route.NonIdempotent:
		return "non_idempotent"
	case route.Streaming:
		if k.Resumable {
			return "resumable_stream"
		}
		return "stream"
	default:
		return "unknown"
	}
}
