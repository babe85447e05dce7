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
	maxWriteTries  = 3  // of one write whose answers were lost
	maxRounds      = 64 // reads of the row by one call
	firstAwait     = 200 * time.Millisecond
	longestAwait   = 2 * time.Second
	maxAgentsAsked = 1024
)

// Request is a call that must run at most once. Agents are all agents of the
// service; First is the one to try first. Deadline bounds the waiting for an
// attempt that runs elsewhere.
type Request struct {
	Workspace      string
	IdempotencyKey string
	BodyDigest     string
	Holder         string
	FirstAgent     AgentInstance
	Agents         []string
	Deadline       time.Time
}

// Event is what happened. It is one of the types below.
type Event interface{ event() }

type (
	// Start begins the call.
	Start struct{}
	// WriteApplied says that a write took effect.
	WriteApplied struct{}
	// WriteConflicted says that a write's expectation did not hold.
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
	// DispatchRefused says that the agent definitely has not run the attempt and never
	// will. Next is an agent that has not been tried, nil if there is none.
	DispatchRefused struct{ Next *AgentInstance }
	// DispatchCompleted says that the attempt ran and its response is complete.
	DispatchCompleted struct{ Response Response }
	// DispatchLost says that the attempt may have run: the connection or the answer
	// was lost, or the target failed.
	DispatchLost struct{}
	// Resolved are the answers of the agents that did answer.
	Resolved struct{ Reports []AttemptReport }
	// WaitElapsed says that the time of Await has passed.
	WaitElapsed struct{}
)

// AttemptReport is an agent's answer to Resolve. Start is empty if it is not known.
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

// Action is what to do next. It is one of the types below.
type Action interface{ action() }

type (
	// ReadRow asks for the row, read strongly consistent; the answer is Found or
	// TableFailed.
	ReadRow struct{ Key table.Key }
	// WriteRow asks for a transaction; the answer is Written, Conflicted,
	// Ambiguous or TableFailed.
	WriteRow struct{ Transaction table.Transaction }
	// Dispatch asks for the attempt to be sent once to an agent; the answer is
	// Refused, Completed or Lost.
	Dispatch struct {
		Attempt string
		Agent   AgentInstance
	}
	// Resolve asks all the agents what became of an attempt; the answer is
	// Resolved.
	Resolve struct {
		Attempt   string
		ClaimedAt time.Time
		Agents    []string
	}
	// Wait asks for Waited after a time.
	Wait struct{ Delay time.Duration }

	// ReturnResponse ends the call: it ran, and the response of Completed is the
	// answer. Stored says that later calls with the key get it as well.
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

// purpose says what a write is for.
type purpose int

const (
	forNothing  purpose = iota
	forClaim            // claim the key, or take an unused claim over
	forTry              // record the next agent before its dispatch
	forResponse         // store the response
	forRelease          // record that the attempt never runs
	forUnknown          // record that the outcome will never be known
)

// Call decides the steps of one call. It is not safe for concurrent use.
type Call struct {
	request Request
	id      string // of the call, prefix of its transactions
	attempt string // own attempt, empty if the call owns no claim

	row     *Row // as last read or written
	version uint64

	purpose purpose // of the write in progress
	write   WriteRow
	next    *Row
	expect  table.Expect
	tries   int
	writes  int
	rounds  int
	await   time.Duration

	uncertain bool // an attempt under this key may have run
	response  *Response
	completed bool // the response is the one of the own attempt
}

// New returns the decisions of a call. Decide(Start{}) begins it.
func New(request Request) *Call { return &Call{request: request, await: firstAwait} }

// AttemptID returns the own attempt, empty if the call owns no claim.
func (c *Call) AttemptID() string { return c.attempt }

// Decide returns the next action after an event. Each action but the last is
// answered by one event.
func (c *Call) Decide(now time.Time, random *rand.Rand, event Event) Action {
	switch e := event.(type) {
	case Start:
		return c.claim(now, random, table.Absent{})
	case WriteApplied:
		return c.written(now)
	case WriteConflicted, WriteAmbiguous:
		return c.read()
	case TableFailed:
		return c.giveUp("the table service did not answer")
	case RowRead:
		return c.found(now, random, e)
	case DispatchRefused:
		return c.refused(now, e.Next)
	case DispatchCompleted:
		response := e.Response.bounded()
		c.response, c.completed = &response, true
		return c.store()
	case DispatchLost:
		return c.resolve()
	case Resolved:
		return c.resolved(now, random, e.Reports)
	case WaitElapsed:
		return c.read()
	default:
		return c.giveUp(fmt.Sprintf("unexpected event %T", event))
	}
}

// claim writes a claim with a new attempt.
func (c *Call) claim(now time.Time, random *rand.Rand, expect table.Expect) Action {
	c.attempt = newAttempt(now, random)
	if c.id == "" {
		c.id = c.attempt
	}
	return c.commit(forClaim, expect, &Row{
		AttemptID:   c.attempt,
		Holder:      c.request.Holder,
		TriedAgents: []AgentInstance{c.request.FirstAgent},
		BodyDigest:  c.request.BodyDigest,
		State:       Claimed,
	})
}

func newAttempt(now time.Time, random *rand.Rand) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(now))
	binary.BigEndian.PutUint64(id[6:], random.Uint64())
	binary.BigEndian.PutUint16(id[14:], uint16(random.Uint32()))
	return id.String()
}

func (c *Call) commit(p purpose, expect table.Expect, row *Row) Action {
	c.writes++
	c.purpose, c.expect, c.next, c.tries = p, expect, row, 1
	c.write = WriteRow{Transaction: table.Transaction{
		ID: fmt.Sprintf("%s-%d", c.id, c.writes),
		Writes: []table.Write{{
			Key:    Key(c.request.Workspace, c.request.IdempotencyKey),
			Expect: expect,
			Value:  row.Encode(),
		}},
	}}
	return c.write
}

func (c *Call) read() Action {
	if c.rounds++; c.rounds > maxRounds {
		return c.giveUp("the claim changed too often")
	}
	return ReadRow{Key: Key(c.request.Workspace, c.request.IdempotencyKey)}
}

// giveUp ends the call with what is known.
func (c *Call) giveUp(reason string) Action {
	switch {
	case c.completed:
		return ReturnResponse{}
	case c.response != nil:
		return ReplayResponse{Response: *c.response}
	case c.uncertain || c.purpose == forUnknown:
		return ReportUnknown{Reason: reason}
	default:
		return ReportNotRun{Reason: reason}
	}
}

// written continues after the write in progress took effect.
func (c *Call) written(now time.Time) Action {
	p := c.purpose
	c.purpose, c.row = forNothing, c.next
	switch e := c.expect.(type) {
	case table.Exactly:
		c.version = e.Version + 1
	default:
		c.version = 1
	}
	switch p {
	case forClaim, forTry:
		if now.After(c.request.Deadline) {
			return c.release()
		}
		c.uncertain = true
		return Dispatch{Attempt: c.attempt, Agent: c.row.TriedAgents[len(c.row.TriedAgents)-1]}
	case forResponse:
		if c.completed {
			return ReturnResponse{Stored: true}
		}
		return ReplayResponse{Response: *c.response}
	case forUnknown:
		return ReportUnknown{Reason: "an agent no longer knows the attempt"}
	default:
		return ReportNotRun{Reason: "no agent ran the call"}
	}
}

// found continues after a read: of the row after a failed write, or again
// after a wait.
func (c *Call) found(now time.Time, random *rand.Rand, e RowRead) Action {
	if p := c.purpose; p != forNothing {
		if e.Row != nil && c.applied(e.Row) {
			if e.Row.State == c.next.State {
				c.next, c.expect = e.Row, table.Exactly{Version: e.Version - 1}
				return c.written(now)
			}
			// Another entry has ended the claim before its dispatch.
			c.row, c.version, c.purpose = e.Row, e.Version, forNothing
			if c.row.State == Unknown {
				return c.release()
			}
			return c.examine(now, random)
		}
		if c.unchanged(e) {
			if c.tries++; c.tries > maxWriteTries {
				return c.giveUp("the answers of the table service were lost")
			}
			return c.write
		}
		if action := c.overtaken(p, e); action != nil {
			return action
		}
	}
	c.purpose = forNothing
	c.row, c.version = e.Row, e.Version
	if e.Row == nil {
		c.uncertain = false
		return c.claim(now, random, table.Absent{})
	}
	return c.examine(now, random)
}

// applied reports whether the row shows that the write in progress took
// effect.
func (c *Call) applied(row *Row) bool {
	if row.AttemptID != c.next.AttemptID {
		return false
	}
	switch c.purpose {
	case forClaim:
		return true
	case forTry:
		return len(row.TriedAgents) >= len(c.next.TriedAgents)
	default:
		return row.State == c.next.State
	}
}

// unchanged reports whether the row is as it was before the write in progress,
// so that the same write may be sent again.
func (c *Call) unchanged(e RowRead) bool {
	if exact, ok := c.expect.(table.Exactly); ok {
		return e.Row != nil && e.Version == exact.Version
	}
	return e.Row == nil
}

// overtaken continues after another entry wrote the row instead of the write
// in progress. It returns nil if the row is to be examined as a retry does.
func (c *Call) overtaken(p purpose, e RowRead) Action {
	switch p {
	case forResponse:
		if e.Row != nil && e.Row.AttemptID == c.next.AttemptID && e.Row.State != Done {
			c.row, c.version = e.Row, e.Version
			return c.store()
		}
		return c.giveUp("another entry has ended the claim")
	case forRelease:
		if e.Row != nil && e.Row.AttemptID == c.next.AttemptID {
			return c.giveUp("no agent ran the call")
		}
	case forUnknown:
		if e.Row == nil || e.Row.State != Done {
			return c.giveUp("an agent no longer knows the attempt")
		}
	}
	return nil
}

// examine continues with a row of another call, or with the own one after a
// wait.
func (c *Call) examine(now time.Time, random *rand.Rand) Action {
	if c.row.BodyDigest != c.request.BodyDigest {
		return RejectMismatch{}
	}
	switch c.row.State {
	case Done:
		return ReplayResponse{Response: *c.row.Response}
	case Unknown:
		c.uncertain = true
		return c.giveUp("an agent no longer knows the attempt")
	case Released:
		c.uncertain = false
		return c.claim(now, random, table.Exactly{Version: c.version})
	default:
		c.uncertain = true
		return c.resolve()
	}
}

// resolve asks all agents of the service and all that were tried.
func (c *Call) resolve() Action {
	agents := make([]string, 0, len(c.row.TriedAgents)+len(c.request.Agents))
	for _, t := range c.row.TriedAgents {
		agents = append(agents, t.Agent)
	}
	agents = append(agents, c.request.Agents...)
	slices.Sort(agents)
	agents = slices.Compact(agents)
	if len(agents) > maxAgentsAsked {
		return c.giveUp(fmt.Sprintf("%d agents to ask, accepted are %d", len(agents), maxAgentsAsked))
	}
	claimed, err := AttemptTime(c.row.AttemptID)
	if err != nil {
		return c.giveUp(err.Error())
	}
	return Resolve{Attempt: c.row.AttemptID, ClaimedAt: claimed, Agents: agents}
}

func (c *Call) resolved(now time.Time, random *rand.Rand, answers []AttemptReport) Action {
	byAgent := make(map[string]AttemptReport, len(answers))
	for _, a := range answers {
		byAgent[a.Agent] = a
	}
	missing, unknown, lost, running := false, false, false, false
	judge := func(agent, start string, tried bool) {
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
		case a.State == AttemptUnknown, start != "" && a.Incarnation != "" && a.Incarnation != start:
			unknown = true
			lost = lost || tried
		case a.State != AttemptNeverSeen:
			missing = true
		}
	}
	for _, t := range c.row.TriedAgents {
		judge(t.Agent, t.Incarnation, true)
	}
	for _, agent := range c.request.Agents {
		if !c.row.tried(agent) {
			judge(agent, "", false)
		}
	}
	own := c.row.AttemptID == c.attempt
	switch {
	case c.response != nil:
		return c.store()
	case running:
		if !now.Add(c.await).Before(c.request.Deadline) {
			return c.giveUp("the call is running")
		}
		delay := c.await
		c.await = min(2*c.await, longestAwait)
		c.rounds-- // bounded by the deadline
		return Wait{Delay: delay}
	case lost:
		next := c.row.clone()
		next.State = Unknown
		return c.commit(forUnknown, table.Exactly{Version: c.version}, next)
	case unknown:
		return c.giveUp("an agent may have forgotten the attempt")
	case missing:
		return c.giveUp("an agent did not answer")
	case own:
		c.uncertain = false
		return c.release()
	default:
		c.uncertain = false
		return c.claim(now, random, table.Exactly{Version: c.version})
	}
}

// refused continues after a definite refusal: with the next agent under the
// same claim, recorded before its dispatch, or by releasing the claim.
func (c *Call) refused(now time.Time, next *AgentInstance) Action {
	c.uncertain = false
	if next == nil || c.row.tried(next.Agent) || len(c.row.TriedAgents) >= MaxTriedAgents || now.After(c.request.Deadline) {
		return c.release()
	}
	row := c.row.clone()
	row.TriedAgents = append(row.TriedAgents, *next)
	return c.commit(forTry, table.Exactly{Version: c.version}, row)
}

func (c *Call) release() Action {
	next := c.row.clone()
	next.State = Released
	return c.commit(forRelease, table.Exactly{Version: c.version}, next)
}

// store writes the response into the claim.
func (c *Call) store() Action {
	next := c.row.clone()
	next.State, next.Response = Done, c.response
	return c.commit(forResponse, table.Exactly{Version: c.version}, next)
}
