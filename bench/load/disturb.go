package main

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
)

// waitUntil returns false when ctx ends before the time.
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

// backgroundTask is work that runs beside the load, on a thread of its own.
type backgroundTask struct {
	ctx  context.Context
	run  func(context.Context) error
	done chan<- error
}

// Handle does the work.
func (b backgroundTask) Handle(context.Context, struct{}) { b.done <- b.run(b.ctx) }

// startTask starts background work; its result comes on the channel.
func startTask(ctx context.Context, system *duty.System, name string, run func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	d := duty.Start(system, duty.Config{Name: name, RingSize: 1}, duty.Handler[struct{}](backgroundTask{ctx, run, done}))
	_ = d.Post(struct{}{}) // an empty ring of one entry takes the only message
	return done
}

// runSlowdowns plays the bursts until the last or the end of ctx.
func (p *phase) runSlowdowns(ctx context.Context) error {
	begin := time.Now()
	for _, b := range drawBursts(p.experiment, p.repeat) {
		if !waitUntil(ctx, begin.Add(b.start)) {
			return nil
		}
		if err := p.setSlowFactors(ctx, b.engines, p.experiment.Slowdowns.Factor); err != nil {
			return ignoreAfterEnd(ctx, err)
		}
		if !waitUntil(ctx, begin.Add(b.end)) {
			return nil
		}
		if err := p.setSlowFactors(ctx, b.engines, 1); err != nil {
			return ignoreAfterEnd(ctx, err)
		}
	}
	return nil
}

func (p *phase) setSlowFactors(ctx context.Context, engines []int, factor float64) error {
	for _, i := range engines {
		if err := p.deployment.setSlowFactor(ctx, i, factor); err != nil {
			return err
		}
	}
	return nil
}

// swapWeights announces the next version again and again.
func (p *phase) swapWeights(ctx context.Context) error {
	begin := time.Now()
	for n := 1; ; n++ {
		if !waitUntil(ctx, begin.Add(time.Duration(n)*p.experiment.WeightSwaps.Interval)) {
			return nil
		}
		if err := p.deployment.announce(ctx, firstVersion+api.WeightVersion(n)); err != nil {
			return ignoreAfterEnd(ctx, err)
		}
	}
}

// ignoreAfterEnd drops an error that the end of the phase brought about.
func ignoreAfterEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
