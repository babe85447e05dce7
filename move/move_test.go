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
		Started: moveStart, Deadline: moveStart.Add(time.Hour), SharePPM: share,
	}
}

// observeSecond records one second of requests at the guard, every fifth of
// them to the new version, which fails with probability newFail and has median
// latency newLatency.
func observeSecond(g *move.Guard, random *rand.Rand, now time.Time, total int, newFail, oldFail float64, newLatency time.Duration) {
	for i := range total {
		version, p, l := oldVersion, oldFail, 100*time.Millisecond
		if i%5 == 0 {
			version, p, l = newVersion, newFail, newLatency
		}
		l = time.Duration(float64(l) * math.Exp(0.3*random.NormFloat64()))
		g.Observe(version, "POST /book", 0, l, random.Float64() < p, now.Add(time.Duration(i)*time.Second/time.Duration(total)))
	}
}

var _ = Describe("Guard", func() {
	DescribeTable("stops a bad version, and no other, without the controller and the table",
		func(newFail, oldFail float64, newLatency time.Duration, stopped bool) {
			random := rand.New(rand.NewSource(1))
			g := move.NewGuard("a", "1", running(200_000))
			now := moveStart
			for range 120 {
				observeSecond(g, random, now, 50, newFail, oldFail, newLatency)
				now = now.Add(time.Second)
			}
			Expect(g.Allowed(now)).To(Equal(!stopped))
			if stopped {
				Expect(g.PickVersion(false, now, random)).To(Equal(oldVersion))
				other := move.NewGuard("b", "1", running(200_000))
				Expect(other.Allowed(now)).To(BeTrue())
				other.ApplyRemoteStop(g.Digest(now))
				Expect(other.Allowed(now)).To(BeFalse(), "the stop of another entry is ignored")
			}
		},
		Entry("a good version", 0.01, 0.01, 100*time.Millisecond, false),
		Entry("a version that fails", 0.5, 0.01, 100*time.Millisecond, true),
		Entry("a version that is slow", 0.01, 0.01, 200*time.Millisecond, true),
		Entry("a version that is a little slower", 0.01, 0.01, 110*time.Millisecond, false),
		Entry("a version that fails less", 0.01, 0.3, 100*time.Millisecond, false),
		Entry("both fail", 0.5, 0.5, 100*time.Millisecond, false),
	)

	It("does not count the network distance of a failure domain as slowness", func() {
		g := move.NewGuard("a", "1", running(200_000))
		now := moveStart
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

	It("limits the share after a suspicious window, also if the old version fails as well", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(980_000))
		now := moveStart
		for range 30 {
			observeSecond(g, random, now, 50, 0, 0, 100*time.Millisecond)
			now = now.Add(time.Second)
		}
		Expect(g.MaxSharePPM(now)).To(Equal(config.FullSharePPM))
		for range 10 {
			observeSecond(g, random, now, 50, 0.5, 0.5, 100*time.Millisecond)
			now = now.Add(time.Second)
		}
		Expect(g.MaxSharePPM(now)).To(Equal(config.FullSharePPM / 2))
		for range 190 { // the limit lasts a twentieth of the move
			observeSecond(g, random, now, 50, 0, 0, 100*time.Millisecond)
			now = now.Add(time.Second)
		}
		Expect(g.MaxSharePPM(now)).To(Equal(config.FullSharePPM))
	})

	It("counts a request as hung long before its timeout", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(200_000))
		Expect(g.HungAfter("POST /book")).To(Equal(30 * time.Second))
		observeSecond(g, random, moveStart, 500, 0, 0, 100*time.Millisecond)
		Expect(g.HungAfter("POST /book")).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	})

	It("round-trips a digest through CBOR", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(200_000))
		observeSecond(g, random, moveStart, 200, 0.5, 0, 100*time.Millisecond)
		digest := g.Digest(moveStart.Add(2 * time.Second))
		data, err := cbor.Marshal(digest)
		Expect(err).NotTo(HaveOccurred())
		var back move.Digest
		Expect(cbor.Unmarshal(data, &back)).To(Succeed())
		Expect(back).To(Equal(digest))
	})

	It("keeps a bounded number of cells", func() {
		g := move.NewGuard("a", "1", running(200_000))
		for i := range 10_000 {
			g.Observe(oldVersion, fmt.Sprint("GET /", i), i, time.Second, false, moveStart)
		}
		Expect(len(g.Digest(moveStart.Add(time.Hour)).Cells)).To(BeNumerically("<=", 64))
	})
})

var _ = DescribeTable("PickVersion", func(m config.Move, allowed, retry bool, version string) {
	random := rand.New(rand.NewSource(1))
	for range 1000 {
		Expect(move.PickVersion(m, allowed, retry, random)).To(Equal(version))
	}
},
	Entry("sends retries to the old version", running(config.FullSharePPM), true, true, oldVersion),
	Entry("sends nothing to a stopped new version", running(config.FullSharePPM), false, false, oldVersion),
	Entry("sends all to the new version at full share", running(config.FullSharePPM), true, false, newVersion),
	Entry("sends nothing to the new version before the first share", running(0), true, false, oldVersion),
	Entry("sends all to the new version of a done move", config.Move{From: oldVersion, To: newVersion, State: config.MoveDone}, true, true, newVersion),
	Entry("sends nothing to a version that was rolled back", config.Move{From: oldVersion, To: newVersion, State: config.MoveRolledBack, SharePPM: 500_000}, true, false, oldVersion),
)

var _ = Describe("Controller", func() {
	// runController applies the controller's actions to the move between two
	// times. It returns the move and the largest factor by which the share was
	// raised. A lowered share or a step within the minimum interval fails the
	// test.
	runController := func(c *move.Controller, m config.Move, from, to time.Time) (config.Move, float64) {
		GinkgoHelper()
		maxFactor := 0.0
		var lastStep time.Time
		for now := from; now.Before(to) && m.State == config.MoveRunning; now = now.Add(time.Second) {
			for _, action := range c.Decide(now) {
				switch action := action.(type) {
				case move.SetShare:
					Expect(action.SharePPM).To(BeNumerically(">", m.SharePPM), "the share is lowered")
					if m.SharePPM > 0 {
						maxFactor = max(maxFactor, float64(action.SharePPM)/float64(m.SharePPM))
					}
					if !lastStep.IsZero() {
						interval := move.Plan{Started: m.Started, Deadline: m.Deadline}.MinStepInterval()
						Expect(now.Sub(lastStep)).To(BeNumerically(">=", interval), "a step follows too early")
					}
					lastStep = now
					m.SharePPM = action.SharePPM
				case move.Finish:
					m.State, m.Ended = config.MoveDone, now
				case move.RollBack:
					m.State, m.Ended, m.Evidence = config.MoveRolledBack, now, action.Evidence.String()
				}
			}
			c.Update(m, now)
		}
		return m, maxFactor
	}

	DescribeTable("finishes a move without traffic before the deadline, in small steps",
		func(duration time.Duration) {
			m := running(0)
			m.Deadline = moveStart.Add(duration)
			m, maxFactor := runController(move.New(m), m, moveStart, moveStart.Add(2*duration))
			Expect(m.State).To(Equal(config.MoveDone))
			Expect(m.Ended).To(BeTemporally("<=", moveStart.Add(duration*91/100+time.Second)))
			Expect(maxFactor).To(BeNumerically("<=", 2.5))
		},
		Entry("one minute", time.Minute), Entry("an hour", time.Hour), Entry("a week", 7*24*time.Hour),
	)

	DescribeTable("continues from the share in the document",
		func(share int64, restartFraction float64, finishedFraction float64) {
			m := running(share)
			now := moveStart.Add(time.Duration(restartFraction * float64(time.Hour)))
			m, maxFactor := runController(move.New(m), m, now, moveStart.Add(2*time.Hour))
			Expect(m.State).To(Equal(config.MoveDone))
			Expect(m.Ended.Sub(moveStart).Hours()).To(BeNumerically("<=", finishedFraction))
			Expect(maxFactor).To(BeNumerically("<=", 2.5), "a late controller skips steps")
		},
		Entry("restarted at a step", int64(50_000), 0.3, 0.92),
		Entry("paused until late", int64(10_000), 0.8, 1.0),
		Entry("paused across the deadline", int64(10_000), 1.2, 1.4),
		Entry("restarted ahead of the plan", int64(400_000), 0.2, 0.92),
	)

	It("follows a changed deadline and never lowers the share for it", func() {
		m := running(0)
		c := move.New(m)
		m, _ = runController(c, m, moveStart, moveStart.Add(40*time.Minute))
		before := m.SharePPM
		m.Deadline = moveStart.Add(10 * time.Hour)
		c.Update(m, moveStart.Add(40*time.Minute))
		m, _ = runController(c, m, moveStart.Add(40*time.Minute), moveStart.Add(41*time.Minute))
		Expect(m.SharePPM).To(Equal(before))
		m.Deadline = moveStart.Add(50 * time.Minute)
		c.Update(m, moveStart.Add(41*time.Minute))
		m, _ = runController(c, m, moveStart.Add(41*time.Minute), moveStart.Add(2*time.Hour))
		Expect(m.Ended).To(BeTemporally("<", m.Deadline))
	})

	It("decides the same when digests are lost, duplicated and reordered", func() {
		random := rand.New(rand.NewSource(3))
		g := move.NewGuard("a", "1", running(200_000), move.WithEntries(1_000_000))
		all, some := move.New(running(200_000)), move.New(running(200_000))
		var digests []move.Digest
		now := moveStart
		for range 60 {
			observeSecond(g, random, now, 10, 0.05, 0.01, 100*time.Millisecond)
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

	It("rolls back at once on a local stop and reports the evidence", func() {
		random := rand.New(rand.NewSource(1))
		g := move.NewGuard("a", "1", running(200_000))
		now := moveStart
		for i := 0; i < 60 && g.Allowed(now); i++ {
			observeSecond(g, random, now, 50, 0.5, 0.01, 100*time.Millisecond)
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
		c.Observe(move.Digest{Move: "y", Stopped: true, StopEvidence: &move.Evidence{}}, moveStart)
		cell := func(ratio float64) []move.Cell {
			r := []float32{float32(ratio), float32(ratio), 0}
			return []move.Cell{{Route: "r", LogRatios: [3][]float32{nil, r, make([]float32, 99)}}}
		}
		c.Observe(move.Digest{Entry: "a", Move: "x", Sequence: 1, Cells: cell(math.NaN())}, moveStart)
		Expect(c.Decide(moveStart)).To(BeEmpty())
		now := moveStart
		for i := range 20 {
			now = now.Add(time.Second)
			c.Observe(move.Digest{Entry: "a", Move: "x", Sequence: uint64(i) + 2, Cells: cell(float64(3 * i))}, now)
			c.Decide(now)
		}
		Expect(c.Decide(now)).To(ContainElement(BeAssignableToTypeOf(move.RollBack{})), "a malformed digest disabled the test of the cell")
	})
})
