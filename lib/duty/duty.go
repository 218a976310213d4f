// Package duty runs each duty of a process as one actor on one locked operating
// system thread that sleeps while its bounded ring is empty. All state of a
// duty is touched by that thread alone.
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

// Handler is the code of one duty. Its methods are called on the duty's own
// thread, one at a time.
type Handler[M any] interface {
	// Handle processes one message. ctx ends when the duty is told to stop.
	Handle(ctx context.Context, m M)
}

// Ticker is implemented by handlers that want a call every Config.Tick. A
// tick that comes while another waits is dropped.
type Ticker interface{ Tick(ctx context.Context) }

// Idler is implemented by tickers that have nothing to do at times. After a
// tick at whose end Idle is true, the next comes after Config.IdleTick, or
// Config.Tick after the first message at whose end Idle is false.
type Idler interface{ Idle() bool }

// Stopper is implemented by handlers that clean up on their own thread after
// their last message.
type Stopper interface{ Stopped() }

// Dropper is implemented by handlers that owe an answer to every message:
// those still queued at the stop are passed to Dropped, on the duty's thread,
// after Stopped.
type Dropper[M any] interface{ Dropped(m M) }

// Config describes a duty.
type Config struct {
	Name     string
	RingSize int           // entries; a full ring rejects posts
	Tick     time.Duration // zero: no ticks
	IdleTick time.Duration // between ticks of an idle Idler; zero: Tick
	Unlocked bool          // do not lock the thread; for measurements only
}

// Panic tells a System's owner that a handler panicked.
type Panic struct {
	Duty   string
	Reason any
	Stack  []byte
}

// Error implements error.
func (p *Panic) Error() string { return fmt.Sprintf("duty %s panicked: %v", p.Duty, p.Reason) }

// FullError reports a post to a duty whose ring is full.
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

// NewSystem returns a system that reports handler panics to onPanic, on the
// thread of the duty that panicked; the duty then goes on with its next
// message. With a nil onPanic the process crashes.
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

// Start spawns a duty.
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

// Post queues m without waiting. Errors: *FullError, *ring.ClosedError.
func (d *Duty[M]) Post(m M) error {
	if err := d.mailbox.queue.TryPush(m); err != nil {
		return d.rejectError(err)
	}
	d.mailbox.wake()
	return nil
}

// rejectError counts a post that found the ring full and names the duty.
func (d *Duty[M]) rejectError(err error) error {
	var full *ring.FullError
	if !errors.As(err, &full) {
		return err
	}
	d.mailbox.rejected.Add(1)
	return &FullError{Duty: d.name, Capacity: full.Capacity}
}

// PostWait queues m, waiting for room until ctx ends. It must not be called
// from the duty itself. Errors: *ring.ClosedError, ctx.Err().
func (d *Duty[M]) PostWait(ctx context.Context, m M) error {
	if err := d.mailbox.queue.Push(ctx, m); err != nil {
		return err
	}
	d.mailbox.wake()
	return nil
}

// Name returns the configured name.
func (d *Duty[M]) Name() string { return d.name }

// Depth returns the number of queued messages.
func (d *Duty[M]) Depth() int { return d.mailbox.queue.Len() }

// Rejected returns how many posts found the ring full.
func (d *Duty[M]) Rejected() uint64 { return d.mailbox.rejected.Load() }

// Stop ends the duty after the message in hand and waits for it. Messages
// still queued go to the handler's Dropped, if it has one. Errors: ctx.Err().
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

// Stats describes a duty's ring at one moment.
type Stats struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`    // messages queued
	Capacity int    `json:"capacity"` // messages at most
	Rejected uint64 `json:"rejected"` // posts that found the ring full
}

// Stats returns the state of the duty's ring.
func (d *Duty[M]) Stats() Stats {
	return Stats{Name: d.name, Depth: d.Depth(), Capacity: d.mailbox.queue.Cap(), Rejected: d.Rejected()}
}

// SumStats returns the rings' state of duties of one kind, added up under a name.
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

// StopAll stops an owner and then the duties that work for it, up to the first
// failure. Errors: ctx.Err().
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
