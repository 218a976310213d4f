package main

import (
	"context"
	"time"

	"dotterelmount.example/lib/duty"
)

const (
	// samplesReady is how long a trainer is away before the versions change, so
	// that samples of its open steps wait for it.
	samplesReady = 700 * time.Millisecond
	outdateLimit = 6 * time.Second
)

// outdate keeps a trainer away while the samples made for it become older than
// its plan's bound. It reports whether all versions were accepted meanwhile.
func (j *injector) outdate(ctx context.Context, t *trainee, daemon int) bool {
	back, ok := t.leave()
	if !ok {
		return false
	}
	defer back()
	if !duty.Sleep(ctx, samplesReady) {
		return false
	}
	limit := time.Now().Add(outdateLimit)
	for accepted := 0; accepted <= stalenessBound; {
		if j.operators.announce(ctx, daemon) {
			accepted++
			continue
		}
		if time.Now().After(limit) || !duty.Sleep(ctx, retryEvery) {
			return false
		}
	}
	return true
}
