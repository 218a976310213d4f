package duty

import (
	"context"
	"runtime/pprof"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against panics that nobody sees.
func TestPanicOfTaskIsReported(t *testing.T) {
	panicked := make(chan *Panic, 1)
	tasks := NewTasks(NewSystem(func(p *Panic) { panicked <- p }), "caller")
	tasks.Start(func(context.Context) { panic("broken") })
	p := <-panicked
	assert.Equal(t, p.Duty, "caller")
	assert.NilError(t, tasks.Stop(t.Context()))
}

// Guards against a stop that keeps a task from storing what it has.
func TestStopWaitsForTasks(t *testing.T) {
	tasks, stored := NewTasks(NewSystem(nil), "caller"), false
	tasks.Start(func(ctx context.Context) { stored = Sleep(ctx, 20*time.Millisecond) })
	assert.NilError(t, tasks.Stop(t.Context()))
	assert.Assert(t, stored)
}

// Guards against a stop that waits without end, and tasks that outlive one.
func TestStopOfTasksIsBounded(t *testing.T) {
	tasks, ended := NewTasks(NewSystem(nil), "caller"), make(chan struct{})
	tasks.Start(func(ctx context.Context) {
		<-ctx.Done()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, tasks.Stop(ctx), context.DeadlineExceeded)
	<-ended
}

// Guards against tasks with a thread each, of which a small host bears few.
func TestTasksShareThreads(t *testing.T) {
	tasks := NewTasks(NewSystem(nil), "caller")
	before, release := pprof.Lookup("threadcreate").Count(), make(chan struct{})
	for range 500 {
		tasks.Start(func(context.Context) { <-release })
	}
	close(release)
	assert.NilError(t, tasks.Stop(t.Context()))
	created := pprof.Lookup("threadcreate").Count() - before
	assert.Assert(t, created < 100, "%d threads", created)
}
