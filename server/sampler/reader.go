package sampler

import (
	"context"
	"time"

	"dotterelmount.example/lib/eventlog"
)

// readCommand requests one read. ctx is cancelled when the set of followed
// streams changes.
type readCommand struct {
	ctx       context.Context
	cancel    context.CancelFunc
	positions []eventlog.Position
	trainers  []*trainerState // in the order of positions
	wait      time.Duration   // for an entry, if there is none yet
}

// reader is the handler of the duty "trainer-reader", which makes the blocking
// reads of the log.
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
	r.deliver(ctx, readDoneMessage{trainers: m.trainers, batches: batches, err: err, interrupted: interrupted})
}
