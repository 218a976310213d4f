package batch

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

func (f *fixture) setCondition(u api.UpstreamID, c Condition, version api.WeightVersion) {
	f.add(&UpstreamChanged{Upstream: u, Daemon: "d1", Condition: c, Versions: map[api.ModelName]api.WeightVersion{"m": version}})
}

// A step is submitted when one upstream has its version and is held for slow. Its items
// run there, not only once the upstream is fast again or another one has the version.
func TestOnlyUpstreamOfAVersionIsUsedThoughSlow(t *testing.T) {
	f := newFixture(3, 4)
	f.setCondition("u0", ConditionSlow, 5)
	j := job("j", "a", "b")
	j.MinVersion = 5
	f.add(&JobAccepted{Job: j})
	assert.Equal(t, len(f.placed["u0"]), 2)
}

// While another upstream can run a job, a slow one gets none of its items, even if the
// other has no free slot.
func TestSlowUpstreamIsNotUsedBesideOthers(t *testing.T) {
	f := newFixture(2, 1)
	f.setCondition("u0", ConditionSlow, 1)
	f.add(&JobAccepted{Job: job("j", "a", "b", "c")})
	assert.Equal(t, len(f.placed["u0"]), 0)
	assert.Equal(t, len(f.placed["u1"]), 1)
	f.setCondition("u1", ConditionLoading, 1)
	assert.Equal(t, len(f.placed["u0"]), 1, "the only usable upstream")
}

// An upstream that takes few requests a second gets no more items than it starts while
// one of them runs.
func TestRequestLimitBoundsPlacedItems(t *testing.T) {
	f := newFixture(1, 8)
	f.add(&EventIntervalMeasured{Upstream: "u0", Daemon: "d1", Micros: 100_000})
	f.add(&JobAccepted{Job: job("first", "a")})
	f.add(&TextAdded{Job: "first", Item: "a", RunID: "r", EventCount: 20, Versions: []api.WeightVersion{1}, Done: true})
	f.add(&JobEnded{ID: "first"})
	assert.Assert(t, f.add(&RequestLimitNamed{Upstream: "u0", PerSecond: 1}))
	j := job("second", "a", "b", "c", "d", "e", "f", "g", "h")
	for n := range j.Items {
		j.Items[n].ID, j.Items[n].OutputHint = "x"+j.Items[n].ID, 100
	}
	f.add(&JobAccepted{Job: j})
	assert.Equal(t, len(f.placed["u0"]), 2, "runs last 2 s, and one starts each second")
	f.add(&RequestLimitNamed{Upstream: "u0", PerSecond: 0})
	assert.Equal(t, len(f.placed["u0"]), 8)
}
