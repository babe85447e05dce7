// Package configsync keeps the configuration document of a process up to date:
// it polls the head row of the table service and asks peers while the table is
// unavailable. It also keeps the list of fenced holders, whose dispatches agents
// refuse. A holder is one start of an entry's process.
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

// HeadKey is the key of the head row, which holds the current number.
var HeadKey = table.Key{Partition: config.ConfigPartition, Sort: config.HeadSortKey}

// DocumentKey returns the key of the row of the document with the given number.
func DocumentKey(number uint64) table.Key {
	return table.Key{Partition: config.ConfigPartition, Sort: config.DocumentSortKey(number)}
}

// NoDocumentError reports that no configuration document is available.
type NoDocumentError struct{ Err error }

func (e *NoDocumentError) Error() string {
	if e.Err == nil {
		return "no configuration document yet"
	}
	return fmt.Sprintf("no configuration document: %v", e.Err)
}
func (e *NoDocumentError) Unwrap() error { return e.Err }

// PeerClient sends a message to a peer and waits for the answer.
type PeerClient interface {
	Call(ctx context.Context, addr netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Follower holds the newest known document of a process, whose number never
// decreases, and the known fenced holders.
type Follower struct {
	store        table.Store
	peerClient   PeerClient
	clock        clockwork.Clock
	log          log.Interface
	pollInterval time.Duration
	timeout      time.Duration // of one call to the table or a peer
	peerAddrs    func() []netip.AddrPort
	onChange     func(*config.Document)

	current       atomic.Pointer[config.Document]
	fencedHolders atomic.Pointer[map[string]struct{}]

	mu         sync.Mutex     // guards hintedPeer; held while current or fencedHolders is replaced
	hintedPeer netip.AddrPort // has a newer document; invalid if none

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
}

// Option configures a Follower.
type Option func(*Follower)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(f *Follower) { f.log = l } }

// WithInterval sets the mean time between polls of the head row.
func WithInterval(d time.Duration) Option { return func(f *Follower) { f.pollInterval = d } }

// WithPeers sets the client and the peers to fetch documents from while the
// table is unavailable.
func WithPeers(c PeerClient, peerAddrs func() []netip.AddrPort) Option {
	return func(f *Follower) { f.peerClient, f.peerAddrs = c, peerAddrs }
}

// WithOnChange sets a function that is called with each new document, in order.
func WithOnChange(fn func(*config.Document)) Option { return func(f *Follower) { f.onChange = fn } }

// New starts a follower.
func New(store table.Store, opts ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		store:        store,
		clock:        clockwork.NewRealClock(),
		log:          log.Log,
		pollInterval: 2 * time.Second,
		timeout:      time.Second,
		peerAddrs:    func() []netip.AddrPort { return nil },
		onChange:     func(*config.Document) {},
		wake:         make(chan struct{}, 1),
		cancel:       cancel,
		done:         make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	go func() {
		defer close(f.done)
		for ctx.Err() == nil {
			f.refresh(ctx)
			// Jitter spreads the reads of many daemons over time.
			wait := f.pollInterval/2 + rand.N(f.pollInterval)
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

// IsFenced reports whether the holder is known to be fenced. A holder that was
// fenced after the list was read is known only if it was passed to
// AddFencedHolders or named in a peer's answer.
func (f *Follower) IsFenced(holder string) bool {
	set := f.fencedHolders.Load()
	if set == nil {
		return false
	}
	_, ok := (*set)[holder]
	return ok
}

// FencedHoldersLoaded reports whether the list of fenced holders has been read
// from the table, AddFencedHolders was called, or a peer has answered with a
// document. From then on the list is not read from the table.
func (f *Follower) FencedHoldersLoaded() bool { return f.fencedHolders.Load() != nil }

// AddFencedHolders adds holders to the fenced ones.
func (f *Follower) AddFencedHolders(holders ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]struct{}{}
	if set := f.fencedHolders.Load(); set != nil {
		for h := range *set {
			next[h] = struct{}{}
		}
	}
	for _, h := range holders {
		next[h] = struct{}{}
	}
	f.fencedHolders.Store(&next)
}

// FencedHolders returns the known fenced holders.
func (f *Follower) FencedHolders() []string {
	set := f.fencedHolders.Load()
	if set == nil {
		return nil
	}
	out := make([]string, 0, len(*set))
	for h := range *set {
		out = append(out, h)
	}
	return out
}

// Hint tells the follower that a peer has a document with the given number. If
// it is newer, the follower refreshes at once, and asks that peer first if the
// table is unavailable.
func (f *Follower) Hint(number uint64, from netip.AddrPort) {
	if number <= f.Number() {
		return
	}
	f.mu.Lock()
	f.hintedPeer = from
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Publish makes a document the current one if its number is higher.
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
	err := f.readTable(ctx)
	if err == nil {
		return
	}
	f.log.WithError(err).Debug("configuration not read from the table")
	f.fetchFromPeers(ctx)
}

func (f *Follower) readTable(ctx context.Context) error {
	if !f.FencedHoldersLoaded() {
		if err := f.readFencedHolders(ctx); err != nil {
			return err
		}
	}
	number, err := f.readHead(ctx)
	if err != nil || number <= f.Number() {
		return err
	}
	document, err := f.readDocument(ctx, number)
	if err != nil {
		return err
	}
	f.Publish(document)
	return nil
}

// readHead returns the current number.
func (f *Follower) readHead(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	rows, err := f.store.Get(ctx, HeadKey)
	if err != nil {
		return 0, fmt.Errorf("configsync.readHead: %w", err)
	}
	if rows[0].Version == 0 {
		return 0, &NoDocumentError{}
	}
	head, err := config.DecodeRow[config.HeadRow](rows[0].Value)
	if err != nil {
		return 0, fmt.Errorf("configsync.readHead: %w", err)
	}
	return head.Number, nil
}

func (f *Follower) readDocument(ctx context.Context, number uint64) (*config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return ReadDocument(ctx, f.store, number)
}

func (f *Follower) readFencedHolders(ctx context.Context) error {
	var holders []string
	for after := ""; ; {
		rows, err := f.readFencePage(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			holders = append(holders, row.Sort)
			after = row.Sort
		}
		if len(rows) < table.MaxTransactionRows {
			break
		}
	}
	f.AddFencedHolders(holders...)
	return nil
}

func (f *Follower) readFencePage(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	rows, err := f.store.Query(ctx, shardlog.FencePartition, after, table.MaxTransactionRows)
	if err != nil {
		return nil, fmt.Errorf("configsync.readFencePage: %w", err)
	}
	return rows, nil
}

// ReadDocumentRow reads the row of the document with the given number.
func ReadDocumentRow(ctx context.Context, store table.Store, number uint64) (config.DocumentRow, error) {
	rows, err := store.Get(ctx, DocumentKey(number))
	if err != nil {
		return config.DocumentRow{}, fmt.Errorf("configsync.ReadDocumentRow: %w", err)
	}
	if rows[0].Version == 0 {
		return config.DocumentRow{}, fmt.Errorf("configsync.ReadDocumentRow: number %d: %w", number, &NoDocumentError{})
	}
	row, err := config.DecodeDocumentRow(rows[0].Value)
	if err != nil {
		return config.DocumentRow{}, fmt.Errorf("configsync.ReadDocumentRow: number %d: %w", number, err)
	}
	return row, nil
}

// ReadDocument reads the document with the given number.
func ReadDocument(ctx context.Context, store table.Store, number uint64) (*config.Document, error) {
	row, err := ReadDocumentRow(ctx, store, number)
	if err != nil {
		return nil, err
	}
	document, err := config.Decode(row.EncodedDocument)
	if err != nil {
		return nil, fmt.Errorf("configsync.ReadDocument: number %d: %w", number, err)
	}
	return document, nil
}

// fetchFromPeers fetches the newest document from the peer that sent a hint, if
// any, and from the peers of WithPeers.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.peerClient == nil {
		return
	}
	f.mu.Lock()
	hintedPeer := f.hintedPeer
	f.hintedPeer = netip.AddrPort{}
	f.mu.Unlock()
	var addrs []netip.AddrPort
	if hintedPeer.IsValid() {
		addrs = append(addrs, hintedPeer)
	}
	addrs = append(addrs, f.peerAddrs()...)
	for _, addr := range addrs {
		if err := f.fetchFromPeer(ctx, addr); err != nil {
			f.log.WithError(err).WithField("peer", addr.String()).Debug("configuration not fetched from peer")
		}
	}
}

func (f *Follower) fetchFromPeer(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := f.peerClient.Call(ctx, addr, peer.FetchConfig{})
	if err != nil {
		return fmt.Errorf("configsync.fetchFromPeer: %w", err)
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
		return fmt.Errorf("configsync.fetchFromPeer: %w", err)
	}
	f.Publish(document)
	return nil
}

// FetchConfigReply returns the answer to a peer's FetchConfig.
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
