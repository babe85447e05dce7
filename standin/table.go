// Package standin contains stand-ins for the systems around the fleet, with
// faults that can be switched at run time from Go and over HTTP.
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
	tableTokenWindow   = 10 * time.Minute // the API's idempotency window
	maxTableTokens     = 1 << 20
	maxTableBytes      = 2 << 30
	maxTablePageBytes  = 1 << 20  // the API's limit of a query page
	maxTableBatchBytes = 16 << 20 // the API's limit of a batch answer
	maxTableBatchKeys  = 100
	maxTableConns      = 4096
	// tableCollisionTries is how often the client sends a transaction that
	// collided with another one.
	tableCollisionTries  = 5
	maxTableItemBytes    = 400 << 10
	maxTableRequestBytes = 8 << 20 // a transaction of 4 MiB in base64 and JSON
)

// TableOutage says how a stand-in is unreachable.
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
	Latency settings.Duration `json:"latency"` // before the effect
	// LoseResponseShare and LoseRequestShare are the shares of calls whose
	// connection is closed without an answer, after and before the effect.
	LoseResponseShare float64 `json:"lose_after"`
	LoseRequestShare  float64 `json:"lose_before"`
	ThrottleShare     float64 `json:"throttle"` // share of calls refused by a rate limit
	ConflictShare     float64 `json:"collide"`  // share of transactions cancelled with TransactionConflict
	FailShare         float64 `json:"fail"`     // share of calls answered with status 500, before the effect
	// MaxFaultyCalls sets all shares to 0 after that many affected calls; 0 means
	// no limit.
	MaxFaultyCalls int  `json:"calls"`
	WritesOnly     bool `json:"writes_only"` // the shares apply to transactions only
}

// Table is a table service in memory that serves the subset of the DynamoDB
// JSON API that package table uses.
type Table struct {
	options tableOptions
	addr    netip.AddrPort
	control *tableListener
	ctlAddr netip.AddrPort
	closing chan struct{}
	tasks   sync.WaitGroup // serving goroutines

	faultMu sync.Mutex // held while an outage begins or ends
	serving *tableListener

	mu         sync.Mutex
	faults     TableFaults
	random     *rand.Rand
	partitions map[string]*tablePartition
	bytes      int
	tokens     map[string]tableToken
	order      []string // tokens, oldest first
	running    map[string]struct{}
	writes     *rate.Limiter
	reads      *rate.Limiter
}

type tablePartition struct {
	sorts []string // ascending
	rows  map[string]table.Row
}

type tableToken struct {
	digest uint64
	at     time.Time
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

// WithTableName sets the name of the only table.
func WithTableName(name string) TableOption { return func(o *tableOptions) { o.name = name } }

// WithTableWriteLimit bounds the rows written per second; the burst is one
// second. 0 means no limit.
func WithTableWriteLimit(perSecond int) TableOption {
	return func(o *tableOptions) { o.writeLimit = perSecond }
}

// WithTableReadLimit bounds the rows got or checked and the query pages per
// second; the burst is one second. 0 means no limit.
func WithTableReadLimit(perSecond int) TableOption {
	return func(o *tableOptions) { o.readLimit = perSecond }
}

// WithTableSeed sets the seed of the choice of affected calls.
func WithTableSeed(seed uint64) TableOption { return func(o *tableOptions) { o.seed = seed } }

// WithTableClock sets the clock of latency, rate limits and the idempotency
// window.
func WithTableClock(c clockwork.Clock) TableOption { return func(o *tableOptions) { o.clock = c } }

// NewTable starts a table service on a loopback address.
func NewTable(opts ...TableOption) (*Table, error) {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	o := tableOptions{listen: loopback, control: loopback, name: "briarreach", seed: 1, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(&o)
	}
	t := &Table{
		options:    o,
		closing:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(o.seed, 0)),
		partitions: map[string]*tablePartition{},
		tokens:     map[string]tableToken{},
		running:    map[string]struct{}{},
		writes:     newTableLimiter(o.writeLimit),
		reads:      newTableLimiter(o.readLimit),
	}
	if err := t.listen(o.listen); err != nil {
		return nil, fmt.Errorf("standin.NewTable: %w", err)
	}
	ln, err := net.Listen("tcp", o.control.String())
	if err != nil {
		t.unlisten()
		return nil, fmt.Errorf("standin.NewTable: %w", err)
	}
	t.ctlAddr = listenerAddr(ln)
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
func (t *Table) ControlAddr() netip.AddrPort { return t.ctlAddr }

// Endpoint returns the base URL for table.WithEndpoint.
func (t *Table) Endpoint() string { return "http://" + t.addr.String() }

// Faults returns the faults in force.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetFaults replaces the faults in force. It fails when the address can't be
// listened on after an outage.
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
	t.control.abort()
	t.tasks.Wait()
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

// serve serves a listener until it is aborted.
func (t *Table) serve(ln net.Listener, handler fasthttp.RequestHandler) *tableListener {
	l := &tableListener{Listener: ln, conns: map[net.Conn]struct{}{}}
	server := newTableServer(handler)
	t.tasks.Go(func() { _ = server.Serve(l) })
	return l
}

func (t *Table) unlisten() {
	if t.serving != nil {
		t.serving.abort()
		t.serving = nil
	}
}

// tableListener closes its connections together with the listener.
type tableListener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

type tableConn struct {
	net.Conn
	listener *tableListener
}

func (l *tableListener) Accept() (net.Conn, error) {
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
	return &tableConn{Conn: conn, listener: l}, nil
}

func (l *tableListener) abort() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (c *tableConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// tableFate is what happens to one call.
type tableFate int

const (
	tableFateServe tableFate = iota
	tableFateLoseBefore
	tableFateLoseAfter
	tableFateThrottle
	tableFateCollide
	tableFateFail
	tableFateSilent
	tableFateRefuse
)

// fate chooses the fate and the latency of a call.
func (t *Table) fate(write bool) (tableFate, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.faults
	switch f.Outage {
	case TableOutageRefuse:
		return tableFateRefuse, 0
	case TableOutageClose:
		return tableFateLoseBefore, 0
	case TableOutageSilent:
		return tableFateSilent, 0
	}
	if f.WritesOnly && !write {
		return tableFateServe, f.Latency.Duration
	}
	shares := []struct {
		share float64
		fate  tableFate
	}{
		{f.LoseResponseShare, tableFateLoseAfter}, {f.LoseRequestShare, tableFateLoseBefore},
		{f.ThrottleShare, tableFateThrottle}, {f.ConflictShare, tableFateCollide}, {f.FailShare, tableFateFail},
	}
	draw := t.random.Float64()
	for _, s := range shares {
		if s.fate == tableFateCollide && !write {
			continue
		}
		if draw -= s.share; draw < 0 {
			if f.MaxFaultyCalls > 0 {
				if f.MaxFaultyCalls--; f.MaxFaultyCalls == 0 {
					f.LoseResponseShare, f.LoseRequestShare, f.ThrottleShare, f.ConflictShare, f.FailShare = 0, 0, 0, 0, 0
				}
			}
			return s.fate, f.Latency.Duration
		}
	}
	return tableFateServe, f.Latency.Duration
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

// allow takes n calls from a rate limit.
func (t *Table) allow(l *rate.Limiter, n int) bool {
	return l.Limit() == rate.Inf || l.AllowN(t.options.clock.Now(), min(n, l.Burst()))
}

// tableOp is one item of a transaction.
type tableOp struct {
	key     table.Key
	kind    byte // 'p'ut, 'd'elete, 'c'heck
	any     bool
	version uint64 // required version, 0 = the row does not exist
	row     table.Row
}

func (op tableOp) holds(version uint64) bool { return op.any || op.version == version }

// tableRefusal is a refusal of the service in the form of the API.
type tableRefusal struct {
	kind    string
	reasons []string // of the items, for TransactionCanceledException
}

func (e *tableRefusal) Error() string {
	if len(e.reasons) > 0 {
		return e.kind + " [" + strings.Join(e.reasons, ", ") + "]"
	}
	return e.kind
}

// begin marks a transaction as in progress.
func (t *Table) begin(id string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.running[id]; ok {
		return &tableRefusal{kind: "TransactionInProgressException"}
	}
	t.running[id] = struct{}{}
	return nil
}

func (t *Table) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
}

// apply applies a transaction once per identifier.
func (t *Table) apply(id string, ops []tableOp) error {
	now := t.options.clock.Now()
	digest := tableDigest(ops)
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.order) > 0 && (len(t.order) >= maxTableTokens || now.Sub(t.tokens[t.order[0]].at) > tableTokenWindow) {
		delete(t.tokens, t.order[0])
		t.order = t.order[1:]
	}
	if known, ok := t.tokens[id]; ok {
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
		return cancelTableItems("ThrottlingError", len(ops))
	}
	reasons := make([]string, len(ops))
	failed := false
	size := t.bytes
	for i, op := range ops {
		reasons[i] = "None"
		old := t.row(op.key)
		if !op.holds(old.Version) {
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
			t.put(op.row)
		case 'd':
			t.delete(op.key)
		}
	}
	t.tokens[id] = tableToken{digest: digest, at: now}
	t.order = append(t.order, id)
	return nil
}

func cancelTableItems(reason string, n int) error {
	return &tableRefusal{kind: "TransactionCanceledException", reasons: slices.Repeat([]string{reason}, n)}
}

func tableDigest(ops []tableOp) uint64 {
	h := xxhash.New()
	text := func(parts ...string) {
		for _, s := range parts {
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
			_, _ = h.WriteString(s)
		}
	}
	for _, op := range ops {
		text(op.key.Partition, op.key.Sort, string(op.row.Value), fmt.Sprint(op.kind, op.any, op.version, op.row.Version))
	}
	return h.Sum64()
}

// row returns a row; its version is 0 if it does not exist.
func (t *Table) row(k table.Key) table.Row {
	if p := t.partitions[k.Partition]; p != nil {
		if row, ok := p.rows[k.Sort]; ok {
			return row
		}
	}
	return table.Row{Key: k}
}

func (t *Table) put(row table.Row) {
	p := t.partitions[row.Partition]
	if p == nil {
		p = &tablePartition{rows: map[string]table.Row{}}
		t.partitions[row.Partition] = p
	}
	if _, ok := p.rows[row.Sort]; !ok {
		i, _ := slices.BinarySearch(p.sorts, row.Sort)
		p.sorts = slices.Insert(p.sorts, i, row.Sort)
	}
	p.rows[row.Sort] = row
}

func (t *Table) delete(k table.Key) {
	p := t.partitions[k.Partition]
	if p == nil {
		return
	}
	if i, ok := slices.BinarySearch(p.sorts, k.Sort); ok {
		p.sorts = slices.Delete(p.sorts, i, i+1)
		delete(p.rows, k.Sort)
	}
}

// read returns the rows of keys. Rows beyond the size limit of an answer are
// returned as unprocessed keys.
func (t *Table) read(keys []table.Key) ([]table.Row, []table.Key, error) {
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

// page returns rows of a partition after a sort key, up to limit rows and the
// size limit of a page. more says that rows may follow.
func (t *Table) page(partition, after string, limit int) (rows []table.Row, more bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.allow(t.reads, 1) {
		return nil, false, &tableRefusal{kind: "ProvisionedThroughputExceededException"}
	}
	p := t.partitions[partition]
	if p == nil {
		return nil, false, nil
	}
	i, found := slices.BinarySearch(p.sorts, after)
	if found {
		i++
	}
	size := 0
	for ; i < len(p.sorts); i++ {
		if len(rows) == limit || size >= maxTablePageBytes {
			return rows, true, nil
		}
		row := p.rows[p.sorts[i]]
		size += len(row.Value) + len(row.Partition) + len(row.Sort)
		rows = append(rows, row)
	}
	return rows, false, nil
}

// Store returns the table as a store in this process, with the same faults and
// limits. A call that ends while its latency lasts takes effect later.
func (t *Table) Store() table.Store { return &tableStore{table: t} }

type tableStore struct{ table *Table }

// TableNoResponseError reports that the stand-in gave no answer.
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
			part, left, err := s.table.read(pending[:n])
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
			part, more, err := s.table.page(partition, after, limit-len(rows))
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
		op.expect(w.Expect)
		if w.Value != nil {
			op.kind = 'p'
			op.row = table.Row{Key: w.Key, Version: op.version + 1, Value: bytes.Clone(w.Value)}
		}
		ops = append(ops, op)
	}
	for _, c := range tx.Checks {
		if c.Expect == (table.Any{}) {
			continue
		}
		op := tableOp{key: c.Key, kind: 'c'}
		op.expect(c.Expect)
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

func (op *tableOp) expect(e table.Precondition) {
	switch e := e.(type) {
	case table.Any:
		op.any = true
	case table.Exactly:
		op.version = e.Version
	}
}

// call runs an effect under the faults in force and maps their errors as the
// client over HTTP does. id is the identifier of a transaction, empty for
// reads.
func (s *tableStore) call(ctx context.Context, id string, effect func() error) error {
	write := id != ""
	if err := ctx.Err(); err != nil {
		return &table.UnavailableError{Err: err}
	}
	lost := func(err error) error {
		if write {
			return &table.AmbiguousError{Err: err}
		}
		return &table.UnavailableError{Err: err}
	}
	fate, latency := s.table.fate(write)
	// The client over HTTP sends a transaction that collided again.
	for tries := 1; fate == tableFateCollide && tries < tableCollisionTries; tries++ {
		fate, latency = s.table.fate(write)
	}
	switch fate {
	case tableFateRefuse:
		return &table.UnavailableError{Err: &TableNoResponseError{}}
	case tableFateSilent:
		select {
		case <-ctx.Done():
			return lost(ctx.Err())
		case <-s.table.closing:
			return lost(&TableNoResponseError{})
		}
	}
	if write {
		if err := s.table.begin(id); err != nil {
			return mapTableRefusal(err)
		}
	}
	outcome := func() error {
		switch fate {
		case tableFateLoseBefore, tableFateFail:
			return lost(&TableNoResponseError{})
		case tableFateThrottle, tableFateCollide:
			return &table.ThrottledError{Err: &tableRefusal{kind: "ThrottlingException"}}
		case tableFateLoseAfter:
			_ = effect()
			return lost(&TableNoResponseError{})
		default:
			return mapTableRefusal(effect())
		}
	}
	done := make(chan error, 1)
	run := func() {
		s.table.wait(latency)
		err := outcome()
		if write {
			s.table.end(id)
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
		return lost(ctx.Err())
	}
}

// mapRefusal maps a refusal by its kind. A cancellation because of a condition
// stays as it is.
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
