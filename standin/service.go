package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Service stands in for a plain service that takes bookings. It runs every
// call that reaches it: it records idempotency keys but does not deduplicate by
// them. Routes:
//
//	POST /bookings, POST /deposits   not idempotent
//	GET  /schedules                  idempotent
//	GET  /runs                       ServiceRecord
//	POST /faults                     JSON array of TargetFault, replaces all faults
//	POST /version                    {"version"}
type Service struct {
	options serviceOptions
	server  *targetServer
	faults  targetFaults

	mu      sync.Mutex
	version string
	running int
	record  ServiceRecord
}

// ServiceRun is one executed call.
type ServiceRun struct {
	IdempotencyKey string `json:"idempotency_key"`
	RequestID      string `json:"request_id"`
	Route          string `json:"route"`
	Version        string `json:"version"`
}

// ServiceRecord lists and counts the calls that a service has received and run.
type ServiceRecord struct {
	Runs       []ServiceRun   `json:"runs"`
	ByKey      map[string]int `json:"by_key"` // runs by idempotency key
	Received   int            `json:"received"`
	MaxRunning int            `json:"max_running"`
}

type serviceOptions struct {
	port    uint16
	slots   int
	latency time.Duration
	version string
	seed    int64
	clock   clockwork.Clock
	faults  []TargetFault
}

// ServiceOption configures a Service.
type ServiceOption func(*serviceOptions)

// WithServicePort sets the port. The default 0 picks a free one.
func WithServicePort(port uint16) ServiceOption { return func(o *serviceOptions) { o.port = port } }

// WithServiceCapacity sets the number of concurrent calls above which all calls
// get slower. Above twice that number, calls are refused with 503. The default
// is 64.
func WithServiceCapacity(slots int) ServiceOption {
	return func(o *serviceOptions) { o.slots = slots }
}

// WithServiceLatency sets the processing time of a call. The default is 0.
func WithServiceLatency(d time.Duration) ServiceOption {
	return func(o *serviceOptions) { o.latency = d }
}

// WithServiceVersion sets the version at the start. The default is "v1".
func WithServiceVersion(version string) ServiceOption {
	return func(o *serviceOptions) { o.version = version }
}

// WithServiceSeed sets the seed of the choice of the calls that a fault affects.
func WithServiceSeed(seed int64) ServiceOption { return func(o *serviceOptions) { o.seed = seed } }

// WithServiceClock sets the clock. The default is the real one.
func WithServiceClock(clock clockwork.Clock) ServiceOption {
	return func(o *serviceOptions) { o.clock = clock }
}

// WithServiceFaults sets the faults at the start.
func WithServiceFaults(faults ...TargetFault) ServiceOption {
	return func(o *serviceOptions) { o.faults = faults }
}

// NewService starts a service on 127.0.0.1.
func NewService(opts ...ServiceOption) (*Service, error) {
	o := serviceOptions{slots: 64, version: "v1", seed: 1, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(&o)
	}
	s := &Service{options: o, version: o.version, record: ServiceRecord{ByKey: map[string]int{}}}
	s.faults.random = rand.New(rand.NewSource(o.seed))
	s.faults.replace(o.faults, o.clock.Now())
	r := router.New()
	r.POST("/bookings", s.serveCall)
	r.POST("/deposits", s.serveCall)
	r.GET("/schedules", s.serveCall)
	r.GET("/runs", func(ctx *fasthttp.RequestCtx) { writeTargetJSON(ctx, fasthttp.StatusOK, s.Record()) })
	r.POST("/faults", func(ctx *fasthttp.RequestCtx) { s.faults.serveFaults(ctx, o.clock.Now()) })
	r.POST("/version", s.setVersion)
	var err error
	if s.server, err = newTargetServer("service", o.port, r.Handler); err != nil {
		return nil, fmt.Errorf("standin.NewService: %w", err)
	}
	return s, nil
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() netip.AddrPort { return s.server.addr() }

// URL returns the URL of the service.
func (s *Service) URL() string { return "http://" + s.Addr().String() }

// Close closes all connections and stops the service.
func (s *Service) Close() error {
	if err := s.server.close(); err != nil {
		return fmt.Errorf("standin.Service.Close: %w", err)
	}
	return nil
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults ...TargetFault) {
	s.faults.replace(faults, s.options.clock.Now())
}

// SetVersion changes the version.
func (s *Service) SetVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// Record returns a copy of the record so far.
func (s *Service) Record() ServiceRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record
	record.Runs, record.ByKey = slices.Clone(record.Runs), maps.Clone(record.ByKey)
	return record
}

// Runs returns the calls that have run.
func (s *Service) Runs() []ServiceRun { return s.Record().Runs }

// ServiceAnswerBody returns the body of a service's answer to a call: the route,
// the idempotency key, the version, and the xxHash64 of the call's body in
// hexadecimal.
func ServiceAnswerBody(route, key, version string, body []byte) []byte {
	answer, err := json.Marshal(map[string]string{
		"route": route, "key": key, "version": version, "digest": fmt.Sprintf("%016x", xxhash.Sum64(body)),
	})
	if err != nil {
		panic(err) // strings are always valid JSON values
	}
	return answer
}

func (s *Service) serveCall(ctx *fasthttp.RequestCtx) {
	route, key := string(ctx.Path()), string(ctx.Request.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	s.record.Received++
	s.running++
	version, load := s.version, float64(s.running)/float64(max(1, s.options.slots))
	s.record.MaxRunning = max(s.record.MaxRunning, s.running)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	if load > overloadLimit {
		writeTargetError(ctx, fasthttp.StatusServiceUnavailable, "overloaded", "the service is over its capacity")
		return
	}
	effect := s.faults.chooseEffect(version, route, load, s.options.clock.Now())
	if effect.status != 0 {
		writeTargetError(ctx, effect.status, "server_error", "fault")
		return
	}
	if effect.closeBefore {
		_ = ctx.Conn().Close()
		return
	}
	overload := max(1, load)
	duration := effect.delay + time.Duration(float64(s.options.latency)*effect.slowFactor*overload*overload)
	if effect.hang || duration > 0 {
		disconnected := s.server.watchDisconnect(ctx)
		if effect.hang {
			<-disconnected
			return
		}
		timer := s.options.clock.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-s.server.closed:
			return
		}
	}
	s.mu.Lock()
	if len(s.record.Runs) >= maxTargetRuns {
		s.record.Runs = slices.Delete(s.record.Runs, 0, maxTargetRuns/2)
	}
	s.record.Runs = append(s.record.Runs, ServiceRun{
		IdempotencyKey: key, RequestID: string(ctx.Request.Header.Peek("X-Request-Id")), Route: route, Version: version,
	})
	s.record.ByKey[key]++
	s.mu.Unlock()
	if effect.closeAfter {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(ServiceAnswerBody(route, key, version, ctx.PostBody()))
}

func (s *Service) setVersion(ctx *fasthttp.RequestCtx) {
	var body struct {
		Version string `json:"version"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		writeTargetError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	s.SetVersion(body.Version)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
