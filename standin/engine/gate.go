package main

import (
	"context"
	"sync"
)

// gate holds all output back while the engine hangs.
type gate struct {
	mu      sync.Mutex
	changed sync.Cond
	closed  bool
}

func newGate() *gate {
	g := &gate{}
	g.changed.L = &g.mu
	return g
}

func (g *gate) setClosed(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = shut
	g.changed.Broadcast()
}

// wait blocks while the gate is shut, until ctx ends. Errors: ctx.Err().
func (g *gate) wait(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.changed.Broadcast()
	})
	defer stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.closed && ctx.Err() == nil {
		g.changed.Wait()
	}
	return ctx.Err()
}
