package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/duty"
)

const (
	startTimeout    = 30 * time.Second
	closeTimeout    = 30 * time.Second
	recoveryTimeout = 12 * time.Second
	calmTime        = reconnectTime + time.Second // load without faults, so that all daemons are in touch
	calmStopCount   = 2                           // graceful stops in the calm, one after the other
	calmDrainTime   = 4 * time.Second
)

// runParts runs the parts in order. Errors end it early.
func runParts(ctx context.Context, runner *proc.Runner, r *Result, faults []fault) error {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := startDeployment(starting, runner)
	if err != nil {
		return err
	}
	j := newInjector(d)
	l := &load{deployment: d, seed: r.Seed}
	var trainers []*trainer
	for i, model := range models {
		trainers = append(trainers, &trainer{deployment: d, model: model, result: r, injector: j, rng: rand.New(rand.NewPCG(r.Seed, uint64(memberThreads+i)))})
	}
	stops := r.runLoadAndFaults(ctx, d, j, l, trainers, faults)
	r.checkRecovery(ctx, d, l)
	for _, t := range trainers {
		t.rereadResults(ctx)
	}
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	exits, err := d.close(closing)
	if err != nil {
		r.Errorf("end of a daemon: %v", err)
	}
	e := readArrivals(d)
	r.evaluateRequests(l.requests, e)
	r.evaluateSteps(trainers, e)
	r.evaluateKillers(l.requests, e, j)
	r.evaluateDrains(j.drains, l.requests, e, j)
	r.evaluateStops(stops, l.requests, e)
	r.evaluateLoadOrders(d)
	r.evaluateExits(exits)
	r.evaluateFaults(j)
	r.Probes = int(r.probes.Load())
	return nil
}

// runLoadAndFaults makes load while the faults come, and ends with a calm in which
// daemons are stopped and a server drained. It returns these stops.
func (r *Result) runLoadAndFaults(ctx context.Context, d *deployment, j *injector, l *load, trainers []*trainer, faults []fault) []injectedFault {
	begin := time.Now()
	loaded, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	probes := startProbes(loaded, d, r, j)
	var users sync.WaitGroup
	users.Add(1 + len(trainers))
	duty.Run(d.system, "load", func() {
		defer users.Done()
		l.run(loaded)
	})
	for _, t := range trainers {
		duty.Run(d.system, "trainer-"+t.model, func() {
			defer users.Done()
			t.run(ctx, loaded)
		})
	}
	j.run(ctx, faults)
	stops := runCalm(ctx, d, j)
	stopLoad()
	users.Wait()
	probes.Wait()
	r.Seconds = time.Since(begin).Seconds()
	return stops
}

// runCalm stops some daemons, one after the other, and drains a server, without
// any other fault.
func runCalm(ctx context.Context, d *deployment, j *injector) (stops []injectedFault) {
	duty.Sleep(ctx, calmTime)
	j.drainServer(ctx, d.engines[0], calmDrainTime)
	for i := range calmStopCount {
		h := injectedFault{Kind: daemonTerm, Subject: daemonName(i), Begin: time.Now()}
		d.daemons[i].Terminate(ctx, stopTimeout)
		h.End = time.Now()
		stops = append(stops, h)
		duty.Sleep(ctx, calmTime)
	}
	return stops
}

// checkRecovery reports whether, without faults, every daemon serves each kind of
// request within a bounded time.
func (r *Result) checkRecovery(ctx context.Context, d *deployment, l *load) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	r.Recovered = true
	for i := range daemonCount {
		for _, path := range []string{safePath, oncePath, streamPath} {
			for n := 0; ; n++ {
				a := l.send(ctx, path, fmt.Sprintf("end-%d-%s-%d", i, path[1:len(path)-1], n), i, "")
				if a.Err == nil && a.Status == http.StatusOK {
					break
				}
				if !duty.Sleep(ctx, retryInterval) {
					r.Recovered = false
					r.Errorf("%s does not serve %s again: status %d, %v", daemonName(i), path, a.Status, a.Err)
					break
				}
			}
		}
	}
}

// evaluateFaults counts the faults that were brought about.
func (r *Result) evaluateFaults(j *injector) {
	for _, h := range j.injected {
		if h.Kind != "" {
			r.Faults[h.Kind]++
		}
	}
	for _, k := range kinds() {
		if r.Faults[k] == 0 {
			r.FaultsMissing = append(r.FaultsMissing, k)
		}
	}
}
