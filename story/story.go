// Package story finds what the logs of a fleet say of one request: the lines
// that name it, and what the processes that served it learned, lost or regained
// around that time.
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
	ContextOnly bool           `json:"around,omitempty"` // does not name the request
}

// Process returns the process that wrote the line.
func (l Line) Process() string {
	name, _ := l.Fields["process"].(string)
	return name
}

// NotFoundError reports a request that no line names.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string { return "no line names the request " + e.Request }

const (
	requestMessage = "request"
	requestField   = "request"
	tookField      = "took_ms"
	maxLine        = 1 << 20
)

// Find reads log lines from r, of any processes in any order, and returns those
// about a request in the order of their times. Lines of other kinds that the
// same processes wrote from margin before it until its end are included. Text
// before the first brace of a line, and lines that are no JSON, are ignored.
func Find(r io.Reader, request string, margin time.Duration) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
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
		if l.Message != requestMessage && around(l, found, margin) {
			l.ContextOnly = true
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found, nil
}

func around(l Line, of []Line, margin time.Duration) bool {
	for _, m := range of {
		took, _ := m.Fields[tookField].(float64)
		start := m.Time.Add(-time.Duration(took)*time.Millisecond - margin)
		if !m.ContextOnly && l.Process() == m.Process() && !l.Time.Before(start) && !l.Time.After(m.Time) {
			return true
		}
	}
	return false
}

// Write prints lines for people.
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
