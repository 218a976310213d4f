package main

import (
	"context"
	"time"

	"dotterelmount.example/lib/duty"
)

const (
	// samplesReadyDelay is how long a trainer is away before the versions change, so
	// that samples of its open steps wait for it.
	samplesReadyDelay = 700 * time.Millisecond
	outdateTimeout    = 6 * time.Second
)

// outdateSamples keeps a trainer away while the samples made for it become older than
// its plan's bound. It reports whether all versions were accepted meanwhile.
func (j *injector) outdateSamples(ctx context.Context, t *trainerProcess, daemon int) bool {
	back, ok := t.suspend()
	if !ok {
		return false
	}
	defer back()
	if !duty.Sleep(ctx, samplesReadyDelay) {
		return false
	}
	limit := time.Now().Add(outdateTimeout)
	for accepted := 0; accepted <= stalenessBound; {
		if j.operators.announce(ctx, daemon) {
			accepted++
			continue
		}
		if time.Now().After(limit) || !duty.Sleep(ctx, retryInterval) {
			return false
		}
	}
	return true
}
