package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/links"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/bench/supervise"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

// Sizes, intervals and timeouts of the deployment.
const (
	daemonCount   = 5
	engineCount   = 4
	otherEngines  = 2 // of the service that routes of jobs are moved to
	plainCount    = 5 // servers without a model
	eventsPerItem = 12
	eventInterval = 25 * time.Millisecond
	shutdownGrace = 6 * time.Second // the daemons' grace setting
	readyTimeout  = 15 * time.Second
	pollInterval  = 50 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// Names used in the deployment.
const (
	host          = "soak.example"
	engineService = "engines"
	// otherEngineService is the service that routes of jobs are moved to.
	otherEngineService = "engines-b"
	plainService       = "plains"
	batchPath          = "/steps/"     // trainers' jobs
	singlePath         = "/steps-one/" // trainers' jobs of one weight version
	safePath           = "/check-ins/" // requests that may run more than once
	oncePath           = "/slips/"     // requests that must run at most once
	streamPath         = "/voices/"    // requests with streamed responses
)

var models = []string{"coach", "arranger"}

// deployment holds the running processes and stand-ins.
type deployment struct {
	builds             builds
	runner             *proc.Runner
	system             *duty.System
	network            *links.Network
	store              *platform.Store
	cloud              *platform.Cloud
	operator           *operator
	engines            []*platform.Server
	plains             []*platform.Server
	daemons            []*supervise.Process
	readinessAddresses []string // by daemon
	callerAddresses    []string // addresses of the links to the daemons' caller listeners, by daemon
	client             *platform.Client
}

func daemonName(i int) string { return fmt.Sprintf("daemon-%d", i+1) }

// daemonIP is the address of a daemon's connections to servers, by which these tell the
// daemons apart.
func daemonIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

func storeLinkName(i int) string  { return "store:" + daemonName(i) }
func callerLinkName(i int) string { return "caller:" + daemonName(i) }

// startDeployment starts all processes and waits until every daemon is ready. fencesChecked is
// set if the platform's API refuses fences that are too low.
func startDeployment(ctx context.Context, r *proc.Runner, b builds, fencesChecked bool) (*deployment, error) {
	d := &deployment{
		builds: b,
		runner: r, system: duty.NewSystem(nil), network: links.New(), store: platform.NewStore(), cloud: platform.NewCloud(fencesChecked),
		client: &platform.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: memberThreads}}, Host: host},
	}
	d.operator = &operator{store: d.store, sameBuild: b.same}
	d.client = d.clientWith(memberKey)
	d.operator.publish()
	for i := range engineCount {
		d.engines = append(d.engines, d.newServer(fmt.Sprintf("engine-%d", i+1), engineService, models...))
	}
	for i := range otherEngines {
		d.engines = append(d.engines, d.newServer(fmt.Sprintf("engine-b-%d", i+1), otherEngineService, models...))
	}
	for i := range plainCount {
		d.plains = append(d.plains, d.newServer(fmt.Sprintf("plain-%d", i+1), plainService))
	}
	for i := range daemonCount {
		if err := d.startDaemon(i); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(ctx)
}

func (d *deployment) newServer(id, service string, models ...string) *platform.Server {
	s := platform.NewServer(d.store, id, service, models...)
	s.EventsPerItem, s.EventInterval, s.CrashText = eventsPerItem, eventInterval, killerText
	return s
}

func (d *deployment) servers() []*platform.Server {
	return append(append([]*platform.Server(nil), d.engines...), d.plains...)
}

// journalRetention is the age from which records of the journal can expire. The daemons
// write a checkpoint in each quarter of it.
const journalRetention = 16 * time.Second

// expireJournal deletes the journal's old records, unless there are daemons of an earlier
// build, which write no checkpoints.
func (d *deployment) expireJournal() {
	if d.operator.sameBuild {
		d.store.Expire(replay.Topic, journalRetention)
	}
}

const settingsTemplate = `daemon: %s
data_centre: z1
callers: %s
readiness: %s
metrics: %s
store: %s
peers: %s
upstream_source: %s
lease_wait: 1s
grace: %s
fatal_invariants: true
retention: %s
`

func (d *deployment) startDaemon(i int) error {
	listens, err := proc.FreeAddresses(4)
	if err != nil {
		return err
	}
	store, err := d.network.Open(storeLinkName(i), d.store.Address())
	if err != nil {
		return err
	}
	caller, err := d.network.Open(callerLinkName(i), listens[0])
	if err != nil {
		return err
	}
	file := filepath.Join(d.runner.OutDir(), daemonName(i)+".yaml")
	content := fmt.Sprintf(settingsTemplate, daemonName(i), listens[0], listens[1], listens[2], store, listens[3], daemonIP(i), shutdownGrace, journalRetention)
	if d.builds.same {
		content += d.dutySettings()
	}
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		return fmt.Errorf("settings of %s: %w", daemonName(i), err)
	}
	d.callerAddresses = append(d.callerAddresses, caller)
	d.readinessAddresses = append(d.readinessAddresses, listens[1])
	d.daemons = append(d.daemons, supervise.Start(d.system, &supervise.Process{
		Runner: d.runner, Name: daemonName(i), Program: d.builds.first(), Args: []string{"hosted", "--settings", file}, Address: listens[0],
	}))
	return nil
}

// awaitReady waits until every daemon is ready. Errors: CodeNotReady.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, address := range d.readinessAddresses {
		for !d.client.Ready(ctx, address, callTimeout) {
			if !duty.Sleep(ctx, pollInterval) {
				return api.Errorf(api.CodeNotReady, "%s is not ready: %w", daemonName(i), ctx.Err())
			}
		}
	}
	return nil
}

// close stops the daemons one by one, then the servers, links and store. It
// returns the exits of the daemons' processes and the first error.
func (d *deployment) close(ctx context.Context) (exits []supervise.Exit, first error) {
	for _, p := range d.daemons {
		e, err := p.Close(ctx)
		exits = append(exits, e...)
		if err != nil && first == nil {
			first = err
		}
	}
	for _, s := range d.servers() {
		s.Crash()
	}
	d.network.Close()
	d.store.Close()
	d.cloud.Close()
	return exits, first
}
