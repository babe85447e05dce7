package config

import "time"

// Operation is one change to the document. It is one of the types below; the
// JSON form is an object with the field "op" and the operation's fields.
type Operation interface{ operation() }

type (
	// PutWorkspace creates a workspace or replaces its settings.
	PutWorkspace struct {
		Workspace Workspace `json:"workspace"`
	}
	// RemoveWorkspace removes a workspace; its budgets stay in the ledger.
	RemoveWorkspace struct {
		Name string `json:"name"`
	}
	// OpenBudget creates a prepaid budget of a workspace.
	OpenBudget struct {
		Workspace string `json:"workspace"`
		Budget    string `json:"budget"`
		Prepaid   int64  `json:"prepaid"` // budget tokens
	}
	// TopUp adds to a prepaid budget.
	TopUp struct {
		Budget string `json:"budget"`
		Amount int64  `json:"amount"` // budget tokens
	}
	// PutKey authorizes a key as that of a caller of a workspace, charged to
	// Budget, or of an operator. Hash is the SHA-256 of the key in
	// hexadecimal.
	PutKey struct {
		Hash      string `json:"hash"`
		Workspace string `json:"workspace,omitempty"`
		Budget    string `json:"budget,omitempty"`
		Operator  string `json:"operator,omitempty"` // "read" or "write"
	}
	// RevokeKey revokes a key.
	RevokeKey struct {
		Hash string `json:"hash"`
	}
	// PutModel sets the prices and the current version of a model.
	PutModel struct {
		Model Model `json:"model"`
	}
	// PutService sets the routes and the current version of a plain service.
	PutService struct {
		Service Service `json:"service"`
	}
	// PutTarget registers a target or replaces its registration.
	PutTarget struct {
		Target Target `json:"target"`
	}
	// RemoveTarget removes a target.
	RemoveTarget struct {
		Name string `json:"name"`
	}
	// DrainTarget stops sending new work to a target.
	DrainTarget struct {
		Name string `json:"name"`
	}
	// UndrainTarget resumes sending work to a drained target.
	UndrainTarget struct {
		Name string `json:"name"`
	}
	// StartMove declares that the traffic of a model or service moves from
	// version From to version To by Deadline.
	StartMove struct {
		Move     string    `json:"move"`
		Subject  string    `json:"subject"` // name of a model or service
		From     string    `json:"from"`
		To       string    `json:"to"`
		Deadline time.Time `json:"deadline"`
	}
	// ChangeDeadline changes the deadline of a running move.
	ChangeDeadline struct {
		Move     string    `json:"move"`
		Deadline time.Time `json:"deadline"`
	}
	// CancelMove cancels a running move at the operator's request.
	CancelMove struct {
		Move string `json:"move"`
	}
	// SetShare sets the share of the move's traffic, in parts per million, that
	// the new version gets. Only the controller writes it.
	SetShare struct {
		Move     string `json:"move"`
		SharePPM int64  `json:"share"`
		Evidence string `json:"evidence"`
	}
	// FinishMove makes the new version the current one. Only the controller writes
	// it.
	FinishMove struct {
		Move     string `json:"move"`
		Evidence string `json:"evidence"`
	}
	// RollBackMove returns all traffic to the old version. Only the controller
	// writes it.
	RollBackMove struct {
		Move     string `json:"move"`
		Evidence string `json:"evidence"`
	}
)

func (PutWorkspace) operation()    {}
func (RemoveWorkspace) operation() {}
func (OpenBudget) operation()      {}
func (TopUp) operation()           {}
func (PutKey) operation()          {}
func (RevokeKey) operation()       {}
func (PutModel) operation()        {}
func (PutService) operation()      {}
func (PutTarget) operation()       {}
func (RemoveTarget) operation()    {}
func (DrainTarget) operation()     {}
func (UndrainTarget) operation()   {}
func (StartMove) operation()       {}
func (ChangeDeadline) operation()  {}
func (CancelMove) operation()      {}
func (SetShare) operation()        {}
func (FinishMove) operation()      {}
func (RollBackMove) operation()    {}
