// Program trainer is a stand-in for a trainer. It submits steps, pulls their
// samples from several daemons, and checks that each one is delivered exactly once.
// Its state is in a file, so that a run continues after the process was killed.
package main

import (
	"context"
	"encoding/json"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/program"
	"github.com/urfave/cli/v3"
)

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "trainer",
		Usage: "drive training steps and print a summary of the deliveries as one JSON line",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "daemons", Required: true, Usage: "addresses of the daemons, host:port"},
			&cli.StringFlag{Name: "trainer", Required: true, Usage: "name of the trainer"},
			&cli.StringFlag{Name: "customer", Required: true},
			&cli.StringFlag{Name: "model", Required: true},
			&cli.StringFlag{Name: "file", Required: true, Usage: "journal of the trainer; created if missing"},
			&cli.IntFlag{Name: "steps", Value: 1},
			&cli.IntFlag{Name: "ahead", Value: 2, Usage: "maximum number of open steps"},
			&cli.IntFlag{Name: "groups", Value: 4, Usage: "groups per step"},
			&cli.IntFlag{Name: "samples", Value: 4, Usage: "samples per group"},
			&cli.IntFlag{Name: "max-tokens", Value: 32, Usage: "maximum length of a sample"},
			&cli.IntFlag{Name: "max-groups", Usage: "maximum number of groups in one response; 0: the daemon's default"},
			&cli.Uint64Flag{Name: "bound", Value: 1, Usage: "staleness bound of the customer's plan, in versions"},
			&cli.Uint64Flag{Name: "known", Usage: "weight version in force at the start, if the trainer knows it"},
			&cli.DurationFlag{Name: "wait", Value: 500 * time.Millisecond, Usage: "how long a pull waits for samples"},
			&cli.DurationFlag{Name: "timeout", Value: 3 * time.Second, Usage: "timeout of a call, in addition to the wait of a pull"},
			&cli.DurationFlag{Name: "deadline", Value: time.Minute, Usage: "timeout of the run"},
			&cli.DurationFlag{Name: "train", Usage: "training time per group"},
			&cli.BoolFlag{Name: "verify", Usage: "check each sample's text against its prompt"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	j, err := openJournal(c.String("file"))
	if err != nil {
		return err
	}
	defer j.close()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("deadline"))
	defer cancel()
	t := newTrainer(configOf(c), j)
	runErr := t.drive(ctx)
	if err := json.NewEncoder(c.Root().Writer).Encode(t.report()); err != nil {
		return api.Errorf(api.CodeInternal, "report: %w", err)
	}
	if runErr != nil {
		return runErr
	}
	return t.report().verdict()
}

func configOf(c *cli.Command) config {
	return config{
		daemons: c.StringSlice("daemons"), trainer: c.String("trainer"), customer: c.String("customer"),
		model: c.String("model"), steps: c.Int("steps"), maxOpenSteps: max(1, c.Int("ahead")), groups: c.Int("groups"),
		samples: c.Int("samples"), maxTokens: c.Int("max-tokens"), maxGroups: c.Int("max-groups"),
		stalenessBound: c.Uint64("bound"), knownVersion: api.WeightVersion(c.Uint64("known")), pullWait: c.Duration("wait"), callTimeout: c.Duration("timeout"),
		trainTime: c.Duration("train"), verifyText: c.Bool("verify"),
	}
}
