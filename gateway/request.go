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
	ID        string
	Method    string
	Host      string
	Target    string // path and query, as received
	Path      string
	Key       string           // API key
	Timeout   time.Duration    // how long the caller waits; 0 if it did not say
	Prompt    *Prompt          // nil for requests to plain services
	Header    []upstream.Field // end-to-end fields to pass on
	Body      []byte
	LastEvent string // the event after which the caller resumes a stream
}

// Prompt is the size and the composition of a model request.
type Prompt struct {
	Model     string
	Tokens    int
	MaxOutput int
	Parts     []Part // in order; all but the last are shared with other requests
}

// Part is a section of a prompt that requests can share.
type Part struct {
	ID     string
	Tokens int
}

// Answer is what a caller gets. It is one of *Refusal and *Relay.
type Answer interface{ answer() }

// Ran says whether a refused request has run.
type Ran string

// Values of Ran.
const (
	NotRun     Ran = "not_run" // and never will
	RanUnknown Ran = "unknown"
	HasRun     Ran = "ran"
)

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	Malformed       Reason = "malformed"
	UnknownRoute    Reason = "unknown_route"
	UnknownKey      Reason = "unknown_key"
	QuotaExhausted  Reason = "quota_exhausted"
	QuotaUnsettled  Reason = "quota_unsettled" // the quota may suffice, but not enough is granted here
	NoConfiguration Reason = "no_configuration"
	StaleConfig     Reason = "stale_configuration"
	NoReplica       Reason = "no_replica"
	Overloaded      Reason = "overloaded"
	ReplicaFull     Reason = "replica_full"
	ReplicaFailed   Reason = "replica_failed"
	TimedOut        Reason = "timed_out"
	Stopping        Reason = "stopping"
	CallerGone      Reason = "caller_gone"
)

// Refusal is an answer of the fleet's own.
type Refusal struct {
	Ran        Ran
	Reason     Reason
	RetryAfter time.Duration // 0 if coming back is of no use
}

// Relay is a replica's answer. Body is nil if Whole holds it all. Reading
// Body fails if the answer is not complete; it is closed in any case.
type Relay struct {
	Status int
	Header []upstream.Field
	Whole  []byte
	Body   io.ReadCloser
	Length int64 // of Body; -1 if unknown
}

func (*Refusal) answer() {}
func (*Relay) answer()   {}

// Dispatch is one send of a request to a replica.
type Dispatch struct {
	Request   *Request
	Replica   replica.Replica
	Workspace string
	Priority  int           // 0 is the most urgent, 9 the least
	Timeout   time.Duration // time that the replica may take
	After     string        // the event after which the replica goes on; "" is the start
}

// Response is a replica's answer to one send. Body must be closed.
type Response struct {
	Status int
	Header []upstream.Field
	NotRun bool // whether the replica states that the request did not run
	Other  bool // whether another replica has the address
	Length int64
	Body   io.ReadCloser
}

// Sender sends requests to replicas. It never repeats a request. Its errors
// are *upstream.NotSentError and *upstream.BrokenError.
type Sender interface {
	Send(ctx context.Context, d Dispatch) (*Response, error)
	// Forget drops the idle connections to a replica.
	Forget(r replica.Replica)
}
