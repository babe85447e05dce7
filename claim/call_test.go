package claim_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/claim"
	"briarreach/table"
)

const otherAttempt = "01ARZ3NDEKTSV4RRFFQ69G5FAV"

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	response  = claim.Response{Status: 200, Body: []byte("ok")}
	nextAgent = &claim.AgentInstance{Name: "b"}
)

func newCall() *claim.Call {
	return claim.New(claim.Request{Workspace: "w", IdempotencyKey: "k", BodyDigest: "d", Holder: "h",
		FirstAgent: claim.AgentInstance{Name: "a", Incarnation: "1"}, Agents: []string{"a", "b"}, Deadline: start.Add(10 * time.Second)})
}

// otherRow is a read of a row of another call.
func otherRow(state claim.State, r *claim.Response) claim.RowRead {
	return claim.RowRead{Version: 3, Row: &claim.Row{AttemptID: otherAttempt, Holder: "other", TriedAgents: []claim.AgentInstance{{Name: "a", Incarnation: "1"}},
		BodyDigest: "d", State: state, Response: r}}
}

// reports returns the reports of the agents a, b, ...; an empty state is a
// missing report.
func reports(states ...claim.AttemptState) claim.Resolved {
	var out claim.Resolved
	for i, s := range states {
		if s == "" {
			continue
		}
		a := claim.AttemptReport{Agent: string(rune('a' + i)), State: s}
		if s == claim.AttemptDone {
			a.Response = response
		}
		out.Reports = append(out.Reports, a)
	}
	return out
}

// writtenRow returns the row that an action writes.
func writtenRow(action claim.Action) *claim.Row {
	GinkgoHelper()
	write, ok := action.(claim.WriteRow)
	Expect(ok).To(BeTrue(), "%T", action)
	row, err := claim.Decode(write.Transaction.Writes[0].Value)
	Expect(err).NotTo(HaveOccurred())
	return row
}

// describe returns the type of an action and its main fields.
func describe(action claim.Action) string {
	switch a := action.(type) {
	case claim.WriteRow:
		row := writtenRow(a)
		return fmt.Sprintf("write %s %T %d", row.State, a.Transaction.Writes[0].Expect, len(row.TriedAgents))
	case claim.Dispatch:
		return "dispatch " + a.Agent.Name
	case claim.Resolve:
		return "resolve " + strings.Join(a.Agents, ",")
	case claim.ReturnResponse:
		return fmt.Sprintf("return stored=%v", a.Stored)
	case claim.ReplayResponse:
		return "replay " + string(a.Response.Body)
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", action), "claim."))
	}
}

var _ = Describe("Call", func() {
	own := func(c *claim.Call, state claim.State, tried ...claim.AgentInstance) claim.RowRead {
		if tried == nil {
			tried = []claim.AgentInstance{{Name: "a", Incarnation: "1"}}
		}
		return claim.RowRead{Version: 1, Row: &claim.Row{AttemptID: c.AttemptID(), Holder: "h", TriedAgents: tried, BodyDigest: "d", State: state}}
	}

	// Guards against a dispatch without a durable claim, a second dispatch after
	// an ambiguous failure, and a reported outcome that is not certain. An event
	// given as a function receives the call.
	DescribeTable("decides", func(steps ...any) {
		c := newCall()
		random := rand.New(rand.NewPCG(1, 1))
		action := c.Decide(start, random, claim.Start{})
		Expect(describe(action)).To(Equal("write claimed table.Absent 1"))
		for i := 0; i < len(steps); i += 2 {
			var event claim.Event
			switch e := steps[i].(type) {
			case claim.Event:
				event = e
			case func(*claim.Call) claim.RowRead:
				event = e(c)
			}
			action = c.Decide(start, random, event)
			Expect(describe(action)).To(Equal(steps[i+1]), "step %d", i/2)
		}
	},
		Entry("fresh claim", claim.WriteApplied{}, "dispatch a", claim.DispatchCompleted{Response: response}, "write done table.Exactly 1", claim.WriteApplied{}, "return stored=true"),
		Entry("table down", claim.TableFailed{}, "reportnotrun"),
		Entry("lost answer of the claim, applied", claim.WriteAmbiguous{}, "readrow",
			func(c *claim.Call) claim.RowRead { return own(c, claim.StateClaimed) }, "dispatch a"),
		Entry("lost answer of the claim, not applied", claim.WriteAmbiguous{}, "readrow", claim.RowRead{}, "write claimed table.Absent 1", claim.WriteApplied{}, "dispatch a"),
		Entry("lost answer of the claim, the read fails", claim.WriteAmbiguous{}, "readrow", claim.TableFailed{}, "reportnotrun"),
		Entry("own claim ended by another entry before the dispatch", claim.WriteAmbiguous{}, "readrow",
			func(c *claim.Call) claim.RowRead { return own(c, claim.StateUnknown) }, "write released table.Exactly 1", claim.WriteApplied{}, "reportnotrun"),
		Entry("another digest", claim.WriteConflicted{}, "readrow", func(*claim.Call) claim.RowRead {
			found := otherRow(claim.StateDone, &response)
			found.Row.BodyDigest = "other"
			return found
		}, "rejectmismatch"),
		Entry("done", claim.WriteConflicted{}, "readrow", otherRow(claim.StateDone, &response), "replay ok"),
		Entry("unknown", claim.WriteConflicted{}, "readrow", otherRow(claim.StateUnknown, nil), "reportunknown"),
		Entry("released", claim.WriteConflicted{}, "readrow", otherRow(claim.StateReleased, nil), "write claimed table.Exactly 1", claim.WriteApplied{}, "dispatch a"),
		Entry("claimed, refused by all agents", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptRefused, claim.AttemptRefused), "write claimed table.Exactly 1", claim.WriteApplied{}, "dispatch a"),
		Entry("claimed, take-over lost to another entry", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptRefused, claim.AttemptRefused), "write claimed table.Exactly 1", claim.WriteConflicted{}, "readrow",
			claim.RowRead{Version: 4, Row: otherRow(claim.StateDone, &response).Row}, "replay ok"),
		Entry("claimed, done at an agent", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptDone, ""), "write done table.Exactly 1", claim.TableFailed{}, "replay ok"),
		Entry("claimed, running", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptRunning, claim.AttemptUnknown), "wait", claim.WaitElapsed{}, "readrow", otherRow(claim.StateDone, &response), "replay ok"),
		Entry("claimed, an agent does not answer", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptRefused, ""), "reportunknown"),
		Entry("claimed, an untried agent may have evicted the attempt", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptRefused, claim.AttemptUnknown), "reportunknown"),
		Entry("claimed, the tried agent has evicted the attempt", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptUnknown, claim.AttemptRefused), "write unknown table.Exactly 1", claim.WriteApplied{}, "reportunknown"),
		Entry("claimed, the tried agent has restarted", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			claim.Resolved{Reports: []claim.AttemptReport{{Agent: "a", Incarnation: "2", State: claim.AttemptRefused}, {Agent: "b", State: claim.AttemptRefused}}},
			"write unknown table.Exactly 1", claim.WriteConflicted{}, "readrow", claim.RowRead{Version: 4, Row: otherRow(claim.StateDone, &response).Row}, "replay ok"),
		Entry("claimed, the table fails before the write", claim.WriteConflicted{}, "readrow", otherRow(claim.StateClaimed, nil), "resolve a,b",
			reports(claim.AttemptUnknown, claim.AttemptRefused), "write unknown table.Exactly 1", claim.TableFailed{}, "reportunknown"),
		Entry("refused, next agent", claim.WriteApplied{}, "dispatch a", claim.DispatchRefused{Next: nextAgent}, "write claimed table.Exactly 2", claim.WriteApplied{}, "dispatch b",
			claim.DispatchRefused{}, "write released table.Exactly 2", claim.WriteApplied{}, "reportnotrun"),
		Entry("refused, lost answer of the next agent's record, applied", claim.WriteApplied{}, "dispatch a", claim.DispatchRefused{Next: nextAgent}, "write claimed table.Exactly 2",
			claim.WriteAmbiguous{}, "readrow", func(c *claim.Call) claim.RowRead {
				found := own(c, claim.StateClaimed, claim.AgentInstance{Name: "a"}, claim.AgentInstance{Name: "b"})
				found.Version = 2
				return found
			}, "dispatch b"),
		Entry("refused, lost answer of the next agent's record, not applied", claim.WriteApplied{}, "dispatch a", claim.DispatchRefused{Next: nextAgent}, "write claimed table.Exactly 2",
			claim.WriteAmbiguous{}, "readrow", func(c *claim.Call) claim.RowRead { return own(c, claim.StateClaimed) }, "write claimed table.Exactly 2", claim.TableFailed{}, "reportnotrun"),
		Entry("refused, next agent was tried before", claim.WriteApplied{}, "dispatch a", claim.DispatchRefused{Next: &claim.AgentInstance{Name: "a"}}, "write released table.Exactly 1"),
		Entry("lost, refused by all agents", claim.WriteApplied{}, "dispatch a", claim.DispatchLost{}, "resolve a,b",
			reports(claim.AttemptRefused, claim.AttemptRefused), "write released table.Exactly 1", claim.TableFailed{}, "reportnotrun"),
		Entry("lost, done", claim.WriteApplied{}, "dispatch a", claim.DispatchLost{}, "resolve a,b", reports(claim.AttemptDone, ""), "write done table.Exactly 1", claim.WriteApplied{}, "replay ok"),
		Entry("lost, no answers", claim.WriteApplied{}, "dispatch a", claim.DispatchLost{}, "resolve a,b", claim.Resolved{}, "reportunknown"),
		Entry("completed, table down", claim.WriteApplied{}, "dispatch a", claim.DispatchCompleted{Response: response}, "write done table.Exactly 1", claim.TableFailed{}, "return stored=false"),
		Entry("completed, marked unknown by another entry", claim.WriteApplied{}, "dispatch a", claim.DispatchCompleted{Response: response}, "write done table.Exactly 1",
			claim.WriteConflicted{}, "readrow", func(c *claim.Call) claim.RowRead {
				found := own(c, claim.StateUnknown)
				found.Version = 2
				return found
			}, "write done table.Exactly 1", claim.WriteApplied{}, "return stored=true"),
		Entry("every answer to a write is lost", claim.WriteAmbiguous{}, "readrow", claim.RowRead{}, "write claimed table.Absent 1", claim.WriteAmbiguous{}, "readrow",
			claim.RowRead{}, "write claimed table.Absent 1", claim.WriteAmbiguous{}, "readrow", claim.RowRead{}, "reportnotrun"),
	)

	// Guards against a wait without end, and a dispatch after the deadline.
	It("stops at the deadline", func() {
		random := rand.New(rand.NewPCG(1, 1))
		c := newCall()
		c.Decide(start, random, claim.Start{})
		Expect(describe(c.Decide(start.Add(11*time.Second), random, claim.WriteApplied{}))).To(Equal("write released table.Exactly 1"))

		c = newCall()
		c.Decide(start, random, claim.Start{})
		c.Decide(start, random, claim.WriteConflicted{})
		now, waits := start, 0
		for action := c.Decide(now, random, otherRow(claim.StateClaimed, nil)); ; waits++ {
			Expect(describe(action)).To(Equal("resolve a,b"))
			await, ok := c.Decide(now, random, reports(claim.AttemptRunning, "")).(claim.Wait)
			if !ok {
				break
			}
			now = now.Add(await.Delay)
			c.Decide(now, random, claim.WaitElapsed{})
			action = c.Decide(now, random, otherRow(claim.StateClaimed, nil))
		}
		Expect(now).To(BeTemporally("<", start.Add(10*time.Second)))
		Expect(waits).To(BeNumerically("<", 20))
	})

	It("stores a response body up to the size limit, and drops a larger one", func() {
		for size, oversize := range map[int]bool{claim.MaxResponseBytes: false, claim.MaxResponseBytes + 1: true} {
			c := newCall()
			random := rand.New(rand.NewPCG(1, 1))
			c.Decide(start, random, claim.Start{})
			c.Decide(start, random, claim.WriteApplied{})
			row := writtenRow(c.Decide(start, random, claim.DispatchCompleted{Response: claim.Response{Status: 201, Body: bytes.Repeat([]byte{'x'}, size)}}))
			Expect(row.Response.Oversize).To(Equal(oversize))
			Expect(row.Response.Status).To(Equal(201))
			Expect(len(row.Response.Body)).To(Equal(map[bool]int{false: size, true: 0}[oversize]))
		}
	})

	It("writes valid transactions with unique identifiers", func() {
		random := rand.New(rand.NewPCG(1, 1))
		c := newCall()
		ids := map[string]bool{}
		for _, event := range []claim.Event{claim.Start{}, claim.WriteApplied{}, claim.DispatchRefused{Next: nextAgent}, claim.WriteApplied{}, claim.DispatchCompleted{Response: response}} {
			if write, ok := c.Decide(start, random, event).(claim.WriteRow); ok {
				Expect(write.Transaction.Validate()).To(Succeed())
				Expect(write.Transaction.Writes[0].Key).To(Equal(table.Key{Partition: "claim/w", Sort: "k"}))
				ids[write.Transaction.ID] = true
			}
		}
		Expect(ids).To(HaveLen(3))
	})
})

var _ = Describe("AttemptCache", func() {
	attemptAt := func(d time.Duration) string {
		c := newCall()
		c.Decide(start.Add(d), rand.New(rand.NewPCG(uint64(d), 1)), claim.Start{})
		return c.AttemptID()
	}

	// Guards against a cache that grows without bound, and an evicted attempt
	// that runs again or is reported as never seen.
	It("stays within its bounds and refuses attempts that it may have evicted", func() {
		cache := claim.NewAttemptCache(start.Add(-time.Hour), claim.WithMaxAttempts(10), claim.WithMaxBytes(100), claim.WithRetention(time.Minute))
		for i := range 50 {
			Expect(cache.Begin(start, attemptAt(time.Duration(i)*time.Second))).To(Succeed())
			cache.Finish(start, attemptAt(time.Duration(i)*time.Second), claim.Response{Body: make([]byte, 40)})
			Expect(cache.Len()).To(BeNumerically("<=", 10))
		}
		state, r := cache.Resolve(start, attemptAt(49*time.Second))
		Expect(state).To(Equal(claim.AttemptDone))
		Expect(len(r.Body) == 40 || r.Oversize).To(BeTrue())
		var stale *claim.StaleAttemptError
		Expect(errors.As(cache.Begin(start, attemptAt(5*time.Second)), &stale)).To(BeTrue())
		Expect(stale.State).To(Equal(claim.AttemptUnknown))
		state, _ = cache.Resolve(start, attemptAt(5*time.Second))
		Expect(state).To(Equal(claim.AttemptUnknown))
		state, _ = cache.Resolve(start.Add(2*time.Minute), attemptAt(49*time.Second))
		Expect(state).To(Equal(claim.AttemptUnknown))
		Expect(cache.Len()).To(BeZero())
	})
})

// FuzzDecode guards against panics and against a row that changes when it is
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add((&claim.Row{AttemptID: otherAttempt, TriedAgents: []claim.AgentInstance{{Name: "a"}}, BodyDigest: "d", State: claim.StateDone, Response: &response}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := claim.Decode(data)
		if err != nil {
			return
		}
		again, err := claim.Decode(row.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(again.Encode(), row.Encode()) {
			t.Fatalf("%s became %s", row.Encode(), again.Encode())
		}
	})
}
