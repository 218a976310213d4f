// Command dotterelmountd is the daemon: it serves callers, trainers and
// operators, and keeps every role of the system on each host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dotterelmount.example/cmd/dotterelmountd/internal/node"
	"dotterelmount.example/lib/settings"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Exit codes.
const (
	exitSettings = 2 // the settings are not valid
	exitStart    = 3 // an address could not be served on
)

// stopTime bounds a graceful stop; what is still in progress then is cut.
const stopTime = 2 * time.Minute

func main() {
	cmd := &cli.Command{
		Name:  "dotterelmountd",
		Usage: "serve callers, trainers and operators in front of upstreams",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "YAML settings `FILE`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
}

func run(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return cli.Exit(err, exitStart)
	}
	n, err := node.Start(s, log.With(zap.String("daemon", s.Daemon)))
	if err != nil {
		return cli.Exit(err, exitStart)
	}
	fmt.Printf("listening %s\n", n.CallersAddress())
	wait, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-wait.Done()
	ending, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	if err := n.Shutdown(ending); err != nil {
		return cli.Exit(err, exitStart)
	}
	return nil
}
