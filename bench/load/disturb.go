package main

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
)

// waitUntil waits until the given time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// backgroundTask is a function that runs on its own thread during the load.
type backgroundTask struct {
	ctx  context.Context
	run  func(context.Context) error
	done chan<- error
}

// Handle runs the task and sends its result.
func (b backgroundTask) Handle(context.Context, struct{}) { b.done <- b.run(b.ctx) }

// startTask starts a background task. The returned channel receives its result.
func startTask(ctx context.Context, system *duty.System, name string, run func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	d := duty.Start(system, duty.Config{Name: name, RingSize: 1}, duty.Handler[struct{}](backgroundTask{ctx, run, done}))
	_ = d.Post(struct{}{}) // can't fail: the ring is empty and this is the only message
	return done
}

// runSlowdowns runs the bursts of slowdowns until the last one or the end of ctx.
func (p *phase) runSlowdowns(ctx context.Context) error {
	return p.runBursts(ctx, drawSlowdowns(p.experiment, p.repeat), engineMode{Mode: "slow", Factor: p.experiment.Slowdowns.Factor})
}

// runCrashes runs the crashes until the last one or the end of ctx.
func (p *phase) runCrashes(ctx context.Context) error {
	return p.runBursts(ctx, drawCrashes(p.experiment, p.repeat), engineMode{Mode: "cut"})
}

// runBursts sets the mode of the engines of each burst for its duration.
func (p *phase) runBursts(ctx context.Context, bursts []burst, mode engineMode) error {
	start := time.Now()
	for _, b := range bursts {
		if !waitUntil(ctx, start.Add(b.start)) {
			return nil
		}
		if err := p.setModes(ctx, b.engines, mode); err != nil {
			return ignoreAfterEnd(ctx, err)
		}
		if !waitUntil(ctx, start.Add(b.end)) {
			return nil
		}
		if err := p.setModes(ctx, b.engines, engineMode{Mode: "normal", Factor: 1}); err != nil {
			return ignoreAfterEnd(ctx, err)
		}
	}
	return nil
}

func (p *phase) setModes(ctx context.Context, engines []int, mode engineMode) error {
	for _, i := range engines {
		if err := p.deployment.setMode(ctx, i, mode); err != nil {
			return err
		}
	}
	return nil
}

// swapWeights announces a new weight version at each interval until ctx ends.
func (p *phase) swapWeights(ctx context.Context) error {
	start := time.Now()
	for n := 1; ; n++ {
		if !waitUntil(ctx, start.Add(time.Duration(n)*p.experiment.WeightSwaps.Interval)) {
			return nil
		}
		if err := p.deployment.announce(ctx, firstVersion+api.WeightVersion(n)); err != nil {
			return ignoreAfterEnd(ctx, err)
		}
	}
}

// ignoreAfterEnd returns nil if ctx has ended, since the end of the phase may
// have caused the error, and err otherwise.
func ignoreAfterEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
