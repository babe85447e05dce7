package caller

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// refusalLogInterval is the least time between two log lines of one reason. Callers
// choose how often they are refused.
const refusalLogInterval = time.Second

// refusals counts the requests and connections that were refused before a handler
// saw them, and logs them.
type refusals struct {
	metrics *metrics.Set
	log     log.Interface

	mu     sync.Mutex
	logged map[string]time.Time
	since  map[string]int // refusals that were not logged
}

func newRefusals(set *metrics.Set, l log.Interface) *refusals {
	return &refusals{metrics: set, log: l, logged: map[string]time.Time{}, since: map[string]int{}}
}

func (r *refusals) record(reason string) {
	r.metrics.GetOrCreateCounter(`briarreach_callers_refused_total{reason="` + reason + `"}`).Inc()
	now := time.Now()
	r.mu.Lock()
	r.since[reason]++
	n := r.since[reason]
	due := now.Sub(r.logged[reason]) >= refusalLogInterval
	if due {
		r.logged[reason], r.since[reason] = now, 0
	}
	r.mu.Unlock()
	if due {
		r.log.WithField("reason", reason).WithField("count", n).Warn("callers refused")
	}
}

// tooManyConnections is the response on a connection that is closed because there are
// too many.
func tooManyConnections() []byte {
	body := NewRefusal(http.StatusServiceUnavailable, Overloaded, "too many connections").JSON()
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
