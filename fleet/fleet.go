// Package fleet runs a small deployment in one process: entries, agents, and
// simulated table service and targets. It is for tests and the demonstration; in
// production each part is a process of its own.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/oklog/ulid/v2"

	"briarreach/agent"
	"briarreach/config"
	"briarreach/daemon"
	"briarreach/entry"
	"briarreach/operator"
	"briarreach/peer"
	"briarreach/settings"
	"briarreach/standin"
)

// Names in the configuration of the deployment.
const (
	Model     = "itinerary-large"
	Service   = "bookings"
	Workspace = "patras-desk"
	Budget    = "patras-desk"
	Version   = "v1"
)

const shardCount = 16

// Fleet is a running deployment.
type Fleet struct {
	options  options
	dir      string
	Table    *standin.Table
	Engines  []*standin.Engine
	Services []*standin.Service
	Agents   []*agent.Agent
	Entries  []*entry.Entry

	OperatorKey    string
	CallerKey      string
	operatorClient *operator.Client
	authority      *peer.Authority
	entryPeerAddrs []netip.AddrPort
}

type options struct {
	entries        int
	engines        int
	services       int
	prepaidTokens  int64
	targetCapacity int
	engineOptions  []standin.EngineOption
	serviceOptions []standin.ServiceOption
	tableOptions   []standin.TableOption
	adjustSettings func(*settings.Settings)
	log            log.Interface
}

// Option configures a Fleet.
type Option func(*options)

// WithSize sets the number of entries, engines and services.
func WithSize(entries, engines, services int) Option {
	return func(o *options) { o.entries, o.engines, o.services = entries, engines, services }
}

// WithPrepaid sets the prepaid amount of the budget, in budget tokens.
func WithPrepaid(tokens int64) Option { return func(o *options) { o.prepaidTokens = tokens } }

// WithCapacity sets the number of concurrent requests that is configured for
// each target.
func WithCapacity(concurrent int) Option { return func(o *options) { o.targetCapacity = concurrent } }

// WithEngineOptions adds options for the engines.
func WithEngineOptions(opts ...standin.EngineOption) Option {
	return func(o *options) { o.engineOptions = append(o.engineOptions, opts...) }
}

// WithServiceOptions adds options for the services.
func WithServiceOptions(opts ...standin.ServiceOption) Option {
	return func(o *options) { o.serviceOptions = append(o.serviceOptions, opts...) }
}

// WithTableOptions adds options for the table service.
func WithTableOptions(opts ...standin.TableOption) Option {
	return func(o *options) { o.tableOptions = append(o.tableOptions, opts...) }
}

// WithSettings sets a function that changes the settings of each entry and agent
// before it starts.
func WithSettings(adjust func(*settings.Settings)) Option {
	return func(o *options) { o.adjustSettings = adjust }
}

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(o *options) { o.log = l } }

// New starts a deployment with a workspace, a budget, a model and a service. It
// waits until every daemon has the configuration.
func New(ctx context.Context, opts ...Option) (*Fleet, error) {
	o := options{entries: 2, engines: 2, services: 1, prepaidTokens: 1_000_000, targetCapacity: 64, adjustSettings: func(*settings.Settings) {}, log: log.Log}
	for _, opt := range opts {
		opt(&o)
	}
	f := &Fleet{options: o, OperatorKey: NewSecret(), CallerKey: NewSecret()}
	for _, step := range []func(context.Context) error{
		f.createAuthority, f.startStandins, f.bootstrap, f.startAgents, f.startEntries, f.configure, f.waitForConfig,
	} {
		if err := step(ctx); err != nil {
			return nil, errors.Join(fmt.Errorf("fleet.New: %w", err), f.Close(context.WithoutCancel(ctx)))
		}
	}
	return f, nil
}

// NewSecret returns a random caller or operator key.
func NewSecret() string {
	var b [32]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func (f *Fleet) createAuthority(context.Context) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "briarreach-"); err != nil {
		return err
	}
	f.authority, err = peer.NewAuthority()
	return err
}

func (f *Fleet) startStandins(context.Context) error {
	var err error
	if f.Table, err = standin.NewTable(f.options.tableOptions...); err != nil {
		return err
	}
	for range f.options.engines {
		e, err := standin.NewEngine(append([]standin.EngineOption{standin.WithEngineVersion(Version)}, f.options.engineOptions...)...)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
	}
	for range f.options.services {
		s, err := standin.NewService(append([]standin.ServiceOption{standin.WithServiceVersion(Version)}, f.options.serviceOptions...)...)
		if err != nil {
			return err
		}
		f.Services = append(f.Services, s)
	}
	return nil
}

func (f *Fleet) bootstrap(ctx context.Context) error {
	return entry.Bootstrap(ctx, f.Table.Store(), shardCount, config.Patch{
		ID:         ulid.Make().String(),
		Operations: []config.Operation{config.PutKey{Hash: entry.HashKey(f.OperatorKey), Operator: string(operator.Write)}},
	}, time.Now())
}

// settings returns the settings that all processes of the deployment share,
// with a certificate for the process.
func (f *Fleet) settings(process string, role peer.Role) (*settings.Settings, error) {
	issued, err := f.authority.Issue(process, role, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, 24*time.Hour)
	if err != nil {
		return nil, err
	}
	file := func(name string) string { return filepath.Join(f.dir, process+"-"+name+".pem") }
	s := &settings.Settings{Process: process, VM: "vm-" + process, FailureDomain: "attica-1"}
	s.Fleet = settings.Fleet{CAFile: file("ca"), CertFile: file("cert"), KeyFile: file("key")}
	s.Table.Endpoint = f.Table.Endpoint()
	return s, issued.Write(s.Fleet.CAFile, s.Fleet.CertFile, s.Fleet.KeyFile)
}

// FreeUDPAddr returns a loopback address with a free UDP port.
func FreeUDPAddr() (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

func (f *Fleet) startAgents(context.Context) error {
	for range f.options.entries {
		addr, err := FreeUDPAddr()
		if err != nil {
			return err
		}
		f.entryPeerAddrs = append(f.entryPeerAddrs, addr)
	}
	for i, e := range f.Engines {
		if err := f.AddAgent(fmt.Sprintf("engine-%d", i+1), e.URL()); err != nil {
			return err
		}
	}
	for i, s := range f.Services {
		if err := f.AddAgent(fmt.Sprintf("service-%d", i+1), s.URL()); err != nil {
			return err
		}
	}
	return nil
}

// AddAgent starts an agent for the target with the URL. It does not add the
// target to the configuration.
func (f *Fleet) AddAgent(target, url string) error {
	s, err := f.settings("agent-"+target, peer.AgentRole)
	if err != nil {
		return err
	}
	s.Agent = &settings.Agent{
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		Target:      target, TargetURL: url, Entries: f.entryPeerAddrs,
		// All parts share one clock, so that the default margin isn't needed.
		ClockMargin: settings.Duration{Duration: time.Millisecond},
	}
	s.Defaults()
	f.options.adjustSettings(s)
	a, err := agent.New(s, daemon.WithLog(f.options.log))
	if err != nil {
		return err
	}
	f.Agents = append(f.Agents, a)
	return nil
}

func (f *Fleet) startEntries(context.Context) error {
	for i := range f.options.entries {
		if err := f.AddEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry starts the i-th entry, counting from 0, and appends it to Entries; an
// entry that is started again is in Entries twice. i must be less than the number
// of entries given to WithSize.
func (f *Fleet) AddEntry(i int) error {
	s, err := f.settings(fmt.Sprintf("entry-%d", i+1), peer.EntryRole)
	if err != nil {
		return err
	}
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s.Entry = &settings.Entry{CallerAddress: anyPort, OperatorAddress: anyPort, PeerAddress: f.entryPeerAddrs[i],
		DrainDelay: settings.Duration{Duration: 50 * time.Millisecond}}
	for j, addr := range f.entryPeerAddrs {
		if j != i {
			s.Entry.Entries = append(s.Entry.Entries, addr)
		}
	}
	s.Defaults()
	f.options.adjustSettings(s)
	e, err := entry.New(s, daemon.WithLog(f.options.log))
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	return nil
}

// Operator returns a client for the operator API of the first entry.
func (f *Fleet) Operator() *operator.Client {
	if f.operatorClient == nil {
		f.operatorClient = operator.NewClient("http://"+f.Entries[0].OperatorAddr().String(), f.OperatorKey)
	}
	return f.operatorClient
}

func (f *Fleet) configure(ctx context.Context) error {
	operations := []config.Operation{
		config.PutWorkspace{Workspace: config.Workspace{Name: Workspace}},
		config.OpenBudget{Workspace: Workspace, Budget: Budget, Prepaid: f.options.prepaidTokens},
		config.PutKey{Hash: entry.HashKey(f.CallerKey), Workspace: Workspace, Budget: Budget},
	}
	for i, a := range f.Agents {
		t := config.Target{Name: fmt.Sprintf("engine-%d", i+1), Model: Model, Version: Version, AgentAddr: a.Addr(),
			MaxConcurrent: f.options.targetCapacity, MaxTokens: int64(f.options.targetCapacity) * 4096, FailureDomain: "attica-1"}
		if i >= len(f.Engines) {
			t.Name, t.Model, t.Service, t.MaxTokens = fmt.Sprintf("service-%d", i-len(f.Engines)+1), "", Service, 0
		}
		operations = append(operations, config.PutTarget{Target: t})
	}
	operations = append(operations,
		config.PutModel{Model: config.Model{Name: Model, Version: Version, PromptPrice: 1, CompletionPrice: 1, MaxTokens: 2048}},
		config.PutService{Service: config.Service{Name: Service, Version: Version, Routes: []config.Route{
			{Method: "POST", Path: "/bookings", Price: 5},
			{Method: "POST", Path: "/deposits", Price: 5},
			{Method: "GET", Path: "/schedules", Repeatable: true, Price: 1},
		}}})
	return f.submitPatch(ctx, operations)
}

// submitPatch submits a patch against the current configuration. It retries while
// the entry is unavailable: after its start the entry needs some time to read the
// configuration and open the ledger.
func (f *Fleet) submitPatch(ctx context.Context, operations []config.Operation) error {
	client := f.Operator()
	for {
		document, err := client.Config(ctx)
		if err == nil {
			_, err = client.Patch(ctx, config.Patch{ID: ulid.Make().String(), Base: document.Number, Operations: operations})
		}
		var apiErr *operator.Error
		if !errors.As(err, &apiErr) || apiErr.Type != operator.Unavailable {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Patch submits operations against the current configuration.
func (f *Fleet) Patch(ctx context.Context, operations ...config.Operation) error {
	return f.submitPatch(ctx, operations)
}

func (f *Fleet) waitForConfig(ctx context.Context) error { return WaitForConfig(ctx, f.Operator()) }

// WaitForConfig waits until every daemon has the current configuration number.
// It returns an error if the context ends first.
func WaitForConfig(ctx context.Context, client *operator.Client) error {
	for {
		status, err := client.Status(ctx)
		if err == nil && status.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Close stops the entries first, so that their bills are written, then the agents
// and the simulated targets and table service.
func (f *Fleet) Close(ctx context.Context) error {
	var errs []error
	for _, e := range f.Entries {
		errs = append(errs, e.Close(ctx))
	}
	for _, a := range f.Agents {
		errs = append(errs, a.Close(ctx))
	}
	for _, e := range f.Engines {
		errs = append(errs, e.Close())
	}
	for _, s := range f.Services {
		errs = append(errs, s.Close())
	}
	if f.Table != nil {
		errs = append(errs, f.Table.Close())
	}
	return errors.Join(append(errs, os.RemoveAll(f.dir))...)
}
