// Package service is the client of a plain service over HTTP, that is, of a
// service that is not a model engine.
package service

import (
	"context"
	"errors"
	"fmt"
	"strings"
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
	// URLError reports a target URL that cannot be used.
	URLError = roundtrip.URLError
	// TooLargeError reports a response above the size limit; the call ran.
	TooLargeError = roundtrip.TooLargeError
)

// RequestError reports a request that was not sent because its path does not
// start with "/" or has a fragment, or because a field has invalid characters.
type RequestError struct{ Field, Value string }

func (e *RequestError) Error() string { return fmt.Sprintf("invalid %s %q", e.Field, e.Value) }

// Request is one call. Path may contain a query. An empty Method means GET.
type Request struct {
	Method, Path   string
	Body           []byte
	ContentType    string
	IdempotencyKey string
	RequestID      string
}

// Response is the service's response with any status. An error status is passed
// on to the caller: only the service knows whether the call ran.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client is safe for concurrent use. It holds no connections between calls.
type Client struct {
	endpoint *roundtrip.Endpoint
	options  options
}

type options struct {
	limits       roundtrip.Limits
	maxBodyBytes int
}

// Option changes a client.
type Option func(*options)

// WithConnectTimeout bounds the time to connect. The default is 1 s.
func WithConnectTimeout(d time.Duration) Option {
	return func(o *options) { o.limits.ConnectTimeout = d }
}

// WithTimeout bounds the time from the end of the request to the end of the
// response. The default is 30 s.
func WithTimeout(d time.Duration) Option {
	// The read deadline set for the header stays in force for the body.
	return func(o *options) { o.limits.HeaderTimeout = d }
}

// WithMaxBodyBytes bounds the body of a response. The default is 1 MiB.
func WithMaxBodyBytes(n int) Option { return func(o *options) { o.maxBodyBytes = n } }

// New returns a client of the service at the URL (http://address:port[/path]).
func New(url string, opts ...Option) (*Client, error) {
	o := options{
		limits: roundtrip.Limits{
			ConnectTimeout: time.Second,
			WriteTimeout:   5 * time.Second,
			HeaderTimeout:  30 * time.Second,
			BufferSize:     8 << 10,
		},
		maxBodyBytes: 1 << 20,
	}
	for _, opt := range opts {
		opt(&o)
	}
	endpoint, err := roundtrip.New(url, o.limits)
	if err != nil {
		return nil, fmt.Errorf("service.New: %w", err)
	}
	return &Client{endpoint: endpoint, options: o}, nil
}

// Call sends the request once and returns the response, which may have any
// status. Errors: *RequestError, *NotSentError (the call did not run),
// *AmbiguousError (it may have run), and *TooLargeError (it ran; the response
// has the status and the beginning of the body).
func (c *Client) Call(ctx context.Context, r Request) (Response, error) {
	if err := validate(r); err != nil {
		return Response{}, fmt.Errorf("service.Call: %w", err)
	}
	request := fasthttp.AcquireRequest()
	if r.Method != "" {
		request.Header.SetMethod(r.Method)
	}
	request.SetRequestURI(c.endpoint.BaseURL + r.Path)
	if r.ContentType != "" {
		request.Header.SetContentType(r.ContentType)
	}
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.RequestID != "" {
		request.Header.Set("X-Request-Id", r.RequestID)
	}
	if len(r.Body) > 0 {
		request.SetBodyRaw(r.Body)
	}
	exchange, err := c.endpoint.Do(ctx, request)
	if err != nil {
		return Response{}, fmt.Errorf("service.Call: %w", err)
	}
	defer exchange.Close()
	response := Response{
		Status:      exchange.Response.StatusCode(),
		ContentType: string(exchange.Response.Header.ContentType()),
	}
	response.Body, err = exchange.ReadAll(c.options.maxBodyBytes)
	if tooLarge := (*TooLargeError)(nil); err != nil && !errors.As(err, &tooLarge) {
		// A status without the body cannot be passed on to the caller.
		err = &AmbiguousError{Err: err}
	}
	if err != nil {
		return response, fmt.Errorf("service.Call: %w", err)
	}
	return response, nil
}

// validate rejects values that could change the request line or the headers.
func validate(r Request) error {
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, "#") || !printable(r.Path, false) {
		return &RequestError{"path", r.Path}
	}
	for _, f := range []struct {
		name, value string
		allowSpace  bool
	}{
		{"method", r.Method, false},
		{"content type", r.ContentType, true},
		{"idempotency key", r.IdempotencyKey, true},
		{"request id", r.RequestID, true},
	} {
		if !printable(f.value, f.allowSpace) {
			return &RequestError{f.name, f.value}
		}
	}
	return nil
}

func printable(s string, allowSpace bool) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] >= 0x7f || s[i] == ' ' && !allowSpace {
			return false
		}
	}
	return true
}
