package duty

import "context"

// Pool is a set of identical worker duties of an owner, each of which processes
// one message at a time. Workers are started when they are first needed, up to the
// pool's size, and not stopped when idle. A pool may only be used by its owner's
// thread.
type Pool[M any] struct {
	system  *System
	cfg     Config
	size    int
	handler func() Handler[M]
	workers []*Duty[M]
	idle    []int
}

// NewPool returns a pool of at most size workers. handler is called once for each
// worker.
func NewPool[M any](s *System, cfg Config, size int, handler func() Handler[M]) *Pool[M] {
	cfg.RingSize = 1 // only idle workers receive a message
	return &Pool[M]{system: s, cfg: cfg, size: size, handler: handler}
}

// Idle reports whether Acquire would return a worker.
func (p *Pool[M]) Idle() bool { return len(p.idle) > 0 || len(p.workers) < p.size }

// Acquire reserves an idle worker until Release. It returns the worker's index, or
// false if all workers are busy.
func (p *Pool[M]) Acquire() (int, bool) {
	if n := len(p.idle); n > 0 {
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return w, true
	}
	if len(p.workers) >= p.size {
		return 0, false
	}
	p.workers = append(p.workers, Start(p.system, p.cfg, p.handler()))
	return len(p.workers) - 1, true
}

// Post sends a message to an acquired worker. Errors: *ring.ClosedError after the
// pool has stopped.
func (p *Pool[M]) Post(worker int, m M) error { return p.workers[worker].Post(m) }

// Release returns a worker to the pool.
func (p *Pool[M]) Release(worker int) { p.idle = append(p.idle, worker) }

// StopPool stops owner and then the workers of the pool, until the first error.
// Errors: ctx.Err().
func StopPool[O, M any](ctx context.Context, owner *Duty[O], p *Pool[M]) error {
	return StopAll(ctx, owner, p.workers)
}
