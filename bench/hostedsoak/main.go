// Command hostedsoak runs hosted daemons as separate processes against the
// stand-in of the users' platform, injects faults by a seeded schedule while
// members and trainers send load, and compares the responses with what the
// servers executed. The last line of its output is one JSON object. The exit
// status is 0 only if all checks passed and every kind of fault was injected.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/program"
	"github.com/urfave/cli/v3"
)

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "hostedsoak",
		Usage: "runs hosted daemons on a stand-in of the platform under a seeded schedule of faults and checks them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "`directory` of the programs"},
			&cli.StringFlag{Name: "out", Value: "out/hostedsoak", Usage: "`directory` for outputs; its previous content is deleted"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`number` that seeds the schedule"},
			&cli.DurationFlag{Name: "duration", Value: 40 * time.Second, Usage: "`duration` of the fault schedule"},
			&cli.BoolFlag{Name: "same-build", Usage: "all daemons are of this build: routes of jobs are moved and added, and some jobs are of one weight version"},
			&cli.StringFlag{Name: "previous", Usage: "`directory` of an earlier build's dotterelmountd: all daemons begin with it and are replaced one after the other"},
			&cli.BoolFlag{Name: "back", Usage: "with --previous: the daemons begin with this build and go back to the earlier one"},
			&cli.BoolFlag{Name: "schedule", Usage: "print the schedule and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			faults := newSchedule(c.Uint64("seed"), c.Duration("duration"))
			if c.Bool("schedule") {
				for _, f := range faults {
					fmt.Println(f)
				}
				return nil
			}
			b, err := newBuilds(c.Bool("same-build"), c.String("previous"), c.Bool("back"))
			if err != nil {
				return err
			}
			return run(ctx, c.String("bin"), c.String("out"), c.Uint64("seed"), faults, b)
		},
	}
}

// run runs a schedule and prints the result, even if a part of the run failed.
func run(ctx context.Context, bin, out string, seed uint64, faults []fault, b builds) error {
	if err := os.RemoveAll(out); err != nil {
		return fmt.Errorf("output directory: %w", err)
	}
	runner, err := proc.NewRunner(bin, out)
	if err != nil {
		return err
	}
	defer runner.KillAll()
	r := newResult(seed)
	if err := runParts(ctx, runner, r, faults, b); err != nil {
		r.Errorf("%v", err)
	}
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	fmt.Println(string(line))
	return r.check()
}
