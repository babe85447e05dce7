package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"briarreach/platform/standin"
)

// Settings of the gateways, those of the smallest deployment in force.
const (
	settingsText = `node_name=%s
role=gateway
machine_class=frontend
served_roles=frontend
ip_address=127.0.0.1
zone=a
region=r
zones.a=r
listen_addresses.frontend=%s
listen_addresses.ready=%s
internal_port_range=%d,%d
bootstrap=true
limits.cpu_fraction=0.304
limits.cpu_cores=1
limits.memory_limit_mb=%d
limits.file_descriptors=4100
limits.link_bandwidth_mbps=1000.0
discovery=platform
entry_point=virtual_ip
heartbeat_interval_ms=1200
bounds.contact_window_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_timeout_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.address_reuse_s=2
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=56
bounds.settle_ms=1500
platform.address=%s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.transaction_timeout_ms=5.0
platform.part_writes_per_s=200
platform.max_row_bytes=65536
platform.cross_partition=false
platform.history_retention_s=20
`
	peerPorts   = 16
	gracePeriod = 8 * time.Second
)

// gateway is a gateway process.
type gateway struct {
	name     string
	settings string // path of its settings file
	caller   netip.AddrPort
	ready    netip.AddrPort
	log      *os.File
	command  *exec.Cmd
	exited   chan struct{}
}

// fleet is the store, the gateways and what the operator has published.
type fleet struct {
	run      *run
	store    *standin.Store
	gateways []*gateway
	replicas []*replica // closed with the fleet
	version  string     // of the replicas that are started
	memoryMB int        // of a gateway's machine
}

func newFleet(r *run) (*fleet, error) {
	s, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	return &fleet{run: r, store: s, version: "v1", memoryMB: 284}, nil
}

// configure publishes a configuration.
func (f *fleet) configure(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	f.store.Put("op", "", "config", data)
	f.run.printf("operator: configuration %v published", config["version"])
	return nil
}

// register writes the registry entry of a replica.
func (f *fleet) register(id, service string, address netip.AddrPort, slots int, born time.Time) error {
	data, err := json.Marshal(map[string]any{"service": service, "address": address.String(), "zone": "a", "version": f.version,
		"concurrency_slots": slots, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": born.UnixMilli()})
	if err != nil {
		return err
	}
	f.store.Put("servers", "", id, data)
	return nil
}

// addGateways starts gateways and waits until all are ready.
func (f *fleet) addGateways(n int) error {
	for i := range n {
		firstPeerPort, err := freePeerPorts()
		if err != nil {
			return err
		}
		g := &gateway{name: fmt.Sprintf("frontend-a-%d", i+1)}
		if g.caller, err = standin.FreeAddress(); err != nil {
			return err
		}
		if g.ready, err = standin.FreeAddress(); err != nil {
			return err
		}
		g.settings = filepath.Join(f.run.dir, g.name+".conf")
		// The holder of quota is named after the process and its address, so that all
		// gateways may share the loopback address.
		text := fmt.Sprintf(settingsText, g.name, g.caller, g.ready, firstPeerPort, firstPeerPort+peerPorts-1, f.memoryMB, f.store.Address())
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if g.log, err = os.Create(filepath.Join(f.run.dir, g.name+".log")); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
		f.run.printf("%s started, callers at %s", g.name, g.caller)
	}
	return f.awaitReady()
}

// nextPeerPort is the first port that freePeerPorts tries.
var nextPeerPort = 10_000 + rand.IntN(1_000)*peerPorts

// freePeerPorts returns the first of peerPorts UDP ports of which none is in use, as on
// a machine of its own.
func freePeerPorts() (int, error) {
	for range 200 {
		first := nextPeerPort
		nextPeerPort += peerPorts
		free := true
		for port := first; port < first+peerPorts && free; port++ {
			c, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				free = false
				continue
			}
			_ = c.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free UDP ports")
}

// awaitReady waits until all gateways are ready.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); ; pause(50 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(f.gateways) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("a gateway did not become ready")
		}
	}
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.command = exec.Command("target/briarreach", "gateway", "--tuning", "deploy/gateway.toml")
	g.command.Env = append(os.Environ(), "BRIARREACH_NODE_FILE="+g.settings)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	processes.Store(g.command.Process, true)
	go func(c *exec.Cmd) {
		_ = c.Wait()
		processes.Delete(c.Process)
		close(exited)
	}(g.command)
	g.exited = exited
	return nil
}

// processes holds the processes that run.
var processes sync.Map

// killAll ends all processes that this one has started.
func killAll() {
	processes.Range(func(p, _ any) bool {
		_ = p.(*os.Process).Kill()
		return true
	})
}

// kill ends the process with SIGKILL.
func (g *gateway) kill() {
	_ = g.command.Process.Signal(syscall.SIGKILL)
	<-g.exited
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + g.ready.String() + "/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// close ends all processes. KEEP_LOGS names a folder to which their logs are copied.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.kill()
		_ = g.log.Close()
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			if data, err := os.ReadFile(g.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(dir, g.name+".log"), data, 0o600)
			}
		}
	}
	for _, r := range f.replicas {
		r.close()
	}
	_ = f.store.Close()
}
