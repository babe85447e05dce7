package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["writeoff"] = writeOff }

// writeOff kills and restarts all gateways after the platform's store was down for a
// few seconds, and looks at how many requests are served once they have recovered.
func writeOff(w *world, trouble bool) ([]string, error) {
	const (
		quota          = 1_000_000 // of the tenant
		prompt, output = 900, 60
		events         = 10
		used           = prompt + events*standin.TokensPerEvent // by one request
		owedShare      = 0.97
		clients        = 6
		storeDown      = 4500 * time.Millisecond
		downFor        = 1200 * time.Millisecond // of the gateways
		recovery       = 12 * time.Second        // recovery_time_s
		judged         = 4 * time.Second
		usedBefore     = 650_000 // of the quota, when the store goes down
	)
	tenant := standin.Workspace{Name: "acme", APIKey: "k1", TokenQuota: quota}
	if err := w.putConfig(standin.Configuration(1, 64, tenant)); err != nil {
		return nil, err
	}
	for i := range 2 {
		if _, err := w.addReplica(fmt.Sprintf("i-engine-%d", i+1), "engine", 64, streaming(events, 5*time.Millisecond)); err != nil {
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
	var mu sync.Mutex
	var answers []answer
	consumed := func() (tokens int) {
		mu.Lock()
		defer mu.Unlock()
		for _, a := range answers {
			switch a.status {
			case http.StatusOK:
				tokens += used
			case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
				tokens += prompt + output // at its most
			}
		}
		return tokens
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(350 * time.Millisecond):
				}
				g := w.gateways[(n+i)%len(w.gateways)]
				a := w.send(g.name, g.callers, request{id: fmt.Sprintf("chat-%d-%d", i, n), method: http.MethodPost, path: "/chat/x", key: "k1", timeout: 2500 * time.Millisecond, body: "hello",
					header: []string{"Model: m", fmt.Sprintf("Token-Usage: %d,%d", prompt, output), fmt.Sprintf("Prompt-Prefix: a1:300,b%d:600", i)}})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	for consumed() < usedBefore {
		time.Sleep(50 * time.Millisecond)
	}
	downAt := time.Now()
	w.record("%d tokens of %d are consumed", consumed(), quota)
	if trouble {
		w.record("the store is down")
		w.store.SetFault(standin.Unresponsive{})
	}
	time.Sleep(storeDown)
	w.store.SetFault(nil)
	w.record("the store is up")
	if err := w.putConfig(standin.Configuration(2, 64, tenant)); err != nil {
		return nil, err
	}
	if trouble {
		w.record("all gateways are killed")
		for _, g := range w.gateways {
			g.signal(syscall.SIGKILL)
		}
		time.Sleep(downFor)
		for _, g := range w.gateways {
			<-g.exited
			if err := g.start(); err != nil {
				return nil, err
			}
		}
	}
	back := time.Now()
	time.Sleep(recovery + judged)
	close(stop)
	running.Wait()
	type count struct{ sent, served, exhausted int }
	var before, after count
	add := func(c *count, a answer) {
		c.sent++
		switch a.status {
		case http.StatusOK:
			c.served++
		case http.StatusPaymentRequired:
			c.exhausted++
		}
	}
	for _, a := range answers {
		switch {
		case a.sent.Before(downAt):
			add(&before, a)
		case a.sent.After(back.Add(recovery)):
			add(&after, a)
		}
	}
	total := consumed()
	w.record("before: %d requests, %d served; later than %v after the gateways were back: %d requests, %d served, %d refused with 402; %d tokens of %d consumed in all", before.sent, before.served, recovery, after.sent, after.served, after.exhausted, total, quota)
	if unserved := after.sent - after.served; float64(total+unserved*(prompt+output)) > owedShare*quota {
		return nil, fmt.Errorf("the requests do not fit into the quota: %d tokens consumed, %d requests more", total, unserved)
	}
	if 4*before.served < before.sent {
		return nil, fmt.Errorf("less than a quarter was served before the fault")
	}
	if 4*after.served < after.sent {
		return []string{fmt.Sprintf("RECOVER: %v after the gateways were back, %d of %d requests were served, %d were refused with 402, though at most %d tokens of %d are consumed", recovery, after.served, after.sent, after.exhausted, total, quota)}, nil
	}
	return nil, nil
}
