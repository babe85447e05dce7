package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["silence"] = silence }

const (
	silenceEvents   = 80
	silenceInterval = 50 * time.Millisecond
	silenceAfter    = 40 // events of a run, before the pause
	silencePause    = 2 * time.Second
)

// pausing streams events. A run pauses once in its middle, as a request does that is
// preempted and read in again. It ends when its channel closes.
func pausing(pause time.Duration) behaviour {
	return func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		r.run(req, body)
		id := req.Header.Get("Attempt-Id")
		first := 1
		if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, id)
		for n := first; n <= silenceEvents; n++ {
			time.Sleep(silenceInterval)
			if n == silenceAfter+1 && first == 1 {
				time.Sleep(pause - silenceInterval)
			}
			event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", n, n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				r.world.record("%s: the channel of %s was closed before event %d", r.id, id, n)
				return false
			}
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
}

// silence sends streams to a gateway that has just got SIGHUP, while the replicas
// pause in the middle of each, and looks for streams that the gateway cuts.
func silence(w *world, trouble bool) ([]string, error) {
	const (
		timeout = 15 * time.Second
		apply   = 2 * time.Second
		streams = 40
	)
	config := standin.Configuration(1, 64, standin.Workspace{Name: "acme", APIKey: "k1", TokenQuota: 1 << 40})
	config["routes"] = append(config["routes"].([]any), standin.Route("brief", "/brief/", "streaming", "engine", map[string]any{"session_affinity": true,
		"stream_resumption": true, "max_attempts": 2, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 800, "gap_target_ms": 400}))
	if err := w.putConfig(config); err != nil {
		return nil, err
	}
	pause := time.Duration(0)
	if trouble {
		pause = silencePause
	}
	for i := range 3 {
		if _, err := w.addReplica(fmt.Sprintf("i-engine-%d", i+1), "engine", 64, pausing(pause)); err != nil {
			return nil, err
		}
	}
	for range 3 {
		if _, err := w.addGateway(w.store.Address()); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // so that the gateways are in touch
	g := w.gateways[0]
	g.signal(syscall.SIGHUP)
	signaled := time.Now()
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for n := range streams {
		clients.Go(func() {
			time.Sleep(200*time.Millisecond + time.Duration(n)*40*time.Millisecond)
			a := w.send(g.name, g.callers, request{id: fmt.Sprintf("brief-%d", n), method: http.MethodPost, path: "/brief/x", key: "k1", timeout: timeout, body: "hello",
				header: []string{"Model: m", "Token-Usage: 700,300", fmt.Sprintf("Prompt-Prefix: a%d:300,b%d:400", n%4, n)}})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	clients.Wait()
	ran := make(map[string]int)
	for _, r := range w.replicas {
		for _, e := range r.runs() {
			ran[e.id]++
		}
	}
	var violations []string
	whole := 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK:
			whole++
		case a.status == 0 && ran[a.request.id] > 0 && a.sent.Before(signaled.Add(apply)) && a.ended.Sub(a.sent) < timeout:
			violations = append(violations, fmt.Sprintf("LOST: %s, sent %d ms after the gateway's SIGHUP, ended after %d ms without a complete answer: %v", a.request.id, a.sent.Sub(signaled).Milliseconds(), a.ended.Sub(a.sent).Milliseconds(), a.err))
		}
	}
	w.record("%d of %d streams were whole", whole, len(answers))
	return violations, nil
}
