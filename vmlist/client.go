package vmlist

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"briarreach/http1"
)

const maxBodyBytes = 4 << 20 // enough for MaxVMs entries of 400 bytes

// Client polls the list and keeps the newest one.
type Client struct {
	url      string
	timeout  time.Duration
	http     *fasthttp.Client
	snapshot atomic.Pointer[List]
	failure  atomic.Pointer[FetchError]
	close    func()
}

// FetchError reports a failed poll. Status is 0 if no response was received, and
// 200 if the response was not a valid list.
type FetchError struct {
	Status int
	Err    error
}

func (e *FetchError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("VM list: status %d", e.Status)
	}
	return fmt.Sprintf("VM list: %v", e.Err)
}
func (e *FetchError) Unwrap() error { return e.Err }

type options struct {
	interval time.Duration
	timeout  time.Duration
	clock    clockwork.Clock
	onChange func(*List)
	onError  func(error)
}

// Option configures a Client.
type Option func(*options)

// WithInterval sets the mean time between polls. The default is 5 s.
func WithInterval(d time.Duration) Option { return func(o *options) { o.interval = d } }

// WithTimeout bounds one poll. The default is 2 s.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithClock sets the clock for the polling interval.
func WithClock(c clockwork.Clock) Option { return func(o *options) { o.clock = c } }

// WithOnChange sets a function that is called with each newer list, from the
// polling goroutine.
func WithOnChange(f func(*List)) Option { return func(o *options) { o.onChange = f } }

// WithOnError sets a function that is called with the error of each failed
// poll, from the polling goroutine.
func WithOnError(f func(error)) Option { return func(o *options) { o.onError = f } }

// New starts polling GET <url>/vms, at once and then at the interval with a
// jitter of 20 %. If url already ends in /vms, it is used as it is.
func New(url string, opts ...Option) *Client {
	o := options{
		interval: 5 * time.Second,
		timeout:  2 * time.Second,
		clock:    clockwork.NewRealClock(),
		onChange: func(*List) {},
		onError:  func(error) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	url = strings.TrimSuffix(url, "/")
	if !strings.HasSuffix(url, "/vms") {
		url += "/vms"
	}
	c := &Client{
		url:     url,
		timeout: o.timeout,
		http: &fasthttp.Client{
			MaxConnsPerHost:           2,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			ReadTimeout:               o.timeout,
			WriteTimeout:              o.timeout,
			MaxIdleConnDuration:       30 * time.Second,
			MaxResponseBodySize:       maxBodyBytes,
			ReadBufferSize:            16 << 10,
			ConfigureClient: func(c *fasthttp.HostClient) error {
				if !c.IsTLS {
					c.DialTimeout = http1.Dial // fasthttp takes status 000 for 200 and accepts broken headers
				}
				return nil
			},
		},
	}
	closing := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			list, err := c.fetch()
			switch {
			case err != nil:
				c.failure.Store(err)
				o.onError(err)
			case c.accept(list):
				c.failure.Store(nil)
				o.onChange(list)
			default:
				c.failure.Store(nil)
			}
			timer := o.clock.NewTimer(time.Duration(float64(o.interval) * (0.8 + 0.4*rand.Float64())))
			select {
			case <-timer.Chan():
			case <-closing:
				timer.Stop()
				return
			}
		}
	}()
	c.close = sync.OnceFunc(func() {
		close(closing)
		<-stopped
		c.http.CloseIdleConnections()
	})
	return c
}

// Snapshot returns the newest list, or nil if none has arrived.
func (c *Client) Snapshot() *List { return c.snapshot.Load() }

// Err returns the error of the last poll as *FetchError, or nil.
func (c *Client) Err() error {
	if err := c.failure.Load(); err != nil {
		return err
	}
	return nil
}

// Close stops the polling. It waits for a poll in flight, for at most the
// timeout.
func (c *Client) Close() error {
	c.close()
	return nil
}

// accept publishes a list if it is newer than the current one. Servers of the
// platform lag by different times, and a list must not be replaced by an older
// one.
func (c *Client) accept(list *List) bool {
	if current := c.snapshot.Load(); current != nil && !list.AsOf.After(current.AsOf) {
		return false
	}
	c.snapshot.Store(list)
	return true
}

func (c *Client) fetch() (*List, *FetchError) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.url)
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return nil, &FetchError{Err: err}
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, &FetchError{Status: status}
	}
	list, err := Parse(response.Body())
	if err != nil {
		return nil, &FetchError{Status: fasthttp.StatusOK, Err: err}
	}
	return list, nil
}
