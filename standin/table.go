// Package standin contains stand-ins for the systems that the fleet's processes
// talk to, for tests and demonstrations. Their faults can be switched at run
// time, from Go and, for all but Link, over HTTP.
package standin

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"briarreach/settings"
	"briarreach/table"
)

const (
	tableIdempotencyWindow = 10 * time.Minute // the API's idempotency window
	maxAppliedTransactions = 1 << 20
	maxTableBytes          = 2 << 30
	maxTablePageBytes      = 1 << 20  // the API's limit of a query page
	maxTableBatchBytes     = 16 << 20 // the API's limit of a batch answer
	maxTableBatchKeys      = 100
	maxTableConns          = 4096
	// maxTableConflictAttempts is how often the client sends a transaction that
	// is cancelled because of a concurrent one.
	maxTableConflictAttempts = 5
	maxTableItemBytes        = 400 << 10
	maxTableRequestBytes     = 8 << 20 // a transaction of 4 MiB in base64 and JSON
)

// TableOutage is the way in which a table service is unreachable.
type TableOutage string

// Kinds of outages.
const (
	TableOutageNone   TableOutage = ""
	TableOutageRefuse TableOutage = "refuse" // connections are refused
	TableOutageClose  TableOutage = "close"  // connections are closed when a request arrives
	TableOutageSilent TableOutage = "silent" // requests are read and never answered
)

// TableFaults are the faults in force. The shares are between 0 and 1.
type TableFaults struct {
	Outage  TableOutage       `json:"outage"`
	Latency settings.Duration `json:"latency"` // delay before the effect
	// LoseResponseShare and LoseRequestShare are the shares of calls whose
	// connection is closed without an answer, after and before the effect.
	LoseResponseShare float64 `json:"lose_after"`
	LoseRequestShare  float64 `json:"lose_before"`
	ThrottleShare     float64 `json:"throttle"` // share of calls refused by a rate limit
	ConflictShare     float64 `json:"collide"`  // share of transactions cancelled with TransactionConflict
	FailShare         float64 `json:"fail"`     // share of calls answered with status 500, before the effect
	// RemainingFaultyCalls is reduced by each affected call. When it reaches 0, all
	// shares are set to 0. If it is 0 from the start, there is no limit.
	RemainingFaultyCalls int  `json:"calls"`
	WritesOnly           bool `json:"writes_only"` // the shares apply to transactions only
}

// Table is a table service in memory that serves the subset of the DynamoDB
// JSON API that package table uses.
type Table struct {
	options     tableOptions
	addr        netip.AddrPort
	control     *trackingListener
	controlAddr netip.AddrPort
	closing     chan struct{}
	servers     sync.WaitGroup // serving goroutines

	faultMu sync.Mutex // held while an outage begins or ends
	serving *trackingListener

	mu                  sync.Mutex
	faults              TableFaults
	random              *rand.Rand
	partitions          map[string]*tablePartition
	bytes               int
	appliedTransactions map[string]appliedTransaction // by identifier
	appliedByAge        []string                      // identifiers, oldest first
	inProgress          map[string]struct{}
	writes              *rate.Limiter
	reads               *rate.Limiter
}

type tablePartition struct {
	sortKeys []string // ascending
	rows     map[string]table.Row
}

// appliedTransaction is a transaction within the idempotency window.
type appliedTransaction struct {
	digest    uint64
	appliedAt time.Time
}

type tableOptions struct {
	listen     netip.AddrPort
	control    netip.AddrPort
	name       string
	writeLimit int
	readLimit  int
	seed       uint64
	clock      clockwork.Clock
}

// TableOption configures a Table.
type TableOption func(*tableOptions)

// WithTableListen sets the address of the API. Port 0 picks a free port.
func WithTableListen(a netip.AddrPort) TableOption { return func(o *tableOptions) { o.listen = a } }

// WithTableControlListen sets the address that accepts faults, also during an
// outage. Port 0 picks a free port.
func WithTableControlListen(a netip.AddrPort) TableOption {
	return func(o *tableOptions) { o.control = a }
}

// WithTableName sets the name of the table. There is only one.
func WithTableName(name string) TableOption { return func(o *tableOptions) { o.name = name } }

// WithTableWriteLimit limits the rows written per second, with a burst of one
// second's rows. 0 means no limit.
func WithTableWriteLimit(perSecond int) TableOption {
	return func(o *tableOptions) { o.writeLimit = perSecond }
}

// WithTableReadLimit limits the rows read or checked, plus query pages, per
// second, with a burst of one second's. 0 means no limit.
func WithTableReadLimit(perSecond int) TableOption {
	return func(o *tableOptions) { o.readLimit = perSecond }
}

// WithTableSeed sets the seed of the choice of the calls that faults affect.
func WithTableSeed(seed uint64) TableOption { return func(o *tableOptions) { o.seed = seed } }

// WithTableClock sets the clock used for latency, rate limits and the
// idempotency window.
func WithTableClock(c clockwork.Clock) TableOption { return func(o *tableOptions) { o.clock = c } }

// NewTable starts a table service, by default on free ports of 127.0.0.1.
func NewTable(opts ...TableOption) (*Table, error) {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	o := tableOptions{listen: loopback, control: loopback, name: "briarreach", seed: 1, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(&o)
	}
	t := &Table{
		options:             o,
		closing:             make(chan struct{}),
		random:              rand.New(rand.NewPCG(o.seed, 0)),
		partitions:          map[string]*tablePartition{},
		appliedTransactions: map[string]appliedTransaction{},
		inProgress:          map[string]struct{}{},
		writes:              newTableLimiter(o.writeLimit),
		reads:               newTableLimiter(o.readLimit),
	}
	if err := t.listen(o.listen); err != nil {
		return nil, fmt.Errorf("standin.NewTable: %w", err)
	}
	ln, err := net.Listen("tcp", o.control.String())
	if err != nil {
		t.unlisten()
		return nil, fmt.Errorf("standin.NewTable: %w", err)
	}
	t.controlAddr = listenerAddr(ln)
	t.control = t.serve(ln, t.serveControl)
	return t, nil
}

func newTableLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func listenerAddr(ln net.Listener) netip.AddrPort {
	if a, ok := ln.Addr().(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}

// Addr returns the address of the API.
func (t *Table) Addr() netip.AddrPort { return t.addr }

// ControlAddr returns the address that accepts POST /faults.
func (t *Table) ControlAddr() netip.AddrPort { return t.controlAddr }

// Endpoint returns the base URL for table.WithEndpoint.
func (t *Table) Endpoint() string { return "http://" + t.addr.String() }

// Faults returns the faults in force.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetFaults replaces the faults in force. It fails if, at the end of an outage,
// the address can no longer be listened on.
func (t *Table) SetFaults(f TableFaults) error {
	if !f.Latency.Valid() {
		return fmt.Errorf("standin.Table.SetFaults: %w", &table.InvalidError{Reason: "latency is not a duration"})
	}
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	t.mu.Lock()
	t.faults = f
	t.mu.Unlock()
	if f.Outage == TableOutageRefuse {
		t.unlisten()
		return nil
	}
	if t.serving == nil {
		if err := t.listen(t.addr); err != nil {
			return fmt.Errorf("standin.Table.SetFaults: %w", err)
		}
	}
	return nil
}

// Close stops the service.
func (t *Table) Close() error {
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	select {
	case <-t.closing:
		return nil
	default:
	}
	close(t.closing)
	t.unlisten()
	t.control.closeWithConns()
	t.servers.Wait()
	return nil
}

func (t *Table) listen(addr netip.AddrPort) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	t.addr = listenerAddr(ln)
	t.serving = t.serve(ln, t.serveAPI)
	return nil
}

// serve accepts connections on a listener until it is closed.
func (t *Table) serve(ln net.Listener, handler fasthttp.RequestHandler) *trackingListener {
	l := &trackingListener{Listener: ln, conns: map[net.Conn]struct{}{}}
	server := newStandinServer(handler)
	t.servers.Go(func() { _ = server.Serve(l) })
	return l
}

func (t *Table) unlisten() {
	if t.serving != nil {
		t.serving.closeWithConns()
		t.serving = nil
	}
}

// trackingListener is a listener that can also close the connections it has
// accepted.
type trackingListener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

type trackedConn struct {
	net.Conn
	listener *trackingListener
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, listener: l}, nil
}

func (l *trackingListener) closeWithConns() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// tableFault is the fault that affects one call.
type tableFault int

const (
	tableFaultNone tableFault = iota
	tableFaultLoseRequest
	tableFaultLoseResponse
	tableFaultThrottle
	tableFaultConflict
	tableFaultFail
	tableFaultNoAnswer
	tableFaultRefuse
)

// chooseFault chooses, at random, the fault that affects a call, and returns it
// with the latency.
func (t *Table) chooseFault(write bool) (tableFault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.faults
	switch f.Outage {
	case TableOutageRefuse:
		return tableFaultRefuse, 0
	case TableOutageClose:
		return tableFaultLoseRequest, 0
	case TableOutageSilent:
		return tableFaultNoAnswer, 0
	}
	if f.WritesOnly && !write {
		return tableFaultNone, f.Latency.Duration
	}
	shares := []struct {
		share float64
		fault tableFault
	}{
		{f.LoseResponseShare, tableFaultLoseResponse}, {f.LoseRequestShare, tableFaultLoseRequest},
		{f.ThrottleShare, tableFaultThrottle}, {f.ConflictShare, tableFaultConflict}, {f.FailShare, tableFaultFail},
	}
	remaining := t.random.Float64()
	for _, s := range shares {
		if s.fault == tableFaultConflict && !write {
			continue
		}
		if remaining -= s.share; remaining < 0 {
			if f.RemainingFaultyCalls > 0 {
				if f.RemainingFaultyCalls--; f.RemainingFaultyCalls == 0 {
					f.LoseResponseShare, f.LoseRequestShare, f.ThrottleShare, f.ConflictShare, f.FailShare = 0, 0, 0, 0, 0
				}
			}
			return s.fault, f.Latency.Duration
		}
	}
	return tableFaultNone, f.Latency.Duration
}

// wait waits for d or until the stand-in closes.
func (t *Table) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := t.options.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-t.closing:
	}
}

// allow takes n operations from a rate limit, and reports whether the limit
// allows them.
func (t *Table) allow(l *rate.Limiter, n int) bool {
	return l.Limit() == rate.Inf || l.AllowN(t.options.clock.Now(), min(n, l.Burst()))
}

// tableOp is one item of a transaction.
type tableOp struct {
	key             table.Key
	kind            byte // 'p' puts row, 'd' deletes the row, 'c' only checks the condition
	unconditional   bool
	requiredVersion uint64 // 0 means that the row must not exist
	row             table.Row
}

func (op tableOp) conditionHolds(version uint64) bool {
	return op.unconditional || op.requiredVersion == version
}

// tableRefusal is an error that the service returns as an API exception.
type tableRefusal struct {
	kind    string   // name of the exception
	reasons []string // one for each item, for TransactionCanceledException
}

func (e *tableRefusal) Error() string {
	if len(e.reasons) > 0 {
		return e.kind + " [" + strings.Join(e.reasons, ", ") + "]"
	}
	return e.kind
}

// beginTransaction marks a transaction as in progress.
func (t *Table) beginTransaction(id string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.inProgress[id]; ok {
		return &tableRefusal{kind: "TransactionInProgressException"}
	}
	t.inProgress[id] = struct{}{}
	return nil
}

func (t *Table) endTransaction(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inProgress, id)
}

// apply applies a transaction. A repeated identifier has no effect, and is an
// error if the transaction differs.
func (t *Table) apply(id string, ops []tableOp) error {
	now := t.options.clock.Now()
	digest := digestTableOps(ops)
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.appliedByAge) > 0 && (len(t.appliedByAge) >= maxAppliedTransactions || now.Sub(t.appliedTransactions[t.appliedByAge[0]].appliedAt) > tableIdempotencyWindow) {
		delete(t.appliedTransactions, t.appliedByAge[0])
		t.appliedByAge = t.appliedByAge[1:]
	}
	if known, ok := t.appliedTransactions[id]; ok {
		if known.digest != digest {
			return &tableRefusal{kind: "IdempotentParameterMismatchException"}
		}
		return nil
	}
	var writes, checks int
	for _, op := range ops {
		if op.kind == 'c' {
			checks++
		} else {
			writes++
		}
	}
	if !t.allow(t.writes, writes) || !t.allow(t.reads, checks) {
		return cancelTransaction("ThrottlingError", len(ops))
	}
	reasons := make([]string, len(ops))
	failed := false
	size := t.bytes
	for i, op := range ops {
		reasons[i] = "None"
		old := t.row(op.key)
		if !op.conditionHolds(old.Version) {
			reasons[i] = "ConditionalCheckFailed"
			failed = true
		}
		if op.kind != 'c' {
			size += len(op.row.Value) - len(old.Value)
		}
	}
	if failed {
		return &tableRefusal{kind: "TransactionCanceledException", reasons: reasons}
	}
	if size > maxTableBytes {
		return &tableRefusal{kind: "RequestLimitExceeded"}
	}
	t.bytes = size
	for _, op := range ops {
		switch op.kind {
		case 'p':
			t.putRow(op.row)
		case 'd':
			t.deleteRow(op.key)
		}
	}
	t.appliedTransactions[id] = appliedTransaction{digest: digest, appliedAt: now}
	t.appliedByAge = append(t.appliedByAge, id)
	return nil
}

func cancelTransaction(reason string, n int) error {
	return &tableRefusal{kind: "TransactionCanceledException", reasons: slices.Repeat([]string{reason}, n)}
}

func digestTableOps(ops []tableOp) uint64 {
	h := xxhash.New()
	writeStrings := func(parts ...string) {
		for _, s := range parts {
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
			_, _ = h.WriteString(s)
		}
	}
	for _, op := range ops {
		writeStrings(op.key.Partition, op.key.Sort, string(op.row.Value), fmt.Sprint(op.kind, op.unconditional, op.requiredVersion, op.row.Version))
	}
	return h.Sum64()
}

// row returns a row, with version 0 if it does not exist.
func (t *Table) row(k table.Key) table.Row {
	if p := t.partitions[k.Partition]; p != nil {
		if row, ok := p.rows[k.Sort]; ok {
			return row
		}
	}
	return table.Row{Key: k}
}

func (t *Table) putRow(row table.Row) {
	p := t.partitions[row.Partition]
	if p == nil {
		p = &tablePartition{rows: map[string]table.Row{}}
		t.partitions[row.Partition] = p
	}
	if _, ok := p.rows[row.Sort]; !ok {
		i, _ := slices.BinarySearch(p.sortKeys, row.Sort)
		p.sortKeys = slices.Insert(p.sortKeys, i, row.Sort)
	}
	p.rows[row.Sort] = row
}

func (t *Table) deleteRow(k table.Key) {
	p := t.partitions[k.Partition]
	if p == nil {
		return
	}
	if i, ok := slices.BinarySearch(p.sortKeys, k.Sort); ok {
		p.sortKeys = slices.Delete(p.sortKeys, i, i+1)
		delete(p.rows, k.Sort)
	}
}

// getRows returns the rows of keys. The keys of rows beyond the size limit of an
// answer are returned as unprocessed.
func (t *Table) getRows(keys []table.Key) ([]table.Row, []table.Key, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.allow(t.reads, len(keys)) {
		return nil, nil, &tableRefusal{kind: "ProvisionedThroughputExceededException"}
	}
	rows := make([]table.Row, 0, len(keys))
	size := 0
	for i, k := range keys {
		row := t.row(k)
		size += len(row.Value)
		if size > maxTableBatchBytes {
			return rows, keys[i:], nil
		}
		rows = append(rows, row)
	}
	return rows, nil, nil
}

// queryPage returns the rows of a partition after a sort key, up to limit rows
// and the size limit of a page. more says that further rows may follow.
func (t *Table) queryPage(partition, after string, limit int) (rows []table.Row, more bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.allow(t.reads, 1) {
		return nil, false, &tableRefusal{kind: "ProvisionedThroughputExceededException"}
	}
	p := t.partitions[partition]
	if p == nil {
		return nil, false, nil
	}
	i, found := slices.BinarySearch(p.sortKeys, after)
	if found {
		i++
	}
	size := 0
	for ; i < len(p.sortKeys); i++ {
		if len(rows) == limit || size >= maxTablePageBytes {
			return rows, true, nil
		}
		row := p.rows[p.sortKeys[i]]
		size += len(row.Value) + len(row.Partition) + len(row.Sort)
		rows = append(rows, row)
	}
	return rows, false, nil
}

// Store returns a store that calls the table directly, without HTTP, under the
// same faults and limits. A call whose context ends during its latency still
// takes effect afterwards.
func (t *Table) Store() table.Store { return &tableStore{table: t} }

type tableStore struct{ table *Table }

// TableNoResponseError reports that a call got no answer because of a fault.
type TableNoResponseError struct{}

func (*TableNoResponseError) Error() string {
	return "stand-in closed the connection without an answer"
}

func (s *tableStore) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	for _, k := range keys {
		if k.Partition == "" || k.Sort == "" {
			return nil, fmt.Errorf("standin.Get: %w", &table.InvalidError{Reason: "empty key"})
		}
	}
	var rows []table.Row
	err := s.call(ctx, "", func() error {
		got := make(map[table.Key]table.Row, len(keys))
		for pending := keys; len(pending) > 0; {
			n := min(len(pending), maxTableBatchKeys)
			part, left, err := s.table.getRows(pending[:n])
			if err != nil {
				return err
			}
			for _, row := range part {
				row.Value = bytes.Clone(row.Value)
				got[row.Key] = row
			}
			pending = pending[n-len(left):]
		}
		rows = make([]table.Row, len(keys))
		for i, k := range keys {
			rows[i] = got[k]
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("standin.Get: %w", err)
	}
	return rows, nil
}

func (s *tableStore) Query(ctx context.Context, partition, after string, limit int) ([]table.Row, error) {
	if partition == "" || limit < 1 {
		return nil, fmt.Errorf("standin.Query: %w", &table.InvalidError{Reason: "empty partition or limit below 1"})
	}
	var rows []table.Row
	err := s.call(ctx, "", func() error {
		rows = nil
		for {
			part, more, err := s.table.queryPage(partition, after, limit-len(rows))
			if err != nil {
				return err
			}
			for _, row := range part {
				row.Value = bytes.Clone(row.Value)
				rows = append(rows, row)
			}
			if !more || len(rows) >= limit {
				return nil
			}
			after = rows[len(rows)-1].Sort
		}
	})
	if err != nil {
		return nil, fmt.Errorf("standin.Query: %w", err)
	}
	return rows, nil
}

func (s *tableStore) Commit(ctx context.Context, tx table.Transaction) error {
	if err := tx.Validate(); err != nil {
		return fmt.Errorf("standin.Commit: %w", err)
	}
	ops := make([]tableOp, 0, len(tx.Writes)+len(tx.Checks))
	for _, w := range tx.Writes {
		op := tableOp{key: w.Key, kind: 'd'}
		op.setCondition(w.Expect)
		if w.Value != nil {
			op.kind = 'p'
			op.row = table.Row{Key: w.Key, Version: op.requiredVersion + 1, Value: bytes.Clone(w.Value)}
		}
		ops = append(ops, op)
	}
	for _, c := range tx.Checks {
		if c.Expect == (table.Any{}) {
			continue
		}
		op := tableOp{key: c.Key, kind: 'c'}
		op.setCondition(c.Expect)
		ops = append(ops, op)
	}
	if len(ops) == 0 {
		return nil
	}
	err := s.call(ctx, tx.ID, func() error { return s.table.apply(tx.ID, ops) })
	if err == nil {
		return nil
	}
	var refused *tableRefusal
	if errors.As(err, &refused) && refused.kind == "TransactionCanceledException" {
		var keys []table.Key
		for i, reason := range refused.reasons {
			if reason == "ConditionalCheckFailed" {
				keys = append(keys, ops[i].key)
			}
		}
		if len(keys) > 0 {
			err = &table.ConflictError{Keys: keys}
		}
	}
	return fmt.Errorf("standin.Commit: %w", err)
}

func (op *tableOp) setCondition(p table.Precondition) {
	switch p := p.(type) {
	case table.Any:
		op.unconditional = true
	case table.Exactly:
		op.requiredVersion = p.Version
	}
}

// call runs an effect under the faults in force, with the errors that the HTTP
// client returns for them. id is the identifier of a transaction, and is empty
// for reads.
func (s *tableStore) call(ctx context.Context, id string, effect func() error) error {
	write := id != ""
	if err := ctx.Err(); err != nil {
		return &table.UnavailableError{Err: err}
	}
	noResponse := func(err error) error {
		if write {
			return &table.AmbiguousError{Err: err}
		}
		return &table.UnavailableError{Err: err}
	}
	fault, latency := s.table.chooseFault(write)
	// Retries a cancelled transaction as the HTTP client does.
	for attempts := 1; fault == tableFaultConflict && attempts < maxTableConflictAttempts; attempts++ {
		fault, latency = s.table.chooseFault(write)
	}
	switch fault {
	case tableFaultRefuse:
		return &table.UnavailableError{Err: &TableNoResponseError{}}
	case tableFaultNoAnswer:
		select {
		case <-ctx.Done():
			return noResponse(ctx.Err())
		case <-s.table.closing:
			return noResponse(&TableNoResponseError{})
		}
	}
	if write {
		if err := s.table.beginTransaction(id); err != nil {
			return mapTableRefusal(err)
		}
	}
	outcome := func() error {
		switch fault {
		case tableFaultLoseRequest, tableFaultFail:
			return noResponse(&TableNoResponseError{})
		case tableFaultThrottle, tableFaultConflict:
			return &table.ThrottledError{Err: &tableRefusal{kind: "ThrottlingException"}}
		case tableFaultLoseResponse:
			_ = effect()
			return noResponse(&TableNoResponseError{})
		default:
			return mapTableRefusal(effect())
		}
	}
	done := make(chan error, 1)
	run := func() {
		s.table.wait(latency)
		err := outcome()
		if write {
			s.table.endTransaction(id)
		}
		done <- err
	}
	if latency <= 0 {
		run()
		return <-done
	}
	go run()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return noResponse(ctx.Err())
	}
}

// mapTableRefusal returns the error of package table for an API exception. A
// transaction cancelled by a failed condition is returned unchanged: Commit
// maps it.
func mapTableRefusal(err error) error {
	var refused *tableRefusal
	if !errors.As(err, &refused) {
		return err
	}
	switch refused.kind {
	case "TransactionCanceledException":
		if slices.Contains(refused.reasons, "ConditionalCheckFailed") {
			return err
		}
		return &table.ThrottledError{Err: err}
	case "TransactionInProgressException":
		return &table.AmbiguousError{Err: err}
	case "IdempotentParameterMismatchException":
		return &table.InvalidError{Reason: err.Error()}
	default:
		return &table.ThrottledError{Err: err}
	}
}
