package loadreplay

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is one request of a load. Recorded loads are in JSON Lines format,
// with one request per line.
type Request struct {
	Arrival       time.Duration `json:"at_ns"`
	Kind          string        `json:"kind"`
	Workspace     string        `json:"workspace"`
	Subject       string        `json:"subject"`       // ID of the shared part of the prompt
	SharedTokens  int           `json:"shared_tokens"` // of the prompt; the same in all requests of the subject
	UniqueTokens  int           `json:"tail_tokens"`
	Events        int           `json:"events"`
	Priority      int           `json:"urgency"`
	TargetLatency time.Duration `json:"target_ns"` // for the first event
	MaxEventGap   time.Duration `json:"pause_ns"`  // longest time between events that counts as on time
	Timeout       time.Duration `json:"limit_ns"`  // for the whole response
}

// Outage takes a share of the replicas down; they return with empty caches.
type Outage struct {
	At, Duration time.Duration
	ReplicaShare float64
}

// Pause makes a share of the replicas reject requests, with the time that is left of
// the pause.
type Pause struct {
	At, Duration time.Duration
	ReplicaShare float64
}

// Departure makes a share of the replicas say in their answers that they leave, from
// At on. They end after ServeFor, and others take their places after Duration.
type Departure struct {
	At, ServeFor, Duration time.Duration
	ReplicaShare           float64
}

// Slowdown makes a share of the replicas slower by a factor.
type Slowdown struct {
	At, Duration         time.Duration
	ReplicaShare, Factor float64
}

// BusyGateways are a share of the gateways that gets a larger share of the requests.
type BusyGateways struct{ GatewayShare, RequestShare float64 }

// Pattern is a load, with what replicas do during it.
type Pattern struct {
	Name             string
	Requests         []Request
	Outages          []Outage
	Pauses           []Pause
	Departures       []Departure
	Slowdowns        []Slowdown
	BusyGateways     BusyGateways
	PatientCallers   bool // callers wait until their time limit
	ImmediateRetries int  // how often a refused caller retries at once instead of after the given delay
}

// requestKind is a kind of request in generated loads.
type requestKind struct {
	name                       string
	perSecond                  float64
	sharedTokens, uniqueTokens int
	events                     int
	priority                   int
	targetLatency              time.Duration
	timeout                    time.Duration
	subjects                   int
}

// longestPrompts is the kind of the requests with the longest prompts.
const longestPrompts = "draft"

const (
	loadLength        = 30 * time.Second
	workspaceCount    = 10
	disturbanceStart  = 8 * time.Second
	disturbanceLength = 5 * time.Second
	// departureServeTime is how long a replica that leaves still serves.
	departureServeTime = 3 * time.Second
	// longDisturbance is the length of the disturbances of the two new deployments.
	longDisturbance  = 6 * time.Second
	longBurstFactor  = 2.5
	slowedFactor     = 5
	slowedShare      = 0.2
	unevenShare      = 0.25
	unevenFactor     = 1.2 / 0.55 // the fast replicas of the first deployment against the slow ones
	hotWorkspaceRate = 7.5
	// hotWorkspaceIndex is a workspace of middle size: the largest one at 7.5 times its
	// load would need three times the load that the fleet is sized for.
	hotWorkspaceIndex = 4
	busyGatewayShare  = 0.2
	busyRequestShare  = 0.6
)

// PatternNames are the names that Generate accepts.
var PatternNames = []string{"calm", "burst", "hot_key", "hot_tenant", "quarter_gone", "retry_storm", "long_prompts", "overload", "pause", "departure",
	"waves", "long_burst", "hot_workspace", "uneven_servers", "slowed_server", "weak_gateways"}

// UnknownPatternError reports a name that Generate does not know.
type UnknownPatternError struct{ Name string }

func (e *UnknownPatternError) Error() string {
	return fmt.Sprintf("load pattern %q: accepted are %v", e.Name, PatternNames)
}

// Generate returns a load of 30 s of the default model with the named disturbance
// from second 8 to 13.
func Generate(name string, seed uint64) (*Pattern, error) { return DefaultModel().Generate(name, seed) }

// Generate returns a load of 30 s of the model. The named disturbance lasts from
// second 8 to 13, or to 14 in the patterns of the two new deployments; waves,
// uneven_servers and weak_gateways last all the time.
func (m Model) Generate(name string, seed uint64) (*Pattern, error) {
	if !slices.Contains(PatternNames, name) {
		return nil, &UnknownPatternError{Name: name}
	}
	p := &Pattern{Name: name, PatientCallers: m.patientCallers}
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, k := range m.mix {
		for at := time.Duration(0); at < loadLength; {
			factor, hotSubject, hotWorkspace := m.disturb(name, k, at, rnd)
			at += time.Duration(rnd.ExpFloat64() / (k.perSecond * factor) * float64(time.Second))
			p.Requests = append(p.Requests, k.request(at, rnd, m.maxEventGap, hotSubject, hotWorkspace))
		}
	}
	switch name {
	case "quarter_gone":
		p.Outages = []Outage{{At: disturbanceStart, Duration: disturbanceLength, ReplicaShare: 0.25}}
	case "overload":
		p.Outages = []Outage{{At: disturbanceStart + time.Second, Duration: disturbanceLength - time.Second, ReplicaShare: 0.3}}
	case "retry_storm":
		p.ImmediateRetries = 4
	case "pause":
		p.Pauses = []Pause{{At: disturbanceStart, Duration: disturbanceLength, ReplicaShare: 0.25}}
	case "departure":
		p.Departures = []Departure{{At: disturbanceStart, ServeFor: departureServeTime, Duration: disturbanceLength, ReplicaShare: 0.25}}
	case "uneven_servers":
		p.Slowdowns = []Slowdown{{Duration: loadLength + drainTime, ReplicaShare: unevenShare, Factor: unevenFactor}}
	case "slowed_server":
		p.Slowdowns = []Slowdown{{At: disturbanceStart, Duration: longDisturbance, ReplicaShare: slowedShare, Factor: slowedFactor}}
	case "weak_gateways":
		p.BusyGateways = BusyGateways{GatewayShare: busyGatewayShare, RequestShare: busyRequestShare}
	}
	slices.SortStableFunc(p.Requests, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return p, nil
}

// disturb returns by which factor the requests of a kind are more frequent at a time,
// and whether the next one has the hot shared part or comes from the hot workspace,
// which is noWorkspace if it doesn't.
func (m Model) disturb(name string, k requestKind, at time.Duration, rnd *rand.Rand) (factor float64, hotSubject bool, hotWorkspace int) {
	factor, hotWorkspace = 1, noWorkspace
	if name == "waves" {
		return 1 + m.waveAmplitude*math.Sin(2*math.Pi*float64(at)/float64(m.wavePeriod)), false, noWorkspace
	}
	if at < disturbanceStart || at >= disturbanceStart+longDisturbance {
		return factor, false, hotWorkspace
	}
	switch name {
	case "long_burst":
		if k.name == longestPrompts {
			factor = longBurstFactor
		}
	case "hot_workspace":
		more := (hotWorkspaceRate - 1) * skewedShare(hotWorkspaceIndex, workspaceCount)
		factor = 1 + more
		if rnd.Float64() < more/factor {
			hotWorkspace = hotWorkspaceIndex
		}
	}
	if at >= disturbanceStart+disturbanceLength {
		return factor, false, hotWorkspace
	}
	switch name {
	case "burst":
		factor = 2
	case "overload":
		factor = 2.5
	case "retry_storm":
		factor = 1.5
	case "hot_key":
		hotSubject = rnd.Float64() < 0.5
	case "hot_tenant":
		factor = 1.6
		if rnd.Float64() < 0.4 {
			hotWorkspace = 0
		}
	case "long_prompts":
		if k.name == longestPrompts {
			factor = 2
		}
	}
	return factor, hotSubject, hotWorkspace
}

// skewed returns a number below n; a few numbers get most of the requests.
func skewed(n int, rnd *rand.Rand) int { return int(float64(n) * math.Pow(rnd.Float64(), 2)) }

// skewedShare returns how often skewed returns i.
func skewedShare(i, n int) float64 {
	return math.Sqrt(float64(i+1)/float64(n)) - math.Sqrt(float64(i)/float64(n))
}

// noWorkspace stands for a workspace that is drawn at random.
const noWorkspace = -1

func (k requestKind) request(at time.Duration, rnd *rand.Rand, maxEventGap time.Duration, hotSubject bool, hotWorkspace int) Request {
	subject, workspace := skewed(k.subjects, rnd), skewed(workspaceCount, rnd)
	if hotSubject {
		subject = 0
	}
	if hotWorkspace != noWorkspace {
		workspace = hotWorkspace
	}
	size := 0.5 + rnd.ExpFloat64()*0.5
	return Request{Arrival: at, Kind: k.name, Workspace: fmt.Sprint("w", workspace), Subject: fmt.Sprint(k.name, subject),
		SharedTokens: k.sharedTokens, UniqueTokens: int(float64(k.uniqueTokens) * size), Events: max(1, int(float64(k.events)*size)), Priority: k.priority,
		TargetLatency: k.targetLatency, MaxEventGap: maxEventGap, Timeout: k.timeout}
}

// Read reads a recorded load.
func Read(name string, r io.Reader) (*Pattern, error) {
	p := &Pattern{Name: name}
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		var request Request
		if err := json.Unmarshal(scanner.Bytes(), &request); err != nil {
			return nil, fmt.Errorf("loadreplay.Read: %s:%d: %w", name, n, err)
		}
		p.Requests = append(p.Requests, request)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("loadreplay.Read: %s: %w", name, err)
	}
	slices.SortFunc(p.Requests, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return p, nil
}
