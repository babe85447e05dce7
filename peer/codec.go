package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes is the maximum size of an encoded message. The largest
// message is a Dispatch; with the default max_body_bytes its body is at most
// 4 MiB. The setting accepts up to 64 MiB, but a Dispatch whose body is close to
// 8 MiB or larger cannot be sent.
const MaxMessageBytes = 8 << 20

// maxElements limits the elements of one list, since a decoded element can be
// much larger than its encoded form. 8 MiB hold about 33,000 UnbilledUsage, the
// smallest element of a long list.
const maxElements = 1 << 16

// maxPooledBytes is the largest encoding buffer kept for reuse.
const maxPooledBytes = 64 << 10

var encMode, decMode = func() (cbor.UserBufferEncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{
		Sort:          cbor.SortCoreDeterministic,
		Time:          cbor.TimeRFC3339NanoUTC,
		TagsMd:        cbor.TagsForbidden,
		NilContainers: cbor.NilContainerAsNull,
	}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  8,
		// The encoder does not check text either, and a caller's request path
		// need not be UTF-8.
		UTF8:              cbor.UTF8DecodeInvalid,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}()

// outgoingEnvelope and incomingEnvelope are the array [kind, body].
type outgoingEnvelope struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body Message
}

type incomingEnvelope struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body rawItem
}

// rawItem is an encoded item within the decoder's input. It is valid only until
// the input is overwritten.
type rawItem []byte

// UnmarshalCBOR keeps a reference to b instead of a copy.
func (r *rawItem) UnmarshalCBOR(b []byte) error {
	*r = b
	return nil
}

var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putEncodeBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		b.Reset()
		encodeBuffers.Put(b)
	}
}

// Encode returns the encoded form of a message.
func Encode(m Message) ([]byte, error) {
	var b bytes.Buffer
	if err := encode(&b, m); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func encode(b *bytes.Buffer, m Message) error {
	kind := Kind(m)
	if kind == "" {
		return &ProtocolError{Reason: fmt.Sprintf("%T has no kind", m)}
	}
	if err := encMode.MarshalToBuffer(&outgoingEnvelope{Kind: kind, Body: m}, b); err != nil {
		return &ProtocolError{Kind: kind, Reason: "cannot be encoded", Err: err}
	}
	if b.Len() > MaxMessageBytes {
		return &ProtocolError{Kind: kind, Reason: fmt.Sprintf("%d bytes are more than %d", b.Len(), MaxMessageBytes)}
	}
	return nil
}

// Decode decodes the first message in data and returns the bytes after it. The
// error is io.ErrUnexpectedEOF when data holds only a part of the message, and
// a *ProtocolError otherwise. The message does not refer to data.
func Decode(data []byte) (Message, []byte, error) {
	var in incomingEnvelope
	rest, err := decMode.UnmarshalFirst(data, &in)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, data, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, nil, &ProtocolError{Reason: "malformed", Err: err}
	}
	if n := len(data) - len(rest); n > MaxMessageBytes {
		return nil, nil, &ProtocolError{Reason: fmt.Sprintf("%d bytes are more than %d", n, MaxMessageBytes)}
	}
	decode, ok := kinds[in.Kind]
	if !ok {
		return nil, nil, &ProtocolError{Kind: in.Kind, Reason: "unknown kind"}
	}
	m, err := decode(in.Body)
	if err != nil {
		return nil, nil, &ProtocolError{Kind: in.Kind, Reason: "malformed body", Err: err}
	}
	return m, rest, nil
}

func decodeBody[T Message](body []byte) (Message, error) {
	var m T
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// kinds has a decoder for each kind that Kind returns.
var kinds = map[string]func([]byte) (Message, error){
	"hello":           decodeBody[Hello],
	"dispatch":        decodeBody[Dispatch],
	"refusal":         decodeBody[Refusal],
	"head":            decodeBody[Head],
	"frame":           decodeBody[Frame],
	"final":           decodeBody[Final],
	"credit":          decodeBody[Credit],
	"heartbeat":       decodeBody[Heartbeat],
	"resume":          decodeBody[Resume],
	"cancel":          decodeBody[Cancel],
	"usage_ack":       decodeBody[UsageAck],
	"take_usage":      decodeBody[FetchUsage],
	"report_usage":    decodeBody[UsageReport],
	"fence_holder":    decodeBody[FenceHolder],
	"fence_result":    decodeBody[FenceResult],
	"resolve_attempt": decodeBody[ResolveAttempt],
	"attempt_result":  decodeBody[AttemptResult],
	"load":            decodeBody[Load],
	"config_number":   decodeBody[ConfigNumber],
	"fetch_config":    decodeBody[FetchConfig],
	"config_document": decodeBody[ConfigDocument],
	"recall":          decodeBody[Recall],
	"recalled":        decodeBody[RecallResult],
	"fetch_events":    decodeBody[FetchEvents],
	"events":          decodeBody[Events],
	"status_request":  decodeBody[StatusRequest],
	"status":          decodeBody[Status],
	"evidence":        decodeBody[MoveDigest],
}

// Kind returns the wire name of a message's type, or "" for nil and for
// pointers to messages.
func Kind(m Message) string {
	switch m.(type) {
	case Hello:
		return "hello"
	case Dispatch:
		return "dispatch"
	case Refusal:
		return "refusal"
	case Head:
		return "head"
	case Frame:
		return "frame"
	case Final:
		return "final"
	case Credit:
		return "credit"
	case Heartbeat:
		return "heartbeat"
	case Resume:
		return "resume"
	case Cancel:
		return "cancel"
	case UsageAck:
		return "usage_ack"
	case FetchUsage:
		return "take_usage"
	case UsageReport:
		return "report_usage"
	case FenceHolder:
		return "fence_holder"
	case FenceResult:
		return "fence_result"
	case ResolveAttempt:
		return "resolve_attempt"
	case AttemptResult:
		return "attempt_result"
	case Load:
		return "load"
	case ConfigNumber:
		return "config_number"
	case FetchConfig:
		return "fetch_config"
	case ConfigDocument:
		return "config_document"
	case Recall:
		return "recall"
	case RecallResult:
		return "recalled"
	case FetchEvents:
		return "fetch_events"
	case Events:
		return "events"
	case StatusRequest:
		return "status_request"
	case Status:
		return "status"
	case MoveDigest:
		return "evidence"
	default:
		return ""
	}
}
