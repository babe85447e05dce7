package main

import (
	"fmt"
	"net/http"
	"time"

	"briarreach/platform/standin"
)

func init() { cases["multipart"] = multipart }

const formBoundary = "----review7MA4YWxkTrZu0gW"

// formBody is a form with two fields and a file, as browsers send it.
func formBody(n int) string {
	field := func(name, value string) string {
		return "--" + formBoundary + "\r\nContent-Disposition: form-data; name=\"" + name + "\"\r\n\r\n" + value + "\r\n"
	}
	return field("slot", fmt.Sprintf("2026-12-05T%02d:00", n%24)) +
		"--" + formBoundary + "\r\nContent-Disposition: form-data; name=\"ticket\"; filename=\"t.txt\"\r\nContent-Type: text/plain\r\n\r\nparty of 4\r\n" +
		field("tower", "chania") + field("amount", "40") + "--" + formBoundary + "--\r\n"
}

// multipart sends bookings whose body is a form, as a browser's form upload.
func multipart(w *world, trouble bool) ([]string, error) {
	if err := w.putConfig(standin.Configuration(1, 64, standin.Workspace{Name: "acme", APIKey: "k1", TokenQuota: 1 << 30})); err != nil {
		return nil, err
	}
	r, err := w.addReplica("i-plain-1", "plain", 6, answering(30*time.Millisecond))
	if err != nil {
		return nil, err
	}
	g, err := w.addGateway(w.store.Address())
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	contentType := "application/octet-stream"
	if trouble {
		contentType = "multipart/form-data; boundary=" + formBoundary
	}
	sent := make(map[string]string)
	for n := range 20 {
		req := request{id: fmt.Sprintf("form-%d", n), method: http.MethodPost, path: "/book/slot", key: "k1", header: []string{"Content-Type: " + contentType}, body: formBody(n), timeout: 2500 * time.Millisecond}
		sent[req.id] = req.body
		w.send(g.name, g.callers, req)
	}
	var violations []string
	for _, e := range r.runs() {
		if e.body != sent[e.id] {
			w.record("%s was sent with body %q", e.id, sent[e.id])
			w.record("%s ran with body %q", e.id, e.body)
			violations = append(violations, fmt.Sprintf("UNASKED: %s ran with a changed body: %d bytes sent, %d bytes run", e.id, len(sent[e.id]), len(e.body)))
		}
	}
	if len(r.runs()) == 0 {
		return nil, fmt.Errorf("no request ran")
	}
	return violations, nil
}
