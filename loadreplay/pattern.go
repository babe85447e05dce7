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

// Request is one request of a load. Its JSON form, one object a line, is the
// format of recorded loads.
type Request struct {
	Arrival       time.Duration `json:"at_ns"`
	Kind          string        `json:"kind"`
	Workspace     string        `json:"workspace"`
	Subject       string        `json:"subject"`       // names the shared part of the prompt
	SharedTokens  int           `json:"shared_tokens"` // of the prompt, shared by the requests of the subject
	UniqueTokens  int           `json:"tail_tokens"`
	Events        int           `json:"events"`
	Priority      int           `json:"urgency"`
	TargetLatency time.Duration `json:"target_ns"` // of the first event
	MaxEventGap   time.Duration `json:"pause_ns"`  // longest between events
	Timeout       time.Duration `json:"limit_ns"`  // how long the caller waits for the whole answer
}

// Outage takes a part of the replicas away; they come back with empty caches.
type Outage struct {
	At, Duration time.Duration
	ReplicaShare float64
}

// Pattern is a load and what happens to the replicas meanwhile.
type Pattern struct {
	Name             string
	Requests         []Request
	Outages          []Outage
	ImmediateRetries int // how often a caller repeats at once when it is refused, against waiting as told
}

// kind is a kind of request of the generated loads: the mix of an installation
// with long plans, briefs and chats.
type kind struct {
	name         string
	perSecond    float64
	shared, tail int
	events       int
	urgency      int
	target       time.Duration
	limit        time.Duration
	subjects     int
}

var mix = []kind{
	{"draft", 19.7, 6300, 2890, 17, 1, 800 * time.Millisecond, 6 * time.Second, 40},
	{"brief", 24, 568, 1800, 8, 0, 600 * time.Millisecond, 4 * time.Second, 60},
	{"chat", 17, 172, 543, 91, 2, 500 * time.Millisecond, 15 * time.Second, 80},
}

const (
	loadLength    = 30 * time.Second
	longestPause  = 400 * time.Millisecond
	workspaces    = 10
	troubleAt     = 8 * time.Second
	troubleLength = 5 * time.Second
)

// PatternNames are the names that Generate takes.
var PatternNames = []string{"calm", "burst", "hot_key", "hot_tenant", "quarter_gone", "retry_storm", "long_prompts", "overload"}

// UnknownPatternError reports a name that Generate does not know.
type UnknownPatternError struct{ Name string }

func (e *UnknownPatternError) Error() string {
	return fmt.Sprintf("load pattern %q: accepted are %v", e.Name, PatternNames)
}

// Generate makes a load of 30 s with the named trouble from second 8 to 13.
func Generate(name string, seed uint64) (*Pattern, error) {
	if !slices.Contains(PatternNames, name) {
		return nil, &UnknownPatternError{Name: name}
	}
	p := &Pattern{Name: name}
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, k := range mix {
		for at := time.Duration(0); at < loadLength; {
			trouble := at >= troubleAt && at < troubleAt+troubleLength
			rate := k.perSecond
			hotKey, hotTenant := false, false
			if trouble {
				switch name {
				case "burst":
					rate *= 2
				case "overload":
					rate *= 2.5
				case "retry_storm":
					rate *= 1.5
				case "hot_key":
					hotKey = rnd.Float64() < 0.5
				case "hot_tenant":
					rate *= 1.6
					hotTenant = rnd.Float64() < 0.4
				case "long_prompts":
					if k.name == "draft" {
						rate *= 2
					}
				}
			}
			at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
			p.Requests = append(p.Requests, k.request(at, rnd, hotKey, hotTenant))
		}
	}
	switch name {
	case "quarter_gone":
		p.Outages = []Outage{{At: troubleAt, Duration: troubleLength, ReplicaShare: 0.25}}
	case "overload":
		p.Outages = []Outage{{At: troubleAt + time.Second, Duration: troubleLength - time.Second, ReplicaShare: 0.3}}
	case "retry_storm":
		p.ImmediateRetries = 4
	}
	slices.SortFunc(p.Requests, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return p, nil
}

func (k kind) request(at time.Duration, rnd *rand.Rand, hotKey, hotTenant bool) Request {
	// Few subjects and workspaces get most requests.
	skewed := func(n int) int { return int(float64(n) * math.Pow(rnd.Float64(), 2)) }
	subject, workspace := skewed(k.subjects), skewed(workspaces)
	if hotKey {
		subject = 0
	}
	if hotTenant {
		workspace = 0
	}
	size := 0.5 + rnd.ExpFloat64()*0.5
	return Request{Arrival: at, Kind: k.name, Workspace: fmt.Sprint("w", workspace), Subject: fmt.Sprint(k.name, subject),
		SharedTokens: k.shared, UniqueTokens: int(float64(k.tail) * size), Events: max(1, int(float64(k.events)*size)), Priority: k.urgency,
		TargetLatency: k.target, MaxEventGap: longestPause, Timeout: k.limit}
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
