package batch

import (
	"fmt"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// assignedCounts returns the number of upstreams assigned to each model.
func (f *fixture) assignedCounts() map[api.ModelName]int {
	out := make(map[api.ModelName]int)
	for _, u := range f.Upstreams() {
		out[u.AssignedModel]++
	}
	return out
}

// runJob accepts a job of a model, completes each item with a number of events
// and ends the job.
func (f *fixture) runJob(id JobID, m api.ModelName, items, events int) {
	j := Job{ID: id, Service: "s", Model: m, MaxAttempts: 3}
	for n := range items {
		j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint(id, n)), Group: fmt.Sprint(n)})
	}
	f.add(&JobAccepted{Job: j})
	for n := range items {
		f.add(&TextAdded{Job: id, Item: ItemID(fmt.Sprint(id, n)), RunID: "r", EventCount: events, Versions: []api.WeightVersion{1}, Done: true})
	}
	f.add(&JobEnded{ID: id})
}

// Upstreams are assigned to models in proportion to the events of their jobs,
// and are not reassigned while the proportion stays the same.
func TestAssignedModelsFollowWork(t *testing.T) {
	f := newFixture(12, 4)
	assert.DeepEqual(t, f.assignedCounts(), map[api.ModelName]int{"m": 6, "n": 6})
	for n := range 6 {
		f.runJob(JobID(fmt.Sprint("m", n)), "m", 10, 20)
		f.runJob(JobID(fmt.Sprint("n", n)), "n", 10, 10)
	}
	assert.DeepEqual(t, f.assignedCounts(), map[api.ModelName]int{"m": 8, "n": 4})
	for n := 6; n < 12; n++ {
		f.runJob(JobID(fmt.Sprint("m", n)), "m", 10, 20)
		f.runJob(JobID(fmt.Sprint("n", n)), "n", 10, 10)
		assert.DeepEqual(t, f.assignedCounts(), map[api.ModelName]int{"m": 8, "n": 4})
	}
	for n := range 3 {
		f.add(&UpstreamRemoved{Upstream: api.UpstreamID(fmt.Sprintf("u%d", n)), Daemon: "d1"})
	}
	f.runJob("m-last", "m", 10, 20)
	assert.DeepEqual(t, f.assignedCounts(), map[api.ModelName]int{"m": 6, "n": 3})
}

func TestEveryModelKeepsAnUpstream(t *testing.T) {
	f := newFixture(2, 4)
	for n := range 4 {
		f.runJob(JobID(fmt.Sprint("m", n)), "m", 10, 100)
		f.runJob(JobID(fmt.Sprint("n", n)), "n", 1, 1)
	}
	assert.DeepEqual(t, f.assignedCounts(), map[api.ModelName]int{"m": 1, "n": 1})
}

func TestHomesAreSwappedIfTheyAreAsExpected(t *testing.T) {
	f := newFixture(4, 4)
	us := f.Upstreams()
	a, b := us[0], us[1]
	assert.Assert(t, a.AssignedModel != b.AssignedModel)
	swap := &HomesSwapped{First: a.ID, FirstModel: a.AssignedModel, Second: b.ID, SecondModel: b.AssignedModel}
	at := Offset(1000)
	apply := func(r *HomesSwapped) bool {
		at++
		return f.Apply(at, r)
	}
	assert.Assert(t, apply(swap))
	assert.Equal(t, f.Upstreams()[0].AssignedModel, b.AssignedModel)
	assert.Equal(t, f.Upstreams()[1].AssignedModel, a.AssignedModel)
	assert.Assert(t, !apply(swap), "a repeat must not swap them back")
	assert.Assert(t, !apply(&HomesSwapped{First: a.ID, FirstModel: b.AssignedModel, Second: "gone", SecondModel: a.AssignedModel}))
}
