package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"briarreach/table"
)

// newStandinServer returns a server that limits connections, sizes and times.
func newStandinServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       handler,
		Name:                          "standin",
		Concurrency:                   maxTableConns,
		ReadBufferSize:                16 << 10,
		MaxRequestBodySize:            maxTableRequestBytes,
		ReadTimeout:                   30 * time.Second,
		WriteTimeout:                  30 * time.Second,
		IdleTimeout:                   60 * time.Second,
		CloseOnShutdown:               true,
		DisableHeaderNamesNormalizing: true,
		Logger:                        discardLogger{},
	}
}

// discardLogger discards the server's log, which would report connections that
// faults close as errors.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// tableAttribute is a value in the API's JSON form.
type tableAttribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type tableItem map[string]tableAttribute

type tableCondition struct {
	TableName                 string
	Key                       tableItem
	Item                      tableItem
	ConditionExpression       string
	ExpressionAttributeValues tableItem
}

type tableBatchKeys struct {
	Keys           []tableItem
	ConsistentRead bool
}

// tableFieldError reports a request outside the supported subset of the API.
type tableFieldError struct{ reason string }

func (e *tableFieldError) Error() string { return e.reason }

// serveControl serves GET and POST /faults.
func (t *Table) serveControl(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/faults" {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsPost() {
		var f TableFaults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		switch f.Outage {
		case TableOutageNone, TableOutageRefuse, TableOutageClose, TableOutageSilent:
		default:
			ctx.Error(fmt.Sprintf("unknown outage %q", f.Outage), fasthttp.StatusBadRequest)
			return
		}
		if err := t.SetFaults(f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
	}
	body, err := json.Marshal(t.Faults())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// serveAPI serves the DynamoDB JSON API.
func (t *Table) serveAPI(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/faults" {
		t.serveControl(ctx)
		return
	}
	action, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("X-Amz-Target")), "DynamoDB_20120810.")
	if !ok || !ctx.IsPost() {
		t.writeError(ctx, &tableRefusal{kind: "UnknownOperationException"})
		return
	}
	write := action == "TransactWriteItems"
	fault, latency := t.chooseFault(write)
	switch fault {
	case tableFaultRefuse:
		dropConnection(ctx)
		return
	case tableFaultNoAnswer:
		<-t.closing
		dropConnection(ctx)
		return
	}
	body := ctx.PostBody()
	var answer any
	var err error
	if write {
		answer, err = t.serveTransaction(body, fault, latency)
	} else {
		t.wait(latency)
		switch {
		case fault == tableFaultThrottle:
			err = &tableRefusal{kind: "ThrottlingException"}
		case action == "GetItem":
			answer, err = t.serveGet(body)
		case action == "BatchGetItem":
			answer, err = t.serveBatch(body)
		case action == "Query":
			answer, err = t.serveQuery(body)
		default:
			err = &tableRefusal{kind: "UnknownOperationException"}
		}
	}
	switch {
	case fault == tableFaultLoseRequest || fault == tableFaultLoseResponse:
		dropConnection(ctx)
	case fault == tableFaultFail:
		t.writeAnswer(ctx, fasthttp.StatusInternalServerError, map[string]any{
			"__type": "com.amazonaws.dynamodb.v20120810#InternalServerError", "message": "internal error",
		})
	case err != nil:
		t.writeError(ctx, err)
	default:
		t.writeAnswer(ctx, fasthttp.StatusOK, answer)
	}
}

// dropConnection closes the connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func (t *Table) writeAnswer(ctx *fasthttp.RequestCtx, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/x-amz-json-1.0")
	ctx.Response.Header.Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 10))
	ctx.SetBody(body)
}

func (t *Table) writeError(ctx *fasthttp.RequestCtx, err error) {
	kind, space := "ValidationException", "com.amazon.coral.validate#"
	answer := map[string]any{"message": err.Error()}
	var refused *tableRefusal
	if errors.As(err, &refused) {
		kind, space = refused.kind, "com.amazonaws.dynamodb.v20120810#"
		if len(refused.reasons) > 0 {
			reasons := make([]map[string]string, len(refused.reasons))
			for i, reason := range refused.reasons {
				reasons[i] = map[string]string{"Code": reason}
			}
			delete(answer, "message")
			answer["Message"] = "Transaction cancelled, please refer cancellation reasons for specific reasons [" + strings.Join(refused.reasons, ", ") + "]"
			answer["CancellationReasons"] = reasons
		}
	}
	answer["__type"] = space + kind
	t.writeAnswer(ctx, fasthttp.StatusBadRequest, answer)
}

func (t *Table) checkTable(name string) error {
	if name != t.options.name {
		return &tableRefusal{kind: "ResourceNotFoundException"}
	}
	return nil
}

func (t *Table) serveGet(body []byte) (any, error) {
	var in struct {
		TableName      string
		Key            tableItem
		ConsistentRead bool
	}
	if err := decodeTableRequest(body, &in); err != nil {
		return nil, err
	}
	if err := t.checkTable(in.TableName); err != nil {
		return nil, err
	}
	if !in.ConsistentRead {
		return nil, &tableFieldError{"only consistent reads are served"}
	}
	key, err := parseTableKey(in.Key)
	if err != nil {
		return nil, err
	}
	rows, _, err := t.getRows([]table.Key{key})
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return map[string]any{}, nil
	}
	return map[string]any{"Item": encodeTableRow(rows[0])}, nil
}

func (t *Table) serveBatch(body []byte) (any, error) {
	var in struct{ RequestItems map[string]tableBatchKeys }
	if err := decodeTableRequest(body, &in); err != nil {
		return nil, err
	}
	request, ok := in.RequestItems[t.options.name]
	if !ok || len(in.RequestItems) != 1 {
		return nil, &tableRefusal{kind: "ResourceNotFoundException"}
	}
	if n := len(request.Keys); n < 1 || n > maxTableBatchKeys || !request.ConsistentRead {
		return nil, &tableFieldError{fmt.Sprintf("%d keys, accepted are 1 to %d by a consistent read", n, maxTableBatchKeys)}
	}
	keys := make([]table.Key, len(request.Keys))
	seen := map[table.Key]bool{}
	for i, in := range request.Keys {
		key, err := parseTableKey(in)
		if err != nil {
			return nil, err
		}
		if seen[key] {
			return nil, &tableFieldError{"provided list of item keys contains duplicates"}
		}
		seen[key] = true
		keys[i] = key
	}
	rows, left, err := t.getRows(keys)
	if err != nil {
		return nil, err
	}
	found := []tableItem{}
	for _, row := range rows {
		if row.Version > 0 {
			found = append(found, encodeTableRow(row))
		}
	}
	answer := map[string]any{"Responses": map[string][]tableItem{t.options.name: found}, "UnprocessedKeys": map[string]any{}}
	if len(left) > 0 {
		keys := make([]tableItem, len(left))
		for i, k := range left {
			keys[i] = encodeTableKey(k)
		}
		answer["UnprocessedKeys"] = map[string]tableBatchKeys{t.options.name: {Keys: keys, ConsistentRead: true}}
	}
	return answer, nil
}

func (t *Table) serveQuery(body []byte) (any, error) {
	var in struct {
		TableName                 string
		ConsistentRead            bool
		KeyConditionExpression    string
		ExpressionAttributeValues tableItem
		ExclusiveStartKey         tableItem
		Limit                     int
	}
	if err := decodeTableRequest(body, &in); err != nil {
		return nil, err
	}
	if err := t.checkTable(in.TableName); err != nil {
		return nil, err
	}
	if !in.ConsistentRead || in.Limit < 0 {
		return nil, &tableFieldError{"only consistent reads with a limit above 0 are served"}
	}
	partition := in.ExpressionAttributeValues[":p"].S
	after := in.ExpressionAttributeValues[":s"].S
	switch {
	case partition == nil || *partition == "":
		return nil, &tableFieldError{"no partition key"}
	case in.KeyConditionExpression == "pk = :p" && after == nil:
		after = new(string)
	case in.KeyConditionExpression == "pk = :p AND sk > :s" && after != nil && *after != "":
	default:
		return nil, &tableFieldError{fmt.Sprintf("key condition %q is not served", in.KeyConditionExpression)}
	}
	if in.ExclusiveStartKey != nil {
		start, err := parseTableKey(in.ExclusiveStartKey)
		if err != nil {
			return nil, err
		}
		if start.Partition != *partition || start.Sort < *after {
			return nil, &tableFieldError{"the provided starting key is outside query boundaries"}
		}
		after = &start.Sort
	}
	limit := in.Limit
	if limit == 0 {
		limit = 1 << 30
	}
	rows, more, err := t.queryPage(*partition, *after, limit)
	if err != nil {
		return nil, err
	}
	items := make([]tableItem, len(rows))
	for i, row := range rows {
		items[i] = encodeTableRow(row)
	}
	answer := map[string]any{"Items": items, "Count": len(items), "ScannedCount": len(items)}
	if more {
		answer["LastEvaluatedKey"] = encodeTableKey(rows[len(rows)-1].Key)
	}
	return answer, nil
}

func (t *Table) serveTransaction(body []byte, fault tableFault, latency time.Duration) (any, error) {
	var in struct {
		ClientRequestToken string
		TransactItems      []struct{ Put, Delete, ConditionCheck *tableCondition }
	}
	if err := decodeTableRequest(body, &in); err != nil {
		return nil, err
	}
	if n := len(in.TransactItems); n < 1 || n > table.MaxTransactionRows {
		return nil, &tableFieldError{fmt.Sprintf("%d items, accepted are 1 to %d", n, table.MaxTransactionRows)}
	}
	if n := len(in.ClientRequestToken); n < 1 || n > table.MaxTransactionIDBytes {
		return nil, &tableFieldError{fmt.Sprintf("client request token of %d characters", n)}
	}
	ops := make([]tableOp, len(in.TransactItems))
	seen := map[table.Key]bool{}
	size := 0
	for i, ti := range in.TransactItems {
		op, err := t.parseOp(ti.Put, ti.Delete, ti.ConditionCheck)
		if err != nil {
			return nil, err
		}
		if seen[op.key] {
			return nil, &tableFieldError{"transaction request cannot include multiple operations on one item"}
		}
		seen[op.key] = true
		size += len(op.key.Partition) + len(op.key.Sort) + len(op.row.Value)
		ops[i] = op
	}
	if size > table.MaxTransactionBytes {
		return nil, &tableFieldError{fmt.Sprintf("transaction has %d bytes", size)}
	}
	if err := t.beginTransaction(in.ClientRequestToken); err != nil {
		return nil, err
	}
	defer t.endTransaction(in.ClientRequestToken)
	t.wait(latency)
	switch fault {
	case tableFaultLoseRequest, tableFaultFail:
		return nil, nil
	case tableFaultThrottle:
		return nil, &tableRefusal{kind: "ThrottlingException"}
	case tableFaultConflict:
		return nil, cancelTransaction("TransactionConflict", len(ops))
	}
	if err := t.apply(in.ClientRequestToken, ops); err != nil {
		return nil, err
	}
	return map[string]any{}, nil
}

func (t *Table) parseOp(put, del, check *tableCondition) (tableOp, error) {
	var op tableOp
	var c *tableCondition
	var err error
	switch {
	case put != nil && del == nil && check == nil:
		op.kind, c = 'p', put
		if op.row, err = parseTableRow(put.Item); err == nil {
			op.key = op.row.Key
		}
	case put == nil && del != nil && check == nil:
		op.kind, c = 'd', del
		op.key, err = parseTableKey(del.Key)
	case put == nil && del == nil && check != nil:
		op.kind, c = 'c', check
		op.key, err = parseTableKey(check.Key)
	default:
		return op, &tableFieldError{"an item of a transaction is one of Put, Delete and ConditionCheck"}
	}
	if err != nil {
		return op, err
	}
	if err := t.checkTable(c.TableName); err != nil {
		return op, err
	}
	switch {
	case c.ConditionExpression == "" && op.kind != 'c':
		op.unconditional = true
	case c.ConditionExpression == "attribute_not_exists(pk)" && len(c.ExpressionAttributeValues) == 0:
	case c.ConditionExpression == "ver = :v" && len(c.ExpressionAttributeValues) == 1:
		if op.requiredVersion, err = parseTableVersion(c.ExpressionAttributeValues[":v"]); err != nil {
			return op, err
		}
	default:
		return op, &tableFieldError{fmt.Sprintf("condition %q is not served", c.ConditionExpression)}
	}
	return op, nil
}

func decodeTableRequest(body []byte, in any) error {
	if err := json.Unmarshal(body, in); err != nil {
		return &tableFieldError{err.Error()}
	}
	return nil
}

func parseTableKey(in tableItem) (table.Key, error) {
	pk, sk := in["pk"].S, in["sk"].S
	if len(in) != 2 || pk == nil || sk == nil || *pk == "" || *sk == "" ||
		len(*pk) > table.MaxPartitionBytes || len(*sk) > table.MaxSortBytes {
		return table.Key{}, &tableFieldError{"the provided key element does not match the schema"}
	}
	return table.Key{Partition: *pk, Sort: *sk}, nil
}

func parseTableRow(in tableItem) (table.Row, error) {
	key, err := parseTableKey(tableItem{"pk": in["pk"], "sk": in["sk"]})
	if err != nil {
		return table.Row{}, err
	}
	version, err := parseTableVersion(in["ver"])
	if err != nil {
		return table.Row{}, err
	}
	val := in["val"].B
	if len(in) != 4 || val == nil {
		return table.Row{}, &tableFieldError{"an item has the attributes pk, sk, ver and val"}
	}
	if len(*val)+len(key.Partition)+len(key.Sort) > maxTableItemBytes {
		return table.Row{}, &tableFieldError{"item size has exceeded the maximum allowed size"}
	}
	return table.Row{Key: key, Version: version, Value: *val}, nil
}

func parseTableVersion(a tableAttribute) (uint64, error) {
	if a.N == nil {
		return 0, &tableFieldError{"a version is a number"}
	}
	version, err := strconv.ParseUint(*a.N, 10, 64)
	if err != nil || version == 0 {
		return 0, &tableFieldError{fmt.Sprintf("version %q", *a.N)}
	}
	return version, nil
}

func encodeTableKey(k table.Key) tableItem {
	return tableItem{"pk": {S: &k.Partition}, "sk": {S: &k.Sort}}
}

func encodeTableRow(row table.Row) tableItem {
	out := encodeTableKey(row.Key)
	version := strconv.FormatUint(row.Version, 10)
	value := row.Value
	if value == nil {
		value = []byte{}
	}
	out["ver"] = tableAttribute{N: &version}
	out["val"] = tableAttribute{B: &value}
	return out
}
