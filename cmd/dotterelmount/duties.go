package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	decision "dotterelmount.example/lib/singleton"
	"dotterelmount.example/lib/usage"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/server/metering"
	"dotterelmount.example/server/scaling"
	"dotterelmount.example/server/singleton"
)

// duties are those that daemons may hold.
var duties = []decision.Duty{metering.Metering, scaling.Duty}

// withStore returns the action of a command that reads single topics of the store.
func withStore(f func(ctx context.Context, client *store.Client) (report, error)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := checkArguments(c, nil); err != nil {
			return err
		}
		address := c.String(flagStore)
		if address == "" {
			return &UsageError{Detail: "no store given; set --store or DOTTERELMOUNT_STORE"}
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		r, err := f(ctx, store.New(address))
		if err != nil {
			return api.Errorf(api.CodeLogUnavailable, "store at %s: %w", address, err)
		}
		return show(c, r)
	}
}

type dutyReport struct {
	Duty     decision.Duty `json:"duty"`
	Holder   api.DaemonID  `json:"holder"`
	Process  string        `json:"process"`
	Fence    uint64        `json:"fence"`
	Released bool          `json:"released"`
	// Renewed is the true time of the last renewal, as the holder knew it.
	Renewed time.Time      `json:"renewed"`
	Earlier []api.DaemonID `json:"earlier"` // holders before, latest first
}

type dutiesReport struct {
	Duties []dutyReport `json:"duties"`
}

func hostedDuties(ctx context.Context, client *store.Client) (report, error) {
	r := dutiesReport{Duties: []dutyReport{}}
	for _, d := range duties {
		records, _, err := client.Keyed(singleton.TopicOf(d)).Newest(ctx)
		if err != nil {
			return nil, err
		}
		record, renewed, err := singleton.RecordOf(d, records)
		if err != nil {
			return nil, err
		}
		if record == nil {
			continue // nobody has held it
		}
		r.Duties = append(r.Duties, dutyReport{
			Duty: d, Holder: record.Holder, Process: record.Process, Fence: record.Fence, Released: record.Released, Renewed: renewed, Earlier: record.Earlier,
		})
	}
	return r, nil
}

func (r dutiesReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "DUTY\tHOLDER\tFENCE\tRELEASED\tRENEWED\tEARLIER")
	for _, d := range r.Duties {
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\t%s\t%v\n", d.Duty, d.Holder, d.Fence, d.Released, d.Renewed.UTC().Format(time.RFC3339Nano), d.Earlier)
	}
	_ = t.Flush() // a write error can't be reported
}

type windowReport struct {
	Window int64 `json:"window"`
	// Fixed is set if the numbers that are reported stand; the others are still counted.
	Fixed    bool         `json:"fixed"`
	Requests int64        `json:"requests"`
	Counts   usage.Counts `json:"counts"`
}

// usageReport has the windows after Done, up to which all were reported or given up.
type usageReport struct {
	Done    int64          `json:"done"`
	Windows []windowReport `json:"windows"`
}

func hostedUsage(ctx context.Context, client *store.Client) (report, error) {
	records, end, err := client.Keyed(metering.ReportsTopic).Newest(ctx)
	if err != nil {
		return nil, err
	}
	stored, err := metering.ReportsOf(records, end)
	if err != nil {
		return nil, err
	}
	if records, _, err = client.Keyed(metering.CountsTopic).Newest(ctx); err != nil {
		return nil, err
	}
	counts, err := metering.CountsOf(records)
	if err != nil {
		return nil, err
	}
	r := usageReport{Done: stored.Done, Windows: []windowReport{}}
	for w, c := range counts {
		if _, ok := stored.Fixed[w]; !ok && w > stored.Done {
			r.Windows = append(r.Windows, windowReport{Window: w, Requests: c.Total(), Counts: c})
		}
	}
	for w, c := range stored.Fixed {
		r.Windows = append(r.Windows, windowReport{Window: w, Fixed: true, Requests: c.Total(), Counts: c})
	}
	slices.SortFunc(r.Windows, func(a, b windowReport) int { return int(a.Window - b.Window) })
	return r, nil
}

func (r usageReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "reported or given up: all windows up to %d\n", r.Done)
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "WINDOW\tSTATE\tREQUESTS\tCUSTOMERS")
	for _, v := range r.Windows {
		state := "counted"
		if v.Fixed {
			state = "fixed"
		}
		fmt.Fprintf(t, "%d\t%s\t%d\t", v.Window, state, v.Requests)
		for _, customer := range slices.Sorted(maps.Keys(v.Counts)) {
			fmt.Fprintf(t, "%s=%d ", customer, v.Counts[customer])
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush() // a write error can't be reported
}
