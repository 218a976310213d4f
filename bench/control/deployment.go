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
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/hostlist"
	"dotterelmount.example/lib/settings"
)

// Names, sizes and intervals of the deployment.
const (
	model             = api.ModelName("coach")
	member            = api.CustomerID("member-app")
	dataCentre        = "sapporo-a"
	anyPort           = "127.0.0.1:0"
	engineSlots       = 128
	batchGrowth       = 0.005 // fraction of tokenTime added by each further sequence
	tokenTime         = 2 * time.Millisecond
	engineWindow      = 128                     // requests in progress
	journalLimit      = 1000                    // entries that an engine keeps
	hostListLag       = 10 * time.Millisecond   // until a change shows in the host list
	startupSettleTime = 3 * time.Second         // after all daemons know each other
	hostsPerSubnet    = 250                     // addresses of listed services
	listedModel       = api.ModelName("listed") // of the services that get no work
	pollInterval      = 50 * time.Millisecond
	maxResponseBytes  = 16 << 20
)

// deployment holds the processes and addresses of a deployment.
type deployment struct {
	runner          *proc.Runner
	client          *http.Client
	platformLog     *proc.Process
	hostList        *proc.Process
	engines         []*proc.Process
	daemons         []*proc.Process
	peerAddresses   []string // peer listeners of the daemons
	listedAddresses []string // services that get no work
	marker          marker   // of the first engine
}

func engineID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("coach-%d", i+1)) }

func listedID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("listed-%d", i+1)) }

// startDeployment starts the platform, the engines and n daemons, publishes the
// lists and waits until every daemon knows all others.
func startDeployment(ctx context.Context, r *proc.Runner, n int, o options) (*deployment, error) {
	d := &deployment{runner: r, client: &http.Client{}}
	for i := range o.listedServices {
		d.listedAddresses = append(d.listedAddresses, fmt.Sprintf("127.1.%d.%d:9", i/hostsPerSubnet, 1+i%hostsPerSubnet))
	}
	if err := d.startPlatform(ctx, o.engines); err != nil {
		return nil, err
	}
	if err := d.startDaemons(ctx, n); err != nil {
		return nil, err
	}
	if err := d.publish(ctx); err != nil {
		return nil, err
	}
	for _, daemon := range d.daemons {
		if err := d.awaitMembers(ctx, daemon, n); err != nil {
			return nil, err
		}
	}
	return d, sleep(ctx, startupSettleTime)
}

// startPlatform starts the platform's stand-ins and the engines, and registers the
// engines and the listed services as hosts.
func (d *deployment) startPlatform(ctx context.Context, engines int) (err error) {
	if d.platformLog, err = d.runner.Start(ctx, "log", "log", "--listen", anyPort); err != nil {
		return err
	}
	if d.hostList, err = d.runner.Start(ctx, "hostlist", "hostlist", "--listen", anyPort, "--lag", hostListLag.String()); err != nil {
		return err
	}
	for i := range engines {
		e, err := d.runner.Start(ctx, string(engineID(i)), "engine", "--listen", anyPort, "--model", string(model)+":1",
			"--slots", fmt.Sprint(engineSlots), "--batch-growth", fmt.Sprint(batchGrowth),
			"--token-time", tokenTime.String(), "--journal-limit", fmt.Sprint(journalLimit))
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
		if err := d.registerHost(ctx, string(engineID(i)), e.Address); err != nil {
			return err
		}
	}
	for i, address := range d.listedAddresses {
		if err := d.registerHost(ctx, string(listedID(i)), address); err != nil {
			return err
		}
	}
	return nil
}

// registerHost adds a host to the platform's host list.
func (d *deployment) registerHost(ctx context.Context, id, address string) error {
	return d.call(ctx, http.MethodPost, d.hostList.Address, "/v1/hosts", hostlist.Host{ID: id, Address: address, State: hostlist.Live}, nil)
}

func (d *deployment) startDaemons(ctx context.Context, n int) (err error) {
	d.daemons, err = fleet.StartDaemons(ctx, d.runner, n, func(_ int, s *settings.Settings) {
		s.DataCentre = dataCentre
		s.Platform.Log, s.Platform.HostList = d.platformLog.Address, d.hostList.Address
		d.peerAddresses = append(d.peerAddresses, s.Listen.Peers)
	})
	if err != nil {
		return err
	}
	for i, daemon := range d.daemons {
		if err := d.registerHost(ctx, daemon.Name, d.peerAddresses[i]); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes both lists once the first daemon is ready.
func (d *deployment) publish(ctx context.Context) error {
	plans := api.PlanList{
		Plans:     []api.Plan{{Name: "member"}},
		Customers: []api.Customer{{ID: member, Plan: "member"}},
	}
	usage := api.UsageList{Usages: []api.Usage{{Plan: "member", Models: []api.ModelName{model}}}}
	for i, e := range d.engines {
		usage.Upstreams = append(usage.Upstreams, api.Upstream{
			ID: engineID(i), Kind: api.KindEngine, Address: e.Address, DataCentre: "sapporo-a",
			Models: []api.ModelName{model}, Window: engineWindow,
		})
	}
	for i, address := range d.listedAddresses {
		usage.Upstreams = append(usage.Upstreams, api.Upstream{
			ID: listedID(i), Kind: api.KindPlain, Address: address, DataCentre: "sapporo-a",
			Models: []api.ModelName{listedModel}, Window: engineWindow,
		})
	}
	if err := d.awaitReady(ctx, d.daemons[0]); err != nil {
		return err
	}
	base := new(api.Revision)
	if _, err := d.change(ctx, http.MethodPut, adminapi.PathPlanList, adminapi.PutPlanListRequest{BaseRevision: base, List: &plans}); err != nil {
		return err
	}
	_, err := d.change(ctx, http.MethodPut, adminapi.PathUsageList, adminapi.PutUsageListRequest{BaseRevision: base, List: &usage})
	return err
}

func (d *deployment) awaitReady(ctx context.Context, daemon *proc.Process) error {
	for {
		if s, err := d.status(ctx, daemon); err == nil && s.Ready {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return api.Errorf(api.CodeNotReady, "%s is not ready: %w", daemon.Name, err)
		}
	}
}

func (d *deployment) awaitMembers(ctx context.Context, daemon *proc.Process, n int) error {
	for {
		if s, err := d.status(ctx, daemon); err == nil && s.Ready && countMembers(s, adminapi.MemberAlive) == n {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return api.Errorf(api.CodeNotReady, "%s does not know all daemons: %w", daemon.Name, err)
		}
	}
}

// countMembers returns the number of members in the given state.
func countMembers(s adminapi.Status, state string) int {
	n := 0
	for _, m := range s.Members {
		if m.State == state {
			n++
		}
	}
	return n
}

func (d *deployment) status(ctx context.Context, daemon *proc.Process) (s adminapi.Status, err error) {
	return s, d.call(ctx, http.MethodGet, daemon.Address, adminapi.PathStatus, nil, &s)
}

// change requests a configuration change from the first daemon and returns its
// revision.
func (d *deployment) change(ctx context.Context, method, path string, body any) (api.Revision, error) {
	var c adminapi.ChangeResponse
	err := d.call(ctx, method, d.daemons[0].Address, path, body, &c)
	return c.Revision, err
}

// call sends in as JSON, unless it is nil, and decodes the response into out,
// unless it is nil. Errors: CodeUpstreamFailed for an error status; transport and
// JSON errors as they are.
func (d *deployment) call(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	req.Header.Set(adminapi.HeaderOperator, "control")
	res, err := d.client.Do(req)
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
