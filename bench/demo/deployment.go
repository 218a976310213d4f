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

// The demo's sizes.
const (
	engineCount  = 4
	daemonCount  = 3
	engineSlots  = 8
	engineWindow = 8 // requests in progress
	plainWindow  = 4
	tokenTime    = 2 * time.Millisecond
	serviceTime  = 5 * time.Millisecond
)

// The demo's names.
const (
	dataCentre   = "sapporo-a"
	model        = api.ModelName("coach")
	plainService = api.ModelName("slips")
	plainID      = api.UpstreamID("slips-1")
	member       = api.CustomerID("member-app")
	trainer      = api.CustomerID("coach-trainer")
)

// deployment is what the demo started.
type deployment struct {
	runner  *proc.Runner
	log     *proc.Process
	store   *proc.Process
	engines []*proc.Process
	plain   *proc.Process
	daemons []*proc.Process
}

func engineID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("coach-%d", i+1)) }

// fenced reports whether the engine refuses old fencing numbers.
func fenced(i int) bool { return i == 0 }

func startDeployment(ctx context.Context, r *proc.Runner) (*deployment, error) {
	f := &deployment{runner: r}
	steps := []func(context.Context) error{f.startPlatform, f.startUpstreams, f.startDaemons}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *deployment) startPlatform(ctx context.Context) (err error) {
	f.log, err = f.runner.Start(ctx, "log", "log", "--listen", fleet.AnyPort)
	if err != nil {
		return err
	}
	f.store, err = f.runner.Start(ctx, "weightstore", "weightstore", "--listen", fleet.AnyPort)
	return err
}

func (f *deployment) startUpstreams(ctx context.Context) (err error) {
	for i := range engineCount {
		args := []string{
			"--listen", fleet.AnyPort,
			"--model", string(model) + ":1",
			"--slots", fmt.Sprint(engineSlots),
			"--token-time", tokenTime.String(),
			"--weight-store", "http://" + f.store.Address,
		}
		if fenced(i) {
			args = append(args, "--fenced")
		}
		engine, err := f.runner.Start(ctx, string(engineID(i)), "engine", args...)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, engine)
	}
	f.plain, err = f.runner.Start(ctx, "plain", "plain", "--listen", fleet.AnyPort, "--service-time", serviceTime.String())
	return err
}

func (f *deployment) startDaemons(ctx context.Context) (err error) {
	f.daemons, err = fleet.StartDaemons(ctx, f.runner, daemonCount, func(_ int, s *settings.Settings) {
		s.DataCentre = dataCentre
		s.Platform.Log, s.Platform.WeightStore = f.log.Address, f.store.Address
	})
	return err
}

// writeLists writes both lists to files and returns their paths.
func (f *deployment) writeLists() (plans, usage string, err error) {
	plans = filepath.Join(f.runner.OutDir(), "plan-list.yaml")
	usage = filepath.Join(f.runner.OutDir(), "usage-list.yaml")
	if err := fleet.WriteYAML(plans, planList()); err != nil {
		return "", "", err
	}
	return plans, usage, fleet.WriteYAML(usage, f.usageList())
}

func planList() api.PlanList {
	return api.PlanList{
		Plans:     []api.Plan{{Name: "member"}, {Name: "trainer", StalenessBound: 1}},
		Customers: []api.Customer{{ID: member, Plan: "member"}, {ID: trainer, Plan: "trainer"}},
	}
}

func (f *deployment) usageList() api.UsageList {
	l := api.UsageList{Usages: []api.Usage{
		{Plan: "member", Models: []api.ModelName{model, plainService}},
		{Plan: "trainer", Models: []api.ModelName{model}},
	}}
	for i, engine := range f.engines {
		l.Upstreams = append(l.Upstreams, api.Upstream{
			ID: engineID(i), Kind: api.KindEngine, Address: engine.Address, DataCentre: "sapporo-a",
			Models: []api.ModelName{model}, Window: engineWindow, Fenced: fenced(i),
		})
	}
	l.Upstreams = append(l.Upstreams, api.Upstream{
		ID: plainID, Kind: api.KindPlain, Address: f.plain.Address, DataCentre: "sapporo-a",
		Models: []api.ModelName{plainService}, Window: plainWindow,
	})
	return l
}
