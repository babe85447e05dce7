package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
)

// MaxKeyBytes is the longest idempotency key that is accepted.
const MaxKeyBytes = 255

// TemplateTokensPerMessage is what an engine's template may add to a message, an upper
// bound.
const TemplateTokensPerMessage = 8

// Envelope is what all requests have in common. Bearer is the caller's secret
// key. Key is the idempotency key; it was made by the server if Generated.
type Envelope struct {
	RequestID      string
	APIKey         string
	IdempotencyKey string
	KeyGenerated   bool
	Body           []byte
}

// Request is a request of a caller. It is one of *Chat and *Call.
type Request interface{ envelope() *Envelope }

// ChatRequest is a chat completions request. PromptTokens is an upper bound: a token
// is at least one byte of text. MaxTokens is 0 when the caller set none.
type ChatRequest struct {
	Envelope
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int64
	PromptTokens int64
	Prompt       []byte // the messages in JSON, for prefix affinity
}

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Envelope
	Service     string
	Method      string
	Path        string // with a leading slash, without the query
	ContentType string
}

func (c *ChatRequest) envelope() *Envelope    { return &c.Envelope }
func (c *ServiceRequest) envelope() *Envelope { return &c.Envelope }

// EnvelopeOf returns the common part of a request.
func EnvelopeOf(r Request) *Envelope { return r.envelope() }

type chatBody struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Tools               json.RawMessage   `json:"tools"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	N                   *int64            `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ParseChat reads the body of a chat completions request.
func ParseChat(envelope Envelope) (*ChatRequest, *Error) {
	var body chatBody
	if err := json.Unmarshal(envelope.Body, &body); err != nil {
		return nil, NewRefusal(http.StatusBadRequest, InvalidRequest, "body is not a chat completions request: %s", jsonFault(err))
	}
	if body.Model == "" {
		return nil, NewRefusal(http.StatusBadRequest, InvalidRequest, "model is missing")
	}
	if len(body.Messages) == 0 {
		return nil, NewRefusal(http.StatusBadRequest, InvalidRequest, "messages is empty")
	}
	if body.N != nil && *body.N != 1 {
		return nil, NewRefusal(http.StatusBadRequest, InvalidRequest, "n must be 1")
	}
	chat := &ChatRequest{Envelope: envelope, Model: body.Model, Stream: body.Stream, IncludeUsage: body.StreamOptions.IncludeUsage}
	for _, limit := range []*int64{body.MaxTokens, body.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return nil, NewRefusal(http.StatusBadRequest, InvalidRequest, "max_tokens must be at least 1")
		}
		chat.MaxTokens = *limit
	}
	chat.Prompt = bytes.Join(rawMessages(body.Messages), nil)
	chat.PromptTokens = int64(len(chat.Prompt)+len(body.Tools)) + TemplateTokensPerMessage*int64(len(body.Messages))
	return chat, nil
}

func rawMessages(messages []json.RawMessage) [][]byte {
	out := make([][]byte, len(messages))
	for i, m := range messages {
		out[i] = m
	}
	return out
}

// jsonFault describes a JSON error without repeating the body.
func jsonFault(err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Error()
	case errors.As(err, &kind):
		return kind.Field + " has the wrong type " + kind.Value
	default:
		return "malformed JSON"
	}
}
