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
		Prepaid   int64  `json:"prepaid"`
	}
	// TopUp adds to a prepaid budget.
	TopUp struct {
		Budget string `json:"budget"`
		Amount int64  `json:"amount"`
	}
	// PutKey lets the holder of a key act as a caller of a workspace, charged
	// to Budget, or as an operator. Hash is the SHA-256 of the key in
	// hexadecimal.
	PutKey struct {
		Hash      string `json:"hash"`
		Workspace string `json:"workspace,omitempty"`
		Budget    string `json:"budget,omitempty"`
		Operator  string `json:"operator,omitempty"` // "read" or "write"
	}
	// RevokeKey ends a key.
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
	// DrainTarget stops new work at a target.
	DrainTarget struct {
		Name string `json:"name"`
	}
	// UndrainTarget lets a drained target take work again.
	UndrainTarget struct {
		Name string `json:"name"`
	}
	// StartMove declares that the traffic of a model or service moves from
	// version From to version To until Deadline.
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
	// CancelMove takes a running move back by the operator's will.
	CancelMove struct {
		Move string `json:"move"`
	}
	// SetShare is written by the controller: the share of the move's traffic,
	// in parts per million, that the new version gets.
	SetShare struct {
		Move     string `json:"move"`
		SharePPM int64  `json:"share"`
		Evidence string `json:"evidence"`
	}
	// FinishMove is written by the controller when all traffic has moved.
	FinishMove struct {
		Move     string `json:"move"`
		Evidence string `json:"evidence"`
	}
	// RollBackMove is written by the controller when the new version is bad.
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
