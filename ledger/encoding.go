package ledger

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// cborModes returns the encoder and decoder. Encoding is deterministic: map keys
// are sorted, times are RFC 3339 in UTC.
var cborModes = sync.OnceValues(func() (cbor.EncMode, cbor.DecMode) {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	enc, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 16 << 20, MaxMapPairs: 16 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
})

type wireBatch struct {
	Writer  string       `cbor:"writer"`
	BatchID string       `cbor:"batch_id"`
	At      time.Time    `cbor:"at"`
	Records []wireRecord `cbor:"records"`
}

type wireRecord struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body cbor.RawMessage
}

func kindOf(r Record) string {
	switch r.(type) {
	case OpenBudget:
		return "open_budget"
	case TopUp:
		return "top_up"
	case Draw:
		return "draw"
	case Bill:
		return "bill"
	case Return:
		return "return"
	case Fence:
		return "fence"
	case Release:
		return "release"
	default:
		return ""
	}
}

func decodeRecord(w wireRecord) (Record, error) {
	switch w.Kind {
	case "open_budget":
		return decodeBody[OpenBudget](w.Body)
	case "top_up":
		return decodeBody[TopUp](w.Body)
	case "draw":
		return decodeBody[Draw](w.Body)
	case "bill":
		return decodeBody[Bill](w.Body)
	case "return":
		return decodeBody[Return](w.Body)
	case "fence":
		return decodeBody[Fence](w.Body)
	case "release":
		return decodeBody[Release](w.Body)
	default:
		return nil, &UnknownKindError{w.Kind}
	}
}

func decodeBody[R Record](raw []byte) (Record, error) {
	_, dec := cborModes()
	var r R
	if err := dec.Unmarshal(raw, &r); err != nil {
		return nil, err
	}
	return r, nil
}

// EncodeBatch returns the batch as CBOR. Each record is an array of its kind
// and its fields.
func EncodeBatch(b Batch) ([]byte, error) {
	enc, _ := cborModes()
	w := wireBatch{Writer: b.Writer, BatchID: b.BatchID, At: b.At, Records: make([]wireRecord, len(b.Records))}
	for i, r := range b.Records {
		kind := kindOf(r)
		if kind == "" {
			return nil, fmt.Errorf("ledger.EncodeBatch: %w", &UnknownKindError{fmt.Sprintf("%T", r)})
		}
		body, err := enc.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("ledger.EncodeBatch: %w", err)
		}
		w.Records[i] = wireRecord{Kind: kind, Body: body}
	}
	return enc.Marshal(w)
}

// DecodeBatch is the inverse of EncodeBatch. It fails with *DecodeError.
func DecodeBatch(raw []byte) (Batch, error) {
	_, dec := cborModes()
	var w wireBatch
	if err := dec.Unmarshal(raw, &w); err != nil {
		return Batch{}, fmt.Errorf("ledger.DecodeBatch: %w", &DecodeError{err})
	}
	b := Batch{Writer: w.Writer, BatchID: w.BatchID, At: w.At, Records: make([]Record, len(w.Records))}
	for i, r := range w.Records {
		record, err := decodeRecord(r)
		if err != nil {
			return Batch{}, fmt.Errorf("ledger.DecodeBatch: %w", &DecodeError{err})
		}
		b.Records[i] = record
	}
	return b, nil
}

type (
	wireState struct {
		BillWindowMillis int64            `cbor:"window_ms"`
		LogTimeMillis    int64            `cbor:"now_ms"`
		Budgets          []wireAccount    `cbor:"budgets"`
		Fenced           map[string]int64 `cbor:"fenced"`
		Bills            []wireBill       `cbor:"bills"`
		Draws            []wireID         `cbor:"grants"`
		Returns          []wireID         `cbor:"returns"`
		TopUps           []wireTopUp      `cbor:"patches"`
	}
	wireAccount struct {
		Name        string           `cbor:"name"`
		PatchID     string           `cbor:"patch_id"`
		Prepaid     int64            `cbor:"prepaid"`
		Settled     int64            `cbor:"settled"`
		Outstanding map[string]int64 `cbor:"outstanding"`
	}
	// The remembered records are encoded as arrays, which are smaller than maps: a
	// snapshot holds thousands of them.
	wireBill struct {
		_              struct{} `cbor:",toarray"`
		Identity       Identity
		Budget         uint64 // index in Budgets
		Attempt        string
		LastRepeat     uint64
		Cost           int64
		BilledAtMillis int64
		LoggedAtMillis int64
		Repeats        int32
	}
	wireID struct {
		_              struct{} `cbor:",toarray"`
		ID             string
		Amount         int64
		LoggedAtMillis int64
	}
	wireTopUp struct {
		_              struct{} `cbor:",toarray"`
		PatchID        string
		Budget         string
		Amount         int64
		LoggedAtMillis int64
	}
)

// EncodeState returns the state as CBOR. Equal states give equal bytes.
func EncodeState(s *State) ([]byte, error) {
	enc, _ := cborModes()
	w := wireState{BillWindowMillis: s.billWindowMillis, LogTimeMillis: s.logTimeMillis, Fenced: s.fenced}
	index := map[string]uint64{}
	for _, name := range s.Budgets() {
		a := s.budgets[name]
		index[name] = uint64(len(w.Budgets))
		w.Budgets = append(w.Budgets, wireAccount{name, a.patchID, a.prepaid, a.settled, a.outstanding})
	}
	for i, id := range s.billOrder.keys {
		// An identity that was billed again after the window is queued twice; only
		// its latest bill is stored.
		if b := s.bills[id]; b.loggedAtMillis == s.billOrder.loggedAtMillis[i] {
			w.Bills = append(w.Bills, wireBill{Identity: id, Budget: index[b.account.name], Attempt: b.attempt, LastRepeat: b.lastRepeat,
				Cost: b.cost, BilledAtMillis: b.billedAtMillis, LoggedAtMillis: b.loggedAtMillis, Repeats: b.repeats})
		}
	}
	for _, id := range s.drawOrder.keys {
		w.Draws = append(w.Draws, wireID{ID: id, Amount: s.draws[id].amount, LoggedAtMillis: s.draws[id].loggedAtMillis})
	}
	for _, id := range s.returnOrder.keys {
		w.Returns = append(w.Returns, wireID{ID: id, Amount: s.returns[id].amount, LoggedAtMillis: s.returns[id].loggedAtMillis})
	}
	for _, k := range s.topUpOrder.keys {
		w.TopUps = append(w.TopUps, wireTopUp{PatchID: k.PatchID, Budget: k.Budget, Amount: s.topUps[k].amount, LoggedAtMillis: s.topUps[k].loggedAtMillis})
	}
	return enc.Marshal(w)
}

// DecodeState is the inverse of EncodeState. It fails with *DecodeError.
func DecodeState(raw []byte) (*State, error) {
	_, dec := cborModes()
	var w wireState
	if err := dec.Unmarshal(raw, &w); err != nil {
		return nil, fmt.Errorf("ledger.DecodeState: %w", &DecodeError{err})
	}
	s := NewState()
	s.billWindowMillis, s.logTimeMillis = w.BillWindowMillis, w.LogTimeMillis
	maps.Copy(s.fenced, w.Fenced)
	for _, a := range w.Budgets {
		totalOutstanding := int64(0)
		for _, amount := range a.Outstanding {
			totalOutstanding += amount
		}
		if a.Outstanding == nil {
			a.Outstanding = map[string]int64{}
		}
		s.budgets[a.Name] = &account{a.Name, a.PatchID, a.Prepaid, a.Settled, totalOutstanding, a.Outstanding}
	}
	s.billOrder.grow(len(w.Bills))
	for _, b := range w.Bills {
		if b.Budget >= uint64(len(w.Budgets)) {
			return nil, fmt.Errorf("ledger.DecodeState: %w", &DecodeError{&UnknownBudgetError{fmt.Sprint(b.Budget)}})
		}
		s.bills[b.Identity] = &chargedBill{s.budgets[w.Budgets[b.Budget].Name], b.Attempt, b.LastRepeat, b.Cost, b.BilledAtMillis, b.LoggedAtMillis, b.Repeats}
		s.billOrder.push(b.Identity, b.LoggedAtMillis)
	}
	for _, d := range w.Draws {
		s.draws[d.ID] = appliedRecord{d.Amount, d.LoggedAtMillis}
		s.drawOrder.push(d.ID, d.LoggedAtMillis)
	}
	for _, r := range w.Returns {
		s.returns[r.ID] = appliedRecord{r.Amount, r.LoggedAtMillis}
		s.returnOrder.push(r.ID, r.LoggedAtMillis)
	}
	for _, t := range w.TopUps {
		k := topUpKey{t.PatchID, t.Budget}
		s.topUps[k] = appliedRecord{t.Amount, t.LoggedAtMillis}
		s.topUpOrder.push(k, t.LoggedAtMillis)
	}
	return s, nil
}
