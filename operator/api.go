// Package operator implements the operators' HTTP API: its server and its client.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"briarreach/config"
	"briarreach/peer"
	"briarreach/timeline"
)

// Paths of the API.
const (
	ConfigPath   = "/operator/v1/config"
	PatchPath    = "/operator/v1/config/patches"
	HistoryPath  = "/operator/v1/config/history"
	StatusPath   = "/operator/v1/status"
	BudgetsPath  = "/operator/v1/budgets"
	TimelinePath = "/operator/v1/timeline"
)

// Role is the access that an operator key grants.
type Role string

// Roles of operators. Write includes Read.
const (
	Read  Role = "read"
	Write Role = "write"
)

// PatchResponse is the answer to a patch. AlreadyAccepted is set if the same
// patch was accepted earlier.
type PatchResponse struct {
	ConfigNumber    uint64 `json:"number"`
	PatchID         string `json:"patch_id"`
	AlreadyAccepted bool   `json:"repeated,omitempty"`
}

// Change is the patch that led to a configuration number.
type Change struct {
	ConfigNumber uint64       `json:"number"`
	Patch        config.Patch `json:"patch"`
}

// DaemonStatus is the state of one entry or agent. If it did not answer, Error is
// set and Process holds its address.
type DaemonStatus struct {
	Process      string         `json:"process"`
	Role         peer.Role      `json:"role"`
	Address      netip.AddrPort `json:"address"`
	ConfigNumber uint64         `json:"config_number"`
	Error        string         `json:"error,omitempty"`
}

// Status says which daemons have the current configuration number. NotCurrent
// holds the Process of those that have an older one or did not answer. InForce is
// set if there are none.
type Status struct {
	ConfigNumber uint64         `json:"number"`
	InForce      bool           `json:"in_force"`
	Daemons      []DaemonStatus `json:"daemons"`
	NotCurrent   []string       `json:"lacking"`
}

// Budget is the state of a budget, in budget tokens.
type Budget struct {
	Name        string `json:"name"`
	Prepaid     int64  `json:"prepaid"`
	Settled     int64  `json:"settled"`
	Outstanding int64  `json:"outstanding"`
	Available   int64  `json:"available"`
}

// Backend provides the entry's state and its configuration changes to the API.
type Backend interface {
	Authorize(ctx context.Context, secret string) (Role, error)
	Document() *config.Document
	Patch(ctx context.Context, p config.Patch) (PatchResponse, error)
	History(ctx context.Context, after uint64, limit int) ([]Change, error)
	Status(ctx context.Context) Status
	Budgets(ctx context.Context) ([]Budget, error)
	Timeline(ctx context.Context, f timeline.Filter) []timeline.Event
}

// ErrorType is the type of an API error.
type ErrorType string

// Types of errors that operators see.
const (
	Unauthorized ErrorType = "unauthorized"
	Forbidden    ErrorType = "forbidden"
	Malformed    ErrorType = "malformed"
	Invalid      ErrorType = "invalid"
	Conflict     ErrorType = "conflict"
	NotFound     ErrorType = "not_found"
	Unavailable  ErrorType = "unavailable"
	Ambiguous    ErrorType = "ambiguous"
	Internal     ErrorType = "internal"
)

// Error is an API error. Details is the JSON form of a config.ConflictError or
// config.InvalidError.
type Error struct {
	Status  int             `json:"-"`
	Type    ErrorType       `json:"type"`
	Message string          `json:"message"`
	Details json.RawMessage `json:"details,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Type, e.Message) }

type errorResponse struct {
	Error *Error `json:"error"`
}

// RequestTimeout bounds the handling of one API request.
const RequestTimeout = 10 * time.Second
