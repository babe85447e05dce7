package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"briarreach/loadreplay"
)

const replayUsage = `Replays load patterns in simulated time with a model of the engines, under the
placement policy and, for comparison, under baseline policies. A pattern is
given by name (by default all patterns run) or, with --file, as a recorded load
with one JSON object per line. The models first and second are two deployments
with uneven replicas; --replicas scales a model with its load and gateways.

Examples:
   briarreach replay
   briarreach replay --pattern overload --seed 2
   briarreach replay --model second --pattern long_burst
   briarreach replay --file load.jsonl`

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay load patterns against placement decisions", Description: replayUsage,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pattern", Usage: "`NAME` of a generated pattern; can be repeated", Value: loadreplay.PatternNames},
			&cli.StringFlag{Name: "file", Usage: "`FILE` with a recorded load, which replaces the generated patterns"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model: default, first or second", Value: "default"},
			&cli.IntFlag{Name: "replicas", Usage: "`NUMBER` of replicas, 1 to 250; the load is scaled with it; 0 is the model's", Validator: inRange(0, 250)},
			&cli.IntFlag{Name: "gateways", Usage: "`NUMBER` of gateways, 1 to 330; 0 is the model's", Validator: inRange(0, 330)},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the generated loads and of tie-breaking", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			model, err := replayModel(c)
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			patterns, err := replayPatterns(c, model)
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			var results []loadreplay.Result
			for _, p := range patterns {
				for _, policy := range loadreplay.Policies() {
					results = append(results, loadreplay.Replay(p, policy, model.Engine, c.Uint64("seed"), loadreplay.WithGateways(model.Gateways)))
				}
			}
			return loadreplay.Write(c.Root().Writer, results)
		},
	}
}

// inRange returns a check of a flag's value.
func inRange(low, high int) func(int) error {
	return func(n int) error {
		if n < low || n > high {
			return fmt.Errorf("%d is not from %d to %d", n, low, high)
		}
		return nil
	}
}

func replayModel(c *cli.Command) (loadreplay.Model, error) {
	model, err := loadreplay.ModelByName(c.String("model"))
	if err != nil {
		return model, err
	}
	if n := c.Int("replicas"); n > 0 {
		model = model.Scaled(n)
	}
	if n := c.Int("gateways"); n > 0 {
		model.Gateways = n
	}
	return model, nil
}

func replayPatterns(c *cli.Command, model loadreplay.Model) ([]*loadreplay.Pattern, error) {
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
		p, err := model.Generate(name, c.Uint64("seed"))
		if err != nil {
			return nil, err
		}
		patterns = append(patterns, p)
	}
	return patterns, nil
}
