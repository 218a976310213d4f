// Command control measures the resources that daemons use for coordination, idle
// and under load, with an increasing number of real daemons on loopback, and
// extrapolates each figure to a target number of daemons. It prints tables and, as
// its last line, one JSON object.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/lib/program"
	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/proc"
)

const (
	stopTimeout  = 30 * time.Second // for all processes of a round
	roundTimeout = 5 * time.Minute
)

// options are the options of a run.
type options struct {
	bin, out       string
	daemons        []int // numbers of daemons, each measured in its own rounds
	engines        int
	repeats        int           // rounds for each number of daemons
	phaseDuration  time.Duration // of each measured phase
	requestRate    float64       // members' requests per second through each daemon
	shortTokens    int           // of a short response
	longTokens     int           // of a long response
	targetDaemons  int           // daemons to extrapolate to
	phases         []string      // names of the phases to measure
	listedServices int           // additional upstreams on the lists, which get no work
}

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measures the cost of coordination per daemon",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "`directory` of the programs"},
			&cli.StringFlag{Name: "out", Value: "out/control", Usage: "`directory` for the programs' output"},
			&cli.StringFlag{Name: "daemons", Value: "4,8,16,32", Usage: "`numbers` of daemons, separated by commas"},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "`number` of engines"},
			&cli.IntFlag{Name: "repeats", Value: 2, Usage: "rounds for each number of daemons"},
			&cli.DurationFlag{Name: "phase", Value: 10 * time.Second, Usage: "length of each measured phase"},
			&cli.FloatFlag{Name: "rate", Value: 12.7, Usage: "members' requests per second through each daemon"},
			&cli.IntFlag{Name: "short", Value: 8, Usage: "tokens of a short response"},
			&cli.IntFlag{Name: "long", Value: 64, Usage: "tokens of a long response"},
			&cli.IntFlag{Name: "target", Value: 370, Usage: "number of daemons to extrapolate to"},
			&cli.StringFlag{Name: "phases", Value: "rest,changes,short,long,events", Usage: "`names` of the phases to measure, separated by commas"},
			&cli.IntFlag{Name: "listed", Usage: "additional plain services on the usage list and the host list, which get no work"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o := options{
				bin: c.String("bin"), out: c.String("out"), engines: c.Int("engines"), repeats: c.Int("repeats"),
				phaseDuration: c.Duration("phase"), requestRate: c.Float("rate"), shortTokens: c.Int("short"), longTokens: c.Int("long"),
				targetDaemons: c.Int("target"), phases: strings.Split(c.String("phases"), ","), listedServices: c.Int("listed"),
			}
			var err error
			if o.daemons, err = parseDaemonCounts(c.String("daemons")); err != nil {
				return err
			}
			return run(ctx, o)
		},
	}
}

// parseDaemonCounts parses a comma-separated list of numbers. Errors: CodeInvalid.
func parseDaemonCounts(list string) ([]int, error) {
	var out []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 {
			return nil, api.Errorf(api.CodeInvalid, "daemons: %q; allowed: numbers of at least 2", s)
		}
		out = append(out, n)
	}
	return out, nil
}

func run(ctx context.Context, o options) error {
	r := &report{TargetDaemons: o.targetDaemons}
	for repeat := range o.repeats {
		for _, n := range o.daemons {
			if err := runRound(ctx, o, n, repeat, r); err != nil {
				return fmt.Errorf("%d daemons: %w", n, err)
			}
		}
	}
	r.fitFigures()
	r.print(os.Stdout)
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	fmt.Println(string(line))
	return nil
}

// runRound starts a deployment with n daemons and measures it once.
func runRound(ctx context.Context, o options, n, repeat int, r *report) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	runner, err := proc.NewRunner(o.bin, filepath.Join(o.out, fmt.Sprintf("%d-%d", n, repeat)))
	if err != nil {
		return err
	}
	defer runner.KillAll()
	d, err := startDeployment(ctx, runner, n, o)
	if err != nil {
		return err
	}
	if err := measure(ctx, o, d, r); err != nil {
		return err
	}
	stopCtx, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()
	return runner.StopAll(stopCtx)
}

// sleep waits for d. Errors: ctx.Err().
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
