package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"briarreach/roundtrip"
)

// Event is one event of a response.
type Event interface{ event() }

type (
	// Delta is one chunk of the answer. Raw is its JSON object. Tokens is the
	// number of generated tokens in it: according to the chunk's usage if the
	// engine sends it, otherwise one for each choice with content. The final
	// Usage is authoritative. PromptTokens is 0 if the chunk has no usage.
	Delta struct {
		Raw          []byte
		Tokens       int
		PromptTokens int64
	}
	// Usage is the usage of the whole request, sent at the end of the stream.
	// Raw is the chunk's JSON object.
	Usage struct {
		PromptTokens, CompletionTokens, CachedTokens int64
		Raw                                          []byte
	}
	// Finished follows the Delta with a finish reason: "stop", "length", and
	// so on.
	Finished struct{ Reason string }
)

func (Delta) event()    {}
func (Usage) event()    {}
func (Finished) event() {}

// IncompleteError reports that the stream ended, or was idle for too long,
// before "[DONE]". The request ran, at least in part.
type IncompleteError struct{ Err error }

func (e *IncompleteError) Error() string { return fmt.Sprintf("incomplete stream: %v", e.Err) }

func (e *IncompleteError) Unwrap() error { return e.Err }

// FormatError reports a stream that is not a stream of chat completion chunks.
// The request ran, at least in part.
type FormatError struct {
	Data []byte // the beginning of the event
	Err  error
}

func (e *FormatError) Error() string { return fmt.Sprintf("stream event %.80q: %v", e.Data, e.Err) }

func (e *FormatError) Unwrap() error { return e.Err }

// ReportedError is an error that the engine sent in the stream. The request ran,
// at least in part.
type ReportedError struct{ Raw []byte }

func (e *ReportedError) Error() string { return fmt.Sprintf("engine error in stream: %.200s", e.Raw) }

// EventSizeError reports an event above the size limit.
type EventSizeError struct{ Limit int }

func (e *EventSizeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// Response is a running response. Next must be called by one goroutine at a
// time. Stop, Cancel and Close may be called at any time by any goroutine: Stop
// asks the engine to end the stream and leaves the rest to Next, Cancel also
// waits for the end, and Close does not.
type Response struct {
	exchange    *roundtrip.Exchange
	idleTimeout time.Duration
	decoder     *decoder

	exchangeMu sync.Mutex // held while the HTTP exchange is in use
	closed     bool
	closeOnce  sync.Once
}

func newResponse(exchange *roundtrip.Exchange, o options) *Response {
	return &Response{exchange: exchange, idleTimeout: o.idleTimeout, decoder: newDecoder(exchange, o.maxEventSize)}
}

// Next returns the next event, or io.EOF after "[DONE]". It reads from the
// engine only when it has no decoded event left, and at most 3 KiB ahead: the
// buffers of the decoder (1 KiB) and of the connection (2 KiB). Other errors:
// *IncompleteError, *FormatError, *ReportedError, and *ClosedError after Close.
func (r *Response) Next() (Event, error) {
	r.exchangeMu.Lock()
	defer r.exchangeMu.Unlock()
	if r.closed {
		return nil, &ClosedError{}
	}
	if len(r.decoder.pending) == 0 {
		if err := r.exchange.SetReadDeadline(time.Now().Add(r.idleTimeout)); err != nil {
			return nil, &IncompleteError{err}
		}
	}
	return r.decoder.next()
}

// ClosedError reports a call of Next after Close.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "response is closed" }

// Cancel asks the engine to end the stream, as Stop does, waits for at most
// timeout until the engine has ended it, and closes the response. It reports
// whether the engine has ended the stream; only then are its slot and tokens
// free. An agent that admits the next request earlier may exceed the engine's
// capacity.
func (r *Response) Cancel(timeout time.Duration) bool {
	defer r.Close()
	timer := time.AfterFunc(timeout, r.exchange.Interrupt)
	defer timer.Stop()
	// If the connection is closed already, Drain reports which side closed it.
	_ = r.exchange.CloseWrite()
	r.exchangeMu.Lock()
	defer r.exchangeMu.Unlock()
	return !r.closed && r.exchange.Drain()
}

// Stop asks the engine to end the stream by closing the connection for writing.
// Next continues to return what the engine sends until it ends the stream.
func (r *Response) Stop() {
	// If the connection is closed already, Next returns the error.
	_ = r.exchange.CloseWrite()
}

// Close cancels the engine's stream by closing its connection. It interrupts a
// call of Next in another goroutine.
func (r *Response) Close() {
	r.closeOnce.Do(func() {
		r.exchange.Interrupt()
		r.exchangeMu.Lock()
		defer r.exchangeMu.Unlock()
		r.closed = true
		r.exchange.Close()
	})
}

// decoder reads chat completion chunks from an event stream (HTML standard,
// section 9.2). Of the event fields it uses only "data"; an engine reports an
// error as a chunk with the JSON field "error".
type decoder struct {
	reader       *bufio.Reader
	maxEventSize int
	pending      []Event
	tokens       int64 // completion tokens so far, if the chunks have a usage
	err          error
}

func newDecoder(r io.Reader, maxEventSize int) *decoder {
	return &decoder{reader: bufio.NewReaderSize(r, 1<<10), maxEventSize: maxEventSize}
}

func (d *decoder) next() (Event, error) {
	for {
		if len(d.pending) > 0 {
			e := d.pending[0]
			d.pending = d.pending[1:]
			return e, nil
		}
		if d.err != nil {
			return nil, d.err
		}
		data, err := d.readData()
		if err != nil {
			d.err = err
			continue
		}
		d.pending, d.err = d.decode(data)
	}
}

// readData returns the data of the next event.
func (d *decoder) readData() ([]byte, error) {
	var data []byte
	hasData := false
	size := 0
	for {
		line, err := d.readLine(&size)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			size = 0
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) != "data" { // comments, event names, ids
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		hasData = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
}

// readLine returns the next line without its line ending. It adds the bytes read
// to size, the size of the event.
func (d *decoder) readLine(size *int) ([]byte, error) {
	var line []byte
	for {
		part, err := d.reader.ReadSlice('\n')
		if *size += len(part); *size > d.maxEventSize {
			return nil, &FormatError{Data: bytes.Clone(part[:min(len(part), 80)]), Err: &EventSizeError{d.maxEventSize}}
		}
		line = append(line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, &IncompleteError{err}
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")), nil
	}
}

type chunk struct {
	Choices []struct {
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason *string                    `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          *struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// decode returns the events of one chunk.
func (d *decoder) decode(data []byte) ([]Event, error) {
	if string(data) == "[DONE]" {
		return nil, io.EOF
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, &FormatError{Data: data[:min(len(data), 80)], Err: err}
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return nil, &ReportedError{Raw: data}
	}
	if len(c.Choices) == 0 {
		if c.Usage == nil {
			return nil, nil
		}
		u := Usage{PromptTokens: c.Usage.PromptTokens, CompletionTokens: c.Usage.CompletionTokens, Raw: data}
		if c.Usage.Details != nil {
			u.CachedTokens = c.Usage.Details.CachedTokens
		}
		return []Event{u}, nil
	}
	delta := Delta{Raw: data}
	events := []Event{nil}
	for _, choice := range c.Choices {
		if hasContent(choice.Delta) {
			delta.Tokens++
		}
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			events = append(events, Finished{Reason: *choice.FinishReason})
		}
	}
	if c.Usage != nil {
		delta.Tokens = int(max(0, c.Usage.CompletionTokens-d.tokens))
		delta.PromptTokens = c.Usage.PromptTokens
		d.tokens = max(d.tokens, c.Usage.CompletionTokens)
	}
	events[0] = delta
	return events, nil
}

func hasContent(delta map[string]json.RawMessage) bool {
	for name, value := range delta {
		if name != "role" && string(value) != "null" && string(value) != `""` && string(value) != "[]" {
			return true
		}
	}
	return false
}
