package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"dotterelmount.example/api"
	deploy "dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/hostlist"
	"dotterelmount.example/lib/settings"
)

// The fleet's names and sizes.
const (
	model             = api.ModelName("coach")
	member            = api.CustomerID("member-app")
	dataCentre        = "sapporo-a"
	anyPort           = "127.0.0.1:0"
	engineSlots       = 128
	batchGrowth       = 0.005
	tokenTime         = 2 * time.Millisecond
	engineWindow      = 128 // requests in progress
	journalLimit      = 1000
	hostListLag       = 10 * time.Millisecond
	startupSettleTime = 3 * time.Second // after the last daemon knows all others
	hostsPerSubnet    = 250
	listedModel       = api.ModelName("listed")
	pollInterval      = 50 * time.Millisecond
	maxResponseBytes  = 16 << 20 // bytes
)

// deployment is a deployment.
type deployment struct {
	runner          *proc.Runner
	client          *http.Client
	log             *proc.Process
	hostList        *proc.Process
	engines         []*proc.Process
	daemons         []*proc.Process
	peerAddresses   []string // addresses of the daemons for each other
	listedAddresses []string // addresses of services that get no work
	marker          marker   // of the first engine
}

func engineID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("coach-%d", i+1)) }

func listedID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("listed-%d", i+1)) }

// startDeployment starts n daemons before the engines, publishes the lists and
// waits until every daemon knows all.
func startDeployment(ctx context.Context, r *proc.Runner, n int, o options) (*deployment, error) {
	f := &deployment{runner: r, client: &http.Client{}}
	for i := range o.listedServices {
		f.listedAddresses = append(f.listedAddresses, fmt.Sprintf("127.1.%d.%d:9", i/hostsPerSubnet, 1+i%hostsPerSubnet))
	}
	if err := f.startPlatform(ctx, o.engines); err != nil {
		return nil, err
	}
	if err := f.startDaemons(ctx, n); err != nil {
		return nil, err
	}
	if err := f.publish(ctx); err != nil {
		return nil, err
	}
	for _, d := range f.daemons {
		if err := f.awaitMembers(ctx, d, n); err != nil {
			return nil, err
		}
	}
	return f, sleep(ctx, startupSettleTime)
}

func (f *deployment) startPlatform(ctx context.Context, engines int) (err error) {
	if f.log, err = f.runner.Start(ctx, "log", "log", "--listen", anyPort); err != nil {
		return err
	}
	if f.hostList, err = f.runner.Start(ctx, "hostlist", "hostlist", "--listen", anyPort, "--lag", hostListLag.String()); err != nil {
		return err
	}
	for i := range engines {
		e, err := f.runner.Start(ctx, string(engineID(i)), "engine", "--listen", anyPort, "--model", string(model)+":1",
			"--slots", fmt.Sprint(engineSlots), "--batch-growth", fmt.Sprint(batchGrowth),
			"--token-time", tokenTime.String(), "--journal-limit", fmt.Sprint(journalLimit))
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		if err := f.registerHost(ctx, string(engineID(i)), e.Address); err != nil {
			return err
		}
	}
	for i, address := range f.listedAddresses {
		if err := f.registerHost(ctx, string(listedID(i)), address); err != nil {
			return err
		}
	}
	return nil
}

// registerHost puts a host on the platform's list.
func (f *deployment) registerHost(ctx context.Context, id, address string) error {
	return f.call(ctx, http.MethodPost, f.hostList.Address, "/v1/hosts", hostlist.Host{ID: id, Address: address, State: hostlist.Live}, nil)
}

func (f *deployment) startDaemons(ctx context.Context, n int) (err error) {
	f.daemons, err = deploy.StartDaemons(ctx, f.runner, n, func(_ int, s *settings.Settings) {
		s.DataCentre = dataCentre
		s.Platform.Log, s.Platform.HostList = f.log.Address, f.hostList.Address
		f.peerAddresses = append(f.peerAddresses, s.Listen.Peers)
	})
	if err != nil {
		return err
	}
	for i, d := range f.daemons {
		if err := f.registerHost(ctx, d.Name, f.peerAddresses[i]); err != nil {
			return err
		}
	}
	return nil
}

// publish puts both lists in force.
func (f *deployment) publish(ctx context.Context) error {
	plans := api.PlanList{
		Plans:     []api.Plan{{Name: "member"}},
		Customers: []api.Customer{{ID: member, Plan: "member"}},
	}
	usage := api.UsageList{Usages: []api.Usage{{Plan: "member", Models: []api.ModelName{model}}}}
	for i, e := range f.engines {
		usage.Upstreams = append(usage.Upstreams, api.Upstream{
			ID: engineID(i), Kind: api.KindEngine, Address: e.Address, DataCentre: "sapporo-a",
			Models: []api.ModelName{model}, Window: engineWindow,
		})
	}
	for i, address := range f.listedAddresses {
		usage.Upstreams = append(usage.Upstreams, api.Upstream{
			ID: listedID(i), Kind: api.KindPlain, Address: address, DataCentre: "sapporo-a",
			Models: []api.ModelName{listedModel}, Window: engineWindow,
		})
	}
	if err := f.awaitReady(ctx, f.daemons[0]); err != nil {
		return err
	}
	base := new(api.Revision)
	if _, err := f.change(ctx, http.MethodPut, adminapi.PathPlanList, adminapi.PutPlanListRequest{BaseRevision: base, List: &plans}); err != nil {
		return err
	}
	_, err := f.change(ctx, http.MethodPut, adminapi.PathUsageList, adminapi.PutUsageListRequest{BaseRevision: base, List: &usage})
	return err
}

func (f *deployment) awaitReady(ctx context.Context, d *proc.Process) error {
	for {
		if s, err := f.status(ctx, d); err == nil && s.Ready {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return api.Errorf(api.CodeNotReady, "%s is not ready: %w", d.Name, err)
		}
	}
}

func (f *deployment) awaitMembers(ctx context.Context, d *proc.Process, n int) error {
	for {
		if s, err := f.status(ctx, d); err == nil && s.Ready && countMembers(s, adminapi.MemberAlive) == n {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return api.Errorf(api.CodeNotReady, "%s does not know all daemons: %w", d.Name, err)
		}
	}
}

func countMembers(s adminapi.Status, state string) int {
	n := 0
	for _, m := range s.Members {
		if m.State == state {
			n++
		}
	}
	return n
}

func (f *deployment) status(ctx context.Context, d *proc.Process) (s adminapi.Status, err error) {
	return s, f.call(ctx, http.MethodGet, d.Address, adminapi.PathStatus, nil, &s)
}

// change proposes a change of the configuration through the first daemon.
func (f *deployment) change(ctx context.Context, method, path string, body any) (api.Revision, error) {
	var c adminapi.ChangeResponse
	err := f.call(ctx, method, f.daemons[0].Address, path, body, &c)
	return c.Revision, err
}

// call sends JSON and decodes the answer into out unless it is nil.
func (f *deployment) call(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	req.Header.Set(adminapi.HeaderOperator, "control")
	res, err := f.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return api.Errorf(api.CodeUpstreamFailed, "%s: status %d: %.200s", path, res.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
