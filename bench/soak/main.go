// Command soak runs a whole deployment on loopback behind a fault-injecting
// proxy, brings faults about by a seeded schedule while members, directors and
// operators use it, and compares what they were told with the journals of the
// stand-ins. Its last line is one JSON object; its exit status is 0 only where
// all was right and every kind of fault was brought about.
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

// Beyond the duration of the load, the soak has so much time for the faults to
// be tried again, the calm, the trainers' rest and the end. What still waits
// after hardExtra more is abandoned.
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
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`number` that makes the schedule"},
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

// soak is one run.
type soak struct {
	bin, out     string
	seed         uint64
	duration     time.Duration
	faultKinds   []kind
	result       Result
	part         atomic.Value // string: what is under way
	timedOutPart atomic.Value // string: the part that the time limit ended
}

// run plays the soak and prints its result, also when a part of it failed.
func (s *soak) run(ctx context.Context) error {
	s.result.Seed = s.seed
	s.result.NotCovered = []string{"a cut between two single daemons: one link leads to each from all others"}
	// Journals of an earlier run must not be taken for those of this one.
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
	stopNote := context.AfterFunc(ctx, func() { s.timedOutPart.Store(s.part.Load()) })
	if err := s.runParts(ctx, runner); err != nil {
		s.result.Errorf("%v", err)
	}
	if part, ok := s.timedOutPart.Load().(string); ok && !stopNote() {
		s.result.Unfinished = part
	}
	line, err := json.Marshal(&s.result)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	fmt.Println(string(line))
	return s.result.check()
}

// setPart notes which part is under way.
func (s *soak) setPart(part string) { s.part.Store(part) }

// abandon ends the program and its children when a part does not end.
func (s *soak) abandon(runner *proc.Runner) {
	runner.KillAll()
	fmt.Fprintf(os.Stderr, "soak: %s did not end in time\n", s.part.Load())
	fmt.Printf("{\"seed\":%d,\"unfinished\":%q}\n", s.seed, s.part.Load())
	os.Exit(program.StatusFailed)
}
