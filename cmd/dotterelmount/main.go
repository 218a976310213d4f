// Command dotterelmount operates a deployment of dotterelmountd: it publishes the
// plan list and the usage list, marks upstreams, announces weights and shows the
// configuration in force.
//
// Exit status: 0 success; 1 usage error; 2 refused with a typed error; 3 no daemon
// reached, or the change certainly not accepted; 4 unknown whether the change was
// accepted; 5 timeout.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

const defaultTimeout = 10 * time.Second

// Names of the global flags.
const (
	flagDaemon   = "daemon"
	flagOutput   = "output"
	flagTimeout  = "timeout"
	flagOperator = "operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "dotterelmount:", err)
	}
	os.Exit(exitCode(err))
}

// needsCommand is the action of commands that only group subcommands.
func needsCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return &UsageError{Detail: fmt.Sprintf("%s: unknown command %q", c.FullName(), c.Args().First())}
	}
	if err := cli.ShowSubcommandHelp(c); err != nil {
		return fmt.Errorf("writing the help: %w", err)
	}
	return &UsageError{Detail: c.FullName() + ": a subcommand is required"}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:        "dotterelmount",
		Usage:       "operate a deployment of dotterelmountd",
		Description: exitHelp,
		Action:      needsCommand,
		// Keeps the library from exiting with its own status codes.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: flagDaemon, Usage: "`host:port` of a daemon; can be repeated, then tried in order",
				Sources: cli.EnvVars("DOTTERELMOUNT_DAEMONS"),
			},
			&cli.StringFlag{Name: flagOutput, Value: outputText, Usage: "`format`: text or json"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "maximum `duration` of the command"},
			&cli.StringFlag{
				Name: flagOperator, Usage: "`name` of the operator for the audit trail; required for changes",
				Sources: cli.EnvVars("DOTTERELMOUNT_OPERATOR"),
			},
		},
		Commands: []*cli.Command{
			planListCommand(),
			usageListCommand(),
			drainCommand(),
			undrainCommand(),
			weightsCommand(),
			statusCommand(),
			hostedCommand(),
			inForceCommand(),
			trainerCommand(),
			auditCommand(),
			quarantineCommand(),
			settingsCommand(),
			listCommand(),
		},
	}
}
