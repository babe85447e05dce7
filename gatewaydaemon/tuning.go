package gatewaydaemon

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"briarreach/gateway"
	"briarreach/overload"
	"briarreach/placement"
	"briarreach/quarantine"
	"briarreach/quota"
	"briarreach/replicaspeed"
	"briarreach/settings"
)

// Tuning holds the settings that an operator can change in the tuning file. The
// platform's settings (platform.Settings) are in another file.
type Tuning struct {
	Gateway    gateway.Settings
	Placement  placement.Settings
	LearnSpeed bool // estimate the speeds of replicas
	Speed      replicaspeed.Settings
	Quota      quota.Settings
	Quarantine quarantine.Settings
	Overload   overload.Settings
	Replicas   ReplicaTuning
	Callers    CallerTuning
}

// ReplicaTuning switches how the gateway treats the replicas.
type ReplicaTuning struct {
	FollowEvacuations bool // whether nothing is sent to the replicas of evacuated failure domains
	PaceCold          bool // whether the requests to cold replicas are paced
}

// DefaultTuning returns the settings that apply without a file.
func DefaultTuning() Tuning {
	return Tuning{Gateway: gateway.Defaults(), Placement: placement.Defaults(), Speed: replicaspeed.Defaults(), Quota: quota.Defaults(), Quarantine: quarantine.Defaults(), Overload: overload.Defaults(),
		Replicas: ReplicaTuning{FollowEvacuations: true, PaceCold: true}, Callers: defaultCallerTuning()}
}

// tuningFile is the layout of the tuning file. Keys that are absent keep their
// defaults.
type tuningFile struct {
	Gateway struct {
		SilenceTimeout *settings.Duration `toml:"silence_timeout"`
		StaleAfter     *settings.Duration `toml:"stale_after"`
		MaxEventBytes  *int               `toml:"max_event_bytes"`
	} `toml:"gateway"`
	Placement struct {
		LoadFactor      *float64           `toml:"load_factor"`
		EjectFor        *settings.Duration `toml:"eject_for"`
		EjectLimit      *settings.Duration `toml:"eject_limit"`
		SilentAfter     *settings.Duration `toml:"silent_after"`
		MaxEjectedShare *float64           `toml:"max_ejected"`
		LateFactor      *float64           `toml:"overload_late_factor"`
		IdleWaitShare   *float64           `toml:"overload_idle_part"`
		LearnSpeed      *bool              `toml:"learn_speed"`
		SpeedMemory     *settings.Duration `toml:"speed_memory"`
	} `toml:"placement"`
	Quota struct {
		Horizon      *settings.Duration `toml:"horizon"`
		GrantedShare *float64           `toml:"granted_part"`
		SyncEvery    *settings.Duration `toml:"sync_every"`
		Homes        *int               `toml:"homes_per_workspace"`
	} `toml:"quota"`
	Quarantine struct {
		Crashes            *int               `toml:"crashes"`
		RequestCoincidence *settings.Duration `toml:"request_coincidence"`
		SoundAfter         *settings.Duration `toml:"sound_after"`
		Duration           *settings.Duration `toml:"duration"`
	} `toml:"quarantine"`
	Overload struct {
		NotReadyAbove *float64           `toml:"not_ready_above"`
		ReadyBelow    *float64           `toml:"ready_below"`
		CloseAbove    *float64           `toml:"close_above"`
		Smoothing     *settings.Duration `toml:"smoothing"`
		MinHold       *settings.Duration `toml:"min_hold"`
		MaxHold       *settings.Duration `toml:"max_hold"`
	} `toml:"overload"`
	Replicas struct {
		FollowEvacuations *bool `toml:"follow_evacuations"`
		PaceCold          *bool `toml:"pace_cold"`
	} `toml:"replicas"`
	Callers struct {
		MemoryShare           *float64           `toml:"memory_part"`
		StallTimeout          *settings.Duration `toml:"stall_timeout"`
		ConnectionsPerAddress *int               `toml:"connections_per_address"`
	} `toml:"callers"`
}

// TuningError reports a key of the tuning file whose value is out of range.
type TuningError struct {
	File     string
	Key      string
	Accepted string
}

func (e *TuningError) Error() string {
	return fmt.Sprintf("%s: %s: accepted is %s", e.File, e.Key, e.Accepted)
}

// LoadTuning reads a tuning file in TOML. Unknown keys are errors.
func LoadTuning(path string) (Tuning, error) {
	t := DefaultTuning()
	data, err := os.ReadFile(path)
	if err != nil {
		return t, fmt.Errorf("gatewaydaemon.LoadTuning: %w", err)
	}
	var f tuningFile
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return t, fmt.Errorf("%s: unknown key:\n%s", path, strict.String())
		}
		return t, fmt.Errorf("%s: %w", path, err)
	}
	c := rangeChecker{file: path}
	c.duration("gateway.silence_timeout", f.Gateway.SilenceTimeout, &t.Gateway.SilenceTimeout)
	c.duration("gateway.stale_after", f.Gateway.StaleAfter, &t.Gateway.StaleAfter)
	c.integer("gateway.max_event_bytes", f.Gateway.MaxEventBytes, &t.Gateway.MaxEventBytes, 1<<10, 1<<20)
	c.number("placement.load_factor", f.Placement.LoadFactor, &t.Placement.LoadFactor, 1, 100)
	c.duration("placement.eject_for", f.Placement.EjectFor, &t.Placement.EjectFor)
	c.duration("placement.eject_limit", f.Placement.EjectLimit, &t.Placement.EjectLimit)
	c.duration("placement.silent_after", f.Placement.SilentAfter, &t.Placement.SilentAfter)
	c.number("placement.max_ejected", f.Placement.MaxEjectedShare, &t.Placement.MaxEjectedShare, 0, 1)
	c.number("placement.overload_late_factor", f.Placement.LateFactor, &t.Placement.Overload.LateFactor, 0, 100)
	c.number("placement.overload_idle_part", f.Placement.IdleWaitShare, &t.Placement.Overload.IdleWaitShare, 0, 100)
	if f.Placement.LearnSpeed != nil {
		t.LearnSpeed = *f.Placement.LearnSpeed
	}
	c.durationBetween("placement.speed_memory", f.Placement.SpeedMemory, &t.Speed.Memory, 5*time.Second, 10*time.Minute)
	c.duration("quota.horizon", f.Quota.Horizon, &t.Quota.Horizon)
	c.number("quota.granted_part", f.Quota.GrantedShare, &t.Quota.GrantedShare, 0.01, 1)
	c.duration("quota.sync_every", f.Quota.SyncEvery, &t.Quota.SyncEvery)
	c.integer("quota.homes_per_workspace", f.Quota.Homes, &t.Quota.HomesPerWorkspace, 1, 64)
	c.integer("quarantine.crashes", f.Quarantine.Crashes, &t.Quarantine.Crashes, 2, t.Quarantine.ManyCrashes)
	c.duration("quarantine.request_coincidence", f.Quarantine.RequestCoincidence, &t.Quarantine.RequestCoincidence)
	c.duration("quarantine.sound_after", f.Quarantine.SoundAfter, &t.Quarantine.SoundAfter)
	c.duration("quarantine.duration", f.Quarantine.Duration, &t.Quarantine.Duration)
	c.number("overload.not_ready_above", f.Overload.NotReadyAbove, &t.Overload.NotReadyAbove, 0, 1)
	c.number("overload.ready_below", f.Overload.ReadyBelow, &t.Overload.ReadyBelow, 0, 1)
	c.number("overload.close_above", f.Overload.CloseAbove, &t.Overload.CloseAbove, 0, 1)
	c.duration("overload.min_hold", f.Overload.MinHold, &t.Overload.MinHold)
	c.duration("overload.max_hold", f.Overload.MaxHold, &t.Overload.MaxHold)
	c.duration("overload.smoothing", f.Overload.Smoothing, &t.Overload.Smoothing)
	if f.Replicas.FollowEvacuations != nil {
		t.Replicas.FollowEvacuations = *f.Replicas.FollowEvacuations
	}
	if f.Replicas.PaceCold != nil {
		t.Replicas.PaceCold = *f.Replicas.PaceCold
	}
	c.numberOrZero("callers.memory_part", f.Callers.MemoryShare, &t.Callers.MemoryShare, 0.05, 0.5)
	c.duration("callers.stall_timeout", f.Callers.StallTimeout, &t.Callers.StallTimeout)
	c.integer("callers.connections_per_address", f.Callers.ConnectionsPerAddress, &t.Callers.ConnectionsPerAddress, 0, math.MaxInt32)
	return t, c.err
}

// Range of all durations in the file.
const (
	minDuration = time.Millisecond
	maxDuration = time.Hour
)

// rangeChecker checks and copies values. It keeps the first error.
type rangeChecker struct {
	file string
	err  error
}

func (c *rangeChecker) duration(key string, from *settings.Duration, to *time.Duration) {
	c.durationBetween(key, from, to, minDuration, maxDuration)
}

func (c *rangeChecker) durationBetween(key string, from *settings.Duration, to *time.Duration, shortest, longest time.Duration) {
	if from == nil {
		return
	}
	if !from.Valid() || from.Duration < shortest || from.Duration > longest {
		c.fail(key, fmt.Sprintf("a duration from %s to %s", durationText(shortest), durationText(longest)))
		return
	}
	*to = from.Duration
}

func (c *rangeChecker) number(key string, from *float64, to *float64, lowest, highest float64) {
	if from == nil {
		return
	}
	if !(*from >= lowest && *from <= highest) {
		c.fail(key, fmt.Sprintf("a number from %g to %g", lowest, highest))
		return
	}
	*to = *from
}

// numberOrZero accepts 0 as well, which turns something off.
func (c *rangeChecker) numberOrZero(key string, from *float64, to *float64, lowest, highest float64) {
	if from == nil {
		return
	}
	if *from != 0 && !(*from >= lowest && *from <= highest) {
		c.fail(key, fmt.Sprintf("0 or a number from %g to %g", lowest, highest))
		return
	}
	*to = *from
}

func (c *rangeChecker) integer(key string, from *int, to *int, lowest, highest int) {
	if from == nil {
		return
	}
	if *from < lowest || *from > highest {
		c.fail(key, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
		return
	}
	*to = *from
}

func (c *rangeChecker) fail(key, accepted string) {
	if c.err == nil {
		c.err = &TuningError{File: c.file, Key: key, Accepted: accepted}
	}
}

// durationText returns a duration without the zero minutes and seconds that
// time.Duration writes.
func durationText(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
