// Package engine is the client of a model engine: OpenAI chat completions over
// HTTP with server-sent events, and control orders.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"briarreach/roundtrip"
)

type (
	// NotSentError reports that nothing of the request was sent, so it did not
	// run.
	NotSentError = roundtrip.NotSentError
	// AmbiguousError reports a failure after a part of the request was sent: it
	// may have run.
	AmbiguousError = roundtrip.AmbiguousError
	// StatusError reports an unexpected status.
	StatusError = roundtrip.StatusError
	// URLError reports a target URL that cannot be used.
	URLError = roundtrip.URLError
)

// BodyError reports a body that is not the expected JSON object. From Stream
// and PromptText it concerns the request's body, and nothing was sent.
type BodyError struct{ Err error }

func (e *BodyError) Error() string { return fmt.Sprintf("body: %v", e.Err) }

func (e *BodyError) Unwrap() error { return e.Err }

// Request is a chat completions request. Body is its JSON object; the client
// sets stream and stream_options.include_usage. A Priority other than 0 is
// sent as the field "priority" with the opposite sign, since engines that have
// the field (vLLM) run lower values first.
type Request struct {
	Body      []byte
	Priority  int
	RequestID string
}

// Order is a control command to an engine, for example to load a version or to
// change its role. Kind names the command; it is sent without a check.
type Order struct {
	Kind          string `json:"kind"`
	Version       string `json:"version"`
	FencingNumber uint64 `json:"fencing_number"`
}

// FencedError reports that the engine refused an order because it has seen a
// higher fencing number.
type FencedError struct{ FencingNumber uint64 }

func (e *FencedError) Error() string {
	return fmt.Sprintf("order with fencing number %d refused: the engine has seen a higher one", e.FencingNumber)
}

// Client is safe for concurrent use. It holds no connections between requests.
type Client struct {
	endpoint *roundtrip.Endpoint
	options  options
}

type options struct {
	limits       roundtrip.Limits
	idleTimeout  time.Duration
	maxEventSize int
}

// Option changes a client.
type Option func(*options)

// WithConnectTimeout bounds the time to connect. The default is 1 s.
func WithConnectTimeout(d time.Duration) Option {
	return func(o *options) { o.limits.ConnectTimeout = d }
}

// WithHeaderTimeout bounds the time until the engine's response starts, which
// includes the time that the request waits in the engine. The default is 30 s.
func WithHeaderTimeout(d time.Duration) Option {
	return func(o *options) { o.limits.HeaderTimeout = d }
}

// WithIdleTimeout bounds the time that one call of Next waits for the
// engine. The default is 30 s.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idleTimeout = d } }

// WithMaxEventSize bounds one server-sent event, in bytes. The default is
// 256 KiB.
func WithMaxEventSize(n int) Option { return func(o *options) { o.maxEventSize = n } }

// WithReceiveBuffer sets the socket's receive buffer in bytes, which bounds how
// far the engine generates ahead of Next. The default is 8 KiB; Linux doubles it
// for its own bookkeeping.
func WithReceiveBuffer(n int) Option { return func(o *options) { o.limits.ReceiveBuffer = n } }

// New returns a client of the engine at the URL (http://address:port[/path]).
func New(url string, opts ...Option) (*Client, error) {
	o := options{
		limits: roundtrip.Limits{
			ConnectTimeout: time.Second,
			WriteTimeout:   5 * time.Second,
			HeaderTimeout:  30 * time.Second,
			BufferSize:     2 << 10,
			ReceiveBuffer:  8 << 10,
		},
		idleTimeout:  30 * time.Second,
		maxEventSize: 256 << 10,
	}
	for _, opt := range opts {
		opt(&o)
	}
	endpoint, err := roundtrip.New(url, o.limits)
	if err != nil {
		return nil, fmt.Errorf("engine.New: %w", err)
	}
	return &Client{endpoint: endpoint, options: o}, nil
}

// maxErrorBodyBytes bounds the part of an error response's body that is kept.
const maxErrorBodyBytes = 16 << 10

// Stream sends the request and returns its response when the engine has
// accepted it. Errors: *BodyError, *NotSentError, *AmbiguousError, and
// *StatusError for any status but 200. Cancelling ctx cancels the engine's
// stream at any time.
func (c *Client) Stream(ctx context.Context, r Request) (*Response, error) {
	body, err := streamingBody(r)
	if err != nil {
		return nil, fmt.Errorf("engine.Stream: %w", err)
	}
	request := c.request(fasthttp.MethodPost, "/v1/chat/completions")
	request.Header.SetContentType("application/json")
	request.Header.Set("Accept", "text/event-stream")
	if r.RequestID != "" {
		request.Header.Set("X-Request-Id", r.RequestID)
	}
	request.SetBodyRaw(body)
	exchange, err := c.endpoint.Do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("engine.Stream: %w", err)
	}
	if err := checkStatus(exchange, fasthttp.StatusOK); err != nil {
		return nil, fmt.Errorf("engine.Stream: %w", err)
	}
	return newResponse(exchange, c.options), nil
}

// Order sends an order. Errors: *NotSentError, *AmbiguousError, *FencedError
// for status 409, and *StatusError for any other status but 2xx.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("engine.Order: %w", err)
	}
	request := c.request(fasthttp.MethodPost, "/orders")
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	exchange, err := c.endpoint.Do(ctx, request)
	if err != nil {
		return fmt.Errorf("engine.Order: %w", err)
	}
	if exchange.Response.StatusCode() == fasthttp.StatusConflict {
		exchange.Close()
		return fmt.Errorf("engine.Order: %w", &FencedError{o.FencingNumber})
	}
	if err := checkStatus(exchange, 0); err != nil {
		return fmt.Errorf("engine.Order: %w", err)
	}
	exchange.Close()
	return nil
}

// CacheEvent says that the engine has cached or evicted prompt blocks. Blocks
// are hashes of the text that PromptText returns, not of the text from which an
// entry computes its prefix hashes.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Kind     string   `json:"kind"` // "cached", "evicted"
	Blocks   []uint64 `json:"blocks"`
}

// maxCacheEventsBytes bounds the response with cache events.
const maxCacheEventsBytes = 4 << 20

// CacheEvents returns the engine's cache events with a sequence number above
// after, in order. A gap in the numbers means that events were lost. Errors are
// those of Order, and *BodyError for a malformed response.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	exchange, err := c.endpoint.Do(ctx, c.request(fasthttp.MethodGet, fmt.Sprintf("/cache_events?after=%d", after)))
	if err != nil {
		return nil, fmt.Errorf("engine.CacheEvents: %w", err)
	}
	if err := checkStatus(exchange, fasthttp.StatusOK); err != nil {
		return nil, fmt.Errorf("engine.CacheEvents: %w", err)
	}
	defer exchange.Close()
	body, err := exchange.ReadAll(maxCacheEventsBytes)
	if err != nil {
		return nil, fmt.Errorf("engine.CacheEvents: %w", &AmbiguousError{Err: err})
	}
	var response struct {
		Events []CacheEvent `json:"events"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, fmt.Errorf("engine.CacheEvents: %w", &BodyError{err})
	}
	return response.Events, nil
}

func (c *Client) request(method, path string) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI(c.endpoint.BaseURL + path)
	return request
}

// checkStatus closes the exchange and returns *StatusError unless the response
// has the wanted status; 0 stands for any 2xx.
func checkStatus(exchange *roundtrip.Exchange, want int) error {
	got := exchange.Response.StatusCode()
	if got == want || want == 0 && got/100 == 2 {
		return nil
	}
	defer exchange.Close()
	// An error of ReadAll is ignored: the status is the error, and the part of
	// the body that could be read explains it.
	body, _ := exchange.ReadAll(maxErrorBodyBytes)
	return &StatusError{Status: got, ContentType: string(exchange.Response.Header.ContentType()), Body: body}
}

// streamingBody returns the request's body with the fields that the client sets.
func streamingBody(r Request) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, &BodyError{err}
	}
	if fields == nil {
		fields = map[string]json.RawMessage{}
	}
	streamOptions := map[string]json.RawMessage{}
	if raw, ok := fields["stream_options"]; ok {
		if err := json.Unmarshal(raw, &streamOptions); err != nil {
			return nil, &BodyError{err}
		}
	}
	if streamOptions == nil { // "stream_options": null
		streamOptions = map[string]json.RawMessage{}
	}
	streamOptions["include_usage"] = json.RawMessage("true")
	// An extension of vLLM and others: each chunk carries the usage so far, so
	// that a cancelled request is billed by the engine's counts.
	streamOptions["continuous_usage_stats"] = json.RawMessage("true")
	raw, err := json.Marshal(streamOptions)
	if err != nil {
		return nil, &BodyError{err}
	}
	fields["stream"], fields["stream_options"] = json.RawMessage("true"), raw
	if r.Priority != 0 {
		fields["priority"] = fmt.Appendf(nil, "%d", -r.Priority)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &BodyError{err}
	}
	return body, nil
}
