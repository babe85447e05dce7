package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/operator"
)

// The limits of the entry in the specs below. The bound on resident memory is the
// idle process (40 MB) with twice the memory for requests (32 MiB), as the garbage
// collector lets a quarter more than the live memory be in use, rounded up.
const (
	hostileMaxRequests      = 300
	hostileMaxBodyBytes     = 4 << 20
	hostileMaxMemoryBytes   = 32 << 20
	maxHostileResidentBytes = 128 << 20
	// maxHostileDescriptors leaves room for the process's own files and sockets, and
	// for connections that are closed while others are accepted.
	maxHostileDescriptors = 2 * hostileMaxRequests
	ordinaryRequestTime   = 20 * time.Second
)

// hostileSettings are added to the entry's settings.
var hostileSettings = fmt.Sprintf("max_requests = %d\nmax_body_bytes = %d\nmax_request_memory_bytes = %d\n",
	hostileMaxRequests, hostileMaxBodyBytes, hostileMaxMemoryBytes)

// hostileCrowd is a number of connections that each write what send writes and then
// stay open.
type hostileCrowd struct {
	connections int
	send        func(w io.Writer) error
}

const hostileHeader = "POST /v1/chat/completions HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer no-such-key\r\n"

// writeChunks writes n chunks with the same data.
func writeChunks(w io.Writer, n int, data []byte) error {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data)
	perWrite := max(1, (64<<10)/len(chunk))
	block := bytes.Repeat(chunk, perWrite)
	for ; n > 0; n -= perWrite {
		if _, err := w.Write(block[:min(n, perWrite)*len(chunk)]); err != nil {
			return err
		}
	}
	return nil
}

// writeStrings writes parts one after the other.
func writeStrings(w io.Writer, parts ...string) error {
	for _, part := range parts {
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
	}
	return nil
}

// run opens the crowd's connections and returns when all have written what they
// can, or after 15 s.
func (h hostileCrowd) run(address string) {
	var mu sync.Mutex
	var open []net.Conn
	DeferCleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	})
	deadline := time.Now().Add(15 * time.Second)
	var group sync.WaitGroup
	for range h.connections {
		group.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return // refused connections are no failure
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(deadline)
			_ = h.send(c)
		})
	}
	group.Wait()
}

// addSettings adds lines to a table of an example's settings file.
func (f *processFleet) addSettings(file, table, lines string) {
	path, header := filepath.Join(f.dir, "examples", file), "["+table+"]\n"
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, []byte(strings.Replace(string(text), header, header+lines, 1)), 0o600)).To(Succeed())
}

// openDescriptors returns the number of open descriptors of a process.
func (f *processFleet) openDescriptors(name string) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.processes[name].Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return len(files)
}

// observePeaks samples a process until stop is called, which returns the most
// resident memory and descriptors that were seen.
func (f *processFleet) observePeaks(name string) (stop func() (resident int64, descriptors int)) {
	var resident int64
	var descriptors int
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		for {
			resident = max(resident, f.residentBytes(name))
			descriptors = max(descriptors, f.openDescriptors(name))
			select {
			case <-end:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() (int64, int) {
		close(end)
		<-done
		return resident, descriptors
	}
}

// Guards against callers that end or exhaust an entry with requests that are large,
// slow or never complete.
var _ = Describe("hostile callers at an entry", Ordered, ContinueOnFailure, Serial, func() {
	var f *processFleet
	var key string
	BeforeAll(func() {
		f = newProcessFleet()
		f.addSettings("entry-1.toml", "entry", hostileSettings)
		key = f.startAll()
	})
	BeforeEach(func() {
		if f.processes["entry-1"] != nil {
			f.kill("entry-1")
		}
		f.start("entry-1", "entry", "--settings", "examples/entry-1.toml")
	})

	// answers reports whether the entry answers an ordinary request on a new connection.
	answers := func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:"+f.port("8081")+"/v1/chat/completions", strings.NewReader(chatBody))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+key)
		response, err := client.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
			return fmt.Errorf("%d %q: %w", response.StatusCode, body, err)
		}
		return nil
	}

	megabyte := bytes.Repeat([]byte(" "), 1<<20)
	const chunked = hostileHeader + "Transfer-Encoding: chunked\r\n\r\n"
	manyFields := strings.Repeat("a:\r\n", 3500)

	// expectBounded lets the crowd at a process's port, and expects that the process
	// stays in its bounds and answers an ordinary request.
	expectBounded := func(ctx context.Context, process, port string, ordinary func(context.Context) error, crowd hostileCrowd) {
		Eventually(ctx, ordinary, 20*time.Second, 100*time.Millisecond).Should(Succeed())
		stop := f.observePeaks(process)
		crowd.run("127.0.0.1:" + f.port(port))
		// The crowd's connections are still open.
		start := time.Now()
		var answerErr error
		for answerErr = ordinary(ctx); answerErr != nil && time.Since(start) < ordinaryRequestTime; answerErr = ordinary(ctx) {
			time.Sleep(200 * time.Millisecond)
		}
		Expect(f.processes[process].Process.Signal(syscall.Signal(0))).To(Succeed(), "the process has ended")
		resident, descriptors := stop()
		AddReportEntry("peaks", fmt.Sprintf("resident %d MiB, %d descriptors, answer after %v: %v", resident>>20, descriptors, time.Since(start), answerErr))
		Expect(resident).To(BeNumerically("<", maxHostileResidentBytes))
		Expect(descriptors).To(BeNumerically("<", maxHostileDescriptors))
		Expect(answerErr).NotTo(HaveOccurred())
	}

	DescribeTable("leave the process within its bounds, and others are answered",
		func(ctx SpecContext, crowd hostileCrowd) { expectBounded(ctx, "entry-1", "8081", answers, crowd) },
		Entry("bodies in large chunks that stop just short of their end", hostileCrowd{100, func(w io.Writer) error {
			if err := writeStrings(w, chunked); err != nil {
				return err
			}
			if err := writeChunks(w, 3, megabyte); err != nil {
				return err
			}
			return writeStrings(w, "ffff0\r\n", string(megabyte[:0xffff0-1]))
		}}),
		Entry("bodies in one announced piece that stop just short of their end", hostileCrowd{100, func(w io.Writer) error {
			return writeStrings(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", hostileHeader, hostileMaxBodyBytes), strings.Repeat(" ", hostileMaxBodyBytes-1))
		}}),
		Entry("bodies in very small chunks that stop just short of their end", hostileCrowd{100, func(w io.Writer) error {
			if err := writeStrings(w, chunked); err != nil {
				return err
			}
			return writeChunks(w, hostileMaxBodyBytes/16-1, megabyte[:16])
		}}),
		Entry("bodies far over the limit that are announced", hostileCrowd{100, func(w io.Writer) error {
			return writeStrings(w, hostileHeader+"Content-Length: 1073741824\r\n\r\n", strings.Repeat(" ", 8*hostileMaxBodyBytes))
		}}),
		Entry("bodies far over the limit that are just sent", hostileCrowd{100, func(w io.Writer) error {
			if err := writeStrings(w, chunked); err != nil {
				return err
			}
			return writeChunks(w, 32<<10, megabyte[:4<<10])
		}}),
		Entry("bodies that take many times their length when parsed", hostileCrowd{30, func(w io.Writer) error {
			body := `{"model":"m","messages":[{}` + strings.Repeat(",{}", hostileMaxBodyBytes/3-20) + `]}`
			return writeStrings(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", hostileHeader, len(body)), body)
		}}),
		Entry("headers that never end", hostileCrowd{250, func(w io.Writer) error {
			return writeStrings(w, hostileHeader, strings.Repeat("X-Filler: "+strings.Repeat("x", 90)+"\r\n", 10_000))
		}}),
		Entry("headers of many fields before bodies that stop short", hostileCrowd{250, func(w io.Writer) error {
			return writeStrings(w, hostileHeader, manyFields, "Content-Length: 100\r\n\r\n{")
		}}),
		Entry("chunk extensions that never end", hostileCrowd{250, func(w io.Writer) error {
			return writeStrings(w, chunked+"1;", string(megabyte))
		}}),
		Entry("trailers that never end", hostileCrowd{250, func(w io.Writer) error {
			return writeStrings(w, chunked+"0\r\n", strings.Repeat("X-Filler: x\r\n", 100_000))
		}}),
		Entry("pipelined requests whose responses are not read", hostileCrowd{250, func(w io.Writer) error {
			return writeStrings(w, strings.Repeat("GET /healthz HTTP/1.1\r\nHost: fleet\r\n\r\n", 50_000))
		}}),
		Entry("connections that stay idle", hostileCrowd{2 * hostileMaxRequests, func(io.Writer) error { return nil }}),
		Entry("connections that send half a header", hostileCrowd{2 * hostileMaxRequests, func(w io.Writer) error {
			return writeStrings(w, hostileHeader)
		}}),
	)

	// Guards against a server that stops accepting when the process has no descriptors left.
	It("are answered when there are fewer descriptors than connections", func(ctx SpecContext) {
		f.kill("entry-1")
		c := exec.Command("sh", "-c", `ulimit -n 200 && exec "$0" "$@"`, f.binary, "entry", "--settings", "examples/entry-1.toml")
		c.Dir, c.Stdout, c.Stderr = f.dir, f.output["entry-1"], f.output["entry-1"]
		Expect(c.Start()).To(Succeed())
		f.processes["entry-1"] = c
		expectBounded(ctx, "entry-1", "8081", answers, hostileCrowd{2 * hostileMaxRequests, func(io.Writer) error { return nil }})
	})

	// get reports whether a GET on a port is answered with 200.
	get := func(port, path, key string) func(context.Context) error {
		return func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://127.0.0.1:"+f.port(port)+path, nil)
			if err != nil {
				return err
			}
			r.Close = true
			r.Header.Set("Authorization", "Bearer "+key)
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d", response.StatusCode)
			}
			return nil
		}
	}
	// stopShort sends all but the last byte of an announced body.
	stopShort := func(bodyBytes int) func(io.Writer) error {
		return func(w io.Writer) error {
			return writeStrings(w, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: fleet\r\nContent-Length: %d\r\n\r\n", operator.PatchPath, bodyBytes), strings.Repeat(" ", bodyBytes-1))
		}
	}
	half := func(w io.Writer) error { return writeStrings(w, "GET /") }
	DescribeTable("at other servers leave the process within its bounds, and others are answered",
		func(ctx SpecContext, process, port, path string, crowd hostileCrowd) {
			secret, err := os.ReadFile(filepath.Join(f.dir, "operator.key"))
			Expect(err).NotTo(HaveOccurred())
			expectBounded(ctx, process, port, get(port, path, strings.TrimSpace(string(secret))), crowd)
		},
		Entry("bodies that stop short, operators", "entry-1", "8181", operator.ConfigPath, hostileCrowd{250, stopShort(1 << 20)}),
		Entry("half a header, operators", "entry-1", "8181", operator.ConfigPath, hostileCrowd{2 * hostileMaxRequests, half}),
		Entry("half a header, metrics of an agent", "agent-engine-1", "9281", "/healthz", hostileCrowd{2 * hostileMaxRequests, half}),
		Entry("bodies that stop short, metrics of an agent", "agent-engine-1", "9281", "/healthz", hostileCrowd{250, stopShort(1 << 10)}),
	)
})
