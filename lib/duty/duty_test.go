package duty_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ring"
	"gotest.tools/v3/assert"
)

type gate struct {
	entered chan int
	release chan struct{}
	ticks   chan struct{}
}

func (g *gate) Handle(_ context.Context, n int) {
	if n < 0 {
		panic(n)
	}
	g.entered <- n
	<-g.release
}

func (g *gate) Tick(context.Context) {
	select {
	case g.ticks <- struct{}{}:
	default:
	}
}

func newGate() *gate {
	return &gate{entered: make(chan int, 16), release: make(chan struct{}, 16), ticks: make(chan struct{}, 1)}
}

func TestFullRingRejectsWithTypedError(t *testing.T) {
	g := newGate()
	d := duty.Start(duty.NewSystem(nil), duty.Config{Name: "gate", RingSize: 2}, g)
	assert.NilError(t, d.Post(1))
	assert.Equal(t, <-g.entered, 1)
	assert.NilError(t, d.Post(2))
	assert.NilError(t, d.Post(3))
	var full *duty.FullError
	assert.Assert(t, errors.As(d.Post(4), &full))
	assert.Equal(t, full.Capacity, 2)
	assert.Equal(t, d.Rejected(), uint64(1))
	for range 3 {
		g.release <- struct{}{}
	}
	assert.Equal(t, <-g.entered, 2)
	assert.Equal(t, <-g.entered, 3)
}

func TestStopIsNotBlockedByFullRing(t *testing.T) {
	g := newGate()
	d := duty.Start(duty.NewSystem(nil), duty.Config{Name: "gate", RingSize: 1}, g)
	assert.NilError(t, d.Post(1))
	<-g.entered
	assert.NilError(t, d.Post(2))
	g.release <- struct{}{}
	g.release <- struct{}{}
	assert.NilError(t, d.Stop(t.Context()))
	var closed *ring.ClosedError
	assert.Assert(t, errors.As(d.Post(3), &closed))
}

type dropRecorder struct {
	gate
	dropped []int
}

func (r *dropRecorder) Dropped(n int) { r.dropped = append(r.dropped, n) }

func TestStopPassesQueuedMessagesToDropped(t *testing.T) {
	r := &dropRecorder{gate: *newGate()}
	d := duty.Start(duty.NewSystem(nil), duty.Config{Name: "recorder", RingSize: 4}, r)
	for n := range 3 {
		assert.NilError(t, d.Post(n))
	}
	<-r.entered
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(t.Context()) }()
	for { // the stop is processed before the next message
		select {
		case r.release <- struct{}{}:
			continue
		case err := <-stopped:
			assert.NilError(t, err)
		}
		break
	}
	handled := len(r.entered) + 1
	assert.Equal(t, handled+len(r.dropped), 3)
}

func TestPanicIsReportedAndDutyContinues(t *testing.T) {
	g := newGate()
	seen := make(chan *duty.Panic, 1)
	s := duty.NewSystem(func(p *duty.Panic) { seen <- p })
	d := duty.Start(s, duty.Config{Name: "gate", RingSize: 4}, g)
	assert.NilError(t, d.Post(-1))
	assert.NilError(t, d.Post(7))
	assert.Equal(t, (<-seen).Reason, -1)
	assert.Equal(t, <-g.entered, 7)
	g.release <- struct{}{}
	assert.NilError(t, d.Stop(t.Context()))
}

func TestTicksArriveWhileRingIsEmpty(t *testing.T) {
	g := newGate()
	d := duty.Start(duty.NewSystem(nil), duty.Config{Name: "gate", RingSize: 1, Tick: time.Millisecond}, g)
	<-g.ticks
	<-g.ticks
	assert.NilError(t, d.Stop(t.Context()))
}

// idleHandler is idle until it receives a message.
type idleHandler struct {
	busy  bool
	ticks chan bool // busy at each tick
}

func (h *idleHandler) Handle(_ context.Context, busy bool) { h.busy = busy }
func (h *idleHandler) Idle() bool                          { return !h.busy }
func (h *idleHandler) Tick(context.Context)                { h.ticks <- h.busy }

func TestIdleDutyUsesIdleTick(t *testing.T) {
	h := &idleHandler{ticks: make(chan bool, 1024)}
	cfg := duty.Config{Name: "idle", RingSize: 1, Tick: time.Millisecond, IdleTick: time.Hour}
	d := duty.Start(duty.NewSystem(nil), cfg, h)
	assert.Equal(t, <-h.ticks, false) // the next tick would be due after an hour
	assert.NilError(t, d.Post(true))
	assert.Equal(t, <-h.ticks, true)
	assert.Equal(t, <-h.ticks, true)
	assert.NilError(t, d.PostWait(t.Context(), false))
	for <-h.ticks {
	}
	assert.NilError(t, d.Stop(t.Context()))
	assert.Equal(t, len(h.ticks), 0)
}

type counter struct{ done chan struct{} }

func (c *counter) Handle(_ context.Context, last bool) {
	if last {
		close(c.done)
	}
}

func benchmarkPost(b *testing.B, unlocked bool) {
	c := &counter{done: make(chan struct{})}
	d := duty.Start(duty.NewSystem(nil), duty.Config{Name: "count", RingSize: 1024, Unlocked: unlocked}, c)
	for i := range b.N {
		if err := d.PostWait(b.Context(), i == b.N-1); err != nil {
			b.Fatal(err)
		}
	}
	<-c.done
}

type echo struct{}

func (echo) Handle(_ context.Context, s *ring.Slot[int]) { s.Put(1) }

func benchmarkCall(b *testing.B, unlocked bool) {
	d := duty.Start(duty.NewSystem(nil), duty.Config{Name: "echo", RingSize: 16, Unlocked: unlocked}, echo{})
	for range b.N {
		s := ring.NewSlot[int]()
		if err := d.Post(s); err != nil {
			b.Fatal(err)
		}
		if _, err := s.Wait(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPostLocked(b *testing.B)   { benchmarkPost(b, false) }
func BenchmarkPostUnlocked(b *testing.B) { benchmarkPost(b, true) }
func BenchmarkCallLocked(b *testing.B)   { benchmarkCall(b, false) }
func BenchmarkCallUnlocked(b *testing.B) { benchmarkCall(b, true) }
