package main

import (
	"context"
	"sync"
)

// gate blocks requests and output while the engine is in mode hang.
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

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	g.changed.Broadcast()
}

// wait blocks until the gate is open or ctx ends. Errors: ctx.Err().
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
