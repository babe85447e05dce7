package main

import (
	"fmt"
	"net/http"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["killed"] = killed }

// killed checks that a tenant can use its token quota after all gateways have lost power
// at the same time, once.
func killed(r *run) (verdict, error) {
	const (
		quota   = 400_000
		dark    = 3500 * time.Millisecond
		in, out = 1900, 99
		before  = 12 // requests before the loss of power
	)
	f, err := newFleet(r)
	if err != nil {
		return failed, err
	}
	defer f.close()
	if err := f.configure(standin.Configuration(1, engineSlots, standin.Workspace{Name: "w0", APIKey: "key0", TokenQuota: int64(quota)})); err != nil {
		return failed, err
	}
	for i := range 3 {
		e, err := f.startReplica(fmt.Sprintf("engine-%d", i), "engine", serveModel)
		if err != nil {
			return failed, err
		}
		defer e.close()
	}
	if err := f.addGateways(3); err != nil {
		return failed, err
	}
	consumed, atMost, sent := 0, 0, 0
	ask := func(i int) answer {
		g := f.gateways[i%len(f.gateways)]
		sent++
		a := g.send(request{method: http.MethodPost, path: "/chat/1", key: "key0", timeout: 2 * time.Second,
			usage: fmt.Sprintf("%d,%d", in, out), prefix: fmt.Sprintf("5c1e:1600,%04x:300", 0xc000+sent), body: "prompt"})
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusPaymentRequired {
			atMost += in + out
		}
		if a.status == http.StatusOK {
			consumed += in + a.events*stride
		}
		r.printf("caller of w0 at %s: POST /chat/1, Token-Usage %d,%d: %v; %d tokens in all, %d at most", g.name, in, out, a, consumed, atMost)
		return a
	}
	pause(6 * time.Second)
	for i := range before {
		ask(i)
		pause(200 * time.Millisecond)
	}
	if r.trouble {
		for _, g := range f.gateways {
			g.kill()
		}
		r.printf("all gateways lose power for %v", dark)
		pause(dark)
		for _, g := range f.gateways {
			if err := g.start(); err != nil {
				return failed, err
			}
		}
		if err := f.awaitReady(); err != nil {
			return failed, err
		}
		r.printf("all gateways are ready again")
	}
	pause(5 * time.Second)
	wrong, counted, inRow := 0, 0, 0
	for i := 0; inRow < 40; i++ {
		counted++
		fits := atMost+in+out <= quota*97/100
		a := ask(i)
		switch {
		case a.status == http.StatusPaymentRequired && fits:
			wrong++
			inRow++
			pause(100 * time.Millisecond)
		case a.status == http.StatusOK:
			inRow = 0
		default:
			inRow++
			pause(100 * time.Millisecond)
		}
	}
	r.printf("w0: consumed %d of a quota of %d, %d at most; %d of the last %d requests were answered 402 though they fit into 97 in 100 of it", consumed, quota, atMost, wrong, counted)
	if float64(wrong) > 5+float64(sent)/500 {
		return broken, nil
	}
	return held, nil
}
