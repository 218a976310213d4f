package main

import (
	"context"
	"encoding/json"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ring"
)

const (
	loopRingSize = 4096 // commands
	// cancelTimeout limits how long a cancellation waits for space in the ring.
	cancelTimeout = 5 * time.Second
)

// command is a message to the decode duty.
type command interface {
	apply(now time.Time, e *engine)
}

// loop runs the decode duty, which owns the engine's state.
type loop struct {
	duty   *duty.Duty[command]
	engine *engine
	timer  *time.Timer
}

func startLoop(e *engine) *loop {
	l := &loop{engine: e}
	cfg := duty.Config{Name: "decode", RingSize: loopRingSize}
	l.duty = duty.Start(duty.NewSystem(nil), cfg, duty.Handler[command](l))
	return l
}

// Handle implements duty.Handler.
func (l *loop) Handle(_ context.Context, c command) {
	c.apply(time.Now(), l.engine)
	l.engine.advance(time.Now())
	l.armTimer()
}

// armTimer schedules the next decoding step. A wakeCommand may be dropped if the
// ring is full: handling any queued command also advances the engine.
func (l *loop) armTimer() {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.engine.stepAt.IsZero() || l.engine.mode == modeHang {
		return
	}
	l.timer = time.AfterFunc(time.Until(l.engine.stepAt), func() { _ = l.duty.Post(wakeCommand{}) })
}

// wakeCommand does nothing itself; the loop advances the engine after each command.
type wakeCommand struct{}

func (wakeCommand) apply(time.Time, *engine) {}

type submitCommand struct {
	sequence *sequence
	reply    *ring.Slot[error]
}

func (c submitCommand) apply(now time.Time, e *engine) { c.reply.Put(e.submit(now, c.sequence)) }

type cancelCommand struct{ sequence *sequence }

func (c cancelCommand) apply(now time.Time, e *engine) { e.cancel(now, c.sequence) }

type controlCommand struct {
	body  controlBody
	reply *ring.Slot[struct{}]
}

func (c controlCommand) apply(now time.Time, e *engine) {
	e.control(now, c.body)
	c.reply.Put(struct{}{})
}

// queryCommand replies with JSON, so that no state is shared with other threads.
type queryCommand struct {
	read  func(now time.Time, e *engine) any
	reply *ring.Slot[json.RawMessage]
}

func (c queryCommand) apply(now time.Time, e *engine) {
	body, err := json.Marshal(c.read(now, e))
	if err != nil {
		body = []byte("null")
	}
	c.reply.Put(body)
}

// beginResult is the reply to a beginLoadCommand.
type beginResult struct {
	entry   *orderEntry
	refusal string // result of a refused load order; empty: accepted
}

type beginLoadCommand struct {
	order loadOrder
	reply *ring.Slot[beginResult]
}

func (c beginLoadCommand) apply(now time.Time, e *engine) {
	entry, refusal := e.weights.beginLoad(now, c.order)
	c.reply.Put(beginResult{entry: entry, refusal: refusal})
}

type commitLoadCommand struct {
	entry *orderEntry
	ok    bool
	reply *ring.Slot[string]
}

func (c commitLoadCommand) apply(now time.Time, e *engine) {
	result := e.weights.commitLoad(now, c.entry, c.ok)
	e.publishLoad(now)
	c.reply.Put(result)
}

// postAndWait posts a command and waits for its reply. Errors: *duty.FullError,
// *ring.ClosedError, ctx.Err().
func postAndWait[T any](ctx context.Context, l *loop, c command, reply *ring.Slot[T]) (T, error) {
	if err := l.duty.Post(c); err != nil {
		var zero T
		return zero, err
	}
	return reply.Wait(ctx)
}

// cancelSequence cancels a sequence whose caller disconnected. The context of its
// request may have ended, so the command is posted with a timeout instead.
func (l *loop) cancelSequence(ctx context.Context, s *sequence) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_ = l.duty.PostWait(ctx, cancelCommand{sequence: s})
}

func (l *loop) stop(ctx context.Context) error { return l.duty.Stop(ctx) }

// refusalStatus returns the HTTP status for an error of submit.
func refusalStatus(err error) int {
	if api.CodeOf(err) == api.CodeUnknownModel {
		return 404
	}
	return 503
}
