package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// world holds the processes and stand-ins of one run.
type world struct {
	started  time.Time
	temp     string
	store    *standin.Store
	gateways []*gateway
	replicas []*replica

	mu     sync.Mutex
	file   *os.File
	closed bool
}

func newWorld(dir string) (*world, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	return &world{started: time.Now(), temp: temp, store: store, file: file}, nil
}

// record writes a line with the time since the start of the run.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.file, "%9.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes and stand-ins.
func (w *world) close() error {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, r := range w.replicas {
		r.close()
	}
	_ = w.store.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs of the gateways:", w.temp)
		return nil
	}
	return os.RemoveAll(w.temp)
}

// putConfig publishes a configuration, as the operator does.
func (w *world) putConfig(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.store.Put("op", "", "config", data)
	w.record("operator: config version %v confirmed", config["version"])
	return nil
}

// addReplica starts a replica and registers it.
func (w *world) addReplica(id, service string, slots int, b behaviour) (*replica, error) {
	r, err := newReplica(w, id, b)
	if err != nil {
		return nil, err
	}
	w.replicas = append(w.replicas, r)
	w.store.Put("servers", "", id, standin.RegistryEntry(service, "ready", r.address(), slots))
	return r, nil
}

// gateway is a process of the project, started as the deploy file says.
type gateway struct {
	world    *world
	name     string
	settings string
	callers  netip.AddrPort
	ready    netip.AddrPort
	log      *os.File
	command  *exec.Cmd
	exited   chan struct{}
}

// descriptorLimit is the number of descriptors of a process.
const descriptorLimit = "4100"

// settingsText has the fields of the small deployment's settings that describe the
// gateway and the bounds of its rules.
const settingsText = `node_name=%s
role=gateway
machine_class=frontend
served_roles=frontend,control_plane
ip_address=%s
zone=attica-a
region=attica
zones.attica-a=attica
listen_addresses.frontend=%s
listen_addresses.ready=%s
internal_port_range=%d,%d
bootstrap=true
limits.cpu_fraction=0.304
limits.cpu_cores=1
limits.memory_limit_mb=284
limits.file_descriptors=` + descriptorLimit + `
heartbeat_interval_ms=1200
bounds.seed_staleness_s=3
bounds.address_reuse_s=2
bounds.contact_window_ms=3000
bounds.ack_timeout_ms=4000
bounds.sync_time_s=4
bounds.drain_timeout_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revocation=false
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=56
bounds.recovery_time_s=12
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

const (
	peerPorts = 16
	firstHost = 10 // in 127.0.0.0/24, before that of the first gateway
)

// freeAddress returns an address with a TCP port that is not in use.
func freeAddress(ip netip.Addr) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	return l.Addr().(*net.TCPAddr).AddrPort(), l.Close()
}

// addGateway starts a gateway that calls the store at an address.
func (w *world) addGateway(store netip.AddrPort) (*gateway, error) {
	n := len(w.gateways) + 1
	g := &gateway{world: w, name: fmt.Sprintf("frontend-attica-a-%d", n)}
	ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(firstHost + n)}) // each gateway has a machine of its own
	var err error
	if g.callers, err = freeAddress(ip); err != nil {
		return nil, err
	}
	if g.ready, err = freeAddress(ip); err != nil {
		return nil, err
	}
	firstPeerPort := min(int(g.ready.Port()), 65535-peerPorts)
	g.settings = filepath.Join(w.temp, g.name+".conf")
	text := fmt.Sprintf(settingsText, g.name, ip, g.callers, g.ready, firstPeerPort, firstPeerPort+peerPorts-1, store)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(w.temp, g.name+".log")); err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, g.start()
}

func (g *gateway) start() error {
	// The platform limits the descriptors of a process to limits.file_descriptors.
	g.command = exec.Command("sh", "-c", "ulimit -n "+descriptorLimit+" && exec target/briarreach gateway --tuning deploy/gateway.toml")
	g.command.Env = append(os.Environ(), "BRIARREACH_NODE_FILE="+g.settings)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	command := g.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	g.world.record("%s started, pid %d", g.name, g.command.Process.Pid)
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.world.record("%s gets signal %v", g.name, s)
	_ = g.command.Process.Signal(s)
}

// kill ends the process if it still runs.
func (g *gateway) kill() {
	select {
	case <-g.exited:
	default:
		_ = g.command.Process.Kill()
		<-g.exited
	}
}

// checks is the platform's client for readiness checks. It keeps its channels.
var checks = http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}

// isReady asks the readiness address, as the platform does.
func (g *gateway) isReady() bool {
	res, err := checks.Get("http://" + g.ready.String() + "/api/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, g := range w.gateways {
		for !g.isReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready after %v", g.name, timeout)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	w.record("all gateways are ready")
	return nil
}
