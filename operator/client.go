package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"briarreach/config"
	"briarreach/http1"
	"briarreach/timeline"
)

// MaxResponseBytes bounds the response of an entry.
const MaxResponseBytes = 64 << 20

// Client calls the API of an entry.
type Client struct {
	url  string
	key  string
	http *fasthttp.Client
}

// NewClient returns a client of the API at the URL, for example
// "http://10.0.0.1:8081", with the operator's key.
func NewClient(url, key string) *Client {
	return &Client{url: url, key: key, http: &fasthttp.Client{
		ReadTimeout:               2 * RequestTimeout,
		WriteTimeout:              RequestTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       MaxResponseBytes,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ConfigureClient: func(c *fasthttp.HostClient) error {
			if !c.IsTLS {
				c.DialTimeout = http1.Dial // fasthttp takes status 000 for 200 and accepts broken headers
			}
			return nil
		},
	}}
}

// TransportError reports that a request may not have reached the entry.
type TransportError struct{ Err error }

func (e *TransportError) Error() string { return fmt.Sprintf("entry can't be reached: %v", e.Err) }
func (e *TransportError) Unwrap() error { return e.Err }

// Config returns the current document.
func (c *Client) Config(ctx context.Context) (*config.Document, error) {
	var d config.Document
	return &d, c.call(ctx, http.MethodGet, ConfigPath, nil, &d)
}

// Patch submits a patch. It is safe to submit the same patch again.
func (c *Client) Patch(ctx context.Context, p config.Patch) (PatchResponse, error) {
	var a PatchResponse
	return a, c.call(ctx, http.MethodPost, PatchPath, p, &a)
}

// History returns up to limit changes that follow the number after.
func (c *Client) History(ctx context.Context, after uint64, limit int) ([]Change, error) {
	var changes []Change
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
	return changes, c.call(ctx, http.MethodGet, HistoryPath+"?"+query.Encode(), nil, &changes)
}

// Status returns which daemons have the current configuration.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, StatusPath, nil, &s)
}

// Budgets returns the state of all budgets.
func (c *Client) Budgets(ctx context.Context) ([]Budget, error) {
	var b []Budget
	return b, c.call(ctx, http.MethodGet, BudgetsPath, nil, &b)
}

// Timeline returns the merged events of all processes.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
	query := url.Values{}
	for name, value := range map[string]string{"request_id": f.RequestID, "workspace": f.Workspace, "move": f.Move} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if f.ConfigNumber > 0 {
		query.Set("config_number", strconv.FormatUint(f.ConfigNumber, 10))
	}
	if f.Limit > 0 {
		query.Set("limit", strconv.Itoa(f.Limit))
	}
	var events []timeline.Event
	return events, c.call(ctx, http.MethodGet, TimelinePath+"?"+query.Encode(), nil, &events)
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.url + path)
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+c.key)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("operator.call: %w", err)
		}
		request.Header.SetContentType("application/json")
		request.SetBody(data)
	}
	deadline, ok := ctx.Deadline()
	var err error
	if ok {
		err = c.http.DoDeadline(request, response, deadline)
	} else {
		err = c.http.Do(request, response)
	}
	if err != nil {
		return &TransportError{Err: err}
	}
	if response.StatusCode() != http.StatusOK {
		var failure errorResponse
		if err := json.Unmarshal(response.Body(), &failure); err != nil || failure.Error == nil {
			return &Error{Status: response.StatusCode(), Type: Internal, Message: "the entry answered " + strconv.Itoa(response.StatusCode())}
		}
		failure.Error.Status = response.StatusCode()
		return failure.Error
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return fmt.Errorf("operator.call: %w", err)
	}
	return nil
}
