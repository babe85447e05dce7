package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["backlog"] = backlog }

// backlog checks that callers are served after a caller that isn't controlled has sent
// requests that are larger than the memory of a replica. They fit into the quota of its
// tenant, and each replica rejects them as if it were full.
func backlog(r *run) (verdict, error) {
	const (
		replicas   = 9
		strays     = 5
		in, out    = 900, 30
		ordinary   = 60        // of each kind of request
		strayQuota = 3_078_574 // of the tenant of the caller that isn't controlled
		strayUsage = "3000000,30"
	)
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	if err := f.configure(standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: 10_000_000},
		standin.Workspace{Name: "w1", APIKey: "key1", TokenQuota: strayQuota})); err != nil {
		return failed, err
	}
	for i := range replicas {
		e, err := f.startReplica(fmt.Sprintf("engine-%d", i), "engine", serveModel)
		if err != nil {
			return failed, err
		}
		defer e.close()
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
	pause(6 * time.Second)
	chat := func(n int) bool {
		g := f.gateways[n%len(f.gateways)]
		a := g.send(request{method: http.MethodPost, path: "/chat/1", key: "key0", timeout: 2 * time.Second,
			usage: fmt.Sprintf("%d,%d", in, out), prefix: fmt.Sprintf("5c1e:600,%04x:300", 0xc000+n), body: "prompt"})
		r.printf("caller of w0 at %s: POST /chat/1, Token-Usage %d,%d: %v", g.name, in, out, a)
		return a.status == http.StatusOK && a.complete && a.events == out/stride
	}
	read := func(n int) bool {
		g := f.gateways[n%len(f.gateways)]
		a := g.send(request{method: http.MethodGet, path: "/read/1", key: "key0", timeout: 2 * time.Second})
		r.printf("caller of w0 at %s: GET /read/1: %v", g.name, a)
		return a.status == http.StatusOK && a.complete
	}
	for n := range 10 {
		if !chat(n) || !read(n) {
			return failed, errors.New("a request in calm was not served")
		}
	}
	if r.trouble {
		for n := range strays {
			g := f.gateways[n%len(f.gateways)]
			a := g.send(request{method: http.MethodPost, path: "/chat/1", key: "key1", timeout: 2 * time.Second,
				usage: strayUsage, prefix: fmt.Sprintf("%04x:300", 0xd000+n), body: "prompt"})
			r.printf("caller of w1 at %s: POST /chat/1, Token-Usage %s: %v", g.name, strayUsage, a)
		}
	}
	pause(5 * time.Second)
	chats, reads := 0, 0
	for n := range ordinary {
		if chat(100 + n) {
			chats++
		}
		if read(100 + n) {
			reads++
		}
		pause(500 * time.Millisecond)
	}
	r.printf("w0: %d of %d POST /chat/1 and %d of %d GET /read/1 were served in the 30 s that began 5 s after the last request of w1", chats, ordinary, reads, ordinary)
	for _, g := range f.gateways {
		if !g.running() {
			return failed, errors.New(g.name + " has ended")
		}
	}
	// A kind of request is served less than a quarter as often as all requests.
	if share, all := float64(chats)/ordinary, float64(chats+reads)/(2*ordinary); share < all/4 {
		return broken, nil
	}
	return held, nil
}
