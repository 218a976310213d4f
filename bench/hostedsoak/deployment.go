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
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/standin/platform"
)

// The deployment's sizes.
const (
	daemonCount  = 5
	modelServers = 4
	plainServers = 5
	itemEvents   = 12
	eventGap     = 25 * time.Millisecond
	grace        = 6 * time.Second
	readyLimit   = 15 * time.Second
	pollEvery    = 50 * time.Millisecond
	callLimit    = 2 * time.Second
)

// The deployment's names.
const (
	host       = "soak.example"
	engines    = "engines"
	plains     = "plains"
	batchPath  = "/steps/"
	safePath   = "/check-ins/"
	oncePath   = "/slips/"
	streamPath = "/voices/"
)

var models = []string{"coach", "arranger"}

// deployment is all that runs.
type deployment struct {
	runner    *proc.Runner
	system    *duty.System
	net       *links.Network
	store     *platform.Store
	operator  *operator
	engines   []*platform.Server
	plains    []*platform.Server
	daemons   []*supervise.Process
	readiness []string // addresses, by daemon
	callers   []string // addresses of the links that callers use, by daemon
	client    *platform.Client
}

func daemonName(i int) string { return fmt.Sprintf("daemon-%d", i+1) }
func storeLink(i int) string  { return "store:" + daemonName(i) }
func callerLink(i int) string { return "caller:" + daemonName(i) }

// start starts all processes and waits until every daemon is ready.
func start(ctx context.Context, r *proc.Runner) (*deployment, error) {
	d := &deployment{
		runner: r, system: duty.NewSystem(nil), net: links.New(), store: platform.NewStore(),
		client: &platform.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: memberThreads}}, Host: host},
	}
	d.operator = &operator{store: d.store}
	d.operator.publish()
	for i := range modelServers {
		d.engines = append(d.engines, d.server(fmt.Sprintf("engine-%d", i+1), engines, models...))
	}
	for i := range plainServers {
		d.plains = append(d.plains, d.server(fmt.Sprintf("plain-%d", i+1), plains))
	}
	for _, s := range d.servers() {
		address, err := d.net.Open(s.ID, s.Listener.Addr().String())
		if err != nil {
			return d, err
		}
		s.Advertise(address)
	}
	for i := range daemonCount {
		if err := d.startDaemon(i); err != nil {
			return d, err
		}
	}
	return d, d.await(ctx)
}

func (d *deployment) server(id, service string, models ...string) *platform.Server {
	s := platform.NewServer(d.store, id, service, models...)
	s.Events, s.Gap, s.Killer = itemEvents, eventGap, killerText
	return s
}

func (d *deployment) servers() []*platform.Server {
	return append(append([]*platform.Server(nil), d.engines...), d.plains...)
}

const settingsFormat = `daemon: %s
data_centre: z1
callers: %s
readiness: %s
metrics: %s
store: %s
lease_wait: 1s
grace: %s
fatal_invariants: true
`

func (d *deployment) startDaemon(i int) error {
	listens, err := proc.FreeAddresses(3)
	if err != nil {
		return err
	}
	store, err := d.net.Open(storeLink(i), d.store.Address())
	if err != nil {
		return err
	}
	caller, err := d.net.Open(callerLink(i), listens[0])
	if err != nil {
		return err
	}
	file := filepath.Join(d.runner.OutDir(), daemonName(i)+".yaml")
	content := fmt.Sprintf(settingsFormat, daemonName(i), listens[0], listens[1], listens[2], store, grace)
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		return fmt.Errorf("settings of %s: %w", daemonName(i), err)
	}
	d.callers = append(d.callers, caller)
	d.readiness = append(d.readiness, listens[1])
	d.daemons = append(d.daemons, supervise.Start(d.system, &supervise.Process{
		Runner: d.runner, Name: daemonName(i), Program: "dotterelmountd", Args: []string{"hosted", "--settings", file}, Address: listens[0],
	}))
	return nil
}

// await waits until every daemon is ready. Errors: CodeNotReady.
func (d *deployment) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for i, address := range d.readiness {
		for !d.client.Ready(ctx, address, callLimit) {
			if !duty.Sleep(ctx, pollEvery) {
				return api.Errorf(api.CodeNotReady, "%s is not ready: %w", daemonName(i), ctx.Err())
			}
		}
	}
	return nil
}

// close ends every daemon by a signal of its own, and all else.
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
	d.net.Close()
	d.store.Close()
	return exits, first
}
