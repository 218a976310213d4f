package batch

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// acquire returns the record that acquires a new upstream of a service.
func acquire(id api.UpstreamID, service string, slots int) *LeaseAcquired {
	return &LeaseAcquired{
		Upstream: id, Service: service, Daemon: "d", Slots: slots, Models: []api.ModelName{"m"}, Software: "v1",
		Versions: map[api.ModelName]api.WeightVersion{"m": 1},
	}
}

// Guards against items that no upstream runs because the route of their job was moved to
// another service after the job was accepted.
func TestPendingItemsFollowMovedRoute(t *testing.T) {
	s := New()
	at := Offset(0)
	apply := func(r Record) bool {
		at++
		return s.Apply(at, r)
	}
	job := Job{ID: "j", Service: "a", Model: "m", MaxAttempts: 3, Items: []Item{{ID: "i1", Group: "g"}, {ID: "i2", Group: "g"}}}
	apply(&JobAccepted{Job: job})
	apply(acquire("a1", "a", 1))
	apply(acquire("b1", "b", 2))
	running := s.Runs("d")
	assert.Equal(t, len(running), 1, "one slot at the old service")
	assert.Assert(t, apply(&JobRerouted{Job: "j", Service: "b", ConfigVersion: 4}))
	for key, run := range running {
		assert.Equal(t, s.Runs("d")[key].Upstream, run.Upstream, "a run in progress may end")
	}
	assert.Equal(t, len(s.Runs("d")), 2, "the other item runs at the new service")
	for _, run := range s.Runs("d") {
		assert.Equal(t, run.Service, "b")
	}

	assert.Assert(t, !apply(&JobRerouted{Job: "j", Service: "a", ConfigVersion: 4}), "the same configuration moves a job once")
	assert.Assert(t, !apply(&JobRerouted{Job: "j", Service: "a", ConfigVersion: 3}), "an older configuration moves nothing")
	assert.Assert(t, !apply(&JobRerouted{Job: "j", Service: "b", ConfigVersion: 5}), "it is there already")
	assert.Assert(t, apply(&JobRerouted{Job: "j", Service: "a", ConfigVersion: 5}))
	apply(&JobEnded{ID: "j"})
	assert.Assert(t, !apply(&JobRerouted{Job: "j", Service: "b", ConfigVersion: 6}), "the job has ended")
}
