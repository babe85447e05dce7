package main

import (
	"context"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"briarreach/config"
	"briarreach/operator"
)

const configUsage = `Examples:
   briarreach config get --json
   briarreach config patch patch.json
   briarreach config history --after 12
   briarreach config status`

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "read and change the numbered configuration", Description: configUsage,
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the current document", Flags: apiFlags(), Action: configGet},
			{Name: "patch", Usage: "submit a patch from a JSON file", ArgsUsage: "FILE", Flags: patchFlags(), Action: configPatch},
			{Name: "history", Usage: "print accepted patches", Flags: apiFlags(
				&cli.Uint64Flag{Name: "after", Usage: "print the patches after this configuration number"},
				&cli.IntFlag{Name: "limit", Usage: "maximum number of patches", Value: 50}), Action: configHistory},
			{Name: "status", Usage: "print which daemons have applied the current configuration number", Flags: apiFlags(), Action: configStatus},
		},
	}
}

func configGet(ctx context.Context, c *cli.Command) error {
	d, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	rows := []tableRow{{"number", d.Number}}
	for name, w := range d.Workspaces {
		rows = append(rows, tableRow{"workspace", name + " priority " + itoa(w.Priority)})
	}
	for name, m := range d.Models {
		rows = append(rows, tableRow{"model", name + " version " + m.Version})
	}
	for name, s := range d.Services {
		rows = append(rows, tableRow{"service", name + " version " + s.Version})
	}
	for name, t := range d.Targets {
		rows = append(rows, tableRow{"target", name + " version " + t.Version + " agent " + t.AgentAddr.String()})
	}
	for name, m := range d.Moves {
		rows = append(rows, tableRow{"move", name + " " + string(m.State)})
	}
	return printRows(c, d, []any{"kind", "value"}, rows)
}

func configPatch(ctx context.Context, c *cli.Command) error {
	file, err := singleArgument(c, "the file with the patch")
	if err != nil {
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	p, err := config.DecodePatch(data)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	client, err := apiClient(c)
	if err != nil {
		return err
	}
	if id := c.String("id"); id != "" {
		p.ID = id
	}
	if base := c.Uint64("base"); base != 0 {
		p.Base = base
	}
	return submitPatch(ctx, c, client, p)
}

func configHistory(ctx context.Context, c *cli.Command) error {
	client, err := apiClient(c)
	if err != nil {
		return err
	}
	changes, err := client.History(ctx, c.Uint64("after"), c.Int("limit"))
	if err != nil {
		return err
	}
	var rows []tableRow
	for _, change := range changes {
		var names []string
		for _, op := range change.Patch.Operations {
			names = append(names, config.OperationName(op))
		}
		rows = append(rows, tableRow{change.ConfigNumber, change.Patch.ID, strings.Join(names, " ")})
	}
	return printRows(c, changes, []any{"number", "patch", "operations"}, rows)
}

func configStatus(ctx context.Context, c *cli.Command) error {
	client, err := apiClient(c)
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if !c.Bool("json") {
		printProgress(c, "number %d, in force: %t\n", status.ConfigNumber, status.InForce)
	}
	return printRows(c, status, []any{"process", "role", "number", "error"}, statusRows(status))
}

func statusRows(status operator.Status) []tableRow {
	var rows []tableRow
	for _, d := range status.Daemons {
		rows = append(rows, tableRow{d.Process, d.Role, d.ConfigNumber, d.Error})
	}
	return rows
}
