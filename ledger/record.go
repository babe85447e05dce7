package ledger

import "time"

// Record is one change to a shard's state. It is one of OpenBudget, TopUp,
// Draw, Bill, Return, Fence and Release.
type Record interface{ record() }

type (
	// OpenBudget creates a budget with Prepaid budget tokens. A second record for
	// the budget has no effect; it is refused if its PatchID is another one. PatchID
	// identifies the operator's change that the record is part of.
	OpenBudget struct {
		Budget  string `cbor:"budget"`
		Prepaid int64  `cbor:"prepaid"`
		PatchID string `cbor:"patch_id"`
	}

	// TopUp adds Amount budget tokens. A second record with the same PatchID
	// and budget has no effect within 24 hours of log time.
	TopUp struct {
		Budget  string `cbor:"budget"`
		Amount  int64  `cbor:"amount"`
		PatchID string `cbor:"patch_id"`
	}

	// Draw grants between Min and Max budget tokens to the holder, or nothing
	// if less than Min is available.
	Draw struct {
		DrawID string `cbor:"draw_id"`
		Budget string `cbor:"budget"`
		Holder string `cbor:"holder"`
		Min    int64  `cbor:"min"`
		Max    int64  `cbor:"max"`
	}

	// Bill charges a finished request to the holder's outstanding amount. While the
	// first bill of an identity is remembered, later ones have no effect, unless they
	// are of another attempt and their At is a bill window later or more. At is the
	// time of the usage, by the clock of the process that measured it; it is limited
	// to the time of the batch.
	Bill struct {
		Identity         Identity  `cbor:"identity"`
		Budget           string    `cbor:"budget"`
		Holder           string    `cbor:"holder"`
		Attempt          string    `cbor:"attempt"`
		Cost             int64     `cbor:"cost"`
		PromptTokens     int64     `cbor:"prompt_tokens"`
		CompletionTokens int64     `cbor:"completion_tokens"`
		Outcome          string    `cbor:"outcome"`
		At               time.Time `cbor:"at"`
	}

	// Return returns an unused part of the holder's outstanding amount to the budget.
	Return struct {
		ReturnID string `cbor:"return_id"`
		Budget   string `cbor:"budget"`
		Holder   string `cbor:"holder"`
		Amount   int64  `cbor:"amount"`
	}

	// Fence bars a holder from draws and returns. Its bills are still accepted up
	// to its outstanding amounts, which Release reduces.
	Fence struct {
		Holder string `cbor:"holder"`
	}

	// Release returns the outstanding amounts of a fenced holder except for
	// Held, the reservations still running by budget.
	Release struct {
		Holder string           `cbor:"holder"`
		Held   map[string]int64 `cbor:"held"`
	}
)

func (OpenBudget) record() {}
func (TopUp) record()      {}
func (Draw) record()       {}
func (Bill) record()       {}
func (Return) record()     {}
func (Fence) record()      {}
func (Release) record()    {}

// Result is the effect of one record. It is one of Opened, ToppedUp, Drawn,
// Billed, Returned, Fenced, Released and Refused.
type Result interface{ result() }

type (
	// Opened is the result of OpenBudget. Duplicate is set when the same patch
	// had opened the budget before.
	Opened struct {
		Prepaid   int64
		Duplicate bool
	}
	// ToppedUp is the result of TopUp; Prepaid is the sum after it.
	ToppedUp struct {
		Prepaid   int64
		Duplicate bool
	}
	// Drawn is the result of Draw. Granted is 0 when less than the minimum was
	// available. Available is the amount left in the budget.
	Drawn struct {
		Granted   int64
		Available int64
		Duplicate bool
	}
	// Billed is the result of Bill. FirstAttempt is the attempt that was charged.
	Billed struct {
		Cost         int64
		FirstAttempt string
		Duplicate    bool
	}
	// Returned is the result of Return.
	Returned struct {
		Amount    int64
		Duplicate bool
	}
	// Fenced is the result of Fence, with the holder's outstanding amounts by
	// budget.
	Fenced struct{ Outstanding map[string]int64 }
	// Released is the result of Release, with the amounts returned by budget.
	Released struct{ Returned map[string]int64 }
	// Refused is the result of a record that State.Apply or a writer of the log
	// rejected. Err is one of the package's error types. The record had no effect,
	// unless Err is *shardlog.UnresolvedError: then the writer does not know whether
	// the record was applied.
	Refused struct{ Err error }
)

func (Opened) result()   {}
func (ToppedUp) result() {}
func (Drawn) result()    {}
func (Billed) result()   {}
func (Returned) result() {}
func (Fenced) result()   {}
func (Released) result() {}
func (Refused) result()  {}

// Batch is the value of one row of a shard's log. Writer and BatchID identify
// the batch when the response to its write was lost. At is the time by the
// writer's clock.
type Batch struct {
	Writer  string
	BatchID string
	At      time.Time
	Records []Record
}
