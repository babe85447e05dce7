package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/quota"
)

var _ = Describe("a quota held by several processes", func() {
	// Guards against consumption beyond the quota under any mix of kills, frozen
	// processes, lost or late responses, disconnections and loans.
	It("is never exceeded", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(1, 7).Draw(t, "holders"), int64(rapid.IntRange(1_000, 400_000).Draw(t, "limit")))
			pick := func() *holder { return rapid.SampledFrom(f.holders).Draw(t, "holder") }
			for range rapid.IntRange(20, 120).Draw(t, "steps") {
				switch rapid.IntRange(0, 10).Draw(t, "step") {
				case 0, 1, 2, 3:
					f.reserve(pick(), int64(rapid.IntRange(1, 30_000).Draw(t, "tokens")), rapid.Bool().Draw(t, "connected"))
				case 4:
					if h := pick(); len(h.reservations) > 0 {
						f.finish(h, int64(rapid.IntRange(0, 30_000).Draw(t, "consumed")))
					}
				case 5:
					f.sync(pick(), response(rapid.IntRange(int(arrived), int(lostLate)).Draw(t, "answer")))
				case 6:
					f.applyLate()
				case 7:
					d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
					if rapid.Bool().Draw(t, "freeze") {
						f.advance(d, pick())
					} else {
						f.advance(d)
					}
				case 8:
					f.start(pick())
				case 9:
					if from, to := pick(), pick(); from != to {
						f.lend(from, to, int64(rapid.IntRange(1, 20_000).Draw(t, "loan")), rapid.Bool().Draw(t, "lost"))
					}
				case 10:
					if from, to := pick(), pick(); from != to {
						f.repay(from, to, rapid.Bool().Draw(t, "lost"))
					}
				}
				if got := f.totalSpent(); got > f.limit {
					t.Fatalf("%d tokens reserved or consumed of %d", got, f.limit)
				}
			}
		})
	})

	// Guards against needless refusals: a single shared counter would serve each
	// request that fits; without faults, the fleet must refuse few of them.
	It("serves nearly all that a single counter would serve, without faults", func() {
		f := newFleet(5, 1_000_000)
		counter, refused, fit := int64(0), 0, 0
		for i := range 400 {
			tokens := int64(1000 + i*7919%9000)
			h := f.holders[i%len(f.holders)]
			fits := counter+tokens <= f.limit*97/100
			d := f.reserve(h, tokens, true)
			if fits {
				fit++
			}
			if d == quota.Reserved {
				counter += tokens
				f.finish(h, tokens)
			} else if fits {
				refused++
			}
			f.advance(50 * time.Millisecond)
		}
		Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
		Expect(float64(refused)).To(BeNumerically("<=", 0.05*float64(fit)), "refused of those that fit")
	})

	Context("hundreds of holders", func() {
		// Guards against a quota that is divided into parts smaller than a prompt:
		// 68 gateways and a workspace whose quota covers 50 prompts.
		It("serve nearly all that a single counter would serve, with few loans a request", func() {
			f := newFleet(68, 500_000)
			f.readEachOther()
			counter, refused, fit, sent := int64(0), 0, 0, 0
			for i := range 60 {
				h := f.holders[i*31%len(f.holders)]
				tokens := int64(5_000 + i*7919%9_000)
				fits := counter+tokens <= f.limit*97/100
				d := f.reserveOrBorrow(h, tokens)
				sent++
				if fits {
					fit++
				}
				if d == quota.Reserved {
					counter += tokens
					f.finish(h, tokens)
				} else if fits {
					refused++
				}
				for _, h := range f.holders {
					f.tick(h)
				}
				f.advance(50 * time.Millisecond)
			}
			Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
			Expect(float64(refused)).To(BeNumerically("<=", 0.02*float64(fit)), "refused of those that fit")
			Expect(float64(f.loans)).To(BeNumerically("<=", 3*float64(sent)), "loans")
		})

		// Guards against borrowed tokens that requests did not spend and that stay
		// where the next request may never come.
		It("give back what they borrowed and do not need", func() {
			f := newFleet(20, 400_000)
			f.readEachOther()
			var borrower, home *holder
			for _, h := range f.holders {
				if h.allocator.IsHome(workspace) {
					home = h
				} else {
					borrower = h
				}
			}
			before, _, _ := home.allocator.Balance(workspace, f.clock(home))
			f.lend(home, borrower, 2_000, false)
			lent, _, _ := home.allocator.Balance(workspace, f.clock(home))
			Expect(lent).To(Equal(before - 2_000))
			f.repay(borrower, home, false)
			after, _, _ := home.allocator.Balance(workspace, f.clock(home))
			Expect(after).To(Equal(before))
			Expect(f.reserve(borrower, 1, false)).To(Equal(quota.Insufficient))
		})
	})

	Context("a home that draws tokens", func() {
		// Guards against final refusals of requests that fit: a borrower that has
		// read the smaller rest at the store, but not the row of the home that drew
		// it, would count the tokens nowhere.
		It("does not look empty to others that have not read its row", func() {
			f := newFleet(8, 1_000_000)
			f.readEachOther()
			var borrower *holder
			for _, h := range f.holders {
				if !h.allocator.IsHome(workspace) {
					borrower = h
				}
			}
			f.read(borrower, quota.ScopeAll)
			for _, h := range f.holders {
				if h.allocator.IsHome(workspace) {
					Expect(f.reserve(h, 60_000, true)).To(Equal(quota.Reserved))
					f.finish(h, 1_000)
					f.sync(h, arrived)
				}
			}
			f.read(borrower, quota.ScopeWorkspaces)
			Expect(f.reserve(borrower, 700_000, false)).To(Equal(quota.Insufficient))
		})

		It("is known to be empty once it was asked", func() {
			f := newFleet(8, 100_000)
			f.readEachOther()
			var borrower *holder
			for _, h := range f.holders {
				if !h.allocator.IsHome(workspace) {
					borrower = h
				}
			}
			d := quota.Insufficient
			for range 100 {
				if d = f.reserveOrBorrow(borrower, 5_000); d == quota.Exhausted {
					break
				}
				if d == quota.Reserved {
					f.finish(borrower, 5_000)
				}
			}
			Expect(d).To(Equal(quota.Exhausted))
			Expect(f.totalSpent()).To(BeNumerically(">=", 90_000))
		})
	})

	Context("a fleet that has restarted", func() {
		// Guards against loans that are refused for seconds after all processes have
		// restarted with new certificates, as rows are read seldom in a large fleet.
		It("reads the new rows within 100 ms, and less often if peers stay unknown", func() {
			f := newFleet(68, 500_000)
			f.readEachOther()
			h := f.holders[0]
			f.read(h, quota.ScopeAll)
			interval := func() time.Duration {
				h.allocator.NoteUnknownPeer()
				for waited := time.Duration(0); ; waited += 50 * time.Millisecond {
					if h.allocator.ScopeToRead(f.clock(h)) == quota.ScopeAll {
						f.read(h, quota.ScopeAll)
						return waited
					}
					f.advance(50 * time.Millisecond)
				}
			}
			Expect(interval()).To(BeNumerically("<=", 100*time.Millisecond))
			for range 5 {
				interval()
			}
			Expect(interval()).To(BeNumerically(">", time.Second))
		})
	})

	Context("a process that has just started", func() {
		// Guards against a window that is too small because the average of the
		// demand has not reached it yet: the store is cut off 2 s after the start.
		It("serves its demand of the next second without the store", func() {
			f := newFleet(3, 30_000_000)
			step := func(connected bool) (refused int) {
				for _, h := range f.holders {
					for range 10 {
						if f.reserve(h, 9_000, connected) != quota.Reserved {
							refused++
							continue
						}
						f.finish(h, 9_000)
					}
					if connected {
						f.tick(h)
					}
				}
				f.advance(100 * time.Millisecond)
				return refused
			}
			for range 20 {
				step(true)
			}
			refused := 0
			for range 10 {
				refused += step(false)
			}
			Expect(refused).To(BeZero())
		})
	})

	Context("one busy process", func() {
		// Guards against quota that stays with idle processes when all callers of
		// a workspace are connected to one process.
		It("gets what the idle processes hold", func() {
			f := newFleet(5, 800_000)
			busy := f.holders[0]
			refusedAt := int64(0)
			for range 1200 {
				if d := f.reserve(busy, 1000, true); d == quota.Reserved {
					f.finish(busy, 1000)
				} else if refusedAt == 0 {
					refusedAt = f.consumed
				}
				for _, h := range f.holders {
					f.tick(h)
				}
				f.advance(50 * time.Millisecond)
			}
			Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
			Expect(f.totalSpent()).To(BeNumerically(">=", f.limit*97/100))
			Expect(refusedAt).To(BeNumerically(">=", f.limit*97/100), "consumed before the first refusal")
		})
	})

	Context("a scarce quota", func() {
		// Guards against requests that wait at one process, or are refused with a
		// retry delay, because it has not read that another process returned
		// quota or that nothing is left.
		It("is read again soon while requests wait", func() {
			f := newFleet(2, 100_000)
			busy, idle := f.holders[0], f.holders[1]
			f.tick(idle)
			f.tick(busy)
			for f.reserve(busy, 1000, true) == quota.Reserved {
				f.finish(busy, 1000)
			}
			f.tick(busy)
			Expect(idle.allocator.LoadRows(f.store.list(quota.ScopeAll), quota.ScopeAll, f.store.now, f.clock(idle))).To(Succeed())
			plan := idle.allocator.PrepareSync(f.clock(idle), true)
			committed, current := f.store.commit(plan.Tx)
			Expect(current).To(BeNil())
			idle.allocator.ConfirmSync(plan, committed, f.clock(idle))
			Expect(f.reserve(busy, 1000, true)).To(Equal(quota.Insufficient))
			f.advance(200 * time.Millisecond)
			f.tick(busy)
			Expect(f.reserve(busy, 1000, true)).To(Equal(quota.Reserved))
		})
	})

	Context("many processes", func() {
		// Guards against writes and reads that grow with the square of the number
		// of processes: a part of the platform's store accepts 200 transactions a
		// second, and its link carries 4 parts of 1,000 Mbit/s each.
		It("stay within the capacity of a part of the store", func() {
			const holders, partWrites, rowBytes, partBytes = 330, 200, 500, 125_000_000
			f := newFleet(holders, 2_000_000_000)
			step := func() {
				for _, h := range f.holders {
					if f.reserve(h, 600, false) == quota.Reserved {
						f.finish(h, 600)
					}
					f.tick(h)
				}
				f.advance(250 * time.Millisecond)
			}
			for range 40 {
				step()
			}
			writes, rows := f.store.version, f.rowsRead
			for range 80 {
				step()
			}
			Expect(float64(f.store.version-writes)/20).To(BeNumerically("<=", partWrites), "transactions a second")
			Expect(float64(f.rowsRead-rows)*rowBytes/20).To(BeNumerically("<=", partBytes), "bytes a second")
		})
	})

	Context("partition", func() {
		// Guards against refusals at a steady demand while the processes are cut
		// off from the store for as long as the platform's outages last.
		It("serves the demand of 8 s from grants and loans", func() {
			f := newFleet(5, 2_000_000)
			step := func(connected bool) (refused, all int) {
				for _, h := range f.holders {
					all++
					d := f.reserve(h, 600, connected)
					if d != quota.Reserved && !connected {
						for _, other := range f.holders {
							if other != h && d != quota.Reserved {
								f.lend(other, h, 600, false)
								d = f.reserve(h, 600, false)
							}
						}
					}
					if d == quota.Reserved {
						f.finish(h, 600)
					} else {
						refused++
					}
					if connected {
						f.sync(h, arrived)
					}
				}
				f.advance(100 * time.Millisecond)
				return refused, all
			}
			for range 100 {
				step(true)
			}
			refused, all := 0, 0
			for range 80 {
				r, n := step(false)
				refused, all = refused+r, all+n
			}
			Expect(float64(refused)).To(BeNumerically("<=", 0.01*float64(all)))
		})
	})

	Context("kill of all processes", func() {
		// Guards against grants that are lost with the processes that held them.
		It("leaves at least half of the remaining quota to the successors", func() {
			f := newFleet(5, 1_000_000)
			for range 100 {
				for _, h := range f.holders {
					if f.reserve(h, 1000, true) == quota.Reserved {
						f.finish(h, 1000)
					}
					f.sync(h, arrived)
				}
				f.advance(100 * time.Millisecond)
			}
			left := f.limit - f.consumed
			f.advance(time.Second)
			for _, h := range f.holders {
				f.start(h)
			}
			served := int64(0)
			for range 2000 {
				for _, h := range f.holders {
					if f.reserve(h, 1000, true) == quota.Reserved {
						f.finish(h, 1000)
						served += 1000
					}
				}
				f.advance(20 * time.Millisecond)
			}
			Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
			Expect(served).To(BeNumerically(">=", left/2))
		})
	})

	Context("kill after the store was away", func() {
		const (
			requestTokens = 500
			tick          = 100 * time.Millisecond
			away          = 4500 * time.Millisecond // an outage of the platform's store
			restart       = 1200 * time.Millisecond // until killed processes run again
		)
		// serve lets each holder get a request per tick for some time, and returns
		// the requests and those that were refused.
		serve := func(f *fleet, d time.Duration, connected bool, holders ...*holder) (sent, refused int) {
			for range d / tick {
				for _, h := range holders {
					sent++
					decision := f.reserve(h, requestTokens, connected)
					if decision == quota.Insufficient {
						f.borrow(h)
						decision = f.reserve(h, requestTokens, connected)
					}
					if decision == quota.Reserved {
						f.finish(h, requestTokens)
					} else {
						refused++
					}
					if connected {
						f.tick(h)
					}
				}
				f.advance(tick)
			}
			return sent, refused
		}
		newBusyFleet := func() *fleet {
			f := newFleet(3, 1_000_000)
			for f.consumed < 650_000 {
				serve(f, time.Second, true, f.holders...)
			}
			return f
		}
		restartAll := func(f *fleet, holders ...*holder) {
			f.advance(restart)
			for _, h := range holders {
				f.start(h)
			}
		}

		// Guards against a quota that is written off: the successors can't tell what
		// the processes consumed without the store, and count what they were allowed to.
		It("of all processes as it is back leaves the rest of the quota to the successors", func() {
			f := newBusyFleet()
			_, refused := serve(f, away, false, f.holders...)
			Expect(refused).To(BeZero(), "refused while the store is away")
			restartAll(f, f.holders...)
			serve(f, 12*time.Second, true, f.holders...) // the platform's time for recovery
			sent, refused := serve(f, 4*time.Second, true, f.holders...)
			Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
			Expect(sent-refused).To(BeNumerically(">=", sent/4), "served after the recovery, of %d", sent)
		})

		// Guards against successors that wait for the store for longer than their
		// predecessors ran without it, and count that time as theirs.
		It("of some processes while it is away leaves them what they had not spent", func() {
			f := newBusyFleet()
			_, refused := serve(f, tick*5, false, f.holders...)
			Expect(refused).To(BeZero())
			killed, alive := f.holders[:2], f.holders[2]
			restartAll(f, killed...)
			serve(f, away, false, alive)
			for f.totalSpent() < f.limit {
				if _, refused := serve(f, tick, true, f.holders...); refused == len(f.holders) {
					break
				}
			}
			Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
			// What exceeds 97 in 100 of a quota isn't owed to its callers.
			Expect(f.totalSpent()).To(BeNumerically(">=", f.limit*97/100))
		})
	})

	Context("lost answers", func() {
		// Guards against a window that is used twice: by a process whose sync was
		// applied although its response was lost, and by its successor.
		It("enforces the strictest state that the store may hold", func() {
			f := newFleet(1, 100_000)
			h := f.holders[0]
			Expect(f.reserve(h, 1000, true)).To(Equal(quota.Reserved))
			f.finish(h, 1000)
			f.sync(h, lostApplied)
			f.advance(3 * time.Second)
			for f.reserve(h, 1000, false) == quota.Reserved {
				f.finish(h, 1000)
			}
			f.start(h)
			for f.reserve(h, 1000, true) == quota.Reserved {
				f.finish(h, 1000)
			}
			Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
		})
	})

	Context("a lowered quota", func() {
		// Guards against consumption beyond a quota that is lowered while holders
		// have grants of the old one.
		It("is enforced by all holders that know it", func() {
			f := newFleet(3, 300_000)
			for _, h := range f.holders {
				Expect(f.reserveOrBorrow(h, 20_000)).To(Equal(quota.Reserved))
				f.finish(h, 20_000)
				f.sync(h, arrived)
			}
			f.limit, f.configVersion = 70_000, 2
			for _, h := range f.holders {
				h.allocator.SetLimits(f.configVersion, []quota.Limit{{Workspace: workspace, Tokens: f.limit}})
			}
			for range 50 {
				for _, h := range f.holders {
					if f.reserve(h, 1000, true) == quota.Reserved {
						f.finish(h, 1000)
					}
				}
				f.advance(500 * time.Millisecond)
			}
			Expect(f.totalSpent()).To(BeNumerically("<=", f.limit))
			Expect(f.totalSpent()).To(BeNumerically(">", 60_000), "what is left is served")
		})
	})

	DescribeTable("decision on a request",
		func(limit, tokens int64, want quota.Decision) {
			f := newFleet(1, limit)
			f.sync(f.holders[0], arrived)
			Expect(f.reserve(f.holders[0], tokens, true)).To(Equal(want))
		},
		Entry("it fits", int64(10_000), int64(9_000), quota.Reserved),
		Entry("it is larger than the quota", int64(10_000), int64(11_000), quota.Exhausted),
		Entry("the quota is zero", int64(0), int64(1), quota.Exhausted),
	)

	It("does not limit a workspace without a quota", func() {
		al := quota.New("p", "h", "1", quota.Defaults())
		Expect(al.Reserve("other", 1, time.Unix(0, 0))).To(Equal(quota.Unlimited))
	})

	DescribeTable("errors name the setting that is out of range",
		func(change func(*quota.Settings), name string) {
			s := quota.Defaults()
			change(&s)
			Expect(s.Validate()).To(MatchError(ContainSubstring(name)))
		},
		Entry("horizon", func(s *quota.Settings) { s.Horizon = 0 }, "horizon"),
		Entry("sync_every", func(s *quota.Settings) { s.SyncEvery = -1 }, "sync_every"),
	)
})
