package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	stalledReaders = 1000
	normalReaders  = 100
	// maxMemoryGrowthBytes is the documented limit of a process's memory growth
	// with stalledReaders readers.
	maxMemoryGrowthBytes = 48 << 20
	// maxP99Slowdown is the limit of the ratio of the other requests' p99 with and
	// without stalled readers.
	maxP99Slowdown = 1.2
)

// residentBytes returns the resident memory of a process.
func (f *processFleet) residentBytes(name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.processes[name].Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kib << 10
		}
	}
	return 0
}

// awaitFullBuffers waits until the engine's streams have filled all buffers, that
// is, the bytes buffered by the agent no longer change.
func (f *processFleet) awaitFullBuffers() {
	last := ""
	Eventually(func() bool {
		response, err := http.Get("http://127.0.0.1:" + f.port("9281") + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		now := ""
		for line := range strings.Lines(string(body)) {
			if strings.HasPrefix(line, "briarreach_agent_buffered_bytes") {
				now = line
			}
		}
		same := now == last
		last = now
		return same
	}, 15*time.Second, time.Second).Should(BeTrue())
}

// openStalledReader sends a request for a long answer, reads the start of the
// response and then nothing more, and returns the connection.
func openStalledReader(address, key string) (net.Conn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return c, err
	}
	body := `{"model":"itinerary-large","stream":true,"max_tokens":8000,"messages":[{"role":"user","content":"stalled"}]}`
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	if err != nil {
		return c, err
	}
	line, err := bufio.NewReaderSize(c, 16).ReadString(' ')
	if err == nil && line != "HTTP/1.1 " {
		err = fmt.Errorf("unexpected answer %q", line)
	}
	return c, err
}

// measureNormalP99 runs short chats from normalReaders readers and returns the p99
// of the time until an answer is complete.
func measureNormalP99(ctx SpecContext, url, key string) time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	var group sync.WaitGroup
	for range normalReaders {
		group.Go(func() {
			defer GinkgoRecover()
			for range 20 {
				start := time.Now()
				status, _, body, err := send(ctx, url+"/v1/chat/completions", key, "", chatBody)
				Expect(reply{status, body, err}.complete()).To(BeTrue(), "%d %v %s", status, err, body)
				mu.Lock()
				times = append(times, time.Since(start))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(times)
	return times[len(times)*99/100]
}

// Guards against memory and batch slots held by callers that stop reading.
var _ = Describe("slow readers", func() {
	It("bounds the memory of 1,000 stalled readers and does not slow others", func(ctx SpecContext) {
		f := newProcessFleet()
		key := f.startAll("--slots", "2000", "--answer-tokens", "8000", "--rate", "200")
		f.run("target", "put", "engine-1", "--model", "itinerary-large", "--version", "v1",
			"--agent", "127.0.0.1:"+f.port("9181"), "--max-concurrent", "1500", "--max-tokens", "40000000")
		f.run("budget", "top-up", workspace, "--amount", "1000000000")
		url := "http://127.0.0.1:" + f.port("8081")
		measureNormalP99(ctx, url, key)
		baselineP99 := measureNormalP99(ctx, url, key)
		entryBefore, agentBefore := f.residentBytes("entry-1"), f.residentBytes("agent-engine-1")
		var mu sync.Mutex
		var connections []net.Conn
		var group sync.WaitGroup
		for range stalledReaders {
			group.Go(func() {
				defer GinkgoRecover()
				c, err := openStalledReader("127.0.0.1:"+f.port("8081"), key)
				Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				defer mu.Unlock()
				connections = append(connections, c)
			})
		}
		group.Wait()
		defer func() {
			for _, c := range connections {
				_ = c.Close()
			}
		}()
		Eventually(f.runningRequests, 10*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", stalledReaders))
		f.awaitFullBuffers()
		loadedP99 := measureNormalP99(ctx, url, key)
		entryGrowth, agentGrowth := f.residentBytes("entry-1")-entryBefore, f.residentBytes("agent-engine-1")-agentBefore
		fmt.Fprintf(GinkgoWriter, "growth: entry %d KiB, agent %d KiB; p99 alone %v, beside stalled readers %v\n",
			entryGrowth>>10, agentGrowth>>10, baselineP99, loadedP99)
		AddReportEntry("slow readers", fmt.Sprintf("entry %d KiB, agent %d KiB, p99 %v and %v", entryGrowth>>10, agentGrowth>>10, baselineP99, loadedP99))
		Expect(entryGrowth).To(BeNumerically("<", maxMemoryGrowthBytes))
		Expect(agentGrowth).To(BeNumerically("<", maxMemoryGrowthBytes))
		Expect(loadedP99.Seconds()).To(BeNumerically("<=", maxP99Slowdown*baselineP99.Seconds()))
	}, SpecTimeout(120*time.Second))
})
