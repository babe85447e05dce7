// Package config defines the numbered configuration document of the fleet and
// the patches that change it.
package config

import (
	"net/netip"
	"time"
)

// Document is one version of the configuration. Number grows by one with each
// accepted patch. A published document is immutable. Maps are keyed by name.
type Document struct {
	Number     uint64               `json:"number"`
	Shards     int                  `json:"shards"`      // ledger shards, fixed for a deployment
	KeysNumber uint64               `json:"keys_number"` // number of the last document whose patch changed keys
	Workspaces map[string]Workspace `json:"workspaces"`
	Models     map[string]Model     `json:"models"`
	Services   map[string]Service   `json:"services"`
	Targets    map[string]Target    `json:"targets"`
	Moves      map[string]Move      `json:"moves"`
}

// Workspace is a customer of the deployment. Priority orders waiting requests;
// higher goes first.
type Workspace struct {
	Name     string `json:"name"`
	Priority int    `json:"priority,omitempty"`
}

// Model is a model that callers name. Prices are budget tokens per token.
// Version gets all traffic except the share of a running move.
type Model struct {
	Name            string `json:"name"`
	Version         string `json:"version"`
	PromptPrice     int64  `json:"prompt_price"`
	CompletionPrice int64  `json:"completion_price"`
	MaxTokens       int64  `json:"max_tokens"` // largest max_tokens of a request, and the default
}

// Service is a plain service with its routes.
type Service struct {
	Name    string  `json:"name"`
	Version string  `json:"version"`
	Routes  []Route `json:"routes"`
}

// Route is a method and path of a service. Price is the cost of one call in
// budget tokens. A call that is not repeatable runs at most once for each
// idempotency key.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable"`
	Price      int64  `json:"price"`
}

// Target is one model engine or service replica, reached through its
// agent. Exactly one of Model and Service is set.
type Target struct {
	Name          string         `json:"name"`
	Model         string         `json:"model,omitempty"`
	Service       string         `json:"service,omitempty"`
	Version       string         `json:"version"`
	AgentAddr     netip.AddrPort `json:"agent"`
	VM            string         `json:"vm,omitempty"`
	FailureDomain string         `json:"failure_domain,omitempty"`
	MaxConcurrent int            `json:"max_concurrent"`
	MaxTokens     int64          `json:"max_tokens,omitempty"` // limit of the tokens reserved for running requests, 0 for none
	Draining      bool           `json:"draining,omitempty"`
}

// MoveState is the state of a version move.
type MoveState string

// States of a move.
const (
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "rolled_back"
	MoveCancelled  MoveState = "cancelled"
)

// Move is a version move of the model or service Subject. SharePPM is the share
// of the traffic that the new version gets, in parts per million.
type Move struct {
	Name     string    `json:"name"`
	Subject  string    `json:"subject"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Started  time.Time `json:"started"`
	Deadline time.Time `json:"deadline"`
	State    MoveState `json:"state"`
	SharePPM int64     `json:"share"`
	Evidence string    `json:"evidence,omitempty"`
	Ended    time.Time `json:"ended,omitzero"`
}

// Patch is a list of operations based on the document with number Base. ID is a
// ULID and an idempotency key: a patch that is submitted again is applied once.
type Patch struct {
	ID         string
	Base       uint64
	Operator   string
	Operations []Operation
}
