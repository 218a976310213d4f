package duty

import "context"

// Pool is a bounded set of like duties that one owner hands messages to, one
// message at a time each. Workers start when they are first needed, up to the
// pool's size, and stay. A pool belongs to its owner's thread.
type Pool[M any] struct {
	system  *System
	cfg     Config
	size    int
	handler func() Handler[M]
	workers []*Duty[M]
	idle    []int
}

// NewPool returns a pool of at most size workers, each with a handler of its own.
func NewPool[M any](s *System, cfg Config, size int, handler func() Handler[M]) *Pool[M] {
	cfg.RingSize = 1 // only an idle worker gets a message
	return &Pool[M]{system: s, cfg: cfg, size: size, handler: handler}
}

// Idle reports whether Take would find a worker.
func (p *Pool[M]) Idle() bool { return len(p.idle) > 0 || len(p.workers) < p.size }

// Acquire takes an idle worker out of the pool, until Give. It returns the
// worker's number, and false when all are busy.
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

// Post hands a message to a worker that was taken. Errors: *ring.ClosedError
// once the pool stopped.
func (p *Pool[M]) Post(worker int, m M) error { return p.workers[worker].Post(m) }

// Release puts a worker back.
func (p *Pool[M]) Release(worker int) { p.idle = append(p.idle, worker) }

// StopPool stops the owner and then the workers, up to the first failure.
// Errors: ctx.Err().
func StopPool[O, M any](ctx context.Context, owner *Duty[O], p *Pool[M]) error {
	return StopAll(ctx, owner, p.workers)
}
