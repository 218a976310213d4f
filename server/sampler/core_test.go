package sampler

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"gotest.tools/v3/assert"
)

// A batch from a read that began before the trainer was unfollowed must not
// advance the state made when it is followed again: that one reads from offset 1.
func TestBatchReadBeforeUnfollowIsIgnored(t *testing.T) {
	c := newCore(DefaultConfig("a"), Deps{Now: time.Now}, "nonce", func() {})
	old, err := c.follow("t")
	assert.NilError(t, err)
	c.unfollow(old)
	fresh, err := c.follow("t")
	assert.NilError(t, err)
	late := eventlog.Batch{Stream: fresh.streamName, Entries: []eventlog.Entry{{Offset: 59}}, Oldest: 1, Next: 60}
	readDoneMessage{trainers: []*trainerState{old}, batches: []eventlog.Batch{late}}.apply(c)
	assert.Equal(t, fresh.replica.NextOffset(), api.Offset(1))
	assert.Assert(t, !fresh.replica.Synced())
}

type staticMembers struct{ live []api.DaemonID }

func (m staticMembers) Alive(api.DaemonID) bool { return true }

func (m staticMembers) Live() []api.DaemonID { return m.live }

// Followers are chosen by member names. Config.Daemon differs: it contains the
// daemon's start time.
func TestEveryTrainerHasAllItsFollowers(t *testing.T) {
	var members staticMembers
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
