package loadreplay

import (
	"fmt"
	"slices"
	"time"
)

// Model is a deployment: its replicas, its gateways and its usual load.
type Model struct {
	Name           string
	Engine         EngineModel
	Gateways       int
	mix            []requestKind
	maxEventGap    time.Duration
	waveAmplitude  float64 // of the pattern waves, relative to the usual load
	wavePeriod     time.Duration
	patientCallers bool
}

// DefaultModel returns an installation with long drafts, briefs and chats.
func DefaultModel() Model {
	return Model{Name: "default", Engine: DefaultEngineModel(), Gateways: defaultGateways,
		mix: []requestKind{
			{longestPrompts, 19.7, 6300, 2890, 17, 1, 800 * time.Millisecond, 6 * time.Second, 40},
			{"brief", 24, 568, 1800, 8, 0, 600 * time.Millisecond, 4 * time.Second, 60},
			{"chat", 17, 172, 543, 91, 2, 500 * time.Millisecond, 15 * time.Second, 80},
		},
		maxEventGap: 400 * time.Millisecond, waveAmplitude: 0.55, wavePeriod: 15 * time.Second}
}

// FirstModel returns the first deployment of docs/design/hard-load.md. The page gives
// neither the events of the longer prompts, nor the numbers of shared parts, nor the
// time limits of the shorter prompts; they are those of the default model.
func FirstModel() Model {
	return Model{Name: "first", Gateways: 26,
		Engine: EngineModel{Replicas: 47, Slots: 64, PrefillRate: 42_800, ChunkTokens: 2048,
			// The step is nearly the same with 64 running requests: 5% longer.
			StepTime: 6350 * time.Microsecond, StepTimePerRequest: 5 * time.Microsecond,
			TokensPerEvent: 3, CacheTokens: 357_026, FirstEventLatency: time.Millisecond,
			Speeds:      []SpeedClass{{Share: 0.25, Speed: 0.55}, {Share: 0.75, Speed: 1.2}},
			SlowMoments: SlowMoments{TimeShare: 0.15, Factor: 2.5, Length: 600 * time.Millisecond}},
		mix: []requestKind{
			{longestPrompts, 79, 6300, 2890, 17, 1, 600 * time.Millisecond, 8 * time.Second, 40},
			{"brief", 106, 568, 1800, 8, 0, 500 * time.Millisecond, 4 * time.Second, 60},
			{"chat", 86, 172, 543, 82, 2, 400 * time.Millisecond, 15 * time.Second, 80},
		},
		maxEventGap: 250 * time.Millisecond, waveAmplitude: 0.55, wavePeriod: 15 * time.Second, patientCallers: true}
}

// SecondModel returns the second deployment of docs/design/hard-load.md, with the
// same additions as FirstModel. The page doesn't give the share of the faster
// replicas; it is a half.
func SecondModel() Model {
	return Model{Name: "second", Gateways: 31,
		Engine: EngineModel{Replicas: 56, Slots: 64, PrefillRate: 81_900, ChunkTokens: 2048,
			// 8.9 ms with 64 running requests.
			StepTime: 3740 * time.Microsecond, StepTimePerRequest: 81 * time.Microsecond,
			TokensPerEvent: 6, CacheTokens: 565_154, FirstEventLatency: 41 * time.Millisecond,
			Speeds: []SpeedClass{{Share: 0.5, Speed: 1}, {Share: 0.5, Speed: 1.3}}},
		mix: []requestKind{
			{longestPrompts, 289, 6300, 2890, 17, 1, time.Second, 5 * time.Second, 40},
			{"brief", 184, 568, 1800, 8, 0, 400 * time.Millisecond, 4 * time.Second, 60},
			{"chat", 114, 172, 543, 47, 2, 250 * time.Millisecond, 15 * time.Second, 80},
		},
		maxEventGap: 300 * time.Millisecond, waveAmplitude: 0.15, wavePeriod: 11 * time.Second, patientCallers: true}
}

// UnknownModelError reports a name that ModelByName does not know.
type UnknownModelError struct{ Name string }

func (e *UnknownModelError) Error() string {
	return fmt.Sprintf("model %q: accepted are default, first and second", e.Name)
}

// ModelByName returns the model default, first or second.
func ModelByName(name string) (Model, error) {
	for _, m := range []Model{DefaultModel(), FirstModel(), SecondModel()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Model{}, &UnknownModelError{Name: name}
}

// Scaled returns the model with another number of replicas, and load and gateways in
// proportion. There are at least two gateways.
func (m Model) Scaled(replicas int) Model {
	factor := float64(replicas) / float64(m.Engine.Replicas)
	m.Engine.Replicas = replicas
	m.Gateways = max(int(float64(m.Gateways)*factor+0.5), 2)
	m.mix = slices.Clone(m.mix)
	for i := range m.mix {
		m.mix[i].perSecond *= factor
	}
	return m
}
