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

const explainUsage = `Prints what the logs say of one request: the lines that name it (marked *), and
what the processes that served it learned, lost or regained from a margin before
it until its end. Logs of several processes may be given in any order; without
files, standard input is read. The exit code is 1 if no line names the request.

Examples:
   briarreach explain 9c41d07be2a35f68 gateway-*.log
   journalctl -u 'briarreach-*' -o cat | briarreach explain 9c41d07be2a35f68 --margin 5s`

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print one request's story from logs", Description: explainUsage, ArgsUsage: "ID [FILE ...]",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "margin", Usage: "time before the request", Value: 3 * time.Second},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON array"},
		},
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
