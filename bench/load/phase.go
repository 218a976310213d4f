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
	drainTimeout = 10 * time.Second // for the answers after the last arrival, beside the deadline
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

// name is the phase's directory.
func (p *phase) name() string { return fmt.Sprintf("%d-%s-%s", p.repeat, p.policy, p.variant.Name) }

// runPhase starts a deployment, loads it, and stops it.
func runPhase(ctx context.Context, p *phase, bin, out string) (*PhaseResult, error) {
	limit := setupTimeout + p.experiment.Warmup + p.experiment.Duration + p.experiment.Deadline + drainTimeout + stopTimeout
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	stopping, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()
	if err := runner.StopAll(stopping); err != nil {
		result.Notes = append(result.Notes, err.Error())
	}
	return result, nil
}

// runLoad runs the arrivals, the trainers and the disturbances together.
func (p *phase) runLoad(ctx context.Context) (*PhaseResult, error) {
	system := duty.NewSystem(nil)
	record := newResultRecorder(p)
	recorder := duty.Start(system, duty.Config{Name: "recorder", RingSize: outcomeRingSize}, duty.Handler[requestOutcome](record))
	before := readCPUTimes(p.processIDs())
	beside, endBeside := context.WithCancel(ctx)
	defer endBeside()
	running := p.startDisturbances(beside, system)
	trainers := p.startTrainers(beside, system)
	g := &generator{
		experiment: p.experiment, schedule: newSchedule(p.experiment, p.variant, p.repeat), addresses: p.deployment.targetAddresses(),
		stream: p.variant.Direct || p.experiment.Stream, client: newClient(), recorder: recorder,
	}
	began := time.Now()
	if err := g.run(ctx); err != nil {
		return nil, err
	}
	result := record.result
	for _, t := range trainers {
		result.Trainers = append(result.Trainers, <-t)
	}
	endBeside()
	for _, r := range running {
		if err := <-r; err != nil {
			result.Notes = append(result.Notes, err.Error())
		}
	}
	result.CPU = readCPUTimes(p.processIDs()).since(before, time.Since(began))
	if err := p.readCounters(ctx, result); err != nil {
		return nil, err
	}
	// Every outcome is in the ring by now; the stop would drop those still there.
	if err := awaitEmptyRing(ctx, recorder); err != nil {
		return nil, err
	}
	return result, recorder.Stop(ctx)
}

// awaitEmptyRing waits until the recorder has taken everything in.
func awaitEmptyRing(ctx context.Context, recorder *duty.Duty[requestOutcome]) error {
	for recorder.Depth() > 0 {
		if !waitUntil(ctx, time.Now().Add(time.Millisecond)) {
			return ctx.Err()
		}
	}
	return nil
}

func (p *phase) startDisturbances(ctx context.Context, system *duty.System) []<-chan error {
	var running []<-chan error
	if p.variant.Slowed {
		running = append(running, startTask(ctx, system, "slowdowns", p.runSlowdowns))
	}
	if p.experiment.WeightSwaps.Interval > 0 && !p.variant.Direct {
		running = append(running, startTask(ctx, system, "swaps", p.swapWeights))
	}
	return running
}

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

// readCounters reads what the processes counted.
func (p *phase) readCounters(ctx context.Context, r *PhaseResult) (err error) {
	r.LoadAverage = loadAverage()
	if r.Counters, err = p.deployment.readCounters(ctx); err != nil {
		return err
	}
	r.RequestsByEngine, err = p.requestsByEngine(ctx)
	return err
}

// requestsByEngine returns how many requests each engine got.
func (p *phase) requestsByEngine(ctx context.Context) ([]int, error) {
	var counts []int
	for _, e := range p.deployment.engines {
		var j struct {
			Requests []struct{} `json:"requests"`
		}
		if err := fleet.GetJSON(ctx, e.Address, "/journal", &j); err != nil {
			return nil, err
		}
		counts = append(counts, len(j.Requests))
	}
	return counts, nil
}
