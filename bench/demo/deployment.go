package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/settings"
)

// Sizes and times of the deployment.
const (
	engineCount  = 4
	daemonCount  = 3
	engineSlots  = 8
	engineWindow = 8                    // requests in progress
	plainWindow  = 4                    // requests in progress
	tokenTime    = 2 * time.Millisecond // of an engine, per token
	serviceTime  = 5 * time.Millisecond // of the plain service, per call
)

// Names in the deployment.
const (
	dataCentre   = "sapporo-a"
	model        = api.ModelName("coach")
	plainService = api.ModelName("slips")
	plainID      = api.UpstreamID("slips-1")
	member       = api.CustomerID("member-app")
	trainer      = api.CustomerID("coach-trainer")
)

// deployment holds the processes of the demo.
type deployment struct {
	runner  *proc.Runner
	log     *proc.Process
	store   *proc.Process
	engines []*proc.Process
	plain   *proc.Process
	daemons []*proc.Process
}

func engineID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("coach-%d", i+1)) }

// fenced reports whether engine i rejects outdated fencing numbers.
func fenced(i int) bool { return i == 0 }

func startDeployment(ctx context.Context, r *proc.Runner) (*deployment, error) {
	d := &deployment{runner: r}
	steps := []func(context.Context) error{d.startPlatform, d.startUpstreams, d.startDaemons}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) startPlatform(ctx context.Context) (err error) {
	d.log, err = d.runner.Start(ctx, "log", "log", "--listen", fleet.AnyPort)
	if err != nil {
		return err
	}
	d.store, err = d.runner.Start(ctx, "weightstore", "weightstore", "--listen", fleet.AnyPort)
	return err
}

func (d *deployment) startUpstreams(ctx context.Context) (err error) {
	for i := range engineCount {
		args := []string{
			"--listen", fleet.AnyPort,
			"--model", string(model) + ":1",
			"--slots", fmt.Sprint(engineSlots),
			"--token-time", tokenTime.String(),
			"--weight-store", "http://" + d.store.Address,
		}
		if fenced(i) {
			args = append(args, "--fenced")
		}
		engine, err := d.runner.Start(ctx, string(engineID(i)), "engine", args...)
		if err != nil {
			return err
		}
		d.engines = append(d.engines, engine)
	}
	d.plain, err = d.runner.Start(ctx, "plain", "plain", "--listen", fleet.AnyPort, "--service-time", serviceTime.String())
	return err
}

func (d *deployment) startDaemons(ctx context.Context) (err error) {
	d.daemons, err = fleet.StartDaemons(ctx, d.runner, daemonCount, func(_ int, s *settings.Settings) {
		s.DataCentre = dataCentre
		s.Platform.Log, s.Platform.WeightStore = d.log.Address, d.store.Address
	})
	return err
}

// writeLists writes the plan list and the usage list to files and returns their paths.
func (d *deployment) writeLists() (plans, usage string, err error) {
	plans = filepath.Join(d.runner.OutDir(), "plan-list.yaml")
	usage = filepath.Join(d.runner.OutDir(), "usage-list.yaml")
	if err := fleet.WriteYAML(plans, planList()); err != nil {
		return "", "", err
	}
	return plans, usage, fleet.WriteYAML(usage, d.usageList())
}

func planList() api.PlanList {
	return api.PlanList{
		Plans:     []api.Plan{{Name: "member"}, {Name: "trainer", StalenessBound: 1}},
		Customers: []api.Customer{{ID: member, Plan: "member"}, {ID: trainer, Plan: "trainer"}},
	}
}

func (d *deployment) usageList() api.UsageList {
	l := api.UsageList{Usages: []api.Usage{
		{Plan: "member", Models: []api.ModelName{model, plainService}},
		{Plan: "trainer", Models: []api.ModelName{model}},
	}}
	for i, engine := range d.engines {
		l.Upstreams = append(l.Upstreams, api.Upstream{
			ID: engineID(i), Kind: api.KindEngine, Address: engine.Address, DataCentre: "sapporo-a",
			Models: []api.ModelName{model}, Window: engineWindow, Fenced: fenced(i),
		})
	}
	l.Upstreams = append(l.Upstreams, api.Upstream{
		ID: plainID, Kind: api.KindPlain, Address: d.plain.Address, DataCentre: "sapporo-a",
		Models: []api.ModelName{plainService}, Window: plainWindow,
	})
	return l
}
