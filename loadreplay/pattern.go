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

// Pattern is a load, with what replicas do during it.
type Pattern struct {
	Name             string
	Requests         []Request
	Outages          []Outage
	Pauses           []Pause
	Departures       []Departure
	ImmediateRetries int // how often a refused caller retries at once instead of after the given delay
}

// requestKind is a kind of request in generated loads. The kinds are those of
// an installation with long drafts, briefs and chats.
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

var requestMix = []requestKind{
	{"draft", 19.7, 6300, 2890, 17, 1, 800 * time.Millisecond, 6 * time.Second, 40},
	{"brief", 24, 568, 1800, 8, 0, 600 * time.Millisecond, 4 * time.Second, 60},
	{"chat", 17, 172, 543, 91, 2, 500 * time.Millisecond, 15 * time.Second, 80},
}

const (
	loadLength        = 30 * time.Second
	maxEventGap       = 400 * time.Millisecond
	workspaceCount    = 10
	disturbanceStart  = 8 * time.Second
	disturbanceLength = 5 * time.Second
	// departureServeTime is how long a replica that leaves still serves.
	departureServeTime = 3 * time.Second
)

// PatternNames are the names that Generate accepts.
var PatternNames = []string{"calm", "burst", "hot_key", "hot_tenant", "quarter_gone", "retry_storm", "long_prompts", "overload", "pause", "departure"}

// UnknownPatternError reports a name that Generate does not know.
type UnknownPatternError struct{ Name string }

func (e *UnknownPatternError) Error() string {
	return fmt.Sprintf("load pattern %q: accepted are %v", e.Name, PatternNames)
}

// Generate returns a load of 30 s with the named disturbance from second 8 to
// 13.
func Generate(name string, seed uint64) (*Pattern, error) {
	if !slices.Contains(PatternNames, name) {
		return nil, &UnknownPatternError{Name: name}
	}
	p := &Pattern{Name: name}
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, k := range requestMix {
		for at := time.Duration(0); at < loadLength; {
			disturbed := at >= disturbanceStart && at < disturbanceStart+disturbanceLength
			rate := k.perSecond
			hotSubject, hotWorkspace := false, false
			if disturbed {
				switch name {
				case "burst":
					rate *= 2
				case "overload":
					rate *= 2.5
				case "retry_storm":
					rate *= 1.5
				case "hot_key":
					hotSubject = rnd.Float64() < 0.5
				case "hot_tenant":
					rate *= 1.6
					hotWorkspace = rnd.Float64() < 0.4
				case "long_prompts":
					if k.name == "draft" {
						rate *= 2
					}
				}
			}
			at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
			p.Requests = append(p.Requests, k.request(at, rnd, hotSubject, hotWorkspace))
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
	}
	slices.SortFunc(p.Requests, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return p, nil
}

func (k requestKind) request(at time.Duration, rnd *rand.Rand, hotSubject, hotWorkspace bool) Request {
	// A few subjects and workspaces get most of the requests.
	skewed := func(n int) int { return int(float64(n) * math.Pow(rnd.Float64(), 2)) }
	subject, workspace := skewed(k.subjects), skewed(workspaceCount)
	if hotSubject {
		subject = 0
	}
	if hotWorkspace {
		workspace = 0
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
