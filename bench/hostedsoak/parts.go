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
	calmTime        = reconnectTime + time.Second // load without faults, so that all daemons have recovered
	calmStopCount   = 2                           // graceful stops, one after another
	calmDrainTime   = 4 * time.Second
)

// runParts starts the deployment, runs load and faults, stops the deployment and
// evaluates the run. If the deployment doesn't start, it returns the error and
// skips the rest.
func runParts(ctx context.Context, runner *proc.Runner, r *Result, faults []fault, b builds) error {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := startDeployment(starting, runner, b, r.Seed%2 == 0)
	if err != nil {
		return err
	}
	r.keys = b.same
	j := newInjector(d)
	l := &load{deployment: d, seed: r.Seed, resumptions: make(map[int]int)}
	var trainers []*trainer
	for i, model := range models {
		trainers = append(trainers, &trainer{deployment: d, model: model, result: r, injector: j, rng: rand.New(rand.NewPCG(r.Seed, uint64(memberThreads+i)))})
	}
	stops, limits, cut := r.runLoadAndFaults(ctx, d, j, l, trainers, faults)
	r.checkRecovery(ctx, d, l)
	for _, t := range trainers {
		t.rereadResults(ctx)
	}
	if b.same {
		r.awaitUsage(ctx, d)
	}
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	exits, err := d.close(closing)
	if err != nil {
		r.Errorf("stop daemon: %v", err)
	}
	index := readArrivals(d)
	r.evaluateRequests(l.requests, index)
	r.evaluateSteps(trainers, index)
	r.evaluateTenants(trainers, index, b.same)
	r.evaluateKillers(l.requests, index, j)
	r.evaluateDrains(j.drains, l.requests, index, j)
	r.evaluateCutOff(cut, l.requests)
	r.evaluateStops(stops, l.requests, index)
	r.evaluateLoadOrders(d)
	r.evaluateLimits(d, limits)
	r.evaluateUsage(d)
	r.evaluateExits(exits)
	r.evaluateFaults(j)
	r.Probes, r.RevokedKeys = int(r.probes.Load()), int(r.revoked.Load())
	r.Resumptions = l.resumptions
	for _, end := range l.notContinued {
		if end.After(limits.begin) && end.Before(limits.end) {
			r.Countf(&r.NotContinued, "a stream broken off at %s was not completed", end.Format("15:04:05.000"))
		}
	}
	return nil
}

// runLoadAndFaults runs the load, first while the scheduled faults are injected and
// then during the calm phase. It returns the graceful stops, the period of request limits
// and that of the cut-off of the calm phase.
func (r *Result) runLoadAndFaults(ctx context.Context, d *deployment, j *injector, l *load, trainers []*trainer, faults []fault) ([]injectedFault, limitPeriod, cutPeriod) {
	begin := time.Now()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	probes := startProbes(loadCtx, d, r, j)
	var senders sync.WaitGroup
	senders.Add(1 + len(trainers))
	duty.Run(d.system, "load", func() {
		defer senders.Done()
		l.run(loadCtx)
	})
	for _, t := range trainers {
		duty.Run(d.system, "trainer-"+t.model, func() {
			defer senders.Done()
			t.run(ctx, loadCtx)
		})
	}
	replaced := j.replaceBuilds(ctx, faults[len(faults)-1].Start)
	j.run(ctx, faults)
	replaced.Wait()
	duty.Sleep(ctx, calmTime)
	limits := limitServers(ctx, d)
	duty.Sleep(ctx, calmTime)
	cut := cutOffCalmly(ctx, d, l, r.Seed)
	stops := runCalm(ctx, d, j)
	stopLoad()
	senders.Wait()
	probes.Wait()
	r.Seconds = time.Since(begin).Seconds()
	return stops, limits, cut
}

// runCalm runs the calm phase, the last part of the load, without scheduled faults:
// it drains a server and gracefully stops calmStopCount daemons, one after another.
// Without other faults, requests that fail at these stops were cut by them.
func runCalm(ctx context.Context, d *deployment, j *injector) (stops []injectedFault) {
	duty.Sleep(ctx, calmTime)
	j.drainServer(ctx, d.engines[0], calmDrainTime)
	for i := range calmStopCount {
		stop := injectedFault{Kind: daemonTerm, Subject: daemonName(i), Begin: time.Now()}
		d.daemons[i].Terminate(ctx, stopTimeout)
		stop.End = time.Now()
		stops = append(stops, stop)
		duty.Sleep(ctx, calmTime)
	}
	return stops
}

// checkRecovery records whether every daemon serves each kind of request within
// recoveryTimeout once there are no more faults.
func (r *Result) checkRecovery(ctx context.Context, d *deployment, l *load) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	r.Recovered = true
	for i := range daemonCount {
		for _, path := range []string{safePath, oncePath, streamPath} {
			for n := 0; ; n++ {
				record := l.send(ctx, path, fmt.Sprintf("end-%d-%s-%d", i, path[1:len(path)-1], n), i, "")
				if record.Err == nil && record.Status == http.StatusOK {
					break
				}
				if !duty.Sleep(ctx, retryInterval) {
					r.Recovered = false
					r.Errorf("%s did not recover for %s: status %d, %v", daemonName(i), path, record.Status, record.Err)
					break
				}
			}
		}
	}
}

// evaluateFaults counts the injected faults by kind and lists the missing kinds.
func (r *Result) evaluateFaults(j *injector) {
	for _, f := range j.injected {
		if f.Kind != "" {
			r.Faults[f.Kind]++
		}
	}
	for _, k := range kinds() {
		if r.Faults[k] == 0 {
			r.FaultsMissing = append(r.FaultsMissing, k)
		}
	}
}
