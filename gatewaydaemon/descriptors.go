package gatewaydaemon

import (
	"math"
	"syscall"

	"briarreach/platform"
)

// Division of the process's descriptors. A request in progress has one connection to
// its caller and one to a replica.
const (
	reservedDescriptors = 400 // for files, the store, other gateways and readiness checks
	callerShare         = 0.4 // of the others, for connections of callers
	idleReplicaShare    = 0.2 // for idle connections to replicas
	minConnections      = 16  // of each kind, however few descriptors there are
)

// descriptors is how many descriptors each kind of connection may use.
type descriptors struct {
	limit        int
	callers      int
	idleReplicas int
}

// newDescriptors divides the limit of the settings or, if they have none, that of the
// process.
func newDescriptors(s *platform.Settings) descriptors {
	limit := s.FileDescriptors
	if limit <= 0 {
		var r syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
			r.Cur = math.MaxInt32
		}
		limit = int(r.Cur)
	}
	free := float64(max(limit-reservedDescriptors, 0))
	return descriptors{limit: limit, callers: max(int(free*callerShare), minConnections), idleReplicas: max(int(free*idleReplicaShare), minConnections)}
}
