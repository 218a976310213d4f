package batch

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// Guards against items of single-version jobs that run nowhere once no upstream has the
// weight version of their text any more.
func TestStrandedItemStartsAnew(t *testing.T) {
	s := New()
	at := Offset(0)
	apply := func(r Record) bool {
		at++
		return s.Apply(at, r)
	}
	version := func(v api.WeightVersion) *UpstreamChanged {
		return &UpstreamChanged{Upstream: "u", Daemon: "d", Software: "v1", Versions: map[api.ModelName]api.WeightVersion{"m": v}}
	}
	drop := &TextDropped{Job: "j", Item: "i", EventCount: 3}
	job := Job{ID: "j", Service: "s", Model: "m", MinVersion: 1, SingleVersion: true, MaxAttempts: 3, Items: []Item{{ID: "i"}}}
	apply(acquire("u", "s", 1))
	apply(&JobAccepted{Job: job})
	apply(&TextAdded{Job: "j", Item: "i", RunID: "r", EventCount: 3, Versions: []api.WeightVersion{1}, Software: "v1"})
	assert.Assert(t, !apply(drop), "the item is placed")

	apply(version(2))
	apply(&ItemMoved{Job: "j", Item: "i", FromUpstream: "u"})
	assert.Equal(t, len(s.Runs("d")), 0)
	assert.DeepEqual(t, s.OpenItems(), []OpenItem{{ItemKey: ItemKey{"j", "i"}, Service: "s", EventCount: 3, Stranded: true}})
	assert.Assert(t, !apply(&TextDropped{Job: "j", Item: "i", EventCount: 2}), "the text has changed")
	assert.Assert(t, apply(drop))
	assert.Equal(t, s.Runs("d")[ItemKey{"j", "i"}].EventCount, 0)

	apply(&TextAdded{Job: "j", Item: "i", RunID: "r2", EventCount: 3, Versions: []api.WeightVersion{2}, Software: "v1", Done: true})
	results, err := s.Results("j", 0, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, results.Results[0].Versions, []api.WeightVersion{2})
}

// The text is worth keeping while only a slot is missing, or while an upstream that has its
// version can take the item.
func TestTextIsKeptUnlessItsVersionIsAllThatIsMissing(t *testing.T) {
	s := New()
	job := Job{ID: "j", Service: "s", Model: "m", MinVersion: 1, SingleVersion: true, MaxAttempts: 3, Items: []Item{{ID: "i"}}}
	s.Apply(1, acquire("u", "s", 1))
	s.Apply(2, &JobAccepted{Job: job})
	s.Apply(3, &TextAdded{Job: "j", Item: "i", RunID: "r", EventCount: 3, Versions: []api.WeightVersion{1}, Software: "v1"})
	s.Apply(4, &UpstreamChanged{Upstream: "u", Daemon: "d", Condition: ConditionSuspect, Software: "v1"})
	s.Apply(5, &ItemMoved{Job: "j", Item: "i", FromUpstream: "u"})
	assert.Assert(t, !s.OpenItems()[0].Stranded, "no upstream takes items")
	s.Apply(6, &UpstreamChanged{Upstream: "u", Daemon: "d", Software: "v1"})
	assert.Equal(t, s.Runs("d")[ItemKey{"j", "i"}].EventCount, 3, "continued")
}
