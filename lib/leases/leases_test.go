package leases

import (
	"fmt"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/locality"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var table = routes.NewTable(routes.Config{Version: 1, Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Models: []api.ModelName{"m"}}}, {Name: "plain"}}})

func listed(ids ...api.UpstreamID) map[api.UpstreamID]*directory.Upstream {
	out := make(map[api.UpstreamID]*directory.Upstream)
	for _, id := range ids {
		out[id] = &directory.Upstream{ID: id, Service: "s", Slots: 4}
	}
	return out
}

func live(ids ...api.DaemonID) map[api.DaemonID]bool {
	out := make(map[api.DaemonID]bool)
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// Daemons with the same input together lease each upstream once, evenly.
func TestEachUpstreamIsLeasedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var daemons []api.DaemonID
		for d := range rapid.IntRange(1, 8).Draw(t, "daemons") {
			daemons = append(daemons, api.DaemonID(fmt.Sprint("d", d)))
		}
		var upstreams []api.UpstreamID
		for u := range rapid.IntRange(0, 20).Draw(t, "upstreams") {
			upstreams = append(upstreams, api.UpstreamID(fmt.Sprint("u", u)))
		}
		holders := make(map[api.UpstreamID]api.DaemonID)
		for _, d := range daemons {
			count := 0
			for _, r := range Plan(Input{Self: d, Live: live(daemons...), Listed: listed(upstreams...), Table: table}) {
				lease := r.(*batch.LeaseAcquired)
				assert.Equal(t, holders[lease.Upstream], api.DaemonID(""))
				holders[lease.Upstream] = d
				count++
			}
			assert.Assert(t, count <= (len(upstreams)+len(daemons)-1)/len(daemons))
		}
		assert.Equal(t, len(holders), len(upstreams))
	})
}

func TestLeaseOfDeadDaemonIsTakenOver(t *testing.T) {
	held := []batch.Upstream{{ID: "u", Service: "s", Holder: "dead", LeaseOffset: 9, Slots: 4, Versions: map[api.ModelName]api.WeightVersion{"m": 3}}}
	got := Plan(Input{Self: "d", Live: live("d"), Held: held, Listed: listed("u"), Table: table})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].(*batch.LeaseAcquired).PreviousLease, batch.Offset(9))
	assert.Equal(t, got[0].(*batch.LeaseAcquired).Versions["m"], api.WeightVersion(3))
}

func TestSkippedTurnPassesToNextDaemon(t *testing.T) {
	leased := make(map[api.DaemonID]int)
	for skipped := range 2 {
		for _, d := range []api.DaemonID{"d1", "d2"} {
			leased[d] += len(Plan(Input{Self: d, Live: live("d1", "d2"), Listed: listed("u"), Table: table, SkippedTurns: map[api.UpstreamID]int{"u": skipped}}))
		}
	}
	assert.DeepEqual(t, leased, map[api.DaemonID]int{"d1": 1, "d2": 1})
}

func TestUpstreamsThatAreNotLeased(t *testing.T) {
	in := Input{Self: "d", Live: live("d"), Listed: listed("u"), Table: table}
	in.Listed["u"].Draining = true
	assert.Equal(t, len(Plan(in)), 0, "draining")
	in.Listed = map[api.UpstreamID]*directory.Upstream{"u": {ID: "u", Service: "plain"}}
	assert.Equal(t, len(Plan(in)), 0, "plain service")
	in.Listed, in.Live = listed("u"), live("other")
	assert.Equal(t, len(Plan(in)), 0, "not live")
}

func TestHolderRemovesUnlistedUpstream(t *testing.T) {
	held := []batch.Upstream{{ID: "u", Service: "s", Holder: "d", LeaseOffset: 9}}
	got := Plan(Input{Self: "d", Live: live("d"), Held: held, Table: table})
	assert.DeepEqual(t, got, []batch.Record{&batch.UpstreamRemoved{Upstream: "u", Daemon: "d"}})
}

// The texts of all jobs pass over the leases: they stay in the data centre of the upstream
// unless its daemons have too many.
func TestLeaseStaysInTheDataCentreUnlessItsDaemonsHaveTooMany(t *testing.T) {
	holders := func(near, far int) map[api.DaemonID]int {
		in := Input{
			Live: make(map[api.DaemonID]bool), DataCentres: make(map[api.DaemonID]api.DataCentre), Table: table, Locality: locality.Policy{LeaseExcess: 1.5},
			Listed: make(map[api.UpstreamID]*directory.Upstream),
		}
		for n := range near + far {
			d, dc := api.DaemonID(fmt.Sprint("near", n)), api.DataCentre("a")
			if n >= near {
				d, dc = api.DaemonID(fmt.Sprint("far", n)), "b"
			}
			in.Live[d], in.DataCentres[d] = true, dc
		}
		for n := range 30 {
			id := api.UpstreamID(fmt.Sprint("u", n))
			in.Listed[id] = &directory.Upstream{ID: id, Service: "s", Slots: 4, DataCentre: "a"}
		}
		out := make(map[api.DaemonID]int)
		for d := range in.Live {
			in.Self = d
			out[api.DaemonID(in.DataCentres[d])] += len(Plan(in))
		}
		return out
	}
	assert.DeepEqual(t, holders(4, 0), map[api.DaemonID]int{"a": 30})
	assert.DeepEqual(t, holders(0, 3), map[api.DaemonID]int{"b": 30}) // the data centre has lost its daemons
	got := holders(10, 10)
	assert.Equal(t, got["a"]+got["b"], 30)
	assert.Assert(t, got["a"] >= 18, "%v", got)
	got = holders(1, 9)
	assert.Assert(t, got["b"] >= 24, "one daemon can't hold them all: %v", got)
}
