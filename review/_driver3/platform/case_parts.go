package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["parts"] = parts }

// parts checks that gateways stay within the memory of their machines while clients send
// requests that list thousands of parts of a prompt.
func parts(r *run) (verdict, error) {
	const (
		memoryMB     = 134 // of the machines of the site
		replicas     = 18
		crowd        = 500 // connections to each gateway
		endsAllowed  = 2   // of each of two gateways
		lasts        = 80 * time.Second
		restartDelay = 500 * time.Millisecond
	)
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	f.memoryMB = memoryMB
	config := standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: 3_000_000})
	config["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	if err := f.configure(config); err != nil {
		return failed, err
	}
	for i := range replicas {
		e, err := f.startReplica(fmt.Sprintf("engine-%d", i), "engine", serveModel)
		if err != nil {
			return failed, err
		}
		defer e.close()
	}
	if err := f.addGateways(2); err != nil {
		return failed, err
	}
	pause(3 * time.Second)

	stop := make(chan struct{})
	var all sync.WaitGroup
	var watches []*memoryWatch
	for _, g := range f.gateways {
		w := &memoryWatch{gateway: g, limit: memoryMB << 20}
		watches = append(watches, w)
		all.Go(func() { w.enforce(r, restartDelay, stop) })
		all.Go(func() { g.sendOrdinary(r, stop) })
		if r.trouble {
			for client := range crowd {
				all.Go(func() { g.sendManyParts(client, stop) })
			}
		}
	}
	isBroken := func() bool {
		machines := 0
		for _, w := range watches {
			if w.kills.Load() > endsAllowed {
				machines++
			}
		}
		return machines == len(watches)
	}
	for end := time.Now().Add(lasts); time.Now().Before(end) && !isBroken(); {
		pause(time.Second)
	}
	close(stop)
	all.Wait()
	for _, w := range watches {
		r.printf("%s: the platform ended it %d times for its memory; the most it held are %d MB of %d", w.gateway.name, w.kills.Load(), w.peak>>20, memoryMB)
		if w.failed.Load() {
			return failed, errors.New("a gateway ended otherwise, or did not start")
		}
	}
	if isBroken() {
		return broken, nil
	}
	return held, nil
}

// memoryWatch enforces the memory limit of a gateway's machine, as the platform does.
type memoryWatch struct {
	gateway *gateway
	limit   int // bytes
	peak    int // bytes
	kills   atomic.Int64
	failed  atomic.Bool // the process ended otherwise, or did not start
}

// enforce kills the process when it holds more than the limit, and starts it again.
func (w *memoryWatch) enforce(r *run, delay time.Duration, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if !w.gateway.running() {
			w.failed.Store(true)
			return
		}
		resident, unread := w.gateway.memory()
		w.peak = max(w.peak, resident+unread)
		if resident+unread <= w.limit {
			continue
		}
		w.gateway.kill()
		r.printf("platform: %s holds %d MB, and %d MB that were received and not read, of %d MB: killed, number %d",
			w.gateway.name, resident>>20, unread>>20, w.limit>>20, w.kills.Add(1))
		pause(delay)
		if err := w.gateway.start(); err != nil {
			r.printf("%s can't start again: %v", w.gateway.name, err)
			w.failed.Store(true)
			return
		}
	}
}

// memory returns the resident memory of the process, and the bytes that the connections
// of its callers have received and that it has not read.
func (g *gateway) memory() (resident, unread int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range bytes.Lines(status) {
		if f := strings.Fields(string(line)); len(f) == 3 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			resident = kb << 10
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return resident, 0
	}
	port := fmt.Sprintf(":%04X", g.caller.Port())
	const listening, notAccepted = "0A", "0" // a state, and an inode
	for line := range bytes.Lines(table) {
		f := strings.Fields(string(line))
		if len(f) < 10 || !strings.HasSuffix(f[1], port) || f[3] == listening || f[9] == notAccepted {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		unread += int(n)
	}
	return resident, unread
}

// sendOrdinary sends sound requests, one after the other.
func (g *gateway) sendOrdinary(r *run, stop chan struct{}) {
	for n := 0; ; n++ {
		a := g.send(request{method: http.MethodPost, path: "/chat/1", key: "key0", timeout: 2 * time.Second,
			usage: "900,30", prefix: fmt.Sprintf("5c1e:600,%04x:300", n), body: "prompt"})
		r.printf("ordinary client at %s: POST /chat/1: %v", g.name, a)
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// manyParts is a list of parts that fits in the header with the other fields.
var manyParts = strings.Repeat(":0,", 5300) + "a:0"

// pipelinedBody is what follows in the body of the next request.
var pipelinedBody = strings.Repeat("x", 64<<10)

// sendManyParts sends requests whose prompts have many parts, each on a new connection,
// and the begin of the next request behind it.
func (g *gateway) sendManyParts(client int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if !g.sendManyPartsOnce(fmt.Sprintf("%08x%08x", 0xc000_0000+client, n)) {
			pause(100 * time.Millisecond)
		}
	}
}

func (g *gateway) sendManyPartsOnce(id string) (ok bool) {
	c, err := net.DialTimeout("tcp", g.caller.String(), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	const head = "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nAuthorization: Token key0\r\n"
	if _, err := fmt.Fprintf(c, head+"Model: m\r\nToken-Usage: 1,1\r\nDeadline-Ms: 200\r\nPrompt-Prefix: %s\r\nContent-Length: 0\r\n\r\n", "/chat/1", id, manyParts); err != nil {
		return false
	}
	go func() {
		_, _ = fmt.Fprintf(c, head+"Content-Length: 4000000\r\n\r\n%s", "/book/1", id+"b", pipelinedBody)
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}
