// Command soak runs a whole deployment on loopback behind fault-injecting proxies.
// It injects faults by a seeded schedule while members, directors and operators use
// the deployment, and compares the responses they got with the journals of the
// stand-ins. The last line of its output is a JSON object. It exits with status 0
// only if every check passed and every kind of fault was injected.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/program"
	"github.com/urfave/cli/v3"

	"dotterelmount.example/bench/proc"
)

// After the duration of the load, extraTime is left for missing faults, the calm
// phase, the remaining steps of the trainers and the shutdown. If the soak still runs
// abandonDelay later, it is ended by force.
const (
	extraTime    = 150 * time.Second
	abandonDelay = 60 * time.Second
)

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "runs a whole deployment under a seeded schedule of faults and checks it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "`directory` of the programs"},
			&cli.StringFlag{Name: "out", Value: "out/soak", Usage: "`directory` for outputs and journals; emptied before"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`number` from which the schedule is generated"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "`duration` of the load"},
			&cli.BoolFlag{Name: "schedule", Usage: "only print the schedule"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := &soak{
				bin: c.String("bin"), out: c.String("out"),
				seed: c.Uint64("seed"), duration: c.Duration("duration"),
			}
			s.faultKinds = slices.Sorted(maps.Keys(faultDurations))
			if c.Bool("schedule") {
				printFaults(newSchedule(s.seed, s.duration, s.faultKinds))
				return nil
			}
			return s.run(ctx)
		},
	}
}

func printFaults(faults []fault) {
	for _, f := range faults {
		fmt.Println(f)
	}
}

// soak is one run of the command.
type soak struct {
	bin, out     string
	seed         uint64
	duration     time.Duration
	faultKinds   []kind
	result       Result
	part         atomic.Value // string: the current part
	timedOutPart atomic.Value // string: the part that was current when the time was up
}

// run runs the soak and prints its result, even if a part of it fails.
func (s *soak) run(ctx context.Context) error {
	s.result.Seed = s.seed
	s.result.NotCovered = []string{"a cut between two single daemons: one link leads to each from all others"}
	// Journals of an earlier run must not be read as this run's.
	if err := os.RemoveAll(s.out); err != nil {
		return fmt.Errorf("output directory: %w", err)
	}
	runner, err := proc.NewRunner(s.bin, s.out)
	if err != nil {
		return err
	}
	defer runner.KillAll()
	ctx, cancel := context.WithTimeout(ctx, s.duration+extraTime)
	defer cancel()
	s.setPart("start")
	watchdog := time.AfterFunc(s.duration+extraTime+abandonDelay, func() { s.abandon(runner) })
	defer watchdog.Stop()
	stopOverdue := context.AfterFunc(ctx, func() { s.timedOutPart.Store(s.part.Load()) })
	if err := s.runParts(ctx, runner); err != nil {
		s.result.Errorf("%v", err)
	}
	if part, ok := s.timedOutPart.Load().(string); ok && !stopOverdue() {
		s.result.Unfinished = part
	}
	line, err := json.Marshal(&s.result)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	fmt.Println(string(line))
	return s.result.check()
}

// setPart records the current part of the run.
func (s *soak) setPart(part string) { s.part.Store(part) }

// abandon kills the child processes and exits if a part of the run does not end.
func (s *soak) abandon(runner *proc.Runner) {
	runner.KillAll()
	fmt.Fprintf(os.Stderr, "soak: part %q did not end in time\n", s.part.Load())
	fmt.Printf("{\"seed\":%d,\"unfinished\":%q}\n", s.seed, s.part.Load())
	os.Exit(program.StatusFailed)
}
