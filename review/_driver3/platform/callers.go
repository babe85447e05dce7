package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// A request is what a caller sends.
type request struct {
	method, path, key string
	timeout           time.Duration
	usage, prefix     string // Token-Usage and Prompt-Prefix; empty for none
	body              string
}

// An answer is what a caller got.
type answer struct {
	id         string
	status     int // 0 if there was no complete answer
	retryAfter string
	reason     string // of a refusal
	signed     bool
	events     int // whole events of a stream
	complete   bool
	took       time.Duration
	err        error
}

func (a answer) String() string {
	s := fmt.Sprintf("%s: status %d after %d ms", a.id, a.status, a.took.Milliseconds())
	if a.events > 0 {
		s += fmt.Sprintf(", %d events", a.events)
	}
	if a.reason != "" {
		s += ", " + a.reason
	}
	if a.retryAfter != "" {
		s += ", Retry-After " + a.retryAfter
	}
	if a.err != nil {
		s += ", " + a.err.Error()
	}
	return s
}

var attempts atomic.Int64

// send sends a request to a gateway on a new connection and reads the answer.
func (g *gateway) send(r request) (a answer) {
	a.id = fmt.Sprintf("%016x", 0xa000_0000_0000+attempts.Add(1))
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp", g.caller.String(), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(r.timeout))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nConnection: close\r\n",
		r.method, r.path, a.id, r.timeout.Milliseconds(), r.key)
	if r.usage != "" {
		head += "Model: m\r\nToken-Usage: " + r.usage + "\r\n"
	}
	if r.prefix != "" {
		head += "Prompt-Prefix: " + r.prefix + "\r\n"
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+r.body); err != nil {
		a.err = err
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	a.status, a.signed, a.retryAfter = res.StatusCode, res.Header.Get("Server-Signature") != "", res.Header.Get("Retry-After")
	a.complete, a.err = err == nil, err
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.events = bytes.Count(body, []byte("\n\n"))
	} else if !a.signed {
		a.reason = string(body)
	}
	return a
}
