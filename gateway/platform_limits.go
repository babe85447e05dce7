package gateway

import "time"

// PlatformLimits are the limits that the platform sets for the fleet.
type PlatformLimits struct {
	DrainTimeout       time.Duration // how long a draining replica still serves requests
	GracePeriod        time.Duration // from SIGTERM to SIGKILL
	ConfigApplyTimeout time.Duration // within which a new configuration must be in force
	AddressReuseDelay  time.Duration // from the end of a replica to the reuse of its address
	RetriesPerRequest  float64       // over RetryWindow
	RetryWindow        time.Duration
	ExtraRetries       float64       // retries beyond RetriesPerRequest in one window, of all processes together
	EvacuationTimeout  time.Duration // within which nothing more reaches the replicas of an evacuated failure domain
	ColdOvershoot      float64       // a cold replica gets no more than this multiple of what it takes per second,
	ColdSlack          float64       // and so many requests more, in any second and from all processes together
}
