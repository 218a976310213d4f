package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/samples"
)

const (
	flagFrom     = "from"
	flagLimit    = "limit"
	defaultLimit = 100 // entries
)

// verbAbandon is the argument after the trainer's name: trainer NAME abandon STEP.
const verbAbandon = "abandon"

func trainerCommand() *cli.Command {
	return &cli.Command{
		Name: "trainer", Usage: "show a trainer's steps and samples, or abandon a step",
		ArgsUsage: "NAME [abandon STEP]", Action: trainerAction,
	}
}

func trainerAction(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return withDaemon(showTrainer, "NAME")(ctx, c)
	}
	if verb := c.Args().Get(1); verb != verbAbandon {
		return &UsageError{Detail: fmt.Sprintf("%s NAME %s; must be abandon", c.FullName(), verb)}
	}
	return withOperator(abandonStep, "NAME", verbAbandon, "STEP")(ctx, c)
}

type trainerReport json.RawMessage

// MarshalJSON returns the daemon's response unchanged.
func (r trainerReport) MarshalJSON() ([]byte, error) { return r, nil }

func (r trainerReport) writeText(w io.Writer) {
	var indented bytes.Buffer
	if err := json.Indent(&indented, r, "", "  "); err != nil {
		indented.Write(r)
	}
	fmt.Fprintln(w, indented.String())
}

func showTrainer(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	raw, err := client.TrainerState(ctx, api.TrainerID(c.Args().First()))
	return trainerReport(raw), err
}

type abandonReport adminclient.AbandonStepResponse

func (r abandonReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "step %s abandoned at offset %d; %d samples lost\n", r.Step, r.Offset, len(r.LostSamples))
	for _, ref := range r.LostSamples {
		fmt.Fprintf(w, "lost: group %s sample %d\n", ref.Group, ref.Index)
	}
}

func abandonStep(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	a, err := client.AbandonStep(ctx, api.TrainerID(c.Args().Get(0)), samples.StepID(c.Args().Get(2)))
	return abandonReport(a), err
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "show who changed what, from the platform's log",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagFrom, Value: 1, Usage: "first `offset` shown"},
			&cli.IntFlag{Name: flagLimit, Value: defaultLimit, Usage: "maximum number of `entries` shown"},
		},
		Action: withDaemon(audit),
	}
}

type auditReport adminapi.AuditPage

func (r auditReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "OFFSET\tTIME\tACTOR\tVIA\tKIND\tWHAT\tREVISIONS\tVERDICT")
	for _, e := range r.Entries {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%d -> %d\t%s\n",
			e.Offset, e.Time, e.Actor, e.AppendedBy, e.Kind, e.Subject, e.RevisionBefore, e.RevisionAfter, e.Verdict)
	}
	_ = t.Flush() // a write error can't be reported
}

func audit(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	page, err := client.Audit(ctx, api.Offset(c.Uint64(flagFrom)), c.Int(flagLimit))
	return auditReport(page), err
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "requests that crashed upstreams", Action: needsCommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "show fingerprints with strikes", Action: withDaemon(listStrikes)},
			{
				Name: "lift", Usage: "clear the strikes of a fingerprint", ArgsUsage: "FINGERPRINT",
				Action: withOperator(lift, "FINGERPRINT"),
			},
		},
	}
}

type strikesReport struct {
	Strikes []adminapi.StrikeView `json:"strikes"`
}

func (r strikesReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "FINGERPRINT\tALONE\tSHARED\tUPSTREAMS")
	for _, s := range r.Strikes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%v\n", s.Fingerprint, s.Alone, s.Shared, s.Upstreams)
	}
	_ = t.Flush() // a write error can't be reported
}

func listStrikes(ctx context.Context, _ *cli.Command, client *adminclient.Client) (report, error) {
	state, err := client.State(ctx)
	return strikesReport{Strikes: state.Strikes}, err
}

func lift(ctx context.Context, c *cli.Command, client *adminclient.Client) (report, error) {
	fingerprint := c.Args().First()
	changed, err := client.LiftQuarantine(ctx, fingerprint)
	return changeReport{Subject: "quarantine of " + fingerprint + " lifted", ChangeResponse: changed}, err
}
