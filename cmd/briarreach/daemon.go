package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/urfave/cli/v3"

	"briarreach/agent"
	"briarreach/daemon"
	"briarreach/entry"
	"briarreach/settings"
)

// gcPercent trades processor time for memory: with the default of 100, the
// process holds as much garbage as live memory, most of it buffers of slow
// readers.
const gcPercent = 25

// shutdownTimeout bounds a graceful shutdown.
const shutdownTimeout = 10 * time.Minute

const entryUsage = `Runs an entry with the given settings until SIGTERM, then finishes the open
requests, writes their bills, returns the grants and exits.

Example:
   briarreach entry --settings examples/entry-1.toml`

const agentUsage = `Runs the agent beside a target with the given settings until SIGTERM, then
refuses new requests, finishes the running ones and exits.

Example:
   briarreach agent --settings examples/agent-engine-1.toml`

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "settings `FILE` in TOML", Required: true}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry", Description: entryUsage,
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, logger, err := loadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			if s.Entry == nil {
				return &UsageError{Reason: "the settings have no table [entry]"}
			}
			e, err := entry.New(s, daemon.WithLog(logger))
			if err != nil {
				return err
			}
			return runUntilSignal(ctx, e.Close)
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "run the agent beside a target", Description: agentUsage,
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, logger, err := loadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			if s.Agent == nil {
				return &UsageError{Reason: "the settings have no table [agent]"}
			}
			a, err := agent.New(s, daemon.WithLog(logger))
			if err != nil {
				return err
			}
			return runUntilSignal(ctx, a.Close)
		},
	}
}

// runUntilSignal sets the garbage collector's percentage, waits until ctx ends on
// a signal, and then shuts the process down gracefully.
func runUntilSignal(ctx context.Context, closeProcess func(context.Context) error) error {
	debug.SetGCPercent(gcPercent)
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return closeProcess(closeCtx)
}

func loadSettings(path string) (*settings.Settings, log.Interface, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, nil, &UsageError{Reason: err.Error()}
	}
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, nil, &UsageError{Reason: err.Error()}
	}
	logger := &log.Logger{Level: level, Handler: json.New(os.Stderr)}
	if s.Log.Format == "logfmt" {
		logger.Handler = logfmt.New(os.Stderr)
	}
	return s, logger, nil
}

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name: "check-config", Usage: "check a settings file",
		Description: "Reads a settings file and reports every error with file, line, key and the accepted range.\n\n" +
			"Example:\n   briarreach check-config --settings examples/entry-1.toml",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if _, _, err := loadSettings(c.String("settings")); err != nil {
				return err
			}
			_, err := c.Root().Writer.Write([]byte("settings are valid\n"))
			return err
		},
	}
}
