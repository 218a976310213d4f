package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
	"dotterelmount.example/front/adminapi"
)

const flagWait = "wait"

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "mark an upstream as draining, so that it gets no new work", ArgsUsage: "UPSTREAM",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagWait, Usage: "wait until no live daemon has a request in progress on it"},
			baseFlag(),
		},
		Action: withOperator(drain, "UPSTREAM"),
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", Usage: "mark an upstream as active again", ArgsUsage: "UPSTREAM",
		Flags:  []cli.Flag{baseFlag()},
		Action: withOperator(undrain, "UPSTREAM"),
	}
}

func drain(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	id := api.UpstreamID(c.Args().First())
	r, err := mark(ctx, c, client, id, api.MarkDraining)
	if err != nil || !c.Bool(flagWait) {
		return r, err
	}
	awaited := fmt.Sprintf("upstream %s to be empty", id)
	err = await(ctx, awaited, func(ctx context.Context) ([]string, error) {
		f, err := client.Fleet(ctx)
		if err != nil {
			return nil, err
		}
		return toStrings(f.NotDrained(id, r.Revision)), nil
	})
	r.Subject = fmt.Sprintf("upstream %s draining and empty on every live daemon", id)
	return r, err
}

func undrain(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	return mark(ctx, c, client, api.UpstreamID(c.Args().First()), api.MarkActive)
}

// mark sets the mark of an upstream unless it already has that mark.
func mark(ctx context.Context, c *cli.Command, client *adminclient.Client, id api.UpstreamID, m api.Mark) (changeReport, error) {
	r := changeReport{Subject: fmt.Sprintf("upstream %s %s", id, m)}
	base := api.Revision(c.Uint64(flagBase))
	if !c.IsSet(flagBase) {
		state, err := client.State(ctx)
		if err != nil {
			return r, err
		}
		current := state.Mark(id)
		if current.Mark == m && current.Revision > 0 {
			r.Unchanged = true
			r.ChangeResponse = adminapi.ChangeResponse{Revision: current.Revision}
			return r, nil
		}
		base = current.Revision
	}
	changed, err := client.MarkUpstream(ctx, id, base, m)
	r.ChangeResponse = changed
	return r, err
}
