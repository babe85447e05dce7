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
	margin    = 2 * time.Second
	agents    = 3
	maxSteps  = 400
	callLimit = 30 * time.Second
)

// world is one random history: calls with the same key at several entries,
// agents that restart, a table whose answers are lost or whose effects come
// late, and messages that are lost, delayed or doubled.
type world struct {
	choose  func(n int) int
	random  *rand.Rand
	without string // the mechanism that is left out
	now     time.Time
	log     []string

	row     *claim.Row
	version uint64
	first   string // attempt of the first claim
	// released is the number of executions when an attempt was released.
	released map[string]int
	applied  map[string]bool
	late     []table.Transaction
	agents   []*agent
	calls    []*call
	tasks    []func() // messages under way

	executions int
	executed   map[string]int // by attempt
}

type agent struct {
	name   string
	start  int
	skew   time.Duration
	memory *claim.AttemptCache
	runs   []string
	down   bool
}

type call struct {
	name     string
	machine  *claim.Call
	skew     time.Duration
	deadline time.Time
	action   claim.Action // to perform next
	waiting  bool         // for an event under way
	crashed  bool
	exchange int      // number of the exchange that the call waits for
	known    []string // agents of the entry's configuration
	attempts []string
	result   claim.Action
	before   int  // executions when the result was given
	sawTable bool // every read and write before the result was answered
	sent     int
}

// Mechanisms that a history can leave out.
const (
	nothing   = "" // all mechanisms are there
	theClaim  = "the claim"
	watermark = "the refusal of attempts from before the agent's start"
	marking   = "the refusal of attempts that were resolved as never seen"
	recording = "the agents that the owner records"
)

func newWorld(choose func(int) int, without string) *world {
	w := &world{choose: choose, without: without, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(1, 2)), applied: map[string]bool{}, released: map[string]int{}, executed: map[string]int{}}
	for i := range agents {
		a := &agent{name: fmt.Sprint("agent", i), skew: w.skew()}
		w.agents = append(w.agents, a)
		w.restart(a)
		a.memory = claim.NewAttemptCache(w.now.Add(-time.Hour), claim.WithClockMargin(margin))
	}
	for i := range 2 + choose(2) {
		c := &call{name: fmt.Sprint("call", i), skew: w.skew(), deadline: w.now.Add(callLimit), action: claim.ReadRow{}, sawTable: true, known: w.known()}
		digest := "body"
		if choose(10) == 0 {
			digest = "other body"
		}
		c.machine = claim.New(claim.Request{
			Workspace: "w", IdempotencyKey: "k", BodyDigest: digest, Holder: c.name, Deadline: c.deadline,
			FirstAgent: w.try(w.agents[choose(agents)]), Agents: c.known,
		})
		w.calls = append(w.calls, c)
	}
	return w
}

// skew is a clock's deviation; two clocks differ by less than the margin.
func (w *world) skew() time.Duration {
	return time.Duration(w.choose(3)-1) * (margin/2 - time.Millisecond)
}

func (w *world) try(a *agent) claim.AgentInstance {
	t := claim.AgentInstance{Agent: a.name}
	if w.choose(2) == 0 {
		t.Incarnation = fmt.Sprint(a.start)
	}
	return t
}

// known returns the agents of an entry's configuration, which may lack one.
func (w *world) known() []string {
	var names []string
	missing := w.choose(2 * agents)
	for i, a := range w.agents {
		if i != missing {
			names = append(names, a.name)
		}
	}
	return names
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%v ", w.now.Format("04:05.000"))+fmt.Sprintf(format, args...))
}

func (w *world) agent(name string) *agent {
	for _, a := range w.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (w *world) restart(a *agent) {
	a.start++
	a.runs = nil
	started := w.now.Add(a.skew)
	if w.without == watermark {
		started = started.Add(-time.Hour)
	}
	a.memory = claim.NewAttemptCache(started, claim.WithClockMargin(margin))
	w.logf("%s starts for the time %d", a.name, a.start)
}

// execute runs an attempt if the agent's memory allows it.
func (w *world) execute(a *agent, attempt string) error {
	if err := a.memory.Begin(w.now.Add(a.skew), attempt); err != nil {
		return err
	}
	if w.choose(4) == 0 {
		a.memory.Refuse(w.now.Add(a.skew), attempt)
		return &claim.DuplicateAttemptError{Attempt: attempt, State: claim.AttemptNeverSeen} // refused by admission
	}
	w.executions++
	w.executed[attempt]++
	a.runs = append(a.runs, attempt)
	w.logf("%s executes %s", a.name, attempt)
	return nil
}

func (w *world) finish(a *agent) {
	if len(a.runs) == 0 {
		return
	}
	attempt := a.runs[0]
	a.runs = a.runs[1:]
	if w.choose(8) == 0 {
		a.memory.Fail(w.now.Add(a.skew), attempt)
		return
	}
	a.memory.Finish(w.now.Add(a.skew), attempt, claim.Response{Status: 200, Body: []byte(attempt)})
}

func (w *world) step() {
	switch w.choose(12) {
	case 0:
		w.now = w.now.Add([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second, 11 * time.Minute}[w.choose(5)])
	case 1:
		if w.choose(3) == 0 {
			w.restart(w.agents[w.choose(agents)])
		}
	case 2:
		a := w.agents[w.choose(agents)]
		a.down = !a.down && w.choose(3) == 0
	case 3, 4:
		w.finish(w.agents[w.choose(agents)])
	case 5:
		if len(w.late) > 0 {
			tx := w.late[0]
			w.late = w.late[1:]
			w.logf("late write %s: %v", tx.ID, w.apply(tx))
		}
	case 6:
		c := w.calls[w.choose(len(w.calls))]
		if w.choose(6) == 0 && c.result == nil {
			c.crashed = true
			w.logf("%s crashes", c.name)
		}
	case 7, 8, 9:
		if len(w.tasks) > 0 {
			i := w.choose(len(w.tasks))
			task := w.tasks[i]
			w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
			task()
		}
	default:
		w.perform(w.calls[w.choose(len(w.calls))])
	}
}

// deliver gives a call an event and takes its next action.
func (w *world) deliver(c *call, event claim.Event) {
	if c.crashed || c.result != nil {
		return
	}
	c.waiting = false
	if _, ok := event.(claim.TableFailed); ok {
		c.sawTable = false
	}
	c.action = c.machine.Decide(w.now.Add(c.skew), w.random, event)
	action := fmt.Sprintf("%+v", c.action)
	if write, ok := c.action.(claim.WriteRow); ok {
		action = fmt.Sprintf("%T %s", write.Transaction.Writes[0].Expect, write.Transaction.Writes[0].Value)
	}
	w.logf("%s: %T%+v -> %T %s", c.name, event, event, c.action, action)
	switch c.action.(type) {
	case claim.ReturnResponse, claim.ReplayResponse, claim.RejectMismatch, claim.ReportNotRun, claim.ReportUnknown:
		c.result, c.before = c.action, w.executions
	}
}

func (w *world) perform(c *call) {
	if c.crashed || c.waiting || c.result != nil {
		return
	}
	if w.without == theClaim {
		w.performNaive(c)
		return
	}
	if c.machine.AttemptID() == "" && len(c.attempts) == 0 && c.action == (claim.ReadRow{}) {
		w.deliver(c, claim.Start{})
		return
	}
	c.waiting = true
	c.exchange++
	switch action := c.action.(type) {
	case claim.ReadRow:
		if w.choose(8) == 0 {
			w.deliver(c, claim.TableFailed{})
			return
		}
		w.deliver(c, claim.RowRead{Row: w.decoded(), Version: w.version})
	case claim.WriteRow:
		w.write(c, action.Transaction)
	case claim.Dispatch:
		c.attempts = append(c.attempts, action.Attempt)
		w.dispatch(c, w.agent(action.Agent.Agent), action.Attempt)
	case claim.Resolve:
		w.resolve(c, action)
	case claim.Wait:
		w.now = w.now.Add(action.Delay)
		w.deliver(c, claim.WaitElapsed{})
	}
}

// decoded returns the row as a reader gets it.
func (w *world) decoded() *claim.Row {
	if w.row == nil {
		return nil
	}
	row, err := claim.Decode(w.row.Encode())
	Expect(err).NotTo(HaveOccurred())
	return row
}

func (w *world) apply(tx table.Transaction) bool {
	if w.applied[tx.ID] {
		return true
	}
	write := tx.Writes[0]
	switch e := write.Expect.(type) {
	case table.Absent:
		if w.row != nil {
			return false
		}
	case table.Exactly:
		if w.version != e.Version {
			return false
		}
	}
	row, err := claim.Decode(write.Value)
	Expect(err).NotTo(HaveOccurred())
	if w.version == 0 {
		w.first = row.AttemptID
	}
	if row.State == claim.Released {
		w.released[row.AttemptID] = w.executions
	}
	w.row, w.version, w.applied[tx.ID] = row, w.version+1, true
	return true
}

func (w *world) write(c *call, tx table.Transaction) {
	switch w.choose(10) {
	case 0:
		w.deliver(c, claim.TableFailed{})
	case 1:
		w.apply(tx)
		w.deliver(c, claim.WriteAmbiguous{})
	case 2:
		w.deliver(c, claim.WriteAmbiguous{})
	case 3:
		w.late = append(w.late, tx)
		w.deliver(c, claim.WriteAmbiguous{})
	default:
		if w.apply(tx) {
			w.deliver(c, claim.WriteApplied{})
		} else {
			w.deliver(c, claim.WriteConflicted{})
		}
	}
}

// dispatch sends the attempt over a connection to the agent's current start,
// once or twice. The connection breaks when the agent restarts.
func (w *world) dispatch(c *call, a *agent, attempt string) {
	start, exchange := a.start, c.exchange
	deliver := func(event claim.Event) {
		// An answer belongs to the stream of its dispatch.
		if c.waiting && c.exchange == exchange {
			w.deliver(c, event)
		}
	}
	copies := 1
	if w.choose(4) == 0 {
		copies = 2
	}
	for range copies {
		w.tasks = append(w.tasks, func() {
			if a.start != start || a.down || w.choose(8) == 0 {
				deliver(claim.DispatchLost{})
				return
			}
			err := w.execute(a, attempt)
			w.tasks = append(w.tasks, func() { w.reply(deliver, a, start, attempt, err) })
		})
	}
}

// reply carries the agent's answer to a dispatch. An agent that runs or has run
// the attempt gives no answer to a doubled message.
func (w *world) reply(deliver func(claim.Event), a *agent, start int, attempt string, refused error) {
	if a.start != start || w.choose(6) == 0 {
		deliver(claim.DispatchLost{})
		return
	}
	if refused != nil {
		var seen *claim.DuplicateAttemptError
		if errors.As(refused, &seen) && seen.State != claim.AttemptNeverSeen {
			return
		}
		var stale *claim.StaleAttemptError
		if errors.As(refused, &stale) && stale.State != claim.AttemptNeverSeen {
			deliver(claim.DispatchLost{})
			return
		}
		event := claim.DispatchRefused{}
		if next := w.agents[w.choose(agents)]; w.choose(3) > 0 {
			try := w.try(next)
			event.Next = &try
		}
		deliver(event)
		return
	}
	state, response := a.memory.Resolve(w.now.Add(a.skew), attempt)
	switch state {
	case claim.AttemptDone:
		deliver(claim.DispatchCompleted{Response: response})
	case claim.AttemptRunning:
		w.tasks = append(w.tasks, func() { w.reply(deliver, a, start, attempt, nil) })
	default:
		deliver(claim.DispatchLost{})
	}
}

// resolve asks the agents one by one, at different times.
func (w *world) resolve(c *call, action claim.Resolve) {
	var answers []claim.AttemptReport
	left := len(action.Agents)
	for _, name := range action.Agents {
		w.tasks = append(w.tasks, func() {
			a := w.agent(name)
			if !a.down {
				state, response := claim.AttemptNeverSeen, claim.Response{}
				unasked := w.without == recording && !slices.Contains(c.known, name)
				if !unasked && (w.without != marking || w.executed[action.Attempt] > 0) {
					state, response = a.memory.Resolve(w.now.Add(a.skew), action.Attempt)
				}
				if w.choose(10) > 0 { // else the answer is lost
					answer := claim.AttemptReport{Agent: name, State: state, Response: response}
					if w.choose(2) == 0 {
						answer.Incarnation = fmt.Sprint(a.start)
					}
					answers = append(answers, answer)
				}
			}
			if left--; left == 0 {
				w.deliver(c, claim.Resolved{Reports: answers})
			}
		})
	}
}

// performNaive is the version without the claim: each call dispatches with an
// attempt of its own, and again after a lost answer.
func (w *world) performNaive(c *call) {
	a := w.agents[w.choose(agents)]
	attempt := fmt.Sprintf("01KE%s%021d", c.name[4:], c.sent)
	if c.sent++; c.sent > 3 {
		return
	}
	if a.down || w.execute(a, attempt) != nil || w.choose(6) == 0 {
		return // tries again
	}
	c.result = claim.ReturnResponse{}
}

func (w *world) run() string {
	for range maxSteps {
		w.step()
		ended := len(w.tasks) == 0 && len(w.late) == 0
		for _, c := range w.calls {
			ended = ended && (c.crashed || c.result != nil)
		}
		if ended {
			break
		}
	}
	return w.violation()
}

// violation checks the history at its end.
func (w *world) violation() string {
	if w.executions > 1 {
		return fmt.Sprintf("%d executions of one key", w.executions)
	}
	for _, c := range w.calls {
		switch result := c.result.(type) {
		case claim.ReportNotRun:
			for _, attempt := range c.attempts {
				if w.executed[attempt] > 0 {
					return c.name + " reported not_run, and it ran"
				}
			}
			// A call that released its claim reports the state of that moment:
			// a concurrent call may take the claim over and run before the
			// answer to the write arrives (rapid seed 11808198692492257248).
			before := c.before
			if n, ok := w.released[c.machine.AttemptID()]; ok {
				before = n
			}
			if before > 0 && c.sawTable {
				return c.name + " reported not_run after the key was executed, although the table answered"
			}
		case claim.ReplayResponse:
			if w.executed[string(result.Response.Body)] == 0 {
				return c.name + " replayed a response of an attempt that did not run"
			}
		case claim.ReturnResponse:
			if w.executions == 0 {
				return c.name + " answered without an execution"
			}
		}
	}
	return ""
}

var _ = Describe("random histories", func() {
	// Guards against a second execution of a key and a not_run that isn't
	// true, with entries that stop at every step, agents that restart, lost
	// answers, late effects, duplicates and delays.
	It("execute a key at most once, and every not_run is true", func() {
		results := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			// The generator prefers small numbers, which are the faults in
			// most choices; half of the histories prefer the others.
			calm := rapid.Bool().Draw(t, "calm")
			choice := map[int]*rapid.Generator[int]{}
			w := newWorld(func(n int) int {
				if choice[n] == nil {
					choice[n] = rapid.IntRange(0, n-1)
				}
				i := choice[n].Draw(t, "choice")
				if calm {
					return n - 1 - i
				}
				return i
			}, nothing)
			if v := w.run(); v != "" {
				t.Fatalf("%s\n%s", v, strings.Join(w.log, "\n"))
			}
			for _, c := range w.calls {
				results[fmt.Sprintf("%T", c.result)]++
			}
			results[fmt.Sprintf("%d executions", w.executions)]++
			if w.executions == 1 && w.executed[w.first] == 0 {
				results["executed after a take-over"]++
			}
		})
		GinkgoWriter.Println(results)
		// A model in which little happens would prove nothing.
		for _, kind := range []string{"claim.ReturnResponse", "claim.ReplayResponse", "claim.ReportNotRun", "claim.ReportUnknown", "claim.RejectMismatch", "1 executions", "executed after a take-over"} {
			Expect(results[kind]).To(BeNumerically(">", 0), kind)
		}
	})

	// Shows that the histories contain what each mechanism protects against.
	DescribeTable("are wrong without", func(mechanism string) {
		const histories = 20_000
		for seed := range uint64(histories) {
			random := rand.New(rand.NewPCG(seed, 0))
			if v := newWorld(random.IntN, mechanism).run(); v != "" {
				GinkgoWriter.Printf("seed %d: %s\n", seed, v)
				return
			}
		}
		Fail(fmt.Sprintf("no wrong history among %d", histories))
	},
		Entry(theClaim, theClaim),
		Entry(watermark, watermark),
		Entry(marking, marking),
		Entry(recording, recording),
	)
})

// Guards against a key that is blocked, or answered with unknown, for ever
// after its owner has died, although everything else works.
var _ = It("lets a retry end the call when its owner died at any step", func() {
	without := func(n int) int { return n - 1 } // no fault
	for steps := range 12 {
		w := newWorld(without, nothing)
		owner, retry := w.calls[0], w.calls[1]
		advance := func(c *call) {
			w.now = w.now.Add(10 * time.Millisecond)
			if len(w.tasks) > 0 {
				task := w.tasks[0]
				w.tasks = w.tasks[1:]
				task()
				return
			}
			w.perform(c)
		}
		for range steps {
			advance(owner)
		}
		owner.crashed = true
		for i := 0; i < 200 && retry.result == nil; i++ {
			advance(retry)
			if i%10 == 9 {
				for _, a := range w.agents {
					w.finish(a)
				}
			}
		}
		Expect(describe(retry.result)).To(Or(Equal("answered true"), HavePrefix("replay")), "after %d steps: %v", steps, w.log)
		Expect(w.executions).To(Equal(1), "after %d steps: %v", steps, w.log)
	}
})
