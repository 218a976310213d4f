package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/settings"
)

// Names, versions and timeouts of the deployment.
const (
	dataCentre     = api.DataCentre("sapporo-a")
	memberPlan     = api.PlanName("member")
	firstVersion   = api.WeightVersion(1)
	commandTimeout = 20 * time.Second // per run of the command-line tool
)

// deployment holds the processes of one phase.
type deployment struct {
	experiment   *Experiment
	variant      *Variant
	policy       string
	runner       *proc.Runner
	platformLog  *proc.Process
	weightStore  *proc.Process
	engines      []*proc.Process
	daemons      []*proc.Process
	commandCount int // runs of the command-line tool; numbers their log files
}

// start starts the processes, publishes the lists and announces the weights.
func (d *deployment) start(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.startPlatform, d.startEngines, d.startDaemons} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if len(d.daemons) == 0 {
		return nil
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	return d.announce(ctx, firstVersion)
}

// startPlatform starts the platform's stand-ins unless the load goes directly to
// the engines.
func (d *deployment) startPlatform(ctx context.Context) (err error) {
	if d.variant.Direct {
		return nil
	}
	d.platformLog, err = d.runner.Start(ctx, "log", "log", "--listen", fleet.AnyPort)
	if err != nil {
		return err
	}
	d.weightStore, err = d.runner.Start(ctx, "weightstore", "weightstore", "--listen", fleet.AnyPort, "--rate", "0")
	return err
}

func (d *deployment) startEngines(ctx context.Context) error {
	s := d.experiment.Engines
	args := []string{
		"--listen", fleet.AnyPort,
		"--model", string(model) + ":" + firstVersion.String(),
		"--slots", fmt.Sprint(s.Slots),
		"--token-time", s.TokenTime.String(),
		"--batch-growth", fmt.Sprint(s.BatchGrowth),
		"--prefill-time", s.PrefillTime.String(),
	}
	if d.weightStore != nil {
		args = append(args, "--weight-store", "http://"+d.weightStore.Address)
	}
	for i := range s.Count {
		engine, err := d.runner.Start(ctx, string(engineID(i)), "engine", args...)
		if err != nil {
			return err
		}
		d.engines = append(d.engines, engine)
	}
	return nil
}

func (d *deployment) startDaemons(ctx context.Context) (err error) {
	if d.variant.Direct {
		return nil
	}
	d.daemons, err = fleet.StartDaemons(ctx, d.runner, d.experiment.Daemons, func(_ int, s *settings.Settings) { d.configure(s) })
	return err
}

// configure sets a daemon's settings for the phase.
func (d *deployment) configure(s *settings.Settings) {
	s.DataCentre = string(dataCentre)
	s.Platform.Log, s.Platform.WeightStore = d.platformLog.Address, d.weightStore.Address
	s.Limits.Linger = 0
	s.Dispatch.Routing = d.policy
	s.Dispatch.ShortTokens = d.experiment.Dispatch.ShortTokens
	s.Dispatch.ShortReserve = d.experiment.Dispatch.ShortReserve
	w := d.experiment.weights(d.variant)
	if w != (Weights{}) {
		s.Dispatch.Weights = settings.Weights{Interactive: w.Interactive, Once: w.Once, Rollout: w.Rollout}
	}
}

func (d *deployment) planList() api.PlanList {
	l := api.PlanList{Plans: []api.Plan{{Name: memberPlan}}}
	for i := range d.experiment.Classes {
		c := &d.experiment.Classes[i]
		for n := range c.Customers {
			l.Customers = append(l.Customers, api.Customer{ID: customerID(c, n), Plan: memberPlan})
		}
	}
	for _, t := range d.experiment.Trainers {
		l.Plans = append(l.Plans, api.Plan{Name: api.PlanName(t.Name), StalenessBound: t.StalenessBound})
		l.Customers = append(l.Customers, api.Customer{ID: api.CustomerID(t.Name), Plan: api.PlanName(t.Name)})
	}
	return l
}

func (d *deployment) usageList() api.UsageList {
	models := []api.ModelName{model}
	l := api.UsageList{Usages: []api.Usage{{Plan: memberPlan, Models: models}}}
	for _, t := range d.experiment.Trainers {
		l.Usages = append(l.Usages, api.Usage{Plan: api.PlanName(t.Name), Models: models})
	}
	for i, engine := range d.engines {
		l.Upstreams = append(l.Upstreams, api.Upstream{
			ID: engineID(i), Kind: api.KindEngine, Address: engine.Address, DataCentre: dataCentre,
			Models: models, Window: d.experiment.Engines.Window,
		})
	}
	return l
}

// publish publishes both lists and waits until they are in force on every daemon.
func (d *deployment) publish(ctx context.Context) error {
	plans := filepath.Join(d.runner.OutDir(), "plan-list.yaml")
	usage := filepath.Join(d.runner.OutDir(), "usage-list.yaml")
	if err := fleet.WriteYAML(plans, d.planList()); err != nil {
		return err
	}
	if err := fleet.WriteYAML(usage, d.usageList()); err != nil {
		return err
	}
	if err := d.change(ctx, "plan-list", "publish", plans); err != nil {
		return err
	}
	return d.change(ctx, "usage-list", "publish", usage)
}

// change runs a command that changes the configuration and waits until the
// change is in force on every daemon.
func (d *deployment) change(ctx context.Context, command ...string) error {
	out, err := d.runCommand(ctx, command...)
	if err != nil {
		return err
	}
	var response struct {
		Revision api.Revision `json:"revision"`
	}
	if err := json.Unmarshal(out, &response); err != nil {
		return fmt.Errorf("output of dotterelmount %s: %w", command[0], err)
	}
	_, err = d.runCommand(ctx, "in-force", "--offset", fmt.Sprint(response.Revision))
	return err
}

// announce announces a weight version and waits until the engines have loaded it.
func (d *deployment) announce(ctx context.Context, v api.WeightVersion) error {
	_, err := d.runCommand(ctx, "weights", "announce", "--wait", string(model), v.String())
	return err
}

// runCommand runs the command-line tool and returns its JSON output.
func (d *deployment) runCommand(ctx context.Context, command ...string) ([]byte, error) {
	d.commandCount++
	args := []string{"--output", "json", "--operator", "load", "--timeout", commandTimeout.String()}
	for _, daemon := range d.daemons {
		args = append(args, "--daemon", daemon.Address)
	}
	out, err := d.runner.Run(ctx, fmt.Sprintf("cli-%02d-%s", d.commandCount, command[0]), "dotterelmount", append(args, command...)...)
	if err != nil {
		return nil, fmt.Errorf("dotterelmount %s: %w", command[0], err)
	}
	return out, nil
}

// engineMode is a mode of the stand-in engines.
type engineMode struct {
	Mode   string  `json:"mode"`
	Factor float64 `json:"factor,omitempty"` // by which a slow engine takes longer
}

// setMode sets the mode of an engine.
func (d *deployment) setMode(ctx context.Context, engineIndex int, mode engineMode) error {
	return fleet.PostJSON(ctx, d.engines[engineIndex].Address, "/control", mode)
}

// counters are sums of the daemons' counters.
type counters struct {
	Hedged     int64            `json:"attempts_hedged"`
	Retried    int64            `json:"attempts_retried"`
	Refused    map[string]int64 `json:"requests_refused"` // by error code
	Violations int64            `json:"invariant_violations"`
}

func (d *deployment) readCounters(ctx context.Context) (counters, error) {
	sum := counters{Refused: make(map[string]int64)}
	for _, p := range d.daemons {
		var c struct {
			Hedged     int64            `json:"attempts_hedged"`
			Retried    int64            `json:"attempts_retried"`
			Refused    map[string]int64 `json:"requests_refused"`
			Violations map[string]int64 `json:"invariant_violations"`
		}
		if err := fleet.GetJSON(ctx, p.Address, "/debug/vars", &c); err != nil {
			return sum, err
		}
		sum.Hedged += c.Hedged
		sum.Retried += c.Retried
		for reason, n := range c.Refused {
			sum.Refused[reason] += n
		}
		for _, n := range c.Violations {
			sum.Violations += n
		}
	}
	return sum, nil
}

// targetAddresses returns the addresses of the daemons or engines that receive
// the requests, by arrival.target.
func (d *deployment) targetAddresses() []string {
	targets := d.daemons
	if d.variant.Direct {
		targets = d.engines
	}
	var all []string
	for _, p := range targets {
		all = append(all, p.Address)
	}
	return all
}

// newClient returns a client that keeps up to one idle connection per worker.
func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConns, t.MaxIdleConnsPerHost = workerCount, workerCount
	t.DisableCompression = true
	return &http.Client{Transport: t}
}
