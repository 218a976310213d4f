// Program hostlist is a stand-in for the platform's list of live and leaving
// hosts. As on the platform, changes become visible with a delay.
package main

import (
	"context"
	"os"
	"time"

	"dotterelmount.example/lib/program"
	"dotterelmount.example/standin/serve"
	"github.com/urfave/cli/v3"
)

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "hostlist",
		Usage: "stand-in for the platform's list of hosts, which shows changes with a delay",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ip:port`; port 0 takes a free one"},
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "delay until a change is visible"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			h := newHandler(c.Duration("lag"), time.Now)
			return serve.Run(ctx, c.String("listen"), h, os.Stdout)
		},
	}
}
