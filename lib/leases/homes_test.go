package leases

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"gotest.tools/v3/assert"
)

// Guards against models that lose all homes when the reclaimable upstreams are taken away.
func TestModelGetsAnOrdinaryHome(t *testing.T) {
	listed := make(map[api.UpstreamID]*directory.Upstream)
	var held []batch.Upstream
	add := func(id api.UpstreamID, m api.ModelName, reclaimable bool) *directory.Upstream {
		held = append(held, batch.Upstream{ID: id, Service: "s", Holder: "d", AssignedModel: m, Versions: map[api.ModelName]api.WeightVersion{"m": 1, "n": 1}})
		listed[id] = &directory.Upstream{ID: id, Service: "s", Reclaimable: reclaimable}
		return listed[id]
	}
	add("u1", "m", false)
	add("u2", "m", true)
	add("u3", "n", true)
	assert.Equal(t, len(SwapHomes(held, listed)), 0, "the only ordinary home stays")
	add("u4", "m", false)
	held[3].Versions["n"] = 2
	want := &batch.HomesSwapped{First: "u3", FirstModel: "n", Second: "u4", SecondModel: "m"}
	assert.DeepEqual(t, SwapHomes(held, listed)["s"], want)

	ordinary := add("u5", "n", false)
	assert.Equal(t, len(SwapHomes(held, listed)), 0)
	ordinary.Draining = true
	assert.DeepEqual(t, SwapHomes(held, listed)["s"], want) // a home that leaves doesn't count
	for _, u := range listed {
		u.Reclaimable = false
	}
	assert.Equal(t, len(SwapHomes(held, listed)), 0, "nothing is reclaimable")
}
