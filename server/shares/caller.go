package shares

import (
	"context"
	"time"

	"dotterelmount.example/lib/quota"
)

// call is one batch of lease requests to another daemon.
type call struct {
	address string
	batch   quota.RequestBatch
}

// caller handles the calls of one duty.
type caller struct {
	index      int
	peers      Peers
	timeout    time.Duration
	postResult func(message)
}

// Handle makes one call and reports its result.
func (c *caller) Handle(ctx context.Context, m call) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	grants, err := c.peers.RequestLeases(ctx, m.address, m.batch.Requests)
	c.postResult(replyMsg{caller: c.index, batch: m.batch, grants: grants, err: err})
}
