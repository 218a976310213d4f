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

	"dotterelmount.example/cmd/dotterelmountd/internal/hosted"
	"dotterelmount.example/cmd/dotterelmountd/internal/node"
	"dotterelmount.example/lib/settings"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Exit codes.
const (
	exitInvalidSettings = 2 // the settings are not valid
	exitStartFailed     = 3 // an address could not be served on
)

// stopTimeout bounds a graceful stop; what is still in progress then is cut.
const stopTimeout = 2 * time.Minute

// signalBuffer holds signals that come in quick succession.
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
			Usage: "serve on the users' platform, which keeps all that must last",
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
		return cli.Exit("the flag --settings is missing", exitInvalidSettings)
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
	wait, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-wait.Done()
	ending, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.Shutdown(ending); err != nil {
		return cli.Exit(err, exitStartFailed)
	}
	return nil
}

// runHosted serves until SIGTERM. SIGHUP tells that the settings changed.
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
	for got := range signals {
		if got != syscall.SIGHUP {
			break
		}
		n.Reload()
	}
	if err := n.Shutdown(ctx); err != nil {
		return cli.Exit(err, exitStartFailed)
	}
	return nil
}
