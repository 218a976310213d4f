package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
	"dotterelmount.example/lib/access"
)

const (
	flagMetrics = "metrics"
	// maxKeysReportBytes bounds the report of a daemon. One with 10,000 keys has 200 kB.
	maxKeysReportBytes = 16 << 20
)

func hostedKeysCommand() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "list what daemons know of the keys of customers, by their fingerprints", Action: hostedKeys,
		Flags: []cli.Flag{&cli.StringSliceFlag{
			Name: flagMetrics, Usage: "`ip:port` of a daemon's metrics; repeat it for several daemons", Required: true,
		}},
	}
}

// keysReport has an entry for each daemon, in the order of the flags.
type keysReport struct {
	Daemons []access.Report `json:"daemons"`
}

func hostedKeys(ctx context.Context, c *cli.Command) error {
	if err := checkArguments(c, nil); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	var r keysReport
	for _, address := range c.StringSlice(flagMetrics) {
		d, err := fetchReport[access.Report](ctx, address, access.ReportPath, maxKeysReportBytes)
		if err != nil {
			return &adminclient.UnreachableError{Daemons: []string{address}, Cause: err}
		}
		r.Daemons = append(r.Daemons, d)
	}
	return show(c, r)
}

// fetchReport decodes what a daemon serves at a path of its metrics, at most limit bytes.
func fetchReport[T any](ctx context.Context, address, path string, limit int64) (T, error) {
	var r T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return r, err
	}
	resp, err := newHTTPClient().Do(request)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, api.Errorf(api.CodeInternal, "status %d", resp.StatusCode)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(&r)
}

func (r keysReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tCONFIG\tAS OF\tAGE\tKEYS REQUIRED\tCUSTOMER\tPRIORITY\tKEYS")
	for i := range r.Daemons {
		d := &r.Daemons[i]
		head := fmt.Sprintf("%s\t%d\t%s\t%.1fs\t%t", d.Daemon, d.ConfigVersion, d.AsOf.UTC().Format(time.RFC3339), d.AgeSeconds, d.Required)
		if len(d.Customers) == 0 {
			fmt.Fprintf(t, "%s\t\t\t\n", head)
		}
		for _, c := range d.Customers {
			priority := "of the route"
			if c.Priority != nil {
				priority = fmt.Sprint(*c.Priority)
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", head, c.Name, priority, strings.Join(c.Keys, " "))
		}
	}
	_ = t.Flush() // a write error can't be reported
	for i := range r.Daemons {
		for _, entry := range r.Daemons[i].Ignored {
			fmt.Fprintf(w, "%s ignores: %s\n", r.Daemons[i].Daemon, entry)
		}
	}
}
