package agent

import (
	"encoding/json"
	"fmt"
)

// modelBody is the body of a chat completions request. It keeps all fields, so
// that those which the agent does not know reach the engine unchanged.
type modelBody struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	includeUsage bool
}

func parseModelBody(data []byte) (*modelBody, error) {
	b := &modelBody{}
	if err := json.Unmarshal(data, &b.fields); err != nil {
		return nil, fmt.Errorf("agent.parseModelBody: %w", err)
	}
	var known struct {
		Model         string `json:"model"`
		Stream        bool   `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	if err := json.Unmarshal(data, &known); err != nil {
		return nil, fmt.Errorf("agent.parseModelBody: %w", err)
	}
	b.model, b.stream, b.includeUsage = known.Model, known.Stream, known.StreamOptions.IncludeUsage
	return b, nil
}

// withMaxTokens returns the body with max_tokens set to the reserved number of
// tokens.
func (b *modelBody) withMaxTokens(maxTokens int64) []byte {
	delete(b.fields, "max_completion_tokens")
	b.fields["max_tokens"] = json.RawMessage(fmt.Sprint(maxTokens))
	out, err := json.Marshal(b.fields)
	if err != nil {
		// The fields were parsed from JSON, so that encoding can't fail.
		panic(err)
	}
	return out
}

func (b *modelBody) renderer(requestID string) renderer {
	if b.stream {
		return sseRenderer{includeUsage: b.includeUsage}
	}
	return &jsonRenderer{requestID: requestID, model: b.model}
}
