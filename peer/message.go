package peer

import (
	"net/netip"
	"time"

	"briarreach/ledger"
	"briarreach/timeline"
)

// Message is one message between two processes of the fleet. A field Timestamp
// holds the sender's hybrid logical time; the receiver advances its own clock to
// it.
type Message interface{ message() }

// Execution says whether a refused or failed request ran at its target.
type Execution string

// Executions of a request.
const (
	ExecutionNotRun  Execution = "not_run" // certain: no target ran it or will run it
	ExecutionUnknown Execution = "unknown"
	ExecutionRan     Execution = "ran"
)

// Outcome says how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeComplete  Outcome = "complete"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"
)

// Role is the role of a process in the fleet.
type Role string

// Roles of processes.
const (
	EntryRole    Role = "entry"
	AgentRole    Role = "agent"
	OperatorRole Role = "operator"
)

// LoadReport is the state of a target as its agent sees it. HeldTokens are the
// tokens held by running requests; HeldTokens and MaxTokens are 0 for services
// that do not run a model. A target that is Leaving accepts no new requests.
type LoadReport struct {
	Target        string `cbor:"target"`
	Version       string `cbor:"version"`
	Running       int    `cbor:"running"`
	Queued        int    `cbor:"queued"`
	HeldTokens    int64  `cbor:"held_tokens"`
	MaxConcurrent int    `cbor:"max_concurrent"`
	MaxTokens     int64  `cbor:"max_tokens"`
	Leaving       bool   `cbor:"leaving"`
	ConfigNumber  uint64 `cbor:"config_number"`
}

// Usage is what an attempt consumed. Cost is in budget tokens.
type Usage struct {
	PromptTokens     int64 `cbor:"prompt_tokens"`
	CompletionTokens int64 `cbor:"completion_tokens"`
	Cost             int64 `cbor:"cost"`
}

// UnbilledUsage is the usage of a finished attempt whose bill has not been
// acknowledged.
type UnbilledUsage struct {
	AttemptID  string          `cbor:"attempt"`
	Identity   ledger.Identity `cbor:"identity"`
	Workspace  string          `cbor:"workspace"`
	Budget     string          `cbor:"budget"`
	Holder     string          `cbor:"holder"`
	Outcome    Outcome         `cbor:"outcome"`
	Usage      Usage           `cbor:"usage"`
	FinishedAt time.Time       `cbor:"at"`
}

type (
	// Hello is sent by an entry to an agent, which then pushes Load messages on
	// the same stream.
	Hello struct {
		Process      string             `cbor:"process"`
		Role         Role               `cbor:"role"`
		Holder       string             `cbor:"holder"`
		ConfigNumber uint64             `cbor:"config_number"`
		Timestamp    timeline.Timestamp `cbor:"clock"`
	}

	// Dispatch asks an agent to run a request. ReservedCost is the maximum cost
	// in budget tokens; prices are in budget tokens per token. CreditBytes
	// is the number of answer bytes that the entry accepts before it sends a
	// Credit message. MaxTokens limits the generated tokens of a model request.
	Dispatch struct {
		RequestID       string             `cbor:"request_id"`
		AttemptID       string             `cbor:"attempt"`
		Identity        ledger.Identity    `cbor:"identity"`
		Workspace       string             `cbor:"workspace"`
		Budget          string             `cbor:"budget"`
		Holder          string             `cbor:"holder"`
		ConfigNumber    uint64             `cbor:"config_number"`
		Target          string             `cbor:"target"`
		Version         string             `cbor:"version"`
		Route           string             `cbor:"route"`
		Repeatable      bool               `cbor:"repeatable"`
		Priority        int                `cbor:"priority"`
		Deadline        time.Time          `cbor:"deadline"`
		ReservedCost    int64              `cbor:"reserved"`
		PromptPrice     int64              `cbor:"prompt_price"`
		CompletionPrice int64              `cbor:"completion_price"`
		PromptTokens    int64              `cbor:"prompt_tokens"` // upper bound
		MaxTokens       int64              `cbor:"max_tokens"`
		Method          string             `cbor:"method"`
		Path            string             `cbor:"path"`
		Body            []byte             `cbor:"body"`
		CreditBytes     int64              `cbor:"credit"`
		Timestamp       timeline.Timestamp `cbor:"clock"`
	}

	// Refusal says that a dispatch was not accepted.
	Refusal struct {
		AttemptID    string     `cbor:"attempt"`
		Reason       string     `cbor:"reason"`
		Execution    Execution  `cbor:"execution"`
		ConfigNumber uint64     `cbor:"config_number"`
		Load         LoadReport `cbor:"load"`
	}

	// Head starts an answer. Status is an HTTP status code.
	Head struct {
		AttemptID   string             `cbor:"attempt"`
		Status      int                `cbor:"status"`
		ContentType string             `cbor:"content_type"`
		Timestamp   timeline.Timestamp `cbor:"clock"`
	}

	// Frame carries the bytes of the answer that start at Offset.
	// GeneratedTokens counts the tokens generated so far, for the bill if the
	// agent is lost.
	Frame struct {
		Offset          int64  `cbor:"offset"`
		Data            []byte `cbor:"data"`
		GeneratedTokens int64  `cbor:"tokens,omitempty"`
	}

	// Final ends an answer. Length and Checksum (xxHash64) cover the whole
	// answer.
	Final struct {
		Length    int64              `cbor:"length"`
		Checksum  uint64             `cbor:"checksum"`
		Usage     Usage              `cbor:"usage"`
		Outcome   Outcome            `cbor:"outcome"`
		Execution Execution          `cbor:"execution"`
		Reason    string             `cbor:"reason,omitempty"`
		Load      LoadReport         `cbor:"load"`
		Timestamp timeline.Timestamp `cbor:"clock"`
	}

	// Credit says that the entry has consumed all bytes below Offset and
	// accepts bytes up to Limit. A Limit equal to the answer's length
	// acknowledges the Final message.
	Credit struct {
		Offset int64 `cbor:"offset"`
		Limit  int64 `cbor:"limit"`
	}

	// Heartbeat shows that an idle stream is alive.
	Heartbeat struct {
		ConfigNumber uint64             `cbor:"config_number"`
		Timestamp    timeline.Timestamp `cbor:"clock"`
	}

	// Resume continues the answer of an attempt at Offset on a new stream.
	Resume struct {
		AttemptID   string `cbor:"attempt"`
		Offset      int64  `cbor:"offset"`
		CreditBytes int64  `cbor:"credit"`
	}

	// Cancel stops an attempt.
	Cancel struct {
		AttemptID string `cbor:"attempt"`
	}

	// UsageAck tells an agent that the bills of the attempts are durable.
	UsageAck struct {
		AttemptIDs []string `cbor:"attempts"`
	}

	// FetchUsage asks an agent for the unbilled usage of attempts that finished
	// at least OlderThan ago.
	FetchUsage struct {
		OlderThan time.Duration `cbor:"older_than"`
	}

	// UsageReport answers FetchUsage.
	UsageReport struct {
		Usages []UnbilledUsage `cbor:"usages"`
	}

	// FenceHolder tells an agent to refuse dispatches of the holder from now on.
	FenceHolder struct {
		Holder string `cbor:"holder"`
	}

	// FenceResult answers FenceHolder with the holder's unbilled usage and, by
	// budget, the reserved cost of its requests that are still running.
	FenceResult struct {
		Holder           string           `cbor:"holder"`
		Unbilled         []UnbilledUsage  `cbor:"unbilled"`
		ReservedByBudget map[string]int64 `cbor:"running"`
	}

	// ResolveAttempt asks an agent for the state of an attempt. An agent that
	// has not seen the attempt refuses it from now on. ClaimedAt is when the
	// claim for the request was written.
	ResolveAttempt struct {
		AttemptID string    `cbor:"attempt"`
		ClaimedAt time.Time `cbor:"claimed"`
	}

	// AttemptResult answers ResolveAttempt. Status, ContentType and Body are
	// set when State is AttemptDone; Oversize says that the body was too large
	// to keep.
	AttemptResult struct {
		AttemptID   string       `cbor:"attempt"`
		State       AttemptState `cbor:"state"`
		Status      int          `cbor:"status"`
		ContentType string       `cbor:"content_type"`
		Body        []byte       `cbor:"body"`
		Oversize    bool         `cbor:"oversize,omitempty"`
	}

	// Load is pushed by an agent when its load or state changes.
	Load struct {
		Report    LoadReport         `cbor:"report"`
		Timestamp timeline.Timestamp `cbor:"clock"`
	}

	// ConfigNumber announces the sender's configuration number.
	ConfigNumber struct {
		Number  uint64 `cbor:"number"`
		Process string `cbor:"process"`
	}

	// FetchConfig asks a process for its configuration document.
	FetchConfig struct{}

	// ConfigDocument answers FetchConfig. Document is the stored form of the
	// document, Fenced the list of fenced holders.
	ConfigDocument struct {
		Number   uint64   `cbor:"number"`
		Document []byte   `cbor:"document"`
		Fenced   []string `cbor:"fenced"`
	}

	// Recall asks an entry to return up to Amount of its unreserved balance of a
	// budget to the ledger.
	Recall struct {
		Budget string `cbor:"budget"`
		Amount int64  `cbor:"amount"`
	}

	// RecallResult answers Recall with the amount returned to the ledger.
	RecallResult struct {
		Amount int64 `cbor:"amount"`
	}

	// FetchEvents asks a process for its timeline events.
	FetchEvents struct {
		Filter timeline.Filter `cbor:"filter"`
	}

	// Events answers FetchEvents.
	Events struct {
		Events []timeline.Event `cbor:"events"`
	}

	// StatusRequest asks a process for its status.
	StatusRequest struct{}

	// Status answers StatusRequest.
	Status struct {
		Process      string         `cbor:"process"`
		Role         Role           `cbor:"role"`
		Holder       string         `cbor:"holder"`
		ConfigNumber uint64         `cbor:"config_number"`
		StartedAt    time.Time      `cbor:"started"`
		Address      netip.AddrPort `cbor:"address"`
		// Holders, set by agents, are the holders with an open Hello stream.
		Holders []string `cbor:"holders,omitempty"`
	}

	// MoveDigest sends an entry's digest of a version move to another entry.
	// Digest is a move.Digest in CBOR.
	MoveDigest struct {
		Move   string `cbor:"move"`
		Digest []byte `cbor:"digest"`
	}
)

// AttemptState is the state of an attempt at an agent.
type AttemptState string

// States of an attempt.
const (
	AttemptRefused AttemptState = "never_seen" // has not run and never will
	AttemptRunning AttemptState = "running"
	AttemptDone    AttemptState = "done"
	AttemptUnknown AttemptState = "unknown" // may have run: it failed, may have been evicted, or predates the agent's start
)

func (Hello) message()          {}
func (Dispatch) message()       {}
func (Refusal) message()        {}
func (Head) message()           {}
func (Frame) message()          {}
func (Final) message()          {}
func (Credit) message()         {}
func (Heartbeat) message()      {}
func (Resume) message()         {}
func (Cancel) message()         {}
func (UsageAck) message()       {}
func (FetchUsage) message()     {}
func (UsageReport) message()    {}
func (FenceHolder) message()    {}
func (FenceResult) message()    {}
func (ResolveAttempt) message() {}
func (AttemptResult) message()  {}
func (Load) message()           {}
func (ConfigNumber) message()   {}
func (FetchConfig) message()    {}
func (ConfigDocument) message() {}
func (Recall) message()         {}
func (RecallResult) message()   {}
func (FetchEvents) message()    {}
func (Events) message()         {}
func (StatusRequest) message()  {}
func (Status) message()         {}
func (MoveDigest) message()     {}
