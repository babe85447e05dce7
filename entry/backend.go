package entry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"briarreach/config"
	"briarreach/configsync"
	"briarreach/ledger"
	"briarreach/operator"
	"briarreach/peer"
	"briarreach/shardlog"
	"briarreach/table"
	"briarreach/timeline"
)

const (
	// callTimeout bounds the call of one daemon.
	callTimeout = time.Second
	// maxConcurrentCalls bounds the daemons that are called at the same time.
	maxConcurrentCalls = 32
	// maxConflictPatches bounds the patches that a conflict error lists.
	maxConflictPatches = 20
)

// backend implements operator.Backend.
type backend struct{ *Entry }

// Authorize returns the role of an operator key.
func (b backend) Authorize(ctx context.Context, secret string) (operator.Role, error) {
	if secret == "" {
		return "", &operator.Error{Status: 401, Type: operator.Unauthorized, Message: "the Authorization header has no bearer key"}
	}
	row, err := b.keys.lookup(ctx, secret)
	if isUnknownKey(err) || err == nil && row.Operator == "" {
		return "", &operator.Error{Status: 401, Type: operator.Unauthorized, Message: "the key is no operator's key"}
	}
	if err != nil {
		return "", err
	}
	return operator.Role(row.Operator), nil
}

// Document returns the current document.
func (b backend) Document() *config.Document { return b.follower.Current() }

// Patch applies a patch if the current document is the one that the patch was
// made against. A patch that was accepted before returns its earlier result.
func (b backend) Patch(ctx context.Context, p config.Patch) (operator.PatchResponse, error) {
	for _, op := range p.Operations {
		if config.ControllerOnly(op) {
			return operator.PatchResponse{}, &config.InvalidError{Operation: -1, Path: "operations", Reason: config.ReasonBadValue,
				Detail: "the operation is written by the move controller only"}
		}
	}
	return b.patch(ctx, p, nil)
}

// patch writes a patch in one transaction with checks. It retries conflicts,
// except those of the checks.
func (e *Entry) patch(ctx context.Context, p config.Patch, checks []table.Check) (operator.PatchResponse, error) {
	for {
		accepted, err := e.patchOnce(ctx, p, checks)
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) {
			return accepted, err
		}
		for _, check := range checks {
			if slices.Contains(conflict.Keys, check.Key) {
				return accepted, err
			}
		}
		if ctx.Err() != nil {
			return accepted, err
		}
		// A concurrent patch was accepted, or this one was. The next iteration
		// reads the rows again and finds out.
	}
}

func (e *Entry) patchOnce(ctx context.Context, p config.Patch, checks []table.Check) (operator.PatchResponse, error) {
	none := operator.PatchResponse{}
	patchKey := table.Key{Partition: config.PatchPartition, Sort: p.ID}
	rows, err := e.store.Get(ctx, configsync.HeadKey, patchKey)
	if err != nil {
		return none, fmt.Errorf("entry.patch: %w", err)
	}
	if rows[1].Version > 0 {
		result, err := config.DecodeRow[config.PatchRow](rows[1].Value)
		if err != nil {
			return none, err
		}
		if err := result.CheckRepeat(p); err != nil {
			return none, err
		}
		return operator.PatchResponse{ConfigNumber: result.Number, PatchID: p.ID, AlreadyAccepted: true}, nil
	}
	document, err := e.documentAt(ctx, rows[0])
	if err != nil {
		return none, err
	}
	if p.Base != document.Number {
		return none, e.conflictError(ctx, p.Base, document.Number)
	}
	now := e.clock.Now()
	next, effects, err := document.Apply(p, now)
	if err != nil {
		return none, err
	}
	tx, err := patchTransaction(p, next, effects, rows[0].Version, now)
	if err != nil {
		return none, err
	}
	tx.Checks = append(tx.Checks, checks...)
	if err := e.commitPatch(ctx, tx, effects.LedgerRecords); err != nil {
		return none, err
	}
	e.follower.Publish(next)
	e.announceConfig(next.Number)
	e.events.Record(timeline.Event{Kind: "config_accepted", ConfigNumber: next.Number, Detail: p.ID})
	return operator.PatchResponse{ConfigNumber: next.Number, PatchID: p.ID}, nil
}

func (e *Entry) commitPatch(ctx context.Context, tx table.Transaction, records []ledger.Record) error {
	j := e.journal.Load()
	if j == nil {
		return &operator.Error{Status: 503, Type: operator.Unavailable, Message: "the ledger is not open yet"}
	}
	_, err := j.Transact(ctx, tx, records)
	var refused *shardlog.RefusedError
	if errors.As(err, &refused) {
		return &config.InvalidError{Operation: -1, Path: "budget", Reason: config.ReasonBadValue, Detail: refused.Error()}
	}
	return err
}

// documentAt returns the document with the number in the head row.
func (e *Entry) documentAt(ctx context.Context, head table.Row) (*config.Document, error) {
	if head.Version == 0 {
		return nil, &configsync.NoDocumentError{}
	}
	decoded, err := config.DecodeRow[config.HeadRow](head.Value)
	if err != nil {
		return nil, err
	}
	if current := e.follower.Current(); current != nil && current.Number == decoded.Number {
		return current, nil
	}
	return configsync.ReadDocument(ctx, e.store, decoded.Number)
}

// patchTransaction returns the transaction that accepts a patch. It writes the
// head row, the row of the new number, the row of the patch and the rows of the
// changed keys.
func patchTransaction(p config.Patch, next *config.Document, effects config.SideEffects, headVersion uint64, now time.Time) (table.Transaction, error) {
	tx := table.Transaction{ID: ulid.Make().String()}
	head, err := config.EncodeRow(config.HeadRow{Number: next.Number})
	if err != nil {
		return tx, err
	}
	documentRow, err := config.EncodeDocumentRow(next, p)
	if err != nil {
		return tx, err
	}
	digest, err := p.Digest()
	if err != nil {
		return tx, err
	}
	result, err := config.EncodeRow(config.PatchRow{Number: next.Number, Digest: digest, AcceptedAt: now})
	if err != nil {
		return tx, err
	}
	expectHead := table.Precondition(table.Absent{})
	if headVersion > 0 {
		expectHead = table.Exactly{Version: headVersion}
	}
	tx.Writes = []table.Write{
		{Key: configsync.HeadKey, Expect: expectHead, Value: head},
		{Key: configsync.DocumentKey(next.Number), Expect: table.Absent{}, Value: documentRow},
		{Key: table.Key{Partition: config.PatchPartition, Sort: p.ID}, Expect: table.Absent{}, Value: result},
	}
	for _, change := range effects.KeyChanges {
		w := table.Write{Key: table.Key{Partition: config.KeyPartition, Sort: change.Hash}, Expect: table.Any{}}
		if change.Row != nil {
			if w.Value, err = config.EncodeRow(*change.Row); err != nil {
				return tx, err
			}
		}
		tx.Writes = append(tx.Writes, w)
	}
	return tx, nil
}

// Bootstrap writes the first document of a deployment in one transaction. It
// returns a *table.ConflictError if a document exists already.
func Bootstrap(ctx context.Context, store table.Store, shards int, p config.Patch, now time.Time) error {
	next, effects, err := config.New(shards).Apply(p, now)
	if err != nil {
		return fmt.Errorf("entry.Bootstrap: %w", err)
	}
	if len(effects.LedgerRecords) > 0 {
		return &config.InvalidError{Operation: -1, Path: "operations", Reason: config.ReasonBadValue, Detail: "the first patch can't open budgets"}
	}
	tx, err := patchTransaction(p, next, effects, 0, now)
	if err != nil {
		return fmt.Errorf("entry.Bootstrap: %w", err)
	}
	if err := store.Commit(ctx, tx); err != nil {
		return fmt.Errorf("entry.Bootstrap: %w", err)
	}
	return nil
}

// conflictError lists the patches that were accepted since base.
func (e *Entry) conflictError(ctx context.Context, base, current uint64) error {
	conflict := &config.ConflictError{Base: base, Current: current}
	if base >= current {
		return conflict
	}
	for number := max(base+1, current-min(current, maxConflictPatches)+1); number <= current; number++ {
		row, err := configsync.ReadDocumentRow(ctx, e.store, number)
		if err != nil {
			break
		}
		conflict.LaterPatches = append(conflict.LaterPatches, row.Patch)
	}
	return conflict
}

// announceConfig sends the new number to all peers, so that they don't wait for
// their next poll of the head row.
func (e *Entry) announceConfig(number uint64) {
	e.workers.Go(func() {
		var group errgroup.Group
		group.SetLimit(maxConcurrentCalls)
		for _, addr := range e.peers() {
			group.Go(func() error {
				_ = e.sendOneWay(e.ctx, addr, peer.ConfigNumber{Number: number, Process: e.settings.Process})
				return nil
			})
		}
		_ = group.Wait()
	})
}

// History returns up to limit changes that follow the number after.
func (b backend) History(ctx context.Context, after uint64, limit int) ([]operator.Change, error) {
	current := b.follower.Number()
	changes := []operator.Change{}
	for number := after + 1; number <= current && len(changes) < limit; number++ {
		row, err := configsync.ReadDocumentRow(ctx, b.store, number)
		if err != nil {
			return nil, err
		}
		changes = append(changes, operator.Change{ConfigNumber: number, Patch: row.Patch})
	}
	return changes, nil
}

// Status asks every daemon for its configuration number.
func (b backend) Status(ctx context.Context) operator.Status {
	status := operator.Status{ConfigNumber: b.follower.Number(), NotCurrent: []string{}}
	status.Daemons = append(b.pollDaemons(ctx), operator.DaemonStatus{Process: b.settings.Process, Role: peer.EntryRole,
		Address: b.endpoint.Addr(), ConfigNumber: b.follower.Number()})
	slices.SortFunc(status.Daemons, func(x, y operator.DaemonStatus) int {
		return strings.Compare(string(y.Role)+x.Process, string(x.Role)+y.Process)
	})
	for _, d := range status.Daemons {
		if d.ConfigNumber < status.ConfigNumber {
			status.NotCurrent = append(status.NotCurrent, d.Process)
		}
	}
	status.InForce = len(status.NotCurrent) == 0
	return status
}

func (b backend) pollDaemons(ctx context.Context) []operator.DaemonStatus {
	var mu sync.Mutex
	var daemons []operator.DaemonStatus
	b.callPeers(ctx, peer.StatusRequest{}, func(addr netip.AddrPort, m peer.Message, err error) {
		d := operator.DaemonStatus{Process: addr.String(), Address: addr}
		if s, ok := m.(peer.Status); ok {
			d.Process, d.Role, d.ConfigNumber = s.Process, s.Role, s.ConfigNumber
		} else if err != nil {
			d.Error = err.Error()
		}
		mu.Lock()
		defer mu.Unlock()
		daemons = append(daemons, d)
	})
	return daemons
}

// callPeers sends a request to every other process. It calls handle for each
// answer or error, from several goroutines.
func (e *Entry) callPeers(ctx context.Context, request peer.Message, handle func(netip.AddrPort, peer.Message, error)) {
	e.callEach(ctx, e.peers(), request, handle)
}

// callEach sends a request to each address, up to maxConcurrentCalls at a time.
// It calls handle for each answer or error, from several goroutines.
func (e *Entry) callEach(ctx context.Context, addrs []netip.AddrPort, request peer.Message, handle func(netip.AddrPort, peer.Message, error)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, addr := range addrs {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			m, err := e.endpoint.Call(ctx, addr, request)
			handle(addr, m, err)
			return nil
		})
	}
	_ = group.Wait()
}

// Budgets returns the state of all budgets, read from the table.
func (b backend) Budgets(ctx context.Context) ([]operator.Budget, error) {
	j := b.journal.Load()
	if j == nil {
		return nil, &operator.Error{Status: 503, Type: operator.Unavailable, Message: "the ledger is not open yet"}
	}
	if err := j.Refresh(ctx); err != nil {
		return nil, err
	}
	out := []operator.Budget{}
	for shard := range j.Shards() {
		j.ReadShard(shard, func(s *ledger.State) {
			for _, name := range s.Budgets() {
				balance, _ := s.Budget(name)
				budget := operator.Budget{Name: name, Prepaid: balance.Prepaid, Settled: balance.Settled}
				for _, amount := range balance.Outstanding {
					budget.Outstanding += amount
				}
				budget.Available = budget.Prepaid - budget.Settled - budget.Outstanding
				out = append(out, budget)
			}
		})
	}
	slices.SortFunc(out, func(x, y operator.Budget) int { return strings.Compare(x.Name, y.Name) })
	return out, nil
}

// Timeline merges the events of all processes.
func (b backend) Timeline(ctx context.Context, filter timeline.Filter) []timeline.Event {
	var mu sync.Mutex
	eventLists := [][]timeline.Event{b.events.Events(filter)}
	b.callPeers(ctx, peer.FetchEvents{Filter: filter}, func(_ netip.AddrPort, m peer.Message, _ error) {
		if events, ok := m.(peer.Events); ok {
			mu.Lock()
			defer mu.Unlock()
			eventLists = append(eventLists, events.Events)
		}
	})
	return timeline.Merge(filter, eventLists...)
}
