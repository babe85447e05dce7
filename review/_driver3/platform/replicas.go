package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stride      = 3       // tokens in an event of a stream
	engineSlots = 64      // of a model replica
	kvTokens    = 391_377 // memory of a model replica
	plainSlots  = 6
)

// replica is a sound replica: it runs each request once, says which request a
// response is for, and refuses what it can't hold.
type replica struct {
	id      string
	service string
	fleet   *fleet
	handle  func(*replica, http.ResponseWriter, *http.Request, []byte)
	address netip.AddrPort
	arrived atomic.Int64

	mu     sync.Mutex
	server *http.Server
	born   time.Time
	start  int // number of the start
}

// startReplica starts a replica and registers it.
func (f *fleet) startReplica(id, service string, handle func(*replica, http.ResponseWriter, *http.Request, []byte)) (*replica, error) {
	r := &replica{id: id, service: service, fleet: f, handle: handle}
	return r, r.up()
}

// up starts the process of the replica, at the address that it had before.
func (r *replica) up() error {
	listen := "127.0.0.1:0"
	if r.address.IsValid() {
		listen = r.address.String()
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address, r.born = l.Addr().(*net.TCPAddr).AddrPort(), time.Now()
	r.start++
	id := r.name()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(id, w, req) })}
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	slots := plainSlots
	if r.service == "engine" {
		slots = engineSlots
	}
	return r.fleet.register(id, r.service, r.address, slots, r.born)
}

// name is the identifier of this start. mu must be held.
func (r *replica) name() string { return fmt.Sprintf("%s-%d", r.id, r.start) }

// crash ends the process with all its connections. Its entry in the registry is
// removed after three missed heartbeats, or replaced when it starts again.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

// restart starts a replica that has crashed again after a time, as a new one.
func (r *replica) restart(after time.Duration) {
	pause(after)
	r.mu.Lock()
	old := r.name()
	r.mu.Unlock()
	r.fleet.store.Delete("servers", "", old)
	if err := r.up(); err != nil {
		r.fleet.run.printf("%s can't start again: %v", r.id, err)
	}
}

func (r *replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.server.Close()
}

func (r *replica) serve(id string, w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	if want := req.Header.Get("Expected-Replica"); want != "" && want != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.arrived.Add(1)
	r.handle(r, w, req, body)
}

// sign adds the replica's signature.
func (r *replica) sign(w http.ResponseWriter) {
	w.Header().Set("Server-Signature", fmt.Sprintf("%s.%d", r.id, time.Now().UnixNano()))
}

// refuseFull refuses a request as a replica does that is full.
func refuseFull(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// promptSize returns the tokens of a prompt, the larger one of what Token-Usage and
// Prompt-Prefix say, and the most tokens that are to be generated.
func promptSize(h http.Header) (in, out float64) {
	first, second, _ := strings.Cut(h.Get("Token-Usage"), ",")
	in, _ = strconv.ParseFloat(first, 64)
	out, _ = strconv.ParseFloat(second, 64)
	parts := 0.0
	for part := range strings.SplitSeq(h.Get("Prompt-Prefix"), ",") {
		_, tokens, _ := strings.Cut(part, ":")
		n, _ := strconv.ParseFloat(tokens, 64)
		parts += n
	}
	return max(in, parts), out
}

// serveModel answers as a model replica: it refuses what is larger than its memory,
// reads the prompt and streams all events.
func serveModel(r *replica, w http.ResponseWriter, req *http.Request, _ []byte) {
	in, out := promptSize(req.Header)
	if in+out > kvTokens {
		refuseFull(w)
		return
	}
	pause(time.Duration(in / 42.6 * float64(time.Millisecond)))
	r.stream(req.Context(), w, int(out)/stride, 6*time.Millisecond)
}

func (r *replica) stream(ctx context.Context, w http.ResponseWriter, events int, interval time.Duration) {
	r.sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events && ctx.Err() == nil; n++ {
		fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", n, n)
		w.(http.Flusher).Flush()
		pause(interval)
	}
}

// servePlain answers as an application replica.
func servePlain(r *replica, w http.ResponseWriter, _ *http.Request, _ []byte) {
	pause(15 * time.Millisecond)
	r.sign(w)
	fmt.Fprintf(w, "answer of %s", r.id)
}
