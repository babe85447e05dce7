// Package configsync keeps a process at the newest configuration document: it
// reads the head row of the table service and, while the table is out, asks
// the process's peers.
package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"briarreach/config"
	"briarreach/peer"
	"briarreach/shardlog"
	"briarreach/table"
)

// HeadKey addresses the row with the current number.
var HeadKey = table.Key{Partition: config.ConfigPartition, Sort: config.HeadSort}

// DocumentKey addresses the document with the given number.
func DocumentKey(number uint64) table.Key {
	return table.Key{Partition: config.ConfigPartition, Sort: config.DocumentSort(number)}
}

// NoDocumentError reports that neither the table nor a peer has a document.
type NoDocumentError struct{ Err error }

func (e *NoDocumentError) Error() string {
	if e.Err == nil {
		return "no configuration document yet"
	}
	return fmt.Sprintf("no configuration document: %v", e.Err)
}
func (e *NoDocumentError) Unwrap() error { return e.Err }

// PeerClient sends one message to a peer and waits for the answer.
type PeerClient interface {
	Call(ctx context.Context, addr netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Follower holds the newest document that the process has seen. The number
// never goes back.
type Follower struct {
	store    table.Store
	peers    PeerClient
	clock    clockwork.Clock
	log      log.Interface
	interval time.Duration
	timeout  time.Duration
	seeds    func() []netip.AddrPort
	onChange func(*config.Document)

	current atomic.Pointer[config.Document]
	fenced  atomic.Pointer[map[string]struct{}]

	mu     sync.Mutex // guards publication and source
	source netip.AddrPort

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
}

// Option changes a default of New.
type Option func(*Follower)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(f *Follower) { f.log = l } }

// WithInterval sets the mean time between reads of the head row.
func WithInterval(d time.Duration) Option { return func(f *Follower) { f.interval = d } }

// WithPeers sets where documents are fetched while the table is out.
func WithPeers(c PeerClient, seeds func() []netip.AddrPort) Option {
	return func(f *Follower) { f.peers, f.seeds = c, seeds }
}

// WithOnChange sets a function that is called with each new document, in order.
func WithOnChange(fn func(*config.Document)) Option { return func(f *Follower) { f.onChange = fn } }

// New starts a follower.
func New(store table.Store, opts ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		store:    store,
		clock:    clockwork.NewRealClock(),
		log:      log.Log,
		interval: 2 * time.Second,
		timeout:  time.Second,
		seeds:    func() []netip.AddrPort { return nil },
		onChange: func(*config.Document) {},
		wake:     make(chan struct{}, 1),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	go func() {
		defer close(f.done)
		for ctx.Err() == nil {
			f.refresh(ctx)
			// The jitter keeps the reads of many daemons apart.
			wait := f.interval/2 + rand.N(f.interval)
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-f.clock.After(wait):
			}
		}
	}()
	return f
}

// Current returns the newest document, or nil if there is none yet.
func (f *Follower) Current() *config.Document { return f.current.Load() }

// Number returns the number of the newest document, 0 if there is none.
func (f *Follower) Number() uint64 {
	if d := f.current.Load(); d != nil {
		return d.Number
	}
	return 0
}

// IsFenced reports whether the holder is fenced. It is false for a holder that
// was fenced after the last read; agents learn of those directly.
func (f *Follower) IsFenced(holder string) bool {
	set := f.fenced.Load()
	if set == nil {
		return false
	}
	_, ok := (*set)[holder]
	return ok
}

// FencedHoldersLoaded reports whether the list of fenced holders has been read since
// the start.
func (f *Follower) FencedHoldersLoaded() bool { return f.fenced.Load() != nil }

// AddFencedHolders adds a holder to the fenced ones.
func (f *Follower) AddFencedHolders(holders ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]struct{}{}
	if set := f.fenced.Load(); set != nil {
		for h := range *set {
			next[h] = struct{}{}
		}
	}
	for _, h := range holders {
		next[h] = struct{}{}
	}
	f.fenced.Store(&next)
}

// FencedHolders returns the known fenced holders.
func (f *Follower) FencedHolders() []string {
	set := f.fenced.Load()
	if set == nil {
		return nil
	}
	out := make([]string, 0, len(*set))
	for h := range *set {
		out = append(out, h)
	}
	return out
}

// Hint tells the follower that a peer has a document with the given number.
func (f *Follower) Hint(number uint64, from netip.AddrPort) {
	if number <= f.Number() {
		return
	}
	f.mu.Lock()
	f.source = from
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Publish makes a document current if its number is higher.
func (f *Follower) Publish(d *config.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Number <= f.Number() {
		return
	}
	f.current.Store(d)
	f.onChange(d)
}

// Close stops the follower.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

func (f *Follower) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	err := f.readTable(ctx)
	if err == nil {
		return
	}
	if ctx.Err() == nil || f.Current() == nil {
		f.log.WithError(err).Debug("configuration not read from the table")
	}
	f.askPeers(context.WithoutCancel(ctx))
}

func (f *Follower) readTable(ctx context.Context) error {
	if !f.FencedHoldersLoaded() {
		if err := f.readFences(ctx); err != nil {
			return err
		}
	}
	rows, err := f.store.Get(ctx, HeadKey)
	if err != nil {
		return fmt.Errorf("configsync.readTable: %w", err)
	}
	if rows[0].Version == 0 {
		return &NoDocumentError{}
	}
	head, err := config.DecodeRow[config.HeadRow](rows[0].Value)
	if err != nil {
		return fmt.Errorf("configsync.readTable: %w", err)
	}
	if head.Number <= f.Number() {
		return nil
	}
	document, err := ReadDocument(ctx, f.store, head.Number)
	if err != nil {
		return err
	}
	f.Publish(document)
	return nil
}

func (f *Follower) readFences(ctx context.Context) error {
	var holders []string
	for after := ""; ; {
		rows, err := f.store.Query(ctx, shardlog.FencePartition, after, table.MaxItems)
		if err != nil {
			return fmt.Errorf("configsync.readFences: %w", err)
		}
		for _, row := range rows {
			holders = append(holders, row.Sort)
			after = row.Sort
		}
		if len(rows) < table.MaxItems {
			break
		}
	}
	f.AddFencedHolders(holders...)
	return nil
}

// ReadDocumentRow reads the row of a number.
func ReadDocumentRow(ctx context.Context, store table.Store, number uint64) (config.DocumentRow, error) {
	rows, err := store.Get(ctx, DocumentKey(number))
	if err != nil {
		return config.DocumentRow{}, fmt.Errorf("configsync.ReadVersion: %w", err)
	}
	if rows[0].Version == 0 {
		return config.DocumentRow{}, fmt.Errorf("configsync.ReadVersion: number %d: %w", number, &NoDocumentError{})
	}
	version, err := config.DecodeDocumentRow(rows[0].Value)
	if err != nil {
		return config.DocumentRow{}, fmt.Errorf("configsync.ReadVersion: number %d: %w", number, err)
	}
	return version, nil
}

// ReadDocument reads the document with the given number.
func ReadDocument(ctx context.Context, store table.Store, number uint64) (*config.Document, error) {
	version, err := ReadDocumentRow(ctx, store, number)
	if err != nil {
		return nil, err
	}
	document, err := config.Decode(version.EncodedDocument)
	if err != nil {
		return nil, fmt.Errorf("configsync.ReadDocument: number %d: %w", number, err)
	}
	return document, nil
}

// askPeers takes the newest document of the peer that gave a hint, and of all
// peers when the process has no document.
func (f *Follower) askPeers(ctx context.Context) {
	if f.peers == nil {
		return
	}
	f.mu.Lock()
	source := f.source
	f.source = netip.AddrPort{}
	f.mu.Unlock()
	var addrs []netip.AddrPort
	if source.IsValid() {
		addrs = append(addrs, source)
	}
	addrs = append(addrs, f.seeds()...)
	for _, addr := range addrs {
		if err := f.fetch(ctx, addr); err != nil {
			f.log.WithError(err).WithField("peer", addr.String()).Debug("configuration not fetched from peer")
		}
	}
}

func (f *Follower) fetch(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := f.peers.Call(ctx, addr, peer.FetchConfig{})
	if err != nil {
		return fmt.Errorf("configsync.fetch: %w", err)
	}
	m, ok := answer.(peer.ConfigDocument)
	if !ok || m.Number == 0 {
		return &NoDocumentError{}
	}
	if !f.FencedHoldersLoaded() || len(m.Fenced) > 0 {
		f.AddFencedHolders(m.Fenced...)
	}
	if m.Number <= f.Number() {
		return nil
	}
	document, err := config.Decode(m.Document)
	if err != nil {
		return fmt.Errorf("configsync.fetch: %w", err)
	}
	f.Publish(document)
	return nil
}

// FetchConfigReply answers a peer's FetchConfig.
func (f *Follower) FetchConfigReply() peer.ConfigDocument {
	document := f.Current()
	if document == nil {
		return peer.ConfigDocument{}
	}
	encoded, err := config.Encode(document)
	if err != nil {
		f.log.WithError(err).Error("configuration document not encoded")
		return peer.ConfigDocument{}
	}
	return peer.ConfigDocument{Number: document.Number, Document: encoded, Fenced: f.FencedHolders()}
}
