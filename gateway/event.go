package gateway

import (
	"bytes"
	"strconv"
)

// InvalidEventError reports bytes in a stream that are no event of it.
type InvalidEventError struct{ Problem string }

func (e *InvalidEventError) Error() string { return "invalid event in a stream: " + e.Problem }

// eventOrder checks the events of a stream, also where another replica resumes it. A
// faulty replica may write an error into the stream, at times with its HTTP
// header, or begin anew.
type eventOrder struct {
	lastID string // of the last event that has one
}

// check returns an error if an event can't be the next one of the stream. After an
// event with an ID each one has a greater ID, but for blocks of comments.
func (o *eventOrder) check(event []byte) error {
	id, onlyComments := "", true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		onlyComments = false
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isEventField(name) {
			return &InvalidEventError{Problem: "a line that is no field"}
		}
		if string(name) == "id" {
			id = string(bytes.TrimSpace(value))
		}
	}
	switch {
	case onlyComments:
		return nil
	case id == "" && o.lastID != "":
		return &InvalidEventError{Problem: "no ID after an event with one"}
	case id != "" && o.lastID != "" && !isLaterID(id, o.lastID):
		return &InvalidEventError{Problem: "the ID does not rise"}
	case id != "":
		o.lastID = id
	}
	return nil
}

// isEventField reports whether a name can be that of an event's field.
func isEventField(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return len(name) > 0
}

// isLaterID reports whether an event ID can follow another one. IDs that are not
// numbers only have to differ.
func isLaterID(id, earlier string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, errEarlier := strconv.ParseUint(earlier, 10, 64)
	if err != nil || errEarlier != nil {
		return id != earlier
	}
	return n > m
}
