package claim_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/claim"
	"briarreach/table"
)

const (
	margin      = 2 * time.Second
	agentCount  = 3
	maxSteps    = 400
	callTimeout = 30 * time.Second
)

// history is one random history: calls with the same key at several entries,
// agents that restart, a table with lost answers and delayed writes, and
// messages that are lost, delayed or duplicated.
type history struct {
	choose   func(n int) int
	random   *rand.Rand
	disabled string // the mechanism that is left out
	now      time.Time
	log      []string

	row                 *claim.Row
	version             uint64
	firstAttempt        string          // attempt of the first claim
	executionsAtRelease map[string]int  // by released attempt
	appliedWrites       map[string]bool // by transaction
	lateWrites          []table.Transaction
	agents              []*simulatedAgent
	calls               []*simulatedCall
	messages            []func() // in flight

	executions          int
	executionsByAttempt map[string]int
}

type simulatedAgent struct {
	name        string
	incarnation int
	skew        time.Duration
	cache       *claim.AttemptCache
	running     []string // attempts
	down        bool
}

type simulatedCall struct {
	name             string
	call             *claim.Call
	skew             time.Duration
	deadline         time.Time
	action           claim.Action // to perform next
	waiting          bool         // for the result of the action
	crashed          bool
	actionNumber     int      // of the action that the call waits for
	configuredAgents []string // agents in the entry's configuration
	attempts         []string
	result           claim.Action
	executionsAtEnd  int
	tableAnswered    bool // the table answered every read and write of the call
	dispatches       int  // without the claim
}

// Mechanisms that a history can leave out, to show that the checks need them.
const (
	noMechanism      = ""
	claimRow         = "the claim"
	startTimeCheck   = "the refusal of attempts from before the agent's start"
	refusalOnResolve = "the refusal of attempts that were resolved as never seen"
	triedAgents      = "the agents that the owner records"
)

func newHistory(choose func(int) int, disabled string) *history {
	h := &history{choose: choose, disabled: disabled, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(1, 2)), appliedWrites: map[string]bool{}, executionsAtRelease: map[string]int{}, executionsByAttempt: map[string]int{}}
	for i := range agentCount {
		a := &simulatedAgent{name: fmt.Sprint("agent", i), skew: h.skew()}
		h.agents = append(h.agents, a)
		h.restart(a)
		a.cache = claim.NewAttemptCache(h.now.Add(-time.Hour), claim.WithClockMargin(margin))
	}
	for i := range 2 + choose(2) {
		c := &simulatedCall{name: fmt.Sprint("call", i), skew: h.skew(), deadline: h.now.Add(callTimeout), action: claim.ReadRow{}, tableAnswered: true, configuredAgents: h.configuredAgents()}
		digest := "body"
		if choose(10) == 0 {
			digest = "other body"
		}
		c.call = claim.New(claim.Request{
			Workspace: "w", IdempotencyKey: "k", BodyDigest: digest, Holder: c.name, Deadline: c.deadline,
			FirstAgent: h.agentInstance(h.agents[choose(agentCount)]), Agents: c.configuredAgents,
		})
		h.calls = append(h.calls, c)
	}
	return h
}

// skew returns a clock's deviation; two clocks differ by less than the margin.
func (h *history) skew() time.Duration {
	return time.Duration(h.choose(3)-1) * (margin/2 - time.Millisecond)
}

func (h *history) agentInstance(a *simulatedAgent) claim.AgentInstance {
	t := claim.AgentInstance{Name: a.name}
	if h.choose(2) == 0 {
		t.Incarnation = fmt.Sprint(a.incarnation)
	}
	return t
}

// configuredAgents returns the agents in an entry's configuration, which may
// lack one.
func (h *history) configuredAgents() []string {
	var names []string
	missing := h.choose(2 * agentCount)
	for i, a := range h.agents {
		if i != missing {
			names = append(names, a.name)
		}
	}
	return names
}

func (h *history) logf(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf("%v ", h.now.Format("04:05.000"))+fmt.Sprintf(format, args...))
}

func (h *history) agent(name string) *simulatedAgent {
	for _, a := range h.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (h *history) restart(a *simulatedAgent) {
	a.incarnation++
	a.running = nil
	started := h.now.Add(a.skew)
	if h.disabled == startTimeCheck {
		started = started.Add(-time.Hour)
	}
	a.cache = claim.NewAttemptCache(started, claim.WithClockMargin(margin))
	h.logf("%s starts with incarnation %d", a.name, a.incarnation)
}

// execute runs an attempt unless the agent's cache refuses it.
func (h *history) execute(a *simulatedAgent, attempt string) error {
	if err := a.cache.Begin(h.now.Add(a.skew), attempt); err != nil {
		return err
	}
	if h.choose(4) == 0 {
		a.cache.Refuse(h.now.Add(a.skew), attempt)
		return &claim.DuplicateAttemptError{AttemptID: attempt, State: claim.AttemptRefused} // refused by admission
	}
	h.executions++
	h.executionsByAttempt[attempt]++
	a.running = append(a.running, attempt)
	h.logf("%s executes %s", a.name, attempt)
	return nil
}

func (h *history) finish(a *simulatedAgent) {
	if len(a.running) == 0 {
		return
	}
	attempt := a.running[0]
	a.running = a.running[1:]
	if h.choose(8) == 0 {
		a.cache.Fail(h.now.Add(a.skew), attempt)
		return
	}
	a.cache.Finish(h.now.Add(a.skew), attempt, claim.Response{Status: 200, Body: []byte(attempt)})
}

func (h *history) step() {
	switch h.choose(12) {
	case 0:
		h.now = h.now.Add([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second, 11 * time.Minute}[h.choose(5)])
	case 1:
		if h.choose(3) == 0 {
			h.restart(h.agents[h.choose(agentCount)])
		}
	case 2:
		a := h.agents[h.choose(agentCount)]
		a.down = !a.down && h.choose(3) == 0
	case 3, 4:
		h.finish(h.agents[h.choose(agentCount)])
	case 5:
		if len(h.lateWrites) > 0 {
			tx := h.lateWrites[0]
			h.lateWrites = h.lateWrites[1:]
			h.logf("late write %s: %v", tx.ID, h.apply(tx))
		}
	case 6:
		c := h.calls[h.choose(len(h.calls))]
		if h.choose(6) == 0 && c.result == nil {
			c.crashed = true
			h.logf("%s crashes", c.name)
		}
	case 7, 8, 9:
		if len(h.messages) > 0 {
			i := h.choose(len(h.messages))
			task := h.messages[i]
			h.messages = append(h.messages[:i:i], h.messages[i+1:]...)
			task()
		}
	default:
		h.performAction(h.calls[h.choose(len(h.calls))])
	}
}

// deliver passes an event to a call and stores its next action.
func (h *history) deliver(c *simulatedCall, event claim.Event) {
	if c.crashed || c.result != nil {
		return
	}
	c.waiting = false
	if _, ok := event.(claim.TableFailed); ok {
		c.tableAnswered = false
	}
	c.action = c.call.Decide(h.now.Add(c.skew), h.random, event)
	action := fmt.Sprintf("%+v", c.action)
	if write, ok := c.action.(claim.WriteRow); ok {
		action = fmt.Sprintf("%T %s", write.Transaction.Writes[0].Expect, write.Transaction.Writes[0].Value)
	}
	h.logf("%s: %T%+v -> %T %s", c.name, event, event, c.action, action)
	switch c.action.(type) {
	case claim.ReturnResponse, claim.ReplayResponse, claim.RejectMismatch, claim.ReportNotRun, claim.ReportUnknown:
		c.result, c.executionsAtEnd = c.action, h.executions
	}
}

func (h *history) performAction(c *simulatedCall) {
	if c.crashed || c.waiting || c.result != nil {
		return
	}
	if h.disabled == claimRow {
		h.performWithoutClaim(c)
		return
	}
	// A call that has not started has the initial action ReadRow.
	if c.call.AttemptID() == "" && len(c.attempts) == 0 && c.action == (claim.ReadRow{}) {
		h.deliver(c, claim.Start{})
		return
	}
	c.waiting = true
	c.actionNumber++
	switch action := c.action.(type) {
	case claim.ReadRow:
		if h.choose(8) == 0 {
			h.deliver(c, claim.TableFailed{})
			return
		}
		h.deliver(c, claim.RowRead{Row: h.decodedRow(), Version: h.version})
	case claim.WriteRow:
		h.write(c, action.Transaction)
	case claim.Dispatch:
		c.attempts = append(c.attempts, action.AttemptID)
		h.dispatch(c, h.agent(action.Agent.Name), action.AttemptID)
	case claim.Resolve:
		h.resolve(c, action)
	case claim.Wait:
		h.now = h.now.Add(action.Delay)
		h.deliver(c, claim.WaitElapsed{})
	}
}

// decodedRow returns the row after encoding and decoding.
func (h *history) decodedRow() *claim.Row {
	if h.row == nil {
		return nil
	}
	row, err := claim.Decode(h.row.Encode())
	Expect(err).NotTo(HaveOccurred())
	return row
}

func (h *history) apply(tx table.Transaction) bool {
	if h.appliedWrites[tx.ID] {
		return true
	}
	write := tx.Writes[0]
	switch e := write.Expect.(type) {
	case table.Absent:
		if h.row != nil {
			return false
		}
	case table.Exactly:
		if h.version != e.Version {
			return false
		}
	}
	row, err := claim.Decode(write.Value)
	Expect(err).NotTo(HaveOccurred())
	if h.version == 0 {
		h.firstAttempt = row.AttemptID
	}
	if row.State == claim.StateReleased {
		h.executionsAtRelease[row.AttemptID] = h.executions
	}
	h.row, h.version, h.appliedWrites[tx.ID] = row, h.version+1, true
	return true
}

func (h *history) write(c *simulatedCall, tx table.Transaction) {
	switch h.choose(10) {
	case 0:
		h.deliver(c, claim.TableFailed{})
	case 1:
		h.apply(tx)
		h.deliver(c, claim.WriteAmbiguous{})
	case 2:
		h.deliver(c, claim.WriteAmbiguous{})
	case 3:
		h.lateWrites = append(h.lateWrites, tx)
		h.deliver(c, claim.WriteAmbiguous{})
	default:
		if h.apply(tx) {
			h.deliver(c, claim.WriteApplied{})
		} else {
			h.deliver(c, claim.WriteConflicted{})
		}
	}
}

// dispatch sends the attempt once or twice over a connection to the agent. The
// connection breaks when the agent restarts.
func (h *history) dispatch(c *simulatedCall, a *simulatedAgent, attempt string) {
	incarnation, actionNumber := a.incarnation, c.actionNumber
	deliver := func(event claim.Event) {
		// Drop an answer to an earlier dispatch.
		if c.waiting && c.actionNumber == actionNumber {
			h.deliver(c, event)
		}
	}
	copies := 1
	if h.choose(4) == 0 {
		copies = 2
	}
	for range copies {
		h.messages = append(h.messages, func() {
			if a.incarnation != incarnation || a.down || h.choose(8) == 0 {
				deliver(claim.DispatchLost{})
				return
			}
			err := h.execute(a, attempt)
			h.messages = append(h.messages, func() { h.reply(deliver, a, incarnation, attempt, err) })
		})
	}
}

// reply sends the agent's answer to a dispatch. An agent that runs or has run
// the attempt does not answer a duplicate.
func (h *history) reply(deliver func(claim.Event), a *simulatedAgent, incarnation int, attempt string, refused error) {
	if a.incarnation != incarnation || h.choose(6) == 0 {
		deliver(claim.DispatchLost{})
		return
	}
	if refused != nil {
		var duplicate *claim.DuplicateAttemptError
		if errors.As(refused, &duplicate) && duplicate.State != claim.AttemptRefused {
			return
		}
		var stale *claim.StaleAttemptError
		if errors.As(refused, &stale) && stale.State != claim.AttemptRefused {
			deliver(claim.DispatchLost{})
			return
		}
		event := claim.DispatchRefused{}
		if next := h.agents[h.choose(agentCount)]; h.choose(3) > 0 {
			instance := h.agentInstance(next)
			event.Next = &instance
		}
		deliver(event)
		return
	}
	state, response := a.cache.Resolve(h.now.Add(a.skew), attempt)
	switch state {
	case claim.AttemptDone:
		deliver(claim.DispatchCompleted{Response: response})
	case claim.AttemptRunning:
		h.messages = append(h.messages, func() { h.reply(deliver, a, incarnation, attempt, nil) })
	default:
		deliver(claim.DispatchLost{})
	}
}

// resolve asks the agents independently, at different times.
func (h *history) resolve(c *simulatedCall, action claim.Resolve) {
	var received []claim.AttemptReport
	pending := len(action.Agents)
	for _, name := range action.Agents {
		h.messages = append(h.messages, func() {
			a := h.agent(name)
			if !a.down {
				state, response := claim.AttemptRefused, claim.Response{}
				notRecorded := h.disabled == triedAgents && !slices.Contains(c.configuredAgents, name)
				if !notRecorded && (h.disabled != refusalOnResolve || h.executionsByAttempt[action.AttemptID] > 0) {
					state, response = a.cache.Resolve(h.now.Add(a.skew), action.AttemptID)
				}
				if h.choose(10) > 0 { // else the answer is lost
					answer := claim.AttemptReport{Agent: name, State: state, Response: response}
					if h.choose(2) == 0 {
						answer.Incarnation = fmt.Sprint(a.incarnation)
					}
					received = append(received, answer)
				}
			}
			if pending--; pending == 0 {
				h.deliver(c, claim.Resolved{Reports: received})
			}
		})
	}
}

// performWithoutClaim dispatches without a claim: each call uses attempts of
// its own and retries after a lost answer.
func (h *history) performWithoutClaim(c *simulatedCall) {
	a := h.agents[h.choose(agentCount)]
	attempt := fmt.Sprintf("01KE%s%021d", c.name[4:], c.dispatches)
	if c.dispatches++; c.dispatches > 3 {
		return
	}
	if a.down || h.execute(a, attempt) != nil || h.choose(6) == 0 {
		return // retries
	}
	c.result = claim.ReturnResponse{}
}

func (h *history) run() string {
	for range maxSteps {
		h.step()
		ended := len(h.messages) == 0 && len(h.lateWrites) == 0
		for _, c := range h.calls {
			ended = ended && (c.crashed || c.result != nil)
		}
		if ended {
			break
		}
	}
	return h.violation()
}

// violation returns the invariant that the history breaks, "" if none.
func (h *history) violation() string {
	if h.executions > 1 {
		return fmt.Sprintf("%d executions of one key", h.executions)
	}
	for _, c := range h.calls {
		switch result := c.result.(type) {
		case claim.ReportNotRun:
			for _, attempt := range c.attempts {
				if h.executionsByAttempt[attempt] > 0 {
					return c.name + " reported not_run, and it ran"
				}
			}
			// A call that released its claim reports the state of that moment:
			// a concurrent call may take the claim over and run before the
			// answer to the write arrives (rapid seed 11808198692492257248).
			before := c.executionsAtEnd
			if n, ok := h.executionsAtRelease[c.call.AttemptID()]; ok {
				before = n
			}
			if before > 0 && c.tableAnswered {
				return c.name + " reported not_run after the key was executed, although the table answered"
			}
		case claim.ReplayResponse:
			if h.executionsByAttempt[string(result.Response.Body)] == 0 {
				return c.name + " replayed a response of an attempt that did not run"
			}
		case claim.ReturnResponse:
			if h.executions == 0 {
				return c.name + " answered without an execution"
			}
		}
	}
	return ""
}

var _ = Describe("random histories", func() {
	// Guards against a second execution of a key and a false not_run when entries
	// crash at any step, agents restart, answers are lost, and writes and messages
	// are delayed or duplicated.
	It("execute a key at most once, and every not_run is true", func() {
		results := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			// The generator prefers small numbers, which are the faults in
			// most choices. Half of the histories invert the choice.
			preferNoFault := rapid.Bool().Draw(t, "calm")
			choice := map[int]*rapid.Generator[int]{}
			h := newHistory(func(n int) int {
				if choice[n] == nil {
					choice[n] = rapid.IntRange(0, n-1)
				}
				i := choice[n].Draw(t, "choice")
				if preferNoFault {
					return n - 1 - i
				}
				return i
			}, noMechanism)
			if v := h.run(); v != "" {
				t.Fatalf("%s\n%s", v, strings.Join(h.log, "\n"))
			}
			for _, c := range h.calls {
				results[fmt.Sprintf("%T", c.result)]++
			}
			results[fmt.Sprintf("%d executions", h.executions)]++
			if h.executions == 1 && h.executionsByAttempt[h.firstAttempt] == 0 {
				results["executed after a take-over"]++
			}
		})
		GinkgoWriter.Println(results)
		// Each outcome must occur, or the histories test too little.
		for _, kind := range []string{"claim.ReturnResponse", "claim.ReplayResponse", "claim.ReportNotRun", "claim.ReportUnknown", "claim.RejectMismatch", "1 executions", "executed after a take-over"} {
			Expect(results[kind]).To(BeNumerically(">", 0), kind)
		}
	})

	// Checks that the histories detect the loss of each mechanism.
	DescribeTable("are wrong without", func(mechanism string) {
		const histories = 20_000
		for seed := range uint64(histories) {
			random := rand.New(rand.NewPCG(seed, 0))
			if v := newHistory(random.IntN, mechanism).run(); v != "" {
				GinkgoWriter.Printf("seed %d: %s\n", seed, v)
				return
			}
		}
		Fail(fmt.Sprintf("no wrong history among %d", histories))
	},
		Entry(claimRow, claimRow),
		Entry(startTimeCheck, startTimeCheck),
		Entry(refusalOnResolve, refusalOnResolve),
		Entry(triedAgents, triedAgents),
	)
})

// Guards against a key that stays blocked, or whose outcome stays unknown,
// after its owner crashed, without any other fault.
var _ = It("lets a retry end the call when its owner crashed at any step", func() {
	noFaults := func(n int) int { return n - 1 }
	for steps := range 12 {
		h := newHistory(noFaults, noMechanism)
		owner, retry := h.calls[0], h.calls[1]
		advance := func(c *simulatedCall) {
			h.now = h.now.Add(10 * time.Millisecond)
			if len(h.messages) > 0 {
				task := h.messages[0]
				h.messages = h.messages[1:]
				task()
				return
			}
			h.performAction(c)
		}
		for range steps {
			advance(owner)
		}
		owner.crashed = true
		for i := 0; i < 200 && retry.result == nil; i++ {
			advance(retry)
			if i%10 == 9 {
				for _, a := range h.agents {
					h.finish(a)
				}
			}
		}
		Expect(describe(retry.result)).To(Or(Equal("return stored=true"), HavePrefix("replay")), "after %d steps: %v", steps, h.log)
		Expect(h.executions).To(Equal(1), "after %d steps: %v", steps, h.log)
	}
})
