package check

import (
	"context"
	"fmt"
	"sync"

	"dotterelmount.example/lib/duty"
)

// jobsPerWorker is the size of each worker's ring.
const jobsPerWorker = 16

// Pool runs jobs on a fixed number of duties.
type Pool struct{ workers []*duty.Duty[func()] }

type worker struct{}

// Handle runs one job.
func (worker) Handle(_ context.Context, job func()) { job() }

// NewPool starts a pool of n duties.
func NewPool(n int) *Pool {
	system := duty.NewSystem(nil)
	p := &Pool{}
	for i := range n {
		cfg := duty.Config{Name: fmt.Sprintf("caller-%d", i), RingSize: jobsPerWorker}
		p.workers = append(p.workers, duty.Start(system, cfg, worker{}))
	}
	return p
}

// Do runs all jobs and waits for them. If ctx ends first, it waits only for the
// jobs already queued. Errors: ctx.Err().
func (p *Pool) Do(ctx context.Context, jobs []func()) error {
	var pending sync.WaitGroup
	defer pending.Wait()
	for i, job := range jobs {
		pending.Add(1)
		run := func() {
			defer pending.Done()
			job()
		}
		if err := p.workers[i%len(p.workers)].PostWait(ctx, run); err != nil {
			pending.Done()
			return err
		}
	}
	return nil
}

// Close stops the duties. Errors: ctx.Err().
func (p *Pool) Close(ctx context.Context) error {
	for _, w := range p.workers {
		if err := w.Stop(ctx); err != nil {
			return err
		}
	}
	return nil
}
