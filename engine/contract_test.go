package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/admission"
	"briarreach/engine"
	"briarreach/standin"
	"briarreach/targetset"
)

func body(prompt string, maxTokens int) []byte {
	b, err := json.Marshal(map[string]any{
		"model": "m", "max_tokens": maxTokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	Expect(err).NotTo(HaveOccurred())
	return b
}

// answer is the content of a whole stream.
type answer struct {
	text   string
	tokens int
	usage  *engine.Usage
	reason string
	err    error
}

func readAll(r *engine.Response) (a answer) {
	for {
		event, err := r.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				a.err = err
			}
			return a
		}
		switch e := event.(type) {
		case engine.Delta:
			var chunk struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			Expect(json.Unmarshal(e.Raw, &chunk)).To(Succeed())
			a.text += chunk.Choices[0].Delta.Content
			a.tokens += e.Tokens
		case engine.Usage:
			a.usage = &e
		case engine.Finished:
			a.reason = e.Reason
		}
	}
}

var _ = Describe("Client and stand-in", func() {
	var (
		ctx    context.Context
		e      *standin.Engine
		client *engine.Client
	)
	startEngine := func(opts []standin.EngineOption, clientOpts ...engine.Option) {
		GinkgoHelper()
		var err error
		ctx = context.Background()
		e, err = standin.NewEngine(opts...)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(e.Close()).To(Succeed()) })
		client, err = engine.New(e.URL(), clientOpts...)
		Expect(err).NotTo(HaveOccurred())
	}
	stream := func(prompt string, maxTokens int) *engine.Response {
		GinkgoHelper()
		r, err := client.Stream(ctx, engine.Request{Body: body(prompt, maxTokens), RequestID: prompt[:min(len(prompt), 8)]})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		return r
	}
	text := func(prompt string, n int) string {
		canonical, err := engine.PromptText(body(prompt, 0))
		Expect(err).NotTo(HaveOccurred())
		return standin.EngineAnswerText(canonical, n)
	}

	// Guards against wrong usage, by which callers are billed.
	It("streams the whole answer with its usage", func() {
		startEngine([]standin.EngineOption{standin.WithEngineAnswerTokens(20, 20)})
		a := readAll(stream("hello", 0))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.text).To(Equal(text("hello", 20)))
		Expect([]any{a.tokens, a.reason}).To(Equal([]any{20, "stop"}))
		Expect([]int64{a.usage.PromptTokens, a.usage.CompletionTokens}).To(Equal([]int64{3, 20}))
		short := readAll(stream("hello", 5))
		Expect(short.text).To(Equal(text("hello", 5)))
		Expect(short.reason).To(Equal("length"))
		Expect(e.Runs()).To(HaveLen(2))
		Expect(e.Runs()[0]).To(Equal(standin.EngineRun{
			RequestID: "hello", Model: "m", Version: "v1", PromptTokens: 3, GeneratedTokens: 20, Outcome: "complete",
		}))
	})

	// Guards against a truncated answer that is taken for complete, and against
	// an error that reports wrongly whether the request ran.
	DescribeTable("faults", func(fault standin.TargetFault, check func(r *engine.Response, err error)) {
		startEngine([]standin.EngineOption{standin.WithEngineAnswerTokens(20, 20), standin.WithEngineFaults(fault)},
			engine.WithHeaderTimeout(100*time.Millisecond), engine.WithIdleTimeout(100*time.Millisecond))
		r, err := client.Stream(ctx, engine.Request{Body: body("p", 0)})
		if r != nil {
			defer r.Close()
		}
		check(r, err)
	},
		Entry("refuses", standin.TargetFault{FailShare: 1, Status: 503}, func(_ *engine.Response, err error) {
			var status *engine.StatusError
			Expect(errors.As(err, &status)).To(BeTrue())
			Expect(status.Status).To(Equal(503))
			Expect(string(status.Body)).To(ContainSubstring("fault"))
		}),
		Entry("hangs before the header", standin.TargetFault{HangShare: 1}, func(_ *engine.Response, err error) {
			var ambiguous *engine.AmbiguousError
			Expect(errors.As(err, &ambiguous)).To(BeTrue(), "%v", err)
		}),
		Entry("closes in the stream", standin.TargetFault{CloseShare: 1, AfterTokens: 5}, func(r *engine.Response, err error) {
			Expect(err).NotTo(HaveOccurred())
			a := readAll(r)
			var incomplete *engine.IncompleteError
			Expect(errors.As(a.err, &incomplete)).To(BeTrue(), "%v", a.err)
			Expect([]any{a.tokens, a.usage}).To(Equal([]any{5, (*engine.Usage)(nil)}))
		}),
		Entry("goes silent in the stream", standin.TargetFault{HangShare: 1, AfterTokens: 5}, func(r *engine.Response, err error) {
			Expect(err).NotTo(HaveOccurred())
			a := readAll(r)
			var incomplete *engine.IncompleteError
			Expect(errors.As(a.err, &incomplete)).To(BeTrue(), "%v", a.err)
			Expect(a.tokens).To(Equal(5))
		}),
		Entry("only for another version", standin.TargetFault{FailShare: 1, Version: "v2"}, expectComplete),
		Entry("only for another model", standin.TargetFault{FailShare: 1, Route: "other"}, expectComplete),
		Entry("only above a load", standin.TargetFault{FailShare: 1, AboveLoad: 0.5}, expectComplete),
		Entry("only later", standin.TargetFault{FailShare: 1, AfterMS: 60_000}, expectComplete),
	)

	It("reports that nothing was sent to an engine that is gone", func() {
		startEngine(nil)
		Expect(e.Close()).To(Succeed())
		_, err := client.Stream(ctx, engine.Request{Body: body("p", 0)})
		var notSent *engine.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = client.Stream(cancelled, engine.Request{Body: body("p", 0)})
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
		Expect(err).To(MatchError(context.Canceled))
		var malformed *engine.BodyError
		_, err = client.Stream(ctx, engine.Request{Body: []byte("[")})
		Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
	})

	// Guards against an engine that continues to generate, and occupies a slot,
	// after the caller has disconnected.
	DescribeTable("cancel frees the slot", func(fault standin.TargetFault, cancel func(r *engine.Response, cancel func())) {
		startEngine([]standin.EngineOption{
			standin.WithEngineAnswerTokens(1_000_000, 1_000_000), standin.WithEngineTokenRates(1000, 0), standin.WithEngineFaults(fault),
		})
		cancelled, stop := context.WithCancel(ctx)
		defer stop()
		if cancel == nil { // the response header never arrives
			go func() {
				defer GinkgoRecover()
				Eventually(e.Running).Should(Equal(1))
				stop()
			}()
			_, err := client.Stream(cancelled, engine.Request{Body: body("p", 0)})
			Expect(err).To(MatchError(context.Canceled))
		} else {
			r, err := client.Stream(cancelled, engine.Request{Body: body("p", 0)})
			Expect(err).NotTo(HaveOccurred())
			defer r.Close()
			_, err = r.Next()
			Expect(err).NotTo(HaveOccurred())
			cancel(r, stop)
		}
		Eventually(e.Running).Should(BeZero())
		Expect(e.Runs()[0].Outcome).To(Equal("cancelled"))
		Expect(e.Runs()[0].GeneratedTokens).To(BeNumerically("<", 1_000_000))
	},
		Entry("by Close", standin.TargetFault{}, func(r *engine.Response, _ func()) { r.Close() }),
		Entry("by the context", standin.TargetFault{}, func(_ *engine.Response, stop func()) { stop() }),
		Entry("by Close during Next", standin.TargetFault{HangShare: 1, AfterTokens: 3}, func(r *engine.Response, _ func()) {
			go r.Close()
			for {
				if _, err := r.Next(); err != nil {
					return
				}
			}
		}),
		Entry("before the header", standin.TargetFault{HangShare: 1}, nil),
	)

	// Guards against buffers that grow for a caller that does not read. The bound
	// is the 16 KiB per stalled reader that the design allows on an agent, here
	// for all buffers between the engine and the caller.
	It("stops the generation when nobody reads", func() {
		startEngine([]standin.EngineOption{standin.WithEngineAnswerTokens(1_000_000, 1_000_000), standin.WithEngineCapacity(1, 1<<30)})
		r := stream("p", 0)
		_, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		generated := func() int64 { return e.Load().HeldTokens }
		last := int64(-1)
		Eventually(func() bool {
			before := last
			last = generated()
			return last == before
		}).WithPolling(20 * time.Millisecond).Should(BeTrue())
		AddReportEntry("generated ahead of a stalled reader", fmt.Sprintf("%d tokens", generated()))
		// A token takes about 180 bytes in the stream.
		Expect(generated() * 180).To(BeNumerically("<=", 16<<10))
		r.Close()
		Eventually(e.Running).Should(BeZero())
	})

	// Guards against a request that is admitted in place of a cancelled one
	// while the engine still runs the cancelled one.
	DescribeTable("Cancel waits until the slot is free", func(opts ...standin.EngineOption) {
		startEngine(append(opts, standin.WithEngineAnswerTokens(1_000_000, 1_000_000), standin.WithEngineCapacity(1, 1<<30)))
		r := stream("p", 0)
		_, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Cancel(5 * time.Second)).To(BeTrue())
		Expect(e.Running()).To(BeZero())
		_, err = r.Next()
		Expect(err).To(HaveOccurred())
	},
		Entry("while it generates", standin.WithEngineTokenRates(1000, 0)),
		Entry("between two tokens", standin.WithEngineTokenRates(5, 0)),
		Entry("while it waits for a stalled reader"),
		Entry("while it is silent", standin.WithEngineFaults(standin.TargetFault{HangShare: 1, AfterTokens: 3})),
	)

	It("reports an engine that does not end a cancelled stream", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		served := make(chan struct{})
		go func() {
			defer close(served)
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
			_, _ = io.Copy(io.Discard, c) // until the client closes
			for err == nil {
				_, err = io.WriteString(c, ": alive\n\n")
			}
			_ = c.Close()
		}()
		c, err := engine.New("http://" + listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		r, err := c.Stream(context.Background(), engine.Request{Body: body("p", 0)})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Cancel(50 * time.Millisecond)).To(BeFalse())
		Eventually(served).Should(BeClosed())
	})

	// Guards against more work than the engine's capacity, as counted by the
	// engine itself, with three uncoordinated entries and callers that give up.
	It("never holds more than its capacity behind an admission controller", func() {
		const slots, maxTokens = 4, 400
		startEngine([]standin.EngineOption{standin.WithEngineCapacity(slots, maxTokens), standin.WithEngineAnswerTokens(30, 90)})
		controller := admission.New(admission.Capacity{MaxConcurrent: slots, MaxTokens: maxTokens})
		var group sync.WaitGroup
		var run func(id string, giveUp int)
		admit := func(requests []admission.Request) {
			for _, request := range requests {
				group.Go(func() { run(request.AttemptID, len(request.AttemptID)%3) })
			}
		}
		run = func(id string, giveUp int) {
			defer GinkgoRecover()
			begun := time.Now()
			r, err := client.Stream(ctx, engine.Request{Body: body("prompt", 90), RequestID: id})
			Expect(err).NotTo(HaveOccurred())
			defer r.Close()
			for n := 0; err == nil; n++ {
				if _, err = r.Next(); giveUp > 0 && n == giveUp {
					Expect(r.Cancel(5 * time.Second)).To(BeTrue())
					admit(controller.Cancel(id, time.Now()))
					return
				}
			}
			admit(controller.Done(id, time.Since(begun), errors.Is(err, io.EOF), time.Now()))
		}
		for worker := range 12 { // four of each entry
			group.Go(func() {
				for i := range 25 {
					id := fmt.Sprintf("entry%d/%d/%d", worker%3, worker, i*i)
					// The engine counts 4 prompt tokens; max_tokens is 90.
					request := admission.Request{AttemptID: id, ReservedTokens: 4 + 90}
					decision := controller.Offer(request, time.Now())
					for ; decision == (admission.Refused{Reason: admission.QueueFull}); decision = controller.Offer(request, time.Now()) {
						runtime.Gosched()
					}
					if decision == (admission.Admitted{}) {
						run(id, i%3)
					}
				}
			})
		}
		group.Wait()
		record := e.Record()
		AddReportEntry("held", fmt.Sprintf("%d started, most running %d of %d, most tokens %d of %d",
			record.Started, record.MaxRunning, slots, record.MaxHeldTokens, maxTokens))
		Expect(record.MaxRunning).To(BeNumerically("<=", slots))
		Expect(record.MaxHeldTokens).To(BeNumerically("<=", maxTokens))
		Expect(record.Refused).To(BeZero())
	})

	// Guards against retries by the HTTP library.
	It("does not repeat a request whose connection closes", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		accepted := make(chan int, 1)
		go func() {
			n := 0
			for {
				c, err := listener.Accept()
				if err != nil {
					accepted <- n
					return
				}
				n++
				_, _ = c.Read(make([]byte, 4096))
				_ = c.Close()
			}
		}()
		c, err := engine.New("http://" + listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Stream(context.Background(), engine.Request{Body: body("p", 0)})
		var ambiguous *engine.AmbiguousError
		Expect(errors.As(err, &ambiguous)).To(BeTrue(), "%v", err)
		Expect(listener.Close()).To(Succeed())
		Expect(<-accepted).To(Equal(1))
	})

	DescribeTable("orders with an old fencing number", func(fencing bool, refused bool) {
		startEngine([]standin.EngineOption{standin.WithEngineFencing(fencing)})
		Expect(client.Order(ctx, engine.Order{Kind: "load", Version: "v3", FencingNumber: 3})).To(Succeed())
		err := client.Order(ctx, engine.Order{Kind: "load", Version: "v2", FencingNumber: 2})
		var fenced *engine.FencedError
		Expect(errors.As(err, &fenced)).To(Equal(refused))
		Expect(e.Load().Version == "v3").To(Equal(refused))
	},
		Entry("are refused", true, true),
		Entry("are accepted by an engine that ignores the number", false, false),
	)

	It("caches prefixes and reports cache events", func() {
		startEngine([]standin.EngineOption{standin.WithEngineCacheBlocks(4)})
		prompt := strings.Repeat("x", 3000)
		Expect(readAll(stream(prompt+"a", 1)).usage.CachedTokens).To(BeZero())
		Expect(readAll(stream(prompt+"b", 1)).usage.CachedTokens).To(Equal(int64(512)))
		canonical, err := engine.PromptText(body(prompt, 0))
		Expect(err).NotTo(HaveOccurred())
		events, err := client.CacheEvents(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events[0].Kind).To(Equal("cached"))
		Expect(events[0].Blocks).To(ConsistOf(targetset.PrefixHashes(canonical)))
		Expect(client.CacheEvents(ctx, events[len(events)-1].Sequence)).To(BeEmpty())
		Expect(readAll(stream(strings.Repeat("y", 5000), 1)).usage.CachedTokens).To(BeZero())
		Expect(readAll(stream(prompt+"c", 1)).usage.CachedTokens).To(BeZero(), "evicted")
	})

	It("accepts faults and returns its record over HTTP", func() {
		startEngine(nil)
		post := func(faults string) int {
			r, err := http.Post(e.URL()+"/faults", "application/json", strings.NewReader(faults))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = r.Body.Close() }()
			return r.StatusCode
		}
		defer http.DefaultClient.CloseIdleConnections()
		Expect(post(`{`)).To(Equal(400))
		Expect(post(`[{"fail_share":1}]`)).To(Equal(204))
		_, err := client.Stream(ctx, engine.Request{Body: body("p", 0)})
		Expect(err).To(HaveOccurred())
		Expect(post(`[]`)).To(Equal(204))
		Expect(readAll(stream("p", 0)).err).NotTo(HaveOccurred())
		r, err := http.Get(e.URL() + "/runs")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		var record standin.EngineRecord
		Expect(json.NewDecoder(r.Body).Decode(&record)).To(Succeed())
		Expect(record).To(Equal(e.Record()))
		Expect(record.Runs).To(HaveLen(1))
	})

	It("is slow above its capacity and refuses requests above twice its capacity", func() {
		startEngine([]standin.EngineOption{standin.WithEngineCapacity(2, 1<<20), standin.WithEngineTokenRates(0.001, 0)})
		for i := range 4 {
			stream(fmt.Sprint(i), 0)
		}
		_, err := client.Stream(ctx, engine.Request{Body: body("p", 0)})
		var status *engine.StatusError
		Expect(errors.As(err, &status)).To(BeTrue(), "%v", err)
		Expect([]int{status.Status, e.Record().Refused, e.Record().MaxRunning}).To(Equal([]int{503, 1, 4}))
	})
})

func expectComplete(r *engine.Response, err error) {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	Expect(readAll(r).err).NotTo(HaveOccurred())
}

// BenchmarkStream measures one request with an answer of 100 tokens.
func BenchmarkStream(b *testing.B) {
	e, err := standin.NewEngine(standin.WithEngineAnswerTokens(100, 100))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = e.Close() }()
	client, err := engine.New(e.URL())
	if err != nil {
		b.Fatal(err)
	}
	request := engine.Request{Body: []byte(`{"model":"m","messages":[{"role":"user","content":"p"}]}`)}
	b.ReportAllocs()
	for b.Loop() {
		r, err := client.Stream(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = r.Next()
		}
		r.Close()
	}
}
