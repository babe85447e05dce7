package config

import "fmt"

// Reason is the machine-readable cause of an InvalidError.
type Reason string

// Reasons of an InvalidError.
const (
	ReasonBadValue             Reason = "bad_value"
	ReasonBadName              Reason = "bad_name"
	ReasonDuplicateName        Reason = "duplicate_name"
	ReasonUnknownName          Reason = "unknown_name"
	ReasonNegativeAmount       Reason = "negative_amount"
	ReasonDeadlinePast         Reason = "deadline_past"
	ReasonMoveEnded            Reason = "move_ended"             // the move is not running
	ReasonMoveRunning          Reason = "move_running"           // From of a running move is not the current version
	ReasonOverlappingMove      Reason = "overlapping_move"       // another move of the subject is running
	ReasonVersionWithoutTarget Reason = "version_without_target" // a version that is to get traffic has no target in service
	ReasonLastTarget           Reason = "last_target"            // a version with traffic would lose its last target
	ReasonTooLarge             Reason = "too_large"              // no operation, or too many
)

// InvalidError reports an invalid patch or document. Operation is the index of
// the operation that causes the error, or -1 if it concerns the patch as a
// whole or a document.
// Path is the field, for example "target.agent".
type InvalidError struct {
	Operation int    `json:"operation"`
	Path      string `json:"path"`
	Reason    Reason `json:"reason"`
	Detail    string `json:"detail"`
}

func (e *InvalidError) Error() string {
	where := e.Path
	if e.Operation >= 0 {
		where = fmt.Sprintf("operations[%d].%s", e.Operation, e.Path)
	}
	return fmt.Sprintf("invalid patch: %s: %s (%s)", where, e.Detail, e.Reason)
}

// ConflictError reports a patch whose base is not the current document.
// LaterPatches holds the patches accepted after Base that are still stored.
type ConflictError struct {
	Base         uint64  `json:"base"`
	Current      uint64  `json:"current"`
	LaterPatches []Patch `json:"since"`
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("patch is made against number %d, the current number is %d", e.Base, e.Current)
}

// DecodeError reports malformed JSON, an unknown field or an unknown
// operation. Path is the position in the input, for example
// "operations[2].target.agent".
type DecodeError struct {
	Path   string
	Reason string
}

func (e *DecodeError) Error() string {
	if e.Path == "" {
		return "malformed configuration: " + e.Reason
	}
	return fmt.Sprintf("malformed configuration: %s: %s", e.Path, e.Reason)
}

// SizeError reports a document, patch or row that exceeds its size limit.
type SizeError struct {
	What  string
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s is larger than %d bytes", e.What, e.Limit)
}

// ReusedIDError reports a patch whose id was accepted before with other
// operations.
type ReusedIDError struct {
	ID     string
	Number uint64 // number that the first patch produced
}

func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("patch id %s was used for other operations, which produced number %d", e.ID, e.Number)
}
