package table

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cenkalti/backoff/v5"
)

// Limits that the service's API sets.
const (
	MaxTransactionBytes   = 4 << 20 // all keys and values of a transaction
	MaxPartitionBytes     = 2048
	MaxSortBytes          = 1024
	MaxTransactionIDBytes = 36
	maxBatchKeys          = 100
)

// Limits of a response. The largest one that the API allows, of a batch read, has 16 MiB
// of rows, whose values are encoded as base64.
const (
	MaxResponseBytes       = 32 << 20
	MaxResponseHeaderBytes = 32 << 10
	// maxHeldResponseBytes bounds the responses that are being read, together. It has room
	// for the largest page of a query, 1 MiB of rows, on each connection.
	maxHeldResponseBytes = 4 * MaxResponseBytes
	// responseReadBytes bounds one read of a response.
	responseReadBytes = 64 << 10
)

const (
	// maxConnections bounds the client's connections to the service. One
	// connection carries one request at a time.
	maxConnections = 64
	// maxAttempts bounds the attempts of a transaction that collides with another
	// one, and of a batch read that makes no progress.
	maxAttempts = 5
)

// Client is a Store that uses the DynamoDB JSON API.
type Client struct {
	api       *dynamodb.Client
	transport *http.Transport
	table     string
	timeout   time.Duration
}

var _ Store = (*Client)(nil)

type options struct {
	endpoint        string
	region          string
	table           string
	accessKeyID     string
	secretAccessKey string
	timeout         time.Duration
}

// Option configures a Client.
type Option func(*options)

// WithEndpoint sets the base URL of the service. It is required.
func WithEndpoint(url string) Option { return func(o *options) { o.endpoint = url } }

// WithRegion sets the region that requests are signed for.
func WithRegion(region string) Option { return func(o *options) { o.region = region } }

// WithTableName sets the name of the table.
func WithTableName(name string) Option { return func(o *options) { o.table = name } }

// WithCredentials sets the access key that requests are signed with.
func WithCredentials(id, secret string) Option {
	return func(o *options) { o.accessKeyID, o.secretAccessKey = id, secret }
}

// WithTimeout bounds each HTTP request.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// New returns a client. It fails with *InvalidError when an option is missing
// or out of range, and doesn't contact the service.
func New(opts ...Option) (*Client, error) {
	o := options{region: "local", table: "briarreach", accessKeyID: "local", secretAccessKey: "local", timeout: 2 * time.Second}
	for _, opt := range opts {
		opt(&o)
	}
	switch {
	case o.endpoint == "":
		return nil, fmt.Errorf("table.New: %w", &InvalidError{Reason: "no endpoint"})
	case o.table == "" || o.region == "" || o.accessKeyID == "" || o.secretAccessKey == "":
		return nil, fmt.Errorf("table.New: %w", &InvalidError{Reason: "empty table name, region or credentials"})
	case o.timeout <= 0:
		return nil, fmt.Errorf("table.New: %w", &InvalidError{Reason: "timeout is not positive"})
	}
	dialer := &net.Dialer{Timeout: o.timeout, KeepAlive: 15 * time.Second}
	httpClient := awshttp.NewBuildableClient().WithTransportOptions(func(t *http.Transport) {
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeCountingConn{Conn: conn}, nil
		}
		t.Proxy = nil
		t.MaxConnsPerHost = maxConnections
		t.MaxIdleConns = maxConnections
		t.MaxIdleConnsPerHost = maxConnections
		t.IdleConnTimeout = 30 * time.Second
		t.TLSHandshakeTimeout = o.timeout
		t.ResponseHeaderTimeout = o.timeout
		t.MaxResponseHeaderBytes = MaxResponseHeaderBytes
		// HTTP/1.1 only: one stalled HTTP/2 connection would block all requests,
		// and the writes of one request could not be counted.
		t.ForceAttemptHTTP2 = false
		t.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	}).Freeze()
	c := &Client{table: o.table, timeout: o.timeout}
	if h, ok := httpClient.(*http.Client); ok {
		c.transport, _ = h.Transport.(*http.Transport)
	}
	c.api = dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.endpoint),
		Region:       o.region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.accessKeyID, o.secretAccessKey, ""),
		HTTPClient:   boundedClient{unclosedBodyClient{httpClient}, &atomic.Int64{}},
		Retryer:      aws.NopRetryer{},
	})
	return c, nil
}

// unclosedBodyClient keeps the SDK from closing a request's body. The SDK
// (smithy-go 1.28.9) closes it as soon as the response headers have arrived. The
// HTTP transport may still be checking that nothing follows the body, treats the
// error as a failed write and closes the connection while the response is being
// read.
type unclosedBodyClient struct{ client aws.HTTPClient }

// Do sends a request whose body ignores Close.
func (c unclosedBodyClient) Do(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = io.NopCloser(struct{ io.Reader }{r.Body})
	}
	return c.client.Do(r)
}

// ResponseTooLargeError reports a response, or several that were read at the same time,
// of more than Limit bytes.
type ResponseTooLargeError struct{ Limit int }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("responses exceed %d bytes", e.Limit)
}

// boundedClient bounds the bodies of responses, which the SDK reads whole. held counts
// the bytes of those that are being read.
type boundedClient struct {
	client aws.HTTPClient
	held   *atomic.Int64
}

// Do sends a request and bounds the body of its response.
func (c boundedClient) Do(r *http.Request) (*http.Response, error) {
	res, err := c.client.Do(r)
	if res != nil && res.Body != nil {
		res.Body = &boundedBody{ReadCloser: res.Body, held: c.held}
	}
	return res, err
}

// boundedBody charges each read before it fills a buffer.
type boundedBody struct {
	io.ReadCloser
	held *atomic.Int64
	read int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	p = p[:min(len(p), responseReadBytes)]
	charged := int64(len(p))
	if b.held.Add(charged) > maxHeldResponseBytes {
		b.held.Add(-charged)
		return 0, &ResponseTooLargeError{Limit: maxHeldResponseBytes}
	}
	n, err := b.ReadCloser.Read(p)
	b.held.Add(int64(n) - charged)
	if b.read += int64(n); b.read > MaxResponseBytes {
		return 0, &ResponseTooLargeError{Limit: MaxResponseBytes}
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	b.held.Add(-b.read)
	b.read = 0
	return b.ReadCloser.Close()
}

// Close closes the idle connections. It does not interrupt calls in flight.
func (c *Client) Close() error {
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
	return nil
}

// Get reads rows. Each row is read with strong consistency, but the rows of one
// call are no common snapshot. It fails with *UnavailableError, *ThrottledError
// or *InvalidError.
func (c *Client) Get(ctx context.Context, keys ...Key) ([]Row, error) {
	for _, k := range keys {
		if err := k.validate(); err != nil {
			return nil, fmt.Errorf("table.Client.Get: %w", err)
		}
	}
	if len(keys) == 1 {
		row, err := c.getOne(ctx, keys[0])
		if err != nil {
			return nil, fmt.Errorf("table.Client.Get: %w", err)
		}
		return []Row{row}, nil
	}
	found := make(map[Key]Row, len(keys))
	var pending []Key // without duplicates, which the service refuses
	for _, k := range keys {
		if _, ok := found[k]; !ok {
			found[k] = Row{Key: k}
			pending = append(pending, k)
		}
	}
	for len(pending) > 0 {
		n := min(len(pending), maxBatchKeys)
		if err := c.getBatch(ctx, pending[:n], found); err != nil {
			return nil, fmt.Errorf("table.Client.Get: %w", err)
		}
		pending = pending[n:]
	}
	rows := make([]Row, len(keys))
	for i, k := range keys {
		rows[i] = found[k]
	}
	return rows, nil
}

func (c *Client) getOne(ctx context.Context, k Key) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &c.table,
		Key:            encodeKey(k),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, readError(err)
	}
	if len(out.Item) == 0 {
		return Row{Key: k}, nil
	}
	return decodeItem(out.Item)
}

// getBatch reads up to maxBatchKeys keys into found, and retries the keys that
// the service returns as unprocessed.
func (c *Client) getBatch(ctx context.Context, keys []Key, found map[Key]Row) error {
	pending := make([]map[string]types.AttributeValue, len(keys))
	for i, k := range keys {
		pending[i] = encodeKey(k)
	}
	delays := newBackOff()
	for attempts := 0; ; {
		out, err := c.sendBatchGet(ctx, pending)
		if err != nil {
			return readError(err)
		}
		for _, item := range out.Responses[c.table] {
			row, err := decodeItem(item)
			if err != nil {
				return err
			}
			found[row.Key] = row
		}
		left := out.UnprocessedKeys[c.table].Keys
		if len(left) == 0 {
			return nil
		}
		attempts++
		if len(left) < len(pending) {
			attempts = 0
			delays.Reset()
		}
		if attempts == maxAttempts {
			return &ThrottledError{Err: &MalformedError{Reason: fmt.Sprintf("%d keys were not processed", len(left))}}
		}
		if attempts > 0 {
			if err := sleep(ctx, delays.NextBackOff()); err != nil {
				return &UnavailableError{Err: err}
			}
		}
		pending = left
	}
}

func (c *Client) sendBatchGet(ctx context.Context, keys []map[string]types.AttributeValue) (*dynamodb.BatchGetItemOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.api.BatchGetItem(ctx, &dynamodb.BatchGetItemInput{
		RequestItems: map[string]types.KeysAndAttributes{
			c.table: {Keys: keys, ConsistentRead: aws.Bool(true)},
		},
	})
}

// Query reads up to limit rows of a partition after a sort key, in as many pages
// as needed. The pages are no common snapshot. It fails with the same errors as
// Get.
func (c *Client) Query(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	if err := validateQuery(partition, after, limit); err != nil {
		return nil, fmt.Errorf("table.Client.Query: %w", err)
	}
	condition := "pk = :p"
	values := map[string]types.AttributeValue{":p": &types.AttributeValueMemberS{Value: partition}}
	if after != "" {
		condition = "pk = :p AND sk > :s"
		values[":s"] = &types.AttributeValueMemberS{Value: after}
	}
	var rows []Row
	var start map[string]types.AttributeValue
	for {
		out, err := c.queryPage(ctx, &dynamodb.QueryInput{
			TableName:                 &c.table,
			ConsistentRead:            aws.Bool(true),
			KeyConditionExpression:    &condition,
			ExpressionAttributeValues: values,
			ExclusiveStartKey:         start,
			Limit:                     aws.Int32(int32(min(limit-len(rows), 1<<20))),
		})
		if err != nil {
			return nil, fmt.Errorf("table.Client.Query: %w", readError(err))
		}
		for _, item := range out.Items {
			row, err := decodeItem(item)
			if err != nil {
				return nil, fmt.Errorf("table.Client.Query: %w", err)
			}
			rows = append(rows, row)
		}
		if len(out.LastEvaluatedKey) == 0 || len(rows) >= limit {
			return rows, nil
		}
		start = out.LastEvaluatedKey
	}
}

func (c *Client) queryPage(ctx context.Context, in *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.api.Query(ctx, in)
}

// Commit applies a transaction. A transaction that the service cancelled because
// it collided with another one in progress is sent up to maxAttempts times; after
// that the error is *ThrottledError. There is no retry after an ambiguous
// failure.
func (c *Client) Commit(ctx context.Context, tx Transaction) error {
	if err := tx.Validate(); err != nil {
		return fmt.Errorf("table.Client.Commit: %w", err)
	}
	items, keys := c.transactItems(tx)
	if len(items) == 0 {
		return nil
	}
	delays := newBackOff()
	for attempts := 1; ; attempts++ {
		err := c.sendTransaction(ctx, tx.ID, items, keys)
		var collision *collisionError
		if !errors.As(err, &collision) {
			if err != nil {
				return fmt.Errorf("table.Client.Commit: %w", err)
			}
			return nil
		}
		if attempts == maxAttempts || sleep(ctx, delays.NextBackOff()) != nil {
			return fmt.Errorf("table.Client.Commit: %w", &ThrottledError{Err: collision})
		}
	}
}

func (c *Client) sendTransaction(ctx context.Context, id string, items []types.TransactWriteItem, keys []Key) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sent := traceWrites(ctx)
	_, err := c.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		TransactItems:      items,
		ClientRequestToken: &id,
	})
	if err == nil {
		return nil
	}
	return commitError(err, keys, sent.mayHaveSent())
}

// transactItems returns the items of the API request and the key of each item. A
// check that accepts every state is omitted.
func (c *Client) transactItems(tx Transaction) ([]types.TransactWriteItem, []Key) {
	items := make([]types.TransactWriteItem, 0, len(tx.Writes)+len(tx.Checks))
	keys := make([]Key, 0, cap(items))
	for _, w := range tx.Writes {
		condition, values, next := conditionExpression(w.Expect)
		keys = append(keys, w.Key)
		if w.Value == nil {
			items = append(items, types.TransactWriteItem{Delete: &types.Delete{
				TableName:                 &c.table,
				Key:                       encodeKey(w.Key),
				ConditionExpression:       condition,
				ExpressionAttributeValues: values,
			}})
			continue
		}
		item := encodeKey(w.Key)
		item["ver"] = &types.AttributeValueMemberN{Value: strconv.FormatUint(next, 10)}
		item["val"] = &types.AttributeValueMemberB{Value: w.Value}
		items = append(items, types.TransactWriteItem{Put: &types.Put{
			TableName:                 &c.table,
			Item:                      item,
			ConditionExpression:       condition,
			ExpressionAttributeValues: values,
		}})
	}
	for _, k := range tx.Checks {
		condition, values, _ := conditionExpression(k.Expect)
		if condition == nil {
			continue
		}
		keys = append(keys, k.Key)
		items = append(items, types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName:                 &c.table,
			Key:                       encodeKey(k.Key),
			ConditionExpression:       condition,
			ExpressionAttributeValues: values,
		}})
	}
	return items, keys
}

// conditionExpression returns the condition expression of a precondition, its
// values, and the row's version after a write.
func conditionExpression(e Precondition) (*string, map[string]types.AttributeValue, uint64) {
	exact, ok := e.(Exactly)
	switch {
	case ok && exact.Version > 0:
		return aws.String("ver = :v"), map[string]types.AttributeValue{
			":v": &types.AttributeValueMemberN{Value: strconv.FormatUint(exact.Version, 10)},
		}, exact.Version + 1
	case e == Any{}:
		return nil, nil, 1
	default:
		return aws.String("attribute_not_exists(pk)"), nil, 1
	}
}

func encodeKey(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		"pk": &types.AttributeValueMemberS{Value: k.Partition},
		"sk": &types.AttributeValueMemberS{Value: k.Sort},
	}
}

// decodeItem returns the row of an item. A malformed item makes the response
// unusable and is reported as *UnavailableError.
func decodeItem(item map[string]types.AttributeValue) (Row, error) {
	pk, ok1 := item["pk"].(*types.AttributeValueMemberS)
	sk, ok2 := item["sk"].(*types.AttributeValueMemberS)
	ver, ok3 := item["ver"].(*types.AttributeValueMemberN)
	val, ok4 := item["val"].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return Row{}, &UnavailableError{Err: &MalformedError{Reason: "an attribute of pk, sk, ver and val is missing or has another type"}}
	}
	version, err := strconv.ParseUint(ver.Value, 10, 64)
	if err != nil || version == 0 {
		return Row{}, &UnavailableError{Err: &MalformedError{Reason: fmt.Sprintf("ver is %q", ver.Value)}}
	}
	value := val.Value
	if value == nil {
		value = []byte{}
	}
	return Row{Key: Key{Partition: pk.Value, Sort: sk.Value}, Version: version, Value: value}, nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 10 * time.Millisecond
	b.MaxInterval = 200 * time.Millisecond
	b.RandomizationFactor = 0.5
	return b
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
