package logbook

import (
	"context"
	"time"

	"dotterelmount.example/lib/duty"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ring"
)

// pollMsg makes the reader read once more.
type pollMsg struct{}

// reader is the duty that blocks on the log. It keeps no state but where to
// read on, which the fold tells it.
type reader struct {
	replica   *StateReplica
	log       eventlog.Log
	positions []eventlog.Position
}

// Handle reads once and hands the batches to the fold.
func (r *reader) Handle(ctx context.Context, _ pollMsg) {
	if ctx.Err() != nil {
		return
	}
	wait := r.replica.cfg.ReadWait
	if r.positions == nil { // the first read must not wait to learn that the log is empty
		wait = 0
		r.positions = []eventlog.Position{{Stream: api.StreamConfig, Offset: 1}, {Stream: api.StreamClaims, Offset: 1}}
	}
	// The answer may lie in a frozen process for long; what it tells is no older
	// than the question.
	asked := r.replica.cfg.Now()
	batches, err := r.log.Read(ctx, r.positions, r.replica.cfg.ReadLimit, wait)
	if err != nil {
		r.pause(ctx)
	} else {
		r.deliver(ctx, batches, asked)
	}
	_ = r.replica.reader.Post(pollMsg{}) // fails only once the duty is stopped
}

func (r *reader) deliver(ctx context.Context, batches []eventlog.Batch, asked time.Time) {
	done := ring.NewSlot[readReply]()
	if err := r.replica.applier.PostWait(ctx, readMsg{batches: batches, done: done}); err != nil {
		return
	}
	reply, err := done.Wait(ctx)
	if err != nil {
		return
	}
	r.positions = reply.next
	if reply.atEnd {
		r.replica.lastContact.Store(&asked)
	}
}

// pause waits before the next read, so that an outage is not a busy loop.
func (r *reader) pause(ctx context.Context) {
	duty.Sleep(ctx, r.replica.cfg.RetryInterval)
}
