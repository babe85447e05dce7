package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// run is a request that a replica began to run.
type run struct {
	id       string
	path     string
	replica  string
	service  string
	at       time.Time
	events   int // written
	crashing bool
}

// outcome is what a replica does with a request.
type outcome struct {
	crash      bool
	status     int           // of an answer that is no stream
	delay      time.Duration // until the answer, the first event or the crash
	events     int           // of a stream; 0 for none
	eventPause time.Duration
	pauseAfter int // events, before a longer pause; 0 for none
	pause      time.Duration
	full       bool // refuses the request
}

// replica is a stand-in for one replica of a service. After a crash it starts again
// at the same address, with a new identifier.
type replica struct {
	fleet   *fleet
	service string
	address netip.AddrPort
	decide  func(r *replica, req *http.Request, body string) outcome
	backIn  time.Duration // after a crash

	mu       sync.Mutex
	id       string
	lives    int
	listener net.Listener
	conns    map[net.Conn]bool
	runs     []*run
	crashes  []time.Time
	down     bool
}

// addReplica starts a replica and registers it.
func (f *fleet) addReplica(service string, backIn time.Duration, decide func(*replica, *http.Request, string) outcome) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{fleet: f, service: service, address: l.Addr().(*net.TCPAddr).AddrPort(), decide: decide, backIn: backIn}
	r.live(l)
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	return r, nil
}

func (r *replica) live(l net.Listener) {
	r.mu.Lock()
	r.lives++
	r.id = fmt.Sprintf("i-%s-%d-%d", r.service, r.address.Port(), r.lives)
	r.listener, r.conns, r.down = l, make(map[net.Conn]bool), false
	id := r.id
	r.mu.Unlock()
	r.register(id, "ready")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			if r.listener != l || r.down {
				r.mu.Unlock()
				_ = c.Close()
				return
			}
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c, id)
		}
	}()
}

func (r *replica) register(id, state string) {
	data, err := json.Marshal(map[string]any{"service": r.service, "address": r.address.String(), "zone": "a", "version": "v1",
		"concurrency_slots": 64, "state": state, "cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
	if err != nil {
		panic(err)
	}
	r.fleet.store.Put("servers", "", id, data)
}

// end closes the listener and resets all connections.
func (r *replica) end() (ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return false
	}
	r.down = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return true
}

func (r *replica) stop() { r.end() }

// crash ends the replica, which starts again after some time. Its entry lapses.
func (r *replica) crash() {
	if !r.end() {
		return
	}
	r.mu.Lock()
	r.crashes = append(r.crashes, time.Now())
	id := r.id
	r.mu.Unlock()
	r.fleet.record.add("crash", map[string]any{"replica": id})
	time.AfterFunc(entryLapse, func() { r.fleet.store.Delete("servers", "", id) })
	time.AfterFunc(r.backIn, func() {
		r.fleet.mu.Lock()
		closed := r.fleet.closed
		r.fleet.mu.Unlock()
		if closed {
			return
		}
		l, err := net.Listen("tcp", r.address.String())
		if err != nil {
			r.fleet.record.add("restart failed", map[string]any{"error": err.Error()})
			return
		}
		r.live(l)
	})
}

func (r *replica) serve(c net.Conn, id string) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		attempt := req.Header.Get("Attempt-Id")
		if expected := req.Header.Get("Expected-Replica"); expected != "" && expected != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		o := r.decide(r, req, string(body))
		if o.full {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		x := &run{id: attempt, path: req.URL.Path, replica: id, service: r.service, at: time.Now(), crashing: o.crash}
		r.mu.Lock()
		r.runs = append(r.runs, x)
		r.mu.Unlock()
		r.fleet.record.add("run", map[string]any{"id": attempt, "replica": id, "service": r.service, "crash": o.crash})
		if o.delay > 0 {
			time.Sleep(o.delay)
		}
		if o.crash {
			r.crash()
			return
		}
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%s\r\n", max(o.status, 200), http.StatusText(max(o.status, 200)), attempt, id, attempt)
		if o.events == 0 {
			text := "body of " + attempt
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
			continue
		}
		if _, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		for n := range o.events {
			if n > 0 {
				time.Sleep(o.eventPause)
			}
			if n > 0 && n == o.pauseAfter {
				time.Sleep(o.pause)
			}
			event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", n+1, n+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			r.mu.Lock()
			x.events++
			r.mu.Unlock()
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// runs returns all runs of the fleet.
func (f *fleet) runs() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []run
	for _, r := range f.replicas {
		r.mu.Lock()
		for _, x := range r.runs {
			all = append(all, *x)
		}
		r.mu.Unlock()
	}
	return all
}

// crashTimes returns when replicas crashed, in order.
func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []time.Time
	for _, r := range f.replicas {
		r.mu.Lock()
		all = append(all, r.crashes...)
		r.mu.Unlock()
	}
	sortTimes(all)
	return all
}

// hasPart reports whether a prompt has a part.
func hasPart(prefix, part string) bool {
	for _, item := range strings.Split(prefix, ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(item), ":"); id == part {
			return true
		}
	}
	return false
}
