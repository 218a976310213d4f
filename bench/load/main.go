// Command load runs an experiment. It starts real daemons and stand-in engines
// on loopback, sends an open-loop load from a seeded schedule for each policy and
// variant in turn, and reports trainer idle time, sample staleness, head-of-line
// blocking and tail latency: as tables on standard output, and as JSON, a
// Markdown report and plots in files.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dotterelmount.example/lib/program"
	"github.com/urfave/cli/v3"
)

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "runs an experiment and reports the measurements",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "experiment", Required: true, Usage: "YAML `file`"},
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "`directory` of the programs"},
			&cli.StringFlag{Name: "out", Value: "out/load", Usage: "`directory` for the report and the programs' output"},
			&cli.Uint64Flag{Name: "seed", Usage: "overrides the experiment's seed"},
			&cli.StringSliceFlag{Name: "policy", Usage: "overrides the experiment's policies; may be repeated"},
			&cli.IntFlag{Name: "repeats", Usage: "overrides the experiment's repeats"},
			&cli.DurationFlag{Name: "duration", Usage: "overrides the experiment's duration"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, err := LoadExperiment(c.String("experiment"))
			if err != nil {
				return err
			}
			if c.IsSet("seed") {
				e.Seed = c.Uint64("seed")
			}
			if c.IsSet("policy") {
				e.Policies = c.StringSlice("policy")
			}
			if c.IsSet("repeats") {
				e.Repeats = c.Int("repeats")
			}
			if c.IsSet("duration") {
				e.Duration = c.Duration("duration")
			}
			return run(ctx, e, c.String("bin"), filepath.Join(c.String("out"), e.Name))
		},
	}
}

// run runs all phases in turn. The policies alternate within each repeat, so that
// other load on the machine affects them equally.
func run(ctx context.Context, e *Experiment, bin, out string) error {
	s := &Summary{
		Experiment: e.Name, Seed: e.Seed, Repeats: e.Repeats, Started: time.Now(), Machine: machineDescription(),
		LoadBefore: loadAverage(), Capacity: e.Capacity(),
	}
	for i := range e.Variants {
		s.Variants = append(s.Variants, VariantRate{Variant: e.Variants[i].Name, Rate: e.Rate(&e.Variants[i])})
	}
	for repeat := 1; repeat <= e.Repeats; repeat++ {
		for i := range e.Variants {
			for _, policy := range e.Policies {
				p := &phase{experiment: e, variant: &e.Variants[i], policy: policy, repeat: repeat}
				fmt.Fprintln(os.Stderr, "phase", p.name())
				r, err := runPhase(ctx, p, bin, out)
				if err != nil {
					return fmt.Errorf("phase %s: %w", p.name(), err)
				}
				s.addPhase(r)
			}
		}
	}
	s.computeResults(e)
	return s.write(out, os.Stdout)
}
