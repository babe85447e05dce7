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

// pollInterval is the interval at which a waiting command polls the entry.
const pollInterval = 200 * time.Millisecond

// apiFlags are the flags of all commands that call an entry.
func apiFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "`URL` of an entry's operator address", Sources: cli.EnvVars("BRIARREACH_ENTRY"), Required: true},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key", Sources: cli.EnvVars("BRIARREACH_KEY_FILE"), Required: true},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, extra...)
}

// patchFlags are the flags of commands that submit a patch.
func patchFlags(extra ...cli.Flag) []cli.Flag {
	return apiFlags(append([]cli.Flag{
		&cli.Uint64Flag{Name: "base", Usage: "configuration number that the patch is based on; 0 means the current one"},
		&cli.StringFlag{Name: "id", Usage: "id of the patch; pass the same id to retry a patch whose outcome is unknown"},
		&cli.DurationFlag{Name: "wait", Usage: "how long to wait until the change is in force; 0 does not wait", Value: 10 * time.Second},
	}, extra...)...)
}

func apiClient(c *cli.Command) (*operator.Client, error) {
	key, err := os.ReadFile(c.String("key-file"))
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	return operator.NewClient(strings.TrimSuffix(c.String("entry"), "/"), strings.TrimSpace(string(key))), nil
}

// fetchDocument returns the current configuration from the entry that the flags
// name.
func fetchDocument(ctx context.Context, c *cli.Command) (*config.Document, error) {
	client, err := apiClient(c)
	if err != nil {
		return nil, err
	}
	return client.Config(ctx)
}

// submitOperations sends operations as one patch and waits until it is in force.
func submitOperations(ctx context.Context, c *cli.Command, operations ...config.Operation) error {
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
		var apiErr *operator.Error
		var transportErr *operator.TransportError
		if errors.As(err, &transportErr) || errors.As(err, &apiErr) && apiErr.Type == operator.Ambiguous {
			return fmt.Errorf("patch %s: the outcome is unknown, retry with --id %s: %w", p.ID, p.ID, err)
		}
		return err
	}
	if !c.Bool("json") {
		fmt.Fprintf(c.Root().Writer, "accepted as number %d (patch %s)\n", accepted.ConfigNumber, accepted.PatchID)
	}
	inForce := false
	if wait := c.Duration("wait"); wait > 0 {
		if err := awaitInForce(ctx, c, client, accepted.ConfigNumber, wait); err != nil {
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

// awaitInForce waits until all daemons have applied the configuration number, and
// prints those that have not.
func awaitInForce(ctx context.Context, c *cli.Command, client *operator.Client, number uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	printed := ""
	for {
		status, err := client.Status(ctx)
		var behind []string
		if err == nil {
			for _, d := range status.Daemons {
				if d.ConfigNumber < number {
					behind = append(behind, d.Process)
				}
			}
			if len(behind) == 0 {
				printProgress(c, "in force at all %d daemons\n", len(status.Daemons))
				return nil
			}
		}
		if text := strings.Join(behind, ", "); text != printed && text != "" {
			printProgress(c, "waiting for %s\n", text)
			printed = text
		}
		select {
		case <-ctx.Done():
			return &TimeoutError{Awaited: fmt.Sprintf("configuration number %d (not applied by: %s)", number, printed)}
		case <-time.After(pollInterval):
		}
	}
}

// printProgress prints progress for people; with --json it prints nothing.
func printProgress(c *cli.Command, format string, args ...any) {
	if !c.Bool("json") {
		fmt.Fprintf(c.Root().Writer, format, args...)
	}
}

// singleArgument returns a command's argument, of which there must be exactly one.
func singleArgument(c *cli.Command, description string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &UsageError{Reason: c.FullName() + " needs one argument: " + description}
	}
	return c.Args().First(), nil
}

// printRows prints the rows as a table or, with --json, the value as JSON.
func printRows(c *cli.Command, value any, header []any, rows []tableRow) error {
	return printRowsTo(c.Root().Writer, c.Bool("json"), value, header, rows)
}

func printRowsTo(w io.Writer, asJSON bool, value any, header []any, rows []tableRow) error {
	if asJSON {
		return printJSON(w, value)
	}
	t := newTable(w, header...)
	t.AppendRows(rows)
	t.Render()
	return nil
}
