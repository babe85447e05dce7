package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["overflow"] = overflow }

// The sizes of this request's prompt and answer add up to 2^64 - 10^9 tokens, which is
// -10^9 in 64 bits.
const overflowingUsage = "9223372036854775807,9223372035854775809"

// overflow checks that a tenant gets no more than its token quota when one of its
// callers states a size that no replica can have, on a route without prompts.
func overflow(r *run) (verdict, error) {
	const (
		quota       = 100_000
		in, out     = 1000, 90
		callers     = 4
		tries       = 60 // of each caller
		maxConsumed = 3 * quota
	)
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	if err := f.configure(standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: quota})); err != nil {
		return failed, err
	}
	for i := range 3 {
		e, err := f.startReplica(fmt.Sprintf("engine-%d", i), "engine", serveModel)
		if err != nil {
			return failed, err
		}
		defer e.close()
		p, err := f.startReplica(fmt.Sprintf("plain-%d", i), "plain", servePlain)
		if err != nil {
			return failed, err
		}
		defer p.close()
	}
	if err := f.addGateways(2); err != nil {
		return failed, err
	}
	pause(6 * time.Second) // all gateways are in touch, and may draw
	if r.trouble {
		a := f.gateways[0].send(request{method: http.MethodGet, path: "/read/1", key: "key0", timeout: 2 * time.Second, usage: overflowingUsage})
		r.printf("caller of w0: GET /read/1 with Token-Usage %s: %v", overflowingUsage, a)
	}
	var consumed, served, refused atomic.Int64
	var done sync.WaitGroup
	for c := range callers {
		done.Go(func() {
			g := f.gateways[c%len(f.gateways)]
			for n := range tries {
				if consumed.Load() > maxConsumed {
					return
				}
				a := g.send(request{method: http.MethodPost, path: "/chat/1", key: "key0", timeout: 2 * time.Second,
					usage: fmt.Sprintf("%d,%d", in, out), prefix: fmt.Sprintf("5c1e:700,%x%03x:300", 0xc+c, n), body: "prompt"})
				if a.status == http.StatusOK {
					served.Add(1)
					consumed.Add(in + int64(a.events*stride))
				} else {
					refused.Add(1)
				}
				r.printf("caller of w0 at %s: POST /chat/1, Token-Usage %d,%d: %v; %d tokens in all", g.name, in, out, a, consumed.Load())
			}
		})
	}
	done.Wait()
	r.printf("w0: %d requests served, %d refused, %d tokens of a quota of %d", served.Load(), refused.Load(), consumed.Load(), quota)
	if served.Load() < quota*8/10/(in+out) {
		return failed, fmt.Errorf("only %d requests were served", served.Load())
	}
	if consumed.Load() > quota {
		return broken, nil
	}
	return held, nil
}
