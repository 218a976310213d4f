// Command dotterelmountd is the daemon that runs on each host. It serves callers,
// trainers and operators; every daemon can take every role.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dotterelmount.example/cmd/dotterelmountd/internal/hosted"
	"dotterelmount.example/cmd/dotterelmountd/internal/node"
	"dotterelmount.example/lib/settings"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Exit codes.
const (
	exitInvalidSettings = 2 // the command line or the settings are invalid
	exitStartFailed     = 3 // the start or the shutdown failed
)

// stopTimeout bounds a graceful stop. Requests still in progress then are aborted.
const stopTimeout = 2 * time.Minute

// signalBuffer is the number of signals that can be pending.
const signalBuffer = 8

func main() {
	cmd := &cli.Command{
		Name:  "dotterelmountd",
		Usage: "serve callers, trainers and operators in front of upstreams",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
		Commands: []*cli.Command{{
			Name:  "hosted",
			Usage: "serve on the users' platform, with all durable state in its store",
			Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "YAML settings `FILE`"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return runHosted(ctx, c.String("settings"))
			},
		}},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
}

func run(ctx context.Context, path string) error {
	if path == "" {
		return cli.Exit("flag --settings is required", exitInvalidSettings)
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return cli.Exit(err, exitStartFailed)
	}
	n, err := node.Start(s, log.With(zap.String("daemon", s.Daemon)))
	if err != nil {
		return cli.Exit(err, exitStartFailed)
	}
	fmt.Printf("listening %s\n", n.CallersAddress())
	sigCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-sigCtx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.Shutdown(stopCtx); err != nil {
		return cli.Exit(err, exitStartFailed)
	}
	return nil
}

// runHosted serves until SIGTERM or SIGINT. SIGHUP reports changed settings.
func runHosted(ctx context.Context, path string) error {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	s, err := settings.LoadHosted(path)
	if err != nil {
		return err
	}
	n, err := hosted.Start(s)
	if err != nil {
		return cli.Exit(err, exitStartFailed)
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		n.Reload()
	}
	if err := n.Shutdown(ctx); err != nil {
		return cli.Exit(err, exitStartFailed)
	}
	return nil
}
