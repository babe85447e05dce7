package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const workspace = "chania-desk"

// openStreams is the documented number of open streams that a shutdown must not
// cut off.
const openStreams = 200

// reply is a caller's response to one request, or its error.
type reply struct {
	status int
	body   string
	err    error
}

func (r reply) complete() bool {
	return r.err == nil && r.status == http.StatusOK && strings.HasSuffix(r.body, "data: [DONE]\n\n")
}

// sendConcurrently starts n chats and returns a function that waits for all their
// replies.
func sendConcurrently(ctx context.Context, n int, url, key string) func() []reply {
	replies := make([]reply, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			status, _, body, err := send(ctx, url+"/v1/chat/completions", key, fmt.Sprintf("chat-%d-%d", time.Now().UnixNano(), i), longChatBody)
			replies[i] = reply{status, body, err}
		})
	}
	return func() []reply {
		group.Wait()
		return replies
	}
}

const longChatBody = `{"model":"itinerary-large","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"A long tour of the tower"}]}`

// runningRequests returns the number of requests that the engine is running.
func (f *processFleet) runningRequests() int {
	var load struct {
		Running int `json:"running"`
	}
	f.getJSON("7001", "/load", &load)
	return load.Running
}

var _ = Describe("separate processes under failure", func() {
	var f *processFleet
	var key, first, second string
	start := func(engineFlags ...string) {
		f = newProcessFleet()
		key = f.startAll(append([]string{"--rate", "50", "--answer-tokens", "200"}, engineFlags...)...)
		first, second = "http://127.0.0.1:"+f.port("8081"), "http://127.0.0.1:"+f.port("8082")
	}

	// Guards against a shutdown, of an entry and then of an agent, that cuts off
	// in-flight requests.
	It("finishes all open streams on SIGTERM of an entry and of an agent", func(ctx SpecContext) {
		start("--slots", "400")
		f.run("target", "put", "engine-1", "--model", "itinerary-large", "--version", "v1",
			"--agent", "127.0.0.1:"+f.port("9181"), "--max-concurrent", "300", "--max-tokens", "10000000")
		wait := sendConcurrently(ctx, openStreams, first, key)
		Eventually(f.runningRequests, 5*time.Second, 10*time.Millisecond).Should(Equal(openStreams))
		f.terminate("entry-1")
		for _, r := range wait() {
			Expect(r.complete()).To(BeTrue(), "%d %v %s", r.status, r.err, r.body)
		}
		wait = sendConcurrently(ctx, openStreams, second, key)
		Eventually(f.runningRequests, 5*time.Second, 10*time.Millisecond).Should(Equal(openStreams))
		f.terminate("agent-engine-1")
		for _, r := range wait() {
			Expect(r.complete()).To(BeTrue(), "%d %v %s", r.status, r.err, r.body)
		}
		Eventually(func() int64 { return f.budget("8182", workspace).Settled }, 10*time.Second, 100*time.Millisecond).Should(Equal(f.targetCost()))
	}, SpecTimeout(60*time.Second))

	// Guards against unbilled requests, double billing and lost budget tokens when
	// an entry is killed with open streams.
	It("bills what ran and returns the rest within 30 s when an entry is killed", func(ctx SpecContext) {
		start()
		wait := sendConcurrently(ctx, 8, first, key)
		Eventually(f.runningRequests, 5*time.Second, 10*time.Millisecond).Should(Equal(8))
		f.kill("entry-1")
		for _, r := range wait() {
			Expect(r.complete()).To(BeFalse(), "a truncated answer must not look complete")
		}
		Eventually(func(g Gomega) {
			b := f.budget("8182", workspace)
			// For each cancelled stream, the engine may count one token that it could
			// no longer send.
			g.Expect(b.Settled).To(BeNumerically("<=", f.targetCost()))
			g.Expect(b.Settled).To(BeNumerically(">=", f.targetCost()-8))
			g.Expect(b.Outstanding).To(BeZero())
			g.Expect(b.Available).To(Equal(b.Prepaid - b.Settled))
		}, 30*time.Second, 200*time.Millisecond).Should(Succeed())
		Expect(f.targetCost()).To(BeNumerically(">", 0))
	}, SpecTimeout(90*time.Second))

	// Guards against a paused entry that spends grants which were returned to the
	// budget while it was paused, and against one that does not serve again
	// afterwards.
	It("lets an entry that was frozen past its recovery spend nothing of the old grants", func(ctx SpecContext) {
		start()
		status, _, body, err := send(ctx, first+"/v1/chat/completions", key, "", chatBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK), body)
		f.signal("entry-1", syscall.SIGSTOP)
		Eventually(func() int64 { return f.budget("8182", workspace).Outstanding }, 30*time.Second, 200*time.Millisecond).Should(BeZero())
		f.signal("entry-1", syscall.SIGCONT)
		Eventually(func() bool {
			status, _, body, err := send(ctx, first+"/v1/chat/completions", key, "", chatBody)
			return reply{status, body, err}.complete()
		}, 15*time.Second, 200*time.Millisecond).Should(BeTrue(), func() string { return f.output["entry-1"].String() })
		Eventually(func() int64 { return f.budget("8182", workspace).Settled }, 10*time.Second, 100*time.Millisecond).Should(Equal(f.targetCost()))
		b := f.budget("8182", workspace)
		Expect(b.Settled + b.Outstanding + b.Available).To(Equal(b.Prepaid))
	}, SpecTimeout(90*time.Second))
})
