// Program log is a stand-in for the platform's append-only log. It keeps all
// streams in memory. Faults are injected over HTTP.
package main

import (
	"context"
	"os"

	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/lib/program"
	"dotterelmount.example/standin/serve"
	"github.com/urfave/cli/v3"
)

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "stand-in for the platform's append-only log",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ip:port`; port 0 takes a free one"},
			&cli.DurationFlag{Name: "retention", Usage: "`duration` for which records are kept; 0 for no limit"},
			&cli.IntFlag{Name: "max-entries", Usage: "maximum number of records kept per stream; 0 for no limit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			log := memlog.New(memlog.Options{Retention: c.Duration("retention"), MaxEntries: c.Int("max-entries")})
			return serve.Run(ctx, c.String("listen"), newHandler(log), os.Stdout)
		},
	}
}
