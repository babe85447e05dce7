package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// request is what a client sends.
type request struct {
	id, method, path, key string
	header                []string // further lines
	body                  string
	timeout               time.Duration
}

// answer is what a client got. status is 0 if no complete answer arrived.
type answer struct {
	request     request
	gateway     string
	sent, ended time.Time
	status      int
	closes      bool // whether the gateway closes the channel after the answer
	header      http.Header
	body        string
	err         error
}

// send sends a request on a new connection and waits for its answer.
func (w *world) send(gateway string, address netip.AddrPort, r request) answer {
	a := answer{request: r, gateway: gateway, sent: time.Now()}
	c, err := net.DialTimeout("tcp", address.String(), time.Second)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer func() { _ = c.Close() }()
	return w.sendOn(c, bufio.NewReader(c), gateway, r)
}

// sendOn sends a request on an open connection and waits for its answer.
func (w *world) sendOn(c net.Conn, reader *bufio.Reader, gateway string, r request) answer {
	a := answer{request: r, gateway: gateway, sent: time.Now()}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.id, r.timeout.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", r.key)
	}
	for _, line := range r.header {
		b.WriteString(line + "\r\n")
	}
	if r.body != "" || r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	w.record("%s %s %s sent to %s", r.id, r.method, r.path, gateway)
	_ = c.SetDeadline(a.sent.Add(r.timeout + time.Second))
	if _, a.err = io.WriteString(c, b.String()); a.err == nil {
		var res *http.Response
		if res, a.err = http.ReadResponse(reader, &http.Request{Method: r.method}); a.err == nil {
			var body []byte
			body, a.err = io.ReadAll(res.Body)
			a.body, a.header, a.closes = string(body), res.Header, res.Close
			if a.err == nil {
				a.status = res.StatusCode
			}
		}
	}
	a.ended = time.Now()
	w.record("%s got %d from %s after %d ms (signature %q)", r.id, a.status, gateway, a.ended.Sub(a.sent).Milliseconds(), a.header.Get("Server-Signature"))
	return a
}
