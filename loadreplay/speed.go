package loadreplay

import (
	"math/rand/v2"
	"time"
)

// SpeedClass is a share of the replicas with the same speed. Speed 1 is that of the
// parameters in EngineModel; at speed 0.5 each step and each prefill takes twice as
// long.
type SpeedClass struct{ Share, Speed float64 }

// SlowMoments makes each replica slower at random moments. They are independent of
// the load and of the other replicas.
type SlowMoments struct {
	TimeShare float64 // share of the time in which a replica is slow
	Factor    float64 // how much slower it is then
	Length    time.Duration
}

// replicaSpeed is the speed of a replica over time.
type replicaSpeed struct {
	nominal  float64
	slowdown float64 // by the pattern; 1 is none
	moments  SlowMoments
	rnd      *rand.Rand
	slow     bool          // in a random slow moment
	changeAt time.Duration // of slow
}

// newReplicaSpeeds returns the speeds of a model's replicas. They depend only on the
// model and the seed, so that all policies meet the same replicas.
func newReplicaSpeeds(m EngineModel, seed uint64) []*replicaSpeed {
	speeds := make([]*replicaSpeed, m.Replicas)
	for i := range speeds {
		speeds[i] = &replicaSpeed{nominal: 1, slowdown: 1, moments: m.SlowMoments, rnd: rand.New(rand.NewPCG(seed, 1000+uint64(i)))}
		speeds[i].changeAt = speeds[i].untilSlow()
	}
	order := rand.New(rand.NewPCG(seed, 11)).Perm(m.Replicas)
	share, next := 0.0, 0
	for _, c := range m.Speeds {
		share += c.Share
		for ; next < int(share*float64(m.Replicas)+0.5) && next < m.Replicas; next++ {
			speeds[order[next]].nominal = c.Speed
		}
	}
	return speeds
}

// meanPrefillRate returns the prefill rate of the mean replica over time.
func (m EngineModel) meanPrefillRate() float64 {
	speed, rest := 0.0, 1.0
	for _, c := range m.Speeds {
		speed, rest = speed+c.Share*c.Speed, rest-c.Share
	}
	speed += rest
	if share := m.SlowMoments.TimeShare; share > 0 {
		speed *= 1 - share + share/m.SlowMoments.Factor
	}
	return m.PrefillRate * speed
}

// untilSlow returns the time from the end of a slow moment to the next one.
func (s *replicaSpeed) untilSlow() time.Duration {
	if s.moments.TimeShare <= 0 {
		return 0
	}
	mean := float64(s.moments.Length) * (1 - s.moments.TimeShare) / s.moments.TimeShare
	return time.Duration(s.rnd.ExpFloat64() * mean)
}

// at returns the speed at a time that doesn't decrease from call to call.
func (s *replicaSpeed) at(now time.Duration) float64 {
	if s.moments.TimeShare > 0 {
		for now >= s.changeAt {
			s.slow = !s.slow
			if s.slow {
				s.changeAt += s.moments.Length
			} else {
				s.changeAt += s.untilSlow()
			}
		}
	}
	speed := s.nominal / s.slowdown
	if s.slow {
		speed /= s.moments.Factor
	}
	return speed
}
