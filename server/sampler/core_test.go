package sampler

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"gotest.tools/v3/assert"
)

// A read that began before a stream was forgotten must not move the new follow
// past the front of the stream.
func TestBatchOfForgottenFollowIsIgnored(t *testing.T) {
	c := newCore(DefaultConfig("a"), Deps{Now: time.Now}, "nonce", func() {})
	old, err := c.follow("t")
	assert.NilError(t, err)
	c.unfollow(old)
	fresh, err := c.follow("t")
	assert.NilError(t, err)
	late := eventlog.Batch{Stream: fresh.name, Entries: []eventlog.Entry{{Offset: 59}}, Oldest: 1, Next: 60}
	readMessage{follows: []*follow{old}, batches: []eventlog.Batch{late}}.apply(c)
	assert.Equal(t, fresh.replica.Next(), api.Offset(1))
	assert.Assert(t, !fresh.replica.Synced())
}
