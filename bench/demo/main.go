// Command demo starts a whole deployment on loopback. It runs members' requests and
// one step of a trainer through it, drains an upstream and swaps weights. The last
// line of its output is a JSON object. It exits with status 0 only if every check
// passed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"dotterelmount.example/lib/program"
	"github.com/urfave/cli/v3"

	"dotterelmount.example/bench/proc"
)

const (
	defaultTimeout = 38 * time.Second
	stopTimeout    = 8 * time.Second // of all processes together
)

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "runs a whole deployment on loopback and checks it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "`directory` of the programs"},
			&cli.StringFlag{Name: "out", Value: "out/demo", Usage: "`directory` for the programs' output"},
			&cli.DurationFlag{Name: "limit", Value: defaultTimeout, Usage: "`duration` after which the demo fails"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("limit"))
			defer cancel()
			return run(ctx, c.String("bin"), c.String("out"))
		},
	}
}

// run runs the demo and prints its result, even if a part of it fails.
func run(ctx context.Context, bin, out string) error {
	begin := time.Now()
	runner, err := proc.NewRunner(bin, out)
	if err != nil {
		return err
	}
	defer runner.KillAll()
	result := &Result{}
	err = runParts(ctx, runner, result)
	if err != nil {
		result.addError(err)
	}
	result.Seconds = time.Since(begin).Seconds()
	line, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	fmt.Println(string(line))
	return result.check()
}
