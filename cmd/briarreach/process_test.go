package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/operator"
	"briarreach/platform/standin"
)

// processFleet runs a fleet of separate processes with the example settings, in
// which free ports replace the examples' ports.
type processFleet struct {
	dir       string
	binary    string
	ports     map[string]string
	processes map[string]*exec.Cmd
	output    map[string]*syncBuffer
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

func newProcessFleet() *processFleet {
	f := &processFleet{dir: GinkgoT().TempDir(), ports: map[string]string{}, processes: map[string]*exec.Cmd{}, output: map[string]*syncBuffer{}}
	f.binary = filepath.Join(f.dir, "briarreach")
	out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	examples, err := filepath.Glob("../../examples/*")
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Mkdir(filepath.Join(f.dir, "examples"), 0o700)).To(Succeed())
	for _, file := range examples {
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		text := loopbackAddress.ReplaceAllStringFunc(string(data), func(a string) string { return "127.0.0.1:" + f.port(strings.TrimPrefix(a, "127.0.0.1:")) })
		Expect(os.WriteFile(filepath.Join(f.dir, "examples", filepath.Base(file)), []byte(text), 0o600)).To(Succeed())
	}
	DeferCleanup(f.stop)
	return f
}

// port returns the free port that replaces a port of the examples. It is below those of
// outgoing connections, which could take it before its process listens there.
func (f *processFleet) port(example string) string {
	if p, ok := f.ports[example]; ok {
		return p
	}
	address, err := standin.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	f.ports[example] = strconv.Itoa(int(address.Port()))
	return f.ports[example]
}

func (f *processFleet) command(args ...string) *exec.Cmd {
	c := exec.Command(f.binary, args...)
	c.Dir = f.dir
	c.Env = append(os.Environ(), "BRIARREACH_ENTRY=http://127.0.0.1:"+f.port("8181"), "BRIARREACH_KEY_FILE=operator.key")
	return c
}

// run runs a command until it exits and returns its output.
func (f *processFleet) run(args ...string) string {
	out, err := f.command(args...).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%v: %s", args, out)
	return string(out)
}

// start starts a process in the background.
func (f *processFleet) start(name string, args ...string) {
	c := f.command(args...)
	f.output[name] = &syncBuffer{}
	c.Stdout, c.Stderr = f.output[name], f.output[name]
	Expect(c.Start()).To(Succeed())
	f.processes[name] = c
}

// terminate sends SIGTERM and expects a clean exit.
func (f *processFleet) terminate(name string) {
	c := f.processes[name]
	delete(f.processes, name)
	Expect(c.Process.Signal(syscall.SIGTERM)).To(Succeed())
	done := make(chan error, 1)
	go func() { done <- c.Wait() }()
	Eventually(done, 30*time.Second).Should(Receive(BeNil()), func() string { return f.output[name].String() })
}

func (f *processFleet) stop() {
	for name, c := range f.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
		if CurrentSpecReport().Failed() {
			fmt.Fprintf(GinkgoWriter, "== %s\n%s\n", name, f.output[name])
		}
	}
}

// startAll runs the commands of examples/README.md, with additional flags for
// the engine, and returns a caller key.
func (f *processFleet) startAll(engineFlags ...string) string {
	f.run("keys", "authority", "--dir", "certs")
	for _, p := range []string{"entry-1", "entry-2"} {
		f.run("keys", "issue", p, "--role", "entry", "--dir", "certs")
	}
	for _, p := range []string{"agent-engine-1", "agent-service-1"} {
		f.run("keys", "issue", p, "--role", "agent", "--dir", "certs")
	}
	f.start("table", "standin", "table", "--port", f.port("8500"))
	f.start("engine", append([]string{"standin", "engine", "--port", f.port("7001")}, engineFlags...)...)
	f.start("service", "standin", "service", "--port", f.port("7101"))
	for _, name := range []string{"table", "engine", "service"} {
		Eventually(f.output[name].String, 10*time.Second).Should(ContainSubstring("ready"))
	}
	f.run("init", "--settings", "examples/entry-1.toml", "--key-file", "operator.key")
	f.start("agent-engine-1", "agent", "--settings", "examples/agent-engine-1.toml")
	f.start("agent-service-1", "agent", "--settings", "examples/agent-service-1.toml")
	f.start("entry-1", "entry", "--settings", "examples/entry-1.toml")
	f.start("entry-2", "entry", "--settings", "examples/entry-2.toml")
	Eventually(func() error {
		out, err := f.command("config", "patch", "examples/patch.json").CombinedOutput()
		if err != nil {
			return errors.New(string(out))
		}
		return nil
	}, 20*time.Second, 100*time.Millisecond).Should(Succeed())
	out := f.run("workspace", "create", "chania-desk", "--prepaid", "500000")
	_, key, found := strings.Cut(out, "(shown once): ")
	Expect(found).To(BeTrue(), out)
	return strings.TrimSpace(strings.SplitN(key, "\n", 2)[0])
}

// send posts a body and returns the response's status, header and body.
func send(ctx context.Context, url, key, idempotencyKey, body string) (int, http.Header, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(answer), err
}

// billedTokens returns the tokens billed to a budget, or -1 if there is none.
func (f *processFleet) billedTokens(name string) int64 {
	var budgets []operator.Budget
	Expect(json.Unmarshal([]byte(f.run("budget", "list", "--json")), &budgets)).To(Succeed())
	for _, b := range budgets {
		if b.Name == name {
			return b.Settled
		}
	}
	return -1
}

// targetCost returns the cost of what the targets report that they have run.
func (f *processFleet) targetCost() int64 {
	var engine struct {
		Runs []struct {
			PromptTokens    int64 `json:"prompt_tokens"`
			GeneratedTokens int64 `json:"generated_tokens"`
		} `json:"runs"`
	}
	var service struct {
		Runs []json.RawMessage `json:"runs"`
	}
	f.getJSON("7001", "/runs", &engine)
	f.getJSON("7101", "/runs", &service)
	cost := 5 * int64(len(service.Runs))
	for _, run := range engine.Runs {
		cost += run.PromptTokens + run.GeneratedTokens
	}
	return cost
}

// kill ends a process with SIGKILL.
func (f *processFleet) kill(name string) {
	c := f.processes[name]
	delete(f.processes, name)
	Expect(c.Process.Kill()).To(Succeed())
	_ = c.Wait()
}

// signal sends a signal to a process that keeps running.
func (f *processFleet) signal(name string, s syscall.Signal) {
	Expect(f.processes[name].Process.Signal(s)).To(Succeed())
}

// budget returns a budget as the entry at entryPort reports it, or the zero value
// if the command fails or lists no such budget.
func (f *processFleet) budget(entryPort, name string) operator.Budget {
	c := f.command("budget", "list", "--json", "--entry", "http://127.0.0.1:"+f.port(entryPort))
	out, err := c.Output()
	if err != nil {
		return operator.Budget{}
	}
	var budgets []operator.Budget
	Expect(json.Unmarshal(out, &budgets)).To(Succeed())
	for _, b := range budgets {
		if b.Name == name {
			return b
		}
	}
	return operator.Budget{}
}

func (f *processFleet) getJSON(port, path string, into any) {
	response, err := http.Get("http://127.0.0.1:" + f.port(port) + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
}

const chatBody = `{"model":"itinerary-large","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"A tour of the tower"}]}`

// Guards against request paths that work only if all parts run in one process.
var _ = Describe("separate processes", func() {
	It("serves both kinds of requests, bills them once and stops cleanly", func(ctx SpecContext) {
		f := newProcessFleet()
		key := f.startAll()
		entries := []string{"http://127.0.0.1:" + f.port("8081"), "http://127.0.0.1:" + f.port("8082")}
		for i := range 10 {
			status, header, answer, err := send(ctx, entries[i%2]+"/v1/chat/completions", key, "", chatBody)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK), answer)
			Expect(answer).To(HaveSuffix("data: [DONE]\n\n"))
			Expect(header.Get("Idempotency-Key")).NotTo(BeEmpty())
		}
		first, second := "", ""
		for i, into := range []*string{&first, &second} {
			// For 2 s after its start, an agent refuses non-idempotent calls as
			// not run: the process before it may have run them.
			Eventually(func(g Gomega) {
				status, _, answer, err := send(ctx, entries[i]+"/v1/services/bookings/bookings", key, "booking-1", `{"slot":"10:30"}`)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(status).To(Equal(http.StatusOK), answer)
				*into = answer
			}, 10*time.Second, 100*time.Millisecond).Should(Succeed())
		}
		Expect(second).To(Equal(first), "a retry at another entry gets the first outcome")
		Eventually(func() int64 { return f.billedTokens("chania-desk") }, 10*time.Second, 100*time.Millisecond).Should(Equal(f.targetCost()))
		Expect(f.run("timeline", "--workspace", "chania-desk")).To(ContainSubstring("billed"))
		for _, name := range []string{"entry-1", "entry-2", "agent-engine-1", "agent-service-1", "table", "engine", "service"} {
			f.terminate(name)
		}
	}, SpecTimeout(90*time.Second))
})
