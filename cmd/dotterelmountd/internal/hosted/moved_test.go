package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// routeBatches publishes a configuration whose batch jobs run at a service of engines.
func (d *deployment) routeBatches(version int, service string, single bool) {
	d.store.PublishConfig(version, []platform.Route{{
		Name: "batch", Host: host, PathPrefix: batchPath, Kind: "rollout", Service: service, TimeoutMillis: 10000, LatencyTargetMillis: 400, Attempts: 3,
		Resumable: true, ItemTimeoutSeconds: 40, ResultTargetMillis: 7500, SingleVersion: single,
	}}, []platform.Service{{Name: "engines", Models: []string{model}}, {Name: "engines-b", Models: []string{model}}, {Name: "plain"}})
	d.awaitConfig(version)
}

// Guards against items that no server runs because a configuration moved the route of their
// accepted job to another service.
func TestItemsOfMovedRouteRunAtItsService(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	d.routeBatches(2, "engines", false)
	for n := range 2 {
		d.models = append(d.models, platform.NewServer(d.store, fmt.Sprintf("engine-b-%d", n), "engines-b", model))
	}
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 20, 20*time.Millisecond
	}
	const groups = 20 // 40 items for 12 slots
	assert.Equal(t, d.submit(d.daemons[0], "job1", groups, 1).status, http.StatusAccepted)
	<-time.After(200 * time.Millisecond)
	d.routeBatches(3, "engines-b", false)
	d.checkTexts(d.results(d.daemons[1], "job1", 2*groups))
}

// submitSingleVersion submits a job of one weight version with an item for each slot, which
// runs for 3 s.
func (d *deployment) submitSingleVersion(id string) {
	d.t.Helper()
	d.routeBatches(2, "engines", true)
	for _, m := range d.models {
		m.EventsPerItem, m.EventInterval = 60, 50*time.Millisecond
	}
	assert.Equal(d.t, d.submit(d.daemons[0], id, 6, 1).status, http.StatusAccepted)
}

// Guards against items of single-version jobs that no server runs any more once all servers
// have a later version than that of their texts.
func TestSingleVersionItemsRunAfterTheirVersionIsGone(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	d.submitSingleVersion("job1")
	<-time.After(runnerConfig.FlushInterval + 300*time.Millisecond) // part of each text is stored
	for i, m := range d.models {
		m.SetWeightVersion(model, 2)
		m.Restart(0, fmt.Sprintf("engine-again-%d", i))
	}
	got := d.results(d.daemons[1], "job1", 12)
	d.checkTexts(got)
	for _, r := range got.Results {
		assert.Equal(t, len(r.Versions), 1, "%s: %v", r.ID, r.Versions)
	}
}

// Guards against runs of single-version jobs that each new version of the weights ends: with
// a version every few seconds, long items would never be completed.
func TestRunsOfSingleVersionJobsEndBeforeLoads(t *testing.T) {
	d := newDeployment(t, 2)
	defer d.stopAll()
	d.submitSingleVersion("job1")
	<-time.After(500 * time.Millisecond)
	d.store.PublishVersion(model, 2)
	got := d.results(d.daemons[1], "job1", 12)
	d.checkTexts(got)
	for _, r := range got.Results {
		runs := 0
		for _, m := range d.models {
			runs += m.RunCount(r.ID)
		}
		assert.Equal(t, runs, 1, "runs of %s", r.ID)
		assert.DeepEqual(t, r.Versions, []int{1})
	}
	d.waitLoaded(2)
}
