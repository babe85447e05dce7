package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["drip"] = drip }

// The crowd at each gateway, and how an upload goes on.
const (
	slowUploads  = 1010
	silentConns  = 300 // tried; there is room for fewer
	stepInterval = 750 * time.Millisecond
	reconnect    = 500 * time.Millisecond
)

// uploadStep is what a slow upload sends at a time: 190 chunks of one byte.
var uploadStep = strings.Repeat("1\r\nx\r\n", 190)

// drip checks that a gateway that says that it is ready answers on new connections while
// clients upload chunked bodies slowly, and others keep connections open.
func drip(r *run) (verdict, error) {
	const (
		tryingClients = 8 // ordinary clients at each gateway; the rule asks for seven
		contactWindow = 3 * time.Second
		calm          = 3 * time.Second
		crowdLasts    = 30 * time.Second
		recovery      = 5 * time.Second
		minAnswered   = 100 // in calm, by each gateway
	)
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	config := standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: 1_000_000})
	config["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	if err := f.configure(config); err != nil {
		return failed, err
	}
	for i := range 3 {
		p, err := f.startReplica(fmt.Sprintf("plain-%d", i), "plain", servePlain)
		if err != nil {
			return failed, err
		}
		defer p.close()
	}
	if err := f.addGateways(2); err != nil {
		return failed, err
	}
	pause(contactWindow)

	stop := make(chan struct{})
	var ordinary sync.WaitGroup
	var watches []*watch
	for _, g := range f.gateways {
		w := &watch{gateway: g, start: time.Now()}
		watches = append(watches, w)
		for range tryingClients {
			ordinary.Go(func() { w.try(r, stop) })
		}
		ordinary.Go(func() { w.poll(r, stop) })
	}
	pause(calm)
	if r.trouble {
		f.crowd(crowdLasts)
	} else {
		pause(crowdLasts)
	}
	pause(recovery)
	close(stop)
	ordinary.Wait()

	result := held
	for _, w := range watches {
		gap, from := w.longestGap()
		r.printf("%s: %d ordinary requests answered, %d of them with 200; %d not answered; longest time ready and without an answer on a new connection: %d ms, from %d ms on",
			w.gateway.name, len(w.answers), w.served, w.unanswered, gap.Milliseconds(), from.Milliseconds())
		switch {
		case !w.gateway.running():
			return failed, errors.New("a gateway has ended")
		case len(w.answers) < minAnswered:
			return failed, fmt.Errorf("%s answered only %d requests in all", w.gateway.name, len(w.answers))
		case gap >= contactWindow:
			result = broken
		}
	}
	return result, nil
}

// crowd keeps the connections of the crowd open for some time.
func (f *fleet) crowd(lasts time.Duration) {
	leave := make(chan struct{})
	var members sync.WaitGroup
	var uploads, silent atomic.Int64
	for _, g := range f.gateways {
		for i := range slowUploads {
			members.Go(func() { g.keepConnected(uploadHead(i), uploadStep, &uploads, leave) })
			if i%10 == 0 {
				pause(5 * time.Millisecond)
			}
		}
	}
	pause(time.Second)
	for _, g := range f.gateways {
		for range silentConns {
			members.Go(func() { g.keepConnected("", "", &silent, leave) })
		}
	}
	for range int(lasts / time.Second) {
		pause(time.Second)
		f.run.printf("crowd at all gateways: %d slow uploads and %d connections without a byte are open", uploads.Load(), silent.Load())
	}
	close(leave)
	members.Wait()
}

func uploadHead(i int) string {
	return fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %016x\r\nAuthorization: Token key0\r\nTransfer-Encoding: chunked\r\n\r\n", 0xb000_0000+i)
}

// keepConnected keeps a connection on which it sends a head once, and a step now and
// then. It connects again when the gateway has closed the connection.
func (g *gateway) keepConnected(head, step string, open *atomic.Int64, leave chan struct{}) {
	for {
		g.holdConnection(head, step, open, leave)
		select {
		case <-leave:
			return
		case <-time.After(reconnect):
		}
	}
}

func (g *gateway) holdConnection(head, step string, open *atomic.Int64, leave chan struct{}) {
	c, err := net.DialTimeout("tcp", g.caller.String(), time.Second)
	if err != nil {
		return
	}
	open.Add(1)
	defer open.Add(-1)
	defer func() { _ = c.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, c)
	}()
	_, err = io.WriteString(c, head)
	for err == nil {
		if _, err = io.WriteString(c, step); err != nil {
			return
		}
		select {
		case <-leave:
			return
		case <-closed:
			return
		case <-time.After(stepInterval):
		}
	}
}

// watch records what ordinary clients and the platform see of a gateway.
type watch struct {
	gateway *gateway
	start   time.Time

	mu         sync.Mutex
	answers    []time.Duration // when one came, since the start
	notReady   []time.Duration // when the gateway said so, or did not answer
	served     int
	unanswered int
	end        time.Duration // of the last try
}

// try sends an ordinary request on a new connection, again and again.
func (w *watch) try(r *run, stop chan struct{}) {
	for {
		a := w.gateway.send(request{method: http.MethodGet, path: "/read/1", key: "key0", timeout: time.Second})
		r.printf("ordinary client at %s: GET /read/1: %v", w.gateway.name, a)
		w.record(a)
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
	}
}

func (w *watch) record(a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end = time.Since(w.start)
	if a.status == 0 {
		w.unanswered++
		return
	}
	w.answers = append(w.answers, w.end)
	if a.status == http.StatusOK {
		w.served++
	}
}

// poll asks once a second whether the gateway is ready, as the platform does.
func (w *watch) poll(r *run, stop chan struct{}) {
	for {
		if !w.gateway.isReady() {
			r.printf("%s says that it is not ready", w.gateway.name)
			w.mu.Lock()
			w.notReady = append(w.notReady, time.Since(w.start))
			w.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// longestGap returns the longest time in which the gateway was ready and no answer came
// on a new connection, and when it began.
func (w *watch) longestGap() (longest, from time.Duration) {
	ends := slices.Concat(w.answers, w.notReady, []time.Duration{w.end})
	slices.Sort(ends)
	last := time.Duration(0)
	for _, at := range ends {
		if at-last > longest {
			longest, from = at-last, last
		}
		last = at
	}
	return longest, from
}
