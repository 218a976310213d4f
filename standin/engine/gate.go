package main

import (
	"context"
	"sync"
)

// gate holds all output back while the engine hangs.
type gate struct {
	mu     sync.Mutex
	opened sync.Cond
	shut   bool
}

func newGate() *gate {
	g := &gate{}
	g.opened.L = &g.mu
	return g
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	g.opened.Broadcast()
}

// wait blocks while the gate is shut, until ctx ends. Errors: ctx.Err().
func (g *gate) wait(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.opened.Broadcast()
	})
	defer stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.shut && ctx.Err() == nil {
		g.opened.Wait()
	}
	return ctx.Err()
}
