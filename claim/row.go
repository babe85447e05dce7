// Package claim runs non-repeatable calls at most once per idempotency key. A
// row in the table, the claim, reserves the key for one attempt before the
// first dispatch. Agents keep a cache of attempts and refuse duplicates.
package claim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"briarreach/table"
)

// Bounds of a row.
const (
	MaxResponseBytes = 16 << 10
	MaxTriedAgents   = 16
	maxTextBytes     = 512
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	StateClaimed  State = "claimed"
	StateDone     State = "done"
	StateUnknown  State = "unknown"  // whether the attempt ran will never be known
	StateReleased State = "released" // the attempt has not run and never will
)

// AgentInstance names one start of an agent's process. Incarnation identifies
// that start and is empty if the entry doesn't know it.
type AgentInstance struct {
	Name        string `json:"agent"`
	Incarnation string `json:"start,omitempty"`
}

// Response is the stored response of a call. Oversize means that the body is
// not stored: it was larger than MaxResponseBytes, or the agent's AttemptCache
// was full.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Oversize    bool   `json:"oversize,omitempty"`
}

// bounded returns the response without a body that is too large to store.
func (r Response) bounded() Response {
	if len(r.Body) > MaxResponseBytes {
		r.Body, r.Oversize = nil, true
	}
	return r
}

// Row is the stored form of a claim. TriedAgents lists the agents that the
// owner may have sent the attempt to; an agent is added before its dispatch.
type Row struct {
	AttemptID   string          `json:"attempt"` // ULID, generated when the claim is made
	Holder      string          `json:"holder"`  // holder ID of the owning entry, identifies one start of its process
	TriedAgents []AgentInstance `json:"tried"`
	BodyDigest  string          `json:"digest"` // of the request's body
	State       State           `json:"state"`
	Response    *Response       `json:"response,omitempty"` // set if State is StateDone
}

// InvalidError reports a malformed row or attempt ID.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid claim: " + e.Reason }

// Key returns the key of the claim of an idempotency key.
func Key(workspace, idempotencyKey string) table.Key {
	return table.Key{Partition: "claim/" + workspace, Sort: idempotencyKey}
}

// Encode returns the row as JSON.
func (r *Row) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field of a row can fail to encode
	}
	return data
}

// Decode decodes a stored row. It fails with *InvalidError.
func Decode(data []byte) (*Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("claim.Decode: %w", &InvalidError{Reason: err.Error()})
	}
	if err := r.validate(); err != nil {
		return nil, fmt.Errorf("claim.Decode: %w", err)
	}
	return &r, nil
}

func (r *Row) validate() error {
	if _, err := AttemptTime(r.AttemptID); err != nil {
		return err
	}
	if len(r.Holder) > maxTextBytes || r.BodyDigest == "" || len(r.BodyDigest) > maxTextBytes {
		return &InvalidError{Reason: fmt.Sprintf("bad holder or digest: lengths are %d and %d bytes", len(r.Holder), len(r.BodyDigest))}
	}
	if len(r.TriedAgents) == 0 || len(r.TriedAgents) > MaxTriedAgents {
		return &InvalidError{Reason: fmt.Sprintf("%d tried agents, want 1 to %d", len(r.TriedAgents), MaxTriedAgents)}
	}
	for _, t := range r.TriedAgents {
		if t.Name == "" || len(t.Name) > maxTextBytes || len(t.Incarnation) > maxTextBytes {
			return &InvalidError{Reason: fmt.Sprintf("bad agent name or incarnation: lengths are %d and %d bytes", len(t.Name), len(t.Incarnation))}
		}
	}
	switch r.State {
	case StateClaimed, StateUnknown, StateReleased:
		if r.Response != nil {
			return &InvalidError{Reason: fmt.Sprintf("unexpected response in state %q", r.State)}
		}
	case StateDone:
		if r.Response == nil || len(r.Response.Body) > MaxResponseBytes {
			return &InvalidError{Reason: "response is missing or too large"}
		}
	default:
		return &InvalidError{Reason: fmt.Sprintf("unknown state %q", r.State)}
	}
	return nil
}

func (r *Row) clone() *Row {
	out := *r
	out.TriedAgents = slices.Clone(r.TriedAgents)
	return &out
}

// wasTried reports whether the attempt may have been sent to an agent.
func (r *Row) wasTried(agent string) bool {
	return slices.ContainsFunc(r.TriedAgents, func(t AgentInstance) bool { return t.Name == agent })
}

// AttemptTime returns when an attempt was claimed, by its entry's clock, with a
// resolution of one millisecond. It fails with *InvalidError.
func AttemptTime(attemptID string) (time.Time, error) {
	id, err := ulid.ParseStrict(attemptID)
	if err != nil {
		return time.Time{}, &InvalidError{Reason: "attempt: " + err.Error()}
	}
	return ulid.Time(id.Time()), nil
}
