package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// execution is one request that a replica began to run.
type execution struct {
	id, method, target, body string
	header                   http.Header
	at                       time.Time
}

// behaviour answers a request on a connection and reports whether the connection
// stays open.
type behaviour func(r *replica, c net.Conn, req *http.Request, body []byte) bool

// replica is a stand-in for a replica of a service.
type replica struct {
	world    *world
	id       string
	listener net.Listener

	mu         sync.Mutex
	behaviour  behaviour
	executions []execution
	arrivals   []time.Time
	conns      map[net.Conn]bool
	shut       bool
}

func newReplica(w *world, id string, b behaviour) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{world: w, id: id, listener: l, behaviour: b, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *replica) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *replica) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shut = true
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *replica) setBehaviour(b behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
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
		r.mu.Lock()
		r.arrivals = append(r.arrivals, time.Now())
		b := r.behaviour
		r.mu.Unlock()
		if want := req.Header.Get("Expected-Replica"); want != "" && want != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Attempt-Id"), r.id)
			continue
		}
		if !b(r, c, req, body) {
			return
		}
	}
}

// run notes that the replica begins to run a request.
func (r *replica) run(req *http.Request, body []byte) {
	e := execution{id: req.Header.Get("Attempt-Id"), method: req.Method, target: req.RequestURI, body: string(body), header: req.Header, at: time.Now()}
	r.mu.Lock()
	r.executions = append(r.executions, e)
	r.mu.Unlock()
	r.world.record("%s runs %s", r.id, e.id)
}

// runs returns the executions so far.
func (r *replica) runs() []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]execution(nil), r.executions...)
}

// answerText is the body of a replica's answer to a request.
func answerText(replicaID, attemptID string) string {
	return "answer of " + replicaID + " to " + attemptID
}

// respond sends a whole answer.
func respond(r *replica, c net.Conn, status int, id, text string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, r.id, id, len(text), text)
}

// answering runs each request and answers after a delay.
func answering(delay time.Duration) behaviour {
	return func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		r.run(req, body)
		time.Sleep(delay)
		id := req.Header.Get("Attempt-Id")
		respond(r, c, http.StatusOK, id, answerText(r.id, id))
		return true
	}
}

// streaming runs each request and sends events.
func streaming(events int, interval time.Duration) behaviour {
	return func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		r.run(req, body)
		id := req.Header.Get("Attempt-Id")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, id)
		for n := 1; n <= events; n++ {
			time.Sleep(interval)
			event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", n, n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}
