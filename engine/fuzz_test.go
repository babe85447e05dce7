package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"testing"
	"testing/iotest"
)

// FuzzDecoder guards against a stream that makes the decoder panic, return a
// chunk that is not JSON, end cleanly without "[DONE]", exceed the event size,
// or depend on how the bytes are split between reads.
func FuzzDecoder(f *testing.F) {
	for _, seed := range []string{
		"data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\" a\"},\"finish_reason\":null}]}\n\n" +
			"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" +
			"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2,\"prompt_tokens_details\":null}}\n\ndata: [DONE]\n\n",
		"data: {\"choices\":[{\"delta\":{\"content\":\"ab\"}}],\"usage\":{\"completion_tokens\":2}}\r\n\r\n",
		": comment\n\nevent: x\nid: 1\ndata: {\"error\":{\"message\":\"m\"}}\n\n",
		"data: {\"choices\":\ndata: []}\n\ndata:[DONE]\n\n",
		"data: null\n\n", "data\n\n", "data: {\"choices\":[null]}\n\n", "\n\n\n", "data: [DONE]",
	} {
		f.Add([]byte(seed))
	}
	const maxEvent = 512
	f.Fuzz(func(t *testing.T, data []byte) {
		decode := func(r io.Reader) (events []Event, err error) {
			d := newDecoder(r, maxEvent)
			for err == nil {
				var e Event
				if e, err = d.next(); err == nil {
					events = append(events, e)
				}
			}
			if _, again := d.next(); !errors.Is(again, err) {
				t.Fatalf("error %v, then %v", err, again)
			}
			return events, err
		}
		events, err := decode(bytes.NewReader(data))
		if errors.Is(err, io.EOF) && !bytes.Contains(data, []byte("[DONE]")) {
			t.Fatal("clean end without [DONE]")
		}
		for _, e := range events {
			if delta, ok := e.(Delta); ok && (!json.Valid(delta.Raw) || len(delta.Raw) > maxEvent || delta.Tokens < 0) {
				t.Fatalf("delta %q with %d tokens", delta.Raw, delta.Tokens)
			}
		}
		slow, slowErr := decode(iotest.OneByteReader(bytes.NewReader(data)))
		if !reflect.DeepEqual(events, slow) || (err == nil) != (slowErr == nil) || errors.Is(err, io.EOF) != errors.Is(slowErr, io.EOF) {
			t.Fatalf("%v, %v byte by byte: %v, %v", events, err, slow, slowErr)
		}
	})
}

// FuzzStreamingBody guards against a caller's body that disables streaming or
// usage, and against the loss of a field.
func FuzzStreamingBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":false}`, `{"stream_options":null}`,
		`{"stream_options":{"include_usage":false,"x":1}}`, `{"stream_options":[]}`, `null`, `[]`, `{`, `{"stream":true,"stream":false}`,
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, body []byte, priority int) {
		out, err := streamingBody(Request{Body: body, Priority: priority})
		var malformed *BodyError
		if err != nil {
			if !errors.As(err, &malformed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		var got struct {
			Stream        bool `json:"stream"`
			StreamOptions struct {
				IncludeUsage bool `json:"include_usage"`
			} `json:"stream_options"`
		}
		if err := json.Unmarshal(out, &got); err != nil || !got.Stream || !got.StreamOptions.IncludeUsage {
			t.Fatalf("%s: %v", out, err)
		}
		var before, after map[string]json.RawMessage
		if json.Unmarshal(body, &before) != nil || json.Unmarshal(out, &after) != nil {
			t.Fatalf("%s became %s", body, out)
		}
		for name := range before {
			if _, ok := after[name]; !ok {
				t.Fatalf("%s lost %q", out, name)
			}
		}
		_, _ = PromptText(body)
	})
}
