package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
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

func startFleet(ctx context.Context, r *proc.Runner) (*deployment, error) {
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

func (f *deployment) startDaemons(ctx context.Context) error {
	addresses, err := proc.FreeAddresses(2 * daemonCount)
	if err != nil {
		return err
	}
	callers, peers := addresses[:daemonCount], addresses[daemonCount:]
	for i := range daemonCount {
		name := fmt.Sprintf("daemon-%d", i+1)
		file := filepath.Join(f.runner.OutDir(), name+".yaml")
		content := fmt.Sprintf(settingsFormat, name, callers[i], peers[i], f.log.Address, f.store.Address,
			peers[(i+1)%daemonCount], peers[(i+2)%daemonCount])
		if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
			return fmt.Errorf("settings of %s: %w", name, err)
		}
		daemon, err := f.runner.Start(ctx, name, "dotterelmountd", "--settings", file)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, daemon)
	}
	for _, d := range f.daemons {
		if err := fleet.AwaitReady(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

const settingsFormat = `daemon: %s
data_centre: sapporo-a
listen:
  callers: %s
  peers: %s
platform:
  log: %s
  weight_store: %s
peers:
  - %s
  - %s
`

// writeLists writes both lists to files and returns their paths.
func (f *deployment) writeLists() (plans, usage string, err error) {
	plans = filepath.Join(f.runner.OutDir(), "plan-list.yaml")
	usage = filepath.Join(f.runner.OutDir(), "usage-list.yaml")
	if err := writeYAML(plans, planList()); err != nil {
		return "", "", err
	}
	return plans, usage, writeYAML(usage, f.usageList())
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

func writeYAML(path string, v any) error {
	data, err := yaml.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write list: %w", err)
	}
	return nil
}
