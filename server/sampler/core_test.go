package sampler

import (
	"fmt"
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
	readMessage{follows: []*trainerState{old}, batches: []eventlog.Batch{late}}.apply(c)
	assert.Equal(t, fresh.replica.NextOffset(), api.Offset(1))
	assert.Assert(t, !fresh.replica.Synced())
}

type crowd struct{ live []api.DaemonID }

func (m crowd) Alive(api.DaemonID) bool { return true }

func (m crowd) Live() []api.DaemonID { return m.live }

// Runs of daemons have ids of their own, but are chosen by their daemons' names.
func TestAsManyDaemonsAsNeededFollowATrainer(t *testing.T) {
	var members crowd
	for i := range 12 {
		members.live = append(members.live, api.DaemonID(fmt.Sprint("entry-", i)))
	}
	for trainer := range 50 {
		chosen := 0
		for _, id := range members.live {
			cfg := DefaultConfig(id + "#1764836400000")
			cfg.Member = id
			c := newCore(cfg, Deps{Now: time.Now, Members: members}, "nonce", func() {})
			if c.isFollower(api.TrainerID(fmt.Sprint("t", trainer))) {
				chosen++
			}
		}
		assert.Equal(t, chosen, followersPerTrainer, "trainer %d", trainer)
	}
}
