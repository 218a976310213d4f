package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
)

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name: "weights", Usage: "the weight versions of models", Action: needsCommand,
		Commands: []*cli.Command{
			{
				Name: "announce", Usage: "announce a weight version", ArgsUsage: "MODEL VERSION",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: flagWait, Usage: "wait until every engine that is not draining has loaded it"},
				},
				Action: withOperator(announce, "MODEL", "VERSION"),
			},
			{Name: "status", Usage: "show the versions in force and those loaded by the engines", Action: withDaemon(weightsStatus)},
		},
	}
}

func announce(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	model := api.ModelName(c.Args().Get(0))
	n, err := strconv.ParseUint(c.Args().Get(1), 10, 64)
	if err != nil || n == 0 {
		return nil, &UsageError{Detail: fmt.Sprintf("version %q; must be a whole number above 0", c.Args().Get(1))}
	}
	version := api.WeightVersion(n)
	changed, err := client.AnnounceWeights(ctx, model, version)
	r := changeReport{Subject: fmt.Sprintf("weights %s version %s", model, version), ChangeResponse: changed}
	if err != nil || !c.Bool(flagWait) {
		return r, err
	}
	awaited := fmt.Sprintf("every engine to run %s version %s", model, version)
	err = await(ctx, awaited, func(ctx context.Context) ([]string, error) {
		w, err := readWeights(ctx, client)
		if err != nil {
			return nil, err
		}
		return w.enginesWithout(model, version), nil
	})
	r.Subject += " loaded"
	return r, err
}

// weightsReport compares the versions in force with those loaded by the upstreams.
type weightsReport struct {
	Engines   []engineWeights               `json:"engines"`
	Unreached []adminclient.UnreachedDaemon `json:"unreached"`
}

type engineWeights struct {
	Model    api.ModelName     `json:"model"`
	InForce  api.WeightVersion `json:"in_force"` // 0: none announced
	Upstream api.UpstreamID    `json:"upstream"`
	Draining bool              `json:"draining"`
	Loaded   api.WeightVersion `json:"loaded"` // 0: unknown
}

func weightsStatus(ctx context.Context, _ *cli.Command, client *adminclient.Client) (report, error) {
	return readWeights(ctx, client)
}

func readWeights(ctx context.Context, client *adminclient.Client) (*weightsReport, error) {
	usage, err := client.UsageList(ctx)
	if err != nil {
		return nil, err
	}
	state, err := client.State(ctx)
	if err != nil {
		return nil, err
	}
	fleet, err := client.Fleet(ctx)
	if err != nil {
		return nil, err
	}
	inForce := make(map[api.ModelName]api.WeightVersion)
	for _, w := range state.Weights {
		inForce[w.Model] = w.Version
	}
	r := &weightsReport{Engines: []engineWeights{}, Unreached: fleet.Unreached}
	for _, u := range usage.List.Upstreams {
		if u.Kind != api.KindEngine {
			continue
		}
		for _, m := range u.Models {
			r.Engines = append(r.Engines, engineWeights{
				Model: m, InForce: inForce[m], Upstream: u.ID,
				Draining: state.Mark(u.ID).Mark == api.MarkDraining,
				Loaded:   fleet.Loaded(u.ID, m),
			})
		}
	}
	return r, nil
}

// enginesWithout returns the engines that are not known to have loaded a version of
// a model.
func (r *weightsReport) enginesWithout(m api.ModelName, v api.WeightVersion) []string {
	var ids []string
	serves := func(e engineWeights) bool { return e.Model == m }
	if !slices.ContainsFunc(r.Engines, serves) {
		return []string{"any engine for the model"}
	}
	for _, e := range r.Engines {
		if serves(e) && !e.Draining && e.Loaded < v {
			ids = append(ids, string(e.Upstream))
		}
	}
	return ids
}

func (r *weightsReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "MODEL\tIN FORCE\tUPSTREAM\tLOADED\tMARK")
	for _, e := range r.Engines {
		mark := api.MarkActive
		if e.Draining {
			mark = api.MarkDraining
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", e.Model, orUnknown(e.InForce, "none"), e.Upstream,
			orUnknown(e.Loaded, "not known"), mark)
	}
	_ = t.Flush() // a write error can't be reported
	writeUnreachedText(w, r.Unreached)
}

func orUnknown(v api.WeightVersion, zero string) string {
	if v == 0 {
		return zero
	}
	return v.String()
}
