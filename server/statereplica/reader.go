package statereplica

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ring"
)

// pollMsg requests one read.
type pollMsg struct{}

// reader is the duty that makes the blocking reads of the log. Its only state is
// the positions of the next read, which the applier returns.
type reader struct {
	replica   *StateReplica
	log       eventlog.Log
	positions []eventlog.Position
}

// Handle reads once and passes the batches to the applier.
func (r *reader) Handle(ctx context.Context, _ pollMsg) {
	if ctx.Err() != nil {
		return
	}
	wait := r.replica.cfg.ReadWait
	if r.positions == nil { // the first read returns at once even if the log is empty
		wait = 0
		r.positions = []eventlog.Position{{Stream: api.StreamConfig, Offset: 1}, {Stream: api.StreamClaims, Offset: 1}}
	}
	// A paused process may read the response late, so the data is only known to be
	// as recent as the start of the read.
	startedAt := r.replica.cfg.Now()
	batches, err := r.log.Read(ctx, r.positions, r.replica.cfg.ReadLimit, wait)
	if err != nil {
		r.pause(ctx)
	} else {
		r.deliver(ctx, batches, startedAt)
	}
	_ = r.replica.reader.Post(pollMsg{}) // fails only after Stop
}

func (r *reader) deliver(ctx context.Context, batches []eventlog.Batch, startedAt time.Time) {
	done := ring.NewSlot[readReply]()
	if err := r.replica.applier.PostWait(ctx, readMsg{batches: batches, done: done}); err != nil {
		return
	}
	reply, err := done.Wait(ctx)
	if err != nil {
		return
	}
	r.positions = reply.positions
	if reply.atEnd {
		r.replica.lastContact.Store(&startedAt)
	}
}

// pause waits before the next read, so that an outage does not cause a busy loop.
func (r *reader) pause(ctx context.Context) {
	duty.Sleep(ctx, r.replica.cfg.RetryInterval)
}
