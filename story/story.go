// Package story extracts the log lines about one request from the logs of a
// fleet: the lines with its identifier and, as context, what the processes that
// served it logged around that time, such as configuration changes and outages.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is a log line of a process.
type Line struct {
	Time        time.Time      `json:"timestamp"`
	Level       string         `json:"level"`
	Message     string         `json:"message"`
	Fields      map[string]any `json:"fields"`
	ContextOnly bool           `json:"around,omitempty"` // logged around the request, without its identifier
}

// Process returns the process that wrote the line.
func (l Line) Process() string {
	name, _ := l.Fields["process"].(string)
	return name
}

// NotFoundError reports a request that no log line names.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string { return "no log line names the request " + e.Request }

const (
	requestMessage = "request"
	requestField   = "request"
	tookField      = "took_ms"
	maxLineBytes   = 1 << 20
)

// Request is what a log line says about a request that was to be placed.
type Request struct {
	Route        string   `json:"route"`
	Workspace    string   `json:"workspace"`
	Service      string   `json:"service"`
	PromptTokens int      `json:"prompt_tokens"`
	PartIDs      []string `json:"prompt_parts"`       // of the shared parts of the prompt
	PartTokens   []int    `json:"prompt_part_tokens"` // of the same; empty in lines of earlier versions
}

// NoRouteError reports a request whose log line names no route, as it was refused
// before, or the route has no name.
type NoRouteError struct{ Request string }

func (e *NoRouteError) Error() string {
	return "the log line of the request " + e.Request + " names no route"
}

// FindRequest reads log lines as Find does, and returns the request that they name. Of
// several lines of one id the last one counts.
func FindRequest(r io.Reader, request string) (Request, error) {
	lines, err := Find(r, request, 0)
	if err != nil {
		return Request{}, err
	}
	for _, l := range slices.Backward(lines) {
		if l.Message != requestMessage || l.ContextOnly {
			continue
		}
		data, err := json.Marshal(l.Fields)
		if err != nil {
			return Request{}, fmt.Errorf("story.FindRequest: %w", err)
		}
		var found Request
		if err := json.Unmarshal(data, &found); err != nil {
			return Request{}, fmt.Errorf("story.FindRequest: %w", err)
		}
		if found.Route == "" {
			return Request{}, &NoRouteError{Request: request}
		}
		return found, nil
	}
	return Request{}, &NotFoundError{Request: request}
}

// Find reads the log lines of any processes from r, in any order, and returns
// those that name a request, sorted by time. As context it adds other lines of
// the same processes, from margin before the start of the request to its end,
// but no "request" lines. Text before the first brace of a line, and lines that
// are not JSON, are ignored.
func Find(r io.Reader, request string, margin time.Duration) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		i := bytes.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(text[i:], &l) == nil {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("story.Find: %w", err)
	}
	var found []Line
	for _, l := range lines {
		if l.Fields[requestField] == request {
			found = append(found, l)
		}
	}
	if len(found) == 0 {
		return nil, &NotFoundError{Request: request}
	}
	for _, l := range lines {
		if l.Message != requestMessage && inContext(l, found, margin) {
			l.ContextOnly = true
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found, nil
}

// inContext reports whether a line was logged by the process of one of the
// request's lines, from margin before the request's start to its end.
func inContext(l Line, requestLines []Line, margin time.Duration) bool {
	for _, m := range requestLines {
		took, _ := m.Fields[tookField].(float64)
		start := m.Time.Add(-time.Duration(took)*time.Millisecond - margin)
		if !m.ContextOnly && l.Process() == m.Process() && !l.Time.Before(start) && !l.Time.After(m.Time) {
			return true
		}
	}
	return false
}

// Write prints lines in a readable form; * marks those that name the request.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		mark := "*"
		if l.ContextOnly {
			mark = " "
		}
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			if name != "process" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var fields []string
		for _, name := range names {
			value, err := json.Marshal(l.Fields[name])
			if err != nil {
				return fmt.Errorf("story.Write: %w", err)
			}
			fields = append(fields, name+"="+string(value))
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s: %s\n", mark, l.Time.Format("15:04:05.000"), l.Process(), l.Message, strings.Join(fields, " ")); err != nil {
			return fmt.Errorf("story.Write: %w", err)
		}
	}
	return nil
}
