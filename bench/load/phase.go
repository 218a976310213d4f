package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/duty"
)

const (
	stopTimeout  = 15 * time.Second // for all processes of a phase
	drainTimeout = 10 * time.Second // for responses after the last arrival, in addition to the deadline
	setupTimeout = 40 * time.Second
)

// phase is one run of one variant under one policy.
type phase struct {
	experiment *Experiment
	variant    *Variant
	policy     string
	repeat     int
	deployment *deployment
}

// name returns the name of the phase and of its directory.
func (p *phase) name() string { return fmt.Sprintf("%d-%s-%s", p.repeat, p.policy, p.variant.Name) }

// runPhase starts a deployment, runs the load on it and stops it.
func runPhase(ctx context.Context, p *phase, bin, out string) (*PhaseResult, error) {
	timeout := setupTimeout + p.experiment.Warmup + p.experiment.Duration + p.experiment.Deadline + drainTimeout + stopTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dir := filepath.Join(out, p.name())
	if err := os.RemoveAll(dir); err != nil {
		return nil, fmt.Errorf("phase: %w", err)
	}
	runner, err := proc.NewRunner(bin, dir)
	if err != nil {
		return nil, err
	}
	defer runner.KillAll()
	p.deployment = &deployment{experiment: p.experiment, variant: p.variant, policy: p.policy, runner: runner}
	if err := p.deployment.start(ctx); err != nil {
		return nil, err
	}
	result, err := p.runLoad(ctx)
	if err != nil {
		return nil, err
	}
	stopCtx, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()
	if err := runner.StopAll(stopCtx); err != nil {
		result.Notes = append(result.Notes, err.Error())
	}
	return result, nil
}

// runLoad runs the requests, the trainers and the disturbances concurrently and
// returns the measurements.
func (p *phase) runLoad(ctx context.Context) (*PhaseResult, error) {
	system := duty.NewSystem(nil)
	record := newResultRecorder(p)
	recorder := duty.Start(system, duty.Config{Name: "recorder", RingSize: outcomeRingSize}, duty.Handler[requestOutcome](record))
	before := readCPUTimes(p.processIDs())
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	disturbances := p.startDisturbances(loadCtx, system)
	trainers := p.startTrainers(loadCtx, system)
	g := &generator{
		experiment: p.experiment, schedule: newSchedule(p.experiment, p.variant, p.repeat), addresses: p.deployment.targetAddresses(),
		stream: p.variant.Direct || p.experiment.Stream, client: newClient(), recorder: recorder,
	}
	start := time.Now()
	if err := g.run(ctx); err != nil {
		return nil, err
	}
	result := record.result
	for _, t := range trainers {
		result.Trainers = append(result.Trainers, <-t)
	}
	endLoad()
	for _, disturbance := range disturbances {
		if err := <-disturbance; err != nil {
			result.Notes = append(result.Notes, err.Error())
		}
	}
	result.CPU = readCPUTimes(p.processIDs()).since(before, time.Since(start))
	if err := p.readCounters(ctx, result); err != nil {
		return nil, err
	}
	// All outcomes are in the ring by now. Stop would drop those not yet recorded.
	if err := awaitEmptyRing(ctx, recorder); err != nil {
		return nil, err
	}
	return result, recorder.Stop(ctx)
}

// awaitEmptyRing waits until the recorder's ring is empty. Errors: ctx.Err().
func awaitEmptyRing(ctx context.Context, recorder *duty.Duty[requestOutcome]) error {
	for recorder.Depth() > 0 {
		if !waitUntil(ctx, time.Now().Add(time.Millisecond)) {
			return ctx.Err()
		}
	}
	return nil
}

// startDisturbances starts the variant's slowdowns, crashes and weight swaps. The channels
// receive their results.
func (p *phase) startDisturbances(ctx context.Context, system *duty.System) []<-chan error {
	var disturbances []<-chan error
	if p.variant.Slowed {
		disturbances = append(disturbances, startTask(ctx, system, "slowdowns", p.runSlowdowns))
	}
	if p.variant.Crashed {
		disturbances = append(disturbances, startTask(ctx, system, "crashes", p.runCrashes))
	}
	if p.experiment.WeightSwaps.Interval > 0 && !p.variant.Direct {
		disturbances = append(disturbances, startTask(ctx, system, "swaps", p.swapWeights))
	}
	return disturbances
}

// processIDs returns the IDs of the phase's processes by group.
func (p *phase) processIDs() map[string][]int {
	groups := map[string][]int{"bench": {os.Getpid()}}
	for _, d := range p.deployment.daemons {
		groups["daemons"] = append(groups["daemons"], d.PID())
	}
	for _, e := range p.deployment.engines {
		groups["engines"] = append(groups["engines"], e.PID())
	}
	return groups
}

// readCounters reads the machine's load average and the counters of the daemons
// and engines into r.
func (p *phase) readCounters(ctx context.Context, r *PhaseResult) (err error) {
	r.LoadAverage = loadAverage()
	if r.Counters, err = p.deployment.readCounters(ctx); err != nil {
		return err
	}
	r.RequestsByEngine, err = p.requestsByEngine(ctx)
	return err
}

// requestsByEngine returns the number of requests in each engine's journal.
func (p *phase) requestsByEngine(ctx context.Context) ([]int, error) {
	var counts []int
	for _, e := range p.deployment.engines {
		var journal struct {
			Requests []struct{} `json:"requests"`
		}
		if err := fleet.GetJSON(ctx, e.Address, "/journal", &journal); err != nil {
			return nil, err
		}
		counts = append(counts, len(journal.Requests))
	}
	return counts, nil
}
