// Command replayplot plots the output of briarreach replay --json. It is a command of
// its own because the plotting library parses its fonts when a process starts, which
// each gateway process would pay for.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"briarreach/loadreplay"
)

func main() {
	app := &cli.Command{
		Name: "replayplot", Usage: "plot the output of briarreach replay --json, read from the standard input",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`DIR` for a file MODEL-SLOTS-PATTERN.svg for each model and pattern", Value: "."},
			&cli.StringFlag{Name: "format", Usage: "`FORMAT` of the files: svg, png or pdf", Value: "svg"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return plotAll(os.Stdin, c.String("out"), c.String("format"))
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "replayplot:", err)
		os.Exit(1)
	}
}

// plotAll reads summaries and writes a plot for each model and pattern.
func plotAll(in io.Reader, dir, format string) error {
	var summaries []loadreplay.Summary
	if err := json.NewDecoder(in).Decode(&summaries); err != nil {
		return fmt.Errorf("standard input: %w", err)
	}
	if len(summaries) == 0 {
		return errors.New("standard input has no results")
	}
	groups := make(map[string][]loadreplay.Summary)
	for _, s := range summaries {
		name := fmt.Sprintf("%s-%d-%s", s.Model, s.Slots, s.Pattern)
		groups[name] = append(groups[name], s)
	}
	for name, group := range groups {
		p, err := onTimePlot(name, group)
		if err != nil {
			return err
		}
		if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, name+"."+format)); err != nil {
			return err
		}
	}
	return nil
}

// onTimePlot plots the share on time of the requests of each second, with a line for
// each policy.
func onTimePlot(title string, group []loadreplay.Summary) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "second of arrival", "share on time, mean of the seeds"
	p.BackgroundColor = color.White
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.YPosition = 0
	var lines []any
	for _, s := range group {
		lines = append(lines, s.Policy, onTimeBySecond(s.Results))
	}
	return p, plotutil.AddLines(p, lines...)
}

// onTimeBySecond returns the mean over the replays.
func onTimeBySecond(results []loadreplay.Result) plotter.XYs {
	var points plotter.XYs
	for second := 0; ; second++ {
		sum, n := 0.0, 0
		for _, r := range results {
			if second < len(r.OnTimeBySecond) {
				sum, n = sum+r.OnTimeBySecond[second], n+1
			}
		}
		if n == 0 {
			return points
		}
		points = append(points, plotter.XY{X: float64(second), Y: math.Min(sum/float64(n), 1)})
	}
}
