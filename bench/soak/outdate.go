package main

import (
	"context"
	"time"

	"dotterelmount.example/lib/duty"
)

const (
	// samplesReadyDelay is the time from the suspension of a trainer to the change of
	// versions. Meanwhile samples of its open steps become ready.
	samplesReadyDelay = 700 * time.Millisecond
	outdateTimeout    = 6 * time.Second
)

// outdateSamples suspends a trainer and announces versions until the samples ready for
// it exceed its plan's staleness bound. It reports whether all versions were accepted.
func (j *injector) outdateSamples(ctx context.Context, t *trainerProcess, daemon int) bool {
	resume, ok := t.suspend()
	if !ok {
		return false
	}
	defer resume()
	if !duty.Sleep(ctx, samplesReadyDelay) {
		return false
	}
	deadline := time.Now().Add(outdateTimeout)
	for accepted := 0; accepted <= stalenessBound; {
		if j.operators.announce(ctx, daemon) {
			accepted++
			continue
		}
		if time.Now().After(deadline) || !duty.Sleep(ctx, retryInterval) {
			return false
		}
	}
	return true
}
