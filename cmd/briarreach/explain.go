package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"briarreach/story"
)

const explainUsage = `Prints the log lines about one request: those with its id (marked *), and what
the processes that served it logged about configuration changes, outages and
recoveries, from a margin before the request until its end. Logs of several
processes can be given in any order; without files, standard input is read. The
exit code is 1 if no line has the request's id.

Examples:
   briarreach explain 9c41d07be2a35f68 gateway-*.log
   journalctl -u 'briarreach-*' -o cat | briarreach explain 9c41d07be2a35f68 --margin 5s`

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the log lines about one request", Description: explainUsage, ArgsUsage: "ID [FILE ...]",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "margin", Usage: "how long before the request to start", Value: 3 * time.Second},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON array"},
		},
		Commands: []*cli.Command{explainPlacementCommand()},
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return &UsageError{Reason: "the request's id is missing"}
			}
			var readers []io.Reader
			for _, path := range c.Args().Tail() {
				file, err := os.Open(path)
				if err != nil {
					return &UsageError{Reason: err.Error()}
				}
				defer func() { _ = file.Close() }()
				readers = append(readers, file)
			}
			if len(readers) == 0 {
				readers = append(readers, os.Stdin)
			}
			lines, err := story.Find(io.MultiReader(readers...), id, c.Duration("margin"))
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(lines)
			}
			return story.Write(c.Root().Writer, lines)
		},
	}
}
