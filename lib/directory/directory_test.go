package directory

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

func TestConfigurationNeverGoesBack(t *testing.T) {
	v := Empty().Apply([]Change{Configured{routes.Config{Version: 7}}, Announced{Model: "m", Version: 3}})
	next := v.Apply([]Change{Configured{routes.Config{Version: 4}}, Announced{Model: "m", Version: 2}})
	assert.Equal(t, next.Table.Version(), uint64(7))
	assert.Equal(t, next.Announced["m"], api.WeightVersion(3))
}

func TestAppliedChangesLeaveTheOldViewAlone(t *testing.T) {
	v := Empty().Apply([]Change{Listed{Upstream{ID: "u1", Service: "s"}}})
	next := v.Apply([]Change{Unlisted{"u1"}, Listed{Upstream{ID: "u2", Service: "s"}}, Malformed{Key: "u3"}})
	assert.Equal(t, len(v.Of("s")), 1)
	assert.Equal(t, v.Of("s")[0].ID, api.UpstreamID("u1"))
	assert.Equal(t, len(next.Of("s")), 1)
	assert.Equal(t, next.Of("s")[0].ID, api.UpstreamID("u2"))
}

func TestLateDescriptionIsIgnored(t *testing.T) {
	v := Empty().Apply([]Change{
		Listed{Upstream{ID: "u", BornMillis: 5, Revision: 9, Draining: true}},
		Listed{Upstream{ID: "u", BornMillis: 5, Revision: 8}},
	})
	assert.Assert(t, v.Upstreams["u"].Draining)
	v = v.Apply([]Change{Unlisted{"u"}, Listed{Upstream{ID: "u", BornMillis: 5, Revision: 7}}})
	assert.Equal(t, len(v.Upstreams), 0)
	v = v.Apply([]Change{Listed{Upstream{ID: "u", BornMillis: 6, Revision: 1}}})
	assert.Assert(t, !v.Upstreams["u"].Draining, "a new incarnation counts from the start")
}
