package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"briarreach/budget"
	"briarreach/caller"
	"briarreach/config"
	"briarreach/ledger"
	"briarreach/peer"
	"briarreach/timeline"
)

// exchange is the state of one request while it passes through the filters.
type exchange struct {
	request   caller.Request
	envelope  *caller.Envelope
	startedAt time.Time
	deadline  time.Time
	ctx       context.Context // ends when the time for a shutdown is up

	document     *config.Document
	key          config.KeyRow
	workspace    config.Workspace
	identity     ledger.Identity
	spec         requestSpec
	holderWallet *holderWallet
	reservation  budget.Reservation
	reserved     bool
}

// dropBody releases the request's body when the answer has started: there is no
// retry after that, and a slow reader would keep a long prompt in memory.
func (x *exchange) dropBody() {
	x.envelope.Body = nil
	if chat, ok := x.request.(*caller.ChatRequest); ok {
		chat.Prompt = nil
	}
}

// requestSpec is what a request asks for and the most that it may cost. Prices
// are in budget tokens per token, maxCost is in budget tokens.
type requestSpec struct {
	subject             string // name of the model or service
	route               string // version moves compare versions by route
	repeatable          bool
	promptPrice         int64
	completionPrice     int64
	maxPromptTokens     int64
	maxCompletionTokens int64
	maxCost             int64
}

// filter is one step of the chain. It returns nil to continue with the next
// filter, or the reply that ends the request.
type filter interface {
	apply(ctx context.Context, x *exchange) caller.Reply
}

// serve passes a request through the filters. It limits the open requests.
func (e *Entry) serve(ctx context.Context, r caller.Request) caller.Reply {
	now := e.clock.Now()
	if openRequests := e.openRequests.Add(1); openRequests > int64(e.settings.Entry.MaxRequests) {
		e.openRequests.Add(-1)
		refusal := caller.NewRefusal(http.StatusServiceUnavailable, caller.Overloaded, "%v", &TooManyRequestsError{Max: e.settings.Entry.MaxRequests})
		refusal.RetryAfter = time.Second
		return refusal
	}
	x := &exchange{
		request: r, envelope: caller.EnvelopeOf(r), startedAt: now,
		deadline: now.Add(e.settings.Entry.RequestTimeout.Duration), ctx: ctx,
	}
	if end := e.drainEnd.Load(); end != nil && x.deadline.After(*end) {
		x.deadline = *end
	}
	for _, f := range e.filters {
		reply := f.apply(ctx, x)
		if reply == nil {
			continue
		}
		if s, ok := reply.(*caller.StreamReply); ok {
			s.Body = &notifyingBody{ReadCloser: s.Body, onClose: func() { e.openRequests.Add(-1) }}
			return reply
		}
		e.openRequests.Add(-1)
		e.observeReply(x, reply)
		return reply
	}
	e.openRequests.Add(-1)
	return caller.NewFailure(http.StatusInternalServerError, caller.OutcomeUnknown, peer.ExecutionUnknown, "no filter answered the request")
}

func (e *Entry) observeReply(x *exchange, reply caller.Reply) {
	refusal, ok := reply.(*caller.Error)
	if !ok {
		return
	}
	e.metrics.GetOrCreateCounter(`briarreach_entry_errors_total{type="` + string(refusal.Type) + `",execution="` + string(refusal.Execution) + `"}`).Inc()
	e.events.Record(timeline.Event{Kind: "request_refused", RequestID: x.envelope.RequestID, Workspace: x.key.Workspace,
		ConfigNumber: e.follower.Number(), Detail: string(refusal.Type)})
	e.log.WithField("request_id", x.envelope.RequestID).WithField("workspace", x.key.Workspace).
		WithField("type", string(refusal.Type)).WithField("execution", string(refusal.Execution)).Info("request refused")
}

// authenticate looks up the workspace of the caller's key.
type authenticate struct{ e *Entry }

func (f authenticate) apply(ctx context.Context, x *exchange) caller.Reply {
	x.document = f.e.follower.Current()
	x.holderWallet = f.e.holderWallet.Load()
	if x.document == nil {
		return caller.NewRefusal(http.StatusServiceUnavailable, caller.NotReady, "the entry has no configuration")
	}
	lookup, cancel := context.WithTimeout(ctx, f.e.settings.Table.Timeout.Duration)
	defer cancel()
	row, err := f.e.keys.lookup(lookup, x.envelope.APIKey)
	if isUnknownKey(err) {
		return caller.NewRefusal(http.StatusUnauthorized, caller.Unauthorized, "the key is unknown")
	}
	if err != nil {
		return tableRefusal(err)
	}
	workspace, ok := x.document.Workspaces[row.Workspace]
	if !ok {
		return caller.NewRefusal(http.StatusUnauthorized, caller.Unauthorized, "the key belongs to no workspace")
	}
	x.key, x.workspace = row, workspace
	return nil
}

// resolveSpec determines the requested model or route, the request's identity
// and its maximum cost.
type resolveSpec struct{ e *Entry }

func (f resolveSpec) apply(_ context.Context, x *exchange) caller.Reply {
	x.identity = ledger.NewIdentity(x.key.Workspace, x.envelope.IdempotencyKey, x.envelope.Body)
	switch r := x.request.(type) {
	case *caller.ChatRequest:
		return f.resolveChat(x, r)
	case *caller.ServiceRequest:
		return f.resolveCall(x, r)
	default:
		return caller.NewRefusal(http.StatusBadRequest, caller.InvalidRequest, "unknown kind of request")
	}
}

func (f resolveSpec) resolveChat(x *exchange, r *caller.ChatRequest) caller.Reply {
	model, ok := x.document.Models[r.Model]
	if !ok {
		return caller.NewRefusal(http.StatusNotFound, caller.UnknownModel, "model %q is unknown", r.Model)
	}
	if repeats := f.repeats(x); repeats > maxFreeRepeats {
		return caller.NewFailure(http.StatusConflict, caller.AlreadyRan, peer.ExecutionRan,
			"the request with this idempotency key ran %d times already", repeats+1)
	}
	maxTokens := r.MaxTokens
	if maxTokens == 0 || maxTokens > model.MaxTokens {
		maxTokens = model.MaxTokens
	}
	x.spec = requestSpec{
		subject: model.Name, route: "/v1/chat/completions", repeatable: true,
		promptPrice: model.PromptPrice, completionPrice: model.CompletionPrice,
		maxPromptTokens: r.PromptTokens, maxCompletionTokens: maxTokens,
		maxCost: r.PromptTokens*model.PromptPrice + maxTokens*model.CompletionPrice,
	}
	return nil
}

// maxFreeRepeats is how often a request that has been billed may run again free
// of charge, for callers that lost the answer.
const maxFreeRepeats = 2

// repeats returns the number of this repeat of a billed request, counting from
// 1, or 0 if the request has not been billed.
func (f resolveSpec) repeats(x *exchange) int {
	j := f.e.journal.Load()
	if x.envelope.IdempotencyKeyGenerated || j == nil {
		return 0
	}
	repeats := 0
	j.Read(x.key.Budget, func(s *ledger.State) {
		if bill, ok := s.BillOf(x.identity); ok {
			repeats = bill.Repeats + 1
		}
	})
	return repeats
}

func (f resolveSpec) resolveCall(x *exchange, r *caller.ServiceRequest) caller.Reply {
	service, ok := x.document.Services[r.Service]
	if !ok {
		return caller.NewRefusal(http.StatusNotFound, caller.UnknownService, "service %q is unknown", r.Service)
	}
	for _, route := range service.Routes {
		if route.Method != r.Method || !matchPath(route.Path, r.Path) {
			continue
		}
		if !route.Repeatable && x.envelope.IdempotencyKeyGenerated {
			return caller.NewRefusal(http.StatusBadRequest, caller.InvalidRequest,
				"%s %s runs at most once: it needs an Idempotency-Key", r.Method, r.Path)
		}
		x.spec = requestSpec{subject: service.Name, route: route.Path, repeatable: route.Repeatable, maxCost: route.Price}
		return nil
	}
	return caller.NewRefusal(http.StatusNotFound, caller.UnknownRoute, "service %q has no route %s %s", r.Service, r.Method, r.Path)
}

// matchPath compares a path with a route segment by segment; "{name}" in the
// route matches any segment that is not empty.
func matchPath(route, path string) bool {
	routeSegments, pathSegments := strings.Split(route, "/"), strings.Split(path, "/")
	if len(routeSegments) != len(pathSegments) {
		return false
	}
	for i := range routeSegments {
		if routeSegments[i] != pathSegments[i] && (!strings.HasPrefix(routeSegments[i], "{") || pathSegments[i] == "") {
			return false
		}
	}
	return true
}

// reserve reserves the maximum cost of the request from the budget.
type reserve struct{ e *Entry }

func (f reserve) apply(ctx context.Context, x *exchange) caller.Reply {
	if x.spec.maxCost == 0 {
		return nil
	}
	if refusal := f.e.reserveFor(ctx, x); refusal != nil {
		return refusal
	}
	return nil
}

// dispatch sends the request to a target and returns its answer as a stream.
type dispatch struct{ e *Entry }

func (f dispatch) apply(ctx context.Context, x *exchange) caller.Reply {
	answer, refusal := f.e.dispatchWithRetries(ctx, x)
	if refusal != nil {
		f.e.releaseReservation(x)
		return refusal
	}
	return &caller.StreamReply{Status: answer.head.Status, ContentType: answer.head.ContentType, Body: answer}
}

func newAttemptID() string { return ulid.Make().String() }

// globalSource is a rand.Source that is safe for concurrent use.
type globalSource struct{}

func (globalSource) Int63() int64   { return rand.Int64() }
func (globalSource) Uint64() uint64 { return rand.Uint64() }
func (globalSource) Seed(int64)     {}
