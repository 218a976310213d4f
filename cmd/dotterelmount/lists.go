package main

import (
	"context"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/settings"
	"dotterelmount.example/lib/settings/listfile"
)

const flagBase = "base"

func baseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagBase, Usage: "`revision` on which the change is based; default: the one in force"}
}

func planListCommand() *cli.Command {
	return listCommands("plan-list", "the list of customers' plans", getPlanList, publishPlanList)
}

func usageListCommand() *cli.Command {
	return listCommands("usage-list", "the list of what each plan may use", getUsageList, publishUsageList)
}

func listCommands(name, usage string, get, publish actionFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Action: needsCommand,
		Commands: []*cli.Command{
			{Name: "get", Usage: "show the list in force", Action: withDaemon(get)},
			{
				Name: "publish", Usage: "publish a list", ArgsUsage: "FILE",
				Flags: []cli.Flag{baseFlag()}, Action: withOperator(publish, "FILE"),
			},
		},
	}
}

type planListReport adminapi.PlanListInForce

func (r planListReport) writeText(w io.Writer) { writeListText(w, r.Revision, r.List) }

type usageListReport adminapi.UsageListInForce

func (r usageListReport) writeText(w io.Writer) { writeListText(w, r.Revision, r.List) }

// writeListText writes a list in the format of a list file.
func writeListText(w io.Writer, revision api.Revision, list any) {
	fmt.Fprintf(w, "# revision %d\n", revision)
	data, err := yaml.Marshal(list)
	if err != nil {
		fmt.Fprintln(w, "# cannot be shown as YAML:", err)
		return
	}
	fmt.Fprint(w, string(data))
}

type changeReport struct {
	Subject string `json:"what"`
	adminapi.ChangeResponse
	Unchanged bool `json:"already,omitempty"` // it was already in force
}

func (r changeReport) writeText(w io.Writer) {
	if r.Unchanged {
		fmt.Fprintf(w, "%s: already so since revision %d\n", r.Subject, r.Revision)
		return
	}
	fmt.Fprintf(w, "%s: in the log at revision %d\n", r.Subject, r.Revision)
}

func getPlanList(ctx context.Context, _ *cli.Command, client *adminclient.Client) (report, error) {
	l, err := client.PlanList(ctx)
	return planListReport(l), err
}

func getUsageList(ctx context.Context, _ *cli.Command, client *adminclient.Client) (report, error) {
	l, err := client.UsageList(ctx)
	return usageListReport(l), err
}

func publishPlanList(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	list, err := listfile.LoadPlanList(c.Args().First())
	if err != nil {
		return nil, err
	}
	base := api.Revision(c.Uint64(flagBase))
	if !c.IsSet(flagBase) {
		inForce, err := client.PlanList(ctx)
		if err != nil {
			return nil, err
		}
		base = inForce.Revision
	}
	changed, err := client.PutPlanList(ctx, base, list)
	return changeReport{Subject: "plan list", ChangeResponse: changed}, err
}

func publishUsageList(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	list, err := listfile.LoadUsageList(c.Args().First())
	if err != nil {
		return nil, err
	}
	base := api.Revision(c.Uint64(flagBase))
	if !c.IsSet(flagBase) {
		inForce, err := client.UsageList(ctx)
		if err != nil {
			return nil, err
		}
		base = inForce.Revision
	}
	changed, err := client.PutUsageList(ctx, base, list)
	return changeReport{Subject: "usage list", ChangeResponse: changed}, err
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "a daemon's settings", Action: needsCommand,
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a settings file", ArgsUsage: "FILE",
			Action: checkFile(func(path string) error {
				_, err := settings.Load(path)
				return err
			}),
		}},
	}
}

func listCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "plan list and usage list files", Action: needsCommand,
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a list file without publishing it", Action: needsCommand,
			Commands: []*cli.Command{
				{Name: "plan", ArgsUsage: "FILE", Action: checkFile(func(path string) error {
					_, err := listfile.LoadPlanList(path)
					return err
				})},
				{Name: "usage", ArgsUsage: "FILE", Action: checkFile(func(path string) error {
					_, err := listfile.LoadUsageList(path)
					return err
				})},
			},
		}},
	}
}

type fileReport struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

func (r fileReport) writeText(w io.Writer) { fmt.Fprintf(w, "%s: valid\n", r.File) }

func checkFile(check func(path string) error) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		if err := checkArguments(c, []string{"FILE"}); err != nil {
			return err
		}
		path := c.Args().First()
		if err := check(path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		return show(c, fileReport{File: path, Valid: true})
	}
}
