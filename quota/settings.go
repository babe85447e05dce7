package quota

import (
	"time"
)

// Settings are the figures of the grants.
type Settings struct {
	Parts              int           // parts of the table; the same in all processes
	Horizon            time.Duration // demand that a grant covers
	DemandTimeConstant time.Duration // time constant of the demand's average
	WindowTime         time.Duration // demand that may be consumed ahead of the record
	AmpleTime          time.Duration // a quota that lasts longer is not short, and RiskPart holds
	AmpleWindowPart    float64       // part of what is left of a quota that the windows of all holders may span
	ReleaseDelay       time.Duration // without the store, after which the rest of the balance is released
	ReleaseTime        time.Duration // in which it is released
	ScarceWindowPart   float64       // the same for a quota that is short
	MinGrantPart       float64       // part of what is left that the floors of all holders may span
	GrantedPart        float64       // part of what is left of a quota that all holders may hold together
	RefillBelow        float64       // part of the wanted balance below which more is drawn
	ReturnAbove        float64       // part of the wanted balance above which the rest is returned
	MinGrant           int64         // tokens that a grant has at least, while the quota is not short
	LiveFor            time.Duration // a holder whose record is older does not count
	FreshFor           time.Duration // age up to which the rows decide that a quota is exhausted
	SyncEvery          time.Duration // pause between records while tokens are consumed
	IdleEvery          time.Duration // pause between records while nothing is consumed; below LiveFor, so that idle holders count as live
	UrgentEvery        time.Duration // pause between records while a request waits
	TxInterval         time.Duration // that the store has for each transaction of all holders
	ListEvery          time.Duration // pause between readings of all rows
	ListScaleHolders   int           // holders from which on the pauses between readings of all rows grow
	ShortEvery         time.Duration // pause between readings while requests find too little granted
	RetryAfter         time.Duration // after how long a caller may come back
}

// Defaults returns the settings that hold if nothing else is said.
func Defaults() Settings {
	return Settings{Parts: 4, Horizon: 15 * time.Second, DemandTimeConstant: 6 * time.Second, WindowTime: 1500 * time.Millisecond, AmpleTime: time.Minute, AmpleWindowPart: 0.08, ScarceWindowPart: 0.05, MinGrantPart: 0.2,
		ReleaseDelay: 2 * time.Second, ReleaseTime: 6 * time.Second, GrantedPart: 0.75, RefillBelow: 0.8, ReturnAbove: 1.5,
		MinGrant: 30_000, LiveFor: 15 * time.Second, FreshFor: 3 * time.Second, SyncEvery: 700 * time.Millisecond, IdleEvery: 4 * time.Second,
		UrgentEvery: 30 * time.Millisecond, TxInterval: 3 * time.Millisecond, ListEvery: 2 * time.Second, ListScaleHolders: 20, ShortEvery: 200 * time.Millisecond, RetryAfter: 500 * time.Millisecond}
}

// Validate reports the first setting out of range.
func (s Settings) Validate() error {
	if s.Parts < 1 {
		return &SettingError{Name: "parts"}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"horizon", s.Horizon}, {"demand_time", s.DemandTimeConstant}, {"release_time", s.ReleaseTime}, {"live_for", s.LiveFor},
		{"fresh_for", s.FreshFor}, {"sync_every", s.SyncEvery}, {"idle_every", s.IdleEvery}, {"list_every", s.ListEvery}, {"short_every", s.ShortEvery}} {
		if d.value <= 0 {
			return &SettingError{Name: d.name}
		}
	}
	return nil
}

// SettingError reports a setting that is not positive.
type SettingError struct{ Name string }

func (e *SettingError) Error() string { return "quota." + e.Name + ": accepted is a positive value" }
