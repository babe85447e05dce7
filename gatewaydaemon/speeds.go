package gatewaydaemon

import (
	"briarreach/replicaspeed"
)

// speedExchange exchanges what gateways learn of the speeds of replicas.
type speedExchange struct {
	speeds *replicaspeed.Speeds
}

// newSpeedExchange returns nil if the speeds are not estimated.
func newSpeedExchange(t Tuning) *speedExchange {
	if !t.LearnSpeed {
		return nil
	}
	return &speedExchange{speeds: replicaspeed.New(t.Speed)}
}
