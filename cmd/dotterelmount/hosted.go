package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/platform/store"
)

// Flags of the hosted commands.
const (
	flagStore   = "store"
	flagMissing = "missing"
	flagJob     = "job"
)

func hostedCommand() *cli.Command {
	return &cli.Command{
		Name: "hosted", Usage: "read the state of a deployment on the users' platform", Action: needsCommand,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: flagStore, Usage: "`ip:port` of the platform's store", Sources: cli.EnvVars("DOTTERELMOUNT_STORE"),
		}},
		Commands: []*cli.Command{
			{
				Name: "jobs", Usage: "list batch jobs",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: flagMissing, Usage: "only jobs that ended or are due but lack results, with the ids of those items"},
					&cli.StringFlag{Name: flagJob, Usage: "only the job with this `id`"},
				},
				Action: withHistory(hostedJobs),
			},
			{Name: "upstreams", Usage: "list upstreams with their lease holders and weights", Action: withHistory(hostedUpstreams)},
			{Name: "daemons", Usage: "list daemons with the configuration versions in force and the levels of records they read", Action: withHistory(hostedDaemons)},
			hostedKeysCommand(), hostedExplainCommand(), hostedServersCommand(),
			{Name: "duties", Usage: "list the duties of one daemon at a time with their holders", Action: withStore(hostedDuties)},
			{Name: "usage", Usage: "list the windows of usage that are fixed, or still counted", Action: withStore(hostedUsage)},
			{
				Name: "audit", Usage: "print the records of jobs, leases and servers",
				Flags:  []cli.Flag{&cli.StringFlag{Name: flagJob, Usage: "only records of the job with this `id`"}},
				Action: withHistory(hostedAudit),
			},
		},
	}
}

// history is a fully read journal.
type history struct {
	state   *batch.State
	entries []replay.Entry
}

// withHistory returns the action of a command that reads the whole journal.
func withHistory(f func(c *cli.Command, h *history) report) cli.ActionFunc {
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
		h := &history{}
		var err error
		client := store.New(address)
		h.state, err = replay.Read(ctx, client.Partition(replay.Topic, 0), client.Keyed(replay.CheckpointTopic), func(e replay.Entry) { h.entries = append(h.entries, e) })
		if err != nil {
			return api.Errorf(api.CodeLogUnavailable, "journal at %s: %w", address, err)
		}
		return show(c, f(c, h))
	}
}

type jobsReport struct {
	Jobs []batch.JobReport `json:"jobs"`
	// showItems adds the ids of errored and open items to the text.
	showItems bool
}

func hostedJobs(c *cli.Command, h *history) report {
	r := jobsReport{Jobs: []batch.JobReport{}, showItems: c.Bool(flagMissing) || c.String(flagJob) != ""}
	for _, j := range h.state.JobReports() {
		if c.Bool(flagMissing) && !j.ResultsMissing(time.Now().UnixMilli()) {
			continue
		}
		if id := c.String(flagJob); id != "" && string(j.ID) != id {
			continue
		}
		r.Jobs = append(r.Jobs, j)
	}
	return r
}

func (r jobsReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "JOB\tCUSTOMER\tMODEL\tMIN VERSION\tSUBMITTED\tITEMS\tCOMPLETED\tERRORED\tOPEN\tENDED")
	for i := range r.Jobs {
		j := &r.Jobs[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%t\n", j.ID, j.Customer, j.Model, j.MinVersion, time.UnixMilli(j.SubmittedMillis).UTC().Format(time.RFC3339),
			j.Items, j.Completed, len(j.Errored), len(j.Open), j.Ended)
	}
	_ = t.Flush() // a write error can't be reported
	if !r.showItems {
		return
	}
	for i := range r.Jobs {
		j := &r.Jobs[i]
		fmt.Fprintf(w, "%s errored: %s\n%s open: %s\n", j.ID, strings.Join(toStrings(j.Errored), " "), j.ID, strings.Join(toStrings(j.Open), " "))
	}
}

type upstreamReport struct {
	ID            api.UpstreamID                      `json:"id"`
	Service       string                              `json:"service"`
	Holder        api.DaemonID                        `json:"holder"` // empty after the holder left
	LeaseOffset   batch.Offset                        `json:"lease"`  // offset of the lease, the fencing token of load orders
	Condition     string                              `json:"condition"`
	AssignedModel api.ModelName                       `json:"home"` // model whose versions it loads
	Versions      map[api.ModelName]api.WeightVersion `json:"versions"`
}

type upstreamsReport struct {
	Upstreams []upstreamReport `json:"upstreams"`
}

func hostedUpstreams(_ *cli.Command, h *history) report {
	r := upstreamsReport{Upstreams: []upstreamReport{}}
	for _, u := range h.state.Upstreams() {
		r.Upstreams = append(r.Upstreams, upstreamReport{
			ID: u.ID, Service: u.Service, Holder: u.Holder, LeaseOffset: u.LeaseOffset, Condition: u.Condition.String(), AssignedModel: u.AssignedModel, Versions: u.Versions,
		})
	}
	return r
}

func (r upstreamsReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "UPSTREAM\tSERVICE\tHOLDER\tLEASE\tCONDITION\tHOME\tVERSIONS")
	for _, u := range r.Upstreams {
		var versions []string
		for _, m := range slices.Sorted(maps.Keys(u.Versions)) {
			versions = append(versions, fmt.Sprintf("%s=%d", m, u.Versions[m]))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", u.ID, u.Service, u.Holder, u.LeaseOffset, u.Condition, u.AssignedModel, strings.Join(versions, " "))
	}
	_ = t.Flush() // a write error can't be reported
}

type daemonReport struct {
	Daemon        api.DaemonID `json:"daemon"`
	StartMillis   int64        `json:"started_ms"` // Unix milliseconds
	RenewalOffset batch.Offset `json:"renewed"`    // offset of its last renewal
	ConfigVersion uint64       `json:"config"`     // version in force
	CutOff        bool         `json:"cut_off"`    // it reaches no server
	// RecordLevel is the level of records that the daemon reads, LevelInForce the one that all
	// live daemons read as far as it knows.
	RecordLevel  int `json:"record_level"`
	LevelInForce int `json:"level_in_force"`
}

type daemonsReport struct {
	Daemons []daemonReport `json:"daemons"`
}

func hostedDaemons(_ *cli.Command, h *history) report {
	r := daemonsReport{Daemons: []daemonReport{}}
	daemons := h.state.Daemons()
	for _, id := range slices.Sorted(maps.Keys(daemons)) {
		d := daemons[id]
		r.Daemons = append(r.Daemons, daemonReport{Daemon: id, StartMillis: d.StartMillis, RenewalOffset: d.RenewalOffset, ConfigVersion: d.ConfigVersion, CutOff: d.CutOff, RecordLevel: d.RecordLevel, LevelInForce: d.LevelInForce})
	}
	return r
}

func (r daemonsReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tSTARTED\tLAST RENEWAL\tCONFIG\tSERVERS\tRECORDS\tIN FORCE")
	for _, d := range r.Daemons {
		servers := "reachable"
		if d.CutOff {
			servers = "cut off"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%d\t%d\n", d.Daemon, time.UnixMilli(d.StartMillis).UTC().Format(time.RFC3339), d.RenewalOffset, d.ConfigVersion, servers, d.RecordLevel, d.LevelInForce)
	}
	_ = t.Flush() // a write error can't be reported
}

type historyEntry struct {
	Offset       batch.Offset `json:"offset"`
	Kind         string       `json:"kind"`
	ChangedState bool         `json:"effect"` // whether the record changed the state
	Detail       string       `json:"what"`
}

type historyReport struct {
	Entries []historyEntry `json:"entries"`
}

func hostedAudit(c *cli.Command, h *history) report {
	r := historyReport{Entries: []historyEntry{}}
	for _, e := range h.entries {
		kind, job, detail := describe(e.Record)
		if id := c.String(flagJob); kind == "" || (id != "" && id != string(job)) {
			continue
		}
		r.Entries = append(r.Entries, historyEntry{Offset: e.Offset, Kind: kind, ChangedState: e.Changed, Detail: detail})
	}
	return r
}

// describe returns the kind of a record, its job if it has one, and a summary.
// Renewals and other records not worth an audit have an empty kind.
func describe(r batch.Record) (kind string, job batch.JobID, detail string) {
	switch r := r.(type) {
	case *batch.JobAccepted:
		return "job-accepted", r.Job.ID, fmt.Sprintf("%s: %d items for %s from version %d", r.Job.ID, len(r.Job.Items), r.Job.Model, r.Job.MinVersion)
	case *batch.JobEnded:
		return "job-ended", r.ID, string(r.ID)
	case *batch.TextAdded:
		return "text", r.Job, fmt.Sprintf("%s/%s: run %s, events %d to %d, versions %v, whole %t", r.Job, r.Item, r.RunID, r.FirstEvent+1, r.FirstEvent+r.EventCount, r.Versions, r.Done)
	case *batch.ItemFailed:
		return "item-failed", r.Job, fmt.Sprintf("%s/%s: status %d, final %t", r.Job, r.Item, r.Status, r.Final)
	case *batch.ItemExpired:
		return "item-given-up", r.Job, fmt.Sprintf("%s/%s", r.Job, r.Item)
	case *batch.ItemMoved:
		return "item-moved", r.Job, fmt.Sprintf("%s/%s: off %s", r.Job, r.Item, r.FromUpstream)
	case *batch.DaemonLeft:
		return "daemon-left", "", string(r.Daemon)
	case *batch.LeaseAcquired:
		return "lease-taken", "", fmt.Sprintf("%s by %s after %d", r.Upstream, r.Daemon, r.PreviousLease)
	case *batch.UpstreamRemoved:
		return "upstream-gone", "", fmt.Sprintf("%s, held by %s", r.Upstream, r.Daemon)
	case *batch.UpstreamChanged:
		return "upstream-changed", "", fmt.Sprintf("%s by %s: %s, versions %v", r.Upstream, r.Daemon, r.Condition, r.Versions)
	}
	return "", "", ""
}

func (r historyReport) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "OFFSET\tKIND\tEFFECT\tWHAT")
	for _, e := range r.Entries {
		fmt.Fprintf(t, "%d\t%s\t%t\t%s\n", e.Offset, e.Kind, e.ChangedState, e.Detail)
	}
	_ = t.Flush() // a write error can't be reported
}
