// Program control measures what a daemon spends on control, at rest and under
// load, with a growing number of real daemons on loopback, and extrapolates
// each figure to the design size. It prints tables and, as its last line, one
// JSON object.
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
	stopTimeout  = 30 * time.Second // for all processes together
	roundTimeout = 5 * time.Minute  // for one number of daemons
)

// options of a run.
type options struct {
	bin, out       string
	daemons        []int
	engines        int
	repeats        int
	phaseDuration  time.Duration // of each measured phase
	requestRate    float64       // members' requests a second through each daemon
	shortTokens    int           // tokens of a short answer
	longTokens     int           // tokens of a long answer
	targetDaemons  int           // daemons to extrapolate to
	phases         []string      // what is measured
	listedServices int           // further upstreams on the lists, which get no work
}

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measures what control costs each daemon",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "`directory` of the programs"},
			&cli.StringFlag{Name: "out", Value: "out/control", Usage: "`directory` for the programs' output"},
			&cli.StringFlag{Name: "daemons", Value: "4,8,16,32", Usage: "`numbers` of daemons, separated by commas"},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "engines in front of which they stand"},
			&cli.IntFlag{Name: "repeats", Value: 2, Usage: "runs of each number of daemons"},
			&cli.DurationFlag{Name: "phase", Value: 10 * time.Second, Usage: "length of each measured phase"},
			&cli.FloatFlag{Name: "rate", Value: 12.7, Usage: "members' requests a second through each daemon"},
			&cli.IntFlag{Name: "short", Value: 8, Usage: "tokens of a short answer"},
			&cli.IntFlag{Name: "long", Value: 64, Usage: "tokens of a long answer"},
			&cli.IntFlag{Name: "target", Value: 370, Usage: "daemons to extrapolate to"},
			&cli.StringFlag{Name: "phases", Value: "rest,changes,short,long,events", Usage: "`names` of what is measured"},
			&cli.IntFlag{Name: "listed", Usage: "further plain services on the usage list and the host list, without work"},
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

func parseDaemonCounts(list string) ([]int, error) {
	var out []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 {
			return nil, api.Errorf(api.CodeInvalid, "daemons: %q; allowed: numbers from 2 on", s)
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
		return fmt.Errorf("encode the report: %w", err)
	}
	fmt.Println(string(line))
	return nil
}

// runRound measures one number of daemons once.
func runRound(ctx context.Context, o options, n, repeat int, r *report) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	runner, err := proc.NewRunner(o.bin, filepath.Join(o.out, fmt.Sprintf("%d-%d", n, repeat)))
	if err != nil {
		return err
	}
	defer runner.KillAll()
	f, err := startDeployment(ctx, runner, n, o)
	if err != nil {
		return err
	}
	if err := measure(ctx, o, f, r); err != nil {
		return err
	}
	stopping, stop := context.WithTimeout(ctx, stopTimeout)
	defer stop()
	return runner.StopAll(stopping)
}

// sleep waits. Errors: ctx.Err().
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
