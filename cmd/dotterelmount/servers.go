package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/platform/feed"
	"dotterelmount.example/platform/store"
)

func hostedServersCommand() *cli.Command {
	return &cli.Command{Name: "servers", Usage: "count servers by service, data centre and kind, with their bounds", Action: hostedServers}
}

// serverCount counts the servers of a service in a data centre.
type serverCount struct {
	Service     string         `json:"service"`
	DataCentre  api.DataCentre `json:"data_centre"`
	Ordinary    int            `json:"ordinary"`    // listed and not leaving
	Reclaimable int            `json:"reclaimable"` // the same of the kind that the platform may take away
	Leaving     int            `json:"leaving"`     // of both kinds
	// Bounds are those of both kinds together; nil: the number isn't ours to decide.
	Bounds *serverBounds `json:"bounds,omitempty"`
}

type serverBounds struct {
	Min   int     `json:"min"`
	Max   int     `json:"max"`
	Price float64 `json:"price"` // relative, of an ordinary server
}

type serversReport struct {
	ConfigVersion uint64        `json:"config"`
	Servers       []serverCount `json:"servers"`
}

func hostedServers(ctx context.Context, c *cli.Command) error {
	if err := checkArguments(c, nil); err != nil {
		return err
	}
	address := c.String(flagStore)
	if address == "" {
		return &UsageError{Detail: "no store given; set --store or DOTTERELMOUNT_STORE"}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	client, view := store.New(address), directory.NewView()
	for _, f := range []*feed.Feed{feed.NewOperator(client), feed.NewServers(client)} {
		changes, _, err := f.Load(ctx)
		if err != nil {
			return api.Errorf(api.CodeLogUnavailable, "store at %s: %w", address, err)
		}
		view = view.Apply(changes)
	}
	return show(c, countServers(view))
}

// countServers returns the counts by service and data centre. Data centres of a service with
// bounds are listed even without servers.
func countServers(v *directory.View) serversReport {
	type place struct {
		service string
		dc      api.DataCentre
	}
	r, counts := serversReport{Servers: []serverCount{}}, make(map[place]*serverCount)
	at := func(p place) *serverCount {
		if counts[p] == nil {
			counts[p] = &serverCount{Service: p.service, DataCentre: p.dc}
		}
		return counts[p]
	}
	for _, u := range v.Upstreams {
		n := at(place{u.Service, u.DataCentre})
		switch {
		case u.Draining:
			n.Leaving++
		case u.Reclaimable:
			n.Reclaimable++
		default:
			n.Ordinary++
		}
	}
	if v.Table != nil {
		r.ConfigVersion = v.Table.Version()
		for _, s := range v.Table.Autoscaled() {
			for dc, price := range s.Autoscale.Prices {
				at(place{s.Name, dc}).Bounds = &serverBounds{Min: s.Autoscale.Min, Max: s.Autoscale.Max, Price: price}
			}
		}
	}
	for _, n := range counts {
		r.Servers = append(r.Servers, *n)
	}
	slices.SortFunc(r.Servers, func(a, b serverCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return r
}

func (r serversReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tDATA CENTRE\tORDINARY\tRECLAIMABLE\tLEAVING\tMIN\tMAX\tPRICE")
	for _, n := range r.Servers {
		bounds := "-\t-\t-"
		if n.Bounds != nil {
			bounds = fmt.Sprintf("%d\t%d\t%g", n.Bounds.Min, n.Bounds.Max, n.Bounds.Price)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", n.Service, n.DataCentre, n.Ordinary, n.Reclaimable, n.Leaving, bounds)
	}
	_ = t.Flush() // a write error can't be reported
}
