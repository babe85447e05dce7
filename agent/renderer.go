package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"briarreach/engine"
	"briarreach/peer"
)

// renderer converts the events of an engine to the bytes of the answer. It is a
// sseRenderer or a jsonRenderer.
type renderer interface {
	contentType() string
	// delta returns the bytes for one event of generated text.
	delta(d engine.Delta) ([]byte, error)
	// end returns the bytes that end a complete answer.
	end(u peer.Usage) ([]byte, error)
}

// sseRenderer forwards the engine's chunks as server-sent events.
type sseRenderer struct{ includeUsage bool }

func (sseRenderer) contentType() string { return "text/event-stream" }

func (sseRenderer) delta(d engine.Delta) ([]byte, error) {
	out := make([]byte, 0, len(d.Raw)+8)
	out = append(out, "data: "...)
	out = append(out, d.Raw...)
	return append(out, "\n\n"...), nil
}

func (r sseRenderer) end(u peer.Usage) ([]byte, error) {
	var out []byte
	if r.includeUsage {
		out = fmt.Appendf(out, `data: {"object":"chat.completion.chunk","choices":[],"usage":%s}`+"\n\n", usageJSON(u))
	}
	return append(out, "data: [DONE]\n\n"...), nil
}

// jsonRenderer writes one chat.completion object incrementally, so that the
// agent does not buffer the whole answer.
type jsonRenderer struct {
	requestID    string
	model        string
	opened       bool
	finishReason string
}

func (*jsonRenderer) contentType() string { return "application/json" }

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (r *jsonRenderer) delta(d engine.Delta) ([]byte, error) {
	var c chunk
	if err := json.Unmarshal(d.Raw, &c); err != nil {
		return nil, fmt.Errorf("agent.jsonRenderer: %w", err)
	}
	out := r.open()
	if len(c.Choices) == 0 {
		return out, nil
	}
	if c.Choices[0].FinishReason != nil {
		r.finishReason = *c.Choices[0].FinishReason
	}
	text, err := json.Marshal(c.Choices[0].Delta.Content)
	if err != nil {
		return nil, fmt.Errorf("agent.jsonRenderer: %w", err)
	}
	return append(out, text[1:len(text)-1]...), nil
}

func (r *jsonRenderer) open() []byte {
	if r.opened {
		return nil
	}
	r.opened = true
	return fmt.Appendf(nil, `{"id":%s,"object":"chat.completion","model":%s,"choices":[{"index":0,"message":{"role":"assistant","content":"`,
		strconv.Quote("chatcmpl-"+r.requestID), quote(r.model))
}

func (r *jsonRenderer) end(u peer.Usage) ([]byte, error) {
	out := r.open()
	reason := r.finishReason
	if reason == "" {
		reason = "stop"
	}
	return fmt.Appendf(out, `"},"finish_reason":%s}],"usage":%s}`, quote(reason), usageJSON(u)), nil
}

func quote(s string) []byte {
	out, err := json.Marshal(s)
	if err != nil {
		return []byte(`""`)
	}
	return bytes.TrimSpace(out)
}

func usageJSON(u peer.Usage) string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		u.PromptTokens, u.CompletionTokens, u.PromptTokens+u.CompletionTokens)
}
