package duty

import (
	"context"
	"runtime/debug"
	"sync"
)

// Tasks runs functions that wait for the network most of the time, on behalf of a duty and
// without a thread each. A task shares no state with others: it reports to its duty by a
// message. The duty bounds their number.
type Tasks struct {
	system  *System
	name    string
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewTasks returns a set of tasks, which is empty.
func NewTasks(s *System, name string) *Tasks {
	t := &Tasks{system: s, name: name}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Start starts a task. ctx ends when a stop has waited long enough for it. A panic is handled as that of a
// duty. It must not be called once Stop has been.
func (t *Tasks) Start(f func(ctx context.Context)) {
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		defer func() {
			if r := recover(); r != nil {
				t.system.onPanic(&Panic{Duty: t.name, Reason: r, Stack: debug.Stack()})
			}
		}()
		f(t.ctx)
	}()
}

// Stop waits for all tasks. If ctx ends first, it ends theirs. Errors: ctx.Err().
func (t *Tasks) Stop(ctx context.Context) error {
	defer t.cancel()
	ended := make(chan struct{})
	go func() {
		t.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StopWithTasks stops owner and then waits for its tasks, until the first error. Errors: ctx.Err().
func StopWithTasks[O any](ctx context.Context, owner *Duty[O], t *Tasks) error {
	if err := owner.Stop(ctx); err != nil {
		return err
	}
	return t.Stop(ctx)
}
