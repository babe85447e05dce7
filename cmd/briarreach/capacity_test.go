package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
)

// clockTicksPerSecond is the unit of processor time in /proc/<pid>/stat on Linux.
const clockTicksPerSecond = 100

// processorTime returns the processor time that a process has used.
func (f *processFleet) processorTime(name string) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.processes[name].Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	ticks := 0
	for _, text := range fields[11:13] {
		n, err := strconv.Atoi(text)
		Expect(err).NotTo(HaveOccurred())
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// addAgents starts n more agents for targets of the model and registers them.
func (f *processFleet) addAgents(n int) {
	base, err := os.ReadFile(filepath.Join(f.dir, "examples", "agent-engine-1.toml"))
	Expect(err).NotTo(HaveOccurred())
	var operations []config.Operation
	for i := range n {
		name := fmt.Sprintf("idle-%d", i)
		f.run("keys", "issue", "agent-"+name, "--role", "agent", "--dir", "certs")
		text := strings.ReplaceAll(string(base), "engine-1", name)
		text = strings.ReplaceAll(text, f.port("9181"), f.port("peer-"+name))
		text = strings.ReplaceAll(text, f.port("9281"), f.port("metrics-"+name))
		file := filepath.Join(f.dir, name+".toml")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		f.start("agent-"+name, "agent", "--settings", file)
		operations = append(operations, config.PutTarget{Target: config.Target{Name: name, Model: "itinerary-large", Version: "v1",
			AgentAddr: netip.MustParseAddrPort("127.0.0.1:" + f.port("peer-"+name)), MaxConcurrent: 64, MaxTokens: 1 << 18}})
	}
	if n == 0 {
		return
	}
	for len(operations) > 0 {
		batch := operations[:min(len(operations), 40)]
		operations = operations[len(batch):]
		data, err := json.Marshal(config.Patch{ID: newPatchID(), Base: 0, Operations: batch})
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(f.dir, "patch.json")
		Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
		f.run("config", "patch", file, "--wait", "30s")
	}
}

// Prints the processor time and memory of idle daemons in fleets of three sizes,
// for docs/CAPACITY.md. It runs only with BRIARREACH_CAPACITY=run and checks
// nothing.
var _ = It("prints the control cost of idle daemons", func(ctx SpecContext) {
	if os.Getenv("BRIARREACH_CAPACITY") != "run" {
		Skip("prints figures only; BRIARREACH_CAPACITY=run runs it")
	}
	f := newProcessFleet()
	f.startAll()
	agents := 2
	for _, size := range []int{2, 12, 42} {
		f.addAgents(size - agents)
		agents = size
		time.Sleep(5 * time.Second)
		const measurementTime = 20 * time.Second
		entryBefore, agentBefore := f.processorTime("entry-2"), f.processorTime("agent-engine-1")
		time.Sleep(measurementTime)
		fmt.Printf("agents %d: entry %.2f %% of a core, %d KiB; agent %.2f %%, %d KiB\n", size,
			100*(f.processorTime("entry-2")-entryBefore).Seconds()/measurementTime.Seconds(), f.residentBytes("entry-2")>>10,
			100*(f.processorTime("agent-engine-1")-agentBefore).Seconds()/measurementTime.Seconds(), f.residentBytes("agent-engine-1")>>10)
	}
}, SpecTimeout(5*time.Minute))
