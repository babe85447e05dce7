package gateway

import "time"

// PlatformLimits are the figures that the platform holds the fleet to.
type PlatformLimits struct {
	DrainTimeout       time.Duration // how long a draining replica still serves
	GracePeriod        time.Duration // from SIGTERM to SIGKILL
	ConfigApplyTimeout time.Duration // by when a configuration is in force
	AddressReuseDelay  time.Duration // from a replica's end to the reuse of its address
	RetryRatio         float64       // repeats per request, over RetryWindow
	RetryWindow        time.Duration
	RetrySlack         float64 // repeats beyond the ratio in one window, of all processes
}
