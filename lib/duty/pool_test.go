package duty_test

import (
	"context"
	"testing"

	"dotterelmount.example/lib/duty"
	"gotest.tools/v3/assert"
)

type forward struct{ out chan int }

func (f forward) Handle(_ context.Context, n int) { f.out <- n }

func TestPoolStartsWorkersOnDemand(t *testing.T) {
	sys := duty.NewSystem(nil)
	out := make(chan int, 4)
	started := 0
	p := duty.NewPool(sys, duty.Config{Name: "worker"}, 2, func() duty.Handler[int] {
		started++
		return forward{out}
	})
	assert.Equal(t, started, 0)
	a, ok := p.Acquire()
	assert.Assert(t, ok)
	assert.NilError(t, p.Post(a, 1))
	assert.Equal(t, <-out, 1)
	p.Release(a)
	again, ok := p.Acquire()
	assert.Assert(t, ok)
	assert.Equal(t, again, a, "idle worker is reused before a new one is started")
	_, ok = p.Acquire()
	assert.Assert(t, ok)
	assert.Assert(t, !p.Idle())
	_, ok = p.Acquire()
	assert.Assert(t, !ok)
	assert.Equal(t, started, 2)
	owner := duty.Start(sys, duty.Config{Name: "owner", RingSize: 1}, duty.Handler[int](forward{out}))
	assert.NilError(t, duty.StopPool(t.Context(), owner, p))
}
