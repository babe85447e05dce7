// Command briarreach runs the processes of the router fleet, and the commands
// for its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"briarreach/gateway"
	"briarreach/operator"
	"briarreach/platform"
	"briarreach/quarantinestore"
	"briarreach/rowstore"
)

// Exit codes, also in docs/operators.md.
const (
	exitFailed      = 1 // any other failure
	exitUsage       = 2 // wrong flags, settings or patch, or an unknown name
	exitConflict    = 3 // the configuration has changed since the patch's base number
	exitUnavailable = 4 // the entry or the platform can't be reached; a submitted patch may have been accepted
	exitUnknown     = 5 // the entry reports that a patch's outcome is unknown; retry with the same patch id
	exitForbidden   = 6 // the key is unknown or lacks the permission
	exitTimeout     = 7 // the time given by --wait ran out
)

func main() {
	// Before anything else, as a signal that is not expected ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.Command{
		Name:  "briarreach",
		Usage: "a router fleet for prepaid token budgets",
		Commands: []*cli.Command{
			demoCommand(), entryCommand(), agentCommand(), gatewayCommand(hangups), quarantineCommand(), explainCommand(), replayCommand(), standinCommand(),
			initCommand(), keysCommand(), checkConfigCommand(),
			configCommand(), workspaceCommand(), budgetCommand(), targetCommand(), moveCommand(), drainCommand(),
			timelineCommand(),
		},
		// Only a gateway expects SIGHUP.
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			if c.Args().First() != gatewayName {
				signal.Reset(syscall.SIGHUP)
			}
			return ctx, nil
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "briarreach:", err)
		stop()
		os.Exit(exitCode(err))
	}
}

// UsageError reports wrong arguments, flags or files of a command.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

// TimeoutError reports that a change was not in force, or a move not ended,
// within the time given by --wait.
type TimeoutError struct{ Awaited string }

func (e *TimeoutError) Error() string { return e.Awaited + " did not complete before the timeout" }

func exitCode(err error) int {
	var usageErr *UsageError
	var timeoutErr *TimeoutError
	var apiErr *operator.Error
	var transportErr *operator.TransportError
	var storeErr *rowstore.UnknownError
	var unknownEntryErr *quarantinestore.UnknownEntryError
	var placementErr *gateway.PlacementQueryError
	var explainErr *platform.ExplainUnavailableError
	switch {
	case errors.As(err, &usageErr), errors.As(err, &unknownEntryErr):
		return exitUsage
	case errors.As(err, &explainErr), errors.As(err, &placementErr) && placementErr.Missing == gateway.MissingConfiguration:
		return exitUnavailable
	case errors.As(err, &placementErr):
		return exitUsage
	case errors.As(err, &timeoutErr):
		return exitTimeout
	case errors.As(err, &transportErr), errors.As(err, &storeErr):
		return exitUnavailable
	case errors.As(err, &apiErr):
		return exitCodeForType(apiErr.Type)
	default:
		return exitFailed
	}
}

func exitCodeForType(kind operator.ErrorType) int {
	switch kind {
	case operator.Conflict:
		return exitConflict
	case operator.Invalid, operator.Malformed, operator.NotFound:
		return exitUsage
	case operator.Unavailable:
		return exitUnavailable
	case operator.Ambiguous:
		return exitUnknown
	case operator.Unauthorized, operator.Forbidden:
		return exitForbidden
	default:
		return exitFailed
	}
}
