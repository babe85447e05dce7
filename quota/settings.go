package quota

import (
	"time"
)

// Settings are the parameters of grants and syncs.
type Settings struct {
	Parts                 int           // of the table; the same in all processes
	Horizon               time.Duration // time whose demand a grant covers
	DemandTimeConstant    time.Duration // of the exponentially weighted demand
	WindowTime            time.Duration // time whose demand may be consumed ahead of the recorded consumption
	AmpleTime             time.Duration // a quota that lasts longer at the current demand is ample, else scarce
	MinAmpleWindowShare   float64       // as MinWindowShare, while the quota is ample
	ReleaseDelay          time.Duration // a holder cut off from the store for longer may consume beyond its window
	ReleaseFactor         float64       // after the delay, the multiple of its demand that a holder may consume
	ReleaseTime           time.Duration // after the delay, at least the balance divided by it is released in each second
	ReleaseFor            time.Duration // after the delay, for how long tokens are released; what is left is closed until the holder writes its row again
	MinWindowShare        float64       // share of the remaining quota that the windows of all homes span at least, within their balances
	MinBalanceShare       float64       // share of the remaining quota that the minimum balances of all homes may span
	GrantedShare          float64       // share of the remaining quota that may be granted to all homes together
	HomesPerWorkspace     int           // holders that keep a workspace's granted tokens; the same in all processes
	RefillBelow           float64       // share of the wanted balance below which the grant is raised to it
	ReturnAbove           float64       // multiple of the wanted balance above which the excess is returned
	MinBalance            int64         // tokens that a home keeps granted and unspent; bounded by MinBalanceShare and GrantedShare
	LiveFor               time.Duration // a holder whose row is older does not count as live
	FreshFor              time.Duration // with rows older than this, no quota counts as exhausted; lengthened by many holders, as ListEvery
	ExhaustedFreshFor     time.Duration // a quota counts as exhausted by rows and reports of lenders that are no older
	SyncEvery             time.Duration // interval between syncs while tokens are consumed
	IdleEvery             time.Duration // interval between syncs while idle; below LiveFor, so that idle holders count as live
	UrgentEvery           time.Duration // interval between syncs while a request waits
	TxInterval            time.Duration // between the transactions of all holders in a part: the inverse of its transaction rate
	ListEvery             time.Duration // interval between reads of all rows
	HoldersPerListFactor  int           // with more holders, the interval between reads of all rows is multiplied by holders/HoldersPerListFactor; that of urgent reads by its square
	InsufficientListEvery time.Duration // least interval between reads while requests find too little granted
	UnknownPeerEvery      time.Duration // least interval between reads while peers with unknown certificates are met; doubles with each read
	RetryAfter            time.Duration // sent to callers whose request was refused although the quota is not exhausted
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Parts: 4, Horizon: 15 * time.Second, DemandTimeConstant: 6 * time.Second, WindowTime: 1500 * time.Millisecond, AmpleTime: time.Minute, MinAmpleWindowShare: 0.08, MinWindowShare: 0.05, MinBalanceShare: 0.5, HomesPerWorkspace: 3,
		ReleaseDelay: 1500 * time.Millisecond, ReleaseFactor: 1.5, ReleaseTime: 12 * time.Second, ReleaseFor: 6 * time.Second, GrantedShare: 0.9, RefillBelow: 0.8, ReturnAbove: 1.5,
		MinBalance: 100_000, LiveFor: 15 * time.Second, FreshFor: 3 * time.Second, ExhaustedFreshFor: 2 * time.Second, SyncEvery: 700 * time.Millisecond, IdleEvery: 4 * time.Second,
		UrgentEvery: 30 * time.Millisecond, TxInterval: 3 * time.Millisecond, ListEvery: 2 * time.Second, HoldersPerListFactor: 20, InsufficientListEvery: 200 * time.Millisecond, UnknownPeerEvery: 100 * time.Millisecond, RetryAfter: 500 * time.Millisecond}
}

// Validate reports the first of the settings listed here that is not positive.
// It does not check the others.
func (s Settings) Validate() error {
	if s.Parts < 1 {
		return &SettingError{Name: "parts"}
	}
	if s.HomesPerWorkspace < 1 {
		return &SettingError{Name: "homes_per_workspace"}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"horizon", s.Horizon}, {"demand_time", s.DemandTimeConstant}, {"release_time", s.ReleaseTime}, {"release_for", s.ReleaseFor}, {"live_for", s.LiveFor},
		{"fresh_for", s.FreshFor}, {"sync_every", s.SyncEvery}, {"idle_every", s.IdleEvery}, {"list_every", s.ListEvery}, {"short_every", s.InsufficientListEvery}} {
		if d.value <= 0 {
			return &SettingError{Name: d.name}
		}
	}
	return nil
}

// SettingError reports a setting that is not positive.
type SettingError struct{ Name string }

func (e *SettingError) Error() string { return "quota." + e.Name + ": must be positive" }
