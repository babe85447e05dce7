package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"briarreach/config"
	"briarreach/operator"
)

// pollInterval is how often a command that waits asks the entry.
const pollInterval = 200 * time.Millisecond

// apiFlags are the flags of all commands that call an entry.
func apiFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "`URL` of an entry's operator address", Sources: cli.EnvVars("BRIARREACH_ENTRY"), Required: true},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key", Sources: cli.EnvVars("BRIARREACH_KEY_FILE"), Required: true},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, more...)
}

// patchFlags are the flags of commands that submit a patch.
func patchFlags(more ...cli.Flag) []cli.Flag {
	return apiFlags(append([]cli.Flag{
		&cli.Uint64Flag{Name: "base", Usage: "number that the patch is made against; 0 takes the current one"},
		&cli.StringFlag{Name: "id", Usage: "id of the patch; give it again to repeat a patch whose outcome is unknown"},
		&cli.DurationFlag{Name: "wait", Usage: "how long to wait until the change is in force; 0 does not wait", Value: 10 * time.Second},
	}, more...)...)
}

func apiClient(c *cli.Command) (*operator.Client, error) {
	key, err := os.ReadFile(c.String("key-file"))
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	return operator.NewClient(strings.TrimSuffix(c.String("entry"), "/"), strings.TrimSpace(string(key))), nil
}

// document returns the current configuration of the entry that the flags name.
func document(ctx context.Context, c *cli.Command) (*config.Document, error) {
	client, err := apiClient(c)
	if err != nil {
		return nil, err
	}
	return client.Config(ctx)
}

// submit sends operations as one patch and waits until it is in force.
func submit(ctx context.Context, c *cli.Command, operations ...config.Operation) error {
	client, err := apiClient(c)
	if err != nil {
		return err
	}
	p := config.Patch{ID: c.String("id"), Base: c.Uint64("base"), Operations: operations}
	return submitPatch(ctx, c, client, p)
}

func submitPatch(ctx context.Context, c *cli.Command, client *operator.Client, p config.Patch) error {
	if p.ID == "" {
		p.ID = ulid.Make().String()
	}
	if p.Base == 0 {
		document, err := client.Config(ctx)
		if err != nil {
			return err
		}
		p.Base = document.Number
	}
	accepted, err := client.Patch(ctx, p)
	if err != nil {
		var fault *operator.Error
		var transport *operator.TransportError
		if errors.As(err, &transport) || errors.As(err, &fault) && fault.Type == operator.Ambiguous {
			return fmt.Errorf("patch %s: the outcome is unknown, repeat it with --id %s: %w", p.ID, p.ID, err)
		}
		return err
	}
	if !c.Bool("json") {
		fmt.Fprintf(c.Root().Writer, "accepted as number %d (patch %s)\n", accepted.ConfigNumber, accepted.PatchID)
	}
	inForce := false
	if wait := c.Duration("wait"); wait > 0 {
		if err := waitInForce(ctx, c, client, accepted.ConfigNumber, wait); err != nil {
			return err
		}
		inForce = true
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, struct {
			operator.PatchResponse
			InForce bool `json:"in_force"`
		}{accepted, inForce})
	}
	return nil
}

// waitInForce shows which daemons lack the number until none does.
func waitInForce(ctx context.Context, c *cli.Command, client *operator.Client, number uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	shown := ""
	for {
		status, err := client.Status(ctx)
		var lacking []string
		if err == nil {
			for _, d := range status.Daemons {
				if d.ConfigNumber < number {
					lacking = append(lacking, d.Process)
				}
			}
			if len(lacking) == 0 {
				progress(c, "in force at all %d daemons\n", len(status.Daemons))
				return nil
			}
		}
		if text := strings.Join(lacking, ", "); text != shown && text != "" {
			progress(c, "waiting for %s\n", text)
			shown = text
		}
		select {
		case <-ctx.Done():
			return &TimeoutError{Awaited: fmt.Sprintf("number %d (lacking: %s)", number, shown)}
		case <-time.After(pollInterval):
		}
	}
}

// progress tells people what is awaited; with --json it prints nothing.
func progress(c *cli.Command, format string, args ...any) {
	if !c.Bool("json") {
		fmt.Fprintf(c.Root().Writer, format, args...)
	}
}

// argument returns the only argument of a command.
func argument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &UsageError{Reason: c.FullName() + " needs one argument: " + what}
	}
	return c.Args().First(), nil
}

// printRows prints a table or, with --json, the value itself.
func printRows(c *cli.Command, value any, header []any, rows []rowOf) error {
	return printRowsTo(c.Root().Writer, c.Bool("json"), value, header, rows)
}

func printRowsTo(w io.Writer, asJSON bool, value any, header []any, rows []rowOf) error {
	if asJSON {
		return printJSON(w, value)
	}
	t := newTable(w, header...)
	t.AppendRows(rows)
	t.Render()
	return nil
}
