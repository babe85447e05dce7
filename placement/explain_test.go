package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/placement"
	"briarreach/replica"
	"briarreach/replicalimit"
	"briarreach/replicaspeed"
)

var _ = Describe("Explain", func() {
	req := placement.Request{SharedParts: placement.HashParts([]string{"a", "b"}, []int{300, 2000}), UniqueTokens: 1500, Streaming: true, TargetLatency: 500 * time.Millisecond, MaxEventGap: 300 * time.Millisecond}

	// newPlacer returns a placer after some traffic, and what it has announced. All calls
	// make the same one.
	newPlacer := func(withSpeeds bool, list []replica.Replica) (*placement.Placer, *replicalimit.Limits, *replicaspeed.Speeds, *int) {
		announced, r := new(int), rand.New(rand.NewPCG(5, 6))
		limits := replicalimit.New("own", 1, rand.New(rand.NewPCG(3, 4)))
		limits.SetRates(map[replica.Incarnation]replicalimit.Rate{list[2].Incarnation(): {PerSecond: 2, From: start, Until: start.Add(time.Minute)}}, start)
		opts := []placement.Option{placement.WithLimiter(limits), placement.WithNotices(states{"r3": {Share: 0.5}, "r4": {Leaving: true}})}
		var speeds *replicaspeed.Speeds
		if withSpeeds {
			speeds = learned(list, 40_000, 1.2, 0.55, 1.2, 1.2, 1.2, 1.2)
			opts = append(opts, placement.WithSpeeds(speeds))
		}
		p := placement.New(placement.Defaults(), func(placement.Announcement) { *announced++ }, opts...)
		p.SetReplicas(list)
		for i := range 12 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			c, _ := p.Choose(placement.Request{SharedParts: placement.HashParts([]string{fmt.Sprint(i % 3)}, []int{900}), UniqueTokens: 500 * i, Streaming: true}, list, now, r)
			if i%2 == 0 {
				p.RecordFirstEvent(c, now.Add(10*time.Millisecond))
				p.Done(c, placement.Served, now.Add(15*time.Millisecond))
			}
		}
		return p, limits, speeds, announced
	}

	// Guards against an explanation that changes where requests go: by requests that
	// count as in flight, limits, backlogs, caches, samples, estimates or announcements;
	// and against one that differs from the choice.
	DescribeTable("returns the choice and changes nothing",
		func(withSpeeds, withPrompt bool) {
			list, unknown := replicas(7)[:6], replicas(7)[6]
			r := req
			if !withPrompt {
				r = placement.Request{}
			}
			explained, limits, speeds, announced := newPlacer(withSpeeds, list)
			untouched, sameLimits, sameSpeeds, _ := newPlacer(withSpeeds, list)
			before := *announced
			now := start.Add(300 * time.Millisecond)
			for i := range 200 {
				e := explained.Explain(r, append(list[:6:6], unknown), nil, now.Add(time.Duration(i)*time.Millisecond/10), rand.New(rand.NewPCG(uint64(i), 1)))
				Expect(e.Found).To(BeTrue())
				Expect(e.Candidates).To(HaveLen(7))
				explained.Done(e.Choice, placement.ConnectionBroken, now)
			}
			Expect(*announced).To(Equal(before))
			Expect(explained.EjectedCount(now)).To(BeZero())
			if speeds != nil {
				// An unknown replica is not kept.
				Expect(speeds.All(now)).To(Equal(sameSpeeds.All(now)))
			}
			for i := range 40 {
				now = now.Add(25 * time.Millisecond)
				e := explained.Explain(r, list, nil, now, rand.New(rand.NewPCG(uint64(i), 2)))
				got, gotOK := explained.Choose(r, list, now, rand.New(rand.NewPCG(uint64(i), 2)))
				want, wantOK := untouched.Choose(r, list, now, rand.New(rand.NewPCG(uint64(i), 2)))
				Expect(gotOK).To(Equal(wantOK))
				Expect(e.Found).To(Equal(wantOK))
				Expect(public(got)).To(Equal(public(want)))
				Expect(public(e.Choice)).To(Equal(public(want)))
			}
			for _, x := range list {
				_, allowed := limits.Allows(x.Incarnation(), now)
				_, same := sameLimits.Allows(x.Incarnation(), now)
				Expect(allowed).To(Equal(same))
			}
		},
		Entry("a prompt", false, true),
		Entry("a prompt, by speeds", true, true),
		Entry("no prompt", false, false),
		Entry("no prompt, by speeds", true, false),
	)

	// Guards against a wrong reason, which would mislead an operator.
	It("says why each replica is left out", func() {
		list := replicas(12)
		limits := replicalimit.New("own", 1, rand.New(rand.NewPCG(3, 4)))
		limits.SetRates(map[replica.Incarnation]replicalimit.Rate{list[2].Incarnation(): {PerSecond: 1, From: start, Until: start.Add(time.Minute)}}, start)
		for range 3 {
			limits.Take(list[2].Incarnation(), start)
		}
		speeds := learned(list, 40_000, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		for range 100 {
			speeds.Of(list[6]).RecordPause(time.Second)
		}
		p := placement.New(placement.Defaults(), nil, placement.WithLimiter(limits), placement.WithSpeeds(speeds), placement.WithNotices(states{
			"r0": {Gone: true}, "r1": {PausedFor: time.Second}, "r3": {Leaving: true, LeavingFor: time.Second, Share: 1}, "r7": {Share: 0}}))
		p.SetReplicas(list)
		r := newRand()
		broken, _ := p.Choose(placement.Request{}, list[4:5], start, r)
		p.Done(broken, placement.ConnectionBroken, start)
		_, _ = p.Choose(placement.Request{}, list[5:6], start.Add(-time.Second), r)
		for range 20 {
			c, _ := p.Choose(placement.Request{}, list[8:9], start, r)
			p.RecordActivity(c, start)
		}
		e := p.Explain(req, list[:11], []placement.LeftOut{{Replica: list[11], Verdict: placement.VerdictEvacuated}}, start, r)
		verdicts := make(map[string]placement.Verdict)
		for _, c := range e.Candidates {
			verdicts[c.Replica.ID] = c.Verdict
			switch c.Replica.ID {
			case "r1":
				Expect(c.Wait).To(Equal(time.Second))
			case "r2":
				// One request per second, in a phase of its own.
				Expect(c.Wait).To(And(BeNumerically(">", 0), BeNumerically("<=", 1001*time.Millisecond)))
			}
		}
		taken := e.Choice.Replica.ID
		Expect(e.Candidates[0].Replica.ID).To(Equal(taken))
		Expect(taken).To(BeElementOf("r9", "r10"))
		want := map[string]placement.Verdict{"r0": placement.VerdictGone, "r1": placement.VerdictPaused, "r2": placement.VerdictLimited, "r3": placement.VerdictLeaving,
			"r4": placement.VerdictEjected, "r5": placement.VerdictSilent, "r6": placement.VerdictPausesTooLong, "r7": placement.VerdictResuming, "r8": placement.VerdictOverBound,
			"r9": placement.VerdictNotBest, "r10": placement.VerdictNotBest, "r11": placement.VerdictEvacuated}
		want[taken] = placement.VerdictTaken
		Expect(verdicts).To(Equal(want))
	})

	// Guards against a refusal without its reason or the time after which to return.
	It("returns the refusal if no replica can take the request", func() {
		list := replicas(2)
		p := placement.New(placement.Defaults(), nil, placement.WithNotices(states{"r0": {PausedFor: time.Second}, "r1": {PausedFor: 2 * time.Second}}))
		e := p.Explain(req, list, nil, start, newRand())
		Expect(e.Found).To(BeTrue())
		Expect(e.Choice.Refused).To(BeTrue())
		Expect(e.Choice.Reason).To(Equal(placement.PausedReason))
		Expect(e.Choice.RetryAfter).To(BeNumerically(">=", time.Second))

		late := placement.New(placement.Defaults(), nil)
		for _, r := range list {
			_, _ = late.Choose(placement.Request{UniqueTokens: 30_000}, []replica.Replica{r}, start, newRand())
		}
		e = late.Explain(req, list, nil, start, newRand())
		Expect(e.Choice.Refused).To(BeTrue())
		Expect(e.Choice.RetryAfter).To(BeNumerically(">", 0))
		Expect(e.Candidates[0].Verdict).To(Equal(placement.VerdictRefused))
	})
})

// public returns the fields of a choice that its caller sees.
func public(c placement.Choice) placement.Choice {
	return placement.Choice{Replica: c.Replica, Reason: c.Reason, InFlight: c.InFlight, BacklogTokens: c.BacklogTokens, CachedTokens: c.CachedTokens,
		ExpectedWait: c.ExpectedWait, ExpectedPrefill: c.ExpectedPrefill, Refused: c.Refused, RetryAfter: c.RetryAfter, Speed: c.Speed}
}
