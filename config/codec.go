package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// MaxPatchBytes bounds the JSON form of a patch.
	MaxPatchBytes = 256 << 10
	// MaxDocumentBytes bounds the decompressed form of a document. The size
	// expected in two years is about 250 KB.
	MaxDocumentBytes = 8 << 20
	// MaxRowBytes bounds the row of a document and its patch. The table service
	// accepts rows of up to 380 KiB.
	MaxRowBytes = 376 << 10
)

// operationTypes maps the value of the field "op" to the type of the operation.
var operationTypes = map[string]reflect.Type{
	"put_workspace":    reflect.TypeFor[PutWorkspace](),
	"remove_workspace": reflect.TypeFor[RemoveWorkspace](),
	"open_budget":      reflect.TypeFor[OpenBudget](),
	"top_up":           reflect.TypeFor[TopUp](),
	"put_key":          reflect.TypeFor[PutKey](),
	"revoke_key":       reflect.TypeFor[RevokeKey](),
	"put_model":        reflect.TypeFor[PutModel](),
	"put_service":      reflect.TypeFor[PutService](),
	"put_target":       reflect.TypeFor[PutTarget](),
	"remove_target":    reflect.TypeFor[RemoveTarget](),
	"drain_target":     reflect.TypeFor[DrainTarget](),
	"undrain_target":   reflect.TypeFor[UndrainTarget](),
	"start_move":       reflect.TypeFor[StartMove](),
	"change_deadline":  reflect.TypeFor[ChangeDeadline](),
	"cancel_move":      reflect.TypeFor[CancelMove](),
	"set_share":        reflect.TypeFor[SetShare](),
	"finish_move":      reflect.TypeFor[FinishMove](),
	"roll_back_move":   reflect.TypeFor[RollBackMove](),
}

var operationNames = func() map[reflect.Type]string {
	names := make(map[reflect.Type]string, len(operationTypes))
	for name, t := range operationTypes {
		names[t] = name
	}
	return names
}()

// OperationName returns the value of the field "op", for example "put_target".
func OperationName(op Operation) string { return operationNames[reflect.TypeOf(op)] }

// patchJSON is the JSON form of a patch. The operator API overwrites Operator
// with the name of the key's owner.
type patchJSON struct {
	ID         string            `json:"id"`
	Base       uint64            `json:"base"`
	Operator   string            `json:"operator,omitempty"`
	Operations []json.RawMessage `json:"operations"`
}

// MarshalJSON implements json.Marshaler.
func (p Patch) MarshalJSON() ([]byte, error) {
	form := patchJSON{ID: p.ID, Base: p.Base, Operator: p.Operator, Operations: []json.RawMessage{}}
	for _, op := range p.Operations {
		data, err := marshalOperation(op)
		if err != nil {
			return nil, err
		}
		form.Operations = append(form.Operations, data)
	}
	return json.Marshal(form)
}

func marshalOperation(op Operation) ([]byte, error) {
	body, err := json.Marshal(op)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf(`{"op":%q`, OperationName(op))
	if rest := string(body[1:]); rest != "}" {
		return []byte(head + "," + rest), nil
	}
	return []byte(head + "}"), nil
}

// UnmarshalJSON implements json.Unmarshaler. It fails with *DecodeError.
func (p *Patch) UnmarshalJSON(data []byte) error {
	decoded, err := DecodePatch(data)
	if err != nil {
		return err
	}
	*p = decoded
	return nil
}

// DecodePatch decodes the JSON form of a patch. Unknown fields and operations
// are errors. It fails with *DecodeError or *SizeError.
func DecodePatch(data []byte) (Patch, error) {
	if len(data) > MaxPatchBytes {
		return Patch{}, fmt.Errorf("config.DecodePatch: %w", &SizeError{What: "patch", Limit: MaxPatchBytes})
	}
	var form patchJSON
	if err := unmarshalStrict(data, &form, ""); err != nil {
		return Patch{}, fmt.Errorf("config.DecodePatch: %w", err)
	}
	patch := Patch{ID: form.ID, Base: form.Base, Operator: form.Operator, Operations: make([]Operation, len(form.Operations))}
	for i, raw := range form.Operations {
		op, err := decodeOperation(raw, fmt.Sprintf("operations[%d]", i))
		if err != nil {
			return Patch{}, fmt.Errorf("config.DecodePatch: %w", err)
		}
		patch.Operations[i] = op
	}
	return patch, nil
}

func decodeOperation(raw json.RawMessage, path string) (Operation, error) {
	var fields map[string]json.RawMessage
	if err := unmarshalStrict(raw, &fields, path); err != nil {
		return nil, err
	}
	var name string
	if err := json.Unmarshal(fields["op"], &name); err != nil {
		return nil, &DecodeError{Path: path + ".op", Reason: "expected the name of an operation"}
	}
	t, ok := operationTypes[name]
	if !ok {
		return nil, &DecodeError{Path: path + ".op", Reason: fmt.Sprintf("unknown operation %q", name)}
	}
	delete(fields, "op")
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &DecodeError{Path: path, Reason: err.Error()}
	}
	value := reflect.New(t)
	if err := unmarshalStrict(body, value.Interface(), path); err != nil {
		return nil, err
	}
	return value.Elem().Interface().(Operation), nil
}

var encoder = func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err) // the options are constant
	}
	return e
}()

var decoder = func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(MaxDocumentBytes))
	if err != nil {
		panic(err) // the options are constant
	}
	return d
}()

// Encode returns the stored form of a document: JSON compressed with zstd.
func Encode(d *Document) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("config.Encode: %w", err)
	}
	if len(data) > MaxDocumentBytes {
		return nil, fmt.Errorf("config.Encode: %w", &SizeError{What: "document", Limit: MaxDocumentBytes})
	}
	return encoder.EncodeAll(data, nil), nil
}

// Decode decodes the stored form of a document. It fails with *DecodeError,
// *SizeError or, if the document breaks a rule, *InvalidError.
func Decode(data []byte) (*Document, error) {
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		if strings.Contains(err.Error(), "size") {
			return nil, fmt.Errorf("config.Decode: %w", &SizeError{What: "document", Limit: MaxDocumentBytes})
		}
		return nil, fmt.Errorf("config.Decode: %w", &DecodeError{Reason: err.Error()})
	}
	d := new(Document)
	if err := unmarshalStrict(plain, d, ""); err != nil {
		return nil, fmt.Errorf("config.Decode: %w", err)
	}
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("config.Decode: %w", err)
	}
	return d, nil
}

// Partition keys and the sort key of the rows of this package.
const (
	ConfigPartition = "config"
	HeadSortKey     = "head"
	PatchPartition  = "patch" // sort key: patch id
	KeyPartition    = "key"   // sort key: hash of the API key
)

// DocumentSortKey returns the sort key of the row of the document with the given
// number. Numbers sort before HeadSortKey.
func DocumentSortKey(number uint64) string { return fmt.Sprintf("%020d", number) }

// HeadRow is the value of the head row: the number of the newest document.
type HeadRow struct {
	Number uint64 `cbor:"number"`
}

// DocumentRow is the value of the row of a document and the patch that produced
// it. EncodedDocument is the result of Encode, empty for number 0.
type DocumentRow struct {
	EncodedDocument []byte
	Patch           Patch
}

// PatchRow is the value of the row of an accepted patch. Digest covers the
// id and the operations: a patch with the same id and other operations is
// refused.
type PatchRow struct {
	Number     uint64    `cbor:"number"`
	Digest     string    `cbor:"digest"`
	AcceptedAt time.Time `cbor:"accepted"`
}

// KeyRow is the value of the row of a caller key or an operator key.
type KeyRow struct {
	Workspace string `cbor:"workspace,omitempty"`
	Budget    string `cbor:"budget,omitempty"`
	Operator  string `cbor:"operator,omitempty"` // "read" or "write"
	Number    uint64 `cbor:"number"`             // number of the document that wrote the row
}

type documentRowCBOR struct {
	Document []byte `cbor:"document"`
	Patch    []byte `cbor:"patch"`
}

var cborDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

var cborEncoder = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// EncodeRow encodes the value of a row.
func EncodeRow[T HeadRow | PatchRow | KeyRow](row T) ([]byte, error) {
	data, err := cborEncoder.Marshal(row)
	if err != nil {
		return nil, fmt.Errorf("config.EncodeRow: %w", err)
	}
	return data, nil
}

// DecodeRow decodes the value of a row. It fails with *DecodeError.
func DecodeRow[T HeadRow | PatchRow | KeyRow](data []byte) (T, error) {
	var row T
	if err := cborDecoder.Unmarshal(data, &row); err != nil {
		return row, fmt.Errorf("config.DecodeRow: %w", &DecodeError{Reason: err.Error()})
	}
	return row, nil
}

// EncodeDocumentRow encodes the row of a document and the patch that produced
// it. It fails with *SizeError if the row is too large for the table service.
func EncodeDocumentRow(d *Document, p Patch) ([]byte, error) {
	document, err := Encode(d)
	if err != nil {
		return nil, fmt.Errorf("config.EncodeDocumentRow: %w", err)
	}
	patch, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("config.EncodeDocumentRow: %w", err)
	}
	data, err := cborEncoder.Marshal(documentRowCBOR{Document: document, Patch: encoder.EncodeAll(patch, nil)})
	if err != nil {
		return nil, fmt.Errorf("config.EncodeDocumentRow: %w", err)
	}
	if len(data) > MaxRowBytes {
		return nil, fmt.Errorf("config.EncodeDocumentRow: %w", &SizeError{What: "configuration row", Limit: MaxRowBytes})
	}
	return data, nil
}

// DecodeDocumentRow decodes the row of a document, but not the document itself.
func DecodeDocumentRow(data []byte) (DocumentRow, error) {
	var form documentRowCBOR
	if err := cborDecoder.Unmarshal(data, &form); err != nil {
		return DocumentRow{}, fmt.Errorf("config.DecodeDocumentRow: %w", &DecodeError{Reason: err.Error()})
	}
	plain, err := decoder.DecodeAll(form.Patch, nil)
	if err != nil {
		return DocumentRow{}, fmt.Errorf("config.DecodeDocumentRow: %w", &DecodeError{Path: "patch", Reason: err.Error()})
	}
	patch, err := DecodePatch(plain)
	if err != nil {
		return DocumentRow{}, fmt.Errorf("config.DecodeDocumentRow: %w", err)
	}
	return DocumentRow{EncodedDocument: form.Document, Patch: patch}, nil
}

// Digest returns the SHA-256 of the id and operations of a patch in
// hexadecimal. It does not cover Base, so that a repeated patch may name a
// later base.
func (p Patch) Digest() (string, error) {
	data, err := json.Marshal(Patch{ID: p.ID, Operations: p.Operations})
	if err != nil {
		return "", fmt.Errorf("config.Patch.Digest: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// CheckRepeat checks that the patch has the operations that produced the
// result. It fails with *ReusedIDError if the id was used for other operations.
func (r PatchRow) CheckRepeat(p Patch) error {
	digest, err := p.Digest()
	if err != nil {
		return err
	}
	if digest != r.Digest {
		return &ReusedIDError{ID: p.ID, Number: r.Number}
	}
	return nil
}
