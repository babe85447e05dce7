package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"briarreach/platform"
	"briarreach/quarantinestore"
)

const quarantineUsage = `Lists the requests and the parts of prompts that the gateways no longer send,
because they crash replicas, or releases one at all gateways. The part of a request
begins with request-. The store is read and written directly,
so that no gateway needs to run.

Examples:
   briarreach quarantine --platform /etc/briarreach/boot.conf
   briarreach quarantine --platform /etc/briarreach/boot.conf --release 5c1e07a291bd3f06`

// quarantineTimeout bounds the calls to the store.
const quarantineTimeout = 5 * time.Second

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list or release requests and prompt parts that crash replicas", Description: quarantineUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.StringFlag{Name: "release", Usage: "release the part with this `NAME`"},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON array"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := platform.LoadSettings(c.String("platform"))
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
			defer cancel()
			store := platform.NewStore(s.Store)
			if name := c.String("release"); name != "" {
				return quarantinestore.Release(ctx, store, name)
			}
			entries, err := quarantinestore.List(ctx, store)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c.Root().Writer, entries)
			}
			t := newTable(c.Root().Writer, "name", "service", "part", "crashes")
			for _, e := range entries {
				t.AppendRow(tableRow{e.Name, e.Service, e.Part, e.Crashes})
			}
			t.Render()
			return nil
		},
	}
}
