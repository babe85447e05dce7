package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"briarreach/loadreplay"
)

const replayUsage = `Replays load patterns in simulated time with a model of the engines, under the
placement policy and, for comparison, under baseline policies. A pattern is
given by name (by default all patterns run) or, with --file, as a recorded load
with one JSON object per line.

Examples:
   briarreach replay
   briarreach replay --pattern overload --seed 2
   briarreach replay --file load.jsonl`

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay load patterns against placement decisions", Description: replayUsage,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pattern", Usage: "`NAME` of a generated pattern; can be repeated", Value: loadreplay.PatternNames},
			&cli.StringFlag{Name: "file", Usage: "`FILE` with a recorded load, which replaces the generated patterns"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the generated loads and of tie-breaking", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			patterns, err := replayPatterns(c)
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			var results []loadreplay.Result
			for _, p := range patterns {
				for _, policy := range loadreplay.Policies() {
					results = append(results, loadreplay.Replay(p, policy, loadreplay.DefaultEngineModel(), c.Uint64("seed")))
				}
			}
			return loadreplay.Write(c.Root().Writer, results)
		},
	}
}

func replayPatterns(c *cli.Command) ([]*loadreplay.Pattern, error) {
	if path := c.String("file"); path != "" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		p, err := loadreplay.Read(filepath.Base(path), f)
		return []*loadreplay.Pattern{p}, err
	}
	var patterns []*loadreplay.Pattern
	for _, name := range c.StringSlice("pattern") {
		p, err := loadreplay.Generate(name, c.Uint64("seed"))
		if err != nil {
			return nil, err
		}
		patterns = append(patterns, p)
	}
	return patterns, nil
}
