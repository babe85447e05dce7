package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"briarreach/platform/standin"
)

// gatewayProcess is one gateway, started as the deploy file says.
type gatewayProcess struct {
	name    string
	callers netip.AddrPort
	ready   netip.AddrPort
	conf    string
	command *exec.Cmd
	log     *os.File
}

// start starts the process, again after it was killed.
func (g *gatewayProcess) start() error {
	g.command = exec.Command("target/briarreach", "gateway", "--tuning", "deploy/gateway.toml")
	g.command.Env = append(os.Environ(), "BRIARREACH_NODE_FILE="+g.conf)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.command.Start()
}

// kill ends the process with SIGKILL.
func (g *gatewayProcess) kill() {
	_ = g.command.Process.Kill()
	_, _ = g.command.Process.Wait()
}

// fleet is a small deployment: a store, gateway processes and replicas.
type fleet struct {
	dir      string
	store    *standin.Store
	gateways []*gatewayProcess
	record   *recorder
	client   *http.Client
	started  time.Time

	mu       sync.Mutex
	replicas []*replica
	closed   bool
}

// settings is the settings file of a machine of a small deployment, with the bounds of its sheet.
const settings = `node_name=%[1]s
role=gateway
machine_class=frontend
served_roles=frontend
ip_address=127.0.0.1
zone=a
region=r
zones.a=r
listen_addresses.frontend=%[2]s
listen_addresses.ready=%[3]s
internal_port_range=%[4]d,%[5]d
bootstrap=true
limits.cpu_fraction=1
limits.cpu_cores=1
limits.memory_limit_mb=284
limits.file_descriptors=4100
limits.link_bandwidth_mbps=1000.0
limits.disk_size_mb=0
discovery=platform
entry_point=virtual_ip
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
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=56
bounds.recovery_time_s=12
bounds.step_time_ms=120
bounds.cache_window_s=9.9
bounds.settle_ms=1500
platform.address=%[6]s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.transaction_timeout_ms=5.0
platform.part_writes_per_s=200
platform.max_row_bytes=65536
platform.cross_partition=false
platform.history_retention_s=20
platform.max_object_bytes=8388608
platform.object_latency_ms=25.0
platform.blob_mb_per_s=80.0
`

const (
	contactWindow = 3 * time.Second
	peerPorts     = 16
	startTimeout  = 15 * time.Second
	// entryLapse is when the registry has removed the entry of a replica that is
	// silent: three check-in intervals of 1.2 s.
	entryLapse = 3600 * time.Millisecond
)

// newFleet starts a store and gateways. The configuration must be in the store before.
func newFleet(r *recorder, config map[string]any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: store, record: r, started: time.Now(), client: &http.Client{Timeout: 20 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	f.configure(config)
	return f, nil
}

// configure publishes a configuration, as the operator does.
func (f *fleet) configure(config map[string]any) {
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	f.store.Put("op", "", "config", data)
	f.record.add("config", map[string]any{"version": config["version"]})
}

// startGateways starts gateways and waits until they are ready.
func (f *fleet) startGateways(n int) error {
	for i := range n {
		g := &gatewayProcess{name: fmt.Sprintf("frontend-a-%d", i+1)}
		var err error
		if g.callers, err = standin.FreeAddress(); err != nil {
			return err
		}
		if g.ready, err = standin.FreeAddress(); err != nil {
			return err
		}
		port, err := freeUDPPorts()
		if err != nil {
			return err
		}
		g.conf = filepath.Join(f.dir, g.name+".conf")
		text := fmt.Sprintf(settings, g.name, g.callers, g.ready, port, port+peerPorts-1, f.store.Address())
		if err := os.WriteFile(g.conf, []byte(text), 0o600); err != nil {
			return err
		}
		if g.log, err = os.Create(filepath.Join(f.dir, g.name+".log")); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
	}
	deadline := time.Now().Add(startTimeout)
	for _, g := range f.gateways {
		for !f.isReady(g) {
			if time.Now().After(deadline) {
				return errors.New("a gateway did not get ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // they get to know each other
	return nil
}

func (f *fleet) isReady(g *gatewayProcess) bool {
	res, err := f.client.Get("http://" + g.ready.String() + "/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func freeUDPPorts() (int, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	port := min(c.LocalAddr().(*net.UDPAddr).Port, 65535-peerPorts)
	return port, c.Close()
}

// close ends all processes of the fleet. With KEEP set, their logs stay.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	replicas := f.replicas
	f.mu.Unlock()
	for _, g := range f.gateways {
		g.kill()
		_ = g.log.Close()
	}
	for _, r := range replicas {
		r.stop()
	}
	_ = f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// request is a caller's request.
type request struct {
	id, kind, method, path, key, body string
	header                            map[string]string
}

// answer is what a caller got.
type answer struct {
	status int
	events int
	err    error
}

// send sends a request to a gateway and reads the whole answer.
func (f *fleet) send(g *gatewayProcess, r request) answer {
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	req, err := http.NewRequest(r.method, "http://"+g.callers.String()+r.path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", r.id)
	req.Header.Set("Authorization", "Token "+r.key)
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	sent := time.Now()
	var a answer
	var text []byte
	if res, err := f.client.Do(req); err != nil {
		a.err = err
	} else {
		a.status = res.StatusCode
		text, a.err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.events = strings.Count(string(text), "\n\n")
	}
	fields := map[string]any{"id": r.id, "kind": r.kind, "gateway": g.name, "sent": f.record.at(sent), "status": a.status}
	if a.err != nil {
		fields["error"] = a.err.Error()
	}
	if a.status >= 400 {
		fields["body"] = string(text[:min(len(text), 120)])
	}
	f.record.add("answer", fields)
	return a
}

func (f *fleet) anyGateway() *gatewayProcess { return f.gateways[rand.IntN(len(f.gateways))] }

var nextID struct {
	sync.Mutex
	n int
}

func newID(prefix string) string {
	nextID.Lock()
	defer nextID.Unlock()
	nextID.n++
	return fmt.Sprintf("%s-%06d", prefix, nextID.n)
}

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, start: time.Now()}, nil
}

// at returns a time in seconds since the start.
func (r *recorder) at(t time.Time) float64 {
	return float64(t.Sub(r.start).Milliseconds()) / 1000
}

func (r *recorder) add(event string, fields map[string]any) {
	fields["event"], fields["at"] = event, r.at(time.Now())
	data, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(data, '\n'))
}

func (r *recorder) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.add("result", map[string]any{"text": text})
}
