package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"briarreach/fleet"
	"briarreach/operator"
)

const demoUsage = `Runs two entries, three agents and stand-ins of the platform and of targets in
one process, sends chat requests and bookings, and prints what was served, what
was billed and what is left of the budget.

Examples:
   briarreach demo
   briarreach demo --requests 200 --json`

const demoTimeout = 20 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run a small fleet with stand-ins",
		Description: demoUsage,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "requests", Usage: "chat requests to send, 1 to 10000", Value: 40},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.BoolFlag{Name: "verbose", Usage: "log to standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			requests := c.Int("requests")
			if requests < 1 || requests > 10_000 {
				return &UsageError{Reason: "--requests must be from 1 to 10000"}
			}
			logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.FatalLevel}
			if c.Bool("verbose") {
				logger.Level = log.InfoLevel
			}
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			result, err := runDemo(ctx, requests, logger)
			if err != nil {
				return err
			}
			if err := result.print(c.Root().Writer, c.Bool("json")); err != nil {
				return err
			}
			return result.checkBills()
		},
	}
}

// demoResult is the output of the demonstration. PromptTokens, CompletionTokens
// and BookingRuns are counted by the targets; the bills must add up to TargetCost,
// the cost of these.
type demoResult struct {
	Chats            int             `json:"chats"`
	Streamed         int             `json:"streamed"`
	Bookings         int             `json:"bookings"`
	BookingRuns      int             `json:"booking_runs"`
	PromptTokens     int64           `json:"prompt_tokens"`
	CompletionTokens int64           `json:"completion_tokens"`
	TargetCost       int64           `json:"target_cost"`
	Budget           operator.Budget `json:"budget"`
	Milliseconds     int64           `json:"milliseconds"`
}

// BillMismatchError reports that the bills differ from the cost of what the
// targets ran.
type BillMismatchError struct{ Billed, Expected int64 }

func (e *BillMismatchError) Error() string {
	return fmt.Sprintf("billed %d budget tokens, but what the targets ran costs %d", e.Billed, e.Expected)
}

func (r *demoResult) checkBills() error {
	if r.Budget.Settled != r.TargetCost {
		return &BillMismatchError{Billed: r.Budget.Settled, Expected: r.TargetCost}
	}
	return nil
}

func (r *demoResult) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	table := newTable(w, "what", "value")
	table.AppendRows([]tableRow{
		{"chat requests served", r.Chats},
		{"  of these streamed", r.Streamed},
		{"bookings answered (each key sent twice)", r.Bookings},
		{"bookings that ran", r.BookingRuns},
		{"prompt tokens at the engines", r.PromptTokens},
		{"completion tokens at the engines", r.CompletionTokens},
		{"cost of what the targets ran", r.TargetCost},
		{"billed", r.Budget.Settled},
		{"prepaid", r.Budget.Prepaid},
		{"left", r.Budget.Prepaid - r.Budget.Settled},
		{"milliseconds", r.Milliseconds},
	})
	table.Render()
	return nil
}

func runDemo(ctx context.Context, requests int, logger log.Interface) (*demoResult, error) {
	started := time.Now()
	f, err := fleet.New(ctx, fleet.WithSize(2, 2, 1), fleet.WithPrepaid(10_000_000), fleet.WithLog(logger))
	if err != nil {
		return nil, err
	}
	result := &demoResult{}
	err = result.sendRequests(ctx, f, requests)
	if err == nil {
		err = result.awaitBills(ctx, f)
	}
	err = errors.Join(err, f.Close(ctx))
	result.Milliseconds = time.Since(started).Milliseconds()
	return result, err
}

// sendRequests sends the requests to the entries in turn. Each booking is sent
// twice with the same idempotency key and must run once.
func (r *demoResult) sendRequests(ctx context.Context, f *fleet.Fleet, requests int) error {
	for i := range requests {
		base := "http://" + f.Entries[i%len(f.Entries)].CallerAddr().String()
		stream := i%2 == 0
		body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":64,"messages":[{"role":"user","content":"Draft tour %d of the tower."}]}`,
			fleet.Model, stream, i)
		answer, err := postJSON(ctx, base+"/v1/chat/completions", f.CallerKey, "", body)
		if err != nil {
			return err
		}
		if stream {
			if !strings.HasSuffix(answer, "data: [DONE]\n\n") {
				return io.ErrUnexpectedEOF
			}
			r.Streamed++
		}
		r.Chats++
	}
	for i := range max(1, requests/10) {
		key := ulid.Make().String()
		for range 2 {
			base := "http://" + f.Entries[i%len(f.Entries)].CallerAddr().String()
			if _, err := postJSON(ctx, base+"/v1/services/"+fleet.Service+"/bookings", f.CallerKey, key, `{"slot":"10:30"}`); err != nil {
				return err
			}
			r.Bookings++
		}
	}
	return nil
}

func postJSON(ctx context.Context, url, key, idempotencyKey, body string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return "", &StatusError{Status: response.StatusCode, Body: string(answer)}
	}
	return string(answer), nil
}

// StatusError reports a response with an error status.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// awaitBills waits until the bills of all requests are durable.
func (r *demoResult) awaitBills(ctx context.Context, f *fleet.Fleet) error {
	r.countRuns(f)
	for {
		budgets, err := f.Operator().Budgets(ctx)
		if err != nil {
			return err
		}
		for _, b := range budgets {
			if b.Name == fleet.Budget {
				r.Budget = b
			}
		}
		if r.Budget.Settled >= r.TargetCost {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (r *demoResult) countRuns(f *fleet.Fleet) {
	for _, e := range f.Engines {
		for _, run := range e.Runs() {
			r.PromptTokens += run.PromptTokens
			r.CompletionTokens += run.GeneratedTokens
		}
	}
	for _, s := range f.Services {
		r.BookingRuns += len(s.Runs())
	}
	r.TargetCost = r.PromptTokens + r.CompletionTokens + 5*int64(r.BookingRuns)
}
