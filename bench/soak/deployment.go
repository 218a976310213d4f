package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/links"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/lib/duty"
)

// Sizes and times of the deployment.
const (
	engineCount    = 4
	plainCount     = 2
	daemonCount    = 4
	centreCount    = 2
	engineSlots    = 8
	engineWindow   = 8                     // requests in progress
	plainWindow    = 8                     // requests in progress
	tokenTime      = 2 * time.Millisecond  // of an engine, per token
	serviceTime    = 10 * time.Millisecond // of a plain service, per call
	weightLoadTime = 100 * time.Millisecond
	hostListLag    = 500 * time.Millisecond // until the platform's host list shows a change
	readyTimeout   = 10 * time.Second
)

// Names in the deployment.
const (
	model          = api.ModelName("coach")
	plainService   = api.ModelName("slips")
	member         = api.CustomerID("member-app")
	trainer        = api.CustomerID("coach-trainer")
	stalenessBound = 1             // versions
	killerText     = "soak-killer" // an engine that runs a prompt with this text crashes
)

// deployment holds all processes and links of a run.
type deployment struct {
	runner          *proc.Runner
	system          *duty.System
	network         *links.Network
	log             *proc.Process
	store           *proc.Process
	hostList        *proc.Process
	engines         []*supervise.Process
	plains          []*supervise.Process
	daemons         []*supervise.Process
	callerAddresses []string // of the daemons' caller APIs, through links
	usageList       api.UsageList
}

func engineID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("coach-%d", i+1)) }
func plainID(i int) api.UpstreamID  { return api.UpstreamID(fmt.Sprintf("slips-%d", i+1)) }
func daemonName(i int) string       { return fmt.Sprintf("daemon-%d", i+1) }
func centre(i int) api.DataCentre   { return api.DataCentre(fmt.Sprintf("centre-%d", i%centreCount+1)) }
func callerLink(i int) string       { return "caller:" + daemonName(i) }
func peerLink(i int) string         { return "peer:" + daemonName(i) }
func logLink(i int) string          { return "log:" + daemonName(i) }

// fenced reports whether engine i rejects outdated fencing numbers.
func fenced(i int) bool { return i%2 == 0 }

func startDeployment(ctx context.Context, r *proc.Runner) (*deployment, error) {
	d := &deployment{runner: r, system: duty.NewSystem(nil), network: links.New()}
	for _, step := range []func(context.Context) error{d.startPlatform, d.startUpstreams, d.startDaemons, d.awaitDaemons} {
		if err := step(ctx); err != nil {
			return d, err
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
	if err != nil {
		return err
	}
	d.hostList, err = d.runner.Start(ctx, "hostlist", "hostlist", "--listen", fleet.AnyPort, "--lag", hostListLag.String())
	return err
}

func (d *deployment) startUpstreams(context.Context) error {
	addresses, err := proc.FreeAddresses(engineCount + plainCount)
	if err != nil {
		return err
	}
	for i := range engineCount {
		s := d.engine(i, addresses[i])
		link, err := d.openProcessLink(s)
		if err != nil {
			return err
		}
		d.engines = append(d.engines, supervise.Start(d.system, s))
		d.usageList.Upstreams = append(d.usageList.Upstreams, api.Upstream{
			ID: engineID(i), Kind: api.KindEngine, Address: link, DataCentre: centre(i),
			Models: []api.ModelName{model}, Window: engineWindow, Fenced: fenced(i),
		})
	}
	for i := range plainCount {
		s := d.plain(i, addresses[engineCount+i])
		link, err := d.openProcessLink(s)
		if err != nil {
			return err
		}
		d.plains = append(d.plains, supervise.Start(d.system, s))
		d.usageList.Upstreams = append(d.usageList.Upstreams, api.Upstream{
			ID: plainID(i), Kind: api.KindPlain, Address: link, DataCentre: centre(i),
			Models: []api.ModelName{plainService}, Window: plainWindow,
		})
	}
	d.usageList.Usages = []api.Usage{
		{Plan: "member", Models: []api.ModelName{model, plainService}},
		{Plan: "trainer", Models: []api.ModelName{model}},
	}
	return nil
}

// openProcessLink opens a link that refuses connections while s does not run, and
// returns its address.
func (d *deployment) openProcessLink(s *supervise.Process) (string, error) {
	address, err := d.network.Open(s.Name, s.Address)
	if err != nil {
		return "", err
	}
	s.Link = d.network.ByName[s.Name]
	return address, s.Link.DelayClose()
}

func (d *deployment) engine(i int, address string) *supervise.Process {
	s := &supervise.Process{Runner: d.runner, Name: string(engineID(i)), Program: "engine", Address: address}
	s.Args = []string{
		"--listen", address, "--model", string(model) + ":1", "--slots", fmt.Sprint(engineSlots),
		"--token-time", tokenTime.String(), "--load-time", weightLoadTime.String(),
		"--weight-store", "http://" + d.store.Address, "--journal", journalPath(s),
	}
	if fenced(i) {
		s.Args = append(s.Args, "--fenced")
	}
	s.OnStart = func(ctx context.Context) {
		// An error shows later as a killer request that crashes nothing.
		_ = fleet.PostJSON(ctx, address, "/control", map[string]any{"crash_on": killerText})
	}
	return s
}

// journalPath returns the path of a stand-in's journal.
func journalPath(s *supervise.Process) string {
	return filepath.Join(s.Runner.OutDir(), s.Name+".journal")
}

func (d *deployment) plain(i int, address string) *supervise.Process {
	s := &supervise.Process{Runner: d.runner, Name: string(plainID(i)), Program: "plain", Address: address}
	s.Args = []string{"--listen", address, "--service-time", serviceTime.String(), "--journal", journalPath(s)}
	return s
}

const settingsTemplate = `daemon: %s
data_centre: %s
listen:
  callers: %s
  peers: %s
  advertise_peers: %s
platform:
  log: %s
  weight_store: %s
  host_list: %s
  checkpoint_every: 3s
peers:
  - %s
  - %s
dispatch:
  progress_deadline: 1s
limits:
  cut_off: 3s
fatal_invariants: true
`

func (d *deployment) startDaemons(context.Context) error {
	addresses, err := proc.FreeAddresses(2 * daemonCount)
	if err != nil {
		return err
	}
	callers, listens := addresses[:daemonCount], addresses[daemonCount:]
	peers, err := d.openPeerLinks(listens)
	if err != nil {
		return err
	}
	for i := range daemonCount {
		log, err := d.network.Open(logLink(i), d.log.Address)
		if err != nil {
			return err
		}
		caller, err := d.network.Open(callerLink(i), callers[i])
		if err != nil {
			return err
		}
		file := filepath.Join(d.runner.OutDir(), daemonName(i)+".yaml")
		content := fmt.Sprintf(settingsTemplate, daemonName(i), centre(i), callers[i], listens[i], peers[i], log,
			d.store.Address, d.hostList.Address, peers[(i+1)%daemonCount], peers[(i+2)%daemonCount])
		if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
			return fmt.Errorf("settings of %s: %w", daemonName(i), err)
		}
		d.callerAddresses = append(d.callerAddresses, caller)
		d.daemons = append(d.daemons, supervise.Start(d.system, &supervise.Process{
			Runner: d.runner, Name: daemonName(i), Program: "dotterelmountd",
			Args: []string{"--settings", file}, Address: callers[i],
		}))
	}
	return nil
}

// openPeerLinks opens a link for each daemon, through which all other daemons reach
// it, and returns the links' addresses.
func (d *deployment) openPeerLinks(listens []string) ([]string, error) {
	var peers []string
	for i, address := range listens {
		peer, err := d.network.Open(peerLink(i), address)
		if err != nil {
			return nil, err
		}
		peers = append(peers, peer)
	}
	return peers, nil
}

// awaitDaemons waits until every daemon is ready. Errors: CodeNotReady.
func (d *deployment) awaitDaemons(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, s := range d.daemons {
		for !fleet.Ready(ctx, s.Address) {
			if !duty.Sleep(ctx, pollInterval) {
				return api.Errorf(api.CodeNotReady, "%s is not ready: %w", s.Name, ctx.Err())
			}
		}
	}
	return nil
}

func planList() api.PlanList {
	return api.PlanList{
		Plans:     []api.Plan{{Name: "member"}, {Name: "trainer", StalenessBound: stalenessBound}},
		Customers: []api.Customer{{ID: member, Plan: "member"}, {ID: trainer, Plan: "trainer"}},
	}
}

// close stops the daemons and upstreams with SIGTERM and then the links. It returns
// the exits of these processes and the first error.
func (d *deployment) close(ctx context.Context) (exits []supervise.Exit, first error) {
	for _, group := range [][]*supervise.Process{d.daemons, d.plains, d.engines} {
		for _, s := range group {
			processExits, err := s.Close(ctx)
			exits = append(exits, processExits...)
			if err != nil && first == nil {
				first = err
			}
		}
	}
	d.network.Close()
	return exits, first
}
