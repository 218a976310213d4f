// Program plain is a stand-in for a plain service, some of whose calls must not be
// repeated.
package main

import (
	"context"
	"os"

	"dotterelmount.example/lib/program"
	"github.com/urfave/cli/v3"

	"dotterelmount.example/standin/journal"
	"dotterelmount.example/standin/plain/service"
	"dotterelmount.example/standin/serve"
)

// crashExitStatus is the process's exit status on a simulated crash.
const crashExitStatus = 3

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "stand-in for a plain service that records every execution",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ip:port`; port 0 takes a free one"},
			&cli.DurationFlag{Name: "service-time", Usage: "`duration` of each call"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` to which the start and end of calls are written; empty for none"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			file, err := journal.Open(c.String("journal"))
			if err != nil {
				return err
			}
			s := service.New(c.Duration("service-time"), func() { os.Exit(crashExitStatus) }, file)
			return serve.Run(ctx, c.String("listen"), s.Handler(), os.Stdout)
		},
	}
}
