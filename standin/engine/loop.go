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
	loopRing = 4096
	// cancelBound limits the wait to report that a caller went away.
	cancelBound = 5 * time.Second
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
	cfg := duty.Config{Name: "decode", RingSize: loopRing}
	l.duty = duty.Start(duty.NewSystem(nil), cfg, duty.Handler[command](l))
	return l
}

// Handle implements duty.Handler.
func (l *loop) Handle(_ context.Context, c command) {
	c.apply(time.Now(), l.batch)
	l.batch.advance(time.Now())
	l.arm()
}

// arm sets the timer to the next decoding step. A wake that finds the ring full
// is not needed: each message there leads to the same look at the batch.
func (l *loop) arm() {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.batch.stepAt.IsZero() || l.batch.mode == modeHang {
		return
	}
	l.timer = time.AfterFunc(time.Until(l.batch.stepAt), func() { _ = l.duty.Post(wake{}) })
}

// wake only leads to a look at the batch.
type wake struct{}

func (wake) apply(time.Time, *batch) {}

type submit struct {
	sequence *sequence
	reply    *ring.Slot[error]
}

func (c submit) apply(now time.Time, b *batch) { c.reply.Put(b.submit(now, c.sequence)) }

type cancel struct{ sequence *sequence }

func (c cancel) apply(now time.Time, b *batch) { b.cancel(now, c.sequence) }

type control struct {
	body  controlBody
	reply *ring.Slot[struct{}]
}

func (c control) apply(now time.Time, b *batch) {
	b.control(now, c.body)
	c.reply.Put(struct{}{})
}

// query reads the batch and leaves JSON, so that nothing of it is shared.
type query struct {
	read  func(now time.Time, b *batch) any
	reply *ring.Slot[json.RawMessage]
}

func (c query) apply(now time.Time, b *batch) {
	body, err := json.Marshal(c.read(now, b))
	if err != nil {
		body = []byte("null")
	}
	c.reply.Put(body)
}

// begun is the loop's answer to the beginning of a load.
type begun struct {
	entry   *orderEntry
	refusal string
}

type beginLoad struct {
	order loadOrder
	reply *ring.Slot[begun]
}

func (c beginLoad) apply(now time.Time, b *batch) {
	entry, refusal := b.weights.begin(now, c.order)
	c.reply.Put(begun{entry: entry, refusal: refusal})
}

type commitLoad struct {
	entry *orderEntry
	ok    bool
	reply *ring.Slot[string]
}

func (c commitLoad) apply(now time.Time, b *batch) {
	result := b.weights.commit(now, c.entry, c.ok)
	b.publish(now)
	c.reply.Put(result)
}

// ask posts a command and waits for its reply. Errors: *duty.FullError, ctx.Err().
func ask[T any](ctx context.Context, l *loop, c command, reply *ring.Slot[T]) (T, error) {
	if err := l.duty.Post(c); err != nil {
		var zero T
		return zero, err
	}
	return reply.Wait(ctx)
}

// abandon tells the loop that a sequence's caller went away.
func (l *loop) abandon(ctx context.Context, s *sequence) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelBound)
	defer stop()
	_ = l.duty.PostWait(ctx, cancel{sequence: s})
}

func (l *loop) stop(ctx context.Context) error { return l.duty.Stop(ctx) }

// refusalStatus is the HTTP status of an error of submit.
func refusalStatus(err error) int {
	if api.CodeOf(err) == api.CodeUnknownModel {
		return 404
	}
	return 503
}
