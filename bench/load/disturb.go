package main

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
)

// wait returns false when ctx ends before the time.
func wait(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// background is work that runs beside the load, on a thread of its own.
type background struct {
	ctx  context.Context
	run  func(context.Context) error
	done chan<- error
}

// Handle does the work.
func (b background) Handle(context.Context, struct{}) { b.done <- b.run(b.ctx) }

// launch starts background work; its result comes on the channel.
func launch(ctx context.Context, system *duty.System, name string, run func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	d := duty.Start(system, duty.Config{Name: name, RingSize: 1}, duty.Handler[struct{}](background{ctx, run, done}))
	_ = d.Post(struct{}{}) // an empty ring of one entry takes the only message
	return done
}

// slowDown plays the bursts until the last or the end of ctx.
func (p *phase) slowDown(ctx context.Context) error {
	begin := time.Now()
	for _, b := range bursts(p.exp, p.repeat) {
		if !wait(ctx, begin.Add(b.from)) {
			return nil
		}
		if err := p.setFactor(ctx, b.engines, p.exp.Slowdowns.Factor); err != nil {
			return ended(ctx, err)
		}
		if !wait(ctx, begin.Add(b.to)) {
			return nil
		}
		if err := p.setFactor(ctx, b.engines, 1); err != nil {
			return ended(ctx, err)
		}
	}
	return nil
}

func (p *phase) setFactor(ctx context.Context, engines []int, factor float64) error {
	for _, i := range engines {
		if err := p.deployment.slow(ctx, i, factor); err != nil {
			return err
		}
	}
	return nil
}

// swapWeights announces the next version again and again.
func (p *phase) swapWeights(ctx context.Context) error {
	begin := time.Now()
	for n := 1; ; n++ {
		if !wait(ctx, begin.Add(time.Duration(n)*p.exp.Swaps.Every)) {
			return nil
		}
		if err := p.deployment.announce(ctx, firstVersion+api.WeightVersion(n)); err != nil {
			return ended(ctx, err)
		}
	}
}

// ended drops an error that the end of the phase brought about.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
