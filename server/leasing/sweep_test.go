package leasing

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/lib/upgrade"
	"gotest.tools/v3/assert"
)

func routeTo(services ...routes.WeightedService) *routes.Table {
	return routes.NewTable(routes.Config{Version: 7, Routes: []routes.Route{{Host: "h", Prefix: "/x/", WeightedServices: services}}})
}

func openItem(job batch.JobID, item batch.ItemID, path, service string) batch.OpenItem {
	return batch.OpenItem{ItemKey: batch.ItemKey{Job: job, Item: item}, Host: "h", Path: path, Service: service}
}

func TestJobsFollowTheirRoutes(t *testing.T) {
	for name, c := range map[string]struct {
		table *routes.Table
		item  batch.OpenItem
		want  string // service; empty: the job stays
	}{
		"moved":               {routeTo(routes.WeightedService{Service: "b", Weight: 1}), openItem("j", "i", "/x/1", "a"), "b"},
		"not moved":           {routeTo(routes.WeightedService{Service: "a", Weight: 1}), openItem("j", "i", "/x/1", "a"), ""},
		"split, still part":   {routeTo(routes.WeightedService{Service: "b", Weight: 9}, routes.WeightedService{Service: "a", Weight: 1}), openItem("j", "i", "/x/1", "a"), ""},
		"no share any more":   {routeTo(routes.WeightedService{Service: "a"}, routes.WeightedService{Service: "c", Weight: 1}), openItem("j", "i", "/x/1", "a"), "c"},
		"no service at all":   {routeTo(), openItem("j", "i", "/x/1", "a"), ""},
		"the route is absent": {routeTo(routes.WeightedService{Service: "b", Weight: 1}), openItem("j", "i", "/y/1", "a"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := planReroutes([]batch.OpenItem{c.item}, c.table)
			if c.want == "" {
				assert.Equal(t, len(got), 0)
				return
			}
			assert.DeepEqual(t, got["j"], &batch.JobRerouted{Job: "j", Service: c.want, ConfigVersion: 7})
		})
	}
}

// Guards against jobs that stay with a service that their route has left, and against
// records that daemons of an older build would skip.
func TestJobIsReroutedOnceAllDaemonsReadIt(t *testing.T) {
	m := newTestManager(t)
	m.cfg.SweepInterval, m.cfg.Levels = 0, upgrade.Config{Silence: 40 * time.Second}
	m.open = []batch.OpenItem{openItem("j", "i", "/x/1", "a")}
	m.open[0].TimeoutMillis = time.Hour.Milliseconds()
	m.snapshot.NextOffset = 9
	m.snapshot.Daemons = map[api.DaemonID]batch.Daemon{"d": {RecordLevel: batch.RecordLevel}, "older": {}}
	m.view = directory.NewView().Apply([]directory.Change{directory.ConfigChanged{Config: routes.Config{
		Version: 7, Routes: []routes.Route{{Host: "h", Prefix: "/x/", WeightedServices: []routes.WeightedService{{Service: "b", Weight: 1}}}},
	}}})
	m.snapshot.LastRenewals = map[api.DaemonID]time.Time{"older": m.now.Add(-5 * time.Second)}
	rerouted := func() bool { return proposes[*batch.JobRerouted](t, m, 100*time.Millisecond) }
	for range 20 {
		assert.Assert(t, !rerouted(), "the job may have been accepted under a later configuration")
	}
	m.view = m.view.ReadAt(m.now, time.Time{})
	for range 20 {
		assert.Assert(t, !rerouted(), "a live daemon skips the record")
	}
	m.snapshot.Daemons["older"] = batch.Daemon{RecordLevel: batch.RecordLevel}
	for range 10 {
		if rerouted() {
			return
		}
	}
	t.Fatal("the job is not rerouted")
}

// The swap is proposed once all daemons read it, and again only after it may have been lost.
func TestModelGetsAnOrdinaryHomeOnceAllDaemonsReadIt(t *testing.T) {
	m := newTestManager(t)
	m.cfg.SweepInterval, m.cfg.Levels = 0, upgrade.Config{Silence: 40 * time.Second}
	var changes []directory.Change
	m.snapshot.Upstreams = nil
	for id, model := range map[api.UpstreamID]api.ModelName{"u1": "m", "u2": "m", "u3": "n"} {
		changes = append(changes, directory.UpstreamListed{Upstream: directory.Upstream{ID: id, Service: "s", Slots: 4, Reclaimable: id == "u3"}})
		m.snapshot.Upstreams = append(m.snapshot.Upstreams, batch.Upstream{ID: id, Service: "s", Holder: "d", AssignedModel: model})
	}
	m.view = m.view.Apply(changes)
	m.snapshot.NextOffset = 9
	m.snapshot.Daemons = map[api.DaemonID]batch.Daemon{"d": {RecordLevel: batch.RecordLevel}, "older": {RecordLevel: batch.LevelHomesSwapped - 1}}
	m.snapshot.LastRenewals["older"] = m.now
	swapped := func() bool { return proposes[*batch.HomesSwapped](t, m, 100*time.Millisecond) }
	for range 20 {
		assert.Assert(t, !swapped(), "a live daemon skips the record")
	}
	m.snapshot.Daemons["older"] = batch.Daemon{RecordLevel: batch.RecordLevel}
	proposed := 0
	for range 20 { // 2 s, with a proposal timeout of 1 s
		if swapped() {
			proposed++
		}
	}
	assert.Assert(t, proposed == 2, "%d proposals", proposed)
}
