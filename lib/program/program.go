// Package program runs the commands of this repository's tools.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// StatusFailed is the exit status of a program whose command returned an error.
const StatusFailed = 1

// Main runs a command with the process's arguments. SIGINT and SIGTERM cancel the
// command's context. If the command returns an error, Main prints it with the
// command's name and exits with StatusFailed.
func Main(c *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := c.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.Name, err)
		os.Exit(StatusFailed)
	}
}
