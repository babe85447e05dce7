package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"briarreach/settings"
	"briarreach/vmlist"
)

// maxVMListHistory bounds the earlier lists that are kept to serve a lagging one.
const maxVMListHistory = 1024

// VMListFaults are the faults in force.
type VMListFaults struct {
	Lag     settings.Duration `json:"lag"`     // age of the served list
	Outage  bool              `json:"outage"`  // answer with status 503
	Latency settings.Duration `json:"latency"` // before each answer
	Corrupt bool              `json:"corrupt"` // answer with a body that is not JSON
}

// VMList serves the list of VMs at GET /vms, as it was a configurable time ago.
// PUT /vms with {"vms": [...]} replaces the list, and POST /faults sets the
// faults.
type VMList struct {
	clock    clockwork.Clock
	listener *trackingListener
	addr     netip.AddrPort
	closing  chan struct{}
	close    func()

	mu      sync.Mutex
	faults  VMListFaults
	history []vmlist.List // oldest first
}

type vmListOptions struct {
	listen netip.AddrPort
	clock  clockwork.Clock
	lag    time.Duration
	vms    []vmlist.VM
}

// VMListOption configures a VMList.
type VMListOption func(*vmListOptions)

// WithVMListListen sets the address. Port 0 picks a free port.
func WithVMListListen(a netip.AddrPort) VMListOption { return func(o *vmListOptions) { o.listen = a } }

// WithVMListClock sets the clock used for the lag and the latency.
func WithVMListClock(c clockwork.Clock) VMListOption { return func(o *vmListOptions) { o.clock = c } }

// WithVMListLag sets the age of the served list.
func WithVMListLag(d time.Duration) VMListOption { return func(o *vmListOptions) { o.lag = d } }

// WithVMListVMs sets the list at the start, which is served without lag.
func WithVMListVMs(vms ...vmlist.VM) VMListOption { return func(o *vmListOptions) { o.vms = vms } }

// NewVMList starts a VM list, by default on a free port of 127.0.0.1.
func NewVMList(opts ...VMListOption) (*VMList, error) {
	o := vmListOptions{
		listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		clock:  clockwork.NewRealClock(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	ln, err := net.Listen("tcp", o.listen.String())
	if err != nil {
		return nil, fmt.Errorf("standin.NewVMList: %w", err)
	}
	v := &VMList{
		clock:    o.clock,
		addr:     listenerAddr(ln),
		listener: &trackingListener{Listener: ln, conns: map[net.Conn]struct{}{}},
		closing:  make(chan struct{}),
		faults:   VMListFaults{Lag: settings.Duration{Duration: o.lag}},
	}
	v.SetVMs(o.vms...)
	server := newStandinServer(v.serve)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(v.listener)
	}()
	v.close = sync.OnceFunc(func() {
		close(v.closing)
		v.listener.closeWithConns()
		<-stopped
	})
	return v, nil
}

// Addr returns the address that the VM list listens on.
func (v *VMList) Addr() netip.AddrPort { return v.addr }

// URL returns the base URL for vmlist.New.
func (v *VMList) URL() string { return "http://" + v.addr.String() }

// Close stops the service.
func (v *VMList) Close() error {
	v.close()
	return nil
}

// Faults returns the faults in force.
func (v *VMList) Faults() VMListFaults {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults
}

// SetFaults replaces the faults in force.
func (v *VMList) SetFaults(f VMListFaults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// SetVMs replaces the list. The new list is served once the lag has passed.
func (v *VMList) SetVMs(vms ...vmlist.VM) {
	if vms == nil {
		vms = []vmlist.VM{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.history) == maxVMListHistory {
		v.history = v.history[1:]
	}
	v.history = append(v.history, vmlist.List{VMs: slices.Clone(vms), AsOf: v.clock.Now()})
}

// laggingList returns the newest list that is at least as old as the lag, or the
// oldest one.
func (v *VMList) laggingList() vmlist.List {
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := v.clock.Now().Add(-v.faults.Lag.Duration)
	list := v.history[0]
	for _, l := range v.history {
		if !l.AsOf.After(asOf) {
			list = l
		}
	}
	if asOf.After(list.AsOf) {
		list.AsOf = asOf
	}
	return list
}

func (v *VMList) serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/faults" && ctx.IsPost():
		var f VMListFaults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if !f.Lag.Valid() || !f.Latency.Valid() {
			ctx.Error("lag or latency is not a duration", fasthttp.StatusBadRequest)
			return
		}
		v.SetFaults(f)
	case path == "/vms" && ctx.IsPut():
		list := vmlist.List{AsOf: v.clock.Now()}
		err := json.Unmarshal(ctx.PostBody(), &list)
		if err == nil {
			err = list.Validate()
		}
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		v.SetVMs(list.VMs...)
	case path == "/vms" && ctx.IsGet():
		v.serveList(ctx)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (v *VMList) serveList(ctx *fasthttp.RequestCtx) {
	faults := v.Faults()
	if faults.Latency.Duration > 0 {
		timer := v.clock.NewTimer(faults.Latency.Duration)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-v.closing:
		}
	}
	switch {
	case faults.Outage:
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
		return
	case faults.Corrupt:
		ctx.SetBodyString(`{"vms": [`)
		return
	}
	body, err := json.Marshal(v.laggingList())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
