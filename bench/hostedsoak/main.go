// Command hostedsoak runs hosted daemons as processes of their own against the
// stand-in of the users' platform, brings faults about by a seeded schedule
// while members and trainers use them, and compares what these were told with
// what the servers saw. Its last line is one JSON object; its exit status is 0
// only where all was right and every kind of fault was brought about.
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
			&cli.StringFlag{Name: "out", Value: "out/hostedsoak", Usage: "`directory` for outputs; emptied before"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`number` that makes the schedule"},
			&cli.DurationFlag{Name: "duration", Value: 40 * time.Second, Usage: "`duration` of the faults"},
			&cli.BoolFlag{Name: "schedule", Usage: "only print the schedule"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			faults := newSchedule(c.Uint64("seed"), c.Duration("duration"))
			if c.Bool("schedule") {
				for _, f := range faults {
					fmt.Println(f)
				}
				return nil
			}
			return run(ctx, c.String("bin"), c.String("out"), c.Uint64("seed"), faults)
		},
	}
}

// run plays a schedule and prints the result, also when a part of it failed.
func run(ctx context.Context, bin, out string, seed uint64, faults []fault) error {
	if err := os.RemoveAll(out); err != nil {
		return fmt.Errorf("output directory: %w", err)
	}
	runner, err := proc.NewRunner(bin, out)
	if err != nil {
		return err
	}
	defer runner.KillAll()
	r := newResult(seed)
	if err := runParts(ctx, runner, r, faults); err != nil {
		r.Errorf("%v", err)
	}
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	fmt.Println(string(line))
	return r.check()
}
