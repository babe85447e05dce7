package gatewaydaemon

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/quarantine"
	"briarreach/quota"
	"briarreach/settings"
)

// Tuning holds the settings that an operator can change in the tuning file. The
// platform's settings (platform.Settings) are in another file.
type Tuning struct {
	Gateway    gateway.Settings
	Placement  placement.Settings
	Quota      quota.Settings
	Quarantine quarantine.Settings
	Callers    CallerTuning
}

// DefaultTuning returns the settings that apply without a file.
func DefaultTuning() Tuning {
	return Tuning{Gateway: gateway.Defaults(), Placement: placement.Defaults(), Quota: quota.Defaults(), Quarantine: quarantine.Defaults(), Callers: defaultCallerTuning()}
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
	c.duration("quota.horizon", f.Quota.Horizon, &t.Quota.Horizon)
	c.number("quota.granted_part", f.Quota.GrantedShare, &t.Quota.GrantedShare, 0.01, 1)
	c.duration("quota.sync_every", f.Quota.SyncEvery, &t.Quota.SyncEvery)
	c.integer("quota.homes_per_workspace", f.Quota.Homes, &t.Quota.HomesPerWorkspace, 1, 64)
	c.integer("quarantine.crashes", f.Quarantine.Crashes, &t.Quarantine.Crashes, 2, t.Quarantine.ManyCrashes)
	c.duration("quarantine.request_coincidence", f.Quarantine.RequestCoincidence, &t.Quarantine.RequestCoincidence)
	c.duration("quarantine.sound_after", f.Quarantine.SoundAfter, &t.Quarantine.SoundAfter)
	c.duration("quarantine.duration", f.Quarantine.Duration, &t.Quarantine.Duration)
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
	if from == nil {
		return
	}
	if !from.Valid() || from.Duration < minDuration || from.Duration > maxDuration {
		c.fail(key, "a duration from 1ms to 1h")
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
