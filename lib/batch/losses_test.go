package batch

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// Only losses in a row count: an item whose runs make progress isn't the cause.
func TestLossesOfUpstreamsCountUntilProgress(t *testing.T) {
	s := New()
	for n, u := range []api.UpstreamID{"u", "v"} {
		s.Apply(Offset(n+1), &LeaseAcquired{Upstream: u, Service: "s", Daemon: "d", Slots: 1, Models: []api.ModelName{"m"}, Versions: map[api.ModelName]api.WeightVersion{"m": 1}})
	}
	s.Apply(3, &JobAccepted{Job: Job{ID: "j", Service: "s", Model: "m", Items: []Item{{ID: "i"}}}})
	key := ItemKey{"j", "i"}
	move := func(lost bool) int {
		s.Apply(4, &ItemMoved{Job: "j", Item: "i", FromUpstream: s.Runs("d")[key].Upstream, UpstreamLost: lost})
		return s.Runs("d")[key].Losses
	}
	assert.Equal(t, move(true), 1)
	assert.Equal(t, move(false), 1)
	assert.Equal(t, move(true), 2)
	s.Apply(5, &TextAdded{Job: "j", Item: "i", RunID: "r", EventCount: 1})
	assert.Equal(t, s.Runs("d")[key].Losses, 0)
	assert.Equal(t, move(true), 1)
}
