package lease_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/lease"
	"briarreach/table"
)

const leaseTime = 10 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Mechanisms that a history can leave out.
const (
	nothing     = ""
	theCheck    = "the check of the lease's row in each write"
	theExpiry   = "the holder's own expiry"
	theExchange = "the compare-and-set of the lease's row"
)

// world is one random history: observers whose clocks run at different rates
// and that pause, a table whose answers are lost or whose effects come late,
// and a resource that is written under the lease.
type world struct {
	choose  func(n int) int
	without string
	now     time.Duration // real time
	log     []string

	row       *lease.Row
	version   uint64
	late      []func()
	observers []*observer

	lastNumber uint64
	holders    map[uint64]string // of the writes that succeeded, by number
	stats      map[string]int
}

type observer struct {
	*lease.Elector
	name   string
	rate   float64
	next   time.Duration // real time of its next step; a pause makes it late
	number uint64        // held until it learns of the loss, without the expiry
}

func (w *world) clock(o *observer) time.Time {
	return start.Add(time.Duration(float64(w.now) * o.rate))
}

func newWorld(choose func(int) int, without string) *world {
	w := &world{choose: choose, without: without, holders: map[uint64]string{}, stats: map[string]int{}}
	for i := range 3 {
		name := fmt.Sprint("o", i)
		w.observers = append(w.observers, &observer{
			Elector: lease.New("control", name, lease.WithDuration(leaseTime)),
			name:    name,
			rate:    0.955 + 0.045*float64(choose(3)), // within 5 %
		})
	}
	return w
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

// apply applies a conditional write to the lease's row.
func (w *world) apply(write table.Write) bool {
	switch e := write.Expect.(type) {
	case table.Absent:
		if w.row != nil && w.without != theExchange {
			return false
		}
	case table.Exactly:
		if w.version != e.Version && w.without != theExchange {
			return false
		}
	}
	row, err := lease.Decode(write.Value)
	Expect(err).NotTo(HaveOccurred())
	w.row, w.version = row, w.version+1
	w.logf("row is %s %d, version %d", row.Holder, row.FencingNumber, w.version)
	return true
}

// commit sends a write of the lease's row; its answer may be lost, or its
// effect late.
func (w *world) commit(o *observer, write table.Write) {
	switch w.choose(10) {
	case 0: // refused
	case 1:
		w.apply(write)
	case 2:
		w.late = append(w.late, func() { w.apply(write) })
	default:
		if w.apply(write) {
			o.ObserveCommit(w.clock(o))
			return
		}
	}
	w.observe(o)
}

func (w *world) observe(o *observer) {
	if w.choose(8) == 0 {
		return // the table does not answer
	}
	var row *lease.Row
	if w.row != nil {
		copied := *w.row
		row = &copied
	}
	o.Observe(w.clock(o), row, w.version)
}

// writeUnder writes the resource in a transaction under the lease. It returns
// what is wrong if the write succeeds.
func (w *world) writeUnder(o *observer, number uint64, check table.Check) string {
	if exact, ok := check.Expect.(table.Exactly); !ok || exact.Version != w.version {
		if w.without != theCheck {
			return ""
		}
	}
	w.stats["writes"]++
	w.logf("%s writes under %d", o.name, number)
	if number < w.lastNumber {
		return fmt.Sprintf("%s wrote under number %d after a write under %d", o.name, number, w.lastNumber)
	}
	if holder, ok := w.holders[number]; ok && holder != o.name {
		return fmt.Sprintf("%s and %s wrote under number %d", holder, o.name, number)
	}
	if number > w.lastNumber {
		w.stats["holders"]++
	}
	w.lastNumber, w.holders[number] = number, o.name
	return ""
}

func (w *world) step() string {
	o := w.observers[0]
	for _, other := range w.observers[1:] {
		if other.next < o.next {
			o = other
		}
	}
	w.now = max(w.now, o.next)
	if len(w.late) > 0 && w.choose(3) == 0 {
		w.late[0]()
		w.late = w.late[1:]
	}
	w.observe(o)
	delay := 500 * time.Millisecond
	switch action := o.Decide(w.clock(o)).(type) {
	case lease.Acquire:
		w.commit(o, action.Write)
	case lease.Renew:
		w.commit(o, action.Write)
	case lease.Lost:
		w.stats["losses"]++
		o.number = 0
		w.logf("%s lost %d", o.name, action.FencingNumber)
	case lease.Wait:
		delay = min(delay, action.Delay)
	}
	if v := w.violation(); v != "" {
		return v
	}
	if w.choose(10) == 0 {
		delay = []time.Duration{5 * time.Second, 12 * time.Second, 40 * time.Second}[w.choose(3)] // pause
	}
	o.next = w.now + delay + time.Duration(w.choose(100)+1)*time.Millisecond

	now := w.clock(o)
	check, held := o.Check(now)
	number := o.FencingNumber(now)
	switch {
	case !held:
	case w.choose(4) == 0:
		w.late = append(w.late, func() { // a write that was under way when the holder paused
			if v := w.writeUnder(o, number, check); v != "" {
				panic(v)
			}
		})
	default:
		return w.writeUnder(o, number, check)
	}
	return ""
}

// violation reports two observers that hold the lease by their own clocks.
func (w *world) violation() string {
	var held []string
	for _, o := range w.observers {
		if w.without == theExpiry {
			if n := o.FencingNumber(w.clock(o)); n != 0 {
				o.number = n
			}
			if o.number != 0 {
				held = append(held, o.name)
			}
			continue
		}
		if o.Held(w.clock(o)) {
			held = append(held, o.name)
		}
	}
	if len(held) > 1 {
		return fmt.Sprint(held, " hold the lease at the same time")
	}
	return ""
}

func (w *world) run() (v string) {
	defer func() {
		if r := recover(); r != nil {
			message, ok := r.(string)
			if !ok {
				panic(r)
			}
			v = message
		}
	}()
	for range 120 {
		if v := w.step(); v != "" {
			return v
		}
	}
	return ""
}

var _ = Describe("random histories", func() {
	// Guards against two holders whose writes both succeed under the same or
	// an older fencing number, and against two holders at the same time for
	// targets that ignore the number.
	It("never have two holders", func() {
		stats := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
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
			for name, n := range w.stats {
				stats[name] += n
			}
		})
		GinkgoWriter.Println(stats)
		for _, name := range []string{"writes", "holders", "losses"} {
			Expect(stats[name]).To(BeNumerically(">", 0), name)
		}
	})

	// Shows that the histories contain what each mechanism protects against.
	DescribeTable("are wrong without", func(mechanism string) {
		const histories = 5_000
		for seed := range uint64(histories) {
			random := rand.New(rand.NewPCG(seed, 0))
			if v := newWorld(random.IntN, mechanism).run(); v != "" {
				GinkgoWriter.Printf("seed %d: %s\n", seed, v)
				return
			}
		}
		Fail(fmt.Sprintf("no wrong history among %d", histories))
	},
		Entry(theCheck, theCheck),
		Entry(theExpiry, theExpiry),
		Entry(theExchange, theExchange),
	)
})

var _ = Describe("Observer", func() {
	var o *lease.Elector
	at := func(d time.Duration) time.Time { return start.Add(d) }
	other := &lease.Row{Holder: "other", FencingNumber: 7}

	BeforeEach(func() { o = lease.New("control", "me", lease.WithDuration(leaseTime)) })

	// Guards against a lease taken too early, and one that is never taken.
	It("takes a lease that has not changed for the lease time since it was read first", func() {
		Expect(o.Decide(at(0))).To(BeAssignableToTypeOf(lease.Wait{}))
		o.Observe(at(time.Second), other, 3)
		Expect(o.Decide(at(leaseTime))).To(Equal(lease.Wait{Delay: time.Second}))
		o.Observe(at(leaseTime), other, 4)
		Expect(o.Decide(at(leaseTime + time.Second))).To(BeAssignableToTypeOf(lease.Wait{}))
		take, ok := o.Decide(at(2 * leaseTime)).(lease.Acquire)
		Expect(ok).To(BeTrue())
		Expect(take.FencingNumber).To(BeEquivalentTo(8))
		Expect(take.Write.Expect).To(Equal(table.Exactly{Version: 4}))
		_, held := o.Check(at(2 * leaseTime))
		Expect(held).To(BeFalse(), "before the write is known to have taken effect")
		o.ObserveCommit(at(2 * leaseTime))
		check, held := o.Check(at(2 * leaseTime))
		Expect(held).To(BeTrue())
		Expect(check).To(Equal(table.Check{Key: lease.Key("control"), Expect: table.Exactly{Version: 5}}))
		Expect(o.FencingNumber(at(2 * leaseTime))).To(BeEquivalentTo(8))
	})

	It("renews in time with the same number and reports a loss once", func() {
		o.Observe(at(0), nil, 0)
		Expect(o.Decide(at(0))).To(BeAssignableToTypeOf(lease.Acquire{}))
		o.ObserveCommit(at(time.Second))
		Expect(o.Decide(at(time.Second))).To(BeAssignableToTypeOf(lease.Wait{}))
		Expect(o.Decide(at(4 * time.Second))).To(BeAssignableToTypeOf(lease.Renew{}))
		o.ObserveCommit(at(5 * time.Second))
		Expect(o.FencingNumber(at(12 * time.Second))).To(BeEquivalentTo(1))
		Expect(o.Decide(at(13 * time.Second))).To(Equal(lease.Lost{FencingNumber: 1}))
		Expect(o.Decide(at(13 * time.Second))).To(BeAssignableToTypeOf(lease.Renew{}))
		o.Observe(at(14*time.Second), &lease.Row{Holder: "other", FencingNumber: 2}, 3)
		Expect(o.Decide(at(14 * time.Second))).To(BeAssignableToTypeOf(lease.Wait{}))
	})

	// Guards against a renewal whose answer was lost being counted from its
	// second attempt, although the first one may have taken effect.
	It("counts a lost answer from the first write", func() {
		o.Observe(at(0), nil, 0)
		o.Decide(at(0))
		o.Observe(at(3*time.Second), nil, 0)
		o.Decide(at(4 * time.Second))
		o.Observe(at(5*time.Second), &lease.Row{Holder: "me", FencingNumber: 1}, 1)
		Expect(o.Held(at(8 * time.Second))).To(BeTrue())
		Expect(o.Held(at(10 * time.Second))).To(BeFalse())
	})

	It("gives the lease up, so that others take it at once", func() {
		o.Observe(at(0), nil, 0)
		o.Decide(at(0))
		o.ObserveCommit(at(0))
		write, ok := o.Release(at(time.Second))
		Expect(ok).To(BeTrue())
		Expect(o.Held(at(time.Second))).To(BeFalse())
		row, err := lease.Decode(write.Value)
		Expect(err).NotTo(HaveOccurred())
		next := lease.New("control", "next")
		next.Observe(at(time.Second), row, 2)
		take, ok := next.Decide(at(time.Second)).(lease.Acquire)
		Expect(ok).To(BeTrue())
		Expect(take.FencingNumber).To(BeEquivalentTo(2))
	})

	DescribeTable("Decode refuses", func(data string) {
		_, err := lease.Decode([]byte(data))
		var invalid *lease.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
	},
		Entry("no JSON", `{`),
		Entry("no number", `{"holder":"a"}`),
		Entry("negative number", `{"holder":"a","number":-1}`),
		Entry("long holder", `{"number":1,"holder":"`+strings.Repeat("a", 513)+`"}`),
	)
})

// FuzzDecode guards against panics and against a row that changes when it is
// written and read again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"holder":"a","number":1,"expires":"2026-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := lease.Decode(data)
		if err != nil {
			return
		}
		encoded, err := row.Encode()
		if err != nil {
			t.Skip("a time that JSON does not represent")
		}
		again, err := lease.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if again.Holder != row.Holder || again.FencingNumber != row.FencingNumber || !again.Expires.Equal(row.Expires) {
			t.Fatalf("%+v became %+v", row, again)
		}
	})
}
