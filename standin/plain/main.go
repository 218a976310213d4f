// Command plain is a stand-in for a plain service that some of whose calls may
// not be repeated.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/standin/plain/service"
)

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 5 * time.Second // for calls in progress at SIGTERM
	crashStatus   = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "plain:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "a plain service that journals every execution",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ip:port` to serve on; port 0 takes a free one"},
			&cli.DurationFlag{Name: "service-time", Usage: "`duration` of each call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), c.Duration("service-time"))
		},
	}
}

func serve(ctx context.Context, address string, serviceTime time.Duration) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s := service.New(serviceTime, func() { os.Exit(crashStatus) })
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		deadline, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		// Calls that outlast the deadline are cut off by the end of the process.
		_ = server.Shutdown(deadline)
	})
	fmt.Println("listening", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	<-stopped
	return nil
}
