package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
)

const (
	columnGap  = 2 // spaces between the columns of a table
	flagOffset = "offset"
)

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show the status of every daemon", Action: withDaemon(status)}
}

func inForceCommand() *cli.Command {
	return &cli.Command{
		Name: "in-force", Usage: "wait until every live daemon has applied the configuration up to an offset",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagOffset, Required: true, Usage: "`offset` in the configuration stream"},
		},
		Action: withDaemon(inForce),
	}
}

type fleetReport struct{ *adminclient.Fleet }

func status(ctx context.Context, _ *cli.Command, client *adminclient.Client) (report, error) {
	f, err := client.Fleet(ctx)
	return fleetReport{f}, err
}

func (r fleetReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tDATA CENTRE\tREADY\tCONFIG OFFSET\tQUEUED")
	for _, d := range r.Daemons {
		ready := "yes"
		if !d.Ready {
			ready = "no: " + d.NotReadyReason
		}
		queued := 0
		for _, q := range d.Queues {
			queued += q.Depth
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\n", d.Daemon, d.DataCentre, ready, d.ConfigOffset, queued)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "UPSTREAM\tDAEMON\tMARK\tIN FLIGHT\tWINDOW\tSLOW")
	for _, d := range r.Daemons {
		for _, u := range d.Upstreams {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%t\n", u.ID, d.Daemon, u.Mark, u.InFlight, u.Window, u.Slow)
		}
	}
	_ = t.Flush() // a write error can't be reported
	for _, m := range r.DownMembers {
		fmt.Fprintf(w, "%s: %s\n", m.Name, m.State)
	}
	writeUnreachedText(w, r.Unreached)
	for _, address := range r.UnknownAddresses {
		fmt.Fprintf(w, "%s: no answer, and no daemon knows it; not known\n", address)
	}
}

func writeUnreachedText(w io.Writer, unreached []adminclient.UnreachedDaemon) {
	for _, u := range unreached {
		fmt.Fprintf(w, "%s at %s: not reached, so not known: %s\n", u.Name, u.Address, u.Error)
	}
}

type inForceReport struct {
	Offset  api.Offset     `json:"offset"`
	Daemons []api.DaemonID `json:"daemons"`
}

func (r inForceReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "offset %d is in force on all %d live daemons: %v\n", r.Offset, len(r.Daemons), r.Daemons)
}

func inForce(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	r := inForceReport{Offset: api.Offset(c.Uint64(flagOffset))}
	awaited := fmt.Sprintf("offset %d on every live daemon", r.Offset)
	err := await(ctx, awaited, func(ctx context.Context) ([]string, error) {
		f, err := client.Fleet(ctx)
		if err != nil {
			return nil, err
		}
		r.Daemons = nil
		for _, d := range f.Daemons {
			r.Daemons = append(r.Daemons, d.Daemon)
		}
		return toStrings(f.Behind(r.Offset)), nil
	})
	return r, err
}
