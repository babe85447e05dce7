// Package quarantinestore shares the quarantine of requests and of prompt parts, both
// called parts here, between processes:
// it exchanges evidence with the other processes, and keeps a row in the shared
// store for each part in quarantine, so that processes that start later know it
// too. An operator lists the parts and releases one by deleting its row.
package quarantinestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"briarreach/crash"
	"briarreach/feed"
	"briarreach/quarantine"
	"briarreach/rowstore"
)

// Table holds a row for each part in quarantine.
const Table = "quarantine"

const (
	// stepInterval is the time between two steps of the list.
	stepInterval = 20 * time.Millisecond
	// expiryInterval is the time between two steps while nothing has happened.
	expiryInterval = time.Second
	// maxWriteDelay spreads the writes of processes that decide the same; all but
	// the first find the row in the feed.
	maxWriteDelay = 250 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 700 * time.Millisecond
	// writeRetryDelay is the time between attempts to write a row.
	writeRetryDelay = 300 * time.Millisecond
	// maxPendingWrites bounds the rows that wait to be written.
	maxPendingWrites = 1024
	// maxRows bounds the rows that are followed.
	maxRows = 1024
	// feedWait is how long one call waits for changed rows, which are rare.
	feedWait   = 10 * time.Second
	feedMargin = 700 * time.Millisecond
	// releasedTTL exceeds the age of the copies from which the store is restored.
	releasedTTL = 2 * time.Minute
	// maxReleased bounds the released parts that are remembered.
	maxReleased = 1024
	// maxIDBytes bounds the ID of a part in messages; longer ones are hashed.
	maxIDBytes = 32
	// maxPartsPerMessage keeps a message within a datagram.
	maxPartsPerMessage = 24
)

// Keeper keeps a process's list in agreement with the other processes.
type Keeper struct {
	list      *quarantine.List
	store     rowstore.Store
	clock     clockwork.Clock
	log       log.Interface
	broadcast func(quarantine.Evidence)
	blocked   *metrics.Counter
	watcher   *feed.Watcher[rowstore.Row]
	wake      chan struct{}
	cancel    context.CancelFunc
	done      chan struct{}

	mu       sync.Mutex
	stored   map[quarantine.Part]int // whose rows are in the store, by the feed and the own writes, with the crashes in the row
	pending  map[quarantine.Part]write
	released map[quarantine.Part]time.Time // a short time ago; a copy of the store may still have their rows
}

// write is a row to be written or deleted.
type write struct {
	crashes int // 0 deletes the row
	due     time.Time
}

// Option changes a default of New.
type Option func(*Keeper)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(k *Keeper) { k.log = l } }

// WithBroadcast sets the function that sends evidence to the other processes. It
// must not block.
func WithBroadcast(f func(quarantine.Evidence)) Option { return func(k *Keeper) { k.broadcast = f } }

// WithMetrics adds the keeper's metrics to a set.
func WithMetrics(set *metrics.Set) Option {
	return func(k *Keeper) {
		k.blocked = set.NewCounter("briarreach_quarantine_refusals_total")
		set.NewGauge("briarreach_quarantined_parts", func() float64 { return float64(len(k.list.Parts())) })
	}
}

// New starts a keeper of a list.
func New(list *quarantine.List, store rowstore.Store, opts ...Option) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{list: list, store: store, clock: clockwork.NewRealClock(), log: log.Log, broadcast: func(quarantine.Evidence) {},
		wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}), stored: make(map[quarantine.Part]int), pending: make(map[quarantine.Part]write), released: make(map[quarantine.Part]time.Time)}
	WithMetrics(metrics.NewSet())(k)
	for _, opt := range opts {
		opt(k)
	}
	k.watcher = feed.New("quarantine", feed.Source[rowstore.Row](rowSource{store}), k.applyRows, feed.WithClock(k.clock), feed.WithLog(k.log), feed.WithWait(feedWait, feedMargin))
	go func() {
		defer close(k.done)
		for k.waitForWork(ctx) {
			k.do(k.list.Step(k.clock.Now()))
			k.writeRows(ctx)
		}
	}()
	return k
}

// Close stops the keeper. Rows that were not written yet are left to other
// processes.
func (k *Keeper) Close(ctx context.Context) {
	k.cancel()
	select {
	case <-k.done:
	case <-ctx.Done():
	}
	k.watcher.Close(ctx)
}

// RowCount returns the number of rows that the keeper follows.
func (k *Keeper) RowCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.stored)
}

// waitForWork waits until there may be something to decide or to write. It returns
// false when ctx has ended.
func (k *Keeper) waitForWork(ctx context.Context) bool {
	k.mu.Lock()
	writing := len(k.pending) > 0
	k.mu.Unlock()
	var wake <-chan struct{}
	var timer <-chan time.Time
	switch {
	case writing || k.list.Pending():
		timer = k.clock.After(stepInterval)
	case k.list.Empty():
		wake = k.wake
	default:
		wake, timer = k.wake, k.clock.After(expiryInterval)
	}
	select {
	case <-wake:
	case <-timer:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Empty implements gateway.Quarantine.
func (k *Keeper) Empty() bool { return k.list.Empty() }

// Blocks implements gateway.Quarantine.
func (k *Keeper) Blocks(service string, partIDs []string) (partID string, remaining time.Duration, blocked bool) {
	part, remaining, blocked := k.list.Blocks(service, normalized(partIDs), k.clock.Now())
	if blocked {
		k.blocked.Inc()
	}
	return part.ID, remaining, blocked
}

// ProvesSound implements gateway.Quarantine.
func (k *Keeper) ProvesSound(answerTime time.Duration) bool { return k.list.ProvesSound(answerTime) }

// RecordAnswer implements gateway.Quarantine.
func (k *Keeper) RecordAnswer(service string, partIDs []string) {
	k.do(k.list.RecordAnswer(service, normalized(partIDs), k.clock.Now()))
}

// HandleEnd notes that a replica ended with a request in flight.
func (k *Keeper) HandleEnd(e crash.End) {
	now, ids := k.clock.Now(), contentIDs(e.BrokenSend)
	if k.list.ProvesSound(e.AnswerTime) {
		k.do(k.list.RecordInterruptedAnswer(e.Replica.Service, ids, now))
		return
	}
	for chunk := range slices.Chunk(ids, maxPartsPerMessage) {
		k.do(k.list.RecordCrash(quarantine.Crash{Service: e.Replica.Service, Replica: e.Replica.Incarnation(), PartIDs: chunk, Age: now.Sub(e.At)}, now))
	}
}

// HandleComplete notes that a request was answered.
func (k *Keeper) HandleComplete(b crash.BrokenSend) {
	k.RecordAnswer(b.Replica.Service, contentIDs(b))
}

// contentIDs returns the IDs of a request's shared parts and of the request itself.
func contentIDs(b crash.BrokenSend) []string {
	ids := slices.Clone(normalized(b.SharedParts))
	if b.Fingerprint != "" {
		ids = append(ids, quarantine.RequestID(b.Fingerprint))
	}
	return ids
}

// HandleEvidence takes evidence of another process.
func (k *Keeper) HandleEvidence(e quarantine.Evidence) {
	k.do(k.list.HandleEvidence(e, k.clock.Now()))
	k.wakeUp()
}

// normalized replaces IDs that are too long for a message.
func normalized(ids []string) []string {
	if !slices.ContainsFunc(ids, func(id string) bool { return len(id) > maxIDBytes }) {
		return ids
	}
	short := slices.Clone(ids)
	for i, id := range short {
		if len(id) > maxIDBytes {
			short[i] = fmt.Sprintf("hash-%016x", xxhash.Sum64String(id))
		}
	}
	return short
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// do carries out what the list decided.
func (k *Keeper) do(actions []quarantine.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quarantine.Announce:
			k.broadcast(a.Evidence)
		case quarantine.Quarantined:
			k.log.WithFields(log.Fields{"service": a.Part.Service, "part": a.Part.ID, "crashes": a.Crashes, "until": a.Until}).Warn("prompt part quarantined")
			k.noteReleased(a.Part, false)
			if a.Crashes > 0 {
				k.schedule(a.Part, a.Crashes)
			}
		case quarantine.Released:
			k.log.WithFields(log.Fields{"service": a.Part.Service, "part": a.Part.ID, "reason": string(a.Reason)}).Warn("prompt part released")
			k.noteReleased(a.Part, true)
			if a.Reason != quarantine.Withdrew {
				k.schedule(a.Part, 0)
			}
		}
	}
	if len(actions) > 0 {
		k.wakeUp()
	}
}

// noteReleased remembers or forgets that a part was released.
func (k *Keeper) noteReleased(p quarantine.Part, released bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	maps.DeleteFunc(k.released, func(_ quarantine.Part, at time.Time) bool { return now.Sub(at) > releasedTTL })
	if !released {
		delete(k.released, p)
	} else if len(k.released) < maxReleased {
		k.released[p] = now
	}
}

func (k *Keeper) schedule(p quarantine.Part, crashes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pending) < maxPendingWrites {
		k.pending[p] = write{crashes: crashes, due: k.clock.Now().Add(rand.N(maxWriteDelay))}
	}
}

// writeRows writes the rows that are due. A row that another process has written
// meanwhile is left as it is.
func (k *Keeper) writeRows(ctx context.Context) {
	now := k.clock.Now()
	k.mu.Lock()
	maps.DeleteFunc(k.pending, func(p quarantine.Part, w write) bool { return (k.stored[p] > 0) == (w.crashes > 0) })
	due := maps.Clone(k.pending)
	k.mu.Unlock()
	for p, w := range due {
		if now.Before(w.due) {
			continue
		}
		err := k.write(ctx, p, w.crashes)
		var conflict *rowstore.ConflictError
		k.mu.Lock()
		switch {
		case err == nil && w.crashes == 0:
			delete(k.stored, p)
		case err == nil || errors.As(err, &conflict):
			k.stored[p] = max(w.crashes, 1)
		case k.pending[p] == w:
			k.pending[p] = write{crashes: w.crashes, due: k.clock.Now().Add(writeRetryDelay)}
		}
		k.mu.Unlock()
		if err != nil && conflict == nil {
			k.log.WithFields(log.Fields{"service": p.Service, "part": p.ID}).WithError(err).Warn("failed to write a quarantine row; trying again")
		}
	}
}

func (k *Keeper) write(ctx context.Context, p quarantine.Part, crashes int) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := rowstore.Key{Table: Table, Name: rowName(p)}
	if crashes == 0 {
		if _, err := k.store.Commit(ctx, rowstore.Tx{Delete: []rowstore.Key{key}}); err != nil {
			return fmt.Errorf("quarantinestore.write: %w", err)
		}
		return nil
	}
	value, err := json.Marshal(Entry{Name: key.Name, Service: p.Service, Part: p.ID, Crashes: crashes})
	if err != nil {
		return fmt.Errorf("quarantinestore.write: %w", err)
	}
	if _, err := k.store.Commit(ctx, rowstore.Tx{Expect: []rowstore.Row{{Key: key}}, Put: []rowstore.Row{{Key: key, Value: value}}}); err != nil {
		return fmt.Errorf("quarantinestore.write: %w", err)
	}
	return nil
}

// rowName is the name of a part's row. It does not contain the service and the
// part, which may be longer than a name.
func rowName(p quarantine.Part) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(p.Service+"\x00"+p.ID))
}

// applyRows applies changed rows, or all rows. If the store was restored from a copy,
// the rows that the copy lacks are written again, and those of parts that were
// released since are deleted again.
func (k *Keeper) applyRows(b feed.Batch[rowstore.Row]) {
	listed := make(map[quarantine.Part]bool)
	for _, row := range b.Events {
		if row.Deleted {
			k.withdraw(func(p quarantine.Part) bool { return rowName(p) == row.Key.Name })
			continue
		}
		e, ok := decodeEntry(row)
		if !ok {
			k.log.WithField("row", row.Key.Name).Warn("quarantine row ignored: it names no service and part")
			continue
		}
		p := e.key()
		if !k.follow(p, e.Crashes) {
			k.log.WithField("row", row.Key.Name).Warn("quarantine row ignored: too many rows")
			continue
		}
		listed[p] = true
		if b.Restored && k.wasReleased(p) {
			k.schedule(p, 0)
			continue
		}
		k.do(k.list.Add(p, k.clock.Now()))
	}
	switch {
	case b.Restored:
		k.writeAgain(listed)
	case b.Complete:
		k.withdraw(func(p quarantine.Part) bool { return !listed[p] })
	}
}

// follow notes that the row of a part is in the store. It returns false if there are
// too many rows.
func (k *Keeper) follow(p quarantine.Part, crashes int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stored[p] == 0 && len(k.stored) >= maxRows {
		return false
	}
	k.stored[p] = max(crashes, 1)
	return true
}

func (k *Keeper) wasReleased(p quarantine.Part) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.released[p]
	return ok && k.clock.Since(at) <= releasedTTL
}

// writeAgain schedules the rows of the parts that are still in quarantine and that
// the store has lost.
func (k *Keeper) writeAgain(listed map[quarantine.Part]bool) {
	k.mu.Lock()
	lost := make(map[quarantine.Part]int)
	for p, crashes := range k.stored {
		if !listed[p] {
			lost[p] = crashes
			delete(k.stored, p)
		}
	}
	k.mu.Unlock()
	for _, p := range k.list.Parts() {
		if crashes := lost[p]; crashes > 0 {
			k.schedule(p, crashes)
		}
	}
	k.wakeUp()
}

// withdraw releases the stored parts whose rows are gone.
func (k *Keeper) withdraw(gone func(quarantine.Part) bool) {
	k.mu.Lock()
	var parts []quarantine.Part
	for p := range k.stored {
		if gone(p) {
			parts = append(parts, p)
			delete(k.stored, p)
		}
	}
	k.mu.Unlock()
	for _, p := range parts {
		k.do(k.list.Withdraw(p))
	}
}

// rowSource is the source of the rows.
type rowSource struct{ store rowstore.Store }

// List implements feed.Source.
func (s rowSource) List(ctx context.Context) (feed.Batch[rowstore.Row], error) {
	page, err := s.store.List(ctx, Table, "")
	return batch(page, true, err)
}

// Next implements feed.Source.
func (s rowSource) Next(ctx context.Context, after uint64, wait time.Duration) (feed.Batch[rowstore.Row], error) {
	page, err := s.store.Changes(ctx, Table, after, wait)
	return batch(page, false, err)
}

func batch(page rowstore.Page, complete bool, err error) (feed.Batch[rowstore.Row], error) {
	if err != nil {
		return feed.Batch[rowstore.Row]{}, fmt.Errorf("quarantinestore: %w", err)
	}
	return feed.Batch[rowstore.Row]{Events: page.Rows, Era: page.Era, Version: page.Version, Complete: complete}, nil
}
