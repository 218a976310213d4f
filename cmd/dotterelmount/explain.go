package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
	"dotterelmount.example/lib/explain"
)

// Flags of the explain command; each but the first is a parameter of the question.
var explainFlags = []cli.Flag{
	&cli.StringFlag{Name: flagMetrics, Usage: "`ip:port` of the daemon's metrics", Required: true},
	&cli.StringFlag{Name: "host", Usage: "host of the request", Required: true},
	&cli.StringFlag{Name: "path", Usage: "path of the request, or the one to which the job is submitted", Required: true},
	&cli.StringFlag{Name: "method", Usage: "method of the request", Value: http.MethodPost},
	&cli.StringFlag{Name: "customer", Usage: "customer whose key the request has"},
	&cli.StringFlag{Name: "deadline_ms", Usage: "milliseconds that the caller waits"},
	&cli.StringFlag{Name: "model", Usage: "model of the job"},
	&cli.StringFlag{Name: "min_version", Usage: "oldest weight version that the job allows"},
}

// maxExplanationBytes bounds the answer of a daemon. One with 650 upstreams has 200 kB.
const maxExplanationBytes = 4 << 20

func hostedExplainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show where a request or the first item of a job would go now, and why, without sending it",
		Flags: explainFlags, Action: hostedExplain,
	}
}

// explanationReport is a daemon's explanation as a report.
type explanationReport struct{ explain.Report }

func hostedExplain(ctx context.Context, c *cli.Command) error {
	if err := checkArguments(c, nil); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	question := make(url.Values)
	for _, f := range explainFlags[1:] {
		name := f.Names()[0]
		question.Set(name, c.String(name))
	}
	r, err := fetchReport[explain.Report](ctx, c.String(flagMetrics), explain.Path+"?"+question.Encode(), maxExplanationBytes)
	if err != nil {
		return &adminclient.UnreachableError{Daemons: []string{c.String(flagMetrics)}, Cause: err}
	}
	return show(c, explanationReport{r})
}

func (r explanationReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "daemon %s, configuration %d read %s ago\n", r.Daemon, r.ConfigVersion, time.Since(r.ConfigAsOf).Round(time.Millisecond))
	fmt.Fprintf(w, "route %s, service %s, customer %s, priority %d\n", orNone(r.Route), orNone(r.Service), orNone(r.Customer), r.Priority)
	fmt.Fprintf(w, "%s", r.Outcome)
	for _, part := range []struct{ before, text string }{{" to ", string(r.To)}, {" through ", string(r.Peer)}, {": ", r.Reason}} {
		if part.text != "" {
			fmt.Fprint(w, part.before, part.text)
		}
	}
	if r.WaitSeconds > 0 {
		fmt.Fprintf(w, ", in %.3f s", r.WaitSeconds)
	}
	if r.RetryAfterSeconds > 0 {
		fmt.Fprintf(w, ", Retry-After %.3f", r.RetryAfterSeconds)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if len(r.Candidates) > 0 {
		fmt.Fprintln(t, "UPSTREAM\tDATA CENTRE\tLOCAL\tIN FLIGHT\tEXPECTED\tWAIT\tRANK\tSTATE")
	}
	for _, c := range r.Candidates {
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%.3fs\t%.3fs\t%d\t%s\n", c.ID, c.DataCentre, c.Local, c.InFlight, c.ExpectedSeconds, c.WaitSeconds, c.Rank, c.State)
	}
	if r.Placement != nil {
		fmt.Fprintf(t, "%d items of the service wait already\n", r.Placement.Ahead)
		fmt.Fprintln(t, "UPSTREAM\tHOLDER\tCONDITION\tVERSION\tPLACED\tSLOTS\tSCORE\tEXCLUDED")
		for _, c := range r.Placement.Candidates {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", c.ID, c.Holder, c.Condition, c.Version, c.Placed, c.Slots, c.Score, c.Excluded)
		}
	}
	_ = t.Flush() // a write error can't be reported
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
