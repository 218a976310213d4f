package sampler

import (
	"context"
	"time"

	"dotterelmount.example/lib/eventlog"
)

// readCommand tells the reader to read once; ctx ends when the followed
// streams change.
type readCommand struct {
	ctx       context.Context
	cancel    context.CancelFunc
	positions []eventlog.Position
	follows   []*trainerState // those that asked, in the order of positions
	wait      time.Duration   // for an entry, if there is none
}

// reader is the handler of the duty that blocks in the log.
type reader struct {
	log     eventlog.Log
	limit   int
	deliver func(context.Context, message)
}

// Handle implements duty.Handler.
func (r *reader) Handle(ctx context.Context, m readCommand) {
	stop := context.AfterFunc(ctx, m.cancel)
	defer stop()
	batches, err := r.log.Read(m.ctx, m.positions, r.limit, m.wait)
	interrupted := m.ctx.Err() != nil
	m.cancel()
	r.deliver(ctx, readMessage{follows: m.follows, batches: batches, err: err, interrupted: interrupted})
}
