// Package duty runs each duty of a process as an actor on its own operating
// system thread, which receives messages from a bounded ring and sleeps while the
// ring is empty. The state of a duty is accessed only by that thread.
package duty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"dotterelmount.example/lib/ring"
	"github.com/asynkron/protoactor-go/actor"
)

// Handler implements a duty. Its methods are called on the duty's thread, one at
// a time.
type Handler[M any] interface {
	// Handle processes a message. ctx ends when the duty is stopped.
	Handle(ctx context.Context, m M)
}

// Ticker is implemented by handlers that are called every Config.Tick. A tick is
// dropped while another one is pending.
type Ticker interface{ Tick(ctx context.Context) }

// Idler is implemented by tickers that can be idle. If Idle returns true after a
// tick, the next tick is due after Config.IdleTick. If Idle then returns false after
// a message, the next tick is due Config.Tick after that message.
type Idler interface{ Idle() bool }

// Stopper is implemented by handlers that clean up on the duty's thread after the
// last message.
type Stopper interface{ Stopped() }

// Dropper is implemented by handlers that must respond to every message. Messages
// that are still queued when the duty stops are passed to Dropped on the duty's
// thread, after Stopped.
type Dropper[M any] interface{ Dropped(m M) }

// Config configures a duty.
type Config struct {
	Name     string
	RingSize int           // capacity in messages; a full ring rejects posts
	Tick     time.Duration // zero: no ticks
	IdleTick time.Duration // interval of an idle Idler; zero: Tick
	Unlocked bool          // do not lock the OS thread; for benchmarks only
}

// Panic describes the panic of a handler.
type Panic struct {
	Duty   string
	Reason any
	Stack  []byte
}

// Error implements error.
func (p *Panic) Error() string { return fmt.Sprintf("duty %s panicked: %v", p.Duty, p.Reason) }

// FullError is returned by a post to a duty whose ring is full.
type FullError struct {
	Duty     string
	Capacity int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("duty %s: ring is full at %d entries", e.Duty, e.Capacity)
}

// System owns the duties of one process.
type System struct {
	actors  *actor.ActorSystem
	onPanic func(*Panic)
}

// NewSystem returns a system that passes handler panics to onPanic, on the thread
// of the duty that panicked. The duty then continues with its next message. If
// onPanic is nil a handler panic terminates the process.
func NewSystem(onPanic func(*Panic)) *System {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	s := &System{actors: actor.NewActorSystem(actor.WithLoggerFactory(quiet)), onPanic: onPanic}
	if onPanic == nil {
		s.onPanic = func(p *Panic) { panic(p) }
	}
	return s
}

// Duty is the handle of a running duty.
type Duty[M any] struct {
	name    string
	mailbox *mailbox
	pid     *actor.PID
	system  *System
	cancel  context.CancelFunc
}

// Start starts a duty.
func Start[M any](s *System, cfg Config, h Handler[M]) *Duty[M] {
	ctx, cancel := context.WithCancel(context.Background())
	box := newMailbox(cfg)
	if d, ok := any(h).(Dropper[M]); ok {
		box.dropped = func(m any) { d.Dropped(m.(M)) }
	}
	if idler, ok := h.(Idler); ok && cfg.IdleTick > 0 {
		box.idle = idler.Idle
	}
	act := &dutyActor[M]{name: cfg.Name, handler: h, ctx: ctx, onPanic: s.onPanic}
	props := actor.PropsFromProducer(
		func() actor.Actor { return act },
		actor.WithMailbox(func() actor.Mailbox { return box }),
	)
	pid := s.actors.Root.SpawnPrefix(props, cfg.Name)
	return &Duty[M]{name: cfg.Name, mailbox: box, pid: pid, system: s, cancel: cancel}
}

// Post queues m without blocking. Errors: *FullError, *ring.ClosedError.
func (d *Duty[M]) Post(m M) error {
	if err := d.mailbox.queue.TryPush(m); err != nil {
		return d.rejectError(err)
	}
	d.mailbox.wake()
	return nil
}

// rejectError counts a post rejected by a full ring and adds the duty's name to
// its error.
func (d *Duty[M]) rejectError(err error) error {
	var full *ring.FullError
	if !errors.As(err, &full) {
		return err
	}
	d.mailbox.rejected.Add(1)
	return &FullError{Duty: d.name, Capacity: full.Capacity}
}

// PostWait queues m, and blocks until the ring has space or ctx ends. It must not
// be called from the duty itself. Errors: *ring.ClosedError, ctx.Err().
func (d *Duty[M]) PostWait(ctx context.Context, m M) error {
	if err := d.mailbox.queue.Push(ctx, m); err != nil {
		return err
	}
	d.mailbox.wake()
	return nil
}

// Name returns the name of the duty.
func (d *Duty[M]) Name() string { return d.name }

// Depth returns the number of queued messages.
func (d *Duty[M]) Depth() int { return d.mailbox.queue.Len() }

// Rejected returns the number of posts rejected by a full ring.
func (d *Duty[M]) Rejected() uint64 { return d.mailbox.rejected.Load() }

// Stop stops the duty after the current message and waits until it has ended.
// Messages that are still queued are passed to the handler's Dropped method, if it
// has one. Errors: ctx.Err().
func (d *Duty[M]) Stop(ctx context.Context) error {
	d.cancel()
	d.system.actors.Root.Stop(d.pid)
	d.mailbox.wake()
	select {
	case <-d.mailbox.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dutyActor adapts a Handler to the actor library.
type dutyActor[M any] struct {
	name    string
	handler Handler[M]
	ctx     context.Context
	onPanic func(*Panic)
}

// Receive implements actor.Actor.
func (a *dutyActor[M]) Receive(c actor.Context) {
	defer a.recover()
	switch m := c.Message().(type) {
	case tick:
		if t, ok := a.handler.(Ticker); ok {
			t.Tick(a.ctx)
		}
	case *actor.Stopped:
		if s, ok := a.handler.(Stopper); ok {
			s.Stopped()
		}
	case M:
		a.handler.Handle(a.ctx, m)
	}
}

func (a *dutyActor[M]) recover() {
	if r := recover(); r != nil {
		a.onPanic(&Panic{Duty: a.name, Reason: r, Stack: debug.Stack()})
	}
}

// Stats is a snapshot of a duty's ring.
type Stats struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`    // number of queued messages
	Capacity int    `json:"capacity"` // maximum number of queued messages
	Rejected uint64 `json:"rejected"` // number of posts rejected by a full ring
}

// Stats returns a snapshot of the duty's ring.
func (d *Duty[M]) Stats() Stats {
	return Stats{Name: d.name, Depth: d.Depth(), Capacity: d.mailbox.queue.Cap(), Rejected: d.Rejected()}
}

// SumStats returns the summed stats of several duties under a common name.
func SumStats[M any](name string, duties []*Duty[M]) Stats {
	sum := Stats{Name: name}
	for _, d := range duties {
		s := d.Stats()
		sum.Depth += s.Depth
		sum.Capacity += s.Capacity
		sum.Rejected += s.Rejected
	}
	return sum
}

// StopAll stops owner and then its workers, until the first error. Errors:
// ctx.Err().
func StopAll[O, M any](ctx context.Context, owner *Duty[O], workers []*Duty[M]) error {
	if err := owner.Stop(ctx); err != nil {
		return err
	}
	for _, w := range workers {
		if err := w.Stop(ctx); err != nil {
			return err
		}
	}
	return nil
}
