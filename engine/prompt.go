package engine

import (
	"bytes"
	"encoding/json"
)

// PromptText returns the text of a chat completions body whose block hashes an
// engine reports in its cache events: for each message its role, a line feed, its
// content and a line feed. If the content is a list of parts, only their text is
// included. The prefix hashes of an entry are of another text, the JSON of the
// messages, so they do not match those of cache events.
func PromptText(body []byte) ([]byte, error) {
	var request struct {
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, &BodyError{err}
	}
	var text bytes.Buffer
	for _, m := range request.Messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		if err := writeContent(&text, m.Content); err != nil {
			return nil, &BodyError{err}
		}
		text.WriteByte('\n')
	}
	return text.Bytes(), nil
}

func writeContent(text *bytes.Buffer, content json.RawMessage) error {
	if len(content) == 0 || content[0] != '[' {
		var s *string
		if len(content) > 0 {
			if err := json.Unmarshal(content, &s); err != nil {
				return err
			}
		}
		if s != nil {
			text.WriteString(*s)
		}
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(content, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		text.WriteString(p.Text)
	}
	return nil
}
