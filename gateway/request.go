package gateway

import (
	"context"
	"io"
	"time"

	"briarreach/replica"
	"briarreach/upstream"
)

// Request is a caller's request. Its identifier covers one attempt of the
// caller: a repeat by the caller is another request.
type Request struct {
	ID            string
	Method        string
	Host          string
	RequestTarget string // path and query, as received
	Path          string
	APIKey        string                 // API key
	Timeout       time.Duration          // how long the caller waits; 0 if it did not say
	Prompt        *Prompt                // nil for requests to plain services
	Header        []upstream.HeaderField // end-to-end fields to pass on
	Body          []byte
	LastEventID   string // the event after which the caller resumes a stream
}

// Prompt is the size and the composition of a model request.
type Prompt struct {
	Model     string
	Tokens    int
	MaxOutput int
	Parts     []PromptPart // in order; all but the last are shared with other requests
}

// PromptPart is a section of a prompt that requests can share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Answer is what a caller gets. It is one of *Refusal and *Relay.
type Answer interface{ answer() }

// Execution says whether a refused request has run.
type Execution string

// Values of Ran.
const (
	NotExecuted      Execution = "not_run" // and never will
	ExecutionUnknown Execution = "unknown"
	Executed         Execution = "ran"
)

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	Malformed          Reason = "malformed"
	UnknownRoute       Reason = "unknown_route"
	UnknownAPIKey      Reason = "unknown_key"
	QuotaExhausted     Reason = "quota_exhausted"
	QuotaUnavailable   Reason = "quota_unsettled" // the quota may suffice, but not enough is granted here
	NoConfiguration    Reason = "no_configuration"
	StaleConfig        Reason = "stale_configuration"
	NoReplica          Reason = "no_replica"
	Overloaded         Reason = "overloaded"
	ReplicaFull        Reason = "replica_full"
	ReplicaFailed      Reason = "replica_failed"
	TimedOut           Reason = "timed_out"
	Stopping           Reason = "stopping"
	CallerDisconnected Reason = "caller_gone"
)

// Refusal is an answer of the fleet's own.
type Refusal struct {
	Execution  Execution
	Reason     Reason
	RetryAfter time.Duration // 0 if coming back is of no use
}

// RelayedResponse is a replica's answer. Body is nil if BufferedBody holds it all. Reading
// Body fails if the answer is not complete; it is closed in any case.
type RelayedResponse struct {
	Status        int
	Header        []upstream.HeaderField
	BufferedBody  []byte
	Body          io.ReadCloser
	ContentLength int64 // of Body; -1 if unknown
}

func (*Refusal) answer()         {}
func (*RelayedResponse) answer() {}

// Dispatch is one send of a request to a replica.
type Dispatch struct {
	Request      *Request
	Replica      replica.Replica
	Workspace    string
	Priority     int           // 0 is the most urgent, 9 the least
	Timeout      time.Duration // time that the replica may take
	AfterEventID string        // the event after which the replica goes on; "" is the start
}

// Response is a replica's answer to one send. Body must be closed.
type Response struct {
	Status        int
	Header        []upstream.HeaderField
	NotExecuted   bool // whether the replica states that the request did not run
	WrongReplica  bool // whether another replica has the address
	ContentLength int64
	Body          io.ReadCloser
}

// Sender sends requests to replicas. It never repeats a request. Its errors
// are *upstream.NotSentError and *upstream.IncompleteResponseError.
type Sender interface {
	Send(ctx context.Context, d Dispatch) (*Response, error)
	// CloseIdleConnections drops the idle connections to a replica.
	CloseIdleConnections(r replica.Replica)
}
