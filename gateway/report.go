package gateway

import (
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"briarreach/route"
)

// gatewayMetrics are the gateway's metrics.
type gatewayMetrics struct {
	set                  *metrics.Set
	retryBudgetExhausted *metrics.Counter
	eventPause           *metrics.Histogram // between events of a stream
	quotaWait            *metrics.Histogram
	firstEventEarly      *metrics.Histogram // before and after the expected time, if the speeds of replicas are estimated
	firstEventLate       *metrics.Histogram
	promptTokens         *metrics.Counter // tokens of the prompt, once per sendRecord, whether sent or not
	expectedCachedTokens *metrics.Counter // those of promptTokens that were expected in the replica's cache
}

func newMetrics(set *metrics.Set) *gatewayMetrics {
	return &gatewayMetrics{set: set, retryBudgetExhausted: set.NewCounter("briarreach_retry_budget_exhausted_total"),
		eventPause:           set.NewHistogram("briarreach_event_pause_seconds"),
		firstEventEarly:      set.NewHistogram(`briarreach_first_event_error_seconds{side="early"}`),
		firstEventLate:       set.NewHistogram(`briarreach_first_event_error_seconds{side="late"}`),
		quotaWait:            set.NewHistogram("briarreach_quota_wait_seconds"),
		promptTokens:         set.NewCounter("briarreach_prompt_tokens_total"),
		expectedCachedTokens: set.NewCounter("briarreach_prompt_tokens_expected_cached_total")}
}

// report updates the metrics and writes the log line of the request.
func (e *exchange) report(outcome, reason string) {
	took := e.gateway.clock.Since(e.started)
	kind, name := "none", ""
	if e.route != nil {
		kind, name = kindName(e.route.Kind), e.route.Name
	}
	m := e.gateway.metrics.set
	m.GetOrCreateCounter(fmt.Sprintf("briarreach_requests_total{kind=%q,outcome=%q,reason=%q}", kind, outcome, reason)).Inc()
	if outcome == outcomeServed {
		m.GetOrCreateHistogram(fmt.Sprintf("briarreach_first_byte_seconds{kind=%q}", kind)).Update(e.timeToFirstByte.Seconds())
		m.GetOrCreateHistogram(fmt.Sprintf("briarreach_request_seconds{kind=%q}", kind)).Update(took.Seconds())
	}
	for _, s := range e.sends {
		m.GetOrCreateCounter(fmt.Sprintf("briarreach_sends_total{outcome=%q}", s.Outcome)).Inc()
		m.GetOrCreateCounter(fmt.Sprintf("briarreach_placements_total{why=%q}", s.PlacementReason)).Inc()
		if e.request.Prompt != nil {
			e.gateway.metrics.promptTokens.Add(e.request.Prompt.Tokens)
			e.gateway.metrics.expectedCachedTokens.Add(s.CachedTokens)
		}
	}
	fields := log.Fields{
		"request": e.request.ID, "kind": kind, "route": name, "workspace": e.workspace, "service": e.service,
		"outcome": outcome, "took_ms": took.Milliseconds(), "sends": e.sends,
	}
	if reason != "" {
		fields["reason"] = reason
	}
	if e.snapshot.RouteTable != nil {
		fields["config_version"] = e.snapshot.RouteTable.Version()
		fields["config_age_ms"] = e.configAge.Milliseconds()
	}
	if e.snapshot.Replicas != nil {
		fields["registry_version"] = e.snapshot.Replicas.Version
	}
	if outcome == outcomeServed {
		fields["first_ms"] = e.timeToFirstByte.Milliseconds()
	}
	if q := e.quotaErr; q != nil {
		fields["quota_balance"], fields["quota_allowed"], fields["quota_rows_age_ms"] = q.Balance, q.Spendable, q.GrantDataAge.Milliseconds()
	}
	if e.quarantinedPart != "" {
		fields["quarantined_part"] = e.quarantinedPart
	}
	if slices.ContainsFunc(e.sends, func(s sendRecord) bool { return s.Outcome == sendBroken }) {
		fields["fingerprint"] = e.fingerprint()
	}
	if p := e.request.Prompt; p != nil {
		fields["prompt_tokens"], fields["events"], fields["prompt_parts"] = p.Tokens, e.eventsReceived, p.SharedPartIDs()
		fields["prompt_part_tokens"] = p.sharedPartTokens()
	}
	e.gateway.log.WithFields(fields).Info("request")
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
