package claim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"briarreach/table"
)

const (
	maxWriteTries    = 3                      // sends of one write while its answers are lost
	maxRowReads      = 64                     // reads of the row by one call, without those after a wait
	firstWait        = 200 * time.Millisecond // doubles up to maxWait
	maxWait          = 2 * time.Second
	maxResolveAgents = 1024
)

// Request is a call that must run at most once. Agents lists all agents of the
// service; FirstAgent is tried first. Holder is the holder ID of this entry.
// Deadline bounds the wait for an attempt that is running under another call.
type Request struct {
	Workspace      string
	IdempotencyKey string
	BodyDigest     string
	Holder         string
	FirstAgent     AgentInstance
	Agents         []string
	Deadline       time.Time
}

// Event is an input to Call.Decide: the start of the call or the result of an
// action. It is one of the types below.
type Event interface{ event() }

type (
	// Start begins the call.
	Start struct{}
	// WriteApplied says that a write took effect.
	WriteApplied struct{}
	// WriteConflicted says that the condition of a write did not hold.
	WriteConflicted struct{}
	// WriteAmbiguous says that a write may have taken effect.
	WriteAmbiguous struct{}
	// TableFailed says that a read failed, or that a write certainly did not
	// take effect.
	TableFailed struct{}
	// RowRead is the result of a read. Row is nil if the row doesn't exist.
	RowRead struct {
		Row     *Row
		Version uint64
	}
	// DispatchRefused says that the agent has not run the attempt and never
	// will. Next is an agent that has not been tried, nil if there is none.
	DispatchRefused struct{ Next *AgentInstance }
	// DispatchCompleted says that the attempt ran and its response is complete.
	DispatchCompleted struct{ Response Response }
	// DispatchLost says that the attempt may have run: the connection or the
	// answer was lost, or the target failed.
	DispatchLost struct{}
	// Resolved holds the reports of the agents that answered Resolve.
	Resolved struct{ Reports []AttemptReport }
	// WaitElapsed says that the delay of Wait has passed.
	WaitElapsed struct{}
)

// AttemptReport is an agent's answer to Resolve. Incarnation is empty if it is
// not known.
type AttemptReport struct {
	Agent       string
	Incarnation string
	State       AttemptState
	Response    Response
}

func (Start) event()             {}
func (WriteApplied) event()      {}
func (WriteConflicted) event()   {}
func (WriteAmbiguous) event()    {}
func (TableFailed) event()       {}
func (RowRead) event()           {}
func (DispatchRefused) event()   {}
func (DispatchCompleted) event() {}
func (DispatchLost) event()      {}
func (Resolved) event()          {}
func (WaitElapsed) event()       {}

// Action is the next step that the caller of Decide must perform. It is one of
// the types below.
type Action interface{ action() }

type (
	// ReadRow asks for a strongly consistent read of the row. The result is
	// RowRead or TableFailed.
	ReadRow struct{ Key table.Key }
	// WriteRow asks for a transaction. The result is WriteApplied,
	// WriteConflicted, WriteAmbiguous or TableFailed.
	WriteRow struct{ Transaction table.Transaction }
	// Dispatch asks for the attempt to be sent once to an agent. The result is
	// DispatchRefused, DispatchCompleted or DispatchLost.
	Dispatch struct {
		AttemptID string
		Agent     AgentInstance
	}
	// Resolve asks the agents for the state of an attempt. The result is
	// Resolved.
	Resolve struct {
		AttemptID string
		ClaimedAt time.Time
		Agents    []string
	}
	// Wait asks for WaitElapsed after a delay.
	Wait struct{ Delay time.Duration }

	// ReturnResponse ends the call with the response of DispatchCompleted.
	// Stored says that later calls with the key get the same response.
	ReturnResponse struct{ Stored bool }
	// ReplayResponse ends the call with the response of an earlier one.
	ReplayResponse struct{ Response Response }
	// RejectMismatch ends the call: the key was used with another body.
	RejectMismatch struct{}
	// ReportNotRun ends the call: none of its attempts has run or ever will.
	// An earlier call with the key may have run if the table did not answer.
	ReportNotRun struct{ Reason string }
	// ReportUnknown ends the call: it is not known whether it ran.
	ReportUnknown struct{ Reason string }
)

func (ReadRow) action()        {}
func (WriteRow) action()       {}
func (Dispatch) action()       {}
func (Resolve) action()        {}
func (Wait) action()           {}
func (ReturnResponse) action() {}
func (ReplayResponse) action() {}
func (RejectMismatch) action() {}
func (ReportNotRun) action()   {}
func (ReportUnknown) action()  {}

// writePurpose is the reason for a write.
type writePurpose int

const (
	purposeNone      writePurpose = iota
	purposeClaim                  // claim the key, or take over an unused claim
	purposeNextAgent              // record the next agent before its dispatch
	purposeResponse               // store the response
	purposeRelease                // record that the attempt never runs
	purposeUnknown                // record that the outcome will never be known
)

// Call is the state machine of one call. It performs no I/O: Decide returns the
// actions to perform. It is not safe for concurrent use.
type Call struct {
	request           Request
	transactionPrefix string // of all transactions of the call
	attemptID         string // own attempt, empty if the call owns no claim

	row     *Row // as last read or written
	version uint64

	// The write in progress.
	purpose       writePurpose
	pendingWrite  WriteRow
	pendingRow    *Row
	pendingExpect table.Precondition
	writeTries    int

	writeCount int
	rowReads   int
	wait       time.Duration // delay of the next Wait

	mayHaveRun  bool // an attempt under this key may have run
	response    *Response
	ownResponse bool // response is that of the own attempt
}

// New returns a call that has not started. Decide(Start{}) starts it.
func New(request Request) *Call { return &Call{request: request, wait: firstWait} }

// AttemptID returns the ID of the own attempt, empty if the call owns no claim.
func (c *Call) AttemptID() string { return c.attemptID }

// Decide returns the next action after an event. The result of each action
// except the last is passed to Decide as one event.
func (c *Call) Decide(now time.Time, random *rand.Rand, event Event) Action {
	switch e := event.(type) {
	case Start:
		return c.writeClaim(now, random, table.Absent{})
	case WriteApplied:
		return c.handleWriteApplied(now)
	case WriteConflicted, WriteAmbiguous:
		return c.readRow()
	case TableFailed:
		return c.giveUp("the table service did not answer")
	case RowRead:
		return c.handleRowRead(now, random, e)
	case DispatchRefused:
		return c.tryNextAgent(now, e.Next)
	case DispatchCompleted:
		response := e.Response.bounded()
		c.response, c.ownResponse = &response, true
		return c.storeResponse()
	case DispatchLost:
		return c.askAgents()
	case Resolved:
		return c.evaluateReports(now, random, e.Reports)
	case WaitElapsed:
		return c.readRow()
	default:
		return c.giveUp(fmt.Sprintf("unexpected event %T", event))
	}
}

// writeClaim writes a claim with a new attempt.
func (c *Call) writeClaim(now time.Time, random *rand.Rand, expect table.Precondition) Action {
	c.attemptID = newAttemptID(now, random)
	if c.transactionPrefix == "" {
		c.transactionPrefix = c.attemptID
	}
	return c.startWrite(purposeClaim, expect, &Row{
		AttemptID:   c.attemptID,
		Holder:      c.request.Holder,
		TriedAgents: []AgentInstance{c.request.FirstAgent},
		BodyDigest:  c.request.BodyDigest,
		State:       StateClaimed,
	})
}

func newAttemptID(now time.Time, random *rand.Rand) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(now))
	binary.BigEndian.PutUint64(id[6:], random.Uint64())
	binary.BigEndian.PutUint16(id[14:], uint16(random.Uint32()))
	return id.String()
}

func (c *Call) startWrite(p writePurpose, expect table.Precondition, row *Row) Action {
	c.writeCount++
	c.purpose, c.pendingExpect, c.pendingRow, c.writeTries = p, expect, row, 1
	c.pendingWrite = WriteRow{Transaction: table.Transaction{
		ID: fmt.Sprintf("%s-%d", c.transactionPrefix, c.writeCount),
		Writes: []table.Write{{
			Key:    Key(c.request.Workspace, c.request.IdempotencyKey),
			Expect: expect,
			Value:  row.Encode(),
		}},
	}}
	return c.pendingWrite
}

func (c *Call) readRow() Action {
	if c.rowReads++; c.rowReads > maxRowReads {
		return c.giveUp("the claim changed too often")
	}
	return ReadRow{Key: Key(c.request.Workspace, c.request.IdempotencyKey)}
}

// giveUp ends the call and reports what is known about it.
func (c *Call) giveUp(reason string) Action {
	switch {
	case c.ownResponse:
		return ReturnResponse{}
	case c.response != nil:
		return ReplayResponse{Response: *c.response}
	case c.mayHaveRun || c.purpose == purposeUnknown:
		return ReportUnknown{Reason: reason}
	default:
		return ReportNotRun{Reason: reason}
	}
}

// handleWriteApplied continues after the write in progress took effect.
func (c *Call) handleWriteApplied(now time.Time) Action {
	p := c.purpose
	c.purpose, c.row = purposeNone, c.pendingRow
	switch e := c.pendingExpect.(type) {
	case table.Exactly:
		c.version = e.Version + 1
	default:
		c.version = 1
	}
	switch p {
	case purposeClaim, purposeNextAgent:
		if now.After(c.request.Deadline) {
			return c.releaseClaim()
		}
		c.mayHaveRun = true
		return Dispatch{AttemptID: c.attemptID, Agent: c.row.TriedAgents[len(c.row.TriedAgents)-1]}
	case purposeResponse:
		if c.ownResponse {
			return ReturnResponse{Stored: true}
		}
		return ReplayResponse{Response: *c.response}
	case purposeUnknown:
		return ReportUnknown{Reason: "an agent no longer knows the attempt"}
	default:
		return ReportNotRun{Reason: "no agent ran the call"}
	}
}

// handleRowRead continues after a read: after a failed or ambiguous write, or
// after a wait.
func (c *Call) handleRowRead(now time.Time, random *rand.Rand, e RowRead) Action {
	if p := c.purpose; p != purposeNone {
		if e.Row != nil && c.writeTookEffect(e.Row) {
			if e.Row.State == c.pendingRow.State {
				c.pendingRow, c.pendingExpect = e.Row, table.Exactly{Version: e.Version - 1}
				return c.handleWriteApplied(now)
			}
			// Another entry has ended the claim before its dispatch.
			c.row, c.version, c.purpose = e.Row, e.Version, purposeNone
			if c.row.State == StateUnknown {
				return c.releaseClaim()
			}
			return c.continueWithRow(now, random)
		}
		if c.unchanged(e) {
			if c.writeTries++; c.writeTries > maxWriteTries {
				return c.giveUp("the answers of the table service were lost")
			}
			return c.pendingWrite
		}
		if action := c.continueAfterConflict(p, e); action != nil {
			return action
		}
	}
	c.purpose = purposeNone
	c.row, c.version = e.Row, e.Version
	if e.Row == nil {
		c.mayHaveRun = false
		return c.writeClaim(now, random, table.Absent{})
	}
	return c.continueWithRow(now, random)
}

// writeTookEffect reports whether the row shows that the write in progress took
// effect.
func (c *Call) writeTookEffect(row *Row) bool {
	if row.AttemptID != c.pendingRow.AttemptID {
		return false
	}
	switch c.purpose {
	case purposeClaim:
		return true
	case purposeNextAgent:
		return len(row.TriedAgents) >= len(c.pendingRow.TriedAgents)
	default:
		return row.State == c.pendingRow.State
	}
}

// unchanged reports whether the row is as it was before the write in progress,
// so that the write may be retried.
func (c *Call) unchanged(e RowRead) bool {
	if exact, ok := c.pendingExpect.(table.Exactly); ok {
		return e.Row != nil && e.Version == exact.Version
	}
	return e.Row == nil
}

// continueAfterConflict continues after another entry changed the row before
// the write in progress. It returns nil if the row is to be handled like that
// of another call.
func (c *Call) continueAfterConflict(p writePurpose, e RowRead) Action {
	switch p {
	case purposeResponse:
		if e.Row != nil && e.Row.AttemptID == c.pendingRow.AttemptID && e.Row.State != StateDone {
			c.row, c.version = e.Row, e.Version
			return c.storeResponse()
		}
		return c.giveUp("another entry has ended the claim")
	case purposeRelease:
		if e.Row != nil && e.Row.AttemptID == c.pendingRow.AttemptID {
			return c.giveUp("no agent ran the call")
		}
	case purposeUnknown:
		if e.Row == nil || e.Row.State != StateDone {
			return c.giveUp("an agent no longer knows the attempt")
		}
	}
	return nil
}

// continueWithRow continues with a row of another call, or with the own one
// after a wait.
func (c *Call) continueWithRow(now time.Time, random *rand.Rand) Action {
	if c.row.BodyDigest != c.request.BodyDigest {
		return RejectMismatch{}
	}
	switch c.row.State {
	case StateDone:
		return ReplayResponse{Response: *c.row.Response}
	case StateUnknown:
		c.mayHaveRun = true
		return c.giveUp("an agent no longer knows the attempt")
	case StateReleased:
		c.mayHaveRun = false
		return c.writeClaim(now, random, table.Exactly{Version: c.version})
	default:
		c.mayHaveRun = true
		return c.askAgents()
	}
}

// askAgents asks all agents of the service and all tried agents for the state
// of the attempt.
func (c *Call) askAgents() Action {
	agents := make([]string, 0, len(c.row.TriedAgents)+len(c.request.Agents))
	for _, t := range c.row.TriedAgents {
		agents = append(agents, t.Name)
	}
	agents = append(agents, c.request.Agents...)
	slices.Sort(agents)
	agents = slices.Compact(agents)
	if len(agents) > maxResolveAgents {
		return c.giveUp(fmt.Sprintf("%d agents to ask, accepted are %d", len(agents), maxResolveAgents))
	}
	claimed, err := AttemptTime(c.row.AttemptID)
	if err != nil {
		return c.giveUp(err.Error())
	}
	return Resolve{AttemptID: c.row.AttemptID, ClaimedAt: claimed, Agents: agents}
}

// evaluateReports continues with the agents' reports. An agent without a report
// may have run the attempt.
func (c *Call) evaluateReports(now time.Time, random *rand.Rand, reports []AttemptReport) Action {
	byAgent := make(map[string]AttemptReport, len(reports))
	for _, a := range reports {
		byAgent[a.Agent] = a
	}
	missing, unknown, triedUnknown, running := false, false, false, false
	evaluate := func(agent, incarnation string, tried bool) {
		a, ok := byAgent[agent]
		switch {
		case !ok:
			missing = true
		case a.State == AttemptRunning:
			running = true
		case a.State == AttemptDone && c.response == nil:
			response := a.Response.bounded()
			c.response = &response
		case a.State == AttemptDone:
		case a.State == AttemptUnknown, incarnation != "" && a.Incarnation != "" && a.Incarnation != incarnation:
			unknown = true
			triedUnknown = triedUnknown || tried
		case a.State != AttemptRefused:
			missing = true
		}
	}
	for _, t := range c.row.TriedAgents {
		evaluate(t.Name, t.Incarnation, true)
	}
	for _, agent := range c.request.Agents {
		if !c.row.wasTried(agent) {
			evaluate(agent, "", false)
		}
	}
	ownClaim := c.row.AttemptID == c.attemptID
	switch {
	case c.response != nil:
		return c.storeResponse()
	case running:
		if !now.Add(c.wait).Before(c.request.Deadline) {
			return c.giveUp("the call is running")
		}
		delay := c.wait
		c.wait = min(2*c.wait, maxWait)
		c.rowReads-- // waiting is bounded by the deadline instead
		return Wait{Delay: delay}
	case triedUnknown:
		next := c.row.clone()
		next.State = StateUnknown
		return c.startWrite(purposeUnknown, table.Exactly{Version: c.version}, next)
	case unknown:
		return c.giveUp("an agent may have forgotten the attempt")
	case missing:
		return c.giveUp("an agent did not answer")
	case ownClaim:
		c.mayHaveRun = false
		return c.releaseClaim()
	default:
		c.mayHaveRun = false
		return c.writeClaim(now, random, table.Exactly{Version: c.version})
	}
}

// tryNextAgent continues after an agent refused the attempt: it records the
// next agent in the claim before the dispatch, or releases the claim.
func (c *Call) tryNextAgent(now time.Time, next *AgentInstance) Action {
	c.mayHaveRun = false
	if next == nil || c.row.wasTried(next.Name) || len(c.row.TriedAgents) >= MaxTriedAgents || now.After(c.request.Deadline) {
		return c.releaseClaim()
	}
	row := c.row.clone()
	row.TriedAgents = append(row.TriedAgents, *next)
	return c.startWrite(purposeNextAgent, table.Exactly{Version: c.version}, row)
}

func (c *Call) releaseClaim() Action {
	next := c.row.clone()
	next.State = StateReleased
	return c.startWrite(purposeRelease, table.Exactly{Version: c.version}, next)
}

// storeResponse writes the response into the claim.
func (c *Call) storeResponse() Action {
	next := c.row.clone()
	next.State, next.Response = StateDone, c.response
	return c.startWrite(purposeResponse, table.Exactly{Version: c.version}, next)
}
