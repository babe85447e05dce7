package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"

	"briarreach/loadreplay"
)

const replayUsage = `Replays load patterns in simulated time with a model of the engines, under the
placement policy and, for comparison, under other policies. A pattern is
given by name (by default all patterns run) or, with --file, as a recorded load
with one JSON object per line. The models first and second are two deployments
with uneven replicas; --replicas scales a model with its load and gateways.

--policies chooses what is compared: placement is the product beside baselines,
waiting is where requests wait, and refusal is which requests are refused and
when their callers return. --set adds the product with other
placement settings. With several seeds, the table has the means over the seeds.

Examples:
   briarreach replay
   briarreach replay --pattern overload --seed 2
   briarreach replay --model second --pattern long_burst --seeds 20 --json
   briarreach replay --model second --replicas 12 --set prefill_rate=81900+late_factor=0.9
   briarreach replay --policies waiting --slots 6 --seeds 20
   briarreach replay --file load.jsonl`

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay load patterns against placement decisions", Description: replayUsage,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pattern", Usage: "`NAME` of a generated pattern; can be repeated", Value: loadreplay.PatternNames},
			&cli.StringFlag{Name: "file", Usage: "`FILE` with a recorded load, which replaces the generated patterns"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model: default, first or second", Value: "default"},
			&cli.IntFlag{Name: "replicas", Usage: "`NUMBER` of replicas, 1 to 250; the load is scaled with it; 0 is the model's"},
			&cli.IntFlag{Name: "gateways", Usage: "`NUMBER` of gateways, 1 to 330; 0 is the model's"},
			&cli.IntFlag{Name: "slots", Usage: "`NUMBER` of slots of a replica, 1 to 1024; 0 is the model's"},
			&cli.StringFlag{Name: "policies", Usage: "`SET` of policies: placement, waiting or refusal", Value: "placement"},
			&cli.StringSliceFlag{Name: "set", Usage: "adds the product with another placement setting, `NAME=VALUE`; NAME=VALUE+NAME=VALUE sets several; can be repeated"},
			&cli.BoolFlag{Name: "learn", Usage: "lets all policies of package placement, except for the first one, estimate the speeds of replicas"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED` of the generated loads and of tie-breaking", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds, 1 to 1000", Value: 1},
			&cli.IntFlag{Name: "parallel", Usage: "`NUMBER` of replays at the same time, 1 to 64", Value: 2},
			&cli.BoolFlag{Name: "json", Usage: "write the results as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			batch, err := replayBatch(c)
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			summaries, err := batch.Run(ctx)
			if err != nil {
				return err
			}
			out := c.Root().Writer
			switch {
			case c.Bool("json"):
				return printJSON(out, summaries)
			case len(batch.Seeds) > 1:
				return loadreplay.WriteSummaries(out, summaries)
			default:
				var results []loadreplay.Result
				for _, s := range summaries {
					results = append(results, s.Results...)
				}
				return loadreplay.Write(out, results)
			}
		},
	}
}

// intFlag returns the value of a flag that must be within a range.
func intFlag(c *cli.Command, name string, low, high int) (int, error) {
	n := c.Int(name)
	if n < low || n > high {
		return n, fmt.Errorf("--%s %d: accepted is %d to %d", name, n, low, high)
	}
	return n, nil
}

func replayModel(c *cli.Command) (loadreplay.Model, error) {
	model, err := loadreplay.ModelByName(c.String("model"))
	replicas, err1 := intFlag(c, "replicas", 0, 250)
	gateways, err2 := intFlag(c, "gateways", 0, 330)
	slots, err3 := intFlag(c, "slots", 0, 1024)
	if err := errors.Join(err, err1, err2, err3); err != nil {
		return model, err
	}
	if replicas > 0 {
		model = model.Scaled(replicas)
	}
	model.Gateways = cmp.Or(gateways, model.Gateways)
	model.Engine.Slots = cmp.Or(slots, model.Engine.Slots)
	return model, nil
}

// replayBatch returns the replays that the flags ask for.
func replayBatch(c *cli.Command) (loadreplay.Batch, error) {
	batch := loadreplay.Batch{Patterns: c.StringSlice("pattern")}
	seeds, err1 := intFlag(c, "seeds", 1, 1000)
	parallel, err2 := intFlag(c, "parallel", 1, 64)
	model, err3 := replayModel(c)
	err := errors.Join(err1, err2, err3)
	if err != nil {
		return batch, err
	}
	batch.Model, batch.Parallel = model, parallel
	for i := range seeds {
		batch.Seeds = append(batch.Seeds, c.Uint64("seed")+uint64(i))
	}
	if batch.Policies, err = loadreplay.PolicySet(c.String("policies"), batch.Model); err != nil {
		return batch, err
	}
	for _, setting := range c.StringSlice("set") {
		variant, err := loadreplay.SettingVariant(setting)
		if err != nil {
			return batch, err
		}
		batch.Policies = append(batch.Policies, variant)
	}
	if c.Bool("learn") {
		for i := 1; i < len(batch.Policies); i++ {
			batch.Policies[i] = loadreplay.Learning(batch.Policies[i])
		}
	}
	for _, name := range batch.Patterns {
		if !slices.Contains(loadreplay.PatternNames, name) {
			return batch, &loadreplay.UnknownPatternError{Name: name}
		}
	}
	path := c.String("file")
	if path == "" {
		return batch, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return batch, err
	}
	defer func() { _ = f.Close() }()
	batch.Recorded, err = loadreplay.Read(filepath.Base(path), f)
	return batch, err
}
