package loads

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

func upstream(id api.UpstreamID, model api.ModelName, version api.WeightVersion, c batch.Condition) batch.Upstream {
	return batch.Upstream{
		ID: id, Service: "s", Holder: "d", AssignedModel: model, Condition: c,
		Versions: map[api.ModelName]api.WeightVersion{model: version},
	}
}

// An upstream that can serve no requests must load before upstreams that are one
// version behind, whatever their IDs.
func TestFurthestBehindLoadsFirst(t *testing.T) {
	all := []batch.Upstream{
		upstream("a", "m", 7, batch.ConditionReady),
		upstream("b", "m", 7, batch.ConditionReady),
		upstream("z", "m", 4, batch.ConditionReady),
		upstream("y", "n", 2, batch.ConditionReady),
	}
	announced := map[api.ModelName]api.WeightVersion{"m": 8, "n": 4}
	assert.DeepEqual(t, Next(all, "s", announced, 0.5), []api.UpstreamID{"z", "y"})
}

func TestConcurrentLoadsAreBounded(t *testing.T) {
	announced := map[api.ModelName]api.WeightVersion{"m": 8}
	var all []batch.Upstream
	for _, id := range []api.UpstreamID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		all = append(all, upstream(id, "m", 7, batch.ConditionReady))
	}
	all = append(all, upstream("k", "m", 7, batch.ConditionLoading), upstream("l", "m", 8, batch.ConditionReady))
	assert.DeepEqual(t, Next(all, "s", announced, 1.0/6), []api.UpstreamID{"a"})
	assert.DeepEqual(t, Next(all[1:], "s", announced, 1.0/6), []api.UpstreamID{"b"})
	assert.DeepEqual(t, Next(all[:1], "s", announced, 1.0/6), []api.UpstreamID{"a"})
	assert.Equal(t, len(Next(all, "other", announced, 1)), 0)
}

// A model without engines at the newest version has no usable engine once the next
// version is announced. It loads before a model that has some, however far the
// others of that model are behind.
func TestModelWithFewestCurrentEnginesLoadsFirst(t *testing.T) {
	all := []batch.Upstream{
		upstream("a", "m", 7, batch.ConditionReady),
		upstream("b", "m", 4, batch.ConditionReady),
		upstream("c", "m", 4, batch.ConditionReady),
		upstream("d", "n", 3, batch.ConditionReady),
		upstream("e", "n", 3, batch.ConditionReady),
		upstream("f", "n", 3, batch.ConditionReady),
	}
	announced := map[api.ModelName]api.WeightVersion{"m": 7, "n": 4}
	assert.DeepEqual(t, Next(all, "s", announced, 1.0/6), []api.UpstreamID{"d"})
	all[3].Condition = batch.ConditionLoading
	assert.DeepEqual(t, Next(all, "s", announced, 1.0/3), []api.UpstreamID{"b"})
	assert.DeepEqual(t, Next(all, "s", announced, 0.5), []api.UpstreamID{"b", "e"})
}
