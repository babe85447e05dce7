package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briarreach/caller"
	"briarreach/peer"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Type      caller.ErrorType
		Execution peer.Execution
	}
}

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// manyFields returns the end of an object with 1,000 more fields.
func manyFields() string { return strings.Repeat(`,"":1`, 1000) + "}" }

// brokenBody returns an error instead of io.EOF.
type brokenBody struct{ io.Reader }

var errBroken = errors.New("broken")

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errBroken
	}
	return n, err
}
func (brokenBody) Close() error { return nil }

// closeNotifier is a body that says when it is closed.
type closeNotifier struct {
	io.Reader
	closed chan struct{}
}

func (b closeNotifier) Close() error {
	close(b.closed)
	return nil
}

var _ = Describe("HTTP server for callers", func() {
	var server *caller.Server
	var handled []caller.Request
	var reply caller.Reply
	BeforeEach(func() {
		handled = nil
		reply = &caller.FullReply{Status: http.StatusOK, ContentType: "application/json", Body: []byte("{}")}
		var err error
		server, err = caller.New(func(_ context.Context, r caller.Request) caller.Reply {
			handled = append(handled, r)
			return reply
		}, func() error { return nil }, caller.WithLimits(8<<10, 2<<10, 2*time.Second))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func(ctx SpecContext) { Expect(server.Close(ctx)).To(Succeed()) })
	})
	sendRequest := func(method, path, body string, headers ...string) (*http.Response, string, error) {
		r, err := http.NewRequest(method, "http://"+server.Addr().String()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Close = true
		r.Header.Set("Authorization", "Bearer key")
		for i := 0; i+1 < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		return response, string(data), err
	}
	const chat = "/v1/chat/completions"

	// Guards against an answer of an agent, or one that was kept in the table, that lacks
	// its status and reaches the caller as 200.
	DescribeTable("an answer without a valid status is a failure",
		func(status int) {
			closed := make(chan struct{})
			for _, r := range []caller.Reply{
				&caller.FullReply{Status: status, ContentType: "application/json", Body: []byte("{}")},
				&caller.StreamReply{Status: status, ContentType: "application/json", Body: closeNotifier{strings.NewReader("{}"), closed}},
			} {
				reply = r
				response, data, err := sendRequest("POST", chat, `{"model":"m","messages":[{}]}`)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
				var fault errorBody
				Expect(json.Unmarshal([]byte(data), &fault)).To(Succeed(), data)
				Expect(fault.Error.Type).To(Equal(caller.OutcomeUnknown))
				Expect(fault.Error.Execution).To(Equal(peer.ExecutionUnknown))
			}
			Eventually(closed, "2s").Should(BeClosed())
		},
		Entry("missing", 0),
		Entry("negative", -200),
		Entry("below those of HTTP", 99),
		Entry("informational", 103),
		Entry("above those of HTTP", 600),
	)

	// Guards against bad input that reaches the handler, or that gets a response
	// without a machine-readable error.
	DescribeTable("bad input gets a typed 4xx and does not reach the handler",
		func(method, path, body string, status int, kind caller.ErrorType, headers ...string) {
			response, data, err := sendRequest(method, path, body, headers...)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(status))
			var fault errorBody
			Expect(json.Unmarshal([]byte(data), &fault)).To(Succeed(), data)
			Expect(fault.Error.Type).To(Equal(kind))
			Expect(fault.Error.Execution).To(Equal(peer.ExecutionNotRun))
			Expect(handled).To(BeEmpty())
		},
		Entry("malformed JSON", "POST", chat, "{", 400, caller.InvalidRequest),
		Entry("wrong type", "POST", chat, `{"model":7}`, 400, caller.InvalidRequest),
		Entry("no model", "POST", chat, `{"messages":[{}]}`, 400, caller.InvalidRequest),
		Entry("no messages", "POST", chat, `{"model":"m"}`, 400, caller.InvalidRequest),
		Entry("max_tokens below one", "POST", chat, `{"model":"m","messages":[{}],"max_tokens":0}`, 400, caller.InvalidRequest),
		Entry("several choices", "POST", chat, `{"model":"m","messages":[{}],"n":2}`, 400, caller.InvalidRequest),
		Entry("many fields", "POST", chat, `{"model":"m","messages":[{}]`+manyFields(), 400, caller.InvalidRequest),
		Entry("no key", "POST", chat, `{}`, 401, caller.Unauthorized, "Authorization", ""),
		Entry("another scheme", "POST", chat, `{}`, 401, caller.Unauthorized, "Authorization", "Basic key"),
		Entry("long idempotency key", "POST", chat, `{}`, 400, caller.InvalidRequest, "Idempotency-Key", strings.Repeat("k", 256)),
		Entry("large body", "POST", chat, strings.Repeat(" ", 16<<10), 413, caller.TooLarge),
		Entry("large header", "POST", chat, `{}`, 431, caller.TooLarge, "X-Long", strings.Repeat("x", 4<<10)),
		Entry("unknown path", "GET", "/v2", "", 404, caller.UnknownRoute),
		Entry("wrong method", "GET", chat, "", 405, caller.UnknownRoute),
	)

	// Guards against a body that the HTTP server parses and writes again.
	It("takes the body of a form as it was sent", func() {
		const form = "--b\r\nContent-Disposition: form-data; name=\"z\"; filename=\"f\"\r\n\r\n1\r\n--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n2\r\n--b--\r\nend"
		response, _, err := sendRequest("POST", "/v1/services/s/book", form, "Content-Type", "multipart/form-data; boundary=b")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(string(caller.EnvelopeOf(handled[0]).Body)).To(Equal(form))
	})

	// Guards against an incomplete answer that looks complete to the caller.
	It("ends a broken answer without the end of the chunked body", func() {
		reply = &caller.StreamReply{Status: 200, ContentType: "text/event-stream", Body: brokenBody{strings.NewReader("data: 1\n\n")}}
		_, data, err := sendRequest("POST", chat, `{"model":"m","messages":[{"content":"x"}]}`)
		Expect(data).To(Equal("data: 1\n\n"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("returns the generated idempotency key and bounds the prompt", func() {
		response, _, err := sendRequest("POST", chat, `{"model":"m","messages":[{"content":"x"},{"content":"y"}]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Idempotency-Key")).To(Equal(caller.EnvelopeOf(handled[0]).IdempotencyKey))
		Expect(handled[0].(*caller.ChatRequest).PromptTokens).To(Equal(int64(2*len(`{"content":"x"}`) + 2*caller.TemplateTokensPerMessage)))
	})
})

// Guards against requests that a stopping entry runs and does not answer: they
// arrive on connections that are still open when the time for its shutdown is up.
var _ = Describe("HTTP server for callers whose shutdown takes too long", func() {
	It("ends the requests in progress and closes after their answers", func() {
		started := make(chan struct{})
		server, err := caller.New(func(ctx context.Context, _ caller.Request) caller.Reply {
			close(started)
			<-ctx.Done()
			return caller.NewFailure(http.StatusBadGateway, caller.OutcomeUnknown, peer.ExecutionUnknown, "%v", context.Cause(ctx))
		}, func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
		c, err := net.Dial("tcp", server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 42\r\n\r\n"+`{"model":"m","messages":[{"content":"x"}]}`)
		Expect(err).NotTo(HaveOccurred())
		<-started
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(server.Close(ctx)).To(MatchError(context.DeadlineExceeded))
		// The process would end here: what was not written before is lost.
		Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Close).To(BeTrue())
		Expect(string(data)).To(ContainSubstring("shutting down"))
	})

	It("refuses the requests that arrive later", func() {
		var handled atomic.Int64
		endless, write := io.Pipe()
		server, err := caller.New(func(context.Context, caller.Request) caller.Reply {
			if handled.Add(1) > 1 {
				return &caller.FullReply{Status: http.StatusOK, ContentType: "application/json", Body: []byte("{}")}
			}
			return &caller.StreamReply{Status: http.StatusOK, ContentType: "text/event-stream", Body: endless}
		}, func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
		c, err := net.Dial("tcp", server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		reader := bufio.NewReader(c)
		send := func() *http.Response {
			_, err := io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 42\r\n\r\n"+`{"model":"m","messages":[{"content":"x"}]}`)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			return response
		}
		go func() { _, _ = io.WriteString(write, "data: 1\n\n") }()
		stream := send()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(server.Close(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(write.Close()).To(Succeed())
		_, err = io.ReadAll(stream.Body)
		Expect(err).NotTo(HaveOccurred())
		refusal := send()
		data, err := io.ReadAll(refusal.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(refusal.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.Close).To(BeTrue())
		Expect(refusal.Header.Get("Retry-After")).NotTo(BeEmpty())
		var fault errorBody
		Expect(json.Unmarshal(data, &fault)).To(Succeed(), string(data))
		Expect(fault.Error.Type).To(Equal(caller.NotReady))
		Expect(fault.Error.Execution).To(Equal(peer.ExecutionNotRun))
		Expect(handled.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("HTTP server for callers that don't read their answers", func() {
	// Guards against answers of any number that wait for their readers, and against one
	// that is refused as not run after it ran.
	It("bounds what the answers hold", func() {
		const memory = 4 << 20
		answer := make([]byte, 1<<20)
		set := metrics.NewSet()
		server, err := caller.New(func(context.Context, caller.Request) caller.Reply {
			return &caller.FullReply{Status: http.StatusOK, ContentType: "application/json", Body: answer}
		}, func() error { return nil }, caller.WithLimits(2<<10, 2<<10, 30*time.Second), caller.WithMemory(memory, time.Hour), caller.WithMetrics(set))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = server.Close(ctx)
		})
		statuses := map[int]int{}
		for range 12 {
			c, err := net.Dial("tcp", server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
			_, err = io.WriteString(c, "POST /v1/services/s/book HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
			Expect(err).NotTo(HaveOccurred())
			statuses[response.StatusCode]++
			if response.StatusCode != http.StatusOK {
				var fault errorBody
				Expect(json.NewDecoder(response.Body).Decode(&fault)).To(Succeed())
				Expect(fault.Error.Execution).To(Equal(peer.ExecutionRan))
			}
		}
		Expect(statuses).To(Equal(map[int]int{http.StatusOK: 3, http.StatusBadGateway: 9}))
		var text strings.Builder
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`briarreach_callers_refused_total{reason="memory"} 9`))
	})
})

// Guards against messages that are joined otherwise than their JSON elements.
var _ = Describe("ParseChat", func() {
	It("joins the messages as they were sent", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			elements := rapid.SliceOfN(rapid.SampledFrom([]string{
				`{}`, `{"role": "user", "content": "a, \"b\" [c] \\"}`, `[1, {"x": []}]`, `"\\"`, `" , "`, `7`, `null`, `{"content": "{[\u00e9"}`,
			}), 1, 6).Draw(t, "elements")
			space := rapid.SampledFrom([]string{"", " ", "\n\t "}).Draw(t, "space")
			body := `{"model":"m","tools":[1, 2],"messages":[` + space + strings.Join(elements, space+","+space) + space + `]}`
			chat, fault := caller.ParseChat(caller.Envelope{Body: []byte(body)})
			if fault != nil {
				t.Fatal(fault)
			}
			want := strings.Join(elements, "")
			if string(chat.Prompt) != want || chat.PromptTokens != int64(len(want)+len("[1, 2]")+caller.TemplateTokensPerMessage*len(elements)) {
				t.Fatalf("%d tokens, %s", chat.PromptTokens, chat.Prompt)
			}
		})
	})
})

// Guards against a panic on any body that callers can send.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{`{}`, `{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`, `{"messages":null,"n":1}`, `[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, fault := caller.ParseChat(caller.Envelope{Body: body})
		if (chat == nil) == (fault == nil) {
			t.Fatal("want either a request or a refusal")
		}
	})
}
