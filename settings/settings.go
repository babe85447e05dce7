// Package settings reads and strictly validates the TOML settings file of a
// process.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time.Duration written as text, for example "250ms".
type Duration struct {
	time.Duration
	invalid string // the text in the file if it is not a duration
}

// UnmarshalText parses a duration with its unit. Invalid text is kept for
// Validate, which reports it with its key.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		d.invalid = string(text)
	}
	d.Duration = v
	return nil
}

// Valid reports whether the text was a duration.
func (d Duration) Valid() bool { return d.invalid == "" }

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Settings is the content of a process's settings file. Entry or Agent is nil
// if the process does not have that role.
type Settings struct {
	Process       string `toml:"process"`
	VM            string `toml:"vm"`
	FailureDomain string `toml:"failure_domain"`
	Entry         *Entry `toml:"entry"`
	Agent         *Agent `toml:"agent"`
	Table         Table  `toml:"table"`
	VMList        VMList `toml:"vm_list"`
	Fleet         Fleet  `toml:"fleet"`
	Log           Log    `toml:"log"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	CallerAddress     netip.AddrPort   `toml:"caller_address"`
	OperatorAddress   netip.AddrPort   `toml:"operator_address"`
	PeerAddress       netip.AddrPort   `toml:"peer_address"`
	Entries           []netip.AddrPort `toml:"entries"`         // peer addresses of the other entries
	DrainDelay        Duration         `toml:"drain_delay"`     // from leaving to closing the callers' server
	ConfigInterval    Duration         `toml:"config_interval"` // between polls of the configuration
	FlushInterval     Duration         `toml:"flush_interval"`  // how long ledger records wait for a batch
	DrawHorizon       Duration         `toml:"draw_horizon"`    // expected demand that a draw from a budget covers
	LeaseTime         Duration         `toml:"lease_time"`      // of the control lease
	ReclaimAfter      Duration         `toml:"reclaim_after"`   // silence after which a holder counts as lost
	MaxBodyBytes      int              `toml:"max_body_bytes"`
	MaxHeaderBytes    int              `toml:"max_header_bytes"`
	ReadTimeout       Duration         `toml:"read_timeout"`
	RequestTimeout    Duration         `toml:"request_timeout"` // deadline of a request, and time to write its response
	StreamWindowBytes int              `toml:"stream_window_bytes"`
	MaxBufferedBytes  int              `toml:"max_buffered_bytes"` // accepted, but not used by the entry
	MaxRequests       int              `toml:"max_requests"`       // open requests, and connections of callers
	// MaxRequestMemoryBytes bounds what the requests of callers and their answers hold,
	// MaxOperatorMemoryBytes those of operators.
	MaxRequestMemoryBytes    int      `toml:"max_request_memory_bytes"`
	MaxOperatorMemoryBytes   int      `toml:"max_operator_memory_bytes"`
	StallTimeout             Duration `toml:"stall_timeout"`               // a connection without progress for this long is closed when others need its room
	MaxConnectionsPerAddress int      `toml:"max_connections_per_address"` // 0: no limit
}

// Agent holds the settings of the agent role. Target is the target's name in the
// configuration. EnforcesFencing says whether the target itself refuses orders
// with an old fencing number.
type Agent struct {
	PeerAddress       netip.AddrPort   `toml:"peer_address"`
	Target            string           `toml:"target"`
	TargetURL         string           `toml:"target_url"`
	EnforcesFencing   bool             `toml:"enforces_fencing"`
	Entries           []netip.AddrPort `toml:"entries"`
	MetricsAddress    netip.AddrPort   `toml:"metrics_address"`
	ConfigInterval    Duration         `toml:"config_interval"`
	StallTimeout      Duration         `toml:"stall_timeout"` // a reader that takes nothing for this long ends the attempt
	ClockMargin       Duration         `toml:"clock_margin"`  // maximum clock skew between VMs
	StreamWindowBytes int              `toml:"stream_window_bytes"`
	MaxBufferedBytes  int              `toml:"max_buffered_bytes"` // of the send buffers of all attempts together
	// MaxRequestMemoryBytes bounds what the bodies of accepted requests take.
	MaxRequestMemoryBytes int `toml:"max_request_memory_bytes"`
}

// Table holds the address and credentials of the platform's table service.
type Table struct {
	Endpoint        string   `toml:"endpoint"`
	Region          string   `toml:"region"`
	Name            string   `toml:"name"`
	AccessKeyID     string   `toml:"access_key_id"`
	SecretAccessKey string   `toml:"secret_access_key"`
	Timeout         Duration `toml:"timeout"`
}

// VMList holds the address of the platform's list of VMs and the polling
// interval.
type VMList struct {
	URL      string   `toml:"url"`
	Interval Duration `toml:"interval"`
}

// Fleet names the PEM files of the fleet's certificate authority and of the
// process's own certificate and key.
type Fleet struct {
	CAFile   string `toml:"ca_file"`
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// Log holds the level ("debug", "info", "warn", "error") and the format ("json",
// "logfmt") of the log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Defaults sets the settings that the file leaves out to their defaults.
func (s *Settings) Defaults() {
	defaultText(&s.Table.Region, "local")
	defaultText(&s.Table.Name, "briarreach")
	defaultText(&s.Table.AccessKeyID, "local")
	defaultText(&s.Table.SecretAccessKey, "local")
	defaultDuration(&s.Table.Timeout, 2*time.Second)
	defaultDuration(&s.VMList.Interval, 5*time.Second)
	defaultText(&s.Log.Level, "info")
	defaultText(&s.Log.Format, "json")
	if s.Entry != nil {
		s.Entry.Defaults()
	}
	if s.Agent != nil {
		s.Agent.Defaults()
	}
}

// requestMemoryBodies is the least ratio of the memory for requests to the longest
// body. A body takes up to five times its length: its buffer may be twice as long and
// is copied once when it grows; a request that waits for its answer holds the prompt and
// the message to the agent besides. A quarter of the memory is kept for small requests.
const requestMemoryBodies = 8

// Defaults sets the settings that the file leaves out to their defaults.
func (e *Entry) Defaults() {
	defaultDuration(&e.DrainDelay, 5*time.Second)
	defaultDuration(&e.ConfigInterval, 2*time.Second)
	defaultDuration(&e.FlushInterval, 250*time.Millisecond)
	defaultDuration(&e.DrawHorizon, 20*time.Minute)
	defaultDuration(&e.LeaseTime, 10*time.Second)
	defaultDuration(&e.ReclaimAfter, 10*time.Second)
	defaultNumber(&e.MaxBodyBytes, 4<<20)
	defaultNumber(&e.MaxHeaderBytes, 16<<10)
	defaultDuration(&e.ReadTimeout, 30*time.Second)
	defaultDuration(&e.RequestTimeout, 10*time.Minute)
	defaultNumber(&e.StreamWindowBytes, 4<<10)
	defaultNumber(&e.MaxBufferedBytes, 48<<20)
	defaultNumber(&e.MaxRequests, 20_000)
	defaultNumber(&e.MaxRequestMemoryBytes, max(256<<20, requestMemoryBodies*e.MaxBodyBytes))
	defaultNumber(&e.MaxOperatorMemoryBytes, 16<<20)
	defaultDuration(&e.StallTimeout, 5*time.Second)
}

// Defaults sets the settings that the file leaves out to their defaults.
func (a *Agent) Defaults() {
	defaultDuration(&a.ConfigInterval, 2*time.Second)
	defaultDuration(&a.StallTimeout, 30*time.Second)
	defaultDuration(&a.ClockMargin, 2*time.Second)
	defaultNumber(&a.StreamWindowBytes, 4<<10)
	defaultNumber(&a.MaxBufferedBytes, 48<<20)
	defaultNumber(&a.MaxRequestMemoryBytes, 256<<20)
}

func defaultText(v *string, def string) {
	if *v == "" {
		*v = def
	}
}

func defaultNumber(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func defaultDuration(v *Duration, def time.Duration) {
	if v.Duration == 0 && v.invalid == "" {
		v.Duration = def
	}
}

// ValueError reports a value that is missing or not accepted. Key is the dotted
// key in the file.
type ValueError struct {
	Key      string
	Value    string
	Accepted string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s = %s: accepted is %s", e.Key, e.Value, e.Accepted)
}

// FileError reports an error in a settings file and its position. Line is 0 if
// the key is missing or the position unknown. Key is empty if Err is a
// *ValueError, which has the key.
type FileError struct {
	File   string
	Line   int
	Column int
	Key    string
	Err    error
}

func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %v", e.File, e.Line, e.Column, e.Err)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %v", e.File, e.Line, e.Column, e.Key, e.Err)
}

func (e *FileError) Unwrap() error { return e.Err }

// UnknownKeyError reports a key that is not a setting.
type UnknownKeyError struct{ Key string }

func (e *UnknownKeyError) Error() string {
	return "unknown setting; docs/operators.md lists the accepted ones"
}

// Load reads a settings file, applies the defaults and validates it. It reports
// the first decoding error, or else all unknown keys, or else all values that
// Validate rejects, as *FileError values; several are joined by errors.Join. If
// the file cannot be read, the error is that of os.ReadFile.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings.Load: %w", err)
	}
	return Parse(path, data)
}

// Parse does the same as Load for the content of a file.
func Parse(file string, data []byte) (*Settings, error) {
	var s Settings
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("settings.Parse: %w", decodeError(file, err))
	}
	s.Defaults()
	faults := s.Validate()
	if len(faults) == 0 {
		return &s, nil
	}
	positions := keyPositions(data)
	errs := make([]error, len(faults))
	for i, fault := range faults {
		at := positions[fault.Key]
		errs[i] = &FileError{File: file, Line: at.Line, Column: at.Column, Err: fault}
	}
	return nil, fmt.Errorf("settings.Parse: %w", errors.Join(errs...))
}

func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		errs := make([]error, len(unknown.Errors))
		for i := range unknown.Errors {
			e := &unknown.Errors[i]
			line, column := e.Position()
			key := strings.Join(e.Key(), ".")
			errs[i] = &FileError{File: file, Line: line, Column: column, Key: key, Err: &UnknownKeyError{Key: key}}
		}
		return errors.Join(errs...)
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, column := wrong.Position()
		return &FileError{File: file, Line: line, Column: column, Key: strings.Join(wrong.Key(), "."), Err: err}
	}
	return &FileError{File: file, Err: err}
}

// keyPositions returns the position of each dotted key of a valid document.
func keyPositions(data []byte) map[string]unstable.Position {
	positions := map[string]unstable.Position{}
	var parser unstable.Parser
	parser.Reset(data)
	var prefix []string
	for parser.NextExpression() {
		e := parser.Expression()
		var key []string
		var at unstable.Position
		for it := e.Key(); it.Next(); {
			key = append(key, string(it.Node().Data))
			at = parser.Shape(it.Node().Raw).Start
		}
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = key
			positions[strings.Join(key, ".")] = at
		case unstable.KeyValue:
			positions[strings.Join(append(prefix[:len(prefix):len(prefix)], key...), ".")] = at
		}
	}
	return positions
}

// Validate returns every value that is out of range.
func (s *Settings) Validate() []*ValueError {
	var c checker
	c.required("process", s.Process)
	c.required("vm", s.VM)
	c.required("failure_domain", s.FailureDomain)
	c.url("table.endpoint", s.Table.Endpoint, true)
	c.duration("table.timeout", s.Table.Timeout, 10*time.Millisecond, time.Minute)
	c.url("vm_list.url", s.VMList.URL, false)
	c.duration("vm_list.interval", s.VMList.Interval, 100*time.Millisecond, 10*time.Minute)
	c.required("fleet.ca_file", s.Fleet.CAFile)
	c.required("fleet.cert_file", s.Fleet.CertFile)
	c.required("fleet.key_file", s.Fleet.KeyFile)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "logfmt")
	if (s.Entry == nil) == (s.Agent == nil) {
		c.add("entry", "both or none", "exactly one of the tables [entry] and [agent]")
	}
	if s.Entry != nil {
		s.Entry.validate(&c)
	}
	if s.Agent != nil {
		s.Agent.validate(&c)
	}
	return c.faults
}

func (e *Entry) validate(c *checker) {
	c.address("entry.caller_address", e.CallerAddress)
	c.address("entry.operator_address", e.OperatorAddress)
	c.address("entry.peer_address", e.PeerAddress)
	c.duration("entry.drain_delay", e.DrainDelay, time.Millisecond, 5*time.Minute)
	// A configuration must be in force everywhere within 7 s, so the interval is
	// at most 5 s here and in an agent.
	c.duration("entry.config_interval", e.ConfigInterval, 50*time.Millisecond, 5*time.Second)
	c.duration("entry.flush_interval", e.FlushInterval, 5*time.Millisecond, 5*time.Second)
	c.duration("entry.draw_horizon", e.DrawHorizon, time.Second, time.Hour)
	c.duration("entry.lease_time", e.LeaseTime, 200*time.Millisecond, 5*time.Minute)
	c.duration("entry.reclaim_after", e.ReclaimAfter, 200*time.Millisecond, time.Hour)
	c.number("entry.max_body_bytes", e.MaxBodyBytes, 1<<10, 64<<20)
	c.number("entry.max_header_bytes", e.MaxHeaderBytes, 1<<10, 1<<20)
	c.duration("entry.read_timeout", e.ReadTimeout, 100*time.Millisecond, 10*time.Minute)
	c.duration("entry.request_timeout", e.RequestTimeout, 100*time.Millisecond, time.Hour)
	c.number("entry.stream_window_bytes", e.StreamWindowBytes, 1<<10, 1<<20)
	c.number("entry.max_buffered_bytes", e.MaxBufferedBytes, 1<<20, 1<<30)
	c.number("entry.max_requests", e.MaxRequests, 1, 1_000_000)
	c.number("entry.max_request_memory_bytes", e.MaxRequestMemoryBytes, max(4<<20, requestMemoryBodies*e.MaxBodyBytes), 64<<30)
	c.number("entry.max_operator_memory_bytes", e.MaxOperatorMemoryBytes, 8<<20, 1<<30)
	c.duration("entry.stall_timeout", e.StallTimeout, 100*time.Millisecond, 10*time.Minute)
	c.number("entry.max_connections_per_address", e.MaxConnectionsPerAddress, 0, 1_000_000)
}

func (a *Agent) validate(c *checker) {
	c.address("agent.peer_address", a.PeerAddress)
	c.required("agent.target", a.Target)
	c.url("agent.target_url", a.TargetURL, true)
	c.duration("agent.config_interval", a.ConfigInterval, 50*time.Millisecond, 5*time.Second)
	c.duration("agent.stall_timeout", a.StallTimeout, 100*time.Millisecond, 10*time.Minute)
	c.duration("agent.clock_margin", a.ClockMargin, time.Millisecond, time.Minute)
	c.number("agent.stream_window_bytes", a.StreamWindowBytes, 1<<10, 1<<20)
	c.number("agent.max_buffered_bytes", a.MaxBufferedBytes, 1<<20, 1<<30)
	// The least value holds the largest message of a peer, 8 MiB, four times.
	c.number("agent.max_request_memory_bytes", a.MaxRequestMemoryBytes, 32<<20, 64<<30)
}

type checker struct{ faults []*ValueError }

func (c *checker) add(key, value, accepted string) {
	c.faults = append(c.faults, &ValueError{Key: key, Value: value, Accepted: accepted})
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "(missing)", "a string that is not empty")
	}
}

func (c *checker) address(key string, value netip.AddrPort) {
	if !value.IsValid() {
		c.add(key, "(missing)", `an IP address with a port, for example "10.0.0.1:8080"`)
	}
}

func (c *checker) url(key, value string, required bool) {
	if value == "" && !required {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(key, fmt.Sprintf("%q", value), `a URL, for example "http://10.0.0.1:8000"`)
	}
}

func (c *checker) duration(key string, value Duration, low, high time.Duration) {
	accepted := fmt.Sprintf("%v to %v, with the unit ns, us, ms, s, m or h", low, high)
	switch {
	case value.invalid != "":
		c.add(key, fmt.Sprintf("%q", value.invalid), accepted)
	case value.Duration < low || value.Duration > high:
		c.add(key, value.String(), accepted)
	}
}

func (c *checker) number(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) oneOf(key, value string, accepted ...string) {
	for _, a := range accepted {
		if value == a {
			return
		}
	}
	c.add(key, fmt.Sprintf("%q", value), strings.Join(accepted, ", "))
}
