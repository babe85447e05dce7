package move_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"briarreach/move"
)

// BenchmarkGuard measures the time of one observed request, and the size of a
// digest with five routes at three load levels. A digest is sent every 2 s, and
// a daemon's control traffic must stay below 8 KB/s.
func BenchmarkGuard(b *testing.B) {
	random := rand.New(rand.NewSource(1))
	g := move.NewGuard("a", "1", running(200_000))
	now := moveStart
	size := 0
	for i := range b.N {
		now = now.Add(2 * time.Millisecond)
		g.Observe(g.PickVersion(false, now, random), routeNames[i%routeCount], i/1000%3, time.Duration(50+random.Intn(50))*time.Millisecond, i%200 == 0, now)
		if i%1000 == 0 {
			data, err := cbor.Marshal(g.Digest(now))
			if err != nil {
				b.Fatal(err)
			}
			size = max(size, len(data))
		}
	}
	b.ReportMetric(float64(size), "bytes/digest")
}
