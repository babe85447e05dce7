package move_test

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"briarreach/config"
	"briarreach/move"
)

func running(share int64) config.Move {
	return config.Move{
		Name: "x", Subject: "m", From: oldVersion, To: newVersion, State: config.MoveRunning,
		Started: begin, Deadline: begin.Add(time.Hour), SharePPM: share,
	}
}

// feed sends one second of requests to the guard: total requests, every
// fifth to the new version, which fails with the given probability.
func feed(g *move.Guard, random *rand.Rand, now time.Time, total int, fail, oldFail float64, latency time.Duration) {
	for i := range total {
		version, p, l := oldVersion, oldFail, 100*time.Millisecond
		if i%5 == 0 {
			version, p, l = newVersion, fail, latency
		}
		l = time.Duration(float64(l) * math.Exp(0.3*random.NormFloat64()))
		g.Observe(version, "POST /book", 0, l, random.Float64() < p, now.Add(time.Duration(i)*time.Second/time.Duration(total)))
	}
}

var _ = Describe("Guard", func() {
	DescribeTable("stops a bad version without the controller and the table, and only that",
		func(fail, oldFail float64, latency time.Duration, stopped bool) {
			random := rand.New(rand.NewSource(1))
			g := move.NewGuard("a", "1", running(200_000))
			now := begin
			for range 120 {
				feed(g, random, now, 50, fail, oldFail, latency)
				now = now.Add(time.Second)
			}
			Expect(g.Allowed(now)).To(Equal(!stopped))
			if stopped {
				Expect(g.PickVersion(false, now, random)).To(Equal(oldVersion))
				other := move.NewGuard("b", "1", running(200_000))
				Expect(other.Allowed(now)).To(BeTrue())
				other.ApplyRemoteStop(g.Digest(now))
				Expect(other.Allowed(now)).To(BeFalse(), "a stop heard from another entry is ignored")
			}
		},
		Entry("a good version", 0.01, 0.01, 100*time.Millisecond, false),
		Entry("a version that fails", 0.5, 0.01, 100*time.Millisecond, true),
		Entry("a version that is slow", 0.01, 0.01, 200*time.Millisecond, true),
		Entry("a version that is a little slower", 0.01, 0.01, 110*time.Millisecond, false),
		Entry("a version that fails less", 0.01, 0.3, 100*time.Millisecond, false),
		Entry("both fail", 0.5, 0.5, 100*time.Millisecond, false),
	)

	It("does not take the distance of a failure domain for slowness", func() {
		g := move.NewGuard("a", "1", running(200_000))
		now := begin
		for i := range 20_000 {
			version, latency := oldVersion, time.Millisecond
			if i%5 == 0 {
				version, latency = newVersion, 2*time.Millisecond
			}
			now = now.Add(20 * time.Millisecond)
			g.Observe(version, "GET /rooms", 0, latency, false, now)
		}
		Expect(g.Allowed(now)).To(BeTrue())
	})

	It("lowers the share while the new version is in doubt, also if the old one fails as well", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(980_000))
		now := begin
		for range 30 {
			feed(g, random, now, 50, 0, 0, 100*time.Millisecond)
			now = now.Add(time.Second)
		}
		Expect(g.MaxSharePPM(now)).To(Equal(config.FullSharePPM))
		for range 10 {
			feed(g, random, now, 50, 0.5, 0.5, 100*time.Millisecond)
			now = now.Add(time.Second)
		}
		Expect(g.MaxSharePPM(now)).To(Equal(config.FullSharePPM / 2))
		for range 190 { // the doubt lasts a twentieth of the move
			feed(g, random, now, 50, 0, 0, 100*time.Millisecond)
			now = now.Add(time.Second)
		}
		Expect(g.MaxSharePPM(now)).To(Equal(config.FullSharePPM))
	})

	It("asks for a report of a request that hangs long before its timeout", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(200_000))
		Expect(g.HungAfter("POST /book")).To(Equal(30 * time.Second))
		feed(g, random, begin, 500, 0, 0, 100*time.Millisecond)
		Expect(g.HungAfter("POST /book")).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	})

	It("gives a digest that CBOR keeps", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(200_000))
		feed(g, random, begin, 200, 0.5, 0, 100*time.Millisecond)
		digest := g.Digest(begin.Add(2 * time.Second))
		data, err := cbor.Marshal(digest)
		Expect(err).NotTo(HaveOccurred())
		var back move.Digest
		Expect(cbor.Unmarshal(data, &back)).To(Succeed())
		Expect(back).To(Equal(digest))
	})

	It("keeps a bounded number of cells", func() {
		g := move.NewGuard("a", "1", running(200_000))
		for i := range 10_000 {
			g.Observe(oldVersion, fmt.Sprint("GET /", i), i, time.Second, false, begin)
		}
		Expect(len(g.Digest(begin.Add(time.Hour)).Cells)).To(BeNumerically("<=", 64))
	})
})

var _ = DescribeTable("Pick", func(m config.Move, allow, retry bool, version string) {
	random := rand.New(rand.NewSource(1))
	for range 1000 {
		Expect(move.PickVersion(m, allow, retry, random)).To(Equal(version))
	}
},
	Entry("sends retries to the old version", running(config.FullSharePPM), true, true, oldVersion),
	Entry("sends nothing to a stopped version", running(config.FullSharePPM), false, false, oldVersion),
	Entry("sends all to the new version at full share", running(config.FullSharePPM), true, false, newVersion),
	Entry("sends nothing before the first share", running(0), true, false, oldVersion),
	Entry("sends all to the new version of a done move", config.Move{From: oldVersion, To: newVersion, State: config.MoveDone}, true, true, newVersion),
	Entry("sends nothing to a version that was rolled back", config.Move{From: oldVersion, To: newVersion, State: config.MoveRolledBack, SharePPM: 500_000}, true, false, oldVersion),
)

var _ = Describe("Controller", func() {
	// drive applies the controller's actions to the document for a time and
	// returns the document and the largest step up. A lower share or a step
	// before the planned hold has passed fails the test.
	drive := func(c *move.Controller, m config.Move, from, to time.Time) (config.Move, float64) {
		GinkgoHelper()
		factor := 0.0
		var last time.Time
		for now := from; now.Before(to) && m.State == config.MoveRunning; now = now.Add(time.Second) {
			for _, action := range c.Decide(now) {
				switch action := action.(type) {
				case move.SetShare:
					Expect(action.SharePPM).To(BeNumerically(">", m.SharePPM), "the share is lowered")
					if m.SharePPM > 0 {
						factor = max(factor, float64(action.SharePPM)/float64(m.SharePPM))
					}
					if !last.IsZero() {
						hold := move.Plan{Started: m.Started, Deadline: m.Deadline}.MinStepInterval()
						Expect(now.Sub(last)).To(BeNumerically(">=", hold), "a step follows at once")
					}
					last = now
					m.SharePPM = action.SharePPM
				case move.Finish:
					m.State, m.Ended = config.MoveDone, now
				case move.RollBack:
					m.State, m.Ended, m.Evidence = config.MoveRolledBack, now, action.Evidence.String()
				}
			}
			c.Update(m, now)
		}
		return m, factor
	}

	DescribeTable("finishes a move without traffic before the deadline, in small steps",
		func(duration time.Duration) {
			m := running(0)
			m.Deadline = begin.Add(duration)
			m, factor := drive(move.New(m), m, begin, begin.Add(2*duration))
			Expect(m.State).To(Equal(config.MoveDone))
			Expect(m.Ended).To(BeTemporally("<=", begin.Add(duration*91/100+time.Second)))
			Expect(factor).To(BeNumerically("<=", 2.5))
		},
		Entry("one minute", time.Minute), Entry("an hour", time.Hour), Entry("a week", 7*24*time.Hour),
	)

	DescribeTable("continues from the share in the document",
		func(share int64, at float64, finished float64) {
			m := running(share)
			now := begin.Add(time.Duration(at * float64(time.Hour)))
			m, factor := drive(move.New(m), m, now, begin.Add(2*time.Hour))
			Expect(m.State).To(Equal(config.MoveDone))
			Expect(m.Ended.Sub(begin).Hours()).To(BeNumerically("<=", finished))
			Expect(factor).To(BeNumerically("<=", 2.5), "a late controller skips steps")
		},
		Entry("restarted at a step", int64(50_000), 0.3, 0.92),
		Entry("paused until late", int64(10_000), 0.8, 1.0),
		Entry("paused across the deadline", int64(10_000), 1.2, 1.4),
		Entry("restarted ahead of the plan", int64(400_000), 0.2, 0.92),
	)

	It("follows a changed deadline and never lowers the share for it", func() {
		m := running(0)
		c := move.New(m)
		m, _ = drive(c, m, begin, begin.Add(40*time.Minute))
		before := m.SharePPM
		m.Deadline = begin.Add(10 * time.Hour)
		c.Update(m, begin.Add(40*time.Minute))
		m, _ = drive(c, m, begin.Add(40*time.Minute), begin.Add(41*time.Minute))
		Expect(m.SharePPM).To(Equal(before))
		m.Deadline = begin.Add(50 * time.Minute)
		c.Update(m, begin.Add(41*time.Minute))
		m, _ = drive(c, m, begin.Add(41*time.Minute), begin.Add(2*time.Hour))
		Expect(m.Ended).To(BeTemporally("<", m.Deadline))
	})

	It("decides the same from digests that are lost, repeated and reordered", func() {
		random := rand.New(rand.NewSource(3))
		g := move.NewGuard("a", "1", running(200_000), move.WithEntries(1_000_000))
		all, some := move.New(running(200_000)), move.New(running(200_000))
		var digests []move.Digest
		now := begin
		for range 60 {
			feed(g, random, now, 10, 0.05, 0.01, 100*time.Millisecond)
			now = now.Add(time.Second)
			digests = append(digests, g.Digest(now))
		}
		for _, d := range digests {
			all.Observe(d, now)
		}
		last := digests[len(digests)-1]
		for _, d := range []move.Digest{digests[0], digests[7], digests[2], digests[7], last, digests[9]} {
			some.Observe(d, now)
		}
		old := last
		old.Incarnation, old.Sequence = "0", 999
		some.Observe(old, now)
		some.Observe(last, now)
		all.Decide(now)
		some.Decide(now)
		Expect(some.Evidence().LogRatio).To(BeNumerically("~", all.Evidence().LogRatio, 0.01))
		Expect(some.Evidence().New).To(Equal(all.Evidence().New))
	})

	It("rolls back at once on a local stop and gives the evidence to the operator", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(200_000))
		now := begin
		for i := 0; i < 60 && g.Allowed(now); i++ {
			feed(g, random, now, 50, 0.5, 0.01, 100*time.Millisecond)
			now = now.Add(time.Second)
		}
		c := move.New(running(200_000))
		c.Observe(g.Digest(now), now)
		actions := c.Decide(now)
		Expect(actions).To(HaveLen(1))
		rollBack, ok := actions[0].(move.RollBack)
		Expect(ok).To(BeTrue())
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "evidence", []byte(rollBack.Evidence.String()+"\n"))
		Expect(len(rollBack.Evidence.String())).To(BeNumerically("<", config.MaxEvidenceBytes))
	})

	It("ignores digests of another move and malformed ones", func() {
		c := move.New(running(200_000))
		c.Observe(move.Digest{Move: "y", Stopped: true, StopEvidence: &move.Evidence{}}, begin)
		cell := func(ratio float64) []move.Cell {
			r := []float32{float32(ratio), float32(ratio), 0}
			return []move.Cell{{Route: "r", LogRatios: [3][]float32{nil, r, make([]float32, 99)}}}
		}
		c.Observe(move.Digest{Entry: "a", Move: "x", Sequence: 1, Cells: cell(math.NaN())}, begin)
		Expect(c.Decide(begin)).To(BeEmpty())
		now := begin
		for i := range 20 {
			now = now.Add(time.Second)
			c.Observe(move.Digest{Entry: "a", Move: "x", Sequence: uint64(i) + 2, Cells: cell(float64(3 * i))}, now)
			c.Decide(now)
		}
		Expect(c.Decide(now)).To(ContainElement(BeAssignableToTypeOf(move.RollBack{})), "a malformed digest disabled the test of the cell")
	})
})
