package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
	"dotterelmount.example/lib/stricthttp"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// pollInterval is the pause between two checks of a wait.
const pollInterval = 100 * time.Millisecond

// report is the output of a command. It is shown as text or as JSON.
type report interface{ writeText(w io.Writer) }

// actionFunc runs one command against the daemons.
type actionFunc func(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error)

// withDaemon returns the action of a command that calls daemons and takes exactly
// the named arguments.
func withDaemon(f actionFunc, arguments ...string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := checkArguments(c, arguments); err != nil {
			return err
		}
		client, err := newClient(c)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		r, err := f(ctx, c, client)
		if err != nil {
			return err
		}
		return show(c, r)
	}
}

// withOperator is withDaemon for changes, which require an operator's name for the
// audit trail.
func withOperator(f actionFunc, arguments ...string) cli.ActionFunc {
	action := withDaemon(f, arguments...)
	return func(ctx context.Context, c *cli.Command) error {
		if c.String(flagOperator) == "" {
			return &UsageError{Detail: "changes require --operator or DOTTERELMOUNT_OPERATOR"}
		}
		return action(ctx, c)
	}
}

func checkArguments(c *cli.Command, names []string) error {
	if output := c.String(flagOutput); output != outputText && output != outputJSON {
		return &UsageError{Detail: fmt.Sprintf("--output %q; must be text or json", output)}
	}
	if c.Args().Len() != len(names) {
		return &UsageError{Detail: fmt.Sprintf("%s takes %d arguments %v, got %d",
			c.FullName(), len(names), names, c.Args().Len())}
	}
	return nil
}

func newClient(c *cli.Command) (*adminclient.Client, error) {
	daemons := c.StringSlice(flagDaemon)
	if len(daemons) == 0 {
		return nil, &UsageError{Detail: "no daemon given; set --daemon or DOTTERELMOUNT_DAEMONS"}
	}
	for _, d := range daemons {
		if _, _, err := net.SplitHostPort(d); err != nil {
			return nil, &UsageError{Detail: fmt.Sprintf("--daemon %q; must be host:port", d)}
		}
	}
	return &adminclient.Client{HTTP: newHTTPClient(), Daemons: daemons, Operator: c.String(flagOperator)}, nil
}

// newHTTPClient returns a client with the default settings that refuses broken responses.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: stricthttp.New(http.DefaultTransport.(*http.Transport).Clone())}
}

func show(c *cli.Command, r report) error {
	w := c.Root().Writer
	if c.String(flagOutput) == outputText {
		r.writeText(w)
		return nil
	}
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("writing the output: %w", err)
	}
	return nil
}

// await calls check until it returns nothing missing. Errors of check are treated
// as an unknown state and retried. Errors: *TimeoutError.
func await(ctx context.Context, awaited string, check func(context.Context) ([]string, error)) error {
	missing := []string{"everything"}
	for {
		current, err := check(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			missing = []string{err.Error()}
		case err == nil && len(current) == 0:
			return nil
		case err == nil:
			missing = current
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &TimeoutError{AwaitedState: awaited, Missing: missing}
		}
	}
}

func toStrings[T ~string](names []T) []string {
	var out []string
	for _, n := range names {
		out = append(out, string(n))
	}
	return out
}
