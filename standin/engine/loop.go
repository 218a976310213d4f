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
	loopRingSize = 4096
	// cancelTimeout limits the wait to report that a caller went away.
	cancelTimeout = 5 * time.Second
)

// command is a message to the decode loop.
type command interface{ apply(now time.Time, b *batch) }

// loop is the duty that owns the batch.
type loop struct {
	duty  *duty.Duty[command]
	batch *batch
	timer *time.Timer
}

func startLoop(b *batch) *loop {
	l := &loop{batch: b}
	cfg := duty.Config{Name: "decode", RingSize: loopRingSize}
	l.duty = duty.Start(duty.NewSystem(nil), cfg, duty.Handler[command](l))
	return l
}

// Handle implements duty.Handler.
func (l *loop) Handle(_ context.Context, c command) {
	c.apply(time.Now(), l.batch)
	l.batch.advance(time.Now())
	l.armTimer()
}

// armTimer sets the timer to the next decoding step. A wake that finds the ring full
// is not needed: each message there leads to the same look at the batch.
func (l *loop) armTimer() {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.batch.stepAt.IsZero() || l.batch.mode == modeHang {
		return
	}
	l.timer = time.AfterFunc(time.Until(l.batch.stepAt), func() { _ = l.duty.Post(wakeCommand{}) })
}

// wakeCommand only leads to a look at the batch.
type wakeCommand struct{}

func (wakeCommand) apply(time.Time, *batch) {}

type submitCommand struct {
	sequence *sequence
	reply    *ring.Slot[error]
}

func (c submitCommand) apply(now time.Time, b *batch) { c.reply.Put(b.submit(now, c.sequence)) }

type cancelCommand struct{ sequence *sequence }

func (c cancelCommand) apply(now time.Time, b *batch) { b.cancel(now, c.sequence) }

type controlCommand struct {
	body  controlBody
	reply *ring.Slot[struct{}]
}

func (c controlCommand) apply(now time.Time, b *batch) {
	b.control(now, c.body)
	c.reply.Put(struct{}{})
}

// queryCommand reads the batch and leaves JSON, so that nothing of it is shared.
type queryCommand struct {
	read  func(now time.Time, b *batch) any
	reply *ring.Slot[json.RawMessage]
}

func (c queryCommand) apply(now time.Time, b *batch) {
	body, err := json.Marshal(c.read(now, b))
	if err != nil {
		body = []byte("null")
	}
	c.reply.Put(body)
}

// beginResult is the loop's answer to the beginning of a load.
type beginResult struct {
	entry   *orderEntry
	refusal string
}

type beginLoadCommand struct {
	order loadOrder
	reply *ring.Slot[beginResult]
}

func (c beginLoadCommand) apply(now time.Time, b *batch) {
	entry, refusal := b.weights.beginLoad(now, c.order)
	c.reply.Put(beginResult{entry: entry, refusal: refusal})
}

type commitLoadCommand struct {
	entry *orderEntry
	ok    bool
	reply *ring.Slot[string]
}

func (c commitLoadCommand) apply(now time.Time, b *batch) {
	result := b.weights.commitLoad(now, c.entry, c.ok)
	b.publishLoad(now)
	c.reply.Put(result)
}

// postAndWait posts a command and waits for its reply. Errors: *duty.FullError, ctx.Err().
func postAndWait[T any](ctx context.Context, l *loop, c command, reply *ring.Slot[T]) (T, error) {
	if err := l.duty.Post(c); err != nil {
		var zero T
		return zero, err
	}
	return reply.Wait(ctx)
}

// cancelSequence tells the loop that a sequence's caller went away.
func (l *loop) cancelSequence(ctx context.Context, s *sequence) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_ = l.duty.PostWait(ctx, cancelCommand{sequence: s})
}

func (l *loop) stop(ctx context.Context) error { return l.duty.Stop(ctx) }

// refusalStatus is the HTTP status of an error of submit.
func refusalStatus(err error) int {
	if api.CodeOf(err) == api.CodeUnknownModel {
		return 404
	}
	return 503
}
