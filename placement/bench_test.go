package placement_test

import (
	"fmt"
	"testing"
	"time"

	"briarreach/placement"
	"briarreach/replica"
)

// A decision with the estimates must take at most twice the time of one without.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{120, 600} {
		for _, with := range []bool{false, true} {
			b.Run(fmt.Sprintf("replicas=%d/speeds=%t", n, with), func(b *testing.B) {
				list := make([]replica.Replica, n)
				speeds := make([]float64, n)
				for i := range list {
					list[i], speeds[i] = replica.Replica{ID: fmt.Sprint("engine-", i), Service: "s", Slots: 64}, 1+float64(i%3)/10
				}
				var opts []placement.Option
				if with {
					opts = append(opts, placement.WithSpeeds(learned(list, 42_800, speeds...)))
				}
				p, r, now := placement.New(placement.Defaults(), nil, opts...), newRand(), start
				p.SetReplicas(list)
				req := placement.Request{SharedParts: placement.HashParts([]string{"a", "b"}, []int{300, 268}), UniqueTokens: 1800, Streaming: true, TargetLatency: 500 * time.Millisecond, MaxEventGap: 250 * time.Millisecond}
				b.ReportAllocs()
				for b.Loop() {
					// Tens of requests per second.
					now = now.Add(30 * time.Millisecond)
					c, _ := p.Choose(req, list, now, r)
					p.RecordFirstEvent(c, now.Add(50*time.Millisecond))
					p.Done(c, placement.Served, now.Add(50*time.Millisecond))
				}
			})
		}
	}
}
