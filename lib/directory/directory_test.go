package directory

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

func TestOlderVersionsAreIgnored(t *testing.T) {
	v := NewView().Apply([]Change{ConfigChanged{routes.Config{Version: 7}}, WeightsAnnounced{Model: "m", Version: 3}})
	next := v.Apply([]Change{ConfigChanged{routes.Config{Version: 4}}, WeightsAnnounced{Model: "m", Version: 2}})
	assert.Equal(t, next.Table.Version(), uint64(7))
	assert.Equal(t, next.AnnouncedVersions["m"], api.WeightVersion(3))
}

func TestApplyDoesNotModifyView(t *testing.T) {
	v := NewView().Apply([]Change{UpstreamListed{Upstream{ID: "u1", Service: "s"}}})
	next := v.Apply([]Change{UpstreamUnlisted{"u1"}, UpstreamListed{Upstream{ID: "u2", Service: "s"}}, MalformedRecord{Key: "u3"}})
	assert.Equal(t, len(v.UpstreamsOf("s")), 1)
	assert.Equal(t, v.UpstreamsOf("s")[0].ID, api.UpstreamID("u1"))
	assert.Equal(t, len(next.UpstreamsOf("s")), 1)
	assert.Equal(t, next.UpstreamsOf("s")[0].ID, api.UpstreamID("u2"))
}

func TestStaleDescriptionIsIgnored(t *testing.T) {
	v := NewView().Apply([]Change{
		UpstreamListed{Upstream{ID: "u", StartMillis: 5, Revision: 9, Draining: true}},
		UpstreamListed{Upstream{ID: "u", StartMillis: 5, Revision: 8}},
	})
	assert.Assert(t, v.Upstreams["u"].Draining)
	v = v.Apply([]Change{UpstreamUnlisted{"u"}, UpstreamListed{Upstream{ID: "u", StartMillis: 5, Revision: 7}}})
	assert.Equal(t, len(v.Upstreams), 0)
	v = v.Apply([]Change{UpstreamListed{Upstream{ID: "u", StartMillis: 6, Revision: 1}}})
	assert.Assert(t, !v.Upstreams["u"].Draining, "revisions restart with a new incarnation")
}

func TestLeavingIncarnationDrains(t *testing.T) {
	v := NewView().Apply([]Change{UpstreamListed{Upstream{ID: "u", StartMillis: 5, Revision: 1}}})
	leaving := v.Apply([]Change{UpstreamLeaving{ID: "u", StartMillis: 5}})
	assert.Assert(t, !v.Upstreams["u"].Draining)
	assert.Assert(t, leaving.Upstreams["u"].Draining)
	again := leaving.Apply([]Change{UpstreamUnlisted{"u"}, UpstreamListed{Upstream{ID: "u", StartMillis: 5, Revision: 2}}})
	assert.Assert(t, again.Upstreams["u"].Draining, "listed again after an outage of the list")
	restarted := again.Apply([]Change{UpstreamListed{Upstream{ID: "u", StartMillis: 6, Revision: 1}}, UpstreamLeaving{ID: "u", StartMillis: 5}})
	assert.Assert(t, !restarted.Upstreams["u"].Draining, "a late response of the process before")
	early := NewView().Apply([]Change{UpstreamLeaving{ID: "u", StartMillis: 5}, UpstreamListed{Upstream{ID: "u", StartMillis: 5}}})
	assert.Assert(t, early.Upstreams["u"].Draining, "another daemon's report arrives before the description")
}

// The time left in a description is older the later it is read: the earliest end counts.
func TestEarliestEndOfADrainingUpstreamCounts(t *testing.T) {
	at := time.Unix(100, 0)
	leaving := func(revision uint64, leavesAt time.Time) Change {
		return UpstreamListed{Upstream{ID: "u", StartMillis: 5, Revision: revision, Draining: true, LeavesAt: leavesAt}}
	}
	v := NewView().Apply([]Change{leaving(1, at), leaving(2, at.Add(time.Second)), leaving(3, time.Time{})})
	assert.Equal(t, v.Upstreams["u"].LeavesAt, at)
	v = v.Apply([]Change{leaving(4, at.Add(-time.Second))})
	assert.Equal(t, v.Upstreams["u"].LeavesAt, at.Add(-time.Second))
	v = v.Apply([]Change{UpstreamListed{Upstream{ID: "u", StartMillis: 5, Revision: 5}}})
	assert.Assert(t, v.Upstreams["u"].LeavesAt.IsZero(), "it stays")
}
