package duty

import (
	"context"
	"runtime/pprof"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against tasks that outlive a stop, and panics that nobody sees.
func TestTasksEndWithTheirStop(t *testing.T) {
	panicked := make(chan *Panic, 1)
	tasks := NewTasks(NewSystem(func(p *Panic) { panicked <- p }), "caller")
	ended := make(chan struct{}, 100)
	for range cap(ended) {
		tasks.Start(func(ctx context.Context) {
			<-ctx.Done()
			ended <- struct{}{}
		})
	}
	tasks.Start(func(context.Context) { panic("broken") })
	p := <-panicked
	assert.Equal(t, p.Duty, "caller")
	assert.NilError(t, tasks.Stop(t.Context()))
	assert.Equal(t, len(ended), cap(ended))
}

// Guards against a stop that waits without end for a task that doesn't heed it.
func TestStopOfTasksIsBounded(t *testing.T) {
	tasks, release := NewTasks(NewSystem(nil), "caller"), make(chan struct{})
	defer close(release)
	tasks.Start(func(context.Context) { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, tasks.Stop(ctx), context.DeadlineExceeded)
}

// Guards against tasks with a thread each, of which a small host bears few.
func TestTasksShareThreads(t *testing.T) {
	tasks := NewTasks(NewSystem(nil), "caller")
	before := pprof.Lookup("threadcreate").Count()
	for range 500 {
		tasks.Start(func(ctx context.Context) { <-ctx.Done() })
	}
	assert.NilError(t, tasks.Stop(t.Context()))
	created := pprof.Lookup("threadcreate").Count() - before
	assert.Assert(t, created < 100, "%d threads", created)
}
